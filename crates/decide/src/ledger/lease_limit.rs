//! Bounds leases by what the agent has heard from the entries.
//!
//! An entry that gives up a run tells the agent, or falls silent. In both cases the run must be
//! over before its task may start elsewhere, also if the agent stands still from any moment on
//! and stops nothing. So no lease lasts longer than a fixed time after the last contact with any
//! entry, and none is prolonged for a run that is being stopped.

use {
    super::{CLOCK_DRIFT_PERCENT, Ledger, LedgerLimits},
    sycamorerail_wire::ids::Incarnation,
};

/// Shortest time after which callers may submit a job again, in milliseconds: runs that have to be
/// over by then still get leases that bear two lost heartbeats.
pub const SHORTEST_RESUBMIT_MS: u64 = 700;
/// Time from the end of a run to the earliest start of a copy, in milliseconds.
const COPY_MARGIN_MS: u64 = 60;
/// Time that the stops of a silent entry's runs take, with repetitions, in milliseconds.
const STOPS_MS: u64 = 300;
/// Heartbeats within the owner timeout: a message waits for one in each direction, and one may be
/// lost.
const HEARTBEATS_IN_TIMEOUT: u64 = 4;
/// Longest heartbeat interval, in milliseconds.
const MAX_HEARTBEAT_MS: u64 = 200;

impl LedgerLimits {
    /// Returns the limits for an upstream that grants leases of up to `longest_lease_ms`, and
    /// callers that submit a job again `resubmit_ms` after an attempt without an answer.
    ///
    /// No lease is longer than the default one: the error of the upstream's clock grows with it.
    /// Below [`SHORTEST_RESUBMIT_MS`] the limits are those for that time.
    #[must_use]
    pub fn for_upstream(longest_lease_ms: u64, resubmit_ms: u64) -> Self {
        let default = Self::default();
        let lease_ms = default.lease_ms.min(longest_lease_ms);
        let resubmit_ms = resubmit_ms.max(SHORTEST_RESUBMIT_MS);
        let over_ms = resubmit_ms - COPY_MARGIN_MS;
        let run_after_contact_ms =
            default.run_after_contact_ms.min(over_ms - clock_error_ms(lease_ms));
        Self {
            lease_ms,
            run_after_contact_ms,
            owner_timeout_ms: default.owner_timeout_ms.min(run_after_contact_ms - STOPS_MS),
            share_job_after_ms: default.share_job_after_ms.min(resubmit_ms / 2),
            ..default
        }
    }

    /// Returns the interval at which entries and agents send heartbeats to each other, in
    /// milliseconds.
    #[must_use]
    pub fn heartbeat_ms(&self) -> u64 {
        MAX_HEARTBEAT_MS.min(self.owner_timeout_ms / HEARTBEATS_IN_TIMEOUT)
    }

    /// Returns the longest time for which a run may go on after the last contact with its entry,
    /// in milliseconds. The upstream's clock may be slow while the lease runs, and while the agent
    /// extrapolates it from the last answer.
    #[must_use]
    pub fn longest_run_after_contact_ms(&self) -> u64 {
        self.latest_end_ms(self.run_after_contact_ms)
    }

    /// Returns the silence of an entry up to which its jobs are reported to others, in
    /// milliseconds: a heartbeat before its runs are stopped.
    #[must_use]
    pub fn share_jobs_until_silent_ms(&self) -> u64 {
        self.owner_timeout_ms - self.heartbeat_ms()
    }

    /// Returns the silence of an agent after which its report of another entry's job counts no
    /// more, in milliseconds. By then nothing runs for that entry if it is gone.
    #[must_use]
    pub fn forget_jobs_after_ms(&self) -> u64 {
        self.longest_run_after_contact_ms() - self.share_jobs_until_silent_ms()
    }

    /// Returns when a lease that ends at `lease_end_ms` in the agent's time has ended on the
    /// upstream's clock, however slow that is.
    pub(super) fn latest_end_ms(&self, lease_end_ms: u64) -> u64 {
        lease_end_ms + clock_error_ms(self.lease_ms)
    }
}

/// Returns the error of the upstream's clock at the end of a lease: over the lease, and over the
/// time for which it was extrapolated, which is shorter.
fn clock_error_ms(lease_ms: u64) -> u64 {
    2 * lease_ms * CLOCK_DRIFT_PERCENT / 100
}

impl Ledger {
    /// Returns when a lease that is granted now has to end at the latest, in the agent's time.
    ///
    /// A confirmed stop counts until the run is over, as the upstream takes some time for it.
    pub(super) fn lease_end_ms(&self, now_ms: u64, length_ms: u64) -> u64 {
        let of_owners = self.owners.earliest_contact_ms().map(|ms| self.limit_after(ms));
        let of_stops = self.runs.values().filter_map(|run| run.stop.as_ref());
        let limits = of_owners.into_iter().chain(of_stops.map(|stop| stop.lease_limit_ms));
        limits.fold(now_ms + length_ms, u64::min)
    }

    /// Returns the end of the leases of an entry's runs that are given up now.
    pub(super) fn stop_limit_ms(&self, owner: Incarnation) -> u64 {
        self.owners.contact_ms(owner).map_or(0, |ms| self.limit_after(ms))
    }

    /// Whether a run of the entry may start under the leases that were granted so far.
    pub(super) fn is_within_leases(&self, owner: Incarnation) -> bool {
        self.granted_ms <= self.stop_limit_ms(owner)
    }

    /// Records that a lease was granted until this time.
    pub(super) fn note_lease(&mut self, until_ms: u64) {
        self.granted_ms = self.granted_ms.max(until_ms);
    }

    fn limit_after(&self, contact_ms: u64) -> u64 {
        contact_ms + self.limits.run_after_contact_ms
    }
}
