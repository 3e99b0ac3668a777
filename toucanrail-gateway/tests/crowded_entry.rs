//! For some seconds most new connections go to one entry, and their callers keep them open.

mod platform;

use std::io::Write;
use std::net::TcpStream;

use platform::{Action, Backend, Process, Store, request};

/// File descriptors of the entry, of which at most seven in ten are for callers.
const DESCRIPTORS: usize = 420;
/// Callers that keep their connections as long as the entry lets them.
const CALLER_COUNT: usize = 600;

fn start_entry(store: &Store) -> Process {
    Process::start_with_settings(store, &format!("[limits]\nmax_fds = {DESCRIPTORS}\n"))
}

/// Sends a request on a new connection. Returns the connection and the response's head.
fn call_new(entry: &Process, number: usize) -> Option<(TcpStream, String)> {
    let mut stream = TcpStream::connect(entry.callers).ok()?;
    let bytes = request("POST", "/safe/a", &format!("c{number}"), "", "x");
    stream.write_all(bytes.as_bytes()).ok()?;
    let response = platform::read_message(&mut stream).filter(|read| read.body == b"fine")?;
    Some((stream, response.head.to_lowercase()))
}

/// An entry whose connections run out closes some after their responses instead of turning new callers
/// away unread.
#[test]
fn kept_connections() {
    let store = Store::start();
    let server = Backend::start("i-1", |_, _| Action::Respond(platform::signed_response("fine")));
    platform::configure_prepaid(&store, 1, &[&server], 1_000_000);
    let entry = start_entry(&store);
    let mut kept = Vec::new();
    let mut unread = 0;
    for number in 0..CALLER_COUNT {
        match call_new(&entry, number) {
            Some((stream, head)) if !head.contains("connection: close") => kept.push(stream),
            Some(_) => {}
            None => unread += 1,
        }
    }
    assert_eq!(unread, 0, "{} connections are kept", kept.len());
    assert!(kept.len() > DESCRIPTORS / 4, "only {} connections are kept", kept.len());
}
