//! The state machine of a job: what each event leads to.

use {
    std::sync::Arc,
    sycamorerail_decide::{
        job::{Action, Event, Job, JobParameters, PlacementKey, Reply, RetryKind, TaskAttempt},
        view::UpstreamKey,
    },
    sycamorerail_wire::answer::{Answer, Outcome, Payload, Reason, TaskEnd, TaskRecord},
};

const DEADLINE_MS: u64 = 1_000;
const REPORT_WAIT_MS: u32 = 200;
const A: UpstreamKey = UpstreamKey(1);
const B: UpstreamKey = UpstreamKey(2);

fn parameters(task_count: u16, max_attempts: u8) -> JobParameters {
    JobParameters {
        task_count,
        max_attempts,
        deadline_at_ms: DEADLINE_MS,
        hedge_after_ms: None,
        report_wait_ms: REPORT_WAIT_MS,
        retry_after_ms: 500,
    }
}

fn task(index: u16, attempt: u8) -> TaskAttempt {
    TaskAttempt { index, attempt }
}

/// Passes an event to the job; further attempts are allowed.
fn on(job: &mut Job, event: Event, now_ms: u64) -> Vec<Action> {
    job.handle_event(event, now_ms, &mut |_| Some(0))
}

fn replied(placement: PlacementKey, reply: Reply) -> Event {
    Event::Replied { placement, peer: Arc::from("a"), reply }
}

fn finished(placement: PlacementKey) -> Event {
    replied(placement, Reply::Ended(TaskEnd::Finished(Payload("1".to_owned()))))
}

fn failed(placement: PlacementKey, reason: Reason) -> Event {
    replied(placement, Reply::Ended(TaskEnd::Failed { reason, detail: "no".to_owned() }))
}

fn refused(placement: PlacementKey, never: bool) -> Event {
    let reason = Reason::AgentFull;
    replied(placement, Reply::NotStarted { reason, never, retry_after_ms: 0 })
}

fn reported(upstream: UpstreamKey, task: TaskAttempt, record: TaskRecord) -> Event {
    Event::Reported { upstream, task, peer: Arc::from("a"), record }
}

fn answer(actions: &[Action]) -> Option<&Answer> {
    actions.iter().find_map(|action| match action {
        Action::Answer(answer) => Some(answer),
        _ => None,
    })
}

fn verdict(actions: &[Action]) -> Option<(Outcome, Reason)> {
    answer(actions).map(|answer| (answer.outcome, answer.reason))
}

fn is_placed_again(actions: &[Action], wanted: TaskAttempt) -> bool {
    actions.iter().any(|action| matches!(action, Action::Enqueue { task, .. } if *task == wanted))
}

#[test]
fn all_finished() {
    let mut job = Job::new(parameters(2, 1));
    let first = job.open_placement(task(0, 0), A, 0).unwrap();
    let second = job.open_placement(task(1, 0), B, 0).unwrap();
    assert_eq!(on(&mut job, finished(second), 1), []);
    assert_eq!(on(&mut job, finished(second), 1), [], "a duplicate reply");
    let actions = on(&mut job, finished(first), 2);
    assert_eq!(verdict(&actions), Some((Outcome::Complete, Reason::Done)));
    assert_eq!(answer(&actions).unwrap().results.len(), 2);
}

#[test]
fn first_failure() {
    let mut job = Job::new(parameters(3, 1));
    let first = job.open_placement(task(0, 0), A, 0).unwrap();
    job.open_placement(task(1, 0), B, 0).unwrap();
    let actions = on(&mut job, failed(first, Reason::TaskFailed), 1);
    assert_eq!(verdict(&actions), Some((Outcome::Failed, Reason::TaskFailed)));
    assert!(actions.contains(&Action::Revoke { upstream: B, tasks: vec![task(1, 0)] }));
    assert_eq!(job.open_placement(task(2, 0), A, 2), None);
}

