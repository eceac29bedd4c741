//! One job at its entry: its steps, its tasks, and where each stands.

use {
    super::types::{AgentKey, JobRequest, StepRequest},
    sycamorerail_wire::runs::{NotStarted, RunEvent, TaskKey},
};

/// Where a task stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// It is nowhere.
    Unplaced,
    /// An agent has it.
    Placed {
        /// The agent.
        agent: AgentKey,
        /// It was seen to begin.
        started: bool,
        /// When it was sent there.
        since_ms: u64,
        /// It was asked back.
        recalled: bool,
    },
    /// It ended well.
    Done,
}

/// A result is of use up to so many times the span in which a job is in time:
/// the users count it as late until then, and as none after.
const USEFUL_SPANS: u64 = 3;

/// Time over its objective, in percent of the span, within which a job that has
/// not begun must still be able to end.
const REFUSE_PERCENT: u64 = 50;

/// Upstreams that may crash under one task before its job is given up: a task that brings
/// it about takes all with it that runs there, each time it is started. Two would hit jobs
/// that ran beside it twice; from then on they run apart from it.
const MAX_CRASHES: u8 = 3;

/// Crashes from which on a task runs apart from others like it. After one crash all that ran
/// there would have to wait for each other: a lost upstream of ten tasks comes as often as
/// VMs fail, and few tasks meet it twice.
pub(super) const SUSPECT_CRASHES: u8 = 2;

/// Refusals in a row after which a task rests: the first one sends it to another agent.
const REFUSALS_AT_ONCE: u32 = 2;

/// A task that agents refuse again and again rests this long, in milliseconds: one that runs
/// for another entry, or upstreams that refuse all, would be asked a thousand times a second.
const REST_MS: u64 = 50;

/// A task of a job.
#[derive(Clone, Debug)]
pub struct Task {
    /// Where it stands.
    pub state: TaskState,
    /// Number of its last start.
    pub run: u32,
    /// Ends as failed so far.
    pub failures: u32,
    /// Upstreams that crashed while it ran there, by what became of its runs.
    pub crashes: u8,
    /// The same by what agents told, who know of runs for other entries too.
    pub crashes_told: u8,
    /// The agent that gave it back last.
    pub avoid: Option<AgentKey>,
    /// Refusals by agents since it last began.
    refusals: u32,
    /// It is placed nowhere until then.
    rests_until_ms: u64,
}

impl Task {
    fn has_begun(&self) -> bool {
        matches!(self.state, TaskState::Done | TaskState::Placed { started: true, .. })
    }

    /// Whether it is to be placed.
    #[must_use]
    pub fn is_due(&self, now_ms: u64) -> bool {
        self.state == TaskState::Unplaced && now_ms >= self.rests_until_ms
    }

    fn refused(&mut self, now_ms: u64) {
        self.refusals += 1;
        if self.refusals >= REFUSALS_AT_ONCE {
            self.rests_until_ms = now_ms + REST_MS;
        }
    }

    /// Whether upstreams crashed while it ran there so often that it runs apart from others
    /// like it.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.all_crashes() >= SUSPECT_CRASHES
    }

    fn is_crashing(&self) -> bool {
        self.all_crashes() >= MAX_CRASHES
    }

    fn all_crashes(&self) -> u8 {
        self.crashes.max(self.crashes_told)
    }

    /// An agent has it no more.
    fn give_back(&mut self, from: AgentKey) {
        self.state = TaskState::Unplaced;
        self.avoid = Some(from);
    }

    /// The agent that has it.
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
    /// Given up.
    GivenUp(super::types::NoResultReason),
    /// Answered already; what runs is being stopped.
    Answered,
}

/// A job.
#[derive(Debug)]
pub struct Job {
    /// What was handed in.
    pub request: JobRequest,
    /// When it must end to be in time.
    pub objective_ms: u64,
    /// When it was taken.
    pub taken_ms: u64,
    /// When its first steps were expected to end as it was taken.
    pub expected_end_ms: u64,
    /// How long all of its steps were expected to take then.
    pub expected_whole_ms: u64,
    /// Its last task was not expected to start at once.
    pub has_to_wait: bool,
    /// When its result is of no use any more.
    give_up_ms: u64,
    /// When it is better refused, if no task of it has begun.
    refuse_ms: u64,
    /// Tasks by step.
    pub tasks: Vec<Vec<Task>>,
    /// Tasks not done, by step.
    pub open: Vec<u16>,
    /// A task was started, or may have been.
    pub may_have_run: bool,
    /// Agents were told to finish it.
    pub is_finishing: bool,
    /// It is being ended.
    pub ending: Option<Ending>,
    /// It is given up for crashes, and not answered until then.
    pub judged_ms: Option<u64>,
}

/// What an event means for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Nothing more to do.
    Nothing,
    /// A task must be placed anew.
    PlaceAgain,
    /// All tasks are done.
    Completed,
    /// A task failed for the last time.
    Failed,
    /// Too many upstreams crashed while a task ran there.
    Crashing,
}

