//! Evacuated data centres, as they are in force at this entry, and agents told of them.

use {
    crate::{
        counters::{self, Message},
        dispatch,
        shared::Shared,
    },
    std::{sync::Arc, time::Duration},
    sycamorerail_telemetry::event,
    sycamorerail_wire::{
        answer::Reason,
        message::{AgentReply, ToAgent},
        runs::Evacuations,
        session,
    },
    tokio::sync::watch,
};

/// Longest wait for an agent that is told.
const AGENT_WITHIN: Duration = Duration::from_millis(500);
/// How often an agent is told that does not answer. After that it hears at its next
/// heartbeat or hello.
const TELL_ATTEMPTS: u32 = 4;

/// Holds evacuations unless those held were true later. Returns whether the list has
/// changed.
pub(crate) fn hold(held: &watch::Sender<Evacuations>, told: &Evacuations) -> bool {
    let changed = held.send_if_modified(|held| held.merge_newer(told));
    if changed {
        event!(
            Info,
            "evacuations_in_force",
            revision = told.revision,
            data_centres = told.data_centres.join(","),
        );
        let count = told.data_centres.len() as f64;
        metrics::gauge!("sycamorerail_evacuated_data_centres").set(count);
    }
    changed
}

impl Shared {
    /// Puts evacuations into force and passes them on to agents, unless those held were
    /// true later. Returns whether the list has changed.
    pub fn hold_evacuations(self: &Arc<Self>, told: &Evacuations) -> bool {
        if !hold(&self.evacuations, told) {
            return false;
        }
        self.upstreams.mark_evacuated(&self.evacuations);
        dispatch::evacuations_changed(self);
        tell_agents(self);
        true
    }
}

/// Tells all agents connected here.
fn tell_agents(shared: &Arc<Shared>) {
    let snapshot = shared.upstreams.snapshot();
    for connection in snapshot.agents.iter().filter_map(|agent| agent.connection()) {
        tokio::spawn(tell_agent(Arc::clone(shared), connection));
    }
}

/// Tells an agent what is in force then, until it answers or is gone.
async fn tell_agent(shared: Arc<Shared>, connection: quinn::Connection) {
    for _ in 0..TELL_ATTEMPTS {
        let call = ToAgent::Evacuations(shared.evacuations.borrow().clone());
        counters::message(Message::Evacuations, Reason::Evacuated);
        let told = session::call::<_, AgentReply>(&connection, &call, AGENT_WITHIN).await;
        if told.is_ok() || connection.close_reason().is_some() {
            return;
        }
    }
}
