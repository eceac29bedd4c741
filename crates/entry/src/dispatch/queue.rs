//! The queue of tasks that wait at the entry, and what empties it.

use {
    super::{
        choose::placement_query,
        kinds::{Kinds, numbers},
        place::{Tried, try_place},
        quota::Quotas,
    },
    crate::{
        jobs::{JobCell, drive},
        shared::Shared,
    },
    parking_lot::Mutex,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
        time::Duration,
    },
    sycamorerail_decide::{
        admission::{forecast::DrainRate, is_evacuated},
        ejection::Ejections,
        estimate::Estimates,
        job::{Event, TaskAttempt},
        queue::{Backlog, Queue, SchedulingParams},
    },
    sycamorerail_settings::entry::LimitSettings,
    sycamorerail_wire::{
        answer::Reason,
        ids::{Incarnation, OrganisationKey},
    },
    tokio::sync::{Notify, watch},
};

/// Pause between passes that no reply brought about.
const PASS_PERIOD: Duration = Duration::from_millis(25);
/// Kinds tried in vain before a pass ends.
const MAX_TRIES: usize = 64;
/// Pause of a task that has to avoid upstreams or finds no place in the queue.
const ASIDE_MS: u32 = 50;

/// A task that waits.
#[derive(Debug)]
struct Waiting {
    cell: Arc<JobCell>,
    task: TaskAttempt,
}

/// Tasks that wait at the entry, and what is known for placing them.
#[derive(Debug)]
pub struct Dispatch {
    /// Quotas of organisations.
    pub quotas: Quotas,
    pub(super) estimates: Mutex<Estimates>,
    pub(super) ejections: Mutex<Ejections>,
    pub(super) kinds: Kinds,
    queue: Mutex<Queue<Waiting>>,
    drain_rate: Mutex<DrainRate>,
    waiting: AtomicU32,
    /// Wakes the periodic passes, which rest while nothing waits.
    filled: Notify,
    /// Upstreams ejected or probed.
    out: AtomicU32,
    /// A thread makes passes.
    pumping: AtomicBool,
    /// A pass was asked for while another one ran.
    again: AtomicBool,
}

impl Dispatch {
    /// Nothing waits yet.
    #[must_use]
    pub fn new(limits: &LimitSettings, own: Incarnation) -> Self {
        Self {
            quotas: Quotas::new(own),
            estimates: Mutex::default(),
            ejections: Mutex::default(),
            kinds: Kinds::default(),
            queue: Mutex::new(Queue::new(limits.max_queued_tasks)),
            drain_rate: Mutex::default(),
            waiting: AtomicU32::new(0),
            filled: Notify::new(),
            out: AtomicU32::new(0),
            pumping: AtomicBool::new(false),
            again: AtomicBool::new(false),
        }
    }

