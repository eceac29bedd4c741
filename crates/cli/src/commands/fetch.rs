//! `fetch`: the answer to a job or request, at once or once it is decided.

use {
    crate::{
        api::AnswerBody,
        commands::job_path,
        config::Config,
        entry::{Entry, Reply},
        options::Fetch,
        report::Report,
    },
    reqwest::Method,
    std::time::{Duration, Instant},
    sycamorerail_wire::answer::Outcome,
};

/// Pause before the next fetch where the answer names none.
const DEFAULT_PAUSE_MS: u64 = 500;
/// Shortest pause, whatever the answer says.
const MIN_PAUSE_MS: u64 = 20;

pub(crate) async fn run(options: &Fetch, config: &Config) -> eyre::Result<Report> {
    let entry = Entry::new(config)?;
    let path = job_path(&options.id)?;
    let started = Instant::now();
    loop {
        let reply = entry.send("fetch", entry.request(Method::GET, &path)).await?;
        let waited_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        match next_fetch_ms(&reply, options.wait_ms.saturating_sub(waited_ms)) {
            Some(pause_ms) => tokio::time::sleep(Duration::from_millis(pause_ms)).await,
            None => return Ok(Report::answered(config.form, &reply)),
        }
    }
}

/// The pause before another fetch, or `None` if this reply is to be shown.
fn next_fetch_ms(reply: &Reply, left_ms: u64) -> Option<u64> {
    let answer: AnswerBody = reply.body().ok()?;
    if answer.outcome != Some(Outcome::InDoubt) || left_ms == 0 {
        return None;
    }
    let pause_ms = answer.retry_after_ms.unwrap_or(DEFAULT_PAUSE_MS).max(MIN_PAUSE_MS);
    Some(pause_ms.min(left_ms))
}
