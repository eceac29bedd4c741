//! The calls to the service: range, compare-and-swap, leases.

use {
    crate::{
        budget::CallBudget,
        error::{Effect, PlatformError, PlatformErrorKind, PlatformStep},
        etcd::EtcdForm,
        form::{Call, Form, Method, Read, ReadError, Reply},
        value::{Expected, KeyValue, LeaseId, Range, Swap},
    },
    bytes::Bytes,
    parking_lot::Mutex,
    reqwest::{Client, ClientBuilder, RequestBuilder, Response, header::CONTENT_TYPE},
    std::{
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::time::timeout,
};

const FIRST_SERVER_ERROR: u16 = 500;
const REQUEST_TIMEOUT: u16 = 408;
/// Longest time that an answer takes to arrive, as a multiple of the timeout: a megabyte, as
/// Base64, over a link of 1 Mbit/s.
const MAX_BODY_TIMEOUTS: u32 = 12;

/// How the service is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformConfig {
    /// Base URL, such as `http://10.0.0.1:2379`.
    pub url: String,
    /// Longest wait for an answer to begin, and for its next bytes.
    pub timeout_ms: u32,
    /// Most calls a second of this process; a waiting watch counts as one.
    pub call_budget_per_s: u32,
}

/// The service, as one process uses it. Clones share connections and budget.
#[derive(Clone, Debug)]
pub struct Platform {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    config: PlatformConfig,
    form: Arc<dyn Form>,
    reads: Client,
    writes: Client,
    budget: Mutex<CallBudget>,
    waiting_watches: AtomicU32,
    started: Instant,
}

impl Platform {
    /// Prepares calls in the form of etcd; connects to nothing yet.
    ///
    /// # Errors
    ///
    /// When the URL is none.
    pub fn new(config: PlatformConfig) -> Result<Self, PlatformError> {
        Self::with_form(config, Arc::new(EtcdForm))
    }

    /// Prepares calls to a service that speaks in this form; connects to
    /// nothing yet.
    ///
    /// # Errors
    ///
    /// When the URL is none.
    pub fn with_form(
        mut config: PlatformConfig,
        form: Arc<dyn Form>,
    ) -> Result<Self, PlatformError> {
        config.url.truncate(config.url.trim_end_matches('/').len());
        let refuse = |why: String| PlatformError {
            step: PlatformStep::Setup,
            peer: config.url.clone(),
            kind: PlatformErrorKind::Malformed(why),
            effect: Effect::None,
        };
        reqwest::Url::parse(&config.url).map_err(|err| refuse(err.to_string()))?;
        let reads = client(&config).build().map_err(|err| refuse(err.to_string()))?;
        // A kept connection may turn out closed only after a request was
        // written to it, and the library then sends the request again. A write
        // sent twice could lose against itself, so writes reuse no connection.
        let writes = client(&config)
            .pool_max_idle_per_host(0)
            .build()
            .map_err(|err| refuse(err.to_string()))?;
        let budget = Mutex::new(CallBudget::new(config.call_budget_per_s, 0));
        let waiting_watches = AtomicU32::new(0);
        let started = Instant::now();
        let shared = Shared { config, form, reads, writes, budget, waiting_watches, started };
        Ok(Self { shared: Arc::new(shared) })
    }

    /// Reads all keys with the prefix, in pages where the service gives them so.
    /// The mark is that of the first page: what changes later is told again.
    ///
    /// # Errors
    ///
    /// When no whole answer came.
    pub async fn range(&self, prefix: &str) -> Result<Range, PlatformError> {
        self.pages(prefix, true).await
    }

    /// Reads the keys with the prefix and the revisions of their last change;
    /// the values may be left out.
    ///
    /// # Errors
    ///
    /// When no whole answer came.
    pub async fn outline(
        &self,
        prefix: &str,
    ) -> Result<(/* mark */ u64, Vec<(String, u64)>), PlatformError> {
        let range = self.pages(prefix, false).await?;
        Ok((range.mark, range.items.into_iter().map(|kv| (kv.key, kv.modified)).collect()))
    }

