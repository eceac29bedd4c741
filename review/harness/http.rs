//! HTTP/1.1: a server with a thread for each connection, and a client.

use std::{
    collections::HashMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: String,
}

/// A status and a JSON body; `None` resets nothing and answers nothing: the connection closes.
pub type Answer = Option<(u16, String)>;

/// Serves an address until it is stopped or the process ends.
pub fn serve(
    address: SocketAddr,
    handler: impl Fn(Request) -> Answer + Send + Sync + 'static,
) -> io::Result<Server> {
    let listener = TcpListener::bind(address)?;
    let handler = Arc::new(handler);
    let server = Server {
        address,
        is_stopped: Arc::default(),
        connections: Arc::default(),
        accepting: None,
    };
    let (is_stopped, connections) =
        (Arc::clone(&server.is_stopped), Arc::clone(&server.connections));
    let accepting = thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if is_stopped.load(Ordering::SeqCst) {
                return;
            }
            connections.lock().unwrap().extend(stream.try_clone());
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
    Ok(Server { accepting: Some(accepting), ..server })
}

/// A server that goes on when this is dropped.
pub struct Server {
    address: SocketAddr,
    is_stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Option<JoinHandle<()>>,
}

impl Server {
    /// Ends all connections, and refuses new ones from now on.
    pub fn stop(mut self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts.
        let _ = TcpStream::connect(self.address);
        if let Some(accepting) = self.accepting.take() {
            let _ = accepting.join();
        }
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

fn serve_connection(
    stream: TcpStream,
    handler: &(impl Fn(Request) -> Answer + Send + Sync),
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut first = String::new();
        if reader.read_line(&mut first)? == 0 {
            return Ok(());
        }
        let mut words = first.split_whitespace();
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or("/"));
        let (method, target) = (method.to_owned(), target.to_owned());
        let headers = read_headers(&mut reader)?;
        let length = headers.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let request = Request {
            method,
            path: path.to_owned(),
            query: query.split('&').filter_map(|pair| pair.split_once('=')).map(unescape).collect(),
            headers,
            body: String::from_utf8_lossy(&body).into_owned(),
        };
        let Some((status, body)) = handler(request) else { return Ok(()) };
        let answer = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        writer.write_all(answer.as_bytes())?;
    }
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn unescape((key, value): (&str, &str)) -> (String, String) {
    let mut out = Vec::new();
    let bytes = value.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match (bytes[at], hex.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 2;
            }
            (b'+', _) => out.push(b' '),
            (byte, _) => out.push(byte),
        }
        at += 1;
    }
    (key.to_owned(), String::from_utf8_lossy(&out).into_owned())
}

/// Sends a request over a connection of its own and waits for the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    patience: Duration,
) -> Result<(u16, String), String> {
    let until = Instant::now() + patience;
    let mut connection = Connection::open(address, patience)?;
    let left = until.saturating_duration_since(Instant::now());
    connection.call(method, path, headers, body, left)
}

/// A client's connection, for one request after the other.
pub struct Connection {
    address: SocketAddr,
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr, patience: Duration) -> Result<Connection, String> {
        let patience = patience.max(Duration::from_millis(1));
        let stream = TcpStream::connect_timeout(&address, patience).map_err(name)?;
        stream.set_nodelay(true).map_err(name)?;
        let writer = stream.try_clone().map_err(name)?;
        Ok(Connection { address, writer, reader: BufReader::new(stream) })
    }

    /// Sends a request and waits for the whole answer.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
        patience: Duration,
    ) -> Result<(u16, String), String> {
        let mut request = format!("{method} {path} HTTP/1.1\r\n");
        if !headers.iter().any(|(name, _)| *name == "Host") {
            request += &format!("Host: {}\r\n", self.address);
        }
        for (name, value) in headers {
            request += &format!("{name}: {value}\r\n");
        }
        request += &format!(
            "content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        self.writer.write_all(request.as_bytes()).map_err(name)?;
        let patience = patience.max(Duration::from_millis(1));
        self.writer.set_read_timeout(Some(patience)).map_err(name)?;
        let mut first = String::new();
        if self.reader.read_line(&mut first).map_err(name)? == 0 {
            return Err("closed".to_owned());
        }
        let status = first.split_whitespace().nth(1).and_then(|it| it.parse().ok());
        let status = status.ok_or("no status")?;
        let headers = read_headers(&mut self.reader).map_err(name)?;
        let length = headers.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body).map_err(name)?;
        Ok((status, String::from_utf8_lossy(&body).into_owned()))
    }
}

fn name(error: io::Error) -> String {
    format!("{:?}", error.kind())
}
