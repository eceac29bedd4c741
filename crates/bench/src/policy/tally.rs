//! Outcomes of the jobs of a model.

use {
    super::{clock::Micros, jobs::ModelJob, settings::ModelSettings},
    serde::Serialize,
    std::collections::BTreeMap,
};

const MICROS_PER_S: u64 = 1_000_000;
/// Step in which returning work is added up, in microseconds: shorter than most retry delays.
const RETURN_STEP: u64 = 500_000;

/// How a job ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// Completed on time.
    InTime,
    /// Completed late, while the result was still useful.
    Late,
    /// Refused before any task ran.
    Refused,
    /// Abandoned after a task may have run, or completed when the result was useless.
    GivenUp,
    /// Lost with its entry, without a reachable entry, or never answered.
    Lost,
    /// Answered as failed.
    Failed,
}

/// How a job ended, and when.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Ended {
    /// Outcome.
    pub end: End,
    /// Time since its arrival, in microseconds.
    pub after: Micros,
}

/// Numbers of jobs by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    /// Jobs that arrived.
    pub asked: u64,
    /// Completed on time.
    pub in_time: u64,
    /// Completed late.
    pub late: u64,
    /// Refused.
    pub refused: u64,
    /// Of these, refused while upstreams without waiting tasks had room for all of its tasks.
    pub refused_while_free: u64,
    /// Refused once and submitted again, however they ended.
    pub returned: u64,
    /// Of these, completed in time by their new arrival.
    pub returned_in_time: u64,
    /// Abandoned after a task may have run, or completed when the result was useless.
    pub given_up: u64,
    /// Not answered, for example because the entry was lost.
    pub lost: u64,
    /// Answered as failed.
    pub failed: u64,
    /// Value of all jobs if they had been on time.
    pub value_asked: f64,
    /// Value of the results that were delivered.
    pub value_earned: f64,
    /// Work of jobs that were not completed, in core-seconds.
    pub wasted_core_s: f64,
    /// Work of jobs that were on time, in core-seconds.
    pub in_time_core_s: f64,
}

impl Counts {
    /// Share of jobs that were completed on time.
    #[must_use]
    pub fn in_time_share(&self) -> f64 {
        share(self.in_time as f64, self.asked as f64)
    }

    /// Share of jobs that were neither on time nor late.
    #[must_use]
    pub fn unserved_share(&self) -> f64 {
        share((self.refused + self.given_up + self.lost + self.failed) as f64, self.asked as f64)
    }

    /// Share of the value that was delivered.
    #[must_use]
    pub fn value_share(&self) -> f64 {
        share(self.value_earned, self.value_asked)
    }

    fn add(&mut self, end: End, value: f64, late_value: f64) {
        self.asked += 1;
        self.value_asked += value;
        match end {
            End::InTime => {
                self.in_time += 1;
                self.value_earned += value;
            }
            End::Late => {
                self.late += 1;
                self.value_earned += late_value;
            }
            End::Refused => self.refused += 1,
            End::GivenUp => self.given_up += 1,
            End::Lost => self.lost += 1,
            End::Failed => self.failed += 1,
        }
    }
}

fn share(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}

/// The result of a model.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// All jobs.
    pub all: Counts,
    /// By kind, in the order of the settings.
    pub by_kind: Vec<Counts>,
    /// By the second in which jobs arrived.
    pub by_second: Vec<Counts>,
    /// Response times of completed jobs relative to their longest task on an idle upstream, in
    /// the order of arrival.
    pub ratios: Vec<f64>,
    /// Part of the upstreams' capacity that runs took during the load.
    pub room_used: f64,
    /// Most work of jobs that came again within half a second, as a part of the upstreams' room in
    /// that time.
    pub return_peak: f64,
    /// Messages between entries and agents.
    pub messages: u64,
    /// Tasks that were recalled.
    pub recalls: u64,
}

