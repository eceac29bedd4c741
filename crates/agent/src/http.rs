//! HTTP for the upstream beside the agent, and for people.
//!
//! Whoever reaches this port may announce an upstream, which is then called.
//! `http_address` belongs on loopback, or on an address that only the
//! upstream's machine reaches.
//!
//! An upstream stops renewing before it says that it leaves: an announcement
//! that comes after means that it is back.

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
struct Refused {
    reason: &'static str,
    field: Option<&'static str>,
    detail: String,
}

#[derive(Serialize)]
struct Renewed {
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
    /// Ends the server.
    pub(crate) async fn stop(self) {
        self.shutdown.notify();
        let _ = self.running.await;
    }
}

/// Starts the server; it listens when this returns.
pub(crate) async fn start(
    core: Arc<Core>,
    entries: Arc<Entries>,
    metrics: RenderMetrics,
) -> eyre::Result<Server> {
    let address = core.settings.http_address;
    let (tell_port, port) = oneshot::channel();
    let rocket = build(address, tell_port).manage(core).manage(entries).manage(metrics);
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

fn build(address: SocketAddr, tell_port: oneshot::Sender<u16>) -> Rocket<rocket::Build> {
    let tell_port = parking_lot::Mutex::new(Some(tell_port));
    rocket::custom(config(address))
        .mount("/", routes![announce, leave, live, ready, metrics_page, status_page])
        .register("/", catchers![refused])
        .attach(AdHoc::on_liftoff("listening", move |rocket| {
            Box::pin(async move {
                if let Some(tell_port) = tell_port.lock().take() {
                    let _ = tell_port.send(rocket.config().port);
                }
            })
        }))
}

/// The agent decides itself when to stop: no signals, no ctrl-c.
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

fn refuse(status: Status, field: Option<&'static str>, reason: Reason, detail: String) -> Json {
    json(status, &Refused { reason: reason.name(), field, detail })
}

#[put("/v1/upstream", data = "<body>")]
async fn announce(body: Data<'_>, core: &State<Arc<Core>>) -> Json {
    let body = match body.open(MAX_ANNOUNCEMENT_KIB.kibibytes()).into_bytes().await {
        Ok(body) if body.is_complete() => body.into_inner(),
        Ok(_) => {
            let detail = format!("expected at most {MAX_ANNOUNCEMENT_KIB} KiB");
            return refuse(Status::PayloadTooLarge, Some("body"), Reason::TooLarge, detail);
        }
        Err(err) => {
            return refuse(Status::BadRequest, Some("body"), Reason::Invalid, err.to_string());
        }
    };
    match announcement::read(&body) {
        Ok(announced) => {
            upstream::announce(core, announced);
            let agent = core.identity.incarnation.to_string();
            json(Status::Ok, &Renewed { agent, lease_ms: core.settings.upstream_lease_ms })
        }
        Err(err) => refuse(Status::BadRequest, Some(err.field), Reason::Invalid, err.to_string()),
    }
}

#[delete("/v1/upstream")]
fn leave(core: &State<Arc<Core>>) -> Json {
    upstream::leave(core, "announced");
    json(Status::Ok, &status::Running { running: core.counts().running })
}

#[get("/live")]
fn live() -> &'static str {
    "live\n"
}

#[get("/ready")]
fn ready(core: &State<Arc<Core>>, entries: &State<Arc<Entries>>) -> Custom<String> {
    match status::not_ready(core, entries) {
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
fn refused(status: Status, request: &Request<'_>) -> Json {
    let reason = match status.code {
        404 => Reason::NotFound,
        413 => Reason::TooLarge,
        _ => Reason::Invalid,
    };
    let detail = format!("{} {}: {status}", request.method(), request.uri().path());
    refuse(status, None, reason, detail)
}
