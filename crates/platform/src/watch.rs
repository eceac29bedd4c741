//! One watch: a streamed answer, one JSON object a line.

use {
    crate::{
        client::{Platform, count, first_key},
        error::{PlatformError, PlatformErrorKind, PlatformStep},
        json::{
            End, Int, Streamed, WatchCreate, WatchEvent, WatchEventKind, WatchRequest,
            WatchResponse,
        },
        table::Change,
        value::KeyValue,
    },
    reqwest::Response,
    std::sync::atomic::Ordering,
};

const WATCH_PATH: &str = "/v3/watch";
/// Longest line taken; a value has up to a megabyte, a line several of them.
const MAX_LINE_BYTES: usize = 64 << 20;

/// What a watch told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// Whole revisions, in the platform's order.
    Changes(Vec<Change>),
    /// Nothing changed in the prefix up to this platform revision.
    Progress(u64),
    /// The history asked for is gone; only a full copy helps.
    Compacted,
}

/// An open watch over a prefix. Counts as a waiting call until dropped.
#[derive(Debug)]
pub struct Watch {
    platform: Platform,
    response: Response,
    buffer: Vec<u8>,
    scanned: usize,
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
        let step = PlatformStep::Watch;
        self.admit(step)?;
        let create_request = WatchCreate {
            key: first_key(prefix),
            range_end: End::of(prefix),
            start_revision: Int(start),
            progress_notify: true,
        };
        let send = self.request(step, WATCH_PATH).json(&WatchRequest { create_request }).send();
        let response = tokio::time::timeout(self.timeout(), send)
            .await
            .map_err(|_| self.error(step, PlatformErrorKind::Timeout))?
            .map_err(|err| self.failed(step, &err))?;
        let status = response.status();
        if !status.is_success() {
            return Err(self.error(step, PlatformErrorKind::Status(status.as_u16())));
        }
        let before = self.waiting_watches().fetch_add(1, Ordering::Relaxed);
        show_waiting(before + 1);
        Ok(Watch { platform: self.clone(), response, buffer: Vec::new(), scanned: 0 })
    }
}

impl Watch {
    /// Waits for what the watch tells next. Safe to drop and call again.
    ///
    /// # Errors
    ///
    /// When the stream ended or broke.
    pub async fn next(&mut self) -> Result<Told, PlatformError> {
        loop {
            while let Some(line) = self.take_line() {
                if let Some(told) = self.read(&line)? {
                    return Ok(told);
                }
            }
            self.fill().await?;
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

    async fn fill(&mut self) -> Result<(), PlatformError> {
        let chunk = self.response.chunk().await;
        match chunk.map_err(|err| self.platform.failed(PlatformStep::Watch, &err))? {
            Some(bytes) => self.buffer.extend_from_slice(&bytes),
            None => return Err(self.broken(PlatformErrorKind::Unreachable)),
        }
        if self.buffer.len() > MAX_LINE_BYTES {
            return Err(self.broken(PlatformErrorKind::Malformed("line too long".to_owned())));
        }
        Ok(())
    }

    fn read(&self, line: &[u8]) -> Result<Option<Told>, PlatformError> {
        if line.trim_ascii().is_empty() {
            return Ok(None);
        }
        let streamed: Streamed<WatchResponse> = serde_json::from_slice(line)
            .map_err(|err| self.broken(PlatformErrorKind::Malformed(err.to_string())))?;
        let told = streamed.result;
        if told.compact_revision.0 > 0 {
            return Ok(Some(Told::Compacted));
        }
        if told.canceled {
            return Err(self.broken(PlatformErrorKind::Unreachable));
        }
        if !told.events.is_empty() {
            return Ok(Some(Told::Changes(told.events.into_iter().map(change).collect())));
        }
        // The first answer tells the platform's revision, but not that the
        // history up to it was sent.
        let progress = !told.created && told.header.revision.0 > 0;
        Ok(progress.then_some(Told::Progress(told.header.revision.0)))
    }

    fn broken(&self, kind: PlatformErrorKind) -> PlatformError {
        self.platform.error(PlatformStep::Watch, kind)
    }
}

fn change(event: WatchEvent) -> Change {
    match event.kind {
        WatchEventKind::Put => Change::Put(KeyValue::from(event.kv)),
        WatchEventKind::Delete => {
            Change::Delete { key: event.kv.key.0, revision: event.kv.mod_revision.0 }
        }
    }
}
