//! Writes a directory from a scenario: settings, keys, tokens and templates.

use {
    crate::{
        cluster::{
            CLUSTER_FILE, Cluster, Organisation, PIDS_DIR, PROCESSES_FILE, Process, Role, START_DIR,
        },
        scenario::{Kind, Scenario, Size},
    },
    eyre::{WrapErr, eyre},
    rand::Rng,
    serde_json::{Map, Value, json},
    sha2::{Digest, Sha256},
    std::{
        fs,
        net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
        ops::Range,
        path::Path,
    },
    sycamorerail_wire::keys::{self, PemPair},
};

/// First ports tried. Below the range from which systems take ports of
/// outgoing connections; one at random, so that two clusters of one machine
/// seldom meet: a process that is down leaves its ports to others.
const PORT_BASES: Range<u16> = 12_000..30_000;

const TOKEN_BYTES: usize = 24;
const QUOTA_STARTS_PER_S: u32 = 100_000;
const QUOTA_IN_FLIGHT: u32 = 100_000;
const SIZE_BYTES: u64 = 4_096;
/// Calls of the platform's service in the sizes of today.
const PLATFORM_WRITES_PER_S: u32 = 400;
const PLATFORM_READS_PER_S: u32 = 2_000;
const PLATFORM_DELAY_MS: u32 = 3;

/// A first port at random.
#[must_use]
pub fn random_port_base() -> u16 {
    rand::rng().random_range(PORT_BASES)
}

/// Lays out a new directory.
///
/// # Errors
///
/// When the directory cannot be written, or ports or keys run out.
pub fn lay_out(scenario: &Scenario, dir: &Path, port_base: u16) -> eyre::Result<Cluster> {
    for sub in ["settings", "keys", "templates", PIDS_DIR, START_DIR, "logs"] {
        let path = dir.join(sub);
        fs::create_dir_all(&path).wrap_err_with(|| path.display().to_string())?;
    }
    let mut writer = Writer::new(scenario, dir, port_base)?;
    writer.platform()?;
    writer.entries()?;
    writer.agents_and_upstreams()?;
    let organisations = writer.organisations()?;
    let Writer { mut processes, operator_token, .. } = writer;
    processes.sort_by_key(|process| process.role);
    let cluster = Cluster { scenario: scenario.clone(), processes, operator_token, organisations };
    write_cluster(&cluster, dir)?;
    Ok(cluster)
}

fn write_cluster(cluster: &Cluster, dir: &Path) -> eyre::Result<()> {
    let line = |process: &Process| {
        format!("{} {} {}\n", process.name, process.role.binary(), process.settings)
    };
    let lines: String = cluster.processes.iter().map(line).collect();
    write(dir, PROCESSES_FILE, &lines)?;
    write(dir, CLUSTER_FILE, &serde_json::to_string_pretty(cluster)?)
}

struct Writer<'a> {
    scenario: &'a Scenario,
    dir: &'a Path,
    size: Size,
    authority: PemPair,
    cluster_secret: String,
    operator_token: String,
    platform_url: String,
    entry_http: Vec<SocketAddr>,
    entry_inner: Vec<SocketAddr>,
    ports: Ports,
    processes: Vec<Process>,
}

impl<'a> Writer<'a> {
    fn new(scenario: &'a Scenario, dir: &'a Path, port_base: u16) -> eyre::Result<Self> {
        let authority = keys::generate_authority("bench")?;
        write(dir, "keys/authority.pem", &authority.certificate_pem)?;
        let size = scenario.size();
        let mut ports = Ports { next: port_base };
        let entry_http = ports.take_many(size.entries)?;
        let entry_inner = ports.take_many(size.entries)?;
        Ok(Self {
            scenario,
            dir,
            size,
            authority,
            cluster_secret: random_hex(),
            operator_token: random_hex(),
            platform_url: String::new(),
            entry_http,
            entry_inner,
            ports,
            processes: Vec::new(),
        })
    }

