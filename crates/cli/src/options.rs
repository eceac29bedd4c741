//! The command line, with help for its users.

use {crate::output::Form, argh::FromArgs, std::path::PathBuf};

/// Options that may stand anywhere on the command line.
const GLOBAL_OPTIONS: &[&str] = &["--entry", "--token", "--output", "--timeout-ms"];

/// Ends the options of a command.
const END_OF_OPTIONS: &str = "--";
/// Standard input in place of a file; the parser would take it as an option.
const STDIN: &str = "-";

/// Puts arguments into the order that the parser wants: the options of all
/// commands before the command, `-` after `--`. Nothing after `--` is moved.
pub(crate) fn in_parser_order(args: &[String]) -> Vec<String> {
    let mut globals = Vec::new();
    let mut others = Vec::new();
    let mut last = Vec::new();
    let mut rest = args.iter();
    while let Some(arg) = rest.next() {
        if arg == END_OF_OPTIONS {
            last.extend(rest.by_ref().cloned());
        } else if arg == STDIN {
            last.push(arg.clone());
        } else if GLOBAL_OPTIONS.contains(&arg.as_str()) {
            globals.push(arg.clone());
            globals.extend(rest.next().cloned());
        } else {
            others.push(arg.clone());
        }
    }
    globals.extend(others);
    if !last.is_empty() {
        globals.push(END_OF_OPTIONS.to_owned());
    }
    globals.extend(last);
    globals
}

/// Publishes templates, shows what is in force, and submits jobs.
#[derive(Debug, FromArgs)]
#[argh(
    note = "The options of all commands may stand before or after the command.",
    example = "Check and publish a first template:\n  {command_name} check template alpenfunk.yaml\n  {command_name} publish --create alpenfunk.yaml",
    example = "Submit a job of two tasks:\n  {command_name} submit --kind reach-check --task '{{\"post\":1}}' --task '{{\"post\":2}}'",
    example = "Make a token; give its SHA-256 to the operators:\n  {command_name} keys token",
    error_code(1, "a fault of this machine, as a file that cannot be written"),
    error_code(2, "the options are wrong"),
    error_code(3, "settings, a template or a submission are invalid"),
    error_code(4, "diff: the texts differ"),
    error_code(10, "the job or request definitely failed"),
    error_code(11, "it was not run, and never will be under this id"),
    error_code(12, "unknown: it may have run, or the change may have taken effect"),
    error_code(13, "in doubt: come back later"),
    error_code(14, "conflict: another change or another body was first"),
    error_code(15, "not found"),
    error_code(16, "the token is missing, unknown, or does not allow this"),
    error_code(17, "the entry cannot be reached; nothing was sent"),
    error_code(18, "the entry refused for now")
)]
pub(crate) struct Options {
    /// base URL of an entry, or of the balancer before them; else
    /// $SYCAMORERAIL_ENTRY, else http://127.0.0.1:8080
    #[argh(option, arg_name = "url")]
    pub(crate) entry: Option<String>,

    /// bearer token; better in $SYCAMORERAIL_TOKEN, which other users of the
    /// machine cannot see
    #[argh(option)]
    pub(crate) token: Option<String>,

    /// text (for people) or json (as the entry sent it)
    #[argh(option, default = "Form::Text")]
    pub(crate) output: Form,

    /// longest wait for an answer; 70000 where none is given
    #[argh(option)]
    pub(crate) timeout_ms: Option<u64>,

    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// The commands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    /// Checks files.
    Check(Check),
    /// Makes keys.
    Keys(Keys),
    /// Publishes a template.
    Publish(Publish),
    /// Compares a template.
    Diff(Diff),
    /// Lists revisions.
    History(History),
    /// Publishes an earlier revision again.
    Rollback(Rollback),
    /// Deletes a template.
    Delete(Delete),
    /// Lists organisations.
    Organisations(Organisations),
    /// Shows the revisions in force.
    Rollout(Rollout),
    /// Evacuates a data centre.
    Evacuate(Evacuate),
    /// Takes a data centre back.
    Restore(Restore),
    /// Shows entries, upstreams and evacuations.
    Status(Status),
    /// Submits a job or request.
    Submit(Submit),
    /// Fetches an answer.
    Fetch(Fetch),
    /// Cancels a job.
    Cancel(Cancel),
    /// Drains an entry.
    Drain(Drain),
}

/// Checks settings or templates, without calling any entry.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    note = "Prints one line for each error: file, field, what was found, what is allowed.",
    example = "{command_name} entry /etc/sycamorerail/entry.yaml",
    example = "{command_name} template alpenfunk.yaml rangmancha.yaml"
)]
pub(crate) struct Check {
    /// entry, agent, platform-standin, upstream-standin or template
    #[argh(positional)]
    pub(crate) what: Checked,

