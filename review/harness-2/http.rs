//! HTTP/1.1 over plain sockets: a server with a thread for each connection, and a client that
//! uses a connection for each call.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }
}

pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn json(status: u16, body: String) -> Option<Self> {
        Some(Self { status, body: body.into_bytes() })
    }
}

/// Serves until the process ends. A handler that returns `None` has its connection closed
/// without an answer.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(Request) -> Option<Reply> + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = serve_connection(&stream, &*handler);
            });
        }
    });
}

fn serve_connection(
    stream: &TcpStream,
    handler: &dyn Fn(Request) -> Option<Reply>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream.try_clone()?;
    loop {
        let Some((first, headers, body)) = read_message(&mut reader)? else { return Ok(()) };
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = query.map(|(key, value)| (decode(key), decode(value))).collect();
        let request = Request { method, path: decode(path), query, headers, body };
        let Some(reply) = handler(request) else {
            let _ = stream.shutdown(std::net::Shutdown::Both);
            return Ok(());
        };
        let head = format!(
            "HTTP/1.1 {} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            reply.status,
            reply.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend(reply.body);
        writer.write_all(&bytes)?;
    }
}

type Message = (String, Vec<(String, String)>, Vec<u8>);

fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let length = headers.iter().find(|(key, _)| key == "content-length");
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some((first.trim_end().to_owned(), headers, body)))
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match (bytes[at], hex.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (b'+', _) => {
                out.push(b' ');
                at += 1;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Calls and waits for the whole answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    within: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, within)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(within))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    if !headers.iter().any(|(key, _)| *key == "host") {
        text.push_str(&format!("host: {to}\r\n"));
    }
    for (key, value) in headers {
        text.push_str(&format!("{key}: {value}\r\n"));
    }
    text.push_str("content-type: application/json\r\n\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let closed = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let (first, _, body) = read_message(&mut reader)?.ok_or_else(closed)?;
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
    Ok((status.ok_or_else(closed)?, String::from_utf8_lossy(&body).into_owned()))
}
