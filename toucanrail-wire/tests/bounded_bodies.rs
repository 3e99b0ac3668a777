//! Responses without end to calls that read the whole response.

// Tests panic at the first unexpected result.
#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use smol::future::FutureExt;
use toucanrail_wire::clients::{ClientLimits, ConnectionPool, OutboundRequest};

const TIMEOUT: Duration = Duration::from_millis(500);
/// Size of the responses that the calls expect at most.
const MAX_BODY: u64 = 1024 * 1024;
/// What sockets hold of a response besides.
const SOCKET_BUFFERS: u64 = 12 * 1024 * 1024;
/// Bytes after which the server ends a response all the same, so that no test fills memory.
const MAX_SENT: u64 = 256 * 1024 * 1024;
/// Longest time for which a call may keep the other tasks of its thread waiting.
const MAX_STALL: Duration = Duration::from_millis(100);

const LENGTH: &str = "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const EXTENSION: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10;";
const TRAILERS: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
const HEAD: &str = "HTTP/1.1 200 OK\r\nX-Filler: ";

/// Starts a server that sends `opening` and then `filler` for ever. Returns its address and the
/// largest number of bytes that it could send.
fn start_endless(opening: &'static str, filler: &'static str) -> (SocketAddr, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let largest = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&largest);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            assert!(stream.read(&mut [0; 4096]).unwrap() > 0);
            let block = filler.repeat(64 * 1024 / filler.len());
            let mut sent = stream.write(opening.as_bytes()).unwrap() as u64;
            while sent < MAX_SENT && stream.write_all(block.as_bytes()).is_ok() {
                sent += block.len() as u64;
                counted.fetch_max(sent, Ordering::Relaxed);
            }
        }
    });
    (address, largest)
}

/// Checks that a call to such a server fails within its timeout and its limit, and holds up no other
/// task.
fn check_endless(opening: &'static str, filler: &'static str) {
    let (address, largest) = start_endless(opening, filler);
    let pool = ConnectionPool::new(ClientLimits { max_body: MAX_BODY, ..ClientLimits::default() });
    let (begun, mut longest) = (Instant::now(), Duration::ZERO);
    let fetched = smol::block_on(async {
        let ticking = async {
            loop {
                let at = Instant::now();
                smol::Timer::after(Duration::from_millis(1)).await;
                longest = longest.max(at.elapsed());
            }
        };
        pool.fetch(address, OutboundRequest::get("/"), TIMEOUT).or(ticking).await
    });
    assert!(fetched.is_err(), "{opening}");
    assert!(begun.elapsed() < TIMEOUT + MAX_STALL, "{opening}: {:?}", begun.elapsed());
    assert!(longest < MAX_STALL, "{opening}: {longest:?}");
    let sent = largest.load(Ordering::Relaxed);
    assert!(sent < MAX_BODY + SOCKET_BUFFERS, "{opening}: {sent} bytes");
}

/// Guards against a body without end that is kept in memory, and that keeps its call from ending in
/// time.
#[test]
fn endless_bodies() {
    check_endless(LENGTH, " ");
    check_endless(CHUNKED, "10\r\naaaaaaaaaaaaaaaa\r\n");
}

/// Guards against the same for bytes around the chunks of a body.
#[test]
fn endless_framing() {
    check_endless(CHUNKED, "1;a=b\r\na\r\n");
    check_endless(EXTENSION, "a");
    check_endless(TRAILERS, "X-Filler: a\r\n");
}

/// Guards against the same for heads and for bytes that are none.
#[test]
fn endless_heads() {
    check_endless(HEAD, "a");
    check_endless("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n");
    check_endless("", "a");
}
