//! One run: publish, wait until all is ready, load and faults, then the
//! checks and the result.

use {
    crate::{
        arrivals::{self, Arrival, Unit},
        balancer::Balancer,
        client::{Client, Outcome, Submission},
        cluster::{self, Cluster, Process, Role},
        drive::{Drive, Record},
        fault_script::{self, Applied},
        ideal,
        pool::IdPool,
        results::{self, Machine, Pair, ProcessUsage, RunResult},
        scenario::Cancellation,
        scrape::Series,
        starts::StartBook,
        usage::{self, Usage},
        verdict::{self, Starts},
        waste,
    },
    eyre::{WrapErr, ensure},
    futures::StreamExt,
    indicatif::{ProgressBar, ProgressStyle},
    reqwest::Method,
    serde_json::json,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, HashMap},
        fs,
        path::Path,
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::sync::Mutex,
};

const READY_TIMEOUT_MS: u64 = 60_000;
const READY_PAUSE_MS: u64 = 200;
/// Between the last answer and the count of starts.
const SETTLE_MS: u64 = 2_000;
const PROGRESS_MS: u64 = 250;
/// Calls at once when answers are asked for again.
const RECHECKS_AT_ONCE: usize = 16;
const MAX_EXAMPLES: usize = 60;

/// Publishes all templates, and waits until every process is ready.
///
/// # Errors
///
/// When a template is refused, or not all are ready in time.
pub async fn publish(dir: &Path) -> eyre::Result<()> {
    let cluster = Cluster::load(dir)?;
    let client = Client::new()?;
    let deadline = Instant::now() + Duration::from_millis(READY_TIMEOUT_MS);
    for organisation in &cluster.organisations {
        let path = dir.join(&organisation.template);
        let yaml = fs::read_to_string(&path).wrap_err_with(|| path.display().to_string())?;
        publish_one(&cluster, &client, &organisation.name, &yaml, deadline).await?;
    }
    wait_ready(&cluster, &client, deadline).await?;
    wait_serving(&cluster, &client, deadline).await
}

/// Waits until each entry completes a request of each organisation.
async fn wait_serving(cluster: &Cluster, client: &Client, deadline: Instant) -> eyre::Result<()> {
    let kind = cluster.scenario.kinds()[0].name;
    let body = json!({"kind": kind, "payload": {"run_ms": 1}}).to_string().into_bytes();
    for entry in cluster.of_role(Role::Entry) {
        for organisation in &cluster.organisations {
            let served = || async {
                let token = &organisation.token;
                let ids = client.reserve(entry.http_address, token, 1).await?;
                let id = ids.into_iter().next().unwrap_or_default();
                let submission = Submission { id, unit: Unit::Request, body: body.clone() };
                let timeout = Duration::from_millis(READY_TIMEOUT_MS);
                client.submit(entry.http_address, token, &submission, timeout).await
            };
            loop {
                let told = match served().await {
                    Ok(answer) if answer.outcome == Outcome::Complete => break,
                    Ok(answer) => format!("{}/{}", answer.outcome.name(), answer.reason),
                    Err(err) => format!("{err:#}"),
                };
                ensure!(Instant::now() < deadline, "{}: not serving: {told}", entry.name);
                pause(READY_PAUSE_MS).await;
            }
        }
    }
    Ok(())
}

async fn publish_one(
    cluster: &Cluster,
    client: &Client,
    name: &str,
    yaml: &str,
    deadline: Instant,
) -> eyre::Result<()> {
    let entries: Vec<_> = cluster.of_role(Role::Entry).collect();
    for turn in 0.. {
        let entry = entries[turn % entries.len()].http_address;
        let token = &cluster.operator_token;
        match client.publish(entry, token, name, yaml.to_owned()).await {
            Ok(()) => break,
            Err(err) if Instant::now() > deadline => return Err(err),
            Err(_) => pause(READY_PAUSE_MS).await,
        }
    }
    Ok(())
}

async fn wait_ready(cluster: &Cluster, client: &Client, deadline: Instant) -> eyre::Result<()> {
    let timeout = Duration::from_millis(READY_TIMEOUT_MS);
    loop {
        let mut missing = Vec::new();
        for process in &cluster.processes {
            let asked = matches!(process.role, Role::Entry | Role::Agent);
            if asked && !client.is_ready(process.http_address, timeout).await {
                missing.push(process.name.as_str());
            }
        }
        if missing.is_empty() {
            return Ok(());
        }
        ensure!(Instant::now() < deadline, "not ready in time: {}", missing.join(", "));
        pause(READY_PAUSE_MS).await;
    }
}

