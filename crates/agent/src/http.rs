//! HTTP server for the upstream beside the agent and for operators.
//!
//! Any client that reaches this port may announce an upstream, which the agent then calls.
//! `http_address` must therefore be a loopback address, or one that only the upstream's VM
//! reaches.
//!
//! An upstream stops renewing before it announces leaving, so a later announcement means that
//! the upstream is back.

use {
    crate::{announcement, core::Core, entries::Entries, gauges, status, upstream},
    eyre::WrapErr,
    rocket::{
        Config, Data, Request, Rocket, Shutdown, State, catch, catchers,
        config::{LogLevel, Shutdown as ShutdownConfig},
        data::ToByteUnit,
        delete,
        fairing::AdHoc,
        get,
        http::Status,
        put,
        response::{
            content::{RawJson, RawText},
            status::Custom,
        },
        routes,
        tokio::task::JoinHandle,
    },
    serde::Serialize,
    std::{net::SocketAddr, sync::Arc},
    sycamorerail_wire::answer::Reason,
    tokio::sync::oneshot,
};

const MAX_ANNOUNCEMENT_KIB: u64 = 256;

/// Renders the metrics page.
pub type RenderMetrics = Box<dyn Fn() -> String + Send + Sync>;

type Json = Custom<RawJson<String>>;

#[derive(Serialize)]
struct ErrorBody {
    reason: &'static str,
    field: Option<&'static str>,
    detail: String,
}

#[derive(Serialize)]
struct LeaseBody {
    agent: String,
    lease_ms: u32,
}

/// The running HTTP server.
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    shutdown: Shutdown,
    running: JoinHandle<()>,
}

impl Server {
    /// Stops the server.
    pub(crate) async fn stop(self) {
        self.shutdown.notify();
        let _ = self.running.await;
    }
}

/// Starts the server. It listens when this returns.
pub(crate) async fn start(
    core: Arc<Core>,
    entries: Arc<Entries>,
    metrics: RenderMetrics,
) -> eyre::Result<Server> {
    let address = core.settings.http_address;
    let (port_sender, port) = oneshot::channel();
    let rocket = build(address, port_sender).manage(core).manage(entries).manage(metrics);
    let rocket = rocket.ignite().await.wrap_err("cannot set up HTTP")?;
    let shutdown = rocket.shutdown();
    let mut launching = tokio::spawn(rocket.launch());
    let port = tokio::select! {
        port = port => port?,
        launched = &mut launching => {
            let err = launched?.err().map_or_else(String::new, |err| err.to_string());
            eyre::bail!("cannot listen on http_address {address}: {err}");
        }
    };
    let running = tokio::spawn(async move {
        let _ = launching.await;
    });
    Ok(Server { address: SocketAddr::new(address.ip(), port), shutdown, running })
}

fn build(address: SocketAddr, port_sender: oneshot::Sender<u16>) -> Rocket<rocket::Build> {
    let port_sender = parking_lot::Mutex::new(Some(port_sender));
    rocket::custom(config(address))
        .mount("/", routes![announce, leave, live, ready, metrics_page, status_page])
        .register("/", catchers![default_error])
        .attach(AdHoc::on_liftoff("listening", move |rocket| {
            Box::pin(async move {
                if let Some(port_sender) = port_sender.lock().take() {
                    let _ = port_sender.send(rocket.config().port);
                }
            })
        }))
}

/// Disables Rocket's signal handling, because the agent itself decides when to stop.
fn config(address: SocketAddr) -> Config {
    Config {
        address: address.ip(),
        port: address.port(),
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown: ShutdownConfig {
            ctrlc: false,
            signals: Default::default(),
            force: false,
            grace: 1,
            mercy: 1,
            ..ShutdownConfig::default()
        },
        ..Config::release_default()
    }
}

fn json<T: Serialize>(status: Status, body: &T) -> Json {
    Custom(status, RawJson(serde_json::to_string(body).unwrap_or_default()))
}

fn error_response(
    status: Status,
    field: Option<&'static str>,
    reason: Reason,
    detail: String,
) -> Json {
    json(status, &ErrorBody { reason: reason.name(), field, detail })
}

#[put("/v1/upstream", data = "<body>")]
async fn announce(body: Data<'_>, core: &State<Arc<Core>>) -> Json {
    let body = match body.open(MAX_ANNOUNCEMENT_KIB.kibibytes()).into_bytes().await {
        Ok(body) if body.is_complete() => body.into_inner(),
        Ok(_) => {
            let detail = format!("expected at most {MAX_ANNOUNCEMENT_KIB} KiB");
            return error_response(Status::PayloadTooLarge, Some("body"), Reason::TooLarge, detail);
        }
        Err(err) => {
            return error_response(
                Status::BadRequest,
                Some("body"),
                Reason::Invalid,
                err.to_string(),
            );
        }
    };
    match announcement::parse(&body) {
        Ok(announced) => {
            upstream::announce(core, announced);
            let agent = core.identity.incarnation.to_string();
            json(Status::Ok, &LeaseBody { agent, lease_ms: core.settings.upstream_lease_ms })
        }
        Err(err) => {
            error_response(Status::BadRequest, Some(err.field), Reason::Invalid, err.to_string())
        }
    }
}

#[delete("/v1/upstream")]
fn leave(core: &State<Arc<Core>>) -> Json {
    upstream::leave(core, "announced");
    json(Status::Ok, &status::RunningTasks { running: core.counts().running })
}

#[get("/live")]
fn live() -> &'static str {
    "live\n"
}

#[get("/ready")]
fn ready(core: &State<Arc<Core>>, entries: &State<Arc<Entries>>) -> Custom<String> {
    match status::unready_reason(core, entries) {
        None => Custom(Status::Ok, "ready\n".to_owned()),
        Some(why) => Custom(Status::ServiceUnavailable, format!("not ready: {why}\n")),
    }
}

#[get("/metrics")]
fn metrics_page(
    core: &State<Arc<Core>>,
    entries: &State<Arc<Entries>>,
    render: &State<RenderMetrics>,
) -> RawText<String> {
    gauges::set_all(core, entries);
    RawText(render())
}

#[get("/status")]
fn status_page(core: &State<Arc<Core>>, entries: &State<Arc<Entries>>) -> Json {
    json(Status::Ok, &status::collect(core, entries))
}

#[catch(default)]
fn default_error(status: Status, request: &Request<'_>) -> Json {
    let reason = match status.code {
        404 => Reason::NotFound,
        413 => Reason::TooLarge,
        _ => Reason::Invalid,
    };
    let detail = format!("{} {}: {status}", request.method(), request.uri().path());
    error_response(status, None, reason, detail)
}
