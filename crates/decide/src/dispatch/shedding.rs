//! Load shedding: which jobs are refused when the load exceeds the capacity for seconds.
//!
//! A forecast alone accepts jobs until their queue is as long as their slack. Half of them are
//! then late by the error of the estimates, and the refused ones are those that find the queue
//! longest: wide jobs, and those of the wrong kinds. Long and less urgent ones have the looser
//! objective, so they are always accepted and hold the room that short urgent ones need.
//! At 10 % over capacity, half of the urgent jobs were refused, but only 4 % of the least urgent
//! ones, which are 28 % of the work.
//!
//! Jobs are therefore shed before that, at once and in proportion to the load, for two reasons.
//! **Pressure** is how long the work of a priority class has to wait at the upstreams of the pool,
//! relative to the slack of the kind. All entries see about the same, and jobs of all sizes are
//! shed alike. A kind that is not the most urgent one also yields to less urgent kinds that are
//! shed: otherwise only the least urgent kind would be refused in an overload. **Strain** is the
//! share of more urgent jobs that are refused or late at this entry.

use {
    super::{
        Dispatch, Job, JobForecast, KindParameters, ShedCause, Shedding, kinds::KindRecord,
        pool_load::PoolLoad,
    },
    std::sync::Arc,
};

/// Wait, as a part of the slack, from which jobs are shed. A queue as short as this only covers the
/// time between the end of a run and the next start.
const MIN_SHED_WAIT: f64 = 0.1;
/// Wait, as a part of the slack, at which every job that has to wait is shed. A job whose estimate
/// is too high by 40 % has 0.71 of the slack that the entry assumes, and the wait of its slowest
/// task is longer than the mean.
const MAX_SHED_WAIT: f64 = 0.6;
/// Share of jobs that a kind gives up for each share that less urgent kinds are shed: in an
/// overload each class then loses about half of what the next less urgent one loses.
const YIELDED_SHARE: f64 = 0.5;
/// A kind without arrivals for this long, in milliseconds, counts for no decision on others. An
/// entry sees a kind with a job a second, over ten entries, about this often.
const ACTIVE_KIND_MS: u64 = 10_000;

/// Tolerated share of refused and late jobs, in percent: estimates that are off by 40 % make a
/// few jobs late at any load.
const TOLERATED_STRAIN_PERCENT: f64 = 10.0;
/// Jobs shed for each preceding one that is refused or late beyond the tolerated share. With one,
/// room becomes free too slowly for a burst of a few seconds; with three, more jobs are shed than
/// needed.
const SHED_GAIN: f64 = 2.0;
/// Among kinds of the same priority, those with less work by this factor go first: each shed job
/// makes room for this many.
const SMALLER_WORK_FACTOR: f64 = 3.0;
/// Time without shedding after half of the agents have reconnected, in milliseconds: callers
/// whose connections broke retry 1.3 s later, all at once and only once.
const AFTER_RECONNECT_MS: u64 = 2_500;

impl Dispatch {
    /// Whether to shed the job.
    ///
    /// A job that need not wait takes room from nobody. The share of the others is spread evenly:
    /// each adds its fraction, and one job is shed whenever the sum reaches a whole.
    pub(super) fn is_shed(&mut self, job: &Job, forecast: &JobForecast) -> bool {
        if forecast.wait_ms == 0 {
            return false;
        }
        let kind = Arc::clone(&job.request.kind);
        self.kind_record(&kind.name).add_shed_fraction(forecast.shedding.percent / 100.0)
    }

    /// Share of jobs such as this one to shed.
    pub(super) fn shedding(&self, job: &Job, now_ms: u64) -> Shedding {
        if self.is_after_mass_reconnect(now_ms) {
            return Shedding::default();
        }
        let kind = &job.request.kind;
        let load = self.pool_load(&kind.pool, now_ms);
        let strain_percent =
            (self.strain_percent(job, now_ms) - TOLERATED_STRAIN_PERCENT) * SHED_GAIN;
        let (own_share, yielded_share) = self.pressure_shares(kind, &load, now_ms);
        let causes = [
            (ShedCause::Queue, own_share * 100.0),
            (ShedCause::Yielded, yielded_share * 100.0),
            (ShedCause::Strain, strain_percent.min(100.0)),
        ];
        let largest = causes.into_iter().filter(|(_, percent)| *percent > 0.0);
        let largest = largest.max_by(|(_, one), (_, other)| one.total_cmp(other));
        Shedding {
            percent: largest.map_or(0.0, |(_, percent)| percent),
            cause: largest.map(|(cause, _)| cause),
            queue_ms: load.wait_ms(kind.priority),
        }
    }

