//! Callers that do as callers do: submit, hang up and come back, send twice at
//! once, cancel alone or in waves, ask again for what they have been told.

use {
    crate::{caller::Submission, load::Load, plan::Kind},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::BTreeMap,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    sycamorerail_bench::arrivals::Unit,
    tokio::{
        sync::watch,
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// Share of submissions that are jobs.
const JOB_SHARE: f64 = 0.5;
/// Tasks of most jobs, and of a few large ones.
const JOB_TASKS: std::ops::RangeInclusive<usize> = 1..=6;
const LARGE_JOB_TASKS: std::ops::RangeInclusive<usize> = 7..=40;
const LARGE_JOB_SHARE: f64 = 0.03;
/// Run times of most tasks, and of a few long ones.
const RUN_MS: std::ops::RangeInclusive<u64> = 5..=200;
const LONG_RUN_MS: std::ops::RangeInclusive<u64> = 500..=3_000;
const LONG_RUN_SHARE: f64 = 0.08;
/// Share of tasks whose upstream says that they failed.
const FAIL_SHARE: f64 = 0.02;
/// Share of submissions in flight that a wave cancels.
const WAVE_SHARE: f64 = 0.5;
/// Earlier ids that a caller remembers to ask for again.
const REMEMBERED: usize = 50;
const THINK_MS: std::ops::RangeInclusive<u64> = 0..=60;

/// What a caller does with one submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Manner {
    /// Waits for the answer.
    Plain,
    /// Sends it twice at once, through different entries.
    Twice,
    /// Hangs up, and comes back.
    HangUp,
    /// Cancels after a while.
    Cancel,
    /// Cancels before it submits.
    CancelFirst,
    /// Keeps the id for a while before it uses it.
    Late,
}

/// Tells callers when to stop, and of waves of cancellations.
#[derive(Clone, Debug)]
pub struct Signals {
    /// No new submissions.
    pub stop: Arc<AtomicBool>,
    /// Grows with each wave.
    pub waves: watch::Sender<u64>,
}

impl Default for Signals {
    fn default() -> Self {
        Self { stop: Arc::default(), waves: watch::Sender::new(0) }
    }
}

/// One caller of one organisation.
pub struct RandomCaller {
    load: Arc<Load>,
    signals: Signals,
    random: SmallRng,
    organisation: usize,
    remembered: Vec<Submission>,
}

impl RandomCaller {
    /// A caller with random choices of its own.
    #[must_use]
    pub fn new(load: Arc<Load>, signals: Signals, seed: u64, number: u16) -> Self {
        let organisation = usize::from(number) % load.cluster.organisations().len();
        let random = SmallRng::seed_from_u64(seed ^ (u64::from(number) << 32));
        Self { load, signals, random, organisation, remembered: Vec::new() }
    }

    /// Goes on until told to stop.
    pub async fn call_on(mut self) {
        while !self.signals.stop.load(Ordering::Acquire) {
            // An error is a submission left without a final answer; it shows
            // in the ledger.
            let _ = self.one().await;
            if self.random.random_bool(0.1) {
                self.ask_again().await;
            }
            sleep(Duration::from_millis(self.random.random_range(THINK_MS))).await;
        }
    }

    async fn one(&mut self) -> eyre::Result<()> {
        let id = self.load.reserve_anywhere(self.organisation).await?;
        let submission = self.submission(id);
        let manner = self.manner();
        let pause = Duration::from_millis(self.random.random_range(1..=1_000));
        self.remember(&submission);
        self.load.ledger.submitted(&submission);
        match manner {
            Manner::Plain => self.settle_in_waves(&submission).await?,
            Manner::Twice => {
                let load = &self.load;
                let one = load.settle(&submission);
                let other = load.settle(&submission);
                let (one, other) = tokio::join!(one, other);
                drop((one?, other?));
            }
            Manner::HangUp => {
                let settled = self.load.settle(&submission);
                if timeout(pause, settled).await.is_err() {
                    self.load.settle(&submission).await?;
                }
            }
            Manner::Cancel => {
                let settled = self.load.settle(&submission);
                let cancelled = async {
                    sleep(pause / 2).await;
                    self.load.cancel(&submission).await
                };
                let (settled, _) = tokio::join!(settled, cancelled);
                settled?;
            }
            Manner::CancelFirst => {
                self.load.cancel(&submission).await;
                self.load.settle(&submission).await?;
            }
            Manner::Late => {
                sleep(pause * 5).await;
                self.load.settle(&submission).await?;
            }
        }
        Ok(())
    }

    /// Waits for the answer; cancels it if a wave of cancellations comes.
    async fn settle_in_waves(&mut self, submission: &Submission) -> eyre::Result<()> {
        let joins_in = self.random.random_bool(WAVE_SHARE);
        let mut waves = self.signals.waves.subscribe();
        let settled = self.load.settle(submission);
        tokio::pin!(settled);
        tokio::select! {
            answer = &mut settled => return answer.map(drop),
            _ = waves.changed(), if joins_in => {}
        }
        let cancelled = self.load.cancel(submission);
        let (settled, _) = tokio::join!(settled, cancelled);
        settled.map(drop)
    }

    async fn ask_again(&mut self) {
        if self.remembered.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.remembered.len());
        let earlier = self.remembered[index].clone();
        if let Some((entry, _)) = self.load.next_entry() {
            self.load.submit(&entry, &earlier).await;
        }
    }

    fn remember(&mut self, submission: &Submission) {
        if self.remembered.len() < REMEMBERED {
            return self.remembered.push(submission.clone());
        }
        let index = self.random.random_range(0..REMEMBERED);
        self.remembered[index] = submission.clone();
    }

    fn submission(&mut self, id: String) -> Submission {
        let kinds = &self.load.cluster.organisations()[self.organisation].kinds;
        let kind = kinds[self.random.random_range(0..kinds.len())].clone();
        let is_job = self.random.random_bool(JOB_SHARE);
        let tasks = match is_job {
            false => 1,
            true if self.random.random_bool(LARGE_JOB_SHARE) => {
                self.random.random_range(LARGE_JOB_TASKS)
            }
            true => self.random.random_range(JOB_TASKS),
        };
        let unit = if is_job { Unit::Job } else { Unit::Request };
        let payloads = (0..tasks).map(|_| self.payload()).collect();
        let Kind { name, repeatable } = kind;
        let organisation = self.organisation;
        Submission { organisation, id, unit, kind: name, repeatable, payloads }
    }

    fn payload(&mut self) -> serde_json::Value {
        let long = self.random.random_bool(LONG_RUN_SHARE);
        let run_ms = self.random.random_range(if long { LONG_RUN_MS } else { RUN_MS });
        let mut payload = self.load.payload(run_ms);
        if self.random.random_bool(FAIL_SHARE) {
            payload["fail"] = true.into();
        }
        payload
    }

    fn manner(&mut self) -> Manner {
        match self.random.random_range(0..100) {
            0..64 => Manner::Plain,
            64..74 => Manner::Twice,
            74..84 => Manner::HangUp,
            84..94 => Manner::Cancel,
            94..97 => Manner::CancelFirst,
            _ => Manner::Late,
        }
    }
}

/// Starts callers, shared out over the organisations.
#[must_use]
pub fn start(load: &Arc<Load>, signals: &Signals, seed: u64, count: u16) -> JoinSet<()> {
    let mut callers = JoinSet::new();
    for number in 0..count {
        let caller = RandomCaller::new(Arc::clone(load), signals.clone(), seed, number);
        callers.spawn(caller.call_on());
    }
    callers
}

/// Counts of submissions by unit.
#[must_use]
pub fn count_units(submissions: &[Submission]) -> BTreeMap<&'static str, u64> {
    let mut counts = BTreeMap::new();
    for submission in submissions {
        let unit = match (submission.unit, submission.repeatable) {
            (Unit::Job, _) => "jobs",
            (Unit::Request, true) => "repeatable_requests",
            (Unit::Request, false) => "other_requests",
        };
        *counts.entry(unit).or_default() += 1;
    }
    counts
}
