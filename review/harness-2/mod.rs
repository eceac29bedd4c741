//! A small deployment on loopback addresses: the programs of the deploy file as processes, and
//! stand-ins of the store, the runners and the clients.

#![allow(dead_code)]

pub mod http;
pub mod json;
pub mod record;
pub mod runner;
pub mod store;

use record::Record;
use runner::{Runner, Starts};
use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use store::Store;

pub const HOST: &str = "desk.example";
/// The bounds that the scripts judge by, from the settings of the small deployments.
pub const CANCEL: Duration = Duration::from_millis(3_000);
pub const STOP_GRACE: Duration = Duration::from_millis(50);
pub const DRAIN: Duration = Duration::from_millis(2_000);
pub const CONTACT: Duration = Duration::from_millis(3_000);
pub const RETRY: Duration = Duration::from_millis(1_300);

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn signal(signal: i32, handler: extern "C" fn(i32)) -> usize;
}

const SIGINT: i32 = 2;
const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;

/// Process ids of the programs that run, and whether the case was told to end.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static IS_TOLD_TO_END: AtomicBool = AtomicBool::new(false);

extern "C" fn note_end(_: i32) {
    IS_TOLD_TO_END.store(true, Ordering::Relaxed);
}

/// Ends the programs, too, where the case is ended from outside.
fn end_with_programs() {
    for number in [SIGINT, SIGTERM] {
        unsafe { signal(number, note_end) };
    }
    thread::spawn(|| {
        while !IS_TOLD_TO_END.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(20));
        }
        // Nothing is started any more while the lock is held.
        let running = RUNNING.lock().unwrap();
        running.iter().for_each(|pid| unsafe { _ = kill(*pid as i32, SIGKILL) });
        let _ = fs::remove_dir_all(folder());
        std::process::exit(2);
    });
}

/// Folder of settings and logs.
fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("review-2-{}", std::process::id()))
}

/// Exit code of a case.
pub enum Outcome {
    Held,
    Broken,
    NotRun,
}

impl Outcome {
    pub fn exit(self) -> ! {
        std::process::exit(match self {
            Self::Held => 0,
            Self::Broken => 1,
            Self::NotRun => 2,
        })
    }
}

/// Whether the disruption of the case is left out.
pub fn is_calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}

struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    inner: u16,
    app: u16,
}

/// Name, address, and process of a program of the deploy file.
struct Node {
    name: String,
    ip: IpAddr,
    child: Mutex<Option<Child>>,
}

pub struct Site {
    pub store: Store,
    pub runners: Vec<Runner>,
    pub starts: Starts,
    pub record: Record,
    fronts: Vec<Node>,
    sides: Vec<Node>,
    ports: Ports,
    folder: PathBuf,
    next_id: AtomicU64,
    /// Configurations published so far.
    version: Mutex<u64>,
}

pub const EVACUATE: Duration = Duration::from_millis(5_000);
/// Zones of the fronts, and of the sides, which take turns.
pub const ZONES: [&str; 3] = ["salt-lake", "new-town", "behala"];

impl Site {
    /// Starts fronts, and sides with a runner each of this much `cpu`; returns once all serve.
    pub fn start(fronts: u8, sides: u8, cpu: u64, record: Record) -> Option<Self> {
        end_with_programs();
        let pid = std::process::id();
        let net = |last: u8| IpAddr::V4(Ipv4Addr::new(127, 1 + (pid % 250) as u8, 77, last));
        let folder = folder();
        fs::create_dir_all(&folder).ok()?;
        let free: Vec<_> = (0..5).map(|_| TcpListener::bind((net(1), 0)).unwrap()).collect();
        let port = |n: usize| free[n].local_addr().unwrap().port();
        let ports = Ports {
            front: port(0),
            ready: port(1),
            control: port(2),
            inner: port(3),
            app: port(4),
        };
        drop(free);
        let bind = || TcpListener::bind((net(2), 0)).ok();
        let store = Store::start(bind()?, bind()?);
        let mut site = Self {
            store,
            runners: Vec::new(),
            starts: Starts::default(),
            record,
            fronts: Vec::new(),
            sides: Vec::new(),
            ports,
            folder,
            next_id: AtomicU64::new(1),
            version: Mutex::new(0),
        };
        for number in 0..fronts {
            let node = Node {
                name: format!("front-{number}"),
                ip: net(11 + number),
                child: Mutex::default(),
            };
            site.fronts.push(node);
            site.start_front(number.into());
        }
        for number in 0..sides {
            let node = Node {
                name: format!("side-{number}"),
                ip: net(31 + number),
                child: Mutex::default(),
            };
            let (control, app) = (site.ports.control, site.ports.app);
            let listener = TcpListener::bind((node.ip, app)).ok()?;
            let agent = SocketAddr::new(node.ip, control);
            site.sides.push(node);
            site.start_side(number.into());
            let id = format!("i-{number:08x}");
            let zone = ZONES[usize::from(number) % ZONES.len()];
            let (starts, record) = (site.starts.clone(), site.record.clone());
            site.runners.push(Runner::start(listener, agent, &id, zone, cpu, starts, record));
        }
        site.publish(&["desk-queue"]);
        let all_ready = || (0..fronts.into()).all(|front| site.is_ready(front));
        if !wait(Duration::from_secs(20), all_ready) {
            site.record.say("the deployment did not become ready");
            return None;
        }
        // Agents connect within this; a job on each runner shows that they serve.
        thread::sleep(Duration::from_secs(2));
        Some(site)
    }

