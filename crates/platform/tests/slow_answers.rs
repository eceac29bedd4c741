//! Answers that take long to arrive in full.

use {
    std::{net::SocketAddr, time::Duration},
    sycamorerail_platform::{Platform, PlatformConfig, PlatformErrorKind},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

const TIMEOUT_MS: u32 = 1_000;
/// Pause between two parts of an answer.
const PART_PAUSE: Duration = Duration::from_millis(100);
/// An answer without keys, as the service writes it.
const ANSWER: &str = r#"{"header":{"revision":"7"},"kvs":[],"more":false}"#;

/// Answers each call in so many parts, of which the first ones are sent.
async fn serve_in_parts(parts: usize, sent: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(answer(stream, parts, sent));
        }
    });
    address
}

async fn answer(mut stream: TcpStream, parts: usize, sent: usize) {
    let mut request = [0; 4_096];
    let _ = stream.read(&mut request).await.unwrap();
    // Blanks before the text change nothing but its length.
    let body = format!("{}{ANSWER}", " ".repeat(parts));
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).await.unwrap();
    for part in body.as_bytes().chunks(body.len().div_ceil(parts)).take(sent) {
        sleep(PART_PAUSE).await;
        // The client may have left.
        let _ = stream.write_all(part).await;
    }
    // The connection stays open until the client closes it.
    let _ = stream.read(&mut request).await;
}

async fn client(parts: usize, sent: usize) -> Platform {
    let url = format!("http://{}", serve_in_parts(parts, sent).await);
    let config = PlatformConfig { url, timeout_ms: TIMEOUT_MS, call_budget_per_s: 100 };
    Platform::new(config).unwrap()
}

// A large answer over a narrow link was given up although it was arriving, each time anew.
#[tokio::test]
async fn an_answer_that_arrives_slowly_is_read_to_its_end() {
    let range = client(25, 25).await.range("configuration/").await.unwrap();
    assert_eq!(range.mark, 7);
}

#[tokio::test]
async fn an_answer_that_stops_midway_times_out() {
    let failed = client(25, 3).await.range("configuration/").await.unwrap_err();
    assert!(matches!(failed.kind, PlatformErrorKind::Timeout), "{failed}");
}

#[tokio::test]
async fn an_answer_that_goes_on_for_too_long_times_out() {
    let failed = client(1_000, 1_000).await.range("configuration/").await.unwrap_err();
    assert!(matches!(failed.kind, PlatformErrorKind::Timeout), "{failed}");
}
