//! An entry that stood still claims its jobs again: others may have run them meanwhile.

use {
    std::net::SocketAddr,
    sycamorerail_decide::claims::{ClaimDecision, ClaimLimits, ClaimRequest, ClaimTable, Claims},
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{CallerJobId, ClaimRelease, EntryAddress},
    },
};

const LIMITS: ClaimLimits = ClaimLimits::new(1_240, 900, 200);
const JOB: CallerJobId = CallerJobId(7);
const FIRST: Incarnation = Incarnation(1);
const SECOND: Incarnation = Incarnation(2);
const STEP_MS: usize = 20;
/// The first entry stands still from here on.
const STALLED_MS: u64 = 1_000;
/// By then holders take it for gone.
const COPY_MS: u64 = STALLED_MS + 1_700;

fn entries() -> Vec<EntryAddress> {
    let entry = |last: u8| EntryAddress {
        address: SocketAddr::from(([10, 0, 0, last], 7_720)),
        data_centre: format!("dc-{}", last % 4),
    };
    (1..=14).map(entry).collect()
}

/// The holders of the job.
struct Holders {
    addresses: Vec<SocketAddr>,
    tables: Vec<ClaimTable>,
}

impl Holders {
    fn ask(
        &mut self,
        claims: &mut Claims,
        claimant: Incarnation,
        asked: &[ClaimRequest],
        now_ms: u64,
    ) -> Vec<ClaimDecision> {
        let mut decisions = Vec::new();
        for ClaimRequest { holder, claim } in asked {
            let at = self.addresses.iter().position(|address| address == holder).unwrap();
            self.tables[at].heard(claimant, now_ms);
            let answer = self.tables[at].claim(*claim, claimant, now_ms);
            claims.confirmed(*holder, now_ms);
            decisions.extend(claims.answered(answer, *holder, now_ms));
        }
        decisions
    }

    fn hear(&mut self, claims: &mut Claims, claimant: Incarnation, until_ms: u64, from_ms: u64) {
        for now_ms in (from_ms..=until_ms).step_by(STEP_MS) {
            for (holder, table) in self.addresses.iter().zip(&mut self.tables) {
                table.heard(claimant, now_ms);
                table.tick(now_ms);
                claims.confirmed(*holder, now_ms);
            }
            assert_eq!(claims.take_lapsed(now_ms), []);
        }
    }
}

/// A job that the first entry was granted, and the second one once the first one stood still for
/// long.
fn granted_to_both() -> (Claims, Claims, Holders, u64) {
    let (mut first, mut second) = (Claims::new(LIMITS), Claims::new(LIMITS));
    let asked = first.begin(JOB, &entries(), 20_000, 0);
    let addresses: Vec<_> = asked.iter().map(|request| request.holder).collect();
    let tables = addresses.iter().map(|_| ClaimTable::new(LIMITS)).collect();
    let mut holders = Holders { addresses, tables };
    holders.tables.iter_mut().for_each(|table| table.connected(FIRST, 1, 0));
    assert_eq!(holders.ask(&mut first, FIRST, &asked, 0), [ClaimDecision::Granted]);
    holders.hear(&mut first, FIRST, STALLED_MS, 0);
    for now_ms in (STALLED_MS..=COPY_MS).step_by(STEP_MS) {
        holders.tables.iter_mut().for_each(|table| table.tick(now_ms));
    }
    let asked = second.begin(JOB, &entries(), 20_000, COPY_MS);
    let number = asked[0].claim.number;
    assert_eq!(holders.ask(&mut second, SECOND, &asked, COPY_MS), [ClaimDecision::Granted]);
    (first, second, holders, number)
}

/// Guards against two runs: a job of an entry that stands still is granted to another one, which is
/// killed with the holders. They start again and know nothing; the first entry goes on, and names
/// its claim as one that is granted.
#[test]
fn a_claim_of_before_a_stall_is_not_granted_by_holders_that_start_again() {
    let (mut first, mut second, mut holders, _) = granted_to_both();
    let killed_ms = COPY_MS + 1_000;
    holders.hear(&mut second, SECOND, killed_ms, COPY_MS);
    let over_ms = killed_ms + LIMITS.run_over_ms;
    for table in &mut holders.tables {
        *table = ClaimTable::restarted(LIMITS, killed_ms + 100);
    }
    // Woken 200 ms after the kill; two passes over what is due, as in `tick_claims`.
    let woken_ms = killed_ms + 240;
    let asked = first.claim_again(woken_ms);
    let decisions = holders.ask(&mut first, FIRST, &asked, woken_ms);
    assert_eq!(decisions, [], "granted at {woken_ms} ms, the other entry's runs end by {over_ms}");
}

/// Guards against a job that runs again after it was done: another entry has run it while its first
/// entry stood still.
#[test]
fn a_claim_of_before_a_stall_is_not_granted_once_the_job_is_done_elsewhere() {
    let (mut first, mut second, mut holders, number) = granted_to_both();
    let done_ms = COPY_MS + 500;
    holders.hear(&mut second, SECOND, done_ms, COPY_MS);
    let release = ClaimRelease { job: JOB, number, after_ms: 0 };
    holders.tables.iter_mut().for_each(|table| table.release(release, SECOND, done_ms));
    let woken_ms = done_ms + 300;
    let asked = first.claim_again(woken_ms);
    let decisions = holders.ask(&mut first, FIRST, &asked, woken_ms);
    assert!(!decisions.contains(&ClaimDecision::Granted), "done at {done_ms} ms: {decisions:?}");
}

/// Guards against jobs that end as all processes stood still together: the holders still have their
/// claims.
#[test]
fn a_job_goes_on_after_a_stall_of_all_processes() {
    let mut first = Claims::new(LIMITS);
    let asked = first.begin(JOB, &entries(), 20_000, 0);
    let addresses: Vec<_> = asked.iter().map(|request| request.holder).collect();
    let tables = addresses.iter().map(|_| ClaimTable::new(LIMITS)).collect();
    let mut holders = Holders { addresses, tables };
    holders.tables.iter_mut().for_each(|table| table.connected(FIRST, 1, 0));
    assert_eq!(holders.ask(&mut first, FIRST, &asked, 0), [ClaimDecision::Granted]);
    holders.hear(&mut first, FIRST, STALLED_MS, 0);
    let woken_ms = STALLED_MS + 5_000;
    holders.tables.iter_mut().for_each(|table| table.tick(woken_ms));
    let asked = first.claim_again(woken_ms);
    assert_eq!(holders.ask(&mut first, FIRST, &asked, woken_ms), [ClaimDecision::Granted]);
    holders.hear(&mut first, FIRST, woken_ms + 5_000, woken_ms);
}
