//! The commands, one a module.

mod cancel;
mod check;
mod delete;
mod diff;
mod drain;
mod evacuate;
mod fetch;
mod history;
mod keys;
mod organisations;
mod publish;
mod rollback;
mod rollout;
mod status;
mod submit;

use {
    crate::{config::Config, error::CliError, options::Command, report::Report},
    sycamorerail_settings::rules::is_name,
};

/// Longest text taken as an id.
const MAX_ID_CHARS: usize = 128;

/// Runs a command to its end.
pub(crate) async fn run(command: &Command, config: &Config) -> eyre::Result<Report> {
    match command {
        Command::Check(options) => check::run(options, config),
        Command::Keys(options) => keys::run(options, config),
        Command::Publish(options) => publish::run(options, config).await,
        Command::Diff(options) => diff::run(options, config).await,
        Command::History(options) => history::run(options, config).await,
        Command::Rollback(options) => rollback::run(options, config).await,
        Command::Delete(options) => delete::run(options, config).await,
        Command::Organisations(_) => organisations::run(config).await,
        Command::Rollout(_) => rollout::run(config).await,
        Command::Evacuate(options) => evacuate::evacuate(options, config).await,
        Command::Restore(options) => evacuate::restore(options, config).await,
        Command::Status(_) => status::run(config).await,
        Command::Submit(options) => submit::run(options, config).await,
        Command::Fetch(options) => fetch::run(options, config).await,
        Command::Cancel(options) => cancel::run(options, config).await,
        Command::Drain(_) => drain::run(config).await,
    }
}

/// Path of an organisation's template, if the name can be one.
fn organisation_path(name: &str) -> Result<String, CliError> {
    Ok(format!("/v1/admin/organisations/{}", named("organisation", name)?))
}

/// Path of an operator's word on a data centre, if the name can be one.
fn data_centre_path(name: &str, unknown: bool) -> Result<String, CliError> {
    let query = if unknown { "?unknown=true" } else { "" };
    Ok(format!("/v1/admin/evacuations/{}{query}", named("data_centre", name)?))
}

fn named<'a>(field: &str, name: &'a str) -> Result<&'a str, CliError> {
    if is_name(name) {
        return Ok(name);
    }
    Err(CliError::Usage(format!("{field}: found {name:?}; allowed: 1 to 64 of a-z 0-9 _ -")))
}

/// Path of a job or request, if the text can be an id. Ids are opaque here:
/// only the entries, which hold the cluster's secret, can tell more.
fn job_path(id: &str) -> Result<String, CliError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_');
    if (1..=MAX_ID_CHARS).contains(&id.len()) && id.chars().all(allowed) {
        return Ok(format!("/v1/jobs/{id}"));
    }
    Err(CliError::Usage(format!("id: found {id:?}; allowed: the text that `submit` printed")))
}
