//! Agents as an entry sees them: their upstreams, loads, and what was sent to
//! them that their last report does not show yet.

use {
    super::types::AgentKey,
    crate::echo::Echo,
    std::collections::VecDeque,
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{PRIORITY_CLASSES, Resources, UpstreamInstance, UpstreamLoad},
    },
};

/// Run times up to this percentage of the estimates are those of a sound
/// upstream: estimates are off by up to 40%.
const SOUND_PERCENT: u32 = 170;
/// Share of failing runs, in percent, that is not held against an upstream: two of
/// its last eight runs, which jobs that can never be done bring to a sound one.
const FAILING_BORNE_PERCENT: u32 = 30;
/// Cost of each percent beyond, in milliseconds: at four of five runs an upstream is
/// avoided unless others would take a second longer.
const FAILING_COST_MS: u64 = 20;
/// Surcharge for an upstream that says it is slow after its start, in percent of a task's
/// run time: it gets what others would keep waiting longer than that, and no job is refused
/// for it. How slow it is nobody tells; what it has run shows that soon.
const COLD_COST_PERCENT: u64 = 50;
/// Run time on an upstream without the preferred label, in percent.
const REMOTE_PERCENT: u64 = 150;

/// A placement that the agent's last report does not show.
#[derive(Clone, Copy, Debug)]
struct Unseen {
    message: u64,
    room: Resources,
    work_milli_ms: u64,
}

/// One agent.
#[derive(Debug)]
pub struct AgentView {
    /// Its own key.
    pub key: AgentKey,
    /// Its name, the same over restarts.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// That data centre is evacuated: nothing more is placed there.
    pub is_evacuated: bool,
    /// Its place in this entry's own order of agents; lower goes first.
    pub rank: u64,
    /// Its present run.
    pub incarnation: Incarnation,
    /// It has a connection now.
    pub connected: bool,
    /// It means to end that connection.
    pub is_unlinking: bool,
    /// When its present connection was made.
    pub connected_ms: u64,
    /// When it was last heard.
    pub heard_ms: u64,
    /// Its upstream, once it told.
    pub life: Option<UpstreamInstance>,
    /// Its last load.
    pub load: UpstreamLoad,
    /// Runs of an earlier run of the agent may go on until this time.
    pub old_runs_until_ms: Option<u64>,
    /// Its upstream says that it is slow until then.
    pub cold_until_ms: Option<u64>,
    /// What it has heard of us.
    pub echo: Echo,
    unseen: VecDeque<Unseen>,
    unseen_room: Resources,
    unseen_milli_ms: u64,
}

impl AgentView {
    /// An agent that just connected.
    #[must_use]
    pub fn new(
        key: AgentKey,
        name: String,
        rank: u64,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> Self {
        Self {
            key,
            name,
            data_centre: String::new(),
            is_evacuated: false,
            rank,
            incarnation,
            connected: true,
            is_unlinking: false,
            connected_ms: now_ms,
            heard_ms: now_ms,
            life: None,
            load: UpstreamLoad::default(),
            old_runs_until_ms: None,
            cold_until_ms: None,
            echo: Echo::new(now_ms),
            unseen: VecDeque::new(),
            unseen_room: Resources::default(),
            unseen_milli_ms: 0,
        }
    }

    /// Starts anew with a new connection.
    pub fn reconnect(&mut self, now_ms: u64) {
        self.connected = true;
        self.is_unlinking = false;
        self.connected_ms = now_ms;
        self.heard_ms = now_ms;
        self.echo = Echo::new(now_ms);
        self.load.usable = false;
        self.cold_until_ms = None;
        self.unseen.clear();
        self.unseen_room = Resources::default();
        self.unseen_milli_ms = 0;
    }

    /// Whether it has a connection that is meant to stay.
    #[must_use]
    pub fn is_linked(&self) -> bool {
        self.connected && !self.is_unlinking
    }

    /// Whether it takes work: connected, heard and hearing, upstream usable.
    #[must_use]
    pub fn is_usable(&self, now_ms: u64, suspect_ms: u64) -> bool {
        self.is_serving()
            && self.load.usable
            && now_ms < self.heard_ms + suspect_ms
            && now_ms < self.echo.confirmed_ms() + suspect_ms
    }

    /// Whether it has a connection and an upstream that is not evacuated.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.is_linked() && self.life.is_some() && !self.is_evacuated
    }

    /// Whether it connected lately and its upstream is not usable yet.
    #[must_use]
    pub fn is_coming(&self, now_ms: u64, within_ms: u64) -> bool {
        let is_leaving = self.life.as_ref().is_some_and(|life| life.leaving);
        let is_new = now_ms < self.connected_ms + within_ms;
        self.is_linked() && !self.is_evacuated && !self.load.usable && !is_leaving && is_new
    }

    /// Takes a report's load, which shows all messages up to `heard`.
    pub fn set_load(&mut self, load: UpstreamLoad, heard: u64, now_ms: u64) {
        self.heard_ms = now_ms;
        self.load = load;
        self.echo.heard(heard);
        while let Some(first) = self.unseen.front().filter(|first| first.message <= heard) {
            self.unseen_room = self.unseen_room.minus(&first.room);
            self.unseen_milli_ms -= first.work_milli_ms;
            self.unseen.pop_front();
        }
    }

