//! One job at its entry: its steps, its tasks, and the state of each.

use {
    super::types::{AgentKey, JobRequest, LossCause, RunOver, StepRequest},
    sycamorerail_wire::runs::{NotStarted, RunEvent, TaskKey},
};

/// State of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// The task is at no agent.
    Unplaced,
    /// The task is at an agent.
    Placed {
        /// The agent.
        agent: AgentKey,
        /// Whether the agent has reported its start.
        started: bool,
        /// When the task was sent there.
        since_ms: u64,
        /// Whether the task was recalled.
        recalled: bool,
    },
    /// The task has succeeded.
    Done,
}

/// A result is useful within this many times the objective span: users count it as late until
/// then and as missing afterwards.
const USEFUL_OBJECTIVE_SPANS: u64 = 3;

/// Time past the objective, in percent of its span, within which a job that has not started must
/// still be able to end.
const REFUSE_PAST_OBJECTIVE_PERCENT: u64 = 50;

/// Maximum number of upstream crashes under one task before its job is given up: a task that
/// causes them ends all other runs on the upstream each time it is started. After two, other jobs
/// may have been hit twice; from then on suspect tasks run apart from each other.
const MAX_CRASHES: u8 = 3;

/// Number of crashes from which a task runs apart from other suspects. With one crash, all tasks
/// of a lost upstream would wait for each other: upstreams with ten tasks are lost as often as
/// VMs fail, and few tasks meet that twice.
pub(super) const SUSPECT_CRASHES: u8 = 2;

/// Consecutive refusals after which a task pauses. The first one sends it to another agent at
/// once.
const REFUSALS_BEFORE_PAUSE: u32 = 2;

/// Pause of a task that agents refuse repeatedly, in milliseconds. Without it, a task that runs
/// for another entry, upstreams that refuse everything, or one whose restart this entry has not
/// read of, would cause a thousand placements a second.
const REFUSAL_PAUSE_MS: u64 = 50;

/// A task of a job.
#[derive(Clone, Debug)]
pub struct Task {
    /// State of the task.
    pub state: TaskState,
    /// Number of its last start.
    pub run: u32,
    /// Number of failed runs so far.
    pub failures: u32,
    /// Upstream crashes that ended a run which this entry had placed.
    pub crashes: u8,
    /// Upstream crashes that agents have reported, which include runs of other entries.
    pub reported_crashes: u8,
    /// The agent that returned the task last.
    pub avoid: Option<AgentKey>,
    /// Its last run that is over, and what shows it.
    pub last_over: Option<(u32, RunOver)>,
    /// Refusals since the task last started.
    refusals: u32,
    /// The task is not placed before this time.
    paused_until_ms: u64,
}

impl Task {
    fn has_started(&self) -> bool {
        matches!(self.state, TaskState::Done | TaskState::Placed { started: true, .. })
    }

    /// Whether the task may be placed now.
    #[must_use]
    pub fn is_placeable(&self, now_ms: u64) -> bool {
        self.state == TaskState::Unplaced && now_ms >= self.paused_until_ms
    }

    fn record_refusal(&mut self, now_ms: u64) {
        self.refusals += 1;
        if self.refusals >= REFUSALS_BEFORE_PAUSE {
            self.paused_until_ms = now_ms + REFUSAL_PAUSE_MS;
        }
    }

    /// Whether so many upstreams crashed while the task ran there that it runs apart from other
    /// suspects.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.all_crashes() >= SUSPECT_CRASHES
    }

    fn is_crashing(&self) -> bool {
        self.all_crashes() >= MAX_CRASHES
    }

    fn all_crashes(&self) -> u8 {
        self.crashes.max(self.reported_crashes)
    }

    /// Marks the task as unplaced, as its run at `from` is over. There is no other way from an agent
    /// to the next one.
    fn mark_over(&mut self, from: AgentKey, over: RunOver) {
        self.state = TaskState::Unplaced;
        self.avoid = Some(from);
        self.last_over = Some((self.run, over));
    }

    /// The agent that has the task.
    #[must_use]
    pub fn agent(&self) -> Option<AgentKey> {
        match self.state {
            TaskState::Placed { agent, .. } => Some(agent),
            _ => None,
        }
    }

    fn is_at(&self, agent: AgentKey) -> bool {
        self.agent() == Some(agent)
    }
}

