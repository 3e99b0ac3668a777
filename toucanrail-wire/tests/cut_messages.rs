//! Messages that end at any of their bytes: responses to all clients of the project's own processes and
//! of the store, and requests to its servers.

// Tests panic at the first unexpected result.
#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use toucanrail_wire::clients::{ClientLimits, ConnectionPool, Method, OutboundRequest};
use toucanrail_wire::connections::BufferedConnection;
use toucanrail_wire::listeners::{self, ServerLimits};
use toucanrail_wire::{responses, rpc};

const TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which the end of a connection must be noticed.
const PROMPT_TIME: Duration = Duration::from_secs(1);
/// Time between the two parts of a message.
const SPLIT_PAUSE: Duration = Duration::from_millis(10);

const LENGTH: &str = "HTTP/1.1 200 OK\r\nServer: x\r\nContent-Length: 5\r\n\r\nabcde";
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n";
const NO_CONTENT: &str = "HTTP/1.1 204 No Content\r\nServer: x\r\n\r\n";
const NOT_MODIFIED: &str = "HTTP/1.1 304 Not Modified\r\nETag: x\r\n\r\n";
const HEAD_ONLY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";

/// Starts a server that answers with `whole` for `sound` times on each connection, then with the
/// first `cut` bytes of it, and closes.
fn start_cutting(whole: &[u8], sound: usize, cut: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let whole = whole.to_vec();
    thread::spawn(move || {
        let mut stream = listener.accept().unwrap().0;
        for turn in 0..=sound {
            assert!(stream.read(&mut [0; 4096]).unwrap() > 0);
            let end = if turn < sound { whole.len() } else { cut };
            stream.write_all(&whole[..end]).unwrap();
        }
        // Unread bytes would make this a reset.
        stream.shutdown(Shutdown::Write).ok();
        stream.read_to_end(&mut Vec::new()).ok();
    });
    address
}

/// Checks that a response is read only if it is whole, as the first one on its connection and behind
/// another one.
fn check_cuts(whole: &'static str, method: Method) {
    for sound in [0, 1] {
        for cut in 0..=whole.len() {
            let address = start_cutting(whole.as_bytes(), sound, cut);
            let pool = ConnectionPool::new(ClientLimits::default());
            let fetch = || {
                let request = OutboundRequest::new(method, "/");
                smol::block_on(pool.fetch(address, request, TIMEOUT))
            };
            for _ in 0..sound {
                assert!(fetch().is_ok(), "{whole}");
            }
            let begun = Instant::now();
            assert_eq!(fetch().is_ok(), cut == whole.len(), "cut at {cut} of {whole}");
            assert!(begun.elapsed() < PROMPT_TIME, "cut at {cut} of {whole}");
        }
    }
}

/// Guards against an answer of the store, an agent or an engine that is cut and taken for whole.
#[test]
fn cut_responses() {
    check_cuts(LENGTH, Method::Get);
    check_cuts(CHUNKED, Method::Get);
}

/// Guards against the same for answers that consist of a head alone.
#[test]
fn cut_heads() {
    check_cuts(NO_CONTENT, Method::Get);
    check_cuts(NOT_MODIFIED, Method::Get);
    check_cuts(HEAD_ONLY, Method::Head);
}

/// Guards against an interim answer that is taken for the whole one because the server stops behind it.
#[test]
fn interim_heads() {
    for interim in ["HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"]
    {
        for cut in 0..=interim.len() {
            let address = start_cutting(interim.as_bytes(), 0, cut);
            let pool = ConnectionPool::new(ClientLimits::default());
            let fetched = smol::block_on(pool.fetch(address, OutboundRequest::get("/"), TIMEOUT));
            assert!(fetched.is_err(), "cut at {cut}");
        }
    }
}

/// Guards against a streamed answer of an agent or an engine that ends early and is taken for whole.
#[test]
fn cut_streams() {
    for cut in 0..=CHUNKED.len() {
        let address = start_cutting(CHUNKED.as_bytes(), 0, cut);
        let (begun, pool) = (Instant::now(), ConnectionPool::new(ClientLimits::default()));
        let read = smol::block_on(async {
            let mut stream = pool.open(address, OutboundRequest::get("/"), TIMEOUT).await.ok()?;
            while !stream.read_chunk(TIMEOUT).await.ok()?.is_empty() {}
            Some(())
        });
        assert_eq!(read.is_some(), cut == CHUNKED.len(), "cut at {cut}");
        assert!(begun.elapsed() < PROMPT_TIME, "cut at {cut}");
    }
}

/// Guards against a whole answer that is not taken for whole, or late, because its bytes arrive in two
/// parts.
#[test]
fn split_responses() {
    for whole in [LENGTH, CHUNKED, NO_CONTENT] {
        for split in 1..whole.len() {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            let server = thread::spawn(move || {
                let mut stream = listener.accept().unwrap().0;
                stream.set_nodelay(true).unwrap();
                assert!(stream.read(&mut [0; 4096]).unwrap() > 0);
                stream.write_all(&whole.as_bytes()[..split]).unwrap();
                thread::sleep(SPLIT_PAUSE);
                stream.write_all(&whole.as_bytes()[split..]).unwrap();
                stream
            });
            let (begun, pool) = (Instant::now(), ConnectionPool::new(ClientLimits::default()));
            let fetched = smol::block_on(pool.fetch(address, OutboundRequest::get("/"), TIMEOUT));
            assert!(fetched.is_ok(), "split at {split} of {whole}");
            assert!(begun.elapsed() < PROMPT_TIME, "split at {split} of {whole}");
            server.join().unwrap();
        }
    }
}

/// Guards against a reply of a relay or a lender that is cut and decodes all the same.
#[test]
fn cut_replies() {
    let body: Vec<u8> = vec![0x93, 0x01, 0x02, 0x03];
    let mut reply = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n".to_vec();
    reply.extend_from_slice(&body);
    for cut in 0..=reply.len() {
        let address = start_cutting(&reply, 0, cut);
        let called = smol::block_on(async {
            let mut connection = BufferedConnection::connect(address).await?;
            rpc::call::<_, Vec<u8>>(&mut connection, "/x", &()).await
        });
        assert_eq!(called.ok(), (cut == reply.len()).then(|| vec![1, 2, 3]), "cut at {cut}");
    }
}

/// Guards against a call between the project's processes, or of a caller to an entry of its own
/// interface, that is cut and handled all the same.
#[test]
fn cut_requests() {
    let listener = listeners::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let request_count = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&request_count);
    let handler = move |_| {
        count.fetch_add(1, Ordering::SeqCst);
        async { responses::text(200, "done") }
    };
    smol::spawn(listeners::serve(listener, ServerLimits::default(), handler)).detach();
    let requests = [
        "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde",
        "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
        "GET /x HTTP/1.1\r\nHost: a\r\n\r\n",
    ];
    for request in requests {
        for cut in 0..request.len() {
            let (begun, mut stream) = (Instant::now(), TcpStream::connect(address).unwrap());
            stream.write_all(&request.as_bytes()[..cut]).unwrap();
            stream.shutdown(Shutdown::Write).unwrap();
            let mut response = String::new();
            stream.read_to_string(&mut response).ok();
            assert!(!response.contains(" 200 "), "cut at {cut}: {response}");
            assert!(begun.elapsed() < PROMPT_TIME, "cut at {cut}");
        }
    }
    assert_eq!(request_count.load(Ordering::SeqCst), 0);
}
