//! Evacuated data centres in force: what is placed, what waits, what runs, who is told.

mod support;

use {
    serde_json::{Value, json},
    std::time::Duration,
    support::{Fleet, PATIENCE, World},
    sycamorerail_wire::runs::Evacuations,
};

const NORTH: &str = "north";
const SOUTH: &str = "south";

fn evacuations(revision: u64, data_centres: &[&str]) -> Evacuations {
    let data_centres = data_centres.iter().map(|&name| name.to_owned()).collect();
    Evacuations { revision, data_centres }
}

fn evacuate(world: &World, revision: u64, data_centres: &[&str]) -> bool {
    world.entry.shared.hold_evacuations(&evacuations(revision, data_centres))
}

fn job(tasks: usize, run_ms: u64) -> Value {
    json!({ "kind": "once", "tasks": vec![json!({ "run_ms": run_ms }); tasks] })
}

fn starts(fleet: &Fleet, member: usize) -> u64 {
    fleet.members[member].upstream.starts(false).starts
}

async fn until(what: &str, holds: impl Fn() -> bool) {
    let waiting = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, waiting).await.unwrap_or_else(|_| panic!("never: {what}"));
}

#[tokio::test]
async fn nothing_is_placed_there() {
    let world = World::start().await;
    let fleet = Fleet::start_in(&world, &[NORTH, SOUTH], 4).await;
    assert!(evacuate(&world, 7, &[NORTH]));
    for _ in 0..5 {
        let id = world.id().await;
        let answer = world.put_job(&id, &job(4, 1)).await;
        assert_eq!(answer.verdict(), (200, "complete", "done"));
    }
    assert_eq!((starts(&fleet, 0), starts(&fleet, 1)), (0, 20));
    assert!(evacuate(&world, 9, &[]));
    let id = world.id().await;
    assert_eq!(world.put_job(&id, &job(8, 50)).await.verdict(), (200, "complete", "done"));
    assert!(starts(&fleet, 0) > 0, "it serves again");
    fleet.check();
}

#[tokio::test]
async fn what_waits_goes_elsewhere_and_what_runs_goes_on() {
    let world = World::start().await;
    let fleet = Fleet::start_in(&world, &[NORTH, SOUTH], 1).await;
    let id = world.id().await;
    let body = job(8, 200);
    let submitted = world.put_job(&id, &body);
    let evacuated = async {
        until("both run", || starts(&fleet, 0) > 0 && starts(&fleet, 1) > 0).await;
        evacuate(&world, 7, &[NORTH]);
    };
    let (answer, ()) = tokio::join!(submitted, evacuated);
    assert_eq!(answer.verdict(), (200, "complete", "done"));
    assert_eq!((starts(&fleet, 0), starts(&fleet, 1)), (1, 7));
    fleet.check();
}

#[tokio::test]
async fn all_evacuated_is_refused_with_a_time_to_come_back() {
    let world = World::start().await;
    let fleet = Fleet::start_in(&world, &[NORTH, SOUTH], 1).await;
    let refused = world.id().await;
    evacuate(&world, 7, &[NORTH, SOUTH]);
    let answer = world.put_job(&refused, &job(1, 1)).await;
    assert_eq!(answer.verdict(), (503, "not_run", "evacuated"));
    assert_eq!(answer.body["retry_after_ms"], 2_000);
    assert_eq!(answer.retry_after.as_deref(), Some("2"));
    assert_eq!(fleet.starts(), 0);
}

#[tokio::test]
async fn what_waits_for_all_evacuated_is_answered() {
    let world = World::start().await;
    let fleet = Fleet::start_in(&world, &[SOUTH], 1).await;
    let (begun, waiting) = (world.id().await, world.id().await);
    let (one, other) = (job(1, 1_500), job(2, 1));
    let begun = world.put_job(&begun, &one);
    let waits = async {
        until("one runs", || starts(&fleet, 0) > 0).await;
        let shared = &world.entry.shared;
        let evacuated = async {
            until("the other waits", || shared.dispatch.waiting() > 0).await;
            evacuate(&world, 7, &[SOUTH]);
            tokio::time::Instant::now()
        };
        tokio::join!(world.put_job(&waiting, &other), evacuated)
    };
    let (begun, (waited, since)) = tokio::join!(begun, waits);
    assert_eq!(waited.verdict(), (503, "not_run", "evacuated"), "{}", waited.body);
    assert!(waited.body["retry_after_ms"].as_u64() > Some(0), "{}", waited.body);
    assert!(since.elapsed() < Duration::from_secs(5), "held to its deadline");
    assert_eq!(begun.verdict(), (200, "complete", "done"), "what runs goes on");
    fleet.check();
}

#[tokio::test]
async fn begun_job_outlasts_an_evacuation() {
    let world = World::start().await;
    let fleet = Fleet::start_in(&world, &[SOUTH], 1).await;
    let id = world.id().await;
    let body = job(3, 200);
    let submitted = world.put_job(&id, &body);
    let evacuated = async {
        until("one runs", || starts(&fleet, 0) > 0).await;
        evacuate(&world, 7, &[SOUTH]);
        tokio::time::sleep(Duration::from_millis(600)).await;
        let begun = starts(&fleet, 0);
        evacuate(&world, 9, &[]);
        begun
    };
    let (answer, begun) = tokio::join!(submitted, evacuated);
    assert_eq!(answer.verdict(), (200, "complete", "done"), "{}", answer.body);
    assert!(begun < 3, "started while evacuated");
    fleet.check();
}

#[tokio::test]
async fn older_word_changes_nothing() {
    let world = World::start().await;
    assert!(evacuate(&world, 7, &[NORTH]));
    assert!(!evacuate(&world, 6, &[]));
    assert!(!evacuate(&world, 7, &[]));
    assert!(!evacuate(&world, 8, &[NORTH]), "the same list is no change");
    assert!(!evacuate(&world, 8, &[]));
    assert!(evacuate(&world, 9, &[]));
}

#[tokio::test]
async fn agents_tell_an_entry_that_lacks_it() {
    let world = World::start().await;
    let (knows, other) = (world.agent("a").await, world.agent("b").await);
    knows.hold_evacuations(evacuations(7, &[NORTH]));
    assert_eq!(knows.hello_again().await.evacuations, None, "it holds that itself");
    assert!(world.entry.shared.evacuations.borrow().contains(NORTH));
    until("others are told", || other.told_evacuations() == [evacuations(7, &[NORTH])]).await;
    assert_eq!(other.hello_again().await.evacuations, Some(evacuations(7, &[NORTH])));
    assert_eq!(other.hello_again().await.evacuations, None, "told once on a connection");
}

#[tokio::test]
async fn agent_that_starts_meanwhile_starts_nothing() {
    let world = World::start().await;
    evacuate(&world, 7, &[NORTH]);
    let fleet = Fleet::start_in(&world, &[NORTH, SOUTH], 4).await;
    let id = world.id().await;
    assert_eq!(world.put_job(&id, &job(8, 20)).await.verdict(), (200, "complete", "done"));
    assert_eq!((starts(&fleet, 0), starts(&fleet, 1)), (0, 8));
}
