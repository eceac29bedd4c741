//! HTTP of the upstream.

use {
    super::{
        UpstreamFaults,
        starts::{End, StartReport},
        state::{Fate, State},
    },
    crate::{faults::FaultOrder, server::Dropped},
    rocket::{
        Build, Request, Rocket, get,
        http::Status,
        post,
        request::{FromRequest, Outcome},
        response::{Responder, content::RawJson, status::Custom},
        routes,
        serde::json::Json,
    },
    serde::{Deserialize, Serialize},
    serde_json::value::RawValue,
    std::{convert::Infallible, sync::Arc},
    tokio::time::sleep,
};

type Shared = rocket::State<Arc<State>>;

const TASK_HEADER: &str = "sycamorerail-task";
const ORGANISATION_HEADER: &str = "sycamorerail-organisation";
/// Longest padding of a result.
const MOST_RESULT_BYTES: usize = 64 << 20;

pub(super) fn mount(rocket: Rocket<Build>, state: Arc<State>) -> Rocket<Build> {
    let control = routes![live, ready, metrics, starts, faults, set_faults];
    rocket.manage(state).mount("/", routes![run]).mount("/", control)
}

/// The headers an agent sets.
struct Headers<'r> {
    task: Option<&'r str>,
    organisation: Option<&'r str>,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Headers<'r> {
    type Error = Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Infallible> {
        let headers = request.headers();
        Outcome::Success(Self {
            task: headers.get_one(TASK_HEADER),
            organisation: headers.get_one(ORGANISATION_HEADER),
        })
    }
}

/// What a payload may ask for.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Payload {
    run_ms: Option<u64>,
    fail: bool,
    echo: Option<Box<RawValue>>,
    result_bytes: usize,
}

#[derive(Serialize)]
struct TaskResult<'a> {
    upstream: &'a str,
    task: Option<&'a str>,
    kind: &'a str,
    organisation: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<&'a str>,
    echo: Option<Box<RawValue>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    padding: Option<String>,
}

#[derive(Responder)]
enum Answer {
    Told(Custom<RawJson<String>>),
    Dropped(Dropped),
}

/// A start whose end is not recorded yet; without one it counts as dropped.
struct Running<'a> {
    state: &'a State,
    end: End,
}

impl<'a> Running<'a> {
    fn start(state: &'a State, task: Option<&str>) -> Self {
        state.starts.lock().start(task);
        Self { state, end: End::Dropped }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.state.starts.lock().end(self.end);
    }
}

#[post("/v1/tasks/<kind>", data = "<body>")]
async fn run(state: &Shared, kind: &str, headers: Headers<'_>, body: Vec<u8>) -> Answer {
    state.thawed().await;
    let mut running = Running::start(state, headers.task);
    let payload: Payload = serde_json::from_slice(&body).unwrap_or_default();
    let fate = state.fate(payload.run_ms);
    if fate.drop_connection {
        return Answer::Dropped(Dropped);
    }
    let (end, error) = work(&fate, payload.fail).await;
    state.thawed().await;
    running.end = end;
    let padding =
        (payload.result_bytes > 0).then(|| "x".repeat(payload.result_bytes.min(MOST_RESULT_BYTES)));
    let result = TaskResult {
        upstream: &state.config.name,
        task: headers.task,
        kind,
        organisation: headers.organisation,
        error,
        echo: payload.echo,
        padding,
    };
    let status = if end == End::Done { Status::Ok } else { Status::InternalServerError };
    let text = serde_json::to_string(&result).unwrap_or_default();
    Answer::Told(Custom(status, RawJson(text)))
}

/// Sleeps in place of work. An upstream that fails everything does so at once,
/// and so looks free.
async fn work(fate: &Fate, fail: bool) -> (End, Option<&'static str>) {
    if fate.fail {
        return (End::Failed, Some("this upstream fails everything"));
    }
    if !fate.run.is_zero() {
        sleep(fate.run).await;
    }
    if fail { (End::Failed, Some("the payload asks to fail")) } else { (End::Done, None) }
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

#[get("/standin/starts?<full>")]
fn starts(state: &Shared, full: Option<u8>) -> Json<StartReport> {
    Json(state.starts.lock().report(full == Some(1)))
}

#[get("/standin/faults")]
fn faults(state: &Shared) -> Json<UpstreamFaults> {
    Json(*state.faults.borrow())
}

#[post("/standin/faults", data = "<body>")]
fn set_faults(state: &Shared, body: Vec<u8>) -> Result<Status, Custom<String>> {
    let refuse = |why: String| Custom(Status::BadRequest, why);
    let order: FaultOrder<UpstreamFaults> =
        serde_json::from_slice(&body).map_err(|err| refuse(err.to_string()))?;
    if order.refuse && order.for_ms.is_none() {
        return Err(refuse("refuse needs for_ms: no later order could come".to_owned()));
    }
    let _ = state.orders.send(order);
    Ok(Status::Accepted)
}
