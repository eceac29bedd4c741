//! What the processes of both stand-ins have in common.

use {
    crate::{exit::Exit, platform::MetricsPage},
    log::LevelFilter,
    std::{io, sync::Arc},
    sycamorerail_telemetry::{logs, metrics_page},
    tokio::{
        runtime::Builder,
        signal::unix::{Signal, SignalKind, signal},
    },
};

/// Threads of a stand-in: many of them share a machine with what they test.
const THREADS: usize = 2;

/// Sets up logs, metrics and signals, and runs a stand-in to its end. `serve`
/// gets the function that renders the metrics page.
pub fn process<F>(serve: impl FnOnce(MetricsPage, StopSignal) -> F) -> Exit
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
    let run = async {
        // Before anything is served: from then on a stop must be a planned one.
        let stop = StopSignal::listen()?;
        serve(Arc::new(move || page.render()), stop).await
    };
    match runtime.block_on(run) {
        Ok(()) => Exit::Done,
        Err(error) => Exit::Serve.report(&error),
    }
}

/// SIGTERM and SIGINT, caught from its making on.
#[derive(Debug)]
pub struct StopSignal {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignal {
    fn listen() -> io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        Ok(Self { terminate, interrupt })
    }

    /// Waits for either.
    pub async fn wait(mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
