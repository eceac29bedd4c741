//! Calls over HTTP, and what came of them.

use {
    eyre::{bail, eyre},
    reqwest::{RequestBuilder, StatusCode},
    serde_json::Value,
    std::{net::SocketAddr, time::Duration},
};

/// What came of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply<T> {
    /// What was asked for.
    Told(T),
    /// Refused without a word about a job.
    Refused {
        /// HTTP status.
        status: u16,
        /// Reason in the body.
        reason: String,
        /// When to come back.
        retry_after_ms: Option<u64>,
    },
    /// No connection came about, so nothing was sent.
    NotConnected,
    /// The connection broke after it had come about.
    Cut(String),
    /// The caller waited long enough.
    TimedOut,
}

impl<T> Reply<T> {
    /// Goes on with what was told.
    pub fn and_then<U>(self, next: impl FnOnce(T) -> Reply<U>) -> Reply<U> {
        match self {
            Self::Told(told) => next(told),
            Self::Refused { status, reason, retry_after_ms } => {
                Reply::Refused { status, reason, retry_after_ms }
            }
            Self::NotConnected => Reply::NotConnected,
            Self::Cut(how) => Reply::Cut(how),
            Self::TimedOut => Reply::TimedOut,
        }
    }

    /// What was told, if anything.
    pub fn told(self) -> Option<T> {
        match self {
            Self::Told(told) => Some(told),
            _ => None,
        }
    }
}

/// Longest wait for calls that don't wait for tasks to run.
pub(crate) const SIDE_CALL: Duration = Duration::from_secs(30);

pub(crate) fn client() -> eyre::Result<reqwest::Client> {
    Ok(reqwest::Client::builder().no_proxy().tcp_nodelay(true).build()?)
}

pub(crate) async fn send(call: RequestBuilder, patience: Duration) -> Reply<(StatusCode, Value)> {
    let received = async {
        let response = call.timeout(patience).send().await?;
        let status = response.status();
        Ok((status, response.bytes().await?))
    };
    match received.await {
        Ok((status, bytes)) => {
            let body = serde_json::from_slice(&bytes);
            Reply::Told((status, body.unwrap_or_else(|_| text(&bytes))))
        }
        Err(err) => failure(&err),
    }
}

fn text(bytes: &[u8]) -> Value {
    Value::String(String::from_utf8_lossy(bytes).into_owned())
}

fn failure<T>(err: &reqwest::Error) -> Reply<T> {
    if err.is_timeout() {
        Reply::TimedOut
    } else if err.is_connect() {
        Reply::NotConnected
    } else {
        Reply::Cut(format!("{:#}", eyre!(err.to_string()).wrap_err(format!("{err:?}"))))
    }
}

/// A refusal, by its status and body.
pub(crate) fn refused<T>(status: StatusCode, body: &Value) -> Reply<T> {
    Reply::Refused {
        status: status.as_u16(),
        reason: body["reason"].as_str().unwrap_or("none").to_owned(),
        retry_after_ms: body["retry_after_ms"].as_u64(),
    }
}

/// Whether a process says that it is ready.
pub async fn is_ready(client: &reqwest::Client, process: SocketAddr) -> bool {
    is_well(client, process, "ready").await
}

/// Whether a process answers.
pub async fn is_live(client: &reqwest::Client, process: SocketAddr) -> bool {
    is_well(client, process, "live").await
}

async fn is_well(client: &reqwest::Client, process: SocketAddr, path: &str) -> bool {
    let reply = send(client.get(format!("http://{process}/{path}")), SIDE_CALL).await;
    matches!(reply, Reply::Told((status, _)) if status.is_success())
}

/// Reads JSON of a process.
///
/// # Errors
///
/// When it cannot be reached or refuses.
pub async fn get_json(
    client: &reqwest::Client,
    process: SocketAddr,
    path: &str,
) -> eyre::Result<Value> {
    read(process, path, send(client.get(format!("http://{process}{path}")), SIDE_CALL).await)
}

/// Gives a stand-in an order.
///
/// # Errors
///
/// When it cannot be reached or refuses.
pub async fn post_json(
    client: &reqwest::Client,
    process: SocketAddr,
    path: &str,
    body: &Value,
) -> eyre::Result<()> {
    let call = client.post(format!("http://{process}{path}")).json(body);
    read(process, path, send(call, SIDE_CALL).await).map(drop)
}

fn read(process: SocketAddr, path: &str, reply: Reply<(StatusCode, Value)>) -> eyre::Result<Value> {
    match reply {
        Reply::Told((status, body)) if status.is_success() => Ok(body),
        other => bail!("{path} at {process}: {other:?}"),
    }
}

/// The run of an agent, as it says itself.
pub(crate) async fn incarnation(
    client: &reqwest::Client,
    agent: SocketAddr,
) -> eyre::Result<String> {
    let reply = client.get(format!("http://{agent}/status")).timeout(SIDE_CALL).send().await?;
    let status: Value = reply.json().await?;
    let run = status["incarnation"].as_str().map(str::to_owned);
    run.ok_or_else(|| eyre!("{agent}: no incarnation in {status}"))
}
