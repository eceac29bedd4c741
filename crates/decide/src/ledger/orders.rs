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
    /// Accepts tasks of a job. Tasks that are not accepted are reported as not started.
    ///
    /// Nothing is accepted from an entry that was not heard from lately: after a suspension of
    /// this VM the agent reads old orders whose tasks the entry has placed elsewhere since.
    pub fn place(&mut self, owner: Incarnation, placement: StepPlacement, now_ms: u64) {
        let spec: Arc<str> = placement.spec.into();
        let objective_ms = now_ms + u64::from(placement.objective_in_ms);
        let is_fresh = self.owners.is_fresh(owner, now_ms, self.limits.owner_timeout_ms);
        let shortest_ms = self.run_times.shortest_ms(placement.run_ms);
        for start in placement.tasks {
            let task = TaskKey { job: placement.job, step: placement.step, index: start.index };
            let run = Run {
                owner,
                task,
                number: start.run,
                spec: Arc::clone(&spec),
                need: placement.need,
                run_ms: placement.run_ms,
                give_up_ms: now_ms + u64::from(placement.give_up_in_ms),
                rank: Rank {
                    is_late: false,
                    is_job_mostly_waiting: !placement.job_mostly_started,
                    start_by_ms: objective_ms.saturating_sub(shortest_ms),
                    priority: placement.priority,
                    arrival: self.next_arrival,
                },
                phase: Phase::Waiting,
                stop: None,
                start_reported: false,
                suspect: placement.suspect,
            };
            self.next_arrival += 1;
            self.accept_task(run, is_fresh, now_ms);
        }
    }

    fn accept_task(&mut self, run: Run, is_fresh: bool, now_ms: u64) {
        if let Some(&key) = self.by_task.get(&run.task) {
            let known = &self.runs[key];
            if known.owner != run.owner || known.number != run.number {
                self.report(&run, RunEvent::NotStarted(NotStarted::Refused));
            }
            return;
        }
        let refusal = match &self.announced_instance {
            None => Some(NotStarted::NoUpstream),
            Some(_) if !is_fresh => Some(NotStarted::Stale),
            Some(_) if self.is_leaving() || self.draining => Some(NotStarted::Leaving),
            Some(_) if self.is_evacuated => Some(NotStarted::Evacuated),
            Some(instance) if !instance.capacity.covers(&run.need) => Some(NotStarted::NoRoom),
            Some(_) => None,
        };
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

    /// Hands back waiting tasks that need more than the upstream's whole capacity, which may
    /// change while it runs. They could never start, and would use up the number of tasks that
    /// are examined. Active runs go on; their capacity is freed as they end.
    pub(super) fn drop_too_large(&mut self) {
        let Some(capacity) = self.announced_instance.as_ref().map(|instance| instance.capacity)
        else {
            return;
        };
        let is_too_large = |key: &RunKey| !capacity.covers(&self.runs[*key].need);
        let keys: Vec<_> = self.waiting.iter().map(|&(_, key)| key).filter(is_too_large).collect();
        for key in keys {
            self.settle(key, RunEvent::NotStarted(NotStarted::NoRoom));
        }
    }
}
