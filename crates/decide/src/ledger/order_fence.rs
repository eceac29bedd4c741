//! The number by which an upstream tells its agent's orders from older ones.

use sycamorerail_wire::runs::InstanceId;

/// All readers of JSON are exact up to this number.
const MAX_NUMBER: u64 = 1 << 53;
/// Doublings at most: with the time of day in milliseconds as a base the number stays below
/// [`MAX_NUMBER`].
const MAX_DOUBLINGS: u32 = 11;

/// The fence of an agent's orders. An upstream does nothing for a lower number than the
/// highest that it saw in its present life.
///
/// It is made of the start and the clock of the life that is asked, so that it is higher
/// than that of an earlier agent, and mostly that of an earlier life. It never falls
/// where the id stays: orders for an earlier life may reach the next one.
#[derive(Debug, Default)]
pub(super) struct OrderFence {
    number: u64,
    /// Latest start among the lives known under the id.
    latest_start_unix_ms: u64,
    taken_at: Option<InstanceId>,
    /// In a row.
    refusals: u32,
}

impl OrderFence {
    pub(super) fn number(&self) -> u64 {
        self.number
    }

    /// The life for which it was last taken.
    pub(super) fn taken_at(&self) -> Option<&InstanceId> {
        self.taken_at.as_ref()
    }

    /// A life under the id is known, perhaps from an earlier agent.
    pub(super) fn learn(&mut self, life: &InstanceId) {
        let start_unix_ms = life.started_unix_ms.unwrap_or(0);
        self.latest_start_unix_ms = self.latest_start_unix_ms.max(start_unix_ms);
    }

    /// This number was in use under the id. Unless it is this run's own, an earlier run of
    /// the agent had it: orders from now on are above it.
    pub(super) fn recall(&mut self, life: &InstanceId, number: u64) {
        self.learn(life);
        if number > self.number && number < MAX_NUMBER {
            self.number = if self.taken_at.is_some() { number + 1 } else { number };
        }
    }

    /// Takes a number for a life that was never ordered anything by this agent.
    ///
    /// Where the time of day has gone back, an earlier agent's number may be higher than a
    /// fresh one, by no more than the earlier life lasted: the double is above it.
    pub(super) fn take(&mut self, life: &InstanceId, clock_ms: u64) {
        let has_gone_back = life.started_unix_ms.unwrap_or(0) < self.latest_start_unix_ms;
        if has_gone_back && self.taken_at.is_none() {
            self.raise(self.latest_start_unix_ms.saturating_mul(2));
        }
        self.raise(fresh(life, clock_ms));
        self.taken_at = Some(life.clone());
        self.refusals = 0;
    }

    /// An order with this number was refused. A second refusal in a row means that a fresh
    /// number is not enough: an earlier life began at a later time of day.
    pub(super) fn refused(&mut self, number: u64, life: &InstanceId, clock_ms: u64) {
        if number < self.number {
            return;
        }
        let doublings = self.refusals.min(MAX_DOUBLINGS);
        self.refusals += 1;
        self.raise(fresh(life, clock_ms).saturating_mul(1 << doublings));
        self.taken_at = Some(life.clone());
    }

    pub(super) fn accepted(&mut self) {
        self.refusals = 0;
    }

    fn raise(&mut self, number: u64) {
        self.number = number.max(self.number.saturating_add(1));
    }
}

fn fresh(life: &InstanceId, clock_ms: u64) -> u64 {
    life.started_unix_ms.unwrap_or(0).saturating_add(clock_ms).saturating_add(1)
}
