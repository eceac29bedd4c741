//! Errors of the command line, with the step and the peer.

use {
    crate::exit_codes::ExitCode,
    std::{fmt, io, path::PathBuf},
    sycamorerail_wire::keys::KeyError,
};

/// Why a command could not be carried out.
#[derive(Debug)]
pub(crate) enum CliError {
    /// The options are wrong: the option, and what is allowed.
    Usage(String),
    /// A file could not be read.
    Read(PathBuf, io::Error),
    /// A file could not be written.
    Write(PathBuf, io::Error),
    /// A key could not be made.
    Keys(KeyError),
    /// A submission is malformed: where it came from, and how.
    Submission(String, serde_json::Error),
    /// The entry could not be reached; nothing was sent.
    Unreachable(Call, String),
    /// The call was sent and no whole answer came.
    NoAnswer(Call, String),
    /// The answer is not what this command understands.
    Answer(Call, String),
}

/// The call at which an error arose.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// Step, as the command names it.
    pub(crate) step: &'static str,
    /// Base URL of the entry.
    pub(crate) peer: String,
    /// What the user may do now, if anything is known.
    pub(crate) advice: Option<String>,
}

impl fmt::Display for Advice<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0.advice {
            Some(advice) => write!(f, "; {advice}"),
            None => Ok(()),
        }
    }
}

/// The end of an error line.
struct Advice<'a>(&'a Call);

impl CliError {
    /// Adds what the user may do now to an error of a call.
    pub(crate) fn advise(mut self, text: impl Into<String>) -> Self {
        if let Self::Unreachable(call, _) | Self::NoAnswer(call, _) | Self::Answer(call, _) =
            &mut self
        {
            call.advice = Some(text.into());
        }
        self
    }

    /// The code to end with.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::Usage(_) => ExitCode::Usage,
            Self::Read(..) | Self::Write(..) => ExitCode::General,
            Self::Keys(_) | Self::Submission(..) => ExitCode::Invalid,
            Self::Unreachable(..) => ExitCode::Unreachable,
            Self::NoAnswer(..) | Self::Answer(..) => ExitCode::Unknown,
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(text) => f.write_str(text),
            Self::Read(path, err) => write!(f, "cannot read {}: {err}", path.display()),
            Self::Write(path, err) => write!(f, "cannot write {}: {err}", path.display()),
            Self::Keys(err) => err.fmt(f),
            Self::Submission(origin, err) => write!(f, "submission from {origin}: {err}"),
            Self::Unreachable(call, why) => {
                let Call { step, peer, .. } = call;
                write!(f, "{step}: cannot reach {peer}: {why}; nothing was sent{}", Advice(call))
            }
            Self::NoAnswer(call, why) => {
                let Call { step, peer, .. } = call;
                write!(
                    f,
                    "{step}: no answer from {peer}: {why}; it may have arrived{}",
                    Advice(call)
                )
            }
            Self::Answer(call, why) => {
                let Call { step, peer, .. } = call;
                write!(f, "{step}: answer of {peer} not understood: {why}{}", Advice(call))
            }
        }
    }
}

impl std::error::Error for CliError {}
