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
mod connections;
mod crashes;
mod evacuation;
mod job;
mod kinds;
mod place;
mod recall;
mod shedding;
mod stop;
mod types;

pub use {
    agents::{AgentView, Asked, Expected, Planned},
    job::Job,
    stop::STOP_ANSWER_MS,
    types::{
        AgentKey, Command, DispatchLimits, JobAnswer, JobForecast, JobKey, JobRequest,
        KindParameters, NoResultReason, PoolView, StepRequest,
    },
};

use {
    crashes::Crashes,
    job::{Ending, Outcome},
    kinds::KindRecord,
    slotmap::SlotMap,
    std::{
        collections::{BTreeSet, HashMap},
        sync::Arc,
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{CallerJobId, Evacuations, Resources, RunEvent, TaskKey},
    },
};

/// Shortest and longest time told to callers that are turned away.
const RETRY_MS: (u64, u64) = (100, 5_000);
/// Time told where no upstream is usable: agents are back about then.
const NO_UPSTREAM_RETRY_MS: u32 = 1_000;
/// Time told where only upstreams of other entries could hold a job: its caller's next
/// try reaches another one.
const NOT_HERE_RETRY_MS: u32 = 100;
/// Time told where all data centres with upstreams for a job are evacuated: a data centre
/// is evacuated for seconds at least, and one that is taken back serves at once.
pub(crate) const EVACUATED_RETRY_MS: u32 = 2_000;
/// Time told where a job is turned away for others: twice the half-life of what is known
/// of them.
const SHED_RETRY_MS: u32 = 1_000;
/// Agents with as good an expectation as the best within this are chosen among
/// by free room: it is less than the error of any expectation.
const SAME_END_MS: u64 = 3;
/// Among them, those whose free room differs by less than this many tasks are alike, and
/// the entry's own order decides. Entries that see the same room would all send to the
/// same agent before it can tell: with five entries and 240 upstreams (model, 70 % of the
/// room taken) 96.7 % of all jobs are in time by room alone, 99.0 % with classes of three.
const SAME_ROOM_TASKS: u32 = 3;

/// Jobs and agents of one entry.
#[derive(Debug)]
pub struct Dispatch {
    limits: DispatchLimits,
    jobs: SlotMap<JobKey, Job>,
    by_id: HashMap<CallerJobId, JobKey>,
    agents: SlotMap<AgentKey, AgentView>,
    by_name: HashMap<String, AgentKey>,
    /// Jobs with tasks to place.
    unplaced: BTreeSet<JobKey>,
    kinds: HashMap<String, KindRecord>,
    /// The most of each that an upstream has, by pool.
    largest: HashMap<String, Resources>,
    evacuations: Evacuations,
    /// Crashes of upstreams, by the task that ran there.
    crashes: Crashes,
    commands: Vec<Command>,
    /// This run of the entry, for an order of agents of its own.
    entry: Incarnation,
    /// When jobs must have ended, once a stop is planned.
    stops_ms: Option<u64>,
    last_forecast: JobForecast,
}