    /// Publishes a configuration with these queues, each under a prefix of its name.
    pub fn publish(&self, queues: &[&str]) {
        let mut version = self.version.lock().unwrap();
        *version += 7;
        let routes = queues.iter().map(|queue| {
            format!(
                "{{\"name\":\"{queue}\",\"host\":\"{HOST}\",\"prefix\":\"/{queue}/\",\
                 \"kind\":\"unsafe\",\"timeout_ms\":30000,\"target_runtime_ms\":20000,\
                 \"priority\":0,\"service\":\"desk\",\"max_attempts\":2,\"stretch\":1.6}}"
            )
        });
        let routes = routes.collect::<Vec<_>>().join(",");
        let value = format!(
            "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{{\"name\":\"desk\",\
             \"rejects_overload\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
             \"max_body_bytes\":262144,\"idle_timeout_ms\":15000}}}}"
        );
        self.record.line(&format!("operator writes op/config {value}"));
        self.store.put("op/config", &value);
    }

    pub fn start_front(&self, number: usize) {
        let (ip, ports) = (self.fronts[number].ip, &self.ports);
        let listen = format!(
            "front = \"{ip}:{}\"\nready = \"{ip}:{}\"\ncontrol = \"{ip}:{}\"",
            ports.front, ports.ready, ports.control
        );
        let serves = "[\"front\",\"control\"]";
        let settings = self.settings(&self.fronts[number], "entry", "front", serves, &listen, "");
        *self.fronts[number].child.lock().unwrap() = self.run(number, "front", &settings);
    }

    pub fn start_side(&self, number: usize) {
        let (ip, ports) = (self.sides[number].ip, &self.ports);
        let listen = format!("control = \"{ip}:{}\"", ports.control);
        let app = format!("app = \"{ip}:{}\"", ports.app);
        let settings =
            self.settings(&self.sides[number], "agent", "side", "[\"side\"]", &listen, &app);
        *self.sides[number].child.lock().unwrap() = self.run(number, "side", &settings);
    }

    /// Settings as DEPLOY.md gives them, with the bounds of a small deployment.
    fn settings(
        &self,
        node: &Node,
        role: &str,
        class: &str,
        serves: &str,
        listen: &str,
        app: &str,
    ) -> String {
        let Node { name, ip, .. } = node;
        let number = name.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(0_usize);
        let zone = ZONES[number % ZONES.len()];
        let seeds = self.fronts.iter().take(3);
        let seeds = seeds.map(|front| format!("\"{}:{}\"", front.ip, self.ports.control));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let is_front = class == "front";
        let store = if is_front { self.store.for_fronts } else { self.store.for_sides };
        let inner = self.ports.inner;
        format!(
            "node = \"{name}\"\nrole = \"{role}\"\nclass = \"{class}\"\nserves = {serves}\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"kolkata\"\n\
             internal_port_range = [{inner},{inner}]\nseeds = [{seeds}]\nbootstrap = true\n\
             counts_toward_loss = false\ndiscovery = \"local\"\nentry = \"vip\"\n\
             heartbeat_ms = 1500\norders = \"rpc\"\n{app}\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\"]\n\
             [zones]\nsalt-lake = \"kolkata\"\nnew-town = \"kolkata\"\nbehala = \"kolkata\"\n\
             [listen]\n{listen}\n\
             [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\n\
             [bounds]\ncontact_ms = 3000\nack_ms = 4000\ndrain_ms = 2000\ngrace_s = 6\n\
             loss_slack_ms = 200\nconfig_apply_ms = 2000\nrecover_s = 12\nhold_max_ms = 1000\n\
             evacuate_ms = 5000\nstop_grace_ms = 50\ncancel_ms = 3000\nvisible_ms = 3000\nstatus_s = 120\n\
             require_fence = false\nlease_ms = 3000\nretry_ms = 1300\n\
             [platform]\naddr = \"{store}\"\nform = \"kv\"\nwrites_per_s = 400\n\
             reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n"
        )
    }

