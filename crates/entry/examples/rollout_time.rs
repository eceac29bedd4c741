//! Measures the rollout of templates against running processes: the time from
//! accepted to in force on every entry, reversals under racing operators, and
//! calls of the platform. `scripts/rollout.sh` starts the processes.

use {
    argh::FromArgs,
    eyre::{OptionExt, ensure, eyre},
    futures::future::{join_all, try_join_all},
    reqwest::{Client, Method, RequestBuilder},
    serde_json::{Value, json},
    sha2::{Digest, Sha256},
    std::{
        collections::BTreeMap,
        path::PathBuf,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
    uuid::Uuid,
};

const POLL_PAUSE: Duration = Duration::from_millis(1);
const RETRY_PAUSE: Duration = Duration::from_millis(20);
const OBSERVE_PAUSE: Duration = Duration::from_millis(5);
const CALL_WITHIN: Duration = Duration::from_secs(10);
const CHANGE_WITHIN: Duration = Duration::from_secs(120);
const IDLE: Duration = Duration::from_secs(20);
const OPERATORS: usize = 6;
/// Longest pause of a racing operator between two changes.
const OPERATOR_PAUSE_MS: u64 = 600;
/// In a race the platform refuses all calls for a while, again and again.
const OUTAGE_EVERY: Duration = Duration::from_secs(10);
const OUTAGE_MS: u64 = 1_500;

/// Measure the rollout of templates on running processes.
#[derive(Debug, FromArgs)]
struct Options {
    /// directory that `sycamorerail-bench layout` wrote
    #[argh(option)]
    dir: PathBuf,
    /// what is measured: idle, time or race
    #[argh(option)]
    measure: String,
    /// number of changes
    #[argh(option, default = "200")]
    changes: u64,
    /// organisations that are changed in turn
    #[argh(option, default = "5")]
    organisations: u64,
    /// faults of the platform, as JSON of its stand-in
    #[argh(option, default = "String::from(\"{}\")")]
    faults: String,
}

struct Site {
    http: Client,
    token: String,
    entries: Vec<String>,
    platform: String,
}

/// A change as its operator knows it.
struct Wanted {
    organisation: String,
    revision: u64,
    key: Uuid,
    yaml: String,
}

#[derive(Debug, PartialEq)]
enum Ended {
    Accepted(u64),
    Conflict(u64),
}

impl Site {
    fn load(options: &Options) -> eyre::Result<Self> {
        let text = std::fs::read_to_string(options.dir.join("cluster.json"))?;
        let cluster: Value = serde_json::from_str(&text)?;
        let processes = cluster["processes"].as_array().ok_or_eyre("no processes")?;
        let of_role = |role: &str| -> Vec<String> {
            let matching = processes.iter().filter(|process| process["role"] == role);
            let address = |process: &Value| process["http_address"].as_str().map(str::to_owned);
            matching.filter_map(address).map(|address| format!("http://{address}")).collect()
        };
        Ok(Self {
            http: Client::builder().timeout(CALL_WITHIN).build()?,
            token: cluster["operator_token"].as_str().unwrap_or_default().to_owned(),
            entries: of_role("entry"),
            platform: of_role("platform").pop().ok_or_eyre("no platform")?,
        })
    }

    fn admin(&self, entry: usize, method: Method, path: &str) -> RequestBuilder {
        let url = format!("{}/v1/admin{path}", self.entries[entry % self.entries.len()]);
        self.http.request(method, url).bearer_auth(&self.token)
    }

    async fn calls(&self) -> eyre::Result<Value> {
        let url = format!("{}/standin/calls", self.platform);
        Ok(self.http.get(url).send().await?.json().await?)
    }

    async fn set_faults(&self, faults: &str) -> eyre::Result<()> {
        let faults: Value = serde_json::from_str(faults)?;
        self.order(&json!({ "faults": faults })).await
    }

    async fn order(&self, order: &Value) -> eyre::Result<()> {
        let url = format!("{}/standin/faults", self.platform);
        self.http.post(url).json(order).send().await?.error_for_status()?;
        sleep(Duration::from_millis(100)).await;
        Ok(())
    }

    /// Revisions in force at an entry, if it answers.
    async fn revisions(&self, entry: usize) -> Option<BTreeMap<String, u64>> {
        let reply = self.admin(entry, Method::GET, "/organisations").send().await.ok()?;
        let body: Value = reply.json().await.ok()?;
        let line = |line: &Value| {
            Some((line["organisation"].as_str()?.to_owned(), line["revision"].as_u64()?))
        };
        Some(body["organisations"].as_array()?.iter().filter_map(line).collect())
    }

    /// Publishes a change, again under its key until its fate is known.
    async fn publish(&self, entry: usize, change: &Wanted) -> eyre::Result<Ended> {
        for attempt in 0.. {
            let path = format!("/organisations/{}", change.organisation);
            let call = self
                .admin(entry + attempt, Method::PUT, &path)
                .header("Idempotency-Key", change.key.to_string())
                .body(change.yaml.clone());
            let call = match change.revision {
                0 => call.header("If-None-Match", "*"),
                revision => call.header("If-Match", format!("\"{revision}\"")),
            };
            if let Ok(reply) = call.send().await
                && let Some(ended) = read_ended(reply).await?
            {
                return Ok(ended);
            }
            sleep(RETRY_PAUSE).await;
        }
        unreachable!("attempts have no end")
    }
}

/// `None` if the same change must be sent again.
async fn read_ended(reply: reqwest::Response) -> eyre::Result<Option<Ended>> {
    let status = reply.status().as_u16();
    let Ok(body) = reply.json::<Value>().await else { return Ok(None) };
    let revision = body["revision"].as_u64();
    match status {
        200 => Ok(revision.map(Ended::Accepted)),
        412 => Ok(Some(Ended::Conflict(revision.unwrap_or(0)))),
        503 => Ok(None),
        _ => Err(eyre!("{status}: {body}")),
    }
}

fn wanted(organisation: &str, revision: u64, token: &str) -> Wanted {
    let hash: String =
        Sha256::digest(token.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect();
    let yaml = format!(
        "organisation: {organisation}\ncallers:\n  - name: desk\n    token_sha256: {hash}\n\
         kinds:\n  - name: probe\n    deadline_ms: 5000\n    repeatable: true\n"
    );
    let key = Uuid::from_u128(rand::random());
    Wanted { organisation: organisation.to_owned(), revision, key, yaml }
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let options: Options = argh::from_env();
    let site = Arc::new(Site::load(&options)?);
    site.set_faults(&options.faults).await?;
    let measured = match options.measure.as_str() {
        "idle" => idle(&site).await,
        "time" => time(&site, &options).await,
        "race" => race(&site, &options).await,
        other => Err(eyre!("--measure: found {other}; allowed: idle, time, race")),
    };
    site.set_faults("{}").await?;
    measured
}

/// Calls of the platform while nothing is changed.
async fn idle(site: &Site) -> eyre::Result<()> {
    let before = site.calls().await?;
    sleep(IDLE).await;
    print_calls("idle", &before, &site.calls().await?, IDLE);
    Ok(())
}

fn print_calls(what: &str, before: &Value, after: &Value, elapsed: Duration) {
    let per_s = |field: &str| {
        let count = |calls: &Value| calls[field].as_f64().unwrap_or_default();
        (count(after) - count(before)) / elapsed.as_secs_f64()
    };
    println!(
        "{what}: {:.1} s, calls/s: range {:.2}, txn {:.2}, keep_alive {:.2}, grant {:.2}, watch \
         {:.2}; waiting watches {}",
        elapsed.as_secs_f64(),
        per_s("range"),
        per_s("txn"),
        per_s("keep_alive"),
        per_s("grant"),
        per_s("watch"),
        after["waiting_watches"]
    );
}

/// Times of one change.
struct Times {
    accepted_ms: f64,
    /// From accepted to in force on every entry; 0 if it was before the reply.
    everywhere_ms: f64,
    /// The same from sent.
    from_sent_ms: f64,
}

async fn time(site: &Site, options: &Options) -> eyre::Result<()> {
    let mut revisions = site.revisions(0).await.ok_or_eyre("entry 0 does not answer")?;
    let (before, begun) = (site.calls().await?, Instant::now());
    let mut all = Vec::new();
    for number in 0..options.changes {
        let organisation = format!("rollout-{}", number % options.organisations);
        let revision = revisions.entry(organisation.clone()).or_default();
        let token = format!("token-{}", Uuid::from_u128(rand::random()));
        let change = wanted(&organisation, *revision, &token);
        let measured = measure(site, number as usize, &change, &token);
        let (accepted, times) = timeout(CHANGE_WITHIN, measured).await??;
        *revision = accepted;
        all.push(times);
    }
    print_calls("changes", &before, &site.calls().await?, begun.elapsed());
    print_times("reply after", all.iter().map(|times| times.accepted_ms).collect());
    print_times("accepted to in force everywhere", all.iter().map(|t| t.everywhere_ms).collect());
    print_times("sent to in force everywhere", all.iter().map(|t| t.from_sent_ms).collect());
    Ok(())
}

fn print_times(what: &str, mut times_ms: Vec<f64>) {
    times_ms.sort_by(f64::total_cmp);
    let at = |share: f64| times_ms[((times_ms.len() - 1) as f64 * share).round() as usize];
    println!(
        "{what}: {} changes, median {:.1} ms, 99th percentile {:.1} ms, worst {:.1} ms",
        times_ms.len(),
        at(0.5),
        at(0.99),
        at(1.0)
    );
}

async fn measure(
    site: &Site,
    number: usize,
    change: &Wanted,
    token: &str,
) -> eyre::Result<(u64, Times)> {
    let sent = Instant::now();
    let publish = async {
        let ended = site.publish(number, change).await?;
        eyre::Ok((ended, Instant::now()))
    };
    let seen = try_join_all((0..site.entries.len()).map(|entry| in_force_at(site, entry, token)));
    let ((ended, accepted_at), seen) = tokio::try_join!(publish, seen)?;
    let Ended::Accepted(revision) = ended else { return Err(eyre!("{ended:?} with one operator")) };
    let last = seen.into_iter().max().ok_or_eyre("no entries")?;
    let ms = |from: Instant, to: Instant| to.saturating_duration_since(from).as_secs_f64() * 1e3;
    let times = Times {
        accepted_ms: ms(sent, accepted_at),
        everywhere_ms: ms(accepted_at, last),
        from_sent_ms: ms(sent, last),
    };
    Ok((revision, times))
}

/// Asks an entry until it takes the token that the change brings.
async fn in_force_at(site: &Site, entry: usize, token: &str) -> eyre::Result<Instant> {
    let url = format!("{}/v1/ids", site.entries[entry]);
    loop {
        let call = site.http.post(&url).bearer_auth(token).body(r#"{"count":1}"#);
        if call.send().await.is_ok_and(|reply| reply.status().is_success()) {
            return Ok(Instant::now());
        }
        sleep(POLL_PAUSE).await;
    }
}

/// What the racing operators and the observers found.
#[derive(Default)]
struct Found {
    /// Change by organisation and revision.
    accepted: Mutex<BTreeMap<(String, u64), Uuid>>,
    conflicts: AtomicU64,
    twice: AtomicU64,
    observations: AtomicU64,
    reversals: AtomicU64,
    stop: AtomicBool,
}

async fn race(site: &Arc<Site>, options: &Options) -> eyre::Result<()> {
    let found = Arc::new(Found::default());
    let (before, begun) = (site.calls().await?, Instant::now());
    let observers: Vec<_> = (0..site.entries.len())
        .map(|entry| tokio::spawn(observe(Arc::clone(site), Arc::clone(&found), entry)))
        .collect();
    let outages = tokio::spawn(disturb(Arc::clone(site), options.faults.clone()));
    let operators = (0..OPERATORS).map(|operator| operate(site, &found, operator, options));
    try_join_all(operators).await?;
    outages.abort();
    site.order(&json!({ "faults": {} })).await?;
    let elapsed = begun.elapsed();
    print_calls("race", &before, &site.calls().await?, elapsed);
    let settled = settle(site, &found).await?;
    found.stop.store(true, Ordering::Relaxed);
    join_all(observers).await;
    let count = |number: &AtomicU64| number.load(Ordering::Relaxed);
    println!(
        "race: {} accepted, {} conflicts, {} accepted twice, {} gaps, {} missing in histories; \
         {} observations, {} reversals; all entries at the last revisions after {:.1} ms",
        found.accepted.lock().map_err(|_| eyre!("poisoned"))?.len(),
        count(&found.conflicts),
        count(&found.twice),
        settled.gaps,
        settled.missing,
        count(&found.observations),
        count(&found.reversals),
        settled.after.as_secs_f64() * 1e3
    );
    let whole = count(&found.reversals) + count(&found.twice) + settled.gaps + settled.missing == 0;
    ensure!(whole, "a promise was broken");
    Ok(())
}

/// Lets the platform refuse all calls for a while, again and again.
async fn disturb(site: Arc<Site>, faults: String) {
    loop {
        sleep(OUTAGE_EVERY).await;
        let _ = site.order(&json!({ "refuse": true, "for_ms": OUTAGE_MS })).await;
        sleep(Duration::from_millis(OUTAGE_MS)).await;
        let _ = site.set_faults(&faults).await;
    }
}

async fn operate(
    site: &Site,
    found: &Found,
    operator: usize,
    options: &Options,
) -> eyre::Result<()> {
    let organisation = format!("race-{}", operator as u64 % options.organisations);
    let revisions = site.revisions(operator).await.unwrap_or_default();
    let mut revision = revisions.get(&organisation).copied().unwrap_or(0);
    while (found.accepted.lock().map_err(|_| eyre!("poisoned"))?.len() as u64) < options.changes {
        let change = wanted(&organisation, revision, "race");
        let pause_ms = rand::random_range(0..=OPERATOR_PAUSE_MS);
        sleep(Duration::from_millis(pause_ms)).await;
        match timeout(CHANGE_WITHIN, site.publish(operator, &change)).await?? {
            Ended::Accepted(accepted) => {
                revision = accepted;
                let key = (organisation.clone(), accepted);
                let mut known = found.accepted.lock().map_err(|_| eyre!("poisoned"))?;
                if known.insert(key, change.key).is_some_and(|other| other != change.key) {
                    found.twice.fetch_add(1, Ordering::Relaxed);
                }
            }
            Ended::Conflict(winner) => {
                revision = winner;
                found.conflicts.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
    Ok(())
}

/// Follows the revisions in force at an entry, over its restarts.
async fn observe(site: Arc<Site>, found: Arc<Found>, entry: usize) {
    let mut highest: BTreeMap<String, u64> = BTreeMap::new();
    while !found.stop.load(Ordering::Relaxed) {
        // An entry that is not ready yet has nothing in force.
        let revisions = site.revisions(entry).await.unwrap_or_default();
        for (organisation, revision) in revisions {
            let known = highest.entry(organisation).or_default();
            found.observations.fetch_add(1, Ordering::Relaxed);
            if revision < *known {
                found.reversals.fetch_add(1, Ordering::Relaxed);
            }
            *known = revision.max(*known);
        }
        sleep(OBSERVE_PAUSE).await;
    }
}

/// How the race was left.
struct Settled {
    after: Duration,
    gaps: u64,
    missing: u64,
}

/// Waits until all entries have the last revisions, and checks the histories.
async fn settle(site: &Site, found: &Found) -> eyre::Result<Settled> {
    let begun = Instant::now();
    let accepted = found.accepted.lock().map_err(|_| eyre!("poisoned"))?.clone();
    let mut last: BTreeMap<String, u64> = BTreeMap::new();
    for (organisation, revision) in accepted.keys() {
        last.insert(organisation.clone(), *revision);
    }
    for entry in 0..site.entries.len() {
        let has_all = async || {
            let revisions = site.revisions(entry).await.unwrap_or_default();
            last.iter().all(|(name, revision)| revisions.get(name) >= Some(revision))
        };
        while !has_all().await {
            ensure!(begun.elapsed() < CHANGE_WITHIN, "entry {entry} never got there");
            sleep(POLL_PAUSE).await;
        }
    }
    let after = begun.elapsed();
    let mut settled = Settled { after, gaps: 0, missing: 0 };
    for (name, revision) in &last {
        let of_name = accepted.keys().filter(|(other, _)| other == name);
        let first = of_name.clone().map(|(_, revision)| *revision).min().unwrap_or(0);
        settled.gaps += revision + 1 - first - of_name.count() as u64;
        settled.missing += missing_in_history(site, name, &accepted).await?;
    }
    Ok(settled)
}

/// Kept revisions whose change is not the one that was accepted.
async fn missing_in_history(
    site: &Site,
    name: &str,
    accepted: &BTreeMap<(String, u64), Uuid>,
) -> eyre::Result<u64> {
    let path = format!("/organisations/{name}/history");
    let body: Value = site.admin(0, Method::GET, &path).send().await?.json().await?;
    let revisions = body["revisions"].as_array().ok_or_eyre("no history")?;
    let differs = |line: &&Value| {
        let revision = line["revision"].as_u64().unwrap_or(0);
        let known = accepted.get(&(name.to_owned(), revision));
        known.is_some_and(|known| line["change_id"] != known.to_string())
    };
    Ok(revisions.iter().filter(differs).count() as u64)
}
