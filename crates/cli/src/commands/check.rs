//! `check`: settings and templates, without calling any entry.

use {
    crate::{
        config::Config,
        error::CliError,
        exit_codes::ExitCode,
        options::{Check, Checked},
        output::Form,
        report::Report,
    },
    serde::Serialize,
    std::path::Path,
    sycamorerail_settings::{
        FieldError, LoadError, SettingsErrors,
        agent::AgentSettings,
        entry::EntrySettings,
        standin::{PlatformStandinSettings, UpstreamStandinSettings},
        template::Template,
    },
};

/// What was found in one file, for JSON output.
#[derive(Serialize)]
struct Finding<'a> {
    file: &'a Path,
    errors: Vec<FieldError>,
}

pub(crate) fn run(options: &Check, config: &Config) -> eyre::Result<Report> {
    if options.files.is_empty() {
        return Err(CliError::Usage("check: name at least one file".to_owned()).into());
    }
    let findings: Vec<_> = options
        .files
        .iter()
        .map(|file| Ok(Finding { file, errors: check(options.what, file)? }))
        .collect::<Result<_, CliError>>()?;
    let invalid = findings.iter().any(|finding| !finding.errors.is_empty());
    Ok(Report {
        text: match config.form {
            Form::Json => format!("{}\n", serde_json::to_string(&findings)?),
            Form::Text => findings.iter().filter_map(valid_line).collect(),
        },
        errors: findings.iter().flat_map(error_lines).collect(),
        exit: if invalid { ExitCode::Invalid } else { ExitCode::Ok },
    })
}

fn check(what: Checked, file: &Path) -> Result<Vec<FieldError>, CliError> {
    let loaded = match what {
        Checked::Entry => EntrySettings::load(file).map(drop),
        Checked::Agent => AgentSettings::load(file).map(drop),
        Checked::PlatformStandin => PlatformStandinSettings::load(file).map(drop),
        Checked::UpstreamStandin => UpstreamStandinSettings::load(file).map(drop),
        Checked::Template => Template::load(file).map(drop),
    };
    match loaded {
        Ok(()) => Ok(Vec::new()),
        Err(LoadError::Invalid(_, errors)) => Ok(errors.errors),
        Err(LoadError::Unreadable(path, err)) => Err(CliError::Read(path, err)),
    }
}

fn valid_line(finding: &Finding<'_>) -> Option<String> {
    finding.errors.is_empty().then(|| format!("{}: valid\n", finding.file.display()))
}

fn error_lines(finding: &Finding<'_>) -> Vec<String> {
    finding.errors.iter().map(|error| format!("{}: {error}", finding.file.display())).collect()
}

/// The report of one file with errors.
pub(crate) fn invalid(file: &Path, errors: &SettingsErrors) -> Report {
    let finding = Finding { file, errors: errors.errors.clone() };
    Report { text: String::new(), errors: error_lines(&finding), exit: ExitCode::Invalid }
}
