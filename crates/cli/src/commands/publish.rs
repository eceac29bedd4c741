//! `publish`: a template becomes the revision in force.

use {
    crate::{
        api::PublishedBody,
        commands::{check, organisation_path},
        config::Config,
        entry::{Entry, Expected, Reply, with_expected},
        error::CliError,
        options::Publish,
        report::Report,
    },
    reqwest::{Method, header},
    std::path::Path,
    sycamorerail_settings::template::Template,
};

const YAML: &str = "application/yaml";

pub(crate) async fn run(options: &Publish, config: &Config) -> eyre::Result<Report> {
    let expected = match (options.create, options.revision) {
        (true, None) => Expected::Nothing,
        (false, Some(revision)) => Expected::Revision(revision),
        _ => {
            let text = "publish: give --create for a first template, or --revision N for a change \
                        of revision N";
            return Err(CliError::Usage(text.to_owned()).into());
        }
    };
    let (template, yaml) = match read(&options.file)? {
        Ok(read) => read,
        Err(report) => return Ok(report),
    };
    let entry = Entry::new(config)?;
    let path = organisation_path(&template.organisation)?;
    let request = entry.request(Method::PUT, &path).header(header::CONTENT_TYPE, YAML).body(yaml);
    let reply = entry.send("publish", with_expected(request, expected)).await;
    changed(config, reply, &template.organisation)
}

/// Reads and checks a template; a refused one is a report of its errors.
pub(crate) fn read(file: &Path) -> Result<Result<(Template, String), Report>, CliError> {
    let yaml = std::fs::read_to_string(file).map_err(|err| CliError::Read(file.to_owned(), err))?;
    Ok(match Template::read(&yaml) {
        Ok(template) => Ok((template, yaml)),
        Err(errors) => Err(check::invalid(file, &errors)),
    })
}

/// The report of a change that an entry accepted or refused.
pub(crate) fn changed(
    config: &Config,
    reply: Result<Reply, CliError>,
    organisation: &str,
) -> eyre::Result<Report> {
    let reply =
        reply.map_err(|err| err.advise(format!("see `sycamorerail history {organisation}`")))?;
    if !reply.is_ok() {
        return Ok(Report::refused(config.form, &reply));
    }
    let body: PublishedBody = reply.body()?;
    let text = format!(
        "{}: revision {}, published by {}\n",
        body.organisation, body.revision, body.published_by
    );
    Ok(Report::shown(config.form, &reply, text))
}
