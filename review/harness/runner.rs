//! Stand-in of a runner: runs each task for the time that its `spec` names in milliseconds,
//! under the lease that its agent renews.

use super::{
    http::{self, Answer, Request, Server},
    json::{Json, num, obj, text},
    record::Record,
};
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime},
};

/// Longest lease, `hold_max_ms`.
const HOLD_MAX_MS: u64 = 1_000;
/// Time that a stop takes, `stop_grace_ms`.
const STOP_GRACE: Duration = Duration::from_millis(50);
/// Time between heartbeats, `heartbeat_ms`.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// The clock of a life begins here.
const CLOCK_FROM_MS: u64 = 20_000;

pub struct Running {
    pub run: u32,
    ends_at: Instant,
    how: &'static str,
    cpu: u64,
}

struct Life {
    id: String,
    born_unix_ms: u64,
    began: Instant,
    seq: u64,
    service: String,
    labels: Vec<String>,
    running: HashMap<String, Running>,
    /// Highest run that was stopped or ended, by task.
    highest: HashMap<String, u32>,
    ended: Vec<(u64, String, u32, &'static str)>,
    last_end: u64,
    fence: u64,
    lease_until_ms: u64,
    is_draining: bool,
    /// The process is gone: it answers nothing and sends nothing.
    is_down: bool,
}

impl Life {
    fn new(id: &str, service: &str, labels: &[&str]) -> Life {
        Life {
            id: id.to_owned(),
            born_unix_ms: unix_ms(),
            began: Instant::now(),
            seq: 0,
            service: service.to_owned(),
            labels: labels.iter().map(|label| (*label).to_owned()).collect(),
            running: HashMap::new(),
            highest: HashMap::new(),
            ended: Vec::new(),
            last_end: 0,
            fence: 0,
            lease_until_ms: CLOCK_FROM_MS,
            is_draining: false,
            is_down: false,
        }
    }

    fn clock_ms(&self) -> u64 {
        CLOCK_FROM_MS + self.began.elapsed().as_millis() as u64
    }
}

/// A start or an end of a run, as the runner saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at_ms: u64,
    pub runner: String,
    pub service: String,
    pub labels: Vec<String>,
    pub task: String,
    pub run: u32,
    /// Empty for a start.
    pub end: &'static str,
}

