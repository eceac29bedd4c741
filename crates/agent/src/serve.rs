//! Requests from an entry, one per stream.

use {
    crate::{
        core::{Core, PendingReply},
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

/// Accepts streams from the session's entry until the connection ends.
pub(crate) async fn serve_streams(
    core: &Arc<Core>,
    entries: &Arc<Entries>,
    session: &Arc<Session>,
) -> SessionError {
    loop {
        match session.connection.accept_bi().await {
            Ok((send, recv)) => {
                let handler = StreamHandler {
                    core: Arc::clone(core),
                    entries: Arc::clone(entries),
                    session: Arc::clone(session),
                };
                tokio::spawn(handler.serve(send, recv));
            }
            Err(err) => return SessionError::Broken(session.peer, err.to_string()),
        }
    }
}

/// Serves one stream.
struct StreamHandler {
    core: Arc<Core>,
    entries: Arc<Entries>,
    session: Arc<Session>,
}

impl StreamHandler {
    /// Reads the request and writes the reply. A task goes on when its stream ends: only an
    /// explicit request from the entry revokes a task, never a lost connection.
    async fn serve(self, mut send: SendStream, mut recv: RecvStream) {
        let peer = self.session.peer;
        let request = match session::read_request(peer, &mut recv).await {
            Ok(request) => request,
            Err(err) => return event!(Debug, "request_lost", peer = peer, error = err),
        };
        let _due = ReplyDue::new(&self.core);
        let Some(body) = self.handle(request).await else {
            return;
        };
        let reply = self.core.reply(body);
        self.session.note_sent(self.core.clock.now_ms());
        if let Err(err) = write_confirmed_reply(peer, &mut send, &reply).await {
            self.core.note_activity();
            event!(Debug, "reply_lost", peer = peer, error = err);
        }
    }

    async fn handle(&self, request: ToAgent) -> Option<AgentReplyBody> {
        let core = &self.core;
        counters::request(message_label(&request));
        match request {
            ToAgent::Place(placement) => {
                match core.place(|| self.session.is_current(), placement)? {
                    PendingReply::Ready(reply) => Some(reply),
                    PendingReply::InFlight(reply) => reply.await.ok(),
                    PendingReply::Queued { reply, start_within } => {
                        wait_queued(core, reply, start_within).await
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
                self.entries.entry_started(core, address, incarnation);
                Some(AgentReplyBody::Acknowledged)
            }
            ToAgent::Evacuations(received) => {
                self.session.apply_evacuations(core, &received);
                Some(AgentReplyBody::Acknowledged)
            }
        }
    }
}

/// Writes the reply and waits until the entry has received all of it. Until then a planned
/// stop must not close the session.
async fn write_confirmed_reply(
    peer: SocketAddr,
    send: &mut SendStream,
    reply: &AgentReply,
) -> Result<(), SessionError> {
    session::write_reply(peer, send, reply).await?;
    send.stopped().await.map_err(|err| SessionError::Broken(peer, err.to_string()))?;
    Ok(())
}

async fn wait_queued(
    core: &Arc<Core>,
    mut reply: oneshot::Receiver<AgentReplyBody>,
    start_within: Duration,
) -> Option<AgentReplyBody> {
    if let Ok(received) = tokio::time::timeout(start_within, &mut reply).await {
        return received.ok();
    }
    core.expire();
    reply.await.ok()
}

fn message_label(request: &ToAgent) -> &'static str {
    match request {
        ToAgent::Place(_) => "place",
        ToAgent::Revoke { .. } => "revoke",
        ToAgent::Fence { .. } => "fence",
        ToAgent::Probe => "probe",
        ToAgent::EntryStarted { .. } => "entry_started",
        ToAgent::Evacuations(_) => "evacuations",
    }
}

/// Counts a stream as due a reply until dropped.
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
