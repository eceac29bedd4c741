//! The queue of tasks that wait at the entry, and what empties it.

use {
    super::{
        lanes::{Lanes, SetAside, Waiting},
        place::{Tried, try_place},
    },
    crate::{jobs::JobCell, shared::Shared},
    parking_lot::Mutex,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
        time::Duration,
    },
    sycamorerail_decide::job::TaskKey,
    tokio::sync::watch,
};

/// Pause between passes that no reply brought about.
const PASS_PERIOD: Duration = Duration::from_millis(25);
/// Passes between removals of tasks that wait no more.
const PASSES_A_CLEANING: u32 = 8;
/// Tasks set aside in a pass before it ends.
const MAX_SET_ASIDE: usize = 16;

/// Tasks that wait at the entry.
#[derive(Debug, Default)]
pub struct Dispatch {
    lanes: Mutex<Lanes>,
    waiting: AtomicU32,
    /// A pass was asked for while another one ran.
    again: AtomicBool,
}

impl Dispatch {
    /// Tasks that wait.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Acquire)
    }

    fn note_count(&self, lanes: &Lanes) {
        self.waiting.store(lanes.count(), Ordering::Release);
        metrics::gauge!("sycamorerail_queued_tasks").set(lanes.count());
    }

    fn must_queue(&self, cell: &JobCell) -> bool {
        self.waiting() > 0 && self.lanes.lock().has_lane(cell.kind.key)
    }
}

/// Places a waiting task now, or when there is room.
pub fn enqueue(shared: &Arc<Shared>, cell: &Arc<JobCell>, task: TaskKey) {
    let dispatch = &shared.dispatch;
    if !dispatch.must_queue(cell) && !matches!(try_place(shared, cell, task), Tried::Wait { .. }) {
        return;
    }
    {
        let mut lanes = dispatch.lanes.lock();
        lanes.push(Waiting { cell: Arc::clone(cell), task });
        dispatch.note_count(&lanes);
    }
    // A slot may have been freed since there was none.
    pump(shared);
}

/// Places as many waiting tasks as there is room for.
pub fn pump(shared: &Arc<Shared>) {
    let dispatch = &shared.dispatch;
    if dispatch.waiting() == 0 {
        return;
    }
    dispatch.again.store(true, Ordering::Release);
    while dispatch.again.load(Ordering::Acquire) {
        // Whoever holds the lanes looks at `again` once more.
        let Some(mut lanes) = dispatch.lanes.try_lock() else {
            return;
        };
        dispatch.again.store(false, Ordering::Release);
        pass(shared, &mut lanes);
        dispatch.note_count(&lanes);
    }
}

fn pass(shared: &Arc<Shared>, lanes: &mut Lanes) {
    let mut aside = SetAside::default();
    while aside.tasks.len() < MAX_SET_ASIDE {
        let Some((key, waiting)) = lanes.next(&aside) else {
            return;
        };
        match try_place(shared, &waiting.cell, waiting.task) {
            Tried::Sent | Tried::Dropped => lanes.remove(key),
            Tried::Wait { restricted: true } => drop(aside.tasks.insert(key)),
            Tried::Wait { restricted: false } => drop(aside.lanes.insert(key.kind)),
        }
    }
}

/// Makes passes from time to time until told to stop.
pub async fn pump_until(shared: Arc<Shared>, mut stop: watch::Receiver<bool>) {
    let mut passes = 0_u32;
    loop {
        tokio::select! {
            _ = stop.wait_for(|&stopped| stopped) => return,
            () = tokio::time::sleep(PASS_PERIOD) => {}
        }
        passes = passes.wrapping_add(1);
        if passes.is_multiple_of(PASSES_A_CLEANING) && shared.dispatch.waiting() > 0 {
            clean(&shared);
        }
        pump(&shared);
    }
}

fn clean(shared: &Shared) {
    let mut lanes = shared.dispatch.lanes.lock();
    lanes.retain(|waiting| waiting.cell.state.lock().wants(waiting.task));
    shared.dispatch.note_count(&lanes);
}
