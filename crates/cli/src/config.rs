//! What every command needs, resolved from options and environment.

use {
    crate::{error::CliError, options::Options, output::Form},
    std::time::Duration,
};

/// Variable that holds the bearer token.
const TOKEN_VARIABLE: &str = "SYCAMORERAIL_TOKEN";
/// Variable that holds the entry's base URL.
const ENTRY_VARIABLE: &str = "SYCAMORERAIL_ENTRY";
/// Base URL where neither option nor variable names one.
const DEFAULT_ENTRY: &str = "http://127.0.0.1:8080";
/// Longest wait for an answer: above the longest deadline of a kind.
const DEFAULT_TIMEOUT_MS: u64 = 70_000;

/// Resolved options of all commands.
#[derive(Clone, Debug)]
pub(crate) struct Config {
    /// Base URL of the entry, without a slash at its end.
    pub(crate) entry: String,
    /// Bearer token.
    pub(crate) token: Option<String>,
    /// Form of the output.
    pub(crate) form: Form,
    /// Longest wait for one answer.
    pub(crate) timeout: Duration,
}

impl Config {
    /// Takes options first, then the environment, then defaults.
    pub(crate) fn resolve(
        options: &Options,
        env: &dyn Fn(&str) -> Option<String>,
    ) -> Result<Self, CliError> {
        let entry = options.entry.clone().or_else(|| env(ENTRY_VARIABLE));
        let entry = entry.unwrap_or_else(|| DEFAULT_ENTRY.to_owned());
        if !entry.starts_with("http://") {
            let text = format!("--entry: found {entry:?}; allowed: a URL as {DEFAULT_ENTRY}");
            return Err(CliError::Usage(text));
        }
        Ok(Self {
            entry: entry.trim_end_matches('/').to_owned(),
            token: options.token.clone().or_else(|| env(TOKEN_VARIABLE)),
            form: options.output,
            timeout: Duration::from_millis(options.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS)),
        })
    }
}
