//! A runner: starts what it is told to, lists runs and ends, keeps to leases, and announces
//! itself at its agent. The text of a task names its run time in milliseconds.

use super::{
    http::{self, Reply, Request},
    json::{Json, quote},
    record::Record,
};
use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime},
};

const HOLD_MAX_MS: u64 = 1_000;
const STOP_GRACE: Duration = Duration::from_millis(50);
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// A start that a runner has begun.
#[derive(Clone, Debug)]
pub struct Start {
    pub runner: String,
    pub zone: &'static str,
    pub task: String,
    pub run: u32,
    pub at: Instant,
    /// When it ended, and how.
    pub end: Option<(Instant, &'static str)>,
}

#[derive(Clone)]
struct Running {
    run: u32,
    until: Instant,
    how: &'static str,
    start: usize,
}

struct State {
    id: String,
    zone: &'static str,
    born: u64,
    began: Instant,
    seq: u64,
    cpu: u64,
    state: &'static str,
    running: BTreeMap<String, Running>,
    highest: BTreeMap<String, u32>,
    ended: Vec<(u64, String, u32, &'static str)>,
    last_end: u64,
    fence: u64,
    lease_until_ms: u64,
}

impl State {
    fn clock_ms(&self) -> u64 {
        20_000 + self.began.elapsed().as_millis() as u64
    }
}

/// All starts on all runners of a site, in order.
pub type Starts = Arc<Mutex<Vec<Start>>>;

#[derive(Clone)]
pub struct Runner {
    pub address: SocketAddr,
    agent: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    starts: Starts,
    record: Record,
}

impl Runner {
    pub fn start(
        listener: TcpListener,
        agent: SocketAddr,
        id: &str,
        zone: &'static str,
        cpu: u64,
        starts: Starts,
        record: Record,
    ) -> Self {
        let state = State {
            id: id.to_owned(),
            zone,
            born: unix_ms(),
            began: Instant::now(),
            seq: 0,
            cpu,
            state: "ready",
            running: BTreeMap::new(),
            highest: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            fence: 0,
            lease_until_ms: 0,
        };
        let address = listener.local_addr().unwrap();
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let runner = Self { address, agent, shared, starts, record };
        let serving = runner.clone();
        http::serve(listener, move |request| serving.answer(&request));
        let ticking = runner.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(2));
                ticking.tick();
            }
        });
        let beating = runner.clone();
        thread::spawn(move || {
            loop {
                let accepted = beating.announce();
                thread::sleep(if accepted { HEARTBEAT } else { Duration::from_millis(200) });
            }
        });
        runner
    }

    pub fn id(&self) -> String {
        self.shared.0.lock().unwrap().id.clone()
    }

    pub fn running(&self) -> usize {
        self.shared.0.lock().unwrap().running.len()
    }

    /// Says from now on that it drains, and tells so at once; returns whether that was
    /// acknowledged.
    pub fn drain(&self) -> bool {
        self.shared.0.lock().unwrap().state = "draining";
        self.announce()
    }

    /// The announcement as the runner sends it now, with its path.
    pub fn announcement(&self) -> (String, String) {
        let mut state = self.shared.0.lock().unwrap();
        state.seq += 1;
        let body = format!(
            "{{\"service\":\"desk\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"{}\",\"cold_left_ms\":0,\"capacity\":{{\"cpu\":{},\
             \"mem_mb\":32768,\"gpu\":0}},\"labels\":[\"a\",\"r1-1\"],\"clock_ms\":{},\
             \"born\":{},\"seq\":{}}}",
            self.address,
            state.zone,
            state.state,
            state.cpu,
            state.clock_ms(),
            state.born,
            state.seq
        );
        (format!("/instances/{}", state.id), body)
    }

    /// Sends an announcement; returns whether it was acknowledged within a second.
    fn announce(&self) -> bool {
        let (path, body) = self.announcement();
        let within = Duration::from_secs(1);
        let answer = http::call(self.agent, "PUT", &path, &[], &body, within);
        let status = answer.map_or(0, |(status, _)| status);
        self.record.line(&format!("heartbeat to {}: {status} {path} {body}", self.agent));
        (200..300).contains(&status)
    }

    fn answer(&self, request: &Request) -> Option<Reply> {
        let body = Json::parse(&request.body)?;
        let meant = request.header("x-target-instance");
        if !meant.is_empty() && meant != self.id() {
            return Reply::json(421, "{}".into());
        }
        let done = match &*request.path {
            "/run-start" => self.start_run(&body),
            "/run-stop" => self.stop_run(&body),
            "/hold" => return self.hold(&body),
            _ => return Reply::json(404, "{}".into()),
        };
        let clock_ms = self.shared.0.lock().unwrap().clock_ms();
        match done {
            Ok(()) => Reply::json(200, format!("{{\"clock_ms\":{clock_ms}}}")),
            Err(why) => {
                Reply::json(409, format!("{{\"clock_ms\":{clock_ms},\"reason\":\"{why}\"}}"))
            }
        }
    }

    fn start_run(&self, body: &Json) -> Result<(), &'static str> {
        let mut state = self.shared.0.lock().unwrap();
        let task = body.get("task").text().to_owned();
        let run = body.get("run").whole().unwrap_or(0) as u32;
        let fence = body.get("fence").whole().unwrap_or(0);
        if fence < state.fence {
            return Err("fence");
        }
        state.fence = fence;
        if state.running.get(&task).is_some_and(|running| running.run == run) {
            return Ok(());
        }
        let clock_ms = state.clock_ms();
        let until_ms = body.get("deadline_ms").whole().unwrap_or(0);
        if state.highest.get(&task).is_some_and(|highest| run <= *highest) {
            return Err("old");
        }
        if until_ms < clock_ms {
            return Err("late");
        }
        state.lease_until_ms = state.lease_until_ms.max(until_ms.min(clock_ms + HOLD_MAX_MS));
        let run_ms = body.get("spec").text().parse().unwrap_or(10);
        let now = Instant::now();
        let runner = state.id.clone();
        self.record.line(&format!("start on {runner}: {task} run {run}, {run_ms} ms"));
        let mut starts = self.starts.lock().unwrap();
        let running = Running {
            run,
            until: now + Duration::from_millis(run_ms),
            how: "done",
            start: starts.len(),
        };
        starts.push(Start {
            runner,
            zone: state.zone,
            task: task.clone(),
            run,
            at: now,
            end: None,
        });
        state.running.insert(task, running);
        Ok(())
    }

    fn stop_run(&self, body: &Json) -> Result<(), &'static str> {
        let mut state = self.shared.0.lock().unwrap();
        if body.get("fence").whole().unwrap_or(0) < state.fence {
            return Err("fence");
        }
        let task = body.get("task").text().to_owned();
        let run = body.get("run").whole().unwrap_or(0) as u32;
        let highest = state.highest.entry(task.clone()).or_default();
        *highest = run.max(*highest);
        let stopped = Instant::now() + STOP_GRACE / 2;
        if let Some(running) = state.running.get_mut(&task)
            && running.run == run
            && stopped < running.until
        {
            (running.until, running.how) = (stopped, "stopped");
        }
        Ok(())
    }

    fn hold(&self, body: &Json) -> Option<Reply> {
        let mut state = self.shared.0.lock().unwrap();
        let (clock_ms, fence) = (state.clock_ms(), body.get("fence").whole().unwrap_or(0));
        if fence < state.fence {
            let refusal = format!("{{\"clock_ms\":{clock_ms},\"reason\":\"fence\"}}");
            return Reply::json(409, refusal);
        }
        state.fence = fence;
        if let Some(until_ms) = body.get("deadline_ms").whole() {
            state.lease_until_ms = state.lease_until_ms.max(until_ms.min(clock_ms + HOLD_MAX_MS));
        }
        let through = body.get("acked_through").whole().unwrap_or(0);
        state.ended.retain(|(number, ..)| *number > through);
        let wait = Duration::from_millis(body.get("wait_ms").whole().unwrap_or(0).min(2_000));
        let until = Instant::now() + wait;
        while state.ended.is_empty() && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
        let running = state.running.iter();
        let running = running
            .map(|(task, Running { run, .. })| format!("[{},{run},\"\",100,500]", quote(task)));
        let running: Vec<_> = running.collect();
        let ended = state.ended.iter().take(500);
        let ended = ended.map(|(number, task, run, how)| {
            format!("[{number},{},{run},\"{how}\",\"\"]", quote(task))
        });
        let ended: Vec<_> = ended.collect();
        let (clock_ms, born) = (state.clock_ms(), state.born);
        let (running, ended) = (running.join(","), ended.join(","));
        Reply::json(
            200,
            format!(
                "{{\"clock_ms\":{clock_ms},\"born\":{born},\"running\":[{running}],\"ended\":[{ended}]}}"
            ),
        )
    }

    /// Ends what has run its time, and all when the lease has lapsed.
    fn tick(&self) {
        let mut state = self.shared.0.lock().unwrap();
        let has_lapsed = state.clock_ms() > state.lease_until_ms;
        let now = Instant::now();
        let over = state.running.iter().filter(|(_, run)| has_lapsed || run.until <= now);
        let over: Vec<_> = over.map(|(task, run)| (task.clone(), run.clone())).collect();
        if over.is_empty() {
            return;
        }
        for (task, Running { run, until, how, start }) in over {
            let how = if until <= now { how } else { "lapsed" };
            state.running.remove(&task);
            state.last_end += 1;
            let number = state.last_end;
            state.ended.push((number, task.clone(), run, how));
            let highest = state.highest.entry(task.clone()).or_default();
            *highest = run.max(*highest);
            self.record.line(&format!("end on {}: {task} run {run} {how}", state.id));
            self.starts.lock().unwrap()[start].end = Some((now, how));
        }
        drop(state);
        self.shared.1.notify_all();
    }
}

fn unix_ms() -> u64 {
    SystemTime::UNIX_EPOCH.elapsed().unwrap().as_millis() as u64
}
