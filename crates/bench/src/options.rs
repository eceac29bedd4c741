//! The command line.

use {argh::FromArgs, std::path::PathBuf};

/// Runs scenarios of load and faults against processes that are running, and
/// reports how far the response times are from the ideal.
#[derive(Debug, FromArgs)]
pub struct Options {
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Lay out a directory.
    Layout(LayoutOptions),
    /// Publish its templates.
    Publish(PublishOptions),
    /// Run the load.
    Run(RunOptions),
    /// Measure idle processes.
    Sample(SampleOptions),
    /// Report on results.
    Report(ReportOptions),
    /// Fit lines through results.
    Slopes(SlopesOptions),
    /// Play the decisions in virtual time.
    Policy(PolicyOptions),
}

/// Write settings, keys, tokens and templates for a scenario into a directory.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "layout")]
pub struct LayoutOptions {
    /// scenario, in YAML
    #[argh(option)]
    pub scenario: PathBuf,
    /// directory to write
    #[argh(option)]
    pub dir: PathBuf,
    /// first port tried; default one at random
    #[argh(option, default = "crate::layout::random_port_base()")]
    pub port_base: u16,
    /// seed in place of the scenario's
    #[argh(option)]
    pub seed: Option<u64>,
    /// share of the slots that the load fills, in place of the scenario's
    #[argh(option)]
    pub load: Option<f64>,
    /// entries, in place of the scenario's
    #[argh(option)]
    pub entries: Option<u16>,
    /// upstreams with their agents, in place of the scenario's
    #[argh(option)]
    pub upstreams: Option<u16>,
    /// organisations, in place of the scenario's
    #[argh(option)]
    pub organisations: Option<u16>,
}

/// Publish the templates of a directory and wait until all processes are ready.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct PublishOptions {
    /// directory
    #[argh(option)]
    pub dir: PathBuf,
}

/// Run the load and the fault script of a directory's scenario. Exits with 4
/// when a promise was broken.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub struct RunOptions {
    /// directory
    #[argh(option)]
    pub dir: PathBuf,
    /// file of the result, in JSON
    #[argh(option)]
    pub out: PathBuf,
    /// what was built, for the report
    #[argh(option, default = "String::from(\"unknown\")")]
    pub build: String,
}

/// Measure what idle processes use and send.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "sample")]
pub struct SampleOptions {
    /// directory
    #[argh(option)]
    pub dir: PathBuf,
    /// length of the measured time; default 20000
    #[argh(option, default = "20_000")]
    pub window_ms: u64,
    /// file of the sample, in JSON
    #[argh(option)]
    pub out: PathBuf,
}

/// Report on result files as HTML, or as rows of a Markdown table. Results of
/// one scenario, policy and load are taken together: the median of seeds, with
/// the least and the most.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "report")]
pub struct ReportOptions {
    /// print Markdown rows instead of HTML
    #[argh(switch)]
    pub markdown: bool,
    /// file to write; default is the standard output
    #[argh(option)]
    pub out: Option<PathBuf>,
    /// result files
    #[argh(positional)]
    pub results: Vec<PathBuf>,
}

/// Fit lines through results and samples: what each process uses and sends, by
/// one of agents, entries, organisations, starts_per_s or kept_answers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "slopes")]
pub struct SlopesOptions {
    /// what the lines run along
    #[argh(option)]
    pub by: String,
    /// file of the fits, in JSON; the table goes to the standard output
    #[argh(option)]
    pub out: Option<PathBuf>,
    /// files of `run` and `sample`
    #[argh(positional)]
    pub points: Vec<PathBuf>,
}

/// Play the decisions of entries and agents in virtual time, without processes: what
/// becomes of a load under faults, by kind and by second. With two settings they are
/// compared over the same seeds.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "policy")]
pub struct PolicyOptions {
    /// seeds to play, from 1 up; default 5
    #[argh(option, default = "5")]
    pub seeds: u64,
    /// write an HTML page with a plot by second to this file
    #[argh(option)]
    pub out: Option<PathBuf>,
    /// settings of one model, or of two to compare, in YAML
    #[argh(positional)]
    pub settings: Vec<PathBuf>,
}
