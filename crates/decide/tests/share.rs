//! Division of quotas among entries: their sum, the effect of demand, and the minimum.

use {
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
    std::collections::HashMap,
    sycamorerail_decide::share::{Quota, QuotaShares, REPORT_VALID_MS},
    sycamorerail_wire::ids::{Incarnation, OrganisationKey},
};

const ORGANISATION: OrganisationKey = OrganisationKey(7);
const WINDOW_MS: u32 = 1_000;

struct Entries {
    ids: Vec<Incarnation>,
    shares: Vec<QuotaShares>,
    /// Number of the first entry's report that the second entry holds.
    held: HashMap<(usize, usize), u64>,
    /// Number of organisations in all reports together.
    named: usize,
    now_ms: u64,
}

impl Entries {
    fn new(count: usize) -> Self {
        let ids: Vec<_> = (0..count as u64).map(Incarnation).collect();
        let shares = ids.iter().map(|id| QuotaShares::new(*id)).collect();
        Self { ids, shares, held: HashMap::new(), named: 0, now_ms: 1_000 }
    }

    /// Runs one window with the given demand at each entry. Reports reach only the
    /// entries on the same side of the partition.
    fn window(&mut self, demand: &[u32], side: &[u8]) {
        self.now_ms += u64::from(WINDOW_MS);
        for from in 0..self.ids.len() {
            let requested = [(ORGANISATION, demand[from])];
            self.shares[from].close_window(requested, WINDOW_MS, self.now_ms);
            for to in (0..self.ids.len()).filter(|&to| to != from && side[to] == side[from]) {
                self.send_report(from, to);
            }
        }
    }

    fn send_report(&mut self, from: usize, to: usize) {
        let held = self.held.get(&(from, to)).copied().unwrap_or(0);
        let mut report = self.shares[from].report(held);
        if !self.shares[to].receive_report(&report, self.now_ms) {
            report = self.shares[from].report(0);
            assert!(
                self.shares[to].receive_report(&report, self.now_ms),
                "a full report is accepted"
            );
        }
        self.named += report.starts_per_s.len();
        self.held.insert((from, to), report.number);
    }

    fn fractions(&self) -> Vec<f64> {
        let of = |it: &QuotaShares| it.fraction(ORGANISATION, &self.ids, self.now_ms);
        self.shares.iter().map(of).collect()
    }
}

fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(1);
    ProptestConfig { cases: 256, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// For any demand and any network partition, all fractions together are one, and
    /// none is below a fifth of an equal part.
    #[test]
    fn sum_bound(
        count in 1usize..20,
        windows in vec((vec(0u32..5_000, 20), vec(0u8..3, 20)), 1..8),
    ) {
        let mut entries = Entries::new(count);
        for (demand, side) in windows {
            // The partition lasts longer than reports count.
            entries.now_ms += REPORT_VALID_MS;
            entries.window(&demand, &side);
            let fractions = entries.fractions();
            prop_assert!((fractions.iter().sum::<f64>() - 1.0).abs() < 1e-9);
            prop_assert!(fractions.iter().all(|it| *it >= 0.199 / count as f64));
        }
    }

    /// The parts of a quota sum to at most the quota, or to one task in flight per
    /// entry.
    #[test]
    fn part_bound(
        count in 1usize..20, demand in vec(0u32..5_000, 20),
        starts_per_s: u32, burst: u32, max_in_flight in 0u32..2_000,
    ) {
        let mut entries = Entries::new(count);
        entries.window(&demand, &[0; 20]);
        let quota = Quota { starts_per_s, burst, max_in_flight };
        let fractions = entries.fractions();
        let parts: Vec<_> = fractions.iter().map(|it| quota.part(*it, count)).collect();
        let rate: f64 = parts.iter().map(|it| it.starts_per_s).sum();
        let bursts: f64 = parts.iter().map(|it| it.burst).sum();
        let in_flight: u32 = parts.iter().map(|it| it.max_in_flight).sum();
        prop_assert!(rate <= f64::from(starts_per_s) * (1.0 + 1e-9));
        prop_assert!(bursts <= f64::from(burst) * (1.0 + 1e-9));
        prop_assert!(in_flight <= max_in_flight.max(count as u32));
        prop_assert!(parts.iter().all(|it| (it.max_in_flight == 0) == (max_in_flight == 0)));
    }

    /// A steady demand of at most four fifths of the quota is met at each entry after
    /// a few windows, however it is distributed.
    #[test]
    fn demand_follows(weights in vec(0u32..100, 1..20), before in vec(0u32..5_000, 20)) {
        let total: u32 = weights.iter().sum();
        prop_assume!(total > 0);
        let quota_per_s = 10_000.0;
        let demand: Vec<_> = weights.iter().map(|it| it * 7_500 / total).collect();
        let mut entries = Entries::new(weights.len());
        entries.window(&before, &[0; 20]);
        (0..14).for_each(|_| entries.window(&demand, &[0; 20]));
        for (fraction, demand) in entries.fractions().into_iter().zip(demand) {
            prop_assert!(fraction * quota_per_s >= f64::from(demand), "{fraction} {demand}");
        }
    }
}

#[test]
fn no_reports() {
    let mut entries = Entries::new(4);
    assert_eq!(entries.fractions(), [0.25; 4]);
    entries.window(&[900, 0, 0, 0], &[0, 1, 2, 3]);
    assert_eq!(entries.fractions(), [0.25; 4]);
}

#[test]
fn stale_reports() {
    let mut entries = Entries::new(2);
    entries.window(&[900, 0], &[0, 0]);
    assert_eq!(entries.fractions(), [0.9, 0.1]);
    entries.now_ms += REPORT_VALID_MS + 1;
    assert_eq!(entries.fractions(), [0.5, 0.5]);
}

#[test]
fn idle_organisation() {
    let mut entries = Entries::new(2);
    entries.window(&[900, 0], &[0, 0]);
    (0..20).for_each(|_| entries.window(&[0, 0], &[0, 0]));
    assert_eq!(entries.fractions(), [0.5, 0.5]);
    entries.shares[0].close_window([], WINDOW_MS, entries.now_ms);
    assert_eq!(entries.shares[0].report(0).starts_per_s, []);
}

#[test]
fn changes_only() {
    let mut entries = Entries::new(2);
    (0..20).for_each(|_| entries.window(&[900, 100], &[0, 0]));
    let before = entries.named;
    (0..20).for_each(|_| entries.window(&[900, 100], &[0, 0]));
    assert_eq!(entries.named, before, "nothing has changed");
    entries.window(&[9_000, 100], &[0, 0]);
    assert_eq!(entries.named, before + 1, "a large change is reported at once");
    assert!(entries.fractions()[0] > 0.85, "{:?}", entries.fractions());
}

#[test]
fn lost_report() {
    let mut entries = Entries::new(2);
    entries.window(&[900, 0], &[0, 0]);
    // The second entry no longer holds the report of the first.
    entries.shares[1] = QuotaShares::new(entries.ids[1]);
    let changes = entries.shares[0].report(entries.held[&(0, 1)]);
    assert!(
        !entries.shares[1].receive_report(&changes, entries.now_ms),
        "changes to a report that is not held"
    );
    entries.window(&[900, 0], &[0, 0]);
    assert_eq!(entries.fractions(), [0.9, 0.1]);
}
