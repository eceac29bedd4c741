//! What an entry knows of each agent: its upstream, its load, and the placements that its last
//! report does not cover yet.

use {
    super::types::AgentKey,
    crate::ack_tracker::AckTracker,
    std::{
        collections::{BTreeSet, VecDeque},
        ops::RangeInclusive,
    },
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{CallerJobId, PRIORITY_CLASSES, Resources, TaskKey, UpstreamInstance, UpstreamLoad},
    },
};

/// Percentage of failed runs that is tolerated: two of an upstream's last eight runs. Jobs that
/// can never succeed cause as many on a healthy upstream.
const TOLERATED_FAILING_PERCENT: u32 = 30;
/// Cost of each percent of failed runs beyond the tolerated share, in milliseconds. An upstream
/// that fails four of five runs is used only if the others would take a second longer.
const FAILING_COST_PER_PERCENT_MS: u64 = 20;
/// Cost of a cold start, in percent of a task's run time. A cold upstream gets tasks that would
/// wait longer than this elsewhere, and no job is refused for it. Upstreams don't report how slow
/// they are; their measured run times show it soon.
const COLD_START_COST_PERCENT: u64 = 50;
/// Run times in this range of percentages of those at the middle upstream count as the same: an
/// estimate that is off by 40 % makes as much of a difference. By smaller differences, and by the
/// errors of the averages, all entries would prefer the same upstream.
const SIMILAR_PERCENT: RangeInclusive<u32> = 60..=165;
/// Time between the expected end of a task and the objective from which the task has time to
/// spare, in percent of its run time.
const MIN_SLACK_PERCENT: u64 = 20;
/// Run time on an upstream without the preferred label, in percent of the estimate.
const WITHOUT_PREFERRED_LABEL_PERCENT: u64 = 150;

/// Processes of an agent that are remembered beside the current one. Each of them may have a hello
/// under way.
const MAX_EARLIER_PROCESSES: usize = 64;

/// Kind of the first message of a connection, for logs.
const HELLO: &str = "hello";

/// A placement that the agent's last report does not cover.
#[derive(Clone, Copy, Debug)]
struct UnreportedPlacement {
    message: u64,
    room: Resources,
    work_milli_ms: u64,
}

/// Runs at an agent that its process before the current one has left.
#[derive(Clone, Debug)]
pub struct EarlierRuns {
    /// When the hello of the next process arrived.
    pub since_ms: u64,
    /// How long after that they have certainly ended, in milliseconds.
    pub over_after_ms: u64,
    /// The longest stall of the entry since then, in milliseconds.
    pub stalled_ms: u64,
    /// Runs that the current process holds, and that are therefore none of them. It holds some if
    /// the hello of the process before it arrived late, after its own.
    pub held: Vec<(TaskKey, u32)>,
}

impl EarlierRuns {
    /// Whether they have certainly ended.
    #[must_use]
    pub fn are_over(&self, now_ms: u64) -> bool {
        now_ms >= self.since_ms + self.over_after_ms + self.stalled_ms
    }

    fn note_stall(&mut self, stall_ms: u64, now_ms: u64) {
        let longest_ms = now_ms.saturating_sub(self.since_ms);
        self.stalled_ms = self.stalled_ms.max(stall_ms.min(longest_ms));
    }

    /// Whether a run at the agent is one of them.
    #[must_use]
    pub fn contains(&self, task: TaskKey, run: u32) -> bool {
        !self.held.contains(&(task, run))
    }
}

/// One incarnation of an agent, and how far its numbered messages have been handled.
#[derive(Clone, Copy, Debug)]
pub struct AgentProcess {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// Number of the hello of its last connection.
    pub last_hello: u64,
    /// Number of its last report that was applied.
    pub last_report: u64,
}

