//! Callers that submit, and resubmit through other entries until they have a
//! final answer.

use {
    crate::{
        balancer::Balancer,
        caller::{Caller, Submission},
        cluster::Cluster,
        http::Reply,
        ledger::{Ledger, is_final},
        standins::StartBook,
        wait::PATIENCE,
    },
    eyre::bail,
    futures::future::try_join_all,
    parking_lot::Mutex,
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    sycamorerail_bench::{
        arrivals::Unit,
        client::{Answer, Outcome},
        verdict::{Violations, violations},
    },
    tokio::time::sleep,
};

/// Pause where nothing tells when to come back.
const PAUSE: Duration = Duration::from_millis(100);
const MOST_PAUSE: Duration = Duration::from_secs(2);
/// Times that a caller asks again after `unknown`.
const UNKNOWN_RETRIES: u32 = 3;

/// A connection that broke while its caller waited.
#[derive(Clone, Debug)]
pub struct Cut {
    /// The entry.
    pub entry: String,
    /// When the call began.
    pub began: Instant,
    /// When it broke.
    pub ended: Instant,
    /// What the HTTP library said.
    pub how: String,
}

impl Cut {
    /// How long the call had lasted.
    #[must_use]
    pub fn lasted(&self) -> Duration {
        self.ended - self.began
    }
}

/// Callers of both deployments, and what they were told.
#[derive(Debug)]
pub struct Load {
    /// The processes.
    pub cluster: Arc<Cluster>,
    /// What callers were told.
    pub ledger: Ledger,
    /// Starts counted by upstreams.
    pub starts: tokio::sync::Mutex<StartBook>,
    balancer: Arc<Balancer>,
    callers: Vec<Caller>,
    cuts: Mutex<Vec<Cut>>,
    /// Calls that ended without an answer on a job, by what came.
    other_replies: Mutex<BTreeMap<String, u64>>,
    sequence: AtomicU64,
}

impl Load {
    /// Callers of each organisation of the cluster, without load yet.
    ///
    /// # Errors
    ///
    /// When the HTTP library cannot be set up.
    pub fn new(cluster: Arc<Cluster>) -> eyre::Result<Arc<Self>> {
        let organisations = cluster.organisations().iter();
        let callers: eyre::Result<Vec<_>> =
            organisations.map(|organisation| Caller::new(&organisation.token)).collect();
        Ok(Arc::new(Self {
            balancer: Balancer::start(Arc::clone(&cluster)),
            cluster,
            ledger: Ledger::default(),
            starts: tokio::sync::Mutex::default(),
            callers: callers?,
            cuts: Mutex::default(),
            other_replies: Mutex::default(),
            sequence: AtomicU64::new(0),
        }))
    }

    /// The caller of an organisation.
    #[must_use]
    pub fn caller(&self, organisation: usize) -> &Caller {
        &self.callers[organisation]
    }

    /// The next entry in service, in turn.
    #[must_use]
    pub fn next_entry(&self) -> Option<(String, std::net::SocketAddr)> {
        self.balancer.next()
    }

    /// Reserves ids at an entry, asking again until it gives them.
    ///
    /// # Errors
    ///
    /// When it does not for too long.
    pub async fn reserve(
        &self,
        organisation: usize,
        entry: &str,
        count: u32,
    ) -> eyre::Result<Vec<String>> {
        let (address, caller) = (self.cluster.http(entry), self.caller(organisation));
        crate::wait::until(&format!("{entry} reserves ids"), || async {
            Ok(caller.reserve(address, count).await.told())
        })
        .await
    }

    /// Reserves one id at any entry in service.
    ///
    /// # Errors
    ///
    /// When no entry gives one for too long.
    pub async fn reserve_anywhere(&self, organisation: usize) -> eyre::Result<String> {
        let began = Instant::now();
        while began.elapsed() < PATIENCE {
            if let Some((name, address)) = self.balancer.next() {
                let started = Instant::now();
                let reply = self.caller(organisation).reserve(address, 1).await;
                if let Some(id) = self.note(&name, started, reply).and_then(|mut ids| ids.pop()) {
                    return Ok(id);
                }
            }
            sleep(PAUSE).await;
        }
        bail!("no entry reserved an id");
    }

    /// A job of several tasks of a kind that may not be repeated.
    #[must_use]
    pub fn job(&self, organisation: usize, id: String, run_ms: &[u64]) -> Submission {
        let kind = self.cluster.organisations()[organisation].kind(false).to_owned();
        let payloads = run_ms.iter().map(|run_ms| self.payload(*run_ms)).collect();
        Submission { organisation, id, unit: Unit::Job, kind, repeatable: false, payloads }
    }

    /// A request of the first kind that may, or may not, be repeated.
    #[must_use]
    pub fn request(
        &self,
        organisation: usize,
        id: String,
        repeatable: bool,
        run_ms: u64,
    ) -> Submission {
        let kind = self.cluster.organisations()[organisation].kind(repeatable).to_owned();
        let payloads = vec![self.payload(run_ms)];
        Submission { organisation, id, unit: Unit::Request, kind, repeatable, payloads }
    }

    /// A payload unlike any other.
    #[must_use]
    pub fn payload(&self, run_ms: u64) -> Value {
        let number = self.sequence.fetch_add(1, Ordering::Relaxed);
        json!({"run_ms": run_ms, "echo": {"number": number}})
    }

