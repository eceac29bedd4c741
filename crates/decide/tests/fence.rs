//! Tests fencing: detecting a lost home, asking the agents, and drawing conclusions.

use {
    std::collections::{BTreeMap, BTreeSet},
    sycamorerail_decide::fence::{
        AgentAnswers, Conclusion, JobFacts, Roster,
        collector::{Collector, FenceTimes, MAX_JOBS_PER_MESSAGE, Request},
        conclude as conclude_heard,
        home_watch::{HomeState, HomeWatch, ReachResult},
    },
    sycamorerail_wire::{
        answer::{Payload, Reason, TaskEnd, TaskRecord, TaskReport},
        ids::{ContentHash, IdKey, Incarnation, JobId, OrganisationKey, TaskId},
        message::FencedJob,
    },
};

const ONE: Incarnation = Incarnation(1);
const TWO: Incarnation = Incarnation(2);
const TIMES: FenceTimes =
    FenceTimes { window_ms: 10, answer_within_ms: 1_000, ask_again_ms: 100, unknown_kept_ms: 500 };
const JOB: JobFacts = JobFacts { content: None, single_attempt: true };
const ANY: JobFacts = JobFacts { content: None, single_attempt: false };

fn id(sequence: u64) -> JobId {
    let (key, home) = (IdKey::derive("test"), "10.0.0.1:1".parse().unwrap());
    JobId::mint(&key, home, Incarnation(9), 1_000, sequence, OrganisationKey(1))
}

fn held(job: JobId, task_count: u16, records: &[(u16, u8, TaskRecord)]) -> FencedJob {
    let report = |(index, attempt, record): &(u16, u8, TaskRecord)| TaskReport {
        task: TaskId { job, index: *index, attempt: *attempt },
        record: record.clone(),
    };
    let content = ContentHash::of(b"content");
    FencedJob { job, task_count, content, tasks: records.iter().map(report).collect() }
}

fn finished(text: &str) -> TaskRecord {
    TaskRecord::Ended(TaskEnd::Finished(Payload(text.to_owned())))
}

fn failed() -> TaskRecord {
    TaskRecord::Ended(TaskEnd::Failed { reason: Reason::TaskFailed, detail: "no".to_owned() })
}

fn both() -> Roster {
    Roster { agents: vec![ONE, TWO], whole: true }
}

/// What the agents answered; `None` for an agent without records.
type Told = BTreeMap<Incarnation, Option<FencedJob>>;

fn conclude(roster: &Roster, told: &Told, known: JobFacts, time_up: bool) -> Conclusion {
    let held = told.iter().filter_map(|(agent, job)| Some((*agent, job.clone()?))).collect();
    let silent_agents = roster.agents.len() - told.len();
    let gone = &BTreeSet::new();
    let heard = AgentAnswers { held: &held, silent_agents, gone, whole: roster.whole };
    conclude_heard(heard, known, time_up)
}

fn told(one: Option<FencedJob>, two: Option<FencedJob>) -> Told {
    BTreeMap::from([(ONE, one), (TWO, two)])
}

#[test]
fn not_run_when_no_task_started() {
    let tombstone = held(id(0), 2, &[(0, 0, TaskRecord::NeverStarted)]);
    let all = told(Some(tombstone), None);
    assert_eq!(conclude(&both(), &all, JOB, false), Conclusion::NotRun);
}

#[test]
fn unknown_when_an_agent_stays_silent() {
    let one = Told::from([(ONE, None)]);
    assert_eq!(conclude(&both(), &one, JOB, false), Conclusion::Waiting { tasks_started: 0 });
    let unknown =
        Conclusion::Unknown { reason: Reason::HomeLost, tasks_started: 0, silent_agents: 1 };
    assert_eq!(conclude(&both(), &one, JOB, true), unknown);
}

#[test]
fn unknown_when_the_roster_is_not_whole() {
    let roster = Roster { whole: false, ..both() };
    let conclusion = conclude(&roster, &told(None, None), JOB, false);
    assert!(matches!(conclusion, Conclusion::Unknown { silent_agents: 0, .. }), "{conclusion:?}");
}

#[test]
fn complete_when_all_tasks_finished() {
    let one = held(id(0), 2, &[(1, 0, finished("b"))]);
    let two = held(id(0), 2, &[(0, 0, finished("a"))]);
    let results = vec![Payload("a".to_owned()), Payload("b".to_owned())];
    let conclusion = conclude(&both(), &told(Some(one), Some(two)), JOB, false);
    assert_eq!(conclusion, Conclusion::Complete(results));
}

#[test]
fn still_running() {
    let one = held(id(0), 2, &[(0, 0, finished("a")), (1, 0, TaskRecord::Running)]);
    let conclusion = conclude(&both(), &told(Some(one), None), JOB, true);
    assert_eq!(conclusion, Conclusion::Running { tasks_started: 2 });
}

