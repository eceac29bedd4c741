//! A bounded queue of log lines in front of a thread that writes them.

use {
    parking_lot::{Condvar, Mutex},
    std::{
        io::{self, Write},
        sync::Arc,
        thread,
        time::Duration,
    },
};

/// Bytes held at most: some 5,000 lines, two seconds of a busy process.
const MAX_BYTES: usize = 1 << 20;
/// Longest wait of a process that ends for its last lines.
const FLUSH_WITHIN: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct State {
    waiting: Vec<u8>,
    dropped_lines: u64,
    is_writing: bool,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    filled: Condvar,
    written: Condvar,
}

/// Takes lines; clones share the queue. A line that finds no room is dropped
/// and counted, and the count is written with the next line that is.
#[derive(Clone, Debug, Default)]
pub struct LogQueue {
    shared: Arc<Shared>,
    line: Vec<u8>,
}

impl LogQueue {
    /// A queue with a thread that writes it to standard output.
    #[must_use]
    pub fn start() -> Self {
        let queue = Self::default();
        let shared = Arc::clone(&queue.shared);
        // Without the thread the lines are dropped, which is all that can be done.
        let _ = thread::Builder::new().name("log".to_owned()).spawn(move || write_on(&shared));
        queue
    }

    /// Waits until all lines are written, for a bounded time.
    pub fn wait_until_written(&self) {
        let mut state = self.shared.state.lock();
        if !state.waiting.is_empty() || state.is_writing {
            self.shared.written.wait_for(&mut state, FLUSH_WITHIN);
        }
    }

    fn push(&mut self) {
        let mut state = self.shared.state.lock();
        if state.waiting.len() + self.line.len() > MAX_BYTES {
            state.dropped_lines += 1;
            metrics::counter!("sycamorerail_log_lines_dropped_total").increment(1);
        } else {
            if state.dropped_lines > 0 {
                let dropped = std::mem::take(&mut state.dropped_lines);
                let note = format!("level=Warn event=log_lines_dropped count={dropped}\n");
                state.waiting.extend_from_slice(note.as_bytes());
            }
            state.waiting.extend_from_slice(&self.line);
            if !state.is_writing {
                self.shared.filled.notify_one();
            }
        }
        self.line.clear();
    }
}

/// The logger writes a line in parts; it is queued when it is whole.
impl Write for LogQueue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            self.push();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_on(shared: &Shared) {
    let mut out = io::stdout();
    loop {
        let bytes = {
            let mut state = shared.state.lock();
            state.is_writing = false;
            shared.written.notify_all();
            while state.waiting.is_empty() {
                shared.filled.wait(&mut state);
            }
            state.is_writing = true;
            std::mem::take(&mut state.waiting)
        };
        // Nobody is left to tell that standard output is gone.
        let _ = out.write_all(&bytes).and_then(|()| out.flush());
    }
}
