//! Open-loop load: each submission is sent when it is due, whatever became of
//! the earlier ones, and its response time counts from the due time.

use {
    crate::{
        arrivals::{Arrival, Unit},
        balancer::Balancer,
        client::{Answer, Client, Outcome, Submission},
        cluster::Cluster,
        pool::{IdPool, Reserved},
        scenario::{Kind, Route, Scenario},
        verdict::Told,
    },
    reqwest::Method,
    serde_json::{Value, json},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{runtime::Handle, sync::mpsc},
};

/// Pause before an `in_doubt` job is fetched again where none is told.
const FETCH_PAUSE_MS: u64 = 50;
/// Pause before a refused submission is sent under a new id where none is told.
const NEW_ID_PAUSE_MS: u64 = 20;

/// What became of one arrival.
#[derive(Clone, Debug)]
pub struct Record {
    /// Position of the arrival.
    pub arrival: usize,
    /// Time from the due time to the last answer.
    pub response_us: u64,
    /// Time from the due time to the first byte sent, the bench's own delay.
    pub lag_us: u64,
    /// The last outcome.
    pub outcome: Outcome,
    /// Its reason.
    pub reason: String,
    /// Calls that broke or timed out.
    pub broken: u32,
    /// Times that the answer was `in_doubt`.
    pub in_doubt: u32,
    /// Cancelled by a wave.
    pub cancelled: bool,
    /// All ids used, and what was told of each.
    pub told: Vec<Told>,
    /// The last error or detail, for people.
    pub detail: Option<String>,
    /// Every call of the submission, where there was more than one.
    pub calls: Vec<CallNote>,
}

/// One call of a submission, for people.
#[derive(Clone, Debug)]
pub struct CallNote {
    /// When it ended, from the due time.
    pub at_ms: u64,
    /// Port of the entry called.
    pub port: u16,
    /// Outcome and reason, or that it broke.
    pub told: String,
    /// Pause that was asked for.
    pub retry_after_ms: Option<u64>,
}

impl CallNote {
    fn text(&self) -> String {
        let Self { at_ms, port, told, retry_after_ms } = self;
        let pause = retry_after_ms.map_or_else(String::new, |ms| format!(" (again in {ms} ms)"));
        format!("{at_ms} ms at :{port} {told}{pause}")
    }
}

impl Record {
    fn note(&mut self, due: Instant, entry: SocketAddr, answer: &eyre::Result<Answer>) {
        let told = answer.as_ref().map_or_else(
            |_| "broke".to_owned(),
            |answer| format!("{}/{}", answer.outcome.name(), answer.reason),
        );
        let retry_after_ms = answer.as_ref().ok().and_then(|answer| answer.retry_after_ms);
        let at_ms = due.elapsed().as_millis() as u64;
        self.calls.push(CallNote { at_ms, port: entry.port(), told, retry_after_ms });
    }

    /// Not complete, or not by one call.
    #[must_use]
    pub fn is_unusual(&self) -> bool {
        self.outcome != Outcome::Complete || self.calls.len() > 1
    }

    /// One line for people.
    #[must_use]
    pub fn line(&self) -> String {
        let (arrival, outcome, reason) = (self.arrival, self.outcome.name(), &self.reason);
        let (after_ms, broken) = (self.response_us / 1_000, self.broken);
        let id = self.told.last().map_or("none", |told| &told.id);
        let detail = self.detail.as_deref().unwrap_or("none");
        let calls: Vec<String> = self.calls.iter().map(CallNote::text).collect();
        format!(
            "arrival {arrival}: {outcome}/{reason} after {after_ms} ms, broken calls {broken}, \
             id {id}: {detail}; calls: {}",
            calls.join(", ")
        )
    }
}

/// Counts for the progress line.
#[derive(Debug, Default)]
pub struct Progress {
    /// Submissions sent.
    pub sent: AtomicU64,
    /// Submissions with a record.
    pub ended: AtomicU64,
    /// Of these, complete.
    pub complete: AtomicU64,
}

/// The load of one run.
pub struct Drive {
    client: Client,
    pool: Arc<IdPool>,
    balancer: Arc<Balancer>,
    tokens: Vec<String>,
    kinds: Vec<Kind>,
    scenario: Scenario,
    arrivals: Arc<Vec<Arrival>>,
    in_flight: Mutex<HashMap<usize, InFlight>>,
    /// Counts for the progress line.
    pub progress: Progress,
}