    fn run(&self, number: usize, program: &str, settings: &str) -> Option<Child> {
        let path = self.folder.join(format!("{program}-{number}.toml"));
        fs::write(&path, settings).unwrap();
        let log = path.with_extension("log");
        let log = fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
        let mut running = RUNNING.lock().unwrap();
        let child = Command::new(format!("target/release/sycamorerail-{program}"))
            .env_clear()
            .env("SYCAMORERAIL_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        self.record.line(&format!("{program}-{number} starts"));
        match child {
            Ok(child) => {
                running.push(child.id());
                Some(child)
            }
            Err(error) => {
                // Without it the deployment does not become ready.
                self.record.say(&format!("cannot start {program}: {error}"));
                None
            }
        }
    }

    pub fn signal_front(&self, number: usize, signal: i32) {
        self.record.line(&format!("signal {signal} to front-{number}"));
        send(&self.fronts[number], signal);
    }

    pub fn signal_side(&self, number: usize, signal: i32) {
        self.record.line(&format!("signal {signal} to side-{number}"));
        send(&self.sides[number], signal);
    }

    /// Kills a front and starts it again.
    pub fn restart_front(&self, number: usize, down: Duration) {
        self.record.line(&format!("front-{number} is killed"));
        end(&self.fronts[number]);
        thread::sleep(down);
        self.start_front(number);
    }

    pub fn front(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.fronts[number].ip, self.ports.front)
    }

    /// Where the agent takes announcements.
    pub fn control(&self, side: usize) -> SocketAddr {
        SocketAddr::new(self.sides[side].ip, self.ports.control)
    }

    pub fn is_ready(&self, front: usize) -> bool {
        let ready = SocketAddr::new(self.fronts[front].ip, self.ports.ready);
        let answer = http::call(ready, "GET", "/ready", &[], "", Duration::from_millis(500));
        answer.is_ok_and(|(status, _)| status == 200)
    }

    /// An id that no job has.
    pub fn id(&self) -> String {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}", u64::from(std::process::id()) << 32 | number)
    }

    /// Sends a request of a client and records it with its answer; 0 stands for no answer.
    pub fn request(
        &self,
        front: usize,
        method: &str,
        path: &str,
        body: &str,
        deadline: Duration,
    ) -> (u16, String) {
        self.record.line(&format!("client sends {method} {path} to front-{front} {body}"));
        let deadline_ms = deadline.as_millis().to_string();
        let headers = [("host", HOST), ("x-deadline-ms", &*deadline_ms)];
        let answer = http::call(self.front(front), method, path, &headers, body, deadline);
        let (status, text) = answer.unwrap_or_else(|error| (0, error.to_string()));
        self.record.line(&format!("client gets {status} for {method} {path}: {text}"));
        (status, text)
    }

    /// Starts of tasks of a job so far.
    pub fn starts_of(&self, id: &str) -> Vec<runner::Start> {
        let starts = self.starts.lock().unwrap();
        starts.iter().filter(|start| start.task.starts_with(id)).cloned().collect()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.fronts.iter().chain(&self.sides).for_each(end);
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn send(node: &Node, signal: i32) {
    if let Some(child) = &*node.child.lock().unwrap() {
        unsafe { kill(child.id() as i32, signal) };
    }
}

fn end(node: &Node) {
    if let Some(mut child) = node.child.lock().unwrap().take() {
        RUNNING.lock().unwrap().retain(|pid| *pid != child.id());
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A body of a job without storage.
pub fn job(count: u32, cpu: u32, run_ms: u64, more: &str) -> String {
    format!(
        "{{\"spec\":\"{run_ms}\",\"best_effort\":true,\"steps\":[{{\"count\":{count},\
         \"cpu\":{cpu},\"mem_mb\":64,\"est_ms\":{run_ms}{more}}}]}}"
    )
}

/// Waits until something holds; returns whether it does.
pub fn wait(within: Duration, holds: impl Fn() -> bool) -> bool {
    let until = Instant::now() + within;
    while !holds() {
        if Instant::now() > until {
            return false;
        }
        thread::sleep(Duration::from_millis(10));
    }
    true
}
