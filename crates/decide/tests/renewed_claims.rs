//! Renewed claims: what a holder still has of an entry that stood still may be no grant of its own,
//! or may have waited behind a claim that was granted and is done.

use {
    std::net::SocketAddr,
    sycamorerail_decide::claims::{ClaimDecision, ClaimLimits, ClaimRequest, ClaimTable, Claims},
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{CallerJobId, ClaimAnswer, ClaimRelease, EntryAddress},
    },
};

const LIMITS: ClaimLimits = ClaimLimits::new(1_240, 900, 200);
const JOB: CallerJobId = CallerJobId(7);
const FIRST: Incarnation = Incarnation(1);
const SECOND: Incarnation = Incarnation(2);
const STEP_MS: usize = 20;
/// Two passes over what is due.
const PASSES_MS: u64 = 40;

fn entries() -> Vec<EntryAddress> {
    let entry = |last: u8| EntryAddress {
        address: SocketAddr::from(([10, 0, 0, last], 7_720)),
        data_centre: format!("dc-{}", last % 4),
    };
    (1..=14).map(entry).collect()
}

/// The three holders of the job, and the two entries that claim it.
struct World {
    addresses: Vec<SocketAddr>,
    tables: Vec<ClaimTable>,
    first: Claims,
    second: Claims,
}

impl World {
    /// The first entry has begun its claim at 0 ms.
    fn begin() -> (Self, Vec<ClaimRequest>) {
        let mut first = Claims::new(LIMITS);
        let asked = first.begin(JOB, &entries(), 30_000, 0);
        let addresses: Vec<_> = asked.iter().map(|request| request.holder).collect();
        let mut tables: Vec<_> = addresses.iter().map(|_| ClaimTable::new(LIMITS)).collect();
        for table in &mut tables {
            table.connected(FIRST, 1, 0);
            table.connected(SECOND, 1, 0);
        }
        (Self { addresses, tables, first, second: Claims::new(LIMITS) }, asked)
    }

    fn claims(&mut self, claimant: Incarnation) -> &mut Claims {
        if claimant == FIRST { &mut self.first } else { &mut self.second }
    }

    /// These holders read what is asked, and, if the entry reads answers, answer it.
    fn read(
        &mut self,
        claimant: Incarnation,
        asked: &[ClaimRequest],
        by: &[usize],
        answers: bool,
        now_ms: u64,
    ) -> Vec<ClaimDecision> {
        let mut decisions = Vec::new();
        for ClaimRequest { holder, claim } in asked {
            let at = self.addresses.iter().position(|address| address == holder).unwrap();
            if !by.contains(&at) {
                continue;
            }
            self.tables[at].heard(claimant, now_ms);
            let answer = self.tables[at].claim(*claim, claimant, now_ms);
            if answers {
                let claims = self.claims(claimant);
                claims.confirmed(*holder, now_ms);
                decisions.extend(claims.answered(answer, *holder, now_ms));
            }
        }
        decisions
    }

    /// An entry is heard by these holders for a while; the others stand by.
    fn pass(&mut self, heard: &[(Incarnation, &[usize])], from_ms: u64, until_ms: u64) {
        for now_ms in (from_ms..=until_ms).step_by(STEP_MS) {
            for (at, table) in self.tables.iter_mut().enumerate() {
                table.tick(now_ms);
                for (claimant, _) in heard.iter().filter(|(_, by)| by.contains(&at)) {
                    table.heard(*claimant, now_ms);
                }
            }
            for (claimant, by) in heard {
                let addresses: Vec<_> = by.iter().map(|&at| self.addresses[at]).collect();
                let claims = self.claims(*claimant);
                addresses.iter().for_each(|&holder| claims.confirmed(holder, now_ms));
                claims.take_lapsed(now_ms);
            }
        }
    }

    /// All holders read a new claim of an entry.
    fn ask(&mut self, claimant: Incarnation, now_ms: u64) {
        let asked = self.claims(claimant).begin(JOB, &entries(), 30_000, now_ms);
        let decisions = self.read(claimant, &asked, &[0, 1, 2], true, now_ms);
        assert_eq!(decisions, [ClaimDecision::Granted]);
    }

    /// The second entry, which reaches these holders, begins its claim. It is not granted at once.
    fn ask_second(&mut self, by: &[usize], now_ms: u64) {
        let asked = self.second.begin(JOB, &entries(), 30_000, now_ms);
        let decisions = self.read(SECOND, &asked, by, true, now_ms);
        assert_eq!(decisions.last(), Some(&ClaimDecision::Postponed));
    }

