//! Tasks that wait at the entry for a free slot.
//!
//! Order: the more urgent class first, strictly. Within a class, organisations
//! share by start-time fair queueing: each has a virtual start tag, the lowest
//! is served next, and serving a task moves the tag on by the task's cost over
//! the organisation's weight. An organisation that floods the queue thus delays
//! itself: another one's task waits for at most about one task of each
//! organisation before it, however many they queued. Deficit round robin would
//! do as well on long flows, but serves bursts of a quantum and needs a quantum
//! that fits run times from 50 ms to several seconds.
//!
//! Within an organisation, tasks of a kind are served first in, first out, and
//! the kind with the oldest task is tried first; a kind whose upstreams are all
//! busy does not hold up the organisation's others.
//!
//! Room is shared by a dynamic threshold: an organisation may hold as many
//! tasks as places are left free. One alone fills half of the queue, and there
//! is always room for the next.
//!
//! Each operation costs O(log n) for n waiting tasks, and O(organisations) for
//! each attempt to place one that finds no room.

use {
    crate::view::KindKey,
    slotmap::{SlotMap, new_key_type},
    std::collections::{BTreeMap, BTreeSet, HashMap},
    sycamorerail_wire::ids::OrganisationKey,
};

/// Virtual time of one unit of cost at weight 1: leaves room for division.
const TAG_SCALE: u64 = 1 << 16;

new_key_type! {
    /// A waiting task.
    pub struct WaitingKey;
}

/// Where a waiting task stands in the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulingParams {
    /// Whose it is.
    pub organisation: OrganisationKey,
    /// Its kind.
    pub kind: KindKey,
    /// Lower goes first.
    pub urgency: u8,
    /// The organisation's weight against others in its class, at least 1.
    pub weight: u32,
    /// What it takes of the upstreams: expected run time, in milliseconds.
    pub cost_ms: u32,
    /// Started later it misses its deadline, in monotonic milliseconds.
    pub latest_start_ms: u64,
}

/// Tasks before a new one, for its expected wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Waiting tasks that are more urgent.
    pub more_urgent: u32,
    /// Waiting tasks of its class.
    pub class_tasks: u32,
    /// Of those, the organisation's own.
    pub own_tasks: u32,
    /// Organisations with tasks in its class, the asking one included.
    pub organisations: u32,
}

impl Backlog {
    /// Tasks served before a new one of the organisation, at most: of its
    /// class all, or under fair shares as many of each other as of its own.
    #[must_use]
    pub fn tasks_ahead(&self) -> u32 {
        let fair = (self.own_tasks + 1).saturating_mul(self.organisations.max(1)) - 1;
        self.more_urgent + self.class_tasks.min(fair)
    }
}

#[derive(Debug)]
struct Waiting<T> {
    params: SchedulingParams,
    sequence: u64,
    item: T,
}

/// Tasks of one organisation in one class.
#[derive(Debug, Default)]
struct Flow {
    /// By kind, in the order of arrival.
    lanes: Vec<(KindKey, BTreeMap<u64, WaitingKey>)>,
    tasks: u32,
    /// Virtual start of its next task.
    tag: u64,
}

#[derive(Debug, Default)]
struct Class {
    flows: HashMap<OrganisationKey, Flow>,
    /// Flows with tasks, the next to serve first.
    active: BTreeSet<(u64, OrganisationKey)>,
    /// Flows without tasks whose tag is ahead of the virtual time: an
    /// organisation does not gain by emptying its queue.
    resting: BTreeSet<(u64, OrganisationKey)>,
    virtual_now: u64,
    tasks: u32,
}

/// The waiting queue of an entry.
#[derive(Debug)]
pub struct Queue<T> {
    items: SlotMap<WaitingKey, Waiting<T>>,
    classes: BTreeMap<u8, Class>,
    expiries: BTreeSet<(u64, WaitingKey)>,
    held: HashMap<OrganisationKey, u32>,
    max_tasks: u32,
    next_sequence: u64,
}

impl<T> Queue<T> {
    /// An empty queue for at most that many tasks.
    #[must_use]
    pub fn new(max_tasks: u32) -> Self {
        Self {
            items: SlotMap::with_key(),
            classes: BTreeMap::new(),
            expiries: BTreeSet::new(),
            held: HashMap::new(),
            max_tasks,
            next_sequence: 0,
        }
    }

    /// Tasks waiting.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.items.len() as u32
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// How many more tasks the organisation may add.
    #[must_use]
    pub fn room_for(&self, organisation: OrganisationKey) -> u32 {
        let held = self.held.get(&organisation).copied().unwrap_or(0);
        // Each task added takes one of the places left as well.
        (self.max_tasks - self.len()).saturating_sub(held).div_ceil(2)
    }

    /// What waits before a new task.
    #[must_use]
    pub fn backlog(&self, organisation: OrganisationKey, urgency: u8) -> Backlog {
        let more_urgent = self.classes.range(..urgency).map(|(_, class)| class.tasks).sum();
        let Some(class) = self.classes.get(&urgency) else {
            return Backlog { more_urgent, organisations: 1, ..Backlog::default() };
        };
        let own_tasks = class.flows.get(&organisation).map_or(0, |flow| flow.tasks);
        let organisations = class.active.len() as u32 + u32::from(own_tasks == 0);
        Backlog { more_urgent, class_tasks: class.tasks, own_tasks, organisations }
    }

