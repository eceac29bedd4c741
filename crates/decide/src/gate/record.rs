//! Records of tasks that an agent keeps, and their expiry.

use {
    super::queue::QueueKey,
    std::collections::{BTreeMap, VecDeque},
    sycamorerail_wire::{
        answer::{Reason, TaskEnd, TaskRecord},
        ids::{ContentHash, JobId, TaskId},
        message::{AgentReplyBody, Placement},
    },
};

/// Memory of one record: its element in a B-tree whose nodes are at least half
/// full, and its element in a ring buffer that grows by doubling. Results and
/// queued payloads are counted separately.
pub const RECORD_COST_BYTES: u64 =
    2 * (size_of::<(TaskId, Record)>() + size_of::<(u64, TaskId)>()) as u64;

/// Time that a task ran at the upstream, and time it was queued at the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RunTimes {
    pub(super) run_us: u64,
    pub(super) queued_us: u64,
}

/// What a placement says about its job.
#[derive(Clone, Copy, Debug)]
pub(super) struct Origin {
    pub(super) task_count: u16,
    pub(super) content: ContentHash,
}

impl Origin {
    pub(super) fn of(placement: &Placement) -> Self {
        Self { task_count: placement.task_count, content: placement.content }
    }
}

#[derive(Debug)]
pub(super) enum State {
    Queued(QueueKey),
    Running { called: bool, queued_ms: u64 },
    Ended { end: TaskEnd, times: RunTimes },
    EndDropped,
    Broken(Reason),
    Tombstone,
}

impl State {
    pub(super) fn cancelled(queued_ms: u64) -> Self {
        let end = TaskEnd::Failed { reason: Reason::Cancelled, detail: String::new() };
        Self::Ended { end, times: RunTimes { run_us: 0, queued_us: queued_ms * 1000 } }
    }

    /// Returns the reply to a placement of the task; `None` while the task is
    /// queued or running.
    pub(super) fn reply(&self) -> Option<AgentReplyBody> {
        Some(match self {
            Self::Queued(_) | Self::Running { .. } => return None,
            Self::Ended { end, times: RunTimes { run_us, queued_us } } => {
                AgentReplyBody::Ended { end: end.clone(), run_us: *run_us, queued_us: *queued_us }
            }
            Self::EndDropped => AgentReplyBody::Broken(Reason::ResultDropped),
            Self::Broken(reason) => AgentReplyBody::Broken(*reason),
            Self::Tombstone => AgentReplyBody::NotStarted {
                reason: Reason::Revoked,
                never: true,
                retry_after_ms: 0,
            },
        })
    }

    /// Converts the state for the report of a revoke or fence. Both remove the
    /// task from the queue first, so a queued task counts as never started.
    pub(super) fn to_record(&self) -> TaskRecord {
        match self {
            Self::Running { .. } => TaskRecord::Running,
            Self::Ended { end, .. } => TaskRecord::Ended(end.clone()),
            Self::EndDropped => TaskRecord::EndDropped,
            Self::Broken(reason) => TaskRecord::Broken(*reason),
            Self::Queued(_) | Self::Tombstone => TaskRecord::NeverStarted,
        }
    }

    /// Drops the result. A failure stays a failure but loses its detail.
    fn drop_result(&mut self) {
        match self {
            Self::Ended { end: TaskEnd::Failed { detail, .. }, .. } => *detail = String::new(),
            Self::Ended { end: TaskEnd::Finished(_), .. } => *self = Self::EndDropped,
            _ => {}
        }
    }

    fn result_bytes(&self) -> u64 {
        match self {
            Self::Ended { end, .. } => result_bytes(end),
            _ => 0,
        }
    }
}

pub(super) fn result_bytes(end: &TaskEnd) -> u64 {
    match end {
        TaskEnd::Finished(payload) => payload.0.len() as u64,
        TaskEnd::Failed { detail, .. } => detail.len() as u64,
    }
}

#[derive(Debug)]
pub(super) struct Record {
    pub(super) origin: Option<Origin>,
    pub(super) state: State,
}

/// All records. Settled records, which no longer change, are also in a ring
/// buffer in the order of their last change. `results_dropped` counts the
/// records at its front whose results were dropped.
#[derive(Debug, Default)]
pub(super) struct Store {
    records: BTreeMap<TaskId, Record>,
    settled: VecDeque<(u64, TaskId)>,
    results_dropped: usize,
    kept_result_bytes: u64,
}

impl Store {
    pub(super) fn get(&self, task: &TaskId) -> Option<&Record> {
        self.records.get(task)
    }

    pub(super) fn state_mut(&mut self, task: &TaskId) -> Option<&mut State> {
        self.records.get_mut(task).map(|record| &mut record.state)
    }

    pub(super) fn of_job(&self, job: JobId) -> impl Iterator<Item = (&TaskId, &Record)> {
        let first = TaskId { job, index: 0, attempt: 0 };
        let last = TaskId { job, index: u16::MAX, attempt: u8::MAX };
        self.records.range(first..=last)
    }

    pub(super) fn insert(&mut self, task: TaskId, origin: Option<Origin>, state: State) {
        self.records.insert(task, Record { origin, state });
    }

    pub(super) fn insert_settled(&mut self, task: TaskId, state: State, now_ms: u64) {
        self.insert(task, None, state);
        self.settled.push_back((now_ms, task));
    }

    /// Removes a record that is not settled.
    pub(super) fn remove(&mut self, task: &TaskId) {
        self.records.remove(task);
    }

    /// Sets the final state of a record.
    pub(super) fn settle(&mut self, task: TaskId, state: State, now_ms: u64) {
        let Some(record) = self.records.get_mut(&task) else {
            return;
        };
        self.kept_result_bytes += state.result_bytes();
        record.state = state;
        self.settled.push_back((now_ms, task));
    }

    pub(super) fn drop_results_beyond(&mut self, limit_bytes: u64) {
        while self.kept_result_bytes > limit_bytes {
            let Some(&(_, task)) = self.settled.get(self.results_dropped) else {
                return;
            };
            self.results_dropped += 1;
            self.drop_result(&task);
        }
    }

    fn drop_result(&mut self, task: &TaskId) {
        let Some(record) = self.records.get_mut(task) else {
            return;
        };
        self.kept_result_bytes -= record.state.result_bytes();
        record.state.drop_result();
    }

    pub(super) fn expire(&mut self, now_ms: u64, retention_ms: u64) {
        while let Some(&(settled_ms, task)) = self.settled.front() {
            if now_ms < settled_ms + retention_ms {
                return;
            }
            self.settled.pop_front();
            self.results_dropped = self.results_dropped.saturating_sub(1);
            if let Some(record) = self.records.remove(&task) {
                self.kept_result_bytes -= record.state.result_bytes();
            }
        }
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    pub(super) fn kept_result_bytes(&self) -> u64 {
        self.kept_result_bytes
    }
}