/// Why a job is being ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The job was given up.
    GivenUp(super::types::NoResultReason),
    /// The job is answered already; its remaining runs are being stopped.
    Answered,
}

/// A job at its entry.
#[derive(Debug)]
pub struct Job {
    /// The request as submitted.
    pub request: JobRequest,
    /// Time by which the job must end to be on time.
    pub objective_ms: u64,
    /// When the job was accepted.
    pub accepted_ms: u64,
    /// When its first steps were expected to end, as of its admission.
    pub expected_end_ms: u64,
    /// How long all of its steps were expected to take, as of its admission.
    pub expected_total_ms: u64,
    /// Whether its last task was not expected to start at once.
    pub has_to_wait: bool,
    /// When its result becomes useless.
    give_up_ms: u64,
    /// When the job is refused if none of its tasks has started.
    refuse_ms: u64,
    /// Tasks by step.
    pub tasks: Vec<Vec<Task>>,
    /// Number of unfinished tasks by step.
    pub unfinished: Vec<u16>,
    /// Whether a task was started, or may have been.
    pub may_have_run: bool,
    /// Whether agents were told that most of its tasks have started.
    pub told_mostly_started: bool,
    /// Whether other entries may be asked for it.
    pub needs_claim: bool,
    /// Whether the entry has been granted the claim on it.
    pub is_claimed: bool,
    /// Whether its tasks are not placed because another entry has the job.
    pub waits_for_other_entry: bool,
    /// Set while the job is being ended.
    pub ending: Option<Ending>,
    /// When a job that is given up for crashes is to be answered.
    pub verdict_at_ms: Option<u64>,
}

/// What an event of a run means for the job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEffect {
    /// Nothing more to do.
    Nothing,
    /// A task must be placed again.
    PlaceAgain,
    /// All tasks are done.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// Too many upstreams crashed while a task ran there.
    Crashing,
}

impl Job {
    /// Creates a job whose tasks are all unplaced.
    #[must_use]
    pub fn new(request: JobRequest) -> Self {
        let fresh = Task {
            state: TaskState::Unplaced,
            run: 0,
            failures: 0,
            crashes: 0,
            reported_crashes: 0,
            avoid: None,
            last_over: None,
            refusals: 0,
            paused_until_ms: 0,
        };
        let tasks = request.steps.iter().map(|step| vec![fresh.clone(); step.count.into()]);
        let tasks = tasks.collect();
        let unfinished = request.steps.iter().map(|step| step.count).collect();
        let stretched_ms = longest_run_time_chain_ms(&request.steps) as f64 * request.kind.stretch;
        let objective_span_ms = stretched_ms as u64 + u64::from(request.kind.target_ms);
        let objective_ms = request.arrived_ms + objective_span_ms;
        let useful_until_ms = request.arrived_ms + objective_span_ms * USEFUL_OBJECTIVE_SPANS;
        let give_up_ms = request.deadline_ms.min(useful_until_ms);
        let refuse_ms =
            give_up_ms.min(objective_ms + objective_span_ms * REFUSE_PAST_OBJECTIVE_PERCENT / 100);
        Self {
            request,
            objective_ms,
            accepted_ms: 0,
            expected_end_ms: 0,
            expected_total_ms: 0,
            has_to_wait: false,
            give_up_ms,
            refuse_ms,
            tasks,
            unfinished,
            may_have_run: false,
            told_mostly_started: false,
            needs_claim: true,
            is_claimed: false,
            waits_for_other_entry: false,
            ending: None,
            verdict_at_ms: None,
        }
    }

    /// Whether another entry may have the job.
    #[must_use]
    pub fn may_be_elsewhere(&self) -> bool {
        !self.is_claimed || self.waits_for_other_entry
    }

