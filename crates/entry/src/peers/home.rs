//! Homes that cannot be reached: watched until reached again or shown lost.

use {
    super::{Inner, sessions},
    crate::shared::Shared,
    dashmap::DashMap,
    parking_lot::Mutex,
    rand::seq::IndexedRandom,
    std::{
        net::SocketAddr,
        sync::{Arc, Weak},
        time::Duration,
    },
    sycamorerail_clock::Clock,
    sycamorerail_decide::fence::home_watch::{HomeState, HomeWatch, ReachResult},
    sycamorerail_telemetry::event,
    sycamorerail_wire::{
        ids::{Incarnation, JobId},
        message::{EntryReplyBody, ToEntry},
    },
    tokio::time::sleep,
};

/// Pauses between attempts to reach a home in doubt, in the time after which it
/// is lost.
const PAUSES: u64 = 5;
/// Pause between rounds of forgetting.
const FORGET_PAUSE: Duration = Duration::from_secs(5);

/// Homes in doubt or lost.
#[derive(Debug, Default)]
pub(super) struct Homes {
    watches: DashMap<Incarnation, Arc<Mutex<HomeWatch>>>,
}

impl Homes {
    /// Where a home stands, as far as known.
    pub(super) fn standing(&self, home: Incarnation) -> HomeState {
        self.watches.get(&home).map_or(HomeState::Reachable, |watch| watch.lock().state())
    }
}

impl Inner {
    /// Takes what came of an attempt to reach the home of a job; from the
    /// first failure on it is watched.
    pub(super) fn sighted(
        self: &Arc<Self>,
        shared: &Arc<Shared>,
        id: &JobId,
        sighting: ReachResult,
    ) -> HomeState {
        let home = id.incarnation;
        let now_ms = shared.now_ms();
        if sighting == ReachResult::Answered {
            self.homes.watches.remove(&home);
            return HomeState::Reachable;
        }
        let lost_after_ms = u64::from(shared.settings.limits.lost_after_ms);
        let mut is_new = false;
        let watch = Arc::clone(&self.homes.watches.entry(home).or_insert_with(|| {
            is_new = true;
            Arc::new(Mutex::new(HomeWatch::new(lost_after_ms)))
        }));
        let mut watching = watch.lock();
        watching.note_own_attempt(sighting, now_ms);
        let standing = watching.state();
        drop(watching);
        if is_new && standing != HomeState::Lost {
            event!(Warn, "home_in_doubt", home = home, address = id.home);
            tokio::spawn(Arc::clone(self).watch_home(Arc::clone(shared), *id, watch));
        }
        standing
    }

    /// Tries to reach a home, directly and through others, until it is reached
    /// or lost.
    async fn watch_home(
        self: Arc<Self>,
        shared: Arc<Shared>,
        id: JobId,
        watch: Arc<Mutex<HomeWatch>>,
    ) {
        let pause_ms = u64::from(shared.settings.limits.lost_after_ms) / PAUSES;
        loop {
            sleep(Duration::from_millis(pause_ms.max(1))).await;
            let (own, witness) =
                tokio::join!(self.try_home(&shared, &id), self.ask_witness(&shared, &id));
            let standing = {
                let (mut watch, now_ms) = (watch.lock(), shared.now_ms());
                watch.note_own_attempt(own, now_ms);
                watch.note_witness_attempt(witness, now_ms);
                watch.state()
            };
            match standing {
                HomeState::InDoubt { .. } => {}
                HomeState::Reachable => {
                    self.homes.watches.remove(&id.incarnation);
                    return event!(Info, "home_reached_again", home = id.incarnation);
                }
                HomeState::Lost => {
                    return event!(Warn, "home_lost", home = id.incarnation, address = id.home);
                }
            }
        }
    }

    async fn try_home(&self, shared: &Shared, id: &JobId) -> ReachResult {
        let call = ToEntry::Reach { address: id.home, incarnation: id.incarnation };
        match self.sessions.call(shared, id.home, &call, sessions::reach_within(shared)).await {
            Ok(reply) => sighting(&reply.body, id.incarnation),
            Err(_) => ReachResult::Unreachable,
        }
    }

    /// Asks a peer, at random. Where there is none, and where the platform
    /// shows that the home's lease has ended, that counts as a witness.
    async fn ask_witness(&self, shared: &Shared, id: &JobId) -> ReachResult {
        let others = self.others(shared);
        let peers: Vec<SocketAddr> =
            others.into_iter().filter(|address| *address != id.home).collect();
        let chosen = peers.choose(&mut rand::rng()).copied();
        let Some(peer) = chosen else { return ReachResult::Unreachable };
        let call = ToEntry::Reach { address: id.home, incarnation: id.incarnation };
        let within = sessions::reach_within(shared) * 2;
        match self.sessions.call(shared, peer, &call, within).await {
            Ok(reply) => sighting(&reply.body, id.incarnation),
            // A peer that is away tells nothing; the lease may.
            Err(_) if self.has_lease(id.incarnation) => ReachResult::Answered,
            Err(_) => ReachResult::Unreachable,
        }
    }

    fn has_lease(&self, home: Incarnation) -> bool {
        self.membership
            .get()
            .is_some_and(|membership| membership.members().entries.contains_key(&home))
    }
}

fn sighting(body: &EntryReplyBody, home: Incarnation) -> ReachResult {
    match body {
        EntryReplyBody::Reached(Some(run)) if *run == home => ReachResult::Answered,
        EntryReplyBody::Reached(Some(_)) => ReachResult::OtherIncarnation,
        _ => ReachResult::Unreachable,
    }
}

/// Forgets what concerns expired ids, for as long as the entry runs.
pub(super) async fn forget_on(inner: Weak<Inner>, shared: Arc<Shared>) {
    loop {
        sleep(FORGET_PAUSE).await;
        let Some(inner) = inner.upgrade() else { return };
        let retention_ms = u64::from(shared.settings.limits.retention_ms);
        let before_unix_ms = Clock::unix_ms().saturating_sub(retention_ms);
        inner.concluded.forget_before(before_unix_ms);
        inner.fences.forget_before(before_unix_ms);
    }
}
