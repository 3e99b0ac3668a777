//! A part of a prompt that ends each server which begins to write a response on it. Requests with it
//! come to all entries, no two alike; sound ones share their customer and their other parts.

mod platform;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use platform::crashes::{self, CrashFleet, CrashingServer, RunFate};
use platform::{Message, Process, request};

/// Servers that may end before the part is known.
const FREE_ENDS: usize = 5;
/// Time after the fifth end in which entries may go on to send requests with the part, and how many
/// they may send after it.
const WINDOW: Duration = Duration::from_secs(3);
const MAX_LATE_RUNS: usize = 3;
/// Time for which a server that ended is down.
const DOWN_TIME: Duration = Duration::from_millis(700);
const SERVER_COUNT: usize = 12;
const ENTRY_COUNT: usize = 4;
const RELAY_COUNT: usize = 4;
/// Time between two requests with the part, and between two sound ones of a caller.
const HARMFUL_INTERVAL: Duration = Duration::from_millis(90);
const SOUND_INTERVAL: Duration = Duration::from_millis(15);
/// Time in which sound requests are counted before the first harmful one. It leaves room for twice
/// the least number of calls that a share is taken of: 2 s held just this number at the best pace.
const CALM_TIME: Duration = Duration::from_secs(4);
/// Time in which a part that is held back by mistake is served again.
const CURE_TIME: Duration = Duration::from_secs(40);

/// The part that ends servers, and another one.
const HARMFUL_PART: &str = "dead1";
const OTHER_HARMFUL_PART: &str = "dead2";
/// Parts of sound requests: the first of all prompts, and one that few have.
const COMMON_PARTS: &str = "a1:300";
const RARE_PARTS: &str = "a1:300,b2:80";

/// A sound request and its end.
#[derive(Debug, Clone, Copy)]
struct SoundCall {
    at: Instant,
    served: bool,
    held: bool,
}

/// Writes the head of the response and ends, if the prompt has the part before its last one.
fn run_or_end(message: &Message) -> RunFate {
    let parts = message.field("x-prefix-hash").unwrap_or_default();
    let shared = parts.rsplit_once(',').map_or("", |(shared, _)| shared);
    if shared.contains(HARMFUL_PART) || shared.contains(OTHER_HARMFUL_PART) {
        return RunFate::End(platform::STREAM_HEAD.to_owned(), Duration::from_millis(10));
    }
    let events = (1..=12).map(|id| platform::chunk(&format!("id: {id}\ndata: x\n\n")) + "PAUSE");
    let events: String = events.collect();
    RunFate::Respond(["PAUSE", platform::STREAM_HEAD, &events, "0\r\n\r\n"].concat())
}

fn start_fleet() -> CrashFleet {
    CrashFleet::start(RELAY_COUNT, ENTRY_COUNT, SERVER_COUNT, DOWN_TIME, run_or_end)
}

/// Sends a request with these shared parts and a last part of its own.
fn call(entry: &Process, shared: &str) -> String {
    static NEXT_ID: AtomicU64 = AtomicU64::new(1);
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    let headers = format!(
        "X-Model: m\r\nX-Token-Usage: 500,60\r\nX-Prefix-Hash: {shared},ff{number:x}:40\r\n\
         Connection: close\r\n"
    );
    let bytes = request("POST", "/resume/a", &format!("p{number}"), &headers, &number.to_string());
    platform::call_raw(entry.callers, &bytes)
}

/// Sends requests with the harmful part behind `first` at all entries in turn, for some time.
fn send_harmful(fleet: &CrashFleet, first: &str, interval: Duration, time: Duration) {
    send_part(fleet, first, HARMFUL_PART, interval, time);
}

fn send_part(fleet: &CrashFleet, first: &str, part: &str, interval: Duration, time: Duration) {
    let shared = format!("{first},{part}:60");
    let start = Instant::now();
    thread::scope(|scope| {
        for entry in fleet.entries.iter().cycle() {
            if start.elapsed() > time {
                break;
            }
            scope.spawn(|| call(entry, &shared));
            thread::sleep(interval);
        }
    });
}