    /// Time by which the job must end. A job that has not started is refused rather than late, as
    /// its room goes to jobs that can be on time. One that waits for room is given up once its
    /// result is useless. One whose tasks all run continues as long as its caller waits: in a
    /// simulation with five of 58 upstreams eight times as slow and 70 % of the capacity used,
    /// this lowers the share of jobs without a result from 0.3 % to 0.2 %, and as many jobs are
    /// on time.
    #[must_use]
    pub fn end_by_ms(&self) -> u64 {
        if !self.may_have_run {
            self.refuse_ms
        } else if self.is_all_running() {
            self.request.deadline_ms
        } else {
            self.give_up_ms
        }
    }

    fn is_all_running(&self) -> bool {
        self.tasks.iter().flatten().all(Task::has_started)
    }

    /// Time by which the job must end, depending on whether an upstream is usable. Without one it
    /// waits as long as its result is useful: it takes room from nobody, and upstreams are back
    /// within a second after a restart of everything.
    #[must_use]
    pub fn end_by_given_upstream_ms(&self, has_upstream: bool) -> u64 {
        if has_upstream { self.end_by_ms() } else { self.end_by_ms().max(self.give_up_ms) }
    }

    /// When its result becomes useless.
    #[must_use]
    pub fn give_up_ms(&self) -> u64 {
        self.give_up_ms
    }

    /// Lets the job run as long as its result is useful, because it takes room from no other job.
    pub fn allow_lateness(&mut self) {
        self.refuse_ms = self.give_up_ms;
    }

    /// Lets the job run as long as its caller waits.
    pub fn wait_as_long_as_caller(&mut self) {
        self.give_up_ms = self.request.deadline_ms;
        self.refuse_ms = self.request.deadline_ms;
    }

    /// Work of all tasks by their estimates, in thousandths of a core times milliseconds.
    #[must_use]
    pub fn work_milli_ms(&self) -> u64 {
        let of_step = |step: &StepRequest| {
            u64::from(step.count) * u64::from(step.run_ms) * u64::from(step.need.cpu_milli)
        };
        self.request.steps.iter().map(of_step).sum()
    }

    /// Run time of the longest chain of steps by their estimates, in milliseconds.
    #[must_use]
    pub fn run_time_chain_ms(&self) -> u64 {
        longest_run_time_chain_ms(&self.request.steps)
    }

    /// Time that the job may wait and still be on time, by its estimates, in milliseconds.
    #[must_use]
    pub fn slack_ms(&self) -> u64 {
        self.objective_span_ms().saturating_sub(self.run_time_chain_ms())
    }

    /// Time from arrival within which the job is on time, in milliseconds.
    #[must_use]
    pub fn objective_span_ms(&self) -> u64 {
        self.objective_ms - self.request.arrived_ms
    }

    /// Time by which the job must be expected to end to be accepted now: within the objective
    /// span from now, and while its result is useful. A job that was delayed before, for example
    /// by an entry's start, is treated as if it came now.
    #[must_use]
    pub fn admission_deadline_ms(&self, now_ms: u64) -> u64 {
        self.give_up_ms.min(now_ms + self.objective_span_ms())
    }

    /// Whether all steps that this one depends on are done.
    #[must_use]
    pub fn is_step_ready(&self, step: usize) -> bool {
        let after = &self.request.steps[step].after;
        after.iter().all(|before| self.unfinished.get(usize::from(*before)) == Some(&0))
    }

    /// Steps that are ready and have unplaced tasks.
    #[must_use]
    pub fn steps_to_place(&self) -> Vec<usize> {
        let unplaced = |step: &Vec<Task>| step.iter().any(|task| task.state == TaskState::Unplaced);
        let steps = (0..self.tasks.len()).filter(|&step| unplaced(&self.tasks[step]));
        steps.filter(|&step| self.is_step_ready(step)).collect()
    }

    /// Whether any task is at an agent.
    #[must_use]
    pub fn has_placed(&self) -> bool {
        self.placed().next().is_some()
    }

