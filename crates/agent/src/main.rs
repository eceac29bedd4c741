//! Runs an agent until a signal stops it.

use {
    std::process::ExitCode,
    sycamorerail_agent::{
        agent::Agent,
        exit::Exit,
        options::{self, Options},
    },
    sycamorerail_settings::agent::AgentSettings,
    sycamorerail_telemetry::{event, invariant, logs, metrics_page},
    tokio::signal::unix::{Signal, SignalKind, signal},
};

#[tokio::main]
async fn main() -> ExitCode {
    let options = options::from_command_line();
    match run(&options).await {
        Ok(exit) => exit.into(),
        Err(err) => {
            eprintln!("sycamorerail-agent: {err:#}");
            Exit::Failed.into()
        }
    }
}

async fn run(options: &Options) -> eyre::Result<Exit> {
    let settings = match AgentSettings::load(&options.settings) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("sycamorerail-agent: {err}");
            return Ok(Exit::BadSettings);
        }
    };
    if options.check {
        return Ok(Exit::Stopped);
    }
    serve(settings).await
}

async fn serve(settings: AgentSettings) -> eyre::Result<Exit> {
    logs::init(logs::parse_level(&settings.log_level).unwrap_or(log::LevelFilter::Info));
    invariant::set_fatal(settings.fatal_invariants);
    let page = metrics_page::install()?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let agent = Agent::start(settings, Box::new(move || page.render())).await?;
    let signal = first_signal(&mut terminate, &mut interrupt).await;
    event!(Info, "stop_asked", signal = signal);
    let stopped = agent.stop().await;
    Ok(if stopped.cut == 0 { Exit::Stopped } else { Exit::CutWork })
}

async fn first_signal(terminate: &mut Signal, interrupt: &mut Signal) -> &'static str {
    tokio::select! {
        _ = terminate.recv() => "SIGTERM",
        _ = interrupt.recv() => "SIGINT",
    }
}
