//! HTTP of the stand-in.

use {
    super::{
        PlatformFaults,
        calls::{Call, CallCounts},
        follow::Follower,
        json::{
            ErrorResponse, GrantRequest, Header, Int, KeepAliveRequest, LeaseResponse,
            RangeRequest, RangeResponse, Streamed, TxnRequest, TxnResponse, WatchRequest,
        },
        state::{Refusal, State},
        store::{StoreError, Txn},
    },
    crate::{faults::FaultOrder, server::Dropped},
    futures::stream,
    rocket::{
        Build, Request, Rocket, get,
        http::{ContentType, Status},
        post,
        response::{self, Responder, content::RawJson, status::Custom, stream::ByteStream},
        routes,
        serde::json::Json,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::sync::{Arc, atomic::Ordering},
    tokio::time::sleep,
};

type Shared = rocket::State<Arc<State>>;

// Numbers of gRPC's codes, which etcd's errors carry.
const INVALID_ARGUMENT: u32 = 3;
const NOT_FOUND: u32 = 5;
const RESOURCE_EXHAUSTED: u32 = 8;

pub(super) fn mount(rocket: Rocket<Build>, state: Arc<State>) -> Rocket<Build> {
    let api = routes![range, txn, grant, keep_alive, watch];
    let control = routes![live, ready, metrics, calls, faults, set_faults, cut_watches];
    rocket.manage(state).mount("/", api).mount("/", control)
}

/// An error as the API tells it.
struct ApiError {
    status: Status,
    code: u32,
    message: String,
}

impl ApiError {
    fn invalid(message: String) -> Self {
        Self { status: Status::BadRequest, code: INVALID_ARGUMENT, message }
    }

    fn too_many() -> Self {
        let message = "etcdserver: too many requests".to_owned();
        Self { status: Status::TooManyRequests, code: RESOURCE_EXHAUSTED, message }
    }
}

impl From<StoreError> for ApiError {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::NoLease => {
                let message = "etcdserver: requested lease not found".to_owned();
                Self { status: Status::NotFound, code: NOT_FOUND, message }
            }
            StoreError::KeyTwice => {
                Self::invalid("etcdserver: duplicate key given in txn request".to_owned())
            }
            StoreError::EmptyKey => Self::invalid("etcdserver: key is not provided".to_owned()),
        }
    }
}

impl<'r> Responder<'r, 'static> for ApiError {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'static> {
        let body = json(&ErrorResponse { code: self.code, message: &self.message });
        Custom(self.status, RawJson(body)).respond_to(request)
    }
}

#[derive(Responder)]
enum Answer {
    Json(RawJson<String>),
    Error(ApiError),
    Dropped(Dropped),
}

impl From<Refusal> for Answer {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Dropped => Self::Dropped(Dropped),
            Refusal::TooMany => Self::Error(ApiError::too_many()),
        }
    }
}

fn json(value: &impl Serialize) -> String {
    // Fails only for maps with keys that are no text; there are none.
    serde_json::to_string(value).unwrap_or_default()
}

fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, ApiError> {
    serde_json::from_slice(body).map_err(|err| ApiError::invalid(err.to_string()))
}

/// Takes a call through the faults.
async fn answer<Q: DeserializeOwned, A: Serialize>(
    state: &State,
    call: Call,
    body: &[u8],
    run: impl FnOnce(&State, Q) -> Result<A, ApiError>,
) -> Answer {
    let admitted = match state.admit(call).await {
        Ok(admitted) => admitted,
        Err(refusal) => return refusal.into(),
    };
    sleep(admitted.before).await;
    state.thawed().await;
    let result = read(body).and_then(|request| run(state, request));
    sleep(admitted.after).await;
    state.thawed().await;
    match result {
        Ok(_) if admitted.lose_answer => {
            state.counters.lost.fetch_add(1, Ordering::Relaxed);
            Answer::Dropped(Dropped)
        }
        Ok(answer) => Answer::Json(RawJson(json(&answer))),
        Err(error) => Answer::Error(error),
    }
}

