//! The ideal: one omniscient first-come first-served queue over all slots,
//! without any overhead but the caller's own round trip.

use {
    crate::arrivals::Arrival,
    std::{cmp::Reverse, collections::BinaryHeap},
};

const US_PER_MS: u64 = 1_000;

/// Response time of each arrival in microseconds, in the order given.
///
/// Arrivals must be in the order of their times. With no slot nothing ends:
/// the result is empty.
#[must_use]
pub fn response_us(arrivals: &[Arrival], slots: u32, round_trip_us: u64) -> Vec<u64> {
    if slots == 0 {
        return Vec::new();
    }
    let mut free_at_us: BinaryHeap<Reverse<u64>> = (0..slots).map(|_| Reverse(0)).collect();
    let respond = |arrival| finish_us(arrival, &mut free_at_us) + round_trip_us;
    arrivals.iter().map(respond).collect()
}

/// Time from arrival to the end of its last task.
fn finish_us(arrival: &Arrival, free_at_us: &mut BinaryHeap<Reverse<u64>>) -> u64 {
    let mut last_us = arrival.at_us;
    for &run_ms in &arrival.run_ms {
        let Reverse(slot_us) = free_at_us.pop().unwrap_or_default();
        let end_us = slot_us.max(arrival.at_us) + u64::from(run_ms) * US_PER_MS;
        free_at_us.push(Reverse(end_us));
        last_us = last_us.max(end_us);
    }
    last_us - arrival.at_us
}
