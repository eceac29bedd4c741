//! Ids that were refused for good: one byte an id, so that a wave of refusals
//! does not fill the memory for records.
//!
//! An id answered `not_run` must never run, also if a copy of its submission
//! was delayed on the way.

use {
    super::table::JobKey,
    dashmap::DashMap,
    std::sync::atomic::{AtomicU64, Ordering},
    sycamorerail_wire::{answer::Reason, ids::Incarnation},
};

const CHUNK_IDS: usize = 1024;
/// Bytes taken by a chunk, its place in the map included.
pub(super) const CHUNK_BYTES: u64 = CHUNK_IDS as u64 + 96;

#[derive(Debug)]
struct Chunk {
    newest_minted_unix_ms: u64,
    /// 0 for "not refused", else one more than the reason's place.
    reasons: Box<[u8; CHUNK_IDS]>,
}

/// Ids that were refused for good.
#[derive(Debug, Default)]
pub(super) struct Burnt {
    chunks: DashMap<(Incarnation, u64), Chunk>,
    bytes: AtomicU64,
}

impl Burnt {
    pub(super) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Acquire)
    }

    /// Whether burning this id takes a new chunk.
    pub(super) fn needs_chunk(&self, key: JobKey) -> bool {
        !self.chunks.contains_key(&place(key).0)
    }

    pub(super) fn burn(&self, key: JobKey, minted_unix_ms: u64, reason: Reason) {
        let (chunk_key, index) = place(key);
        let mut chunk = self.chunks.entry(chunk_key).or_insert_with(|| {
            self.bytes.fetch_add(CHUNK_BYTES, Ordering::AcqRel);
            Chunk { newest_minted_unix_ms: 0, reasons: Box::new([0; CHUNK_IDS]) }
        });
        chunk.newest_minted_unix_ms = chunk.newest_minted_unix_ms.max(minted_unix_ms);
        chunk.reasons[index] = code(reason);
    }

    pub(super) fn reason(&self, key: JobKey) -> Option<Reason> {
        let (chunk_key, index) = place(key);
        let code = self.chunks.get(&chunk_key)?.reasons[index];
        Reason::ALL.get(usize::from(code).checked_sub(1)?).copied()
    }

    /// Forgets ids minted before the time given.
    pub(super) fn expire(&self, before_unix_ms: u64) {
        self.chunks.retain(|_, chunk| {
            let keep = chunk.newest_minted_unix_ms >= before_unix_ms;
            if !keep {
                self.bytes.fetch_sub(CHUNK_BYTES, Ordering::AcqRel);
            }
            keep
        });
    }
}

fn place(key: JobKey) -> ((Incarnation, u64), usize) {
    let chunk = key.sequence / CHUNK_IDS as u64;
    let index = usize::try_from(key.sequence % CHUNK_IDS as u64).unwrap_or(0);
    ((key.incarnation, chunk), index)
}

fn code(reason: Reason) -> u8 {
    let index = Reason::ALL.iter().position(|&other| other == reason).unwrap_or(0);
    u8::try_from(index + 1).unwrap_or(u8::MAX)
}
