//! Quotas of organisations: this entry's part, from what the others tell.

use {
    crate::{organisations::Organisation, shared::Shared},
    dashmap::DashMap,
    parking_lot::Mutex,
    std::{collections::HashMap, sync::Arc},
    sycamorerail_decide::{
        admission::limit::{OrganisationLimit, QuotaPart},
        retry::RetryBudget,
        share::{Quota, QuotaShares, REPORT_VALID_MS},
    },
    sycamorerail_wire::{
        ids::{Incarnation, OrganisationKey},
        message::UsageReport,
    },
};

/// One organisation's use of this entry.
#[derive(Clone, Debug)]
struct Account {
    limit: Arc<OrganisationLimit>,
    retries: Arc<RetryBudget>,
}

#[derive(Debug)]
struct Window {
    shares: QuotaShares,
    own: Incarnation,
    heard_at_ms: HashMap<Incarnation, u64>,
    closed_at_ms: u64,
}

/// Quotas of all organisations.
#[derive(Debug)]
pub struct Quotas {
    accounts: DashMap<OrganisationKey, Account>,
    window: Mutex<Window>,
}

impl Quotas {
    /// Nothing was used yet.
    #[must_use]
    pub fn new(own: Incarnation) -> Self {
        let window = Window {
            shares: QuotaShares::new(own),
            own,
            heard_at_ms: HashMap::new(),
            closed_at_ms: 0,
        };
        Self { accounts: DashMap::new(), window: Mutex::new(window) }
    }

    /// The organisation's limit here.
    #[must_use]
    pub fn limit(&self, organisation: &Organisation) -> Arc<OrganisationLimit> {
        self.account(organisation).limit
    }

    /// The organisation's budget of retries here.
    #[must_use]
    pub fn retries(&self, organisation: &Organisation) -> Arc<RetryBudget> {
        self.account(organisation).retries
    }

    fn account(&self, organisation: &Organisation) -> Account {
        if let Some(account) = self.accounts.get(&organisation.key) {
            return account.clone();
        }
        let account = self.accounts.entry(organisation.key).or_insert_with(|| Account {
            limit: Arc::new(OrganisationLimit::new(quota(organisation).part(1.0, 1))),
            retries: Arc::default(),
        });
        account.clone()
    }

    /// Gives each organisation this entry's part of its quota.
    pub fn divide(&self, shared: &Shared) {
        let now_ms = shared.now_ms();
        let entries = self.entries(shared, now_ms);
        for organisation in shared.organisations.load().all() {
            let part = self.part(organisation, &entries, now_ms);
            self.account(organisation).limit.set(part);
        }
    }

    fn part(&self, organisation: &Organisation, entries: &[Incarnation], now_ms: u64) -> QuotaPart {
        let fraction = self.window.lock().shares.fraction(organisation.key, entries, now_ms);
        quota(organisation).part(fraction, entries.len())
    }

    /// All entries known. Those known only by address were not heard, and any
    /// other run stands for them.
    fn entries(&self, shared: &Shared, now_ms: u64) -> Vec<Incarnation> {
        let mut window = self.window.lock();
        window.heard_at_ms.retain(|_, at_ms| *at_ms + REPORT_VALID_MS >= now_ms);
        let mut entries = vec![window.own];
        entries.extend(window.heard_at_ms.keys().copied());
        let known = shared.members.load().entries.len();
        let missing = known.saturating_sub(entries.len()) as u64;
        entries.extend((0..missing).map(Incarnation));
        entries
    }
}

fn quota(organisation: &Organisation) -> Quota {
    let quota = organisation.quota;
    Quota {
        starts_per_s: quota.starts_per_s,
        burst: quota.burst,
        max_in_flight: quota.max_in_flight,
    }
}

/// Ends a window of demand at this entry. Returns the number of the report that
/// the other entries are to hold now.
pub fn close_usage_window(shared: &Shared) -> u64 {
    let now_ms = shared.now_ms();
    let quotas = &shared.dispatch.quotas;
    let asked: Vec<_> = quotas
        .accounts
        .iter()
        .map(|account| (*account.key(), account.limit.take_requested()))
        .collect();
    let number = {
        let mut window = quotas.window.lock();
        let length_ms = now_ms.saturating_sub(window.closed_at_ms);
        window.closed_at_ms = now_ms;
        let length_ms = u32::try_from(length_ms).unwrap_or(u32::MAX);
        window.shares.close_window(asked, length_ms, now_ms)
    };
    quotas.divide(shared);
    number
}

/// What to tell an entry that holds the report of this number; 0 for none.
#[must_use]
pub fn usage_since(shared: &Shared, number: u64) -> UsageReport {
    shared.dispatch.quotas.window.lock().shares.report(number)
}

/// Takes another entry's report; `false` if all must be told instead.
#[must_use]
pub fn hear_usage(shared: &Shared, report: &UsageReport) -> bool {
    let now_ms = shared.now_ms();
    let mut window = shared.dispatch.quotas.window.lock();
    if report.entry == window.own {
        return true;
    }
    window.heard_at_ms.insert(report.entry, now_ms);
    window.shares.receive_report(report, now_ms)
}
