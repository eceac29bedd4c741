//! Decides which agents to ask about the jobs of one fenced home, and keeps their answers.
//!
//! Jobs that are asked about within one window share a message to each agent. An agent is asked
//! about a job again only if it reported a running task, if its answer was lost, or if it left
//! results out to keep its answer short. A job costs a few bits per agent, plus the records of
//! the agents at which it was started.

use {
    super::{AgentAnswers, Conclusion, JobFacts, Roster, agents::AgentSet, conclude},
    std::collections::{BTreeMap, BTreeSet, HashMap},
    sycamorerail_wire::{
        answer::TaskRecord,
        ids::{ContentHash, Incarnation, JobId},
        message::FencedJob,
    },
};

/// Maximum number of jobs in one message.
pub const MAX_JOBS_PER_MESSAGE: usize = 256;

/// Timing of a collection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FenceTimes {
    /// Jobs that are asked about within this time share a message.
    pub window_ms: u64,
    /// An agent that has not answered for this long counts as silent.
    pub answer_within_ms: u64,
    /// Pause before an agent is asked again.
    pub ask_again_ms: u64,
    /// Time during which a job with an unknown outcome is not asked about again.
    pub unknown_kept_ms: u64,
}

/// A message to send to one agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The agent to send it to.
    pub agent: Incarnation,
    /// The jobs to ask about.
    pub jobs: Vec<JobId>,
}

#[derive(Clone, Debug, Default)]
struct JobQuery {
    held: BTreeMap<Incarnation, FencedJob>,
    answered: AgentSet,
    in_flight: AgentSet,
    /// Agents to ask next. Those that had not answered by the end of a round wait for the next
    /// round.
    to_ask: AgentSet,
    /// Agents to ask about this job alone, because their answer was truncated.
    ask_alone: BTreeSet<usize>,
    /// Agents whose last request was not answered, with the time of the first such request.
    unanswered_since_ms: BTreeMap<Incarnation, u64>,
    /// When the current round of asking began.
    round_began_ms: u64,
    next_ask_ms: u64,
    /// A caller waits for the conclusion.
    is_wanted: bool,
}

/// The collection for one fenced home.
#[derive(Clone, Debug)]
pub struct Collector {
    roster: Roster,
    positions: HashMap<Incarnation, usize>,
    times: FenceTimes,
    jobs: BTreeMap<JobId, JobQuery>,
    /// Maximum number of jobs in one message to an agent; halved when an answer is lost.
    batch_limits: BTreeMap<Incarnation, usize>,
    window_ends_ms: Option<u64>,
}

impl Collector {
    /// Creates a collection over the roster that was read after the fence was recorded.
    #[must_use]
    pub fn new(roster: Roster, times: FenceTimes) -> Self {
        let positions =
            roster.agents.iter().enumerate().map(|(position, agent)| (*agent, position));
        Self {
            positions: positions.collect(),
            roster,
            times,
            jobs: BTreeMap::new(),
            batch_limits: BTreeMap::new(),
            window_ends_ms: None,
        }
    }

    /// Starts or resumes asking about a job because a caller waits for its conclusion.
    pub fn ask_about(&mut self, job: JobId, now_ms: u64) {
        let times = self.times;
        let all = self.roster.agents.len();
        let query = self.jobs.entry(job).or_insert_with(|| JobQuery {
            to_ask: AgentSet::first(all),
            round_began_ms: now_ms,
            ..JobQuery::default()
        });
        if now_ms >= query.round_began_ms + times.answer_within_ms + times.unknown_kept_ms {
            query.round_began_ms = now_ms;
            query.next_ask_ms = 0;
        }
        query.is_wanted = true;
        self.window_ends_ms.get_or_insert(now_ms + times.window_ms);
    }

    /// Stops asking about a job because no caller waits for it any more.
    pub fn stop_asking(&mut self, job: JobId) {
        if let Some(query) = self.jobs.get_mut(&job) {
            query.is_wanted = false;
        }
    }

    /// Returns when to call [`Self::due_requests`] next, or `None` if nothing is open.
    #[must_use]
    pub fn wake_at_ms(&self) -> Option<u64> {
        self.window_ends_ms
    }

    /// Returns the messages to send now.
    pub fn due_requests(&mut self, now_ms: u64) -> Vec<Request> {
        if self.window_ends_ms.is_none_or(|ends_ms| now_ms < ends_ms) {
            return Vec::new();
        }
        let mut together: BTreeMap<usize, Vec<JobId>> = BTreeMap::new();
        let mut requests = Vec::new();
        let mut is_open = false;
        for (job, query) in self.jobs.iter_mut().filter(|(_, query)| query.is_wanted) {
            for position in query.take_due(self.times, now_ms) {
                if query.ask_alone.contains(&position) {
                    let agent = self.roster.agents[position];
                    requests.push(Request { agent, jobs: vec![*job] });
                } else {
                    together.entry(position).or_default().push(*job);
                }
            }
            is_open |= query.is_open(self.times, now_ms);
        }
        for (position, jobs) in together {
            let agent = self.roster.agents[position];
            let limit = self.batch_limits.get(&agent).copied().unwrap_or(MAX_JOBS_PER_MESSAGE);
            let batch = |jobs: &[JobId]| Request { agent, jobs: jobs.to_vec() };
            requests.extend(jobs.chunks(limit).map(batch));
        }
        self.window_ends_ms = is_open.then_some(now_ms + self.times.ask_again_ms);
        requests
    }