/// What a run leaves behind for the result.
struct Outcomes {
    records: Vec<Record>,
    applied: Vec<Applied>,
}

/// Counters and usage at one moment.
struct Snapshot {
    counters: HashMap<String, Series>,
    usage: HashMap<String, Usage>,
}

/// What is used and counted between two moments.
pub struct Watch {
    client: Client,
    before: Snapshot,
    began: Instant,
}

impl Watch {
    /// Reads all processes a first time.
    pub async fn begin(dir: &Path, cluster: &Cluster, client: &Client) -> Self {
        let before = snapshot(dir, cluster, client).await;
        Self { client: client.clone(), before, began: Instant::now() }
    }

    /// Reads them again.
    pub async fn end(self, dir: &Path, cluster: &Cluster) -> Watched {
        let window_s = self.began.elapsed().as_secs_f64();
        let after = snapshot(dir, cluster, &self.client).await;
        Watched {
            usage: usage_between(cluster, &self.before, &after),
            counters: counters_between(cluster, &self.before, &after),
            window_s,
        }
    }
}

/// What a [`Watch`] saw.
pub struct Watched {
    /// What each process used.
    pub usage: Vec<ProcessUsage>,
    /// Growth of counters by role.
    pub counters: BTreeMap<String, Series>,
    /// Seconds between the readings.
    pub window_s: f64,
}

fn counters_between(
    cluster: &Cluster,
    before: &Snapshot,
    after: &Snapshot,
) -> BTreeMap<String, Series> {
    let none = Series::default();
    let of = |snapshot: &Snapshot, name: &str| snapshot.counters.get(name).cloned();
    let mut by_role: BTreeMap<String, Series> = BTreeMap::new();
    for process in &cluster.processes {
        let first = of(before, &process.name).unwrap_or_default();
        let growth = of(after, &process.name).unwrap_or_else(|| none.clone()).growth(&first);
        by_role.entry(process.role.name().to_owned()).or_default().add(&growth);
    }
    by_role
}

fn usage_between(cluster: &Cluster, before: &Snapshot, after: &Snapshot) -> Vec<ProcessUsage> {
    let one = |process: &Process| {
        let end = after.usage.get(&process.name).copied();
        let start = before.usage.get(&process.name);
        let cpu_s = end.zip(start).map(|(end, start)| (end.cpu_s - start.cpu_s).max(0.0));
        let role = process.role.name().to_owned();
        ProcessUsage { name: process.name.clone(), role, cpu_s, end }
    };
    cluster.processes.iter().map(one).collect()
}

/// Runs the scenario that the directory was laid out for.
///
/// # Errors
///
/// When the processes are not there, or ids cannot be reserved.
pub async fn run(dir: &Path, build: &str) -> eyre::Result<RunResult> {
    let cluster = Arc::new(Cluster::load(dir)?);
    let client = Client::new()?;
    let deadline = Instant::now() + Duration::from_millis(READY_TIMEOUT_MS);
    wait_ready(&cluster, &client, deadline).await?;
    let arrivals = Arc::new(arrivals::plan(&cluster.scenario));
    let entry = cluster.of_role(Role::Entry).next().ok_or_else(|| eyre::eyre!("no entry"))?;
    let round_trip_us = client.round_trip_us(entry.http_address).await?;
    let pool = IdPool::new(client.clone(), &cluster, &cluster.scenario);
    pool.fill().await?;
    let mut machine = machine(build);
    let watch = Watch::begin(dir, &cluster, &client).await;
    let starts = Arc::new(Mutex::new(StartBook::default()));
    let mut outcomes =
        load(dir, &cluster, &client, &pool, Arc::clone(&arrivals), Arc::clone(&starts)).await;
    let watched = watch.end(dir, &cluster).await;
    machine.window_s = watched.window_s;
    machine.load_after = load_average();
    fault_script::heal_all(&cluster, &client).await;
    pause(SETTLE_MS).await;
    starts.lock().await.read_all(&client, &cluster).await;
    recheck(&cluster, &client, &arrivals, &mut outcomes.records).await;
    let platform_calls = platform_calls(&cluster, &client).await;
    let finish = Finish { cluster: &cluster, arrivals: &arrivals, outcomes, watched };
    let starts = starts.lock().await;
    Ok(finish.result(machine, round_trip_us, &pool, &starts, platform_calls))
}

