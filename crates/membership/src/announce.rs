//! This entry's own records: announced under a lease, and as a home.
//!
//! The lease only tells others whom to dial. Losing it stops nothing: the
//! record is written again under a new lease, for the same incarnation.

use {
    crate::{
        error::{MembershipError, MembershipStep},
        keys::{self, ENTRIES, FENCED, HOMES},
        lease_key::{beat_pause, write_key},
        membership::Shared,
        record::{self, HomeRecord},
    },
    std::time::Duration,
    sycamorerail_platform::{Expected, LeaseId, Swap},
    sycamorerail_telemetry::event,
    sycamorerail_wire::ids::Incarnation,
    tokio::time::sleep,
};

/// Least pause between two writes of the home's record.
const HOME_PAUSE_MS: u64 = 1_000;

/// Keeps the announcement of the current incarnation, for as long as the
/// entry runs.
pub(crate) async fn announce_on(shared: &Shared) {
    loop {
        let incarnation = shared.settled();
        match announce(shared, incarnation).await {
            Ok(lease) => keep(shared, incarnation, lease).await,
            Err(error) => {
                event!(Warn, "announcement_failed", error = error);
                sleep(beat_pause(shared.config.lease_ms)).await;
            }
        }
        if shared.settled() != incarnation {
            withdraw(shared, incarnation).await;
        }
    }
}

async fn announce(shared: &Shared, own: Incarnation) -> Result<LeaseId, MembershipError> {
    let key = keys::key(ENTRIES, own);
    let value = record::to_json(&shared.config.own);
    let written = write_key(&shared.platform, &key, &value, shared.config.lease_ms).await?;
    Ok(written.lease)
}

/// Keeps the lease alive until it is lost or the incarnation retires.
async fn keep(shared: &Shared, incarnation: Incarnation, lease: LeaseId) {
    while shared.settled() == incarnation && !shared.is_leaving() {
        sleep(beat_pause(shared.config.lease_ms)).await;
        match shared.platform.keep_alive(lease).await {
            Ok(true) => {}
            Ok(false) => return,
            Err(error) => event!(Debug, "keep_alive_failed", error = error),
        }
    }
    if shared.is_leaving() {
        std::future::pending::<()>().await;
    }
}

/// Deletes the announcement of an incarnation, if it can; else its lease ends.
pub(crate) async fn withdraw(shared: &Shared, incarnation: Incarnation) {
    let key = keys::key(ENTRIES, incarnation);
    let Ok(Some(current)) = shared.platform.get(&key).await else { return };
    if let Err(error) = shared.platform.delete(&key, current.modified).await {
        event!(Debug, "withdrawal_failed", error = error);
    }
}

/// Keeps the home record of the current incarnation, for as long as the entry
/// runs: created before the first use of an agent, and brought up to date
/// after agents were retired.
pub(crate) async fn home_on(shared: &Shared) {
    let mut changed = shared.changed.subscribe();
    loop {
        changed.borrow_and_update();
        match tend_home(shared).await {
            Ok(false) => {
                if changed.changed().await.is_err() {
                    return;
                }
            }
            Ok(true) => sleep(Duration::from_millis(HOME_PAUSE_MS)).await,
            Err(error) => {
                event!(Warn, "home_record_failed", error = error);
                sleep(Duration::from_millis(HOME_PAUSE_MS)).await;
            }
        }
    }
}

/// Writes the home record if it is due; returns whether it called the platform.
async fn tend_home(shared: &Shared) -> Result<bool, MembershipError> {
    let members = shared.members();
    // What is told as seen must be in force for all who choose agents.
    if shared.applied() < members.mark || shared.is_leaving() {
        return Ok(false);
    }
    let own = shared.settled();
    let (expected, seen) = match members.homes.get(&own) {
        None => (Expected::Absent, 0),
        Some(home) if home.record.seen < members.last_retirement() => {
            (Expected::Modified(home.modified), members.mark)
        }
        Some(_) => return Ok(false),
    };
    let step = MembershipStep::Home;
    let key = keys::key(HOMES, own);
    let inner_address = shared.config.own.inner_address;
    let value = record::to_json(&HomeRecord { inner_address, seen });
    let guard = keys::key(FENCED, own);
    let written = shared.platform.swap(&key, expected, &value, None, &[&guard]).await;
    match written.map_err(|error| MembershipError::Platform(step, error))? {
        Swap::Done { mark } => shared.mirror.seen_elsewhere(mark),
        Swap::Lost { current: None } if expected == Expected::Absent => shared.retire(own),
        // Written before with the answer lost, or fenced: the mirror will tell.
        Swap::Lost { .. } => shared.mirror.poke(),
    }
    Ok(true)
}
