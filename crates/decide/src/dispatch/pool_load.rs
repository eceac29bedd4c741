//! Load of a pool's upstreams as a whole, by their agents' last reports.

use {
    super::{AgentView, Dispatch},
    sycamorerail_wire::runs::{PRIORITY_CLASSES, Resources},
};

/// Largest part of the capacity, in percent, that counts as taken by more urgent work. While more
/// arrives than fits, the rest keeps the computed waiting times of less urgent work finite.
const MAX_MORE_URGENT_PERCENT: u64 = 90;

/// Sums over the linked agents of a pool.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PoolLoad {
    capacity_milli: u64,
    waiting_milli_ms: [u64; PRIORITY_CLASSES],
    arriving_milli: [u64; PRIORITY_CLASSES],
}

impl PoolLoad {
    fn add(&mut self, agent: &AgentView) {
        self.capacity_milli += u64::from(agent.load.capacity.cpu_milli);
        for class in 0..PRIORITY_CLASSES {
            let waiting_milli_ms = &mut self.waiting_milli_ms[class];
            *waiting_milli_ms = waiting_milli_ms.saturating_add(agent.load.waiting_milli_ms[class]);
            self.arriving_milli[class] += u64::from(agent.load.arriving_milli[class]);
        }
    }

    /// Work that arrives from all entries, in thousandths of a core.
    pub(super) fn arriving_milli(&self) -> u64 {
        self.arriving_milli.iter().sum()
    }

    /// Capacity that work of higher priority does not take as it arrives, in thousandths of a
    /// core.
    pub(super) fn capacity_left_milli(&self, priority: u8) -> u64 {
        self.capacity_milli * (100 - self.more_urgent_percent(priority)) / 100
    }

    /// Share of the capacity that work of higher priority takes as it arrives, in percent.
    pub(super) fn more_urgent_percent(&self, priority: u8) -> u64 {
        let classes = usize::from(priority).min(PRIORITY_CLASSES - 1);
        let arriving: u64 = self.arriving_milli[..classes].iter().sum();
        (arriving * 100 / self.capacity_milli.max(1)).min(MAX_MORE_URGENT_PERCENT)
    }

    /// Mean time that work of this priority has to wait for the work ahead of it, in
    /// milliseconds.
    pub(super) fn wait_ms(&self, priority: u8) -> f64 {
        let class = usize::from(priority).min(PRIORITY_CLASSES - 1);
        let waiting =
            self.waiting_milli_ms[..=class].iter().fold(0, |a: u64, b| a.saturating_add(*b));
        let left_percent = 100 - self.more_urgent_percent(priority);
        waiting as f64 * 100.0 / (self.capacity_milli * left_percent).max(1) as f64
    }
}

impl Dispatch {
    /// Load of the usable upstreams of a pool. An agent that is silent or leaving has reported a
    /// load that nothing waits for any more.
    pub(super) fn pool_load(&self, pool: &str, now_ms: u64) -> PoolLoad {
        let mut load = PoolLoad::default();
        let is_usable = |agent: &&AgentView| {
            agent.serves_pool(pool) && agent.is_usable(now_ms, self.limits.suspect_ms)
        };
        self.agents.values().filter(is_usable).for_each(|agent| load.add(agent));
        load
    }
}

impl AgentView {
    /// Whether the agent is connected and has an upstream of the pool that is not evacuated.
    pub(super) fn serves_pool(&self, pool: &str) -> bool {
        self.is_serving() && self.can_run(pool, &Resources::default(), None)
    }
}
