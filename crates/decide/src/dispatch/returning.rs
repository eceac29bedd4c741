//! Returns of refused jobs: when they are told to come back, and whether they do.

use super::{
    Dispatch, Job,
    pool_share::PoolShare,
    returns::{RETURN_RANGE_MS, ReturnCounts},
};

impl Dispatch {
    /// How often refused jobs were told when to return, and returned.
    #[must_use]
    pub fn return_counts(&self) -> ReturnCounts {
        self.returns.counts()
    }

    /// Records what arrives at the upstreams of the job's pool, of which this entry has a share.
    pub(super) fn observe_share(&mut self, job: &Job, now_ms: u64) {
        let load = self.pool_load(&job.request.kind.pool, now_ms);
        self.pool_share(&job.request.kind.pool).observe(&load, now_ms);
    }

    /// Records work that was placed at agents.
    pub(super) fn record_placed(&mut self, pool: &str, work_milli_ms: u64, now_ms: u64) {
        self.pool_share(pool).record_placed(work_milli_ms, now_ms);
    }

    fn pool_share(&mut self, pool: &str) -> &mut PoolShare {
        self.pool_shares.entry(pool.to_owned()).or_default()
    }

    /// Delay after which a job that is refused for load should return, in milliseconds; as given
    /// where the load is not known, or where all kinds of the pool have the same priority.
    pub(super) fn schedule_return(&mut self, job: &Job, else_ms: u32, now_ms: u64) -> u32 {
        let kind = &job.request.kind;
        let rate_milli = self.gained_milli(&kind.pool, kind.priority, now_ms);
        if rate_milli == 0 || !self.has_mixed_priorities(&kind.pool, now_ms) {
            return else_ms;
        }
        let work_milli_ms = job.work_milli_ms();
        // A promise to a job that needs all capacity for longer than callers wait would hold up all
        // others of its priority.
        let most_ms = RETURN_RANGE_MS.1;
        if work_milli_ms > rate_milli.saturating_mul(most_ms) {
            return most_ms as u32;
        }
        self.returns.promise(job.request.id, kind.priority, work_milli_ms, rate_milli, now_ms)
    }

    /// Rate at which this entry gains capacity for jobs of a priority, in thousandths of a core:
    /// its share of what more urgent work leaves. 0 while agents report no arriving work.
    fn gained_milli(&self, pool: &str, priority: u8, now_ms: u64) -> u64 {
        let load = self.pool_load(pool, now_ms);
        if load.arriving_milli() == 0 {
            return 0;
        }
        let share = self.pool_shares.get(pool).map_or(0.0, |share| share.share(now_ms));
        (load.capacity_left_milli(priority) as f64 * share) as u64
    }
}
