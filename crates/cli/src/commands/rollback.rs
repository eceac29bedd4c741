//! `rollback`: an earlier revision's text becomes a new revision.

use {
    crate::{
        api::RollbackBody,
        commands::{organisation_path, publish},
        config::Config,
        entry::{Entry, Expected, with_expected, with_json},
        options::Rollback,
        report::Report,
    },
    reqwest::Method,
};

pub(crate) async fn run(options: &Rollback, config: &Config) -> eyre::Result<Report> {
    let entry = Entry::new(config)?;
    let path = organisation_path(&options.organisation)? + "/rollback";
    let request = with_json(entry.request(Method::POST, &path), &RollbackBody { to: options.to });
    let request = with_expected(request, Expected::Revision(options.revision));
    let reply = entry.send("rollback", request).await;
    publish::changed(config, reply, &options.organisation)
}
