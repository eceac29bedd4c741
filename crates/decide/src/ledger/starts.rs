//! Chooses the tasks that start, and handles the upstream's answers.

use {
    super::{Ledger, Phase, Run, RunKey, StartAnswer, StartOrder, StartRefusal},
    std::sync::Arc,
    sycamorerail_wire::runs::{NotStarted, RunEvent, TaskKey},
};

/// Part of the lease, in percent, after which an upstream that answered no renewal gets no new
/// runs and no new lease. Three calls that time out fit into it.
const TRUSTED_LEASE_PERCENT: u64 = 80;
/// Shortest time that a start needs, in milliseconds: the first renewal after it must be answered
/// before its own deadline ends the run.
const MIN_START_MS: u64 = 50;
/// Number of waiting tasks examined for one that fits, so that a large task at the head of the
/// queue does not leave capacity unused for long.
const MAX_TASKS_EXAMINED: usize = 16;

impl Ledger {
    /// Returns the next task to start, if one waits and fits, and takes its capacity.
    pub fn next_start(&mut self, now_ms: u64) -> Option<StartOrder> {
        if !self.may_start(now_ms) {
            return None;
        }
        self.reorder_waiting(now_ms);
        let until_ms = self.lease_end_ms(now_ms, self.limits.start_within_ms);
        if until_ms < now_ms + MIN_START_MS {
            return None;
        }
        let instance = self.announced_instance.as_ref()?;
        let free = instance.capacity.minus(&self.taken);
        let ready = |run: &Run| {
            free.covers(&run.need)
                && !(run.suspect && self.has_active_suspect())
                && self.owners.is_fresh(run.owner, now_ms, self.limits.owner_timeout_ms)
                && self.is_within_leases(run.owner)
        };
        let mut ahead = self.waiting.iter().take(MAX_TASKS_EXAMINED);
        let &(rank, key) = ahead.find(|(_, key)| ready(&self.runs[*key]))?;
        let late_after_clock_ms = self.upstream_clock_ms(now_ms)? + (until_ms - now_ms);
        // The upstream takes the deadline of a start for a lease of all its runs.
        self.note_lease(until_ms);
        self.waiting.remove(&(rank, key));
        let run = &mut self.runs[key];
        run.phase = Phase::Ordered { since_ms: now_ms, late_after_clock_ms, unanswered: false };
        self.taken = self.taken.plus(&run.need);
        self.pending_starts += 1;
        let (task, number, spec) = (run.task, run.number, Arc::clone(&run.spec));
        Some(StartOrder { task, run: number, spec, late_after_clock_ms })
    }

    fn has_active_suspect(&self) -> bool {
        self.runs.values().any(|run| run.suspect && run.phase != Phase::Waiting)
    }

    /// Whether a start may be ordered now. The upstream must have answered a renewal lately:
    /// after a pause of this process its lease may have lapsed.
    fn may_start(&self, now_ms: u64) -> bool {
        self.accepts_runs(now_ms) && self.pending_starts < self.limits.max_pending_starts
    }

    /// Whether the upstream accepts runs once it has free capacity.
    pub(super) fn accepts_runs(&self, now_ms: u64) -> bool {
        self.has_no_leftovers
            && self.announced_instance.is_some()
            && self.is_trusted(now_ms)
            && !self.is_leaving()
            && !self.draining
            && !self.is_evacuated
            && !self.has_pending_withdrawal()
    }

    /// Whether the upstream answered a renewal lately and has not refused connections since.
    #[must_use]
    pub fn is_trusted(&self, now_ms: u64) -> bool {
        let is_recent = |sent_ms| now_ms < sent_ms + self.trusted_ms();
        self.refusing_since_ms.is_none() && self.renewed_ms.is_some_and(is_recent)
    }

    pub(super) fn trusted_ms(&self) -> u64 {
        self.limits.lease_ms * TRUSTED_LEASE_PERCENT / 100
    }

    /// Hands back tasks at the head of the queue that cannot end in time here, and moves late
    /// tasks behind those that can be in time.
    fn reorder_waiting(&mut self, now_ms: u64) {
        while let Some(&(rank, key)) = self.waiting.first() {
            let run = &mut self.runs[key];
            if now_ms + self.run_times.shortest_ms(run.run_ms) > run.give_up_ms {
                self.settle(key, RunEvent::NotStarted(NotStarted::TooLate));
            } else if rank.is_job_mostly_waiting && !rank.is_late && rank.start_by_ms < now_ms {
                self.waiting.remove(&(rank, key));
                run.rank.is_late = true;
                self.waiting.insert((run.rank, key));
            } else {
                return;
            }
        }
    }

    /// Hands back waiting tasks whose time has passed, and drops old crash records.
    pub fn drop_expired(&mut self, now_ms: u64) {
        self.crash_log.expire(now_ms);
        let too_late = |run: &Run| now_ms + self.run_times.shortest_ms(run.run_ms) > run.give_up_ms;
        let expired = self.waiting.iter().filter(|(_, key)| too_late(&self.runs[*key]));
        let keys: Vec<_> = expired.map(|&(_, key)| key).collect();
        for key in keys {
            self.settle(key, RunEvent::NotStarted(NotStarted::TooLate));
        }
    }

    /// Handles the upstream's answer to a start.
    pub fn handle_start_answer(
        &mut self,
        task: TaskKey,
        run: u32,
        answer: StartAnswer,
        now_ms: u64,
    ) {
        self.pending_starts = self.pending_starts.saturating_sub(1);
        let Some(key) = self.find_run(task, run) else { return };
        match (answer, self.runs[key].phase) {
            // It is not known which instance carried out an orphaned order.
            (StartAnswer::Started, Phase::Ordered { .. }) => self.mark_running(key, now_ms),
            (StartAnswer::Unanswered, Phase::Ordered { since_ms, late_after_clock_ms, .. }) => {
                let unanswered = true;
                self.runs[key].phase = Phase::Ordered { since_ms, late_after_clock_ms, unanswered };
            }
            (StartAnswer::Refused(why), Phase::Ordered { .. } | Phase::Orphaned { .. }) => {
                if why == StartRefusal::Unhealthy {
                    self.note_failure(true, now_ms);
                }
                self.settle(key, RunEvent::NotStarted(not_started_reason(why)));
            }
            _ => {}
        }
    }

    pub(super) fn mark_running(&mut self, key: RunKey, now_ms: u64) {
        let run = &mut self.runs[key];
        run.phase = Phase::Running { since_ms: now_ms };
        if !std::mem::replace(&mut run.start_reported, true) {
            let (owner, task, number) = (run.owner, run.task, run.number);
            self.push_report(owner, task, number, RunEvent::Started, None);
        }
    }
}

fn not_started_reason(why: StartRefusal) -> NotStarted {
    match why {
        StartRefusal::Fenced => NotStarted::NoUpstream,
        StartRefusal::OldRun => NotStarted::OldRun,
        StartRefusal::Late => NotStarted::Unanswered,
        StartRefusal::NoRoom => NotStarted::NoRoom,
        StartRefusal::Unhealthy => NotStarted::Refused,
    }
}
