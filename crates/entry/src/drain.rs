//! Planned stops: readiness fails first, nothing new is taken, what is in
//! flight is finished and answered, then the process ends.

use {
    crate::{
        jobs::{self, REPORT_WAIT_MS},
        shared::Shared,
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
        time::Duration,
    },
    sycamorerail_decide::job::Event,
    sycamorerail_telemetry::event,
    sycamorerail_wire::answer::Reason,
    tokio::sync::{Notify, watch},
};

/// Time given to balancers to see that readiness fails, before the listener
/// closes, where nothing else takes longer.
const NOTICE: Duration = Duration::from_millis(500);
/// Kept of the drain's bound for the answers to jobs that run on: agents' reports of what
/// is revoked, in milliseconds, and the way to the callers.
const LAST_ANSWERS_MS: u64 = REPORT_WAIT_MS as u64 + 200;
/// Longest pause between looks at what is in flight.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// Whether the entry serves, and what is in flight.
#[derive(Debug, Default)]
pub struct Lifecycle {
    configured: AtomicBool,
    awaits_agents: AtomicBool,
    draining: AtomicBool,
    closing: AtomicBool,
    drain_asked: Notify,
    changed: Notify,
    requests: AtomicU32,
    /// Whether the last answers are due.
    ending: watch::Sender<bool>,
}

impl Lifecycle {
    /// Notes that a configuration is in force.
    pub fn set_configured(&self) {
        self.configured.store(true, Ordering::Release);
    }

    /// Whether a configuration is in force.
    #[must_use]
    pub fn is_configured(&self) -> bool {
        self.configured.load(Ordering::Acquire)
    }

    /// Notes that agents are still to dial this entry.
    pub fn await_agents(&self) {
        self.awaits_agents.store(true, Ordering::Release);
    }

    /// Notes that the agents have dialled, or are waited for no longer.
    pub fn set_settled(&self) {
        self.awaits_agents.store(false, Ordering::Release);
    }

    /// Whether the agents that run have dialled, as far as they ever will.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        !self.awaits_agents.load(Ordering::Acquire)
    }

    /// Whether callers are served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_configured() && self.is_settled() && !self.is_draining()
    }

    /// Whether a planned stop is under way.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Begins a planned stop. Doing so again changes nothing.
    pub fn drain(&self) {
        if !self.draining.swap(true, Ordering::AcqRel) {
            event!(Info, "draining");
        }
        self.drain_asked.notify_one();
    }

    /// Waits for the beginning of a planned stop.
    pub async fn drain_asked(&self) {
        self.drain_asked.notified().await;
    }

    /// Takes no call of other entries any more.
    fn close(&self) {
        self.closing.store(true, Ordering::SeqCst);
    }

    /// Waits for something that a request needs; `None` if it is not there as the last
    /// answers of a planned stop are due.
    pub async fn before_end<T>(&self, wanted: impl Future<Output = T>) -> Option<T> {
        let mut ending = self.ending.subscribe();
        tokio::select! {
            biased;
            had = wanted => Some(had),
            // The sender lives as long as `self`.
            _ = ending.wait_for(|&ending| ending) => None,
        }
    }

    /// Callers without a response.
    #[must_use]
    pub fn requests(&self) -> u32 {
        self.requests.load(Ordering::SeqCst)
    }

    /// Wakes whoever waits for what is in flight.
    pub fn wake(&self) {
        self.changed.notify_one();
    }
}

/// A request in flight, from its head to the end of its response.
#[derive(Debug)]
pub struct InFlight(Arc<Shared>);

impl InFlight {
    /// Counts a request.
    #[must_use]
    pub fn begin(shared: Arc<Shared>) -> Self {
        shared.lifecycle.requests.fetch_add(1, Ordering::SeqCst);
        Self(shared)
    }

    /// Counts a call of another entry; `None` if none is taken any more. It is
    /// counted first, so that [`close`] sees each one that is taken.
    #[must_use]
    pub fn of_peer(shared: &Arc<Shared>) -> Option<Self> {
        let in_flight = Self::begin(Arc::clone(shared));
        let closing = shared.lifecycle.closing.load(Ordering::SeqCst);
        (!closing).then_some(in_flight)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.lifecycle.requests.fetch_sub(1, Ordering::AcqRel);
        self.0.lifecycle.wake();
    }
}

/// Waits until nothing is in flight, at most for the bound of the settings.
/// Jobs that run on shortly before it are given up, and whatever else a request
/// waits for, so that all callers are answered. Returns the end of the bound, in the time of
/// [`Shared::now_ms`].
pub async fn finish(shared: &Arc<Shared>) -> u64 {
    let bound_ms = u64::from(shared.settings.limits.drain_ms);
    let end_ms = shared.now_ms() + bound_ms;
    let give_up_ms = end_ms - LAST_ANSWERS_MS.min(bound_ms);
    tokio::time::sleep(NOTICE.min(left(shared, give_up_ms))).await;
    wait_idle(shared, give_up_ms).await;
    give_up_jobs(shared).await;
    shared.lifecycle.ending.send_replace(true);
    wait_idle(shared, end_ms).await;
    end_ms
}

/// Ends what still runs. Jobs of which agents do not report in time are
/// answered without their word.
async fn give_up_jobs(shared: &Arc<Shared>) {
    let running = shared.jobs.all_running();
    if running.is_empty() {
        return;
    }
    event!(Warn, "jobs_given_up", jobs = running.len(), why = Reason::Draining.name());
    for cell in &running {
        jobs::drive(shared, cell, Event::GiveUp(Reason::Draining));
    }
    wait_idle(shared, shared.now_ms() + u64::from(REPORT_WAIT_MS)).await;
    for cell in &running {
        jobs::drive(shared, cell, Event::Tick);
    }
}

/// Takes no call of other entries any more, and waits until those taken have
/// their replies, for a bounded time. The HTTP listener is closed by then.
pub async fn close(shared: &Shared, within: Duration) {
    shared.lifecycle.close();
    let within_ms = u64::try_from(within.as_millis()).unwrap_or(u64::MAX);
    wait_idle(shared, shared.now_ms().saturating_add(within_ms)).await;
}

async fn wait_idle(shared: &Shared, until_ms: u64) {
    while in_flight(shared) && shared.now_ms() < until_ms {
        let _ = tokio::time::timeout(LOOK_PERIOD, shared.lifecycle.changed.notified()).await;
    }
}

/// Time left until then.
#[must_use]
pub fn left(shared: &Shared, until_ms: u64) -> Duration {
    Duration::from_millis(until_ms.saturating_sub(shared.now_ms()))
}

fn in_flight(shared: &Shared) -> bool {
    shared.jobs.undecided() > 0 || shared.lifecycle.requests() > 0
}