async fn load(
    dir: &Path,
    cluster: &Arc<Cluster>,
    client: &Client,
    pool: &Arc<IdPool>,
    arrivals: Arc<Vec<Arrival>>,
    starts: Arc<Mutex<StartBook>>,
) -> Outcomes {
    let scenario = &cluster.scenario;
    let count = arrivals.len();
    let balancer = Balancer::new(cluster, client);
    let checks = tokio::spawn(Arc::clone(&balancer).check_health(scenario.client.health_check_ms));
    let drive = Drive::new(client.clone(), balancer, Arc::clone(pool), cluster, arrivals);
    let refill = tokio::spawn(Arc::clone(pool).keep_filled());
    let began = Instant::now();
    let faults = tokio::spawn(fault_script::play(
        scenario.faults.clone(),
        Arc::clone(cluster),
        Arc::from(dir),
        client.clone(),
        starts,
        began,
    ));
    let waves =
        tokio::spawn(cancel_waves(Arc::clone(&drive), scenario.cancellations.clone(), began));
    let mut receiver = drive.start(began);
    let bar = tokio::spawn(show_progress(Arc::clone(&drive), count as u64));
    let mut records = Vec::with_capacity(count);
    while let Some(record) = receiver.recv().await {
        records.push(record);
    }
    bar.abort();
    refill.abort();
    checks.abort();
    let applied = faults.await.unwrap_or_default();
    waves.abort();
    records.sort_by_key(|record| record.arrival);
    Outcomes { records, applied }
}

async fn cancel_waves(drive: Arc<Drive>, waves: Vec<Cancellation>, began: Instant) {
    for wave in waves {
        let due = began + Duration::from_millis(u64::from(wave.at_ms));
        tokio::time::sleep_until(due.into()).await;
        drive.cancel_share(wave.share).await;
    }
}

async fn show_progress(drive: Arc<Drive>, count: u64) {
    let style = ProgressStyle::with_template("{elapsed_precise} {bar:30} {pos}/{len} {msg}");
    let bar = ProgressBar::new(count);
    if let Ok(style) = style {
        bar.set_style(style);
    }
    loop {
        let ended = drive.progress.ended.load(Ordering::Relaxed);
        let complete = drive.progress.complete.load(Ordering::Relaxed);
        let in_flight = drive.progress.sent.load(Ordering::Relaxed).saturating_sub(ended);
        bar.set_position(ended);
        bar.set_message(format!("in flight {in_flight}, not complete {}", ended - complete));
        pause(PROGRESS_MS).await;
    }
}

/// Asks for each answer again: a final one never changes.
async fn recheck(cluster: &Cluster, client: &Client, arrivals: &[Arrival], records: &mut [Record]) {
    let entries: Vec<_> = cluster.of_role(Role::Entry).map(|entry| entry.http_address).collect();
    let told = records.iter_mut().flat_map(|record| {
        let organisation = usize::from(arrivals[record.arrival].organisation);
        record.told.iter_mut().map(move |told| (organisation, told))
    });
    let asks = told.enumerate().map(|(turn, (organisation, told))| {
        let entry = entries[turn % entries.len()];
        let token = &cluster.organisations[organisation].token;
        async move {
            if let Ok(again) = client.job(Method::GET, entry, token, &told.id).await {
                told.contradicted = contradict(told.outcome, again.outcome);
            }
        }
    });
    futures::stream::iter(asks).for_each_concurrent(RECHECKS_AT_ONCE, |ask| ask).await;
}

fn contradict(first: Outcome, again: Outcome) -> bool {
    let is_final =
        |outcome| matches!(outcome, Outcome::Complete | Outcome::Failed | Outcome::NotRun);
    is_final(first) && is_final(again) && first != again
}

async fn snapshot(dir: &Path, cluster: &Cluster, client: &Client) -> Snapshot {
    let mut snapshot = Snapshot { counters: HashMap::new(), usage: HashMap::new() };
    for process in &cluster.processes {
        let pid = cluster::pid(dir, &process.name);
        if let Some(usage) = pid.and_then(usage::read) {
            snapshot.usage.insert(process.name.clone(), usage);
        }
        if let Ok(series) = client.scrape(process.http_address).await {
            snapshot.counters.insert(process.name.clone(), series);
        }
    }
    snapshot
}