#[test]
fn failed_at_once_when_the_only_attempt_failed() {
    let one = Told::from([(ONE, Some(held(id(0), 3, &[(2, 0, failed())])))]);
    let conclusion = conclude(&both(), &one, JOB, false);
    let Conclusion::Failed { reason, agent, tasks_started, .. } = conclusion else {
        panic!("{conclusion:?}")
    };
    assert_eq!((reason, agent, tasks_started), (Reason::TaskFailed, Some(ONE), 1));
}

#[test]
fn failed_when_only_some_tasks_started() {
    let one = held(id(0), 2, &[(0, 0, finished("a"))]);
    let conclusion = conclude(&both(), &told(Some(one), None), JOB, false);
    assert!(matches!(conclusion, Conclusion::Failed { reason: Reason::HomeLost, .. }));
}

#[test]
fn unknown_when_a_result_is_lost() {
    for record in [TaskRecord::EndDropped, TaskRecord::Broken(Reason::UpstreamBroken)] {
        let one = held(id(0), 1, &[(0, 0, record)]);
        let conclusion = conclude(&both(), &told(Some(one), None), JOB, false);
        assert!(matches!(conclusion, Conclusion::Unknown { tasks_started: 1, .. }));
    }
}

#[test]
fn a_failed_attempt_waits_for_other_attempts() {
    let one = Told::from([(ONE, Some(held(id(0), 1, &[(0, 0, failed())])))]);
    let conclusion = conclude(&both(), &one, ANY, false);
    assert_eq!(conclusion, Conclusion::Waiting { tasks_started: 1 });
    let first = held(id(0), 1, &[(0, 0, failed())]);
    let second = held(id(0), 1, &[(0, 1, finished("a"))]);
    let conclusion = conclude(&both(), &told(Some(first), Some(second)), ANY, false);
    assert_eq!(conclusion, Conclusion::Complete(vec![Payload("a".to_owned())]));
}

#[test]
fn conflict_with_another_submission() {
    let one = held(id(0), 1, &[(0, 0, finished("a"))]);
    let known = JobFacts { content: Some(ContentHash::of(b"other")), single_attempt: true };
    let conclusion = conclude(&both(), &told(Some(one), None), known, false);
    assert_eq!(conclusion, Conclusion::Conflict);
}

#[test]
fn jobs_in_a_window_share_a_message() {
    let mut collector = Collector::new(both(), TIMES);
    collector.ask_about(id(0), 0);
    collector.ask_about(id(1), 5);
    collector.ask_about(id(0), 6);
    assert_eq!(collector.due_requests(9), []);
    let jobs = vec![id(0), id(1)];
    let expected =
        [Request { agent: ONE, jobs: jobs.clone() }, Request { agent: TWO, jobs: jobs.clone() }];
    assert_eq!(collector.due_requests(10), expected);
    expected.iter().for_each(|request| collector.handle_answer(request, Vec::new()));
    collector.ask_about(id(0), 500);
    assert_eq!(collector.due_requests(600), [], "both have answered");
    assert_eq!(collector.conclude(id(1), JOB, 600), Conclusion::NotRun);
}

#[test]
fn jobs_in_a_message_are_limited() {
    let mut collector = Collector::new(Roster { agents: vec![ONE], whole: true }, TIMES);
    (0..=MAX_JOBS_PER_MESSAGE as u64).for_each(|sequence| collector.ask_about(id(sequence), 0));
    let sizes: Vec<_> =
        collector.due_requests(10).iter().map(|request| request.jobs.len()).collect();
    assert_eq!(sizes, [MAX_JOBS_PER_MESSAGE, 1]);
}

#[test]
fn a_truncated_answer_is_asked_for_alone() {
    let mut collector = Collector::new(Roster { agents: vec![ONE], whole: true }, TIMES);
    (0..2).for_each(|sequence| collector.ask_about(id(sequence), 0));
    let [request] = &collector.due_requests(10)[..] else { panic!("one message") };
    let whole = held(id(0), 1, &[(0, 0, finished("a"))]);
    let cut = held(id(1), 1, &[(0, 0, TaskRecord::EndDropped)]);
    collector.handle_answer(request, vec![whole, cut]);
    let again = Request { agent: ONE, jobs: vec![id(1)] };
    assert_eq!(collector.due_requests(110), std::slice::from_ref(&again));
    collector.handle_answer(&again, vec![held(id(1), 1, &[(0, 0, finished("b"))])]);
    let complete = Conclusion::Complete(vec![Payload("b".to_owned())]);
    assert_eq!(collector.conclude(id(1), JOB, 120), complete);
}

#[test]
fn a_lost_answer_halves_the_messages() {
    let mut collector = Collector::new(Roster { agents: vec![ONE], whole: true }, TIMES);
    (0..4).for_each(|sequence| collector.ask_about(id(sequence), 0));
    let request = collector.due_requests(10).remove(0);
    collector.handle_no_answer(&request, 50);
    let sizes: Vec<_> =
        collector.due_requests(110).iter().map(|request| request.jobs.len()).collect();
    assert_eq!(sizes, [2, 2], "smaller messages, in case the answer was too long");
}

