//! Start gate: examples of each rule.

use {
    sycamorerail_decide::gate::{
        CallPermit, Gate, Limits, MAX_FENCED, PlacementDecision, RECORD_COST_BYTES, TaskStart,
        UpstreamState,
    },
    sycamorerail_wire::{
        answer::{Payload, Reason, TaskEnd, TaskRecord},
        ids::{ContentHash, IdKey, Incarnation, JobId, OrganisationKey, TaskId},
        message::{AgentReplyBody, Placement},
    },
};

const AGENT: Incarnation = Incarnation(1);
const HOME: Incarnation = Incarnation(2);
const LIMITS: Limits = Limits {
    retention_ms: 1_000,
    kept_result_bytes: 10,
    record_bytes: 64 * RECORD_COST_BYTES,
    max_queued: 2,
};

fn job(sequence: u64) -> JobId {
    let home = "127.0.0.1:1".parse().unwrap();
    JobId::mint(&IdKey::derive("test"), home, HOME, 0, sequence, OrganisationKey(1))
}

fn task(sequence: u64) -> TaskId {
    TaskId { job: job(sequence), index: 0, attempt: 0 }
}

fn placement(sequence: u64) -> Placement {
    Placement {
        agent: AGENT,
        task: task(sequence),
        task_count: 1,
        content: ContentHash::of(b"content"),
        organisation: "alpenfunk".to_owned(),
        kind: "reach_check".to_owned(),
        payload: Payload("{}".to_owned()),
        start_within_ms: 100,
        end_within_ms: 500,
        urgency: 1,
        config_mark: Default::default(),
    }
}

fn gate(slots: u16) -> Gate {
    gate_with(slots, LIMITS)
}

fn gate_with(slots: u16, limits: Limits) -> Gate {
    let mut gate = Gate::new(AGENT, limits);
    gate.set_upstream(UpstreamState::Serving { slots });
    gate
}

fn start(gate: &mut Gate, sequence: u64) -> TaskStart {
    let PlacementDecision::Start(start) = gate.place(placement(sequence), 0) else {
        panic!("no start");
    };
    assert_eq!(gate.permit_call(task(sequence)), CallPermit::Granted);
    *start
}

fn refused(placed: PlacementDecision) -> (Reason, bool) {
    let PlacementDecision::Refused(refusal) = placed else {
        panic!("not refused: {placed:?}");
    };
    (refusal.reason, refusal.never)
}

fn not_started(reply: AgentReplyBody) -> (Reason, bool) {
    let AgentReplyBody::NotStarted { reason, never, .. } = reply else {
        panic!("not a refusal: {reply:?}");
    };
    (reason, never)
}

fn finished(text: &str) -> TaskEnd {
    TaskEnd::Finished(Payload(text.to_owned()))
}

#[test]
fn copies_join() {
    let mut gate = gate(1);
    start(&mut gate, 1);
    assert_eq!(gate.place(placement(1), 1), PlacementDecision::Joined);
    assert_eq!(gate.permit_call(task(1)), CallPermit::AlreadyCalled);
    let told = gate.record_end(task(1), finished("1"), 7, 2).unwrap();
    assert_eq!(gate.place(placement(1), 3), PlacementDecision::Settled(told.reply));
    assert_eq!(gate.record_end(task(1), finished("2"), 7, 2), None);
}

#[test]
fn urgent_first() {
    let mut gate = gate(1);
    start(&mut gate, 1);
    assert_eq!(gate.place(placement(2), 0), PlacementDecision::Queued { start_by_ms: 100 });
    let urgent = Placement { urgency: 0, ..placement(3) };
    assert_eq!(gate.place(urgent, 1), PlacementDecision::Queued { start_by_ms: 101 });
    assert_eq!(refused(gate.place(placement(4), 2)), (Reason::AgentFull, false));
    gate.record_broken(task(1), Reason::UpstreamBroken, 10).unwrap();
    let next = gate.take_next(10, &mut Vec::new()).unwrap();
    assert_eq!((next.placement.task, next.queued_ms), (task(3), 9));
    assert_eq!(gate.take_next(10, &mut Vec::new()), None);
}

#[test]
fn late_binding() {
    let mut gate = gate(1);
    start(&mut gate, 1);
    let at_once = Placement { start_within_ms: 0, ..placement(2) };
    assert_eq!(refused(gate.place(at_once, 0)), (Reason::AgentFull, false));
}

#[test]
fn window_passes() {
    let mut gate = gate(1);
    start(&mut gate, 1);
    gate.place(placement(2), 0);
    assert_eq!(gate.expire(99), []);
    let told = gate.expire(100).remove(0);
    assert_eq!(told.task, task(2));
    assert_eq!(not_started(told.reply), (Reason::StartWindowPassed, false));
    gate.place(placement(3), 100);
    gate.record_broken(task(1), Reason::UpstreamBroken, 250);
    let mut settled = Vec::new();
    assert_eq!(gate.take_next(250, &mut settled), None);
    assert_eq!(settled.len(), 1);
}

