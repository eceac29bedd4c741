//! Acknowledgements stand still for jobs whose claims are unconfirmed, but not for so long that
//! agents take the entry for silent and stop all of its runs.

use {
    std::net::SocketAddr,
    sycamorerail_decide::claims::{ClaimLimits, Claims, holders},
    sycamorerail_wire::runs::{AnsweredClaim, CallerJobId, ClaimAnswer, EntryAddress},
};

const LIMITS: ClaimLimits = ClaimLimits::new(1_240, 900, 200);
const STEP_MS: usize = 20;
const OWNER_TIMEOUT_MS: u64 = 900;
const HEARTBEAT_MS: u64 = 200;

fn entries() -> Vec<EntryAddress> {
    let entry = |last: u8| EntryAddress {
        address: SocketAddr::from(([10, 0, 0, last], 7_720)),
        data_centre: format!("dc-{}", last % 4),
    };
    (1..=14).map(entry).collect()
}

/// Longest time for which an agent's last acknowledged message is old, with entry and agent at
/// their slowest phases, if the holders of two jobs are lost at these times.
fn longest_contact_age_ms(lost_ms: [u64; 2]) -> u64 {
    let first = CallerJobId(7);
    let of_first = holders(first, &entries());
    let is_disjoint =
        |id: &u64| holders(CallerJobId(*id), &entries()).iter().all(|it| !of_first.contains(it));
    let second = CallerJobId((8..).find(is_disjoint).unwrap());
    let mut claims = Claims::new(LIMITS);
    for job in [first, second] {
        for request in claims.begin(job, &entries(), 20_000, 0) {
            let answer = ClaimAnswer::Granted;
            let answer = AnsweredClaim { job, number: request.claim.number, answer };
            claims.answered(answer, request.holder, 1);
        }
    }
    // A message that is read before the second last of these passes is acknowledged.
    let (mut passes, mut longest_ms) = (vec![0, 0], 0);
    for now_ms in (0..5_000_u64).step_by(STEP_MS) {
        for (job, lost_ms) in [first, second].into_iter().zip(lost_ms) {
            if now_ms <= lost_ms {
                let of_job = holders(job, &entries());
                of_job.iter().for_each(|&holder| claims.confirmed(holder, now_ms));
            }
        }
        claims.take_lapsed(now_ms);
        if now_ms <= claims.acknowledge_until_ms() {
            // Up to now the agent knew of the pass before the last one. Its message may be a
            // heartbeat older, and the entry's next heartbeat comes up to one later.
            let contact_ms = passes[passes.len() - 2];
            longest_ms = longest_ms.max(now_ms + 2 * HEARTBEAT_MS - contact_ms);
            passes.push(now_ms);
        }
    }
    longest_ms
}

/// Guards against a lapse of all runs of an entry as one job has lost its majority.
#[test]
fn one_lapse_does_not_silence_an_entry() {
    let age_ms = longest_contact_age_ms([1_000, 5_000]);
    assert!(age_ms <= OWNER_TIMEOUT_MS, "acknowledged {age_ms} ms ago");
}

/// Guards against the same with jobs whose holders are lost one after the other.
#[test]
fn lapses_in_series_do_not_silence_an_entry() {
    let age_of = |apart_ms: u64| longest_contact_age_ms([1_000, 1_000 + apart_ms]);
    let ages_ms = (0..=1_000).step_by(STEP_MS).map(|apart_ms| (age_of(apart_ms), apart_ms));
    let (age_ms, apart_ms) = ages_ms.max().unwrap();
    assert!(age_ms <= OWNER_TIMEOUT_MS, "{apart_ms} ms apart: acknowledged {age_ms} ms ago");
}
