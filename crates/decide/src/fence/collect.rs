//! Whom to ask about the jobs of one fenced home, and what was told.
//!
//! Jobs asked for within a window go in one message to each agent. An agent is
//! asked about a job again only if it said that a task was running, if its
//! answer was lost, or if it left results out to keep its answer short.

use {
    super::{Conclusion, Known, Roster, Told, conclude},
    std::collections::{BTreeMap, BTreeSet},
    sycamorerail_wire::{
        answer::TaskRecord,
        ids::{ContentHash, Incarnation, JobId},
        message::FencedJob,
    },
};

/// Most jobs in one message.
pub const MAX_JOBS: usize = 256;

/// Times of a collection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FenceTimes {
    /// Jobs asked for within this time share a message.
    pub window_ms: u64,
    /// An agent that hasn't answered for this long is taken as silent.
    pub answer_within_ms: u64,
    /// Pause before an agent is asked again.
    pub ask_again_ms: u64,
    /// How long a job whose outcome is unknown is not asked about again.
    pub unknown_kept_ms: u64,
}

/// One message to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// To whom.
    pub agent: Incarnation,
    /// The jobs to ask for.
    pub jobs: Vec<JobId>,
}

#[derive(Clone, Debug, Default)]
struct Asked {
    told: Told,
    /// When the present round of asking began.
    round_ms: u64,
    /// Agents with a message under way.
    under_way: BTreeSet<Incarnation>,
    /// Agents to be asked about this job alone, as their answer was cut short.
    alone: BTreeSet<Incarnation>,
    /// Agents not to be asked before this time.
    not_before_ms: BTreeMap<Incarnation, u64>,
    /// Somebody waits for it.
    wanted: bool,
}

/// The collection for one fenced home.
#[derive(Clone, Debug)]
pub struct Collector {
    roster: Roster,
    times: FenceTimes,
    jobs: BTreeMap<JobId, Asked>,
    /// Most jobs in one message to an agent; halved when its answer was lost.
    most_jobs: BTreeMap<Incarnation, usize>,
    window_ends_ms: Option<u64>,
}

impl Collector {
    /// A collection over the roster read after the fence was recorded.
    #[must_use]
    pub fn new(roster: Roster, times: FenceTimes) -> Self {
        let (jobs, most_jobs) = (BTreeMap::new(), BTreeMap::new());
        Self { roster, times, jobs, most_jobs, window_ends_ms: None }
    }

    /// Somebody wants to know of the job.
    pub fn ask(&mut self, job: JobId, now_ms: u64) {
        let times = self.times;
        let asked =
            self.jobs.entry(job).or_insert_with(|| Asked { round_ms: now_ms, ..Asked::default() });
        let round_over_ms = asked.round_ms + times.answer_within_ms;
        if now_ms >= round_over_ms + times.unknown_kept_ms {
            asked.round_ms = now_ms;
            asked.not_before_ms.clear();
        }
        asked.wanted = true;
        self.window_ends_ms.get_or_insert(now_ms + times.window_ms);
    }

    /// Nobody waits for the job any more.
    pub fn leave(&mut self, job: JobId) {
        if let Some(asked) = self.jobs.get_mut(&job) {
            asked.wanted = false;
        }
    }

    /// When to call [`Self::due`] next, if it is to be called at all.
    #[must_use]
    pub fn wake_at_ms(&self) -> Option<u64> {
        self.window_ends_ms
    }

    /// The messages to send now.
    pub fn due(&mut self, now_ms: u64) -> Vec<Request> {
        if self.window_ends_ms.is_none_or(|ends_ms| now_ms < ends_ms) {
            return Vec::new();
        }
        let mut requests = Vec::new();
        for index in 0..self.roster.agents.len() {
            self.due_to(self.roster.agents[index], now_ms, &mut requests);
        }
        let open = self.jobs.values().any(|asked| self.is_open(asked, now_ms));
        self.window_ends_ms = open.then_some(now_ms + self.times.ask_again_ms);
        requests
    }

