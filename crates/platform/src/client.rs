//! The calls to the service: range, compare-and-swap, leases.

use {
    crate::{
        budget::CallBudget,
        error::{Effect, PlatformError, PlatformErrorKind, PlatformStep},
        json::{
            Compare, DeleteRequest, End, GrantRequest, Int, KeepAliveRequest, LeaseResponse,
            Operation, PutRequest, RangeRequest, RangeResponse, Streamed, Text, TxnRequest,
            TxnResponse,
        },
        value::{Expected, KeyValue, LeaseId, Range, Swap},
    },
    parking_lot::Mutex,
    reqwest::{Client, ClientBuilder, RequestBuilder},
    serde::{Serialize, de::DeserializeOwned},
    std::{
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::{Duration, Instant},
    },
};

const RANGE_PATH: &str = "/v3/kv/range";
const TXN_PATH: &str = "/v3/kv/txn";
const GRANT_PATH: &str = "/v3/lease/grant";
const KEEP_ALIVE_PATH: &str = "/v3/lease/keepalive";
const FIRST_SERVER_ERROR: u16 = 500;
const REQUEST_TIMEOUT: u16 = 408;

/// How the service is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformConfig {
    /// Base URL, such as `http://10.0.0.1:2379`.
    pub url: String,
    /// Longest wait for an answer.
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
    reads: Client,
    writes: Client,
    budget: Mutex<CallBudget>,
    waiting_watches: AtomicU32,
    started: Instant,
}

impl Platform {
    /// Prepares the calls; connects to nothing yet.
    ///
    /// # Errors
    ///
    /// When the URL is none.
    pub fn new(mut config: PlatformConfig) -> Result<Self, PlatformError> {
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
        let shared = Shared { config, reads, writes, budget, waiting_watches, started };
        Ok(Self { shared: Arc::new(shared) })
    }

    /// Reads all keys with the prefix.
    ///
    /// # Errors
    ///
    /// When no whole answer came.
    pub async fn range(&self, prefix: &str) -> Result<Range, PlatformError> {
        let answer = self.range_of(prefix, false).await?;
        let items = answer.kvs.into_iter().map(KeyValue::from).collect();
        Ok(Range { mark: answer.header.revision.0, items })
    }

    /// Reads the keys with the prefix and the revisions of their last change,
    /// without the values.
    ///
    /// # Errors
    ///
    /// When no whole answer came.
    pub async fn outline(
        &self,
        prefix: &str,
    ) -> Result<(/* mark */ u64, Vec<(String, u64)>), PlatformError> {
        let answer = self.range_of(prefix, true).await?;
        let outline = answer.kvs.into_iter().map(|kv| (kv.key.0, kv.mod_revision.0)).collect();
        Ok((answer.header.revision.0, outline))
    }

    async fn range_of(
        &self,
        prefix: &str,
        keys_only: bool,
    ) -> Result<RangeResponse, PlatformError> {
        let range_end = Some(End::of(prefix));
        let request = RangeRequest { key: first_key(prefix), range_end, keys_only };
        self.call(PlatformStep::Range, RANGE_PATH, &request).await
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// When no whole answer came.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValue>, PlatformError> {
        let request = RangeRequest { key: text(key), ..RangeRequest::default() };
        let answer: RangeResponse = self.call(PlatformStep::Range, RANGE_PATH, &request).await?;
        Ok(answer.kvs.into_iter().next().map(KeyValue::from))
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
        let own = match expected {
            Expected::Absent => Compare::absent(key),
            Expected::Modified(revision) => Compare::modified(key, revision),
        };
        let guards = absent.iter().map(|guard| Compare::absent(guard));
        let compare = std::iter::once(own).chain(guards).collect();
        let lease = Int(lease.map_or(0, |lease| lease.0));
        let put = Operation::Put(PutRequest { key: text(key), value: text(value), lease });
        self.transact(PlatformStep::Swap, key, compare, put).await
    }

