//! Keys in the platform that live as long as their owners do.

use {
    crate::error::{MembershipError, MembershipStep},
    std::time::Duration,
    sycamorerail_platform::{Expected, LeaseId, Platform, PlatformError, Swap, backoff::jittered},
};

/// A lease is kept alive this many times in its lifetime.
const BEATS: u32 = 3;

/// Pause between renewals: a sixth to a third of the lease, at random, so that
/// processes don't act in step.
pub(crate) fn beat_pause(lease_ms: u32) -> Duration {
    jittered(u64::from(lease_ms / BEATS))
}

/// A key that was written under a new lease.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeasedKey {
    pub(crate) lease: LeaseId,
    /// Platform revision of the write.
    pub(crate) revision: u64,
}

/// Writes a key under a new lease, in place of what an earlier lease of the same
/// owner still holds.
pub(crate) async fn write_key(
    platform: &Platform,
    key: &str,
    value: &str,
    lease_ms: u32,
) -> Result<LeasedKey, MembershipError> {
    let step = MembershipStep::Announce;
    let failed = |error: PlatformError| MembershipError::Platform(step, error);
    let lease = platform.grant(lease_ms).await.map_err(failed)?;
    let mut expected = Expected::Absent;
    for _ in 0..2 {
        let written = platform.swap(key, expected, value, Some(lease), &[]).await;
        match written.map_err(failed)? {
            Swap::Done { mark } => return Ok(LeasedKey { lease, revision: mark }),
            Swap::Lost { current } => {
                expected = current.map_or(Expected::Absent, |kv| Expected::Modified(kv.modified));
            }
        }
    }
    Err(MembershipError::Contradiction(step))
}