    fn platform(&mut self) -> eyre::Result<()> {
        let http = self.ports.take()?;
        self.platform_url = format!("http://{http}");
        let settings = json!({
            "http_address": http,
            "seed": self.scenario.seed,
            "max_writes_per_s": PLATFORM_WRITES_PER_S,
            "max_reads_per_s": PLATFORM_READS_PER_S,
            "delay_ms": PLATFORM_DELAY_MS,
        });
        let overrides = &self.scenario.overrides.platform;
        self.process("platform".to_owned(), Role::Platform, http, settings, overrides)
    }

    fn entries(&mut self) -> eyre::Result<()> {
        for index in 0..self.size.entries {
            let name = format!("entry-{}", index + 1);
            let (http, inner) =
                (self.entry_http[usize::from(index)], self.entry_inner[usize::from(index)]);
            let peers: Vec<_> = self.entry_inner.iter().filter(|peer| **peer != inner).collect();
            let settings = json!({
                "name": name,
                "data_centre": self.size.data_centre(index),
                "http_address": http,
                "inner_address": inner,
                "peers": peers,
                "platform": {"url": self.platform_url},
                "keys": self.keys(keys::Role::Entry, &name)?,
                "cluster_secret": self.cluster_secret,
                "operators": [{"name": "bench", "token_sha256": sha256(&self.operator_token)}],
                "log_level": "info",
                "fatal_invariants": false,
            });
            self.process(name, Role::Entry, http, settings, &self.scenario.overrides.entry)?;
        }
        Ok(())
    }

    fn agents_and_upstreams(&mut self) -> eyre::Result<()> {
        for index in 0..self.size.upstreams {
            let agent_http = self.agent(index)?;
            self.upstream(index, agent_http)?;
        }
        Ok(())
    }

    fn agent(&mut self, index: u16) -> eyre::Result<SocketAddr> {
        let name = format!("agent-{}", index + 1);
        let (http, inner) = (self.ports.take()?, self.ports.take()?);
        let settings = json!({
            "name": name,
            "data_centre": self.size.data_centre(index),
            "rack": self.size.rack(index),
            "http_address": http,
            "inner_address": inner,
            "entries": self.entry_inner,
            "keys": self.keys(keys::Role::Agent, &name)?,
            "log_level": "info",
            "fatal_invariants": false,
        });
        self.process(name, Role::Agent, http, settings, &self.scenario.overrides.agent)?;
        Ok(http)
    }

    fn upstream(&mut self, index: u16, agent_http: SocketAddr) -> eyre::Result<()> {
        let name = format!("upstream-{}", index + 1);
        let http = self.ports.take()?;
        let settings = json!({
            "name": name,
            "http_address": http,
            "agent_url": format!("http://{agent_http}"),
            "slots": self.size.slots,
            "max_task_bytes": self.size.worker_bytes / u64::from(self.size.slots),
            "kinds": ["*"],
            "seed": self.scenario.seed.wrapping_add(u64::from(index)),
        });
        self.process(name, Role::Upstream, http, settings, &self.scenario.overrides.upstream)
    }

    fn organisations(&mut self) -> eyre::Result<Vec<Organisation>> {
        let prefix = self.scenario.deployment.name();
        let one = |index: u16| {
            let name = format!("{prefix}-{}", index + 1);
            let token = random_hex();
            let path = format!("templates/{name}.yaml");
            let template = self.template(&name, &token);
            write(self.dir, &path, &serde_norway::to_string(&template)?)?;
            Ok(Organisation { name, token, template: path })
        };
        (0..self.size.organisations).map(one).collect()
    }

