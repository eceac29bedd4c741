//! An agent without upstream: it does as the payload says.
//!
//! `{"do": "ok"}` finishes with the payload, `"fail"` fails, `"hang"` runs
//! until revoked or released, `"refuse"` is refused, `"break"` closes the
//! connection once after the start and then goes on like `"hang"`.

use {
    super::PATIENCE,
    parking_lot::Mutex,
    serde_json::Value,
    std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration},
    sycamorerail_wire::{
        answer::{Payload, Reason, TaskEnd, TaskRecord, TaskReport},
        ids::{Incarnation, TaskId},
        keys::{PemPair, ProcessKeys, Role, issue_certificate},
        message::{
            AgentHello, AgentIdentity, AgentReply, AgentReplyBody, ConfigMark, EntryWelcome,
            FromAgent, Load, Placement, ToAgent, UpstreamInfo,
        },
        runs::Evacuations,
        session::{self, SessionTiming},
    },
    tokio::sync::watch,
};

#[derive(Default)]
struct State {
    records: HashMap<TaskId, Option<TaskEnd>>,
    starts: Vec<TaskId>,
    messages: Vec<String>,
    sequence: u64,
    running: u16,
    /// Sent with each hello.
    evacuations: Evacuations,
    /// What entries told of evacuations.
    told: Vec<Evacuations>,
}

#[derive(Clone)]
pub struct FakeAgent {
    identity: AgentIdentity,
    entry: SocketAddr,
    endpoint: quinn::Endpoint,
    connection: Arc<Mutex<Option<quinn::Connection>>>,
    state: Arc<Mutex<State>>,
    /// Grows with each change of a record.
    changes: watch::Sender<u64>,
    slots: u16,
}

impl FakeAgent {
    pub async fn start(authority: &PemPair, entry: SocketAddr, name: &str, slots: u16) -> Self {
        let own = issue_certificate(authority, Role::Agent, name).unwrap();
        let keys = ProcessKeys::read(&authority.certificate_pem, &own).unwrap();
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let endpoint = session::open(any, &keys, SessionTiming::default()).unwrap();
        let identity = AgentIdentity {
            incarnation: Incarnation(rand::random()),
            name: name.to_owned(),
            address: endpoint.local_addr().unwrap(),
            data_centre: "here".to_owned(),
            rack: "r1".to_owned(),
        };
        let agent = Self {
            identity,
            entry,
            endpoint,
            connection: Arc::default(),
            state: Arc::default(),
            changes: watch::Sender::new(0),
            slots,
        };
        agent.connect().await;
        agent
    }

    pub async fn connect(&self) {
        let connection =
            session::connect(&self.endpoint, self.entry, Role::Entry, PATIENCE).await.unwrap();
        self.say_hello(&connection).await;
        *self.connection.lock() = Some(connection.clone());
        tokio::spawn(self.clone().serve(connection));
    }

    async fn say_hello(&self, connection: &quinn::Connection) -> EntryWelcome {
        let hello = FromAgent::Hello(Box::new(self.hello()));
        session::call(connection, &hello, PATIENCE).await.unwrap()
    }

    /// Says hello again on the same connection.
    pub async fn hello_again(&self) -> EntryWelcome {
        let connection = self.connection.lock().clone().unwrap();
        self.say_hello(&connection).await
    }

    pub fn disconnect(&self) {
        if let Some(connection) = self.connection.lock().take() {
            connection.close(0u32.into(), b"test");
        }
    }

    fn hello(&self) -> AgentHello {
        AgentHello {
            agent: self.identity.clone(),
            upstream: Some(UpstreamInfo {
                name: self.identity.name.clone(),
                slots: self.slots,
                max_task_bytes: 1_000_000,
                kinds: vec!["*".to_owned()],
            }),
            load: self.load(),
            config_mark: ConfigMark(0),
            evacuations: self.state.lock().evacuations.clone(),
        }
    }

    fn load(&self) -> Load {
        let mut state = self.state.lock();
        state.sequence += 1;
        Load {
            sequence: state.sequence,
            running: state.running,
            queued: 0,
            slots: self.slots,
            leaving: false,
        }
    }

    async fn serve(self, connection: quinn::Connection) {
        while let Ok((mut send, mut recv)) = connection.accept_bi().await {
            let (agent, connection) = (self.clone(), connection.clone());
            tokio::spawn(async move {
                let peer = connection.remote_address();
                let Ok(request) = session::read_request::<ToAgent>(peer, &mut recv).await else {
                    return;
                };
                let body = agent.handle(&connection, request).await;
                let reply = AgentReply {
                    agent: agent.identity.incarnation,
                    load: agent.load(),
                    config_mark: ConfigMark(0),
                    body,
                };
                let _ = session::write_reply(peer, &mut send, &reply).await;
            });
        }
    }

