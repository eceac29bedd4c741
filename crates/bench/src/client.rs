//! HTTP calls of callers, of operators, and to the stand-ins.

use {
    crate::{arrivals::Unit, scrape::Series},
    eyre::{WrapErr, ensure},
    reqwest::{Method, StatusCode, header},
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
};

/// Longest wait for calls outside the measured load.
const SIDE_CALL_MS: u64 = 5_000;
/// Connections kept open to one process.
const POOLED: usize = 4_096;

/// How a submission ended, or where it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// All results.
    Complete,
    /// Definitely failed.
    Failed,
    /// Nothing was started, ever.
    NotRun,
    /// Some of it may have run.
    Unknown,
    /// Ask again.
    InDoubt,
    /// The caller gave up without any of these.
    NoAnswer,
}

impl Outcome {
    /// The name in reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Failed => "failed",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::InDoubt => "in_doubt",
            Self::NoAnswer => "no_answer",
        }
    }
}

/// An answer as callers get it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// How it ended.
    pub outcome: Outcome,
    /// Why.
    pub reason: String,
    /// Where that arose.
    #[serde(default)]
    pub step: Option<String>,
    /// Process at which it arose.
    #[serde(default)]
    pub peer: Option<String>,
    /// More for a person.
    #[serde(default)]
    pub detail: Option<String>,
    /// When to come back.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
    /// Tasks known to have started.
    #[serde(default)]
    pub tasks_started: Option<u16>,
    /// One result a task.
    #[serde(default)]
    pub results: Vec<Value>,
}

/// What a submission holds.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Reserved id.
    pub id: String,
    /// Job or request.
    pub unit: Unit,
    /// Body, the same for each resubmission.
    pub body: Vec<u8>,
}

/// Calls with one pool of connections.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
}

