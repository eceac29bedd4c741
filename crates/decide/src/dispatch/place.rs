//! Admission of jobs and placement of their tasks.

use {
    super::{
        AgentKey, AgentView, Command, Dispatch, EQUAL_COST_MS, EVACUATED_RETRY_MS, Job, JobAnswer,
        JobForecast, JobKey, NOT_HERE_RETRY_MS, NoResultReason, PlannedTasks, RETRY_RANGE_MS,
        ROOM_CLASS_TASKS, StepRequest, TaskDemand, TaskEstimate,
        job::{Task, TaskState},
        kinds::KindRecord,
    },
    std::collections::BTreeMap,
    sycamorerail_wire::runs::{PlacementTarget, Resources, StepPlacement, TaskStart},
};

/// A task with the agent chosen for it.
struct PlannedTask {
    index: u16,
    agent: AgentKey,
    estimate: TaskEstimate,
}

impl Dispatch {
    /// Checks whether the whole job can be on time. A job that would be late is refused at once,
    /// so that its room goes to jobs that can be on time.
    pub(super) fn admit(&self, job: &Job, forecast: &JobForecast) -> Result<(), JobAnswer> {
        if job.request.steps.iter().any(|step_request| self.never_fits(job, step_request)) {
            return Err(JobAnswer::Failed);
        }
        if self.is_pool_evacuated(&job.request.kind.pool) {
            let retry_after_ms = EVACUATED_RETRY_MS;
            return Err(JobAnswer::NotRun { reason: NoResultReason::Evacuated, retry_after_ms });
        }
        if job.request.steps.iter().any(|step_request| self.fits_only_elsewhere(job, step_request))
        {
            let retry_after_ms = NOT_HERE_RETRY_MS;
            return Err(JobAnswer::NotRun { reason: NoResultReason::NotHere, retry_after_ms });
        }
        if forecast.is_in_time() || forecast.is_late_but_useful() {
            return Ok(());
        }
        let retry_after_ms = forecast.wait_ms.clamp(RETRY_RANGE_MS.0, RETRY_RANGE_MS.1);
        let retry_after_ms = u32::try_from(retry_after_ms).unwrap_or(u32::MAX);
        Err(JobAnswer::NotRun { reason: NoResultReason::Overload, retry_after_ms })
    }

    /// Forecasts when all tasks that may be placed now will have ended.
    pub(super) fn forecast(&self, job: &Job, now_ms: u64) -> JobForecast {
        let steps = job.steps_to_place();
        let plans = steps.into_iter().flat_map(|step| self.plan_step(job, step, now_ms));
        let last = plans.max_by_key(|planned| planned.estimate.end_ms);
        let (end_in_ms, wait_ms) =
            last.map_or((0, 0), |last| (last.estimate.end_ms, last.estimate.wait_ms));
        let late_ms = if wait_ms > 0 { self.lateness_ms(job, now_ms) } else { 0 };
        let admission_deadline_ms = if self.is_recovering(now_ms) {
            job.give_up_ms()
        } else {
            job.admission_deadline_ms(now_ms)
        };
        JobForecast {
            end_in_ms,
            wait_ms,
            late_ms,
            must_end_in_ms: admission_deadline_ms.saturating_sub(now_ms),
            useful_for_ms: job.give_up_ms().saturating_sub(now_ms),
            shedding: self.shedding(job, now_ms),
            stops_in_ms: self.stop_at_ms.map(|stop_at_ms| stop_at_ms.saturating_sub(now_ms)),
            is_return: false,
        }
    }

    /// How much later than forecast jobs of the kind currently end, in milliseconds.
    fn lateness_ms(&self, job: &Job, now_ms: u64) -> i64 {
        self.kinds.get(&job.request.kind.name).map_or(0, |kind| kind.lateness_ms(now_ms))
    }

