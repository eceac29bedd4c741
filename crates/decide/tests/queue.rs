//! Waiting queue: urgency, fairness between organisations, order within an
//! organisation, room, deadlines and removal.

use {
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
    std::collections::HashMap,
    sycamorerail_decide::{
        queue::{Backlog, Queue, SchedulingParams},
        view::KindKey,
    },
    sycamorerail_wire::ids::OrganisationKey,
};

fn params(organisation: u64, urgency: u8) -> SchedulingParams {
    SchedulingParams {
        organisation: OrganisationKey(organisation),
        kind: KindKey(0),
        urgency,
        weight: 1,
        cost_ms: 100,
        latest_start_ms: 1_000,
    }
}

fn next<T>(queue: &mut Queue<T>) -> Option<(SchedulingParams, T)> {
    queue.take_first(usize::MAX, |_, _| true)
}

#[derive(Clone, Debug)]
enum Step {
    Push(SchedulingParams),
    Take,
    TakeSecond,
    Remove(usize),
    Late(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let params = (0u64..4, 0u32..2, 0u8..2, 1u32..3, 1u32..500, 0u64..100).prop_map(
        |(organisation, kind, urgency, weight, cost_ms, latest_start_ms)| {
            let kind = KindKey(kind);
            SchedulingParams {
                kind,
                weight,
                cost_ms,
                latest_start_ms,
                ..params(organisation, urgency)
            }
        },
    );
    prop_oneof![
        6 => params.prop_map(Step::Push),
        2 => Just(Step::Take),
        1 => Just(Step::TakeSecond),
        1 => any::<usize>().prop_map(Step::Remove),
        1 => (0u64..100).prop_map(Step::Late),
    ]
}

fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(1);
    ProptestConfig { cases: 256, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config())]

    /// Comparison with a plain list: no task is lost or returned twice, the most
    /// urgent class is served first, and tasks of a kind and organisation in order.
    #[test]
    fn like_a_list(steps in vec(step(), 0..120)) {
        let mut queue = Queue::new(50);
        let mut list = vec![];
        for (id, step) in steps.into_iter().enumerate() {
            match step {
                Step::Push(params) => if let Ok(key) = queue.push(params, id) {
                    list.push((params, id, key));
                },
                Step::Take | Step::TakeSecond => {
                    let mut skip = usize::from(matches!(step, Step::TakeSecond));
                    let taken = queue.take_first(9, |_, _| { skip = skip.wrapping_sub(1); skip > 9 });
                    let Some((params, id)) = taken else { continue };
                    let position = list.iter().position(|it| it.1 == id).unwrap();
                    list.remove(position);
                    let lane = |it: &SchedulingParams| (it.urgency, it.organisation, it.kind);
                    prop_assert!(list[..position].iter().all(|it| lane(&it.0) != lane(&params)));
                    let is_first = matches!(step, Step::Take);
                    let most_urgent = list.iter().all(|it| it.0.urgency >= params.urgency);
                    prop_assert!(!is_first || most_urgent);
                }
                Step::Remove(index) if !list.is_empty() => {
                    let (params, id, key) = list.remove(index % list.len());
                    prop_assert_eq!(queue.remove(key), Some((params, id)));
                    prop_assert_eq!(queue.remove(key), None);
                }
                Step::Remove(_) => {}
                Step::Late(now_ms) => {
                    let mut late = vec![];
                    while let Some((_, id)) = queue.take_expired(now_ms) {
                        late.push(id);
                    }
                    late.sort_unstable();
                    let is_late = |it: &&(SchedulingParams, usize, _)| it.0.latest_start_ms < now_ms;
                    let expected: Vec<_> = list.iter().filter(is_late).map(|it| it.1).collect();
                    list.retain(|it| it.0.latest_start_ms >= now_ms);
                    prop_assert_eq!(late, expected);
                }
            }
            prop_assert_eq!(queue.len() as usize, list.len());
            prop_assert!(queue.len() <= 50);
        }
        while let Some((_, id)) = next(&mut queue) {
            list.retain(|it| it.1 != id);
        }
        prop_assert!(list.is_empty());
        prop_assert_eq!(queue.next_expiry_ms(), None);
    }

    /// Two organisations whose tasks always wait are served in proportion to their
    /// weights, to within one task of each.
    #[test]
    fn fair_shares(weights in (1u32..5, 1u32..5), costs in vec((1u32..300, 1u32..300), 400)) {
        let mut queue = Queue::new(4_000);
        for &(first, second) in &costs {
            let first = SchedulingParams { weight: weights.0, cost_ms: first, ..params(1, 0) };
            let second = SchedulingParams { weight: weights.1, cost_ms: second, ..params(2, 0) };
            prop_assert!(queue.push(first, ()).and(queue.push(second, ())).is_ok());
        }
        let mut served = HashMap::from([(1, 0.0), (2, 0.0)]);
        for _ in 0..200 {
            let (params, ()) = next(&mut queue).unwrap();
            let share = f64::from(params.cost_ms) / f64::from(params.weight);
            *served.get_mut(&params.organisation.0).unwrap() += share;
            let bound = 300.0 / f64::from(weights.0) + 300.0 / f64::from(weights.1);
            prop_assert!((served[&1] - served[&2]).abs() <= bound + 1.0);
        }
    }

    /// However many tasks others have queued, and however many were served before,
    /// the first task of a new organisation waits for at most one task of each other.
    #[test]
    fn noisy_neighbour(flood in 1u32..500, served in 0u32..400, noisy in 1u64..5) {
        let mut queue = Queue::new(10_000);
        for sequence in 0..flood {
            for organisation in 1..=noisy {
                prop_assert!(queue.push(params(organisation, 0), sequence).is_ok());
            }
        }
        for _ in 0..served.min(flood) {
            next(&mut queue);
        }
        prop_assert!(queue.push(params(99, 0), 0).is_ok());
        let ahead = queue.backlog(OrganisationKey(99), 0).tasks_ahead();
        let position = (0..).find(|_| next(&mut queue).unwrap().0.organisation.0 == 99).unwrap();
        prop_assert!(position <= noisy);
        prop_assert!(u64::from(ahead) >= position);
    }

    /// However many organisations flood the queue, another one still finds room.
    #[test]
    fn room_left(max_tasks in 20u32..2_000, noisy in 1u64..8) {
        let mut queue = Queue::new(max_tasks);
        for organisation in 0..noisy {
            let room = queue.room_for(OrganisationKey(organisation));
            let mut taken = 0;
            while queue.push(params(organisation, 0), ()).is_ok() {
                taken += 1;
            }
            prop_assert_eq!(taken, room);
        }
        prop_assert!(queue.room_for(OrganisationKey(99)) > 0 || max_tasks >> noisy == 0);
    }
}

