//! Entries that vote on claims by a list in the platform, which they change as they come and go:
//! no two of them run a job at a time, and jobs are granted again once everything heals. Beside
//! what `claims_machine` plays, the platform is away or reached by some, tells changes late, and
//! carries calls out late; leases end; entries join, are gone for good, and stand still.
//!
//! Runs last as long as the last acknowledgement of agents allows. No planned stops.

mod cluster;
mod links;
mod member;
mod platform;

use {
    cluster::{Cut, Held, Model, Outage},
    proptest::prelude::*,
    std::net::SocketAddr,
    sycamorerail_decide::claims::ClaimLimits,
    sycamorerail_wire::runs::CallerJobId,
};

const JOB: CallerJobId = CallerJobId(1);
const RUN_OVER_MS: u64 = 1_240;
const LIMITS: ClaimLimits = ClaimLimits::new(RUN_OVER_MS, 900, 200);
const STEP_MS: u64 = 10;
const MAX_ENTRIES: usize = 6;
/// By then a new deployment has voters.
const FIRST_VOTERS_MS: u64 = 1_500;

fn address(entry: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, u8::try_from(entry).unwrap()], 1))
}

fn index(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { unreachable!() };
    address.ip().octets()[3].into()
}

#[derive(Clone, Debug)]
enum Act {
    /// A caller submits the job, which ends so many steps later at the latest.
    Submit { entry: usize, steps: u64 },
    /// The job ends, if it is there.
    End { entry: usize },
    /// A connection breaks.
    Break { claimant: usize, holder: usize },
    /// An entry is killed, and starts again so many steps later, or never.
    Kill { entry: usize, steps: Option<u64> },
    /// An entry joins.
    Join { entry: usize },
    /// An entry handles nothing for so many steps.
    Stall { entry: usize, steps: u64 },
    /// A cut separates some entries from others for so many steps. It refuses connections, or
    /// holds up what goes one way or both. Each side may reach the platform.
    Cut { apart: u16, from: u16, steps: u64, refuses: bool, held: Held, platform: [bool; 2] },
    /// The platform answers some entries nothing for so many steps. Some calls are carried out so
    /// many steps later; leases may be kept meanwhile. Or it answers all but readings.
    Outage { entries: u16, steps: u64, late_steps: Option<u64>, pauses: bool, is_of_reads: bool },
    /// Changes of the list and of the roster reach an entry so many steps later from now on.
    Late { entry: usize, steps: [u64; 2] },
    /// Time passes; messages take so long meanwhile.
    Wait { steps: u64, delay_ms: u64 },
}

/// Whom a cut separates from those apart: all others, or some.
fn from() -> impl Strategy<Value = u16> {
    prop_oneof![2 => Just(u16::MAX), 1 => any::<u16>()]
}

/// How a cut separates: by refusals, or by what it holds up.
fn how() -> impl Strategy<Value = (bool, Held)> {
    prop_oneof![
        2 => Just((true, Held::Both)),
        2 => Just((false, Held::Both)),
        1 => Just((false, Held::FromApart)),
        1 => Just((false, Held::ToApart)),
    ]
}

fn act() -> impl Strategy<Value = Act> {
    let entry = || 0..MAX_ENTRIES;
    let some = || prop_oneof![1 => Just(u16::MAX), 3 => 1..63_u16];
    prop_oneof![
        8 => (entry(), 50..500_u64).prop_map(|(entry, steps)| Act::Submit { entry, steps }),
        1 => entry().prop_map(|entry| Act::End { entry }),
        1 => (entry(), entry()).prop_map(|(claimant, holder)| Act::Break { claimant, holder }),
        2 => (entry(), prop::option::weighted(0.7, 0..150_u64))
            .prop_map(|(entry, steps)| Act::Kill { entry, steps }),
        2 => entry().prop_map(|entry| Act::Join { entry }),
        1 => (entry(), 2..500_u64).prop_map(|(entry, steps)| Act::Stall { entry, steps }),
        3 => (1..63_u16, from(), 1..1_200_u64, how(), any::<[bool; 2]>()).prop_map(
            |(apart, from, steps, (refuses, held), platform)| {
                Act::Cut { apart, from, steps, refuses, held, platform }
            }
        ),
        2 => (some(), 1..800_u64, prop::option::of(1..400_u64), any::<[bool; 2]>())
            .prop_map(|(entries, steps, late_steps, [pauses, is_of_reads])| {
                Act::Outage { entries, steps, late_steps, pauses, is_of_reads }
            }),
        1 => (entry(), [0..400_u64, 0..400_u64])
            .prop_map(|(entry, steps)| Act::Late { entry, steps }),
        8 => (0..60_u64, 0..50_u64).prop_map(|(steps, delay_ms)| Act::Wait { steps, delay_ms }),
        3 => (100..500_u64, 0..50_u64)
            .prop_map(|(steps, delay_ms)| Act::Wait { steps, delay_ms }),
    ]
}

