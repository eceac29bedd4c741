//! Who is turned away, and where tasks go.

use {
    super::{
        AgentKey, AgentView, Asked, Command, Dispatch, EVACUATED_RETRY_MS, Expected, Job,
        JobAnswer, JobForecast, JobKey, NOT_HERE_RETRY_MS, NoResultReason, Planned, RETRY_MS,
        SAME_END_MS, SAME_ROOM_TASKS, StepRequest,
        job::{Task, TaskState},
        kinds::KindRecord,
    },
    std::collections::BTreeMap,
    sycamorerail_wire::runs::{Resources, StepPlacement, TaskStart},
};

/// A task with the agent that is to have it.
struct PlannedTask {
    index: u16,
    agent: AgentKey,
    expected: Expected,
}

impl Dispatch {
    /// Whether the whole job can be in time, by what is known. One that would be late
    /// is better refused at once than done: its room goes to others that are in time.
    pub(super) fn admit(&self, job: &Job, forecast: &JobForecast) -> Result<(), JobAnswer> {
        if job.request.steps.iter().any(|wanted| self.never_fits(job, wanted)) {
            return Err(JobAnswer::Failed);
        }
        if self.is_pool_evacuated(&job.request.kind.pool) {
            let retry_after_ms = EVACUATED_RETRY_MS;
            return Err(JobAnswer::NotRun { reason: NoResultReason::Evacuated, retry_after_ms });
        }
        if job.request.steps.iter().any(|wanted| self.fits_only_elsewhere(job, wanted)) {
            let retry_after_ms = NOT_HERE_RETRY_MS;
            return Err(JobAnswer::NotRun { reason: NoResultReason::NotHere, retry_after_ms });
        }
        if forecast.is_in_time() || forecast.is_late_without_harm() {
            return Ok(());
        }
        let retry_after_ms = forecast.wait_ms.clamp(RETRY_MS.0, RETRY_MS.1);
        let retry_after_ms = u32::try_from(retry_after_ms).unwrap_or(u32::MAX);
        Err(JobAnswer::NotRun { reason: NoResultReason::Overload, retry_after_ms })
    }

    /// When the tasks that may be placed now will all have ended.
    pub(super) fn forecast(&self, job: &Job, now_ms: u64) -> JobForecast {
        let steps = job.steps_to_place();
        let plans = steps.into_iter().flat_map(|step| self.plan(job, step, now_ms));
        let last = plans.max_by_key(|planned| planned.expected.end_ms);
        let (end_in_ms, wait_ms) =
            last.map_or((0, 0), |last| (last.expected.end_ms, last.expected.wait_ms));
        let late_ms = if wait_ms > 0 { self.lateness_ms(job, now_ms) } else { 0 };
        let admit_ms =
            if self.is_recovering(now_ms) { job.give_up_ms() } else { job.admit_ms(now_ms) };
        JobForecast {
            end_in_ms,
            wait_ms,
            late_ms,
            must_end_in_ms: admit_ms.saturating_sub(now_ms),
            of_use_in_ms: job.give_up_ms().saturating_sub(now_ms),
            strain_percent: self.strain_percent(job, now_ms),
            stops_in_ms: self.stops_ms.map(|stops_ms| stops_ms.saturating_sub(now_ms)),
        }
    }

    /// How much later than forecast jobs of the kind end now, in milliseconds.
    fn lateness_ms(&self, job: &Job, now_ms: u64) -> i64 {
        self.kinds.get(&job.request.kind.name).map_or(0, |kind| kind.lateness_ms(now_ms))
    }

    /// Whether upstreams of the pool are known and none could ever hold it, here or
    /// elsewhere: an entry has links to some of them only.
    fn never_fits(&self, job: &Job, step: &StepRequest) -> bool {
        let pool = &*job.request.kind.pool;
        let mut of_pool = self.agents.values().filter_map(|agent| agent.life.as_ref());
        let known = of_pool.any(|life| life.pool == pool);
        let fits = |agent: &AgentView| agent.suits(pool, &step.need, None);
        let elsewhere = self.largest.get(pool).is_some_and(|largest| largest.covers(&step.need));
        known && !elsewhere && !self.agents.values().any(fits)
    }

