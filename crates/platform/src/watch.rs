//! One watch: a streamed answer, or one long poll after another.

use {
    crate::{
        client::{Platform, count},
        error::{PlatformError, PlatformErrorKind, PlatformStep},
        form::{Reply, WatchMode},
        table::Change,
    },
    bytes::Bytes,
    reqwest::Response,
    std::{sync::atomic::Ordering, time::Duration},
};

pub use crate::form::Told;

/// Longest line taken; a value has up to a megabyte, a line several of them.
const MAX_LINE_BYTES: usize = 64 << 20;
/// Status of a streamed line: that of the answer was checked at its start.
const OK: u16 = 200;

/// An open watch over a prefix. Counts as a waiting call until dropped.
#[derive(Debug)]
pub struct Watch {
    platform: Platform,
    source: Source,
}

#[derive(Debug)]
enum Source {
    Stream(Stream),
    LongPoll(LongPoll),
}

/// Lines of an answer that does not end.
#[derive(Debug)]
struct Stream {
    response: Response,
    buffer: Vec<u8>,
    scanned: usize,
}

/// Where the next long poll goes on.
#[derive(Debug)]
struct LongPoll {
    prefix: String,
    start: u64,
    wait: Duration,
}

impl Drop for Watch {
    fn drop(&mut self) {
        let before = self.platform.waiting_watches().fetch_sub(1, Ordering::Relaxed);
        show_waiting(before.saturating_sub(1));
    }
}

fn show_waiting(watches: u32) {
    metrics::gauge!("sycamorerail_platform_waiting_watches").set(f64::from(watches));
}

impl Platform {
    /// Opens a watch over all keys with the prefix, from this platform
    /// revision on.
    ///
    /// # Errors
    ///
    /// When the platform doesn't answer.
    pub async fn watch(&self, prefix: &str, start_revision: u64) -> Result<Watch, PlatformError> {
        let opened = self.open_watch(prefix, start_revision).await;
        count(PlatformStep::Watch, opened.as_ref().err());
        opened
    }

    async fn open_watch(&self, prefix: &str, start: u64) -> Result<Watch, PlatformError> {
        let source = match self.form().watch_mode() {
            WatchMode::Stream => Source::Stream(self.open_stream(prefix, start).await?),
            WatchMode::LongPoll { wait_ms } => {
                let wait = Duration::from_millis(wait_ms.into());
                Source::LongPoll(LongPoll { prefix: prefix.to_owned(), start, wait })
            }
        };
        let before = self.waiting_watches().fetch_add(1, Ordering::Relaxed);
        show_waiting(before + 1);
        Ok(Watch { platform: self.clone(), source })
    }

    async fn open_stream(&self, prefix: &str, start: u64) -> Result<Stream, PlatformError> {
        let step = PlatformStep::Watch;
        self.admit(step)?;
        let send = self.request(step, &self.form().watch(prefix, start)).send();
        let response = tokio::time::timeout(self.timeout(), send)
            .await
            .map_err(|_| self.error(step, PlatformErrorKind::Timeout))?
            .map_err(|err| self.failed(step, &err))?;
        let status = response.status();
        if !status.is_success() {
            return Err(self.error(step, PlatformErrorKind::Status(status.as_u16())));
        }
        Ok(Stream { response, buffer: Vec::new(), scanned: 0 })
    }
}

impl Watch {
    /// Waits for what the watch tells next. Safe to drop and call again.
    ///
    /// # Errors
    ///
    /// When the stream ended or broke, or a long poll failed.
    pub async fn next(&mut self) -> Result<Told, PlatformError> {
        match &mut self.source {
            Source::Stream(stream) => stream.next(&self.platform).await,
            Source::LongPoll(poll) => poll.next(&self.platform).await,
        }
    }
}

impl Stream {
    async fn next(&mut self, platform: &Platform) -> Result<Told, PlatformError> {
        loop {
            while let Some(line) = self.take_line() {
                if line.trim_ascii().is_empty() {
                    continue;
                }
                let reply = Reply { status: OK, body: Bytes::from(line) };
                let told = platform.form().read_watch(&reply);
                let told = told.map_err(|err| platform.unread(PlatformStep::Watch, OK, err))?;
                if let Some(told) = told {
                    return Ok(told);
                }
            }
            self.fill(platform).await?;
        }
    }

    fn take_line(&mut self) -> Option<Vec<u8>> {
        let Some(offset) = self.buffer[self.scanned..].iter().position(|byte| *byte == b'\n')
        else {
            self.scanned = self.buffer.len();
            return None;
        };
        let rest = self.buffer.split_off(self.scanned + offset + 1);
        self.scanned = 0;
        Some(std::mem::replace(&mut self.buffer, rest))
    }

    async fn fill(&mut self, platform: &Platform) -> Result<(), PlatformError> {
        let step = PlatformStep::Watch;
        let chunk = self.response.chunk().await;
        match chunk.map_err(|err| platform.failed(step, &err))? {
            Some(bytes) => self.buffer.extend_from_slice(&bytes),
            None => return Err(platform.error(step, PlatformErrorKind::Unreachable)),
        }
        if self.buffer.len() > MAX_LINE_BYTES {
            let why = PlatformErrorKind::Malformed("line too long".to_owned());
            return Err(platform.error(step, why));
        }
        Ok(())
    }
}

impl LongPoll {
    async fn next(&mut self, platform: &Platform) -> Result<Told, PlatformError> {
        let step = PlatformStep::Watch;
        let form = platform.form();
        loop {
            let call = form.watch(&self.prefix, self.start);
            let within = self.wait + platform.timeout();
            let read = platform.call_uncounted(step, &call, within, |reply| form.read_watch(reply));
            let told = read.await;
            count(step, told.as_ref().err());
            if let Some(told) = told? {
                self.start = self.start.max(next_start(&told));
                return Ok(told);
            }
        }
    }
}

/// Platform revision from which on nothing was told yet.
fn next_start(told: &Told) -> u64 {
    match told {
        Told::Changes(changes) => {
            changes.iter().map(Change::revision).max().map_or(0, |last| last + 1)
        }
        Told::Progress(mark) => mark + 1,
        Told::Compacted => 0,
    }
}