#[test]
fn revoke_before() {
    let mut gate = gate(1);
    let revoked = gate.revoke(&[task(1)], 0);
    assert_eq!(revoked.reports[0].record, TaskRecord::NeverStarted);
    let PlacementDecision::Settled(reply) = gate.place(placement(1), 1) else { panic!("started") };
    assert_eq!(not_started(reply), (Reason::Revoked, true));
}

#[test]
fn revoke_queued() {
    let mut gate = gate(1);
    start(&mut gate, 1);
    gate.place(placement(2), 0);
    let revoked = gate.revoke(&[task(2)], 0);
    assert_eq!(revoked.reports[0].record, TaskRecord::NeverStarted);
    assert_eq!(not_started(revoked.settled[0].reply.clone()), (Reason::Revoked, true));
    gate.record_broken(task(1), Reason::UpstreamBroken, 1);
    assert_eq!(gate.take_next(1, &mut Vec::new()), None);
}

#[test]
fn revoke_running() {
    let mut gate = gate(1);
    start(&mut gate, 1);
    let revoked = gate.revoke(&[task(1)], 1);
    assert_eq!(revoked.aborted, [task(1)]);
    let TaskRecord::Ended(TaskEnd::Failed { reason, .. }) = revoked.reports[0].record else {
        panic!("{revoked:?}");
    };
    assert_eq!(reason, Reason::Cancelled);
    assert_eq!(gate.record_end(task(1), finished("1"), 1, 2), None);
    assert_eq!(gate.record_not_started(task(1), Reason::UpstreamUnreachable), None);
    assert_eq!(gate.counts().running, 0);
}

#[test]
fn revoke_uncalled() {
    let mut gate = gate(1);
    assert!(matches!(gate.place(placement(1), 0), PlacementDecision::Start(_)));
    let revoked = gate.revoke(&[task(1)], 1);
    assert_eq!(revoked.reports[0].record, TaskRecord::NeverStarted);
    assert_eq!(gate.permit_call(task(1)), CallPermit::Revoked);
}

#[test]
fn revoke_ended() {
    let mut gate = gate(1);
    start(&mut gate, 1);
    gate.record_end(task(1), finished("1"), 1, 1);
    let revoked = gate.revoke(&[task(1)], 2);
    assert_eq!(revoked.reports[0].record, TaskRecord::Ended(finished("1")));
    assert_eq!((revoked.settled, revoked.aborted), (vec![], vec![]));
}

#[test]
fn fence_reports_held_jobs() {
    let mut gate = gate(1);
    start(&mut gate, 1);
    gate.place(placement(2), 0);
    gate.revoke(&[task(3)], 0);
    let fenced = gate.fence(HOME, &[job(1), job(2), job(3), job(4)]);
    assert_eq!(fenced.settled[0].task, task(2));
    assert_eq!(not_started(fenced.settled[0].reply.clone()), (Reason::Fenced, true));
    let [only] = &fenced.jobs[..] else { panic!("{fenced:?}") };
    assert_eq!((only.job, only.task_count), (job(1), 1));
    assert_eq!(only.tasks[0].record, TaskRecord::Running);
    assert_eq!(gate.place(placement(1), 1), PlacementDecision::Joined);
    assert_eq!(refused(gate.place(placement(5), 1)), (Reason::Fenced, true));
}

#[test]
fn fences_overflow() {
    let mut gate = gate(1);
    for home in 0..MAX_FENCED as u64 {
        gate.fence(Incarnation(1_000 + home), &[]);
    }
    assert!(matches!(gate.place(placement(1), 0), PlacementDecision::Start(_)));
    gate.fence(Incarnation(1_000), &[]);
    assert!(!matches!(gate.place(placement(2), 0), PlacementDecision::Refused(_)));
    gate.fence(Incarnation(3), &[]);
    assert_eq!(refused(gate.place(placement(3), 0)), (Reason::MemoryFull, false));
}

#[test]
fn upstream_unreachable() {
    let mut gate = gate(1);
    start(&mut gate, 1);
    gate.place(placement(1), 0);
    let told = gate.record_not_started(task(1), Reason::UpstreamUnreachable).unwrap();
    assert_eq!(not_started(told.reply), (Reason::UpstreamUnreachable, false));
    start(&mut gate, 1);
}

#[test]
fn other_run_of_agent() {
    let mut gate = gate(1);
    let earlier = Placement { agent: Incarnation(9), ..placement(1) };
    assert_eq!(refused(gate.place(earlier, 0)), (Reason::WrongIncarnation, false));
}

#[test]
fn upstream_leaves() {
    let mut gate = gate(1);
    start(&mut gate, 1);
    gate.place(placement(2), 0);
    let dropped = gate.set_upstream(UpstreamState::Leaving);
    assert_eq!(not_started(dropped[0].reply.clone()), (Reason::Leaving, false));
    assert_eq!(refused(gate.place(placement(3), 0)), (Reason::Leaving, false));
    assert!(gate.record_end(task(1), finished("1"), 1, 1).is_some());
    gate.set_upstream(UpstreamState::Serving { slots: 1 });
    start(&mut gate, 3);
}

