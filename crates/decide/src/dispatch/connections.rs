//! Agents that connect, report, fall silent and reconnect.

use {
    super::{
        AgentKey, AgentView, Command, Dispatch, LossCause, PoolView, RunLoss, RunOver, StrayRun,
        agents::EarlierRuns,
    },
    crate::rendezvous::weight,
    std::collections::BTreeSet,
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{
            CallerJobId, Resources, RunEvent, RunReport, StepPlacement, TaskKey, UpstreamInstance,
            UpstreamLoad,
        },
    },
};

/// Time after connecting within which an agent's upstream is expected to become usable: upstreams
/// announce themselves about every 1.5 s.
const CONNECT_TO_USABLE_MS: u64 = 2_000;
/// Divisor of the number of usable agents: agents that are about to become usable count once they
/// are at least this part.
const RECOVERING_DIVISOR: usize = 4;

impl Dispatch {
    /// Number of agents that accept work.
    #[must_use]
    pub fn usable_agents(&self, now_ms: u64) -> usize {
        let usable = |agent: &&AgentView| agent.is_usable(now_ms, self.limits.suspect_ms);
        self.agents.values().filter(usable).count()
    }

    /// Whether many agents have just connected and will soon be usable.
    ///
    /// Covers the first second after all programs were killed: jobs that wait for the first few
    /// upstreams would be refused, although nearly all upstreams come a moment later.
    pub(super) fn is_recovering(&self, now_ms: u64) -> bool {
        let is_becoming_usable =
            |agent: &&AgentView| agent.is_becoming_usable(now_ms, CONNECT_TO_USABLE_MS);
        let coming = self.agents.values().filter(is_becoming_usable).count();
        coming > 0 && coming * RECOVERING_DIVISOR >= self.usable_agents(now_ms)
    }

    /// Handles a report of an agent.
    pub fn handle_report(
        &mut self,
        agent: AgentKey,
        reports: &[RunReport],
        load: UpstreamLoad,
        heard: u64,
        now_ms: u64,
    ) {
        let Some(view) = self.agents.get_mut(agent) else { return };
        view.set_load(load, heard, now_ms);
        let incarnation = view.process.incarnation;
        // A restarted agent reports itself as usable only when no run of its earlier process is
        // left.
        if load.usable
            && let Some(earlier) = view.earlier_runs.take()
        {
            let is_lost = |task, run| earlier.contains(task, run).then_some(LossCause::Restarted);
            self.mark_runs_lost(agent, is_lost, now_ms);
        }
        self.apply_reports(agent, incarnation, reports, now_ms);
        self.place_unplaced(now_ms);
        self.recall_for(agent, now_ms);
    }

    /// Records that a message of an agent has arrived.
    pub fn agent_heard(&mut self, key: AgentKey, message: &'static str, now_ms: u64) {
        if let Some(view) = self.agents.get_mut(key) {
            view.note_heard(now_ms);
            view.last_message = message;
        }
    }

    /// Records that this entry stood still until now. Messages that arrived meanwhile are still
    /// to be read, and whatever stopped this entry may have stopped the agents, too. So the stall
    /// shows nothing about them, and puts off what counts as lost after a time, once for the
    /// longest stall in that time.
    pub fn note_stall(&mut self, stall_ms: u64, now_ms: u64) {
        for view in self.agents.values_mut() {
            view.note_stall(stall_ms, now_ms);
        }
    }

    pub(super) fn lose_silent_agents(&mut self, now_ms: u64) {
        let lost_ms = self.limits.lost_ms;
        let is_silent = |agent: &&AgentView| agent.observed_silence_ms(now_ms) >= lost_ms;
        let silent: Vec<_> =
            self.agents.values().filter(is_silent).map(|agent| agent.key).collect();
        for key in silent {
            if let Some(view) = self.agents.get_mut(key) {
                view.earlier_runs = None;
            }
            self.mark_runs_lost(key, |_, _| Some(LossCause::Silent), now_ms);
        }
    }

