//! Bodies of kept answers, bounded in bytes: the oldest are dropped first.

use {super::table::JobKey, parking_lot::Mutex, std::collections::VecDeque};

#[derive(Debug, Default)]
struct Order {
    bodies: VecDeque<(JobKey, u64)>,
    bytes: u64,
}

/// The order in which bodies of kept answers came.
#[derive(Debug)]
pub(super) struct Kept {
    order: Mutex<Order>,
    max_bytes: u64,
}

impl Kept {
    pub(super) fn new(max_bytes: u64) -> Self {
        Self { order: Mutex::default(), max_bytes }
    }

    /// Adds a body; returns the jobs whose bodies must be dropped for it.
    pub(super) fn add(&self, key: JobKey, body_bytes: u64) -> Vec<JobKey> {
        let mut order = self.order.lock();
        order.bodies.push_back((key, body_bytes));
        order.bytes += body_bytes;
        let mut dropped = Vec::new();
        while order.bytes > self.max_bytes {
            let Some((oldest, bytes)) = order.bodies.pop_front() else {
                break;
            };
            order.bytes -= bytes;
            dropped.push(oldest);
        }
        dropped
    }

    /// Forgets the bodies of expired jobs.
    pub(super) fn forget(&self, is_kept: impl Fn(JobKey) -> bool) {
        let mut order = self.order.lock();
        let Order { bodies, bytes } = &mut *order;
        bodies.retain(|&(key, body_bytes)| {
            let keep = is_kept(key);
            if !keep {
                *bytes -= body_bytes;
            }
            keep
        });
    }

    pub(super) fn bytes(&self) -> u64 {
        self.order.lock().bytes
    }
}