    /// Whether somebody waits for a job that asking may still decide.
    fn is_open(&self, asked: &Asked, now_ms: u64) -> bool {
        asked.wanted
            && (!asked.under_way.is_empty()
                || self.roster.agents.iter().any(|agent| self.needs(asked, *agent, now_ms)))
    }

    /// Whether the agent is to be asked about the job, now or later.
    fn needs(&self, asked: &Asked, agent: Incarnation, now_ms: u64) -> bool {
        match asked.told.get(&agent) {
            Some(told) => told.as_ref().is_some_and(is_running),
            None => now_ms < asked.round_ms + self.times.answer_within_ms,
        }
    }

    fn due_to(&mut self, agent: Incarnation, now_ms: u64, requests: &mut Vec<Request>) {
        let is_due = |asked: &Asked| {
            let not_before_ms = asked.not_before_ms.get(&agent).copied().unwrap_or(0);
            asked.wanted
                && !asked.under_way.contains(&agent)
                && now_ms >= not_before_ms
                && self.needs(asked, agent, now_ms)
        };
        let due: Vec<_> =
            self.jobs.iter().filter(|(_, asked)| is_due(asked)).map(|(job, _)| *job).collect();
        let is_alone = |job: &JobId| self.jobs[job].alone.contains(&agent);
        let (alone, together): (Vec<_>, Vec<_>) = due.iter().copied().partition(is_alone);
        let most = self.most_jobs.get(&agent).copied().unwrap_or(MAX_JOBS);
        let batches = alone.chunks(1).chain(together.chunks(most));
        requests.extend(batches.map(|jobs| Request { agent, jobs: jobs.to_vec() }));
        for job in due {
            if let Some(asked) = self.jobs.get_mut(&job) {
                asked.under_way.insert(agent);
                asked.not_before_ms.insert(agent, now_ms + self.times.ask_again_ms);
            }
        }
    }

    /// An agent has answered a message.
    pub fn answered(&mut self, request: &Request, held: Vec<FencedJob>) {
        let mut held: BTreeMap<JobId, FencedJob> =
            held.into_iter().map(|job| (job.job, job)).collect();
        self.most_jobs.remove(&request.agent);
        for job in &request.jobs {
            let Some(asked) = self.jobs.get_mut(job) else { continue };
            asked.under_way.remove(&request.agent);
            let told = held.remove(job);
            if request.jobs.len() > 1 && told.as_ref().is_some_and(was_cut) {
                asked.alone.insert(request.agent);
                asked.not_before_ms.remove(&request.agent);
                continue;
            }
            asked.told.insert(request.agent, told);
        }
    }

    /// No answer to a message came: the agent is away, or the answer was too
    /// long.
    pub fn unanswered(&mut self, request: &Request) {
        self.most_jobs.insert(request.agent, (request.jobs.len() / 2).max(1));
        for job in &request.jobs {
            if let Some(asked) = self.jobs.get_mut(job) {
                asked.under_way.remove(&request.agent);
            }
        }
    }

    /// What follows for a job so far.
    #[must_use]
    pub fn conclude(&self, job: JobId, known: Known, now_ms: u64) -> Conclusion {
        let none = Told::new();
        let asked = self.jobs.get(&job);
        let told = asked.map_or(&none, |asked| &asked.told);
        let time_up =
            asked.is_some_and(|asked| now_ms >= asked.round_ms + self.times.answer_within_ms);
        conclude(&self.roster, told, known, time_up)
    }

    /// Hash of the submission whose tasks agents were given, if any tell.
    #[must_use]
    pub fn content(&self, job: JobId) -> Option<ContentHash> {
        let mut told = self.jobs.get(&job)?.told.values();
        told.find_map(|held| Some(held.as_ref()?.content))
    }

    /// Forgets jobs minted before the time given: their ids are expired.
    pub fn forget_before(&mut self, minted_unix_ms: u64) {
        self.jobs.retain(|job, _| job.minted_unix_ms >= minted_unix_ms);
    }

    /// Jobs asked about.
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

fn is_running(job: &FencedJob) -> bool {
    job.tasks.iter().any(|report| report.record == TaskRecord::Running)
}

fn was_cut(job: &FencedJob) -> bool {
    job.tasks.iter().any(|report| report.record == TaskRecord::EndDropped)
}
