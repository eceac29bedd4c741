//! The built binaries as child processes on loopback: started, signalled,
//! started again, and ended with the value.

mod waits;

use {
    crate::{
        binaries, http,
        links::Links,
        operator::{Base, Change, Operator},
        plan::{Organisation, Plan},
        process::{ChildProcess, Told, log_tail},
        wait::until,
    },
    eyre::{OptionExt, bail, ensure, eyre},
    nix::sys::signal::Signal,
    parking_lot::Mutex,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::ExitStatus,
        time::Duration,
    },
    sycamorerail_bench::cluster::{Cluster as Layout, Process, Role},
    sycamorerail_telemetry::invariant,
    tempfile::TempDir,
    uuid::Uuid,
};

const TAIL_LINES: usize = 8;
const METRICS_WITHIN: Duration = Duration::from_secs(2);

/// Running processes. Those still running are killed on drop; settings and
/// logs are kept if the thread is panicking.
#[derive(Debug)]
pub struct Cluster {
    directory: Option<TempDir>,
    binaries: PathBuf,
    layout: Layout,
    links: Links,
    organisations: Vec<Organisation>,
    operator: Operator,
    client: reqwest::Client,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    running: BTreeMap<String, ChildProcess>,
    ended: Vec<Ended>,
    keep_files: bool,
}

/// A process that ended.
#[derive(Clone, Debug)]
pub struct Ended {
    /// Its name.
    pub name: String,
    /// What it had been told.
    pub told: Told,
    /// How it ended.
    pub status: ExitStatus,
}

impl Ended {
    /// Whether it ended as told: a planned stop with success, or killed.
    #[must_use]
    pub fn as_told(&self) -> bool {
        match self.told {
            Told::Nothing => false,
            Told::Stop => self.status.success(),
            Told::Kill => true,
        }
    }

    /// Whether it ended itself on a broken invariant.
    #[must_use]
    pub fn broke_invariant(&self) -> bool {
        self.status.code() == Some(invariant::EXIT_CODE)
    }
}

impl Cluster {
    /// Lays out and starts all but the spare processes, and publishes the
    /// templates of both deployments. All are ready and have the templates in
    /// force on return.
    ///
    /// # Errors
    ///
    /// When the binaries are not built, or a process does not get ready.
    pub async fn start(plan: &Plan) -> eyre::Result<Self> {
        Self::start_from(plan, binaries::directory()?).await
    }

    /// The same with the binaries of another directory.
    ///
    /// # Errors
    ///
    /// When the binaries are not there, or a process does not get ready.
    pub async fn start_from(plan: &Plan, binaries: PathBuf) -> eyre::Result<Self> {
        let cluster = Self::lay_out(plan, binaries).await?;
        let spares = cluster.spares(plan);
        let names = cluster.layout.processes.iter().map(|process| process.name.clone());
        let first: Vec<String> = names.filter(|name| !spares.contains(name)).collect();
        let (platform, others) = first.split_first().ok_or_eyre("no process laid out")?;
        cluster.run(platform)?;
        cluster.wait_ready(platform).await?;
        for name in others {
            cluster.run(name)?;
        }
        let entries = cluster.running(Role::Entry);
        cluster.check_alive()?;
        for entry in &entries {
            cluster.wait_ready(entry).await?;
        }
        cluster.publish_all(&entries).await?;
        for name in others {
            cluster.wait_ready(name).await?;
        }
        for agent in cluster.running(Role::Agent) {
            cluster.wait_taking_work(&agent).await?;
        }
        Ok(cluster)
    }

    async fn lay_out(plan: &Plan, binaries: PathBuf) -> eyre::Result<Self> {
        binaries::check(&binaries)?;
        let directory = tempfile::Builder::new().prefix("sycamorerail-").tempdir()?;
        let (layout, links) = plan.lay_out(directory.path()).await?;
        Ok(Self {
            operator: Operator::new(&layout.operator_token)?,
            directory: Some(directory),
            binaries,
            layout,
            links,
            organisations: plan.organisations()?,
            client: http::client()?,
            state: Mutex::default(),
        })
    }

    fn spares(&self, plan: &Plan) -> Vec<String> {
        let beyond = |role, first: u16| {
            self.layout.of_role(role).skip(first.into()).map(|process| process.name.clone())
        };
        let upstreams = beyond(Role::Upstream, plan.upstreams);
        beyond(Role::Entry, plan.entries)
            .chain(beyond(Role::Agent, plan.upstreams))
            .chain(upstreams)
            .collect()
    }