impl Dispatch {
    /// Without jobs and agents.
    #[must_use]
    pub fn new(limits: DispatchLimits, entry: Incarnation) -> Self {
        Self {
            limits,
            entry,
            jobs: SlotMap::default(),
            by_id: HashMap::new(),
            agents: SlotMap::default(),
            by_name: HashMap::new(),
            unplaced: BTreeSet::new(),
            kinds: HashMap::new(),
            largest: HashMap::new(),
            evacuations: Evacuations::default(),
            crashes: Crashes::default(),
            commands: Vec::new(),
            stops_ms: None,
            last_forecast: JobForecast::default(),
        }
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
    pub fn unstarted_jobs(&self, kind: &str) -> usize {
        let of_kind = |job: &&Job| job.request.kind.name == kind && !job.may_have_run;
        self.jobs.values().filter(of_kind).count()
    }

    /// A job of this id that is not over.
    #[must_use]
    pub fn find_job(&self, id: CallerJobId) -> Option<JobKey> {
        self.by_id.get(&id).copied()
    }

    /// The forecast by which the last job that was submitted was taken or refused.
    #[must_use]
    pub fn last_forecast(&self) -> JobForecast {
        self.last_forecast
    }

    /// Takes a job, or says why not. A job that is taken is answered by a
    /// [`Command::Answer`].
    ///
    /// # Errors
    ///
    /// The answer, when the job is turned away: nothing of it runs.
    pub fn submit(&mut self, request: JobRequest, now_ms: u64) -> Result<JobKey, JobAnswer> {
        let refused = |reason, retry_after_ms| JobAnswer::NotRun { reason, retry_after_ms };
        // One that is refused without a forecast must not tell that of another job.
        self.last_forecast = JobForecast::default();
        if self.by_id.contains_key(&request.id) {
            // The first may have run: "not run" would not be true.
            return Err(JobAnswer::Unknown { reason: NoResultReason::Duplicate });
        }
        if self.jobs.len() >= self.limits.max_jobs {
            return Err(refused(NoResultReason::Overload, NO_UPSTREAM_RETRY_MS));
        }
        let id = request.id;
        let mut job = Job::new(request);
        if let Some(answer) = self.recall_crashes(&mut job, now_ms) {
            return Err(answer);
        }
        let kind = Arc::clone(&job.request.kind);
        self.kind(&kind.name).came(kind.priority, job.work_milli_ms());
        let forecast = self.forecast(&job, now_ms);
        self.last_forecast = forecast;
        if self.is_cut_off(&job, &forecast, now_ms) {
            return Err(refused(NoResultReason::Stopping, RETRY_MS.0 as u32));
        }
        if self.is_shed(&job, forecast.wait_ms, forecast.strain_percent) {
            return Err(refused(NoResultReason::Shed, SHED_RETRY_MS));
        }
        if let Err(answer) = self.admit(&job, &forecast) {
            // What fits nowhere, or not here, says nothing about load.
            let is_for_load =
                matches!(answer, JobAnswer::NotRun { reason: NoResultReason::Overload, .. });
            if is_for_load {
                self.kind(&kind.name).suffered(true, now_ms);
            }
            return Err(answer);
        }
        job.has_to_wait = forecast.wait_ms > 0;
        job.taken_ms = now_ms;
        job.expected_end_ms = now_ms + forecast.end_in_ms;
        job.expected_whole_ms = stop::whole_ms(&job, &forecast);
        if job.expected_end_ms > job.objective_ms {
            job.bear_lateness();
        }
        let key = self.jobs.insert(job);
        self.by_id.insert(id, key);
        self.place(key, now_ms);
        Ok(key)
    }

    fn apply(&mut self, agent: AgentKey, task: TaskKey, run: u32, event: RunEvent, now_ms: u64) {
        let Some(&key) = self.by_id.get(&task.job) else { return };
        let Some(job) = self.jobs.get_mut(key) else { return };
        let Some(outcome) = job.apply(task, run, event, agent, now_ms) else { return };
        if let RunEvent::Done { run_ms } = event {
            let estimate_ms = job.request.steps[usize::from(task.step)].run_ms;
            let kind = Arc::clone(&job.request.kind);
            self.kind(&kind.name).ran(run_ms, estimate_ms);
        }
        if event == RunEvent::Crashed {
            self.crash_ended_run(key, task, agent, now_ms);
        }
        self.advance(key, outcome, now_ms);
    }

    fn advance(&mut self, key: JobKey, outcome: Outcome, now_ms: u64) {
        let Some(job) = self.jobs.get(key) else { return };
        // What is being given up and completes all the same is answered with its result.
        if job.ending.is_some() && outcome != Outcome::Completed {
            return self.finish_ending(key);
        }
        match outcome {
            Outcome::Nothing => {}
            Outcome::PlaceAgain => self.place(key, now_ms),
            Outcome::Completed => {
                self.note_end(key, now_ms);
                self.note_time(key, now_ms);
                self.commands.push(Command::Answer(key, JobAnswer::Completed));
                self.remove(key);
            }
            Outcome::Crashing => self.give_up_crashing(key, now_ms),
            Outcome::Failed => {
                self.commands.push(Command::Answer(key, JobAnswer::Failed));
                self.end(key, Ending::Answered);
            }
        }
    }

    fn kind(&mut self, name: &str) -> &mut KindRecord {
        self.kinds.entry(name.to_owned()).or_default()
    }

    /// Takes note of how a job's end compares with what was forecast.
    fn note_end(&mut self, key: JobKey, now_ms: u64) {
        let Some(job) = self.jobs.get(key) else { return };
        let late_ms = now_ms as i64 - job.expected_end_ms as i64;
        let (kind, span_ms) = (Arc::clone(&job.request.kind), job.span_ms());
        let suffered = job.has_to_wait && now_ms > job.objective_ms;
        let record = self.kind(&kind.name);
        record.ended(late_ms, span_ms, now_ms);
        record.suffered(suffered, now_ms);
    }

    /// Takes note of how long a job that is done took of what was expected.
    fn note_time(&mut self, key: JobKey, now_ms: u64) {
        let Some(job) = self.jobs.get(key) else { return };
        let took_ms = now_ms.saturating_sub(job.taken_ms) as f64;
        let percent = took_ms * 100.0 / job.expected_whole_ms.max(1) as f64;
        let kind = Arc::clone(&job.request.kind);
        self.kind(&kind.name).took(percent);
    }

    /// Ends a job whose caller has left or cancelled it.
    pub fn cancel(&mut self, key: JobKey) {
        if self.jobs.get(key).is_some_and(|job| job.ending.is_none()) {
            self.end(key, Ending::GivenUp(NoResultReason::Cancelled));
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
        if job.has_placed() || job.judged_ms.is_some() {
            return;
        }
        self.answer_ended(key);
    }

    /// Answers a job that is being ended, and forgets it.
    fn answer_ended(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else { return };
        if let Some(Ending::GivenUp(reason)) = job.ending {
            let retry_after_ms = match reason {
                NoResultReason::Evacuated => EVACUATED_RETRY_MS,
                _ => RETRY_MS.0 as u32,
            };
            // What agents have not told of may have begun.
            let answer = if reason == NoResultReason::Crashing {
                self.crash_answer(job, job.judged_ms.is_none())
            } else if job.may_have_run || job.has_placed() {
                JobAnswer::Unknown { reason }
            } else {
                JobAnswer::NotRun { reason, retry_after_ms }
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

    /// Does what is due by time: gives up jobs that cannot end in time any more,
    /// and declares lost what silent agents had.
    pub fn tick(&mut self, now_ms: u64) {
        self.lose_silent(now_ms);
        self.warm_up(now_ms);
        self.judge_crashing(now_ms);
        self.end_for_stop(now_ms);
        self.end_evacuated();
        self.place_waiting(now_ms);
        self.finish_begun(now_ms);
        // Looked at once: jobs times agents would be too many.
        let has_upstream = self.usable_agents(now_ms) > 0;
        let is_hopeless = |key: &JobKey| self.is_hopeless(*key, has_upstream, now_ms);
        let hopeless: Vec<_> = self.unplaced.iter().copied().filter(is_hopeless).collect();
        for key in hopeless {
            let reason =
                if has_upstream { NoResultReason::TooLate } else { NoResultReason::NoUpstream };
            self.note_end(key, now_ms);
            self.end(key, Ending::GivenUp(reason));
        }
        let passed = |(_, job): &(JobKey, &Job)| {
            job.ending.is_none() && now_ms >= job.end_by_with_ms(has_upstream)
        };
        let passed: Vec<_> = self.jobs.iter().filter(passed).map(|(key, _)| key).collect();
        for key in passed {
            self.note_end(key, now_ms);
            self.end(key, Ending::GivenUp(NoResultReason::TooLate));
        }
    }
}
