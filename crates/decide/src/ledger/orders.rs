//! Handles the orders of entries: tasks that they place, move ahead, withdraw and stop.

use {
    super::{Ledger, Phase, Rank, Run, RunKey, Stop},
    std::sync::Arc,
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{CallerJobId, NotStarted, RunEvent, StepPlacement, TaskKey},
    },
};

impl Ledger {
    /// Accepts tasks of a job that were read over the connection of this hello, as [`Self::place`]
    /// does, unless a later hello has listed the entry's runs without them.
    pub fn place_over(
        &mut self,
        owner: Incarnation,
        hello: u64,
        placement: StepPlacement,
        now_ms: u64,
    ) {
        let is_overtaken = self.last_hellos.get(&owner).is_some_and(|last| hello < *last);
        let refusal = if is_overtaken {
            Some(NotStarted::Stale)
        } else {
            self.refusal(owner, &placement, now_ms)
        };
        self.accept_step(owner, placement, refusal, now_ms);
    }

    /// Accepts tasks of a job. Tasks that are not accepted are reported as not started.
    ///
    /// Nothing is accepted from an entry that was not heard from lately: after a suspension of
    /// this VM the agent reads old orders whose tasks the entry has placed elsewhere since. Nor is
    /// anything accepted that was placed for another upstream than the present one.
    pub fn place(&mut self, owner: Incarnation, placement: StepPlacement, now_ms: u64) {
        let refusal = self.refusal(owner, &placement, now_ms);
        self.accept_step(owner, placement, refusal, now_ms);
    }

    fn accept_step(
        &mut self,
        owner: Incarnation,
        placement: StepPlacement,
        refusal: Option<NotStarted>,
        now_ms: u64,
    ) {
        let spec: Arc<str> = placement.spec.into();
        let required_label: Option<Arc<str>> = placement.target.required_label.map(Arc::from);
        let objective_ms = now_ms + u64::from(placement.objective_in_ms);
        let shortest_ms = self.run_times.shortest_ms(placement.run_ms);
        let share_from_ms =
            (now_ms + self.limits.share_job_after_ms).saturating_sub(placement.age_ms.into());
        for start in placement.tasks {
            let task = TaskKey { job: placement.job, step: placement.step, index: start.index };
            let run = Run {
                owner,
                task,
                number: start.run,
                spec: Arc::clone(&spec),
                required_label: required_label.clone(),
                need: placement.need,
                run_ms: placement.run_ms,
                give_up_ms: now_ms + u64::from(placement.give_up_in_ms),
                share_from_ms,
                rank: Rank {
                    is_late: false,
                    is_job_mostly_waiting: !placement.job_mostly_started,
                    start_by_ms: objective_ms.saturating_sub(shortest_ms),
                    priority: placement.priority,
                    arrival: self.next_arrival,
                },
                phase: Phase::Waiting,
                stop: None,
                refused_later: None,
                start_reported: false,
                suspect: placement.suspect,
            };
            self.next_arrival += 1;
            self.accept_task(run, refusal, now_ms);
        }
    }

    /// Returns why the agent must not start the tasks, if there is a reason.
    fn refusal(
        &self,
        owner: Incarnation,
        placement: &StepPlacement,
        now_ms: u64,
    ) -> Option<NotStarted> {
        let Some(instance) = &self.announced_instance else { return Some(NotStarted::NoUpstream) };
        if !self.owners.is_fresh(owner, now_ms, self.limits.owner_timeout_ms) {
            Some(NotStarted::Stale)
        } else if !instance.is_target(&placement.target) {
            Some(NotStarted::OtherInstance)
        } else if self.is_leaving() || self.draining {
            Some(NotStarted::Leaving)
        } else if self.is_evacuated {
            Some(NotStarted::Evacuated)
        } else if !instance.capacity.covers(&placement.need) {
            Some(NotStarted::NoRoom)
        } else {
            None
        }
    }

