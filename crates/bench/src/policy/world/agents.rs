//! Agents and upstreams of a model.

use {
    super::{AGENT_TICK, ANSWER_TIMEOUT, Event, Link, World},
    crate::policy::{
        agent::Renewal,
        clock::{MS, Micros, millis},
        entry::numbers_of,
        upstream::EndDue,
    },
    rand::Rng,
    sycamorerail_decide::ledger::{StartAnswer, StartOrder},
    sycamorerail_wire::runs::{FromRunsAgent, TaskKey, ToRunsAgent},
};

impl World<'_> {
    pub(super) fn tick_agent(&mut self, agent: usize) {
        let now_ms = millis(self.clock.now());
        let ledger = &mut self.agents[agent].ledger;
        ledger.check_lease_lapse(now_ms);
        ledger.drop_expired(now_ms);
        ledger.drop_silent_owners(now_ms);
        self.act(agent);
        self.clock.after(AGENT_TICK, Event::AgentTick(agent));
    }

    pub(super) fn deliver(&mut self, link: Link, message: ToRunsAgent) {
        let now_ms = millis(self.clock.now());
        let agent = &mut self.agents[link.agent];
        if !agent.count_message(link.entry, link.run) {
            return;
        }
        let ledger = &mut agent.ledger;
        match message {
            ToRunsAgent::Place(placement) => ledger.place(link.run, placement, now_ms),
            ToRunsAgent::Stop(job) => ledger.stop_job(link.run, job),
            ToRunsAgent::Withdraw(tasks) => {
                tasks.into_iter().for_each(|task| ledger.withdraw_task(link.run, task));
            }
            ToRunsAgent::JobMostlyStarted { job, give_up_in_ms } => {
                ledger.prioritise_job(link.run, job, give_up_in_ms, now_ms);
            }
            ToRunsAgent::Heartbeat { confirmed, .. } => {
                ledger.note_owner_contact(link.run, now_ms);
                ledger.confirm_reports(link.run, confirmed);
            }
            _ => {}
        }
        self.act(link.agent);
    }

    /// Sends an agent's orders and reports after a change.
    pub(super) fn act(&mut self, agent: usize) {
        let (now, delay) = (self.clock.now(), self.call_delay());
        let orders = self.agents[agent].take_orders(now);
        let life = self.agents[agent].life;
        for order in orders.starts {
            self.clock.after(delay, Event::Order { agent, life, order });
        }
        for (task, run) in orders.stops {
            self.clock.after(delay, Event::Stop { agent, life, task, run });
        }
        for entry in 0..self.entries.len() {
            self.report_now(Link { entry, run: self.entries[entry].run, agent });
        }
    }

    /// Tells the entries which upstream an agent has now.
    pub(super) fn tell_upstream(&mut self, agent: usize) {
        let life = self.agents[agent].life();
        for entry in 0..self.entries.len() {
            let link = Link { entry, run: self.entries[entry].run, agent };
            if self.is_present(link) && self.entries[entry].agents.contains_key(&agent) {
                self.messages += 1;
                let delay = self.message_delay();
                let told = FromRunsAgent::Upstream(life.clone());
                self.clock.after(delay, Event::Report(link, told));
            }
        }
    }

    pub(super) fn report_now(&mut self, link: Link) -> Option<Micros> {
        if !self.is_present(link) {
            return None;
        }
        let (report, next) = self.agents[link.agent].report(link.entry, self.clock.now());
        if let Some(report) = report {
            self.messages += 1;
            let delay = self.message_delay();
            self.clock.after(delay, Event::Report(link, report));
        }
        Some(next)
    }

    pub(super) fn report(&mut self, link: Link) {
        if let Some(next) = self.report_now(link) {
            self.clock.at(next.max(self.clock.now() + MS), Event::ReportDue(link));
        }
    }

    pub(super) fn is_lost(&mut self, agent: usize) -> bool {
        let share = self.unanswered[agent];
        !self.agents[agent].upstream.answers() || (share > 0.0 && self.rng.random::<f64>() < share)
    }

    pub(super) fn ordered(&mut self, agent: usize, life: u64, order: &StartOrder) {
        let (task, run) = (order.task, order.run);
        let delay = self.call_delay();
        if life != self.agents[agent].life || self.is_lost(agent) {
            let answer = StartAnswer::Unanswered;
            let event = Event::Ordered { agent, life, task, run, answer };
            return self.clock.after(ANSWER_TIMEOUT, event);
        }
        let (job, index) = numbers_of(task);
        let work = self.jobs[job].run_micros[index];
        let now = self.clock.now();
        let answer = self.agents[agent].upstream.start(task, run, work, now);
        if let Some(due) = self.agents[agent].upstream.end_due(task) {
            let cpu_milli = self.settings.kinds[self.jobs[job].kind].cpu_milli;
            self.notes[job].work += (due.at - now) * u64::from(cpu_milli);
            self.clock.at(due.at, Event::RunEnds { agent, life, due });
        }
        self.clock.after(delay, Event::Ordered { agent, life, task, run, answer });
    }

    pub(super) fn order_answered(
        &mut self,
        agent: usize,
        life: u64,
        (task, run): (TaskKey, u32),
        answer: StartAnswer,
    ) {
        if life != self.agents[agent].life {
            return;
        }
        let now_ms = millis(self.clock.now());
        self.agents[agent].ledger.handle_start_answer(task, run, answer, now_ms);
        self.act(agent);
    }

    pub(super) fn run_ends(&mut self, agent: usize, life: u64, due: EndDue) {
        if life == self.agents[agent].life && self.agents[agent].upstream.finish(due) {
            self.answer_waiting(agent, None);
        }
    }

    pub(super) fn stop(&mut self, agent: usize, life: u64, task: TaskKey, run: u32) {
        if life != self.agents[agent].life || self.is_lost(agent) {
            return;
        }
        self.agents[agent].upstream.stop(task, run);
        let delay = self.call_delay();
        self.clock.after(delay, Event::Stopped { agent, life, task, run });
        self.answer_waiting(agent, None);
    }

    pub(super) fn stopped(&mut self, agent: usize, life: u64, task: TaskKey, run: u32) {
        if life != self.agents[agent].life {
            return;
        }
        let now = self.clock.now();
        self.agents[agent].ledger.handle_stop_confirmation(task, run, millis(now));
        let renewal = self.agents[agent].renew_now(now);
        self.send_renewal(agent, renewal);
        self.act(agent);
    }

    /// Schedules the agent's next renewal in place of the one that was scheduled before.
    pub(super) fn schedule_renewal(&mut self, agent: usize) {
        let (at, turn) = self.agents[agent].reschedule_renewal();
        self.clock.at(at, Event::RenewalDue { agent, turn });
    }

    pub(super) fn renewal_due(&mut self, agent: usize, turn: u64) {
        if !self.agents[agent].is_renewal_turn(turn) {
            return;
        }
        let now = self.clock.now();
        let due = self.agents[agent].renewal_due(now);
        self.send_renewal(agent, due);
        if self.agents[agent].renew_at() > now {
            self.schedule_renewal(agent);
        } else {
            // Too many renewals are in flight.
            self.clock.after(MS, Event::RenewalDue { agent, turn });
        }
    }

    pub(super) fn send_renewal(&mut self, agent: usize, renewal: Option<Renewal>) {
        let Some(renewal) = renewal else { return };
        let life = self.agents[agent].life;
        let delay = self.call_delay();
        self.clock.after(delay, Event::Renew { agent, life, renewal });
    }

    pub(super) fn renew(&mut self, agent: usize, life: u64, renewal: Renewal) {
        if life != self.agents[agent].life || self.is_lost(agent) {
            let delay = ANSWER_TIMEOUT + renewal.wait;
            return self.clock.after(delay, Event::Renewed { agent, life, answer: None });
        }
        let has_ends = self.agents[agent].upstream.has_ends(renewal.acknowledged);
        self.agents[agent].waiting.push(renewal);
        if renewal.wait == 0 || has_ends {
            return self.answer_waiting(agent, Some(renewal.number));
        }
        let number = renewal.number;
        self.clock.after(renewal.wait, Event::WaitOver { agent, number });
    }

    /// Answers a renewal that waits at an upstream, or all of them.
    pub(super) fn answer_waiting(&mut self, agent: usize, only: Option<u64>) {
        let (now, delay) = (self.clock.now(), self.call_delay());
        let at = &mut self.agents[agent];
        let is_answered = |waiting: &Renewal| only.is_none_or(|number| waiting.number == number);
        let (answered, left): (Vec<_>, Vec<_>) =
            std::mem::take(&mut at.waiting).into_iter().partition(is_answered);
        at.waiting = left;
        let life = at.life;
        for renewal in answered {
            let answer = Some(at.upstream.list(renewal.acknowledged, renewal.sent, now));
            self.clock.after(delay, Event::Renewed { agent, life, answer });
        }
    }
}
