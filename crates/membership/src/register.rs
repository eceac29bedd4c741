//! Registration of agents: who writes an agent's record, and when.
//!
//! An agent says hello to every entry. The entry first in the order of a hash
//! over agent and entry writes the record at once; the others wait their turn
//! and find it written. A write lost or refused is tried again: writing the
//! record twice is harmless, as it is only ever created.

use {
    crate::{
        error::{MembershipError, MembershipStep},
        keys::{self, AGENTS, FENCED},
        membership::{Shared, unix_ms},
        record::{self, AgentRecord},
    },
    parking_lot::Mutex,
    rand::Rng,
    std::{collections::BTreeMap, time::Duration},
    sycamorerail_platform::{Expected, Swap},
    sycamorerail_telemetry::event,
    sycamorerail_wire::{ids::Incarnation, message::AgentIdentity},
    tokio::{sync::Notify, time::sleep},
};

/// An entry that is not first in the order waits this long for each before it.
const TURN_MS: u64 = 3_000;
/// Registrations due at once start within this time.
const JITTER_MS: u64 = 100;
/// Pause before a failed registration is tried again.
const RETRY_MS: u64 = 500;

/// Agents heard and not yet shown by the mirror.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    agents: Mutex<BTreeMap<Incarnation, Pending>>,
    added: Notify,
}

#[derive(Clone, Debug)]
struct Pending {
    agent: AgentIdentity,
    due_ms: u64,
}

/// Place of `own` in the order of entries that write the agent's record.
#[must_use]
pub fn turn(agent: Incarnation, own: Incarnation, entries: &[Incarnation]) -> u64 {
    let weight = |entry: Incarnation| (mix(agent.0 ^ mix(entry.0)), entry);
    let own_weight = weight(own);
    entries.iter().filter(|entry| weight(**entry) < own_weight).count() as u64
}

/// Finaliser of SplitMix64: each bit of the input moves half of the output's.
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

impl Waiting {
    /// Notes an agent to be registered, if it isn't noted yet.
    pub(crate) fn add(&self, agent: &AgentIdentity, turn: u64, now_ms: u64) {
        let due_ms = now_ms + turn * TURN_MS + rand::rng().random_range(0..=JITTER_MS);
        let pending = Pending { agent: agent.clone(), due_ms };
        self.agents.lock().entry(agent.incarnation).or_insert(pending);
        self.added.notify_one();
    }

    fn forget(&self, agent: Incarnation) {
        self.agents.lock().remove(&agent);
    }

    fn put_off(&self, agent: Incarnation, due_ms: u64) {
        if let Some(pending) = self.agents.lock().get_mut(&agent) {
            pending.due_ms = due_ms;
        }
    }

    fn next(&self) -> Option<Pending> {
        self.agents.lock().values().min_by_key(|pending| pending.due_ms).cloned()
    }
}

/// Registers agents as they fall due, for as long as the entry runs.
pub(crate) async fn register_on(shared: &Shared) {
    loop {
        let Some(pending) = shared.waiting.next() else {
            shared.waiting.added.notified().await;
            continue;
        };
        let now_ms = shared.now_ms();
        if pending.due_ms > now_ms {
            let pause = sleep(Duration::from_millis(pending.due_ms - now_ms));
            tokio::select! { () = pause => {} () = shared.waiting.added.notified() => {} }
            continue;
        }
        if register_due(shared, &pending).await {
            sleep(shared.registration_pause()).await;
        }
    }
}

/// Deals with one agent that is due; returns whether the platform was called.
async fn register_due(shared: &Shared, pending: &Pending) -> bool {
    let agent = pending.agent.incarnation;
    if shared.members().agents.contains_key(&agent) || !(shared.hooks.connected)(agent) {
        shared.waiting.forget(agent);
        return false;
    }
    match register(shared, &pending.agent).await {
        Ok(()) => {
            // Until the mirror shows it; a record that doesn't show by then
            // is written again.
            shared.waiting.put_off(agent, shared.now_ms() + TURN_MS);
            count("written");
        }
        Err(error) => {
            event!(Warn, "registration_failed", agent = pending.agent.name, error = error);
            shared.waiting.put_off(agent, shared.now_ms() + RETRY_MS);
            count("failed");
        }
    }
    true
}

async fn register(shared: &Shared, agent: &AgentIdentity) -> Result<(), MembershipError> {
    let step = MembershipStep::Register;
    let own = shared.settled();
    let key = keys::key(AGENTS, agent.incarnation);
    let registered_unix_ms = unix_ms();
    let record = AgentRecord { agent: agent.clone(), registered_unix_ms, retired: false };
    let value = record::to_json(&record);
    let guard = keys::key(FENCED, own);
    let written = shared.platform.swap(&key, Expected::Absent, &value, None, &[&guard]).await;
    match written.map_err(|error| MembershipError::Platform(step, error))? {
        Swap::Done { mark } => shared.mirror.seen_elsewhere(mark),
        Swap::Lost { current: Some(_) } => {}
        Swap::Lost { current: None } => {
            // Only the guard can have failed: this incarnation is fenced.
            shared.retire(own);
            return Err(MembershipError::Contradiction(step));
        }
    }
    Ok(())
}

fn count(result: &'static str) {
    metrics::counter!("sycamorerail_registrations_total", "result" => result).increment(1);
}
