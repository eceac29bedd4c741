//! Times of claims.

use crate::dispatch::MAX_TICK_MS;

/// Time for which claims last beyond the longest runs, in milliseconds: that without a majority's
/// confirmation after which agents are not acknowledged. Two messages and a replaced connection fit
/// into it.
const MARGIN_MS: u64 = 300;
/// Time for the stop of a run whose agent is in contact, in milliseconds: the look at what is due,
/// the way there, several attempts at the upstream.
const STOP_WITHIN_MS: u64 = 400;
/// Time in which agents are acknowledged again once a job is given up, beside two heartbeats, in
/// milliseconds: two passes over what is due, of which one may be late.
const ACKNOWLEDGE_WITHIN_MS: u64 = 100;
/// Time after which a claimant's silence counts, in milliseconds: five of its messages.
const SILENT_FROM_MS: u64 = 500;
/// Time without an answer after which a holder's vote is not expected any more, in milliseconds:
/// that of a silent connection and one more attempt.
const LOST_AFTER_MS: u64 = 250;

/// Limits of claims, from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimLimits {
    /// Time for which runs may go on after the last message of their agent that their entry has
    /// acknowledged, in milliseconds.
    pub run_over_ms: u64,
    /// Time for which a claim lasts beyond that, in milliseconds.
    pub margin_ms: u64,
    /// Time after the last contact with a majority of its holders after which an entry gives a job
    /// up, in milliseconds. Agents must not take the entry for silent meanwhile.
    pub give_up_ms: u64,
    /// Silence of a claimant after which a holder tells others that its claims are about to end, in
    /// milliseconds.
    pub silent_from_ms: u64,
    /// Time after which an entry no longer expects the vote of a holder that it can't reach, in
    /// milliseconds.
    pub lost_after_ms: u64,
}

impl ClaimLimits {
    /// The limits for runs that go on for `run_over_ms` after the last acknowledged message of their
    /// agent, and agents that take an entry for silent after `owner_timeout_ms` and send a message
    /// each `heartbeat_ms`, all in milliseconds.
    #[must_use]
    pub const fn new(run_over_ms: u64, owner_timeout_ms: u64, heartbeat_ms: u64) -> Self {
        // An agent knows of an acknowledgement up to two heartbeats late.
        let silent_from_ms = MARGIN_MS + owner_timeout_ms - 2 * heartbeat_ms;
        let give_up_ms = silent_from_ms - ACKNOWLEDGE_WITHIN_MS;
        assert!(give_up_ms + STOP_WITHIN_MS <= run_over_ms + MARGIN_MS);
        Self {
            run_over_ms,
            margin_ms: MARGIN_MS,
            give_up_ms,
            silent_from_ms: SILENT_FROM_MS,
            lost_after_ms: LOST_AFTER_MS,
        }
    }

    /// Time for which a claim lasts after the last sign of its claimant, in milliseconds: its runs
    /// are over, whether they can be stopped or end with their leases.
    #[must_use]
    pub fn outlast_ms(&self) -> u64 {
        self.run_over_ms + self.margin_ms
    }

    /// Time within which the runs of a job are over at agents that are in contact once it is given
    /// up, in milliseconds.
    #[must_use]
    pub fn stop_within_ms(&self) -> u64 {
        STOP_WITHIN_MS
    }

    /// Time after the last contact with a majority of its holders within which a claim may be
    /// granted, and tasks placed by it, in milliseconds. Agents may have been acknowledged until
    /// now, and tasks are placed until [`MAX_TICK_MS`] after a look at what is due.
    pub(super) fn grant_within_ms(&self) -> u64 {
        self.margin_ms.saturating_sub(MAX_TICK_MS)
    }
}
