//! What `async-h1` lets pass, guarded at both ends.

// A test stops at the first thing that is not as it should be.
#![allow(clippy::unwrap_used)]

use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use toucanrail_wire::clients::{ClientLimits, ConnectionPool, OutboundRequest};
use toucanrail_wire::listeners::{self, ServerLimits};
use toucanrail_wire::{pipes, responses};

const BOUND: Duration = Duration::from_secs(10);

/// Starts a server that echoes a body's length and counts the calls that reach its handler.
fn echo_server(limits: ServerLimits) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = listeners::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let handled = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&handled);
    let answer = move |call: listeners::ReceivedRequest| {
        count.fetch_add(1, Ordering::SeqCst);
        let text = format!("{} {}", call.path(), call.body.len());
        async move { responses::text(200, text) }
    };
    smol::spawn(listeners::serve(listener, limits, answer)).detach();
    (address, handled)
}

/// Sends raw bytes, ends the sending side if asked to, and reads all that comes.
async fn exchange(address: SocketAddr, bytes: &[u8], end: bool) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    if end {
        stream.shutdown(Shutdown::Write).unwrap();
    }
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.ok();
    String::from_utf8_lossy(&answer).into_owned()
}

async fn check_refused(bytes: &[u8], end: bool, status: &str, code: &str) {
    let (address, handled) = echo_server(ServerLimits::default());
    let answer = exchange(address, bytes, end).await;
    assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
    assert!(answer.contains(&format!("toucanrail-result: {code}")), "{answer}");
    assert!(answer.contains("toucanrail-run: not-run"), "{answer}");
    assert_eq!(handled.load(Ordering::SeqCst), 0, "the handler got it");
}

/// A caller's connection breaks behind two of nine bytes: the handler must not take them for the
/// whole body.
#[test]
fn cut_request() {
    let bytes = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab";
    smol::block_on(check_refused(bytes, true, "400", "2006"));
}

/// The body is cut inside a chunk.
#[test]
fn cut_chunk() {
    let bytes = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab";
    smol::block_on(check_refused(bytes, true, "400", "2006"));
}

/// Two lengths are how one request is smuggled inside another.
#[test]
fn two_lengths() {
    let bytes = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nabc";
    smol::block_on(check_refused(bytes, false, "400", "2002"));
    let bytes =
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n";
    smol::block_on(check_refused(bytes, false, "400", "2002"));
    let bytes = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc";
    smol::block_on(check_refused(bytes, false, "400", "2002"));
}

/// A garbage head was closed without a word; a caller must hear what is wrong.
#[test]
fn garbage_head() {
    smol::block_on(check_refused(b"hello there\r\n\r\n", false, "400", "2001"));
    let bytes = b"GET / HTTP/1.1\r\nHost: a\r\nno colon\r\n\r\n";
    smol::block_on(check_refused(bytes, false, "400", "2001"));
}

#[test]
fn missing_host() {
    smol::block_on(check_refused(b"GET / HTTP/1.1\r\n\r\n", false, "400", "2007"));
}

#[test]
fn large_head() {
    let mut bytes = b"GET / HTTP/1.1\r\nHost: a\r\nX: ".to_vec();
    bytes.extend([b'x'; 9_000]);
    bytes.extend(b"\r\n\r\n");
    smol::block_on(check_refused(&bytes, false, "431", "2003"));
}

#[test]
fn large_body() {
    let bytes = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9999999\r\n\r\n";
    smol::block_on(check_refused(bytes, false, "413", "2004"));
}

/// A sender that never finishes its request holds a connection for the arrival bound, no longer.
#[test]
fn slow_sender() {
    smol::block_on(async {
        let request_timeout = Duration::from_millis(50);
        let limits = ServerLimits { request_timeout, ..ServerLimits::default() };
        let (address, handled) = echo_server(limits);
        let head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Le";
        assert!(exchange(address, head, false).await.starts_with("HTTP/1.1 408"));
        let body = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab";
        assert!(exchange(address, body, false).await.starts_with("HTTP/1.1 408"));
        assert_eq!(handled.load(Ordering::SeqCst), 0);
    });
}