impl AgentProcess {
    fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, last_hello: 0, last_report: 0 }
    }

    /// Returns whether a report is new. One that is sent again may be about an earlier submission
    /// of a job, whose runs had the same numbers.
    pub fn take_report(&mut self, number: u64) -> bool {
        let is_new = number > self.last_report;
        self.last_report = self.last_report.max(number);
        is_new
    }
}

/// An entry's view of one agent.
#[derive(Debug)]
pub struct AgentView {
    /// Key of the agent.
    pub key: AgentKey,
    /// Name of the agent; stays the same over restarts.
    pub name: String,
    /// Data centre of the agent.
    pub data_centre: String,
    /// Whether the data centre is evacuated, so that nothing more is placed there.
    pub is_evacuated: bool,
    /// Rank of the agent in the order that is this entry's own; lower ranks come first.
    pub rank: u64,
    /// Process that made the agent's last connection.
    pub process: AgentProcess,
    /// The processes before it, the latest last. The one that lives may be among them: hellos of
    /// those that have ended may arrive late.
    pub earlier_processes: VecDeque<AgentProcess>,
    /// Whether the agent is connected.
    pub connected: bool,
    /// Whether the agent is about to close its connection.
    pub is_disconnecting: bool,
    /// When the current connection was made.
    pub connected_ms: u64,
    /// When the agent's last message arrived.
    pub last_heard_ms: u64,
    /// Kind of that message.
    pub last_message: &'static str,
    /// The longest stall of the entry since then, in milliseconds.
    pub stalled_ms: u64,
    /// The upstream instance, once the agent has reported it.
    pub instance: Option<UpstreamInstance>,
    /// The load in the agent's last report.
    pub load: UpstreamLoad,
    /// Runs that the process before the current one has left, until they are known to be over.
    pub earlier_runs: Option<EarlierRuns>,
    /// Time until which the upstream says that it is slow after its start.
    pub cold_until_ms: Option<u64>,
    /// Jobs of other entries, as the agent reports them on this connection.
    pub jobs_of_others: BTreeSet<CallerJobId>,
    /// The same on the connection before, until the agent's upstream is usable: a restarted agent
    /// may find runs of its earlier process.
    pub jobs_before_reconnect: BTreeSet<CallerJobId>,
    /// When the agent was heard last on the connection before.
    pub heard_before_reconnect_ms: u64,
    /// Which of the entry's messages the agent has received.
    pub acks: AckTracker,
    unreported: VecDeque<UnreportedPlacement>,
    unreported_resources: Resources,
    unreported_work_milli_ms: u64,
}

