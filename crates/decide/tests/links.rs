//! Choice of the entries that an agent links to: their number, and failed entries.

use {
    proptest::prelude::*,
    std::collections::BTreeSet,
    sycamorerail_decide::links::{
        LinkChoice, LinkLimits, LinkState, links_per_agent, next_link_count, rank_entries,
        select_links,
    },
};

const LIMITS: LinkLimits = LinkLimits { entries_per_agent: 5, agents_per_entry: 24 };
const NOW_MS: u64 = 100_000;

/// A stable link.
fn stable() -> LinkState {
    LinkState { is_kept: true, connected_since_ms: Some(0), failing_since_ms: None }
}

fn lost(for_ms: u64) -> LinkState {
    LinkState { is_kept: true, connected_since_ms: None, failing_since_ms: Some(NOW_MS - for_ms) }
}

fn numbered(states: &[LinkState]) -> Vec<(usize, LinkState)> {
    states.iter().copied().enumerate().collect()
}

#[test]
fn small_deployments_have_every_link() {
    assert_eq!(links_per_agent(4, 11, &LIMITS), 4);
    assert_eq!(links_per_agent(3, 500, &LIMITS), 3);
    assert_eq!(links_per_agent(55, 20, &LIMITS), 55);
}

#[test]
fn large_deployments_have_few_links() {
    assert_eq!(links_per_agent(12, 68, &LIMITS), 5);
    assert_eq!(links_per_agent(55, 240, &LIMITS), 6);
    assert_eq!(links_per_agent(70, 1_100, &LIMITS), 5);
}

/// Each agent uses only the counts of its own entries, and reaches the same number.
#[test]
fn number_follows_from_reported_agents() {
    for (entries, agents) in [(4, 11), (12, 68), (55, 240), (55, 20), (70, 1_100), (100, 2_000)] {
        let mut wanted = 0;
        for _ in 0..10 {
            let links = wanted.max(1) * agents;
            let seen = vec![u32::try_from(links / entries).unwrap(); wanted];
            wanted = next_link_count(wanted, entries, &seen, &LIMITS);
        }
        let least = links_per_agent(entries, agents, &LIMITS);
        assert!((least..=least + 1).contains(&wanted), "{entries} {agents}: {wanted} {least}");
    }
}

#[test]
fn low_counts_at_start_at_most_double_the_number() {
    assert_eq!(next_link_count(5, 55, &[1; 5], &LIMITS), 10);
}

#[test]
fn a_restarting_entry_is_waited_for() {
    let ranked = numbered(&[stable(), lost(500), stable(), LinkState::default()]);
    assert_eq!(select_links(&ranked, 3, NOW_MS), LinkChoice::default());
}

#[test]
fn a_lost_entry_is_replaced_and_still_dialled() {
    let ranked = numbered(&[stable(), lost(1_500), stable(), LinkState::default()]);
    assert_eq!(select_links(&ranked, 3, NOW_MS), LinkChoice { dial: vec![3], end: Vec::new() });
}

#[test]
fn the_replacement_is_closed_once_the_lost_entry_is_stable_again() {
    let back = |for_ms| LinkState { connected_since_ms: Some(NOW_MS - for_ms), ..stable() };
    let ranked = numbered(&[stable(), back(500), stable(), stable()]);
    assert_eq!(select_links(&ranked, 3, NOW_MS).end, Vec::<usize>::new());
    let ranked = numbered(&[stable(), back(2_500), stable(), stable()]);
    assert_eq!(select_links(&ranked, 3, NOW_MS).end, [3]);
}

#[test]
fn with_all_lost_not_all_are_dialled() {
    let ranked = numbered(&[lost(9_000); 55]);
    let ranked_lost: Vec<_> = ranked
        .iter()
        .map(|(entry, state)| (*entry, LinkState { is_kept: *entry < 6, ..*state }))
        .collect();
    assert_eq!(select_links(&ranked_lost, 6, NOW_MS).dial, (6..12).collect::<Vec<_>>());
}

proptest! {
    /// Removing an entry changes only the links to it; other links stay.
    #[test]
    fn few_links_move(entries in 8_usize..60, agent in 0_u32..1_000, gone in 0_usize..60) {
        let all: Vec<_> = (0..entries).collect();
        let gone = gone % entries;
        let rest: Vec<_> = all.iter().copied().filter(|entry| *entry != gone).collect();
        let first = |entries: &[usize]| -> BTreeSet<usize> {
            rank_entries(&agent.to_string(), entries).into_iter().take(5).collect()
        };
        let (before, after) = (first(&all), first(&rest));
        let moved = after.difference(&before).count();
        prop_assert_eq!(moved, usize::from(before.contains(&gone)));
    }

    /// For any reported counts, an agent has at least one link and at most one per entry.
    #[test]
    fn the_number_is_bounded(
        wanted in 0_usize..200,
        entries in 0_usize..200,
        seen in prop::collection::vec(0_u32..5_000, 0..10),
    ) {
        let next = next_link_count(wanted, entries, &seen, &LIMITS);
        prop_assert!(next >= 1);
        prop_assert!(next <= entries.max(1));
    }

    /// No link is closed while fewer links than wanted are stable, and no entry is both
    /// dialled and closed.
    #[test]
    fn no_agent_loses_its_links(
        states in prop::collection::vec((any::<bool>(), 0_u64..3, 0_u64..5_000), 1..40),
        wanted in 1_usize..10,
    ) {
        let state = |(is_kept, kind, for_ms): &(bool, u64, u64)| LinkState {
            is_kept: *is_kept,
            connected_since_ms: (*kind == 1).then_some(NOW_MS - for_ms),
            failing_since_ms: (*kind == 2).then_some(NOW_MS - for_ms),
        };
        let ranked = numbered(&states.iter().map(state).collect::<Vec<_>>());
        let LinkChoice { dial, end } = select_links(&ranked, wanted, NOW_MS);
        let kept = ranked.iter().filter(|(entry, state)| !end.contains(entry) && state.is_kept);
        let working = kept.filter(|(_, state)| state.is_stable(NOW_MS)).count();
        prop_assert!(end.is_empty() || working >= wanted.min(ranked.len()));
        prop_assert!(dial.iter().all(|entry| !end.contains(entry)));
    }
}
