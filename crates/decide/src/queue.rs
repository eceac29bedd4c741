//! Waiting queue of an entry: tasks that wait for a free slot.
//!
//! Classes of urgency have strict priority. Within a class, organisations are
//! served by start-time fair queueing: each has a virtual start tag, the lowest
//! tag is served next, and serving a task advances the tag by the task's cost
//! divided by the organisation's weight. An organisation that floods the queue
//! delays only itself: a task of another organisation waits for about one task of
//! each organisation at most, however many they have queued. Deficit round robin
//! would serve long flows equally well, but it serves bursts of one quantum, and
//! needs a quantum that suits run times from 50 ms to several seconds.
//!
//! Within an organisation, tasks of a kind are served first in, first out. The
//! kind with the oldest task is tried first, and a kind whose upstreams are all
//! busy does not block the organisation's other kinds.
//!
//! A dynamic threshold divides the room: an organisation may hold as many tasks as
//! there are free places. A single organisation fills at most half of the queue,
//! and the next one always finds room.
//!
//! Each operation costs O(log n) for n waiting tasks, and each attempt to place a
//! task that finds no room costs O(organisations).

use {
    crate::view::KindKey,
    slotmap::{SlotMap, new_key_type},
    std::collections::{BTreeMap, BTreeSet, HashMap},
    sycamorerail_wire::ids::OrganisationKey,
};

/// Virtual time of one unit of cost at weight 1. It is large so that the division
/// by a weight keeps its precision.
const TAG_SCALE: u64 = 1 << 16;

new_key_type! {
    /// Key of a waiting task.
    pub struct WaitingKey;
}

/// Parameters that determine when a waiting task is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulingParams {
    /// Organisation that the task belongs to.
    pub organisation: OrganisationKey,
    /// Kind of the task.
    pub kind: KindKey,
    /// Class of urgency; a lower number is served first.
    pub urgency: u8,
    /// The organisation's weight relative to others in its class, at least 1.
    pub weight: u32,
    /// Cost of the task: its expected run time, in milliseconds.
    pub cost_ms: u32,
    /// Latest start that meets the deadline, in monotonic milliseconds.
    pub latest_start_ms: u64,
}

/// Waiting tasks ahead of a new one, to estimate its wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Waiting tasks that are more urgent.
    pub more_urgent: u32,
    /// Waiting tasks of the same class.
    pub class_tasks: u32,
    /// Waiting tasks of the same class and organisation.
    pub own_tasks: u32,
    /// Organisations with tasks in the class, including that of the new task.
    pub organisations: u32,
}

impl Backlog {
    /// Returns the maximum number of tasks served before a new one: all tasks of the
    /// class, or with fair shares as many of each other organisation as of its own.
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
    /// Queue of each kind, in the order of arrival.
    kind_queues: Vec<(KindKey, BTreeMap<u64, WaitingKey>)>,
    tasks: u32,
    /// Virtual start tag of its next task.
    tag: u64,
}

/// Tasks of one urgency.
#[derive(Debug, Default)]
struct Class {
    flows: HashMap<OrganisationKey, Flow>,
    /// Flows with tasks, in the order of service.
    active: BTreeSet<(u64, OrganisationKey)>,
    /// Flows without tasks whose tag is ahead of the virtual time. They are kept so
    /// that an organisation gains nothing by emptying its queue.
    idle: BTreeSet<(u64, OrganisationKey)>,
    virtual_now: u64,
    tasks: u32,
}

/// The waiting queue of an entry.
#[derive(Debug)]
pub struct Queue<T> {
    items: SlotMap<WaitingKey, Waiting<T>>,
    classes: BTreeMap<u8, Class>,
    expiries: BTreeSet<(u64, WaitingKey)>,
    waiting_tasks: HashMap<OrganisationKey, u32>,
    max_tasks: u32,
    next_sequence: u64,
}

impl<T> Queue<T> {
    /// Creates an empty queue for at most that many tasks.
    #[must_use]
    pub fn new(max_tasks: u32) -> Self {
        Self {
            items: SlotMap::with_key(),
            classes: BTreeMap::new(),
            expiries: BTreeSet::new(),
            waiting_tasks: HashMap::new(),
            max_tasks,
            next_sequence: 0,
        }
    }

