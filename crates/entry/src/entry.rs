//! One entry within a process: started, used, drained.

use {
    crate::{
        callers, dispatch,
        drain::{self, InFlight},
        error::EntryError,
        health, jobs,
        organisations::Organisations,
        seams::Seams,
        shared::Shared,
        upstreams,
    },
    rocket::{
        Build, Config, Orbit, Rocket, Shutdown,
        config::{Ident, LogLevel, Shutdown as ShutdownConfig},
        fairing::AdHoc,
    },
    std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration},
    sycamorerail_settings::{entry::EntrySettings, template::Template},
    sycamorerail_telemetry::{
        event,
        invariant::{Invariant, check},
    },
    sycamorerail_wire::{
        keys::{PemPair, ProcessKeys},
        message::ConfigMark,
        session::{self, SessionTiming},
    },
    tokio::sync::{oneshot, watch},
};

/// Pause for connections to close after the listener has, so that the stop
/// need not wait for the whole grace period.
const CLOSE_PAUSE: Duration = Duration::from_millis(100);
/// Keep-alives of inner sessions in one idle timeout.
const KEEP_ALIVES_A_TIMEOUT: u32 = 2;

/// How the HTTP server ended.
type Ended = Result<(), String>;

/// Starts entries.
#[derive(Clone, Copy, Debug)]
pub struct Entry;

/// A started entry.
#[derive(Debug)]
pub struct EntryHandle {
    /// What its parts share.
    pub shared: Arc<Shared>,
    http_address: SocketAddr,
    shutdown: Shutdown,
    server: watch::Receiver<Option<Ended>>,
    stop: watch::Sender<bool>,
}

impl Entry {
    /// Starts an entry on its own seams.
    ///
    /// # Errors
    ///
    /// When keys are refused or an address is taken.
    pub async fn start(settings: EntrySettings) -> Result<EntryHandle, EntryError> {
        Self::start_with(settings, Seams::default()).await
    }

    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// When keys are refused or an address is taken.
    pub async fn start_with(
        settings: EntrySettings,
        seams: Seams,
    ) -> Result<EntryHandle, EntryError> {
        let endpoint = open_endpoint(&settings)?;
        let shared = Arc::new(Shared::new(settings, endpoint, seams));
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(upstreams::accept_until(Arc::clone(&shared), stopped.clone()));
        tokio::spawn(upstreams::probe_until(Arc::clone(&shared), stopped.clone()));
        tokio::spawn(dispatch::pump_until(Arc::clone(&shared), stopped.clone()));
        tokio::spawn(dispatch::observe_until(Arc::clone(&shared), stopped.clone()));
        tokio::spawn(jobs::sweep_until(Arc::clone(&shared), stopped));
        let (http_address, shutdown, server) = serve_http(&shared).await?;
        event!(Info, "entry_started", http = http_address, inner = shared.inner_address);
        Ok(EntryHandle { shared, http_address, shutdown, server, stop })
    }
}

impl EntryHandle {
    /// Address of HTTP as bound.
    #[must_use]
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Address of the inner protocol as bound.
    #[must_use]
    pub fn inner_address(&self) -> SocketAddr {
        self.shared.inner_address
    }

    /// Puts templates in force in place of the platform's, for trials.
    pub fn put_in_force(&self, templates: Vec<Template>) {
        let numbered: Vec<_> = templates.into_iter().map(|template| (1, template)).collect();
        let compiled = Organisations::compile(&self.shared.names, ConfigMark(1), &numbered);
        self.shared.set_organisations(compiled);
    }

    /// Waits until a planned stop is asked for through the administration API,
    /// or the HTTP server fails.
    pub async fn stopping(&mut self) {
        tokio::select! {
            () = self.shared.lifecycle.drain_asked() => {}
            _ = self.server.wait_for(Option::is_some) => {}
        }
    }

