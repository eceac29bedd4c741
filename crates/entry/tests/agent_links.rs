//! Links of agents to an entry: a run that goes on is not ordered a second time, in whatever order
//! and of whatever kind the messages of its agent arrive.

use {
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    sycamorerail_decide::dispatch::{
        DispatchLimits, JobAnswer, JobRequest, KindParameters, StepRequest,
    },
    sycamorerail_entry::runs::{JobService, JobServiceSettings},
    sycamorerail_wire::{
        frames::{self, FrameError, FrameReader, FrameWriter},
        ids::Incarnation,
        runs::{
            CallerJobId, FromRunsAgent, InstanceId, Resources, RunEvent, RunReport,
            RunsFirstMessage, RunsHello, StepPlacement, TaskKey, ToRunsAgent, UpstreamInstance,
            UpstreamLoad,
        },
    },
    tokio::{
        net::TcpListener,
        sync::Barrier,
        task::{JoinHandle, JoinSet},
        time::{sleep, timeout},
    },
};

static HELLOS: AtomicU64 = AtomicU64::new(1);

const CAPACITY: Resources = Resources { cpu_milli: 10_000, memory_mb: 1_000, accelerators: 0 };
const TASK: TaskKey = TaskKey { job: CallerJobId(1), step: 0, index: 0 };
const FIRST: Incarnation = Incarnation(1);
const SECOND: Incarnation = Incarnation(2);
/// Nobody is silent, however busy the machine is.
const PATIENT: DispatchLimits = DispatchLimits {
    heartbeat_ms: 200,
    suspect_ms: 100_000,
    lost_ms: 100_000,
    forget_jobs_after_ms: 100_000,
    share_job_after_ms: 650,
    run_over_ms: 100_000,
    owner_timeout_ms: 100_000,
    max_jobs: 10,
};
/// Far longer than anything should take on a busy machine.
const PATIENCE: Duration = Duration::from_secs(30);

async fn start_entry(limits: DispatchLimits) -> (Arc<JobService>, SocketAddr) {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
    let own = listener.local_addr().unwrap();
    let settings = JobServiceSettings {
        name: "entry".to_owned(),
        limits,
        own,
        data_centre: "dc-1".to_owned(),
    };
    (JobService::start(settings, listener), own)
}

/// Hands a job of one task in.
fn submit(entry: &Arc<JobService>) -> JoinHandle<JobAnswer> {
    let (entry, now_ms) = (Arc::clone(entry), entry.now_ms());
    let request = JobRequest {
        id: TASK.job,
        kind: Arc::new(KindParameters {
            name: "kind".to_owned(),
            pool: "desk".to_owned(),
            priority: 0,
            max_attempts: 2,
            stretch: 2.0,
            target_ms: 100,
        }),
        spec: String::new(),
        steps: vec![StepRequest {
            count: 1,
            need: Resources { cpu_milli: 1_000, memory_mb: 1, accelerators: 0 },
            run_ms: 60_000,
            ..StepRequest::default()
        }],
        arrived_ms: now_ms,
        deadline_ms: now_ms + 100_000,
    };
    tokio::spawn(async move { entry.run(request).await })
}

/// An agent's connection to the entry.
struct Connection {
    reader: FrameReader,
    writer: FrameWriter,
    /// Incarnation of the agent.
    run: Incarnation,
    /// Number of the hello, which agents take as they connect.
    hello: u64,
    /// Number of messages received.
    heard: u64,
}

impl Connection {
    async fn open(entry: SocketAddr) -> Self {
        let (reader, writer) = frames::connect(entry, PATIENCE).await.unwrap();
        let hello = HELLOS.fetch_add(1, Ordering::Relaxed);
        Self { reader, writer, run: FIRST, hello, heard: 0 }
    }

    async fn greet(&mut self, name: &str, heard: Option<Incarnation>, held: &[(TaskKey, u32)]) {
        let hello = RunsHello {
            agent: self.run,
            name: name.to_owned(),
            data_centre: "hall".to_owned(),
            last_heard_entry: heard,
            held_runs: held.to_vec(),
            unconfirmed_reports: Vec::new(),
            configuration_revision: 0,
            number: self.hello,
        };
        self.writer.push(&RunsFirstMessage::Agent(hello)).unwrap();
        self.writer.flush().await.unwrap();
    }