/// Due time of a submission, and when its caller gives up.
#[derive(Clone, Copy, Debug)]
struct Times {
    due: Instant,
    give_up: Instant,
}

#[derive(Clone, Debug)]
struct InFlight {
    id: String,
    organisation: usize,
    cancelled: bool,
}

impl Drive {
    /// Prepares the load; nothing is sent yet.
    #[must_use]
    pub fn new(
        client: Client,
        balancer: Arc<Balancer>,
        pool: Arc<IdPool>,
        cluster: &Cluster,
        arrivals: Arc<Vec<Arrival>>,
    ) -> Arc<Self> {
        Arc::new(Self {
            client,
            pool,
            balancer,
            tokens: cluster.organisations.iter().map(|org| org.token.clone()).collect(),
            kinds: cluster.scenario.kinds(),
            scenario: cluster.scenario.clone(),
            arrivals,
            in_flight: Mutex::default(),
            progress: Progress::default(),
        })
    }

    /// Sends all arrivals, counted from `began`; the records come on the
    /// channel, which closes after the last.
    pub fn start(self: &Arc<Self>, began: Instant) -> mpsc::UnboundedReceiver<Record> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let drive = Arc::clone(self);
        let runtime = Handle::current();
        // A thread of its own: timers of the runtime are a millisecond coarse.
        std::thread::spawn(move || drive.pace(began, &runtime, &sender));
        receiver
    }

    fn pace(
        self: &Arc<Self>,
        began: Instant,
        runtime: &Handle,
        sender: &mpsc::UnboundedSender<Record>,
    ) {
        for (index, arrival) in self.arrivals.iter().enumerate() {
            let due = began + Duration::from_micros(arrival.at_us);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let (drive, sender) = (Arc::clone(self), sender.clone());
            runtime.spawn(async move {
                drive.progress.sent.fetch_add(1, Ordering::Relaxed);
                let record = drive.one(index, due).await;
                drive.count_end(&record);
                // The receiver is gone only when the run was given up.
                let _ = sender.send(record);
            });
        }
    }

    fn count_end(&self, record: &Record) {
        self.progress.ended.fetch_add(1, Ordering::Relaxed);
        let complete = u64::from(record.outcome == Outcome::Complete);
        self.progress.complete.fetch_add(complete, Ordering::Relaxed);
    }

    /// Cancels a share of what is in flight; returns how many.
    pub async fn cancel_share(&self, share: f64) -> usize {
        let chosen: Vec<InFlight> = {
            let mut in_flight = lock(&self.in_flight);
            let count = (in_flight.len() as f64 * share).round() as usize;
            let marked = in_flight.values_mut().take(count);
            marked
                .map(|one| {
                    one.cancelled = true;
                    one.clone()
                })
                .collect()
        };
        let cancel = |one: &InFlight| {
            let (entry, token) = (self.balancer.next(), self.tokens[one.organisation].clone());
            let (client, id) = (self.client.clone(), one.id.clone());
            async move { client.job(Method::DELETE, entry, &token, &id).await }
        };
        futures::future::join_all(chosen.iter().map(cancel)).await.len()
    }

    async fn one(&self, index: usize, due: Instant) -> Record {
        let mut record = Record {
            arrival: index,
            response_us: 0,
            lag_us: due.elapsed().as_micros() as u64,
            outcome: Outcome::NoAnswer,
            reason: "none".to_owned(),
            broken: 0,
            in_doubt: 0,
            cancelled: false,
            told: Vec::new(),
            detail: None,
            calls: Vec::new(),
        };
        let give_up = due + Duration::from_millis(u64::from(self.scenario.client.give_up_ms));
        let times = Times { due, give_up };
        for retries_left in (0..=self.scenario.client.not_run_retries).rev() {
            let pause_ms = self.under_new_id(index, times, &mut record).await;
            let over = retries_left == 0 || Instant::now() >= give_up;
            if record.outcome != Outcome::NotRun || over {
                break;
            }
            tokio::time::sleep(Duration::from_millis(pause_ms.unwrap_or(NEW_ID_PAUSE_MS))).await;
        }
        record.response_us = due.elapsed().as_micros() as u64;
        record.cancelled = lock(&self.in_flight).remove(&index).is_some_and(|one| one.cancelled);
        record
    }

    /// Sends the arrival under one id until it is decided; returns the pause
    /// that the answer asks for.
    async fn under_new_id(&self, index: usize, times: Times, record: &mut Record) -> Option<u64> {
        let arrival = &self.arrivals[index];
        let organisation = usize::from(arrival.organisation);
        let reserved = match self.pool.take(organisation).await {
            Ok(reserved) => reserved,
            Err(err) => {
                record.broken += 1;
                record.detail = Some(format!("{err:#}"));
                // Nothing was sent, so a new id may follow.
                record.outcome = Outcome::NotRun;
                "not_reserved".clone_into(&mut record.reason);
                return None;
            }
        };
        let in_flight = InFlight { id: reserved.id.clone(), organisation, cancelled: false };
        lock(&self.in_flight).insert(index, in_flight);
        let attempt = record.told.len();
        let submission = self.submission(index, attempt, &reserved);
        let answer =
            self.until_decided(&submission, organisation, reserved.home, times, record).await;
        let pause_ms = answer.as_ref().and_then(|answer| answer.retry_after_ms);
        record.told.push(self.told(index, attempt, &reserved, answer.as_ref()));
        match answer {
            Some(answer) => {
                record.outcome = answer.outcome;
                record.reason = answer.reason;
                record.detail = answer.detail.or(answer.peer);
            }
            None => {
                record.outcome = Outcome::NoAnswer;
                "gave_up".clone_into(&mut record.reason);
            }
        }
        pause_ms
    }

    async fn until_decided(
        &self,
        submission: &Submission,
        organisation: usize,
        home: usize,
        times: Times,
        record: &mut Record,
    ) -> Option<Answer> {
        let Times { due, give_up } = times;
        let token = &self.tokens[organisation];
        let timeout = Duration::from_millis(u64::from(self.scenario.client.answer_timeout_ms));
        let mut entry = match self.scenario.client.route {
            Route::Balancer => self.balancer.next(),
            Route::Home => self.balancer.entry(home),
        };
        let mut fetch = false;
        while Instant::now() < give_up {
            let answer = if fetch {
                self.client.job(Method::GET, entry, token, &submission.id).await
            } else {
                self.client.submit(entry, token, submission, timeout).await
            };
            record.note(due, entry, &answer);
            let pause_ms = match answer {
                Ok(answer) if answer.outcome != Outcome::InDoubt => return Some(answer),
                Ok(answer) => {
                    record.in_doubt += 1;
                    // One that its home never saw must be sent again.
                    fetch = answer.reason == "running";
                    answer.retry_after_ms.unwrap_or(FETCH_PAUSE_MS)
                }
                Err(err) => {
                    record.broken += 1;
                    record.detail = Some(format!("{err:#}"));
                    fetch = false;
                    u64::from(self.scenario.client.resubmit_pause_ms)
                }
            };
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            entry = self.balancer.next();
        }
        None
    }

    fn submission(&self, index: usize, attempt: usize, reserved: &Reserved) -> Submission {
        let arrival = &self.arrivals[index];
        let payload = |(task, run_ms): (usize, &u32)| json!({"run_ms": run_ms, "echo": echo(index, attempt, task)});
        let payloads: Vec<Value> = arrival.run_ms.iter().enumerate().map(payload).collect();
        let kind = self.kinds[usize::from(arrival.kind)].name;
        let deadline_ms = self.scenario.client.deadline_ms;
        let body = match arrival.unit {
            Unit::Job => json!({"kind": kind, "tasks": payloads, "deadline_ms": deadline_ms}),
            Unit::Request => {
                json!({"kind": kind, "payload": payloads[0], "deadline_ms": deadline_ms})
            }
        };
        let body = body.to_string().into_bytes();
        Submission { id: reserved.id.clone(), unit: arrival.unit, body }
    }

    fn told(
        &self,
        index: usize,
        attempt: usize,
        reserved: &Reserved,
        answer: Option<&Answer>,
    ) -> Told {
        let arrival = &self.arrivals[index];
        let results = answer.map_or(&[][..], |answer| &answer.results);
        let own = |(task, result): &(usize, &Value)| {
            result.get("echo").and_then(Value::as_str) == Some(&echo(index, attempt, *task))
        };
        Told {
            id: reserved.id.clone(),
            unit: arrival.unit,
            repeatable: self.kinds[usize::from(arrival.kind)].repeatable,
            tasks: arrival.run_ms.len() as u16,
            outcome: answer.map_or(Outcome::NoAnswer, |answer| answer.outcome),
            results: results.len() as u16,
            own_results: results.iter().enumerate().filter(own).count() as u16,
            contradicted: false,
        }
    }
}

fn echo(index: usize, attempt: usize, task: usize) -> String {
    format!("{index}-{attempt}-{task}")
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
