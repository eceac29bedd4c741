//! Tracks which instance of the upstream is the current one, and settles the runs of an
//! instance that has ended.
//!
//! Answers to calls take precedence over announcements: announcements may arrive late, and
//! neither a higher nor a lower start time proves which instance came first.

use {
    super::{
        AnnouncementOutcome, InstanceEnd, LeaseAnswer, Ledger, LossProof, Phase, RunKey,
        WithdrawalOutcome, order_fence::OrderFence,
    },
    crate::contradiction::Contradiction,
    sycamorerail_wire::runs::{InstanceId, NotStarted, RunEvent, UpstreamInstance},
};

impl Ledger {
    /// Returns what the current instance announced.
    #[must_use]
    pub fn announced_instance(&self) -> Option<&UpstreamInstance> {
        self.announced_instance.as_ref()
    }

    /// Returns the id of the upstream's current instance. It may be known before the instance
    /// has announced itself.
    #[must_use]
    pub fn current_instance(&self) -> Option<&InstanceId> {
        self.current_instance.as_ref()
    }

    /// Returns the announcement of the current instance once that instance has answered. It is
    /// recorded for the next run of the agent, together with the fence that the next run has to
    /// exceed.
    #[must_use]
    pub fn proven_instance(&self) -> Option<&UpstreamInstance> {
        self.announced_instance().filter(|_| self.is_fenced())
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.announced_instance.as_ref().is_some_and(|instance| instance.leaving)
    }

    /// Handles an announcement of an upstream instance.
    pub fn handle_announcement(
        &mut self,
        mut instance: UpstreamInstance,
        now_ms: u64,
    ) -> AnnouncementOutcome {
        instance.id = instance.id.or_current(self.current_instance());
        if self.current_instance.as_ref() != Some(&instance.id) && self.renewed_ms.is_some() {
            self.doubted_announcement = Some((instance, now_ms));
            return AnnouncementOutcome::Doubted;
        }
        let is_other_pool =
            |known: &UpstreamInstance| known.id == instance.id && known.pool != instance.pool;
        if self.announced_instance.as_ref().is_some_and(is_other_pool)
            && !self.is_other_pool_believed(&instance.pool, now_ms)
        {
            return AnnouncementOutcome::Ignored;
        }
        self.other_pool = None;
        if self.set_upstream(instance) {
            AnnouncementOutcome::Accepted
        } else {
            AnnouncementOutcome::Unchanged
        }
    }

    /// Whether announcements of the current instance have named only this other pool for long
    /// enough: then the known one came from a foreign writer.
    fn is_other_pool_believed(&mut self, pool: &str, now_ms: u64) -> bool {
        if self.other_pool.as_ref().is_none_or(|(known, _)| known != pool) {
            self.other_pool = Some((pool.to_owned(), Contradiction::begin(now_ms)));
        }
        self.other_pool.as_mut().is_some_and(|(_, row)| row.lasts(now_ms))
    }

    /// Sets the upstream's current instance. Runs on an earlier instance are lost. Returns
    /// whether anything changed.
    pub fn set_upstream(&mut self, mut instance: UpstreamInstance) -> bool {
        if self.current_instance.as_ref() != Some(&instance.id) {
            self.begin_instance(&instance.id);
        }
        self.restore_fence(&instance);
        instance.order_fence = self.fence();
        if self.announced_instance.as_ref() == Some(&instance) {
            return false;
        }
        self.announced_instance = Some(instance);
        if self.is_leaving() {
            self.drop_waiting(NotStarted::Leaving);
        }
        self.drop_unfit();
        true
    }

    fn begin_instance(&mut self, instance: &InstanceId) {
        self.doubted_announcement = None;
        if self.current_instance.is_some() {
            self.end_instance(InstanceEnd::Crashed);
        }
        if self.order_fence.taken_for().is_some_and(|before| before.id != instance.id) {
            // The upstream does not carry out orders for another id.
            self.settle_orphans();
            self.order_fence = OrderFence::default();
        }
        self.run_times = self.run_times.of_next_instance();
        self.failing_percent = 0;
        self.order_fence.note_instance(instance);
        self.current_instance = Some(instance.clone());
    }

    /// Handles the upstream's withdrawal. It names the upstream's id, but not the instance.
    pub fn handle_withdrawal(&mut self, id: &str, now_ms: u64) -> WithdrawalOutcome {
        if self.current_instance.as_ref().is_none_or(|present| present.id != id) {
            return WithdrawalOutcome::Ignored;
        }
        if self.renewed_ms.is_some() {
            self.withdrawn_ms = Some(now_ms);
            return WithdrawalOutcome::Doubted;
        }
        self.end_instance(InstanceEnd::Left);
        WithdrawalOutcome::Accepted
    }

    /// Whether a withdrawal is pending, until an answer of the upstream refutes it.
    #[must_use]
    pub fn has_pending_withdrawal(&self) -> bool {
        self.withdrawn_ms.is_some()
    }

