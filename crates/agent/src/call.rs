//! The HTTP call to the upstream, made at most once per task.
//!
//! No layer repeats the call. The client follows no redirects and has its retries off. It
//! keeps no idle connections, because the HTTP library resends a request if a reused
//! connection was closed.

use {
    crate::{
        announced_upstream::AnnouncedUpstream,
        core::{Core, SpawnCall},
        counters,
    },
    reqwest::{Client, RequestBuilder, Response, StatusCode, Url, header::CONTENT_TYPE, redirect},
    serde::de::IgnoredAny,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    sycamorerail_decide::gate::TaskStart,
    sycamorerail_telemetry::event,
    sycamorerail_wire::{
        answer::{Payload, Reason, TaskEnd},
        message::Placement,
    },
};

/// Largest result that the agent accepts from an upstream.
pub(crate) const MAX_RESULT_BYTES: usize = 4 * 1024 * 1024;

const TASK_HEADER: &str = "sycamorerail-task";
const ORGANISATION_HEADER: &str = "sycamorerail-organisation";
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_DETAIL_CHARS: usize = 200;
const MAX_ERROR_BODY_BYTES: usize = 4 * MAX_DETAIL_CHARS;

/// Outcome of an upstream call.
#[derive(Debug)]
enum CallOutcome {
    /// Nothing was sent to the upstream.
    NotSent(Reason),
    Ended(TaskEnd),
    Broken(Reason),
}

/// HTTP client for upstream calls.
pub(crate) struct UpstreamCaller(Client);

impl UpstreamCaller {
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

    /// Returns the function that spawns upstream calls with this client.
    pub(crate) fn into_spawn_call(self) -> SpawnCall {
        let caller = Arc::new(self);
        Box::new(move |core, start| {
            tokio::spawn(run_task(Arc::clone(&caller), core, start)).abort_handle()
        })
    }
}

/// Calls the upstream for a task that the gate has started, and records the outcome.
async fn run_task(caller: Arc<UpstreamCaller>, core: Arc<Core>, start: TaskStart) {
    let TaskStart { placement, end_by_ms, .. } = start;
    let task = placement.task;
    let Some(request) = build_request(&caller, &core, placement) else {
        return core.record_not_started(task, Reason::Invalid);
    };
    if !core.begin_upstream_call(task) {
        return;
    }
    counters::upstream_call();
    let began = Instant::now();
    let time_left = Duration::from_millis(end_by_ms.saturating_sub(core.clock.now_ms()));
    let outcome = tokio::time::timeout(time_left, call(request))
        .await
        .unwrap_or(CallOutcome::Broken(Reason::UpstreamTimeout));
    let run_us = u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX);
    match outcome {
        CallOutcome::NotSent(reason) => core.record_not_started(task, reason),
        CallOutcome::Ended(end) => core.record_ended(task, end, run_us),
        CallOutcome::Broken(reason) => core.record_broken(task, reason),
    }
}

fn build_request(
    caller: &UpstreamCaller,
    core: &Core,
    placement: Placement,
) -> Option<RequestBuilder> {
    let upstream = core.upstream.load_full()?;
    let url = task_url(&upstream, &placement.kind)?;
    let request = caller
        .0
        .post(url)
        .header(TASK_HEADER, placement.task.to_string())
        .header(ORGANISATION_HEADER, placement.organisation)
        .header(CONTENT_TYPE, "application/json")
        .body(placement.payload.0);
    // Detects an invalid request, such as an organisation that is no valid header value, before
    // the task counts as begun.
    request.try_clone()?.build().ok()?;
    Some(request)
}

/// Builds the URL of a kind. Rejects `.` and `..`, which URLs resolve as relative path
/// segments.
fn task_url(upstream: &AnnouncedUpstream, kind: &str) -> Option<Url> {
    if matches!(kind, "" | "." | "..") {
        return None;
    }
    let mut url = upstream.base_url.clone();
    url.path_segments_mut().ok()?.pop_if_empty().extend(["v1", "tasks", kind]);
    Some(url)
}

async fn call(request: RequestBuilder) -> CallOutcome {
    let response = match request.send().await {
        Ok(response) => response,
        Err(err) => return send_failure(&err),
    };
    let status = response.status();
    if status == StatusCode::OK {
        read_result(response).await
    } else {
        CallOutcome::Ended(read_failure(status, response).await)
    }
}

fn send_failure(err: &reqwest::Error) -> CallOutcome {
    event!(Warn, "upstream_call_failed", error = error_chain(err));
    if err.is_connect() {
        CallOutcome::NotSent(Reason::UpstreamUnreachable)
    } else {
        CallOutcome::Broken(Reason::UpstreamBroken)
    }
}

async fn read_result(response: Response) -> CallOutcome {
    match read_body(response, MAX_RESULT_BYTES).await {
        Ok(body) if body.len() > MAX_RESULT_BYTES => {
            CallOutcome::Ended(failure(Reason::TooLarge, "the result is larger than 4 MiB"))
        }
        Ok(body) => CallOutcome::Ended(parse_result(body)),
        Err(err) => {
            event!(Warn, "upstream_call_failed", error = error_chain(&err));
            CallOutcome::Broken(Reason::UpstreamBroken)
        }
    }
}

fn parse_result(body: Vec<u8>) -> TaskEnd {
    match String::from_utf8(body) {
        Ok(text) if serde_json::from_str::<IgnoredAny>(&text).is_ok() => {
            TaskEnd::Finished(Payload(text))
        }
        _ => failure(Reason::TaskFailed, "the result is not JSON"),
    }
}

/// Builds the failure for an error status. An unreadable body is ignored, because the status
/// alone shows that the task has failed.
async fn read_failure(status: StatusCode, response: Response) -> TaskEnd {
    let body = read_body(response, MAX_ERROR_BODY_BYTES).await.unwrap_or_default();
    let text = String::from_utf8_lossy(&body);
    failure(Reason::TaskFailed, &format!("status {}: {}", status.as_u16(), text.trim()))
}

fn failure(reason: Reason, detail: &str) -> TaskEnd {
    TaskEnd::Failed { reason, detail: detail.chars().take(MAX_DETAIL_CHARS).collect() }
}

/// Reads a body and stops after the first chunk that exceeds `limit_bytes`.
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
