//! Placements that wait at the agent for a free slot.

use {
    super::TaskStart,
    std::collections::BTreeMap,
    sycamorerail_wire::{answer::Reason, ids::Incarnation, message::Placement},
};

/// Position in the queue: lower urgency numbers first, then the one queued first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    urgency: u8,
    sequence: u64,
}

/// A placement in the queue.
#[derive(Debug)]
pub(super) struct Queued {
    pub(super) placement: Placement,
    pub(super) start_by_ms: u64,
    received_ms: u64,
    end_by_ms: u64,
}

impl Queued {
    pub(super) fn new(placement: Placement, now_ms: u64) -> Self {
        Self {
            start_by_ms: now_ms + u64::from(placement.start_within_ms),
            received_ms: now_ms,
            end_by_ms: now_ms + u64::from(placement.end_within_ms),
            placement,
        }
    }

    /// Why the task may no longer start; `None` if it may.
    pub(super) fn expiry_reason(&self, now_ms: u64) -> Option<Reason> {
        if now_ms >= self.end_by_ms {
            return Some(Reason::DeadlinePassed);
        }
        (now_ms >= self.start_by_ms).then_some(Reason::StartWindowPassed)
    }

    pub(super) fn home(&self) -> Incarnation {
        self.placement.task.job.incarnation
    }

    pub(super) fn into_start(self, now_ms: u64) -> TaskStart {
        TaskStart {
            end_by_ms: self.end_by_ms,
            queued_ms: now_ms.saturating_sub(self.received_ms),
            placement: self.placement,
        }
    }

    fn payload_bytes(&self) -> u64 {
        self.placement.payload.0.len() as u64
    }
}

#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: BTreeMap<QueueKey, Queued>,
    next_sequence: u64,
    payload_bytes: u64,
}

impl Queue {
    pub(super) fn push(&mut self, queued: Queued) -> QueueKey {
        let key = QueueKey { urgency: queued.placement.urgency, sequence: self.next_sequence };
        self.next_sequence += 1;
        self.payload_bytes += queued.payload_bytes();
        self.waiting.insert(key, queued);
        key
    }

    pub(super) fn pop(&mut self) -> Option<Queued> {
        let (_, queued) = self.waiting.pop_first()?;
        self.payload_bytes -= queued.payload_bytes();
        Some(queued)
    }

    pub(super) fn remove(&mut self, key: QueueKey) -> Option<Queued> {
        let queued = self.waiting.remove(&key)?;
        self.payload_bytes -= queued.payload_bytes();
        Some(queued)
    }

    pub(super) fn remove_where(&mut self, unwanted: impl Fn(&Queued) -> bool) -> Vec<Queued> {
        let keys: Vec<QueueKey> = self
            .waiting
            .iter()
            .filter(|(_, queued)| unwanted(queued))
            .map(|(&key, _)| key)
            .collect();
        keys.into_iter().filter_map(|key| self.remove(key)).collect()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn payload_bytes(&self) -> u64 {
        self.payload_bytes
    }
}
