//! Renews the lease of the upstream and learns what ended.

use {
    super::{
        Leased,
        port::{Authority, CallError, Renewal},
    },
    std::{sync::Arc, time::Duration},
    sycamorerail_decide::ledger::LeaseAnswer,
    sycamorerail_telemetry::event,
};

/// A renewal's answer may wait this long for an end: a quarter of the lease, so
/// that two may be lost.
const WAIT_MS: u32 = 250;
/// Ends that come within this are told together: a fifth of the shortest run's
/// target, for half of the calls at full load.
const GATHER: Duration = Duration::from_millis(3);
/// Pause after a renewal that failed.
const RETRY: Duration = Duration::from_millis(20);
/// Calls in a row that found no listener, after which the upstream is gone.
const GONE_AFTER: u32 = 3;

/// Keeps the lease for as long as the agent runs.
pub(super) async fn keep(leased: Arc<Leased>) {
    loop {
        let life = leased.ledger.lock().life().map(|life| life.id.clone());
        match life {
            Some(life) => keep_life(&leased, &life).await,
            None => leased.life_changed.notified().await,
        }
    }
}

/// Keeps the lease of one life until it ends or another is announced.
async fn keep_life(leased: &Arc<Leased>, life: &str) {
    leased.clear_fence();
    let mut unheard = 0;
    while leased.ledger.lock().life().is_some_and(|known| known.id == life) {
        let authority = leased.authority(life);
        let sent_ms = leased.clock.now_ms();
        match renew(leased, authority.clone(), sent_ms).await {
            Ok(answer) if authority.fence == 0 => fence_off(leased, life, answer.clock_ms),
            Ok(mut answer) => {
                answer.sent_ms = sent_ms;
                unheard = 0;
                let had_ends = !answer.ended.is_empty();
                leased.change(|ledger, now_ms| ledger.renewed(&answer, now_ms));
                if had_ends {
                    tokio::time::sleep(GATHER).await;
                }
            }
            Err(CallError::Fenced { clock_ms }) => fence_off(leased, life, clock_ms),
            Err(error) => {
                event!(Info, "renewal_failed", life = life, error = error, unheard = unheard);
                unheard = if error == CallError::NoListener { unheard + 1 } else { 0 };
                if error == CallError::OtherLife || unheard >= GONE_AFTER {
                    lose(leased, life, &error);
                    return;
                }
                tokio::time::sleep(RETRY).await;
            }
        }
    }
}

async fn renew(
    leased: &Leased,
    authority: Authority,
    now_ms: u64,
) -> Result<LeaseAnswer, CallError> {
    let renewal = renewal(leased, authority.fence > 0, now_ms);
    leased.port.renew(authority, renewal).await
}

fn renewal(leased: &Leased, is_fenced: bool, now_ms: u64) -> Renewal {
    let ledger = leased.ledger.lock();
    if !is_fenced {
        return Renewal { lease_until_clock_ms: None, acknowledged: 0, wait_ms: 0 };
    }
    Renewal {
        lease_until_clock_ms: ledger.lease_until_clock_ms(now_ms),
        acknowledged: ledger.acknowledged(),
        wait_ms: if ledger.clock_ms(now_ms).is_some() { WAIT_MS } else { 0 },
    }
}

/// Takes a fence higher than any before on this life: the upstream's own clock,
/// which only rises and which an earlier run of the agent read earlier.
fn fence_off(leased: &Leased, life: &str, clock_ms: u64) {
    leased.raise_fence(clock_ms + 1);
    event!(Info, "fence_taken", life = life, fence = clock_ms + 1);
}

fn lose(leased: &Arc<Leased>, life: &str, error: &CallError) {
    event!(Warn, "upstream_lost", life = life, error = error);
    leased.change(|ledger, _| {
        if ledger.life().is_some_and(|known| known.id == life) {
            ledger.lose_upstream();
        }
    });
}