    /// Notes that tasks were sent in this message.
    pub fn sent(&mut self, message: u64, need: &Resources, count: u32, run_ms: u32) {
        let room = Resources {
            cpu_milli: need.cpu_milli.saturating_mul(count),
            memory_mb: need.memory_mb.saturating_mul(count),
            accelerators: need.accelerators.saturating_mul(count),
        };
        let work_milli_ms = u64::from(room.cpu_milli) * u64::from(run_ms);
        self.unseen.push_back(Unseen { message, room, work_milli_ms });
        self.unseen_room = self.unseen_room.plus(&room);
        self.unseen_milli_ms += work_milli_ms;
    }

    /// Processor that nothing is known to take, in thousandths of a core.
    #[must_use]
    pub fn free_cpu_milli(&self) -> u32 {
        let taken = self.load.taken.plus(&self.unseen_room);
        self.load.capacity.minus(&taken).cpu_milli
    }

    fn has_label(&self, label: &str) -> bool {
        self.life.as_ref().is_some_and(|life| life.labels.iter().any(|own| own == label))
    }

    /// Whether a task could ever run there.
    #[must_use]
    pub fn suits(&self, pool: &str, need: &Resources, required_label: Option<&str>) -> bool {
        let Some(life) = &self.life else { return false };
        life.pool == pool
            && life.capacity.covers(need)
            && required_label.is_none_or(|label| self.has_label(label))
    }

    /// How long a task sent now is expected to take there.
    #[must_use]
    pub fn expect(&self, planned: &Planned, asked: &Asked<'_>) -> Expected {
        let taken = self.load.taken.plus(&self.unseen_room).plus(&planned.room);
        let free = self.load.capacity.minus(&taken);
        let slowness = u64::from(self.load.slowness_percent);
        let slowness = if slowness <= SOUND_PERCENT.into() { 100 } else { slowness };
        let near = asked.prefers.is_none_or(|label| self.has_label(label));
        let remote = if near { 100 } else { REMOTE_PERCENT };
        let run_ms = u64::from(asked.run_ms) * slowness * remote / 10_000;
        let ahead_milli_ms = self.ahead_milli_ms(planned, asked.priority);
        // An upstream on trial offers less room than a task may take.
        let is_idle = taken.cpu_milli == 0;
        let starts_at_once = ahead_milli_ms == 0 && (is_idle || free.covers(asked.need));
        let wait_ms = if starts_at_once {
            0
        } else {
            let capacity = u64::from(self.load.capacity.cpu_milli.max(1));
            (ahead_milli_ms + self.until_room_milli_ms(asked.need)) * slowness / 100 / capacity + 1
        };
        let end_ms = wait_ms + run_ms;
        let blamed = self.load.failing_percent.saturating_sub(FAILING_BORNE_PERCENT);
        let cost_ms =
            end_ms + u64::from(blamed) * FAILING_COST_MS + self.cold_cost_ms(asked.run_ms);
        let room_for = free.cpu_milli / asked.need.cpu_milli.max(1);
        Expected { end_ms, cost_ms, wait_ms, room_for, planned: planned.count }
    }

    fn cold_cost_ms(&self, run_ms: u32) -> u64 {
        if self.cold_until_ms.is_none() {
            return 0;
        }
        u64::from(run_ms) * COLD_COST_PERCENT / 100
    }

    /// Work that goes before a new task of this priority, once the room is taken:
    /// what waits and is as urgent, and what is on its way and finds no room.
    fn ahead_milli_ms(&self, planned: &Planned, priority: u8) -> u64 {
        let classes = usize::from(priority).min(PRIORITY_CLASSES - 1);
        let waiting: u64 = self.load.waiting_milli_ms[..=classes].iter().sum();
        let taken = self.load.taken.plus(&self.unseen_room).plus(&planned.room);
        let coming = self.unseen_milli_ms + planned.work_milli_ms;
        let is_full = taken.cpu_milli > self.load.capacity.cpu_milli;
        waiting + if is_full { coming } else { 0 }
    }

    /// What has to run until a task of this need fits: runs end evenly spread
    /// over what is left of them.
    fn until_room_milli_ms(&self, need: &Resources) -> u64 {
        let taken = u64::from(self.load.taken.cpu_milli.max(1));
        self.load.running_milli_ms * u64::from(need.cpu_milli) / taken
    }
}

/// A task that asks for room.
#[derive(Clone, Copy, Debug)]
pub struct Asked<'a> {
    /// What it takes.
    pub need: &'a Resources,
    /// Its expected run time, in milliseconds.
    pub run_ms: u32,
    /// Lower goes first.
    pub priority: u8,
    /// Label of upstreams on which it runs faster.
    pub prefers: Option<&'a str>,
}

/// Tasks of the same decision that are meant for an agent already.
#[derive(Clone, Copy, Debug, Default)]
pub struct Planned {
    /// What they take.
    pub room: Resources,
    /// Their work, in thousandths of a core times milliseconds.
    pub work_milli_ms: u64,
    /// How many they are.
    pub count: u16,
}

impl Planned {
    /// Adds a task.
    pub fn add(&mut self, need: &Resources, run_ms: u32) {
        self.room = self.room.plus(need);
        self.work_milli_ms += u64::from(need.cpu_milli) * u64::from(run_ms);
        self.count += 1;
    }
}

/// What is expected of a task at an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expected {
    /// Milliseconds until it ends.
    pub end_ms: u64,
    /// The same with surcharges for failing runs and for a slow start, to compare upstreams
    /// by. Jobs whose tasks fail everywhere raise it everywhere.
    pub cost_ms: u64,
    /// Of these, until it starts.
    pub wait_ms: u64,
    /// Tasks like it for which there is processor left.
    pub room_for: u32,
    /// Tasks of the same decision that are meant for it already.
    pub planned: u16,
}
