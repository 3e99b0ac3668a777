//! Malformed and truncated messages that `async-h1` accepts must be rejected by client and server.

// Tests panic at the first unexpected result.
#![allow(clippy::unwrap_used)]

use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use toucanrail_wire::clients::{ClientLimits, ConnectionPool, OutboundRequest};
use toucanrail_wire::listeners::{self, ServerLimits};
use toucanrail_wire::{pipes, responses};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a server that responds with the path and the body's length, and counts the requests that
/// reach its handler.
fn start_echo_server(limits: ServerLimits) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = listeners::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let request_count = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&request_count);
    let handler = move |request: listeners::ReceivedRequest| {
        count.fetch_add(1, Ordering::SeqCst);
        let text = format!("{} {}", request.path(), request.body.len());
        async move { responses::text(200, text) }
    };
    smol::spawn(listeners::serve(listener, limits, handler)).detach();
    (address, request_count)
}

/// Sends raw bytes, shuts down the write half if `end`, and reads until the connection ends.
async fn exchange(address: SocketAddr, bytes: &[u8], end: bool) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    if end {
        stream.shutdown(Shutdown::Write).unwrap();
    }
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.ok();
    String::from_utf8_lossy(&response).into_owned()
}

async fn check_rejected(bytes: &[u8], end: bool, status: &str, result: &str) {
    let (address, request_count) = start_echo_server(ServerLimits::default());
    let response = exchange(address, bytes, end).await;
    assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{response}");
    assert!(response.contains(&format!("toucanrail-result: {result}")), "{response}");
    assert!(response.contains("toucanrail-run: not-run"), "{response}");
    assert_eq!(request_count.load(Ordering::SeqCst), 0, "the request reached the handler");
}

/// A caller's connection breaks after two of nine bytes of the body: the handler must not receive
/// them as the complete body.
#[test]
fn truncated_request() {
    let bytes = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab";
    smol::block_on(check_rejected(bytes, true, "400", "2006"));
}

/// The connection breaks inside a chunk of the body.
#[test]
fn truncated_chunk() {
    let bytes = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab";
    smol::block_on(check_rejected(bytes, true, "400", "2006"));
}

/// Ambiguous lengths allow request smuggling: two servers see different ends of the body.
#[test]
fn ambiguous_request_length() {
    let bytes = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nabc";
    smol::block_on(check_rejected(bytes, false, "400", "2002"));
    let bytes =
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n";
    smol::block_on(check_rejected(bytes, false, "400", "2002"));
    let bytes = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc";
    smol::block_on(check_rejected(bytes, false, "400", "2002"));
}

/// A malformed head closed the connection without a response; the caller must get an error.
#[test]
fn malformed_head() {
    smol::block_on(check_rejected(b"hello there\r\n\r\n", false, "400", "2001"));
    let bytes = b"GET / HTTP/1.1\r\nHost: a\r\nno colon\r\n\r\n";
    smol::block_on(check_rejected(bytes, false, "400", "2001"));
}

#[test]
fn missing_host() {
    smol::block_on(check_rejected(b"GET / HTTP/1.1\r\n\r\n", false, "400", "2007"));
}

#[test]
fn large_head() {
    let mut bytes = b"GET / HTTP/1.1\r\nHost: a\r\nX: ".to_vec();
    bytes.extend([b'x'; 9_000]);
    bytes.extend(b"\r\n\r\n");
    smol::block_on(check_rejected(&bytes, false, "431", "2003"));
}

#[test]
fn large_body() {
    let bytes = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9999999\r\n\r\n";
    smol::block_on(check_rejected(bytes, false, "413", "2004"));
}

/// A sender that stops in the middle of a request must not hold the connection longer than
/// `request_timeout`.
#[test]
fn slow_sender() {
    smol::block_on(async {
        let request_timeout = Duration::from_millis(50);
        let limits = ServerLimits { request_timeout, ..ServerLimits::default() };
        let (address, request_count) = start_echo_server(limits);
        let head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Le";
        assert!(exchange(address, head, false).await.starts_with("HTTP/1.1 408"));
        let body = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab";
        assert!(exchange(address, body, false).await.starts_with("HTTP/1.1 408"));
        assert_eq!(request_count.load(Ordering::SeqCst), 0);
    });
}

/// A caller that sends one byte at a time must not hold its connection for longer than the time for a
/// request.
#[test]
fn byte_by_byte() {
    smol::block_on(async {
        let request_timeout = Duration::from_millis(300);
        let limits = ServerLimits { request_timeout, ..ServerLimits::default() };
        let (address, _) = start_echo_server(limits);
        let mut stream = TcpStream::connect(address).await.unwrap();
        let started = Instant::now();
        let mut writer = stream.clone();
        let sending = smol::spawn(async move {
            for byte in b"GET /".iter().chain(std::iter::repeat_n(&b'a', 60)) {
                writer.write_all(&[*byte]).await.ok();
                smol::Timer::after(Duration::from_millis(50)).await;
            }
        });
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await.ok();
        let waited = started.elapsed();
        drop(sending);
        assert!(response.starts_with(b"HTTP/1.1 408"), "{}", String::from_utf8_lossy(&response));
        assert!(waited < request_timeout * 4, "{waited:?}");
    });
}

