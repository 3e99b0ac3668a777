//! Servers that send bytes without end that are no response.

mod platform;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use platform::endless::EndlessResponse;
use platform::{Action, Backend, Message, Process, Store, request};

/// Calls of one play, in turn of a repeatable request and a resumable stream, and their interval.
const CALLS: usize = 24;
const CALL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of the routes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum number of calls at a server whose responses are none: it is ejected after three failures
/// in a row, and others are under way until then.
const MAX_FAULTY_CALLS: usize = CALLS / 3;
/// Maximum size of one event or of one buffered response, and what the kernel holds of it besides.
const MAX_TAKEN: u64 = (8 + 12) * 1024 * 1024;
/// Maximum time in which an entry refuses a request that needs no server.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(500);

const FAST: Duration = Duration::ZERO;
const SLOW: Duration = Duration::from_millis(200);
const SLOWER: Duration = Duration::from_secs(1);

const HEAD: &str = "HTTP/1.1 200 OK\r\nX-Filler: ";
const LINES: &str = "HTTP/1.1 200 OK\r\n";
const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\n";
const FOREIGN: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Replica-Signature: s\r\n\
    Content-Length: 99999999999\r\n\r\n";
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Replica-Signature: s\r\n\r\n";
const FAILED: &str = "HTTP/1.1 500 Failed\r\nX-Attempt-Id: ID\r\nX-Replica-Signature: s\r\n\
    Transfer-Encoding: chunked\r\n\r\n";
const CHUNK: &str = "10\r\naaaaaaaaaaaaaaaa\r\n";
const LINE: &str = "X-Filler: a\r\n";

fn respond(message: &Message) -> Action {
    if message.target().starts_with("/resume") {
        let event = platform::chunk("id: 1\ndata: whole\n\n");
        return Action::Respond(["PAUSE", platform::STREAM_HEAD, &event, "0\r\n\r\n"].concat());
    }
    Action::Respond(["PAUSE", &platform::signed_response("whole")].concat())
}

fn send_call(gateway: &Process, number: usize) -> (String, Duration) {
    let begun = Instant::now();
    let id = format!("r{number}");
    let response = if number.is_multiple_of(2) {
        let text = request("GET", "/safe/a", &id, "Connection: close\r\n", "");
        platform::call_raw(gateway.callers, &text)
    } else {
        let headers = "X-Model: m\r\nX-Token-Usage: 100,60\r\nConnection: close\r\n";
        platform::call_raw(gateway.callers, &request("POST", "/resume/a", &id, headers, "p"))
    };
    (response, begun.elapsed())
}

/// Returns the longest time of a refusal until `done`.
fn time_refusals(gateway: &Process, done: &AtomicBool) -> Duration {
    let mut longest = Duration::ZERO;
    while !done.load(Ordering::Relaxed) {
        let begun = Instant::now();
        let text = request("GET", "/none", "n", "", "");
        let response = platform::call(gateway.callers, &text);
        assert!(response.is_some_and(|response| response.status() == 404));
        longest = longest.max(begun.elapsed());
        thread::sleep(Duration::from_millis(20));
    }
    longest
}

/// Checks that a server with such responses costs its callers nothing beside sound ones.
fn check_beside(sound_count: usize, opening: &'static str, filler: &'static str, pace: Duration) {
    let store = Store::start();
    let response = EndlessResponse { opening, filler, interval: pace };
    let (faulty, largest) = Backend::start_endless("i-0", response);
    let sound = (1..=sound_count)
        .map(|number| Backend::start(&format!("i-{number}"), |_, message| respond(message)));
    let sound: Vec<Backend> = sound.collect();
    let all: Vec<&Backend> = std::iter::once(&faulty).chain(&sound).collect();
    platform::configure_prepaid(&store, 1, &all, 100_000);
    let gateway = Process::start_gateway(&store);
    let (gateway, done) = (&gateway, &AtomicBool::new(false));
    let (responses, refusal_time) = thread::scope(|scope| {
        let refusals = scope.spawn(|| time_refusals(gateway, done));
        let calls = (0..CALLS).map(|number| {
            thread::sleep(CALL_INTERVAL);
            scope.spawn(move || send_call(gateway, number))
        });
        let calls: Vec<_> = calls.collect();
        let responses = calls.into_iter().map(|call| call.join().expect("a response"));
        let responses: Vec<_> = responses.collect();
        done.store(true, Ordering::Relaxed);
        (responses, refusals.join().expect("refusals"))
    });
    let is_served = |(response, _): &&(String, Duration)| {
        response.starts_with("HTTP/1.1 200") && response.contains("whole")
    };
    let served = responses.iter().filter(is_served).count();
    let longest = responses.iter().map(|(_, time)| *time).max().unwrap_or_default();
    let statuses: Vec<&str> =
        responses.iter().map(|(response, _)| response.get(9..12).unwrap_or_default()).collect();
    let (calls, taken) = (faulty.seen().len(), largest.load(Ordering::Relaxed));
    let figures = format!(
        "served {served}, longest {longest:?}, {calls} calls at the faulty server, {taken} bytes, \
         refusals {refusal_time:?}, {statuses:?}"
    );
    println!("{figures}");
    assert_eq!(served, CALLS, "{figures}");
    assert!(longest < ROUTE_TIMEOUT, "{figures}");
    assert!(calls <= MAX_FAULTY_CALLS, "{figures}");
    assert!(taken < MAX_TAKEN, "{figures}");
    assert!(refusal_time < MAX_REFUSAL_TIME, "{figures}");
}

/// Guards against heads without end that callers wait for.
#[test]
fn fast_heads() {
    check_beside(1, HEAD, "a", FAST);
    check_beside(1, LINES, LINE, FAST);
    check_beside(3, HEAD, "a", FAST);
}

/// Guards against the same for bytes that are no head.
#[test]
fn fast_rubbish() {
    check_beside(1, "", "a", FAST);
}

/// Guards against an entry that reads interim responses for ever and serves nobody else meanwhile.
#[test]
fn interim_heads() {
    check_beside(1, "", INTERIM, FAST);
}

/// Guards against the same for the body of a response to another request.
#[test]
fn foreign_bodies() {
    check_beside(1, FOREIGN, "a", FAST);
}

/// Guards against a server that is never ejected since its heads are sound, and against an entry that
/// serves nobody while it reads a body.
#[test]
fn fast_bodies() {
    check_beside(1, UNFRAMED, "a", FAST);
    check_beside(3, UNFRAMED, "a", FAST);
}

/// Guards against the same for lines of an event that never ends.
#[test]
fn endless_events() {
    check_beside(1, UNFRAMED, "data: a\n", FAST);
}

/// Guards against the same for the body of a failure.
#[test]
fn failure_bodies() {
    check_beside(1, FAILED, CHUNK, FAST);
}

/// Guards against heads that arrive bytewise: their callers waited, and calls beside them were
/// refused for overload.
#[test]
fn slow_heads() {
    check_beside(1, HEAD, "a", SLOW);
    check_beside(1, HEAD, "a", SLOWER);
    check_beside(3, HEAD, "a", SLOW);
}
