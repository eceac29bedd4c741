//! Dispatch of jobs at an entry: who is turned away, where tasks go, and what
//! is answered.
//!
//! A job is placed as a whole when it comes, as its answer waits for its slowest
//! task. Tasks without room wait at the agents, which start them the moment that
//! room comes back, in one order for all entries. What an agent gives back is
//! placed elsewhere. A job that cannot end before its caller leaves is turned
//! away at once; one that was placed is withdrawn first, so that "not run" is
//! known and not assumed.

mod agents;
mod job;
mod types;

pub use {
    agents::{AgentView, Asked, Expected, Planned},
    job::{Job, longest_chain_ms},
    types::{
        AgentKey, Command, DispatchLimits, GiveUp, JobAnswer, JobKey, JobRequest, KindParameters,
        StepRequest,
    },
};

use {
    job::{Ending, Outcome, TaskState},
    slotmap::SlotMap,
    std::{
        collections::{BTreeSet, HashMap},
        sync::Arc,
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{
            CallerId, Placement, RunEvent, RunReport, TaskKey, TaskStart, UpstreamLife,
            UpstreamLoad,
        },
    },
};

/// Weight of the newest sample of a kind's run times, as one part of this many.
const WORK_PARTS: u32 = 32;
/// Corrections of estimates stay within these bounds, in percent.
const WORK_PERCENT: (u32, u32) = (50, 300);
/// Shortest and longest time told to callers that are turned away.
const RETRY_MS: (u64, u64) = (100, 5_000);
/// Time told where no upstream is usable: agents are back about then.
const NO_UPSTREAM_RETRY_MS: u32 = 1_000;
/// A task that has not begun after this much time waits: starts are told within
/// 5 ms as a rule. Doubled with each start number, or tasks would go round between
/// full upstreams, as room is claimed by several entries at once.
const RECALL_AFTER_MS: u64 = 15;
/// Doublings of it at most.
const MAX_DOUBLINGS: u32 = 6;
/// Agents with as good an expectation as the best within this are chosen among
/// by free room: it is less than the error of any expectation.
const SAME_END_MS: u64 = 3;

/// A task that waits at an agent.
struct Waiting {
    job: JobKey,
    task: TaskKey,
    at: AgentKey,
    need_milli: u32,
    end_by_ms: u64,
}

/// Jobs and agents of one entry.
#[derive(Debug, Default)]
pub struct Dispatch {
    limits: DispatchLimits,
    jobs: SlotMap<JobKey, Job>,
    by_id: HashMap<CallerId, JobKey>,
    agents: SlotMap<AgentKey, AgentView>,
    by_name: HashMap<String, AgentKey>,
    /// Jobs with tasks to place.
    unplaced: BTreeSet<JobKey>,
    /// Observed run times against estimates in percent, by kind.
    work_percent: HashMap<String, u32>,
    commands: Vec<Command>,
    /// Rises with each choice, so that equal agents take turns.
    turn: usize,
    is_stopping: bool,
}

