//! `submit`: a job or request, under a reserved id or the caller's own key.

use {
    crate::{
        api::{ReserveBody, ReservedBody, Submission},
        commands::job_path,
        config::Config,
        entry::{Entry, Reply, with_json},
        error::CliError,
        options::Submit,
        report::Report,
    },
    reqwest::Method,
    serde_json::value::RawValue,
    std::{io::Read, path::PathBuf},
    uuid::{Uuid, Version},
};

/// Header that carries the caller's own key.
const KEY_HEADER: &str = "Idempotency-Key";
/// Standard input in place of a file.
const STDIN: &str = "-";

pub(crate) async fn run(options: &Submit, config: &Config) -> eyre::Result<Report> {
    let submission = submission(options)?;
    let collection = if submission.tasks.is_some() { "jobs" } else { "requests" };
    let entry = Entry::new(config)?;
    if let Some(key) = &options.key {
        check_key(options, key)?;
        let request = entry.request(Method::POST, &format!("/v1/{collection}"));
        let request = with_json(request.header(KEY_HEADER, key), &submission);
        let reply = entry.send("submit", request).await;
        return answered(config, reply, &format!("send the same again with --key {key}"));
    }
    let id = match &options.id {
        Some(id) => id.clone(),
        None => match reserve(&entry).await? {
            Ok(id) => id,
            Err(refusal) => return Ok(Report::answered(config.form, &refusal)),
        },
    };
    job_path(&id)?;
    let request = entry.request(Method::PUT, &format!("/v1/{collection}/{id}"));
    let reply = entry.send("submit", with_json(request, &submission)).await;
    answered(config, reply, &format!("send the same again with --id {id}"))
}

fn answered(config: &Config, reply: Result<Reply, CliError>, advice: &str) -> eyre::Result<Report> {
    let reply = reply.map_err(|err| err.advise(advice))?;
    Ok(Report::answered(config.form, &reply))
}

/// Reserves one id, or gives the entry's refusal.
async fn reserve(entry: &Entry<'_>) -> Result<Result<String, Reply>, CliError> {
    let request = with_json(entry.request(Method::POST, "/v1/ids"), &ReserveBody { count: 1 });
    let reply = entry.send("reserve", request).await?;
    if !reply.is_ok() {
        return Ok(Err(reply));
    }
    let body: ReservedBody = reply.body()?;
    match body.ids.into_iter().next() {
        Some(id) => Ok(Ok(id)),
        None => Err(CliError::Answer(reply.call, "no id in it".to_owned())),
    }
}

fn check_key(options: &Submit, key: &str) -> Result<(), CliError> {
    if options.id.is_some() {
        return Err(CliError::Usage("submit: give --id or --key, not both".to_owned()));
    }
    let uuid = Uuid::parse_str(key).ok();
    if uuid.is_none_or(|uuid| uuid.get_version() != Some(Version::SortRand)) {
        return Err(CliError::Usage(format!("--key: found {key:?}; allowed: a UUID of version 7")));
    }
    Ok(())
}

/// The submission, from a file, standard input or the options.
fn submission(options: &Submit) -> Result<Submission, CliError> {
    let submission = match (&options.file, &options.kind) {
        (Some(file), None) if options.task.is_empty() && options.payload.is_none() => {
            from_file(file, options.deadline_ms)?
        }
        (None, Some(kind)) => from_options(kind, options)?,
        _ => return Err(usage("give a file, or --kind with --task or --payload")),
    };
    match (&submission.tasks, &submission.payload) {
        (Some(_), None) | (None, Some(_)) => Ok(submission),
        _ => Err(usage("give tasks (a job) or one payload (a request), not both")),
    }
}

fn from_file(file: &str, deadline_ms: Option<u32>) -> Result<Submission, CliError> {
    let text = read(file).map_err(|err| CliError::Read(PathBuf::from(file), err))?;
    let mut submission: Submission =
        serde_json::from_str(&text).map_err(|err| CliError::Submission(file.to_owned(), err))?;
    submission.deadline_ms = deadline_ms.or(submission.deadline_ms);
    Ok(submission)
}

fn read(file: &str) -> std::io::Result<String> {
    if file != STDIN {
        return std::fs::read_to_string(file);
    }
    let mut text = String::new();
    std::io::stdin().read_to_string(&mut text)?;
    Ok(text)
}

fn from_options(kind: &str, options: &Submit) -> Result<Submission, CliError> {
    let tasks =
        options.task.iter().map(|text| raw("--task", text)).collect::<Result<Vec<_>, _>>()?;
    Ok(Submission {
        kind: kind.to_owned(),
        tasks: (!tasks.is_empty()).then_some(tasks),
        payload: options.payload.as_deref().map(|text| raw("--payload", text)).transpose()?,
        deadline_ms: options.deadline_ms,
    })
}

fn raw(option: &str, text: &str) -> Result<Box<RawValue>, CliError> {
    serde_json::from_str(text).map_err(|err| CliError::Submission(option.to_owned(), err))
}

fn usage(text: &str) -> CliError {
    CliError::Usage(format!("submit: {text}"))
}
