//! What a caller may send, and how long it may take, according to the configuration.

mod platform;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use platform::request;
use platform::services::PlainService;
use serde_json::json;

/// Limits in the configuration, in bytes and milliseconds.
const HEAD_LIMIT: u64 = 2_000;
const BODY_LIMIT: u64 = 5_000;
const HEAD_TIME: u64 = 400;
const IDLE_TIME: u64 = 600;
/// Time that a caller's limits may be exceeded by.
const MARGIN: Duration = Duration::from_millis(700);

fn start() -> PlainService {
    PlainService::start_changed(|config| {
        config["limits"] = json!({
            "max_header_bytes": HEAD_LIMIT, "max_body_bytes": BODY_LIMIT,
            "header_timeout_ms": HEAD_TIME, "idle_timeout_ms": IDLE_TIME,
        });
    })
}

fn connect(service: &PlainService) -> TcpStream {
    let stream = TcpStream::connect(service.gateway.callers).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(8))).expect("a timeout");
    stream
}

fn body_of(length: u64) -> String {
    "x".repeat(usize::try_from(length).expect("a length"))
}

/// A request whose head is too large is refused with 431; one that is smaller is served.
#[test]
fn large_head() {
    let service = start();
    let headers = |length: u64| format!("X-Long: {}\r\n", body_of(length));
    service.assert_refused(&request("POST", "/once/a", "r1", &headers(HEAD_LIMIT), "x"), 431);
    let text = request("POST", "/once/a", "r2", &headers(HEAD_LIMIT - 400), "x");
    service.forward(&text);
}

/// A body that is too large is refused with 413, whether its length is stated or not; one of
/// exactly the limit arrives whole.
#[test]
fn large_body() {
    let service = start();
    service.assert_refused(&request("POST", "/once/a", "r1", "", &body_of(BODY_LIMIT + 1)), 413);
    let chunked = |length: u64| {
        let head = request("POST", "/once/a", "r1", "Transfer-Encoding: chunked\r\n", "");
        let head = head.replace("Content-Length: 0\r\n", "");
        format!("{head}{}0\r\n\r\n", platform::chunk(&body_of(length)))
    };
    service.assert_refused(&chunked(BODY_LIMIT + 1), 413);
    for text in [request("POST", "/once/a", "r2", "", &body_of(BODY_LIMIT)), chunked(BODY_LIMIT)] {
        assert_eq!(service.forward(&text).body.len() as u64, BODY_LIMIT);
    }
}

/// A caller that begins a head and does not go on is given up after the time for a head.
#[test]
fn slow_head() {
    let service = start();
    let mut caller = connect(&service);
    caller.write_all(b"POST /once/a HTTP/1.1\r\nHost: shop").expect("to write");
    let start = Instant::now();
    let mut response = Vec::new();
    caller.read_to_end(&mut response).ok();
    let limit = Duration::from_millis(HEAD_TIME);
    assert!((limit..limit + MARGIN).contains(&start.elapsed()), "{:?}", start.elapsed());
    let response = String::from_utf8_lossy(&response);
    assert!(response.is_empty() || response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(service.backend.seen().is_empty());
}

/// A caller waits for leave to send its body, which then arrives whole.
#[test]
fn expecting_caller() {
    let service = start();
    let text = request("POST", "/once/a", "r1", "Expect: 100-continue\r\n", "body");
    let (head, body) = text.split_at(text.len() - 4);
    let mut caller = connect(&service);
    caller.write_all(head.as_bytes()).expect("to write");
    let mut interim = [0; 25];
    caller.read_exact(&mut interim).expect("an interim response");
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    caller.write_all(body.as_bytes()).expect("to write");
    let mut response = Vec::new();
    let mut byte = [0];
    while !response.ends_with(b"fine") {
        assert_eq!(caller.read(&mut byte).expect("a response"), 1);
        response.push(byte[0]);
    }
    assert_eq!(service.backend.seen()[0].body, b"body");
}

/// A connection that is idle for less than its time is kept, and one that is idle for longer is
/// closed.
#[test]
fn idle_connection() {
    let service = start();
    let mut caller = connect(&service);
    let limit = Duration::from_millis(IDLE_TIME);
    for id in ["r1", "r2", "r3"] {
        caller.write_all(request("POST", "/once/a", id, "", "x").as_bytes()).expect("to write");
        let mut response = Vec::new();
        let mut byte = [0];
        while !response.ends_with(b"fine") {
            assert_eq!(caller.read(&mut byte).expect("a response"), 1);
            response.push(byte[0]);
        }
        thread::sleep(limit.mul_f64(0.8));
    }
    let start = Instant::now();
    assert_eq!(caller.read(&mut [0]).expect("an end"), 0);
    assert!(start.elapsed() < limit.mul_f64(0.2) + MARGIN, "{:?}", start.elapsed());
    assert_eq!(service.backend.seen().len(), 3);
}
