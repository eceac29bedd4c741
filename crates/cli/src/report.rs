//! What a command prints and the code it ends with.

use {
    crate::{
        api::{AnswerBody, ConflictBody, FieldErrorsBody},
        entry::Reply,
        exit_codes::ExitCode,
        output::{Form, flatten, plain},
    },
    std::fmt::Write,
    sycamorerail_wire::answer::Outcome,
};

/// Longest part of a body that is not understood, in an error line.
const MAX_BODY_CHARS: usize = 200;

/// End of a command.
#[derive(Debug)]
pub(crate) struct Report {
    /// For standard output.
    pub(crate) text: String,
    /// Lines for standard error.
    pub(crate) errors: Vec<String>,
    /// Code to end with.
    pub(crate) exit: ExitCode,
}

impl Report {
    /// All is well.
    pub(crate) fn ok(text: impl Into<String>) -> Self {
        Self { text: text.into(), errors: Vec::new(), exit: ExitCode::Ok }
    }

    /// All is well: the reply as JSON, or the text made for people.
    pub(crate) fn shown(form: Form, reply: &Reply, text: impl Into<String>) -> Self {
        Self::ok(match form {
            Form::Json => json_line(reply),
            Form::Text => text.into(),
        })
    }

    /// The reply as lines `path: value`, or its refusal.
    pub(crate) fn flattened(form: Form, reply: &Reply) -> Self {
        if !reply.is_ok() {
            return Self::refused(form, reply);
        }
        let text = match serde_json::from_str(&reply.text) {
            Ok(value) => flatten(&value),
            Err(_) => plain(&reply.text),
        };
        Self::shown(form, reply, text)
    }

    /// The entry refused a call that is not about a job.
    pub(crate) fn refused(form: Form, reply: &Reply) -> Self {
        let text = if form == Form::Json { json_line(reply) } else { String::new() };
        let (step, peer) = (reply.call.step, &reply.call.peer);
        if let Ok(body) = reply.body::<FieldErrorsBody>() {
            let line = |error: &_| format!("{step}: refused by {peer}: {error}");
            let errors = body.errors.iter().map(line).collect();
            return Self { text, errors, exit: ExitCode::Invalid };
        }
        let line = match reply.status {
            409 | 412 => format!("{step}: conflict at {peer}: {}", conflict(reply)),
            status => match reply.body::<AnswerBody>() {
                Ok(answer) => format!("{step}: {peer}: {}", sentence(&answer)),
                Err(_) => format!("{step}: {peer}: HTTP {status}: {}", shortened(&reply.text)),
            },
        };
        Self { text, errors: vec![line], exit: refusal_code(reply) }
    }

    /// The answer to a caller about a job or request.
    pub(crate) fn answered(form: Form, reply: &Reply) -> Self {
        let Ok(answer) = reply.body::<AnswerBody>() else {
            return Self::refused(form, reply);
        };
        let exit = ExitCode::of_answer(answer.outcome, answer.reason, reply.status);
        let text = if form == Form::Json { json_line(reply) } else { answer_text(&answer) };
        let line = || format!("{}: {}: {}", reply.call.step, reply.call.peer, sentence(&answer));
        let errors = if exit == ExitCode::Ok { Vec::new() } else { vec![line()] };
        Self { text, errors, exit }
    }
}

/// The code of a refused call: of its answer if it has one, else of its status.
fn refusal_code(reply: &Reply) -> ExitCode {
    match reply.body::<AnswerBody>() {
        Ok(answer) => ExitCode::of_answer(answer.outcome, answer.reason, reply.status),
        Err(_) => ExitCode::of_status(reply.status),
    }
}

fn conflict(reply: &Reply) -> String {
    match reply.body::<ConflictBody>() {
        Ok(ConflictBody { revision: Some(revision), published_by: Some(by), .. }) => {
            format!("revision {revision}, published by {by}, is in force")
        }
        Ok(ConflictBody { revision: Some(revision), detail: Some(detail), .. }) => {
            format!("revision {revision}: {detail}")
        }
        Ok(ConflictBody { revision: Some(revision), .. }) => {
            format!("revision {revision} is in force")
        }
        Ok(ConflictBody { revision: None, .. }) => "nothing is published".to_owned(),
        Err(_) => shortened(&reply.text),
    }
}

/// One line about an answer: outcome, reason, step, peer and advice.
fn sentence(answer: &AnswerBody) -> String {
    let outcome = answer.outcome.map_or("refused", Outcome::name);
    let mut line = format!("{outcome}, {}", answer.reason);
    let mut push = |part: String| line.push_str(&part);
    if let Some(step) = answer.step {
        push(format!(" at step {}", format!("{step:?}").to_lowercase()));
    }
    if let Some(peer) = &answer.peer {
        push(format!(" at {peer}"));
    }
    if let Some(detail) = &answer.detail {
        push(format!(": {detail}"));
    }
    if let Some(retry_after_ms) = answer.retry_after_ms {
        push(format!("; come back in {retry_after_ms} ms"));
    }
    line
}

fn answer_text(answer: &AnswerBody) -> String {
    let mut text = String::new();
    // Writing to a `String` cannot fail.
    let mut push = |name: &str, value: &str| {
        let _ = writeln!(text, "{name}: {}", plain(value));
    };
    if let Some(id) = &answer.id {
        push("id", id);
    }
    if let Some(outcome) = answer.outcome {
        push("outcome", outcome.name());
    }
    push("reason", answer.reason.name());
    if let Some(tasks_started) = answer.tasks_started {
        push("tasks_started", &tasks_started.to_string());
    }
    for (index, result) in answer.results.iter().enumerate() {
        push(&format!("results[{index}]"), result.get());
    }
    text
}

fn json_line(reply: &Reply) -> String {
    format!("{}\n", reply.text.trim_end())
}

fn shortened(text: &str) -> String {
    if text.is_empty() {
        return "no body".to_owned();
    }
    text.chars().take(MAX_BODY_CHARS).collect()
}
