//! Fencing a lost incarnation of an entry, and the roster that must answer.

use {
    crate::{
        error::{MembershipError, MembershipStep},
        keys::{self, AGENTS, FENCED},
        record::{self, FenceRecord},
    },
    sycamorerail_platform::{Effect, Expected, Platform, PlatformError, Swap},
    sycamorerail_wire::ids::Incarnation,
};

/// How often a fence is written again after its answer was lost.
const ATTEMPTS: u32 = 3;

/// The agents that a fenced incarnation may have used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FencedRoster {
    /// The fenced incarnation.
    pub home: Incarnation,
    /// Every agent that it may have placed work at, the dead included.
    pub agents: Vec<Incarnation>,
    /// Whether that is so; if not, nothing follows from what they don't hold.
    pub whole: bool,
}

/// Fences `home` for good, then reads the roster: in this order, so that each
/// agent registered before the fence is in it.
///
/// # Errors
///
/// When the platform doesn't answer. The fence may stand already; calling
/// again is harmless.
pub async fn fence(
    platform: &Platform,
    home: Incarnation,
    now_unix_ms: u64,
) -> Result<FencedRoster, MembershipError> {
    let fenced_at = record_fence(platform, home, now_unix_ms).await?;
    let step = MembershipStep::Roster;
    let failed = |error: PlatformError| MembershipError::Platform(step, error);
    let range = platform.range(AGENTS).await.map_err(failed)?;
    if range.mark < fenced_at {
        return Err(MembershipError::Stale { step, mark: range.mark, least: fenced_at });
    }
    // A fence is marked silent before an agent that its home may have used is
    // deleted. It is read after the roster: if the agent is missing there, the
    // mark shows here.
    let key = keys::key(FENCED, home);
    let fences = platform.range(&key).await.map_err(failed)?;
    if fences.mark < range.mark {
        return Err(MembershipError::Stale { step, mark: fences.mark, least: range.mark });
    }
    let fence = fences.items.iter().find(|item| item.key == key);
    let fence = fence.ok_or(MembershipError::Contradiction(step))?;
    let record: Option<FenceRecord> = record::from_json(&fence.value);
    let named: Vec<_> =
        range.items.iter().map(|item| keys::incarnation(AGENTS, &item.key)).collect();
    let whole = record.is_some_and(|record| !record.silent) && named.iter().all(Option::is_some);
    Ok(FencedRoster { home, agents: named.into_iter().flatten().collect(), whole })
}

/// Records the fence and returns a revision at which it stood.
async fn record_fence(
    platform: &Platform,
    home: Incarnation,
    now_unix_ms: u64,
) -> Result<u64, MembershipError> {
    let step = MembershipStep::Fence;
    let key = keys::key(FENCED, home);
    let value = record::to_json(&FenceRecord { fenced_unix_ms: now_unix_ms, silent: false });
    let mut last = MembershipError::Contradiction(step);
    for _ in 0..ATTEMPTS {
        match platform.swap(&key, Expected::Absent, &value, None, &[]).await {
            Ok(Swap::Done { mark }) => return Ok(mark),
            Ok(Swap::Lost { current: Some(current) }) => return Ok(current.modified),
            Ok(Swap::Lost { current: None }) => return Err(MembershipError::Contradiction(step)),
            // Writing again reads back: it loses against what took effect.
            Err(error) if error.effect == Effect::Open => {
                last = MembershipError::Platform(step, error);
            }
            Err(error) => return Err(MembershipError::Platform(step, error)),
        }
    }
    Err(last)
}

/// Fences an incarnation that places nothing any more, at its planned stop.
pub(crate) async fn fence_left(
    platform: &Platform,
    own: Incarnation,
    now_unix_ms: u64,
) -> Result<(), MembershipError> {
    record_fence(platform, own, now_unix_ms).await.map(|_| ())
}

/// Fences a home that is long gone, or marks its fence, as silent.
pub(crate) async fn silence(
    platform: &Platform,
    home: Incarnation,
    known: Option<(FenceRecord, u64)>,
    now_unix_ms: u64,
) -> Result<(), MembershipError> {
    let (mut record, expected) = known.map_or_else(
        || (FenceRecord { fenced_unix_ms: now_unix_ms, silent: true }, Expected::Absent),
        |(record, modified)| (record, Expected::Modified(modified)),
    );
    record.silent = true;
    let value = record::to_json(&record);
    let written = platform.swap(&keys::key(FENCED, home), expected, &value, None, &[]).await;
    // Lost against another change: decided anew from what the mirror shows.
    written.map(|_| ()).map_err(|error| MembershipError::Platform(MembershipStep::Sweep, error))
}