    async fn handle(&self, connection: &quinn::Connection, request: ToAgent) -> AgentReplyBody {
        match request {
            ToAgent::Place(placement) => self.place(connection, placement).await,
            ToAgent::Revoke { tasks } => self.revoke(&tasks),
            ToAgent::Fence { .. } => AgentReplyBody::Fenced(Vec::new()),
            ToAgent::Probe => AgentReplyBody::Probed,
            ToAgent::EntryStarted { .. } => AgentReplyBody::Acknowledged,
            ToAgent::Evacuations(told) => {
                self.state.lock().told.push(told);
                AgentReplyBody::Acknowledged
            }
        }
    }

    async fn place(&self, connection: &quinn::Connection, placement: Placement) -> AgentReplyBody {
        let payload: Value = serde_json::from_str(&placement.payload.0).unwrap();
        let order = payload["do"].as_str().unwrap_or("ok");
        let task = placement.task;
        let first = {
            let mut state = self.state.lock();
            state.messages.push(format!("place {order}"));
            let known = state.records.contains_key(&task);
            if order == "drain" && self.identity.name == "a" {
                connection.close(session::CLOSE_DRAINED.into(), b"drained");
                return not_started(Reason::Draining, true);
            }
            if !known && order == "refuse" {
                return not_started(Reason::UpstreamUnreachable, false);
            }
            if !known {
                state.starts.push(task);
                state.records.insert(task, None);
                state.running += 1;
            }
            !known
        };
        if first {
            match order {
                "ok" => self.end(task, TaskEnd::Finished(Payload(placement.payload.0))),
                "fail" => self.end(task, failed(Reason::TaskFailed)),
                "break" => connection.close(0u32.into(), b"told to break"),
                _ => {}
            }
        }
        self.ended(task).await
    }

    /// Ends a task that hangs.
    pub fn finish_all(&self) {
        let tasks = self.open_tasks();
        for task in tasks {
            self.end(task, TaskEnd::Finished(Payload("\"released\"".to_owned())));
        }
    }

    fn open_tasks(&self) -> Vec<TaskId> {
        let state = self.state.lock();
        state.records.iter().filter(|(_, end)| end.is_none()).map(|(task, _)| *task).collect()
    }

    fn end(&self, task: TaskId, end: TaskEnd) {
        {
            let mut state = self.state.lock();
            if let Some(record @ None) = state.records.get_mut(&task) {
                *record = Some(end);
                state.running -= 1;
            }
        }
        self.changes.send_modify(|changes| *changes += 1);
    }

    async fn ended(&self, task: TaskId) -> AgentReplyBody {
        let mut changes = self.changes.subscribe();
        loop {
            let end = self.state.lock().records.get(&task).cloned().flatten();
            if let Some(end) = end {
                return match end {
                    TaskEnd::Failed { reason: Reason::Revoked, .. } => {
                        not_started(Reason::Revoked, true)
                    }
                    end => AgentReplyBody::Ended { end, run_us: 1, queued_us: 0 },
                };
            }
            let _ = changes.changed().await;
        }
    }

    fn revoke(&self, tasks: &[TaskId]) -> AgentReplyBody {
        let reports = tasks.iter().map(|&task| {
            let known = self.state.lock().records.get(&task).cloned();
            let record = match known {
                None => {
                    // A tombstone.
                    let tombstone = failed(Reason::Revoked);
                    self.state.lock().records.insert(task, Some(tombstone));
                    TaskRecord::NeverStarted
                }
                Some(None) => {
                    self.end(task, failed(Reason::Cancelled));
                    TaskRecord::Ended(failed(Reason::Cancelled))
                }
                Some(Some(end)) => TaskRecord::Ended(end),
            };
            TaskReport { task, record }
        });
        let reports = reports.collect();
        self.state.lock().messages.push("revoke".to_owned());
        AgentReplyBody::Revoked(reports)
    }

    /// Tells entries of these evacuations at its next hello.
    pub fn hold_evacuations(&self, evacuations: Evacuations) {
        self.state.lock().evacuations = evacuations;
    }

    /// What entries told of evacuations, other than in a welcome.
    pub fn told_evacuations(&self) -> Vec<Evacuations> {
        self.state.lock().told.clone()
    }

    /// Tasks started here, in order.
    pub fn starts(&self) -> Vec<TaskId> {
        self.state.lock().starts.clone()
    }

    /// Messages of a kind heard.
    pub fn heard(&self, message: &str) -> usize {
        self.state.lock().messages.iter().filter(|heard| *heard == message).count()
    }

    /// Waits until so many tasks were started here.
    pub async fn started(&self, count: usize) {
        self.until(|state| state.starts.len() >= count).await;
    }

    /// Waits until so many messages of a kind were heard.
    pub async fn heard_at_least(&self, message: &str, count: usize) {
        let heard = |state: &State| {
            state.messages.iter().filter(|heard| *heard == message).count() >= count
        };
        self.until(heard).await;
    }

    async fn until(&self, holds: impl Fn(&State) -> bool) {
        let waiting = async {
            while !holds(&self.state.lock()) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(PATIENCE, waiting).await.unwrap();
    }
}

fn failed(reason: Reason) -> TaskEnd {
    TaskEnd::Failed { reason, detail: "as told".to_owned() }
}

fn not_started(reason: Reason, never: bool) -> AgentReplyBody {
    AgentReplyBody::NotStarted { reason, never, retry_after_ms: 10 }
}