    fn placed(&self) -> impl Iterator<Item = AgentKey> {
        self.tasks.iter().flatten().filter_map(Task::agent)
    }

    /// Agents that have tasks of the job.
    #[must_use]
    pub fn agents(&self) -> Vec<AgentKey> {
        let mut agents: Vec<_> = self.placed().collect();
        agents.sort_unstable();
        agents.dedup();
        agents
    }

    /// Whether at least half of the tasks have started or are done.
    #[must_use]
    pub fn has_mostly_started(&self) -> bool {
        let all = self.tasks.iter().map(Vec::len).sum::<usize>();
        let begun = self.tasks.iter().flatten().filter(|task| task.has_started()).count();
        begun * 2 >= all
    }

    /// Agents that have tasks of the job which have not started.
    #[must_use]
    pub fn agents_with_unstarted_tasks(&self) -> Vec<AgentKey> {
        let waiting = self.tasks.iter().flatten().filter_map(|task| match task.state {
            TaskState::Placed { agent, started: false, .. } => Some(agent),
            _ => None,
        });
        let mut agents: Vec<_> = waiting.collect();
        agents.sort_unstable();
        agents.dedup();
        agents
    }

    /// Number of tasks of a step at an agent.
    #[must_use]
    pub fn count_at(&self, step: usize, agent: AgentKey) -> u16 {
        let here = self.tasks[step].iter().filter(|task| task.is_at(agent));
        here.count().try_into().unwrap_or(u16::MAX)
    }

    /// Tasks at an agent, with their run numbers.
    pub fn tasks_at(&self, agent: AgentKey) -> impl Iterator<Item = (TaskKey, u32)> {
        self.tasks.iter().enumerate().flat_map(move |(step, tasks)| {
            let here = tasks.iter().enumerate().filter(move |(_, task)| task.is_at(agent));
            here.filter_map(move |(index, task)| Some((self.key_of(step, index)?, task.run)))
        })
    }

    /// Whether a task is at an agent, with this run.
    #[must_use]
    pub fn is_placed_at(&self, task: TaskKey, run: u32, agent: AgentKey) -> bool {
        self.task(task).is_some_and(|task| task.is_at(agent) && task.run == run)
    }

    /// Has messages to an agent that may be lost given again: recalls of tasks there, and that the
    /// job has mostly started.
    pub fn forget_messages_to(&mut self, agent: AgentKey) {
        for task in self.tasks.iter_mut().flatten().filter(|task| task.is_at(agent)) {
            self.told_mostly_started = false;
            if let TaskState::Placed { recalled, .. } = &mut task.state {
                *recalled = false;
            }
        }
    }

    /// Keys of all tasks.
    pub fn keys(&self) -> impl Iterator<Item = TaskKey> {
        self.tasks.iter().enumerate().flat_map(move |(step, tasks)| {
            (0..tasks.len()).filter_map(move |index| self.key_of(step, index))
        })
    }

    fn task(&self, key: TaskKey) -> Option<&Task> {
        self.tasks.get(usize::from(key.step))?.get(usize::from(key.index))
    }

    /// Whether too many upstreams crashed while the task ran there.
    #[must_use]
    pub fn is_crashing(&self, task: TaskKey) -> bool {
        self.task(task).is_some_and(Task::is_crashing)
    }

    /// Upstream crashes that ended runs of a task which this entry had placed.
    #[must_use]
    pub fn own_crashes(&self, task: TaskKey) -> Option<u8> {
        self.task(task).map(|task| task.crashes)
    }

    /// Sets the number of crashes that are known under a task.
    pub fn set_reported_crashes(&mut self, key: TaskKey, crashes: u8) {
        let step = self.tasks.get_mut(usize::from(key.step));
        if let Some(task) = step.and_then(|step| step.get_mut(usize::from(key.index))) {
            task.reported_crashes = crashes;
        }
    }

    /// The key of a task; `None` if a number is too large for messages.
    #[must_use]
    pub fn key_of(&self, step: usize, index: usize) -> Option<TaskKey> {
        let (step, index) = (u8::try_from(step).ok()?, u16::try_from(index).ok()?);
        Some(TaskKey { job: self.request.id, step, index })
    }

