//! Upper bound of the number of jobs that are on time, whatever is decided.

use {
    super::{
        jobs::ModelJob,
        settings::{FaultKind, ModelSettings},
    },
    std::collections::BinaryHeap,
};

const MICROS_PER_S: f64 = 1_000_000.0;

/// Jobs on time if all upstreams were one, work were infinitely divisible, and all jobs were
/// known in advance.
///
/// Faults are left out but for `gone` and `hung`, which take room away. For each length of
/// window, the jobs of a window may use all room from its start, whatever those of others take;
/// the least of these bounds holds.
#[must_use]
pub fn most_in_time(settings: &ModelSettings, jobs: &[ModelJob]) -> u64 {
    let seconds = u64::from(settings.seconds);
    let lengths = (0..).map(|power| 1 << power).take_while(|&window_s| window_s < seconds);
    let bounds =
        lengths.chain([seconds]).map(|window_s| bound_by_windows(settings, jobs, window_s));
    bounds.min().unwrap_or(0)
}

fn bound_by_windows(settings: &ModelSettings, jobs: &[ModelJob], window_s: u64) -> u64 {
    let of_second = |job: &ModelJob| (job.at as f64 / MICROS_PER_S) as u64;
    let mut windows: Vec<Vec<&ModelJob>> = Vec::new();
    for job in jobs {
        let window = (of_second(job) / window_s) as usize;
        if windows.len() <= window {
            windows.resize(window + 1, Vec::new());
        }
        windows[window].push(job);
    }
    let starts_s = (0..).map(|window| window * window_s);
    starts_s.zip(windows).map(|(start_s, jobs)| most_in_window(settings, jobs, start_s)).sum()
}

/// Moore's algorithm: takes jobs by their deadlines and drops the largest one whenever they are too
/// much work. It is optimal for jobs that could all start at once.
fn most_in_window(settings: &ModelSettings, mut jobs: Vec<&ModelJob>, start_s: u64) -> u64 {
    jobs.sort_by_key(|job| job.in_time_until());
    let mut taken = BinaryHeap::new();
    let mut work = 0;
    for job in jobs {
        let job_work = job.work(&settings.kinds[job.kind]);
        work += job_work;
        taken.push(job_work);
        let until_s = job.in_time_until() as f64 / MICROS_PER_S;
        if work as f64 > room_work(settings, start_s as f64, until_s) {
            work -= taken.pop().unwrap_or(0);
        }
    }
    taken.len() as u64
}

/// Work that all upstreams do between two moments, in thousandths of a core times microseconds at
/// speed 1.
fn room_work(settings: &ModelSettings, from_s: f64, until_s: f64) -> f64 {
    let groups = settings.upstreams.iter();
    let upstreams = groups.flat_map(|group| {
        let rate = f64::from(group.cpu_milli) * group.speed;
        std::iter::repeat_n(rate, group.count as usize)
    });
    let work = |(upstream, rate): (usize, f64)| {
        rate * (until_s - from_s - longest_away_s(settings, upstream, from_s, until_s))
    };
    upstreams.enumerate().map(work).sum::<f64>() * MICROS_PER_S
}

/// The longest time for which a single fault takes an upstream away, in seconds. Faults may
/// overlap, and adding them up could take away room that there is.
fn longest_away_s(settings: &ModelSettings, upstream: usize, from_s: f64, until_s: f64) -> f64 {
    let faults = settings.faults.iter().filter(|fault| {
        matches!(fault.kind, FaultKind::Gone | FaultKind::Hung) && upstream < fault.count as usize
    });
    let away_s =
        faults.map(|fault| (fault.at_s + fault.for_s).min(until_s) - fault.at_s.max(from_s));
    away_s.fold(0.0, f64::max)
}