    /// The second entry, which reaches these holders, waits until it is granted. Returns when.
    fn wait_second(&mut self, by: &[usize], from_ms: u64) -> u64 {
        for now_ms in (from_ms..from_ms + 5_000).step_by(STEP_MS) {
            self.pass(&[(SECOND, by)], now_ms, now_ms);
            let (granted, requests) = self.second.tick(now_ms);
            let decisions = self.read(SECOND, &requests, by, true, now_ms);
            let is_denied = |decision: &_| matches!(decision, ClaimDecision::Denied { .. });
            assert!(!decisions.iter().any(is_denied), "denied at {now_ms} ms");
            if !granted.is_empty() || decisions.contains(&ClaimDecision::Granted) {
                return now_ms;
            }
        }
        panic!("the second entry is not granted the job");
    }

    /// The second entry is done with the job, and says so to the holders that it reaches.
    fn done(&mut self, by: &[usize], now_ms: u64) {
        let (number, _) = self.second.end(JOB).unwrap();
        let release = ClaimRelease { job: JOB, number, after_ms: 0 };
        by.iter().for_each(|&at| self.tables[at].release(release, SECOND, now_ms));
    }

    /// The first entry goes on, and asks for 250 ms. Returns what it is told.
    fn wake_first(&mut self, woken_ms: u64) -> Vec<ClaimDecision> {
        let again_ms = woken_ms + PASSES_MS;
        let asked = self.first.claim_again(again_ms);
        let mut decisions = self.read(FIRST, &asked, &[0, 1, 2], true, again_ms);
        for now_ms in (again_ms..again_ms + LIMITS.lost_after_ms).step_by(STEP_MS) {
            self.pass(&[(FIRST, &[0, 1, 2])], now_ms, now_ms);
            let (granted, requests) = self.first.tick(now_ms);
            decisions.extend(granted.iter().map(|_| ClaimDecision::Granted));
            decisions.extend(self.read(FIRST, &requests, &[0, 1, 2], true, now_ms));
        }
        decisions
    }
}

/// Guards against two runs at once. The first entry stands still from 1,000 ms on. The second one is
/// granted the job by all holders at 2,600 ms and runs it. It is killed with the holders at 3,600 ms;
/// its runs may go on until 4,840 ms. The holders start again at 3,700 ms. The first entry goes on at
/// 3,800 ms; before its next pass over what is due finds that it has stood still, its links connect
/// again and name the claim as granted. Two passes later the holders keep it for that.
#[test]
fn a_renewal_sent_before_a_stall_is_noticed_makes_no_grant() {
    let (mut world, asked) = World::begin();
    assert_eq!(world.read(FIRST, &asked, &[0, 1, 2], true, 0), [ClaimDecision::Granted]);
    world.pass(&[(FIRST, &[0, 1, 2])], 0, 1_000);
    world.pass(&[], 1_000, 2_600);
    let granted_ms = 2_600;
    let copied = world.second.begin(JOB, &entries(), 30_000, granted_ms);
    let decisions = world.read(SECOND, &copied, &[0, 1, 2], true, granted_ms);
    assert_eq!(decisions, [ClaimDecision::Granted]);
    let killed_ms = granted_ms + 1_000;
    world.pass(&[(SECOND, &[0, 1, 2])], granted_ms, killed_ms);
    let over_ms = killed_ms + LIMITS.run_over_ms;
    for table in &mut world.tables {
        *table = ClaimTable::restarted(LIMITS, killed_ms + 100);
    }
    let woken_ms = killed_ms + 200;
    for at in 0..3 {
        world.tables[at].connected(FIRST, 2, woken_ms);
        let renewals = world.first.renewals(world.addresses[at], woken_ms);
        world.read(FIRST, &renewals, &[at], false, woken_ms);
    }
    let decisions = world.wake_first(woken_ms);
    let is_granted = decisions.contains(&ClaimDecision::Granted);
    assert!(!is_granted, "granted at {woken_ms} ms, the other entry's runs end by {over_ms} ms");
}

/// Guards against a job that runs again after it was done. One holder reads the first entry's claim
/// late, at 1,700 ms, after the second entry's: it waits there, behind a claim that is granted. The
/// second entry reaches this one and one more, is granted the job once the first entry's claim has
/// ended there, and is done at some 3 s. What waited is kept then as if it had been granted.
#[test]
fn a_claim_that_waited_behind_one_that_is_done_is_not_kept() {
    let (mut world, asked) = World::begin();
    assert_eq!(world.read(FIRST, &asked, &[1, 2], true, 0), [ClaimDecision::Granted]);
    world.pass(&[(FIRST, &[1, 2])], 0, 1_000);
    world.pass(&[], 1_000, 1_600);
    world.ask_second(&[0, 1], 1_600);
    world.read(FIRST, &asked, &[0], false, 1_700);
    let granted_ms = world.wait_second(&[0, 1], 1_700);
    let done_ms = granted_ms + 400;
    world.pass(&[(SECOND, &[0, 1])], granted_ms, done_ms);
    world.done(&[0, 1], done_ms);
    let decisions = world.wake_first(done_ms + 100);
    assert!(!decisions.contains(&ClaimDecision::Granted), "done at {done_ms} ms: {decisions:?}");
}

