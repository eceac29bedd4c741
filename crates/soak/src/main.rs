//! `sycamorerail-soak`: a long randomised run over real processes.

use {
    std::process::ExitCode,
    sycamorerail_soak::{options::Options, soak},
};

/// How the process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Exit {
    Held = 0,
    Violated = 1,
    Failed = 2,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let options: Options = argh::from_env();
    match soak::run(&options).await {
        Ok(report) => {
            print!("{report}");
            if report.violated() { Exit::Violated.into() } else { Exit::Held.into() }
        }
        Err(err) => {
            eprintln!("{}", format!("sycamorerail-soak: {err:#}").replace('\n', " "));
            Exit::Failed.into()
        }
    }
}
