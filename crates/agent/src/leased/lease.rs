//! Renews the lease of the upstream and learns what ended.

use {
    super::{
        LeasedAgent,
        upstream_client::{CallError, FencedTarget, LeaseRenewal},
    },
    futures::{StreamExt, stream::FuturesUnordered},
    std::{sync::Arc, time::Duration},
    sycamorerail_decide::ledger::{InstanceEnd, LeaseAnswer, Ledger},
    sycamorerail_telemetry::event,
    sycamorerail_wire::runs::InstanceId,
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
pub(super) async fn keep(leased: Arc<LeasedAgent>) {
    loop {
        let life = leased.ledger.lock().current_instance().cloned();
        match life {
            Some(life) => keep_life(&leased, &life).await,
            None => leased.life_changed.notified().await,
        }
    }
}

/// Keeps the lease of one life until it ends or another is present.
async fn keep_life(leased: &Arc<LeasedAgent>, life: &InstanceId) {
    let mut keeping = Keeping { leased, life, unheard: 0, is_sure: false, is_heard: false };
    let mut under_way = FuturesUnordered::new();
    let mut next_at = Instant::now();
    while leased.ledger.lock().current_instance() == Some(life) {
        let may_send = under_way.len() < MAX_UNDER_WAY;
        tokio::select! {
            Some(renewed) = under_way.next() => match keeping.take(renewed) {
                Next::After(pause) => next_at = next_at.min(Instant::now() + pause),
                Next::AsPlanned => {}
                Next::Never => return,
            },
            () = sleep_until(next_at), if may_send => {
                let wait_ms = if keeping.is_sure { WAIT_MS } else { 0 };
                under_way.push(renew(leased, life, wait_ms, keeping.may_acknowledge()));
                next_at = Instant::now() + Duration::from_millis(WAIT_MS.into()) + OVERDUE;
            }
            () = leased.look_now.notified(), if may_send => {
                under_way.push(renew(leased, life, 0, keeping.may_acknowledge()));
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
    /// The fence was taken for the life that was asked.
    is_fenced: bool,
    answer: Result<LeaseAnswer, CallError>,
}

struct Keeping<'a> {
    leased: &'a Arc<LeasedAgent>,
    life: &'a InstanceId,
    /// Calls in a row that found no listener.
    unheard: u32,
    /// The last call was answered. Else another life may answer the next one, which is not to
    /// wait for an end.
    is_sure: bool,
    /// A call was answered since the last one was sent.
    is_heard: bool,
}

impl Keeping<'_> {
    /// Whether the call that is sent now acknowledges ends. If another life carries it out,
    /// that forgets its first ends as those of this life that were told: so one call at most
    /// for each answer.
    fn may_acknowledge(&mut self) -> bool {
        std::mem::take(&mut self.is_heard)
    }

    fn take(&mut self, renewed: Renewed) -> Next {
        match renewed.answer {
            Ok(mut answer) => {
                answer.sent_ms = renewed.sent_ms;
                answer.fence = renewed.fence;
                answer.instance = answer.instance.or_current(Some(self.life));
                self.answered(&answer, renewed.is_fenced)
            }
            Err(CallError::Fenced { clock_ms }) => {
                self.leased
                    .change(|ledger, _| ledger.handle_fence_refusal(renewed.fence, clock_ms));
                self.log_fence(renewed.fence);
                Next::After(Duration::ZERO)
            }
            Err(error) => self.failed(&error),
        }
    }

    fn answered(&mut self, answer: &LeaseAnswer, is_fenced: bool) -> Next {
        let Self { leased, life, .. } = *self;
        self.unheard = 0;
        self.is_sure = true;
        self.is_heard = true;
        leased.change(|ledger, now_ms| {
            if is_fenced {
                ledger.handle_renewal_answer(answer, now_ms);
            } else {
                ledger.handle_fence_answer(answer, now_ms);
            }
        });
        if answer.instance != *life {
            self.log_other(&answer.instance);
        }
        self.log_fence(answer.fence);
        let had_ends = is_fenced && !answer.ended.is_empty();
        Next::After(if had_ends { GATHER } else { Duration::ZERO })
    }

    /// Another life answered: the next one, or an earlier one late.
    fn log_other(&self, answered: &InstanceId) {
        let is_present = self.leased.ledger.lock().current_instance() == Some(answered);
        if is_present {
            metrics::counter!("sycamorerail_upstream_restarts_total").increment(1);
            event!(Warn, "upstream_restarted", life = answered, before = self.life);
        } else {
            event!(Info, "answer_ignored", life = answered, known = self.life);
        }
    }

    fn log_fence(&self, before: u64) {
        let ledger = self.leased.ledger.lock();
        if ledger.fence() > before {
            let life = ledger.current_instance().unwrap_or(self.life);
            event!(Info, "fence_taken", life = life, fence = ledger.fence());
        }
    }

    fn failed(&mut self, error: &CallError) -> Next {
        let Self { leased, life, .. } = *self;
        self.is_sure = false;
        self.is_heard = false;
        event!(Info, "renewal_failed", life = life, error = error, unheard = self.unheard);
        self.unheard = if *error == CallError::NoListener { self.unheard + 1 } else { 0 };
        if let Some(how) = self.end_shown_by(error) {
            lose(leased, life, error, how);
            return Next::Never;
        }
        match error {
            // Others were sent meanwhile.
            CallError::TimedOut(_) => Next::AsPlanned,
            _ => Next::After(RETRY),
        }
    }

    /// How the life has ended, if a failed call shows that it has.
    fn end_shown_by(&self, error: &CallError) -> Option<InstanceEnd> {
        match error {
            CallError::OtherInstance => Some(InstanceEnd::Replaced),
            CallError::NoListener if self.leased.ledger.lock().has_pending_withdrawal() => {
                Some(InstanceEnd::Left)
            }
            CallError::NoListener if self.unheard >= GONE_AFTER => Some(InstanceEnd::Crashed),
            _ => None,
        }
    }
}

async fn renew(
    leased: &LeasedAgent,
    life: &InstanceId,
    wait_ms: u32,
    acknowledges: bool,
) -> Renewed {
    let sent_ms = leased.clock.now_ms();
    let (fence, is_fenced, renewal) = {
        let ledger = leased.ledger.lock();
        let renewal = if ledger.is_fenced() {
            renewal(&ledger, wait_ms, acknowledges, sent_ms)
        } else {
            LeaseRenewal { lease_until_clock_ms: None, acknowledged_through: 0, wait_ms: 0 }
        };
        (ledger.fence(), ledger.is_fenced(), renewal)
    };
    let target = FencedTarget { instance: life.clone(), fence };
    Renewed {
        sent_ms,
        fence,
        is_fenced,
        answer: leased.upstream_client.renew_lease(target, renewal).await,
    }
}

fn renewal(ledger: &Ledger, wait_ms: u32, acknowledges: bool, now_ms: u64) -> LeaseRenewal {
    LeaseRenewal {
        lease_until_clock_ms: ledger.lease_until_clock_ms(now_ms),
        acknowledged_through: if acknowledges { ledger.last_acknowledged_end() } else { 0 },
        wait_ms: if ledger.upstream_clock_ms(now_ms).is_some() { wait_ms } else { 0 },
    }
}

fn lose(leased: &Arc<LeasedAgent>, life: &InstanceId, error: &CallError, how: InstanceEnd) {
    event!(Warn, "upstream_lost", life = life, error = error);
    leased.change(|ledger, _| {
        if ledger.current_instance() == Some(life) {
            ledger.end_instance(how);
        }
    });
}
