//! An entry of a cluster: with its templates, peers and administration.
//!
//! One mirror of the platform's prefix feeds the templates and the membership.
//! While the platform is out, records are taken from peers.

use {
    crate::{
        admin::{self, Admin},
        callers::Binder,
        entry::{Entry, EntryHandle},
        error::EntryError,
        organisations::Organisations,
        peers::{Peers, Sources},
        seams::Seams,
        shared::Shared,
    },
    std::{sync::Arc, time::Duration},
    sycamorerail_membership::{
        evacuation::{self, UnreadableLog},
        keys::ROOT,
    },
    sycamorerail_platform::{Mirror, Platform, PlatformConfig},
    sycamorerail_settings::entry::{EntrySettings, PlatformSettings},
    sycamorerail_telemetry::event,
    sycamorerail_templates::{InForce, Publisher, Set, publish::SETTLE_MS},
    sycamorerail_wire::message::{ConfigMark, TemplateRecord},
    tokio::{task::JoinHandle, time::sleep},
};

/// The platform is given this long before peers are asked.
const PLATFORM_HEAD_START: Duration = Duration::from_millis(300);
/// An entry that starts without the platform waits so long for all peers to
/// tell what they have in force, from its start, in milliseconds.
const ALL_PEERS_WITHIN_MS: u64 = 4_000;
/// Pause between looks at whether peers must be asked.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(500);
/// Longest wait for a page of a peer.
const PAGE_WITHIN: Duration = Duration::from_millis(1_500);
/// Most pages taken in one go; each is up to
/// [`sycamorerail_templates::in_force::MAX_PAGE_BYTES`].
const MAX_PAGES: usize = 256;

/// A started entry of a cluster.
#[derive(Debug)]
pub struct ClusterEntry {
    /// The entry proper.
    pub entry: EntryHandle,
    /// Other entries.
    pub peers: Peers,
    /// Templates in force.
    pub in_force: InForce,
    /// Publishes changes of templates.
    pub publisher: Publisher,
    _tasks: Tasks,
}

#[derive(Debug)]
struct Tasks([JoinHandle<()>; 3]);

impl Drop for Tasks {
    fn drop(&mut self) {
        self.0.iter().for_each(JoinHandle::abort);
    }
}

impl ClusterEntry {
    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// When settings or keys are refused or an address is taken.
    pub async fn start(settings: EntrySettings) -> Result<Self, EntryError> {
        Self::start_with(settings, Seams::default()).await
    }

    /// Starts an entry whose other seams are given.
    ///
    /// # Errors
    ///
    /// When settings or keys are refused or an address is taken.
    pub async fn start_with(settings: EntrySettings, base: Seams) -> Result<Self, EntryError> {
        let platform = Platform::new(platform_config(&settings.platform))?;
        let mirror = Mirror::start(platform.clone(), ROOT, settings.platform.poll_ms);
        let in_force = InForce::start(mirror.clone());
        let publisher = Publisher::new(platform.clone(), in_force.clone(), SETTLE_MS);
        let peers = Peers::new(sources(&in_force));
        let admin = Admin::new(
            &settings.operators,
            in_force.clone(),
            publisher.clone(),
            platform.clone(),
            peers.clone(),
        );
        let binder = Binder::new(
            platform.clone(),
            settings.platform.key_budget_per_s,
            settings.limits.retention_ms,
        );
        let base = Seams { binder: Some(binder), ..base };
        let seams = seams(peers.seams(base), &in_force, Arc::new(admin));
        let entry = Entry::start_with(settings, seams).await?;
        let shared = &entry.shared;
        peers.attach(shared, platform, mirror.clone());
        let tasks = Tasks([
            tokio::spawn(follow_evacuations(Arc::clone(shared), mirror)),
            tokio::spawn(put_in_force(Arc::clone(shared), in_force.clone())),
            tokio::spawn(catch_up(Arc::clone(shared), in_force.clone(), peers.clone())),
        ]);
        Ok(Self { entry, peers, in_force, publisher, _tasks: tasks })
    }

    /// Waits until a planned stop is asked for through the administration API,
    /// or the HTTP server fails.
    pub async fn stopping(&mut self) {
        self.entry.stopping().await;
    }

    /// Stops as planned: finishes what is in flight, then withdraws the
    /// entry's announcement and ends.
    ///
    /// # Errors
    ///
    /// When the bound of the drain passed with requests in flight.
    pub async fn drain(self) -> Result<(), EntryError> {
        let ended = self.entry.drain().await;
        self.peers.leave().await;
        ended
    }
}

