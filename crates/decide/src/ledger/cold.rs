//! An upstream that says how much longer it is slow after its start.

use {super::Ledger, sycamorerail_wire::runs::InstanceId};

/// Longest time that one announcement counts for: the next one comes within 1.5 s and says
/// so again, and none must keep an upstream from work for good.
const MAX_COLD_MS: u64 = 5_000;

/// A instance that is slow.
#[derive(Debug)]
pub(super) struct ColdInstance {
    instance: InstanceId,
    until_ms: u64,
}

impl Ledger {
    /// A instance announced that it is slow for so much longer; 0 where it is not.
    pub fn handle_cold_announcement(&mut self, instance: InstanceId, left_ms: u64, now_ms: u64) {
        let instance = instance.or_current(self.current_instance());
        if left_ms > 0 {
            self.cold =
                Some(ColdInstance { instance, until_ms: now_ms + left_ms.min(MAX_COLD_MS) });
        } else {
            self.cold.take_if(|cold| cold.instance == instance);
        }
    }

    /// Until when the present instance is slow, if it is.
    #[must_use]
    pub fn cold_until_ms(&self, now_ms: u64) -> Option<u64> {
        let cold =
            self.cold.as_ref().filter(|cold| Some(&cold.instance) == self.current_instance())?;
        Some(cold.until_ms).filter(|until_ms| now_ms < *until_ms)
    }
}