/// Sends sound requests at all entries while `work` runs. Returns them in order.
fn send_sound<Work>(
    fleet: &CrashFleet,
    shared: &str,
    interval: Duration,
    work: Work,
) -> Vec<SoundCall>
where
    Work: FnOnce(),
{
    let stopped = AtomicBool::new(false);
    let calls = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for entry in &fleet.entries {
            scope.spawn(|| {
                while !stopped.load(Ordering::Relaxed) {
                    let at = Instant::now();
                    let response = call(entry, shared);
                    let held = response.contains("toucanrail-result: 3207");
                    let served = response.starts_with("HTTP/1.1 200");
                    calls.lock().expect("calls").push(SoundCall { at, served, held });
                    thread::sleep(interval);
                }
            });
        }
        work();
        stopped.store(true, Ordering::Relaxed);
    });
    let mut calls = calls.into_inner().expect("calls");
    calls.sort_by_key(|call| call.at);
    calls
}

/// Asserts that few requests with the part were sent to servers later than the window after the fifth
/// end. Returns the time of the fifth, or of the last if there were fewer.
fn assert_contained(fleet: &CrashFleet) -> Instant {
    assert_part_contained(fleet, HARMFUL_PART)
}

fn assert_part_contained(fleet: &CrashFleet, part: &str) -> Instant {
    let runs = fleet.runs_of(part);
    let fifth = runs.get(FREE_ENDS - 1).or(runs.last()).expect("a server that ended").at;
    let late = runs.iter().filter(|run| run.at > fifth + WINDOW).count();
    println!("{} servers ended, {late} after the window", runs.len());
    assert!(late <= MAX_LATE_RUNS, "{late} of {} runs after the window", runs.len());
    fifth
}

/// Asserts that sound requests began at least half as often from twice the window after `fifth` on as
/// before `calm_until`.
fn assert_served(calls: &[SoundCall], calm_until: Instant, fifth: Instant) {
    let share = |when: &str, calls: Vec<&SoundCall>| {
        let served = calls.iter().filter(|call| call.served).count();
        println!("{} sound requests {when}", calls.len());
        assert!(calls.len() >= 20, "only {} calls {when}", calls.len());
        served as f64 / calls.len() as f64
    };
    let calm = share("in calm", calls.iter().filter(|call| call.at < calm_until).collect());
    let late = share("late", calls.iter().filter(|call| call.at > fifth + 2 * WINDOW).collect());
    println!("sound requests that began: {calm:.2} in calm, {late:.2} late");
    assert!(late >= 0.5 * calm, "{late} began, {calm} in calm");
}

/// No sound request is held back, at any time.
fn assert_none_held(calls: &[SoundCall]) {
    let held = calls.iter().filter(|call| call.held).count();
    assert_eq!(held, 0, "of {} sound requests", calls.len());
}

/// Each entry sees a few of the ends.
#[test]
fn part_at_entries() {
    let fleet = start_fleet();
    let mut calm_until = Instant::now();
    let calls = send_sound(&fleet, COMMON_PARTS, SOUND_INTERVAL, || {
        thread::sleep(CALM_TIME);
        calm_until = Instant::now();
        send_harmful(&fleet, COMMON_PARTS, HARMFUL_INTERVAL, Duration::from_secs(10));
    });
    let fifth = assert_contained(&fleet);
    assert_served(&calls, calm_until, fifth);
    assert_none_held(&calls);
}

/// Two parts end servers at the same time, in requests that differ in nothing else.
#[test]
fn two_parts() {
    let fleet = start_fleet();
    let mut calm_until = Instant::now();
    let calls = send_sound(&fleet, COMMON_PARTS, SOUND_INTERVAL, || {
        thread::sleep(CALM_TIME);
        calm_until = Instant::now();
        thread::scope(|scope| {
            for part in [HARMFUL_PART, OTHER_HARMFUL_PART] {
                let (interval, time) = (2 * HARMFUL_INTERVAL, Duration::from_secs(11));
                let fleet = &fleet;
                scope.spawn(move || send_part(fleet, COMMON_PARTS, part, interval, time));
            }
        });
    });
    let parts = [HARMFUL_PART, OTHER_HARMFUL_PART];
    let fifths = parts.map(|part| assert_part_contained(&fleet, part));
    assert_served(&calls, calm_until, fifths.into_iter().max().expect("a time"));
    assert_none_held(&calls);
}

