//! Which life of the upstream is the present one, and what ends with a life.
//!
//! What answers calls goes before what is announced: announcements may come late, and
//! neither a higher nor a lower time of start proves which life came first.

use {
    super::{
        Announced, LeaseAnswer, Ledger, LifeEnd, Phase, RunKey, SOUND_PERCENT, Withdrawn,
        order_fence::OrderFence,
    },
    sycamorerail_wire::runs::{InstanceId, NotStarted, RunEvent, UpstreamInstance},
};

impl Ledger {
    /// What the upstream's present life announced.
    #[must_use]
    pub fn life(&self) -> Option<&UpstreamInstance> {
        self.life.as_ref()
    }

    /// The upstream's present life. It may be known before it has announced itself.
    #[must_use]
    pub fn present(&self) -> Option<&InstanceId> {
        self.present.as_ref()
    }

    /// What the present life announced, once it has answered: what the next run of the
    /// agent is to know, with the fence that it has to be above.
    #[must_use]
    pub fn proven_life(&self) -> Option<&UpstreamInstance> {
        self.life().filter(|_| self.is_fenced())
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.life.as_ref().is_some_and(|life| life.leaving)
    }

    /// Takes note of an announcement.
    pub fn announced(&mut self, mut life: UpstreamInstance, now_ms: u64) -> Announced {
        life.id = life.id.or_current(self.present());
        if self.present.as_ref() != Some(&life.id) && self.renewed_ms.is_some() {
            self.doubted = Some((life, now_ms));
            return Announced::Doubted;
        }
        let is_other_pool =
            |known: &UpstreamInstance| known.id == life.id && known.pool != life.pool;
        if self.life.as_ref().is_some_and(is_other_pool) {
            return Announced::Ignored;
        }
        if self.set_upstream(life) { Announced::Believed } else { Announced::Known }
    }

    /// Takes note of the upstream's life. Runs on an earlier life are lost.
    /// Returns whether anything changed.
    pub fn set_upstream(&mut self, mut life: UpstreamInstance) -> bool {
        if self.present.as_ref() != Some(&life.id) {
            self.begin(&life.id);
        }
        self.recall_fence(&life);
        life.order_fence = self.fence();
        if self.life.as_ref() == Some(&life) {
            return false;
        }
        self.life = Some(life);
        if self.is_leaving() {
            self.drop_waiting(NotStarted::Leaving);
        }
        self.drop_too_large();
        true
    }

    fn begin(&mut self, life: &InstanceId) {
        self.doubted = None;
        if self.present.is_some() {
            self.lose_upstream(LifeEnd::Crashed);
        }
        if self.order_fence.taken_at().is_some_and(|before| before.id != life.id) {
            // Orders for another id are not carried out here.
            self.lose_orphans();
            self.order_fence = OrderFence::default();
        }
        self.slowness_percent = SOUND_PERCENT;
        self.failing_percent = 0;
        self.order_fence.learn(life);
        self.present = Some(life.clone());
    }

    /// The upstream says that it is gone, but not which of its lives says so.
    pub fn withdrawn(&mut self, id: &str, now_ms: u64) -> Withdrawn {
        if self.present.as_ref().is_none_or(|present| present.id != id) {
            return Withdrawn::Ignored;
        }
        if self.renewed_ms.is_some() {
            self.withdrawn_ms = Some(now_ms);
            return Withdrawn::Doubted;
        }
        self.lose_upstream(LifeEnd::Left);
        Withdrawn::Believed
    }