    /// Whether upstreams of the pool are known and none could ever hold the task, at this entry
    /// or another: an entry has links to some of them only.
    fn never_fits(&self, job: &Job, step: &StepRequest) -> bool {
        let pool = &*job.request.kind.pool;
        let mut of_pool = self.agents.values().filter_map(|agent| agent.instance.as_ref());
        let known = of_pool.any(|instance| instance.pool == pool);
        let fits = |agent: &AgentView| agent.can_run(pool, &step.need, None);
        let elsewhere =
            self.largest_capacities.get(pool).is_some_and(|largest| largest.covers(&step.need));
        known && !elsewhere && !self.agents.values().any(fits)
    }

    /// Whether there are links to upstreams of the pool, but to none that could hold the task.
    fn fits_only_elsewhere(&self, job: &Job, step: &StepRequest) -> bool {
        let pool = &*job.request.kind.pool;
        let linked = || self.agents.values().filter(|agent| agent.is_serving());
        let label = step.required_label.as_deref();
        linked().any(|agent| agent.can_run(pool, &Resources::default(), None))
            && !linked().any(|agent| agent.can_run(pool, &step.need, label))
    }

    /// Usable agents that could run a task of the step.
    fn candidates<'a>(
        &'a self,
        job: &'a Job,
        step: &'a StepRequest,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a AgentView> {
        self.agents.values().filter(move |agent| {
            agent.is_usable(now_ms, self.limits.suspect_ms)
                && agent.can_run(&job.request.kind.pool, &step.need, step.required_label.as_deref())
        })
    }

    fn demand_of<'a>(&self, job: &Job, step: &'a StepRequest, now_ms: u64) -> TaskDemand<'a> {
        let pool = &*job.request.kind.pool;
        TaskDemand {
            need: &step.need,
            run_ms: self.corrected_run_ms(job, step),
            middle_slowness_percent: self.middle_slowness_percent(pool),
            objective_in_ms: job.objective_ms.saturating_sub(now_ms),
            priority: job.request.kind.priority,
            more_urgent_percent: self
                .pool_load(pool, now_ms)
                .more_urgent_percent(job.request.kind.priority),
            preferred_label: step.preferred_label.as_deref(),
        }
    }

    /// Run times at the upstream of middle speed in a pool, in percent of the estimates. Run times
    /// elsewhere are expected relative to them.
    fn middle_slowness_percent(&self, pool: &str) -> u32 {
        let agents = self.agents.values().filter(|agent| agent.serves_pool(pool));
        let mut all: Vec<_> = agents.map(|agent| agent.load.slowness_percent).collect();
        let middle = all.len() / 2;
        if all.is_empty() { 100 } else { *all.select_nth_unstable(middle).1 }
    }

    /// Whether run times at an agent's upstream are about those at the middle one of its pool.
    ///
    /// Estimates are corrected by such runs only. Agents measure slowness against corrected
    /// estimates, so that otherwise an error of the one would increase that of the other.
    pub(super) fn is_of_middle_speed(&self, agent: AgentKey, pool: &str) -> bool {
        let middle_percent = self.middle_slowness_percent(pool);
        self.agents
            .get(agent)
            .is_some_and(|agent| agent.relative_slowness_percent(middle_percent) == 100)
    }

    pub(super) fn corrected_run_ms(&self, job: &Job, step: &StepRequest) -> u32 {
        let kind = self.kinds.get(&job.request.kind.name);
        let percent = kind.map_or(100, KindRecord::run_time_percent);
        let corrected = u64::from(step.run_ms) * u64::from(percent) / 100;
        u32::try_from(corrected).unwrap_or(u32::MAX)
    }

    /// Places the unplaced tasks of a job, as far as agents are usable.
    pub(super) fn place_job(&mut self, key: JobKey, now_ms: u64) {
        let has_stalled = self.may_have_stood_still(now_ms);
        let holds = |job: &Job| job.is_claimed && !(job.needs_claim && has_stalled);
        let is_claimed = self.jobs.get(key).is_some_and(holds);
        let waits_for_other_entry = is_claimed && self.must_wait_for_other_entry(key, now_ms);
        let Some(job) = self.jobs.get_mut(key) else { return };
        if job.ending.is_some() {
            return;
        }
        job.waits_for_other_entry = waits_for_other_entry;
        if !is_claimed || waits_for_other_entry {
            self.unplaced.insert(key);
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

    /// Places the tasks of a step. Returns whether none is left unplaced.
    fn place_step(&mut self, key: JobKey, step: usize, now_ms: u64) -> bool {
        let chosen = self.plan_step_in_time(key, step, now_ms);
        let Some(job) = self.jobs.get_mut(key) else { return true };
        let pool = job.request.kind.pool.clone();
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
                (agent, self.build_placement(key, step, (agent, suspect), tasks, now_ms))
            })
            .collect();
        for (agent, placement) in placements {
            let Some(placement) = placement else { continue };
            let task_work_milli_ms =
                u64::from(placement.need.cpu_milli) * u64::from(placement.run_ms);
            // As agents do, counts each task once.
            let first_starts = placement.tasks.iter().filter(|start| start.run == 1).count();
            let work_milli_ms = task_work_milli_ms * first_starts as u64;
            self.record_placed(&pool, work_milli_ms, now_ms);
            self.commands.push(Command::Place(agent, placement));
        }
        all
    }

    fn build_placement(
        &self,
        key: JobKey,
        step: usize,
        (agent, suspect): (AgentKey, bool),
        tasks: Vec<TaskStart>,
        now_ms: u64,
    ) -> Option<StepPlacement> {
        let job = self.jobs.get(key)?;
        let step_request = &job.request.steps[step];
        let left = |at_ms: u64| u32::try_from(at_ms.saturating_sub(now_ms)).unwrap_or(u32::MAX);
        let target = PlacementTarget {
            instance: self.instance(agent)?.id.clone(),
            pool: job.request.kind.pool.clone(),
            required_label: step_request.required_label.clone(),
        };
        Some(StepPlacement {
            job: job.request.id,
            step: u8::try_from(step).ok()?,
            target,
            spec: job.request.spec.clone(),
            tasks,
            need: step_request.need,
            run_ms: self.corrected_run_ms(job, step_request),
            priority: job.request.kind.priority,
            objective_in_ms: left(job.objective_ms),
            give_up_in_ms: left(job.end_by_ms()),
            age_ms: u32::try_from(now_ms.saturating_sub(job.request.arrived_ms))
                .unwrap_or(u32::MAX),
            job_mostly_started: job.has_mostly_started(),
            suspect,
        })
    }

    /// Chooses an agent for each unplaced task of a step, where one is usable.
    fn plan_step(&self, job: &Job, step: usize, now_ms: u64) -> Vec<PlannedTask> {
        let step_request = &job.request.steps[step];
        let candidates = self.candidates(job, step_request, now_ms);
        let mut candidates: Vec<_> =
            candidates.map(|agent| (agent, PlannedTasks::default())).collect();
        if candidates.is_empty() {
            return Vec::new();
        }
        let demand = self.demand_of(job, step_request, now_ms);
        candidates.sort_unstable_by_key(|(agent, _)| agent.rank);
        let mut suspect_agents = self.agents_with_suspects(job, step);
        let mut plan = Vec::new();
        for (index, task) in job.tasks[step].iter().enumerate() {
            if !task.is_placeable(now_ms) {
                continue;
            }
            let excluded = if task.is_suspect() { &*suspect_agents } else { &[] };
            let best = best_candidate(&candidates, job, step, &demand, task.avoid, excluded);
            let (Some((best, estimate)), Ok(index)) = (best, u16::try_from(index)) else {
                continue;
            };
            let (agent, planned) = &mut candidates[best];
            planned.add(demand.need, demand.run_ms);
            if task.is_suspect() {
                suspect_agents.push(agent.key);
            }
            plan.push(PlannedTask { index, agent: agent.key, estimate });
        }
        plan
    }

    /// Agents that have a suspect task, if the step to be placed has suspect tasks, too.
    fn agents_with_suspects(&self, job: &Job, step: usize) -> Vec<AgentKey> {
        if !job.tasks[step].iter().any(Task::is_suspect) {
            return Vec::new();
        }
        let all = self.jobs.values().flat_map(|job| job.tasks.iter().flatten());
        all.filter(|task| task.is_suspect()).filter_map(Task::agent).collect()
    }

    /// Plans a step and drops the tasks that would end too late.
    fn plan_step_in_time(&mut self, key: JobKey, step: usize, now_ms: u64) -> Vec<PlannedTask> {
        let Some(job) = self.jobs.get(key) else { return Vec::new() };
        let mut plan = self.plan_step(job, step, now_ms);
        let starts_at_once = plan.iter().all(|planned| planned.estimate.wait_ms == 0);
        let is_late =
            |end_by_ms| move |planned: &PlannedTask| now_ms + planned.estimate.end_ms > end_by_ms;
        if starts_at_once && plan.iter().any(is_late(job.end_by_ms())) {
            self.jobs[key].allow_lateness();
        }
        let is_too_late = is_late(self.jobs[key].end_by_ms());
        plan.retain(|planned| !is_too_late(planned));
        plan
    }

    /// Tries again to place the unplaced tasks of all jobs.
    pub(super) fn place_unplaced(&mut self, now_ms: u64) {
        for key in self.unplaced.clone() {
            self.place_job(key, now_ms);
        }
    }

    /// Whether a job with unplaced tasks can no longer end before its caller stops waiting, even
    /// if an upstream started them now.
    pub(super) fn is_hopeless(&self, key: JobKey, has_upstream: bool, now_ms: u64) -> bool {
        let Some(job) = self.jobs.get(key) else { return false };
        let steps = job.steps_to_place();
        let longest =
            steps.iter().map(|&step| self.corrected_run_ms(job, &job.request.steps[step]));
        let run_ms = u64::from(longest.max().unwrap_or(0));
        now_ms + run_ms > job.end_by_given_upstream_ms(has_upstream)
    }
}