    /// Marks the runs as lost that earlier processes of agents have left, once they have
    /// certainly ended.
    pub(super) fn lose_earlier_runs(&mut self, now_ms: u64) {
        let is_over = |earlier: &mut EarlierRuns| earlier.are_over(now_ms);
        let over = self
            .agents
            .values_mut()
            .filter_map(|agent| Some((agent.key, agent.earlier_runs.take_if(is_over)?)));
        let over: Vec<_> = over.collect();
        for (key, earlier) in over {
            let is_lost = |task, run| earlier.contains(task, run).then_some(LossCause::Restarted);
            self.mark_runs_lost(key, is_lost, now_ms);
        }
    }

    /// Marks those tasks at an agent as lost for which there is a cause.
    fn mark_runs_lost(
        &mut self,
        agent: AgentKey,
        cause_of: impl Fn(TaskKey, u32) -> Option<LossCause>,
        now_ms: u64,
    ) {
        let Some(view) = self.agents.get(agent) else { return };
        let silent_ms = now_ms.saturating_sub(view.last_heard_ms);
        let (stalled_ms, last_message) = (view.stalled_ms, view.last_message);
        let hello = view.process.last_hello;
        let here = self.jobs.values().flat_map(|job| job.tasks_at(agent));
        let lost: Vec<_> =
            here.filter_map(|(task, run)| Some((task, run, cause_of(task, run)?))).collect();
        for (task, run, cause) in lost {
            self.losses.push(RunLoss {
                agent,
                task,
                run,
                cause,
                last_message,
                hello,
                silent_ms,
                stalled_ms,
            });
            self.lose_run(agent, task, run, cause, now_ms);
        }
    }

    /// The last run of a task that is over, and what shows it, for the log of its next one.
    #[must_use]
    pub fn last_over(&self, task: TaskKey) -> Option<(u32, RunOver)> {
        let job = self.jobs.get(self.find_job(task.job)?)?;
        job.tasks.get(usize::from(task.step))?.get(usize::from(task.index))?.last_over
    }

    /// Applies the reports that an agent sends again on reconnecting. Call it before the runs
    /// that the agent still holds are compared.
    pub fn apply_resent_reports(
        &mut self,
        name: &str,
        incarnation: Incarnation,
        reports: &[RunReport],
        now_ms: u64,
    ) {
        let Some(&key) = self.by_name.get(name) else { return };
        self.apply_reports(key, incarnation, reports, now_ms);
    }

    /// Applies the new ones among the reports of the current process of an agent, or the previous
    /// one.
    fn apply_reports(
        &mut self,
        agent: AgentKey,
        incarnation: Incarnation,
        reports: &[RunReport],
        now_ms: u64,
    ) {
        for report in reports {
            let view = self.agents.get_mut(agent);
            let process = view.and_then(|view| view.process_of_mut(incarnation));
            if !process.is_some_and(|process| process.take_report(report.number)) {
                continue;
            }
            let is_wanted = self.is_wanted(agent, report.task, report.run);
            if report.event == RunEvent::Started && !is_wanted {
                self.stop_stray(agent, report.task, report.run);
            }
            self.apply_run_event(agent, report.task, report.run, report.event, now_ms);
        }
    }

    /// Whether a later hello of the same incarnation of the agent has arrived before this one. The
    /// agent has given the connection up then, and the hello does not list the runs placed since.
    #[must_use]
    pub fn is_hello_overtaken(&self, name: &str, incarnation: Incarnation, number: u64) -> bool {
        let view = self.by_name.get(name).and_then(|key| self.agents.get(*key));
        let process = view.and_then(|view| view.process_of(incarnation));
        process.is_some_and(|process| number < process.last_hello)
    }

    /// Records the number of the hello of an agent's current connection.
    pub fn set_hello(&mut self, key: AgentKey, number: u64) {
        if let Some(view) = self.agents.get_mut(key) {
            view.process.last_hello = number;
        }
    }