    /// Returns the incarnation of the entry.
    async fn read_welcome(&mut self) -> Incarnation {
        match self.next().await {
            ToRunsAgent::Welcome { entry, .. } => entry,
            other => panic!("no welcome: {other:?}"),
        }
    }

    async fn next(&mut self) -> ToRunsAgent {
        let message = timeout(PATIENCE, self.reader.next()).await.unwrap().unwrap();
        self.heard += 1;
        message
    }

    async fn send(&mut self, message: FromRunsAgent) {
        self.writer.push(&message).unwrap();
        self.writer.flush().await.unwrap();
    }

    async fn report(&mut self, reports: Vec<RunReport>) {
        self.try_report(reports).await.unwrap();
    }

    async fn try_report(&mut self, reports: Vec<RunReport>) -> Result<(), FrameError> {
        let load = UpstreamLoad {
            usable: true,
            capacity: CAPACITY,
            slowness_percent: 100,
            ..UpstreamLoad::default()
        };
        self.writer.push(&FromRunsAgent::Report { heard: self.heard, reports, load })?;
        self.writer.flush().await
    }

    async fn report_upstream(&mut self, id: &str) {
        let upstream = UpstreamInstance {
            id: InstanceId::without_start(id),
            order_fence: 0,
            pool: "desk".to_owned(),
            capacity: CAPACITY,
            labels: Vec::new(),
            leaving: false,
        };
        self.send(FromRunsAgent::Upstream(upstream)).await;
        self.report(Vec::new()).await;
    }

    /// Connects an agent that accepts work.
    async fn open_usable(entry: SocketAddr, name: &str) -> Self {
        let mut connection = Self::open(entry).await;
        connection.greet(name, None, &[]).await;
        connection.read_welcome().await;
        connection.report_upstream(name).await;
        connection
    }

    async fn read_placement(&mut self) -> StepPlacement {
        loop {
            if let ToRunsAgent::Place(placement) = self.next().await {
                return placement;
            }
        }
    }

    async fn report_started(&mut self) {
        let report = RunReport { number: 1, task: TASK, run: 1, event: RunEvent::Started };
        self.report(vec![report]).await;
    }
}

