//! Sends one placement and hears of its end, over breaks of the connection.

use {
    super::{
        agent::Agent,
        link::{Link, Waited, wait_up},
        revoke::ask_record,
    },
    crate::{
        counters::{self, Message},
        dispatch::{self, Observed},
        jobs::{JobCell, drive},
        shared::Shared,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    sycamorerail_decide::job::{Event, PlacementKey, Reply},
    sycamorerail_telemetry::event,
    sycamorerail_wire::{
        answer::Reason,
        ids::TaskId,
        message::{AgentReply, AgentReplyBody, Placement, ToAgent},
        session,
    },
    tokio::sync::watch,
};

/// How long after the deadline a placement without a reply is followed up.
const FOLLOW_UP_MS: u64 = 30_000;
/// Pause before sending again on a connection that still stands.
const RESEND_PAUSE: Duration = Duration::from_millis(50);

/// Sends a placement that was counted and that its job gave leave for.
pub fn send(
    shared: &Arc<Shared>,
    cell: &Arc<JobCell>,
    agent: &Arc<Agent>,
    placement: PlacementKey,
    probe: bool,
) {
    let (shared, cell, agent) = (Arc::clone(shared), Arc::clone(cell), Arc::clone(agent));
    tokio::spawn(async move {
        let sending = Sending { shared: &shared, cell: &cell, agent: &agent, placement, probe };
        let event = sending.run().await;
        // A reply has ended it in the view already, before its load was taken.
        if !matches!(event, Some(Event::Replied { .. })) {
            agent.end_placement();
            Observed::nothing(probe).take(&shared, &cell, &agent);
        }
        if let Some(event) = event {
            drive(&shared, &cell, event);
        }
        dispatch::pump(&shared);
    });
}

struct Sending<'a> {
    shared: &'a Arc<Shared>,
    cell: &'a Arc<JobCell>,
    agent: &'a Arc<Agent>,
    placement: PlacementKey,
    /// It probes an ejected upstream.
    probe: bool,
}

