//! Requests of an entry, one a stream.

use {
    crate::{
        core::{Core, Pending},
        counters,
        entries::Entries,
        session::Session,
    },
    quinn::{RecvStream, SendStream},
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    sycamorerail_telemetry::event,
    sycamorerail_wire::{
        message::{AgentReply, AgentReplyBody, ToAgent},
        session::{self, SessionError},
    },
    tokio::sync::oneshot,
};

/// Takes streams of the session's entry until the connection ends.
pub(crate) async fn accept(
    core: &Arc<Core>,
    entries: &Arc<Entries>,
    session: &Arc<Session>,
) -> SessionError {
    loop {
        match session.connection.accept_bi().await {
            Ok((send, recv)) => {
                let serving = Serving {
                    core: Arc::clone(core),
                    entries: Arc::clone(entries),
                    session: Arc::clone(session),
                };
                tokio::spawn(serving.serve(send, recv));
            }
            Err(err) => return SessionError::Broken(session.peer, err.to_string()),
        }
    }
}

/// What serves one stream.
struct Serving {
    core: Arc<Core>,
    entries: Arc<Entries>,
    session: Arc<Session>,
}

impl Serving {
    /// Serves one stream. A task goes on when its stream ends: only what the
    /// entry says, never that it fell silent, revokes it.
    async fn serve(self, mut send: SendStream, mut recv: RecvStream) {
        let peer = self.session.peer;
        let request = match session::read_request(peer, &mut recv).await {
            Ok(request) => request,
            Err(err) => return event!(Debug, "request_lost", peer = peer, error = err),
        };
        let _due = ReplyDue::new(&self.core);
        let Some(body) = self.decide(request).await else {
            return;
        };
        let reply = self.core.reply(body);
        self.session.sent(self.core.clock.now_ms());
        if let Err(err) = deliver(peer, &mut send, &reply).await {
            self.core.note_activity();
            event!(Debug, "reply_lost", peer = peer, error = err);
        }
    }

    async fn decide(&self, request: ToAgent) -> Option<AgentReplyBody> {
        let core = &self.core;
        counters::request(name(&request));
        match request {
            ToAgent::Place(placement) => {
                match core.place(|| self.session.is_current(), placement)? {
                    Pending::Now(reply) => Some(reply),
                    Pending::Later(told) => told.await.ok(),
                    Pending::Queued { told, start_within } => {
                        wait_in_queue(core, told, start_within).await
                    }
                }
            }
            ToAgent::Revoke { tasks } => Some(core.revoke(&tasks)),
            ToAgent::Fence { home, jobs } => {
                let peer = self.session.peer;
                event!(Info, "fence", peer = peer, home = home, jobs = jobs.len());
                Some(core.fence(home, &jobs))
            }
            ToAgent::Probe => Some(AgentReplyBody::Probed),
            ToAgent::EntryStarted { address, incarnation } => {
                event!(Info, "entry_started", peer = address, run = incarnation);
                self.entries.started(core, address, incarnation);
                Some(AgentReplyBody::Acknowledged)
            }
            ToAgent::Evacuations(told) => {
                self.session.take_evacuations(core, &told);
                Some(AgentReplyBody::Acknowledged)
            }
        }
    }
}

/// Returns when the entry has all of the reply: until then a planned stop must
/// not close the session.
async fn deliver(
    peer: SocketAddr,
    send: &mut SendStream,
    reply: &AgentReply,
) -> Result<(), SessionError> {
    session::write_reply(peer, send, reply).await?;
    send.stopped().await.map_err(|err| SessionError::Broken(peer, err.to_string()))?;
    Ok(())
}

async fn wait_in_queue(
    core: &Arc<Core>,
    mut told: oneshot::Receiver<AgentReplyBody>,
    start_within: Duration,
) -> Option<AgentReplyBody> {
    if let Ok(told) = tokio::time::timeout(start_within, &mut told).await {
        return told.ok();
    }
    core.expire();
    told.await.ok()
}

fn name(request: &ToAgent) -> &'static str {
    match request {
        ToAgent::Place(_) => "place",
        ToAgent::Revoke { .. } => "revoke",
        ToAgent::Fence { .. } => "fence",
        ToAgent::Probe => "probe",
        ToAgent::EntryStarted { .. } => "entry_started",
        ToAgent::Evacuations(_) => "evacuations",
    }
}

/// Counts a stream whose reply is not delivered yet.
struct ReplyDue(Arc<Core>);

impl ReplyDue {
    fn new(core: &Arc<Core>) -> Self {
        core.replies_due.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(core))
    }
}

impl Drop for ReplyDue {
    fn drop(&mut self) {
        self.0.replies_due.fetch_sub(1, Ordering::AcqRel);
    }
}
