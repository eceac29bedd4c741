//! `delete`: an organisation's template is taken out of force.

use {
    crate::{
        commands::{organisation_path, publish},
        config::Config,
        entry::{Entry, Expected, with_expected},
        options::Delete,
        report::Report,
    },
    reqwest::Method,
};

pub(crate) async fn run(options: &Delete, config: &Config) -> eyre::Result<Report> {
    let entry = Entry::new(config)?;
    let request = entry.request(Method::DELETE, &organisation_path(&options.organisation)?);
    let request = with_expected(request, Expected::Revision(options.revision));
    let reply = entry.send("delete", request).await;
    publish::changed(config, reply, &options.organisation)
}
