//! `drain`: a planned stop of the entry.

use {
    crate::{config::Config, entry::Entry, report::Report},
    reqwest::Method,
};

pub(crate) async fn run(config: &Config) -> eyre::Result<Report> {
    let entry = Entry::new(config)?;
    let reply = entry.send("drain", entry.request(Method::POST, "/v1/admin/drain")).await?;
    Ok(Report::flattened(config.form, &reply))
}
