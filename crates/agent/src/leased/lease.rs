//! Renews the lease of the upstream and collects the ends of runs.

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

/// How long the upstream may delay its answer to a renewal to wait for an end.
const RENEWAL_WAIT_MS: u32 = 40;
/// Once an answer is overdue by this much, it may be lost, and the agent sends another renewal
/// in parallel. Ends are reported in answers only: with 4.5 % of them lost and a wait of
/// 450 ms for each, upstreams loaded to 77 % of their capacity completed only one job in ten
/// in time.
const ANSWER_OVERDUE: Duration = Duration::from_millis(20);
/// Most renewals in flight at once.
const MAX_IN_FLIGHT: usize = 4;
/// Pause after an answer with ends, so that one answer reports further ends together. It is
/// a twentieth of the shortest run times and halves the number of calls at full load.
const END_BATCH_PAUSE: Duration = Duration::from_millis(3);
/// Pause after a failed renewal.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// After this many refused connections in a row the upstream gets no new work.
const REFUSING_AFTER: u32 = 3;

/// Keeps the lease of the current instance for as long as the agent runs.
pub(super) async fn keep_lease(agent: Arc<LeasedAgent>) {
    loop {
        let instance = agent.ledger.lock().current_instance().cloned();
        match instance {
            Some(instance) => keep_instance_lease(&agent, &instance).await,
            None => agent.instance_changed.notified().await,
        }
    }
}

/// Keeps the lease of one instance until that ends or another one is current.
async fn keep_instance_lease(agent: &Arc<LeasedAgent>, instance: &InstanceId) {
    let mut keeper = LeaseKeeper {
        agent,
        instance,
        refused_calls: 0,
        last_call_answered: false,
        may_acknowledge_ends: false,
    };
    let mut in_flight = FuturesUnordered::new();
    let mut next_at = Instant::now();
    while agent.ledger.lock().current_instance() == Some(instance) {
        let may_send = in_flight.len() < MAX_IN_FLIGHT;
        tokio::select! {
            Some(outcome) = in_flight.next() => match keeper.handle(outcome) {
                NextRenewal::After(pause) => next_at = next_at.min(Instant::now() + pause),
                NextRenewal::AsScheduled => {}
                NextRenewal::Never => return,
            },
            () = sleep_until(next_at), if may_send => {
                let wait_ms = if keeper.last_call_answered { RENEWAL_WAIT_MS } else { 0 };
                in_flight.push(send_renewal(agent, instance, wait_ms, keeper.take_acknowledgement()));
                next_at = Instant::now() + Duration::from_millis(RENEWAL_WAIT_MS.into()) + ANSWER_OVERDUE;
            }
            () = agent.renew_now.notified(), if may_send => {
                in_flight.push(send_renewal(agent, instance, 0, keeper.take_acknowledgement()));
            }
        }
    }
    if keeper.refused_calls >= REFUSING_AFTER {
        event!(Warn, "upstream_lost", life = instance, error = CallError::NoListener);
    }
}

/// When the next renewal is to be sent.
enum NextRenewal {
    After(Duration),
    AsScheduled,
    Never,
}

/// Result of a renewal, with what the agent knew when it sent it.
struct RenewalOutcome {
    sent_ms: u64,
    fence: u64,
    /// The agent had established its fence at the addressed instance.
    is_fenced: bool,
    answer: Result<LeaseAnswer, CallError>,
}

/// State of the renewals for one instance.
struct LeaseKeeper<'a> {
    agent: &'a Arc<LeasedAgent>,
    instance: &'a InstanceId,
    /// Refused connections in a row.
    refused_calls: u32,
    /// The last call was answered. Otherwise another instance may answer the next call, which
    /// must therefore not wait for an end.
    last_call_answered: bool,
    /// A call was answered since the last acknowledgement of ends was sent.
    may_acknowledge_ends: bool,
}

