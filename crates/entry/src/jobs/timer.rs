//! Time passing: deadlines and hedges of jobs, expiry of records.

use {
    super::{cell::JobCell, drive::drive},
    crate::shared::Shared,
    std::{sync::Arc, time::Duration},
    sycamorerail_clock::Clock,
    sycamorerail_decide::job::Event,
    tokio::sync::watch,
};

const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Ticks a job until it is answered.
pub(super) fn watch(shared: &Arc<Shared>, cell: &Arc<JobCell>) {
    let (shared, cell) = (Arc::clone(shared), Arc::clone(cell));
    tokio::spawn(async move {
        let mut answers = cell.answer.subscribe();
        loop {
            let now_ms = shared.now_ms();
            let Some(wake_at_ms) = cell.state.lock().wake_at_ms(now_ms) else {
                return;
            };
            let pause = Duration::from_millis(wake_at_ms.saturating_sub(now_ms));
            tokio::select! {
                _ = answers.changed() => {}
                () = tokio::time::sleep(pause) => drive(&shared, &cell, Event::Tick),
            }
        }
    });
}

/// Forgets expired records until told to stop.
pub async fn sweep_until(shared: Arc<Shared>, mut stop: watch::Receiver<bool>) {
    loop {
        tokio::select! {
            _ = stop.wait_for(|&stopped| stopped) => return,
            () = tokio::time::sleep(SWEEP_PERIOD) => shared.jobs.expire(Clock::unix_ms()),
        }
    }
}
