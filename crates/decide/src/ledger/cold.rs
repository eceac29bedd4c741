//! An upstream that says how much longer it is slow after its start.

use {super::Ledger, sycamorerail_wire::runs::InstanceId};

/// Longest time that one announcement counts for: the next one comes within 1.5 s and says
/// so again, and none must keep an upstream from work for good.
const MAX_COLD_MS: u64 = 5_000;

/// A life that is slow.
#[derive(Debug)]
pub(super) struct Cold {
    life: InstanceId,
    until_ms: u64,
}

impl Ledger {
    /// A life announced that it is slow for so much longer; 0 where it is not.
    pub fn announced_cold(&mut self, life: InstanceId, left_ms: u64, now_ms: u64) {
        let life = life.or_current(self.present());
        if left_ms > 0 {
            self.cold = Some(Cold { life, until_ms: now_ms + left_ms.min(MAX_COLD_MS) });
        } else {
            self.cold.take_if(|cold| cold.life == life);
        }
    }

    /// Until when the present life is slow, if it is.
    #[must_use]
    pub fn cold_until_ms(&self, now_ms: u64) -> Option<u64> {
        let cold = self.cold.as_ref().filter(|cold| Some(&cold.life) == self.present())?;
        Some(cold.until_ms).filter(|until_ms| now_ms < *until_ms)
    }
}