#[test]
fn urgent_first() {
    let mut queue = Queue::new(100);
    queue.push(params(1, 2), "background").unwrap();
    queue.push(params(1, 1), "normal").unwrap();
    queue.push(params(2, 0), "urgent").unwrap();
    let order: Vec<_> = std::iter::from_fn(|| next(&mut queue)).map(|(_, item)| item).collect();
    assert_eq!(order, ["urgent", "normal", "background"]);
}

#[test]
fn blocked_kind() {
    let mut queue = Queue::new(100);
    queue.push(params(1, 0), "blocked").unwrap();
    queue.push(params(1, 0), "blocked too").unwrap();
    queue.push(SchedulingParams { kind: KindKey(1), ..params(1, 0) }, "free").unwrap();
    let mut asked = vec![];
    let taken = queue.take_first(9, |params, item| {
        asked.push(*item);
        params.kind == KindKey(1)
    });
    assert_eq!(taken.unwrap().1, "free");
    assert_eq!(asked, ["blocked", "free"]);
    assert!(queue.take_first(0, |_, _| true).is_none());
}

#[test]
fn late_comer() {
    let mut queue = Queue::new(10_000);
    (0..200).for_each(|_| _ = queue.push(params(1, 0), ()));
    (0..100).for_each(|_| _ = next(&mut queue));
    (0..100).for_each(|_| _ = queue.push(params(2, 0), ()));
    let served = std::iter::from_fn(|| next(&mut queue)).take(40);
    let first = served.filter(|(params, ())| params.organisation.0 == 1).count();
    assert!((19..=21).contains(&first), "{first}");
}

#[test]
fn drained_organisation() {
    let mut queue = Queue::new(100);
    queue.push(params(2, 0), "other").unwrap();
    queue.push(params(2, 0), "other").unwrap();
    for _ in 0..3 {
        queue.push(params(1, 0), "own").unwrap();
        let (first, _) = next(&mut queue).unwrap();
        if first.organisation.0 == 2 {
            return;
        }
    }
    panic!("the organisation gained by emptying its queue");
}

#[test]
fn empty_backlog() {
    let queue = Queue::<()>::new(100);
    let backlog = queue.backlog(OrganisationKey(1), 1);
    assert_eq!(backlog, Backlog { organisations: 1, ..Backlog::default() });
    assert_eq!(backlog.tasks_ahead(), 0);
    assert!(queue.is_empty());
}