    fn accept_task(&mut self, run: Run, refusal: Option<NotStarted>, now_ms: u64) {
        if refusal != Some(NotStarted::Stale) {
            self.end_earlier_run(&run);
        }
        if let Some(&key) = self.by_task.get(&run.task) {
            let known = &self.runs[key];
            if known.owner != run.owner || !known.has_number(run.number) {
                self.report(&run, RunEvent::NotStarted(NotStarted::Refused));
            }
            return;
        }
        if let Some(why) = refusal {
            return self.report(&run, RunEvent::NotStarted(why));
        }
        let (task, rank) = (run.task, run.rank);
        // A task that was recalled from another agent has arrived there already.
        if run.number == 1 {
            let work_milli_ms = u64::from(run.need.cpu_milli) * u64::from(run.run_ms);
            self.arrivals.record(rank.priority, work_milli_ms, now_ms);
        }
        let key = self.runs.insert(run);
        self.by_task.insert(task, key);
        self.waiting.insert((rank, key));
    }

    /// Ends an earlier run of the task, which its entry counts as over as it orders a later one.
    ///
    /// The later one is refused only once the earlier one is over: the refusal has the task placed
    /// elsewhere.
    fn end_earlier_run(&mut self, later: &Run) {
        let Some(&key) = self.by_task.get(&later.task) else { return };
        let known = &self.runs[key];
        if known.owner != later.owner || known.number >= later.number {
            return;
        }
        self.stop_run(key);
        if let Some(known) = self.runs.get_mut(key) {
            known.refused_later = known.refused_later.max(Some(later.number));
        }
    }

    /// Moves the waiting tasks of an entry's job ahead of others of their priority, because
    /// most of the job has started, and gives them `give_up_in_ms` from now on.
    pub fn prioritise_job(
        &mut self,
        owner: Incarnation,
        job: CallerJobId,
        give_up_in_ms: u32,
        now_ms: u64,
    ) {
        let of_job = |key: RunKey| {
            let run = &self.runs[key];
            run.owner == owner && run.task.job == job
        };
        let waiting: Vec<_> =
            self.waiting.iter().filter(|(_, key)| of_job(*key)).copied().collect();
        for (rank, key) in waiting {
            self.waiting.remove(&(rank, key));
            let run = &mut self.runs[key];
            run.give_up_ms = now_ms + u64::from(give_up_in_ms);
            run.rank = Rank { is_late: false, is_job_mostly_waiting: false, ..rank };
            self.waiting.insert((run.rank, key));
        }
    }

    /// Hands a task back if it still waits.
    pub fn withdraw_task(&mut self, owner: Incarnation, task: TaskKey) {
        let Some(&key) = self.by_task.get(&task) else { return };
        let run = &self.runs[key];
        if run.owner == owner && run.phase == Phase::Waiting {
            self.settle(key, RunEvent::NotStarted(NotStarted::Withdrawn));
        }
    }

    /// Drops the waiting tasks of an entry's job and stops its active runs.
    pub fn stop_job(&mut self, owner: Incarnation, job: CallerJobId) {
        let of_job = |run: &Run| run.owner == owner && run.task.job == job;
        let keys: Vec<_> =
            self.runs.iter().filter(|(_, run)| of_job(run)).map(|(key, _)| key).collect();
        for key in keys {
            self.stop_run(key);
        }
    }

    pub(super) fn stop_run(&mut self, key: RunKey) {
        let owner = self.runs[key].owner;
        if self.runs[key].phase == Phase::Waiting {
            self.settle(key, RunEvent::NotStarted(NotStarted::Withdrawn));
        } else {
            let stop = Stop::new(self.stop_limit_ms(owner));
            self.runs[key].stop.get_or_insert(stop);
        }
    }

    /// Hands back waiting tasks that the upstream cannot run any more, as its whole capacity or its
    /// labels may change while it runs. They would use up the number of tasks that are examined.
    /// Active runs go on; their capacity is freed as they end.
    pub(super) fn drop_unfit(&mut self) {
        let Some(instance) = &self.announced_instance else { return };
        let misfit = |run: &Run| {
            if run.required_label.as_deref().is_some_and(|label| !instance.has_label(label)) {
                Some(NotStarted::OtherInstance)
            } else if !instance.capacity.covers(&run.need) {
                Some(NotStarted::NoRoom)
            } else {
                None
            }
        };
        let unfit =
            self.waiting.iter().filter_map(|&(_, key)| Some((key, misfit(&self.runs[key])?)));
        let unfit: Vec<_> = unfit.collect();
        for (key, why) in unfit {
            self.settle(key, RunEvent::NotStarted(why));
        }
    }
}