    /// Registers an agent that has connected. `held` are the runs of this entry that the agent
    /// still has, if it knows this incarnation of the entry. They tell nothing of runs that an
    /// earlier process of the agent left. Placements that have not been taken are lost with the
    /// connection before.
    pub fn agent_connected(
        &mut self,
        name: &str,
        incarnation: Incarnation,
        held: Option<&[(TaskKey, u32)]>,
        now_ms: u64,
    ) -> AgentKey {
        let Some(&key) = self.by_name.get(name) else {
            let rank = weight(&self.entry.to_string(), name);
            let key = self.agents.insert_with_key(|key| {
                AgentView::new(key, name.to_owned(), rank, incarnation, now_ms)
            });
            self.by_name.insert(name.to_owned(), key);
            return key;
        };
        let unsent = self.drop_placements(key);
        // Before lost runs are placed again, perhaps here: a stop is for all runs of a job.
        self.stop_unwanted_runs(key, held.unwrap_or_default());
        // What was sent may be lost with the connection before.
        self.jobs.values_mut().for_each(|job| job.forget_messages_to(key));
        let view = &mut self.agents[key];
        if view.process.incarnation != incarnation {
            let earlier_runs = EarlierRuns {
                since_ms: now_ms,
                over_after_ms: self.limits.lost_ms,
                stalled_ms: 0,
                held: held.map_or_else(Vec::new, <[_]>::to_vec),
            };
            view.change_process(incarnation, earlier_runs);
        } else {
            let held = held.filter(|_| view.earlier_runs.is_none());
            let cause_of = |task, run| match held {
                Some(held) if held.contains(&(task, run)) => None,
                _ if unsent.contains(&(task, run)) => Some(LossCause::NotSent),
                held => held.map(|_| LossCause::NotHeld),
            };
            self.mark_runs_lost(key, cause_of, now_ms);
        }
        key
    }

    /// Drops the placements at an agent that have not been taken, and returns their runs. No list
    /// of runs that the agent holds can name them: over the next connection they would start and be
    /// taken for lost.
    fn drop_placements(&mut self, agent: AgentKey) -> Vec<(TaskKey, u32)> {
        let mut runs = Vec::new();
        self.commands.retain(|command| match command {
            Command::Place(at, placement) if *at == agent => {
                let task = |index| TaskKey { job: placement.job, step: placement.step, index };
                runs.extend(placement.tasks.iter().map(|start| (task(start.index), start.run)));
                false
            }
            _ => true,
        });
        runs
    }

    /// Stops the jobs of runs that the agent still holds and that are not wanted there: the job has
    /// ended or is being ended, as a stop is lost with the connection that carried it, or the task
    /// has been placed elsewhere since, or is one of an earlier submission.
    fn stop_unwanted_runs(&mut self, agent: AgentKey, held: &[(TaskKey, u32)]) {
        let is_unwanted = |&&(task, run): &&_| !self.is_wanted(agent, task, run);
        let unwanted: Vec<_> = held.iter().filter(is_unwanted).copied().collect();
        let strays = unwanted.iter().filter(|(task, _)| self.is_open(task.job));
        let strays: Vec<_> = strays.map(|&(task, run)| StrayRun { agent, task, run }).collect();
        self.strays.extend(strays);
        let jobs: BTreeSet<_> = unwanted.into_iter().map(|(task, _)| task.job).collect();
        self.commands.extend(jobs.into_iter().map(|job| Command::Stop(agent, job)));
    }

    fn is_open(&self, job: CallerJobId) -> bool {
        let job = self.find_job(job).and_then(|key| self.jobs.get(key));
        job.is_some_and(|job| job.ending.is_none())
    }

    /// Whether a run at an agent is the one by which this entry wants the task done.
    fn is_wanted(&self, agent: AgentKey, task: TaskKey, run: u32) -> bool {
        let job = self.find_job(task.job).and_then(|key| self.jobs.get(key));
        job.is_some_and(|job| job.ending.is_none() && job.is_placed_at(task, run, agent))
    }

    /// Stops the job of a run that its agent reports as started and that is not wanted there: its
    /// task counts as lost there, and may have been placed again, or its job has ended since.
    fn stop_stray(&mut self, agent: AgentKey, task: TaskKey, run: u32) {
        if self.is_open(task.job) {
            self.strays.push(StrayRun { agent, task, run });
        }
        self.commands.push(Command::Stop(agent, task.job));
    }

    /// Puts the connection of [`Self::agent_connected`] to use.
    pub fn agent_ready(&mut self, key: AgentKey, now_ms: u64) {
        if let Some(view) = self.agents.get_mut(key) {
            view.reconnect(now_ms);
        }
    }