async fn until_usable(entry: &JobService, agents: usize) {
    let all = async {
        while entry.usable_agents() < agents {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(PATIENCE, all).await.unwrap();
}

/// Guards against a second run of a task while the first one runs: a hello that was held up
/// arrives after the next connection has been made and a run ordered over it.
#[tokio::test]
async fn a_hello_that_was_overtaken_loses_no_run() {
    const HEARTBEATS: usize = 3;
    let (entry, address) = start_entry(PATIENT).await;
    let mut first = Connection::open(address).await;
    first.greet("agent-a", None, &[]).await;
    let heard = Some(first.read_welcome().await);
    drop(first);
    // The agent gives this connection up, as it gets no welcome, and makes another one.
    let mut held_up = Connection::open(address).await;
    let mut current = Connection::open(address).await;
    current.greet("agent-a", heard, &[]).await;
    current.read_welcome().await;
    current.report_upstream("a").await;
    until_usable(&entry, 1).await;
    let _job = submit(&entry);
    assert_eq!(current.read_placement().await.tasks[0].run, 1);
    current.report_started().await;
    let mut other = Connection::open_usable(address, "agent-b").await;
    until_usable(&entry, 2).await;
    held_up.greet("agent-a", heard, &[]).await;
    drop(held_up);
    let mut heartbeats = 0;
    while heartbeats < HEARTBEATS {
        match other.next().await {
            ToRunsAgent::Place(placement) => panic!("run 1 goes on: {placement:?}"),
            ToRunsAgent::Heartbeat { .. } => heartbeats += 1,
            _ => {}
        }
    }
}

/// Guards against a run that is ordered elsewhere while its agent counts as heard: messages other
/// than reports are acknowledged, and the agent keeps the run for as long as they are.
#[tokio::test]
async fn an_agent_whose_messages_are_acknowledged_is_not_silent() {
    const PAUSE: Duration = Duration::from_millis(20);
    let limits = DispatchLimits::default();
    let lost = Duration::from_millis(limits.lost_ms);
    let (entry, address) = start_entry(limits).await;
    let mut agent = Connection::open_usable(address, "agent-a").await;
    until_usable(&entry, 1).await;
    let _job = submit(&entry);
    assert_eq!(agent.read_placement().await.tasks[0].run, 1);
    agent.report_started().await;
    let mut other = Connection::open_usable(address, "agent-b").await;
    // The hello, the upstream, its load and the start of the run went before.
    let mut sent_at = vec![Instant::now(); 4];
    let mut acknowledged = 1;
    let begun = Instant::now();
    while begun.elapsed() < 2 * lost {
        sent_at.push(Instant::now());
        agent.send(FromRunsAgent::Cold { left_ms: 0 }).await;
        other.report(Vec::new()).await;
        while let Ok(message) = timeout(PAUSE, agent.next()).await {
            if let ToRunsAgent::Heartbeat { heard, .. } = message {
                acknowledged = usize::try_from(heard).unwrap();
            }
        }
        while let Ok(message) = timeout(PAUSE, other.next()).await {
            if let ToRunsAgent::Place(placement) = message {
                let silent = sent_at[acknowledged - 1].elapsed();
                assert!(silent >= lost, "{silent:?}: {placement:?}");
            }
        }
    }
    // Its run is ordered elsewhere once it is silent.
    let ordered = async {
        loop {
            other.report(Vec::new()).await;
            while let Ok(message) = timeout(PAUSE, other.next()).await {
                if matches!(message, ToRunsAgent::Place(_)) {
                    return;
                }
            }
        }
    };
    timeout(PATIENCE, ordered).await.unwrap();
}

/// Guards against a second run of a task while the first one still runs under the lease of an
/// earlier agent: a report of that agent is applied to the connection of the next one, as if all
/// runs were over.
#[tokio::test(flavor = "multi_thread", worker_threads = 6)]
async fn a_report_over_a_replaced_connection_is_not_applied() {
    // The two messages meet only in some rounds.
    const ROUNDS: usize = 200;
    for round in 0..ROUNDS {
        let placed = report_while_connecting().await;
        assert!(placed.is_none(), "in round {round}: {placed:?}");
    }
}

/// Lets the next agent connect while the earlier one and many others report, as when an entry
/// wakes. Returns what is ordered elsewhere.
async fn report_while_connecting() -> Option<StepPlacement> {
    const OTHERS: usize = 20;
    const REPORTS: usize = 20;
    const ORDERED_WITHIN: Duration = Duration::from_millis(20);
    let (entry, address) = start_entry(PATIENT).await;
    let mut earlier = Connection::open_usable(address, "agent-a").await;
    until_usable(&entry, 1).await;
    let job = submit(&entry);
    earlier.read_placement().await;
    earlier.report_started().await;
    let mut other = Connection::open_usable(address, "agent-b").await;
    until_usable(&entry, 2).await;
    let mut next = Connection::open(address).await;
    next.run = SECOND;
    let mut reporting = vec![earlier];
    for number in 0..OTHERS {
        let mut connection = Connection::open(address).await;
        connection.greet(&format!("agent-{number}"), None, &[]).await;
        connection.read_welcome().await;
        reporting.push(connection);
    }
    let ready = Arc::new(Barrier::new(reporting.len() + 1));
    let report = async |mut connection: Connection, ready: Arc<Barrier>| {
        ready.wait().await;
        for _ in 0..REPORTS {
            // That of the earlier agent ends.
            if connection.try_report(Vec::new()).await.is_err() {
                return;
            }
        }
    };
    let reports: JoinSet<()> =
        reporting.into_iter().map(|connection| report(connection, Arc::clone(&ready))).collect();
    ready.wait().await;
    next.greet("agent-a", None, &[]).await;
    next.read_welcome().await;
    reports.join_all().await;
    let placed = timeout(ORDERED_WITHIN, other.read_placement()).await.ok();
    job.abort();
    placed
}
