//! Slow start of an upstream: how long a freshly started instance says that it stays slow.

use {super::Ledger, sycamorerail_wire::runs::InstanceId};

/// Upper limit on the time that one announcement counts for. The next announcement follows
/// within 1.5 s and repeats the remaining time; without a limit, a single announcement could
/// keep an upstream from work for good.
const MAX_COLD_MS: u64 = 5_000;

/// An instance that announced a slow start.
#[derive(Debug)]
pub(super) struct ColdInstance {
    instance: InstanceId,
    until_ms: u64,
}

impl Ledger {
    /// Handles an announcement that an instance stays slow for `left_ms` more milliseconds; 0
    /// if it is not slow.
    pub fn handle_cold_announcement(&mut self, instance: InstanceId, left_ms: u64, now_ms: u64) {
        let instance = instance.or_current(self.current_instance());
        if left_ms > 0 {
            self.cold =
                Some(ColdInstance { instance, until_ms: now_ms + left_ms.min(MAX_COLD_MS) });
        } else {
            self.cold.take_if(|cold| cold.instance == instance);
        }
    }

    /// Returns the time until which the current instance is slow, or `None` if it is not.
    #[must_use]
    pub fn cold_until_ms(&self, now_ms: u64) -> Option<u64> {
        let cold =
            self.cold.as_ref().filter(|cold| Some(&cold.instance) == self.current_instance())?;
        Some(cold.until_ms).filter(|until_ms| now_ms < *until_ms)
    }
}