    /// Whether a withdrawal waits for an answer that proves it wrong.
    #[must_use]
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn_ms.is_some()
    }

    /// The upstream's life is over: what ran on it is lost. One that had said that it leaves
    /// has not crashed.
    ///
    /// Orders without an answer may reach the next life, if that has the same id: they are
    /// settled by its first answer, or when the lease would have lapsed.
    pub fn lose_upstream(&mut self, how: LifeEnd) {
        let has_crashed = how != LifeEnd::Left && !self.is_leaving();
        self.life = None;
        self.present = None;
        self.clean = false;
        self.clock = None;
        self.renewed_ms = None;
        self.withdrawn_ms = None;
        self.acknowledged = 0;
        self.leftovers.clear();
        self.orphan(|phase| matches!(phase, Phase::Ordered { .. }), has_crashed);
        self.lose_begun(if has_crashed { RunEvent::Crashed } else { RunEvent::Lost });
        self.drop_waiting(NotStarted::NoUpstream);
        if how == LifeEnd::Replaced {
            self.lose_orphans();
        }
        if let Some((life, _)) = self.doubted.take() {
            self.set_upstream(life);
        }
    }

    fn orphan(&mut self, may_be_next: impl Fn(Phase) -> bool, has_crashed: bool) {
        for run in self.runs.values_mut().filter(|run| may_be_next(run.phase)) {
            run.phase = Phase::Orphaned { has_crashed };
        }
    }

    fn lose_begun(&mut self, event: RunEvent) {
        let begun = self.runs.iter().filter(|(_, run)| matches!(run.phase, Phase::Running { .. }));
        let keys: Vec<_> = begun.map(|(key, _)| key).collect();
        for key in keys {
            self.settle(key, event);
        }
    }

    pub(super) fn lose_orphans(&mut self) {
        let orphans = self.runs.iter().filter_map(|(key, run)| Some((key, orphan_end(run.phase)?)));
        let orphans: Vec<(RunKey, RunEvent)> = orphans.collect();
        for (key, event) in orphans {
            self.settle(key, event);
        }
    }

    /// Another life answered than the present one. Answers to calls that were sent before
    /// the present one was known may be older than it.
    pub(super) fn answered_by_other(&mut self, answer: &LeaseAnswer, now_ms: u64) {
        if self.present.is_none() || answer.sent_ms <= self.present_since_ms {
            return;
        }
        let announced = self.doubted.take().map(|(life, _)| life);
        // Only the lists of runs tell which life answers: a start that was answered after
        // the last list of the old life may run in the next one.
        let listed_ms = self.renewed_ms.unwrap_or(0);
        let may_be_next =
            |phase| matches!(phase, Phase::Running { since_ms } if since_ms >= listed_ms);
        self.orphan(may_be_next, !self.is_leaving());
        self.lose_upstream(LifeEnd::Crashed);
        self.begin(&answer.life);
        self.present_since_ms = now_ms;
        self.note_answer(answer, now_ms);
        self.order_fence.take(&answer.life, answer.clock_ms);
        if let Some(life) = announced.filter(|life| life.id == answer.life) {
            self.set_upstream(life);
        }
    }

    /// The present life answered: what contradicted it before the call was late.
    pub(super) fn drop_doubts(&mut self, answer: &LeaseAnswer) {
        let is_settled = |since_ms: u64| answer.sent_ms > since_ms;
        self.doubted.take_if(|(_, since_ms)| is_settled(*since_ms));
        self.withdrawn_ms.take_if(|since_ms| is_settled(*since_ms));
    }

    /// The fence that orders carry now.
    #[must_use]
    pub fn fence(&self) -> u64 {
        self.order_fence.number()
    }

    /// Whether the fence was taken for the present life.
    #[must_use]
    pub fn is_fenced(&self) -> bool {
        self.present.is_some() && self.order_fence.taken_at() == self.present()
    }

    /// Takes a fence for the present life by its answer to a call before the first order.
    pub fn fence_off(&mut self, answer: &LeaseAnswer, now_ms: u64) {
        if self.present.as_ref() != Some(&answer.life) {
            return self.answered_by_other(answer, now_ms);
        }
        if !self.is_fenced() {
            self.present_since_ms = now_ms;
            self.order_fence.take(&answer.life, answer.clock_ms);
            self.note_fence();
        }
    }

    /// A call with this fence was refused for it.
    pub fn fence_refused(&mut self, fence: u64, clock_ms: u64) {
        if let Some(present) = &self.present {
            self.order_fence.refused(fence, present, clock_ms);
            self.note_fence();
        }
    }

    /// Takes note of the fence that earlier runs of the agent had under the upstream's id,
    /// as it is known by the life that they knew last.
    pub fn recall_fence(&mut self, known: &UpstreamInstance) {
        if self.present.as_ref().is_none_or(|present| present.id == known.id.id) {
            self.order_fence.recall(&known.id, known.order_fence);
            self.note_fence();
        }
    }

    fn note_fence(&mut self) {
        if let Some(life) = &mut self.life {
            life.order_fence = self.order_fence.number();
        }
    }
}

/// How an order without an answer ends, whose life is over.
pub(super) fn orphan_end(phase: Phase) -> Option<RunEvent> {
    match phase {
        Phase::Orphaned { has_crashed: true } => Some(RunEvent::Crashed),
        Phase::Orphaned { has_crashed: false } => Some(RunEvent::Lost),
        _ => None,
    }
}
