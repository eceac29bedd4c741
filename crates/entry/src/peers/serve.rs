//! Serves the sessions that other entries open.

use {
    super::{Inner, answers, arrival, sessions},
    crate::{
        counters, dispatch,
        drain::InFlight,
        jobs::{self, is_home},
        shared::Shared,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    sycamorerail_telemetry::event,
    sycamorerail_wire::{
        answer::{Answer, Reason},
        ids::{Incarnation, JobId},
        message::{EntryReply, EntryReplyBody, EntryStatus, ToEntry},
        session,
    },
    tokio::time::timeout,
};

/// Longest wait for a peer to take a reply in.
const DELIVER_WITHIN: Duration = Duration::from_secs(5);

/// Serves one session until it ends.
pub(super) async fn serve(inner: Arc<Inner>, shared: Arc<Shared>, connection: quinn::Connection) {
    while let Ok((send, recv)) = connection.accept_bi().await {
        let (inner, shared) = (Arc::clone(&inner), Arc::clone(&shared));
        let peer = connection.remote_address();
        tokio::spawn(async move {
            if let Err(err) = serve_stream(&inner, &shared, peer, send, recv).await {
                event!(Debug, "entry_call_broke", peer = peer, cause = err);
            }
        });
    }
}

async fn serve_stream(
    inner: &Inner,
    shared: &Arc<Shared>,
    peer: SocketAddr,
    mut send: quinn::SendStream,
    mut recv: quinn::RecvStream,
) -> Result<(), session::SessionError> {
    let call: ToEntry = session::read_request(peer, &mut recv).await?;
    // A planned stop waits for the reply, if it is on a job.
    let _in_flight = match concerns_job(&call).then(|| InFlight::of_peer(shared)) {
        Some(None) => return Ok(()),
        counted => counted.flatten(),
    };
    let body = inner.reply(shared, call).await;
    let reply = EntryReply { entry: shared.incarnation(), config_mark: shared.config_mark(), body };
    session::write_reply(peer, &mut send, &reply).await?;
    // Until the peer has it all. One that is out of reach is not waited for.
    let _ = timeout(DELIVER_WITHIN, send.stopped()).await;
    Ok(())
}

fn concerns_job(call: &ToEntry) -> bool {
    matches!(call, ToEntry::Submit(_) | ToEntry::Fetch { .. } | ToEntry::Cancel { .. })
}

/// Whether this run answers for a job.
enum Home {
    Here,
    /// It was a run of an earlier process at this address.
    Gone,
    /// The id names another address, or is forged.
    Elsewhere(Reason),
}

fn home_of(shared: &Shared, id: &JobId) -> Home {
    if id.verify(&shared.id_key).is_err() {
        return Home::Elsewhere(Reason::Forbidden);
    }
    if is_home(shared, id) {
        return Home::Here;
    }
    if id.home == shared.inner_address {
        return Home::Gone;
    }
    Home::Elsewhere(Reason::HomeUnreachable)
}

impl Inner {
    async fn reply(&self, shared: &Arc<Shared>, call: ToEntry) -> EntryReplyBody {
        match call {
            ToEntry::Submit(submission) => {
                let id = submission.job;
                self.of_home(shared, id, async || jobs::submit(shared, submission).await).await
            }
            ToEntry::Fetch { job } => {
                self.of_home(shared, job, async || jobs::fetch(shared, &job)).await
            }
            ToEntry::Cancel { job } => {
                self.of_home(shared, job, async || jobs::cancel(shared, &job).await).await
            }
            ToEntry::Reach { address, incarnation } => {
                EntryReplyBody::Reached(self.reach(shared, address, incarnation).await)
            }
            ToEntry::Templates { since } => {
                EntryReplyBody::Templates((self.sources.templates)(since))
            }
            ToEntry::Usage(report) => {
                let taken = dispatch::hear_usage(shared, &report);
                if taken { EntryReplyBody::Acknowledged } else { EntryReplyBody::BaseReportMissing }
            }
            ToEntry::Status => EntryReplyBody::Status(self.own_status(shared)),
            ToEntry::Started { address, incarnation } => {
                arrival::tell_agents(shared, address, incarnation);
                EntryReplyBody::Acknowledged
            }
        }
    }

    async fn of_home<A: AsyncFnOnce() -> Arc<Answer>>(
        &self,
        shared: &Shared,
        id: JobId,
        answer: A,
    ) -> EntryReplyBody {
        match home_of(shared, &id) {
            Home::Here => EntryReplyBody::Answer(Arc::unwrap_or_clone(answer().await)),
            Home::Gone => EntryReplyBody::OtherIncarnation,
            Home::Elsewhere(reason) => {
                counters::refusal(reason);
                EntryReplyBody::Answer(answers::misdirected(reason))
            }
        }
    }

    /// Tries to reach an entry for a peer that cannot.
    async fn reach(
        &self,
        shared: &Shared,
        address: SocketAddr,
        incarnation: Incarnation,
    ) -> Option<Incarnation> {
        if address == shared.inner_address {
            let known = shared.jobs.is_retired(incarnation);
            return Some(if known { incarnation } else { shared.incarnation() });
        }
        let within = sessions::reach_within(shared);
        let status = timeout(within, self.status(shared, address));
        Some(status.await.ok()?.ok()?.incarnation)
    }

    fn own_status(&self, shared: &Shared) -> EntryStatus {
        EntryStatus {
            incarnation: shared.incarnation(),
            name: shared.settings.name.clone(),
            data_centre: shared.settings.data_centre.clone(),
            ready: shared.lifecycle.is_ready(),
            draining: shared.lifecycle.is_draining(),
            config_mark: shared.config_mark(),
            revisions: (self.sources.revisions)(),
        }
    }
}
