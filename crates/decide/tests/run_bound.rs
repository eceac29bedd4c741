//! Model-based test of how long a run outlives its order: entries, agents and upstreams with
//! links in between. Processes stall between any two of their steps, are killed and replaced;
//! links are cut one way or both; calls to upstreams are carried out late. Callers whose
//! connection breaks submit a copy of their job to the other entry.

mod run_bound_chain;

use {
    proptest::{collection::vec, prelude::*},
    run_bound_chain::{AGENTS, AgentOf, ENTRIES, EntryOf, Fault, Process, World},
};

const JOBS: u64 = 3;
const SUBMIT: Fault = Fault::Submit { job: 0, entry: 0 };

fn fault() -> impl Strategy<Value = Fault> {
    let entry = 0..ENTRIES;
    let agent = 0..AGENTS;
    let process = prop_oneof![
        1 => entry.clone().prop_map(EntryOf),
        2 => agent.clone().prop_map(AgentOf),
    ];
    let ways =
        prop_oneof![2 => Just([true; 2]), 1 => Just([true, false]), 1 => Just([false, true])];
    let agents = prop_oneof![2 => Just([true; AGENTS]), 1 => (0..AGENTS).prop_map(|one| std::array::from_fn(|agent| agent == one))];
    let order = prop_oneof![1 => Just(0), 2 => 1..u64::MAX];
    prop_oneof![
        3 => (0..JOBS, entry.clone()).prop_map(|(job, entry)| Fault::Submit { job, entry }),
        2 => (0..JOBS).prop_map(|job| Fault::Leave { job }),
        5 => (process.clone(), 0..16_u32, 100..4_000_u64, order)
            .prop_map(|(process, steps, ms, order)| Fault::Stall { process, steps, ms, order }),
        4 => (entry.clone(), agents, ways, 100..3_000_u64, prop_oneof![Just(0), 0..800_u64])
            .prop_map(|(entry, agents, ways, ms, lag_ms)| Fault::Cut { entry, agents, ways, ms, lag_ms }),
        1 => (entry, agent.clone()).prop_map(|(entry, agent)| Fault::Reset { entry, agent }),
        2 => (process, 20..800_u64).prop_map(|(process, restart_ms)| Fault::Kill { process, restart_ms }),
        1 => (agent, 10..400_u64, 1..400_u64)
            .prop_map(|(agent, ms, late_ms)| Fault::Slow { agent, ms, late_ms }),
    ]
}

fn plan() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let wait_ms = prop_oneof![1 => Just(0), 3 => 1..200_u64, 3 => 200..1_000_u64];
    let submits = (0..ENTRIES).prop_map(|entry| vec![(0, Fault::Submit { job: 0, entry })]);
    (submits, vec((wait_ms, fault()), 1..10))
        .prop_map(|(submits, faults)| [submits, faults].concat())
}

fn slow_permille() -> impl Strategy<Value = [u64; AGENTS]> {
    [0..=20_u64, 0..=20_u64]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a second run of a task while the first goes on.
    #[test]
    fn no_task_runs_twice_at_once(
        plan in plan(), slow_permille in slow_permille(), sends_apart: bool,
    ) {
        let world = World::play_with(&plan, slow_permille, sends_apart);
        prop_assert_eq!(world.twice, None);
    }

    /// Guards against runs that go on when a copy of their job may come to another entry, or
    /// after their entry took them for lost.
    #[test]
    fn runs_are_over_within_the_bound(
        plan in plan(), slow_permille in slow_permille(), sends_apart: bool,
    ) {
        let world = World::play_with(&plan, slow_permille, sends_apart);
        prop_assert_eq!(world.late, None);
    }
}

fn cut(agent: usize, ways: [bool; 2], ms: u64, lag_ms: u64) -> Fault {
    let agents = std::array::from_fn(|other| other == agent);
    Fault::Cut { entry: 0, agents, ways, ms, lag_ms }
}

fn stall(process: Process, ms: u64) -> Fault {
    Fault::Stall { process, steps: 0, ms, order: 0 }
}

/// Guards against a run that its agent, which stalls before it stops the runs of a silent entry,
/// has kept for longer than the entry waits for the agent.
#[test]
fn stalled_agent_has_not_kept_runs_of_a_silent_entry() {
    for agent in 0..AGENTS {
        let stall = stall(AgentOf(agent), 2_000);
        let plan = [(0, SUBMIT), (300, cut(agent, [true; 2], 3_000, 0)), (600, stall)];
        let world = World::play(&plan, [0; AGENTS]);
        assert_eq!((world.late, world.twice), (None, None));
    }
}

/// Guards against a run that its agent, which stalls before it stops the runs of a dead entry,
/// has kept until the caller's copy comes to another entry.
#[test]
fn stalled_agent_has_not_kept_runs_of_a_dead_entry() {
    for agent in 0..AGENTS {
        let kill = Fault::Kill { process: EntryOf(0), restart_ms: 500 };
        let plan = [(0, SUBMIT), (300, kill), (500, stall(AgentOf(agent), 3_500))];
        let world = World::play(&plan, [0; AGENTS]);
        assert_eq!((world.late, world.twice), (None, None));
    }
}