    async fn publish_all(&self, entries: &[String]) -> eyre::Result<()> {
        let first = entries.first().ok_or_eyre("no entry")?;
        for organisation in &self.organisations {
            self.create(first, organisation).await?;
        }
        for organisation in &self.organisations {
            for entry in entries {
                self.wait_in_force(entry, &organisation.name, 1).await?;
            }
        }
        Ok(())
    }

    async fn create(&self, entry: &str, organisation: &Organisation) -> eyre::Result<()> {
        let (address, change_id) = (self.http(entry), Uuid::now_v7());
        let (name, yaml) = (&organisation.name, &organisation.yaml);
        until(&format!("{name} is published"), || async {
            self.check_alive()?;
            let reply = self.operator.publish(address, name, Base::Absent, change_id, yaml).await;
            match reply.told() {
                Some(Change::Accepted { .. }) => Ok(Some(())),
                Some(Change::Refused { status, body }) => bail!("{name}: {status}: {body}"),
                _ => Ok(None),
            }
        })
        .await
    }

    /// The organisations of both deployments.
    #[must_use]
    pub fn organisations(&self) -> &[Organisation] {
        &self.organisations
    }

    /// An operator.
    #[must_use]
    pub fn operator(&self) -> &Operator {
        &self.operator
    }

    /// Calls to the stand-ins and metrics pages.
    #[must_use]
    pub fn client(&self) -> &reqwest::Client {
        &self.client
    }

    /// The links to the entries.
    #[must_use]
    pub fn links(&self) -> &Links {
        &self.links
    }

    /// What was laid out.
    #[must_use]
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Where a process answers HTTP.
    ///
    /// # Panics
    ///
    /// When there is no such process.
    #[must_use]
    pub fn http(&self, name: &str) -> SocketAddr {
        self.process(name).unwrap_or_else(|err| panic!("{err}")).http_address
    }

    fn process(&self, name: &str) -> eyre::Result<&Process> {
        let found = self.layout.processes.iter().find(|process| process.name == name);
        found.ok_or_else(|| eyre!("no process {name}"))
    }

    /// Names of the processes of a role that run and were not told to stop.
    #[must_use]
    pub fn running(&self, role: Role) -> Vec<String> {
        let state = self.state.lock();
        let runs = |process: &&Process| {
            state.running.get(&process.name).is_some_and(|child| child.told == Told::Nothing)
        };
        self.layout.of_role(role).filter(runs).map(|process| process.name.clone()).collect()
    }

    /// Whether a process of the role is on its way to a planned stop.
    #[must_use]
    pub fn is_stopping(&self, role: Role) -> bool {
        let state = self.state.lock();
        let stops = |process: &Process| {
            state.running.get(&process.name).is_some_and(|child| child.told == Told::Stop)
        };
        self.layout.of_role(role).any(stops)
    }

    /// Names of the processes of a role that don't run.
    #[must_use]
    pub fn idle(&self, role: Role) -> Vec<String> {
        let state = self.state.lock();
        let idle = |process: &&Process| !state.running.contains_key(&process.name);
        self.layout.of_role(role).filter(idle).map(|process| process.name.clone()).collect()
    }

    /// Whether a process runs, told to stop or not.
    ///
    /// # Errors
    ///
    /// When the system refuses.
    pub fn is_running(&self, name: &str) -> eyre::Result<bool> {
        self.reap()?;
        Ok(self.state.lock().running.contains_key(name))
    }

    /// Starts a process that is not running, again or for the first time.
    ///
    /// # Errors
    ///
    /// When it is running, or cannot be run.
    pub fn run(&self, name: &str) -> eyre::Result<()> {
        self.reap()?;
        let process = self.process(name)?;
        let mut state = self.state.lock();
        ensure!(!state.running.contains_key(name), "{name} is running");
        let binary = self.binaries.join(process.role.binary());
        let log = self.log(name);
        let child = ChildProcess::spawn(name, &binary, self.directory(), &process.settings, &log)?;
        state.running.insert(name.to_owned(), child);
        Ok(())
    }

    /// Kills a process by SIGKILL; it is gone on return.
    ///
    /// # Errors
    ///
    /// When it is not running.
    pub fn kill(&self, name: &str) -> eyre::Result<()> {
        let mut state = self.state.lock();
        let mut child = state.running.remove(name).ok_or_else(|| eyre!("{name} is not running"))?;
        // One that had ended by itself must not pass for killed.
        let ended = child.ended()?;
        let told = if ended.is_some() { child.told } else { Told::Kill };
        let status = child.kill()?;
        state.ended.push(Ended { name: name.to_owned(), told, status });
        Ok(())
    }

