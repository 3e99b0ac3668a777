//! Heads of responses and requests with odd statuses, and with fields that are not ASCII.

// Tests panic at the first unexpected result.
#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use toucanrail_wire::clients::{ClientLimits, ConnectionPool, OutboundRequest};
use toucanrail_wire::listeners::{self, ServerLimits};
use toucanrail_wire::responses;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a server that answers one call with these bytes.
fn start_server(answer: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut stream = listener.accept().unwrap().0;
        assert!(stream.read(&mut [0; 4096]).unwrap() > 0);
        stream.write_all(&answer).unwrap();
        stream.shutdown(Shutdown::Write).ok();
        stream.read_to_end(&mut Vec::new()).ok();
    });
    address
}

/// Guards against a process that ends, or takes the answer for one, when the store, a relay or a server
/// answers with a status that is none.
#[test]
fn odd_statuses() {
    for code in ["000", "001", "042", "099", "600", "777", "999", "20", "2000", "2x0", "abc", ""] {
        let answer = format!("HTTP/1.1 {code} OK\r\nContent-Length: 2\r\n\r\nok").into_bytes();
        let address = start_server(answer);
        let pool = ConnectionPool::new(ClientLimits::default());
        let fetched = smol::block_on(pool.fetch(address, OutboundRequest::get("/"), TIMEOUT));
        assert!(fetched.is_err(), "{code}");
    }
}

/// Guards against a process that ends when a field of an answer is not ASCII.
#[test]
fn response_fields() {
    for value in ["caf\u{e9}".as_bytes(), &[b'c', 0xe9], &[0xff, 0xfe], "\u{1f980}".as_bytes()] {
        let head = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Note: ";
        let address = start_server([head, value, b"\r\n\r\nok"].concat());
        let pool = ConnectionPool::new(ClientLimits::default());
        let fetched = smol::block_on(pool.fetch(address, OutboundRequest::get("/"), TIMEOUT));
        // Bytes that are no UTF-8 make the head malformed; others concern the field alone.
        match std::str::from_utf8(value) {
            Ok(_) => assert_eq!(fetched.unwrap().body, b"ok"),
            Err(_) => assert!(fetched.is_err()),
        }
    }
}

/// Guards against a process that ends when a field of a call is not ASCII.
#[test]
fn request_fields() {
    let listener = listeners::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let handler = |_| async { responses::text(200, "ok") };
    smol::spawn(listeners::serve(listener, ServerLimits::default(), handler)).detach();
    for value in ["caf\u{e9}".as_bytes(), &[b'c', 0xe9], &[0xff, 0xfe], "\u{1f980}".as_bytes()] {
        for place in [&b"GET / HTTP/1.1\r\nHost: x\r\nX-Note: "[..], b"GET /"] {
            let end = if place.len() < 10 { &b" HTTP/1.1\r\nHost: x"[..] } else { b"" };
            let mut stream = TcpStream::connect(address).unwrap();
            stream.set_read_timeout(Some(TIMEOUT)).unwrap();
            stream
                .write_all(&[place, value, end, b"\r\nConnection: close\r\n\r\n"].concat())
                .unwrap();
            let mut answer = String::new();
            stream.read_to_string(&mut answer).ok();
            assert!(answer.starts_with("HTTP/1.1 400 "), "{value:?}: {answer}");
        }
    }
}
