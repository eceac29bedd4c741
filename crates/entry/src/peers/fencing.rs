//! Fences lost homes and concludes on their jobs from what agents tell.

use {
    super::{Inner, answers, concluded::Final, forward::given},
    crate::{
        counters::{self, Message},
        shared::Shared,
        upstreams::Agent,
    },
    dashmap::DashMap,
    parking_lot::Mutex,
    std::{sync::Arc, time::Duration},
    sycamorerail_decide::fence::{
        Conclusion, JobFacts, Roster,
        collector::{Collector, FenceTimes, Request},
    },
    sycamorerail_telemetry::{
        event,
        invariant::{Invariant, check},
    },
    sycamorerail_wire::{
        answer::{Answer, Outcome, Reason, TaskRecord},
        ids::{ContentHash, Incarnation, JobId},
        message::{AgentReply, AgentReplyBody, FencedJob, ToAgent},
        session,
    },
    tokio::{
        sync::{Mutex as AsyncMutex, watch},
        time::{Instant, sleep, timeout_at},
    },
};

const TIMES: FenceTimes = FenceTimes {
    window_ms: 20,
    answer_within_ms: 2_000,
    ask_again_ms: 200,
    unknown_kept_ms: 10_000,
};
/// Longest wait of a caller for a conclusion; after it the answer is in doubt.
const CONCLUDE_WITHIN: Duration = Duration::from_millis(TIMES.answer_within_ms + 500);

/// Pause after the platform did not record a fence, in milliseconds.
const RECORD_PAUSE_MS: u64 = 500;

/// Fenced homes.
#[derive(Debug, Default)]
pub(super) struct Fences {
    homes: DashMap<Incarnation, Arc<Fence>>,
}

impl Fences {
    /// Whether the platform has recorded the fence that this entry asked for.
    pub(super) fn is_recorded(&self, home: Incarnation) -> bool {
        self.homes.get(&home).is_some_and(|fence| fence.is_recorded())
    }

    /// Forgets jobs minted before the time given.
    pub(super) fn forget_before(&self, minted_unix_ms: u64) {
        self.homes.retain(|_, fence| {
            let mut state = fence.state.lock();
            let Some(state) = state.as_mut() else { return true };
            state.collector.forget_before(minted_unix_ms);
            !state.collector.is_empty()
        });
    }
}

/// One fenced home.
#[derive(Debug)]
struct Fence {
    home: Incarnation,
    /// Held while the fence is recorded and the roster read; until when not to
    /// try again.
    recording: AsyncMutex<u64>,
    state: Mutex<Option<Collection>>,
    /// Grows when an agent has answered.
    progress: watch::Sender<u64>,
}

#[derive(Debug)]
struct Collection {
    collector: Collector,
    /// The platform has recorded the fence. If not, the roster is that of the
    /// last known agents, and nothing follows from what they don't hold.
    recorded: bool,
    asking: bool,
}

/// A conclusion, and what it rests on.
#[derive(Debug)]
struct Drawn {
    conclusion: Conclusion,
    /// The submission that agents were given tasks of.
    content: Option<ContentHash>,
    recorded: bool,
}

impl Fence {
    fn new(home: Incarnation) -> Self {
        Self {
            home,
            recording: AsyncMutex::default(),
            state: Mutex::default(),
            progress: watch::Sender::new(0),
        }
    }

    fn is_recorded(&self) -> bool {
        self.state.lock().as_ref().is_some_and(|state| state.recorded)
    }

    fn begin(&self, roster: Roster, recorded: bool) {
        let collector = Collector::new(roster, TIMES);
        let mut state = self.state.lock();
        if state.as_ref().is_none_or(|state| recorded && !state.recorded) {
            *state = Some(Collection { collector, recorded, asking: false });
        }
    }

    fn drawn(&self, job: JobId, known: JobFacts, now_ms: u64) -> Drawn {
        let state = self.state.lock();
        let Some(state) = state.as_ref() else {
            let conclusion = Conclusion::Waiting { tasks_started: 0 };
            return Drawn { conclusion, content: None, recorded: false };
        };
        Drawn {
            conclusion: state.collector.conclude(job, known, now_ms),
            content: state.collector.content_hash(job),
            recorded: state.recorded,
        }
    }

    fn with<T>(&self, act: impl FnOnce(&mut Collector) -> T) -> Option<T> {
        self.state.lock().as_mut().map(|state| act(&mut state.collector))
    }
}

impl Inner {
    /// Concludes on a job of a lost home.
    pub(super) async fn conclude(
        self: &Arc<Self>,
        shared: &Arc<Shared>,
        id: JobId,
        known: JobFacts,
    ) -> Answer {
        let home = id.incarnation;
        let new = || Arc::new(Fence::new(home));
        let fence = Arc::clone(&self.fences.homes.entry(home).or_insert_with(new));
        self.record(shared, &fence).await;
        let drawn = self.collect(shared, &fence, id, known).await;
        let answer = self.answer(shared, id, known, drawn);
        let (outcome, reason) = (answer.outcome.name(), answer.reason.name());
        metrics::counter!("sycamorerail_fences_total", "outcome" => outcome, "reason" => reason)
            .increment(1);
        answer
    }

    /// Records the fence and reads the roster, once a home.
    async fn record(&self, shared: &Shared, fence: &Fence) {
        let mut not_before_ms = fence.recording.lock().await;
        if fence.is_recorded() || shared.now_ms() < *not_before_ms {
            return;
        }
        let Some(membership) = self.membership.get() else { return };
        match membership.fence(fence.home).await {
            Ok(fenced) => {
                fence.begin(Roster { agents: fenced.agents, whole: fenced.whole }, true);
            }
            Err(_) => {
                *not_before_ms = shared.now_ms() + RECORD_PAUSE_MS;
                let agents = membership.members().agents.keys().copied().collect();
                fence.begin(Roster { agents, whole: false }, false);
            }
        }
    }