/// Entries are cut off from the others, and from the platform for so long that they are voters no
/// more. They are back in the roster before they can read the list.
fn unread_return() -> impl Strategy<Value = Vec<Act>> {
    let submits = prop::collection::vec((0..MAX_ENTRIES, 5..40_u64), 2..8);
    let apart = (0..5_u32, 0..5_u32).prop_map(|(one, other)| 1_u16 << one | 1 << other);
    (apart, any::<bool>(), 1_000..1_300_u64, 150..300_u64, submits).prop_map(
        |(apart, refuses, out_steps, back_steps, submits)| {
            let wait = |steps| Act::Wait { steps, delay_ms: 5 };
            let outage = |steps, is_of_reads| Act::Outage {
                entries: apart,
                steps,
                late_steps: None,
                pauses: false,
                is_of_reads,
            };
            let (from, held) = (u16::MAX, Held::Both);
            let cut = Act::Cut { apart, from, steps: 2_500, refuses, held, platform: [true; 2] };
            let begin = [cut, outage(out_steps, false), wait(out_steps - 2)];
            let back = [outage(1_000, true), wait(back_steps)];
            let submit = |(entry, steps)| [Act::Submit { entry, steps: 500 }, wait(steps)];
            begin.into_iter().chain(back).chain(submits.into_iter().flat_map(submit)).collect()
        },
    )
}

/// Entries of the deployment of which one data centre is cut off.
const SITE: usize = 14;
const SITE_DATA_CENTRES: usize = 4;
/// A caller sends a copy so many steps after each attempt, which may be open.
const COPY_STEPS: u64 = 130;

/// Entries apart, and those that they are separated from: those of a data centre from all others or
/// from another one, or half of them from the other half.
fn sides() -> impl Strategy<Value = [u16; 2]> {
    let of = |data_centre: usize| {
        let entries = (0..SITE).filter(|entry| entry % SITE_DATA_CENTRES == data_centre);
        entries.fold(0_u16, |all, entry| all | 1 << entry)
    };
    let data_centre = || 0..SITE_DATA_CENTRES;
    prop_oneof![
        3 => data_centre().prop_map(move |apart| [of(apart), u16::MAX]),
        1 => (data_centre(), data_centre()).prop_map(move |(apart, from)| [of(apart), of(from)]),
        1 => prop::sample::subsequence((0..SITE).collect::<Vec<_>>(), SITE / 2).prop_map(|half| {
            [half.into_iter().fold(0_u16, |all, entry| all | 1 << entry), u16::MAX]
        }),
    ]
}

/// A caller's job meets a cut between entries; those apart may lose the platform, too. Others are
/// killed after the heal. Copies come to the entry of the first attempt as well as to others.
fn job_in_cut() -> impl Strategy<Value = Vec<Act>> {
    let entry = || 0..SITE;
    let target = prop_oneof![1 => Just(None), 2 => entry().prop_map(Some)];
    let copies = prop::collection::vec((target, 0..20_u64), 3..9);
    let kills = prop::collection::vec((entry(), 0..150_u64, 0..150_u64), 0..11);
    let cut = (sides(), 0..200_u64, 5..600_u64, how(), any::<bool>());
    (entry(), 100..900_u64, cut, copies, kills, 0..30_u64).prop_map(
        |(
            first,
            steps,
            (sides, cut_at, cut_steps, how, keeps_platform),
            copies,
            kills,
            delay_ms,
        )| {
            let ([apart, from], (refuses, held)) = (sides, how);
            let is_apart = |entry: &usize| apart >> *entry & 1 == 1;
            let platform = [keeps_platform, true];
            let cut = Act::Cut { apart, from, steps: cut_steps, refuses, held, platform };
            let mut timed = vec![(0, Act::Submit { entry: first, steps }), (cut_at, cut)];
            for (count, (target, late_steps)) in copies.into_iter().enumerate() {
                let at = (count as u64 + 1) * COPY_STEPS + late_steps;
                timed.push((at, Act::Submit { entry: target.unwrap_or(first), steps }));
            }
            let heal_at = cut_at + cut_steps;
            for (entry, after, down) in kills.into_iter().filter(|(entry, ..)| !is_apart(entry)) {
                timed.push((heal_at + after, Act::Kill { entry, steps: Some(down) }));
            }
            timed.sort_by_key(|(at, _)| *at);
            let (mut acts, mut now) = (Vec::new(), 0);
            for (at, act) in timed {
                acts.push(Act::Wait { steps: at.saturating_sub(now), delay_ms });
                acts.push(act);
                // A step follows each act.
                now = now.max(at) + 2;
            }
            acts.push(Act::Wait { steps: 300, delay_ms });
            acts
        },
    )
}

