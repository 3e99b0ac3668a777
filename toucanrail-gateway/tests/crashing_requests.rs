//! A request that ends the servers that run it must not be sent on and on: neither in one attempt
//! of its caller, nor over attempts with new ids at other entries.

mod platform;

use std::thread;
use std::time::{Duration, Instant};

use platform::crashes::{self, CrashFleet, RunFate};
use platform::{Message, Process, request};
use serde_json::json;

/// Servers that may end under one request.
const MAX_ENDS: usize = 3;
/// Time until a caller comes back.
const RETURN_TIME: Duration = Duration::from_millis(100);
/// Time for which a server that ended is down.
const DOWN_TIME: Duration = Duration::from_millis(600);
/// Attempts of one caller.
const ATTEMPTS: u32 = 8;
const SERVER_COUNT: usize = 8;
/// Time after which a request that was held back by mistake is served again.
const CURE_TIME: Duration = Duration::from_secs(45);

/// Ends the server under requests with the body `deadly`, before anything of the response.
fn run_or_end(message: &Message) -> RunFate {
    let text = if message.target().starts_with("/resume/") {
        let event = platform::next_event(message);
        [platform::STREAM_HEAD, &event, "PAUSE", "0\r\n\r\n"].concat()
    } else {
        platform::signed_response("done")
    };
    if message.body == b"deadly" {
        RunFate::End(String::new(), Duration::from_millis(20))
    } else {
        RunFate::Respond(text)
    }
}

fn start_fleet(relay_count: usize, entry_count: usize) -> CrashFleet {
    CrashFleet::start(relay_count, entry_count, SERVER_COUNT, DOWN_TIME, run_or_end)
}

/// Ends all servers now, for a reason of their own.
fn crash_all(fleet: &CrashFleet) {
    for server in &fleet.servers {
        server.crash();
    }
}

/// Sends a request `ATTEMPTS` times, at the given entries in turn.
fn repeat(fleet: &CrashFleet, entries: &[usize], path: &str, body: &str) -> Vec<String> {
    let attempts = entries.iter().cycle().take(ATTEMPTS as usize).enumerate();
    let responses = attempts.map(|(number, entry)| {
        let response = call(&fleet.entries[*entry], path, &format!("a{number}"), body);
        thread::sleep(RETURN_TIME);
        response
    });
    responses.collect()
}

fn call(entry: &Process, path: &str, id: &str, body: &str) -> String {
    let headers = format!("{}Connection: close\r\n", platform::PROMPT_HEADERS);
    platform::call_raw(entry.callers, &request("POST", path, id, &headers, body))
}

/// Asserts that the last attempt was refused as not run, and told when to come back.
fn assert_refused(responses: &[String]) {
    let last = responses.last().expect("a response");
    assert!(last.starts_with("HTTP/1.1 503"), "{last}");
    let head = last.to_lowercase();
    assert!(head.contains("toucanrail-run: not-run") && head.contains("retry-after: "), "{last}");
}

/// A route allows many attempts: one attempt of a caller must not end one server after the other.
#[test]
fn one_attempt() {
    let fleet = start_fleet(0, 1);
    platform::configure_field(&fleet.store, 2, "routes", "max_attempts", &json!(8));
    thread::sleep(crashes::SETTLE_TIME);
    for (path, body) in [("/safe/a", "deadly"), ("/resume/a", "deadly")] {
        let before = fleet.count_runs(body);
        call(&fleet.entries[0], path, &format!("r{before}"), body);
        let runs = fleet.count_runs(body) - before;
        assert!(runs <= MAX_ENDS, "{path}: {runs} servers ended");
        thread::sleep(DOWN_TIME * 2);
    }
}

/// A caller comes back to one entry again and again, with a new id each time.
#[test]
fn returns_to_entry() {
    let fleet = start_fleet(3, 1);
    let responses = repeat(&fleet, &[0], "/safe/a", "deadly");
    let runs = fleet.count_runs("deadly");
    assert!(runs <= MAX_ENDS, "{runs} servers ended");
    assert_refused(&responses);
    assert!(call(&fleet.entries[0], "/safe/a", "other", "sound").starts_with("HTTP/1.1 200"));
}

/// A caller comes back to other entries, each of which sees few of the ends.
#[test]
fn returns_elsewhere() {
    for path in ["/safe/a", "/resume/a"] {
        let fleet = start_fleet(3, 4);
        let responses = repeat(&fleet, &[0, 1, 2, 3], path, "deadly");
        let runs = fleet.count_runs("deadly");
        assert!(runs <= MAX_ENDS, "{path}: {runs} servers ended");
        assert_refused(&responses);
        for entry in &fleet.entries {
            assert!(call(entry, path, "other", "sound").starts_with("HTTP/1.1 200"));
        }
    }
}