#[test]
fn connection_limit() {
    smol::block_on(async {
        let (address, _) =
            start_echo_server(ServerLimits { max_connections: 1, ..ServerLimits::default() });
        let mut first = TcpStream::connect(address).await.unwrap();
        let request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        first.write_all(request).await.unwrap();
        first.read(&mut [0; 512]).await.unwrap();
        let second = exchange(address, request, false).await;
        assert!(second.starts_with("HTTP/1.1 503"), "{second}");
        assert!(second.contains("toucanrail-result: 3203"), "{second}");
    });
}

/// Two requests arrive in one segment; the second used to be lost.
#[test]
fn pipelined_requests() {
    smol::block_on(async {
        let (address, _) = start_echo_server(ServerLimits::default());
        let bytes = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab\
            GET /b HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        let response = exchange(address, bytes, false).await;
        assert!(response.contains("/a 2") && response.contains("/b 0"), "{response}");
    });
}

/// A body whose writer is dropped early must reach the client as truncated, without its last chunk.
#[test]
fn dropped_writer() {
    smol::block_on(async {
        let listener = listeners::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let handler = |_| async {
            let (writer, body) = pipes::make_pipe();
            writer.send(b"part".to_vec()).await;
            drop(writer);
            responses::stream(200, body)
        };
        smol::spawn(listeners::serve(listener, ServerLimits::default(), handler)).detach();
        let pool = ConnectionPool::new(ClientLimits::default());
        let response = pool.fetch(address, OutboundRequest::get("/"), TIMEOUT).await;
        assert_eq!(response.unwrap_err().kind(), std::io::ErrorKind::UnexpectedEof);
    });
}

/// Starts a server that sends these bytes for each read, then closes the connection if `close`.
/// Returns its address and the number of connections it has accepted.
async fn start_fixed_server(bytes: &'static [u8], close: bool) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connections = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&connections);
    smol::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            count.fetch_add(1, Ordering::SeqCst);
            smol::spawn(async move {
                while stream.read(&mut [0; 4096]).await.is_ok_and(|count| count > 0) {
                    stream.write_all(bytes).await.ok();
                    if close {
                        return;
                    }
                }
            })
            .detach();
        }
    })
    .detach();
    (address, connections)
}

async fn check_failed(bytes: &'static [u8]) {
    let (address, _) = start_fixed_server(bytes, true).await;
    let pool = ConnectionPool::new(ClientLimits::default());
    let response = pool.fetch(address, OutboundRequest::get("/"), TIMEOUT).await;
    assert!(response.is_err(), "{:?}", response.unwrap().body);
}

/// Responses that are truncated in the head, in the body or in the last chunk must fail.
#[test]
fn truncated_response() {
    smol::block_on(async {
        check_failed(b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nabcde").await;
        check_failed(b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n").await;
        check_failed(b"HTTP/1.1 200 OK\r\nContent-Le").await;
        check_failed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n").await;
        check_failed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n")
            .await;
    });
}

/// A response with neither Content-Length nor chunked encoding used to be read as empty.
#[test]
fn response_without_length() {
    smol::block_on(check_failed(b"HTTP/1.1 200 OK\r\n\r\nabcde"));
}

#[test]
fn ambiguous_response_length() {
    let bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 5\r\n\r\nabcde";
    smol::block_on(check_failed(bytes));
}

async fn count_connections(bytes: &'static [u8]) -> usize {
    let (address, connections) = start_fixed_server(bytes, false).await;
    let pool = ConnectionPool::new(ClientLimits::default());
    for _ in 0..3 {
        let response = pool.fetch(address, OutboundRequest::get("/"), TIMEOUT).await.unwrap();
        let expected: &[u8] = if response.status == 204 { b"" } else { b"ab" };
        assert_eq!(response.body, expected);
    }
    connections.load(Ordering::SeqCst)
}

/// After a response with extra bytes, the connection must not be reused: the next exchange would
/// read them as its response.
#[test]
fn leftover_bytes() {
    smol::block_on(async {
        let clean = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
        assert_eq!(count_connections(clean).await, 1, "a clean connection is reused");
        let clean_chunked =
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n";
        assert_eq!(
            count_connections(clean_chunked).await,
            1,
            "a clean chunked connection is reused"
        );
        let leftover = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\n";
        assert_eq!(count_connections(leftover).await, 3);
        let chunked =
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\nHT";
        assert_eq!(count_connections(chunked).await, 3);
        let empty = b"HTTP/1.1 204 No Content\r\n\r\n";
        assert_eq!(count_connections(empty).await, 1, "a connection without a body is reused");
        let after_empty = b"HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\n";
        assert_eq!(count_connections(after_empty).await, 3);
        let closing = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab";
        assert_eq!(count_connections(closing).await, 3);
    });
}

/// Connections set `TCP_NODELAY`: without it, the second exchange on a connection waits 40 ms for a
/// delayed acknowledgement.
#[test]
fn no_delay() {
    smol::block_on(async {
        let (address, _) = start_echo_server(ServerLimits::default());
        let pool = ConnectionPool::new(ClientLimits::default());
        assert!(pool.connect(address, false).await.unwrap().nodelay().unwrap());
    });
}

/// A server that accepts a request and never responds: the call ends with its timeout.
#[test]
fn unresponsive_server() {
    smol::block_on(async {
        let (address, _) = start_fixed_server(b"", false).await;
        let pool = ConnectionPool::new(ClientLimits::default());
        let timeout = Duration::from_millis(50);
        let response = pool.fetch(address, OutboundRequest::get("/"), timeout).await;
        assert_eq!(response.unwrap_err().kind(), std::io::ErrorKind::TimedOut);
    });
}
