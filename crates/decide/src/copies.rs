//! Transfer of large copies between peers, in parts.
//!
//! The text of a revision never changes, so its parts may come from several peers and over
//! several connections. The receiver requests one part at a time: its link carries little else
//! than that part however many peers hold the copy, and each part that arrives is progress.

use sycamorerail_wire::runs::{ConfigurationCopy, CopyPart, CopyPartRequest};

/// Maximum size of a part, in bytes. A link of 25 Mbit/s carries it in 5 ms.
pub const MAX_PART_BYTES: usize = 16 * 1024;

/// When parts are requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FetchLimits {
    /// Time after which a part that was not sent is requested from the next peer, in
    /// milliseconds.
    pub part_timeout_ms: u64,
    /// Time that a receiver with an older copy waits for the newer one from elsewhere before it
    /// requests the first part, in milliseconds.
    pub head_start_ms: u64,
    /// Pause before the next request, as a multiple of the time that the last part took. Slow
    /// links thus carry fewer parts.
    pub pause_factor: u64,
}

/// Fetches the newest copy that any peer holds.
#[derive(Clone, Debug)]
pub struct CopyFetch<P> {
    limits: FetchLimits,
    /// Revision of the copy held, or 0 without one.
    held: u64,
    /// Peers that hold later revisions; the first suitable one is asked.
    sources: Vec<Source<P>>,
    /// Revision of which parts have arrived, and their text.
    partial: ConfigurationCopy,
    pending: Option<Pending<P>>,
    next_request_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Source<P> {
    peer: P,
    revision: u64,
    /// Whether the last request to the peer has timed out.
    is_late: bool,
}

/// The part that was requested last and has not arrived.
#[derive(Clone, Copy, Debug)]
struct Pending<P> {
    peer: P,
    sent_ms: u64,
}

impl<P: Copy + PartialEq> CopyFetch<P> {
    /// Creates a fetch of a receiver without a copy.
    #[must_use]
    pub fn new(limits: FetchLimits) -> Self {
        Self {
            limits,
            held: 0,
            sources: Vec::new(),
            partial: ConfigurationCopy { revision: 0, value: String::new() },
            pending: None,
            next_request_ms: 0,
        }
    }

    /// Records that a peer holds a revision. Returns whether it is the first peer with a
    /// revision as late as this.
    pub fn add_source(&mut self, peer: P, revision: u64, now_ms: u64) -> bool {
        if revision <= self.held {
            return false;
        }
        if self.sources.is_empty() && self.held > 0 {
            self.next_request_ms = now_ms + self.limits.head_start_ms;
        }
        let is_latest = self.sources.iter().all(|source| source.revision < revision);
        match self.sources.iter_mut().find(|source| source.peer == peer) {
            Some(source) => source.revision = source.revision.max(revision),
            None => self.sources.push(Source { peer, revision, is_late: false }),
        }
        is_latest
    }

    /// Forgets a peer whose connection has ended.
    pub fn remove_source(&mut self, peer: P) {
        self.sources.retain(|source| source.peer != peer);
        self.pending = self.pending.filter(|pending| pending.peer != peer);
    }

    /// Records that the receiver holds a revision, wherever it came from.
    pub fn set_held(&mut self, revision: u64) {
        self.held = self.held.max(revision);
        self.sources.retain(|source| source.revision > self.held);
        if self.partial.revision <= self.held {
            self.partial.value = String::new();
        }
    }

    /// Returns the time of the next request to this peer, if it is the one to ask.
    #[must_use]
    pub fn next_request_ms(&self, peer: P) -> Option<u64> {
        self.source().filter(|source| source.peer == peer)?;
        let timed_out = self.pending.map(|pending| pending.sent_ms + self.limits.part_timeout_ms);
        Some(timed_out.unwrap_or(self.next_request_ms))
    }

