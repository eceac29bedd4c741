//! `sycamorerail-bench`: load and experiments over the real processes.

use {
    std::process::ExitCode,
    sycamorerail_bench::{commands, options::Options},
};

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    match commands::carry_out(options.command) {
        Ok(exit) => exit.into(),
        Err(err) => {
            eprintln!("{}", format!("{err:#}").replace('\n', " "));
            commands::Exit::Failed.into()
        }
    }
}
