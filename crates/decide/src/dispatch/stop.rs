//! A planned stop of the entry: what is still taken, and what becomes of the rest.
//!
//! The process ends at a time that is set, whatever still runs. Callers whose jobs are not
//! over by then would lose their connections, so each job is ended and answered before.

use super::{Dispatch, Job, JobForecast, NoResultReason, job::Ending};

/// Jobs that are given up for a stop are answered within this: an upstream takes 50 ms for a
/// stop and lists its end within 40 ms, the rest is the way to agents and back.
pub const STOP_ANSWER_MS: u64 = 150;

impl Dispatch {
    /// The entry stops: from now on jobs that cannot surely end by this time are refused.
    /// Those that run longer are given up then, and answered within [`STOP_ANSWER_MS`].
    pub fn plan_stop(&mut self, end_ms: u64) {
        self.stops_ms = Some(end_ms);
    }

    /// Whether all jobs are answered for the stop, as of the last look at what is due.
    #[must_use]
    pub fn is_stopped(&self, now_ms: u64) -> bool {
        self.stops_ms.is_some_and(|stops_ms| now_ms >= stops_ms.saturating_add(STOP_ANSWER_MS))
    }

    /// Whether a job may still run as jobs are given up for the stop.
    pub(super) fn is_cut_off(&self, job: &Job, forecast: &JobForecast, now_ms: u64) -> bool {
        let Some(stops_ms) = self.stops_ms else { return false };
        let kind = self.kinds.get(&job.request.kind.name).copied().unwrap_or_default();
        let surely_in_ms = whole_ms(job, forecast) as f64 * kind.sure_percent() / 100.0;
        now_ms + surely_in_ms as u64 > stops_ms
    }

    /// Gives up what still runs as jobs must have ended. Soon after, jobs are answered whose
    /// runs agents have not confirmed as stopped.
    pub(super) fn end_for_stop(&mut self, now_ms: u64) {
        if self.stops_ms.is_none_or(|stops_ms| now_ms < stops_ms) {
            return;
        }
        let open = self.jobs.iter().filter(|(_, job)| job.ending.is_none());
        let open: Vec<_> = open.map(|(key, _)| key).collect();
        for key in open {
            self.end(key, Ending::GivenUp(NoResultReason::Stopping));
        }
        if self.is_stopped(now_ms) {
            let left: Vec<_> = self.jobs.keys().collect();
            left.into_iter().for_each(|key| self.answer_ended(key));
        }
    }
}

/// How long the whole job is expected to take: the forecast is of what may be placed now, and
/// is 0 without an upstream.
pub(super) fn whole_ms(job: &Job, forecast: &JobForecast) -> u64 {
    forecast.end_in_ms.max(forecast.wait_ms + job.chain_ms())
}