    /// Tasks that wait.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Acquire)
    }

    /// Upstreams ejected or probed.
    #[must_use]
    pub fn out(&self) -> u32 {
        self.out.load(Ordering::Acquire)
    }

    pub(super) fn note_out(&self, out: usize) {
        self.out.store(u32::try_from(out).unwrap_or(u32::MAX), Ordering::Release);
    }

    /// Tasks the organisation may still add, and what waits before a new one.
    pub(super) fn room(&self, organisation: OrganisationKey, urgency: u8) -> (u32, Backlog) {
        let queue = self.queue.lock();
        (queue.room_for(organisation), queue.backlog(organisation, urgency))
    }

    /// Pace at which tasks leave the queue; `None` while it is empty, when the
    /// pace says nothing.
    pub(super) fn drain_per_s(&self, now_ms: u64) -> Option<f64> {
        if self.waiting() == 0 {
            return None;
        }
        self.drain_rate.lock().per_s(now_ms)
    }

    /// Takes a job's tasks out of the queue.
    pub(super) fn forget(&self, cell: &JobCell) {
        let keys = std::mem::take(&mut *cell.queued.lock());
        if keys.is_empty() {
            return;
        }
        let mut queue = self.queue.lock();
        for key in keys {
            queue.remove(key);
        }
        self.note_count(&queue);
    }

    fn note_count(&self, queue: &Queue<Waiting>) {
        self.waiting.store(queue.len(), Ordering::Release);
        metrics::gauge!("sycamorerail_queued_tasks").set(queue.len());
    }

    fn push(&self, params: SchedulingParams, waiting: Waiting, now_ms: u64) -> Result<(), Waiting> {
        let cell = Arc::clone(&waiting.cell);
        let mut queue = self.queue.lock();
        if queue.is_empty() {
            self.drain_rate.lock().clear(now_ms);
        }
        let key = queue.push(params, waiting)?;
        cell.queued.lock().push(key);
        self.note_count(&queue);
        self.filled.notify_one();
        Ok(())
    }

    fn has_others(&self, cell: &JobCell) -> bool {
        let backlog = self.queue.lock().backlog(cell.organisation.key, cell.kind.urgency);
        backlog.own_tasks > 0
    }
}

/// Places a waiting task now, or when there is room.
pub fn enqueue(shared: &Arc<Shared>, cell: &Arc<JobCell>, task: TaskAttempt) {
    let dispatch = &shared.dispatch;
    let behind_others = dispatch.waiting() > 0 && dispatch.has_others(cell);
    if !behind_others && !matches!(try_place(shared, cell, task), Tried::Wait { .. }) {
        return;
    }
    let waiting = Waiting { cell: Arc::clone(cell), task };
    match dispatch.push(scheduling_params(shared, cell), waiting, shared.now_ms()) {
        // A slot may have been freed since there was none.
        Ok(()) => pump(shared),
        Err(waiting) => enqueue_after(shared, &waiting.cell, waiting.task, ASIDE_MS),
    }
}

/// Places a waiting task after a pause.
pub fn enqueue_after(shared: &Arc<Shared>, cell: &Arc<JobCell>, task: TaskAttempt, after_ms: u32) {
    if after_ms == 0 {
        return enqueue(shared, cell, task);
    }
    let (shared, cell) = (Arc::clone(shared), Arc::clone(cell));
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(after_ms.into())).await;
        if cell.state.lock().is_waiting(task) {
            enqueue(&shared, &cell, task);
        }
    });
}

fn scheduling_params(shared: &Shared, cell: &JobCell) -> SchedulingParams {
    let numbers = numbers(shared, &cell.kind);
    SchedulingParams {
        organisation: cell.organisation.key,
        kind: cell.kind.key,
        urgency: cell.kind.urgency,
        weight: cell.organisation.quota.starts_per_s.max(1),
        cost_ms: numbers.run_ms.max(1),
        latest_start_ms: cell.deadline_at_ms.saturating_sub(numbers.least_run_ms.into()),
    }
}

/// Places as many waiting tasks as there is room for.
pub fn pump(shared: &Arc<Shared>) {
    let dispatch = &shared.dispatch;
    if dispatch.waiting() == 0 {
        return;
    }
    dispatch.again.store(true, Ordering::SeqCst);
    // Whoever pumps looks at `again` once more after it has stopped.
    while dispatch.again.load(Ordering::SeqCst) && !dispatch.pumping.swap(true, Ordering::SeqCst) {
        while dispatch.again.swap(false, Ordering::SeqCst) {
            pump_once(shared);
        }
        dispatch.pumping.store(false, Ordering::SeqCst);
    }
}

fn pump_once(shared: &Arc<Shared>) {
    let aside = {
        let mut queue = shared.dispatch.queue.lock();
        let aside = pass(shared, &mut queue);
        shared.dispatch.note_count(&queue);
        aside
    };
    for waiting in aside {
        enqueue_after(shared, &waiting.cell, waiting.task, ASIDE_MS);
    }
}

