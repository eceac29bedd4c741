//! Requests of an entry, one a stream.

use {
    crate::{
        core::{Core, Pending},
        counters,
        session::Session,
    },
    quinn::{RecvStream, SendStream},
    std::sync::{Arc, atomic::Ordering},
    sycamorerail_telemetry::event,
    sycamorerail_wire::{
        message::{AgentReplyBody, ToAgent},
        session::{self, SessionError},
    },
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
    if let Err(err) = session::write_reply(session.peer, &mut send, &reply).await {
        return event!(Debug, "reply_lost", peer = session.peer, error = err);
    }
    // Until the entry has all of it, a planned stop must not close the session.
    let _ = send.stopped().await;
}

async fn decide(core: &Arc<Core>, session: &Session, request: ToAgent) -> Option<AgentReplyBody> {
    counters::request(name(&request));
    match request {
        ToAgent::Place(placement) => match core.place(session, placement)? {
            Pending::Now(reply) => Some(reply),
            Pending::Later(told) => told.await.ok(),
        },
        ToAgent::Revoke { tasks } => Some(core.revoke(&tasks)),
        ToAgent::Fence { home, jobs } => {
            event!(Info, "fence", peer = session.peer, home = home, jobs = jobs.len());
            Some(core.fence(home, &jobs))
        }
        ToAgent::Probe => Some(AgentReplyBody::Probed),
    }
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
