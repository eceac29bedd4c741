//! The stand-ins as processes: settings, announcements, a planned stop.

mod site;

use {
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    parking_lot::Mutex,
    rocket::{
        Config, State, config::LogLevel, delete, fairing::AdHoc, put, routes, serde::json::Json,
    },
    serde_json::{Value, json},
    site::{http, until},
    std::{
        io::Write,
        net::TcpListener,
        process::{Child, Command, Stdio},
        sync::Arc,
    },
    tempfile::NamedTempFile,
    tokio::sync::oneshot,
};

const PLATFORM: &str = env!("CARGO_BIN_EXE_sycamorerail-platform-standin");
const UPSTREAM: &str = env!("CARGO_BIN_EXE_sycamorerail-upstream-standin");

type Told = Arc<Mutex<Vec<Value>>>;

/// A process that ends with the test.
struct Process(Child);

impl Process {
    fn start(program: &str, settings: &NamedTempFile) -> Self {
        let mut command = Command::new(program);
        command.arg("--settings").arg(settings.path()).stderr(Stdio::piped());
        Self(command.spawn().unwrap())
    }

    fn terminate(&self) {
        let pid = Pid::from_raw(i32::try_from(self.0.id()).unwrap());
        kill(pid, Signal::SIGTERM).unwrap();
    }

    fn ended(&mut self) -> Option<i32> {
        self.0.try_wait().unwrap().and_then(|status| status.code())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn settings(yaml: &str) -> NamedTempFile {
    let mut file = NamedTempFile::new().unwrap();
    file.write_all(yaml.as_bytes()).unwrap();
    file
}

fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

#[put("/v1/upstream", data = "<said>")]
fn announced(told: &State<Told>, said: Json<Value>) {
    told.lock().push(said.into_inner());
}

#[delete("/v1/upstream")]
fn left(told: &State<Told>) {
    told.lock().push(json!("left"));
}

/// An agent that only listens to announcements.
async fn agent() -> (u16, Told) {
    let told = Told::default();
    let (port_in, port) = oneshot::channel();
    let port_in = Mutex::new(Some(port_in));
    let liftoff = AdHoc::on_liftoff("port", move |rocket| {
        let port = rocket.config().port;
        let port_in = port_in.lock().take();
        Box::pin(async move { port_in.unwrap().send(port).unwrap() })
    });
    let config = Config { port: 0, log_level: LogLevel::Off, ..Config::release_default() };
    let rocket = rocket::custom(config).manage(Arc::clone(&told)).attach(liftoff);
    let rocket = rocket.mount("/", routes![announced, left]);
    tokio::spawn(async move { rocket.launch().await.map(drop) });
    (port.await.unwrap(), told)
}

#[tokio::test]
async fn platform_stop() {
    let port = free_port();
    let settings = settings(&format!("http_address: 127.0.0.1:{port}\n"));
    let mut process = Process::start(PLATFORM, &settings);
    let ready = format!("http://127.0.0.1:{port}/ready");
    until("it is ready", async || http().get(&ready).send().await.is_ok()).await;
    process.terminate();
    until("it ended", async || process.ended() == Some(0)).await;
}

#[tokio::test]
async fn upstream_leaves() {
    let (agent_port, told) = agent().await;
    let port = free_port();
    let settings = settings(&format!(
        "name: u1\nhttp_address: 127.0.0.1:{port}\nagent_url: http://127.0.0.1:{agent_port}\n\
         kinds: ['*']\nannounce_ms: 20\n"
    ));
    let mut process = Process::start(UPSTREAM, &settings);
    until("it is announced", async || told.lock().len() >= 2).await;
    let first = told.lock()[0].clone();
    assert_eq!(first["address"], format!("http://127.0.0.1:{port}"));
    assert_eq!((&first["name"], &first["slots"]), (&json!("u1"), &json!(8)));
    // A task in flight is not cut off by the stop.
    let url = format!("http://127.0.0.1:{port}/v1/tasks/x");
    let task = tokio::spawn(http().post(url).json(&json!({"run_ms": 1_000})).send());
    let starts = format!("http://127.0.0.1:{port}/standin/starts");
    until("the task runs", async || {
        let report: Value = http().get(&starts).send().await.unwrap().json().await.unwrap();
        report["running"] == 1
    })
    .await;
    process.terminate();
    assert_eq!(task.await.unwrap().unwrap().status().as_u16(), 200);
    until("it ended", async || process.ended() == Some(0)).await;
    let lefts = told.lock().iter().filter(|said| **said == json!("left")).count();
    assert_eq!((lefts, told.lock().last() == Some(&json!("left"))), (1, true));
}

#[tokio::test]
async fn settings_refused() {
    let settings = settings("http_addres: 127.0.0.1:1\n");
    let mut process = Process::start(PLATFORM, &settings);
    until("it ended", async || process.ended() == Some(2)).await;
}