#[test]
fn evacuated_starts_nothing() {
    let mut gate = gate(1);
    start(&mut gate, 1);
    gate.place(placement(2), 0);
    let dropped = gate.set_evacuated(true);
    assert_eq!(not_started(dropped[0].reply.clone()), (Reason::Evacuated, false));
    assert_eq!(refused(gate.place(placement(3), 0)), (Reason::Evacuated, false));
    assert!(gate.record_end(task(1), finished("1"), 1, 1).is_some(), "running tasks continue");
    assert_eq!(gate.take_next(1, &mut Vec::new()), None);
    assert!(gate.set_evacuated(true).is_empty());
    gate.set_evacuated(false);
    start(&mut gate, 3);
}

#[test]
fn evacuated_over_upstreams_life() {
    let mut gate = gate(1);
    gate.set_evacuated(true);
    gate.set_upstream(UpstreamState::Absent);
    gate.set_upstream(UpstreamState::Serving { slots: 2 });
    assert_eq!(refused(gate.place(placement(1), 0)), (Reason::Evacuated, false));
}

#[test]
fn drain_drops() {
    let mut gate = gate(1);
    start(&mut gate, 1);
    gate.place(placement(2), 0);
    let dropped = gate.drain();
    assert_eq!(not_started(dropped[0].reply.clone()), (Reason::Draining, true));
    assert_eq!(refused(gate.place(placement(3), 0)), (Reason::Draining, true));
    assert_eq!(gate.place(placement(1), 0), PlacementDecision::Joined);
}

#[test]
fn results_dropped() {
    let mut gate = gate(3);
    for sequence in 1..=3 {
        start(&mut gate, sequence);
    }
    gate.record_end(task(1), finished("123456"), 1, 1);
    let failed = TaskEnd::Failed { reason: Reason::TaskFailed, detail: "123".to_owned() };
    gate.record_end(task(2), failed, 1, 2);
    gate.record_end(task(3), finished("12345678"), 1, 3);
    let dropped = AgentReplyBody::Broken(Reason::ResultDropped);
    assert_eq!(gate.place(placement(1), 4), PlacementDecision::Settled(dropped));
    let reports = gate.revoke(&[task(1), task(2), task(3)], 4).reports;
    assert_eq!(reports[0].record, TaskRecord::EndDropped);
    let short = TaskEnd::Failed { reason: Reason::TaskFailed, detail: String::new() };
    assert_eq!(reports[1].record, TaskRecord::Ended(short));
    assert_eq!(reports[2].record, TaskRecord::Ended(finished("12345678")));
    assert_eq!(gate.counts().kept_result_bytes, 8);
}

#[test]
fn memory_full() {
    let limits = Limits { record_bytes: 8 * RECORD_COST_BYTES, ..LIMITS };
    let mut gate = gate_with(100, limits);
    for sequence in 1..=6 {
        start(&mut gate, sequence);
    }
    assert_eq!(refused(gate.place(placement(7), 0)), (Reason::MemoryFull, false));
    let revoked = gate.revoke(&[task(7), task(8), task(9), task(1)], 0);
    let reported: Vec<TaskId> = revoked.reports.iter().map(|report| report.task).collect();
    assert_eq!(reported, [task(7), task(8), task(1)]);
}

/// Revoking a queued task frees its payload, which makes room for the tombstone of
/// another task in the same revoke.
#[test]
fn revoke_frees_first() {
    let limits = Limits { record_bytes: 3 * RECORD_COST_BYTES + 1, ..LIMITS };
    let mut gate = gate_with(1, limits);
    start(&mut gate, 1);
    assert!(matches!(gate.place(placement(2), 0), PlacementDecision::Queued { .. }));
    let revoked = gate.revoke(&[task(3), task(2)], 0);
    let reported: Vec<TaskId> = revoked.reports.iter().map(|report| report.task).collect();
    assert_eq!(reported, [task(3), task(2)]);
}

#[test]
fn records_expire() {
    let mut gate = gate(2);
    start(&mut gate, 1);
    start(&mut gate, 2);
    gate.record_end(task(1), finished("1"), 1, 10);
    gate.expire(1_009);
    assert_eq!(gate.counts().records, 2);
    gate.expire(1_010);
    assert_eq!(gate.counts().records, 1);
    assert_eq!(gate.counts().kept_result_bytes, 0);
    gate.expire(1_000_000);
    assert_eq!(gate.place(placement(2), 1_000_000), PlacementDecision::Joined);
}

#[test]
fn retry_estimate() {
    let mut gate = gate(1);
    start(&mut gate, 1);
    gate.record_end(task(1), finished("1"), 200_000, 1);
    for sequence in 2..=4 {
        gate.place(placement(sequence), 1);
    }
    let PlacementDecision::Refused(refusal) = gate.place(placement(5), 1) else { panic!("taken") };
    assert_eq!(refusal.retry_after_ms, 600);
}