/// Guards against the same without a late message, by two stalls in a row: the first entry goes on
/// at 1,600 ms, claims its job again at 1,640 ms as one that is granted, and stands still again before it
/// reads that one holder has another claim. What it sends to a second holder is lost with its
/// connection; there its claim ends, and the second entry, which does not reach the third, is
/// granted the job by those two.
#[test]
fn a_claim_that_waited_is_not_kept_after_two_stalls_in_a_row() {
    let (mut world, asked) = World::begin();
    assert_eq!(world.read(FIRST, &asked, &[1, 2], true, 0), [ClaimDecision::Granted]);
    world.pass(&[(FIRST, &[1, 2])], 0, 1_000);
    world.pass(&[], 1_000, 1_600);
    world.ask_second(&[0, 1], 1_600);
    let again = world.first.claim_again(1_640);
    world.read(FIRST, &again, &[0, 2], false, 1_640);
    let granted_ms = world.wait_second(&[0, 1], 1_640);
    let done_ms = granted_ms + 400;
    world.pass(&[(SECOND, &[0, 1])], granted_ms, done_ms);
    world.done(&[0, 1], done_ms);
    let decisions = world.wake_first(done_ms + 100);
    assert!(!decisions.contains(&ClaimDecision::Granted), "done at {done_ms} ms: {decisions:?}");
}

/// Guards against two runs at once: a claim and its release, which a cut has held up, are read after
/// another entry was granted the job. What it has is none of the copies that waited.
#[test]
fn a_release_that_is_read_late_takes_no_granted_claim() {
    let third = Incarnation(3);
    let (mut world, asked) = World::begin();
    world.ask(SECOND, 10);
    let table = &mut world.tables[0];
    table.claim(asked[0].claim, FIRST, 3_000);
    let number = asked[0].claim.number;
    table.release(ClaimRelease { job: JOB, number, after_ms: 0 }, FIRST, 3_000);
    let copy = table.claim(asked[0].claim, third, 3_010).answer;
    assert_eq!(copy, ClaimAnswer::Held);
}

/// Guards against the same with a message that is read after a renewal was refused: the first
/// entry's claim of 0 ms reaches one holder only after that one has said that it has no such claim.
#[test]
fn a_late_claim_does_not_bring_back_a_refused_renewal() {
    let (mut world, asked) = World::begin();
    assert_eq!(world.read(FIRST, &asked, &[1, 2], true, 0), [ClaimDecision::Granted]);
    world.pass(&[(FIRST, &[1, 2])], 0, 1_000);
    world.pass(&[], 1_000, 2_600);
    let granted_ms = 2_600;
    let copied = world.second.begin(JOB, &entries(), 30_000, granted_ms);
    let decisions = world.read(SECOND, &copied, &[0, 1], true, granted_ms);
    assert_eq!(decisions, [ClaimDecision::Granted]);
    let done_ms = granted_ms + 400;
    world.pass(&[(SECOND, &[0, 1])], granted_ms, done_ms);
    world.done(&[0, 1], done_ms);
    let again_ms = done_ms + 100;
    let again = world.first.claim_again(again_ms);
    let decisions = world.read(FIRST, &again, &[0, 1, 2], true, again_ms);
    assert_eq!(decisions, []);
    // What was under way, over a connection that a later one has overtaken.
    let late = asked.iter().find(|request| request.holder == world.addresses[0]).unwrap().claim;
    world.tables[0].claim(late, FIRST, again_ms + 20);
    let mut decisions = Vec::new();
    for now_ms in (again_ms + 20..again_ms + LIMITS.lost_after_ms).step_by(STEP_MS) {
        world.pass(&[(FIRST, &[0, 1, 2])], now_ms, now_ms);
        let (granted, requests) = world.first.tick(now_ms);
        decisions.extend(granted.iter().map(|_| ClaimDecision::Granted));
        decisions.extend(world.read(FIRST, &requests, &[0, 1, 2], true, now_ms));
    }
    let is_granted = decisions.contains(&ClaimDecision::Granted);
    assert!(!is_granted, "done at {done_ms} ms");
}
