//! Work that arrives at an agent, by priority class.

use {crate::decaying_sum::DecayingSum, sycamorerail_wire::runs::PRIORITY_CLASSES};

/// Window of the rates, in milliseconds. A burst shows within half a second, and the rate of a
/// class with a few tasks a second does not drop to zero between two of them.
const WINDOW_MS: f64 = 500.0;

/// Recent arrivals of work, by priority class.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ArrivalRates {
    by_class: [DecayingSum; PRIORITY_CLASSES],
}

impl ArrivalRates {
    /// Records the work of a task, in thousandths of a core times milliseconds.
    pub(super) fn record(&mut self, priority: u8, work_milli_ms: u64, now_ms: u64) {
        let class = usize::from(priority).min(PRIORITY_CLASSES - 1);
        self.by_class[class].add(work_milli_ms as f64, WINDOW_MS, now_ms);
    }

    /// Returns the rates, in thousandths of a core.
    pub(super) fn milli(&self, now_ms: u64) -> [u32; PRIORITY_CLASSES] {
        self.by_class.map(|work| work.per_ms(WINDOW_MS, now_ms) as u32)
    }
}
