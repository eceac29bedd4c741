//! Renews the lease of the upstream and learns what ended.

use {
    super::{
        Leased,
        port::{CallError, Renewal},
    },
    futures::{StreamExt, stream::FuturesUnordered},
    std::{sync::Arc, time::Duration},
    sycamorerail_decide::ledger::{LeaseAnswer, LifeEnd},
    sycamorerail_telemetry::event,
    tokio::time::{Instant, sleep_until},
};

/// A renewal's answer may wait this long for an end.
const WAIT_MS: u32 = 40;
/// An answer that is overdue by this much may be lost: another renewal is sent
/// beside it. Ends are told by answers only; with 4.5 % of them lost and a wait of
/// 450 ms for each, upstreams at 77 % of their room served one job in ten in time.
const OVERDUE: Duration = Duration::from_millis(20);
/// Renewals under way at most.
const MAX_UNDER_WAY: usize = 4;
/// Ends that come within this are told together: a twentieth of the shortest runs,
/// for half of the calls at full load.
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
    let mut keeping = Keeping { leased, life, unheard: 0 };
    let mut under_way = FuturesUnordered::new();
    let mut next_at = Instant::now();
    while leased.ledger.lock().life().is_some_and(|known| known.id == life) {
        let may_send = under_way.len() < MAX_UNDER_WAY;
        tokio::select! {
            Some(renewed) = under_way.next() => match keeping.take(renewed) {
                Next::After(pause) => next_at = next_at.min(Instant::now() + pause),
                Next::AsPlanned => {}
                Next::Never => return,
            },
            () = sleep_until(next_at), if may_send => {
                under_way.push(renew(leased, life, WAIT_MS));
                next_at = Instant::now() + Duration::from_millis(WAIT_MS.into()) + OVERDUE;
            }
            () = leased.look_now.notified(), if may_send => {
                under_way.push(renew(leased, life, 0));
            }
        }
    }
}

/// When the next renewal is to be sent.
enum Next {
    After(Duration),
    AsPlanned,
    Never,
}

/// A renewal that was answered or failed.
struct Renewed {
    sent_ms: u64,
    fence: u64,
    answer: Result<LeaseAnswer, CallError>,
}

struct Keeping<'a> {
    leased: &'a Arc<Leased>,
    life: &'a str,
    /// Calls in a row that found no listener.
    unheard: u32,
}

impl Keeping<'_> {
    fn take(&mut self, renewed: Renewed) -> Next {
        let Self { leased, life, .. } = *self;
        match renewed.answer {
            Ok(answer) if renewed.fence == 0 => {
                fence_off(leased, life, answer.clock_ms);
                Next::After(Duration::ZERO)
            }
            Ok(mut answer) => {
                answer.sent_ms = renewed.sent_ms;
                self.unheard = 0;
                let had_ends = !answer.ended.is_empty();
                leased.change(|ledger, now_ms| ledger.renewed(&answer, now_ms));
                Next::After(if had_ends { GATHER } else { Duration::ZERO })
            }
            Err(CallError::Fenced { clock_ms }) => {
                fence_off(leased, life, clock_ms);
                Next::After(Duration::ZERO)
            }
            Err(error) => self.failed(&error),
        }
    }

    fn failed(&mut self, error: &CallError) -> Next {
        let Self { leased, life, .. } = *self;
        event!(Info, "renewal_failed", life = life, error = error, unheard = self.unheard);
        self.unheard = if *error == CallError::NoListener { self.unheard + 1 } else { 0 };
        if *error == CallError::OtherLife || self.unheard >= GONE_AFTER {
            lose(leased, life, error);
            return Next::Never;
        }
        match error {
            // Others were sent meanwhile.
            CallError::Unanswered(_) => Next::AsPlanned,
            _ => Next::After(RETRY),
        }
    }
}

async fn renew(leased: &Leased, life: &str, wait_ms: u32) -> Renewed {
    let authority = leased.authority(life);
    let fence = authority.fence;
    let sent_ms = leased.clock.now_ms();
    let renewal = renewal(leased, fence > 0, wait_ms, sent_ms);
    Renewed { sent_ms, fence, answer: leased.port.renew(authority, renewal).await }
}

fn renewal(leased: &Leased, is_fenced: bool, wait_ms: u32, now_ms: u64) -> Renewal {
    let ledger = leased.ledger.lock();
    if !is_fenced {
        return Renewal { lease_until_clock_ms: None, acknowledged: 0, wait_ms: 0 };
    }
    Renewal {
        lease_until_clock_ms: ledger.lease_until_clock_ms(now_ms),
        acknowledged: ledger.acknowledged(),
        wait_ms: if ledger.clock_ms(now_ms).is_some() { wait_ms } else { 0 },
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
            ledger.lose_upstream(LifeEnd::Crashed);
        }
    });
}
