//! The start of an entry: agents are told of it through peers, and callers are
//! not served until the agents have dialled it.
//!
//! Without this an agent finds out at its next heartbeat. Until then the entry
//! would refuse work for want of upstreams, and take agents for silent that only
//! have not heard of it.

use {
    super::{Inner, sessions},
    crate::{
        counters::{self, Message},
        shared::Shared,
        upstreams::Agent,
    },
    rand::seq::SliceRandom,
    std::{
        collections::HashSet,
        net::SocketAddr,
        sync::{Arc, Weak},
        time::Duration,
    },
    sycamorerail_membership::Membership,
    sycamorerail_telemetry::event,
    sycamorerail_wire::{
        answer::Reason,
        ids::Incarnation,
        message::{AgentReply, ToAgent, ToEntry},
        session,
    },
    tokio::time::{Instant, sleep, timeout_at},
};

/// Longest wait for the agents: the longest pause between two dials of an
/// agent, and the dial.
const SETTLE_WITHIN: Duration = Duration::from_secs(4);
/// Pause between looks at which agents have dialled.
const LOOK_PAUSE: Duration = Duration::from_millis(20);
/// Pause before peers are told again, where none has answered.
const TELL_PAUSE: Duration = Duration::from_millis(200);
/// Longest wait for an agent that is told.
const AGENT_WITHIN: Duration = Duration::from_secs(2);

/// Waits for the agents of the roster, at most for [`SETTLE_WITHIN`].
pub(super) async fn settle(inner: Weak<Inner>, shared: Arc<Shared>) {
    let until = Instant::now() + SETTLE_WITHIN;
    let told = timeout_at(until, tell_peers(&inner, &shared));
    let dialled = timeout_at(until, all_dialled(&inner, &shared));
    let (_, dialled) = tokio::join!(told, dialled);
    shared.lifecycle.set_settled();
    event!(Info, "entry_settled", all_agents = dialled.is_ok());
}

/// Has one peer tell its agents. One is enough: every agent dials every entry.
async fn tell_peers(inner: &Weak<Inner>, shared: &Arc<Shared>) {
    let address = shared.inner_address;
    let call = ToEntry::Started { address, incarnation: shared.incarnation() };
    loop {
        let Some(inner) = inner.upgrade() else { return };
        let mut others = inner.others(shared);
        others.shuffle(&mut rand::rng());
        for peer in others {
            let within = sessions::reach_within(shared);
            if inner.sessions.call(shared, peer, &call, within).await.is_ok() {
                return;
            }
        }
        drop(inner);
        sleep(TELL_PAUSE).await;
    }
}

async fn all_dialled(inner: &Weak<Inner>, shared: &Shared) {
    loop {
        let Some(inner) = inner.upgrade() else { return };
        if inner.membership.get().is_some_and(|membership| is_settled(shared, membership)) {
            return;
        }
        drop(inner);
        sleep(LOOK_PAUSE).await;
    }
}

/// Whether every agent of the roster is connected and may be used.
fn is_settled(shared: &Shared, membership: &Membership) -> bool {
    let members = membership.members();
    if members.mark == 0 {
        // Nothing is known of the platform's records yet.
        return false;
    }
    let home = membership.current();
    let snapshot = shared.upstreams.snapshot();
    let is_used = |agent: &&Arc<Agent>| agent.is_up() && agent.usable_by() == Some(home);
    let used: HashSet<Incarnation> =
        snapshot.agents.iter().filter(is_used).map(|agent| agent.identity.incarnation).collect();
    let replaced = members.replaced();
    let mut expected = members.agents.iter().filter(|(_, agent)| !agent.record.retired);
    expected.all(|(run, _)| used.contains(run) || replaced.contains(run))
}

/// Tells the agents connected here that a run of a peer has started.
pub(super) fn tell_agents(shared: &Shared, address: SocketAddr, incarnation: Incarnation) {
    let snapshot = shared.upstreams.snapshot();
    for connection in snapshot.agents.iter().filter_map(|agent| agent.connection()) {
        counters::message(Message::EntryStarted, Reason::Done);
        tokio::spawn(async move {
            let call = ToAgent::EntryStarted { address, incarnation };
            // One that does not hear it finds out at its next heartbeat.
            let _ = session::call::<_, AgentReply>(&connection, &call, AGENT_WITHIN).await;
        });
    }
}
