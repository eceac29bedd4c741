//! The call to the upstream, once a task.
//!
//! No layer repeats it. The client follows no redirects, its retries are off,
//! and it keeps no idle connections: the HTTP library sends a request again
//! only where a reused connection closed under it, and here none is reused.

use {
    crate::{
        announced::Announced,
        core::{BeginCall, Core},
        counters,
    },
    reqwest::{Client, RequestBuilder, Response, StatusCode, Url, header::CONTENT_TYPE, redirect},
    serde::de::IgnoredAny,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    sycamorerail_decide::gate::Start,
    sycamorerail_telemetry::event,
    sycamorerail_wire::{
        answer::{Payload, Reason, TaskEnd},
        message::Placement,
    },
};

/// Largest result taken from an upstream.
pub(crate) const MAX_RESULT_BYTES: usize = 4 * 1024 * 1024;

const TASK_HEADER: &str = "sycamorerail-task";
const ORGANISATION_HEADER: &str = "sycamorerail-organisation";
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_DETAIL_CHARS: usize = 200;
const MAX_ERROR_BYTES: usize = 4 * MAX_DETAIL_CHARS;

/// What came of a call.
#[derive(Debug)]
enum Called {
    /// Nothing was sent to the upstream.
    NotSent(Reason),
    Ended(TaskEnd),
    Broken(Reason),
}

/// The HTTP client of an agent.
pub(crate) struct Caller(Client);

impl Caller {
    pub(crate) fn new() -> reqwest::Result<Self> {
        Client::builder()
            .http1_only()
            .no_proxy()
            .redirect(redirect::Policy::none())
            .retry(reqwest::retry::never())
            .pool_max_idle_per_host(0)
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .build()
            .map(Self)
    }

    /// Runs the tasks that the gate tells to start, with this client.
    pub(crate) fn begin_call(self) -> BeginCall {
        let caller = Arc::new(self);
        Box::new(move |core, start| {
            tokio::spawn(run(Arc::clone(&caller), core, start)).abort_handle()
        })
    }
}

/// Runs a task that the gate told to start, and records what came of it.
async fn run(caller: Arc<Caller>, core: Arc<Core>, start: Start) {
    let Start { placement, end_by_ms, .. } = start;
    let task = placement.task;
    let Some(request) = prepare(&caller, &core, placement) else {
        return core.not_started(task, Reason::Invalid);
    };
    if !core.go(task) {
        return;
    }
    counters::start();
    let began = Instant::now();
    let left = Duration::from_millis(end_by_ms.saturating_sub(core.clock.now_ms()));
    let called = tokio::time::timeout(left, call(request))
        .await
        .unwrap_or(Called::Broken(Reason::UpstreamTimeout));
    let run_us = u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX);
    match called {
        Called::NotSent(reason) => core.not_started(task, reason),
        Called::Ended(end) => core.ended(task, end, run_us),
        Called::Broken(reason) => core.broken(task, reason),
    }
}

fn prepare(caller: &Caller, core: &Core, placement: Placement) -> Option<RequestBuilder> {
    let upstream = core.upstream.load_full()?;
    let url = task_url(&upstream, &placement.kind)?;
    let request = caller
        .0
        .post(url)
        .header(TASK_HEADER, placement.task.to_string())
        .header(ORGANISATION_HEADER, placement.organisation)
        .header(CONTENT_TYPE, "application/json")
        .body(placement.payload.0);
    // A builder with a fault, such as a name that is no header value, is found
    // here rather than after the task counts as begun.
    request.try_clone()?.build().ok()?;
    Some(request)
}

/// The URL of a kind. A kind of dots would be taken for a step in the path.
fn task_url(upstream: &Announced, kind: &str) -> Option<Url> {
    if matches!(kind, "" | "." | "..") {
        return None;
    }
    let mut url = upstream.base_url.clone();
    url.path_segments_mut().ok()?.pop_if_empty().extend(["v1", "tasks", kind]);
    Some(url)
}

async fn call(request: RequestBuilder) -> Called {
    let response = match request.send().await {
        Ok(response) => response,
        Err(err) => return failed_to_send(&err),
    };
    let status = response.status();
    if status == StatusCode::OK {
        read_result(response).await
    } else {
        Called::Ended(read_failure(status, response).await)
    }
}

fn failed_to_send(err: &reqwest::Error) -> Called {
    event!(Warn, "upstream_call_failed", error = error_chain(err));
    if err.is_connect() {
        Called::NotSent(Reason::UpstreamUnreachable)
    } else {
        Called::Broken(Reason::UpstreamBroken)
    }
}

async fn read_result(response: Response) -> Called {
    match read_body(response, MAX_RESULT_BYTES).await {
        Ok(body) if body.len() > MAX_RESULT_BYTES => {
            Called::Ended(failure(Reason::TooLarge, "the result is larger than 4 MiB"))
        }
        Ok(body) => Called::Ended(as_result(body)),
        Err(err) => {
            event!(Warn, "upstream_call_failed", error = error_chain(&err));
            Called::Broken(Reason::UpstreamBroken)
        }
    }
}

fn as_result(body: Vec<u8>) -> TaskEnd {
    match String::from_utf8(body) {
        Ok(text) if serde_json::from_str::<IgnoredAny>(&text).is_ok() => {
            TaskEnd::Finished(Payload(text))
        }
        _ => failure(Reason::TaskFailed, "the result is not JSON"),
    }
}

/// The upstream has answered: that its text cannot be read changes nothing.
async fn read_failure(status: StatusCode, response: Response) -> TaskEnd {
    let body = read_body(response, MAX_ERROR_BYTES).await.unwrap_or_default();
    let text = String::from_utf8_lossy(&body);
    failure(Reason::TaskFailed, &format!("status {}: {}", status.as_u16(), text.trim()))
}

fn failure(reason: Reason, detail: &str) -> TaskEnd {
    TaskEnd::Failed { reason, detail: detail.chars().take(MAX_DETAIL_CHARS).collect() }
}

/// Reads a body, at most a chunk beyond `limit_bytes`.
async fn read_body(mut response: Response, limit_bytes: usize) -> reqwest::Result<Vec<u8>> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await? {
        body.extend_from_slice(&chunk);
        if body.len() > limit_bytes {
            break;
        }
    }
    Ok(body)
}

fn error_chain(err: &reqwest::Error) -> String {
    let causes = std::iter::successors(std::error::Error::source(err), |err| err.source());
    causes.fold(err.to_string(), |text, cause| format!("{text}: {cause}"))
}