    /// files in YAML
    #[argh(positional)]
    pub(crate) files: Vec<PathBuf>,
}

/// What a checked file holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Checked {
    /// Settings of an entry.
    Entry,
    /// Settings of an agent.
    Agent,
    /// Settings of the platform's stand-in.
    PlatformStandin,
    /// Settings of an upstream stand-in.
    UpstreamStandin,
    /// A template.
    Template,
}

impl std::str::FromStr for Checked {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "entry" => Ok(Self::Entry),
            "agent" => Ok(Self::Agent),
            "platform-standin" => Ok(Self::PlatformStandin),
            "upstream-standin" => Ok(Self::UpstreamStandin),
            "template" => Ok(Self::Template),
            other => Err(format!(
                "found {other:?}; allowed: entry, agent, platform-standin, upstream-standin, \
                 template"
            )),
        }
    }
}

/// Makes the keys of a cluster's processes, and tokens.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "keys",
    example = "Keys of a new cluster with one entry and one agent:\n  {command_name} authority --cluster alpenfunk --dir keys\n  {command_name} issue --role entry --name entry-1 --dir keys\n  {command_name} issue --role agent --name agent-1 --dir keys"
)]
pub(crate) struct Keys {
    #[argh(subcommand)]
    pub(crate) command: KeysCommand,
}

/// The commands of `keys`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum KeysCommand {
    /// Makes an authority.
    Authority(KeysAuthority),
    /// Issues a process's keys.
    Issue(KeysIssue),
    /// Makes a token.
    Token(KeysToken),
}

/// Makes a cluster's authority: authority.pem, which every process gets, and
/// authority.key.pem, which none gets. Existing files are not overwritten.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "authority", example = "{command_name} --cluster alpenfunk --dir keys")]
pub(crate) struct KeysAuthority {
    /// name of the cluster
    #[argh(option)]
    pub(crate) cluster: String,

    /// directory for the files
    #[argh(option)]
    pub(crate) dir: PathBuf,
}

/// Issues the keys of one process: <name>.pem and <name>.key.pem, beside the
/// authority's files. Existing files are not overwritten.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "issue",
    example = "{command_name} --role agent --name agent-1 --dir keys"
)]
pub(crate) struct KeysIssue {
    /// entry or agent
    #[argh(option, from_str_fn(role))]
    pub(crate) role: sycamorerail_wire::keys::Role,

    /// name of the process in its settings
    #[argh(option)]
    pub(crate) name: String,

    /// directory with authority.pem and authority.key.pem
    #[argh(option)]
    pub(crate) dir: PathBuf,
}

fn role(text: &str) -> Result<sycamorerail_wire::keys::Role, String> {
    match text {
        "entry" => Ok(sycamorerail_wire::keys::Role::Entry),
        "agent" => Ok(sycamorerail_wire::keys::Role::Agent),
        other => Err(format!("found {other:?}; allowed: entry, agent")),
    }
}

/// Makes a random token and prints it with its SHA-256. The token goes to its
/// user, the SHA-256 into settings or a template. Serves as a cluster's secret
/// too.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "token", example = "{command_name}")]
pub(crate) struct KeysToken {}

/// Publishes a template. Accepted means in force, or on its way to every entry.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "publish",
    note = "Checks the file first. If another change came in between, nothing is published and the error names the revision in force.",
    example = "The first revision:\n  {command_name} --create alpenfunk.yaml",
    example = "A change of revision 4:\n  {command_name} --revision 4 alpenfunk.yaml"
)]
pub(crate) struct Publish {
    /// template in YAML
    #[argh(positional)]
    pub(crate) file: PathBuf,

    /// revision that this changes; see `history`
    #[argh(option)]
    pub(crate) revision: Option<u64>,

    /// nothing is published yet
    #[argh(switch)]
    pub(crate) create: bool,
}

/// Compares a template with the published one. Ends with 0 if they are the same
/// and 4 if they differ.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "diff",
    example = "{command_name} alpenfunk.yaml",
    example = "{command_name} --revision 3 alpenfunk.yaml"
)]
pub(crate) struct Diff {
    /// template in YAML
    #[argh(positional)]
    pub(crate) file: PathBuf,

    /// revision to compare with, in place of the one in force
    #[argh(option)]
    pub(crate) revision: Option<u64>,
}

/// Lists the kept revisions of an organisation's template.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history", example = "{command_name} alpenfunk")]
pub(crate) struct History {
    /// organisation
    #[argh(positional)]
    pub(crate) organisation: String,
}