    async fn pages(&self, prefix: &str, with_values: bool) -> Result<Range, PlatformError> {
        let form = &self.shared.form;
        let mut range: Option<Range> = None;
        // The next page begins after the last key, which may be one that cannot be read.
        let mut last_key: Option<String> = None;
        loop {
            let call = form.range(prefix, last_key.as_deref(), with_values);
            let page =
                self.call(PlatformStep::Range, &call, |reply| form.read_range(reply)).await?;
            // A page that leads no further would be read for ever.
            let leads_on = page.last_key.is_some() && page.last_key != last_key;
            let has_more = page.has_more && leads_on;
            last_key = page.last_key;
            let read = match range.take() {
                None => Range { mark: page.mark, items: page.items },
                Some(mut read) => {
                    read.items.extend(page.items);
                    read
                }
            };
            if !has_more {
                return Ok(read);
            }
            range = Some(read);
        }
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// When no whole answer came.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValue>, PlatformError> {
        let form = &self.shared.form;
        self.call(PlatformStep::Range, &form.get(key), |reply| form.read_get(reply)).await
    }

    /// Writes a key if it is as expected and no key of `absent` exists.
    ///
    /// # Errors
    ///
    /// When no whole answer came; the error's effect says whether the change
    /// may have taken place. A lease that has expired is `Status(404)`.
    pub async fn swap(
        &self,
        key: &str,
        expected: Expected,
        value: &str,
        lease: Option<LeaseId>,
        absent: &[&str],
    ) -> Result<Swap, PlatformError> {
        let form = &self.shared.form;
        let call = form.swap(key, expected, value, lease, absent);
        self.call(PlatformStep::Swap, &call, |reply| form.read_swap(key, reply)).await
    }

    /// Deletes a key if its last change was at `modified`.
    ///
    /// # Errors
    ///
    /// As for [`Self::swap`].
    pub async fn delete(&self, key: &str, modified: u64) -> Result<Swap, PlatformError> {
        let form = &self.shared.form;
        let call = form.delete(key, modified);
        self.call(PlatformStep::Delete, &call, |reply| form.read_swap(key, reply)).await
    }

    /// Grants a lease. The time may be rounded up.
    ///
    /// # Errors
    ///
    /// When no whole answer came; a lease granted unheard ends by itself.
    pub async fn grant(&self, ttl_ms: u32) -> Result<LeaseId, PlatformError> {
        let form = &self.shared.form;
        self.call(PlatformStep::Grant, &form.grant(ttl_ms), |reply| form.read_grant(reply)).await
    }

    /// Renews a lease; returns whether it is still alive.
    ///
    /// # Errors
    ///
    /// When no whole answer came; the lease may have been renewed.
    pub async fn keep_alive(&self, lease: LeaseId) -> Result<bool, PlatformError> {
        let form = &self.shared.form;
        let call = form.keep_alive(lease);
        self.call(PlatformStep::KeepAlive, &call, |reply| form.read_keep_alive(reply)).await
    }

    /// Base URL of the service.
    #[must_use]
    pub fn url(&self) -> &str {
        &self.shared.config.url
    }

    pub(crate) fn form(&self) -> &dyn Form {
        &*self.shared.form
    }

    pub(crate) fn timeout(&self) -> Duration {
        Duration::from_millis(u64::from(self.shared.config.timeout_ms))
    }

    pub(crate) fn waiting_watches(&self) -> &AtomicU32 {
        &self.shared.waiting_watches
    }

    pub(crate) fn error(&self, step: PlatformStep, kind: PlatformErrorKind) -> PlatformError {
        let effect = effect_of(step, &kind);
        PlatformError { step, peer: self.shared.config.url.clone(), kind, effect }
    }

