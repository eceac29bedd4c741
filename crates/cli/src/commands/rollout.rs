//! `rollout`: the revisions in force, by entry.

use {
    crate::{
        api::{RolloutBody, RolloutEntry},
        config::Config,
        entry::Entry,
        output::table,
        report::Report,
    },
    reqwest::Method,
    std::collections::BTreeSet,
};

const HEADERS: &[&str] = &["entry", "data_centre", "ready"];
/// Shown where an entry has no revision of an organisation.
const NO_REVISION: &str = "-";

pub(crate) async fn run(config: &Config) -> eyre::Result<Report> {
    let entry = Entry::new(config)?;
    let reply = entry.send("rollout", entry.request(Method::GET, "/v1/admin/rollout")).await?;
    if !reply.is_ok() {
        return Ok(Report::refused(config.form, &reply));
    }
    let body: RolloutBody = reply.body()?;
    let organisations: BTreeSet<_> =
        body.entries.iter().flat_map(|entry| entry.revisions.keys()).collect();
    let mut headers = HEADERS.to_vec();
    headers.extend(organisations.iter().map(|name| name.as_str()));
    let rows: Vec<_> = body.entries.iter().map(|entry| row(entry, &organisations)).collect();
    Ok(Report::shown(config.form, &reply, table(&headers, &rows)))
}

fn row(entry: &RolloutEntry, organisations: &BTreeSet<&String>) -> Vec<String> {
    let mut cells = vec![entry.name.clone(), entry.data_centre.clone(), entry.ready.to_string()];
    cells.extend(organisations.iter().map(|&name| match entry.revisions.get(name) {
        Some(revision) => revision.to_string(),
        None => NO_REVISION.to_owned(),
    }));
    cells
}