impl AgentView {
    /// Creates the view of an agent that has just connected.
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
            process: AgentProcess::new(incarnation),
            earlier_processes: VecDeque::new(),
            connected: true,
            is_disconnecting: false,
            connected_ms: now_ms,
            last_heard_ms: now_ms,
            last_message: HELLO,
            stalled_ms: 0,
            instance: None,
            load: UpstreamLoad::default(),
            earlier_runs: None,
            cold_until_ms: None,
            jobs_of_others: BTreeSet::new(),
            jobs_before_reconnect: BTreeSet::new(),
            heard_before_reconnect_ms: 0,
            acks: AckTracker::new(now_ms),
            unreported: VecDeque::new(),
            unreported_resources: Resources::default(),
            unreported_work_milli_ms: 0,
        }
    }

    /// Resets the state that belongs to a connection when a new one is made.
    pub fn reconnect(&mut self, now_ms: u64) {
        self.connected = true;
        self.is_disconnecting = false;
        self.connected_ms = now_ms;
        self.jobs_before_reconnect = std::mem::take(&mut self.jobs_of_others);
        self.heard_before_reconnect_ms = self.last_heard_ms + self.stalled_ms;
        self.note_heard(now_ms);
        self.last_message = HELLO;
        self.acks = AckTracker::new(now_ms);
        self.load.usable = false;
        self.cold_until_ms = None;
        self.unreported.clear();
        self.unreported_resources = Resources::default();
        self.unreported_work_milli_ms = 0;
    }

    /// Records that a message of the agent has arrived.
    pub fn note_heard(&mut self, now_ms: u64) {
        self.last_heard_ms = now_ms;
        self.stalled_ms = 0;
    }

    /// Records that the entry stood still until now.
    pub fn note_stall(&mut self, stall_ms: u64, now_ms: u64) {
        let silent_ms = now_ms.saturating_sub(self.last_heard_ms);
        self.stalled_ms = self.stalled_ms.max(stall_ms.min(silent_ms));
        if let Some(earlier) = &mut self.earlier_runs {
            earlier.note_stall(stall_ms, now_ms);
        }
    }

    /// How long the agent has been silent, without the longest stall of the entry in that time, in
    /// milliseconds. Only one stall counts, so that one after the other doesn't put a loss off for
    /// good.
    #[must_use]
    pub fn observed_silence_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last_heard_ms + self.stalled_ms)
    }

    /// Makes another process the current one. It may be one of before, whose numbers go on.
    pub fn change_process(&mut self, incarnation: Incarnation, earlier_runs: EarlierRuns) {
        let returning = self
            .earlier_processes
            .iter()
            .position(|process| process.incarnation == incarnation)
            .and_then(|place| self.earlier_processes.remove(place));
        let process = returning.unwrap_or(AgentProcess::new(incarnation));
        if self.earlier_processes.len() >= MAX_EARLIER_PROCESSES {
            self.earlier_processes.pop_front();
        }
        self.earlier_processes.push_back(std::mem::replace(&mut self.process, process));
        self.earlier_runs = Some(earlier_runs);
    }

    /// Returns the process of this incarnation, if it is known.
    #[must_use]
    pub fn process_of(&self, incarnation: Incarnation) -> Option<&AgentProcess> {
        let mut known = std::iter::once(&self.process).chain(&self.earlier_processes);
        known.find(|process| process.incarnation == incarnation)
    }

    /// Like [`Self::process_of`], to be updated.
    pub fn process_of_mut(&mut self, incarnation: Incarnation) -> Option<&mut AgentProcess> {
        let mut known = std::iter::once(&mut self.process).chain(&mut self.earlier_processes);
        known.find(|process| process.incarnation == incarnation)
    }

    /// Whether the agent is connected and not about to disconnect.
    #[must_use]
    pub fn is_linked(&self) -> bool {
        self.connected && !self.is_disconnecting
    }

    /// Whether the agent accepts work: it is connected, messages arrive in both directions, and
    /// its upstream is usable.
    #[must_use]
    pub fn is_usable(&self, now_ms: u64, suspect_ms: u64) -> bool {
        self.is_serving()
            && self.load.usable
            && now_ms < self.last_heard_ms + suspect_ms
            && now_ms < self.acks.acked_sent_ms() + suspect_ms
    }

    /// Whether the agent is connected and has an upstream that is not evacuated.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.is_linked() && self.instance.is_some() && !self.is_evacuated
    }

    /// Whether the agent connected within the last `within_ms` and its upstream is not usable
    /// yet.
    #[must_use]
    pub fn is_becoming_usable(&self, now_ms: u64, within_ms: u64) -> bool {
        let is_leaving = self.instance.as_ref().is_some_and(|instance| instance.leaving);
        let is_new = now_ms < self.connected_ms + within_ms;
        self.is_linked() && !self.is_evacuated && !self.load.usable && !is_leaving && is_new
    }

    /// Applies the load of a report, which covers all messages up to number `heard`.
    pub fn set_load(&mut self, load: UpstreamLoad, heard: u64, now_ms: u64) {
        self.note_heard(now_ms);
        self.load = load;
        if load.usable {
            self.jobs_before_reconnect.clear();
        }
        self.acks.record_ack(heard);
        while let Some(first) = self.unreported.front().filter(|first| first.message <= heard) {
            self.unreported_resources = self.unreported_resources.minus(&first.room);
            self.unreported_work_milli_ms -= first.work_milli_ms;
            self.unreported.pop_front();
        }
    }

    /// Records that tasks were sent in this message.
    pub fn record_placement(&mut self, message: u64, need: &Resources, count: u32, run_ms: u32) {
        let room = Resources {
            cpu_milli: need.cpu_milli.saturating_mul(count),
            memory_mb: need.memory_mb.saturating_mul(count),
            accelerators: need.accelerators.saturating_mul(count),
        };
        let work_milli_ms = u64::from(room.cpu_milli) * u64::from(run_ms);
        self.unreported.push_back(UnreportedPlacement { message, room, work_milli_ms });
        self.unreported_resources = self.unreported_resources.plus(&room);
        self.unreported_work_milli_ms += work_milli_ms;
    }

    /// CPU that is neither reported as taken nor claimed by placements, in thousandths of a core.
    #[must_use]
    pub fn free_cpu_milli(&self) -> u32 {
        let taken = self.load.taken.plus(&self.unreported_resources);
        self.load.capacity.minus(&taken).cpu_milli
    }

    fn has_label(&self, label: &str) -> bool {
        self.instance.as_ref().is_some_and(|instance| instance.has_label(label))
    }

    /// Whether the upstream could ever run such a task.
    #[must_use]
    pub fn can_run(&self, pool: &str, need: &Resources, required_label: Option<&str>) -> bool {
        let Some(instance) = &self.instance else { return false };
        instance.pool == pool
            && instance.capacity.covers(need)
            && required_label.is_none_or(|label| instance.has_label(label))
    }

    /// Estimates when a task that is sent now will start and end at this agent.
    #[must_use]
    pub fn estimate(&self, planned: &PlannedTasks, demand: &TaskDemand<'_>) -> TaskEstimate {
        let taken = self.load.taken.plus(&self.unreported_resources).plus(&planned.room);
        let free = self.load.capacity.minus(&taken);
        let slowness = u64::from(self.relative_slowness_percent(demand.middle_slowness_percent));
        let has_preferred_label = demand.preferred_label.is_none_or(|label| self.has_label(label));
        let label_percent = if has_preferred_label { 100 } else { WITHOUT_PREFERRED_LABEL_PERCENT };
        let run_ms = u64::from(demand.run_ms) * slowness * label_percent / 10_000;
        let work_ahead_milli_ms = self.work_ahead_milli_ms(planned, demand.priority);
        // An upstream on probation offers less capacity than one task may take.
        let is_idle = taken.cpu_milli == 0;
        let starts_at_once = work_ahead_milli_ms == 0 && (is_idle || free.covers(demand.need));
        let wait_ms = if starts_at_once {
            0
        } else {
            let capacity = u64::from(self.load.capacity.cpu_milli.max(1));
            (work_ahead_milli_ms + self.work_until_room_milli_ms(demand.need)) * slowness
                / (100 - demand.more_urgent_percent)
                / capacity
                + 1
        };
        let end_ms = wait_ms + run_ms;
        let excess_failing_percent =
            self.load.failing_percent.saturating_sub(TOLERATED_FAILING_PERCENT);
        let cost_ms = end_ms
            + u64::from(excess_failing_percent) * FAILING_COST_PER_PERCENT_MS
            + self.cold_start_cost_ms(demand.run_ms);
        let room_for_tasks = free.cpu_milli / demand.need.cpu_milli.max(1);
        let min_slack_ms = run_ms * MIN_SLACK_PERCENT / 100;
        // Away from the preferred label the task would take room for longer.
        let has_time_to_spare = wait_ms == 0
            && cost_ms == end_ms
            && has_preferred_label
            && end_ms + min_slack_ms <= demand.objective_in_ms;
        TaskEstimate {
            end_ms,
            cost_ms,
            wait_ms,
            room_for_tasks,
            planned: planned.count,
            has_time_to_spare,
        }
    }

    /// Run times here in percent of those at the middle upstream; 100 if they are similar.
    #[must_use]
    pub fn relative_slowness_percent(&self, middle_slowness_percent: u32) -> u32 {
        let percent = self.load.slowness_percent * 100 / middle_slowness_percent.max(1);
        if SIMILAR_PERCENT.contains(&percent) { 100 } else { percent }
    }

    fn cold_start_cost_ms(&self, run_ms: u32) -> u64 {
        if self.cold_until_ms.is_none() {
            return 0;
        }
        u64::from(run_ms) * COLD_START_COST_PERCENT / 100
    }

    /// Work that goes before a new task of this priority: queued work that is at least as urgent
    /// and, once the capacity is used up, work that is still on its way to the agent.
    fn work_ahead_milli_ms(&self, planned: &PlannedTasks, priority: u8) -> u64 {
        let classes = usize::from(priority).min(PRIORITY_CLASSES - 1);
        let waiting: u64 = self.load.waiting_milli_ms[..=classes].iter().sum();
        let taken = self.load.taken.plus(&self.unreported_resources).plus(&planned.room);
        let coming = self.unreported_work_milli_ms + planned.work_milli_ms;
        let is_full = taken.cpu_milli > self.load.capacity.cpu_milli;
        waiting + if is_full { coming } else { 0 }
    }

    /// Work that has to be done until a task of this size fits. Assumes that the remaining run
    /// times are evenly spread.
    fn work_until_room_milli_ms(&self, need: &Resources) -> u64 {
        let taken = u64::from(self.load.taken.cpu_milli.max(1));
        self.load.running_milli_ms * u64::from(need.cpu_milli) / taken
    }
}

