//! An entry that claims a job anew of which it may have runs left.

use {
    sycamorerail_decide::claims::{ClaimLimits, ClaimTable},
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{CallerJobId, ClaimAnswer, ClaimRelease, ClaimStanding, JobClaim},
    },
};

const LIMITS: ClaimLimits = ClaimLimits::new(1_240, 900, 200);
const JOB: CallerJobId = CallerJobId(7);
const ENTRY: Incarnation = Incarnation(1);

fn ask(table: &mut ClaimTable, number: u64, now_ms: u64) -> ClaimAnswer {
    let claim = JobClaim { job: JOB, number, for_ms: 20_000, standing: ClaimStanding::New };
    table.claim(claim, ENTRY, now_ms).answer
}

fn holder_that_has_granted() -> ClaimTable {
    let mut table = ClaimTable::new(LIMITS);
    table.connected(ENTRY, 1, 0);
    assert_eq!(ask(&mut table, 1, 0), ClaimAnswer::Granted);
    table
}

/// Guards against two runs: an entry has given a job up and forgotten its runs, and claims a copy.
#[test]
fn a_copy_waits_for_the_runs_of_the_claim_before() {
    let mut table = holder_that_has_granted();
    table.release(ClaimRelease { job: JOB, number: 1, after_ms: 900 }, ENTRY, 100);
    assert_eq!(ask(&mut table, 2, 200), ClaimAnswer::Ending { in_ms: 800 });
    assert_eq!(ask(&mut table, 2, 999), ClaimAnswer::Ending { in_ms: 1 });
    assert_eq!(ask(&mut table, 2, 1_000), ClaimAnswer::Granted);
}

/// Guards against the same where the holder was not told, and against a copy that waits for good.
#[test]
fn a_copy_waits_as_long_as_runs_last_that_nobody_tells_of() {
    let mut table = holder_that_has_granted();
    let in_ms = u32::try_from(LIMITS.outlast_ms()).unwrap();
    assert_eq!(ask(&mut table, 2, 100), ClaimAnswer::Ending { in_ms });
    assert_eq!(ask(&mut table, 2, 200), ClaimAnswer::Ending { in_ms: in_ms - 100 });
    assert_eq!(ask(&mut table, 2, 100 + LIMITS.outlast_ms()), ClaimAnswer::Granted);
}

/// Guards against a copy that waits though its entry has said that all runs are over.
#[test]
fn a_copy_of_a_job_whose_runs_are_over_is_granted_at_once() {
    let mut table = holder_that_has_granted();
    table.release(ClaimRelease { job: JOB, number: 1, after_ms: 0 }, ENTRY, 100);
    assert_eq!(ask(&mut table, 2, 100), ClaimAnswer::Granted);
}
