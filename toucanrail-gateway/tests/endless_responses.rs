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

/// Maximum memory of a relay, in megabytes; its process has ten times as much as it uses when idle.
const MAX_RELAY_MEMORY: u64 = 64;

const FAST: Duration = Duration::ZERO;
const SLOW: Duration = Duration::from_millis(200);
const SLOWER: Duration = Duration::from_secs(1);

/// A load report of a server whose queue explains that requests wait.
const REPORT: &str =
    "HTTP/1.1 200 OK\r\nContent-Length: 32\r\n\r\n{\"born\":1,\"waiting\":3,\"runs\":[]}";
const HEAD: &str = "HTTP/1.1 200 OK\r\nX-Filler: ";
const LINES: &str = "HTTP/1.1 200 OK\r\n";
const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\n";
const FOREIGN: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Replica-Signature: s\r\n\
    Content-Length: 99999999999\r\n\r\n";
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Replica-Signature: s\r\n\r\n";
const FAILED: &str = "HTTP/1.1 500 Failed\r\nX-Attempt-Id: ID\r\nX-Replica-Signature: s\r\n\
    Transfer-Encoding: chunked\r\n\r\n";
const DECLINED: &str = "HTTP/1.1 503 Full\r\nX-Attempt-Id: ID\r\nX-Not-Executed: 1\r\n\
    Transfer-Encoding: chunked\r\n\r\n";
const STATED: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Replica-Signature: s\r\n\
    Content-Length: 99999999999\r\n\r\n";
const EXTENSION: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Replica-Signature: s\r\n\
    Transfer-Encoding: chunked\r\n\r\n10;";
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

/// What a play differs in.
#[derive(Debug, Clone, Copy)]
struct Play {
    response: EndlessResponse,
    sound_count: usize,
    /// Latency target of all routes, in milliseconds.
    latency_target: u64,
    call_interval: Duration,
    /// Whether a relay runs beside the faulty server.
    with_relay: bool,
}

impl Play {
    fn new(opening: &'static str, filler: &'static str, interval: Duration) -> Self {
        Self {
            response: EndlessResponse { opening, filler, interval, report: REPORT },
            sound_count: 1,
            latency_target: 200,
            call_interval: CALL_INTERVAL,
            with_relay: false,
        }
    }
}

/// Checks that a server with such responses costs its callers nothing beside sound ones.
fn check_beside(sound_count: usize, opening: &'static str, filler: &'static str, pace: Duration) {
    check_play(Play { sound_count, ..Play::new(opening, filler, pace) });
}