fn acts() -> impl Strategy<Value = Vec<Act>> {
    prop_oneof![9 => prop::collection::vec(act(), 1..60), 1 => unread_return()]
}

/// Does what is possible with entries that are there.
fn apply(model: &mut Model, act: &Act) {
    let (count, now_ms) = (model.entries.len(), model.now_ms);
    let after = |steps: u64| now_ms + steps * STEP_MS;
    match *act {
        Act::Submit { entry, steps } => {
            model.submit(entry % count, steps);
        }
        Act::End { entry } => model.end_job(entry % count),
        Act::Break { claimant, holder } => model.break_link(claimant % count, holder % count),
        Act::Kill { entry, steps } => model.kill(entry % count, steps.map_or(u64::MAX, after)),
        Act::Join { entry } => model.join(entry % count),
        Act::Stall { entry, steps } => model.stall(entry % count, steps),
        Act::Cut { apart, from, steps, refuses, held, platform } => {
            model.cut(Cut { apart, from, held, until_ms: after(steps), refuses, platform });
        }
        Act::Outage { entries, steps, late_steps, pauses, is_of_reads } => {
            model.begin_outage(Outage {
                entries,
                until_ms: after(steps),
                late_ms: late_steps.map(|steps| steps * STEP_MS),
                pauses,
                is_of_reads,
                since_ms: now_ms,
            });
        }
        Act::Late { entry, steps } => {
            model.entries[entry % count].member.late_ms = steps.map(|steps| steps * STEP_MS);
        }
        Act::Wait { steps, delay_ms } => {
            model.delay_ms = delay_ms;
            for _ in 0..steps {
                model.step();
            }
        }
    }
}

/// Plays the acts from a time at which a new deployment has voters.
fn play(count: usize, up: usize, data_centres: usize, seed: u64, acts: &[Act]) -> Model {
    let mut model = start(count, up, data_centres, seed);
    play_on(&mut model, acts);
    model
}

/// A new deployment, once it has voters.
fn start(count: usize, up: usize, data_centres: usize, seed: u64) -> Model {
    let mut model = Model::new(count, up.min(count), data_centres, seed);
    while model.now_ms < FIRST_VOTERS_MS {
        model.step();
    }
    model
}

fn play_on(model: &mut Model, acts: &[Act]) {
    for act in acts {
        apply(model, act);
        model.step();
    }
}

proptest! {
    /// Guards against a job that two entries run, or one beside the runs that another has left, as
    /// voters change.
    #[test]
    fn one_majority_at_a_time(
        count in 1..=MAX_ENTRIES,
        up in 1..=MAX_ENTRIES,
        data_centres in 1..5_usize,
        seed: u64,
        acts in acts(),
    ) {
        play(count, up, data_centres, seed, &acts);
    }

    /// Guards against the same with lists of two voters, of which the first has the casting vote.
    #[test]
    fn one_of_two_voters_at_a_time(
        up in 1..=2_usize,
        data_centres in 1..=2_usize,
        seed: u64,
        acts in acts(),
    ) {
        play(2, up, data_centres, seed, &acts);
    }

    /// Guards against voters that agree on nothing any more once everything heals.
    #[test]
    fn healed_voters_grant(
        count in 1..=MAX_ENTRIES,
        up in 1..=MAX_ENTRIES,
        data_centres in 1..5_usize,
        seed: u64,
        acts in acts(),
    ) {
        play(count, up, data_centres, seed, &acts).settle();
    }

    /// Guards against a majority of those that have missed a change, and are back in the roster.
    #[test]
    fn unread_lists_make_no_majority(
        count in 5..=MAX_ENTRIES,
        data_centres in 1..5_usize,
        seed: u64,
        acts in unread_return(),
    ) {
        play(count, count, data_centres, seed, &acts);
    }

    /// Guards against two runs after a cut around the entries of one data centre, with kills of
    /// others after its heal.
    #[test]
    fn a_cut_that_heals_leaves_one_claimant(seed: u64, acts in job_in_cut()) {
        play(SITE, SITE, SITE_DATA_CENTRES, seed, &acts);
    }

    /// Guards against the same where the holders alone keep an entry from a copy of a job that it has
    /// given up, whose runs go on.
    #[test]
    fn holders_grant_nothing_beside_forgotten_runs(seed: u64, acts in job_in_cut()) {
        let mut model = start(SITE, SITE, SITE_DATA_CENTRES, seed);
        model.forgets = true;
        play_on(&mut model, &acts);
    }
}