    /// Stops a process by SIGTERM; it goes on until it has drained.
    ///
    /// # Errors
    ///
    /// When it is not running.
    pub fn stop(&self, name: &str) -> eyre::Result<()> {
        self.with(name, |child| {
            child.told = Told::Stop;
            child.signal(Signal::SIGTERM)
        })
    }

    /// Freezes a process by SIGSTOP.
    ///
    /// # Errors
    ///
    /// When it is not running.
    pub fn freeze(&self, name: &str) -> eyre::Result<()> {
        self.with(name, |child| {
            child.frozen = true;
            child.signal(Signal::SIGSTOP)
        })
    }

    /// Lets a frozen process go on by SIGCONT.
    ///
    /// # Errors
    ///
    /// When it is not running.
    pub fn thaw(&self, name: &str) -> eyre::Result<()> {
        self.with(name, |child| {
            child.frozen = false;
            child.signal(Signal::SIGCONT)
        })
    }

    fn with(
        &self,
        name: &str,
        act: impl FnOnce(&mut ChildProcess) -> eyre::Result<()>,
    ) -> eyre::Result<()> {
        let mut state = self.state.lock();
        act(state.running.get_mut(name).ok_or_else(|| eyre!("{name} is not running"))?)
    }

    /// Notes the processes that have ended.
    ///
    /// # Errors
    ///
    /// When the system refuses.
    pub fn reap(&self) -> eyre::Result<()> {
        let mut state = self.state.lock();
        let State { running, ended, .. } = &mut *state;
        let mut gone = Vec::new();
        for (name, child) in running.iter_mut() {
            if let Some(status) = child.ended()? {
                ended.push(Ended { name: name.clone(), told: child.told, status });
                gone.push(name.clone());
            }
        }
        gone.iter().for_each(|name| drop(running.remove(name)));
        Ok(())
    }

    /// Processes that ended otherwise than told, and breaches of invariants in
    /// the logs: none in a good run.
    ///
    /// # Errors
    ///
    /// When the system refuses.
    pub fn misbehaved(&self) -> eyre::Result<Vec<String>> {
        self.reap()?;
        let state = self.state.lock();
        let ended = state.ended.iter().filter(|ended| !ended.as_told());
        let mut found: Vec<String> = ended
            .map(|ended| {
                let tail = self.log_tail(&ended.name);
                format!("{} ended with {}: {tail}", ended.name, ended.status)
            })
            .collect();
        found.extend(self.breaches());
        Ok(found)
    }

    /// Log lines of broken invariants.
    #[must_use]
    pub fn breaches(&self) -> Vec<String> {
        let lines = |process: &Process| {
            let text = std::fs::read_to_string(self.log(&process.name)).unwrap_or_default();
            let broken = text.lines().filter(|line| line.contains("invariant_broken"));
            broken.map(|line| format!("{}: {line}", process.name)).collect::<Vec<_>>()
        };
        self.layout.processes.iter().flat_map(lines).collect()
    }

    /// All that ended so far.
    #[must_use]
    pub fn ended(&self) -> Vec<Ended> {
        self.state.lock().ended.clone()
    }

    fn check_alive(&self) -> eyre::Result<()> {
        self.reap()?;
        let state = self.state.lock();
        let early = state.ended.iter().find(|ended| ended.told == Told::Nothing);
        match early {
            Some(ended) => {
                bail!("{} ended with {}: {}", ended.name, ended.status, self.log_tail(&ended.name))
            }
            None => Ok(()),
        }
    }

    fn directory(&self) -> &Path {
        self.directory.as_ref().map_or(Path::new("."), TempDir::path)
    }

    fn log(&self, name: &str) -> PathBuf {
        self.directory().join("logs").join(format!("{name}.log"))
    }

    /// The last lines of a process's log.
    #[must_use]
    pub fn log_tail(&self, name: &str) -> String {
        log_tail(&self.log(name), TAIL_LINES)
    }

    /// Writes the metrics pages of running processes beside their logs.
    pub async fn save_metrics(&self) {
        for process in &self.layout.processes {
            let url = format!("http://{}/metrics", process.http_address);
            let page = async { reqwest::get(url).await?.text().await };
            if let Ok(Ok(page)) = tokio::time::timeout(METRICS_WITHIN, page).await {
                let path = self.log(&process.name).with_extension("metrics");
                let _ = std::fs::write(path, page);
            }
        }
    }

    /// Keeps settings and logs after the end, and tells where they are.
    pub fn keep_files_on_drop(&self) {
        self.state.lock().keep_files = true;
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let state = self.state.get_mut();
        state.running.clear();
        let keep = state.keep_files || std::thread::panicking();
        if let Some(directory) = self.directory.take().filter(|_| keep) {
            eprintln!("settings and logs are kept in {}", directory.keep().display());
        }
    }
}
