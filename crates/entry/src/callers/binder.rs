//! Binding callers' own keys to reserved ids, at the platform.
//!
//! A key is bound by create-if-absent, so that it has one id whatever entry it
//! comes to; the id then keeps its job to one start. The binding lasts under a
//! lease that outlives the key: a key older than the retention is refused, so
//! no key is ever bound a second time.
//!
//! Leases are shared by all keys of a while: one a key would double the writes.

use {
    crate::shared::Shared,
    parking_lot::Mutex,
    std::{
        collections::{HashMap, VecDeque},
        sync::Arc,
    },
    sycamorerail_clock::Clock,
    sycamorerail_platform::{
        Effect, Expected, LeaseId, Platform, PlatformError, PlatformErrorKind, Swap,
        budget::CallBudget,
    },
    sycamorerail_telemetry::event,
    sycamorerail_wire::ids::{JobId, OrganisationKey},
    uuid::Uuid,
};

/// Prefix of bindings at the platform. It is not mirrored.
const PREFIX: &str = "/sycamorerail-keys";
/// A key may be this far ahead of the entry's clock, in milliseconds.
pub(super) const MAX_AHEAD_MS: u64 = 30_000;
/// Longest time for which one lease takes new keys, in milliseconds.
const MAX_LEASE_SHARE_MS: u64 = 60_000;
/// Allowance for differences of clocks, in milliseconds; at least a tenth of
/// the retention is allowed.
const CLOCK_MARGIN_MS: u64 = 60_000;
/// Most bindings remembered, at about 200 bytes each.
const MAX_REMEMBERED: usize = 50_000;
/// Tries at a binding whose answers get lost or whose lease has ended.
const MAX_TRIES: usize = 3;
/// The platform's status for a lease that has ended.
const LEASE_GONE: PlatformErrorKind = PlatformErrorKind::Status(404);

/// Why a key has no id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BindError {
    /// The platform is out or slow; the key may be bound, now or later.
    Platform(PlatformError),
    /// The budget of calls for keys is used up; nothing was sent.
    Budget,
    /// What is bound to the key is no id of this cluster.
    Malformed,
}

impl From<PlatformError> for BindError {
    fn from(err: PlatformError) -> Self {
        if err.kind == PlatformErrorKind::Budget { Self::Budget } else { Self::Platform(err) }
    }
}

type Key = (OrganisationKey, Uuid);

#[derive(Debug, Default)]
struct Remembered {
    ids: HashMap<Key, JobId>,
    order: VecDeque<Key>,
}

#[derive(Clone, Copy, Debug)]
struct SharedLease {
    id: LeaseId,
    until_ms: u64,
}

/// Binds keys.
#[derive(Debug)]
pub struct Binder {
    platform: Platform,
    budget: Mutex<CallBudget>,
    lease: tokio::sync::Mutex<Option<SharedLease>>,
    remembered: Mutex<Remembered>,
    retention_ms: u64,
}

impl Binder {
    /// A binder with a call budget of its own.
    #[must_use]
    pub fn new(platform: Platform, budget_per_s: u32, retention_ms: u32) -> Self {
        Self {
            platform,
            budget: Mutex::new(CallBudget::new(budget_per_s, 0)),
            lease: tokio::sync::Mutex::default(),
            remembered: Mutex::default(),
            retention_ms: retention_ms.into(),
        }
    }

    /// The id that the key is known to be bound to.
    #[must_use]
    pub fn known(&self, organisation: OrganisationKey, key: Uuid) -> Option<JobId> {
        self.remembered.lock().ids.get(&(organisation, key)).copied()
    }

    /// Binds a key to a fresh id, unless it is bound; returns its id.
    ///
    /// # Errors
    ///
    /// When that is not known. Nothing runs under the key by this call; it may
    /// be bound all the same, to an id under which nothing was submitted.
    pub async fn bind(
        &self,
        shared: &Arc<Shared>,
        organisation: OrganisationKey,
        key: Uuid,
    ) -> Result<JobId, BindError> {
        let fresh = shared.mint(organisation, 1)[0];
        let text = fresh.to_string();
        let path = format!("{PREFIX}/{:016x}/{key}", organisation.0);
        for _ in 0..MAX_TRIES {
            let lease = self.lease(shared.now_ms()).await?;
            self.pay(shared)?;
            let swap = self.platform.swap(&path, Expected::Absent, &text, Some(lease), &[]).await;
            let bound = match swap {
                Ok(Swap::Done { .. }) => Some(text.clone()),
                Ok(Swap::Lost { current }) => current.map(|current| current.value),
                Err(err) if err.kind == LEASE_GONE => {
                    self.forget_lease(lease).await;
                    None
                }
                Err(err) if err.effect == Effect::Open => self.read_back(shared, &path).await?,
                Err(err) => return Err(err.into()),
            };
            if let Some(bound) = bound {
                let id = JobId::parse(&shared.id_key, &bound).map_err(|_| BindError::Malformed)?;
                self.remember((organisation, key), id);
                return Ok(id);
            }
        }
        Err(BindError::Platform(self.gave_up()))
    }

    /// Its answer was lost: the key tells whether it took effect.
    async fn read_back(&self, shared: &Shared, path: &str) -> Result<Option<String>, BindError> {
        self.pay(shared)?;
        Ok(self.platform.get(path).await?.map(|found| found.value))
    }

    fn gave_up(&self) -> PlatformError {
        PlatformError {
            step: sycamorerail_platform::PlatformStep::Swap,
            peer: self.platform.url().to_owned(),
            kind: PlatformErrorKind::Timeout,
            effect: Effect::Open,
        }
    }

    fn pay(&self, shared: &Shared) -> Result<(), BindError> {
        let paid = self.budget.lock().take(shared.now_ms(), 0);
        if paid { Ok(()) } else { Err(BindError::Budget) }
    }

    /// A lease that outlives every key bound under it now.
    async fn lease(&self, now_ms: u64) -> Result<LeaseId, BindError> {
        let mut lease = self.lease.lock().await;
        if let Some(held) = *lease
            && now_ms < held.until_ms
        {
            return Ok(held.id);
        }
        let share_ms = (self.retention_ms / 10).clamp(1, MAX_LEASE_SHARE_MS);
        let margin_ms = (self.retention_ms / 10).max(CLOCK_MARGIN_MS);
        let ttl_ms = self.retention_ms + MAX_AHEAD_MS + share_ms + margin_ms;
        let id = self.platform.grant(u32::try_from(ttl_ms).unwrap_or(u32::MAX)).await?;
        *lease = Some(SharedLease { id, until_ms: now_ms + share_ms });
        event!(Info, "key_lease_granted", lease = id.0, ttl_ms = ttl_ms);
        Ok(id)
    }

    async fn forget_lease(&self, gone: LeaseId) {
        let mut lease = self.lease.lock().await;
        if lease.is_some_and(|held| held.id == gone) {
            *lease = None;
        }
    }

    fn remember(&self, key: Key, id: JobId) {
        let mut remembered = self.remembered.lock();
        if remembered.ids.insert(key, id).is_none() {
            remembered.order.push_back(key);
        }
        if remembered.order.len() > MAX_REMEMBERED
            && let Some(oldest) = remembered.order.pop_front()
        {
            remembered.ids.remove(&oldest);
        }
    }

    /// Whether a key was made longer ago than the retention.
    #[must_use]
    pub fn is_expired(&self, made_unix_ms: u64) -> bool {
        made_unix_ms + self.retention_ms < Clock::unix_ms()
    }
}