async fn platform_calls(cluster: &Cluster, client: &Client) -> serde_json::Value {
    let Some(platform) = cluster.of_role(Role::Platform).next() else {
        return serde_json::Value::Null;
    };
    client.get_json(platform.http_address, "/standin/calls").await.unwrap_or_default()
}

fn machine(build: &str) -> Machine {
    let began = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Machine {
        cores: std::thread::available_parallelism().map_or(1, usize::from),
        load_before: load_average(),
        load_after: 0.0,
        began_unix_s: began.as_secs(),
        window_s: 0.0,
        build: build.to_owned(),
    }
}

fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().and_then(|first| first.parse().ok()).unwrap_or(0.0)
}

async fn pause(pause_ms: u64) {
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
}

/// All that the result is made of.
struct Finish<'a> {
    cluster: &'a Cluster,
    arrivals: &'a [Arrival],
    outcomes: Outcomes,
    watched: Watched,
}

impl Finish<'_> {
    fn result(
        &self,
        machine: Machine,
        round_trip_us: u64,
        pool: &IdPool,
        starts: &StartBook,
        platform_calls: serde_json::Value,
    ) -> RunResult {
        let scenario = &self.cluster.scenario;
        let slots = scenario.size().total_slots();
        let ideal = ideal::response_us(self.arrivals, slots, round_trip_us);
        let all = self.pairs(&ideal);
        let warm_up_us = u64::from(scenario.warm_up_ms) * 1_000;
        let pairs: Vec<_> =
            all.iter().filter(|pair| pair.arrival.at_us >= warm_up_us).copied().collect();
        let told: Vec<_> =
            self.outcomes.records.iter().flat_map(|record| record.told.clone()).collect();
        let (starts, start_totals) = starts.sum();
        let completed = all.iter().filter(|pair| pair.record.outcome == Outcome::Complete).count();
        let counters = &self.watched.counters;
        let of = |role: Role| counters.get(role.name()).cloned().unwrap_or_default();
        let (entries, agents) = (of(Role::Entry), of(Role::Agent));
        let extra_starts = verdict::extra_starts(&starts);
        let breaches = "sycamorerail_invariant_breaches_total";
        RunResult {
            scenario: scenario.clone(),
            machine,
            round_trip_us,
            counts: results::counts(&pairs, pool.in_line.load(Ordering::Relaxed)),
            measured: results::measured(&pairs),
            ideal: results::ideal(&pairs),
            stretch: results::stretch(&pairs),
            units: results::units(&pairs),
            organisations: results::organisations(&pairs),
            refused: results::refused(&pairs),
            first_id: results::first_id(&pairs),
            curve: results::curve(&pairs),
            timeline: results::timeline(&all),
            lag: results::quantiles(pairs.iter().map(|pair| pair.record.lag_us), 1_000.0),
            violations: verdict::violations(&told, &starts),
            invariant_breaches: entries.sum(breaches) + agents.sum(breaches),
            starts: start_totals,
            waste: waste::waste(&entries, &agents, extra_starts, completed as u64),
            counters: counters.clone(),
            usage: self.watched.usage.clone(),
            platform_calls,
            faults: self.outcomes.applied.clone(),
            examples: self.examples(&starts),
        }
    }

    fn pairs<'a>(&'a self, ideal: &[u64]) -> Vec<Pair<'a>> {
        let pair = |record: &'a Record| Pair {
            arrival: &self.arrivals[record.arrival],
            record,
            ideal_us: ideal[record.arrival],
        };
        self.outcomes.records.iter().map(pair).collect()
    }

    /// What was not complete, and of the rest those that took most calls.
    fn examples(&self, starts: &Starts) -> Vec<String> {
        let mut records: Vec<&Record> =
            self.outcomes.records.iter().filter(|record| record.is_unusual()).collect();
        records.sort_by_key(|record| {
            (record.outcome == Outcome::Complete, Reverse(record.calls.len()), record.arrival)
        });
        let line = |record: &Record| {
            let tasks = self.arrivals[record.arrival].run_ms.len();
            let started: Vec<_> = record.told.iter().map(|told| starts.started(&told.id)).collect();
            format!("{}; started by id {started:?} of {tasks}", record.line())
        };
        records.into_iter().take(MAX_EXAMPLES).map(line).collect()
    }
}
