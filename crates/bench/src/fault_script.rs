//! The fault script: signals to recorded processes, orders to stand-ins.

use {
    crate::{
        client::Client,
        cluster::{self, Cluster, Process, Role, START_DIR},
        scenario::{Fault, FaultStep},
        starts::StartBook,
    },
    eyre::{WrapErr, ensure, eyre},
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{
        fs,
        path::Path,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::Mutex,
};

const FAULTS_PATH: &str = "/standin/faults";
const DEFAULT_STRAGGLER_SHARE: f64 = 0.1;
const DEFAULT_STRAGGLER_FACTOR: f64 = 10.0;
const DEFAULT_LOST_SHARE: f64 = 0.5;

/// A step that was carried out, or was not.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Applied {
    /// When, from the start of the load.
    pub at_ms: u64,
    /// What, of whom.
    pub what: String,
    /// Why it could not be carried out.
    pub error: Option<String>,
}

/// Carries out the script; steps are in the order of their times on return.
pub async fn play(
    steps: Vec<FaultStep>,
    cluster: Arc<Cluster>,
    dir: Arc<Path>,
    client: Client,
    starts: Arc<Mutex<StartBook>>,
    began: Instant,
) -> Vec<Applied> {
    let mut steps = steps;
    steps.sort_by_key(|step| step.at_ms);
    let mut applied = Vec::new();
    for step in steps {
        let due = began + Duration::from_millis(u64::from(step.at_ms));
        tokio::time::sleep_until(due.into()).await;
        let at_ms = began.elapsed().as_millis() as u64;
        let result = apply(&step, &cluster, &dir, &client, &starts).await;
        let what = format!("{} {}", fault_name(step.fault), step.target);
        applied.push(Applied { at_ms, what, error: result.err().map(|err| format!("{err:#}")) });
    }
    applied
}

/// Gives every stand-in its usual behaviour back.
pub async fn heal_all(cluster: &Cluster, client: &Client) {
    for process in &cluster.processes {
        if matches!(process.role, Role::Platform | Role::Upstream) {
            // One that died needs no healing.
            let _ = client.post_json(process.http_address, FAULTS_PATH, &json!({})).await;
        }
    }
}

async fn apply(
    step: &FaultStep,
    cluster: &Cluster,
    dir: &Path,
    client: &Client,
    starts: &Mutex<StartBook>,
) -> eyre::Result<()> {
    for process in cluster.targets(&step.target)? {
        if step.fault == Fault::Kill && process.role == Role::Upstream {
            starts.lock().await.before_kill(client, process).await;
        }
        match signal(step.fault) {
            Some(signal) => send(dir, process, signal)?,
            None if step.fault == Fault::Start => request_start(dir, process)?,
            None => order(step, process, client).await?,
        }
    }
    Ok(())
}

fn signal(fault: Fault) -> Option<Signal> {
    match fault {
        Fault::Kill => Some(Signal::SIGKILL),
        Fault::Freeze => Some(Signal::SIGSTOP),
        Fault::Thaw => Some(Signal::SIGCONT),
        Fault::Stop => Some(Signal::SIGTERM),
        _ => None,
    }
}

fn send(dir: &Path, process: &Process, signal: Signal) -> eyre::Result<()> {
    let name = &process.name;
    let pid = cluster::pid(dir, name).ok_or_else(|| eyre!("{name}: no recorded process id"))?;
    kill(Pid::from_raw(pid), signal).wrap_err_with(|| format!("{signal} to {name}, {pid}"))
}

fn request_start(dir: &Path, process: &Process) -> eyre::Result<()> {
    fs::write(dir.join(START_DIR).join(&process.name), "")
        .wrap_err_with(|| format!("start of {}", process.name))
}

async fn order(step: &FaultStep, process: &Process, client: &Client) -> eyre::Result<()> {
    let (role, faults) = faults_of(step);
    let fits = role.is_none_or(|role| role == process.role);
    ensure!(fits, "{}: not a fault of {}", fault_name(step.fault), process.name);
    let body = json!({"faults": faults});
    client.post_json(process.http_address, FAULTS_PATH, &body).await
}

/// Whose fault it is, and what the stand-in is told.
fn faults_of(step: &FaultStep) -> (Option<Role>, Value) {
    match step.fault {
        Fault::UpstreamFailsEverything => (Some(Role::Upstream), json!({"fail_everything": true})),
        Fault::Stragglers => {
            let share = step.share.unwrap_or(DEFAULT_STRAGGLER_SHARE);
            let factor = step.factor.unwrap_or(DEFAULT_STRAGGLER_FACTOR);
            let faults = json!({"straggler_share": share, "straggler_factor": factor});
            (Some(Role::Upstream), faults)
        }
        Fault::PlatformOut => (Some(Role::Platform), json!({"hang": true})),
        Fault::PlatformSlow => (Some(Role::Platform), json!({"delay_ms": step.delay_ms})),
        Fault::PlatformLoseAnswers => {
            let share = step.share.unwrap_or(DEFAULT_LOST_SHARE);
            (Some(Role::Platform), json!({"lose_answers": share}))
        }
        _ => (None, json!({})),
    }
}

fn fault_name(fault: Fault) -> String {
    serde_json::to_value(fault)
        .ok()
        .and_then(|value| value.as_str().map(str::to_owned))
        .unwrap_or_default()
}