    /// Returns the request to send to this peer now, if one is due.
    pub fn request(&mut self, peer: P, now_ms: u64) -> Option<CopyPartRequest> {
        self.drop_timed_out(now_ms);
        if self.pending.is_some() || now_ms < self.next_request_ms {
            return None;
        }
        let source = self.source().filter(|source| source.peer == peer)?;
        if source.revision != self.partial.revision {
            self.partial = ConfigurationCopy { revision: source.revision, value: String::new() };
        }
        self.pending = Some(Pending { peer, sent_ms: now_ms });
        Some(CopyPartRequest { revision: source.revision, offset: self.offset() })
    }

    /// Takes in a part. Returns the copy once it is complete.
    pub fn handle_part(
        &mut self,
        peer: P,
        part: &CopyPart,
        now_ms: u64,
    ) -> Option<ConfigurationCopy> {
        if let Some(pending) = self.pending.take_if(|pending| pending.peer == peer) {
            let took_ms = now_ms.saturating_sub(pending.sent_ms);
            self.next_request_ms = now_ms + took_ms * self.limits.pause_factor;
        }
        self.set_source_revision(peer, part.revision);
        if part.revision <= self.held {
            return None;
        }
        if part.revision > self.partial.revision && part.offset == 0 {
            self.partial = ConfigurationCopy { revision: part.revision, value: String::new() };
        }
        if part.revision != self.partial.revision || part.offset != self.offset() {
            return None;
        }
        self.partial.value.push_str(&part.text);
        if self.offset() < part.total_bytes {
            if part.text.is_empty() {
                self.remove_source(peer);
            }
            return None;
        }
        let value = std::mem::take(&mut self.partial.value);
        Some(ConfigurationCopy { revision: part.revision, value })
    }

    /// Returns the peer to ask: one that sends the revision of which parts have arrived, else one
    /// with the latest revision.
    fn source(&self) -> Option<Source<P>> {
        let is_begun = !self.partial.value.is_empty();
        let begun = |source: &&Source<P>| {
            is_begun && !source.is_late && source.revision == self.partial.revision
        };
        let latest = || {
            let revision = self.sources.iter().map(|source| source.revision).max()?;
            self.sources.iter().find(|source| source.revision == revision)
        };
        self.sources.iter().find(begun).or_else(latest).copied()
    }

    /// Drops a request that has timed out; its peer is asked last from now on.
    fn drop_timed_out(&mut self, now_ms: u64) {
        let timeout_ms = self.limits.part_timeout_ms;
        let is_late = |pending: &mut Pending<P>| now_ms >= pending.sent_ms + timeout_ms;
        let Some(Pending { peer, .. }) = self.pending.take_if(is_late) else { return };
        if let Some(index) = self.sources.iter().position(|source| source.peer == peer) {
            let source = self.sources.remove(index);
            self.sources.push(Source { is_late: true, ..source });
        }
    }

    /// Sets what a peer that has sent a part holds; after its restart this is less than before.
    fn set_source_revision(&mut self, peer: P, revision: u64) {
        for source in self.sources.iter_mut().filter(|source| source.peer == peer) {
            *source = Source { peer, revision, is_late: false };
        }
        self.sources.retain(|source| source.revision > self.held);
    }

    fn offset(&self) -> u32 {
        u32::try_from(self.partial.value.len()).unwrap_or(u32::MAX)
    }
}

/// Returns the requested part of a copy. If the copy has another revision than the requested
/// one, this is its first part.
#[must_use]
pub fn part(copy: &ConfigurationCopy, request: CopyPartRequest) -> CopyPart {
    let offset = if copy.revision == request.revision { request.offset } else { 0 };
    let rest = usize::try_from(offset).ok().and_then(|offset| copy.value.get(offset..));
    let (offset, rest) = rest.map_or((0, &*copy.value), |rest| (offset, rest));
    let text = rest[..rest.floor_char_boundary(MAX_PART_BYTES)].to_owned();
    let total_bytes = u32::try_from(copy.value.len()).unwrap_or(u32::MAX);
    CopyPart { revision: copy.revision, total_bytes, offset, text }
}
