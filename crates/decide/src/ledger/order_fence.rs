//! The fencing number by which an upstream tells its agent's orders from those of earlier
//! agents.

use sycamorerail_wire::runs::{InstanceId, MAX_START_UNIX_MS};

/// Largest integer up to which all JSON readers are exact.
const MAX_JSON_INTEGER: u64 = 1 << 53;
/// Maximum number of doublings: starting from a time of day in milliseconds, the number stays
/// below [`MAX_JSON_INTEGER`].
const MAX_DOUBLINGS: u32 = 11;

/// The fence of an agent's orders. An upstream refuses any number lower than the highest one
/// that its current instance has seen.
///
/// The number is the sum of the start time and the clock of the instance that was asked. It is
/// therefore higher than that of an earlier agent, and usually higher than that of an earlier
/// instance. It never falls while the id stays the same, because orders for an earlier instance
/// may reach the next one.
#[derive(Debug, Default)]
pub(super) struct OrderFence {
    number: u64,
    /// Latest start time among the known instances under the id.
    latest_start_unix_ms: u64,
    taken_for: Option<InstanceId>,
    /// Refusals in a row.
    refusals: u32,
}

impl OrderFence {
    pub(super) fn number(&self) -> u64 {
        self.number
    }

    /// Returns the instance for which the number was last taken.
    pub(super) fn taken_for(&self) -> Option<&InstanceId> {
        self.taken_for.as_ref()
    }

    /// Records an instance under the id, perhaps one that an earlier agent knew.
    pub(super) fn note_instance(&mut self, instance: &InstanceId) {
        self.latest_start_unix_ms = self.latest_start_unix_ms.max(start_unix_ms(instance));
    }

    /// Restores a number that was in use under the id. If it is higher than the number of this
    /// run, an earlier run of the agent used it, and later orders use a higher number.
    pub(super) fn restore(&mut self, instance: &InstanceId, number: u64) {
        self.note_instance(instance);
        if number > self.number && number < MAX_JSON_INTEGER {
            self.number = if self.taken_for.is_some() { number + 1 } else { number };
        }
    }

    /// Takes a number for an instance that has received no orders from this agent yet.
    ///
    /// If the time of day was set back, an earlier agent's number may be higher than a fresh
    /// one, by no more than the lifetime of the earlier instance. Twice the latest start time
    /// is above it.
    pub(super) fn take(&mut self, instance: &InstanceId, clock_ms: u64) {
        let has_gone_back = start_unix_ms(instance) < self.latest_start_unix_ms;
        if has_gone_back && self.taken_for.is_none() {
            self.raise(self.latest_start_unix_ms.saturating_mul(2));
        }
        self.raise(fresh_number(instance, clock_ms));
        self.taken_for = Some(instance.clone());
        self.refusals = 0;
    }

    /// Handles the refusal of an order with this number. A second refusal in a row means that a
    /// fresh number is not enough, because an earlier instance started at a later time of day.
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
    start_unix_ms(instance).saturating_add(clock_ms).saturating_add(1)
}

/// Returns when the instance started, or 0 if that is not known. A later time than any clock shows
/// comes from a foreign writer: a number computed from it could not be exceeded by a later agent.
fn start_unix_ms(instance: &InstanceId) -> u64 {
    instance.started_unix_ms.filter(|start| *start < MAX_START_UNIX_MS).unwrap_or(0)
}
