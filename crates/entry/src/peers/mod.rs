//! Other entries: sessions with them, calls handed to a job's home, and the
//! fence of a home that is lost.
//!
//! [`Peers::seams`] gives an entry its seams; [`Peers::attach`] starts what
//! needs the platform. Until then no agent is usable and no home is fenced.

mod answers;
mod arrival;
mod concluded;
mod fencing;
mod forward;
mod gossip;
mod home;
mod probe;
mod serve;
mod sessions;
mod usable;

use {
    crate::{seams::Seams, shared::Shared},
    concluded::Concluded,
    fencing::Fences,
    home::Homes,
    parking_lot::Mutex,
    sessions::Sessions,
    std::{
        fmt,
        net::SocketAddr,
        sync::{Arc, OnceLock},
        time::Duration,
    },
    sycamorerail_membership::{
        EntryRecord, Hooks, Membership, MembershipConfig,
        membership::{CLOCK_MARGIN_MS, REGISTRATIONS_PER_S, SWEEP_PAUSE_MS},
    },
    sycamorerail_platform::{Mirror, Platform},
    sycamorerail_wire::{
        message::{
            AgentIdentity, ConfigMark, EntryReplyBody, EntryStatus, TemplateRecord, ToEntry,
        },
        session::SessionError,
    },
};

/// Organisations' records newer than a mark, one page.
pub type RecordsSince = dyn Fn(ConfigMark) -> Vec<TemplateRecord> + Send + Sync;

/// Revision in force by organisation.
pub type Revisions = dyn Fn() -> Vec<(String, u64)> + Send + Sync;

/// What other parts of the entry tell peers, and take from them.
pub struct Sources {
    /// See [`RecordsSince`].
    pub templates: Box<RecordsSince>,
    /// See [`Revisions`].
    pub revisions: Box<Revisions>,
}

impl Default for Sources {
    fn default() -> Self {
        Self { templates: Box::new(|_| Vec::new()), revisions: Box::new(Vec::new) }
    }
}

/// Other entries, as this one deals with them. Clones share it.
#[derive(Clone)]
pub struct Peers {
    inner: Arc<Inner>,
}

pub(crate) struct Inner {
    sources: Sources,
    membership: OnceLock<Membership>,
    /// Agents that said hello before there was a membership.
    early_agents: Mutex<Vec<AgentIdentity>>,
    sessions: Sessions,
    homes: Homes,
    fences: Fences,
    concluded: Concluded,
    usable: usable::Usable,
}

impl fmt::Debug for Peers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Peers(..)")
    }
}