fn check_play(play: Play) {
    let store = Store::start();
    let (faulty, largest) = Backend::start_endless("i-0", play.response);
    let sound = (1..=play.sound_count)
        .map(|number| Backend::start(&format!("i-{number}"), |_, message| respond(message)));
    let sound: Vec<Backend> = sound.collect();
    let all: Vec<&Backend> = std::iter::once(&faulty).chain(&sound).collect();
    platform::configure_prepaid(&store, 1, &all, 100_000);
    platform::configure_field(&store, 2, "routes", "goal_ms", &play.latency_target.into());
    let relay = play.with_relay.then(|| Process::start_relay_beside(&store, "side-1", &faulty));
    let gateway = Process::start_gateway(&store);
    let (gateway, done) = (&gateway, &AtomicBool::new(false));
    let (responses, refusal_time) = thread::scope(|scope| {
        let refusals = scope.spawn(|| time_refusals(gateway, done));
        let calls = (0..CALLS).map(|number| {
            thread::sleep(play.call_interval);
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
    let is_call = |message: &&Message| message.field("x-attempt-id").is_some();
    let calls = faulty.seen().iter().filter(is_call).count();
    let taken = largest.load(Ordering::Relaxed);
    let memory = relay.map_or(0, |relay| relay.peak_memory_mb());
    let figures = format!(
        "served {served}, longest {longest:?}, {calls} calls at the faulty server, {taken} bytes, \
         refusals {refusal_time:?}, relay's memory {memory} MB, {statuses:?}"
    );
    println!("{figures}");
    assert_eq!(served, CALLS, "{figures}");
    assert!(longest < ROUTE_TIMEOUT, "{figures}");
    assert!(calls <= MAX_FAULTY_CALLS, "{figures}");
    assert!(taken < MAX_TAKEN, "{figures}");
    assert!(refusal_time < MAX_REFUSAL_TIME, "{figures}");
    assert!(memory < MAX_RELAY_MEMORY, "{figures}");
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

/// Guards against requests that wait for the body of a server that declined them.
#[test]
fn declined_bodies() {
    check_beside(1, DECLINED, CHUNK, FAST);
    check_beside(1, DECLINED, CHUNK, SLOW);
}

/// Guards against heads that arrive bytewise: their callers waited, and calls beside them were
/// refused for overload.
#[test]
fn slow_heads() {
    check_beside(1, HEAD, "a", SLOW);
    check_beside(1, HEAD, "a", SLOWER);
    check_beside(3, HEAD, "a", SLOW);
}

/// Guards against the same where routes allow more time, and where more calls come.
#[test]
fn many_slow_heads() {
    let play = Play::new(HEAD, "a", SLOW);
    check_play(Play { latency_target: 1_000, ..play });
    check_play(Play { call_interval: CALL_INTERVAL / 5, ..play });
    check_play(Play { latency_target: 1_000, call_interval: CALL_INTERVAL / 5, ..play });
}

/// Guards against heads that arrive bytewise from a server whose load report explains a late one.
#[test]
fn reported_heads() {
    check_play(Play { with_relay: true, ..Play::new(HEAD, "a", SLOW) });
    check_play(Play { with_relay: true, ..Play::new(UNFRAMED, "data: a", SLOW) });
}

/// Guards against a submission whose caller waits for a head that arrives bytewise until its timeout.
#[test]
fn submitted_heads() {
    let store = Store::start();
    let play = Play::new(HEAD, "a", SLOW);
    let (faulty, _) = Backend::start_endless("i-0", play.response);
    platform::configure(&store, 1, &[&faulty]);
    let gateway = Process::start_gateway(&store);
    let begun = Instant::now();
    let text = request("POST", "/once/a", "r1", "", "file");
    let response = platform::call(gateway.callers, &text).expect("a response");
    assert_eq!(response.status(), 502);
    assert_eq!(response.field("toucanrail-run"), Some("unknown"));
    assert!(begun.elapsed() < ROUTE_TIMEOUT / 2, "{:?}", begun.elapsed());
}

/// Guards against a sound response being given up because its parts arrive one after the other.
#[test]
fn paused_parts() {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| {
        let response = platform::signed_response("whole");
        let (head, body) = response.split_at(response.len() - 3);
        let (begin, head) = head.split_at(9);
        let pause = "PAUSE".repeat(7);
        Action::Respond([begin, &pause, head, &pause, body].concat())
    });
    platform::configure(&store, 1, &[&backend]);
    let gateway = Process::start_gateway(&store);
    for number in 0..4 {
        let text = request("GET", "/safe/a", &format!("r{number}"), "", "");
        assert_eq!(platform::call(gateway.callers, &text).expect("a response").body, b"whole");
    }
    assert_eq!(backend.seen().len(), 4);
}

/// Guards against load reports that a relay keeps in memory until it exceeds its own, or reads for
/// ever while entries wait for their loans.
#[test]
fn endless_reports() {
    for (opening, filler) in [(STATED, " "), (LINES, LINE), (EXTENSION, "a")] {
        let play = Play::new(opening, filler, FAST);
        let response = EndlessResponse { report: "", ..play.response };
        check_play(Play { response, with_relay: true, ..play });
    }
}

/// Guards against the same for bodies.
#[test]
fn slow_bodies() {
    check_beside(1, UNFRAMED, "a", SLOW);
    check_beside(1, UNFRAMED, "a", SLOWER);
    check_beside(1, FAILED, CHUNK, SLOW);
    check_beside(3, UNFRAMED, "a", SLOW);
}

/// Guards against the same for interim heads and bodies of other requests.
#[test]
fn slow_preambles() {
    check_beside(1, FOREIGN, "a", SLOW);
    check_beside(1, "", INTERIM, SLOW);
}
