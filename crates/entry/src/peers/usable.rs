//! Which agents this entry may place work at, by the platform's records.
//!
//! Agents are made usable, and no more so, in one place and by one thread at a
//! time, so that a fence of the own run takes effect before any agent that was
//! registered after it.

use {
    super::Inner,
    crate::shared::Shared,
    parking_lot::Mutex,
    std::sync::{Arc, OnceLock},
    sycamorerail_membership::Membership,
    sycamorerail_wire::{
        ids::Incarnation,
        message::{AgentIdentity, MemberList},
    },
};

/// The one place.
#[derive(Debug, Default)]
pub(super) struct Usable {
    changing: Mutex<()>,
    shared: OnceLock<Arc<Shared>>,
}

impl Usable {
    /// Keeps the entry to be changed.
    pub(super) fn keep(&self, shared: Arc<Shared>) {
        let _ = self.shared.set(shared);
    }

    /// Makes usable what the records allow, and nothing else.
    fn apply(&self, membership: &Membership) {
        let _changing = self.changing.lock();
        let Some(shared) = self.shared.get() else { return };
        tell_agents(shared, membership);
        let mut changes = Vec::new();
        let home = membership.current();
        // A dead run whose end this entry has not noticed draws work for
        // nothing.
        let replaced = membership.members().replaced();
        for agent in &shared.upstreams.snapshot().agents {
            let run = agent.identity.incarnation;
            let may_use = membership.may_use(home, run) && !replaced.contains(&run);
            let usable_by = may_use.then_some(home);
            if usable_by != agent.usable_by() {
                changes.push((run, usable_by));
            }
        }
        if !changes.is_empty() {
            shared.upstreams.change_usable(shared, &changes);
            crate::dispatch::pump(shared);
        }
    }

    /// Takes a fenced run out of use. Under the next one no agent is usable
    /// until the records show it as a home.
    pub(super) fn retire(&self, shared: &Arc<Shared>, fenced: Incarnation) {
        let _changing = self.changing.lock();
        let agents = shared.upstreams.snapshot().agents.clone();
        let none: Vec<_> = agents.iter().map(|agent| (agent.identity.incarnation, None)).collect();
        shared.upstreams.change_usable(shared, &none);
        shared.retire(fenced);
    }
}

/// Has agents told of the entries known and of the latest fences.
fn tell_agents(shared: &Shared, membership: &Membership) {
    let (entries, fenced) = (membership.addresses(), membership.fences_told());
    let told = shared.members.load();
    if told.entries != entries || told.fenced != fenced {
        shared.members.store(Arc::new(MemberList { entries, fenced }));
    }
}

/// Whether the agent's run is connected.
pub(super) fn is_connected(shared: &Shared, run: Incarnation) -> bool {
    let snapshot = shared.upstreams.snapshot();
    snapshot.agents.iter().any(|agent| agent.identity.incarnation == run && agent.is_up())
}

impl Inner {
    /// Makes usable what the records allow.
    pub(super) fn apply_records(&self) {
        if let Some(membership) = self.membership.get() {
            self.usable.apply(membership);
        }
    }

    /// An agent said hello.
    pub(super) fn heard(self: &Arc<Self>, identity: &AgentIdentity) {
        let Some(membership) = self.membership_or_note(identity) else { return };
        membership.heard(identity);
        // Once the hello is taken in.
        let inner = Arc::clone(self);
        tokio::spawn(async move { inner.apply_records() });
    }

    /// Returns the membership; notes the agent for [`Self::register_early_agents`] if there is none
    /// yet.
    fn membership_or_note(&self, identity: &AgentIdentity) -> Option<&Membership> {
        let mut early = self.early_agents.lock();
        let membership = self.membership.get();
        if membership.is_none() {
            early.push(identity.clone());
        }
        membership
    }

    /// Registers the agents that said hello before there was a membership.
    pub(super) fn register_early_agents(&self) {
        let early = std::mem::take(&mut *self.early_agents.lock());
        if let Some(membership) = self.membership.get() {
            early.iter().for_each(|identity| membership.heard(identity));
        }
    }
}