impl Peers {
    /// Prepares the seams of one entry.
    #[must_use]
    pub fn new(sources: Sources) -> Self {
        let inner = Inner {
            sources,
            membership: OnceLock::new(),
            early_agents: Mutex::default(),
            sessions: Sessions::default(),
            homes: Homes::default(),
            fences: Fences::default(),
            concluded: Concluded::default(),
            usable: usable::Usable::default(),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Takes over the seams that concern other entries and the roster.
    #[must_use]
    pub fn seams(&self, base: Seams) -> Seams {
        let [forwards, serves, hears, retires] = std::array::from_fn(|_| Arc::clone(&self.inner));
        Seams {
            forward: Box::new(move |shared, id, call| {
                let inner = Arc::clone(&forwards);
                Box::pin(async move { inner.forward(&shared, id, call).await })
            }),
            on_entry_connection: Box::new(move |shared, connection| {
                tokio::spawn(serve::serve(Arc::clone(&serves), shared, connection));
            }),
            usable_by: Box::new(move |_, identity| {
                hears.heard(identity);
                None
            }),
            on_fenced: Box::new(move |shared, incarnation| match retires.membership.get() {
                Some(membership) => membership.retire(incarnation),
                None => shared.retire(incarnation),
            }),
            ..base
        }
    }

    /// Starts membership for a started entry. The mirror must be one of the
    /// whole prefix [`sycamorerail_membership::keys::ROOT`]. Once an entry.
    pub fn attach(&self, shared: &Arc<Shared>, platform: Platform, mirror: Mirror) {
        let hooks = self.hooks(shared);
        let membership = Membership::start(platform, mirror, config(shared), hooks);
        if self.inner.membership.set(membership).is_err() {
            return;
        }
        self.inner.usable.keep(Arc::clone(shared));
        shared.lifecycle.await_agents();
        self.inner.register_early_agents();
        self.inner.apply_records();
        tokio::spawn(gossip::tell_usage(Arc::downgrade(&self.inner), Arc::clone(shared)));
        tokio::spawn(arrival::settle(Arc::downgrade(&self.inner), Arc::clone(shared)));
        tokio::spawn(home::forget_on(Arc::downgrade(&self.inner), Arc::clone(shared)));
    }

    /// Membership, once attached.
    #[must_use]
    pub fn membership(&self) -> Option<&Membership> {
        self.inner.membership.get()
    }

    /// Withdraws this entry's announcement, at a planned stop.
    pub async fn leave(&self) {
        if let Some(membership) = self.membership() {
            membership.leave().await;
        }
    }

    /// Asks an entry how it stands.
    ///
    /// # Errors
    ///
    /// When it does not answer.
    pub async fn status(
        &self,
        shared: &Shared,
        address: SocketAddr,
    ) -> Result<EntryStatus, SessionError> {
        self.inner.status(shared, address).await
    }

    /// Asks all other entries for organisations' records newer than the mark:
    /// one page of each, `None` of one that does not answer.
    pub async fn templates(
        &self,
        shared: &Shared,
        since: ConfigMark,
        within: Duration,
    ) -> Vec<Option<Vec<TemplateRecord>>> {
        let addresses = self.inner.others(shared);
        let ask = |address| async move {
            let call = ToEntry::Templates { since };
            match self.inner.sessions.call(shared, address, &call, within).await.ok()?.body {
                EntryReplyBody::Templates(records) => Some(records),
                _ => None,
            }
        };
        futures::future::join_all(addresses.into_iter().map(ask)).await
    }

    /// Inner addresses of the other entries known.
    #[must_use]
    pub fn others(&self, shared: &Shared) -> Vec<SocketAddr> {
        self.inner.others(shared)
    }

    fn hooks(&self, shared: &Arc<Shared>) -> Hooks {
        // Weak: membership is held by what the hooks refer to.
        let weak = Arc::downgrade(&self.inner);
        let of_shared = || Arc::clone(shared);
        let (retiring, connecting, reaching) = (of_shared(), of_shared(), of_shared());
        let (retires, changes, reaches) = (weak.clone(), weak.clone(), weak);
        Hooks {
            retired: Box::new(move |fenced| {
                if let Some(inner) = retires.upgrade() {
                    inner.usable.retire(&retiring, fenced);
                }
                retiring.incarnation()
            }),
            changed: Box::new(move || {
                if let Some(inner) = changes.upgrade() {
                    inner.apply_records();
                }
            }),
            connected: Box::new(move |agent| usable::is_connected(&connecting, agent)),
            reaches: Box::new(move |address, incarnation| {
                let (inner, shared) = (reaches.upgrade(), Arc::clone(&reaching));
                Box::pin(async move {
                    let Some(inner) = inner else { return true };
                    let status = inner.status(&shared, address).await;
                    status.is_ok_and(|status| status.incarnation == incarnation)
                })
            }),
        }
    }
}

impl Inner {
    /// Inner addresses of the other entries known.
    fn others(&self, shared: &Shared) -> Vec<SocketAddr> {
        let known = match self.membership.get() {
            Some(membership) => membership.addresses(),
            None => shared.settings.peers.clone(),
        };
        known.into_iter().filter(|address| *address != shared.inner_address).collect()
    }

    /// Whether the platform shows the incarnation as fenced.
    fn is_fenced(&self, home: sycamorerail_wire::ids::Incarnation) -> bool {
        self.membership.get().is_some_and(|membership| membership.is_fenced(home))
    }
}

fn config(shared: &Shared) -> MembershipConfig {
    let settings = &shared.settings;
    MembershipConfig {
        own: EntryRecord {
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            inner_address: shared.inner_address,
            http_address: settings.http_address,
        },
        incarnation: shared.incarnation(),
        lease_ms: settings.platform.lease_ms,
        retention_ms: settings.limits.retention_ms,
        clock_margin_ms: CLOCK_MARGIN_MS,
        registrations_per_s: REGISTRATIONS_PER_S,
        // The other half of the budget is for all else.
        own_registrations_per_s: settings.platform.call_budget_per_s / 2,
        sweep_pause_ms: SWEEP_PAUSE_MS,
        peers: settings.peers.clone(),
    }
}
