//! The answers given for a job whose home is another entry.

use {
    crate::shared::Shared,
    sycamorerail_clock::Clock,
    sycamorerail_decide::fence::Conclusion,
    sycamorerail_membership::membership::CLOCK_MARGIN_MS,
    sycamorerail_wire::{
        answer::{Answer, Outcome, Reason, Step},
        ids::JobId,
    },
};

/// When to come back while the platform is out, in milliseconds.
const PLATFORM_RETRY_MS: u64 = 1_000;
/// When to come back with a new id, in milliseconds.
const NEW_ID_RETRY_MS: u64 = 1;
/// When to come back while tasks of a lost home run, in milliseconds.
const RUNNING_RETRY_MS: u64 = 200;
/// When to ask again about a job whose outcome is unknown, in milliseconds.
const UNKNOWN_RETRY_MS: u64 = 10_000;
/// At most this part of the retention is given away for clocks that differ.
const MARGIN_PART: u64 = 4;

/// Whether ids of this age are refused.
pub(super) fn is_expired(shared: &Shared, id: &JobId) -> bool {
    age_ms(id) > u64::from(shared.settings.limits.retention_ms)
}

/// Whether agents whose clocks differ surely still hold all records of the
/// job, so that something follows from what they don't hold.
pub(super) fn is_recent(shared: &Shared, id: &JobId) -> bool {
    let retention_ms = u64::from(shared.settings.limits.retention_ms);
    let margin_ms = u64::from(CLOCK_MARGIN_MS).min(retention_ms / MARGIN_PART);
    age_ms(id) <= retention_ms - margin_ms
}

fn age_ms(id: &JobId) -> u64 {
    Clock::unix_ms().saturating_sub(id.minted_unix_ms)
}

pub(super) fn expired() -> Answer {
    Answer::without_results(Outcome::Unknown, Reason::Expired, Step::Accept)
        .with_detail("the id is older than the retention: it may have run, and never runs again")
}

pub(super) fn misdirected(reason: Reason) -> Answer {
    Answer::without_results(Outcome::InDoubt, reason, Step::Forward)
        .with_detail("the id names another entry as its home")
}

pub(super) fn home_in_doubt(id: &JobId, retry_after_ms: u64) -> Answer {
    Answer::without_results(Outcome::InDoubt, Reason::HomeUnreachable, Step::Forward)
        .at_peer(id.home.to_string())
        .retry_after_ms(retry_after_ms)
        .with_detail("the home of the job cannot be reached, and is not shown lost yet")
}

pub(super) fn unsettled(id: &JobId) -> Answer {
    Answer::without_results(Outcome::InDoubt, Reason::AgentUnreachable, Step::Fence)
        .at_peer(id.home.to_string())
        .retry_after_ms(RUNNING_RETRY_MS)
        .with_detail("the home of the job is lost; agents are still to dial this entry")
}

pub(super) fn platform_out(id: &JobId) -> Answer {
    Answer::without_results(Outcome::InDoubt, Reason::PlatformOut, Step::Fence)
        .at_peer(id.home.to_string())
        .retry_after_ms(PLATFORM_RETRY_MS)
        .with_detail("the home of the job is lost; what became of it cannot be concluded yet")
}

pub(super) fn conflict() -> Answer {
    Answer::without_results(Outcome::Failed, Reason::Conflict, Step::Fence)
        .with_detail("another kind or body was submitted under this id; this one never runs")
}

fn not_run(id: &JobId) -> Answer {
    Answer {
        tasks_started: Some(0),
        ..Answer::without_results(Outcome::NotRun, Reason::HomeLost, Step::Fence)
            .at_peer(id.home.to_string())
            .retry_after_ms(NEW_ID_RETRY_MS)
            .with_detail("nothing was started under this id, nothing ever will be: reserve another")
    }
}

/// What a caller is told. `agent_name` names an agent for people.
pub(super) fn concluded(
    id: &JobId,
    conclusion: Conclusion,
    agent_name: impl Fn(sycamorerail_wire::ids::Incarnation) -> String,
) -> Answer {
    match conclusion {
        Conclusion::Conflict => conflict(),
        Conclusion::Complete(results) => Answer::complete(results),
        Conclusion::Failed { reason, detail, agent, tasks_started } => {
            let mut answer = Answer::without_results(Outcome::Failed, reason, Step::Fence);
            answer.peer = agent.map(agent_name).or_else(|| Some(id.home.to_string()));
            answer.tasks_started = Some(tasks_started);
            answer.with_detail(detail)
        }
        Conclusion::NotRun => not_run(id),
        Conclusion::Running { tasks_started } => in_doubt(Reason::Running, tasks_started),
        Conclusion::Waiting { tasks_started } => in_doubt(Reason::AgentUnreachable, tasks_started),
        Conclusion::Unknown { reason, tasks_started, silent_agents } => {
            let mut answer = Answer::without_results(Outcome::Unknown, reason, Step::Fence)
                .retry_after_ms(UNKNOWN_RETRY_MS)
                .with_detail(format!("the home was lost; {silent_agents} agents do not answer"));
            answer.tasks_started = Some(tasks_started);
            answer
        }
    }
}

fn in_doubt(reason: Reason, tasks_started: u16) -> Answer {
    let mut answer = Answer::without_results(Outcome::InDoubt, reason, Step::Fence)
        .retry_after_ms(RUNNING_RETRY_MS);
    answer.tasks_started = Some(tasks_started);
    answer
}