/// A part ends servers while another one is held back.
#[test]
fn later_part() {
    let fleet = start_fleet();
    let mut calm_until = Instant::now();
    let calls = send_sound(&fleet, COMMON_PARTS, SOUND_INTERVAL, || {
        thread::sleep(Duration::from_secs(3));
        calm_until = Instant::now();
        thread::scope(|scope| {
            let fleet = &fleet;
            scope.spawn(move || {
                send_harmful(fleet, COMMON_PARTS, 2 * HARMFUL_INTERVAL, Duration::from_secs(16));
            });
            thread::sleep(Duration::from_secs(6));
            let time = Duration::from_secs(10);
            send_part(fleet, COMMON_PARTS, OTHER_HARMFUL_PART, 2 * HARMFUL_INTERVAL, time);
        });
    });
    assert_contained(&fleet);
    let fifth = assert_part_contained(&fleet, OTHER_HARMFUL_PART);
    assert_served(&calls, calm_until, fifth);
    assert_none_held(&calls);
}

/// Requests with the part come one at a time, far apart.
#[test]
fn part_far_apart() {
    let fleet = start_fleet();
    let interval = Duration::from_millis(1_100);
    let calls = send_sound(&fleet, COMMON_PARTS, SOUND_INTERVAL, || {
        send_harmful(&fleet, COMMON_PARTS, interval, Duration::from_secs(14));
    });
    let runs = fleet.count_runs(HARMFUL_PART);
    assert!(runs <= FREE_ENDS + MAX_LATE_RUNS, "{runs} servers ended");
    assert_none_held(&calls);
}

/// Another part stands in all of the harmful requests, and in few sound ones.
#[test]
fn companion_part() {
    let fleet = start_fleet();
    let mut calm_until = Instant::now();
    let interval = Duration::from_millis(250);
    let calls = send_sound(&fleet, RARE_PARTS, interval, || {
        thread::sleep(Duration::from_secs(3));
        calm_until = Instant::now();
        send_harmful(&fleet, RARE_PARTS, HARMFUL_INTERVAL, Duration::from_secs(11));
    });
    let fifth = assert_contained(&fleet);
    assert_served(&calls, calm_until, fifth);
}

/// Fewer servers end than it takes to know the part: sound requests go on.
#[test]
fn few_part_ends() {
    let fleet = start_fleet();
    let calls = send_sound(&fleet, COMMON_PARTS, SOUND_INTERVAL, || {
        for entry in &fleet.entries {
            call(entry, &format!("{COMMON_PARTS},{HARMFUL_PART}:60"));
        }
        thread::sleep(Duration::from_secs(3));
    });
    assert_none_held(&calls);
}

/// Servers end for reasons of their own, one by one and all together: nothing is held back.
#[test]
fn ends_without_part() {
    let fleet = start_fleet();
    let shared = "a1:300,c3:200,d4:100";
    let calls = send_sound(&fleet, shared, SOUND_INTERVAL, || {
        let mut rng = fastrand::Rng::with_seed(5);
        for round in 0..40 {
            let all: Vec<&Arc<CrashingServer>> = fleet.servers.iter().collect();
            let ending =
                if round % 10 == 9 { &all[..] } else { &all[rng.usize(0..SERVER_COUNT)..][..1] };
            for server in ending {
                server.crash();
            }
            thread::sleep(Duration::from_millis(rng.u64(50..350)));
        }
    });
    assert!(calls.len() > 100, "{}", calls.len());
    assert_none_held(&calls);
}

/// An entry that starts after the ends knows the part.
#[test]
fn part_at_fresh_entry() {
    let mut fleet = start_fleet();
    send_harmful(&fleet, COMMON_PARTS, HARMFUL_INTERVAL, Duration::from_secs(5));
    let before = fleet.count_runs(HARMFUL_PART);
    fleet.entries = vec![Process::start_gateway_on(&fleet.store, "front-9")];
    thread::sleep(crashes::SETTLE_TIME);
    send_harmful(&fleet, COMMON_PARTS, HARMFUL_INTERVAL, Duration::from_secs(3));
    let runs = fleet.count_runs(HARMFUL_PART) - before;
    assert!(runs <= MAX_LATE_RUNS, "{runs} servers ended at a fresh entry");
}