    /// Handles an agent's answer to a message.
    pub fn handle_answer(&mut self, request: &Request, held: Vec<FencedJob>) {
        let Some(&position) = self.positions.get(&request.agent) else { return };
        let mut held: BTreeMap<JobId, FencedJob> =
            held.into_iter().map(|job| (job.job, job)).collect();
        self.batch_limits.remove(&request.agent);
        for job in &request.jobs {
            if let Some(query) = self.jobs.get_mut(job) {
                let is_alone = request.jobs.len() == 1;
                query.record_answer(position, request.agent, held.remove(job), is_alone);
            }
        }
    }

    /// Handles a message without an answer: the agent is unreachable, or its answer was too
    /// long.
    pub fn handle_no_answer(&mut self, request: &Request, now_ms: u64) {
        let Some(&position) = self.positions.get(&request.agent) else { return };
        self.batch_limits.insert(request.agent, (request.jobs.len() / 2).max(1));
        for job in &request.jobs {
            if let Some(query) = self.jobs.get_mut(job) {
                query.in_flight.remove(position);
                query.to_ask.insert(position);
                query.unanswered_since_ms.entry(request.agent).or_insert(now_ms);
            }
        }
    }

    /// Draws the conclusion for a job from the answers so far.
    #[must_use]
    pub fn conclude(&self, job: JobId, facts: JobFacts, now_ms: u64) -> Conclusion {
        let new = JobQuery::default();
        let query = self.jobs.get(&job);
        let is_time_up = query.is_some_and(|query| query.is_round_over(self.times, now_ms));
        let query = query.unwrap_or(&new);
        let answers = AgentAnswers {
            held: &query.held,
            silent_agents: self.roster.agents.len() - query.answered.len(),
            gone: &query.gone(self.times, now_ms),
            whole: self.roster.whole,
        };
        conclude(answers, facts, is_time_up)
    }

    /// Returns the hash of the submission whose tasks the agents received, if any agent
    /// reported it.
    #[must_use]
    pub fn content_hash(&self, job: JobId) -> Option<ContentHash> {
        let held = &self.jobs.get(&job)?.held;
        held.values().next().map(|held| held.content)
    }

    /// Drops jobs minted before the given time, because their ids are expired.
    pub fn forget_before(&mut self, minted_unix_ms: u64) {
        self.jobs.retain(|job, _| job.minted_unix_ms >= minted_unix_ms);
    }

    /// Returns the number of jobs that were asked about.
    #[must_use]
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether no job was asked about.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
}

impl JobQuery {
    fn is_round_over(&self, times: FenceTimes, now_ms: u64) -> bool {
        now_ms >= self.round_began_ms + times.answer_within_ms
    }

    /// Returns the agents that have not answered for too long.
    fn gone(&self, times: FenceTimes, now_ms: u64) -> BTreeSet<Incarnation> {
        let is_gone = |since_ms: u64| now_ms >= since_ms + times.answer_within_ms;
        let gone = self.unanswered_since_ms.iter().filter(|(_, since_ms)| is_gone(**since_ms));
        gone.map(|(agent, _)| *agent).collect()
    }

    /// Removes and returns the agents to ask now.
    fn take_due(&mut self, times: FenceTimes, now_ms: u64) -> Vec<usize> {
        if now_ms < self.next_ask_ms {
            return Vec::new();
        }
        let is_over = self.is_round_over(times, now_ms);
        // An agent that answered is asked again while a task runs there, however long that
        // takes.
        let is_due = |position: &usize| self.answered.contains(*position) || !is_over;
        let due: Vec<_> = self.to_ask.iter().filter(is_due).collect();
        for &position in &due {
            self.to_ask.remove(position);
            self.in_flight.insert(position);
        }
        self.next_ask_ms = now_ms + times.ask_again_ms;
        due
    }

    /// Whether further answers may still change the conclusion.
    fn is_open(&self, times: FenceTimes, now_ms: u64) -> bool {
        !self.in_flight.is_empty()
            || self.held.values().any(is_running)
            || !(self.to_ask.is_empty() || self.is_round_over(times, now_ms))
    }

    fn record_answer(
        &mut self,
        position: usize,
        agent: Incarnation,
        held: Option<FencedJob>,
        is_alone: bool,
    ) {
        self.in_flight.remove(position);
        self.unanswered_since_ms.remove(&agent);
        if !is_alone && held.as_ref().is_some_and(is_truncated) {
            self.ask_alone.insert(position);
            self.to_ask.insert(position);
            return;
        }
        self.answered.insert(position);
        self.held.remove(&agent);
        if let Some(held) = held {
            if is_running(&held) {
                self.to_ask.insert(position);
            }
            self.held.insert(agent, held);
        }
    }
}

fn is_running(job: &FencedJob) -> bool {
    job.tasks.iter().any(|report| report.record == TaskRecord::Running)
}

fn is_truncated(job: &FencedJob) -> bool {
    job.tasks.iter().any(|report| report.record == TaskRecord::EndDropped)
}
