//! `status`: an entry's view of entries, agents and upstreams.

use {
    crate::{config::Config, entry::Entry, report::Report},
    reqwest::Method,
};

pub(crate) async fn run(config: &Config) -> eyre::Result<Report> {
    let entry = Entry::new(config)?;
    let reply = entry.send("status", entry.request(Method::GET, "/v1/admin/status")).await?;
    Ok(Report::flattened(config.form, &reply))
}
