//! `history`: the kept revisions of a template.

use {
    crate::{
        api::{HistoryBody, RevisionBody},
        commands::organisation_path,
        config::Config,
        entry::Entry,
        options::History,
        output::table,
        report::Report,
    },
    reqwest::Method,
};

const HEADERS: &[&str] = &["revision", "published_by", "published_unix_ms", "state"];

pub(crate) async fn run(options: &History, config: &Config) -> eyre::Result<Report> {
    let entry = Entry::new(config)?;
    let path = organisation_path(&options.organisation)? + "/history";
    let reply = entry.send("history", entry.request(Method::GET, &path)).await?;
    if !reply.is_ok() {
        return Ok(Report::refused(config.form, &reply));
    }
    let body: HistoryBody = reply.body()?;
    let rows: Vec<_> = body.revisions.iter().map(row).collect();
    Ok(Report::shown(config.form, &reply, table(HEADERS, &rows)))
}

fn row(revision: &RevisionBody) -> Vec<String> {
    vec![
        revision.revision.to_string(),
        revision.published_by.clone(),
        revision.published_unix_ms.to_string(),
        if revision.deleted { "deleted" } else { "published" }.to_owned(),
    ]
}
