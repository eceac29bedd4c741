//! What the upstream's answers to renewals of the lease show, and what is sure
//! when none come.

use {
    super::{
        CLOCK_DRIFT_PERCENT, EndKind, InstanceEnd, LeaseAnswer, Ledger, Phase, RunEnd,
        START_CONFIRM_WITHIN_MS, Stop, Suspension, instances::orphan_end, load::is_overdue,
    },
    std::collections::BTreeMap,
    sycamorerail_wire::runs::{NotStarted, RunEvent, TaskKey},
};

impl Ledger {
    /// The lease to ask for, on the upstream's clock. `None` once renewals were
    /// not answered for a while: an unanswered one may be carried out, and then
    /// it would never be sure that the lease has lapsed.
    #[must_use]
    pub fn lease_until_clock_ms(&self, now_ms: u64) -> Option<u64> {
        let clock_ms = self.upstream_clock_ms(now_ms)?;
        let may_renew = self.renewed_ms.is_none() || self.is_trusted(now_ms);
        may_renew.then_some(clock_ms + self.limits.lease_ms)
    }

    /// The upstream confirmed a stop: a start of this run that it has not
    /// carried out is refused from now on.
    pub fn handle_stop_confirmation(&mut self, task: TaskKey, run: u32, now_ms: u64) {
        let Some(key) = self.find_run(task, run) else { return };
        if let Some(stop) = &mut self.runs[key].stop {
            stop.confirmed_ms.get_or_insert(now_ms);
        }
    }

    /// Highest number of an end that was taken note of.
    #[must_use]
    pub fn last_acknowledged_end(&self) -> u64 {
        self.acknowledged
    }

    /// Takes note of the upstream's answer to a renewal of the lease.
    pub fn handle_renewal_answer(&mut self, answer: &LeaseAnswer, now_ms: u64) {
        if self.renewed_ms.is_some_and(|last_ms| answer.sent_ms < last_ms) {
            // It was overtaken: what it lists as running may be over.
            return;
        }
        if self.current_instance.as_ref() != Some(&answer.instance) {
            return self.handle_other_instance(answer, now_ms);
        }
        self.drop_refuted_doubts(answer);
        if answer.fence < self.fence() {
            // Orders with the fence of that call may still be carried out after it.
            return;
        }
        self.order_fence.reset_refusals();
        self.note_answer(answer, now_ms);
        for ended in &answer.ended {
            self.handle_run_end(ended, now_ms);
        }
        for &(task, number) in &answer.running {
            match self.find_run(task, number) {
                Some(key)
                    if matches!(
                        self.runs[key].phase,
                        Phase::Ordered { .. } | Phase::Orphaned { .. }
                    ) =>
                {
                    self.mark_running(key, now_ms);
                }
                _ => {}
            }
        }
        self.settle_unlisted(answer);
        self.stop_unconfirmed_starts(answer);
        self.note_leftovers(&answer.running);
    }

    /// Takes note of the clock that an answer of the present instance tells, and of when its
    /// lease lapses.
    pub(super) fn note_answer(&mut self, answer: &LeaseAnswer, now_ms: u64) {
        self.upstream_clock = Some((answer.clock_ms, now_ms));
        self.renewed_ms = Some(answer.sent_ms);
        self.lapsed_ms = answer.sent_ms + self.lapse_after_ms();
        if answer.sent_ms < self.suspension.noticed_ms {
            self.lapsed_ms += self.suspension.last_ms;
        }
    }

    fn handle_run_end(&mut self, ended: &RunEnd, now_ms: u64) {
        if ended.number <= self.acknowledged {
            return;
        }
        self.acknowledged = ended.number;
        let Some(key) = self.find_run(ended.task, ended.run) else { return };
        let run = &self.runs[key];
        let ran_ms = match run.phase {
            Phase::Running { since_ms } => now_ms.saturating_sub(since_ms),
            _ => run.run_ms.into(),
        };
        let run_ms = u32::try_from(ran_ms).unwrap_or(u32::MAX);
        let estimate_ms = run.run_ms;
        let event = match ended.kind {
            EndKind::Done => RunEvent::Done { run_ms },
            EndKind::Failed => RunEvent::Failed { run_ms },
            EndKind::Stopped => RunEvent::Stopped,
            EndKind::Lapsed => RunEvent::Lost,
        };
        match ended.kind {
            EndKind::Done => {
                self.note_run_time(run_ms, estimate_ms, now_ms);
                self.note_failure(false, now_ms);
            }
            EndKind::Failed => self.note_failure(true, now_ms),
            EndKind::Stopped if is_overdue(run_ms, estimate_ms) => {
                // It would have taken longer still.
                self.note_run_time(run_ms, estimate_ms, now_ms);
            }
            EndKind::Stopped | EndKind::Lapsed => {}
        }
        self.settle(key, event);
    }

