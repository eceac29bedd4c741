//! Records of jobs by sequence, bounded in bytes and kept for the retention.
//!
//! A record is never dropped before its time: where memory is full, new
//! submissions are refused. Bodies of kept answers may be dropped earlier.

use {
    super::{
        burnt::{Burnt, CHUNK_BYTES},
        cell::JobCell,
        kept::Kept,
    },
    arc_swap::ArcSwap,
    dashmap::{DashMap, mapref::entry::Entry as Slot},
    parking_lot::Mutex,
    std::{
        collections::BTreeMap,
        sync::{
            Arc,
            atomic::{AtomicU32, AtomicU64, Ordering},
        },
    },
    sycamorerail_decide::job::Job,
    sycamorerail_settings::entry::LimitSettings,
    sycamorerail_wire::{
        answer::{Answer, Outcome, Payload, Reason, Step},
        ids::{ContentHash, Incarnation, JobId},
    },
};

/// Bytes taken by the record of an answered job, results aside: its place in
/// the map, the answer and its texts.
const RECORD_BYTES: u64 = 512;
/// Bytes that a running job takes on top, payloads and tasks aside.
const CELL_BYTES: u64 = 1_024;
/// Bytes that a task of a running job takes on top, its payload aside: its
/// attempt, its result's place and its place in the queue.
const TASK_BYTES: u64 = 384;
/// Expiry is by whole seconds of mint time.
const AGE_STEP_MS: u64 = 1_000;

/// A job within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobKey {
    /// Run that minted the id.
    pub incarnation: Incarnation,
    /// Number within the run.
    pub sequence: u64,
}

impl JobKey {
    /// The key of an id.
    #[must_use]
    pub fn of(id: &JobId) -> Self {
        Self { incarnation: id.incarnation, sequence: id.sequence }
    }
}

/// What is held of a job.
#[derive(Clone, Debug)]
pub(super) enum Record {
    /// Not answered yet.
    Running(Arc<JobCell>),
    /// Answered.
    Answered { content: ContentHash, answer: Arc<Answer> },
}

/// What a look at an id finds.
#[derive(Clone, Debug)]
pub(super) enum Found {
    Record(Record),
    Burnt(Reason),
    Expired,
    Nothing,
}

/// What a submission takes of memory while it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SubmissionSize {
    payload_bytes: u64,
    tasks: u64,
}

impl SubmissionSize {
    /// The size of a submission of these payloads.
    #[must_use]
    pub fn of(payloads: &[Payload]) -> Self {
        let payload_bytes = payloads.iter().map(|payload| payload.0.len() as u64).sum();
        Self { payload_bytes, tasks: payloads.len() as u64 }
    }

    fn running_bytes(self) -> u64 {
        CELL_BYTES + self.payload_bytes + self.tasks * TASK_BYTES
    }
}

const _: () = assert!(size_of::<JobCell>() + size_of::<Job>() <= CELL_BYTES as usize);
const _: () = assert!(size_of::<Record>() + size_of::<Answer>() + 128 <= RECORD_BYTES as usize);

/// Records of jobs.
#[derive(Debug)]
pub struct Table {
    records: DashMap<JobKey, Record>,
    burnt: Burnt,
    kept: Kept,
    retired: ArcSwap<Vec<Incarnation>>,
    by_age: Mutex<BTreeMap<u64, Vec<JobKey>>>,
    expired_before_unix_ms: AtomicU64,
    record_bytes: AtomicU64,
    max_record_bytes: u64,
    retention_ms: u64,
    running: AtomicU32,
}

impl Table {
    /// An empty table.
    #[must_use]
    pub fn new(limits: &LimitSettings) -> Self {
        Self {
            records: DashMap::new(),
            burnt: Burnt::default(),
            kept: Kept::new(limits.kept_answer_bytes),
            retired: ArcSwap::default(),
            by_age: Mutex::default(),
            expired_before_unix_ms: AtomicU64::new(0),
            record_bytes: AtomicU64::new(0),
            max_record_bytes: limits.record_bytes,
            retention_ms: limits.retention_ms.into(),
            running: AtomicU32::new(0),
        }
    }

