//! Revokes, gathered: at most one message under way to an agent, with all
//! tasks revoked since the last one.

use {
    super::{
        agent::Agent,
        link::{Waited, wait_up},
    },
    crate::{
        counters::{self, Message},
        jobs::{JobCell, drive},
        shared::Shared,
    },
    std::{collections::HashMap, sync::Arc, time::Duration},
    sycamorerail_decide::{
        job::{Event, TaskAttempt},
        view::UpstreamKey,
    },
    sycamorerail_wire::{
        answer::{Reason, TaskRecord, TaskReport},
        ids::TaskId,
        message::{AgentReply, AgentReplyBody, ToAgent},
        session,
    },
};

/// Longest wait for the connection, then for the reply.
const REVOKE_WITHIN: Duration = Duration::from_secs(2);

/// Tasks to be revoked at one agent.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    tasks: Vec<(TaskId, Arc<JobCell>)>,
    under_way: bool,
}

/// Revokes tasks of a job at an upstream. Reports come as events.
pub fn revoke(
    shared: &Arc<Shared>,
    cell: &Arc<JobCell>,
    upstream: UpstreamKey,
    tasks: &[TaskAttempt],
) {
    let Some(agent) = shared.upstreams.snapshot().agent(upstream).cloned() else {
        for &task in tasks {
            drive(shared, cell, Event::RevokeFailed { upstream, task });
        }
        return;
    };
    let ids = tasks.iter().map(|task| {
        (TaskId { job: cell.id, index: task.index, attempt: task.attempt }, Arc::clone(cell))
    });
    let mut outbox = agent.outbox.lock();
    outbox.tasks.extend(ids);
    if !outbox.under_way {
        outbox.under_way = true;
        tokio::spawn(flush(Arc::clone(shared), Arc::clone(&agent)));
    }
}

async fn flush(shared: Arc<Shared>, agent: Arc<Agent>) {
    loop {
        let tasks = {
            let mut outbox = agent.outbox.lock();
            let tasks = std::mem::take(&mut outbox.tasks);
            outbox.under_way = !tasks.is_empty();
            tasks
        };
        if tasks.is_empty() {
            return;
        }
        let reports = ask(&shared, &agent, &tasks).await;
        hand_out(&shared, &agent, tasks, reports);
    }
}

async fn ask(shared: &Shared, agent: &Agent, tasks: &[(TaskId, Arc<JobCell>)]) -> Vec<TaskReport> {
    let mut link = agent.link.subscribe();
    let Waited::Up(connection) = wait_up(&mut link, None, REVOKE_WITHIN).await else {
        return Vec::new();
    };
    let ids = tasks.iter().map(|(id, _)| *id).collect();
    call(shared, agent, &connection, ids).await
}

async fn call(
    shared: &Shared,
    agent: &Agent,
    connection: &quinn::Connection,
    tasks: Vec<TaskId>,
) -> Vec<TaskReport> {
    counters::message(Message::Revoke, Reason::Revoked);
    let request = ToAgent::Revoke { tasks };
    match session::call::<_, AgentReply>(connection, &request, REVOKE_WITHIN).await {
        Ok(AgentReply { load, config_mark, body: AgentReplyBody::Revoked(reports), .. }) => {
            shared.note_config_mark(config_mark);
            agent.take_load(load, shared.now_ms());
            reports
        }
        _ => Vec::new(),
    }
}

fn hand_out(
    shared: &Arc<Shared>,
    agent: &Agent,
    tasks: Vec<(TaskId, Arc<JobCell>)>,
    reports: Vec<TaskReport>,
) {
    let mut records: HashMap<TaskId, TaskRecord> =
        reports.into_iter().map(|report| (report.task, report.record)).collect();
    for (id, cell) in tasks {
        let task = TaskAttempt { index: id.index, attempt: id.attempt };
        let upstream = agent.key;
        let event = match records.remove(&id) {
            Some(record) => {
                Event::Reported { upstream, task, peer: Arc::clone(&agent.peer), record }
            }
            None => Event::RevokeFailed { upstream, task },
        };
        drive(shared, &cell, event);
    }
}

/// Revokes one task and tells what the agent knows of it.
pub(super) async fn ask_record(
    shared: &Shared,
    agent: &Agent,
    connection: &quinn::Connection,
    task: TaskId,
) -> Option<TaskRecord> {
    let reports = call(shared, agent, connection, vec![task]).await;
    reports.into_iter().find(|report| report.task == task).map(|report| report.record)
}