    /// Records that an agent's connection has ended.
    pub fn agent_disconnected(&mut self, key: AgentKey) {
        if let Some(view) = self.agents.get_mut(key) {
            view.connected = false;
        }
    }

    /// Records that an agent is about to close its connection; nothing more is placed there.
    pub fn agent_unlinks(&mut self, key: AgentKey) {
        if let Some(view) = self.agents.get_mut(key) {
            view.is_disconnecting = true;
        }
    }

    /// Sets the upstream instance that an agent reports.
    pub fn set_instance(&mut self, key: AgentKey, instance: UpstreamInstance) {
        let capacity = instance.capacity;
        if let Some(view) = self.agents.get_mut(key) {
            view.instance = Some(instance);
            self.raise_largest_capacity(key, capacity);
        }
    }

    /// Sets how much longer an agent's upstream is slow after its start; 0 if it is not.
    pub fn set_cold(&mut self, key: AgentKey, left_ms: u32, now_ms: u64) {
        if let Some(view) = self.agents.get_mut(key) {
            view.cold_until_ms = (left_ms > 0).then(|| now_ms + u64::from(left_ms));
        }
    }

    /// Ends the cold start of upstreams whose time is up.
    pub(super) fn end_cold_starts(&mut self, now_ms: u64) {
        for view in self.agents.values_mut() {
            view.cold_until_ms.take_if(|until_ms| now_ms >= *until_ms);
        }
    }

    /// Raises the largest capacity known of an upstream in the agent's pool, at this entry or
    /// another.
    pub fn raise_largest_capacity(&mut self, key: AgentKey, room: Resources) {
        let instance = self.agents.get(key).and_then(|view| view.instance.as_ref());
        let Some(instance) = instance else { return };
        let known = self.largest_capacities.entry(instance.pool.clone()).or_default();
        *known = known.max_of_each(&room);
    }

    /// Returns this entry's view of an agent's pool.
    #[must_use]
    pub fn pool_view(&self, key: AgentKey) -> PoolView {
        let Some(instance) = self.instance(key) else { return PoolView::default() };
        let is_of_pool = |agent: &&AgentView| {
            agent.is_linked()
                && agent.instance.as_ref().is_some_and(|other| other.pool == instance.pool)
        };
        let agents = self.agents.values().filter(is_of_pool).count();
        PoolView {
            agents: u32::try_from(agents).unwrap_or(u32::MAX),
            largest: self.largest_capacities.get(&instance.pool).copied().unwrap_or_default(),
        }
    }

    /// Name of an agent, and the time since its last message in milliseconds.
    #[must_use]
    pub fn agent_silence(&self, key: AgentKey, now_ms: u64) -> Option<(&str, u64)> {
        let view = self.agents.get(key)?;
        Some((&view.name, now_ms.saturating_sub(view.last_heard_ms)))
    }

    /// The last instance that an agent has reported of its upstream.
    #[must_use]
    pub fn instance(&self, key: AgentKey) -> Option<&UpstreamInstance> {
        self.agents.get(key)?.instance.as_ref()
    }

    /// Counts a message to an agent, with the tasks that it places there.
    pub fn message_sent(&mut self, key: AgentKey, placed: Option<&StepPlacement>, now_ms: u64) {
        let Some(view) = self.agents.get_mut(key) else { return };
        let message = view.acks.record_sent(now_ms);
        if let Some(placed) = placed {
            let count = u32::try_from(placed.tasks.len()).unwrap_or(u32::MAX);
            view.record_placement(message, &placed.need, count, placed.run_ms);
        }
    }

    /// Removes agents that have been disconnected for so long that nothing of theirs matters any
    /// more.
    pub fn forget_agents(&mut self, now_ms: u64, after_ms: u64) {
        let gone = self
            .agents
            .values()
            .filter(|agent| !agent.connected && now_ms >= agent.last_heard_ms + after_ms);
        let gone: Vec<_> = gone.map(|agent| (agent.key, agent.name.clone())).collect();
        for (key, name) in gone {
            self.mark_runs_lost(key, |_, _| Some(LossCause::Forgotten), now_ms);
            self.agents.remove(key);
            self.by_name.remove(&name);
        }
    }
}
