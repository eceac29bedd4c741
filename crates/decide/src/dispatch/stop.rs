//! A planned stop of the entry: which jobs are still accepted, and how the others end.
//!
//! The process ends at a set time, whatever still runs. Callers of unfinished jobs would lose
//! their connections, so every job is ended and answered before.

use super::{Dispatch, Job, JobForecast, NoResultReason, job::Ending};

/// Time within which jobs that are given up for a stop are answered: an upstream takes 50 ms for
/// a stop and reports the end within 40 ms; the rest is the round trip to agents.
pub const STOP_ANSWER_MS: u64 = 150;

impl Dispatch {
    /// Plans a stop. From now on, jobs that may not end by `end_ms` are refused. Those that still
    /// run then are given up and answered within [`STOP_ANSWER_MS`].
    pub fn plan_stop(&mut self, end_ms: u64) {
        self.stop_at_ms = Some(end_ms);
    }

    /// Whether all jobs are answered for the stop, as of the last [`Self::tick`].
    #[must_use]
    pub fn is_stopped(&self, now_ms: u64) -> bool {
        self.stop_at_ms
            .is_some_and(|stop_at_ms| now_ms >= stop_at_ms.saturating_add(STOP_ANSWER_MS))
    }

    /// Whether a job may still run when jobs are given up for the stop.
    pub(super) fn may_outlast_stop(&self, job: &Job, forecast: &JobForecast, now_ms: u64) -> bool {
        let Some(stop_at_ms) = self.stop_at_ms else { return false };
        let kind = self.kinds.get(&job.request.kind.name).cloned().unwrap_or_default();
        let safe_duration_ms =
            estimate_total_ms(job, forecast) as f64 * kind.duration_quantile_percent() / 100.0;
        now_ms + safe_duration_ms as u64 > stop_at_ms
    }

    /// Gives up the jobs that still run at the planned time. After [`STOP_ANSWER_MS`], answers
    /// the jobs whose runs agents have not confirmed as stopped.
    pub(super) fn end_for_stop(&mut self, now_ms: u64) {
        if self.stop_at_ms.is_none_or(|stop_at_ms| now_ms < stop_at_ms) {
            return;
        }
        let open = self.jobs.iter().filter(|(_, job)| job.ending.is_none());
        let open: Vec<_> = open.map(|(key, _)| key).collect();
        for key in open {
            self.begin_ending(key, Ending::GivenUp(NoResultReason::Stopping));
        }
        if self.is_stopped(now_ms) {
            let left: Vec<_> = self.jobs.keys().collect();
            left.into_iter().for_each(|key| self.answer_ended(key));
        }
    }
}

/// How long the whole job is expected to take. The forecast covers only the tasks that may be
/// placed now, and is 0 without an upstream.
pub(super) fn estimate_total_ms(job: &Job, forecast: &JobForecast) -> u64 {
    forecast.end_in_ms.max(forecast.wait_ms + job.run_time_chain_ms())
}
