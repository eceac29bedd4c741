//! Client of an entry's HTTP interface: one call, one reply, no retries.

use {
    crate::{
        config::Config,
        error::{Call, CliError},
    },
    reqwest::{Client, Method, RequestBuilder, header},
    serde::{Serialize, de::DeserializeOwned},
    std::time::Duration,
};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// An entry, as one command calls it.
pub(crate) struct Entry<'a> {
    config: &'a Config,
    http: Client,
}

/// An entry's reply, whatever its status.
#[derive(Debug)]
pub(crate) struct Reply {
    /// The call it answers.
    pub(crate) call: Call,
    /// HTTP status.
    pub(crate) status: u16,
    /// Revision in the ETag, if there is one.
    pub(crate) revision: Option<u64>,
    /// Body.
    pub(crate) text: String,
}

/// Which revision a change takes for granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expected {
    /// That nothing is published.
    Nothing,
    /// That this revision is in force.
    Revision(u64),
}

impl<'a> Entry<'a> {
    /// Prepares calls to the entry of `config`.
    pub(crate) fn new(config: &'a Config) -> eyre::Result<Self> {
        let http = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(config.timeout)
            .retry(reqwest::retry::never())
            .no_proxy()
            .build()?;
        Ok(Self { config, http })
    }

    /// Starts a call without a body.
    pub(crate) fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let request = self.http.request(method, format!("{}{path}", self.config.entry));
        match &self.config.token {
            Some(token) => request.bearer_auth(token),
            None => request,
        }
    }

    /// Sends a call and reads the whole reply.
    pub(crate) async fn send(
        &self,
        step: &'static str,
        request: RequestBuilder,
    ) -> Result<Reply, CliError> {
        let call = Call { step, peer: self.config.entry.clone(), advice: None };
        let response = request.send().await.map_err(|err| failure(&call, &err))?;
        let status = response.status().as_u16();
        let etag = response.headers().get(header::ETAG).and_then(|etag| etag.to_str().ok());
        let revision = etag.and_then(|etag| etag.trim_matches('"').parse().ok());
        let text = response.text().await.map_err(|err| failure(&call, &err))?;
        Ok(Reply { call, status, revision, text })
    }
}

/// Adds a JSON body.
pub(crate) fn with_json<B: Serialize>(request: RequestBuilder, body: &B) -> RequestBuilder {
    request.json(body)
}

/// Adds the condition under which a change may take effect.
pub(crate) fn with_expected(request: RequestBuilder, expected: Expected) -> RequestBuilder {
    match expected {
        Expected::Nothing => request.header(header::IF_NONE_MATCH, "*"),
        Expected::Revision(revision) => request.header(header::IF_MATCH, format!("\"{revision}\"")),
    }
}

impl Reply {
    /// Whether the call was done.
    pub(crate) fn is_ok(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// The body as the type that the call returns.
    pub(crate) fn body<B: DeserializeOwned>(&self) -> Result<B, CliError> {
        serde_json::from_str(&self.text)
            .map_err(|err| CliError::Answer(self.call.clone(), err.to_string()))
    }
}

fn failure(call: &Call, err: &reqwest::Error) -> CliError {
    let why = innermost(err);
    if err.is_connect() || err.is_builder() {
        CliError::Unreachable(call.clone(), why)
    } else if err.is_timeout() {
        CliError::NoAnswer(call.clone(), "timed out".to_owned())
    } else {
        CliError::NoAnswer(call.clone(), why)
    }
}

fn innermost(err: &dyn std::error::Error) -> String {
    let mut inner = err;
    while let Some(source) = inner.source() {
        inner = source;
    }
    inner.to_string()
}
