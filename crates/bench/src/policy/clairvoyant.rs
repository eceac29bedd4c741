//! What decisions could reach that know all jobs and run times in advance: whole tasks in one
//! place with the room that they can take on all upstreams, without messages or errors.
//!
//! Each job is given the earliest room that others have left, so that the best decisions reach at
//! least the value of [`serve`].

use {
    super::{
        clock::Micros,
        jobs::ModelJob,
        settings::ModelSettings,
        tally::{End, Ended, Note, Outcome, count, value_of},
    },
    std::cmp::Reverse,
};

/// Resolution of the schedule, in microseconds.
const STEP: Micros = 1_000;

/// In which order jobs are given room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// The most value for the work first.
    ByValue,
    /// By priority; within one priority by arrival.
    ByPriority,
    /// By arrival.
    ByArrival,
}

/// Serves the jobs in an order: each one on time where there is room, or not at all.
#[must_use]
pub fn serve(settings: &ModelSettings, jobs: &[ModelJob], order: Order) -> Outcome {
    let mut schedule = Schedule::new(settings);
    let mut ends = vec![None; jobs.len()];
    for number in sorted(settings, jobs, order) {
        let job = &jobs[number];
        let end = match schedule.insert(job, settings.kinds[job.kind].cpu_milli) {
            Some(end_at) => Ended { end: End::InTime, after: end_at - job.at },
            None => Ended { end: End::Refused, after: 0 },
        };
        ends[number] = Some(end);
    }
    let notes = vec![Note::default(); jobs.len()];
    count(settings, jobs, &ends, &notes)
}

/// Numbers of the jobs in the order in which they are given room.
fn sorted(settings: &ModelSettings, jobs: &[ModelJob], order: Order) -> Vec<usize> {
    let density = |number: usize| {
        let job = &jobs[number];
        (value_of(settings, job).0 / job.work(&settings.kinds[job.kind]).max(1) as f64).to_bits()
    };
    let mut numbers: Vec<_> = (0..jobs.len()).collect();
    // Positive numbers are ordered as their bits are.
    match order {
        Order::ByValue => numbers.sort_by_key(|&number| Reverse(density(number))),
        Order::ByPriority => {
            numbers.sort_by_key(|&number| {
                let job = &jobs[number];
                (settings.kinds[job.kind].priority, job.at)
            });
        }
        Order::ByArrival => numbers.sort_by_key(|&number| jobs[number].at),
    }
    numbers
}

/// Free capacity over time, in thousandths of a core.
struct Schedule {
    free_milli: Vec<u64>,
}

impl Schedule {
    fn new(settings: &ModelSettings) -> Self {
        let longest_ms =
            settings.kinds.iter().map(|kind| kind.run_ms.most * kind.stretch).fold(0.0, f64::max);
        let steps = u64::from(settings.seconds) * 1_000 + longest_ms as u64 * 2 + 1_000;
        Self { free_milli: vec![room_milli(settings); steps as usize] }
    }

    /// Places all tasks of a job as early as they fit, the longest first. Returns when the last one
    /// ends, or places none if that would be late.
    fn insert(&mut self, job: &ModelJob, cpu_milli: u32) -> Option<Micros> {
        let cpu_milli = u64::from(cpu_milli);
        let mut lengths: Vec<_> = job.run_micros.iter().map(|run| run.div_ceil(STEP)).collect();
        lengths.sort_unstable_by_key(|length| Reverse(*length));
        let (first, until) = (job.at.div_ceil(STEP), job.in_time_until() / STEP);
        let mut placed: Vec<(usize, usize)> = Vec::with_capacity(lengths.len());
        let mut last = 0;
        for length in lengths {
            let Some(start) = self.earliest(first, until, length, cpu_milli) else {
                for (start, end) in placed {
                    self.free_milli[start..end].iter_mut().for_each(|free| *free += cpu_milli);
                }
                return None;
            };
            let end = start + length as usize;
            self.free_milli[start..end].iter_mut().for_each(|free| *free -= cpu_milli);
            placed.push((start, end));
            last = last.max(end as u64);
        }
        Some((last * STEP).max(job.at))
    }

    /// The earliest step from which the capacity is free for a whole run that ends in time.
    fn earliest(&self, first: u64, until: u64, length: u64, cpu_milli: u64) -> Option<usize> {
        let mut start = first as usize;
        let (until, length) = (until.min(self.free_milli.len() as u64) as usize, length as usize);
        while start + length <= until {
            let run = &self.free_milli[start..start + length];
            match run.iter().rposition(|free| *free < cpu_milli) {
                None => return Some(start),
                Some(full) => start += full + 1,
            }
        }
        None
    }
}

/// Capacity of all upstreams at speed 1 that whole tasks of the smallest kind can take, in
/// thousandths of a core.
fn room_milli(settings: &ModelSettings) -> u64 {
    let task_milli = settings.kinds.iter().map(|kind| kind.cpu_milli).min().unwrap_or(1);
    let whole_tasks = |cpu_milli: u32| cpu_milli / task_milli * task_milli;
    let groups = settings.upstreams.iter();
    groups
        .map(|group| f64::from(group.count) * f64::from(whole_tasks(group.cpu_milli)) * group.speed)
        .sum::<f64>() as u64
}
