//! Rendezvous hashing: a weight for each pair of names. Who ranks others by it has an
//! order of its own, which stays when a name comes or goes.

/// The weight of a pair of names; the same in every process.
#[must_use]
pub fn weight(who: &str, other: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(who.as_bytes());
    // Names have no such byte, so no two pairs look alike.
    hasher.update(&[0]);
    hasher.update(other.as_bytes());
    let mut bytes = [0; size_of::<u64>()];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..size_of::<u64>()]);
    u64::from_le_bytes(bytes)
}
