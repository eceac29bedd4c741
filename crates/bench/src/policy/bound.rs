//! A bound that no decision can pass: how many jobs could be in time.

use super::{jobs::ModelJob, settings::ModelSettings};

const MICROS_PER_S: f64 = 1_000_000.0;

/// Jobs in time if all upstreams were one, work flowed into it without gaps, its end
/// was known beforehand, and only the largest jobs were turned away.
///
/// Faults are left out but for `gone` and `hung`, which take room away. Work that does
/// not fit into its second may be done as long as its own job is in time.
#[must_use]
pub fn most_in_time(settings: &ModelSettings, jobs: &[ModelJob]) -> u64 {
    let mut by_second: Vec<Vec<Demand>> = vec![Vec::new(); settings.seconds as usize];
    for job in jobs {
        let core_s = job.work(&settings.kinds[job.kind]) as f64 / 1e9;
        let span_s = job.span as f64 / MICROS_PER_S;
        by_second[(job.at as f64 / MICROS_PER_S) as usize].push(Demand { core_s, span_s });
    }
    let mut in_time = 0;
    let mut backlog_core_s = 0.0;
    for (second, demands) in by_second.iter_mut().enumerate() {
        demands.sort_by(|one, other| one.core_s.total_cmp(&other.core_s));
        let room = room_cores(settings, second as f64 + 0.5);
        for demand in demands.iter() {
            if backlog_core_s + demand.core_s <= room * (1.0 + demand.span_s) {
                backlog_core_s += demand.core_s;
                in_time += 1;
            }
        }
        backlog_core_s = f64::max(0.0, backlog_core_s - room);
    }
    in_time
}

/// What one job asks for.
#[derive(Clone, Copy)]
struct Demand {
    core_s: f64,
    span_s: f64,
}

/// Work that all upstreams do in a second, in core-seconds at speed 1.
fn room_cores(settings: &ModelSettings, at_s: f64) -> f64 {
    use super::settings::FaultKind::{Gone, Hung};
    let away = settings.faults.iter().filter(|fault| {
        matches!(fault.kind, Gone | Hung) && (fault.at_s..fault.at_s + fault.for_s).contains(&at_s)
    });
    let first = away.map(|fault| fault.count).max().unwrap_or(0) as usize;
    let all = settings.upstreams.iter().flat_map(|group| {
        let cores = f64::from(group.cpu_milli) / 1e3 * group.speed;
        std::iter::repeat_n(cores, group.count as usize)
    });
    all.skip(first).sum()
}