/// What a task needs of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct TaskDemand<'a> {
    /// Resources that the task takes.
    pub need: &'a Resources,
    /// Expected run time on an upstream of middle speed, in milliseconds.
    pub run_ms: u32,
    /// Slowness of that upstream: its run times in percent of the estimates.
    pub middle_slowness_percent: u32,
    /// Time until the task must end for its job to be on time, in milliseconds.
    pub objective_in_ms: u64,
    /// Priority class; lower goes first.
    pub priority: u8,
    /// Share of the capacity that more urgent work takes as it arrives, in percent. It is not
    /// available to a task that waits.
    pub more_urgent_percent: u64,
    /// Label of upstreams on which the task runs faster.
    pub preferred_label: Option<&'a str>,
}

/// Tasks that the current decision has already assigned to an agent.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlannedTasks {
    /// Resources that they take.
    pub room: Resources,
    /// Their work, in thousandths of a core times milliseconds.
    pub work_milli_ms: u64,
    /// Number of tasks.
    pub count: u16,
}

impl PlannedTasks {
    /// Adds a task.
    pub fn add(&mut self, need: &Resources, run_ms: u32) {
        self.room = self.room.plus(need);
        self.work_milli_ms += u64::from(need.cpu_milli) * u64::from(run_ms);
        self.count += 1;
    }
}

/// Estimate for a task at an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskEstimate {
    /// Milliseconds until the task ends.
    pub end_ms: u64,
    /// `end_ms` plus the costs of failed runs and of a cold start, by which upstreams are
    /// compared. Jobs whose tasks fail everywhere raise it for all upstreams alike.
    pub cost_ms: u64,
    /// Milliseconds until the task starts.
    pub wait_ms: u64,
    /// Number of such tasks for which CPU is free.
    pub room_for_tasks: u32,
    /// Tasks that the current decision has already assigned to the agent.
    pub planned: u16,
    /// Whether the task starts at once, on an upstream with the preferred label if there is one,
    /// and ends so early that its job is on time even if it takes somewhat longer than expected.
    pub has_time_to_spare: bool,
}
