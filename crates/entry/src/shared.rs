//! What all parts of an entry share.

use {
    crate::{
        dispatch::Dispatch, drain::Lifecycle, jobs::Table, names::Names,
        organisations::Organisations, seams::Seams, upstreams::Registry,
    },
    arc_swap::ArcSwap,
    rand::Rng,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
    sycamorerail_clock::Clock,
    sycamorerail_decide::view::DataCentreKey,
    sycamorerail_settings::entry::EntrySettings,
    sycamorerail_telemetry::event,
    sycamorerail_wire::{
        ids::{IdKey, Incarnation, JobId, OrganisationKey},
        message::{ConfigMark, MemberList},
        runs::Evacuations,
    },
    tokio::sync::watch,
};

/// The run under which ids are minted, and their count.
#[derive(Debug)]
pub struct Home {
    /// The run.
    pub incarnation: Incarnation,
    next_sequence: AtomicU64,
}

impl Home {
    fn fresh() -> Self {
        Self { incarnation: Incarnation(rand::rng().random()), next_sequence: AtomicU64::new(0) }
    }
}

/// What all parts of an entry share.
#[derive(Debug)]
pub struct Shared {
    /// Settings.
    pub settings: EntrySettings,
    /// Clock of the process.
    pub clock: Clock,
    /// Key with which ids are tagged.
    pub id_key: IdKey,
    /// Address of the inner protocol as bound; named in ids.
    pub inner_address: SocketAddr,
    /// The inner protocol's endpoint, for dialling other entries.
    pub endpoint: quinn::Endpoint,
    /// Numbers of names.
    pub names: Names,
    /// Own data centre.
    pub data_centre: DataCentreKey,
    /// The run in use.
    pub home: ArcSwap<Home>,
    /// Templates in force. Replace by [`Shared::set_organisations`].
    pub organisations: ArcSwap<Organisations>,
    /// Entries and fenced runs, as told to agents. Whoever knows them stores a
    /// new list.
    pub members: ArcSwap<MemberList>,
    /// Evacuated data centres. Change by [`Shared::hold_evacuations`].
    pub evacuations: watch::Sender<Evacuations>,
    /// Jobs of this home.
    pub jobs: Table,
    /// Upstreams known.
    pub upstreams: Registry,
    /// Tasks that wait for an upstream.
    pub dispatch: Dispatch,
    /// Whether it is ready, draining, and what is in flight.
    pub lifecycle: Lifecycle,
    /// Where other parts come in.
    pub seams: Seams,
    config_mark: AtomicU64,
}

impl Shared {
    /// What an entry starts with.
    #[must_use]
    pub fn new(settings: EntrySettings, endpoint: quinn::Endpoint, seams: Seams) -> Self {
        let bound = endpoint.local_addr().unwrap_or(settings.inner_address);
        let inner_address = settings.advertised_address.unwrap_or(bound);
        let names = Names::default();
        let home = Home::fresh();
        let mut entries = settings.peers.clone();
        entries.push(inner_address);
        Self {
            clock: Clock::start(),
            id_key: IdKey::derive(&settings.cluster_secret),
            inner_address,
            endpoint,
            data_centre: names.data_centre(&settings.data_centre),
            names,
            organisations: ArcSwap::default(),
            members: ArcSwap::from_pointee(MemberList { entries, fenced: Vec::new() }),
            evacuations: watch::Sender::default(),
            jobs: Table::new(&settings.limits),
            upstreams: Registry::default(),
            dispatch: Dispatch::new(&settings.limits, home.incarnation),
            home: ArcSwap::from_pointee(home),
            lifecycle: Lifecycle::default(),
            seams,
            config_mark: AtomicU64::new(0),
            settings,
        }
    }

    /// Monotonic time in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// The run in use.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.home.load().incarnation
    }

    /// Mints ids for an organisation.
    #[must_use]
    pub fn mint(&self, organisation: OrganisationKey, count: u32) -> Vec<JobId> {
        let home = self.home.load();
        let first = home.next_sequence.fetch_add(count.into(), Ordering::AcqRel);
        let now_unix_ms = Clock::unix_ms();
        (first..first + u64::from(count))
            .map(|sequence| {
                JobId::mint(
                    &self.id_key,
                    self.inner_address,
                    home.incarnation,
                    now_unix_ms,
                    sequence,
                    organisation,
                )
            })
            .collect()
    }

    /// Takes a fenced run out of use: its jobs place nothing more, ids are
    /// minted under a new one.
    pub fn retire(self: &Arc<Self>, incarnation: Incarnation) {
        self.jobs.set_retired(incarnation);
        let home = self.home.load_full();
        if home.incarnation == incarnation {
            let fresh = Arc::new(Home::fresh());
            let next = fresh.incarnation;
            let before = self.home.compare_and_swap(&home, fresh);
            if Arc::ptr_eq(&before, &home) {
                event!(Warn, "incarnation_retired", incarnation = incarnation, next = next);
            }
        }
        crate::jobs::fence_all(self, incarnation);
    }

    /// Puts templates in force.
    pub fn set_organisations(self: &Arc<Self>, organisations: Organisations) {
        self.note_config_mark(organisations.mark);
        let all: Vec<_> = organisations.all().cloned().collect();
        self.organisations.store(Arc::new(organisations));
        crate::dispatch::declare(self, &all);
        self.lifecycle.set_configured();
        self.upstreams.rebuild(self);
        crate::dispatch::pump(self);
    }

    /// The highest configuration mark seen.
    #[must_use]
    pub fn config_mark(&self) -> ConfigMark {
        ConfigMark(self.config_mark.load(Ordering::Acquire))
    }

    /// Takes note of a mark on a message.
    pub fn note_config_mark(&self, mark: ConfigMark) {
        let before = self.config_mark.fetch_max(mark.0, Ordering::AcqRel);
        if before < mark.0 {
            (self.seams.on_config_mark)(self, mark);
        }
    }
}
