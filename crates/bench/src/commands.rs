//! Carries out the commands.

use {
    crate::{
        layout,
        options::{
            Command, LayoutOptions, PolicyOptions, ReportOptions, RunOptions, SampleOptions,
            SlopesOptions,
        },
        policy::{self, ModelSettings},
        report,
        results::RunResult,
        run, sample,
        scenario::Scenario,
        slopes,
    },
    eyre::{WrapErr, ensure},
    serde::{Serialize, de::DeserializeOwned},
    std::{
        fs,
        path::{Path, PathBuf},
        process::ExitCode,
    },
};

/// Threads of the load.
const THREADS: usize = 2;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// As asked.
    Done,
    /// An error, told on standard error.
    Failed,
    /// The run found a broken promise.
    Violated,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        match exit {
            Exit::Done => Self::SUCCESS,
            Exit::Failed => Self::from(1),
            Exit::Violated => Self::from(4),
        }
    }
}

/// Carries out a command.
///
/// # Errors
///
/// When a file cannot be read or written, or the processes are not there.
pub fn carry_out(command: Command) -> eyre::Result<Exit> {
    match command {
        Command::Layout(options) => lay_out(&options),
        Command::Publish(options) => block_on(run::publish(&options.dir)).map(|()| Exit::Done),
        Command::Run(options) => run_load(&options),
        Command::Sample(options) => take_sample(&options),
        Command::Report(options) => make_report(&options),
        Command::Slopes(options) => fit_slopes(&options),
        Command::Policy(options) => play_policy(&options),
    }
}

fn lay_out(options: &LayoutOptions) -> eyre::Result<Exit> {
    let path = options.scenario.display().to_string();
    let yaml = fs::read_to_string(&options.scenario).wrap_err(path.clone())?;
    let mut scenario = Scenario::parse(&yaml).wrap_err(path)?;
    scenario.seed = options.seed.unwrap_or(scenario.seed);
    scenario.arrivals.load = options.load.unwrap_or(scenario.arrivals.load);
    let sizes = &mut scenario.sizes;
    sizes.entries = options.entries.or(sizes.entries);
    sizes.upstreams = options.upstreams.or(sizes.upstreams);
    sizes.organisations = options.organisations.or(sizes.organisations);
    scenario.check()?;
    layout::lay_out(&scenario, &options.dir, options.port_base)?;
    Ok(Exit::Done)
}

fn run_load(options: &RunOptions) -> eyre::Result<Exit> {
    let result = block_on(run::run(&options.dir, &options.build))?;
    write_json(&options.out, &result)?;
    println!("{}", report::markdown::header());
    println!("{}", report::markdown::row(&report::Group::of_one(&result)));
    let violated = result.violations.total() > 0 || result.invariant_breaches > 0.0;
    if violated {
        println!("broken promises: {:?}", result.violations);
    }
    Ok(if violated { Exit::Violated } else { Exit::Done })
}

fn take_sample(options: &SampleOptions) -> eyre::Result<Exit> {
    let sample = block_on(sample::take(&options.dir, options.window_ms))?;
    write_json(&options.out, &sample)?;
    Ok(Exit::Done)
}

fn make_report(options: &ReportOptions) -> eyre::Result<Exit> {
    let results: Vec<RunResult> = read_all(&options.results)?;
    let groups = report::groups(&results);
    let text = if options.markdown {
        let details = report::markdown::details(&groups);
        format!("{}\n{details}", report::markdown::table(&groups))
    } else {
        report::html::page(&groups)
    };
    match &options.out {
        Some(path) => fs::write(path, text).wrap_err_with(|| path.display().to_string())?,
        None => print!("{text}"),
    }
    Ok(Exit::Done)
}

fn fit_slopes(options: &SlopesOptions) -> eyre::Result<Exit> {
    let by = options.by.parse()?;
    let points: Vec<sample::Point> = read_all(&options.points)?;
    let fits = slopes::fit(&points, by);
    print!("{}", slopes::markdown(&fits, by));
    if let Some(path) = &options.out {
        write_json(path, &fits)?;
    }
    Ok(Exit::Done)
}

fn play_policy(options: &PolicyOptions) -> eyre::Result<Exit> {
    ensure!(options.seeds > 0, "--seeds: must be at least 1");
    let is_count_right = matches!(options.settings.len(), 1 | 2);
    ensure!(is_count_right, "settings: name one file, or two to compare");
    let models = options.settings.iter().map(|path| read_model(path));
    let models = models.collect::<eyre::Result<Vec<_>>>()?;
    let played: Vec<_> =
        models.iter().map(|model| policy::report::play_seeds(model, options.seeds)).collect();
    for (model, played) in models.iter().zip(&played) {
        println!("{}", policy::report::markdown(model, played));
    }
    if let ([first, second], [one, other]) = (&*models, &*played) {
        print!("{}", policy::report::compare([&first.name, &second.name], one, other));
    }
    if let Some(path) = &options.out {
        let page = policy::report::html(&models[0], &played[0]);
        fs::write(path, page).wrap_err_with(|| path.display().to_string())?;
    }
    Ok(Exit::Done)
}

fn read_model(path: &Path) -> eyre::Result<ModelSettings> {
    let yaml = fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
    ModelSettings::parse(&yaml).wrap_err_with(|| path.display().to_string())
}

fn read_all<T: DeserializeOwned>(paths: &[PathBuf]) -> eyre::Result<Vec<T>> {
    let read = |path: &PathBuf| {
        let text = fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
        serde_json::from_str(&text).wrap_err_with(|| path.display().to_string())
    };
    paths.iter().map(read).collect()
}

fn write_json(path: &Path, value: &impl Serialize) -> eyre::Result<()> {
    let text = serde_json::to_string_pretty(value)?;
    fs::write(path, text).wrap_err_with(|| path.display().to_string())
}

fn block_on<T>(future: impl Future<Output = eyre::Result<T>>) -> eyre::Result<T> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.worker_threads(THREADS).enable_all().build()?.block_on(future)
}