    /// Takes a run at an agent for lost. Returns `None` if it is not the task's current run there.
    pub fn lose_run(
        &mut self,
        key: TaskKey,
        run: u32,
        cause: LossCause,
        at: AgentKey,
    ) -> Option<RunEffect> {
        run_at(&mut self.tasks, key, run, at)?.mark_over(at, RunOver::Lost(cause));
        self.may_have_run = true;
        Some(RunEffect::PlaceAgain)
    }

    /// Applies what an agent reports of a run. Returns `None` if it is not the task's current run
    /// at that agent.
    pub fn apply_run_event(
        &mut self,
        key: TaskKey,
        run: u32,
        event: RunEvent,
        from: AgentKey,
        now_ms: u64,
    ) -> Option<RunEffect> {
        let step = usize::from(key.step);
        let max_attempts = self.request.kind.max_attempts.max(1);
        let task = run_at(&mut self.tasks, key, run, from)?;
        let TaskState::Placed { agent, since_ms, .. } = task.state else { return None };
        let effect = match event {
            RunEvent::Started => {
                task.state = TaskState::Placed { agent, started: true, since_ms, recalled: false };
                task.refusals = 0;
                self.may_have_run = true;
                return Some(RunEffect::Nothing);
            }
            RunEvent::Done { .. } => {
                task.state = TaskState::Done;
                self.may_have_run = true;
                self.unfinished[step] -= 1;
                if self.unfinished.iter().all(|unfinished| *unfinished == 0) {
                    RunEffect::Completed
                } else if self.unfinished[step] == 0 {
                    RunEffect::PlaceAgain
                } else {
                    RunEffect::Nothing
                }
            }
            RunEvent::Failed { .. } => {
                task.mark_over(from, RunOver::Reported(event));
                task.failures += 1;
                self.may_have_run = true;
                if task.failures >= max_attempts {
                    RunEffect::Failed
                } else {
                    RunEffect::PlaceAgain
                }
            }
            RunEvent::Stopped | RunEvent::Lost => {
                task.mark_over(from, RunOver::Reported(event));
                self.may_have_run = true;
                RunEffect::PlaceAgain
            }
            RunEvent::Crashed => {
                task.mark_over(from, RunOver::Reported(event));
                task.crashes += 1;
                self.may_have_run = true;
                if task.is_crashing() { RunEffect::Crashing } else { RunEffect::PlaceAgain }
            }
            RunEvent::NotStarted(why) => {
                task.mark_over(from, RunOver::Reported(event));
                match why {
                    NotStarted::OldRun => task.run += OLD_RUN_SKIP,
                    NotStarted::Refused | NotStarted::OtherInstance | NotStarted::Stale => {
                        task.record_refusal(now_ms);
                    }
                    _ => {}
                }
                RunEffect::PlaceAgain
            }
        };
        Some(effect)
    }
}

/// The task of a run, if this is its current one at that agent.
fn run_at(tasks: &mut [Vec<Task>], key: TaskKey, run: u32, at: AgentKey) -> Option<&mut Task> {
    let step = tasks.get_mut(usize::from(key.step))?;
    let task = step.get_mut(usize::from(key.index))?;
    (task.is_at(at) && task.run == run).then_some(task)
}

/// Run numbers to skip when an upstream has seen a higher one, because another entry started the
/// task there for an earlier submission of the same job.
const OLD_RUN_SKIP: u32 = 8;

/// Run time of the longest chain of dependent steps, in milliseconds. Steps depend on earlier
/// ones only.
fn longest_run_time_chain_ms(steps: &[StepRequest]) -> u64 {
    let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
    for step in steps {
        let before = step.after.iter().filter_map(|&before| ends.get(usize::from(before)));
        let begin = before.max().copied().unwrap_or(0);
        ends.push(begin + u64::from(step.run_ms));
    }
    ends.into_iter().max().unwrap_or(0)
}
