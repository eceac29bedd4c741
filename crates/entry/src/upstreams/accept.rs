//! Accepts sessions of agents, and answers what agents say.

use {
    super::agent::Agent,
    crate::{
        counters::{self, Message},
        dispatch,
        shared::Shared,
    },
    std::sync::Arc,
    sycamorerail_telemetry::event,
    sycamorerail_wire::{
        answer::Reason,
        keys::Role,
        message::{EntryWelcome, FromAgent, MemberList},
        runs::Evacuations,
        session::{self, SessionError},
    },
    tokio::sync::watch,
};

/// Accepts sessions until told to stop.
pub async fn accept_until(shared: Arc<Shared>, mut stop: watch::Receiver<bool>) {
    loop {
        let incoming = tokio::select! {
            _ = stop.wait_for(|&stopped| stopped) => return,
            incoming = shared.endpoint.accept() => incoming,
        };
        let Some(incoming) = incoming else {
            return;
        };
        tokio::spawn(serve(Arc::clone(&shared), incoming));
    }
}

async fn serve(shared: Arc<Shared>, incoming: quinn::Incoming) {
    let peer = incoming.remote_address();
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(err) => {
            event!(Warn, "session_refused", peer = peer, cause = err);
            return;
        }
    };
    match session::peer_role(&connection) {
        Some(Role::Agent) => serve_agent(&shared, connection).await,
        Some(Role::Entry) => {
            session::allow_streams(&connection, session::FORWARD_STREAMS);
            (shared.seams.on_entry_connection)(Arc::clone(&shared), connection);
        }
        None => connection.close(0u32.into(), b"no role"),
    }
}

/// What was said on one connection.
#[derive(Default)]
struct Heard {
    /// Who said hello.
    agent: Option<Arc<Agent>>,
    /// The members last told.
    told: Option<Arc<MemberList>>,
    /// Evacuations that the agent is known to hold.
    evacuations: Evacuations,
}

async fn serve_agent(shared: &Arc<Shared>, connection: quinn::Connection) {
    let mut heard = Heard::default();
    let ended = loop {
        // One after the other: of two hellos the later one must win.
        if let Err(err) = serve_stream(shared, &connection, &mut heard).await {
            break err;
        }
    };
    if let Some(agent) = heard.agent {
        event!(Info, "agent_session_ended", agent = agent.peer, cause = ended);
        let now_ms = shared.now_ms();
        shared.upstreams.disconnected(&agent, connection.stable_id(), now_ms);
    }
    connection.close(0u32.into(), b"ended");
}

async fn serve_stream(
    shared: &Arc<Shared>,
    connection: &quinn::Connection,
    heard: &mut Heard,
) -> Result<(), SessionError> {
    let peer = connection.remote_address();
    let broken = |err: quinn::ConnectionError| SessionError::Broken(peer, err.to_string());
    let (mut send, mut recv) = connection.accept_bi().await.map_err(broken)?;
    let message: FromAgent = session::read_request(peer, &mut recv).await?;
    counters::message(Message::Beat, Reason::Done);
    take(shared, connection, heard, message)
        .ok_or_else(|| SessionError::Broken(peer, "run is gone or said no hello".to_owned()))?;
    dispatch::pump(shared);
    let members = shared.members.load_full();
    let told = heard.told.as_ref().is_some_and(|told| Arc::ptr_eq(told, &members));
    let evacuations = shared.evacuations.borrow().update_for_peer(&mut heard.evacuations);
    let welcome = welcome(shared, (!told).then_some(&*members), evacuations);
    // A reply that is lost ends the session, and the next one begins anew.
    heard.told = Some(members);
    session::write_reply(peer, &mut send, &welcome).await
}

fn take(
    shared: &Arc<Shared>,
    connection: &quinn::Connection,
    heard: &mut Heard,
    message: FromAgent,
) -> Option<()> {
    match message {
        FromAgent::Hello(hello) => {
            shared.note_config_mark(hello.config_mark);
            heard.evacuations.merge_newer(&hello.evacuations);
            shared.hold_evacuations(&hello.evacuations);
            heard.agent = Some(shared.upstreams.hello(shared, connection, *hello)?);
        }
        FromAgent::Heartbeat { load, config_mark } => {
            shared.note_config_mark(config_mark);
            heard.agent.as_ref()?.take_load(load, shared.now_ms());
        }
    }
    Some(())
}

fn welcome(
    shared: &Shared,
    news: Option<&MemberList>,
    evacuations: Option<Evacuations>,
) -> EntryWelcome {
    EntryWelcome {
        incarnation: shared.incarnation(),
        members: news.cloned(),
        config_mark: shared.config_mark(),
        draining: shared.lifecycle.is_draining(),
        evacuations,
    }
}
