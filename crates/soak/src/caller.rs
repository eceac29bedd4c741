//! Calls of one organisation's callers, and what came of them.

use {
    crate::http::{self, Reply, SIDE_CALL},
    reqwest::{Method, RequestBuilder, StatusCode, header},
    serde::Deserialize,
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
    sycamorerail_bench::{arrivals::Unit, client::Answer},
};

/// A job or request as it is sent, again and again under the same id.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// Whose: the place of the organisation in the cluster.
    pub organisation: usize,
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
    /// Whether each of its tasks starts at most once.
    #[must_use]
    pub fn starts_once(&self) -> bool {
        self.unit == Unit::Job || !self.repeatable
    }

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
        Ok(Self { http: http::client()?, token: token.to_owned() })
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
        http::send(call, patience).await
    }
}

fn answer(body: Value) -> Option<Answer> {
    serde_json::from_value(body).ok()
}

fn parse<T>(reply: Reply<(StatusCode, Value)>, read: impl FnOnce(Value) -> Option<T>) -> Reply<T> {
    reply.and_then(|(status, body)| {
        let refused = http::refused(status, &body);
        read(body).map_or(refused, Reply::Told)
    })
}
