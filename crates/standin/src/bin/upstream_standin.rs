//! `sycamorerail-upstream-standin`: takes the place of an upstream.

use {
    std::process::ExitCode,
    sycamorerail_settings::standin::UpstreamStandinSettings,
    sycamorerail_standin::{
        exit::Exit,
        options::UpstreamOptions,
        run,
        upstream::{UpstreamStandin, UpstreamStandinConfig},
    },
};

fn main() -> ExitCode {
    let options: UpstreamOptions = argh::from_env();
    let settings = match UpstreamStandinSettings::load(&options.settings) {
        Ok(settings) => settings,
        Err(error) => return Exit::Settings.report(&error).into(),
    };
    let mut config = UpstreamStandinConfig::from(settings);
    run::process(|page, stop| async move {
        config.metrics_page = Some(page);
        let standin = UpstreamStandin::start(config).await?;
        stop.wait().await;
        standin.leave_and_stop().await;
        Ok(())
    })
    .into()
}
