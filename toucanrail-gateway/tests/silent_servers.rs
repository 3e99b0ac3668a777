//! Servers that do not respond for a while: long queues, lost responses and dead servers.

mod platform;

use std::time::{Duration, Instant};

use platform::{Action, Backend, Message, Process, Store, request};

/// Returns a load report as a server sends it.
fn load_report(waiting: u32, runs: &str) -> String {
    let body = format!("{{\"born\":1,\"waiting\":{waiting},\"runs\":[{runs}]}}");
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

fn complete_stream() -> String {
    [platform::STREAM_HEAD, &platform::chunk("id: 1\ndata: whole\n\n"), "0\r\n\r\n"].concat()
}

/// Starts a server that responds to a stream only after several seconds and sends the given load
/// report, a relay beside it, and, if `with_fast` is set, a second server that responds at once.
fn start_slow(
    reports: &'static str,
    with_fast: bool,
) -> (Store, Backend, Vec<Backend>, Process, Process) {
    let store = Store::start();
    let slow = Backend::start("i-1", move |_, message: &Message| match message.target() {
        "/api/report" => Action::Respond(reports.to_owned()),
        _ => Action::Respond(["PAUSE".repeat(70), complete_stream()].concat()),
    });
    let fast = Backend::start("i-2", |_, _| Action::Respond(complete_stream()));
    let backends: Vec<Backend> = if with_fast { vec![fast] } else { Vec::new() };
    let all: Vec<&Backend> = std::iter::once(&slow).chain(&backends).collect();
    platform::configure_prepaid(&store, 1, &all, 100_000);
    let relay = Process::start_relay_beside(&store, "side-1", &slow);
    let gateway = Process::start_gateway(&store);
    (store, slow, backends, relay, gateway)
}

fn count_prompts(backend: &Backend) -> usize {
    backend.seen().iter().filter(|message| message.field("x-model").is_some()).count()
}

fn send_prompt(gateway: &Process, id: &str) -> String {
    let headers = format!("{}Connection: close\r\n", platform::PROMPT_HEADERS);
    platform::call_raw(gateway.callers, &request("POST", "/resume/a", id, &headers, "p"))
}

/// Sends requests until the slow server has received one, and checks that the other server
/// responded to it soon.
fn check_failover(gateway: &Process, slow: &Backend, other: &Backend) {
    let start = Instant::now();
    // Either server may be picked first, but one of several requests goes to the slow one.
    for number in 0..20 {
        if count_prompts(slow) == 0 {
            assert!(send_prompt(gateway, &format!("r{number}")).contains("whole"));
        }
    }
    assert!(count_prompts(slow) == 1 && count_prompts(other) > 0);
    assert!(start.elapsed() < Duration::from_millis(1_900), "{:?}", start.elapsed());
}

/// A server with a long queue was taken for dead: the entry sent the request to another server, or
/// closed the connection and responded with 502 to a caller whose prompt was billed.
#[test]
fn queued_request() {
    let reports = Box::leak(load_report(3, "").into_boxed_str());
    let (store, slow, _fast, _relay, gateway) = start_slow(reports, false);
    let response = send_prompt(&gateway, "r1");
    assert!(response.starts_with("HTTP/1.1 200") && response.contains("whole"), "{response}");
    assert_eq!(count_prompts(&slow), 1);
    platform::wait_until("the bill", || store.billed("acme") == 106);
}

/// The same while the server processes the prompt.
#[test]
fn running_request() {
    let reports = Box::leak(load_report(0, "[\"r1\",50,0,1]").into_boxed_str());
    let (_store, slow, _fast, _relay, gateway) = start_slow(reports, false);
    let response = send_prompt(&gateway, "r1");
    assert!(response.starts_with("HTTP/1.1 200") && response.contains("whole"), "{response}");
    assert_eq!(count_prompts(&slow), 1);
}

/// A server no longer knows the request, or has produced events that never arrived. Its response is
/// lost, and the request must be retried at another server long before its deadline.
#[test]
fn lost_run() {
    for runs in ["", "[\"r1\",50,4,1]"] {
        let reports = Box::leak(load_report(0, runs).into_boxed_str());
        let (_store, slow, fast, _relay, gateway) = start_slow(reports, true);
        check_failover(&gateway, &slow, &fast[0]);
    }
}

/// Neither a server nor its load report responds: it is dead, and the request is retried at another
/// one.
#[test]
fn dead_server() {
    let (_store, slow, fast, _relay, gateway) = start_slow("", true);
    check_failover(&gateway, &slow, &fast[0]);
}

/// A server lost more responses than the retry budget covers. Callers without a retry used to wait
/// until their deadline for a response that was known to be lost.
#[test]
fn lost_responses() {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, message: &Message| match message.target() {
        "/api/report" => Action::Respond(load_report(0, "")),
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
                let response = send_prompt(gateway, &format!("r{number}"));
                assert!(response.starts_with("HTTP/1.1 502"), "{response}");
                assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
            });
        }
    });
}