#[test]
fn refused_goes_elsewhere() {
    let mut job = Job::new(parameters(1, 1));
    let first = job.open_placement(task(0, 0), A, 0).unwrap();
    let actions = on(&mut job, refused(first, false), 1);
    assert!(is_placed_again(&actions, task(0, 0)));
    assert_eq!(job.upstreams_to_avoid(task(0, 0), 2), [A]);
    let second = job.open_placement(task(0, 0), B, 2).unwrap();
    assert_ne!(first, second);
    assert_eq!(on(&mut job, finished(first), 3), [], "a late reply of the first placement");
    assert_eq!(verdict(&on(&mut job, finished(second), 3)).unwrap().0, Outcome::Complete);
}

#[test]
fn resent_needs_tombstone() {
    let mut job = Job::new(parameters(1, 1));
    let first = job.open_placement(task(0, 0), A, 0).unwrap();
    assert_eq!(on(&mut job, Event::ConnectionBroke { placement: first }, 1), []);
    assert!(job.resend_placement(first));
    let actions = on(&mut job, refused(first, false), 2);
    assert_eq!(actions, [Action::Revoke { upstream: A, tasks: vec![task(0, 0)] }]);
    assert!(!job.resend_placement(first));
    let actions = on(&mut job, reported(A, task(0, 0), TaskRecord::NeverStarted), 3);
    assert!(is_placed_again(&actions, task(0, 0)));
}

#[test]
fn other_run_of_agent() {
    let mut job = Job::new(parameters(2, 1));
    let first = job.open_placement(task(0, 0), A, 0).unwrap();
    let second = job.open_placement(task(1, 0), B, 0).unwrap();
    let lost = Event::AgentLost { placement: first, peer: Arc::from("a") };
    let actions = on(&mut job, lost, 1);
    assert_eq!(actions, [Action::Revoke { upstream: B, tasks: vec![task(1, 0)] }]);
    let actions = on(&mut job, finished(second), 2);
    assert_eq!(verdict(&actions), Some((Outcome::Unknown, Reason::AgentLost)));
}

fn unreachable(placement: PlacementKey) -> Event {
    Event::AgentUnreachable { placement, peer: Arc::from("a") }
}

#[test]
fn unreachable_agent() {
    let mut job = Job::new(parameters(1, 1));
    let placed = job.open_placement(task(0, 0), A, 0).unwrap();
    assert_eq!(on(&mut job, Event::ConnectionBroke { placement: placed }, 1), []);
    let actions = on(&mut job, unreachable(placed), 2);
    assert_eq!(verdict(&actions), Some((Outcome::Unknown, Reason::AgentUnreachable)));
    assert_eq!(answer(&actions).unwrap().peer.as_deref(), Some("a"));
    assert!(answer(&actions).unwrap().retry_after_ms.is_some());
    // The agent is back and reports the end.
    let actions = on(&mut job, finished(placed), 3);
    assert_eq!(verdict(&actions).unwrap().0, Outcome::Complete);
}

#[test]
fn other_attempt_awaited() {
    let mut job = Job::new(parameters(1, 2));
    let first = job.open_placement(task(0, 0), A, 0).unwrap();
    let actions = on(&mut job, unreachable(first), 1);
    assert!(is_placed_again(&actions, task(0, 1)));
    assert_eq!(verdict(&actions), None);
    let second = job.open_placement(task(0, 1), B, 1).unwrap();
    let actions = on(&mut job, failed(second, Reason::TaskFailed), 2);
    assert_eq!(verdict(&actions), Some((Outcome::Unknown, Reason::AgentUnreachable)));
}

#[test]
fn reached_again() {
    let mut job = Job::new(parameters(1, 2));
    let first = job.open_placement(task(0, 0), A, 0).unwrap();
    on(&mut job, unreachable(first), 1);
    let second = job.open_placement(task(0, 1), B, 1).unwrap();
    assert!(job.resend_placement(first));
    assert_eq!(verdict(&on(&mut job, failed(second, Reason::TaskFailed), 2)), None);
    assert_eq!(verdict(&on(&mut job, finished(first), 3)).unwrap().0, Outcome::Complete);
}

#[test]
fn deadline_unplaced() {
    let mut job = Job::new(parameters(2, 1));
    let actions = on(&mut job, Event::Tick, DEADLINE_MS);
    assert_eq!(verdict(&actions), Some((Outcome::NotRun, Reason::DeadlinePassed)));
    assert!(answer(&actions).unwrap().retry_after_ms.is_some());
    assert!(job.no_start_possible());
}

