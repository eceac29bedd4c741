//! Finds dead connections with work outstanding sooner than the idle timeout.

use {
    super::agent::Agent,
    crate::{
        counters::{self, Message},
        shared::Shared,
    },
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    sycamorerail_telemetry::event,
    sycamorerail_wire::{
        answer::Reason,
        message::{AgentReply, Load, ToAgent},
        session::{self, SessionError},
    },
    tokio::sync::watch,
};

/// Probes silent agents until told to stop.
pub async fn probe_until(shared: Arc<Shared>, mut stop: watch::Receiver<bool>) {
    let after_ms = u64::from(shared.settings.limits.probe_after_ms);
    let period = Duration::from_millis((after_ms / 2).max(1));
    loop {
        tokio::select! {
            _ = stop.wait_for(|&stopped| stopped) => return,
            () = tokio::time::sleep(period) => {}
        }
        let snapshot = shared.upstreams.snapshot();
        for agent in snapshot.agents.iter().filter(|agent| is_due(&shared, agent, after_ms)) {
            tokio::spawn(probe(Arc::clone(&shared), Arc::clone(agent)));
        }
        drop(snapshot);
        shared.upstreams.forget_lost(&shared);
    }
}

fn is_due(shared: &Shared, agent: &Agent, after_ms: u64) -> bool {
    let silent_ms = shared.now_ms().saturating_sub(agent.live.heard_at_ms.load(Ordering::Acquire));
    agent.live.outstanding.load(Ordering::Acquire) > 0
        && silent_ms >= after_ms
        && !agent.probing.swap(true, Ordering::AcqRel)
}

async fn probe(shared: Arc<Shared>, agent: Arc<Agent>) {
    if let Some(connection) = agent.connection()
        && let Err(err) = ask(&shared, &agent, &connection).await
    {
        event!(Warn, "probe_failed", agent = agent.peer, cause = err);
        connection.close(0u32.into(), b"probe failed");
    }
    agent.probing.store(false, Ordering::Release);
}

/// Asks an agent for its load; `None` if it does not answer within `probe_after_ms`.
pub async fn ask_load(shared: &Shared, agent: &Agent) -> Option<Load> {
    ask(shared, agent, &agent.connection()?).await.ok()
}

async fn ask(
    shared: &Shared,
    agent: &Agent,
    connection: &quinn::Connection,
) -> Result<Load, SessionError> {
    counters::message(Message::Probe, Reason::Running);
    let within = Duration::from_millis(shared.settings.limits.probe_after_ms.into());
    let reply: AgentReply = session::call(connection, &ToAgent::Probe, within).await?;
    agent.take_load(reply.load, shared.now_ms());
    Ok(reply.load)
}
