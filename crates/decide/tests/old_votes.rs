//! Votes of holders that were heard too long ago to place tasks by.

use {
    std::net::SocketAddr,
    sycamorerail_decide::{
        claims::{ClaimDecision, ClaimLimits, Claims},
        dispatch::MAX_TICK_MS,
    },
    sycamorerail_wire::runs::{AnsweredClaim, CallerJobId, ClaimAnswer, EntryAddress},
};

const LIMITS: ClaimLimits = ClaimLimits::new(1_240, 900, 200);
const JOB: CallerJobId = CallerJobId(7);

/// Returns whether a claim is granted by two holders, of which one was heard so long before.
fn is_granted_after(ms: u64) -> bool {
    let entries: Vec<_> = (1..=3)
        .map(|last| EntryAddress {
            address: SocketAddr::from(([10, 0, 0, last], 7_720)),
            data_centre: last.to_string(),
        })
        .collect();
    let mut claims = Claims::new(LIMITS);
    let asked = claims.begin(JOB, &entries, 20_000, 0);
    let heard_ms = 1_000;
    let now_ms = heard_ms + ms;
    claims.confirmed(asked[0].holder, heard_ms);
    claims.confirmed(asked[1].holder, now_ms);
    let number = asked[0].claim.number;
    let granted = AnsweredClaim { job: JOB, number, answer: ClaimAnswer::Granted };
    let decisions = asked[..2].iter().map(|to| claims.answered(granted, to.holder, now_ms));
    decisions.last() == Some(Some(ClaimDecision::Granted))
}

/// Guards against a task that is placed by a claim too old for it: agents may have been acknowledged
/// until then, and tasks are placed until [`MAX_TICK_MS`] after a pass.
#[test]
fn a_vote_as_old_as_placements_allow_makes_no_majority() {
    let within_ms = LIMITS.margin_ms - MAX_TICK_MS;
    assert!(is_granted_after(within_ms - 1));
    assert!(!is_granted_after(within_ms));
}