/// One pass over the queue. Returns tasks that must avoid upstreams and would
/// hold up those behind them.
fn pass(shared: &Arc<Shared>, queue: &mut Queue<Waiting>) -> Vec<Waiting> {
    let mut aside = Vec::new();
    let mut sent = 0;
    loop {
        let mut tried = Tried::Dropped;
        let taken = queue.take_first(MAX_TRIES, |_, waiting| {
            tried = try_place(shared, &waiting.cell, waiting.task);
            tried != Tried::Wait { restricted: false }
        });
        let Some((_, waiting)) = taken else {
            break;
        };
        match tried {
            Tried::Sent => sent += 1,
            Tried::Dropped => {}
            Tried::Wait { .. } => aside.push(waiting),
        }
    }
    let now_ms = shared.now_ms();
    let mut drain_rate = shared.dispatch.drain_rate.lock();
    if queue.is_empty() {
        drain_rate.clear(now_ms);
    } else {
        drain_rate.record(sent, now_ms);
    }
    aside
}

/// Makes passes from time to time until told to stop, and gives up on jobs
/// that can no longer meet their deadline.
pub async fn pump_until(shared: Arc<Shared>, mut stop: watch::Receiver<bool>) {
    loop {
        let due = async {
            if shared.dispatch.waiting() == 0 {
                shared.dispatch.filled.notified().await;
            }
            tokio::time::sleep(PASS_PERIOD).await;
        };
        tokio::select! {
            _ = stop.wait_for(|&stopped| stopped) => return,
            () = due => {}
        }
        give_up_late(&shared);
        give_up_evacuated(&shared);
        assume_slot_if_stale(&shared);
        pump(&shared);
    }
}

/// Tasks wait: upstreams reported full some time ago may be so no more.
fn assume_slot_if_stale(shared: &Shared) {
    let now_ms = shared.now_ms();
    let snapshot = shared.upstreams.snapshot();
    snapshot.view.rows.iter().for_each(|row| row.live.assume_slot_if_stale(now_ms));
}

/// Data centres were evacuated or taken back.
pub fn evacuations_changed(shared: &Arc<Shared>) {
    shared.dispatch.kinds.forget();
    give_up_evacuated(shared);
    pump(shared);
}

/// Gives up jobs that wait as a whole while all that could serve them are in evacuated
/// data centres. Those that have begun go on as long as their callers wait.
fn give_up_evacuated(shared: &Arc<Shared>) {
    if shared.evacuations.borrow().data_centres.is_empty() {
        return;
    }
    let snapshot = shared.upstreams.snapshot();
    let is_nowhere = |cell: &JobCell| {
        let query = placement_query(shared, &cell.kind, &numbers(shared, &cell.kind), &[], &[]);
        is_evacuated(&query, &snapshot.view)
    };
    loop {
        let given_up = {
            let mut queue = shared.dispatch.queue.lock();
            let given_up = queue.take_first(usize::MAX, |_, waiting| {
                is_nowhere(&waiting.cell) && waiting.cell.state.lock().is_entirely_waiting()
            });
            shared.dispatch.note_count(&queue);
            given_up
        };
        let Some((_, waiting)) = given_up else { return };
        if waiting.cell.state.lock().is_waiting(waiting.task) {
            drive(shared, &waiting.cell, Event::GiveUp(Reason::Evacuated));
        }
    }
}

fn give_up_late(shared: &Arc<Shared>) {
    loop {
        let late = {
            let mut queue = shared.dispatch.queue.lock();
            let late = queue.take_expired(shared.now_ms());
            shared.dispatch.note_count(&queue);
            late
        };
        let Some((_, waiting)) = late else {
            return;
        };
        if waiting.cell.state.lock().is_waiting(waiting.task) {
            drive(shared, &waiting.cell, Event::GiveUp(Reason::DeadlineUnreachable));
        }
    }
}