    /// Returns the number of waiting tasks.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.items.len() as u32
    }

    /// Returns whether no task waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns how many more tasks the organisation may add.
    #[must_use]
    pub fn room_for(&self, organisation: OrganisationKey) -> u32 {
        let waiting_tasks = self.waiting_tasks.get(&organisation).copied().unwrap_or(0);
        // Each added task also takes one of the free places.
        (self.max_tasks - self.len()).saturating_sub(waiting_tasks).div_ceil(2)
    }

    /// Returns the waiting tasks ahead of a new one.
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

    /// Adds a task behind the organisation's other tasks of its kind.
    ///
    /// # Errors
    ///
    /// Returns the item if the organisation has no room.
    pub fn push(&mut self, params: SchedulingParams, item: T) -> Result<WaitingKey, T> {
        if self.room_for(params.organisation) == 0 {
            return Err(item);
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let key = self.items.insert(Waiting { params, sequence, item });
        self.expiries.insert((params.latest_start_ms, key));
        *self.waiting_tasks.entry(params.organisation).or_default() += 1;
        self.classes.entry(params.urgency).or_default().push(&params, sequence, key);
        Ok(key)
    }

    /// Removes and returns the first task that `place` accepts, in the order of
    /// service.
    ///
    /// `place` is called for the first task of each kind of each organisation, at
    /// most `max_tries` times. It returns true if it has taken over the task.
    pub fn take_first(
        &mut self,
        max_tries: usize,
        mut place: impl FnMut(&SchedulingParams, &T) -> bool,
    ) -> Option<(SchedulingParams, T)> {
        let key = self.first_tasks().take(max_tries).find(|&key| {
            let Waiting { params, item, .. } = &self.items[key];
            place(params, item)
        })?;
        let params = self.items[key].params;
        if let Some(class) = self.classes.get_mut(&params.urgency) {
            class.charge(&params);
        }
        self.remove(key)
    }

    fn first_tasks(&self) -> impl Iterator<Item = WaitingKey> {
        self.classes.values().flat_map(Class::first_tasks)
    }

    /// Removes a cancelled task. Its organisation is not charged for it.
    pub fn remove(&mut self, key: WaitingKey) -> Option<(SchedulingParams, T)> {
        let Waiting { params, sequence, item } = self.items.remove(key)?;
        self.expiries.remove(&(params.latest_start_ms, key));
        if let Some(waiting_tasks) = self.waiting_tasks.get_mut(&params.organisation) {
            *waiting_tasks -= 1;
            if *waiting_tasks == 0 {
                self.waiting_tasks.remove(&params.organisation);
            }
        }
        if let Some(class) = self.classes.get_mut(&params.urgency) {
            class.remove(&params, sequence);
        }
        Some((params, item))
    }

    /// Removes and returns one task that can no longer meet its deadline; `None` if
    /// there is no further one.
    pub fn take_expired(&mut self, now_ms: u64) -> Option<(SchedulingParams, T)> {
        let &(latest_start_ms, key) = self.expiries.first()?;
        if latest_start_ms >= now_ms {
            return None;
        }
        self.remove(key)
    }

    /// Returns when the next task can no longer meet its deadline, in monotonic
    /// milliseconds.
    #[must_use]
    pub fn next_expiry_ms(&self) -> Option<u64> {
        self.expiries.first().map(|(latest_start_ms, _)| latest_start_ms + 1)
    }
}

impl Class {
    fn push(&mut self, params: &SchedulingParams, sequence: u64, key: WaitingKey) {
        let flow = self.flows.entry(params.organisation).or_default();
        if flow.tasks == 0 {
            self.idle.remove(&(flow.tag, params.organisation));
            flow.tag = flow.tag.max(self.virtual_now);
            self.active.insert((flow.tag, params.organisation));
        }
        flow.push(params.kind, sequence, key);
        self.tasks += 1;
    }

    /// Returns the first task of each kind of each organisation, in the order of
    /// service.
    fn first_tasks(&self) -> impl Iterator<Item = WaitingKey> {
        self.active.iter().flat_map(|(_, organisation)| self.flows[organisation].first_tasks())
    }

    /// Advances the virtual time to the served task, and the tag of its flow by the
    /// cost.
    fn charge(&mut self, params: &SchedulingParams) {
        let Some(flow) = self.flows.get_mut(&params.organisation) else { return };
        let cost = u64::from(params.cost_ms.max(1)) * TAG_SCALE / u64::from(params.weight.max(1));
        self.active.remove(&(flow.tag, params.organisation));
        self.virtual_now = self.virtual_now.max(flow.tag);
        flow.tag += cost.max(1);
        self.active.insert((flow.tag, params.organisation));
    }

    /// Removes a task from its flow.
    fn remove(&mut self, params: &SchedulingParams, sequence: u64) {
        let Some(flow) = self.flows.get_mut(&params.organisation) else { return };
        flow.remove(params.kind, sequence);
        self.tasks -= 1;
        if flow.tasks == 0 {
            let place = (flow.tag, params.organisation);
            self.active.remove(&place);
            self.idle.insert(place);
        }
        self.drop_idle_flows();
    }

    /// Removes idle flows whose tag is not ahead of the virtual time. If no task
    /// waits, the virtual time advances to the last tag, so that all are removed.
    fn drop_idle_flows(&mut self) {
        if let (true, Some(&(tag, _))) = (self.active.is_empty(), self.idle.last()) {
            self.virtual_now = self.virtual_now.max(tag);
        }
        while let Some(&(tag, organisation)) = self.idle.first() {
            if tag > self.virtual_now {
                break;
            }
            self.idle.pop_first();
            self.flows.remove(&organisation);
        }
    }
}

impl Flow {
    fn push(&mut self, kind: KindKey, sequence: u64, key: WaitingKey) {
        self.tasks += 1;
        match self.kind_queues.iter_mut().find(|(it, _)| *it == kind) {
            Some((_, kind_queue)) => _ = kind_queue.insert(sequence, key),
            None => self.kind_queues.push((kind, BTreeMap::from([(sequence, key)]))),
        }
    }

    fn remove(&mut self, kind: KindKey, sequence: u64) {
        self.tasks -= 1;
        for (_, kind_queue) in self.kind_queues.iter_mut().filter(|(it, _)| *it == kind) {
            kind_queue.remove(&sequence);
        }
        self.kind_queues.retain(|(_, kind_queue)| !kind_queue.is_empty());
    }

    fn first_tasks(&self) -> impl Iterator<Item = WaitingKey> {
        let mut first_tasks: Vec<_> = self
            .kind_queues
            .iter()
            .filter_map(|(_, kind_queue)| kind_queue.first_key_value())
            .collect();
        first_tasks.sort_unstable();
        first_tasks.into_iter().map(|(_, key)| *key)
    }
}
