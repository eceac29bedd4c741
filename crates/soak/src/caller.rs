//! Calls of one organisation's callers, and what came of them.

use {
    eyre::eyre,
    reqwest::{Method, RequestBuilder, StatusCode, header},
    serde::Deserialize,
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
    sycamorerail_bench::{arrivals::Unit, client::Answer},
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

/// A job or request as it is sent, again and again under the same id.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// Reserved id.
    pub id: String,
    /// Job or request.
    pub unit: Unit,
    /// Its kind.
    pub kind: String,
    /// Whether the kind may be repeated.
    pub repeatable: bool,
    /// One payload a task.
    pub payloads: Vec<Value>,
}

impl Submission {
    fn body(&self) -> Value {
        match self.unit {
            Unit::Job => json!({"kind": self.kind, "tasks": self.payloads}),
            Unit::Request => json!({"kind": self.kind, "payload": self.payloads[0]}),
        }
    }

    fn path(&self) -> &'static str {
        match self.unit {
            Unit::Job => "jobs",
            Unit::Request => "requests",
        }
    }
}

/// A caller of one organisation.
#[derive(Clone, Debug)]
pub struct Caller {
    http: reqwest::Client,
    token: String,
}

impl Caller {
    /// A caller with this token and connections of its own.
    ///
    /// # Errors
    ///
    /// When the HTTP library cannot be set up.
    pub fn new(token: &str) -> eyre::Result<Self> {
        Ok(Self { http: http_client()?, token: token.to_owned() })
    }

    /// Reserves ids at an entry.
    pub async fn reserve(&self, entry: SocketAddr, count: u32) -> Reply<Vec<String>> {
        #[derive(Deserialize)]
        struct Ids {
            ids: Vec<String>,
        }
        let url = format!("http://{entry}/v1/ids");
        let call = self.http.post(url).json(&json!({"count": count}));
        let reply = self.send(call, SIDE_CALL).await;
        parse(reply, |body| serde_json::from_value::<Ids>(body).ok().map(|ids| ids.ids))
    }

    /// Submits and waits for the answer.
    pub async fn submit(
        &self,
        entry: SocketAddr,
        submission: &Submission,
        patience: Duration,
    ) -> Reply<Answer> {
        let url = format!("http://{entry}/v1/{}/{}", submission.path(), submission.id);
        let call = self.http.put(url).json(&submission.body());
        parse(self.send(call, patience).await, answer)
    }

    /// Asks where a job stands.
    pub async fn fetch(&self, entry: SocketAddr, id: &str) -> Reply<Answer> {
        self.on_job(Method::GET, entry, id).await
    }

    /// Cancels a job and waits for what came of it.
    pub async fn cancel(&self, entry: SocketAddr, id: &str) -> Reply<Answer> {
        self.on_job(Method::DELETE, entry, id).await
    }

    async fn on_job(&self, method: Method, entry: SocketAddr, id: &str) -> Reply<Answer> {
        let call = self.http.request(method, format!("http://{entry}/v1/jobs/{id}"));
        parse(self.send(call, SIDE_CALL).await, answer)
    }

    async fn send(&self, call: RequestBuilder, patience: Duration) -> Reply<(StatusCode, Value)> {
        let call = call.bearer_auth(&self.token).header(header::ACCEPT, "application/json");
        send(call, patience).await
    }
}

/// Longest wait for calls that don't wait for tasks to run.
pub(crate) const SIDE_CALL: Duration = Duration::from_secs(30);

pub(crate) fn http_client() -> eyre::Result<reqwest::Client> {
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

fn answer(body: Value) -> Option<Answer> {
    serde_json::from_value(body).ok()
}

fn parse<T>(reply: Reply<(StatusCode, Value)>, read: impl FnOnce(Value) -> Option<T>) -> Reply<T> {
    reply.and_then(|(status, body)| {
        let refused = refused(status, &body);
        read(body).map_or(refused, Reply::Told)
    })
}

/// A refusal, by its status and body.
pub(crate) fn refused<T>(status: StatusCode, body: &Value) -> Reply<T> {
    Reply::Refused {
        status: status.as_u16(),
        reason: body["reason"].as_str().unwrap_or("none").to_owned(),
        retry_after_ms: body["retry_after_ms"].as_u64(),
    }
}
