//! Votes of holders that have dropped a claim while its claimant counts them.

use {
    std::net::SocketAddr,
    sycamorerail_decide::claims::{ClaimDecision, ClaimLimits, ClaimRequest, ClaimTable, Claims},
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{CallerJobId, EntryAddress},
    },
};

const LIMITS: ClaimLimits = ClaimLimits::new(1_240, 900, 200);
const JOB: CallerJobId = CallerJobId(7);
const FIRST: Incarnation = Incarnation(1);
const SECOND: Incarnation = Incarnation(2);
const STEP_MS: usize = 20;
const DEADLINE_MS: u64 = 20_000;

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
    /// Asks those holders that are in reach.
    fn ask(
        &mut self,
        claims: &mut Claims,
        claimant: Incarnation,
        asked: &[ClaimRequest],
        reached: &[usize],
        now_ms: u64,
    ) -> Vec<ClaimDecision> {
        let mut decisions = Vec::new();
        for ClaimRequest { holder, claim } in asked {
            let at = self.addresses.iter().position(|address| address == holder).unwrap();
            if reached.contains(&at) {
                let answer = self.tables[at].claim(*claim, claimant, now_ms);
                decisions.extend(claims.answered(answer, *holder, now_ms));
            }
        }
        decisions
    }

    /// The first entry is heard by some holders meanwhile, over the connections that it has had.
    fn pass(
        &mut self,
        claims: &mut Claims,
        reached: &[usize],
        span_ms: std::ops::Range<u64>,
    ) -> Vec<CallerJobId> {
        let mut lapsed = Vec::new();
        for now_ms in span_ms.step_by(STEP_MS) {
            self.tables.iter_mut().for_each(|table| table.tick(now_ms));
            for &at in reached {
                self.tables[at].heard(FIRST, now_ms);
                claims.confirmed(self.addresses[at], now_ms);
            }
            let (_, asked) = claims.tick(now_ms);
            self.ask(claims, FIRST, &asked, reached, now_ms);
            lapsed.extend(claims.take_lapsed(now_ms));
        }
        lapsed
    }
}

/// Guards against two majorities: a holder does not hear an entry for so long that it grants the
/// job to another one, and hears it again over the same connection. The entry counts its vote on
/// when another holder goes out of reach.
#[test]
fn a_vote_counts_no_more_once_its_holder_may_have_dropped_the_claim() {
    let (mut first, mut second) = (Claims::new(LIMITS), Claims::new(LIMITS));
    let asked = first.begin(JOB, &entries(), DEADLINE_MS, 0);
    let addresses: Vec<_> = asked.iter().map(|request| request.holder).collect();
    let tables = addresses.iter().map(|_| ClaimTable::new(LIMITS)).collect();
    let mut holders = Holders { addresses, tables };
    holders.tables.iter_mut().for_each(|table| table.connected(FIRST, 1, 0));
    let decided = holders.ask(&mut first, FIRST, &asked, &[0, 1, 2], 0);
    assert_eq!(decided, [ClaimDecision::Granted]);
    let unheard_until_ms = LIMITS.outlast_ms() + 100;
    assert_eq!(holders.pass(&mut first, &[0, 1], 0..unheard_until_ms), []);

    let asked = second.begin(JOB, &entries(), DEADLINE_MS, unheard_until_ms);
    let holder = holders.addresses[2];
    holders.ask(&mut second, SECOND, &asked, &[0, 1, 2], unheard_until_ms);
    assert_eq!(second.state(JOB).unwrap().granted_by, [holder]);

    // Heard again by the last one; the second one goes out of reach.
    let lost_ms = unheard_until_ms + 200;
    assert_eq!(holders.pass(&mut first, &[0, 1, 2], unheard_until_ms..lost_ms), []);
    let granted_ms = lost_ms + LIMITS.outlast_ms() + 20;
    holders.tables[1].disconnected(FIRST, 1, lost_ms);
    first.holder_lost(holders.addresses[1], false, lost_ms);
    let lapsed = holders.pass(&mut first, &[0, 2], lost_ms..granted_ms);
    assert_eq!(lapsed, [JOB], "kept by the vote of a holder that has granted it to another entry");
}
