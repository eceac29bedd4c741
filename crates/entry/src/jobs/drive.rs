//! Feeds events to a job's state machine and does what it asks for.

use {
    super::{cell::JobCell, timer},
    crate::{counters, dispatch, shared::Shared, upstreams},
    std::sync::Arc,
    sycamorerail_decide::job::{Action, Event, Reply},
    sycamorerail_telemetry::invariant::{Invariant, check},
    sycamorerail_wire::{
        answer::{Answer, Outcome, TaskRecord},
        ids::Incarnation,
    },
};

/// Starts a job that was just accepted.
pub(super) fn start(shared: &Arc<Shared>, cell: &Arc<JobCell>) {
    timer::watch(shared, cell);
    let first = cell.state.lock().first_attempts();
    for task in first {
        dispatch::enqueue(shared, cell, task);
    }
}

/// Hands an event to a job.
pub fn drive(shared: &Arc<Shared>, cell: &Arc<JobCell>, event: Event) {
    check_not_run_holds(cell, &event);
    let now_ms = shared.now_ms();
    let actions = {
        let mut job = cell.state.lock();
        let parameters = *job.parameters();
        job.handle_event(event, now_ms, &mut |retry| {
            dispatch::pace(shared, cell, &parameters, retry)
        })
    };
    for action in actions {
        act(shared, cell, action);
    }
}

fn act(shared: &Arc<Shared>, cell: &Arc<JobCell>, action: Action) {
    match action {
        Action::Enqueue { task, cause, after_ms } => {
            if let Some(cause) = cause {
                counters::retry(cause);
            }
            dispatch::enqueue_after(shared, cell, task, after_ms);
        }
        Action::Revoke { upstream, tasks } => {
            upstreams::revoke(shared, cell, upstream, &tasks);
        }
        Action::Answer(answer) => give(shared, cell, answer),
    }
}

fn give(shared: &Arc<Shared>, cell: &Arc<JobCell>, answer: Answer) {
    check_answer(cell, &answer);
    let answer = Arc::new(answer);
    if !shared.jobs.keep_answer(cell, &answer) {
        return;
    }
    counters::answer(answer.outcome, answer.reason);
    dispatch::answered(shared, cell, &answer);
    cell.answer.send_replace(Some(answer));
    shared.lifecycle.wake();
}

fn check_answer(cell: &JobCell, answer: &Answer) {
    let expected = if answer.outcome == Outcome::Complete { cell.payloads.len() } else { 0 };
    check(Invariant::WholeAnswer, answer.results.len() == expected, &cell.id);
    if answer.outcome == Outcome::NotRun {
        check(Invariant::TrueNotRun, cell.state.lock().no_start_possible(), &cell.id);
    }
}

/// No event may show a start of a job that was answered `not_run`, nor of a
/// second attempt at what must not be repeated.
fn check_not_run_holds(cell: &JobCell, event: &Event) {
    let Some((task, peer)) = shows_start(event) else {
        return;
    };
    let not_run =
        cell.answer.borrow().as_ref().is_some_and(|answer| answer.outcome == Outcome::NotRun);
    check(Invariant::TrueNotRun, !not_run, &format_args!("{} at {peer}", cell.id));
    check(
        Invariant::NotRepeated,
        cell.is_repeatable() || task.attempt == 0,
        &format_args!("{} at {peer}", cell.id),
    );
}

fn shows_start(event: &Event) -> Option<(sycamorerail_decide::job::TaskAttempt, &str)> {
    match event {
        Event::Replied { placement, peer, reply: Reply::Ended(_) | Reply::Broken(_) } => {
            Some((placement.task, peer))
        }
        Event::Reported { record: TaskRecord::NeverStarted, .. } => None,
        Event::Reported { task, peer, .. } => Some((*task, peer)),
        _ => None,
    }
}

/// Tells all jobs of a run that it is fenced.
pub fn fence_all(shared: &Arc<Shared>, incarnation: Incarnation) {
    for cell in shared.jobs.running_of(incarnation) {
        drive(shared, &cell, Event::Fenced);
    }
}