    /// Asks the agents and waits until something follows, for a bounded time.
    async fn collect(
        self: &Arc<Self>,
        shared: &Arc<Shared>,
        fence: &Arc<Fence>,
        id: JobId,
        known: JobFacts,
    ) -> Drawn {
        let until = Instant::now() + CONCLUDE_WITHIN;
        let mut progress = fence.progress.subscribe();
        self.ask(shared, fence, id);
        loop {
            progress.borrow_and_update();
            let drawn = fence.drawn(id, known, shared.now_ms());
            let open =
                matches!(drawn.conclusion, Conclusion::Running { .. } | Conclusion::Waiting { .. });
            if !open || timeout_at(until, progress.changed()).await.is_err() {
                fence.with(|collector| collector.stop_asking(id));
                return drawn;
            }
        }
    }

    fn ask(self: &Arc<Self>, shared: &Arc<Shared>, fence: &Arc<Fence>, id: JobId) {
        let mut state = fence.state.lock();
        let Some(state) = state.as_mut() else { return };
        state.collector.ask_about(id, shared.now_ms());
        if !state.asking {
            state.asking = true;
            tokio::spawn(Arc::clone(self).ask_on(Arc::clone(shared), Arc::clone(fence)));
        }
    }

    /// Sends what is due to agents, until nobody waits for anything.
    async fn ask_on(self: Arc<Self>, shared: Arc<Shared>, fence: Arc<Fence>) {
        loop {
            let now_ms = shared.now_ms();
            let requests =
                fence.with(|collector| collector.due_requests(now_ms)).unwrap_or_default();
            for request in requests {
                let (inner, shared) = (Arc::clone(&self), Arc::clone(&shared));
                let fence = Arc::clone(&fence);
                tokio::spawn(async move { inner.ask_agent(&shared, &fence, request).await });
            }
            // What became of time alone, such as a silence that lasted.
            fence.progress.send_modify(|count| *count += 1);
            let wake_at_ms = {
                let mut state = fence.state.lock();
                let Some(state) = state.as_mut() else { return };
                let wake_at_ms = state.collector.wake_at_ms();
                state.asking = wake_at_ms.is_some();
                wake_at_ms
            };
            let Some(wake_at_ms) = wake_at_ms else { return };
            sleep(Duration::from_millis(wake_at_ms.saturating_sub(now_ms).max(1))).await;
        }
    }

    async fn ask_agent(&self, shared: &Shared, fence: &Fence, request: Request) {
        match held(shared, fence.home, &request).await {
            Some(held) => {
                self.check_not_run(&held);
                fence.with(|collector| collector.handle_answer(&request, held));
            }
            None => {
                let now_ms = shared.now_ms();
                fence.with(|collector| collector.handle_no_answer(&request, now_ms));
            }
        }
        fence.progress.send_modify(|count| *count += 1);
    }

    /// No job that was answered as not run may show a start.
    fn check_not_run(&self, held: &[FencedJob]) {
        for job in held {
            let Some(kept) = self.concluded.get(&job.job) else { continue };
            let started = job.tasks.iter().any(|report| report.record != TaskRecord::NeverStarted);
            let holds = kept.answer.outcome != Outcome::NotRun || !started;
            check(Invariant::TrueNotRun, holds, &job.job);
        }
    }

    fn answer(&self, shared: &Shared, id: JobId, known: JobFacts, drawn: Drawn) -> Answer {
        let Drawn { conclusion, content, recorded } = drawn;
        if !recorded && !conclusion.is_final() {
            return answers::platform_out(&id);
        }
        // Both may rest on what agents don't hold.
        let by_absence = matches!(conclusion, Conclusion::NotRun | Conclusion::Failed { .. });
        if by_absence && !answers::is_recent(shared, &id) {
            counters::refusal(Reason::Expired);
            return answers::expired();
        }
        let is_kept = conclusion.is_final() && conclusion != Conclusion::Conflict;
        let answer = answers::concluded(&id, conclusion, |agent| self.agent_name(shared, agent));
        if !is_kept {
            return answer;
        }
        self.concluded.keep(id, Final { content, answer: Arc::new(answer.clone()) });
        // Another caller may have concluded on it meanwhile.
        self.concluded.get(&id).map_or(answer, |kept| given(&kept, known.content))
    }

    fn agent_name(&self, shared: &Shared, run: Incarnation) -> String {
        agent(shared, run).map_or_else(|| run.to_string(), |agent| agent.peer.to_string())
    }
}

fn agent(shared: &Shared, run: Incarnation) -> Option<Arc<Agent>> {
    let snapshot = shared.upstreams.snapshot();
    snapshot.agents.iter().find(|agent| agent.identity.incarnation == run).cloned()
}

/// Fences the home at an agent and asks for what it holds.
async fn held(shared: &Shared, home: Incarnation, request: &Request) -> Option<Vec<FencedJob>> {
    let agent = agent(shared, request.agent)?;
    let connection = agent.connection()?;
    counters::message(Message::Fence, Reason::HomeLost);
    let within = Duration::from_millis(TIMES.answer_within_ms);
    let call = ToAgent::Fence { home, jobs: request.jobs.clone() };
    match session::call::<_, AgentReply>(&connection, &call, within).await {
        Ok(AgentReply { agent: run, load, body: AgentReplyBody::Fenced(held), .. })
            if run == request.agent =>
        {
            agent.take_load(load, shared.now_ms());
            Some(held)
        }
        Ok(_) => None,
        Err(err) => {
            event!(Info, "fence_unanswered", agent = agent.peer, cause = err);
            None
        }
    }
}
