//! Runs the built binary in a directory of its own, against a fake entry.

#![allow(dead_code)] // each test file uses a part

use std::{
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    path::Path,
    process::{Command, Stdio},
    thread::JoinHandle,
};

pub struct TestEnv {
    dir: tempfile::TempDir,
}

/// End of a run.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl TestEnv {
    pub fn new() -> Self {
        Self { dir: tempfile::tempdir().unwrap() }
    }

    pub fn path(&self) -> &Path {
        self.dir.path()
    }

    pub fn write(&self, name: &str, text: &str) {
        fs::write(self.dir.path().join(name), text).unwrap();
    }

    pub fn read(&self, name: &str) -> String {
        fs::read_to_string(self.dir.path().join(name)).unwrap()
    }

    pub fn run(&self, args: &[&str]) -> Run {
        self.run_with_input(args, "")
    }

    pub fn run_with_input(&self, args: &[&str], input: &str) -> Run {
        let mut child = Command::new(env!("CARGO_BIN_EXE_sycamorerail"))
            .args(args)
            .current_dir(self.dir.path())
            .env_remove("SYCAMORERAIL_ENTRY")
            .env_remove("SYCAMORERAIL_TOKEN")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        // The binary may end without reading it.
        let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
        let output = child.wait_with_output().unwrap();
        Run {
            code: output.status.code().unwrap(),
            stdout: String::from_utf8(output.stdout).unwrap(),
            stderr: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

/// What the fake entry does with one call.
pub enum Reply {
    /// Answers with a status, further header lines and a body.
    Answer(u16, &'static str, String),
    /// Reads the call and hangs up.
    HangUp,
}

/// One call, as the fake entry read it.
#[derive(Debug, PartialEq, Eq)]
pub struct Seen {
    pub line: String,
    pub headers: Vec<String>,
    pub body: String,
}

impl Seen {
    pub fn header(&self, name: &str) -> Option<&str> {
        let prefix = format!("{name}: ");
        self.headers.iter().find_map(|line| line.strip_prefix(&prefix))
    }
}

/// Starts a fake entry that answers one call a reply; returns its URL, and the
/// calls it saw.
pub fn fake_entry(replies: Vec<Reply>) -> (String, JoinHandle<Vec<Seen>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let serve = move || {
        replies
            .into_iter()
            .map(|reply| {
                let (stream, _) = listener.accept().unwrap();
                serve_call(stream, &reply)
            })
            .collect()
    };
    (url, std::thread::spawn(serve))
}

fn serve_call(stream: TcpStream, reply: &Reply) -> Seen {
    let mut reader = BufReader::new(stream);
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        match line.trim_end() {
            "" => break,
            line => lines.push(line.to_owned()),
        }
    }
    let length = lines.iter().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().unwrap())];
    reader.read_exact(&mut body).unwrap();
    if let Reply::Answer(status, headers, text) = reply {
        let length = text.len();
        let head = format!("HTTP/1.1 {status} X\r\nconnection: close\r\n{headers}");
        let response = format!("{head}content-length: {length}\r\n\r\n{text}");
        reader.get_mut().write_all(response.as_bytes()).unwrap();
    }
    let line = lines.remove(0);
    Seen { line, headers: lines, body: String::from_utf8(body).unwrap() }
}

/// An address on which nothing listens.
pub fn closed_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    format!("http://{}", listener.local_addr().unwrap())
}
