//! Serves callers and operators; home of the jobs it accepts.

mod options;

use {
    options::Options,
    std::{fmt::Display, process::ExitCode},
    sycamorerail_entry::{cluster::ClusterEntry, counters, error::EntryError},
    sycamorerail_settings::entry::EntrySettings,
    sycamorerail_telemetry::{invariant, logs},
    tokio::signal::unix::{SignalKind, signal},
};

/// How the process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Exit {
    Success = 0,
    Failure = 1,
    BadSettings = 2,
    DrainCut = 3,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    let settings = match EntrySettings::load(&options.settings) {
        Ok(settings) => settings,
        Err(err) => return fail(Exit::BadSettings, &err),
    };
    if options.check {
        return Exit::Success.into();
    }
    logs::init(logs::parse_level(&settings.log_level).unwrap_or(log::LevelFilter::Info));
    counters::install();
    invariant::set_fatal(settings.fatal_invariants);
    run(settings)
}

#[tokio::main]
async fn run(settings: EntrySettings) -> ExitCode {
    let entry = match ClusterEntry::start(settings).await {
        Ok(entry) => entry,
        Err(err) => return fail(Exit::Failure, &err),
    };
    match serve(entry).await {
        Ok(()) => Exit::Success.into(),
        Err(err @ EntryError::DrainCut { .. }) => fail(Exit::DrainCut, &err),
        Err(err) => fail(Exit::Failure, &err),
    }
}

async fn serve(mut entry: ClusterEntry) -> Result<(), EntryError> {
    let mut terminate = signal(SignalKind::terminate()).ok();
    let mut interrupt = signal(SignalKind::interrupt()).ok();
    tokio::select! {
        Some(()) = received(&mut terminate) => {}
        Some(()) = received(&mut interrupt) => {}
        () = entry.stopping() => {}
    }
    entry.drain().await
}

async fn received(signal: &mut Option<tokio::signal::unix::Signal>) -> Option<()> {
    match signal {
        Some(signal) => signal.recv().await,
        None => std::future::pending().await,
    }
}

fn fail(exit: Exit, err: &dyn Display) -> ExitCode {
    eprintln!("sycamorerail-entry: {err}");
    exit.into()
}
