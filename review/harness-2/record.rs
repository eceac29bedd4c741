//! The record of a case: what was sent, answered and run, each line with its time.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = Arc::new(Mutex::new(File::create(path).expect("the record can be written")));
        Self { began: Instant::now(), file }
    }

    pub fn line(&self, text: &str) {
        let ms = self.began.elapsed().as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{ms:>7} ms  {text}");
    }

    /// Writes a line to the record and to the terminal.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