    /// Whether there are links to upstreams of the pool, but to none that could hold it.
    fn fits_only_elsewhere(&self, job: &Job, step: &StepRequest) -> bool {
        let pool = &*job.request.kind.pool;
        let linked = || self.agents.values().filter(|agent| agent.is_serving());
        let label = step.required_label.as_deref();
        linked().any(|agent| agent.suits(pool, &Resources::default(), None))
            && !linked().any(|agent| agent.suits(pool, &step.need, label))
    }

    /// Agents that are usable now and could run a task of the step.
    fn candidates<'a>(
        &'a self,
        job: &'a Job,
        step: &'a StepRequest,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a AgentView> {
        self.agents.values().filter(move |agent| {
            agent.is_usable(now_ms, self.limits.suspect_ms)
                && agent.suits(&job.request.kind.pool, &step.need, step.required_label.as_deref())
        })
    }

    fn asked<'a>(&self, job: &Job, step: &'a StepRequest) -> Asked<'a> {
        Asked {
            need: &step.need,
            run_ms: self.corrected_ms(job, step),
            priority: job.request.kind.priority,
            prefers: step.preferred_label.as_deref(),
        }
    }

    pub(super) fn corrected_ms(&self, job: &Job, step: &StepRequest) -> u32 {
        let kind = self.kinds.get(&job.request.kind.name);
        let percent = kind.map_or(100, KindRecord::work_percent);
        let corrected = u64::from(step.run_ms) * u64::from(percent) / 100;
        u32::try_from(corrected).unwrap_or(u32::MAX)
    }

    /// Places what is unplaced of a job, as far as agents are usable.
    pub(super) fn place(&mut self, key: JobKey, now_ms: u64) {
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
        let mut by_agent: BTreeMap<(AgentKey, bool), Vec<TaskStart>> = BTreeMap::new();
        for PlannedTask { index, agent, .. } in chosen {
            let task = &mut job.tasks[step][usize::from(index)];
            task.run += 1;
            task.state =
                TaskState::Placed { agent, started: false, since_ms: now_ms, recalled: false };
            let start = TaskStart { index, run: task.run };
            by_agent.entry((agent, task.is_suspect())).or_default().push(start);
        }
        let all = !job.tasks[step].iter().any(|task| task.state == TaskState::Unplaced);
        let placements: Vec<_> = by_agent
            .into_iter()
            .map(|((agent, suspect), tasks)| {
                (agent, self.placement(key, step, tasks, suspect, now_ms))
            })
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
        suspect: bool,
        now_ms: u64,
    ) -> Option<StepPlacement> {
        let job = self.jobs.get(key)?;
        let wanted = &job.request.steps[step];
        let left = |at_ms: u64| u32::try_from(at_ms.saturating_sub(now_ms)).unwrap_or(u32::MAX);
        Some(StepPlacement {
            job: job.request.id,
            step: u8::try_from(step).ok()?,
            spec: job.request.spec.clone(),
            tasks,
            need: wanted.need,
            run_ms: self.corrected_ms(job, wanted),
            priority: job.request.kind.priority,
            objective_in_ms: left(job.objective_ms),
            give_up_in_ms: left(job.end_by_ms()),
            job_mostly_started: job.has_mostly_begun(),
            suspect,
        })
    }

    /// An agent for each unplaced task of a step, where one is usable.
    fn plan(&self, job: &Job, step: usize, now_ms: u64) -> Vec<PlannedTask> {
        let wanted = &job.request.steps[step];
        let asked = self.asked(job, wanted);
        let candidates = self.candidates(job, wanted, now_ms);
        let mut candidates: Vec<_> = candidates.map(|agent| (agent, Planned::default())).collect();
        if candidates.is_empty() {
            return Vec::new();
        }
        candidates.sort_unstable_by_key(|(agent, _)| agent.rank);
        let mut taken = self.agents_with_suspects(job, step);
        let mut plan = Vec::new();
        for (index, task) in job.tasks[step].iter().enumerate() {
            if !task.is_due(now_ms) {
                continue;
            }
            let kept_free = if task.is_suspect() { &*taken } else { &[] };
            let best = best_of(&candidates, job, step, &asked, task.avoid, kept_free);
            let (Some((best, expected)), Ok(index)) = (best, u16::try_from(index)) else {
                continue;
            };
            let (agent, planned) = &mut candidates[best];
            planned.add(asked.need, asked.run_ms);
            if task.is_suspect() {
                taken.push(agent.key);
            }
            plan.push(PlannedTask { index, agent: agent.key, expected });
        }
        plan
    }

    /// Agents that have a task under which upstreams crashed, if the step to be placed has
    /// such tasks, too.
    fn agents_with_suspects(&self, job: &Job, step: usize) -> Vec<AgentKey> {
        if !job.tasks[step].iter().any(Task::is_suspect) {
            return Vec::new();
        }
        let all = self.jobs.values().flat_map(|job| job.tasks.iter().flatten());
        all.filter(|task| task.is_suspect()).filter_map(Task::agent).collect()
    }

    /// The part of a plan with which tasks end before nobody waits for the job.
    fn choose(&mut self, key: JobKey, step: usize, now_ms: u64) -> Vec<PlannedTask> {
        let Some(job) = self.jobs.get(key) else { return Vec::new() };
        let mut plan = self.plan(job, step, now_ms);
        let starts_at_once = plan.iter().all(|planned| planned.expected.wait_ms == 0);
        let is_late =
            |end_by_ms| move |planned: &PlannedTask| now_ms + planned.expected.end_ms > end_by_ms;
        if starts_at_once && plan.iter().any(is_late(job.end_by_ms())) {
            self.jobs[key].bear_lateness();
        }
        let is_too_late = is_late(self.jobs[key].end_by_ms());
        plan.retain(|planned| !is_too_late(planned));
        plan
    }

    /// Tries again to place what is unplaced.
    pub(super) fn place_waiting(&mut self, now_ms: u64) {
        for key in self.unplaced.clone() {
            self.place(key, now_ms);
        }
    }

    /// Whether a job with an unplaced task can end no more before its caller
    /// leaves, even if an upstream took the task now.
    pub(super) fn is_hopeless(&self, key: JobKey, has_upstream: bool, now_ms: u64) -> bool {
        let Some(job) = self.jobs.get(key) else { return false };
        let steps = job.steps_to_place();
        let longest = steps.iter().map(|&step| self.corrected_ms(job, &job.request.steps[step]));
        let run_ms = u64::from(longest.max().unwrap_or(0));
        now_ms + run_ms > job.end_by_with_ms(has_upstream)
    }
}

