//! Rendezvous hashing: a weight for each pair of names. Each name that ranks others by
//! weight gets its own order, which does not change when a name is added or removed.

/// Returns the weight of a pair of names; the same in every process.
#[must_use]
pub fn weight(ranker: &str, candidate: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(ranker.as_bytes());
    // Names contain no zero byte, so different pairs have different input.
    hasher.update(&[0]);
    hasher.update(candidate.as_bytes());
    let mut bytes = [0; size_of::<u64>()];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..size_of::<u64>()]);
    u64::from_le_bytes(bytes)
}