#[test]
fn deadline_reports() {
    let ends = [
        (TaskRecord::NeverStarted, Outcome::NotRun),
        (
            TaskRecord::Ended(TaskEnd::Failed { reason: Reason::Cancelled, detail: String::new() }),
            Outcome::Failed,
        ),
        (TaskRecord::Broken(Reason::UpstreamBroken), Outcome::Unknown),
    ];
    for (record, outcome) in ends {
        let mut job = Job::new(parameters(1, 1));
        job.open_placement(task(0, 0), A, 0).unwrap();
        let actions = on(&mut job, Event::Tick, DEADLINE_MS);
        assert_eq!(actions, [Action::Revoke { upstream: A, tasks: vec![task(0, 0)] }]);
        let actions = on(&mut job, reported(A, task(0, 0), record), DEADLINE_MS + 1);
        assert_eq!(verdict(&actions), Some((outcome, Reason::DeadlinePassed)));
    }
}

#[test]
fn late_knowledge() {
    let mut job = Job::new(parameters(1, 1));
    let placed = job.open_placement(task(0, 0), A, 0).unwrap();
    on(&mut job, Event::Tick, DEADLINE_MS);
    let until_ms = job.wake_at_ms(DEADLINE_MS).unwrap();
    assert_eq!(until_ms, DEADLINE_MS + u64::from(REPORT_WAIT_MS));
    let actions = on(&mut job, Event::Tick, until_ms);
    assert_eq!(verdict(&actions).unwrap().0, Outcome::Unknown);
    let actions = on(&mut job, finished(placed), until_ms + 50);
    assert_eq!(verdict(&actions).unwrap().0, Outcome::Complete);
    assert_eq!(on(&mut job, Event::Tick, until_ms + 60), []);
}

#[test]
fn fenced_home() {
    let mut job = Job::new(parameters(2, 1));
    let placed = job.open_placement(task(0, 0), A, 0).unwrap();
    assert_eq!(on(&mut job, Event::Fenced, 1), [], "running tasks may finish");
    assert_eq!(job.open_placement(task(1, 0), B, 2), None);
    assert!(!job.resend_placement(placed));
    let actions = on(&mut job, finished(placed), 3);
    assert_eq!(verdict(&actions), Some((Outcome::Failed, Reason::Fenced)));
}

#[test]
fn retries_end() {
    let mut job = Job::new(parameters(1, 2));
    let first = job.open_placement(task(0, 0), A, 0).unwrap();
    let actions = on(&mut job, failed(first, Reason::TaskFailed), 1);
    assert!(is_placed_again(&actions, task(0, 1)));
    let second = job.open_placement(task(0, 1), B, 1).unwrap();
    let actions = on(&mut job, failed(second, Reason::TaskFailed), 2);
    assert_eq!(verdict(&actions), Some((Outcome::Failed, Reason::TaskFailed)));
}

#[test]
fn retry_refused() {
    let mut job = Job::new(parameters(1, 3));
    let first = job.open_placement(task(0, 0), A, 0).unwrap();
    let actions = job.handle_event(failed(first, Reason::TaskFailed), 1, &mut |retry| {
        assert_eq!(
            retry,
            RetryKind::FurtherAttempt { cause: Reason::TaskFailed, attempts_made: 1 }
        );
        None
    });
    assert_eq!(verdict(&actions), Some((Outcome::Failed, Reason::TaskFailed)));
}

#[test]
fn hedge_wins() {
    let mut job = Job::new(JobParameters { hedge_after_ms: Some(50), ..parameters(1, 3) });
    let first = job.open_placement(task(0, 0), A, 10).unwrap();
    assert_eq!(job.wake_at_ms(10), Some(60));
    let actions = on(&mut job, Event::Tick, 60);
    assert!(is_placed_again(&actions, task(0, 1)));
    assert_eq!(job.upstreams_to_avoid(task(0, 1), 60), [A]);
    let second = job.open_placement(task(0, 1), B, 60).unwrap();
    let actions = on(&mut job, finished(second), 70);
    assert_eq!(verdict(&actions).unwrap().0, Outcome::Complete);
    assert!(actions.contains(&Action::Revoke { upstream: A, tasks: vec![task(0, 0)] }));
    assert_eq!(on(&mut job, finished(first), 80), []);
}
