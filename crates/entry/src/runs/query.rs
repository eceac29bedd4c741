//! Questions about jobs that this entry does not hold, to the entries that may.
//!
//! A job that is not stored is known to its own entry alone, and callers' later
//! requests may reach any. These are rare: each question is one short connection to each
//! other entry.

use {
    super::{JobService, voters},
    futures::{StreamExt, stream::FuturesUnordered},
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
    sycamorerail_telemetry::event,
    sycamorerail_wire::{
        frames::{self, FrameError, FrameWriter},
        runs::{CallerJobId, JobQuery, JobQueryReply, RunsFirstMessage},
    },
    tokio::time::{Instant, timeout, timeout_at},
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
    /// The roster was read, and every entry said that it holds no such job, or its process is
    /// gone.
    No,
    /// No entry said that it holds it, and some could not be asked or may not be known.
    Unknown,
}

/// Answers of the entries that were asked about a job.
#[derive(Debug)]
enum Asked {
    /// One holds it.
    Found,
    /// None holds it.
    NotFound,
    /// None said that it holds it, and some did not answer.
    Unanswered,
}

impl JobService {
    /// Looks for a job at all entries, this one first, and cancels it if asked. An entry that has
    /// not read the roster asks those that agents tell of, and waits up to `wait` to know all
    /// others.
    pub async fn query(self: &Arc<Self>, query: JobQuery, wait: Duration) -> Held {
        let give_up_at = Instant::now() + wait;
        let mut changes = self.cluster_changes.subscribe();
        let mut asked = BTreeSet::new();
        let mut held = Held::No;
        loop {
            // Again after each wait: the job may have come here meanwhile.
            if self.look(query) {
                return Held::Yes;
            }
            changes.mark_unchanged();
            let (known, is_complete) = self.cluster_view();
            let new: BTreeSet<_> = known.difference(&asked).copied().collect();
            match self.ask_all(&new, query).await {
                Asked::Found => return Held::Yes,
                Asked::NotFound => {}
                Asked::Unanswered => held = Held::Unknown,
            }
            asked.extend(new);
            if is_complete {
                return held;
            }
            // The service holds the sender.
            if timeout_at(give_up_at, changes.changed()).await.is_err() {
                event!(Info, "query_before_roster", job = query.job, asked = asked.len());
                return Held::Unknown;
            }
        }
    }

    async fn ask_all(&self, entries: &BTreeSet<SocketAddr>, query: JobQuery) -> Asked {
        let mut answers: FuturesUnordered<_> =
            entries.iter().map(|&entry| async move { (entry, ask(entry, query).await) }).collect();
        let mut all = Asked::NotFound;
        while let Some((entry, answer)) = answers.next().await {
            match answer {
                Ok(true) => return Asked::Found,
                Ok(false) => {}
                // Without a process there is no job.
                Err(error) if is_process_gone(&error) => {}
                Err(error) => {
                    event!(Info, "query_unanswered", job = query.job, entry = entry, error = error);
                    all = Asked::Unanswered;
                }
            }
        }
        all
    }

    /// Other entries that are known, and whether these are all.
    fn cluster_view(&self) -> (BTreeSet<SocketAddr>, bool) {
        let list = self.voters.list();
        let voters = voters::sets(list.as_deref()).voters().map(|voter| voter.address);
        let cluster = self.cluster.lock();
        let mut entries = cluster.all();
        // One that is missing in the roster may run jobs behind a cut.
        entries.extend(voters);
        entries.remove(&self.settings.own);
        (entries, cluster.is_complete())
    }

    /// Other entries: those of the roster, those that agents are connected to and those that the
    /// agents' other entries know: an entry that has a running job has an agent, also
    /// while the platform is out.
    #[must_use]
    pub fn known_entries(&self) -> BTreeSet<SocketAddr> {
        self.cluster_view().0
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

pub(super) fn is_process_gone(error: &FrameError) -> bool {
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