#[test]
fn a_round_of_asking_ends() {
    let mut collector = Collector::new(both(), TIMES);
    collector.ask_about(id(0), 0);
    collector.due_requests(10).iter().for_each(|request| collector.handle_no_answer(request, 50));
    assert!(matches!(collector.conclude(id(0), JOB, 1_000), Conclusion::Unknown { .. }));
    assert_eq!(collector.due_requests(1_010), [], "given up");
    collector.ask_about(id(0), 1_100);
    assert_eq!(collector.due_requests(1_110), [], "not asked again for a while");
    collector.ask_about(id(0), 1_600);
    assert_eq!(collector.due_requests(1_610).len(), 2, "asked again");
}

#[test]
fn an_agent_with_a_running_task_is_asked_again() {
    let mut collector = Collector::new(Roster { agents: vec![ONE], whole: true }, TIMES);
    collector.ask_about(id(0), 0);
    let request = collector.due_requests(10).remove(0);
    collector.handle_answer(&request, vec![held(id(0), 1, &[(0, 0, TaskRecord::Running)])]);
    assert_eq!(collector.due_requests(110).len(), 1);
    collector.handle_answer(&request, vec![held(id(0), 1, &[(0, 0, finished("a"))])]);
    assert!(collector.conclude(id(0), JOB, 120).is_final());
    assert_eq!(collector.due_requests(210), []);
    assert_eq!(collector.wake_at_ms(), None);
}

#[test]
fn unknown_when_an_agent_is_gone_while_a_task_runs() {
    let mut collector = Collector::new(Roster { agents: vec![ONE], whole: true }, TIMES);
    collector.ask_about(id(0), 0);
    let request = collector.due_requests(10).remove(0);
    collector.handle_answer(&request, vec![held(id(0), 1, &[(0, 0, TaskRecord::Running)])]);
    assert_eq!(collector.due_requests(110).len(), 1);
    collector.handle_no_answer(&request, 120);
    let running = Conclusion::Running { tasks_started: 1 };
    assert_eq!(collector.conclude(id(0), JOB, 1_119), running);
    let conclusion = collector.conclude(id(0), JOB, 1_120);
    assert!(matches!(conclusion, Conclusion::Unknown { tasks_started: 1, .. }));
    assert_eq!(collector.due_requests(1_120).len(), 1, "still asked");
    collector.handle_answer(&request, vec![held(id(0), 1, &[(0, 0, finished("a"))])]);
    assert!(collector.conclude(id(0), JOB, 1_130).is_final());
}

#[test]
fn lost_when_both_this_entry_and_the_witness_get_no_answer() {
    let mut watch = HomeWatch::new(1_000);
    assert_eq!(watch.state(), HomeState::Reachable);
    watch.note_own_attempt(ReachResult::Unreachable, 0);
    assert_eq!(watch.state(), HomeState::InDoubt { retry_after_ms: 1_000 });
    (1..=10).for_each(|step| watch.note_own_attempt(ReachResult::Unreachable, step * 200));
    assert_eq!(watch.state(), HomeState::InDoubt { retry_after_ms: 1_000 });
    (10..=15).for_each(|step| watch.note_witness_attempt(ReachResult::Unreachable, step * 200));
    assert_eq!(watch.state(), HomeState::Lost);
}

#[test]
fn an_answer_resets_the_silence() {
    let mut watch = HomeWatch::new(1_000);
    (0..5).for_each(|step| watch.note_own_attempt(ReachResult::Unreachable, step * 200));
    (0..6).for_each(|step| watch.note_witness_attempt(ReachResult::Unreachable, step * 200));
    watch.note_own_attempt(ReachResult::Answered, 1_000);
    assert_eq!(watch.state(), HomeState::Reachable);
    watch.note_own_attempt(ReachResult::Unreachable, 1_200);
    assert!(matches!(watch.state(), HomeState::InDoubt { .. }));
}

#[test]
fn in_doubt_while_the_witness_reaches_the_home() {
    let mut watch = HomeWatch::new(1_000);
    (0..20).for_each(|step| watch.note_own_attempt(ReachResult::Unreachable, step * 200));
    (0..20).for_each(|step| watch.note_witness_attempt(ReachResult::Answered, step * 200));
    assert!(matches!(watch.state(), HomeState::InDoubt { .. }));
}

#[test]
fn a_gap_between_attempts_resets_the_silence() {
    let mut watch = HomeWatch::new(1_000);
    for now_ms in [0, 5_000] {
        watch.note_own_attempt(ReachResult::Unreachable, now_ms);
        watch.note_witness_attempt(ReachResult::Unreachable, now_ms);
    }
    assert_eq!(watch.state(), HomeState::InDoubt { retry_after_ms: 1_000 });
}

#[test]
fn lost_when_another_incarnation_answers_or_the_host_refuses() {
    for sighting in [ReachResult::OtherIncarnation, ReachResult::Refused] {
        let mut watch = HomeWatch::new(1_000);
        watch.note_own_attempt(sighting, 5);
        assert_eq!(watch.state(), HomeState::Lost);
    }
}
