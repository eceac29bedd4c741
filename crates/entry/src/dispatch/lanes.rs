//! Waiting tasks: one lane a kind, urgent lanes first, then by arrival.

use {
    crate::jobs::JobCell,
    std::{
        collections::{BTreeMap, HashSet},
        sync::Arc,
    },
    sycamorerail_decide::{job::TaskKey, view::KindKey},
};

/// A task that waits.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) cell: Arc<JobCell>,
    pub(super) task: TaskKey,
}

#[derive(Debug, Default)]
struct Lane {
    urgency: u8,
    /// By arrival.
    tasks: BTreeMap<u64, Waiting>,
}

/// All waiting tasks.
#[derive(Debug, Default)]
pub(super) struct Lanes {
    lanes: BTreeMap<KindKey, Lane>,
    next_arrival: u64,
    count: u32,
}

/// Place of a waiting task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct WaitingKey {
    pub(super) kind: KindKey,
    arrival: u64,
}

/// What a pass over the lanes has set aside.
#[derive(Debug, Default)]
pub(super) struct SetAside {
    pub(super) lanes: HashSet<KindKey>,
    pub(super) tasks: HashSet<WaitingKey>,
}

impl Lanes {
    pub(super) fn count(&self) -> u32 {
        self.count
    }

    pub(super) fn has_lane(&self, kind: KindKey) -> bool {
        self.lanes.contains_key(&kind)
    }

    pub(super) fn push(&mut self, waiting: Waiting) {
        let kind = &waiting.cell.kind;
        let lane = self.lanes.entry(kind.key).or_default();
        lane.urgency = kind.urgency;
        lane.tasks.insert(self.next_arrival, waiting);
        self.next_arrival += 1;
        self.count += 1;
    }

    /// The next task that was not set aside.
    pub(super) fn next(&self, aside: &SetAside) -> Option<(WaitingKey, Waiting)> {
        let heads = self.lanes.iter().filter(|(kind, _)| !aside.lanes.contains(kind));
        let heads = heads.filter_map(|(&kind, lane)| {
            let keys = lane
                .tasks
                .iter()
                .map(|(&arrival, waiting)| (WaitingKey { kind, arrival }, waiting));
            let (key, waiting) = keys.into_iter().find(|(key, _)| !aside.tasks.contains(key))?;
            Some((lane.urgency, key, waiting))
        });
        let best = heads.min_by_key(|(urgency, key, _)| (*urgency, key.arrival));
        best.map(|(_, key, waiting)| (key, waiting.clone()))
    }

    pub(super) fn remove(&mut self, key: WaitingKey) {
        let Some(lane) = self.lanes.get_mut(&key.kind) else {
            return;
        };
        if lane.tasks.remove(&key.arrival).is_some() {
            self.count -= 1;
        }
        if lane.tasks.is_empty() {
            self.lanes.remove(&key.kind);
        }
    }

    /// Drops tasks that wait no more.
    pub(super) fn retain(&mut self, wanted: impl Fn(&Waiting) -> bool) {
        for lane in self.lanes.values_mut() {
            lane.tasks.retain(|_, waiting| wanted(waiting));
        }
        self.lanes.retain(|_, lane| !lane.tasks.is_empty());
        let left = self.lanes.values().map(|lane| lane.tasks.len()).sum::<usize>();
        self.count = u32::try_from(left).unwrap_or(u32::MAX);
    }
}