    /// Submits once through an entry.
    pub async fn submit(&self, entry: &str, submission: &Submission) -> Option<Answer> {
        self.ledger.submitted(submission);
        let (address, began) = (self.cluster.http(entry), Instant::now());
        let caller = self.caller(submission.organisation);
        let reply = caller.submit(address, submission, PATIENCE).await;
        let answer = self.note(entry, began, reply)?;
        self.ledger.heard(&submission.id, &answer, entry);
        Some(answer)
    }

    /// Submits each again and again until its answer is final or `unknown`
    /// stays.
    ///
    /// # Errors
    ///
    /// When there is no such answer for too long.
    pub async fn settle_all(&self, submissions: &[Submission]) -> eyre::Result<Vec<Answer>> {
        try_join_all(submissions.iter().map(|submission| self.settle(submission))).await
    }

    /// Submits again and again, through one entry in service after the other,
    /// until the answer is final or `unknown` stays.
    ///
    /// # Errors
    ///
    /// When there is no such answer for too long.
    pub async fn settle(&self, submission: &Submission) -> eyre::Result<Answer> {
        let (began, mut unknowns) = (Instant::now(), 0);
        let mut last = None;
        while began.elapsed() < PATIENCE {
            let mut pause = PAUSE;
            if let Some((entry, _)) = self.balancer.next()
                && let Some(answer) = self.submit(&entry, submission).await
            {
                unknowns += u32::from(answer.outcome == Outcome::Unknown);
                if is_final(answer.outcome) || unknowns > UNKNOWN_RETRIES {
                    return Ok(answer);
                }
                pause = Duration::from_millis(answer.retry_after_ms.unwrap_or(0));
                last = Some(answer);
            }
            sleep(pause.clamp(PAUSE, MOST_PAUSE)).await;
        }
        bail!("{}: no final answer, last {last:?}", submission.id)
    }

    /// Cancels through any entry in service.
    pub async fn cancel(&self, submission: &Submission) -> Option<Answer> {
        let (entry, address) = self.balancer.next()?;
        let began = Instant::now();
        let caller = self.caller(submission.organisation);
        let reply = caller.cancel(address, &submission.id).await;
        let answer = self.note(&entry, began, reply)?;
        self.ledger.heard(&submission.id, &answer, &entry);
        Some(answer)
    }

    fn note<T>(&self, entry: &str, began: Instant, reply: Reply<T>) -> Option<T> {
        let other = match reply {
            Reply::Told(told) => return Some(told),
            Reply::Refused { status, reason, .. } => format!("refused/{status}/{reason}"),
            Reply::NotConnected => "not_connected".to_owned(),
            Reply::TimedOut => "timed_out".to_owned(),
            Reply::Cut(how) => {
                let cut = Cut { entry: entry.to_owned(), began, ended: Instant::now(), how };
                self.cuts.lock().push(cut);
                "cut".to_owned()
            }
        };
        *self.other_replies.lock().entry(other).or_default() += 1;
        None
    }

    /// Connections that broke while their callers waited.
    #[must_use]
    pub fn cuts(&self) -> Vec<Cut> {
        self.cuts.lock().clone()
    }

    /// Calls that ended without an answer on a job, by what came.
    #[must_use]
    pub fn other_replies(&self) -> BTreeMap<String, u64> {
        self.other_replies.lock().clone()
    }

    /// Reads all upstreams' starts and holds them against what was told.
    ///
    /// # Errors
    ///
    /// When an upstream cannot be reached.
    pub async fn violations(&self) -> eyre::Result<Violations> {
        // Before the starts are read, so that each of those told of is there.
        let told = self.ledger.told();
        let mut starts = self.starts.lock().await;
        starts.read_all(&self.cluster).await?;
        Ok(violations(&told, &starts.starts()))
    }

    /// Jobs, requests that may and requests that must not be repeated, in equal
    /// parts, under `count` ids of an entry for each organisation.
    ///
    /// # Errors
    ///
    /// When ids cannot be reserved.
    pub async fn mixed(
        &self,
        entry: &str,
        count: u32,
        request_ms: u64,
        job_ms: &[u64],
    ) -> eyre::Result<Vec<Submission>> {
        let mut all = Vec::new();
        for organisation in 0..self.cluster.organisations().len() {
            let ids = self.reserve(organisation, entry, count).await?;
            for (number, id) in ids.into_iter().enumerate() {
                all.push(match number % 3 {
                    0 => self.request(organisation, id, false, request_ms),
                    1 => self.request(organisation, id, true, request_ms),
                    _ => self.job(organisation, id, job_ms),
                });
            }
        }
        Ok(all)
    }

    /// Fails on any broken promise or process that misbehaved.
    ///
    /// # Errors
    ///
    /// On any of these, with the story of the ids concerned.
    pub async fn check(&self) -> eyre::Result<()> {
        let violations = self.violations().await?;
        let misbehaved = self.cluster.misbehaved()?;
        if violations.total() == 0 && misbehaved.is_empty() {
            return Ok(());
        }
        let id_of = |example: &String| example.rsplit(' ').next().unwrap_or_default().to_owned();
        let stories: Vec<String> = violations
            .examples
            .iter()
            .map(|example| format!("{example}: {}", self.ledger.story(&id_of(example))))
            .collect();
        bail!("{violations:?}\n{}\n{}", stories.join("\n"), misbehaved.join("\n"))
    }
}
