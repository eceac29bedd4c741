//! Which entries an agent links to, how many, and what it does when some are lost.

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

/// A link that has worked for long.
fn works() -> LinkState {
    LinkState { is_kept: true, connected_since_ms: Some(0), failing_since_ms: None }
}

fn lost(for_ms: u64) -> LinkState {
    LinkState { is_kept: true, connected_since_ms: None, failing_since_ms: Some(NOW_MS - for_ms) }
}

fn numbered(states: &[LinkState]) -> Vec<(usize, LinkState)> {
    states.iter().copied().enumerate().collect()
}

#[test]
fn small_sites_have_every_link() {
    assert_eq!(links_per_agent(4, 11, &LIMITS), 4);
    assert_eq!(links_per_agent(3, 500, &LIMITS), 3);
    assert_eq!(links_per_agent(55, 20, &LIMITS), 55);
}

#[test]
fn large_sites_have_few() {
    assert_eq!(links_per_agent(12, 68, &LIMITS), 5);
    assert_eq!(links_per_agent(55, 240, &LIMITS), 6);
    assert_eq!(links_per_agent(70, 1_100, &LIMITS), 5);
}

/// Each agent learns from its entries alone, and all come to the same number.
#[test]
fn the_number_is_found_from_what_entries_tell() {
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
fn low_counts_at_a_start_double_it_at_most() {
    assert_eq!(next_link_count(5, 55, &[1; 5], &LIMITS), 10);
}

#[test]
fn a_restarting_entry_is_waited_for() {
    let ranked = numbered(&[works(), lost(500), works(), LinkState::default()]);
    assert_eq!(select_links(&ranked, 3, NOW_MS), LinkChoice::default());
}

#[test]
fn a_lost_entry_is_replaced_and_dialled_on() {
    let ranked = numbered(&[works(), lost(1_500), works(), LinkState::default()]);
    assert_eq!(select_links(&ranked, 3, NOW_MS), LinkChoice { dial: vec![3], end: Vec::new() });
}

#[test]
fn the_replacement_goes_when_the_lost_one_has_worked_again() {
    let back = |for_ms| LinkState { connected_since_ms: Some(NOW_MS - for_ms), ..works() };
    let ranked = numbered(&[works(), back(500), works(), works()]);
    assert_eq!(select_links(&ranked, 3, NOW_MS).end, Vec::<usize>::new());
    let ranked = numbered(&[works(), back(2_500), works(), works()]);
    assert_eq!(select_links(&ranked, 3, NOW_MS).end, [3]);
}

#[test]
fn with_all_lost_not_all_are_dialled() {
    let ranked = numbered(&[lost(9_000); 55]);
    let asleep: Vec<_> = ranked
        .iter()
        .map(|(entry, state)| (*entry, LinkState { is_kept: *entry < 6, ..*state }))
        .collect();
    assert_eq!(select_links(&asleep, 6, NOW_MS).dial, (6..12).collect::<Vec<_>>());
}

proptest! {
    /// An entry that goes takes its own links only; those of others stay.
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

    /// Whatever entries tell, an agent has some links and not more than there are entries.
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

    /// Nothing is let go while fewer links than wanted have worked for a while, and what is
    /// dialled is not let go.
    #[test]
    fn no_agent_is_left_alone(
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