    /// Deletes a key if its last change was at `modified`.
    ///
    /// # Errors
    ///
    /// As for [`Self::swap`].
    pub async fn delete(&self, key: &str, modified: u64) -> Result<Swap, PlatformError> {
        let compare = vec![Compare::modified(key, modified)];
        let delete = Operation::Delete(DeleteRequest { key: text(key) });
        self.transact(PlatformStep::Delete, key, compare, delete).await
    }

    async fn transact(
        &self,
        step: PlatformStep,
        key: &str,
        compare: Vec<Compare>,
        success: Operation,
    ) -> Result<Swap, PlatformError> {
        let read_back = RangeRequest { key: text(key), ..RangeRequest::default() };
        let failure = vec![Operation::Range(read_back)];
        let request = TxnRequest { compare, success: vec![success], failure };
        let answer: TxnResponse = self.call(step, TXN_PATH, &request).await?;
        if answer.succeeded {
            return Ok(Swap::Done { mark: answer.header.revision.0 });
        }
        let ranges = answer.responses.into_iter().filter_map(|response| response.response_range);
        let current = ranges.flat_map(|range| range.kvs).next().map(KeyValue::from);
        Ok(Swap::Lost { current })
    }

    /// Grants a lease. The platform counts in whole seconds: the time is
    /// rounded up.
    ///
    /// # Errors
    ///
    /// When no whole answer came; a lease granted unheard ends by itself.
    pub async fn grant(&self, ttl_ms: u32) -> Result<LeaseId, PlatformError> {
        let request = GrantRequest { ttl_s: Int(u64::from(ttl_ms.div_ceil(1_000).max(1))) };
        let answer: LeaseResponse = self.call(PlatformStep::Grant, GRANT_PATH, &request).await?;
        Ok(LeaseId(answer.id.0))
    }

    /// Renews a lease; returns whether it is still alive.
    ///
    /// # Errors
    ///
    /// When no whole answer came; the lease may have been renewed.
    pub async fn keep_alive(&self, lease: LeaseId) -> Result<bool, PlatformError> {
        let request = KeepAliveRequest { id: Int(lease.0) };
        let answer: Streamed<LeaseResponse> =
            self.call(PlatformStep::KeepAlive, KEEP_ALIVE_PATH, &request).await?;
        Ok(answer.result.ttl_s.0 > 0)
    }

    /// Base URL of the service.
    #[must_use]
    pub fn url(&self) -> &str {
        &self.shared.config.url
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

    pub(crate) fn request(&self, step: PlatformStep, path: &str) -> RequestBuilder {
        let once = matches!(step, PlatformStep::Swap | PlatformStep::Delete | PlatformStep::Grant);
        let client = if once { &self.shared.writes } else { &self.shared.reads };
        client.post(format!("{}{path}", self.shared.config.url))
    }

    async fn call<A: DeserializeOwned>(
        &self,
        step: PlatformStep,
        path: &str,
        body: &impl Serialize,
    ) -> Result<A, PlatformError> {
        let answer = self.call_uncounted(step, path, body).await;
        count(step, answer.as_ref().err());
        answer
    }

    async fn call_uncounted<A: DeserializeOwned>(
        &self,
        step: PlatformStep,
        path: &str,
        body: &impl Serialize,
    ) -> Result<A, PlatformError> {
        self.admit(step)?;
        let sent = self.request(step, path).timeout(self.timeout()).json(body).send().await;
        let response = sent.map_err(|err| self.failed(step, &err))?;
        let status = response.status();
        if !status.is_success() {
            return Err(self.error(step, PlatformErrorKind::Status(status.as_u16())));
        }
        let answer = response.bytes().await.map_err(|err| self.failed(step, &err))?;
        serde_json::from_slice(&answer)
            .map_err(|err| self.error(step, PlatformErrorKind::Malformed(err.to_string())))
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

fn text(key: &str) -> Text {
    Text(key.to_owned())
}

/// The first key of a prefix. The service has no empty key: `\0` is the least.
pub(crate) fn first_key(prefix: &str) -> Text {
    text(if prefix.is_empty() { "\0" } else { prefix })
}