    /// Jobs without an answer.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Acquire)
    }

    /// Jobs without an answer that are for this process to decide. What is left of a fenced
    /// run is concluded on by other entries.
    #[must_use]
    pub fn undecided(&self) -> u32 {
        let retired = self.retired.load();
        if retired.is_empty() {
            return self.running();
        }
        let undecided = self.running_where(|key| !retired.contains(&key.incarnation));
        u32::try_from(undecided.count()).unwrap_or(u32::MAX)
    }

    /// Bytes of records, refused ids included.
    #[must_use]
    pub fn record_bytes(&self) -> u64 {
        self.record_bytes.load(Ordering::Acquire) + self.burnt.bytes()
    }

    /// Bytes of kept answers.
    #[must_use]
    pub fn kept_answer_bytes(&self) -> u64 {
        self.kept.bytes()
    }

    /// Whether a run of this process was taken out of use.
    #[must_use]
    pub fn is_retired(&self, incarnation: Incarnation) -> bool {
        self.retired.load().contains(&incarnation)
    }

    /// Takes a run out of use.
    pub fn set_retired(&self, incarnation: Incarnation) {
        self.retired.rcu(|before| {
            let mut runs = Vec::clone(before);
            if !runs.contains(&incarnation) {
                runs.push(incarnation);
            }
            runs
        });
    }

    /// All jobs that have no answer.
    #[must_use]
    pub fn all_running(&self) -> Vec<Arc<JobCell>> {
        self.running_where(|_| true).collect()
    }

    /// All jobs of a run that have no answer.
    #[must_use]
    pub fn running_of(&self, incarnation: Incarnation) -> Vec<Arc<JobCell>> {
        self.running_where(|key| key.incarnation == incarnation).collect()
    }

    fn running_where(
        &self,
        wanted: impl Fn(&JobKey) -> bool,
    ) -> impl Iterator<Item = Arc<JobCell>> {
        let found = self.records.iter().filter(move |record| wanted(record.key()));
        found.filter_map(|record| match record.value() {
            Record::Running(cell) => Some(Arc::clone(cell)),
            Record::Answered { .. } => None,
        })
    }

    pub(super) fn find(&self, id: &JobId) -> Found {
        if self.is_expired(id) {
            return Found::Expired;
        }
        let key = JobKey::of(id);
        if let Some(record) = self.records.get(&key) {
            return Found::Record(record.clone());
        }
        self.burnt.reason(key).map_or(Found::Nothing, Found::Burnt)
    }

    /// Looks an id up and decides on it if nothing is known, as one step:
    /// `decide` makes the job's cell, or tells why the id is refused for good.
    pub(super) fn find_or_decide(
        &self,
        id: &JobId,
        size: SubmissionSize,
        decide: impl FnOnce() -> Result<Arc<JobCell>, Reason>,
    ) -> Result<(Found, Option<Arc<JobCell>>), MemoryFull> {
        let key = JobKey::of(id);
        let slot = match self.records.entry(key) {
            Slot::Occupied(record) if !self.is_expired(id) => {
                return Ok((Found::Record(record.get().clone()), None));
            }
            Slot::Occupied(_) => return Ok((Found::Expired, None)),
            Slot::Vacant(slot) => slot,
        };
        // Read while the slot is held: expiry raises the mark first, then
        // removes records, so a removed record cannot be taken for a new id.
        if self.is_expired(id) {
            return Ok((Found::Expired, None));
        }
        if let Some(reason) = self.burnt.reason(key) {
            return Ok((Found::Burnt(reason), None));
        }
        let bytes = RECORD_BYTES + size.running_bytes();
        if self.record_bytes() + bytes.max(CHUNK_BYTES) > self.max_record_bytes {
            return Err(MemoryFull);
        }
        match decide() {
            Ok(cell) => {
                slot.insert(Record::Running(Arc::clone(&cell)));
                self.record_bytes.fetch_add(bytes, Ordering::AcqRel);
                self.running.fetch_add(1, Ordering::AcqRel);
                self.note_age(key, id.minted_unix_ms);
                Ok((Found::Nothing, Some(cell)))
            }
            Err(reason) => {
                self.burnt.burn(key, id.minted_unix_ms, reason);
                Ok((Found::Burnt(reason), None))
            }
        }
    }

    fn note_age(&self, key: JobKey, minted_unix_ms: u64) {
        let mut by_age = self.by_age.lock();
        by_age.entry(minted_unix_ms / AGE_STEP_MS).or_default().push(key);
    }

    /// Keeps a job's answer. A final answer takes the place of `unknown`, and
    /// nothing else takes the place of an answer. Returns whether it was kept.
    pub(super) fn keep_answer(&self, cell: &JobCell, answer: &Arc<Answer>) -> bool {
        let key = JobKey::of(&cell.id);
        {
            let Some(mut record) = self.records.get_mut(&key) else {
                return false;
            };
            match record.value() {
                Record::Running(_) => {
                    self.record_bytes.fetch_sub(cell.size.running_bytes(), Ordering::AcqRel);
                    self.running.fetch_sub(1, Ordering::AcqRel);
                }
                Record::Answered { answer: before, .. }
                    if before.outcome == Outcome::Unknown && answer.outcome != Outcome::Unknown => {
                }
                Record::Answered { .. } => return false,
            }
            *record = Record::Answered { content: cell.content, answer: Arc::clone(answer) };
        }
        self.bound_bodies(key, answer);
        true
    }

    fn bound_bodies(&self, key: JobKey, answer: &Answer) {
        let body_bytes = answer.results.iter().map(|result| result.0.len() as u64).sum();
        if body_bytes == 0 {
            return;
        }
        for oldest in self.kept.add(key, body_bytes) {
            self.drop_body(oldest);
        }
    }

    fn drop_body(&self, key: JobKey) {
        if let Some(mut record) = self.records.get_mut(&key)
            && let Record::Answered { answer, .. } = record.value_mut()
        {
            *answer = Arc::new(result_dropped());
        }
    }

    fn is_expired(&self, id: &JobId) -> bool {
        id.minted_unix_ms < self.expired_before_unix_ms.load(Ordering::Acquire)
    }

    /// Forgets jobs minted longer ago than the retention. The mark only rises,
    /// whatever the clock does.
    pub fn expire(&self, now_unix_ms: u64) {
        let before_unix_ms = now_unix_ms.saturating_sub(self.retention_ms);
        self.expired_before_unix_ms.fetch_max(before_unix_ms, Ordering::AcqRel);
        let mark = self.expired_before_unix_ms.load(Ordering::Acquire);
        let mut gone = 0_u64;
        for key in self.take_older(mark) {
            // A running job stays: its answer is still to come.
            if self.records.remove_if(&key, |_, record| is_answered(record)).is_some() {
                gone += 1;
            } else if self.records.contains_key(&key) {
                self.note_age(key, now_unix_ms);
            }
        }
        self.record_bytes.fetch_sub(gone * RECORD_BYTES, Ordering::AcqRel);
        self.burnt.expire(mark);
        if gone > 0 {
            self.kept.forget(|key| self.records.contains_key(&key));
        }
    }

    fn take_older(&self, mark_unix_ms: u64) -> Vec<JobKey> {
        let mut by_age = self.by_age.lock();
        let newer = by_age.split_off(&(mark_unix_ms / AGE_STEP_MS));
        let older = std::mem::replace(&mut *by_age, newer);
        older.into_values().flatten().collect()
    }

    /// Refuses an id for good if nothing is known of it.
    pub(super) fn burn(&self, id: &JobId, reason: Reason) -> Result<Found, MemoryFull> {
        let needs_chunk = self.burnt.needs_chunk(JobKey::of(id));
        if needs_chunk && self.record_bytes() + CHUNK_BYTES > self.max_record_bytes {
            return Err(MemoryFull);
        }
        self.find_or_decide(id, SubmissionSize::default(), || Err(reason)).map(|(found, _)| found)
    }
}

/// The memory for records is full; nothing was changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct MemoryFull;

fn is_answered(record: &Record) -> bool {
    matches!(record, Record::Answered { .. })
}

/// The job was complete, but to say so without its results would be partial.
fn result_dropped() -> Answer {
    Answer::without_results(Outcome::Unknown, Reason::ResultDropped, Step::Answer)
        .with_detail("the job completed and was answered; its results are no longer kept")
}
