//! A fleet whose servers run two software versions, and callers that take streams up.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use super::{Action, Backend, Message, Process, Store, request};

/// Number of events in a complete stream.
pub const EVENTS: u64 = 6;
/// Timeout of all routes; an entry proves a sole version by itself after a longer time.
pub const ROUTE_TIMEOUT: Duration = Duration::from_secs(6);
/// Long enough for the entry to tell relays where a stream began, and for a reset relay to be back
/// in use.
pub const RECORD_TIME: Duration = Duration::from_millis(500);

/// A store, two servers of version `v1`, relays and two entries.
pub struct Fleet {
    pub store: Store,
    pub old: [Backend; 2],
    pub new: Backend,
    pub relays: Vec<Process>,
    pub entries: [Process; 2],
}

/// Streams the events after the caller's last one; each names the server's version.
pub fn stream_version(version: &'static str) -> impl Fn(usize, &Message) -> Action {
    move |_, message| {
        let last = message.field("last-event-id").map_or(0, |text| text.parse().unwrap_or(0));
        let events = (last + 1..=EVENTS).map(|id| format!("id: {id}\ndata: {version}\n\n"));
        let chunks = events.map(|event| super::chunk(&event) + "PAUSE");
        Action::Respond([super::STREAM_HEAD, &chunks.collect::<String>(), "0\r\n\r\n"].concat())
    }
}

impl Fleet {
    pub fn start(relay_count: usize) -> Self {
        Self::start_at(Store::start(), relay_count)
    }

    /// Starts a fleet at a store, which may be behind proxies.
    pub fn start_at(store: Store, relay_count: usize) -> Self {
        let old = ["i-5", "i-6"].map(|id| Backend::start(id, stream_version("v1")));
        // Of servers with equal loads, entries prefer the first by id.
        let new = Backend::start("i-0", stream_version("v2"));
        super::configure_prepaid(&store, 1, &[&old[0], &old[1]], 100_000);
        let names = (0..relay_count).map(|number| format!("side-{number}"));
        let names: Vec<String> = names.collect();
        let relays = names.iter().map(|name| Process::start_relay(&store, name)).collect();
        super::wait_until("the relays", || names.iter().all(|name| store.has("relays", name)));
        let entries = ["front-1", "front-2"].map(|vm| Process::start_gateway_on(&store, vm));
        Self { store, old, new, relays, entries }
    }

    /// Waits until a restarted entry could tell that all servers have run one version.
    pub fn wait_sole_version(&self) {
        super::wait_until("a stream that goes on", || {
            call_stream(&self.entries[0], &fresh_id(), "Last-Event-Id: 1\r\n")
                .starts_with("HTTP/1.1 200")
        });
    }

    /// Adds the server of version `v2`, and waits until both entries send new streams there.
    pub fn add_version(&self) {
        super::register_version(&self.store, &self.new, "v2");
        for entry in &self.entries {
            super::wait_until("the new version", || {
                call_stream(entry, &fresh_id(), "").contains("data: v2")
            });
        }
    }

    /// Asserts that `response` refuses a request, which no server received.
    pub fn assert_refused(&self, response: &str, id: &str) {
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
pub fn assert_old(response: &str) {
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert_eq!(response.matches("data: v1").count() as u64, EVENTS - 1, "{response}");
    assert!(!response.contains("data: v2") && response.ends_with("0\r\n\r\n"), "{response}");
}

/// Returns an id that no request has had.
pub fn fresh_id() -> String {
    static NEXT_ID: AtomicU64 = AtomicU64::new(0);
    format!("fresh-{}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// Sends a request for a resumable stream and returns the whole response.
pub fn call_stream(entry: &Process, id: &str, headers: &str) -> String {
    super::call_raw(entry.callers, &stream_request(id, headers))
}

fn stream_request(id: &str, headers: &str) -> String {
    let headers = format!("X-Model: m\r\nX-Token-Usage: 100,60\r\nConnection: close\r\n{headers}");
    request("POST", "/resume/a", id, &headers, "p")
}

/// Begins a stream and returns the connection after its first event.
pub fn begin_stream(entry: &Process, id: &str) -> TcpStream {
    let (caller, version) = begin_any(entry, id);
    assert_eq!(version, "v1");
    caller
}

/// Begins a stream at any version. Returns the connection after its first event, and the version.
pub fn begin_any(entry: &Process, id: &str) -> (TcpStream, String) {
    try_begin(entry, id).expect("an event")
}

/// Like [`begin_any`], but returns `None` if the request is refused.
pub fn try_begin(entry: &Process, id: &str) -> Option<(TcpStream, String)> {
    let mut caller = TcpStream::connect(entry.callers).expect("a connection");
    caller.write_all(stream_request(id, "").as_bytes()).expect("to write");
    let mut received = Vec::new();
    let mut byte = [0];
    while !received.ends_with(b"\n\n") {
        if caller.read(&mut byte).expect("a response") == 0 {
            return None;
        }
        received.push(byte[0]);
    }
    let received = String::from_utf8_lossy(&received);
    let (_, version) = received.rsplit_once("data: ")?;
    Some((caller, version.trim_end().to_owned()))
}

/// Takes a stream up after its first event.
pub fn take_up(entry: &Process, id: &str, began_as: &str) -> String {
    call_stream(entry, id, &format!("Last-Event-Id: 1\r\nResumes: {began_as}\r\n"))
}
