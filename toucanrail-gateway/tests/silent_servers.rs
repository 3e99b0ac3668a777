//! Servers that do not answer for a while: queues, lost answers and dead servers.

mod platform;

use std::time::{Duration, Instant};

use platform::{Action, Backend, Message, Process, Store, request};

/// A report of a server's load.
fn report(waiting: u32, runs: &str) -> String {
    let body = format!("{{\"born\":1,\"waiting\":{waiting},\"runs\":[{runs}]}}");
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

fn whole_stream() -> String {
    [platform::STREAM_HEAD, &platform::chunk("id: 1\ndata: whole\n\n"), "0\r\n\r\n"].concat()
}

/// Starts a server that answers a stream only after some seconds and reports as told, with its relay,
/// and a server that answers at once if `others` says so.
fn start_slow(
    reports: &'static str,
    others: bool,
) -> (Store, Backend, Vec<Backend>, Process, Process) {
    let store = Store::start();
    let slow = Backend::start("i-1", move |_, message: &Message| match message.target() {
        "/api/report" => Action::Respond(reports.to_owned()),
        _ => Action::Respond(["PAUSE".repeat(70), whole_stream()].concat()),
    });
    let fast = Backend::start("i-2", |_, _| Action::Respond(whole_stream()));
    let backends: Vec<Backend> = if others { vec![fast] } else { Vec::new() };
    let all: Vec<&Backend> = std::iter::once(&slow).chain(&backends).collect();
    platform::configure_prepaid(&store, 1, &all, 100_000);
    let relay = Process::start_relay_beside(&store, "side-1", &slow);
    let gateway = Process::start_gateway(&store);
    (store, slow, backends, relay, gateway)
}

fn count_prompts(backend: &Backend) -> usize {
    backend.seen().iter().filter(|message| message.field("x-model").is_some()).count()
}

fn ask(gateway: &Process, id: &str) -> String {
    let more = format!("{}Connection: close\r\n", platform::PROMPT_HEADERS);
    platform::call_raw(gateway.callers, &request("POST", "/resume/a", id, &more, "p"))
}

/// Asks until the slow server had a request, and checks that the other one answered it soon.
fn check_moved(gateway: &Process, slow: &Backend, other: &Backend) {
    let start = Instant::now();
    // Which server comes first is not known, but one of some requests goes to the slow one.
    for number in 0..20 {
        if count_prompts(slow) == 0 {
            assert!(ask(gateway, &format!("r{number}")).contains("whole"));
        }
    }
    assert!(count_prompts(slow) == 1 && count_prompts(other) > 0);
    assert!(start.elapsed() < Duration::from_millis(1_900), "{:?}", start.elapsed());
}

/// A server's queue is long, and the entry took it for dead: it sent the request to another one, or
/// closed the connection and answered 502 to a caller whose prompt was billed.
#[test]
fn queued_request() {
    let reports = Box::leak(report(3, "").into_boxed_str());
    let (store, slow, _others, _relay, gateway) = start_slow(reports, false);
    let answer = ask(&gateway, "r1");
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("whole"), "{answer}");
    assert_eq!(count_prompts(&slow), 1);
    platform::wait_until("the bill", || store.billed("acme") == 106);
}

/// The same where the prompt is being read.
#[test]
fn read_request() {
    let reports = Box::leak(report(0, "[\"r1\",50,0,1]").into_boxed_str());
    let (_store, slow, _others, _relay, gateway) = start_slow(reports, false);
    let answer = ask(&gateway, "r1");
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("whole"), "{answer}");
    assert_eq!(count_prompts(&slow), 1);
}

/// A server has no trace of the request any more, or made events that never came: its answer is lost,
/// and the request goes to another server long before its time is over.
#[test]
fn lost_trace() {
    for runs in ["", "[\"r1\",50,4,1]"] {
        let reports = Box::leak(report(0, runs).into_boxed_str());
        let (_store, slow, others, _relay, gateway) = start_slow(reports, true);
        check_moved(&gateway, &slow, &others[0]);
    }
}

/// A server is silent and so is its report: it is dead, and the request goes to another one.
#[test]
fn dead_server() {
    let (_store, slow, others, _relay, gateway) = start_slow("", true);
    check_moved(&gateway, &slow, &others[0]);
}

/// A server lost more answers than there are retries. Callers without one were kept waiting to the end of
/// their time for an answer that was known never to come.
#[test]
fn lost_answers() {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, message: &Message| match message.target() {
        "/api/report" => Action::Respond(report(0, "")),
        _ => Action::Respond("PAUSE".repeat(300)),
    });
    platform::configure_prepaid(&store, 1, &[&backend], 100_000);
    let _relay = Process::start_relay_beside(&store, "side-1", &backend);
    let gateway = Process::start_gateway(&store);
    let gateway = &gateway;
    std::thread::scope(|scope| {
        for number in 0..16 {
            scope.spawn(move || {
                let start = Instant::now();
                let answer = ask(gateway, &format!("r{number}"));
                assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
                assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
            });
        }
    });
}
