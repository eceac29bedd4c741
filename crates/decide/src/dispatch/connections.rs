//! Agents that connect, report, fall silent and come back.

use {
    super::{AgentKey, AgentView, Command, Dispatch, PoolView},
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

/// An agent whose upstream is not usable this long after it connected is not counted on:
/// upstreams announce themselves about every 1.5 s.
const RECOVERY_MS: u64 = 2_000;
/// Agents that are to be usable soon matter from this part of the usable ones on.
const RECOVERY_PART: usize = 4;

impl Dispatch {
    /// Agents that take work now.
    #[must_use]
    pub fn usable_agents(&self, now_ms: u64) -> usize {
        let usable = |agent: &&AgentView| agent.is_usable(now_ms, self.limits.suspect_ms);
        self.agents.values().filter(usable).count()
    }

    /// Whether many agents have just connected and will be usable soon.
    ///
    /// It answers the first second after all programs were killed: what waits for the
    /// first upstreams then would be refused, and nearly all upstreams come later.
    pub(super) fn is_recovering(&self, now_ms: u64) -> bool {
        let is_coming = |agent: &&AgentView| agent.is_coming(now_ms, RECOVERY_MS);
        let coming = self.agents.values().filter(is_coming).count();
        coming > 0 && coming * RECOVERY_PART >= self.usable_agents(now_ms)
    }

    /// Takes a report of an agent.
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
        if load.usable && view.old_runs_until_ms.take().is_some() {
            // It says so only when nothing of its earlier run is left.
            self.lose_runs(agent, |_, _| true, now_ms);
        }
        for report in reports {
            self.apply(agent, report.task, report.run, report.event, now_ms);
        }
        self.place_waiting(now_ms);
        self.recall_for(agent, now_ms);
    }

    pub(super) fn lose_silent(&mut self, now_ms: u64) {
        let lost_ms = self.limits.lost_ms;
        let is_lost = |agent: &&AgentView| {
            now_ms >= agent.heard_ms + lost_ms
                || agent.old_runs_until_ms.is_some_and(|until_ms| now_ms >= until_ms)
        };
        let lost: Vec<_> = self.agents.values().filter(is_lost).map(|agent| agent.key).collect();
        for key in lost {
            if let Some(view) = self.agents.get_mut(key) {
                view.old_runs_until_ms = None;
            }
            self.lose_runs(key, |_, _| true, now_ms);
        }
    }

    /// Declares the tasks at an agent lost that `is_lost` picks.
    fn lose_runs(&mut self, agent: AgentKey, is_lost: impl Fn(TaskKey, u32) -> bool, now_ms: u64) {
        let here = self.jobs.values().flat_map(|job| job.tasks_at(agent));
        let lost: Vec<_> = here.filter(|&(task, run)| is_lost(task, run)).collect();
        for (task, run) in lost {
            self.apply(agent, task, run, RunEvent::Lost, now_ms);
        }
    }

    /// Takes reports that an agent sends again as it connects anew, before what
    /// it still holds is compared.
    pub fn apply_resent_reports(
        &mut self,
        name: &str,
        incarnation: Incarnation,
        reports: &[RunReport],
        now_ms: u64,
    ) {
        let Some(&key) = self.by_name.get(name) else { return };
        if self.agents[key].incarnation != incarnation {
            return;
        }
        for report in reports {
            self.apply(key, report.task, report.run, report.event, now_ms);
        }
    }

    /// An agent has connected. `held` are the runs of ours that it still has, if
    /// it has heard this run of ours before.
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
        let view = &mut self.agents[key];
        let restarted = view.incarnation != incarnation;
        view.incarnation = incarnation;
        if restarted {
            view.old_runs_until_ms = Some(now_ms + self.limits.lost_ms);
        } else if let Some(held) = held {
            self.lose_runs(key, |task, run| !held.contains(&(task, run)), now_ms);
            self.stop_what_is_over(key, held);
        }
        key
    }

    /// Stops what an agent holds of jobs that are over or being ended: a stop is lost with
    /// the connection that carried it.
    fn stop_what_is_over(&mut self, agent: AgentKey, held: &[(TaskKey, u32)]) {
        let jobs: BTreeSet<_> = held.iter().map(|(task, _)| task.job).collect();
        let is_open = |job: &CallerJobId| {
            let job = self.find_job(*job).and_then(|key| self.jobs.get(key));
            job.is_some_and(|job| job.ending.is_none())
        };
        let over = jobs.into_iter().filter(|job| !is_open(job));
        let stops: Vec<_> = over.map(|job| Command::Stop(agent, job)).collect();
        self.commands.extend(stops);
    }

    /// The connection of [`Self::agent_connected`] is in use from now on.
    pub fn agent_ready(&mut self, key: AgentKey, now_ms: u64) {
        if let Some(view) = self.agents.get_mut(key) {
            view.reconnect(now_ms);
        }
    }

    /// An agent's connection has ended.
    pub fn agent_disconnected(&mut self, key: AgentKey) {
        if let Some(view) = self.agents.get_mut(key) {
            view.connected = false;
        }
    }

    /// An agent means to end its connection: nothing more is placed there.
    pub fn agent_unlinks(&mut self, key: AgentKey) {
        if let Some(view) = self.agents.get_mut(key) {
            view.is_unlinking = true;
        }
    }

    /// An agent tells its upstream's life.
    pub fn set_life(&mut self, key: AgentKey, life: UpstreamInstance) {
        let capacity = life.capacity;
        if let Some(view) = self.agents.get_mut(key) {
            view.life = Some(life);
            self.raise_largest_capacity(key, capacity);
        }
    }

    /// An agent's upstream is slow after its start for so much longer; 0 where it is not.
    pub fn set_cold(&mut self, key: AgentKey, left_ms: u32, now_ms: u64) {
        if let Some(view) = self.agents.get_mut(key) {
            view.cold_until_ms = (left_ms > 0).then(|| now_ms + u64::from(left_ms));
        }
    }

    /// Takes note of upstreams that are as fast as others by now.
    pub(super) fn warm_up(&mut self, now_ms: u64) {
        for view in self.agents.values_mut() {
            view.cold_until_ms.take_if(|until_ms| now_ms >= *until_ms);
        }
    }

    /// Some upstream of an agent's pool has so much, here or elsewhere.
    pub fn raise_largest_capacity(&mut self, key: AgentKey, room: Resources) {
        let life = self.agents.get(key).and_then(|view| view.life.as_ref());
        let Some(life) = life else { return };
        let known = self.largest.entry(life.pool.clone()).or_default();
        *known = known.max_of_each(&room);
    }

    /// What this entry has of an agent's pool.
    #[must_use]
    pub fn pool_view(&self, key: AgentKey) -> PoolView {
        let Some(life) = self.life(key) else { return PoolView::default() };
        let is_of_pool = |agent: &&AgentView| {
            agent.is_linked() && agent.life.as_ref().is_some_and(|other| other.pool == life.pool)
        };
        let agents = self.agents.values().filter(is_of_pool).count();
        PoolView {
            agents: u32::try_from(agents).unwrap_or(u32::MAX),
            largest: self.largest.get(&life.pool).copied().unwrap_or_default(),
        }
    }

    /// The last known life of an agent's upstream.
    #[must_use]
    pub fn life(&self, key: AgentKey) -> Option<&UpstreamInstance> {
        self.agents.get(key)?.life.as_ref()
    }

    /// Counts a message to an agent, and what it places there.
    pub fn message_sent(&mut self, key: AgentKey, placed: Option<&StepPlacement>, now_ms: u64) {
        let Some(view) = self.agents.get_mut(key) else { return };
        let message = view.echo.sent(now_ms);
        if let Some(placed) = placed {
            let count = u32::try_from(placed.tasks.len()).unwrap_or(u32::MAX);
            view.sent(message, &placed.need, count, placed.run_ms);
        }
    }

    /// Forgets agents that are gone for so long that nothing of theirs matters.
    pub fn forget_agents(&mut self, now_ms: u64, after_ms: u64) {
        let gone = self
            .agents
            .values()
            .filter(|agent| !agent.connected && now_ms >= agent.heard_ms + after_ms);
        let gone: Vec<_> = gone.map(|agent| (agent.key, agent.name.clone())).collect();
        for (key, name) in gone {
            self.lose_runs(key, |_, _| true, now_ms);
            self.agents.remove(key);
            self.by_name.remove(&name);
        }
    }
}