impl Client {
    /// A client without connections yet.
    ///
    /// # Errors
    ///
    /// When the library cannot be set up.
    pub fn new() -> eyre::Result<Self> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .tcp_nodelay(true)
            .pool_max_idle_per_host(POOLED)
            .build()?;
        Ok(Self { http })
    }

    /// Reserves ids at an entry.
    ///
    /// # Errors
    ///
    /// When the entry cannot be reached or refuses.
    pub async fn reserve(
        &self,
        entry: SocketAddr,
        token: &str,
        count: u32,
    ) -> eyre::Result<Vec<String>> {
        #[derive(Deserialize)]
        struct Ids {
            ids: Vec<String>,
        }
        let url = format!("http://{entry}/v1/ids");
        let call = self.http.post(url).bearer_auth(token).json(&json!({"count": count}));
        let answer = call.timeout(side_call()).send().await?;
        let status = answer.status();
        let text = answer.text().await?;
        ensure!(status.is_success(), "reserving ids at {entry}: {status}: {text}");
        let ids: Ids = serde_json::from_str(&text).wrap_err_with(|| text.clone())?;
        Ok(ids.ids)
    }

    /// Submits, and waits for the answer.
    ///
    /// # Errors
    ///
    /// When the connection breaks, time passes, or no answer came in the body.
    pub async fn submit(
        &self,
        entry: SocketAddr,
        token: &str,
        submission: &Submission,
        timeout: Duration,
    ) -> eyre::Result<Answer> {
        let path = match submission.unit {
            Unit::Job => "jobs",
            Unit::Request => "requests",
        };
        let url = format!("http://{entry}/v1/{path}/{}", submission.id);
        let call = self
            .http
            .put(url)
            .bearer_auth(token)
            .header(header::CONTENT_TYPE, "application/json")
            .body(submission.body.clone())
            .timeout(timeout);
        read_answer(call.send().await?).await
    }

    /// Asks where a job stands, or cancels it.
    ///
    /// # Errors
    ///
    /// When the connection breaks, time passes, or no answer came in the body.
    pub async fn job(
        &self,
        method: Method,
        entry: SocketAddr,
        token: &str,
        id: &str,
    ) -> eyre::Result<Answer> {
        let url = format!("http://{entry}/v1/jobs/{id}");
        let call = self.http.request(method, url).bearer_auth(token).timeout(side_call());
        read_answer(call.send().await?).await
    }

    /// Publishes a new template; one that is there already is well too.
    ///
    /// # Errors
    ///
    /// When the entry cannot be reached or refuses.
    pub async fn publish(
        &self,
        entry: SocketAddr,
        token: &str,
        organisation: &str,
        yaml: String,
    ) -> eyre::Result<()> {
        let url = format!("http://{entry}/v1/admin/organisations/{organisation}");
        let call = self
            .http
            .put(url)
            .bearer_auth(token)
            .header(header::IF_NONE_MATCH, "*")
            .header(header::CONTENT_TYPE, "application/yaml")
            .body(yaml)
            .timeout(side_call());
        let answer = call.send().await?;
        let status = answer.status();
        let text = answer.text().await?;
        let there = matches!(status, StatusCode::PRECONDITION_FAILED | StatusCode::CONFLICT);
        ensure!(status.is_success() || there, "publishing {organisation}: {status}: {text}");
        Ok(())
    }

    /// Whether a process says that it is ready, within a time.
    pub async fn is_ready(&self, process: SocketAddr, timeout: Duration) -> bool {
        let url = format!("http://{process}/ready");
        let call = self.http.get(url).timeout(timeout).send().await;
        call.is_ok_and(|answer| answer.status().is_success())
    }

    /// Reads a metrics page.
    ///
    /// # Errors
    ///
    /// When the process cannot be reached.
    pub async fn scrape(&self, process: SocketAddr) -> eyre::Result<Series> {
        let url = format!("http://{process}/metrics");
        let page = self.http.get(url).timeout(side_call()).send().await?.text().await?;
        Ok(Series::parse(&page))
    }

    /// Reads JSON of a stand-in.
    ///
    /// # Errors
    ///
    /// When the process cannot be reached or answers something else.
    pub async fn get_json(&self, process: SocketAddr, path: &str) -> eyre::Result<Value> {
        let url = format!("http://{process}{path}");
        let answer = self.http.get(url).timeout(side_call()).send().await?.error_for_status()?;
        Ok(answer.json().await?)
    }

    /// Gives a stand-in an order.
    ///
    /// # Errors
    ///
    /// When the process cannot be reached or refuses.
    pub async fn post_json(
        &self,
        process: SocketAddr,
        path: &str,
        body: &Value,
    ) -> eyre::Result<()> {
        let url = format!("http://{process}{path}");
        let answer = self.http.post(url).json(body).timeout(side_call()).send().await?;
        let status = answer.status();
        let text = answer.text().await.unwrap_or_default();
        ensure!(status.is_success(), "{path} at {process}: {status}: {text}");
        Ok(())
    }

    /// Round trip of the smallest call, in microseconds: the median of many.
    ///
    /// # Errors
    ///
    /// When the process cannot be reached.
    pub async fn round_trip_us(&self, process: SocketAddr) -> eyre::Result<u64> {
        const CALLS: usize = 201;
        let url = format!("http://{process}/live");
        let mut times_us = Vec::with_capacity(CALLS);
        for _ in 0..CALLS {
            let began = std::time::Instant::now();
            self.http.get(&url).timeout(side_call()).send().await?.bytes().await?;
            times_us.push(began.elapsed().as_micros() as u64);
        }
        times_us.sort_unstable();
        Ok(times_us[CALLS / 2])
    }
}

async fn read_answer(answer: reqwest::Response) -> eyre::Result<Answer> {
    let status = answer.status();
    let text = answer.text().await?;
    serde_json::from_str(&text).wrap_err_with(|| format!("{status}: {text}"))
}

fn side_call() -> Duration {
    Duration::from_millis(SIDE_CALL_MS)
}
