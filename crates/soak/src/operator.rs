//! Calls of operators.

use {
    crate::http::{self, Reply, SIDE_CALL, refused, send},
    reqwest::{Method, RequestBuilder, StatusCode, header},
    serde::{Deserialize, de::DeserializeOwned},
    serde_json::Value,
    std::{collections::BTreeMap, net::SocketAddr},
    uuid::Uuid,
};

/// What came of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// In force, as this revision.
    Accepted {
        /// The revision.
        revision: u64,
    },
    /// Another change was first.
    Conflict {
        /// The revision that stands, if any.
        revision: Option<u64>,
    },
    /// It was not made, and never will be.
    NotRun {
        /// Why.
        reason: String,
    },
    /// It may be made: ask again with its id.
    InDoubt {
        /// Its id.
        change_id: Option<Uuid>,
        /// The revision it makes.
        revision: Option<u64>,
    },
    /// Refused for another cause.
    Refused {
        /// HTTP status.
        status: u16,
        /// The body.
        body: String,
    },
}

/// What a change expects to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Base {
    /// No such organisation.
    Absent,
    /// This revision.
    Revision(u64),
}

/// What the rollout command shows.
#[derive(Clone, Debug, Deserialize)]
pub struct Rollout {
    /// One row an entry.
    pub entries: Vec<RolloutEntry>,
}

/// What one entry has in force.
#[derive(Clone, Debug, Deserialize)]
pub struct RolloutEntry {
    /// Its name.
    pub name: String,
    /// Revision by organisation.
    pub revisions: BTreeMap<String, u64>,
}

/// One agent's upstream, as an entry sees it.
#[derive(Clone, Debug, Deserialize)]
pub struct UpstreamStatus {
    /// The agent's name.
    pub agent: String,
    /// The agent's run.
    pub incarnation: String,
    connected: bool,
    usable: bool,
    leaving: bool,
    ejected: bool,
}

impl UpstreamStatus {
    /// Whether the entry may place work there now.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        self.connected && self.usable && !self.leaving && !self.ejected
    }

    /// Whether its run has dialled the entry, and is not registered yet.
    #[must_use]
    pub fn is_unregistered(&self) -> bool {
        self.connected && !self.usable
    }
}

/// An operator.
#[derive(Clone, Debug)]
pub struct Operator {
    http: reqwest::Client,
    token: String,
}

impl Operator {
    /// An operator with this token.
    ///
    /// # Errors
    ///
    /// When the HTTP library cannot be set up.
    pub fn new(token: &str) -> eyre::Result<Self> {
        Ok(Self { http: http::client()?, token: token.to_owned() })
    }

    /// Publishes a template under a change id of the operator's own, so that
    /// sending it again makes no second change.
    pub async fn publish(
        &self,
        entry: SocketAddr,
        organisation: &str,
        base: Base,
        change_id: Uuid,
        yaml: &str,
    ) -> Reply<Change> {
        let call = self
            .call(Method::PUT, entry, &format!("organisations/{organisation}"))
            .header("Idempotency-Key", change_id.to_string())
            .header(header::CONTENT_TYPE, "application/yaml")
            .body(yaml.to_owned());
        let call = match base {
            Base::Absent => call.header(header::IF_NONE_MATCH, "*"),
            Base::Revision(revision) => call.header(header::IF_MATCH, format!("\"{revision}\"")),
        };
        send(call, SIDE_CALL).await.and_then(|(status, body)| Reply::Told(change(status, &body)))
    }

    /// Evacuates a data centre, or takes it back.
    pub async fn say(&self, entry: SocketAddr, data_centre: &str, evacuated: bool) -> Reply<()> {
        let method = if evacuated { Method::PUT } else { Method::DELETE };
        let call = self.call(method, entry, &format!("evacuations/{data_centre}"));
        send(call, SIDE_CALL).await.and_then(|(status, body)| match status {
            StatusCode::OK => Reply::Told(()),
            _ => refused(status, &body),
        })
    }

    /// What is in force by entry, as one entry sees it.
    pub async fn rollout(&self, entry: SocketAddr) -> Reply<Rollout> {
        let call = self.call(Method::GET, entry, "rollout");
        read(send(call, SIDE_CALL).await)
    }

    /// The upstreams, as one entry sees them.
    pub async fn upstreams(&self, entry: SocketAddr) -> Reply<Vec<UpstreamStatus>> {
        #[derive(Deserialize)]
        struct Status {
            upstreams: Vec<UpstreamStatus>,
        }
        let call = self.call(Method::GET, entry, "status");
        let status: Reply<Status> = read(send(call, SIDE_CALL).await);
        status.and_then(|status| Reply::Told(status.upstreams))
    }

    /// Revision in force by organisation at one entry alone.
    pub async fn in_force(&self, entry: SocketAddr) -> Reply<BTreeMap<String, u64>> {
        #[derive(Deserialize)]
        struct List {
            organisations: Vec<Listed>,
        }
        #[derive(Deserialize)]
        struct Listed {
            organisation: String,
            revision: u64,
        }
        let call = self.call(Method::GET, entry, "organisations");
        let list: Reply<List> = read(send(call, SIDE_CALL).await);
        list.and_then(|list| {
            let listed = list.organisations.into_iter();
            Reply::Told(listed.map(|one| (one.organisation, one.revision)).collect())
        })
    }

    /// What the history says of a revision: the change that made it.
    pub async fn change_of(
        &self,
        entry: SocketAddr,
        organisation: &str,
        revision: u64,
    ) -> Reply<Option<Uuid>> {
        #[derive(Deserialize)]
        struct History {
            revisions: Vec<Made>,
        }
        #[derive(Deserialize)]
        struct Made {
            revision: u64,
            change_id: Uuid,
        }
        let call = self.call(Method::GET, entry, &format!("organisations/{organisation}/history"));
        let history: Reply<History> = read(send(call, SIDE_CALL).await);
        history.and_then(|history| {
            let found = history.revisions.into_iter().find(|made| made.revision == revision);
            Reply::Told(found.map(|made| made.change_id))
        })
    }

    fn call(&self, method: Method, entry: SocketAddr, path: &str) -> RequestBuilder {
        let url = format!("http://{entry}/v1/admin/{path}");
        self.http.request(method, url).bearer_auth(&self.token)
    }
}

fn change(status: StatusCode, body: &Value) -> Change {
    let revision = body["revision"].as_u64();
    let reason = body["reason"].as_str().unwrap_or_default().to_owned();
    match body["outcome"].as_str() {
        Some("not_run") => return Change::NotRun { reason },
        Some("in_doubt") => {
            let change_id = body["change_id"].as_str().and_then(|id| id.parse().ok());
            return Change::InDoubt { change_id, revision };
        }
        _ => {}
    }
    match (status, revision) {
        (status, Some(revision)) if status.is_success() => Change::Accepted { revision },
        (StatusCode::PRECONDITION_FAILED | StatusCode::CONFLICT, revision) => {
            Change::Conflict { revision }
        }
        _ => Change::Refused { status: status.as_u16(), body: body.to_string() },
    }
}

fn read<T: DeserializeOwned>(reply: Reply<(StatusCode, Value)>) -> Reply<T> {
    reply.and_then(|(status, body)| {
        let refused = refused(status, &body);
        serde_json::from_value(body).map_or(refused, Reply::Told)
    })
}
