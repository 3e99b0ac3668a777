//! Streams of a service whose servers run several software versions. A stream may go on only at the
//! version that began it.

mod platform;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use platform::{Action, Backend, Message, Process, Store, request};

/// Number of events in a complete stream.
const EVENTS: u64 = 6;
/// Timeout of all routes; an entry proves a sole version by itself after a longer time.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(6);
/// Long enough for the entry to tell relays where a stream began, and for a reset relay to be back
/// in use.
const RECORD_TIME: Duration = Duration::from_millis(500);

/// A store, two servers of version `v1`, relays and two entries.
struct Fleet {
    store: Store,
    old: [Backend; 2],
    new: Backend,
    relays: Vec<Process>,
    entries: [Process; 2],
}

/// Streams the events after the caller's last one; each names the server's version.
fn stream_version(version: &'static str) -> impl Fn(usize, &Message) -> Action {
    move |_, message| {
        let last = message.field("last-event-id").map_or(0, |text| text.parse().unwrap_or(0));
        let events = (last + 1..=EVENTS).map(|id| format!("id: {id}\ndata: {version}\n\n"));
        let chunks = events.map(|event| platform::chunk(&event) + "PAUSE");
        Action::Respond([platform::STREAM_HEAD, &chunks.collect::<String>(), "0\r\n\r\n"].concat())
    }
}

impl Fleet {
    fn start(relay_count: usize) -> Self {
        let store = Store::start();
        let old = ["i-5", "i-6"].map(|id| Backend::start(id, stream_version("v1")));
        // Of servers with equal loads, entries prefer the first by id.
        let new = Backend::start("i-0", stream_version("v2"));
        platform::configure_prepaid(&store, 1, &[&old[0], &old[1]], 100_000);
        let names = (0..relay_count).map(|number| format!("side-{number}"));
        let names: Vec<String> = names.collect();
        let relays = names.iter().map(|name| Process::start_relay(&store, name)).collect();
        platform::wait_until("the relays", || names.iter().all(|name| store.has("relays", name)));
        let entries = ["front-1", "front-2"].map(|vm| Process::start_gateway_on(&store, vm));
        Self { store, old, new, relays, entries }
    }

    /// Adds the server of version `v2`, and waits until both entries send new streams there.
    fn add_version(&self) {
        platform::register_version(&self.store, &self.new, "v2");
        for entry in &self.entries {
            platform::wait_until("the new version", || {
                call_stream(entry, &fresh_id(), "").contains("data: v2")
            });
        }
    }

    /// Asserts that `response` refuses a request, which no server received.
    fn assert_refused(&self, response: &str, id: &str) {
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(response.to_lowercase().contains("toucanrail-run: not-run"), "{response}");
        for server in self.old.iter().chain([&self.new]) {
            let seen = server.seen();
            assert!(seen.iter().all(|message| message.field("x-attempt-id") != Some(id)));
        }
    }
}

/// Asserts that `response` is the rest of a stream after its first event, from the servers of
/// version `v1` alone.
fn assert_old(response: &str) {
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert_eq!(response.matches("data: v1").count() as u64, EVENTS - 1, "{response}");
    assert!(!response.contains("data: v2") && response.ends_with("0\r\n\r\n"), "{response}");
}

