//! The record of a case: lines with the time since its start, in milliseconds.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record { file: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, what: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} {what}", self.now_ms());
    }
}
