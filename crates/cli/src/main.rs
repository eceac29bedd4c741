//! `sycamorerail`: the command line of operators and callers.

mod api;
mod commands;
mod config;
mod entry;
mod error;
mod exit_codes;
mod options;
mod output;
mod report;

use {
    crate::{config::Config, error::CliError, exit_codes::ExitCode, options::Options},
    argh::{EarlyExit, FromArgs},
    std::io::{self, Write},
};

/// Name of the command in help and usage.
const COMMAND_NAME: &str = "sycamorerail";

fn main() -> std::process::ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args = options::in_parser_order(&args);
    let args: Vec<_> = args.iter().map(String::as_str).collect();
    let code = match Options::from_args(&[COMMAND_NAME], &args) {
        Ok(options) => run(&options),
        Err(exit) => exit_early(&exit),
    };
    code.into()
}

fn exit_early(exit: &EarlyExit) -> ExitCode {
    if exit.status.is_ok() {
        return print(&exit.output);
    }
    let lines: Vec<_> = exit.output.lines().filter(|line| !line.is_empty()).collect();
    output::complain(&lines.join("; "));
    ExitCode::Usage
}

fn run(options: &Options) -> ExitCode {
    match resolve_and_run(options) {
        Ok(report) => {
            let printed = print(&report.text);
            report.errors.iter().for_each(|line| output::complain(line));
            if printed == ExitCode::Ok { report.exit } else { printed }
        }
        Err(err) => {
            output::complain(&format!("{err:#}"));
            err.downcast_ref().map_or(ExitCode::General, CliError::exit_code)
        }
    }
}

fn resolve_and_run(options: &Options) -> eyre::Result<report::Report> {
    let config = Config::resolve(options, &|name| std::env::var(name).ok())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(commands::run(&options.command, &config))
}

fn print(text: &str) -> ExitCode {
    let mut stdout = io::stdout().lock();
    match stdout.write_all(text.as_bytes()).and_then(|()| stdout.flush()) {
        Ok(()) => ExitCode::Ok,
        // The reader has what it wants, as `head` does.
        Err(err) if err.kind() == io::ErrorKind::BrokenPipe => ExitCode::Ok,
        Err(err) => {
            output::complain(&format!("cannot write to standard output: {err}"));
            ExitCode::General
        }
    }
}