impl Dispatch {
    /// Without jobs and agents.
    #[must_use]
    pub fn new(limits: DispatchLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// What is to be done since the last call.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Jobs held.
    #[must_use]
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Jobs of a kind of which no task has begun.
    #[must_use]
    pub fn pending(&self, kind: &str) -> usize {
        let of_kind = |job: &&Job| job.request.kind.name == kind && !job.may_have_run;
        self.jobs.values().filter(of_kind).count()
    }

    /// Agents that take work now.
    #[must_use]
    pub fn usable_agents(&self, now_ms: u64) -> usize {
        let usable = |agent: &&AgentView| agent.is_usable(now_ms, self.limits.suspect_ms);
        self.agents.values().filter(usable).count()
    }

    /// A job of this id that is not over.
    #[must_use]
    pub fn find(&self, id: CallerId) -> Option<JobKey> {
        self.by_id.get(&id).copied()
    }

    /// A job, for the log.
    #[must_use]
    pub fn job(&self, key: JobKey) -> Option<&Job> {
        self.jobs.get(key)
    }

    /// Refuses new jobs from now on.
    pub fn stop_accepting(&mut self) {
        self.is_stopping = true;
    }

    /// Takes a job, or says why not. A job that is taken is answered by a
    /// [`Command::Answer`].
    ///
    /// # Errors
    ///
    /// The answer, when the job is turned away: nothing of it runs.
    pub fn submit(&mut self, request: JobRequest, now_ms: u64) -> Result<JobKey, JobAnswer> {
        let refused = |why, retry_after_ms| JobAnswer::NotRun { why, retry_after_ms };
        if self.is_stopping {
            return Err(refused(GiveUp::Stopping, RETRY_MS.0 as u32));
        }
        if self.by_id.contains_key(&request.id) {
            // The first may have run: "not run" would not be true.
            return Err(JobAnswer::Unknown { why: GiveUp::Duplicate });
        }
        if self.jobs.len() >= self.limits.max_jobs {
            return Err(refused(GiveUp::Overload, NO_UPSTREAM_RETRY_MS));
        }
        let id = request.id;
        let job = Job::new(request, 100);
        self.admit(&job, now_ms)?;
        let key = self.jobs.insert(job);
        self.by_id.insert(id, key);
        self.place(key, now_ms);
        Ok(key)
    }

    /// Whether the job can end before its caller leaves, by what is known.
    fn admit(&self, job: &Job, now_ms: u64) -> Result<(), JobAnswer> {
        for (step, wanted) in job.request.steps.iter().enumerate() {
            if self.never_fits(job, wanted) {
                return Err(JobAnswer::Failed);
            }
            if !job.is_due(step) {
                continue;
            }
            let Some(expected) = self.best_expected(job, wanted, now_ms) else {
                continue;
            };
            if now_ms + expected.end_ms > job.end_by_ms() {
                let retry = expected.wait_ms.clamp(RETRY_MS.0, RETRY_MS.1) as u32;
                return Err(JobAnswer::NotRun { why: GiveUp::Overload, retry_after_ms: retry });
            }
        }
        Ok(())
    }

    /// Whether upstreams of the pool are known and none could ever hold it.
    fn never_fits(&self, job: &Job, step: &StepRequest) -> bool {
        let pool = &*job.request.kind.pool;
        let mut of_pool = self.agents.values().filter_map(|agent| agent.life.as_ref());
        let known = of_pool.any(|life| life.pool == pool);
        let fits = |agent: &AgentView| agent.suits(pool, &step.need, None);
        known && !self.agents.values().any(fits)
    }

    fn best_expected(&self, job: &Job, step: &StepRequest, now_ms: u64) -> Option<Expected> {
        let asked = self.asked(job, step);
        let suitable = self.agents.values().filter(|agent| {
            agent.is_usable(now_ms, self.limits.suspect_ms)
                && agent.suits(&job.request.kind.pool, &step.need, step.required_label.as_deref())
        });
        let none = Planned::default();
        suitable.map(|agent| agent.expect(&none, &asked)).min_by_key(|expected| expected.end_ms)
    }

    fn asked<'a>(&self, job: &Job, step: &'a StepRequest) -> Asked<'a> {
        Asked {
            need: &step.need,
            run_ms: self.corrected_ms(job, step),
            priority: job.request.kind.priority,
            prefers: step.preferred_label.as_deref(),
        }
    }

    fn corrected_ms(&self, job: &Job, step: &StepRequest) -> u32 {
        let percent = self.work_percent.get(&job.request.kind.name).copied().unwrap_or(100);
        let corrected = u64::from(step.run_ms) * u64::from(percent) / 100;
        u32::try_from(corrected).unwrap_or(u32::MAX)
    }

    /// Places what is unplaced of a job, as far as agents are usable.
    fn place(&mut self, key: JobKey, now_ms: u64) {
        let Some(job) = self.jobs.get(key) else { return };
        if job.ending.is_some() {
            return;
        }
        let mut left = false;
        for step in job.steps_to_place() {
            left |= !self.place_step(key, step, now_ms);
        }
        if left {
            self.unplaced.insert(key);
        } else {
            self.unplaced.remove(&key);
        }
    }

    /// Places the tasks of a step; returns whether none is left unplaced.
    fn place_step(&mut self, key: JobKey, step: usize, now_ms: u64) -> bool {
        let chosen = self.choose(key, step, now_ms);
        let Some(job) = self.jobs.get_mut(key) else { return true };
        let mut by_agent: HashMap<AgentKey, Vec<TaskStart>> = HashMap::new();
        for (index, agent) in &chosen {
            let task = &mut job.tasks[step][usize::from(*index)];
            task.run += 1;
            task.state = TaskState::Placed {
                agent: *agent,
                started: false,
                since_ms: now_ms,
                recalled: false,
            };
            by_agent.entry(*agent).or_default().push(TaskStart { index: *index, run: task.run });
        }
        let all = !job.tasks[step].iter().any(|task| task.state == TaskState::Unplaced);
        let placements: Vec<_> = by_agent
            .into_iter()
            .map(|(agent, tasks)| (agent, self.placement(key, step, tasks, now_ms)))
            .collect();
        for (agent, placement) in placements {
            self.commands.extend(placement.map(|placement| Command::Place(agent, placement)));
        }
        all
    }

    fn placement(
        &self,
        key: JobKey,
        step: usize,
        tasks: Vec<TaskStart>,
        now_ms: u64,
    ) -> Option<Placement> {
        let job = self.jobs.get(key)?;
        let wanted = &job.request.steps[step];
        let left = |at_ms: u64| u32::try_from(at_ms.saturating_sub(now_ms)).unwrap_or(u32::MAX);
        Some(Placement {
            job: job.request.id,
            step: u8::try_from(step).ok()?,
            spec: job.request.spec.clone(),
            tasks,
            need: wanted.need,
            run_ms: self.corrected_ms(job, wanted),
            priority: job.request.kind.priority,
            objective_in_ms: left(job.objective_ms),
            give_up_in_ms: left(job.end_by_ms()),
        })
    }

    /// An agent for each unplaced task of a step, where one is usable and the
    /// task can end there before the caller leaves.
    fn choose(&mut self, key: JobKey, step: usize, now_ms: u64) -> Vec<(u16, AgentKey)> {
        let Some(job) = self.jobs.get(key) else { return Vec::new() };
        let wanted = &job.request.steps[step];
        let asked = self.asked(job, wanted);
        let pool = &*job.request.kind.pool;
        let label = wanted.required_label.as_deref();
        let usable = self.agents.values().filter(|agent| {
            agent.is_usable(now_ms, self.limits.suspect_ms)
                && agent.suits(pool, &wanted.need, label)
        });
        let mut candidates: Vec<(&AgentView, Planned)> =
            usable.map(|agent| (agent, Planned::default())).collect();
        if candidates.is_empty() {
            return Vec::new();
        }
        self.turn = self.turn.wrapping_add(1);
        let turn = self.turn % candidates.len();
        candidates.rotate_left(turn);
        let mut chosen = Vec::new();
        for (index, task) in job.tasks[step].iter().enumerate() {
            if task.state != TaskState::Unplaced {
                continue;
            }
            let best = best_of(&candidates, job, step, &asked, task.avoid);
            let Some((best, expected)) = best else { continue };
            if now_ms + expected.end_ms > job.end_by_ms() {
                continue;
            }
            let (agent, planned) = &mut candidates[best];
            planned.add(asked.need, asked.run_ms);
            chosen.extend(u16::try_from(index).ok().map(|index| (index, agent.key)));
        }
        chosen
    }

    /// Takes a report of an agent.
    pub fn report(
        &mut self,
        agent: AgentKey,
        reports: &[RunReport],
        load: UpstreamLoad,
        heard: u64,
        now_ms: u64,
    ) {
        let Some(view) = self.agents.get_mut(agent) else { return };
        view.set_load(load, heard, now_ms);
        if load.usable && view.old_runs_until_ms.take().is_some() {
            // It says so only when nothing of its earlier run is left.
            self.lose_runs(agent, |_, _| true, now_ms);
        }
        for report in reports {
            self.apply(agent, report.task, report.run, report.event, now_ms);
        }
        self.place_waiting(now_ms);
        self.recall_for(agent, now_ms);
    }

    /// Asks tasks back that wait at other agents, for the room that this one has.
    ///
    /// A job waits for its slowest task, and run times are off by 40 %: without it
    /// some tasks queue at one upstream while others have room again.
    fn recall_for(&mut self, agent: AgentKey, now_ms: u64) {
        let Some(view) = self.agents.get(agent) else { return };
        if !view.is_usable(now_ms, self.limits.suspect_ms) || view.load.waiting > 0 {
            return;
        }
        // The rest is for what comes, here and at other entries.
        let mut room_milli = view.free_cpu_milli() / 2;
        let mut waiting = self.waiting_elsewhere(agent, now_ms);
        waiting.sort_unstable_by_key(|waiting| waiting.end_by_ms);
        let mut by_agent: HashMap<AgentKey, Vec<TaskKey>> = HashMap::new();
        for Waiting { job, task, at, need_milli, .. } in waiting {
            let Some(left) = room_milli.checked_sub(need_milli) else { break };
            room_milli = left;
            by_agent.entry(at).or_default().push(task);
            let Some(job) = self.jobs.get_mut(job) else { continue };
            let state = &mut job.tasks[usize::from(task.step)][usize::from(task.index)].state;
            if let TaskState::Placed { recalled, .. } = state {
                *recalled = true;
            }
        }
        let recalls = by_agent.into_iter().map(|(at, tasks)| Command::Withdraw(at, tasks));
        self.commands.extend(recalls);
    }

    /// Tasks that wait at other agents for a while, and could run at this one.
    fn waiting_elsewhere(&self, agent: AgentKey, now_ms: u64) -> Vec<Waiting> {
        let others = |at: AgentKey| {
            at != agent && self.agents.get(at).is_some_and(|view| view.load.waiting > 0)
        };
        if !self.agents.keys().any(others) {
            return Vec::new();
        }
        let mut found = Vec::new();
        for (key, job) in self.jobs.iter().filter(|(_, job)| job.ending.is_none()) {
            for (step, wanted) in job.request.steps.iter().enumerate() {
                if !self.agents[agent].suits(
                    &job.request.kind.pool,
                    &wanted.need,
                    wanted.required_label.as_deref(),
                ) {
                    continue;
                }
                for (index, task) in job.tasks[step].iter().enumerate() {
                    let TaskState::Placed { agent: at, started: false, since_ms, recalled: false } =
                        task.state
                    else {
                        continue;
                    };
                    let (Ok(step), Ok(index)) = (u8::try_from(step), u16::try_from(index)) else {
                        continue;
                    };
                    let patience_ms =
                        RECALL_AFTER_MS << task.run.saturating_sub(1).min(MAX_DOUBLINGS);
                    if others(at) && now_ms >= since_ms + patience_ms {
                        let task = TaskKey { job: job.request.id, step, index };
                        let need_milli = wanted.need.cpu_milli;
                        found.push(Waiting {
                            job: key,
                            task,
                            at,
                            need_milli,
                            end_by_ms: job.objective_ms,
                        });
                    }
                }
            }
        }
        found
    }

    fn apply(&mut self, agent: AgentKey, task: TaskKey, run: u32, event: RunEvent, now_ms: u64) {
        let Some(&key) = self.by_id.get(&task.job) else { return };
        let Some(job) = self.jobs.get_mut(key) else { return };
        let Some(outcome) = job.apply(task, run, event, agent) else { return };
        if let RunEvent::Done { run_ms } = event {
            let estimate_ms = job.request.steps[usize::from(task.step)].run_ms;
            let kind = Arc::clone(&job.request.kind);
            self.note_run_time(&kind.name, run_ms, estimate_ms);
        }
        self.advance(key, outcome, now_ms);
    }

    fn advance(&mut self, key: JobKey, outcome: Outcome, now_ms: u64) {
        let Some(job) = self.jobs.get(key) else { return };
        if job.ending.is_some() {
            return self.finish_ending(key);
        }
        match outcome {
            Outcome::Nothing => {}
            Outcome::PlaceAgain => self.place(key, now_ms),
            Outcome::Completed => {
                self.commands.push(Command::Answer(key, JobAnswer::Completed));
                self.remove(key);
            }
            Outcome::Failed => {
                self.commands.push(Command::Answer(key, JobAnswer::Failed));
                self.end(key, Ending::Answered);
            }
        }
    }

    fn note_run_time(&mut self, kind: &str, run_ms: u32, estimate_ms: u32) {
        let sample = u64::from(run_ms) * 100 / u64::from(estimate_ms.max(1));
        let sample = sample.clamp(WORK_PERCENT.0.into(), WORK_PERCENT.1.into()) as u32;
        match self.work_percent.get_mut(kind) {
            Some(past) => *past = (*past * (WORK_PARTS - 1) + sample) / WORK_PARTS,
            None => {
                self.work_percent.insert(kind.to_owned(), 100);
            }
        }
    }

    /// Ends a job whose caller has left or cancelled it.
    pub fn cancel(&mut self, key: JobKey) {
        if self.jobs.get(key).is_some_and(|job| job.ending.is_none()) {
            self.end(key, Ending::GivenUp(GiveUp::Cancelled));
        }
    }

    /// Withdraws and stops what agents have of a job; it is over when they have
    /// told.
    fn end(&mut self, key: JobKey, ending: Ending) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.ending = Some(ending);
        let id = job.request.id;
        let stops = job.agents().into_iter().map(|agent| Command::Stop(agent, id));
        self.commands.extend(stops);
        self.unplaced.remove(&key);
        self.finish_ending(key);
    }

    fn finish_ending(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else { return };
        if job.has_placed() {
            return;
        }
        if let Some(Ending::GivenUp(why)) = job.ending {
            let answer = if job.may_have_run {
                JobAnswer::Unknown { why }
            } else {
                JobAnswer::NotRun { why, retry_after_ms: RETRY_MS.0 as u32 }
            };
            self.commands.push(Command::Answer(key, answer));
        }
        self.remove(key);
    }

    fn remove(&mut self, key: JobKey) {
        self.unplaced.remove(&key);
        if let Some(job) = self.jobs.remove(key) {
            self.by_id.remove(&job.request.id);
        }
    }

    /// Tries again to place what is unplaced.
    fn place_waiting(&mut self, now_ms: u64) {
        for key in self.unplaced.clone() {
            self.place(key, now_ms);
        }
    }

    /// Does what is due by time: gives up jobs that cannot end in time any more,
    /// and declares lost what silent agents had.
    pub fn tick(&mut self, now_ms: u64) {
        self.lose_silent(now_ms);
        self.place_waiting(now_ms);
        let hopeless: Vec<_> =
            self.unplaced.iter().copied().filter(|key| self.is_hopeless(*key, now_ms)).collect();
        for key in hopeless {
            let why =
                if self.usable_agents(now_ms) == 0 { GiveUp::NoUpstream } else { GiveUp::TooLate };
            self.end(key, Ending::GivenUp(why));
        }
        let passed = |(_, job): &(JobKey, &Job)| job.ending.is_none() && now_ms >= job.end_by_ms();
        let passed: Vec<_> = self.jobs.iter().filter(passed).map(|(key, _)| key).collect();
        for key in passed {
            self.end(key, Ending::GivenUp(GiveUp::TooLate));
        }
    }

    /// Whether a job with an unplaced task can end no more before its caller
    /// leaves, even if an upstream took the task now.
    fn is_hopeless(&self, key: JobKey, now_ms: u64) -> bool {
        let Some(job) = self.jobs.get(key) else { return false };
        let steps = job.steps_to_place();
        let longest = steps.iter().map(|&step| self.corrected_ms(job, &job.request.steps[step]));
        let run_ms = u64::from(longest.max().unwrap_or(0));
        now_ms + run_ms > job.end_by_ms()
    }

    fn lose_silent(&mut self, now_ms: u64) {
        let lost_ms = self.limits.lost_ms;
        let is_lost = |agent: &&AgentView| {
            now_ms >= agent.heard_ms + lost_ms
                || agent.old_runs_until_ms.is_some_and(|until_ms| now_ms >= until_ms)
        };
        let lost: Vec<_> = self.agents.values().filter(is_lost).map(|agent| agent.key).collect();
        for key in lost {
            if let Some(view) = self.agents.get_mut(key) {
                view.old_runs_until_ms = None;
            }
            self.lose_runs(key, |_, _| true, now_ms);
        }
    }

    /// Declares the tasks at an agent lost that `is_lost` picks.
    fn lose_runs(&mut self, agent: AgentKey, is_lost: impl Fn(TaskKey, u32) -> bool, now_ms: u64) {
        let mut lost = Vec::new();
        for job in self.jobs.values() {
            for (step, tasks) in job.tasks.iter().enumerate() {
                for (index, task) in tasks.iter().enumerate() {
                    let here =
                        matches!(task.state, TaskState::Placed { agent: at, .. } if at == agent);
                    let (Ok(step), Ok(index)) = (u8::try_from(step), u16::try_from(index)) else {
                        continue;
                    };
                    let key = TaskKey { job: job.request.id, step, index };
                    if here && is_lost(key, task.run) {
                        lost.push((key, task.run));
                    }
                }
            }
        }
        for (task, run) in lost {
            self.apply(agent, task, run, RunEvent::Lost, now_ms);
        }
    }

    /// Takes reports that an agent sends again as it connects anew, before what
    /// it still holds is compared.
    pub fn take_reports(
        &mut self,
        name: &str,
        incarnation: Incarnation,
        reports: &[RunReport],
        now_ms: u64,
    ) {
        let Some(&key) = self.by_name.get(name) else { return };
        if self.agents[key].incarnation != incarnation {
            return;
        }
        for report in reports {
            self.apply(key, report.task, report.run, report.event, now_ms);
        }
    }

    /// An agent has connected. `held` are the runs of ours that it still has, if
    /// it has heard this run of ours before.
    pub fn agent_connected(
        &mut self,
        name: &str,
        incarnation: Incarnation,
        held: Option<&[(TaskKey, u32)]>,
        now_ms: u64,
    ) -> AgentKey {
        let Some(&key) = self.by_name.get(name) else {
            let key = self
                .agents
                .insert_with_key(|key| AgentView::new(key, name.to_owned(), incarnation, now_ms));
            self.by_name.insert(name.to_owned(), key);
            return key;
        };
        let view = &mut self.agents[key];
        let restarted = view.incarnation != incarnation;
        view.incarnation = incarnation;
        if restarted {
            view.old_runs_until_ms = Some(now_ms + self.limits.lost_ms);
        } else if let Some(held) = held {
            self.lose_runs(key, |task, run| !held.contains(&(task, run)), now_ms);
        }
        key
    }

    /// The connection of [`Self::agent_connected`] is in use from now on.
    pub fn agent_ready(&mut self, key: AgentKey, now_ms: u64) {
        if let Some(view) = self.agents.get_mut(key) {
            view.reconnect(now_ms);
        }
    }

    /// An agent's connection has ended.
    pub fn agent_disconnected(&mut self, key: AgentKey) {
        if let Some(view) = self.agents.get_mut(key) {
            view.connected = false;
        }
    }

    /// An agent tells its upstream's life.
    pub fn set_life(&mut self, key: AgentKey, life: UpstreamLife) {
        if let Some(view) = self.agents.get_mut(key) {
            view.life = Some(life);
        }
    }

    /// The last known life of an agent's upstream.
    #[must_use]
    pub fn life(&self, key: AgentKey) -> Option<&UpstreamLife> {
        self.agents.get(key)?.life.as_ref()
    }

    /// Counts a message to an agent; returns its number.
    pub fn message_sent(&mut self, key: AgentKey, placed: Option<&Placement>, now_ms: u64) {
        let Some(view) = self.agents.get_mut(key) else { return };
        let message = view.echo.sent(now_ms);
        if let Some(placed) = placed {
            let count = u32::try_from(placed.tasks.len()).unwrap_or(u32::MAX);
            view.sent(message, &placed.need, count, placed.run_ms);
        }
    }

    /// Forgets agents that are gone for so long that nothing of theirs matters.
    pub fn forget_agents(&mut self, now_ms: u64, after_ms: u64) {
        let gone = self
            .agents
            .values()
            .filter(|agent| !agent.connected && now_ms >= agent.heard_ms + after_ms);
        let gone: Vec<_> = gone.map(|agent| (agent.key, agent.name.clone())).collect();
        for (key, name) in gone {
            self.lose_runs(key, |_, _| true, now_ms);
            self.agents.remove(key);
            self.by_name.remove(&name);
        }
    }
}

/// The candidate that ends a task first; among equals the one with most room.
/// An agent that gave the task back is taken only if there is no other.
fn best_of(
    candidates: &[(&AgentView, Planned)],
    job: &Job,
    step: usize,
    asked: &Asked<'_>,
    avoid: Option<AgentKey>,
) -> Option<(usize, Expected)> {
    let wanted = &job.request.steps[step];
    let mut best: Option<(usize, Expected)> = None;
    let others = candidates.len() > 1;
    for (place, (agent, planned)) in candidates.iter().enumerate() {
        let full = wanted
            .max_per_upstream
            .is_some_and(|most| job.count_at(step, agent.key) + planned.count >= most);
        if full || (others && avoid == Some(agent.key)) {
            continue;
        }
        let expected = agent.expect(planned, asked);
        let better = best.is_none_or(|(_, known)| is_better(&expected, &known));
        if better {
            best = Some((place, expected));
        }
    }
    best
}

fn is_better(one: &Expected, other: &Expected) -> bool {
    if one.cost_ms.abs_diff(other.cost_ms) <= SAME_END_MS {
        return one.free_cpu_milli > other.free_cpu_milli;
    }
    one.cost_ms < other.cost_ms
}