    /// Takes one call from the budget.
    pub(crate) fn admit(&self, step: PlatformStep) -> Result<(), PlatformError> {
        let now_ms = u64::try_from(self.shared.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let waiting = self.shared.waiting_watches.load(Ordering::Relaxed);
        if self.shared.budget.lock().take(now_ms, waiting) {
            return Ok(());
        }
        Err(self.error(step, PlatformErrorKind::Budget))
    }

    pub(crate) fn request(&self, step: PlatformStep, call: &Call) -> RequestBuilder {
        let once = matches!(step, PlatformStep::Swap | PlatformStep::Delete | PlatformStep::Grant);
        let client = if once { &self.shared.writes } else { &self.shared.reads };
        let url = format!("{}{}", self.shared.config.url, call.path);
        let request = match call.method {
            Method::Get => client.get(url),
            Method::Post => client.post(url),
        };
        let request = if call.query.is_empty() { request } else { request.query(&call.query) };
        match &call.body {
            Some(body) => request.header(CONTENT_TYPE, "application/json").body(body.clone()),
            None => request,
        }
    }

    async fn call<A>(
        &self,
        step: PlatformStep,
        call: &Call,
        read: impl FnOnce(&Reply) -> Read<A>,
    ) -> Result<A, PlatformError> {
        let answer = self.call_uncounted(step, call, self.timeout(), read).await;
        count(step, answer.as_ref().err());
        answer
    }

    pub(crate) async fn call_uncounted<A>(
        &self,
        step: PlatformStep,
        call: &Call,
        within: Duration,
        read: impl FnOnce(&Reply) -> Read<A>,
    ) -> Result<A, PlatformError> {
        self.admit(step)?;
        let sent = timeout(within, self.request(step, call).send()).await;
        let response = sent.map_err(|_| self.error(step, PlatformErrorKind::Timeout))?;
        let response = response.map_err(|err| self.failed(step, &err))?;
        let status = response.status().as_u16();
        let body = timeout(self.timeout() * MAX_BODY_TIMEOUTS, self.body(step, response)).await;
        let body = body.map_err(|_| self.error(step, PlatformErrorKind::Timeout))??;
        read(&Reply { status, body }).map_err(|err| self.unread(step, status, err))
    }

    /// Reads a body for as long as it goes on arriving: over a narrow link a large one takes
    /// longer than the timeout, and would again at the next attempt.
    async fn body(
        &self,
        step: PlatformStep,
        mut response: Response,
    ) -> Result<Bytes, PlatformError> {
        let mut body = Vec::new();
        loop {
            let chunk = timeout(self.timeout(), response.chunk()).await;
            let chunk = chunk.map_err(|_| self.error(step, PlatformErrorKind::Timeout))?;
            match chunk.map_err(|err| self.failed(step, &err))? {
                Some(bytes) => body.extend_from_slice(&bytes),
                None => return Ok(body.into()),
            }
        }
    }

    pub(crate) fn unread(&self, step: PlatformStep, status: u16, err: ReadError) -> PlatformError {
        match err {
            ReadError::Status => self.error(step, PlatformErrorKind::Status(status)),
            ReadError::Malformed(why) => self.error(step, PlatformErrorKind::Malformed(why)),
        }
    }

    pub(crate) fn failed(&self, step: PlatformStep, err: &reqwest::Error) -> PlatformError {
        let kind = if err.is_timeout() {
            PlatformErrorKind::Timeout
        } else {
            PlatformErrorKind::Unreachable
        };
        let mut error = self.error(step, kind);
        if err.is_connect() {
            // No connection, so nothing was written.
            error.effect = Effect::None;
        }
        error
    }
}

/// Counts a call by its kind and result.
pub(crate) fn count(step: PlatformStep, error: Option<&PlatformError>) {
    let result = error.map_or("ok", |error| error.kind.name());
    metrics::counter!("sycamorerail_platform_calls_total", "call" => step.name(), "result" => result)
        .increment(1);
}

fn client(config: &PlatformConfig) -> ClientBuilder {
    // The wait for a connection is shorter than that for the answer, so that
    // an address that swallows packets is told from an answer that is lost.
    let connect = Duration::from_millis(u64::from(config.timeout_ms / 2).max(1));
    Client::builder().no_proxy().connect_timeout(connect).retry(reqwest::retry::never())
}

fn effect_of(step: PlatformStep, kind: &PlatformErrorKind) -> Effect {
    let refused = match kind {
        PlatformErrorKind::Budget => true,
        PlatformErrorKind::Status(status) => {
            *status < FIRST_SERVER_ERROR && *status != REQUEST_TIMEOUT
        }
        _ => false,
    };
    if refused || !step.changes() { Effect::None } else { Effect::Open }
}
