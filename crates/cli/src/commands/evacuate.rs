//! `evacuate` and `restore`: an operator's word on a data centre.

use {
    crate::{
        api::EvacuationBody,
        commands::data_centre_path,
        config::Config,
        entry::Entry,
        options::{Evacuate, Restore},
        report::Report,
    },
    reqwest::Method,
};

pub(crate) async fn evacuate(options: &Evacuate, config: &Config) -> eyre::Result<Report> {
    let path = data_centre_path(&options.data_centre, options.unknown)?;
    say(config, "evacuate", Method::PUT, &path).await
}

pub(crate) async fn restore(options: &Restore, config: &Config) -> eyre::Result<Report> {
    let path = data_centre_path(&options.data_centre, options.unknown)?;
    say(config, "restore", Method::DELETE, &path).await
}

async fn say(
    config: &Config,
    step: &'static str,
    method: Method,
    path: &str,
) -> eyre::Result<Report> {
    let entry = Entry::new(config)?;
    let reply = entry.send(step, entry.request(method, path)).await;
    let reply = reply.map_err(|err| err.advise("saying it again is harmless"))?;
    if !reply.is_ok() {
        return Ok(Report::refused(config.form, &reply));
    }
    let body: EvacuationBody = reply.body()?;
    Ok(Report::shown(config.form, &reply, sentence(&body)))
}

fn sentence(body: &EvacuationBody) -> String {
    let EvacuationBody { data_centre, revision, changed_by, .. } = body;
    match (body.evacuated, body.changed) {
        (true, true) => format!("{data_centre}: evacuated, revision {revision}\n"),
        (true, false) => {
            format!("{data_centre}: already evacuated by {changed_by}, revision {revision}\n")
        }
        (false, true) => format!("{data_centre}: restored, revision {revision}\n"),
        (false, false) => format!("{data_centre}: not evacuated\n"),
    }
}
