//! The number by which an upstream tells its agent's orders from older ones.

use sycamorerail_wire::runs::InstanceId;

/// All readers of JSON are exact up to this number.
const MAX_JSON_INTEGER: u64 = 1 << 53;
/// Doublings at most: with the time of day in milliseconds as a base the number stays below
/// [`MAX_JSON_INTEGER`].
const MAX_DOUBLINGS: u32 = 11;

/// The fence of an agent's orders. An upstream does nothing for a lower number than the
/// highest that it saw in its present instance.
///
/// It is made of the start and the clock of the instance that is asked, so that it is higher
/// than that of an earlier agent, and mostly that of an earlier instance. It never falls
/// where the id stays: orders for an earlier instance may reach the next one.
#[derive(Debug, Default)]
pub(super) struct OrderFence {
    number: u64,
    /// Latest start among the instances known under the id.
    latest_start_unix_ms: u64,
    taken_for: Option<InstanceId>,
    /// In a row.
    refusals: u32,
}

impl OrderFence {
    pub(super) fn number(&self) -> u64 {
        self.number
    }

    /// The instance for which it was last taken.
    pub(super) fn taken_for(&self) -> Option<&InstanceId> {
        self.taken_for.as_ref()
    }

    /// A instance under the id is known, perhaps from an earlier agent.
    pub(super) fn note_instance(&mut self, instance: &InstanceId) {
        let start_unix_ms = instance.started_unix_ms.unwrap_or(0);
        self.latest_start_unix_ms = self.latest_start_unix_ms.max(start_unix_ms);
    }

    /// This number was in use under the id. Unless it is this run's own, an earlier run of
    /// the agent had it: orders from now on are above it.
    pub(super) fn restore(&mut self, instance: &InstanceId, number: u64) {
        self.note_instance(instance);
        if number > self.number && number < MAX_JSON_INTEGER {
            self.number = if self.taken_for.is_some() { number + 1 } else { number };
        }
    }

    /// Takes a number for a instance that was never ordered anything by this agent.
    ///
    /// Where the time of day has gone back, an earlier agent's number may be higher than a
    /// fresh one, by no more than the earlier instance lasted: the double is above it.
    pub(super) fn take(&mut self, instance: &InstanceId, clock_ms: u64) {
        let has_gone_back = instance.started_unix_ms.unwrap_or(0) < self.latest_start_unix_ms;
        if has_gone_back && self.taken_for.is_none() {
            self.raise(self.latest_start_unix_ms.saturating_mul(2));
        }
        self.raise(fresh_number(instance, clock_ms));
        self.taken_for = Some(instance.clone());
        self.refusals = 0;
    }

    /// An order with this number was refused. A second refusal in a row means that a fresh
    /// number is not enough: an earlier instance began at a later time of day.
    pub(super) fn handle_refusal(&mut self, number: u64, instance: &InstanceId, clock_ms: u64) {
        if number < self.number {
            return;
        }
        let doublings = self.refusals.min(MAX_DOUBLINGS);
        self.refusals += 1;
        self.raise(fresh_number(instance, clock_ms).saturating_mul(1 << doublings));
        self.taken_for = Some(instance.clone());
    }

    pub(super) fn reset_refusals(&mut self) {
        self.refusals = 0;
    }

    fn raise(&mut self, number: u64) {
        self.number = number.max(self.number.saturating_add(1));
    }
}

fn fresh_number(instance: &InstanceId, clock_ms: u64) -> u64 {
    instance.started_unix_ms.unwrap_or(0).saturating_add(clock_ms).saturating_add(1)
}