impl Job {
    /// A job whose tasks are all unplaced.
    #[must_use]
    pub fn new(request: JobRequest) -> Self {
        let fresh = Task {
            state: TaskState::Unplaced,
            run: 0,
            failures: 0,
            crashes: 0,
            crashes_told: 0,
            avoid: None,
            refusals: 0,
            rests_until_ms: 0,
        };
        let tasks = request.steps.iter().map(|step| vec![fresh.clone(); step.count.into()]);
        let tasks = tasks.collect();
        let open = request.steps.iter().map(|step| step.count).collect();
        let stretched_ms = longest_chain_ms(&request.steps) as f64 * request.kind.stretch;
        let span_ms = stretched_ms as u64 + u64::from(request.kind.target_ms);
        let objective_ms = request.arrived_ms + span_ms;
        let useful_until_ms = request.arrived_ms + span_ms * USEFUL_SPANS;
        let give_up_ms = request.deadline_ms.min(useful_until_ms);
        let refuse_ms = give_up_ms.min(objective_ms + span_ms * REFUSE_PERCENT / 100);
        Self {
            request,
            objective_ms,
            taken_ms: 0,
            expected_end_ms: 0,
            expected_whole_ms: 0,
            has_to_wait: false,
            give_up_ms,
            refuse_ms,
            tasks,
            open,
            may_have_run: false,
            is_finishing: false,
            ending: None,
            judged_ms: None,
        }
    }