/// The server ends after the first events of the stream, which the caller takes up elsewhere.
#[test]
fn ends_midway() {
    let fleet = CrashFleet::start(3, 4, SERVER_COUNT, DOWN_TIME, |message| {
        let event = platform::next_event(message);
        let text = [platform::STREAM_HEAD, &event, "PAUSE"].concat();
        match run_or_end(message) {
            RunFate::End(_, after) => RunFate::End(text, after),
            respond @ RunFate::Respond(_) => respond,
        }
    });
    repeat(&fleet, &[0, 1, 2, 3], "/resume/a", "deadly");
    let runs = fleet.count_runs("deadly");
    assert!(runs <= MAX_ENDS, "{runs} servers ended");
}

/// An entry is killed after it has seen two of the ends.
#[test]
fn lost_first_entry() {
    let mut fleet = start_fleet(3, 3);
    call(&fleet.entries[0], "/safe/a", "first", "deadly");
    fleet.entries[0].kill();
    repeat(&fleet, &[1, 2], "/safe/a", "deadly");
    let runs = fleet.count_runs("deadly");
    assert!(runs <= MAX_ENDS, "{runs} servers ended");
}

/// An entry that starts after the ends knows of them.
#[test]
fn fresh_entry() {
    let mut fleet = start_fleet(3, 2);
    repeat(&fleet, &[0, 1], "/safe/a", "deadly");
    fleet.entries.push(Process::start_gateway_on(&fleet.store, "front-9"));
    thread::sleep(crashes::SETTLE_TIME);
    repeat(&fleet, &[2], "/safe/a", "deadly");
    let runs = fleet.count_runs("deadly");
    assert!(runs <= MAX_ENDS, "{runs} servers ended");
}

/// An entry that was ready sent requests that are held back, for up to 300 ms: it had not yet asked the
/// relays what they hold back.
#[test]
fn ready_entry() {
    let fleet = start_fleet(3, 2);
    repeat(&fleet, &[0, 1], "/safe/a", "deadly");
    for number in 0..4 {
        let entry = Process::start_gateway_on(&fleet.store, &format!("front-{}", 9 + number));
        assert_refused(&[call(&entry, "/safe/a", &format!("f{number}"), "deadly")]);
    }
    let runs = fleet.count_runs("deadly");
    assert!(runs <= MAX_ENDS, "{runs} servers ended");
}

/// One relay after the other is killed between the attempts and starts again.
#[test]
fn killed_relays() {
    let mut fleet = start_fleet(3, 3);
    let mut responses = Vec::new();
    for number in 0..ATTEMPTS as usize {
        let (relay, entry) = (number % fleet.relays.len(), number % fleet.entries.len());
        responses.push(call(&fleet.entries[entry], "/safe/a", &format!("k{number}"), "deadly"));
        fleet.relays[relay].restart();
        thread::sleep(crashes::SETTLE_TIME);
    }
    let runs = fleet.count_runs("deadly");
    assert!(runs <= MAX_ENDS, "{runs} servers ended: {responses:?}");
}

/// The entry that saw the ends is killed, then all relays restart one after the other. Another entry
/// was told what they held back.
#[test]
fn witness_gone() {
    let mut fleet = start_fleet(3, 2);
    repeat(&fleet, &[0], "/safe/a", "deadly");
    fleet.entries[0].kill();
    for relay in &mut fleet.relays {
        relay.restart();
        thread::sleep(crashes::SETTLE_TIME);
    }
    // The other entry has asked all of them again.
    thread::sleep(crashes::SETTLE_TIME * 10);
    let responses = repeat(&fleet, &[1], "/safe/a", "deadly");
    let runs = fleet.count_runs("deadly");
    assert!(runs <= MAX_ENDS, "{runs} servers ended");
    assert_refused(&responses);
}

/// Most relays in the store have left with their VMs. An entry that has just started is ready only
/// with what the others hold back.
#[test]
fn departed_keepers() {
    let mut fleet = start_fleet(4, 1);
    let living = ["side-0", "side-1", "side-2", "side-3"];
    platform::register_departed_first(&fleet.store, &living, "suspects", 36);
    fleet.entries[0].restart();
    fleet.entries[0].wait_ready(true);
    thread::sleep(crashes::SETTLE_TIME * 10);
    repeat(&fleet, &[0], "/safe/a", "deadly");
    for number in 0..4 {
        let entry = Process::start_gateway_on(&fleet.store, &format!("front-{}", 9 + number));
        assert_refused(&[call(&entry, "/safe/a", &format!("f{number}"), "deadly")]);
    }
    let runs = fleet.count_runs("deadly");
    assert!(runs <= MAX_ENDS, "{runs} servers ended");
}

