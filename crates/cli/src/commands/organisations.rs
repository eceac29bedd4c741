//! `organisations`: the organisations with a template.

use {
    crate::{config::Config, entry::Entry, report::Report},
    reqwest::Method,
};

pub(crate) async fn run(config: &Config) -> eyre::Result<Report> {
    let entry = Entry::new(config)?;
    let reply =
        entry.send("organisations", entry.request(Method::GET, "/v1/admin/organisations")).await?;
    Ok(Report::flattened(config.form, &reply))
}