    /// When it must end: what has not begun is better refused than late, as its room goes
    /// to others that are in time, and what waits for room is of no use later. One whose
    /// tasks all run is finished for as long as its caller waits: with five of 58 upstreams
    /// eight times as slow (model, 70 % of the room taken) 0.3 % of all jobs ended without
    /// their result, 0.2 % so, and as many are in time.
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
        self.tasks.iter().flatten().all(Task::has_begun)
    }

    /// When it must end, by whether some upstream is usable. While there is none it waits
    /// as long as its result is of use: it takes nobody's room, and after a restart of
    /// everything upstreams are back within a second.
    #[must_use]
    pub fn end_by_with_ms(&self, has_upstream: bool) -> u64 {
        if has_upstream { self.end_by_ms() } else { self.end_by_ms().max(self.give_up_ms) }
    }

    /// When its result is of no use any more.
    #[must_use]
    pub fn give_up_ms(&self) -> u64 {
        self.give_up_ms
    }

    /// It is run as long as its result is of use, as its room is nobody else's.
    pub fn bear_lateness(&mut self) {
        self.refuse_ms = self.give_up_ms;
    }

    /// Work of all tasks by their estimates, in thousandths of a core times milliseconds.
    #[must_use]
    pub fn work_milli_ms(&self) -> u64 {
        let of_step = |step: &StepRequest| {
            u64::from(step.count) * u64::from(step.run_ms) * u64::from(step.need.cpu_milli)
        };
        self.request.steps.iter().map(of_step).sum()
    }

    /// Longest chain of run times over its steps, by their estimates.
    #[must_use]
    pub fn chain_ms(&self) -> u64 {
        longest_chain_ms(&self.request.steps)
    }

    /// Time within which it is in time.
    #[must_use]
    pub fn span_ms(&self) -> u64 {
        self.objective_ms - self.request.arrived_ms
    }

    /// When it must be expected to end to be taken now: within its span, as long as
    /// its result is of use. One that was held up before, as by an entry's start, is
    /// judged as if it came now.
    #[must_use]
    pub fn admit_ms(&self, now_ms: u64) -> u64 {
        self.give_up_ms.min(now_ms + self.span_ms())
    }

    /// Whether the steps before this one are done.
    #[must_use]
    pub fn is_due(&self, step: usize) -> bool {
        let after = &self.request.steps[step].after;
        after.iter().all(|before| self.open.get(usize::from(*before)) == Some(&0))
    }

    /// Steps whose tasks may be placed and of which some are not.
    #[must_use]
    pub fn steps_to_place(&self) -> Vec<usize> {
        let unplaced = |step: &Vec<Task>| step.iter().any(|task| task.state == TaskState::Unplaced);
        let steps = (0..self.tasks.len()).filter(|&step| unplaced(&self.tasks[step]));
        steps.filter(|&step| self.is_due(step)).collect()
    }

    /// Whether a task is at an agent.
    #[must_use]
    pub fn has_placed(&self) -> bool {
        self.placed().next().is_some()
    }

    fn placed(&self) -> impl Iterator<Item = AgentKey> {
        self.tasks.iter().flatten().filter_map(Task::agent)
    }

    /// Agents that have tasks of it.
    #[must_use]
    pub fn agents(&self) -> Vec<AgentKey> {
        let mut agents: Vec<_> = self.placed().collect();
        agents.sort_unstable();
        agents.dedup();
        agents
    }

    /// Whether at least half of its tasks have begun or are done.
    #[must_use]
    pub fn has_mostly_begun(&self) -> bool {
        let all = self.tasks.iter().map(Vec::len).sum::<usize>();
        let begun = self.tasks.iter().flatten().filter(|task| task.has_begun()).count();
        begun * 2 >= all
    }

    /// Agents that have tasks of it which have not begun.
    #[must_use]
    pub fn agents_not_begun(&self) -> Vec<AgentKey> {
        let waiting = self.tasks.iter().flatten().filter_map(|task| match task.state {
            TaskState::Placed { agent, started: false, .. } => Some(agent),
            _ => None,
        });
        let mut agents: Vec<_> = waiting.collect();
        agents.sort_unstable();
        agents.dedup();
        agents
    }

    /// Tasks of a step at an agent.
    #[must_use]
    pub fn count_at(&self, step: usize, agent: AgentKey) -> u16 {
        let here = self.tasks[step].iter().filter(|task| task.is_at(agent));
        here.count().try_into().unwrap_or(u16::MAX)
    }

    /// Tasks at an agent, with the numbers of their starts.
    pub fn tasks_at(&self, agent: AgentKey) -> impl Iterator<Item = (TaskKey, u32)> {
        self.tasks.iter().enumerate().flat_map(move |(step, tasks)| {
            let here = tasks.iter().enumerate().filter(move |(_, task)| task.is_at(agent));
            here.filter_map(move |(index, task)| Some((self.key_of(step, index)?, task.run)))
        })
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

    /// Whether too many upstreams crashed while a task of it ran there.
    #[must_use]
    pub fn is_crashing(&self, task: TaskKey) -> bool {
        self.task(task).is_some_and(Task::is_crashing)
    }

    /// Upstreams that crashed while runs of a task that this job started were there.
    #[must_use]
    pub fn crashes_here(&self, task: TaskKey) -> Option<u8> {
        self.task(task).map(|task| task.crashes)
    }

    /// So many crashes of upstreams are known under a task.
    pub fn crashes_told(&mut self, key: TaskKey, crashes: u8) {
        let step = self.tasks.get_mut(usize::from(key.step));
        if let Some(task) = step.and_then(|step| step.get_mut(usize::from(key.index))) {
            task.crashes_told = crashes;
        }
    }

    /// The key of a task; `None` beyond the numbers that messages can carry.
    #[must_use]
    pub fn key_of(&self, step: usize, index: usize) -> Option<TaskKey> {
        let (step, index) = (u8::try_from(step).ok()?, u16::try_from(index).ok()?);
        Some(TaskKey { job: self.request.id, step, index })
    }

    /// Takes note of what became of a run; `None` if it is not the task's
    /// present run at that agent.
    pub fn apply(
        &mut self,
        key: TaskKey,
        run: u32,
        event: RunEvent,
        from: AgentKey,
        now_ms: u64,
    ) -> Option<Outcome> {
        let step = usize::from(key.step);
        let max_attempts = self.request.kind.max_attempts.max(1);
        let task = self.tasks.get_mut(step)?.get_mut(usize::from(key.index))?;
        let TaskState::Placed { agent, since_ms, .. } = task.state else { return None };
        if agent != from || task.run != run {
            return None;
        }
        let outcome = match event {
            RunEvent::Started => {
                task.state = TaskState::Placed { agent, started: true, since_ms, recalled: false };
                task.refusals = 0;
                self.may_have_run = true;
                return Some(Outcome::Nothing);
            }
            RunEvent::Done { .. } => {
                task.state = TaskState::Done;
                self.may_have_run = true;
                self.open[step] -= 1;
                if self.open.iter().all(|open| *open == 0) {
                    Outcome::Completed
                } else if self.open[step] == 0 {
                    Outcome::PlaceAgain
                } else {
                    Outcome::Nothing
                }
            }
            RunEvent::Failed { .. } => {
                task.give_back(from);
                task.failures += 1;
                self.may_have_run = true;
                if task.failures >= max_attempts { Outcome::Failed } else { Outcome::PlaceAgain }
            }
            RunEvent::Stopped | RunEvent::Lost => {
                task.give_back(from);
                self.may_have_run = true;
                Outcome::PlaceAgain
            }
            RunEvent::Crashed => {
                task.give_back(from);
                task.crashes += 1;
                self.may_have_run = true;
                if task.is_crashing() { Outcome::Crashing } else { Outcome::PlaceAgain }
            }
            RunEvent::NotStarted(why) => {
                task.give_back(from);
                match why {
                    NotStarted::OldRun => task.run += OLD_RUN_STEP,
                    NotStarted::Refused => task.refused(now_ms),
                    _ => {}
                }
                Outcome::PlaceAgain
            }
        };
        Some(outcome)
    }
}

/// Start numbers passed over when an upstream has seen a higher one: another
/// entry started the task there for an earlier submission of the same job.
const OLD_RUN_STEP: u32 = 8;

/// Longest chain of run times over the steps' order, in milliseconds. Steps name
/// only earlier ones.
fn longest_chain_ms(steps: &[StepRequest]) -> u64 {
    let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
    for step in steps {
        let before = step.after.iter().filter_map(|&before| ends.get(usize::from(before)));
        let begin = before.max().copied().unwrap_or(0);
        ends.push(begin + u64::from(step.run_ms));
    }
    ends.into_iter().max().unwrap_or(0)
}