    /// Ends the current instance: what ran on it is lost. An instance that had announced that
    /// it is leaving does not count as crashed.
    ///
    /// Unanswered orders may reach the next instance if that has the same id. They are settled
    /// by its first answer, or when the lease would have lapsed, as it has for one that refused.
    pub fn end_instance(&mut self, how: InstanceEnd) {
        let has_crashed = how != InstanceEnd::Left && !self.is_leaving();
        self.announced_instance = None;
        self.current_instance = None;
        self.has_no_leftovers = false;
        self.upstream_clock = None;
        self.renewed_ms = None;
        self.withdrawn_ms = None;
        self.acknowledged = 0;
        self.leftovers.clear();
        self.orphan_runs(|phase| matches!(phase, Phase::Ordered { .. }), has_crashed);
        self.settle_running(if has_crashed { RunEvent::Crashed } else { RunEvent::Lost });
        self.drop_waiting(NotStarted::NoUpstream);
        if matches!(how, InstanceEnd::Replaced | InstanceEnd::Refused) {
            self.settle_orphans();
        }
        self.refusing_since_ms = None;
        if let Some((instance, _)) = self.doubted_announcement.take() {
            self.set_upstream(instance);
        }
    }

    fn orphan_runs(&mut self, may_be_next: impl Fn(Phase) -> bool, has_crashed: bool) {
        for run in self.runs.values_mut().filter(|run| may_be_next(run.phase)) {
            run.phase = Phase::Orphaned { has_crashed };
        }
    }

    fn settle_running(&mut self, event: RunEvent) {
        let begun = self.runs.iter().filter(|(_, run)| matches!(run.phase, Phase::Running { .. }));
        let keys: Vec<_> = begun.map(|(key, _)| key).collect();
        for key in keys {
            self.settle_lost(key, event, LossProof::InstanceEnded);
        }
    }

    pub(super) fn settle_orphans(&mut self) {
        let orphans = self.runs.iter().filter_map(|(key, run)| Some((key, orphan_end(run.phase)?)));
        let orphans: Vec<(RunKey, RunEvent)> = orphans.collect();
        for (key, event) in orphans {
            self.settle_lost(key, event, LossProof::InstanceEnded);
        }
    }

    /// Handles an answer from an instance other than the current one. Answers to calls sent
    /// before the current instance was known may come from an earlier instance and are ignored.
    pub(super) fn handle_other_instance(&mut self, answer: &LeaseAnswer, now_ms: u64) {
        if self.current_instance.is_none() || answer.sent_ms <= self.current_since_ms {
            return;
        }
        let announced = self.doubted_announcement.take().map(|(instance, _)| instance);
        // Only lists of runs show which instance answers: a start that was confirmed after the
        // last list of the old instance may run in the next one.
        let listed_ms = self.renewed_ms.unwrap_or(0);
        let may_be_next =
            |phase| matches!(phase, Phase::Running { since_ms } if since_ms >= listed_ms);
        self.orphan_runs(may_be_next, !self.is_leaving());
        self.end_instance(InstanceEnd::Crashed);
        self.begin_instance(&answer.instance);
        self.current_since_ms = now_ms;
        self.note_answer(answer, now_ms);
        self.order_fence.take(&answer.instance, answer.clock_ms);
        if let Some(instance) = announced.filter(|instance| instance.id == answer.instance) {
            self.set_upstream(instance);
        }
    }

    /// Drops doubts that are older than the call which the current instance answered: the
    /// message that raised them was late.
    pub(super) fn drop_refuted_doubts(&mut self, answer: &LeaseAnswer) {
        let is_settled = |since_ms: u64| answer.sent_ms > since_ms;
        self.doubted_announcement.take_if(|(_, since_ms)| is_settled(*since_ms));
        self.withdrawn_ms.take_if(|since_ms| is_settled(*since_ms));
    }

    /// Returns the fence that orders carry now.
    #[must_use]
    pub fn fence(&self) -> u64 {
        self.order_fence.number()
    }

    /// Whether the fence was taken for the current instance.
    #[must_use]
    pub fn is_fenced(&self) -> bool {
        self.current_instance.is_some() && self.order_fence.taken_for() == self.current_instance()
    }

    /// Takes a fence for the current instance, using its answer to the call that precedes the
    /// first order.
    pub fn handle_fence_answer(&mut self, answer: &LeaseAnswer, now_ms: u64) {
        if self.current_instance.as_ref() != Some(&answer.instance) {
            return self.handle_other_instance(answer, now_ms);
        }
        if !self.is_fenced() {
            self.current_since_ms = now_ms;
            self.order_fence.take(&answer.instance, answer.clock_ms);
            self.note_fence();
        }
    }

    /// Handles the refusal of a call because its fence was too low.
    pub fn handle_fence_refusal(&mut self, fence: u64, clock_ms: u64) {
        if let Some(present) = &self.current_instance {
            self.order_fence.handle_refusal(fence, present, clock_ms);
            self.note_fence();
        }
    }

    /// Restores the fence that earlier runs of the agent used under the upstream's id. `known`
    /// is the last instance that they recorded.
    pub fn restore_fence(&mut self, known: &UpstreamInstance) {
        if self.current_instance.as_ref().is_none_or(|present| present.id == known.id.id) {
            self.order_fence.restore(&known.id, known.order_fence);
            self.note_fence();
        }
    }

    fn note_fence(&mut self) {
        if let Some(instance) = &mut self.announced_instance {
            instance.order_fence = self.order_fence.number();
        }
    }
}

/// Returns the event for an unanswered order whose instance has ended; `None` in other phases.
pub(super) fn orphan_end(phase: Phase) -> Option<RunEvent> {
    match phase {
        Phase::Orphaned { has_crashed: true } => Some(RunEvent::Crashed),
        Phase::Orphaned { has_crashed: false } => Some(RunEvent::Lost),
        _ => None,
    }
}