fn platform_config(settings: &PlatformSettings) -> PlatformConfig {
    PlatformConfig {
        url: settings.url.clone(),
        timeout_ms: settings.timeout_ms,
        call_budget_per_s: settings.call_budget_per_s,
    }
}

fn sources(in_force: &InForce) -> Sources {
    let (tells, lists) = (in_force.clone(), in_force.clone());
    Sources {
        templates: Box::new(move |since| {
            tells.seen_mark(since);
            tells.records_since(since)
        }),
        revisions: Box::new(move || lists.load().revisions()),
    }
}

fn seams(base: Seams, in_force: &InForce, admin: Arc<Admin>) -> Seams {
    let marked = in_force.clone();
    Seams {
        on_config_mark: Box::new(move |_, mark| marked.seen_mark(mark)),
        mount: Box::new(move |rocket| admin::mount(rocket, Arc::clone(&admin))),
        ..base
    }
}

/// Puts evacuations in force as the platform shows them.
async fn follow_evacuations(shared: Arc<Shared>, mirror: Mirror) {
    let mut changed = mirror.subscribe();
    let mut unreadable = UnreadableLog::default();
    loop {
        changed.borrow_and_update();
        let copy = mirror.snapshot();
        shared.hold_evacuations(&evacuation::in_force(&copy));
        unreadable.look(&copy);
        if changed.changed().await.is_err() {
            return;
        }
    }
}

/// Puts each new set in force on the path of requests.
async fn put_in_force(shared: Arc<Shared>, in_force: InForce) {
    let mut changed = in_force.subscribe();
    loop {
        if in_force.ready() {
            let copy = in_force.mirror().snapshot();
            shared.hold_evacuations(&evacuation::in_force(&copy));
            shared.set_organisations(compile(&shared, &in_force.load()));
        }
        if changed.changed().await.is_err() {
            return;
        }
    }
}

fn compile(shared: &Shared, set: &Set) -> Organisations {
    let templates: Vec<_> =
        set.templates().map(|(revision, template)| (revision, template.clone())).collect();
    Organisations::compile(&shared.names, set.mark, &templates)
}

/// Takes records from peers as long as there is no set, or a peer told of a
/// change that the platform does not give: it is out for this entry, or its
/// watch is open and silent.
async fn catch_up(shared: Arc<Shared>, in_force: InForce, peers: Peers) {
    sleep(PLATFORM_HEAD_START).await;
    let mut was_behind = false;
    loop {
        let behind = in_force.behind();
        let lags = behind && (was_behind || !in_force.mirror().healthy());
        if !in_force.ready() || lags {
            let told = records_of_peers(&shared, &in_force, &peers).await;
            // The one that has not answered may be the only one with the newest.
            let enough = told.by_all || shared.now_ms() >= ALL_PEERS_WITHIN_MS;
            if in_force.ready() || enough {
                take_from_peers(&in_force, told.records);
            }
        }
        was_behind = behind;
        sleep(CATCH_UP_PAUSE).await;
    }
}

fn take_from_peers(in_force: &InForce, records: Vec<TemplateRecord>) {
    metrics::counter!("sycamorerail_peer_records_total").increment(records.len() as u64);
    event!(Info, "records_from_peers", records = records.len());
    in_force.take_from_peer(records);
}

/// What peers told.
struct ToldByPeers {
    records: Vec<TemplateRecord>,
    /// Every peer known has answered.
    by_all: bool,
}

/// All records of all peers that answer, newer than those held.
async fn records_of_peers(shared: &Shared, in_force: &InForce, peers: &Peers) -> ToldByPeers {
    // Peers take it as a mark that is in force here, so it must not exceed that.
    let exact = ConfigMark(in_force.mirror().mark());
    let mut since = exact.min(in_force.load().mark);
    let (mut records, mut by_all) = (Vec::new(), true);
    for _ in 0..MAX_PAGES {
        let told = peers.templates(shared, since, PAGE_WITHIN).await;
        by_all &= told.iter().all(Option::is_some);
        let pages: Vec<_> = told.into_iter().flatten().collect();
        // Each page is whole up to its last mark.
        let last_marks = pages.iter().filter_map(|page| page.last()).map(|last| last.mark);
        let Some(next) = last_marks.min() else { break };
        since = next;
        records.extend(pages.into_iter().flatten());
    }
    ToldByPeers { records, by_all }
}