/// Guards against a hello that arrives late, after the agent has made another connection: the
/// runs that it doesn't list are those placed since.
#[test]
fn late_hello_loses_no_run() {
    for agent in 0..AGENTS {
        let reset = Fault::Reset { entry: 0, agent };
        let cut = cut(agent, [true, false], 550, 800);
        let plan = [(0, reset), (3, cut), (800, SUBMIT)];
        let world = World::play(&plan, [0; AGENTS]);
        assert_eq!((world.late, world.twice), (None, None));
    }
}

/// Guards against an entry that wakes, acknowledges new messages and stalls again before it sees
/// that a caller has left: the agent keeps the runs until the caller's copy comes.
#[test]
fn waking_entry_acknowledges_nothing_before_it_ends_jobs() {
    let stalls = |steps, ms| Fault::Stall { process: EntryOf(0), steps, ms, order: 12 };
    let plan = [
        (0, SUBMIT),
        (300, stalls(0, 550)),
        (10, Fault::Leave { job: 0 }),
        (100, stalls(12, 3_000)),
        (900, stall(AgentOf(1), 3_000)),
    ];
    let world = World::play(&plan, [0; AGENTS]);
    assert_eq!((world.late, world.twice), (None, None));
}

/// Guards against an acknowledgement of a message that the entry has counted and not applied: the
/// agent keeps runs that its entry, for which it is still silent, takes for lost.
#[test]
fn counted_message_is_acknowledged_once_it_is_applied() {
    let stalls = |steps, ms| Fault::Stall { process: EntryOf(0), steps, ms, order: 32 };
    let plan = [
        (0, SUBMIT),
        (300, stall(AgentOf(1), 550)),
        (551, stalls(1, 150)),
        (30, stalls(7, 850)),
        (700, stall(AgentOf(1), 3_000)),
    ];
    let world = World::play(&plan, [0; AGENTS]);
    assert_eq!((world.late, world.twice), (None, None));
}

/// Guards against a late hello of an agent that has been killed: after it, what the next agent
/// says of itself passes for a restart.
#[test]
fn late_hello_of_a_killed_agent_loses_no_run() {
    let reset = Fault::Reset { entry: 0, agent: 1 };
    let kill = Fault::Kill { process: AgentOf(1), restart_ms: 50 };
    let plan = [(0, reset), (3, cut(1, [true, false], 300, 900)), (50, kill), (600, SUBMIT)];
    let world = World::play(&plan, [20; AGENTS]);
    assert_eq!((world.late, world.twice), (None, None));
}

/// Guards against an agent that renews the lease of its predecessor's runs and stalls before it
/// stops them.
#[test]
fn next_agent_renews_no_lease_of_the_one_before() {
    for steps in 0..16 {
        let kill = Fault::Kill { process: AgentOf(1), restart_ms: 400 };
        let stall = Fault::Stall { process: AgentOf(1), steps, ms: 3_000, order: 0 };
        let cut = cut(1, [true; 2], 3_000, 0);
        let plan = [(0, SUBMIT), (300, cut), (10, kill), (401, stall)];
        let world = World::play(&plan, [20; AGENTS]);
        assert_eq!((world.late, world.twice), (None, None));
    }
}

/// Guards against a welcome that comes late and counts as a contact of that moment: the entry has
/// not heard the agent since its hello.
#[test]
fn late_welcome_is_a_contact_of_the_hello() {
    let plan = [
        (0, SUBMIT),
        (300, Fault::Reset { entry: 0, agent: 1 }),
        (3, cut(1, [false, true], 321, 0)),
        (4, cut(1, [true, false], 3_500, 0)),
        (640, stall(AgentOf(1), 3_500)),
    ];
    let world = World::play(&plan, [20; AGENTS]);
    assert_eq!((world.late, world.twice), (None, None));
}

/// Guards against an entry that stalls twice and acknowledges a message in between, before it sees
/// that a caller has left.
#[test]
fn caller_that_left_is_seen_before_an_acknowledgement() {
    for steps in [16, 20] {
        let stalls = |steps, ms| Fault::Stall { process: EntryOf(0), steps, ms, order: 274 };
        let plan = [
            (0, SUBMIT),
            (300, stalls(0, 550)),
            (10, Fault::Leave { job: 0 }),
            (100, stalls(steps, 3_000)),
            (900, stall(AgentOf(1), 3_000)),
        ];
        let world = World::play(&plan, [0; AGENTS]);
        assert_eq!((world.late, world.twice), (None, None));
    }
}

/// Guards against a run that starts after its entry has lost it: a report sent again in a hello has
/// the task placed at the same agent, and the hello, which doesn't list it, counts it as lost.
#[test]
fn run_placed_as_its_agent_connects_again_is_not_started_and_lost() {
    for agent in 0..AGENTS {
        let plan = [
            (0, cut(1 - agent, [true; 2], 2_000, 0)),
            (1_000, SUBMIT),
            (0, Fault::Slow { agent, ms: 10, late_ms: 200 }),
            (10, cut(agent, [true, false], 150, 500)),
            (140, Fault::Reset { entry: 0, agent }),
        ];
        let world = World::play(&plan, [0; AGENTS]);
        assert_eq!((world.late, world.twice), (None, None));
    }
}