/// All relays start again, one after the other, while requests with the part come.
#[test]
fn part_and_relays() {
    let mut fleet = start_fleet();
    let mut relays = std::mem::take(&mut fleet.relays);
    thread::scope(|scope| {
        scope.spawn(|| {
            send_harmful(&fleet, COMMON_PARTS, HARMFUL_INTERVAL, Duration::from_secs(12));
        });
        for relay in &mut relays {
            thread::sleep(Duration::from_secs(2));
            relay.restart();
        }
    });
    assert_contained(&fleet);
}

/// The store is silent from before the first end on.
#[test]
fn part_in_outage() {
    let fleet = start_fleet();
    for entry in fleet.entries.iter().cycle().take(3 * ENTRY_COUNT) {
        call(entry, COMMON_PARTS);
    }
    thread::sleep(crashes::SETTLE_TIME);
    fleet.silence_store(true);
    send_harmful(&fleet, COMMON_PARTS, HARMFUL_INTERVAL, Duration::from_secs(8));
    fleet.silence_store(false);
    assert_contained(&fleet);
}

/// The servers are repaired, or the verdict was wrong: a trial of one request ends it. Trials before
/// that are few.
#[test]
fn cured_part() {
    let repaired = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&repaired);
    let fleet =
        CrashFleet::start(RELAY_COUNT, ENTRY_COUNT, SERVER_COUNT, DOWN_TIME, move |message| {
            match run_or_end(message) {
                RunFate::End(..) if flag.load(Ordering::Relaxed) => {
                    let event = platform::next_event(message);
                    RunFate::Respond([platform::STREAM_HEAD, &event, "0\r\n\r\n"].concat())
                }
                fate => fate,
            }
        });
    send_harmful(&fleet, COMMON_PARTS, HARMFUL_INTERVAL, Duration::from_secs(20));
    assert_contained(&fleet);
    repaired.store(true, Ordering::Relaxed);
    let (shared, start) = (format!("{COMMON_PARTS},{HARMFUL_PART}:60"), Instant::now());
    for entry in fleet.entries.iter().cycle() {
        if call(entry, &shared).starts_with("HTTP/1.1 200") {
            break;
        }
        assert!(start.elapsed() < CURE_TIME, "still held back");
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(crashes::SETTLE_TIME);
    for entry in &fleet.entries {
        let response = call(entry, &shared);
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
}

/// Like [`run_or_end`], but the server ends before it has sent anything.
fn ends_unheard(message: &Message) -> RunFate {
    match run_or_end(message) {
        RunFate::End(..) => RunFate::End(String::new(), Duration::from_millis(80)),
        RunFate::Respond(text) => RunFate::Respond(text),
    }
}

/// Asserts that harmful requests whose first part is the harmful one, at this interval, are contained
/// and that sound requests are served.
fn assert_fast_contained<Script>(interval: Duration, script: Script)
where
    Script: Fn(&Message) -> RunFate + Clone + Send + Sync + 'static,
{
    let down_time = Duration::from_secs(2);
    let fleet = CrashFleet::start(SERVER_COUNT, ENTRY_COUNT, SERVER_COUNT, down_time, script);
    let mut calm_until = Instant::now();
    let calls = send_sound(&fleet, "a1:300", SOUND_INTERVAL, || {
        thread::sleep(CALM_TIME);
        calm_until = Instant::now();
        let start = Instant::now();
        thread::scope(|scope| {
            for entry in fleet.entries.iter().cycle() {
                if start.elapsed() > Duration::from_secs(14) {
                    break;
                }
                scope.spawn(|| call(entry, "dead1:160,a1:300"));
                thread::sleep(interval);
            }
        });
    });
    let fifth = assert_contained(&fleet);
    assert_served(&calls, calm_until, fifth);
}

/// Requests with the part come so fast that all servers are down at once, and end them before they
/// respond. Sound requests that have begun elsewhere stand in the same ends.
#[test]
fn fast_part() {
    assert_fast_contained(Duration::from_millis(40), ends_unheard);
}

/// Requests with the part come twice as fast, and end servers after the head of the response, at which
/// sound responses have begun too. Sound requests must not be held back in their place.
#[test]
fn fast_heads() {
    assert_fast_contained(Duration::from_millis(20), run_or_end);
}
