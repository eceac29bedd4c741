//! `sycamorerail-platform-standin`: takes the place of the platform's service.

use {
    std::process::ExitCode,
    sycamorerail_settings::standin::PlatformStandinSettings,
    sycamorerail_standin::{
        exit::Exit,
        options::PlatformOptions,
        platform::{PlatformStandin, PlatformStandinConfig},
        run,
    },
};

fn main() -> ExitCode {
    let options: PlatformOptions = argh::from_env();
    let settings = match PlatformStandinSettings::load(&options.settings) {
        Ok(settings) => settings,
        Err(error) => return Exit::Settings.report(&error).into(),
    };
    let mut config = PlatformStandinConfig::from(settings);
    run::process(|page, stop| async move {
        config.metrics_page = Some(page);
        let standin = PlatformStandin::start(config).await?;
        stop.wait().await;
        standin.stop().await;
        Ok(())
    })
    .into()
}
