//! Hands a call on a job to the job's home, and concludes where it is lost.

use {
    super::{Inner, answers, concluded::Final},
    crate::{counters, shared::Shared},
    std::sync::Arc,
    sycamorerail_decide::fence::{
        JobFacts,
        home_watch::{HomeState, ReachResult},
    },
    sycamorerail_telemetry::event,
    sycamorerail_wire::{
        answer::Answer,
        ids::{ContentHash, JobId},
        message::{EntryReplyBody, ToEntry, Unit},
    },
};

/// What came of asking the home.
enum Asked {
    Answered(Answer),
    Lost,
    InDoubt { retry_after_ms: u64 },
}

impl Inner {
    /// Answers a call on a job whose home is not this run.
    pub(super) async fn forward(
        self: &Arc<Self>,
        shared: &Arc<Shared>,
        id: JobId,
        call: ToEntry,
    ) -> Answer {
        let answer = self.forward_uncounted(shared, id, call).await;
        metrics::counter!(
            "sycamorerail_forwards_total",
            "outcome" => answer.outcome.name(),
            "reason" => answer.reason.name()
        )
        .increment(1);
        answer
    }

    async fn forward_uncounted(
        self: &Arc<Self>,
        shared: &Arc<Shared>,
        id: JobId,
        call: ToEntry,
    ) -> Answer {
        if answers::is_expired(shared, &id) {
            counters::refusal(sycamorerail_wire::answer::Reason::Expired);
            return answers::expired();
        }
        let known = known(&call);
        if let Some(kept) = self.concluded.get(&id) {
            return given(&kept, known.content);
        }
        match self.ask_home(shared, &id, &call).await {
            Asked::Answered(answer) => answer,
            // Agents that have not dialled this run yet would count as silent.
            Asked::Lost if !shared.lifecycle.is_settled() => answers::unsettled(&id),
            Asked::Lost => self.conclude(shared, id, known).await,
            Asked::InDoubt { retry_after_ms } => answers::home_in_doubt(&id, retry_after_ms),
        }
    }

    async fn ask_home(self: &Arc<Self>, shared: &Arc<Shared>, id: &JobId, call: &ToEntry) -> Asked {
        // A home that is lost but not fenced, as the platform is out, may come
        // back.
        let is_lost = self.homes.standing(id.incarnation) == HomeState::Lost
            && self.fences.is_recorded(id.incarnation);
        if is_lost || id.home == shared.inner_address || self.has_left(id) {
            return Asked::Lost;
        }
        let sighting = match self.call_home(shared, id, call).await {
            Ok(reply) => match reply.body {
                EntryReplyBody::Answer(answer) => {
                    self.sighted(shared, id, ReachResult::Answered);
                    return Asked::Answered(answer);
                }
                EntryReplyBody::OtherIncarnation => ReachResult::OtherIncarnation,
                _ => ReachResult::Unreachable,
            },
            Err(err) => {
                event!(Info, "home_not_reached", home = id.incarnation, cause = err);
                ReachResult::Unreachable
            }
        };
        // What the platform shows as fenced places nothing any more, whether
        // or not it is alive.
        if self.is_fenced(id.incarnation) {
            return Asked::Lost;
        }
        match self.sighted(shared, id, sighting) {
            HomeState::Lost => Asked::Lost,
            HomeState::InDoubt { retry_after_ms } => Asked::InDoubt { retry_after_ms },
            HomeState::Reachable => Asked::InDoubt { retry_after_ms: 1 },
        }
    }
}

impl Inner {
    /// Whether the platform shows that the home has stopped as planned: it is
    /// fenced, and nothing is announced at its address.
    fn has_left(&self, id: &JobId) -> bool {
        self.membership.get().is_some_and(|membership| {
            let members = membership.members();
            let mut entries = members.entries.values();
            members.fenced.contains_key(&id.incarnation)
                && !entries.any(|entry| entry.record.inner_address == id.home)
        })
    }
}

fn known(call: &ToEntry) -> JobFacts {
    match call {
        ToEntry::Submit(submission) => JobFacts {
            content: Some(submission.content),
            single_attempt: submission.unit == Unit::Job,
        },
        _ => JobFacts::default(),
    }
}

/// A kept answer, as given to a submission of this content.
pub(super) fn given(kept: &Final, content: Option<ContentHash>) -> Answer {
    match (kept.content, content) {
        (Some(submitted), Some(content)) if submitted != content => answers::conflict(),
        _ => Answer::clone(&kept.answer),
    }
}
