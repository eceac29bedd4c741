//! `diff`: a template against a published revision.

use {
    crate::{
        commands::{organisation_path, publish},
        config::Config,
        entry::{Entry, Reply},
        exit_codes::ExitCode,
        options::Diff,
        output::{Form, plain},
        report::Report,
    },
    reqwest::Method,
    similar::TextDiff,
};

/// Lines shown around each difference.
const CONTEXT_LINES: usize = 3;

pub(crate) async fn run(options: &Diff, config: &Config) -> eyre::Result<Report> {
    let (template, own) = match publish::read(&options.file)? {
        Ok(read) => read,
        Err(report) => return Ok(report),
    };
    let mut path = organisation_path(&template.organisation)?;
    if let Some(revision) = options.revision {
        path += &format!("/history/{revision}");
    }
    let entry = Entry::new(config)?;
    let reply = entry.send("diff", entry.request(Method::GET, &path)).await?;
    if !reply.is_ok() {
        return Ok(Report::refused(config.form, &reply));
    }
    Ok(compare(options, config, &reply, &own))
}

fn compare(options: &Diff, config: &Config, reply: &Reply, own: &str) -> Report {
    let revision = options.revision.or(reply.revision);
    let published = match revision {
        Some(revision) => format!("revision {revision}"),
        None => "published".to_owned(),
    };
    let same = reply.text == own;
    let text = match config.form {
        Form::Json => format!("{}\n", serde_json::json!({"same": same, "revision": revision})),
        Form::Text if same => format!("same as {published}\n"),
        Form::Text => unified(&reply.text, own, &published, &options.file.display().to_string()),
    };
    let exit = if same { ExitCode::Ok } else { ExitCode::Different };
    Report { text, errors: Vec::new(), exit }
}

fn unified(old: &str, new: &str, old_name: &str, new_name: &str) -> String {
    let diff = TextDiff::from_lines(old, new);
    let text =
        diff.unified_diff().context_radius(CONTEXT_LINES).header(old_name, new_name).to_string();
    text.lines().map(|line| plain(line) + "\n").collect()
}
