//! One key in the platform that lives as long as its owner does.

use {
    crate::error::{MembershipError, MembershipStep},
    std::time::Duration,
    sycamorerail_platform::{Expected, LeaseId, Platform, PlatformError, Swap, backoff::jittered},
    sycamorerail_telemetry::event,
    tokio::time::sleep,
};

/// A lease is kept alive this many times in its lifetime.
const BEATS: u32 = 3;

/// Pause between renewals: a sixth to a third of the lease, at random, so that
/// processes don't act in step.
pub(crate) fn beat_pause(lease_ms: u32) -> Duration {
    jittered(u64::from(lease_ms / BEATS))
}

/// Writes a key under a new lease, in place of what an earlier lease of the same
/// owner still holds.
pub(crate) async fn write_key(
    platform: &Platform,
    key: &str,
    value: &str,
    lease_ms: u32,
) -> Result<LeaseId, MembershipError> {
    let step = MembershipStep::Announce;
    let failed = |error: PlatformError| MembershipError::Platform(step, error);
    let lease = platform.grant(lease_ms).await.map_err(failed)?;
    let mut expected = Expected::Absent;
    for _ in 0..2 {
        let written = platform.swap(key, expected, value, Some(lease), &[]).await;
        match written.map_err(failed)? {
            Swap::Done { .. } => return Ok(lease),
            Swap::Lost { current } => {
                expected = current.map_or(Expected::Absent, |kv| Expected::Modified(kv.modified));
            }
        }
    }
    Err(MembershipError::Contradiction(step))
}

/// Holds a key for as long as the future is polled.
pub async fn hold_key(platform: &Platform, key: &str, value: &str, lease_ms: u32) {
    loop {
        match write_key(platform, key, value, lease_ms).await {
            Ok(lease) => keep(platform, lease, lease_ms).await,
            Err(error) => event!(Info, "key_not_written", key = key, error = error),
        }
        sleep(beat_pause(lease_ms)).await;
    }
}

async fn keep(platform: &Platform, lease: LeaseId, lease_ms: u32) {
    loop {
        sleep(beat_pause(lease_ms)).await;
        match platform.keep_alive(lease).await {
            Ok(true) => {}
            Ok(false) => return event!(Info, "lease_lost", lease = lease.0),
            Err(error) => event!(Debug, "keep_alive_failed", error = error),
        }
    }
}