/// The candidate that ends a task first; among equals one of those with most room, the
/// first in the entry's own order. An agent that gave the task back is taken only if there
/// is no other, those that are kept free of it never.
fn best_of(
    candidates: &[(&AgentView, Planned)],
    job: &Job,
    step: usize,
    asked: &Asked<'_>,
    avoid: Option<AgentKey>,
    kept_free: &[AgentKey],
) -> Option<(usize, Expected)> {
    let wanted = &job.request.steps[step];
    let mut best: Option<(usize, Expected)> = None;
    let others = candidates.len() > 1;
    for (place, (agent, planned)) in candidates.iter().enumerate() {
        let full = wanted
            .max_per_upstream
            .is_some_and(|most| job.count_at(step, agent.key) + planned.count >= most);
        if full || (others && avoid == Some(agent.key)) || kept_free.contains(&agent.key) {
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

/// Among those that end a task as early: one with clearly more room, or with as much and
/// fewer tasks of the same job.
fn is_better(one: &Expected, other: &Expected) -> bool {
    if one.cost_ms.abs_diff(other.cost_ms) > SAME_END_MS {
        return one.cost_ms < other.cost_ms;
    }
    let (room, other_room) = (room_class(one), room_class(other));
    room > other_room || (room == other_room && one.planned < other.planned)
}

/// Upstreams of one class are alike; without any room is a class of its own.
fn room_class(expected: &Expected) -> u32 {
    if expected.room_for == 0 { 0 } else { 1 + expected.room_for / SAME_ROOM_TASKS }
}