/// Publishes the text of an earlier revision again, as a new revision.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rollback", example = "{command_name} alpenfunk --to 3 --revision 4")]
pub(crate) struct Rollback {
    /// organisation
    #[argh(positional)]
    pub(crate) organisation: String,

    /// revision to go back to
    #[argh(option)]
    pub(crate) to: u64,

    /// revision in force
    #[argh(option)]
    pub(crate) revision: u64,
}

/// Deletes an organisation's template. Its callers are refused from then on.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "delete", example = "{command_name} alpenfunk --revision 4")]
pub(crate) struct Delete {
    /// organisation
    #[argh(positional)]
    pub(crate) organisation: String,

    /// revision in force
    #[argh(option)]
    pub(crate) revision: u64,
}

/// Lists the organisations with a template.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "organisations", example = "{command_name}")]
pub(crate) struct Organisations {}

/// Shows, by entry, which revision of each template is in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rollout", example = "{command_name}")]
pub(crate) struct Rollout {}

/// Evacuates a data centre: its upstreams get nothing more, what waits there is run
/// elsewhere, and what runs goes on. Says nothing new if it is evacuated already.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "evacuate",
    note = "`status` shows whether upstreams there still run something.",
    example = "{command_name} north"
)]
pub(crate) struct Evacuate {
    /// data centre, as in the settings of entries and agents
    #[argh(positional)]
    pub(crate) data_centre: String,

    /// also if no entry or agent on record is in it
    #[argh(switch)]
    pub(crate) unknown: bool,
}

/// Takes an evacuated data centre back. Says nothing new if it is not evacuated.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "restore", example = "{command_name} north")]
pub(crate) struct Restore {
    /// data centre, as in the settings of entries and agents
    #[argh(positional)]
    pub(crate) data_centre: String,

    /// also if no entry or agent on record is in it
    #[argh(switch)]
    pub(crate) unknown: bool,
}

/// Shows an entry's view of entries, agents and upstreams, and the evacuated data centres
/// with the upstreams there that still run something.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status", example = "{command_name}")]
pub(crate) struct Status {}

/// Submits a job (tasks) or a request (one payload), and waits for the answer.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "submit",
    note = "Reserves an id first. If the answer is lost, send the same again with --id: it runs at most once.",
    example = "A job of two tasks:\n  {command_name} --kind reach-check --task '{{\"post\":1}}' --task '{{\"post\":2}}'",
    example = "A request:\n  {command_name} --kind post-confirmation --payload '{{\"post\":1}}'",
    example = "A body as of the HTTP interface, from a file or - for standard input:\n  {command_name} job.json",
    example = "Under the caller's own key, a UUID of version 7:\n  {command_name} --key 0197c0de-7a3b-7cc1-98c4-dc0c0c07398f job.json"
)]
pub(crate) struct Submit {
    /// body in JSON, a file or - for standard input
    #[argh(positional)]
    pub(crate) file: Option<String>,

    /// request kind
    #[argh(option)]
    pub(crate) kind: Option<String>,

    /// payload of one task of a job, in JSON; may be repeated
    #[argh(option)]
    pub(crate) task: Vec<String>,

    /// payload of a request, in JSON
    #[argh(option)]
    pub(crate) payload: Option<String>,

    /// longest time to the answer; else the kind's
    #[argh(option)]
    pub(crate) deadline_ms: Option<u32>,

    /// id reserved before, as of a submission whose answer was lost
    #[argh(option)]
    pub(crate) id: Option<String>,

    /// the caller's own key, a UUID of version 7, in place of an id
    #[argh(option)]
    pub(crate) key: Option<String>,
}

/// Fetches the answer to a job or request.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "fetch",
    example = "{command_name} AAAAAAAA...",
    example = "Until it is decided, for at most a minute:\n  {command_name} --wait-ms 60000 AAAAAAAA..."
)]
pub(crate) struct Fetch {
    /// id, as `submit` printed it
    #[argh(positional)]
    pub(crate) id: String,

    /// fetch again for this long while the answer is in doubt
    #[argh(option, default = "0")]
    pub(crate) wait_ms: u64,
}

/// Cancels a job or request. The answer says what came of it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "cancel", example = "{command_name} AAAAAAAA...")]
pub(crate) struct Cancel {
    /// id, as `submit` printed it
    #[argh(positional)]
    pub(crate) id: String,
}

/// Drains the entry: it takes nothing new, ends what it has, and stops.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain", example = "{command_name} --entry http://10.20.1.10:8080")]
pub(crate) struct Drain {}
