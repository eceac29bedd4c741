//! `cancel`: a job or request is revoked where it has not ended.

use {
    crate::{commands::job_path, config::Config, entry::Entry, options::Cancel, report::Report},
    reqwest::Method,
};

pub(crate) async fn run(options: &Cancel, config: &Config) -> eyre::Result<Report> {
    let entry = Entry::new(config)?;
    let request = entry.request(Method::DELETE, &job_path(&options.id)?);
    Ok(Report::answered(config.form, &entry.send("cancel", request).await?))
}