    /// Settles runs that the upstream would have listed if they ran.
    fn settle_unlisted(&mut self, answer: &LeaseAnswer) {
        for key in self.active_runs() {
            let run = &self.runs[key];
            if answer.running.contains(&(run.task, run.number)) {
                continue;
            }
            let stopped_before =
                run.stop.and_then(|stop| stop.confirmed_ms).is_some_and(|ms| ms < answer.sent_ms);
            let event = match run.phase {
                Phase::Running { since_ms } if since_ms < answer.sent_ms => Some(RunEvent::Lost),
                Phase::Ordered { .. } if stopped_before => {
                    Some(RunEvent::NotStarted(NotStarted::Withdrawn))
                }
                Phase::Ordered { late_after_clock_ms, unanswered: true, .. }
                    if answer.clock_ms > late_after_clock_ms =>
                {
                    Some(RunEvent::NotStarted(NotStarted::Unanswered))
                }
                phase => orphan_end(phase),
            };
            if let Some(event) = event {
                self.settle(key, event);
            }
        }
    }

    /// Has starts stopped that should have been carried out by now and were not:
    /// once the stop is confirmed they never are, and the task can go elsewhere
    /// long before the order is too late.
    fn stop_unconfirmed_starts(&mut self, answer: &LeaseAnswer) {
        for run in self.runs.values_mut() {
            let Phase::Ordered { since_ms, .. } = run.phase else { continue };
            if run.stop.is_none() && since_ms + START_CONFIRM_WITHIN_MS <= answer.sent_ms {
                run.stop = Some(Stop { sent_ms: None, confirmed_ms: None });
            }
        }
    }

    fn note_leftovers(&mut self, running: &[(TaskKey, u32)]) {
        let foreign = running.iter().filter(|&&(task, run)| self.find_run(task, run).is_none());
        let never = Stop { sent_ms: None, confirmed_ms: None };
        let leftovers: BTreeMap<_, _> =
            foreign.map(|run| (*run, self.leftovers.get(run).copied().unwrap_or(never))).collect();
        self.leftovers = leftovers;
        self.has_no_leftovers = self.leftovers.is_empty();
    }

    /// Takes note of how long the VM was suspended so far, since the process began.
    ///
    /// Entries have not heard it meanwhile, so trust and silence count that time. The
    /// upstream's clock may have stood still with it, so the lapse of a lease does not.
    pub fn note_suspension(&mut self, total_ms: u64, now_ms: u64) {
        let last_ms = total_ms.saturating_sub(self.suspension.total_ms);
        if last_ms == 0 {
            return;
        }
        self.suspension = Suspension { total_ms, last_ms, noticed_ms: now_ms };
        self.lapsed_ms += last_ms;
    }

    /// Declares runs lost whose lease has surely lapsed. Their room stays taken
    /// until the upstream answers again.
    pub fn check_lease_lapse(&mut self, now_ms: u64) {
        if now_ms >= self.lapsed_ms {
            self.settle_orphans();
        }
        if self.renewed_ms.is_none() {
            return;
        }
        if !self.is_trusted(now_ms) {
            // Others may start it meanwhile.
            self.drop_waiting(NotStarted::NoUpstream);
        }
        if now_ms < self.lapsed_ms {
            return;
        }
        self.settle_active(RunEvent::Lost);
        // What may still be listed is stopped and waited for, as after a restart.
        self.has_no_leftovers = false;
        self.renewed_ms = None;
        if self.has_pending_withdrawal() {
            self.end_instance(InstanceEnd::Left);
        }
    }

    /// Time from the last answered renewal after which the lease has surely
    /// lapsed: unanswered ones were sent until it was trusted no more.
    fn lapse_after_ms(&self) -> u64 {
        let lease_ms = self.limits.lease_ms;
        self.trusted_ms() + lease_ms + lease_ms * CLOCK_DRIFT_PERCENT / 100
    }
}
