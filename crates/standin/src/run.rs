//! What the processes of both stand-ins have in common.

use {
    crate::exit::Exit,
    log::LevelFilter,
    std::io,
    sycamorerail_telemetry::{logs, metrics_page},
    tokio::{
        runtime::Builder,
        signal::unix::{SignalKind, signal},
    },
};

/// Threads of a stand-in: many of them share a machine with what they test.
const THREADS: usize = 2;

/// Sets up logs and metrics, and runs a stand-in to its end. `serve` gets the
/// function that renders the metrics page.
pub fn process<F>(serve: impl FnOnce(Box<dyn Fn() -> String + Send + Sync>) -> F) -> Exit
where
    F: Future<Output = io::Result<()>>,
{
    logs::init(LevelFilter::Info);
    let page = match metrics_page::install() {
        Ok(page) => page,
        Err(error) => return Exit::Serve.report(&error),
    };
    let runtime = match Builder::new_multi_thread().worker_threads(THREADS).enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return Exit::Serve.report(&error),
    };
    match runtime.block_on(serve(Box::new(move || page.render()))) {
        Ok(()) => Exit::Done,
        Err(error) => Exit::Serve.report(&error),
    }
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// When the signals cannot be listened for.
pub async fn told_to_stop() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => Ok(()),
        _ = interrupt.recv() => Ok(()),
    }
}