/// Returns an id that no request has had.
fn fresh_id() -> String {
    static NEXT_ID: AtomicU64 = AtomicU64::new(0);
    format!("fresh-{}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// Sends a request for a resumable stream and returns the whole response.
fn call_stream(entry: &Process, id: &str, headers: &str) -> String {
    platform::call_raw(entry.callers, &stream_request(id, headers))
}

fn stream_request(id: &str, headers: &str) -> String {
    let headers = format!("X-Model: m\r\nX-Token-Usage: 100,60\r\nConnection: close\r\n{headers}");
    request("POST", "/resume/a", id, &headers, "p")
}

/// Begins a stream and returns the connection after its first event.
fn begin_stream(entry: &Process, id: &str) -> TcpStream {
    let mut caller = TcpStream::connect(entry.callers).expect("a connection");
    caller.write_all(stream_request(id, "").as_bytes()).expect("to write");
    let mut received = Vec::new();
    let mut byte = [0];
    while !received.ends_with(b"data: v1\n\n") {
        assert_eq!(caller.read(&mut byte).expect("an event"), 1, "{received:?}");
        received.push(byte[0]);
    }
    caller
}

/// Takes a stream up after its first event.
fn take_up(entry: &Process, id: &str, began_as: &str) -> String {
    call_stream(entry, id, &format!("Last-Event-Id: 1\r\nResumes: {began_as}\r\n"))
}

/// A server breaks a stream off, and the only other one runs another version. The caller must not
/// get its events in the same response.
#[test]
fn one_response() {
    let store = Store::start();
    let broken = [platform::STREAM_HEAD, &platform::chunk("id: 1\ndata: v1\n\nid: 2\nda")].concat();
    let first = Backend::start("i-0", move |_, _| Action::Disconnect(broken.clone()));
    let other = Backend::start("i-1", stream_version("v2"));
    platform::configure_prepaid(&store, 1, &[&first], 100_000);
    let gateway = Process::start_gateway(&store);
    platform::register_version(&store, &other, "v2");
    thread::sleep(RECORD_TIME);
    let response = call_stream(&gateway, "r1", "");
    assert!(response.contains("data: v1") && !response.contains("data: v2"), "{response}");
    assert!(!response.ends_with("0\r\n\r\n"), "{response}");
    assert!(other.seen().is_empty());
}

/// The same with another server of the first version: the stream goes on there.
#[test]
fn one_response_continued() {
    let store = Store::start();
    let broken = [platform::STREAM_HEAD, &platform::chunk("id: 1\ndata: v1\n\nid: 2\nda")].concat();
    let first = Backend::start("i-0", move |_, _| Action::Disconnect(broken.clone()));
    let [other, same] = [("i-1", "v2"), ("i-2", "v1")]
        .map(|(id, version)| Backend::start(id, stream_version(version)));
    platform::configure_prepaid(&store, 1, &[&first, &same], 100_000);
    let gateway = Process::start_gateway(&store);
    platform::register_version(&store, &other, "v2");
    thread::sleep(RECORD_TIME);
    let response = call_stream(&gateway, "r1", "");
    assert_eq!(response.matches("data: v1").count() as u64, EVENTS, "{response}");
    assert!(response.ends_with("0\r\n\r\n") && other.seen().is_empty(), "{response}");
}

/// A caller whose connection broke comes back to the same entry.
#[test]
fn same_entry() {
    let fleet = Fleet::start(0);
    drop(begin_stream(&fleet.entries[0], "r1"));
    fleet.add_version();
    assert_old(&take_up(&fleet.entries[0], "r2", "r1"));
}

/// A caller comes back to another entry, while the first one lives.
#[test]
fn first_entry_alive() {
    let fleet = Fleet::start(3);
    drop(begin_stream(&fleet.entries[0], "r1"));
    thread::sleep(RECORD_TIME);
    fleet.add_version();
    assert_old(&take_up(&fleet.entries[1], "r2", "r1"));
}

/// A caller comes back to another entry after the first one was killed.
#[test]
fn first_entry_killed() {
    let mut fleet = Fleet::start(3);
    let caller = begin_stream(&fleet.entries[0], "r1");
    fleet.add_version();
    fleet.entries[0].kill();
    drop(caller);
    assert_old(&take_up(&fleet.entries[1], "r2", "r1"));
}

/// A caller comes back to another entry while the first one is cut off, here stopped.
#[test]
fn first_entry_cut_off() {
    let fleet = Fleet::start(3);
    let _caller = begin_stream(&fleet.entries[0], "r1");
    fleet.add_version();
    fleet.entries[0].signal("STOP");
    let response = take_up(&fleet.entries[1], "r2", "r1");
    fleet.entries[0].signal("CONT");
    assert_old(&response);
}

/// A caller comes back a second time: it names the attempt that brought its first event, not the
/// one before.
#[test]
fn second_return() {
    let fleet = Fleet::start(3);
    drop(begin_stream(&fleet.entries[0], "r1"));
    thread::sleep(RECORD_TIME);
    fleet.add_version();
    assert_old(&take_up(&fleet.entries[1], "r2", "r1"));
    assert_old(&take_up(&fleet.entries[0], "r3", "r1"));
}

/// All relays restart one after the other while a stream runs, then its entry is killed. The
/// stream goes on at another entry all the same.
#[test]
fn relays_restarted() {
    let mut fleet = Fleet::start(3);
    let caller = begin_stream(&fleet.entries[0], "r1");
    fleet.add_version();
    for relay in &mut fleet.relays {
        relay.restart();
        thread::sleep(RECORD_TIME);
        // Any stream makes the entry write to its relays.
        call_stream(&fleet.entries[0], &fresh_id(), "");
        thread::sleep(RECORD_TIME);
    }
    fleet.entries[0].kill();
    drop(caller);
    assert_old(&take_up(&fleet.entries[1], "r2", "r1"));
}

/// Nobody knows the attempt that a caller names. The version is not guessed, and nothing runs.
#[test]
fn unknown_attempt() {
    let fleet = Fleet::start(1);
    fleet.add_version();
    fleet.assert_refused(&take_up(&fleet.entries[1], "r2", "r1"), "r2");
}

/// A caller takes a stream up without naming the attempt that brought its first event.
#[test]
fn unnamed_attempt() {
    let fleet = Fleet::start(0);
    drop(begin_stream(&fleet.entries[0], "r1"));
    fleet.add_version();
    let response = call_stream(&fleet.entries[1], "r2", "Last-Event-Id: 1\r\n");
    fleet.assert_refused(&response, "r2");
}

/// A caller names its last event by something that is no number. It takes a stream up all the same.
#[test]
fn odd_event() {
    let fleet = Fleet::start(0);
    fleet.add_version();
    let response = call_stream(&fleet.entries[1], "r2", "Last-Event-Id: 1a\r\n");
    fleet.assert_refused(&response, "r2");
}

/// The same while all servers have run one version for longer than any stream lasts: it goes on.
#[test]
fn sole_version() {
    let fleet = Fleet::start(0);
    platform::wait_until("a stream that goes on", || {
        let response = call_stream(&fleet.entries[1], "r2", "Last-Event-Id: 1\r\n");
        response.starts_with("HTTP/1.1 200")
    });
    assert_old(&call_stream(&fleet.entries[1], "r3", "Last-Event-Id: 1\r\n"));
}

/// An entry that has just started knows no version of before. It takes a stream up all the same if
/// other entries state that there was one only.
#[test]
fn confirmed_version() {
    let mut fleet = Fleet::start(3);
    let unnamed = |entry: &Process| call_stream(entry, &fresh_id(), "Last-Event-Id: 1\r\n");
    platform::wait_until("a stream that goes on", || {
        unnamed(&fleet.entries[1]).starts_with("HTTP/1.1 200")
    });
    let restarted_at = Instant::now();
    fleet.entries[0].restart();
    fleet.entries[0].wait_ready(true);
    platform::wait_until("a statement", || {
        call_stream(&fleet.entries[1], &fresh_id(), "");
        unnamed(&fleet.entries[0]).starts_with("HTTP/1.1 200")
    });
    assert!(restarted_at.elapsed() < ROUTE_TIMEOUT);
}

/// No server of the version that began a stream is left. Its caller is refused at once.
#[test]
fn version_gone() {
    let fleet = Fleet::start(0);
    drop(begin_stream(&fleet.entries[0], "r1"));
    fleet.add_version();
    for server in &fleet.old {
        fleet.store.remove("servers", &server.id);
    }
    thread::sleep(RECORD_TIME);
    fleet.assert_refused(&take_up(&fleet.entries[0], "r2", "r1"), "r2");
}

/// A server starts again under its id and address as another version.
#[test]
fn restarted_version() {
    let fleet = Fleet::start(0);
    drop(begin_stream(&fleet.entries[0], "r1"));
    fleet.add_version();
    for server in &fleet.old {
        platform::register_version(&fleet.store, server, "v3");
    }
    thread::sleep(RECORD_TIME);
    fleet.assert_refused(&take_up(&fleet.entries[0], "r2", "r1"), "r2");
}