    /// Stops as planned: finishes what is in flight, then ends.
    ///
    /// # Errors
    ///
    /// When the bound of the drain passed with requests in flight.
    pub async fn drain(self) -> Result<(), EntryError> {
        let shared = self.shared;
        shared.lifecycle.drain();
        let end_ms = drain::finish(&shared).await;
        let mut server = self.server;
        if let Some(ended) = server.borrow().clone() {
            return Err(ended_early(self.http_address, ended));
        }
        self.shutdown.notify();
        let bound = drain::left(&shared, end_ms) + CLOSE_PAUSE + CLOSE_PAUSE;
        let closed = tokio::time::timeout(bound, server.wait_for(Option::is_some)).await.is_ok();
        // Other entries' calls come over sessions, which still stand.
        drain::close(&shared, drain::left(&shared, end_ms)).await;
        let (jobs, requests) = (shared.jobs.undecided(), shared.lifecycle.requests());
        self.stop.send_replace(true);
        shared.endpoint.close(0u32.into(), b"stopped");
        let _ = tokio::time::timeout(CLOSE_PAUSE, shared.endpoint.wait_idle()).await;
        let whole = jobs == 0 && requests == 0;
        event!(
            Info,
            "entry_stopped",
            cut_jobs = jobs,
            cut_requests = requests,
            all_closed = closed,
        );
        check(Invariant::NoCutInDrain, whole, &shared.settings.name);
        if whole { Ok(()) } else { Err(EntryError::DrainCut { jobs, requests }) }
    }
}

/// The HTTP server ended before it was told to.
fn ended_early(address: SocketAddr, ended: Ended) -> EntryError {
    let cause = ended.err().unwrap_or_else(|| "it ended by itself".to_owned());
    EntryError::Http { address, cause }
}

fn open_endpoint(settings: &EntrySettings) -> Result<quinn::Endpoint, EntryError> {
    let own = PemPair {
        certificate_pem: settings.keys.certificate_pem.clone(),
        key_pem: settings.keys.private_key_pem.clone(),
    };
    let keys = ProcessKeys::read(&settings.keys.authority_pem, &own)?;
    let idle_timeout_ms = settings.limits.idle_timeout_ms;
    let timing =
        SessionTiming { idle_timeout_ms, keep_alive_ms: idle_timeout_ms / KEEP_ALIVES_A_TIMEOUT };
    Ok(session::open(settings.inner_address, &keys, timing)?)
}

async fn serve_http(
    shared: &Arc<Shared>,
) -> Result<(SocketAddr, Shutdown, watch::Receiver<Option<Ended>>), EntryError> {
    let address = shared.settings.http_address;
    let failed = |cause: String| EntryError::Http { address, cause };
    let (bound_sender, bound) = oneshot::channel();
    let rocket = build(shared, bound_sender).ignite().await;
    let rocket = rocket.map_err(|err| failed(err.kind().to_string()))?;
    let shutdown = rocket.shutdown();
    let (ended_sender, mut ended) = watch::channel(None);
    tokio::spawn(async move {
        let ended = rocket.launch().await.map(drop).map_err(|err| err.kind().to_string());
        ended_sender.send_replace(Some(ended));
    });
    // Without an address it has ended; its part of the channel is dropped.
    if let Ok(bound) = bound.await {
        return Ok((bound, shutdown, ended));
    }
    let cause = ended.wait_for(Option::is_some).await.ok().and_then(|ended| ended.clone());
    let cause = cause.and_then(Result::err);
    Err(failed(cause.unwrap_or_else(|| "ended before it served".to_owned())))
}

fn build(shared: &Arc<Shared>, bound: oneshot::Sender<SocketAddr>) -> Rocket<Build> {
    let rocket = rocket::custom(config(shared))
        .manage(Arc::clone(shared))
        .attach(AdHoc::on_request("in flight", |request, _| {
            Box::pin(async move {
                if let Some(shared) = request.rocket().state::<Arc<Shared>>() {
                    // Dropped with the request, after its response was written.
                    request.local_cache(|| Some(InFlight::begin(Arc::clone(shared))));
                }
            })
        }))
        .attach(AdHoc::on_liftoff("bound", |rocket| Box::pin(tell_bound(rocket, bound))))
        .attach(AdHoc::on_shutdown("close", |_| Box::pin(tokio::time::sleep(CLOSE_PAUSE))))
        .mount("/", callers::routes())
        .mount("/", health::routes())
        .register("/", callers::catchers());
    (shared.seams.mount)(rocket)
}

async fn tell_bound(rocket: &Rocket<Orbit>, bound: oneshot::Sender<SocketAddr>) {
    let config = rocket.config();
    let _ = bound.send(SocketAddr::new(config.address, config.port));
}

fn config(shared: &Shared) -> Config {
    let limits = &shared.settings.limits;
    // Whole seconds, rounded up; the drain bounds it in milliseconds.
    let grace = limits.drain_ms.div_ceil(1_000);
    Config {
        address: shared.settings.http_address.ip(),
        port: shared.settings.http_address.port(),
        ident: Ident::none(),
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown: ShutdownConfig {
            ctrlc: false,
            signals: HashSet::new(),
            grace,
            mercy: 1,
            force: false,
            ..ShutdownConfig::default()
        },
        ..Config::release_default()
    }
}