impl LeaseKeeper<'_> {
    /// Returns whether the next call may acknowledge ends. If another instance receives the
    /// call, it discards its own first ends as acknowledged; the agent therefore acknowledges
    /// at most once for each answer.
    fn take_acknowledgement(&mut self) -> bool {
        std::mem::take(&mut self.may_acknowledge_ends)
    }

    fn handle(&mut self, outcome: RenewalOutcome) -> NextRenewal {
        match outcome.answer {
            Ok(mut answer) => {
                answer.sent_ms = outcome.sent_ms;
                answer.fence = outcome.fence;
                answer.instance = answer.instance.or_current(Some(self.instance));
                self.handle_answer(&answer, outcome.is_fenced)
            }
            Err(CallError::Fenced { clock_ms }) => {
                self.agent.update_ledger(|ledger, _| {
                    ledger.handle_fence_refusal(outcome.fence, clock_ms);
                });
                self.log_raised_fence(outcome.fence);
                NextRenewal::After(Duration::ZERO)
            }
            Err(error) => self.handle_error(&error),
        }
    }

    fn handle_answer(&mut self, answer: &LeaseAnswer, is_fenced: bool) -> NextRenewal {
        let Self { agent, instance, .. } = *self;
        self.refused_calls = 0;
        self.last_call_answered = true;
        self.may_acknowledge_ends = true;
        let (left_before, left) = agent.update_ledger(|ledger, now_ms| {
            let left_before = ledger.leftover_count();
            if is_fenced {
                ledger.handle_renewal_answer(answer, now_ms);
            } else {
                ledger.handle_fence_answer(answer, now_ms);
            }
            (left_before, ledger.leftover_count())
        });
        if left != left_before {
            event!(Info, "leftovers", life = answer.instance, runs = left);
        }
        if answer.instance != *instance {
            self.log_other_instance(&answer.instance);
        }
        self.log_raised_fence(answer.fence);
        let had_ends = is_fenced && !answer.ended.is_empty();
        NextRenewal::After(if had_ends { END_BATCH_PAUSE } else { Duration::ZERO })
    }

    /// Logs that another instance answered: a newer one, or an earlier one late.
    fn log_other_instance(&self, answered: &InstanceId) {
        let is_present = self.agent.ledger.lock().current_instance() == Some(answered);
        if is_present {
            metrics::counter!("sycamorerail_upstream_restarts_total").increment(1);
            event!(Warn, "upstream_restarted", life = answered, before = self.instance);
        } else {
            event!(Info, "answer_ignored", life = answered, known = self.instance);
        }
    }

    fn log_raised_fence(&self, before: u64) {
        let ledger = self.agent.ledger.lock();
        if ledger.fence() > before {
            let instance = ledger.current_instance().unwrap_or(self.instance);
            event!(Info, "fence_taken", life = instance, fence = ledger.fence());
        }
    }

    fn handle_error(&mut self, error: &CallError) -> NextRenewal {
        let Self { agent, instance, .. } = *self;
        self.last_call_answered = false;
        self.may_acknowledge_ends = false;
        event!(
            Info,
            "renewal_failed",
            life = instance,
            error = error,
            refused_calls = self.refused_calls
        );
        self.refused_calls =
            if *error == CallError::NoListener { self.refused_calls + 1 } else { 0 };
        if let Some(how) = self.instance_end_from(error) {
            lose_upstream(agent, instance, error, how);
            return NextRenewal::Never;
        }
        if self.refused_calls == REFUSING_AFTER {
            let active = agent.update_ledger(|ledger, now_ms| {
                ledger.handle_refused_connections(now_ms);
                ledger.active_count()
            });
            event!(Warn, "upstream_refuses", life = instance, active = active);
        }
        match error {
            // Another renewal was sent meanwhile.
            CallError::TimedOut(_) => NextRenewal::AsScheduled,
            _ => NextRenewal::After(RETRY_PAUSE),
        }
    }

    /// Returns how the instance ended if the error proves that it has ended.
    fn instance_end_from(&self, error: &CallError) -> Option<InstanceEnd> {
        match error {
            CallError::OtherInstance => Some(InstanceEnd::Replaced),
            CallError::NoListener if self.agent.ledger.lock().has_pending_withdrawal() => {
                Some(InstanceEnd::Left)
            }
            _ => None,
        }
    }
}

async fn send_renewal(
    agent: &LeasedAgent,
    instance: &InstanceId,
    wait_ms: u32,
    acknowledge: bool,
) -> RenewalOutcome {
    let sent_ms = agent.clock.now_ms();
    let (fence, is_fenced, renewal) = {
        let mut ledger = agent.ledger.lock();
        ledger.note_suspension(agent.clock.suspended_ms(), sent_ms);
        let renewal = if ledger.is_fenced() {
            build_renewal(&mut ledger, wait_ms, acknowledge, sent_ms)
        } else {
            LeaseRenewal { lease_until_clock_ms: None, acknowledged_through: 0, wait_ms: 0 }
        };
        (ledger.fence(), ledger.is_fenced(), renewal)
    };
    let target = FencedTarget { instance: instance.clone(), fence };
    RenewalOutcome {
        sent_ms,
        fence,
        is_fenced,
        answer: agent.upstream_client.renew_lease(target, renewal).await,
    }
}

fn build_renewal(
    ledger: &mut Ledger,
    wait_ms: u32,
    acknowledge: bool,
    now_ms: u64,
) -> LeaseRenewal {
    LeaseRenewal {
        lease_until_clock_ms: ledger.lease_until_clock_ms(now_ms),
        acknowledged_through: if acknowledge { ledger.last_acknowledged_end() } else { 0 },
        wait_ms: if ledger.upstream_clock_ms(now_ms).is_some() { wait_ms } else { 0 },
    }
}

fn lose_upstream(
    agent: &Arc<LeasedAgent>,
    instance: &InstanceId,
    error: &CallError,
    how: InstanceEnd,
) {
    event!(Warn, "upstream_lost", life = instance, error = error);
    agent.update_ledger(|ledger, _| {
        if ledger.current_instance() == Some(instance) {
            ledger.end_instance(how);
        }
    });
}
