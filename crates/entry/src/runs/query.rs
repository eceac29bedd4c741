//! Questions about jobs that this entry does not hold, to the entries that may.
//!
//! A job that is not stored is known to its own entry alone, and callers' later
//! requests may reach any. These are rare, so there are no standing connections
//! between entries: each question is one short connection to each other entry.

use {
    super::JobService,
    futures::{StreamExt, stream::FuturesUnordered},
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
    sycamorerail_telemetry::event,
    sycamorerail_wire::{
        frames::{self, FrameError, FrameWriter},
        runs::{CallerJobId, JobQuery, JobQueryReply, RunsFirstMessage},
    },
    tokio::time::timeout,
};

/// Longest wait for a connection to another entry: some fifty times the way there
/// and back between data centres.
const CONNECT_WITHIN: Duration = Duration::from_millis(150);
/// Longest wait for an entry's answer, a used up share of a core included.
const ANSWER_WITHIN: Duration = Duration::from_millis(500);

/// Whether a job is held anywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Held {
    /// It is.
    Yes,
    /// Every entry known said that it holds no such job, or its process is gone.
    No,
    /// No entry said that it holds it, and some could not be asked.
    Unknown,
}

impl JobService {
    /// Looks for a job at all entries, this one first, and cancels it if asked.
    pub async fn query(self: &Arc<Self>, query: JobQuery) -> Held {
        if self.look(query) {
            return Held::Yes;
        }
        let others = self.known_entries().into_iter();
        let mut asked: FuturesUnordered<_> =
            others.map(|entry| async move { (entry, ask(entry, query).await) }).collect();
        let mut held = Held::No;
        while let Some((entry, answer)) = asked.next().await {
            match answer {
                Ok(true) => return Held::Yes,
                Ok(false) => {}
                // Without a process there is no job.
                Err(error) if is_process_gone(&error) => {}
                Err(error) => {
                    event!(Info, "query_unanswered", job = query.job, entry = entry, error = error);
                    held = Held::Unknown;
                }
            }
        }
        held
    }

    /// Other entries: those of the roster, those that agents are connected to and those that the
    /// agents' other entries know: an entry that has a running job has an agent, also
    /// while the platform is out.
    #[must_use]
    pub fn known_entries(&self) -> BTreeSet<SocketAddr> {
        let mut entries = self.cluster.lock().all();
        entries.remove(&self.settings.own);
        entries
    }

    fn look(self: &Arc<Self>, query: JobQuery) -> bool {
        if query.cancel { self.cancel(query.job) } else { self.holds(query.job) }
    }
}

async fn ask(entry: SocketAddr, query: JobQuery) -> Result<bool, FrameError> {
    let (mut reader, mut writer) = frames::connect(entry, CONNECT_WITHIN).await?;
    writer.push(&RunsFirstMessage::Entry(query))?;
    writer.flush().await?;
    let answer = timeout(ANSWER_WITHIN, reader.next::<JobQueryReply>()).await;
    Ok(answer.map_err(|_| FrameError::Closed(entry))??.found)
}

fn is_process_gone(error: &FrameError) -> bool {
    matches!(error, FrameError::Connect(_, io) if io.kind() == std::io::ErrorKind::ConnectionRefused)
}

/// Answers another entry's question.
pub(super) async fn answer(
    service: &Arc<JobService>,
    query: JobQuery,
    peer: SocketAddr,
    mut writer: FrameWriter,
) {
    let found = service.look(query);
    log_answer(query.job, query.cancel, found, peer);
    let sent = match writer.push(&JobQueryReply { found }) {
        Ok(()) => writer.flush().await,
        Err(error) => Err(error),
    };
    if let Err(error) = sent {
        event!(Info, "query_answer_lost", job = query.job, peer = peer, error = error);
    }
}

fn log_answer(job: CallerJobId, cancel: bool, found: bool, peer: SocketAddr) {
    event!(Info, "query_answered", job = job, cancel = cancel, found = found, peer = peer);
}