pub struct Runner {
    pub name: String,
    pub cpu: u64,
    state: Mutex<Life>,
    changed: Condvar,
    address: SocketAddr,
    server: Mutex<Option<Server>>,
    agent: SocketAddr,
    record: Record,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl Runner {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        name: &str,
        address: SocketAddr,
        agent: SocketAddr,
        service: &str,
        labels: &[&str],
        cpu: u64,
        record: &Record,
        seen: &Arc<Mutex<Vec<Seen>>>,
    ) -> io::Result<Arc<Runner>> {
        let runner = Arc::new(Runner {
            name: name.to_owned(),
            cpu,
            state: Mutex::new(Life::new(&format!("{name}-1"), service, labels)),
            changed: Condvar::new(),
            address,
            server: Mutex::default(),
            agent,
            record: record.clone(),
            seen: Arc::clone(seen),
        });
        runner.serve()?;
        let ticking = Arc::clone(&runner);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(2));
                ticking.tick();
            }
        });
        let beating = Arc::clone(&runner);
        thread::spawn(move || {
            loop {
                let is_acknowledged = beating.beat();
                let pause = if is_acknowledged { HEARTBEAT } else { Duration::from_millis(200) };
                thread::sleep(pause);
            }
        });
        Ok(runner)
    }

    fn serve(self: &Arc<Self>) -> io::Result<()> {
        let serving = Arc::clone(self);
        let server = http::serve(self.address, move |request| serving.answer(&request))?;
        *self.server.lock().unwrap() = Some(server);
        Ok(())
    }

    /// The present life crashes with all that it runs; connections are refused.
    pub fn crash(&self) {
        let mut life = self.state.lock().unwrap();
        life.is_down = true;
        let names: Vec<_> = life.running.keys().cloned().collect();
        for task in names {
            self.end(&mut life, &task, "crashed");
        }
        drop(life);
        if let Some(server) = self.server.lock().unwrap().take() {
            server.stop();
        }
        self.record.line(&format!("{} crashes", self.name));
    }

    /// Another life begins and sends its first heartbeat.
    pub fn begin(self: &Arc<Self>, id: &str, service: &str, labels: &[&str]) {
        *self.state.lock().unwrap() = Life::new(id, service, labels);
        self.serve().expect("the address is free again");
        self.record.line(&format!("{} begins life {id}: {service} {labels:?}", self.name));
        self.beat();
    }

    pub fn drain(&self) {
        self.state.lock().unwrap().is_draining = true;
        self.record.line(&format!("{} drains", self.name));
        self.beat();
    }

    /// Sends a heartbeat; returns whether it was acknowledged.
    pub fn beat(&self) -> bool {
        let (id, body) = {
            let mut life = self.state.lock().unwrap();
            if life.is_down {
                return false;
            }
            life.seq += 1;
            let labels = life.labels.iter().map(text).collect();
            let body = obj([
                ("service", text(&life.service)),
                ("addr", text("")),
                ("zone", text("salt-lake")),
                ("version", text("v1")),
                ("slots", num(8)),
                ("state", text(if life.is_draining { "draining" } else { "ready" })),
                ("cold_left_ms", num(0)),
                (
                    "capacity",
                    obj([("cpu", num(self.cpu)), ("mem_mb", num(32_768)), ("gpu", num(0))]),
                ),
                ("labels", Json::Arr(labels)),
                ("clock_ms", num(life.clock_ms())),
                ("seq", num(life.seq)),
                ("born", num(life.born_unix_ms)),
            ]);
            (life.id.clone(), body.to_string())
        };
        let path = format!("/instances/{id}");
        let answer = http::call(self.agent, "PUT", &path, &[], &body, Duration::from_secs(1));
        answer.is_ok_and(|(status, _)| (200..300).contains(&status))
    }

    pub fn running(&self) -> Vec<String> {
        self.state.lock().unwrap().running.keys().cloned().collect()
    }

    fn answer(&self, request: &Request) -> Answer {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        {
            let life = self.state.lock().unwrap();
            if life.is_down {
                return None;
            }
            let target = request.headers.get("x-target-instance");
            if target.is_some_and(|target| *target != life.id) {
                return Some((421, obj([("clock_ms", num(life.clock_ms()))]).to_string()));
            }
        }
        let done = match &*request.path {
            "/run-start" => self.start_run(&body),
            "/run-stop" => self.stop_run(&body),
            "/hold" => return self.hold(&body),
            _ => return Some((404, "{}".to_owned())),
        };
        let clock_ms = self.state.lock().unwrap().clock_ms();
        Some(match done {
            Ok(()) => (200, obj([("clock_ms", num(clock_ms))]).to_string()),
            Err(reason) => {
                (409, obj([("clock_ms", num(clock_ms)), ("reason", text(reason))]).to_string())
            }
        })
    }

    fn start_run(&self, body: &Json) -> Result<(), &'static str> {
        let mut life = self.state.lock().unwrap();
        let task = body.get("task").str().unwrap_or_default().to_owned();
        let run = body.get("run").u64().unwrap_or(0) as u32;
        let fence = body.get("fence").u64().unwrap_or(0);
        if fence < life.fence {
            return Err("fence");
        }
        life.fence = fence;
        let deadline_ms = body.get("deadline_ms").u64().unwrap_or(0);
        let clock_ms = life.clock_ms();
        if deadline_ms >= clock_ms {
            let until_ms = deadline_ms.min(clock_ms + HOLD_MAX_MS);
            life.lease_until_ms = life.lease_until_ms.max(until_ms);
        }
        if life.running.get(&task).is_some_and(|running| running.run == run) {
            return Ok(());
        }
        if life.highest.get(&task).is_some_and(|highest| run <= *highest) {
            return Err("old");
        }
        if deadline_ms < clock_ms {
            return Err("late");
        }
        let spec = body.get("spec").str().unwrap_or_default().to_owned();
        let run_ms: u64 = spec.parse().unwrap_or(5);
        let ends_at = Instant::now() + Duration::from_millis(run_ms);
        life.running.insert(task.clone(), Running { run, ends_at, how: "done", cpu: 0 });
        self.note(&life, &task, run, "");
        Ok(())
    }

    fn stop_run(&self, body: &Json) -> Result<(), &'static str> {
        let mut life = self.state.lock().unwrap();
        let fence = body.get("fence").u64().unwrap_or(0);
        if fence < life.fence {
            return Err("fence");
        }
        life.fence = fence;
        let task = body.get("task").str().unwrap_or_default().to_owned();
        let run = body.get("run").u64().unwrap_or(0) as u32;
        let highest = life.highest.entry(task.clone()).or_default();
        *highest = run.max(*highest);
        let stopped_at = Instant::now() + STOP_GRACE;
        if let Some(running) = life.running.get_mut(&task)
            && running.run == run
            && stopped_at < running.ends_at
        {
            running.ends_at = stopped_at;
            running.how = "stopped";
        }
        Ok(())
    }

    fn hold(&self, body: &Json) -> Answer {
        let mut life = self.state.lock().unwrap();
        let fence = body.get("fence").u64().unwrap_or(0);
        if fence < life.fence {
            let refused = obj([("clock_ms", num(life.clock_ms())), ("reason", text("fence"))]);
            return Some((409, refused.to_string()));
        }
        life.fence = fence;
        if let Some(deadline_ms) = body.get("deadline_ms").u64() {
            let until_ms = deadline_ms.min(life.clock_ms() + HOLD_MAX_MS);
            life.lease_until_ms = life.lease_until_ms.max(until_ms);
        }
        let acknowledged = body.get("acked_through").u64().unwrap_or(0);
        life.ended.retain(|(number, ..)| *number > acknowledged);
        let wait = Duration::from_millis(body.get("wait_ms").u64().unwrap_or(0).min(2_000));
        let until = Instant::now() + wait;
        while life.ended.is_empty() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            life = self.changed.wait_timeout(life, left).unwrap().0;
        }
        if life.is_down {
            return None;
        }
        let running = life.running.iter().map(|(task, running)| {
            Json::Arr(vec![
                text(task),
                num(running.run.into()),
                text(""),
                num(100),
                num(running.cpu),
            ])
        });
        let ended = life.ended.iter().take(500).map(|(number, task, run, how)| {
            Json::Arr(vec![num(*number), text(task), num((*run).into()), text(*how), text("")])
        });
        let lists = obj([
            ("clock_ms", num(life.clock_ms())),
            ("born", num(life.born_unix_ms)),
            ("running", Json::Arr(running.collect())),
            ("ended", Json::Arr(ended.collect())),
        ]);
        Some((200, lists.to_string()))
    }

    /// Ends tasks that have run their time, and all when the lease lapses.
    fn tick(&self) {
        let mut life = self.state.lock().unwrap();
        let has_lapsed = life.clock_ms() > life.lease_until_ms;
        let now = Instant::now();
        let over: Vec<_> = life
            .running
            .iter()
            .filter(|(_, running)| has_lapsed || running.ends_at <= now)
            .map(|(task, running)| {
                (task.clone(), if running.ends_at <= now { running.how } else { "lapsed" })
            })
            .collect();
        for (task, how) in over {
            self.end(&mut life, &task, how);
        }
    }

    fn end(&self, life: &mut Life, task: &str, how: &'static str) {
        let Some(running) = life.running.remove(task) else { return };
        life.last_end += 1;
        let number = life.last_end;
        life.ended.push((number, task.to_owned(), running.run, how));
        let highest = life.highest.entry(task.to_owned()).or_default();
        *highest = running.run.max(*highest);
        self.note(life, task, running.run, how);
        self.changed.notify_all();
    }

    fn note(&self, life: &Life, task: &str, run: u32, end: &'static str) {
        let what = if end.is_empty() { "starts" } else { end };
        self.record.line(&format!("{} ({}): run {run} of {task} {what}", self.name, life.id));
        self.seen.lock().unwrap().push(Seen {
            at_ms: self.record.now_ms(),
            runner: self.name.clone(),
            service: life.service.clone(),
            labels: life.labels.clone(),
            task: task.to_owned(),
            run,
            end,
        });
    }
}

fn unix_ms() -> u64 {
    SystemTime::UNIX_EPOCH.elapsed().map_or(0, |since| since.as_millis() as u64)
}
