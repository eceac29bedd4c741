//! Callers and entries of a model.

use {
    super::{BALANCED_AFTER, ENTRY_TICK, Event, HEARTBEAT_INTERVAL, Link, World},
    crate::policy::{
        agent::ModelAgent,
        clock::{MS, Micros, millis},
        tally::{End, Ended, Note},
    },
    rand::Rng,
    sycamorerail_decide::dispatch::{AgentKey, Command, JobAnswer, PoolView},
    sycamorerail_wire::runs::{FromRunsAgent, ToRunsAgent},
};

impl World<'_> {
    pub(super) fn arrives(&mut self, number: usize) {
        let job = &self.jobs[number];
        let Some(entry) = self.entry_for(job.entry) else {
            return self.ended(number, End::Lost);
        };
        let cpu_milli = self.settings.kinds[job.kind].cpu_milli;
        let submitted = self.entries[entry].submit(number, job, &self.kinds[job.kind], cpu_milli);
        if let Err(answer) = submitted {
            let free_tasks = |agent: &ModelAgent| {
                let load = agent.ledger.load(millis(self.clock.now()));
                let is_free = load.usable && load.waiting == 0;
                if is_free { load.capacity.minus(&load.taken).cpu_milli / cpu_milli } else { 0 }
            };
            let free: u32 = self.agents.iter().map(free_tasks).sum();
            self.notes[number].was_free = free as usize >= job.run_micros.len();
            self.answered(number, answer);
        }
        self.carry_out(entry);
    }

    /// The entry that a caller reaches: its own, or another one once the load balancer has removed
    /// it.
    pub(super) fn entry_for(&self, own: usize) -> Option<usize> {
        if self.entries[own].is_up {
            return Some(own);
        }
        let is_out = self.clock.now() >= self.lost_at[own] + BALANCED_AFTER;
        let up = self.entries.iter().position(|entry| entry.is_up);
        up.filter(|_| is_out)
    }

    pub(super) fn ended(&mut self, job: usize, end: End) {
        let after = self.clock.now() - self.jobs[job].at;
        self.ends[job].get_or_insert(Ended { end, after });
    }

    pub(super) fn answered(&mut self, number: usize, answer: JobAnswer) {
        if let JobAnswer::NotRun { retry_after_ms, .. } = answer
            && self.will_return(number)
        {
            let delay = Micros::from(retry_after_ms) * MS;
            return self.clock.after(delay, Event::Returns(number));
        }
        let (job, now) = (&self.jobs[number], self.clock.now());
        let end = match answer {
            JobAnswer::Completed if now <= job.in_time_until() => End::InTime,
            JobAnswer::Completed if now <= job.useful_until() => End::Late,
            JobAnswer::NotRun { .. } => End::Refused,
            JobAnswer::Completed | JobAnswer::Unknown { .. } => End::GivenUp,
            JobAnswer::Failed => End::Failed,
        };
        self.ended(number, end);
    }

    /// Whether a refused job is submitted again.
    fn will_return(&mut self, number: usize) -> bool {
        let share = self.settings.kinds[self.jobs[number].kind].returning;
        let is_first = self.notes[number].returned_at.is_none();
        is_first && share > 0.0 && self.rng.random::<f64>() < share
    }

    pub(super) fn returns(&mut self, number: usize) {
        let sticky = self.settings.kinds[self.jobs[number].kind].sticky;
        let now = self.clock.now();
        let job = &mut self.jobs[number];
        job.at = now;
        if self.rng.random::<f64>() >= sticky {
            job.entry = self.rng.random_range(0..self.entries.len());
        }
        self.notes[number] = Note { returned_at: Some(now), was_free: false, ..self.notes[number] };
        self.arrives(number);
    }

    /// Carries out the commands of an entry's dispatch.
    pub(super) fn carry_out(&mut self, entry: usize) {
        let commands = self.entries[entry].dispatch.take_commands();
        for command in commands {
            match command {
                Command::Place(agent, placement) => {
                    let now_ms = millis(self.clock.now());
                    let dispatch = &mut self.entries[entry].dispatch;
                    dispatch.message_sent(agent, Some(&placement), now_ms);
                    self.tell_counted(entry, agent, ToRunsAgent::Place(placement));
                }
                Command::Stop(agent, job) => self.tell(entry, agent, ToRunsAgent::Stop(job)),
                Command::Withdraw(agent, tasks) => {
                    self.recalls += tasks.len() as u64;
                    self.tell(entry, agent, ToRunsAgent::Withdraw(tasks));
                }
                Command::JobMostlyStarted(agent, job, give_up_in_ms) => {
                    self.tell(entry, agent, ToRunsAgent::JobMostlyStarted { job, give_up_in_ms });
                }
                Command::Answer(job, answer) => {
                    if let Some(number) = self.entries[entry].jobs.remove(&job) {
                        self.answered(number, answer);
                    }
                }
            }
        }
    }

    pub(super) fn tell(&mut self, entry: usize, agent: AgentKey, message: ToRunsAgent) {
        let now_ms = millis(self.clock.now());
        self.entries[entry].dispatch.message_sent(agent, None, now_ms);
        self.tell_counted(entry, agent, message);
    }

    /// Sends a message that the dispatch has counted.
    pub(super) fn tell_counted(&mut self, entry: usize, agent: AgentKey, message: ToRunsAgent) {
        let Some(agent) = self.entries[entry].number_of(agent) else { return };
        let link = Link { entry, run: self.entries[entry].run, agent };
        self.messages += 1;
        let delay = self.message_delay();
        self.clock.after(delay, Event::Deliver(link, message));
    }

    pub(super) fn is_present(&self, link: Link) -> bool {
        let entry = &self.entries[link.entry];
        entry.is_up && entry.run == link.run
    }

    pub(super) fn tick_entry(&mut self, entry: usize) {
        if self.entries[entry].is_up {
            self.entries[entry].dispatch.tick(millis(self.clock.now()));
            self.carry_out(entry);
        }
        self.clock.after(ENTRY_TICK, Event::EntryTick(entry));
    }

    pub(super) fn heartbeat(&mut self, link: Link) {
        if !self.is_present(link) {
            return;
        }
        let entry = &self.entries[link.entry];
        let linked = entry.agents[&link.agent];
        let PoolView { agents, largest } = entry.dispatch.pool_view(linked.key);
        let heartbeat =
            ToRunsAgent::Heartbeat { heard: 0, confirmed: linked.confirmed, agents, largest };
        self.tell(link.entry, linked.key, heartbeat);
        self.clock.after(HEARTBEAT_INTERVAL, Event::Heartbeat(link));
    }

    pub(super) fn reported(&mut self, link: Link, message: FromRunsAgent) {
        if !self.is_present(link) {
            return;
        }
        let now_ms = millis(self.clock.now());
        let entry = &mut self.entries[link.entry];
        let Some(linked) = entry.agents.get_mut(&link.agent) else { return };
        let agent = linked.key;
        match message {
            FromRunsAgent::Report { heard, reports, load } => {
                let last = reports.last().map_or(0, |report| report.number);
                linked.confirmed = last.max(linked.confirmed);
                entry.dispatch.handle_report(agent, &reports, load, heard, now_ms);
            }
            FromRunsAgent::Upstream(life) => entry.dispatch.set_instance(agent, life),
            _ => {}
        }
        self.carry_out(link.entry);
    }
}