/// The store is silent from before the first end on.
#[test]
fn returns_in_outage() {
    let fleet = start_fleet(3, 3);
    for (number, entry) in fleet.entries.iter().cycle().take(9).enumerate() {
        call(entry, "/safe/a", &format!("s{number}"), "sound");
    }
    thread::sleep(crashes::SETTLE_TIME);
    fleet.silence_store(true);
    repeat(&fleet, &[0, 1, 2], "/safe/a", "deadly");
    fleet.silence_store(false);
    let runs = fleet.count_runs("deadly");
    assert!((1..=MAX_ENDS).contains(&runs), "{runs} servers ended");
}

/// All servers end at the same moments for reasons of their own, while callers send requests with
/// the same content: nothing is at fault, and nothing is refused for it.
#[test]
fn common_ends() {
    let fleet = CrashFleet::start(3, 3, 4, DOWN_TIME, |message| match run_or_end(message) {
        RunFate::Respond(text) => RunFate::Respond("PAUSEPAUSE".to_owned() + &text),
        end @ RunFate::End(..) => end,
    });
    let start = Instant::now();
    thread::scope(|scope| {
        for (number, entry) in fleet.entries.iter().cycle().take(6).enumerate() {
            scope.spawn(move || {
                let mut count = 0;
                while start.elapsed() < Duration::from_secs(8) {
                    count += 1;
                    let response = call(entry, "/safe/hot", &format!("h{number}-{count}"), "sound");
                    assert!(!response.contains("3207"), "{response}");
                }
            });
        }
        for _ in 0..5 {
            thread::sleep(Duration::from_millis(1_400));
            crash_all(&fleet);
        }
    });
    assert!(fleet.count_runs("sound") > 100);
}

/// Three servers in turn end for reasons of their own under a stream that goes on at each of them. It is
/// not at fault, and may be taken up once more.
#[test]
fn resumed_stream() {
    let fleet = CrashFleet::start(3, 2, 4, DOWN_TIME, |message| {
        let last = message.field("last-event-id").map_or(0, |text| text.parse().unwrap_or(0));
        let events = (last + 1..=last + 30)
            .map(|id: u64| platform::chunk(&format!("id: {id}\ndata: x\n\n")) + "PAUSE");
        let events: String = events.collect();
        RunFate::Respond([platform::STREAM_HEAD, &events, "0\r\n\r\n"].concat())
    });
    platform::configure_field(&fleet.store, 2, "routes", "max_attempts", &json!(1));
    thread::sleep(crashes::SETTLE_TIME);
    let mut last_event = 0;
    let mut take_up = |number: usize| {
        let resumed = match last_event {
            0 => String::new(),
            last => format!("Last-Event-Id: {last}\r\nResumes: t0\r\n"),
        };
        let headers = format!("{}Connection: close\r\n{resumed}", platform::PROMPT_HEADERS);
        let bytes = request("POST", "/resume/a", &format!("t{number}"), &headers, "long");
        let response = platform::call_raw(fleet.entries[number % 2].callers, &bytes);
        let ids = response.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
        last_event = ids.max().unwrap_or(last_event);
        response
    };
    for number in 0..3 {
        thread::scope(|scope| {
            scope.spawn(|| {
                thread::sleep(Duration::from_millis(500));
                crash_all(&fleet);
            });
            let response = take_up(number);
            assert!(response.starts_with("HTTP/1.1 200"), "{number}: {response}");
        });
        thread::sleep(DOWN_TIME + crashes::SETTLE_TIME);
    }
    let response = take_up(3);
    assert!(response.ends_with("0\r\n\r\n"), "{response}");
}

/// Servers end under the same request by chance. It is not held back for ever.
#[test]
fn cured_request() {
    let fleet = start_fleet(3, 2);
    repeat(&fleet, &[0, 1], "/safe/a", "deadly");
    let before = fleet.count_runs("deadly");
    let start = Instant::now();
    let mut attempt = 0;
    while fleet.count_runs("deadly") == before {
        assert!(start.elapsed() < CURE_TIME, "still held back");
        attempt += 1;
        call(&fleet.entries[0], "/safe/a", &format!("c{attempt}"), "deadly");
        thread::sleep(Duration::from_millis(500));
    }
}