/// Work that was done for a job, and whether it found an upstream free when refused.
#[derive(Clone, Copy, Debug, Default)]
pub struct Note {
    /// Thousandths of a core times microseconds.
    pub work: u64,
    /// Upstreams without waiting tasks had room for all of its tasks as it was refused.
    pub was_free: bool,
    /// When it was submitted again after it was refused.
    pub returned_at: Option<Micros>,
}

/// Counts how jobs ended.
#[must_use]
pub fn count(
    settings: &ModelSettings,
    jobs: &[ModelJob],
    ends: &[Option<Ended>],
    notes: &[Note],
) -> Outcome {
    let mut outcome = Outcome {
        by_kind: vec![Counts::default(); settings.kinds.len()],
        by_second: vec![Counts::default(); settings.seconds as usize],
        ..Outcome::default()
    };
    let mut taken = 0;
    for ((job, ended), note) in jobs.iter().zip(ends).zip(notes) {
        // A job without an outcome was not served.
        let ended = ended.unwrap_or(Ended { end: End::Lost, after: job.span });
        let second = (job.at / MICROS_PER_S) as usize;
        let (value, late_value) = value_of(settings, job);
        let Outcome { all, by_kind, by_second, ratios, .. } = &mut outcome;
        for counts in [all, &mut by_kind[job.kind], &mut by_second[second]] {
            counts.add(ended.end, value, late_value);
            if note.returned_at.is_some() {
                counts.returned += 1;
                counts.returned_in_time += u64::from(ended.end == End::InTime);
            }
            if ended.end == End::InTime {
                counts.in_time_core_s += job.work(&settings.kinds[job.kind]) as f64 / 1e9;
            }
            if ended.end == End::Refused {
                counts.refused_while_free += u64::from(note.was_free);
            }
            if !matches!(ended.end, End::InTime | End::Late) {
                counts.wasted_core_s += note.work as f64 / 1e9;
            }
        }
        taken += note.work;
        if matches!(ended.end, End::InTime | End::Late) {
            let longest = job.run_micros.iter().copied().max().unwrap_or(1);
            ratios.push(ended.after as f64 / longest as f64);
        }
    }
    let groups = settings.upstreams.iter();
    let room: u64 = groups.map(|group| u64::from(group.count) * u64::from(group.cpu_milli)).sum();
    outcome.return_peak = share(most_returning(settings, jobs, notes), (room * RETURN_STEP) as f64);
    let room = room * u64::from(settings.seconds) * MICROS_PER_S;
    outcome.room_used = share(taken as f64, room as f64);
    outcome
}

/// Value of a job that is on time, and of one that is late.
#[must_use]
pub fn value_of(settings: &ModelSettings, job: &ModelJob) -> (f64, f64) {
    let kind = &settings.kinds[job.kind];
    let size = job_size(job, kind.tasks.mean * kind.run_ms.mean);
    (kind.value * size, kind.late_value * size)
}

/// Most work of jobs that came again within one step.
fn most_returning(settings: &ModelSettings, jobs: &[ModelJob], notes: &[Note]) -> f64 {
    let mut by_step = BTreeMap::<u64, u64>::new();
    for (job, note) in jobs.iter().zip(notes) {
        if let Some(at) = note.returned_at {
            *by_step.entry(at / RETURN_STEP).or_default() += job.work(&settings.kinds[job.kind]);
        }
    }
    by_step.into_values().max().unwrap_or(0) as f64
}

/// Weight of a job relative to a mean one: a fixed part, and the rest in proportion to its work,
/// because callers with more work have more at stake. At most 4.
fn job_size(job: &ModelJob, mean_work_ms: f64) -> f64 {
    const BASE: f64 = 0.3;
    const MOST: f64 = 4.0;
    let work_ms = job.run_micros.iter().sum::<u64>() as f64 / 1e3;
    (BASE + (1.0 - BASE) * work_ms / mean_work_ms).min(MOST)
}