#[test]
fn crowded_server() {
    smol::block_on(async {
        let (address, _) =
            echo_server(ServerLimits { max_connections: 1, ..ServerLimits::default() });
        let mut first = TcpStream::connect(address).await.unwrap();
        let request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        first.write_all(request).await.unwrap();
        first.read(&mut [0; 512]).await.unwrap();
        let second = exchange(address, request, false).await;
        assert!(second.starts_with("HTTP/1.1 503"), "{second}");
        assert!(second.contains("toucanrail-result: 3203"), "{second}");
    });
}

/// Two requests come in one segment; the second was lost.
#[test]
fn pipelined_requests() {
    smol::block_on(async {
        let (address, _) = echo_server(ServerLimits::default());
        let bytes = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab\
            GET /b HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        let answer = exchange(address, bytes, false).await;
        assert!(answer.contains("/a 2") && answer.contains("/b 0"), "{answer}");
    });
}

/// A body whose writer gives up must end without its last chunk.
#[test]
fn failed_body() {
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
        let answer = pool.fetch(address, OutboundRequest::get("/"), BOUND).await;
        assert_eq!(answer.unwrap_err().kind(), std::io::ErrorKind::UnexpectedEof);
    });
}

/// Starts a server that sends these bytes for each request, then closes if asked to.
async fn fixed_server(bytes: &'static [u8], close: bool) -> (SocketAddr, Arc<AtomicUsize>) {
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
    let (address, _) = fixed_server(bytes, true).await;
    let pool = ConnectionPool::new(ClientLimits::default());
    let answer = pool.fetch(address, OutboundRequest::get("/"), BOUND).await;
    assert!(answer.is_err(), "{:?}", answer.unwrap().body);
}

/// An answer of 20 bytes is cut behind 5: it must not pass as whole, wherever it is cut.
#[test]
fn cut_answer() {
    smol::block_on(async {
        check_failed(b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nabcde").await;
        check_failed(b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n").await;
        check_failed(b"HTTP/1.1 200 OK\r\nContent-Le").await;
        check_failed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n").await;
        check_failed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n")
            .await;
    });
}

/// An answer with neither length nor chunks was taken as empty.
#[test]
fn unmeasured_answer() {
    smol::block_on(check_failed(b"HTTP/1.1 200 OK\r\n\r\nabcde"));
}

#[test]
fn ambiguous_answer() {
    let bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 5\r\n\r\nabcde";
    smol::block_on(check_failed(bytes));
}

async fn count_connections(bytes: &'static [u8]) -> usize {
    let (address, connections) = fixed_server(bytes, false).await;
    let pool = ConnectionPool::new(ClientLimits::default());
    for _ in 0..3 {
        let answer = pool.fetch(address, OutboundRequest::get("/"), BOUND).await.unwrap();
        assert_eq!(answer.body, b"ab");
    }
    connections.load(Ordering::SeqCst)
}

/// Bytes behind an answer belong to another one: the connection must not be used again.
#[test]
fn leftover_bytes() {
    smol::block_on(async {
        let clean = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
        assert_eq!(count_connections(clean).await, 1, "a clean connection is used again");
        let clean = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n";
        assert_eq!(count_connections(clean).await, 1, "a clean chunked one is used again");
        let left = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\n";
        assert_eq!(count_connections(left).await, 3);
        let chunked =
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\nHT";
        assert_eq!(count_connections(chunked).await, 3);
        let closing = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab";
        assert_eq!(count_connections(closing).await, 3);
    });
}

/// Without it, the second exchange on a kept connection waits 40 ms for a delayed acknowledgement.
#[test]
fn no_delay() {
    smol::block_on(async {
        let (address, _) = echo_server(ServerLimits::default());
        let pool = ConnectionPool::new(ClientLimits::default());
        assert!(pool.connect(address, false).await.unwrap().nodelay().unwrap());
    });
}

/// A server that takes a call and never answers: the caller waits for its bound, no longer.
#[test]
fn silent_server() {
    smol::block_on(async {
        let (address, _) = fixed_server(b"", false).await;
        let pool = ConnectionPool::new(ClientLimits::default());
        let bound = Duration::from_millis(50);
        let answer = pool.fetch(address, OutboundRequest::get("/"), bound).await;
        assert_eq!(answer.unwrap_err().kind(), std::io::ErrorKind::TimedOut);
    });
}
