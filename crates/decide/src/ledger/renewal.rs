//! Handles the upstream's answers to lease renewals, and the lapse of the lease when none
//! arrive.

use {
    super::{
        CLOCK_DRIFT_PERCENT, EndKind, InstanceEnd, LeaseAnswer, Ledger, LossProof, Phase, Run,
        RunEnd, START_CONFIRM_WITHIN_MS, Stop, Suspension, instances::orphan_end,
    },
    std::collections::BTreeMap,
    sycamorerail_wire::runs::{NotStarted, RunEvent, TaskKey},
};

impl Ledger {
    /// Returns the end of the lease to request, on the upstream's clock, or `None` if the lease
    /// must not be prolonged.
    ///
    /// That is so once renewals went unanswered for a while: an unanswered renewal may still be
    /// carried out, so if the agent kept sending them, the lapse of the lease would never be
    /// certain. It is also so while the upstream lists runs of an earlier agent: their entries
    /// rely on the end of the earlier agent's leases.
    #[must_use]
    pub fn lease_until_clock_ms(&mut self, now_ms: u64) -> Option<u64> {
        let clock_ms = self.upstream_clock_ms(now_ms)?;
        let may_renew = self.renewed_ms.is_none() || self.is_trusted(now_ms);
        let until_ms = self.lease_end_ms(now_ms, self.limits.lease_ms);
        if !may_renew || !self.has_no_leftovers || until_ms <= now_ms {
            return None;
        }
        self.note_lease(until_ms);
        Some(clock_ms + (until_ms - now_ms))
    }

    /// Handles the upstream's confirmation of a stop. From now on the upstream refuses a start
    /// of this run that it has not carried out yet.
    pub fn handle_stop_confirmation(&mut self, task: TaskKey, run: u32, now_ms: u64) {
        let Some(key) = self.find_run(task, run) else { return };
        if let Some(stop) = &mut self.runs[key].stop {
            stop.confirmed_ms.get_or_insert(now_ms);
        }
    }

    /// Returns the highest number among the run ends that were handled.
    #[must_use]
    pub fn last_acknowledged_end(&self) -> u64 {
        self.acknowledged
    }

