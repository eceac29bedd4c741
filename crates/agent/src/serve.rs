//! Requests of an entry, one a stream.

use {
    crate::{
        core::{Core, Pending},
        counters,
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
pub(crate) async fn accept(core: &Arc<Core>, session: &Arc<Session>) -> SessionError {
    loop {
        match session.connection.accept_bi().await {
            Ok((send, recv)) => {
                tokio::spawn(serve(Arc::clone(core), Arc::clone(session), send, recv));
            }
            Err(err) => return SessionError::Broken(session.peer, err.to_string()),
        }
    }
}

/// Serves one stream. A task goes on when its stream ends: only what the entry
/// says, never that it fell silent, revokes it.
async fn serve(core: Arc<Core>, session: Arc<Session>, mut send: SendStream, mut recv: RecvStream) {
    let request = match session::read_request(session.peer, &mut recv).await {
        Ok(request) => request,
        Err(err) => return event!(Debug, "request_lost", peer = session.peer, error = err),
    };
    let _due = ReplyDue::new(&core);
    let Some(body) = decide(&core, &session, request).await else {
        return;
    };
    let reply = core.reply(body);
    session.sent(core.clock.now_ms());
    if let Err(err) = deliver(session.peer, &mut send, &reply).await {
        core.note_activity();
        event!(Debug, "reply_lost", peer = session.peer, error = err);
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

async fn decide(core: &Arc<Core>, session: &Session, request: ToAgent) -> Option<AgentReplyBody> {
    counters::request(name(&request));
    match request {
        ToAgent::Place(placement) => match core.place(session, placement)? {
            Pending::Now(reply) => Some(reply),
            Pending::Later(told) => told.await.ok(),
            Pending::Queued { told, start_within } => wait_in_queue(core, told, start_within).await,
        },
        ToAgent::Revoke { tasks } => Some(core.revoke(&tasks)),
        ToAgent::Fence { home, jobs } => {
            event!(Info, "fence", peer = session.peer, home = home, jobs = jobs.len());
            Some(core.fence(home, &jobs))
        }
        ToAgent::Probe => Some(AgentReplyBody::Probed),
    }
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