impl Sending<'_> {
    async fn run(&self) -> Option<Event> {
        let mut link = self.agent.link.subscribe();
        let mut broken = None;
        let mut sent = 0_u32;
        loop {
            let connection = match self.connection(&mut link, broken, sent).await? {
                Waited::Up(connection) => connection,
                Waited::Gone | Waited::TimedOut if sent == 0 => return Some(self.not_sent()),
                Waited::Gone | Waited::TimedOut => return Some(self.lost()),
            };
            if sent > 0 && !self.may_send_again() {
                return ask_record(self.shared, self.agent, &connection, self.task_id())
                    .await
                    .map(|record| self.reported(record));
            }
            self.count(sent);
            sent += 1;
            let sent_at = Instant::now();
            match self.exchange(&connection).await {
                Ok(reply) => return Some(self.replied(reply, sent_at)),
                Err(err) => {
                    event!(Info, "placement_broke", agent = self.agent.peer, cause = err);
                    if sent == 1 && session::peer_drained(&connection) {
                        return Some(self.left_out_by_drain());
                    }
                    let broke = Event::ConnectionBroke { placement: self.placement };
                    drive(self.shared, self.cell, broke);
                }
            }
            broken = connection.close_reason().map(|_| connection.stable_id());
            if broken.is_none() {
                tokio::time::sleep(RESEND_PAUSE).await;
            }
        }
    }

    fn time_left(&self) -> Option<Duration> {
        let until_ms = self.cell.deadline_at_ms + FOLLOW_UP_MS;
        let left_ms = until_ms.checked_sub(self.shared.now_ms())?;
        Some(Duration::from_millis(left_ms))
    }

    fn may_send_again(&self) -> bool {
        self.cell.state.lock().resend_placement(self.placement)
    }

    /// Waits for a connection other than the broken one; `None` when the time
    /// of the placement is up. Once that has taken long, what was not sent goes
    /// elsewhere, and for what was sent the job is told, which may give up.
    async fn connection(
        &self,
        link: &mut watch::Receiver<Link>,
        broken: Option<usize>,
        sent: u32,
    ) -> Option<Waited> {
        let lost_after_ms = self.shared.settings.limits.lost_after_ms;
        let patience = Duration::from_millis(lost_after_ms.into());
        let waited = wait_up(link, broken, patience.min(self.time_left()?)).await;
        if sent == 0 || !matches!(waited, Waited::TimedOut) {
            return Some(waited);
        }
        drive(self.shared, self.cell, self.unreachable());
        match wait_up(link, broken, self.time_left()?).await {
            Waited::TimedOut => None,
            waited => Some(waited),
        }
    }

    fn count(&self, sent: u32) {
        if sent == 0 {
            counters::message(Message::Placement, Reason::Done);
        } else {
            counters::message(Message::PlacementResent, Reason::AgentUnreachable);
        }
    }

    async fn exchange(
        &self,
        connection: &quinn::Connection,
    ) -> Result<AgentReply, session::SessionError> {
        let left = self.time_left().unwrap_or_default();
        let request = ToAgent::Place(self.message());
        session::call(connection, &request, left).await
    }

    fn task_id(&self) -> TaskId {
        let task = self.placement.task;
        TaskId { job: self.cell.id, index: task.index, attempt: task.attempt }
    }

    fn message(&self) -> Placement {
        let cell = self.cell;
        let left_ms = cell.deadline_at_ms.saturating_sub(self.shared.now_ms());
        let left_ms = u32::try_from(left_ms).unwrap_or(u32::MAX);
        Placement {
            agent: self.agent.identity.incarnation,
            task: self.task_id(),
            task_count: cell.task_count(),
            content: cell.content,
            organisation: cell.organisation.name.clone(),
            kind: cell.kind.name.clone(),
            payload: cell.payloads[usize::from(self.placement.task.index)].clone(),
            start_within_ms: left_ms,
            end_within_ms: left_ms,
            urgency: cell.kind.urgency,
            config_mark: self.shared.config_mark(),
        }
    }

    fn unreachable(&self) -> Event {
        Event::AgentUnreachable { placement: self.placement, peer: Arc::clone(&self.agent.peer) }
    }

    fn lost(&self) -> Event {
        Event::AgentLost { placement: self.placement, peer: Arc::clone(&self.agent.peer) }
    }

    fn reported(&self, record: sycamorerail_wire::answer::TaskRecord) -> Event {
        Event::Reported {
            upstream: self.agent.key,
            task: self.placement.task,
            peer: Arc::clone(&self.agent.peer),
            record,
        }
    }

    /// The agent has drained and closed without a reply: it took nothing more.
    fn left_out_by_drain(&self) -> Event {
        self.left_out(Reason::Draining, true)
    }

    /// There was never a connection to send it on.
    fn not_sent(&self) -> Event {
        self.left_out(Reason::AgentUnreachable, false)
    }

    fn left_out(&self, reason: Reason, never: bool) -> Event {
        self.agent.end_placement();
        Observed::nothing(self.probe).take(self.shared, self.cell, self.agent);
        self.refused(reason);
        let reply = Reply::NotStarted { reason, never, retry_after_ms: 0 };
        let peer = Arc::clone(&self.agent.peer);
        Event::Replied { placement: self.placement, peer, reply }
    }

    fn replied(&self, reply: AgentReply, sent_at: Instant) -> Event {
        if reply.agent != self.agent.identity.incarnation {
            // Another run answered: it says nothing of what this one started.
            return self.lost();
        }
        self.shared.note_config_mark(reply.config_mark);
        self.agent.end_placement();
        self.agent.take_load(reply.load, self.shared.now_ms());
        let succeeded = dispatch::judged(&reply.body);
        Observed { succeeded, probe: self.probe }.take(self.shared, self.cell, self.agent);
        let reply = match reply.body {
            AgentReplyBody::Ended { end, run_us, queued_us } => {
                let took_us = u64::try_from(sent_at.elapsed().as_micros()).unwrap_or(u64::MAX);
                counters::placement_overhead_us(took_us.saturating_sub(run_us + queued_us));
                if succeeded == Some(true) {
                    dispatch::ran(self.shared, self.cell, self.agent, run_us);
                }
                Reply::Ended(end)
            }
            AgentReplyBody::Broken(reason) => Reply::Broken(reason),
            AgentReplyBody::NotStarted { reason, never, retry_after_ms } => {
                self.refused(reason);
                Reply::NotStarted { reason, never, retry_after_ms }
            }
            // Not a reply to a placement: whether it started is not known.
            AgentReplyBody::Revoked(_)
            | AgentReplyBody::Fenced(_)
            | AgentReplyBody::Probed
            | AgentReplyBody::Acknowledged => {
                event!(Error, "reply_out_of_place", agent = self.agent.peer);
                Reply::Broken(Reason::Invalid)
            }
        };
        let peer = Arc::clone(&self.agent.peer);
        Event::Replied { placement: self.placement, peer, reply }
    }

    fn refused(&self, reason: Reason) {
        counters::message(Message::PlacementRefused, reason);
        if reason == Reason::Fenced {
            (self.shared.seams.on_fenced)(self.shared, self.cell.id.incarnation);
        }
    }
}
