//! A cut separates entries: only one of its sides may be granted a job.

use {
    std::net::SocketAddr,
    sycamorerail_decide::claims::{ClaimDecision, ClaimLimits, ClaimTable, Claims},
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{CallerJobId, EntryAddress},
    },
};

const LIMITS: ClaimLimits = ClaimLimits::new(1_240, 900, 200);
const JOB: CallerJobId = CallerJobId(7);
/// Longer than callers wait, and than any limit of claims.
const WAIT_MS: u64 = 5_000;

fn entries() -> Vec<EntryAddress> {
    let entry = |last: u8| EntryAddress {
        address: SocketAddr::from(([10, 0, 0, last], 7_720)),
        data_centre: format!("dc-{}", last % 4),
    };
    (1..=14).map(entry).collect()
}

/// The job's holders, and what each has granted.
fn tables() -> Vec<(SocketAddr, ClaimTable)> {
    let asked = Claims::new(LIMITS).begin(JOB, &entries(), 1_500, 0);
    let table = |holder| (holder, ClaimTable::new(LIMITS));
    asked.into_iter().map(|request| table(request.holder)).collect()
}

/// An entry claims the job at the holders on its side. Returns when it is granted.
fn granted_at_ms(
    claimant: Incarnation,
    tables: &mut [(SocketAddr, ClaimTable)],
    is_reached: &[bool],
    refuses: bool,
    now_ms: u64,
) -> Option<u64> {
    let mut claims = Claims::new(LIMITS);
    for request in claims.begin(JOB, &entries(), now_ms + 1_500, now_ms) {
        let number = tables.iter().position(|(holder, _)| *holder == request.holder).unwrap();
        if !is_reached[number] {
            claims.holder_lost(request.holder, refuses, now_ms);
            continue;
        }
        let answer = tables[number].1.claim(request.claim, claimant, now_ms + 1);
        if claims.answered(answer, request.holder, now_ms + 2) == Some(ClaimDecision::Granted) {
            return Some(now_ms + 2);
        }
    }
    let ticks = (now_ms..now_ms + WAIT_MS).step_by(20);
    ticks.into_iter().find(|&at_ms| claims.tick(at_ms).0.contains(&JOB))
}

/// Has an entry on each side of a cut claim the job. Returns how many are granted it.
fn granted_sides(is_reached_here: [bool; 3], refuses: bool) -> usize {
    let mut tables = tables();
    let is_reached_there = is_reached_here.map(|is_reached| !is_reached);
    let here = granted_at_ms(Incarnation(1), &mut tables, &is_reached_here, refuses, 0);
    let there = granted_at_ms(Incarnation(2), &mut tables, &is_reached_there, refuses, 20);
    [here, there].iter().flatten().count()
}

/// Guards against two entries that run a job on two sides of a cut which holds everything up.
#[test]
fn one_side_of_a_silent_cut_is_granted_a_job() {
    assert_eq!(granted_sides([true, false, false], false), 1);
    assert_eq!(granted_sides([false, false, false], false), 1);
}

/// Guards against the same where the cut refuses connections, as if nobody listened.
#[test]
fn one_side_of_a_refusing_cut_is_granted_a_job() {
    assert_eq!(granted_sides([true, false, false], true), 1);
    assert_eq!(granted_sides([false, false, false], true), 1);
}
