//! Claims over a connection that a later one of the same claimant has overtaken.

mod claimant;

use {
    claimant::{Claimant, holder},
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{CallerJobId, ClaimAnswer, ClaimStanding, JobClaim},
    },
};

const FIRST: Incarnation = Incarnation(1);
const SECOND: Incarnation = Incarnation(2);

fn claim() -> Vec<JobClaim> {
    let job = CallerJobId(7);
    vec![JobClaim { job, number: 1, for_ms: 60_000, standing: ClaimStanding::New }]
}

/// Guards against a copy that is refused for the sake of a claim that was given up while a cut held
/// it up: its claimant, which is connected anew, never takes it back.
#[tokio::test]
async fn a_claim_that_comes_over_an_overtaken_connection_blocks_no_copy() {
    let (_service, address) = holder().await;
    let mut present = Claimant::connect(address, FIRST, 2).await;
    assert_eq!(present.claim(Vec::new()).await.answers, []);
    let mut overtaken = Claimant::connect(address, FIRST, 1).await;
    overtaken.claim(claim()).await;
    drop(overtaken);
    assert_eq!(present.claim(Vec::new()).await.answers, []);
    let mut other = Claimant::connect(address, SECOND, 1).await;
    assert_eq!(other.claim(claim()).await.answers[0].answer, ClaimAnswer::Granted);
}

/// The same where the present connection has ended by then.
#[tokio::test]
async fn a_claim_over_an_overtaken_connection_blocks_no_copy_after_the_end_of_the_present_one() {
    let (_service, address) = holder().await;
    let mut present = Claimant::connect(address, FIRST, 2).await;
    assert_eq!(present.claim(Vec::new()).await.answers, []);
    drop(present);
    let mut overtaken = Claimant::connect(address, FIRST, 1).await;
    // Its answers are the last sign of the end of the connection before.
    overtaken.claim(Vec::new()).await;
    overtaken.claim(claim()).await;
    let mut other = Claimant::connect(address, SECOND, 1).await;
    assert_eq!(other.claim(claim()).await.answers[0].answer, ClaimAnswer::Granted);
}
