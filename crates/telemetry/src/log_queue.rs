//! Bounded queue of log lines and the thread that writes them.

use {
    parking_lot::{Condvar, Mutex},
    std::{
        io::{self, Write},
        sync::Arc,
        thread,
        time::Duration,
    },
};

/// About 5,000 lines, which a busy process logs in two seconds.
const MAX_QUEUED_BYTES: usize = 1 << 20;
/// How long an ending process waits at most until its last lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct State {
    queued: Vec<u8>,
    dropped_lines: u64,
    is_writing: bool,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    line_queued: Condvar,
    batch_written: Condvar,
}

/// Writer that queues log lines. Clones share the queue. When the queue is full, a line is
/// dropped and counted, and the count is logged before the next line that fits.
#[derive(Clone, Debug, Default)]
pub struct LogQueue {
    shared: Arc<Shared>,
    line: Vec<u8>,
}

impl LogQueue {
    /// Creates a queue and starts the thread that writes it to standard output.
    #[must_use]
    pub fn start() -> Self {
        let queue = Self::default();
        let shared = Arc::clone(&queue.shared);
        // If the thread cannot be started, no line is written, and there is nowhere else to log.
        let _ = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_queued_lines(&shared));
        queue
    }

    /// Waits for queued lines to be written, at most `FLUSH_TIMEOUT`.
    pub fn wait_until_written(&self) {
        let mut state = self.shared.state.lock();
        if !state.queued.is_empty() || state.is_writing {
            self.shared.batch_written.wait_for(&mut state, FLUSH_TIMEOUT);
        }
    }

    fn push_line(&mut self) {
        let mut state = self.shared.state.lock();
        if state.queued.len() + self.line.len() > MAX_QUEUED_BYTES {
            state.dropped_lines += 1;
            metrics::counter!("sycamorerail_log_lines_dropped_total").increment(1);
        } else {
            if state.dropped_lines > 0 {
                let dropped = std::mem::take(&mut state.dropped_lines);
                let note = format!("level=Warn event=log_lines_dropped count={dropped}\n");
                state.queued.extend_from_slice(note.as_bytes());
            }
            state.queued.extend_from_slice(&self.line);
            if !state.is_writing {
                self.shared.line_queued.notify_one();
            }
        }
        self.line.clear();
    }
}

/// The logger writes a line in several parts; the line is queued once it is complete.
impl Write for LogQueue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            self.push_line();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_queued_lines(shared: &Shared) {
    let mut out = io::stdout();
    loop {
        let bytes = {
            let mut state = shared.state.lock();
            state.is_writing = false;
            shared.batch_written.notify_all();
            while state.queued.is_empty() {
                shared.line_queued.wait(&mut state);
            }
            state.is_writing = true;
            std::mem::take(&mut state.queued)
        };
        // An error means that standard output is closed; there is no place left to report it.
        let _ = out.write_all(&bytes).and_then(|()| out.flush());
    }
}