    /// Adds a task behind the organisation's others; gives it back if the
    /// organisation has no room.
    pub fn push(&mut self, params: SchedulingParams, item: T) -> Result<WaitingKey, T> {
        if self.room_for(params.organisation) == 0 {
            return Err(item);
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let key = self.items.insert(Waiting { params, sequence, item });
        self.expiries.insert((params.latest_start_ms, key));
        *self.held.entry(params.organisation).or_default() += 1;
        self.classes.entry(params.urgency).or_default().push(&params, sequence, key);
        Ok(key)
    }

    /// Takes the first task in order that `place` accepts.
    ///
    /// `place` is asked for the first task of each kind of each organisation,
    /// at most `max_tries` times; it decides and, if it says yes, has placed.
    pub fn take_first(
        &mut self,
        max_tries: usize,
        mut place: impl FnMut(&SchedulingParams, &T) -> bool,
    ) -> Option<(SchedulingParams, T)> {
        let key = self.heads().take(max_tries).find(|&key| {
            let Waiting { params, item, .. } = &self.items[key];
            place(params, item)
        })?;
        let params = self.items[key].params;
        if let Some(class) = self.classes.get_mut(&params.urgency) {
            class.charge(&params);
        }
        self.remove(key)
    }

    fn heads(&self) -> impl Iterator<Item = WaitingKey> {
        self.classes.values().flat_map(Class::heads)
    }

    /// Takes a task out, because it was cancelled. It costs its organisation
    /// nothing.
    pub fn remove(&mut self, key: WaitingKey) -> Option<(SchedulingParams, T)> {
        let Waiting { params, sequence, item } = self.items.remove(key)?;
        self.expiries.remove(&(params.latest_start_ms, key));
        if let Some(held) = self.held.get_mut(&params.organisation) {
            *held -= 1;
            if *held == 0 {
                self.held.remove(&params.organisation);
            }
        }
        if let Some(class) = self.classes.get_mut(&params.urgency) {
            class.forget(&params, sequence);
        }
        Some((params, item))
    }

    /// Takes out a task that can no longer meet its deadline, to be refused.
    /// Call it until it returns `None`.
    pub fn take_expired(&mut self, now_ms: u64) -> Option<(SchedulingParams, T)> {
        let &(latest_start_ms, key) = self.expiries.first()?;
        if latest_start_ms >= now_ms {
            return None;
        }
        self.remove(key)
    }

    /// When the next task becomes late, in monotonic milliseconds.
    #[must_use]
    pub fn next_expiry_ms(&self) -> Option<u64> {
        self.expiries.first().map(|(latest_start_ms, _)| latest_start_ms + 1)
    }
}

impl Class {
    fn push(&mut self, params: &SchedulingParams, sequence: u64, key: WaitingKey) {
        let flow = self.flows.entry(params.organisation).or_default();
        if flow.tasks == 0 {
            self.resting.remove(&(flow.tag, params.organisation));
            flow.tag = flow.tag.max(self.virtual_now);
            self.active.insert((flow.tag, params.organisation));
        }
        flow.push(params.kind, sequence, key);
        self.tasks += 1;
    }

    /// First task of each kind of each organisation, in the order of service.
    fn heads(&self) -> impl Iterator<Item = WaitingKey> {
        self.active.iter().flat_map(|(_, organisation)| self.flows[organisation].heads())
    }

    /// Moves the virtual time to the task served, and its flow behind it.
    fn charge(&mut self, params: &SchedulingParams) {
        let Some(flow) = self.flows.get_mut(&params.organisation) else { return };
        let cost = u64::from(params.cost_ms.max(1)) * TAG_SCALE / u64::from(params.weight.max(1));
        self.active.remove(&(flow.tag, params.organisation));
        self.virtual_now = self.virtual_now.max(flow.tag);
        flow.tag += cost.max(1);
        self.active.insert((flow.tag, params.organisation));
    }

    /// Counts a task that was taken out.
    fn forget(&mut self, params: &SchedulingParams, sequence: u64) {
        let Some(flow) = self.flows.get_mut(&params.organisation) else { return };
        flow.remove(params.kind, sequence);
        self.tasks -= 1;
        if flow.tasks == 0 {
            let place = (flow.tag, params.organisation);
            self.active.remove(&place);
            self.resting.insert(place);
        }
        self.drop_rested();
    }

    /// Forgets flows that rest at or behind the virtual time; all of them once
    /// no task waits.
    fn drop_rested(&mut self) {
        if let (true, Some(&(tag, _))) = (self.active.is_empty(), self.resting.last()) {
            self.virtual_now = self.virtual_now.max(tag);
        }
        while let Some(&(tag, organisation)) = self.resting.first() {
            if tag > self.virtual_now {
                break;
            }
            self.resting.pop_first();
            self.flows.remove(&organisation);
        }
    }
}

impl Flow {
    fn push(&mut self, kind: KindKey, sequence: u64, key: WaitingKey) {
        self.tasks += 1;
        match self.lanes.iter_mut().find(|(it, _)| *it == kind) {
            Some((_, lane)) => _ = lane.insert(sequence, key),
            None => self.lanes.push((kind, BTreeMap::from([(sequence, key)]))),
        }
    }

    fn remove(&mut self, kind: KindKey, sequence: u64) {
        self.tasks -= 1;
        for (_, lane) in self.lanes.iter_mut().filter(|(it, _)| *it == kind) {
            lane.remove(&sequence);
        }
        self.lanes.retain(|(_, lane)| !lane.is_empty());
    }

    fn heads(&self) -> impl Iterator<Item = WaitingKey> {
        let mut heads: Vec<_> =
            self.lanes.iter().filter_map(|(_, lane)| lane.first_key_value()).collect();
        heads.sort_unstable();
        heads.into_iter().map(|(_, key)| *key)
    }
}
