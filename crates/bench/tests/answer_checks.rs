//! Broken promises are found, and only these.

use {
    std::collections::HashMap,
    sycamorerail_bench::{
        arrivals::Unit,
        client::Outcome,
        starts::task_of,
        verdict::{Starts, Told, Violations, violations},
    },
};

fn told(outcome: Outcome, results: u16) -> Told {
    Told {
        id: "a".to_owned(),
        unit: Unit::Job,
        repeatable: true,
        tasks: 2,
        outcome,
        results,
        own_results: results,
        contradicted: false,
    }
}

fn starts(counts: &[(u16, u32)]) -> Starts {
    let counts: HashMap<_, _> =
        counts.iter().map(|&(task, count)| (("a".to_owned(), task), count)).collect();
    Starts { counts, some_lost: false }
}

fn check(told: Told, counts: &[(u16, u32)]) -> Violations {
    violations(&[told], &starts(counts))
}

#[test]
fn true_answers() {
    assert_eq!(check(told(Outcome::Complete, 2), &[(0, 1), (1, 1)]).total(), 0);
    assert_eq!(check(told(Outcome::NotRun, 0), &[]).total(), 0);
    assert_eq!(check(told(Outcome::Failed, 0), &[(0, 1)]).total(), 0);
    assert_eq!(check(told(Outcome::Unknown, 0), &[(1, 1)]).total(), 0);
}

#[test]
fn double_starts() {
    assert_eq!(check(told(Outcome::Complete, 2), &[(0, 2), (1, 1)]).double_starts, 1);
    let request = Told { unit: Unit::Request, tasks: 1, ..told(Outcome::Complete, 1) };
    assert_eq!(check(request.clone(), &[(0, 2)]).total(), 0);
    let once = Told { repeatable: false, ..request };
    assert_eq!(check(once, &[(0, 2)]).double_starts, 1);
}

#[test]
fn untrue_answers() {
    assert_eq!(check(told(Outcome::NotRun, 0), &[(1, 1)]).not_run_started, 1);
    assert_eq!(check(told(Outcome::Complete, 1), &[(0, 1), (1, 1)]).partial_answers, 1);
    assert_eq!(check(told(Outcome::Failed, 1), &[(0, 1)]).partial_answers, 1);
    assert_eq!(check(told(Outcome::Complete, 2), &[(0, 1)]).complete_unstarted, 1);
    let foreign = Told { own_results: 1, ..told(Outcome::Complete, 2) };
    assert_eq!(check(foreign, &[(0, 1), (1, 1)]).foreign_results, 1);
    let contradicted = Told { contradicted: true, ..told(Outcome::Failed, 0) };
    assert_eq!(check(contradicted, &[]).contradictions, 1);
}

#[test]
fn lost_counts() {
    let lost = Starts { some_lost: true, ..starts(&[]) };
    assert_eq!(violations(&[told(Outcome::Complete, 2)], &lost).total(), 0);
}

#[test]
fn task_ids() {
    assert_eq!(task_of("AbC-_.12.0"), Some(("AbC-_".to_owned(), 12)));
    assert_eq!(task_of("AbC"), None);
}