    /// Shares of the jobs of a kind to shed: for its own queue, and to yield to less urgent kinds.
    ///
    /// Where all kinds of the pool have the same priority, forecasts decide alone.
    fn pressure_shares(
        &self,
        kind: &KindParameters,
        load: &PoolLoad,
        now_ms: u64,
    ) -> (/* own */ f64, /* yielded */ f64) {
        let Some(own) = self.kinds.get(&kind.name) else { return (0.0, 0.0) };
        if !self.has_mixed_priorities(&kind.pool, now_ms) {
            return (0.0, 0.0);
        }
        let of_pool = || self.active_records(&kind.pool, now_ms);
        let most_urgent = of_pool().map(KindRecord::priority).min();
        let own_share = share_for_queue(own, load);
        if most_urgent == Some(kind.priority) {
            return (own_share, 0.0);
        }
        let (mut their_share, mut lacking_milli, mut yielding_milli) = (0.0_f64, 0.0, 0.0);
        for record in of_pool() {
            let asked_milli = record.asked_milli(now_ms);
            if record.priority() > kind.priority {
                let share = share_for_queue(record, load);
                their_share = their_share.max(share);
                lacking_milli += share * asked_milli;
            } else if most_urgent != Some(record.priority()) {
                yielding_milli += asked_milli;
            }
        }
        // All kinds that yield together give up no more than the others lack.
        let most = lacking_milli / yielding_milli.max(1.0);
        (own_share, (their_share * YIELDED_SHARE).min(most))
    }

    /// Records of the kinds of a pool that callers have used lately.
    fn active_records(&self, pool: &str, now_ms: u64) -> impl Iterator<Item = &KindRecord> {
        let is_active = move |record: &&KindRecord| {
            record.is_of_pool(pool) && now_ms < record.last_arrival_ms() + ACTIVE_KIND_MS
        };
        self.kinds.values().filter(is_active)
    }

    /// Whether the kinds of a pool that are in use differ in priority.
    pub(super) fn has_mixed_priorities(&self, pool: &str, now_ms: u64) -> bool {
        let priorities = || self.active_records(pool, now_ms).map(KindRecord::priority);
        priorities().min() != priorities().max()
    }

    /// Recent share of refused or late jobs, in percent, of the kind with the highest one among
    /// those of its pool that precede this job.
    fn strain_percent(&self, job: &Job, now_ms: u64) -> f64 {
        let priority = job.request.kind.priority;
        let work_milli_ms = job.work_milli_ms() as f64;
        let precedes = |record: &&KindRecord| {
            let is_smaller = record.work_milli_ms() * SMALLER_WORK_FACTOR < work_milli_ms;
            record.priority() < priority || (record.priority() == priority && is_smaller)
        };
        let before = self.active_records(&job.request.kind.pool, now_ms).filter(precedes);
        before.map(|record| record.strain_percent(now_ms)).fold(0.0, f64::max)
    }

    fn is_after_mass_reconnect(&self, now_ms: u64) -> bool {
        let linked = || self.agents.values().filter(|agent| agent.is_linked());
        let all = linked().count();
        let new = linked().filter(|agent| now_ms < agent.connected_ms + AFTER_RECONNECT_MS).count();
        new * 2 >= all
    }
}

/// Share of the jobs of a kind to shed for the queue ahead of them.
fn share_for_queue(record: &KindRecord, load: &PoolLoad) -> f64 {
    let wait = load.wait_ms(record.priority()) / record.slack_ms().max(1.0);
    ((wait - MIN_SHED_WAIT) / (MAX_SHED_WAIT - MIN_SHED_WAIT)).clamp(0.0, 1.0)
}