/// Returns the candidate with the lowest cost; among equals the one with the most room, then the
/// first in the entry's own order. The agent that returned the task is used only if there is no
/// other; the agents in `excluded` are never used.
fn best_candidate(
    candidates: &[(&AgentView, PlannedTasks)],
    job: &Job,
    step: usize,
    demand: &TaskDemand<'_>,
    avoid: Option<AgentKey>,
    excluded: &[AgentKey],
) -> Option<(usize, TaskEstimate)> {
    let step_request = &job.request.steps[step];
    let mut best: Option<(usize, TaskEstimate)> = None;
    let others = candidates.len() > 1;
    for (place, (agent, planned)) in candidates.iter().enumerate() {
        let full = step_request
            .max_per_upstream
            .is_some_and(|most| job.count_at(step, agent.key) + planned.count >= most);
        if full || (others && avoid == Some(agent.key)) || excluded.contains(&agent.key) {
            continue;
        }
        let estimate = agent.estimate(planned, demand);
        let better = best.is_none_or(|(_, known)| is_better(&estimate, &known));
        if better {
            best = Some((place, estimate));
        }
    }
    best
}

/// Whether an estimate is better: with time to spare, else at clearly lower cost; among those with
/// time to spare, and among those at the same cost, with clearly more room, else with fewer tasks
/// of the same job.
///
/// Where a task has time to spare, a faster upstream is no better. Its room is left to tasks that
/// are on time there only.
fn is_better(one: &TaskEstimate, other: &TaskEstimate) -> bool {
    if one.has_time_to_spare != other.has_time_to_spare {
        return one.has_time_to_spare;
    }
    if !one.has_time_to_spare && one.cost_ms.abs_diff(other.cost_ms) > EQUAL_COST_MS {
        return one.cost_ms < other.cost_ms;
    }
    let (room, other_room) = (room_class(one), room_class(other));
    room > other_room || (room == other_room && one.planned < other.planned)
}

/// Estimates of the same class count as equal. No room at all is a class of its own.
fn room_class(estimate: &TaskEstimate) -> u32 {
    if estimate.room_for_tasks == 0 { 0 } else { 1 + estimate.room_for_tasks / ROOM_CLASS_TASKS }
}