    fn template(&self, organisation: &str, token: &str) -> Value {
        let kinds: Vec<Value> = self.scenario.kinds().iter().map(|kind| self.kind(kind)).collect();
        let mut template = json!({
            "organisation": organisation,
            "quota": {
                "starts_per_s": QUOTA_STARTS_PER_S,
                "burst": QUOTA_STARTS_PER_S,
                "max_in_flight": QUOTA_IN_FLIGHT,
            },
            "callers": [{"name": "bench", "token_sha256": sha256(token)}],
            "kinds": kinds,
        });
        merge(&mut template, &self.scenario.overrides.template);
        template
    }

    fn kind(&self, kind: &Kind) -> Value {
        let deadline_ms = self.scenario.client.deadline_ms;
        let declared_ms = self.scenario.run_times.mean_ms() * self.scenario.declared_run_factor;
        let run_ms = (declared_ms.round() as u32).clamp(1, deadline_ms);
        let mut template = json!({
            "name": kind.name,
            "urgency": "urgent",
            "deadline_ms": deadline_ms,
            "placement": {"spread": kind.spread},
            "repeatable": kind.repeatable,
            "priority": kind.priority,
            "size_bytes": SIZE_BYTES,
            "run_ms": run_ms,
        });
        if kind.repeatable
            && let Some(percentile) = kind.hedge_percentile
        {
            template["hedge_percentile"] = json!(percentile);
        }
        merge(&mut template, &self.scenario.overrides.kind);
        if let Some(Value::Object(own)) = self.scenario.overrides.kinds.get(kind.name) {
            merge(&mut template, own);
        }
        template
    }

    fn keys(&self, role: keys::Role, name: &str) -> eyre::Result<Value> {
        let pair = keys::issue_certificate(&self.authority, role, name)?;
        let (certificate, key) = (format!("keys/{name}.pem"), format!("keys/{name}.key.pem"));
        write(self.dir, &certificate, &pair.certificate_pem)?;
        write(self.dir, &key, &pair.key_pem)?;
        Ok(json!({
            "authority_path": "keys/authority.pem",
            "certificate_path": certificate,
            "private_key_path": key,
        }))
    }

    fn process(
        &mut self,
        name: String,
        role: Role,
        http_address: SocketAddr,
        mut settings: Value,
        overrides: &Map<String, Value>,
    ) -> eyre::Result<()> {
        merge(&mut settings, overrides);
        let path = format!("settings/{name}.yaml");
        write(self.dir, &path, &serde_norway::to_string(&settings)?)?;
        self.processes.push(Process { name, role, settings: path, http_address });
        Ok(())
    }
}

/// Puts fields over a value: maps are merged, the rest is replaced.
pub fn merge(value: &mut Value, overrides: &Map<String, Value>) {
    for (field, new) in overrides {
        match (value.get_mut(field), new) {
            (Some(old @ Value::Object(_)), Value::Object(inner)) => merge(old, inner),
            _ => value[field] = new.clone(),
        }
    }
}

/// Free ports of the loopback address, for TCP and UDP alike.
struct Ports {
    next: u16,
}

impl Ports {
    fn take(&mut self) -> eyre::Result<SocketAddr> {
        loop {
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.next));
            self.next = self.next.checked_add(1).ok_or_else(|| eyre!("no free port left"))?;
            if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
                return Ok(address);
            }
        }
    }

    fn take_many(&mut self, count: u16) -> eyre::Result<Vec<SocketAddr>> {
        (0..count).map(|_| self.take()).collect()
    }
}

fn write(dir: &Path, name: &str, text: &str) -> eyre::Result<()> {
    let path = dir.join(name);
    fs::write(&path, text).wrap_err_with(|| path.display().to_string())
}

/// A token or secret at random.
#[must_use]
pub fn random_hex() -> String {
    let mut bytes = [0; TOKEN_BYTES];
    rand::rng().fill(&mut bytes);
    hex(&bytes)
}

/// SHA-256 of a token, as settings and templates name it.
#[must_use]
pub fn sha256(text: &str) -> String {
    hex(&Sha256::digest(text.as_bytes()))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
