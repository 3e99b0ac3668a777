//! The end of a budget while streams run that their callers may take up.

mod platform;

use std::net::TcpStream;
use std::thread;

use platform::streams::{RECORD_TIME, begin_stream, fresh_id, take_up};
use platform::{Action, Backend, Message, Process, Store, request};

/// Prepaid tokens, and the prompts that use up most of them.
const PREPAID: u64 = 48_000;
const LONG_PROMPTS: u64 = 6;
const LONG_PROMPT: u64 = 7_812;
/// Usage of a response with one event.
const EVENT: u64 = 6;
/// The maximum usage of a request, and streams that run at the same time. What these leave is enough to
/// take all of them up, and for nothing else.
const MAX_USAGE: u64 = 160;
const STREAMS: usize = 3;
/// Events of a long stream, one in 30 ms.
const EVENTS: u64 = 60;
/// New requests; enough to use up the rest.
const NEW_REQUESTS: usize = 5;

struct SpentFleet {
    _store: Store,
    _server: Backend,
    _relay: Process,
    entries: [Process; 2],
}

/// Streams the events after the caller's last one; other routes get a single event.
fn respond(_: usize, message: &Message) -> Action {
    let last = message.field("last-event-id").map_or(0, |text| text.parse().unwrap_or(0));
    let end = if message.target().starts_with("/resume/") { EVENTS } else { 1 };
    let events = (last + 1..=end).map(|id| format!("id: {id}\ndata: v1\n\n"));
    let chunks = events.map(|event| platform::chunk(&event) + "PAUSE");
    Action::Respond([platform::STREAM_HEAD, &chunks.collect::<String>(), "0\r\n\r\n"].concat())
}

impl SpentFleet {
    fn start() -> Self {
        let store = Store::start();
        let server = Backend::start("i-5", respond);
        platform::configure_prepaid(&store, 1, &[&server], PREPAID);
        let relay = Process::start_relay(&store, "side-0");
        platform::wait_until("the relay", || store.has("relays", "side-0"));
        let entries = ["front-1", "front-2"].map(|vm| Process::start_gateway_on(&store, vm));
        let fleet = Self { _store: store, _server: server, _relay: relay, entries };
        let usage = format!("X-Model: m\r\nX-Token-Usage: {LONG_PROMPT},60\r\n");
        for _ in 0..LONG_PROMPTS {
            assert!(fleet.is_served(&usage));
        }
        fleet
    }

    /// Sends a new request to the second entry. Returns whether it is served.
    fn is_served(&self, headers: &str) -> bool {
        let headers = format!("{headers}Connection: close\r\n");
        let text = request("POST", "/stream/a", &fresh_id(), &headers, "p");
        platform::call_raw(self.entries[1].callers, &text).starts_with("HTTP/1.1 200")
    }

    /// Begins streams at the first entry.
    fn begin_streams(&self) -> Vec<(String, TcpStream)> {
        let begin = |_| {
            let id = fresh_id();
            (id.clone(), begin_stream(&self.entries[0], &id))
        };
        (0..STREAMS).map(begin).collect()
    }

    /// Sends new requests. Returns how many are served.
    fn count_served(&self) -> usize {
        (0..NEW_REQUESTS).filter(|_| self.is_served(platform::PROMPT_HEADERS)).count()
    }
}

/// Guards against new requests that use up a budget while streams run, so that none of them goes on when
/// their entry dies.
#[test]
fn broken_streams() {
    let mut fleet = SpentFleet::start();
    let streams = fleet.begin_streams();
    assert_eq!(fleet.count_served(), 0);
    thread::sleep(RECORD_TIME);
    fleet.entries[0].kill();
    assert_eq!(fleet.count_served(), 0);
    for (id, _) in &streams {
        let response = take_up(&fleet.entries[1], &fresh_id(), id);
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert_eq!(response.matches("data: v1").count() as u64, EVENTS - 1, "{response}");
    }
}

/// Guards against a part of a budget that nobody can use although no stream runs.
#[test]
fn ended_streams() {
    let fleet = SpentFleet::start();
    let streams = fleet.begin_streams();
    drop(streams);
    let mut served = 0;
    platform::wait_until("the use of the rest", || {
        served += fleet.count_served();
        let used = LONG_PROMPTS * (LONG_PROMPT + EVENT) + served as u64 * (100 + EVENT);
        used + MAX_USAGE * (STREAMS as u64 + 1) > PREPAID
    });
}