    /// Handles the upstream's answer to a renewal of the lease.
    pub fn handle_renewal_answer(&mut self, answer: &LeaseAnswer, now_ms: u64) {
        if self.renewed_ms.is_some_and(|last_ms| answer.sent_ms < last_ms) {
            // A later answer overtook this one: runs that it lists may be over.
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

    /// Records the clock in an answer of the current instance, and when its lease lapses.
    pub(super) fn note_answer(&mut self, answer: &LeaseAnswer, now_ms: u64) {
        self.refusing_since_ms = None;
        self.upstream_clock = Some((answer.clock_ms, now_ms));
        self.renewed_ms = Some(answer.sent_ms);
        self.lapsed_ms = answer.sent_ms + self.lapse_after_ms();
        if answer.sent_ms < self.suspension.noticed_ms {
            self.lapsed_ms += self.suspension.last_ms;
        }
        if answer.sent_ms >= self.stall_noticed_ms {
            self.stalled_ms = 0;
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
                self.run_times.record(run_ms, estimate_ms, now_ms);
                self.note_failure(false, now_ms);
            }
            EndKind::Failed => self.note_failure(true, now_ms),
            EndKind::Stopped if self.is_overdue(run_ms, estimate_ms) => {
                // It would have taken longer still.
                self.run_times.record(run_ms, estimate_ms, now_ms);
            }
            EndKind::Stopped | EndKind::Lapsed => {}
        }
        let proof = (ended.kind == EndKind::Lapsed).then_some(LossProof::Lapsed);
        self.settle_as(key, event, proof);
    }

    /// Settles runs that the upstream would have listed if they were running.
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
            match event {
                Some(event @ RunEvent::NotStarted(_)) => self.settle(key, event),
                Some(event) => self.settle_lost(key, event, LossProof::Unlisted),
                None => {}
            }
        }
    }

    /// Requests a stop of runs that should have started by now and were not listed. Once the
    /// stop is confirmed the start can no longer be carried out, and the task can be placed
    /// elsewhere long before the order's start deadline.
    fn stop_unconfirmed_starts(&mut self, answer: &LeaseAnswer) {
        let is_unconfirmed = |run: &Run| {
            let Phase::Ordered { since_ms, .. } = run.phase else { return false };
            since_ms + START_CONFIRM_WITHIN_MS <= answer.sent_ms
        };
        let unconfirmed = self.runs.iter().filter(|(_, run)| is_unconfirmed(run));
        let unconfirmed: Vec<_> = unconfirmed.map(|(key, _)| key).collect();
        for key in unconfirmed {
            self.stop_run(key);
        }
    }

    fn note_leftovers(&mut self, running: &[(TaskKey, u32)]) {
        let foreign = running.iter().filter(|&&(task, run)| self.find_run(task, run).is_none());
        let never = Stop::new(0);
        let leftovers: BTreeMap<_, _> =
            foreign.map(|run| (*run, self.leftovers.get(run).copied().unwrap_or(never))).collect();
        self.leftovers = leftovers;
        self.has_no_leftovers = self.leftovers.is_empty();
    }

    /// Records the total time for which the VM was suspended since the process began.
    ///
    /// No entry was heard from during a suspension, so it counts towards the trust in the
    /// upstream and the silence of entries. It does not count towards the lapse of the lease,
    /// because the upstream's clock may have stood still as well, nor towards that clock when a
    /// lease is requested.
    pub fn note_suspension(&mut self, total_ms: u64, now_ms: u64) {
        let last_ms = total_ms.saturating_sub(self.suspension.total_ms);
        if last_ms == 0 {
            return;
        }
        self.suspension = Suspension { total_ms, last_ms, noticed_ms: now_ms };
        self.lapsed_ms += last_ms;
        self.granted_ms += last_ms;
        if let Some((_, at_ms)) = &mut self.upstream_clock {
            *at_ms += last_ms;
        }
    }

    /// Records that this process stood still until now. Answers that arrived meanwhile are still to
    /// be read, and whatever stopped this process may have stopped the upstream, too, which ends
    /// runs without a lease only once it goes on. So the upstream gets as much longer to answer,
    /// once for the longest stall since its last answer.
    pub fn note_stall(&mut self, stall_ms: u64, now_ms: u64) {
        self.stalled_ms = self.stalled_ms.max(stall_ms);
        self.stall_noticed_ms = now_ms;
    }

    fn has_lapsed(&self, now_ms: u64) -> bool {
        now_ms >= self.lapsed_ms + self.stalled_ms
    }

    /// Reports runs as lost once their lease has certainly lapsed, and hands waiting tasks back
    /// once the upstream is no longer trusted. Nothing is started until the upstream answers
    /// again and lists no leftovers.
    pub fn check_lease_lapse(&mut self, now_ms: u64) {
        if self.has_lapsed(now_ms) {
            self.settle_orphans();
        }
        if self.renewed_ms.is_none() {
            return;
        }
        if !self.is_trusted(now_ms) {
            // Another agent may start them meanwhile.
            self.drop_waiting(NotStarted::NoUpstream);
        }
        if !self.has_lapsed(now_ms) {
            return;
        }
        if self.refusing_since_ms.is_some() {
            self.end_instance(InstanceEnd::Refused);
            return;
        }
        self.lose_active(LossProof::Unanswered);
        // Runs that the upstream still lists are stopped and waited for, as after a restart.
        self.has_no_leftovers = false;
        self.renewed_ms = None;
        if self.has_pending_withdrawal() {
            self.end_instance(InstanceEnd::Left);
        }
    }

    /// Handles refused connections to the upstream, whose process is gone or does not listen.
    ///
    /// A live process may refuse, too, and goes on with its runs. The ledger counts them as over
    /// only once another instance answers, or all leases that it requested have ended; it requests
    /// none while the upstream refuses. It hands waiting tasks back at once, and forgets an
    /// upstream without runs.
    pub fn handle_refused_connections(&mut self, now_ms: u64) {
        if self.active_count() == 0 {
            return self.end_instance(InstanceEnd::Crashed);
        }
        self.refusing_since_ms.get_or_insert(now_ms);
        self.lapsed_ms = self.lapsed_ms.min(self.limits.latest_end_ms(self.granted_ms));
        self.drop_waiting(NotStarted::NoUpstream);
    }

    /// Returns the time from the last answered renewal after which the lease has certainly
    /// lapsed. Renewals without an answer may have been sent until the upstream was no longer
    /// trusted. Until then the upstream's clock was extrapolated, so that its drift counts for the
    /// whole time.
    fn lapse_after_ms(&self) -> u64 {
        let clock_ms = self.trusted_ms() + self.limits.lease_ms;
        (clock_ms * 100).div_ceil(100 - CLOCK_DRIFT_PERCENT)
    }
}