#[post("/v3/kv/range", data = "<body>")]
async fn range(state: &Shared, body: Vec<u8>) -> Answer {
    answer(state, Call::Range, &body, |state, request: RangeRequest| {
        let (revision, mut items) =
            state.with_store(|store, _| (store.revision(), store.range(&request.range())));
        if request.keys_only {
            items.iter_mut().for_each(|item| item.value.clear());
        }
        Ok(RangeResponse::new(revision, items))
    })
    .await
}

#[post("/v3/kv/txn", data = "<body>")]
async fn txn(state: &Shared, body: Vec<u8>) -> Answer {
    answer(state, Call::Txn, &body, |state, request: TxnRequest| {
        let txn = Txn::from(request);
        let answer = state.with_store(|store, _| store.transact(&txn))?;
        Ok(TxnResponse::from(answer))
    })
    .await
}

#[post("/v3/lease/grant", data = "<body>")]
async fn grant(state: &Shared, body: Vec<u8>) -> Answer {
    answer(state, Call::Grant, &body, |state, request: GrantRequest| {
        if request.id.0 != 0 {
            return Err(ApiError::invalid("lease numbers are not the caller's choice".to_owned()));
        }
        let ttl_s = request.ttl_s;
        let (id, revision) =
            state.with_store(|store, now_ms| (store.grant(ttl_s.0, now_ms), store.revision()));
        Ok(LeaseResponse { header: Header { revision: Int(revision) }, id: Int(id), ttl_s })
    })
    .await
}

#[post("/v3/lease/keepalive", data = "<body>")]
async fn keep_alive(state: &Shared, body: Vec<u8>) -> Answer {
    answer(state, Call::KeepAlive, &body, |state, request: KeepAliveRequest| {
        let (ttl_s, revision) = state
            .with_store(|store, now_ms| (store.keep_alive(request.id.0, now_ms), store.revision()));
        let header = Header { revision: Int(revision) };
        let ttl_s = Int(ttl_s.unwrap_or(0));
        Ok(Streamed { result: LeaseResponse { header, id: request.id, ttl_s } })
    })
    .await
}

enum WatchAnswer {
    Stream(Box<Follower>),
    Other(Answer),
}

impl<'r> Responder<'r, 'r> for WatchAnswer {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        let follower = match self {
            Self::Stream(follower) => follower,
            Self::Other(answer) => return answer.respond_to(request),
        };
        let lines = stream::unfold(follower, |mut follower| async {
            let line = follower.next().await?;
            Some((line, follower))
        });
        (ContentType::JSON, ByteStream(lines)).respond_to(request)
    }
}

#[post("/v3/watch", data = "<body>")]
async fn watch(state: &Shared, body: Vec<u8>) -> WatchAnswer {
    let request = match read::<WatchRequest>(&body) {
        Ok(request) => request,
        Err(error) => return WatchAnswer::Other(Answer::Error(error)),
    };
    match state.admit(Call::Watch).await {
        Ok(admitted) => sleep(admitted.before + admitted.after).await,
        Err(refusal) => return WatchAnswer::Other(refusal.into()),
    }
    WatchAnswer::Stream(Box::new(Follower::new(Arc::clone(state), request.create_request)))
}

#[get("/live")]
fn live() -> &'static str {
    "live\n"
}

#[get("/ready")]
fn ready() -> &'static str {
    "ready\n"
}

#[get("/metrics")]
fn metrics(state: &Shared) -> String {
    state.config.metrics_page.as_ref().map(|page| page()).unwrap_or_default()
}

#[get("/standin/calls")]
fn calls(state: &Shared) -> Json<CallCounts> {
    Json(state.counters.read())
}

#[get("/standin/faults")]
fn faults(state: &Shared) -> Json<PlatformFaults> {
    Json(*state.faults.borrow())
}

#[post("/standin/faults", data = "<body>")]
fn set_faults(state: &Shared, body: Vec<u8>) -> Result<Status, ApiError> {
    let order: FaultOrder<PlatformFaults> = read(&body)?;
    if order.refuse && order.for_ms.is_none() {
        return Err(ApiError::invalid("refuse needs for_ms: no later order could come".to_owned()));
    }
    let _ = state.orders.send(order);
    Ok(Status::Accepted)
}

#[post("/standin/cut-watches")]
fn cut_watches(state: &Shared) -> Status {
    state.cut_watches();
    Status::Accepted
}
