//! Callers that disconnect, or would give up, before they have a response.

mod platform;

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use platform::{Action, Backend, Process, Store, request};
use serde_json::{Value, json};

/// Long enough for bytes and the end of a connection to arrive; shorter than any loan timeout.
const ARRIVAL: Duration = Duration::from_millis(80);
/// Long enough for a request to reach the server if it had been forwarded.
const DELIVERY: Duration = Duration::from_millis(600);

fn send(gateway: &Process, text: &str) -> TcpStream {
    let mut caller = TcpStream::connect(gateway.callers).expect("a connection");
    caller.write_all(text.as_bytes()).expect("to write");
    caller
}

fn count_received(backend: &Backend, id: &str) -> usize {
    backend.seen().iter().filter(|message| message.field("x-attempt-id") == Some(id)).count()
}

/// An entry that lags behind reads a request together with the end of its caller's connection. It
/// must not forward the request.
#[test]
fn unread_request() {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| Action::Respond(platform::signed_response("fine")));
    platform::configure(&store, 1, &[&backend]);
    let gateway = Process::start_gateway(&store);
    let first = platform::call(gateway.callers, &request("GET", "/safe/a", "r1", "", ""));
    assert_eq!(first.unwrap().status(), 200);
    gateway.signal("STOP");
    drop(send(&gateway, &request("GET", "/safe/a", "r2", "", "")));
    thread::sleep(ARRIVAL);
    gateway.signal("CONT");
    thread::sleep(DELIVERY);
    assert_eq!(count_received(&backend, "r2"), 0);
}

/// A frozen lender responds after the caller has disconnected, so that the entry sees both at once.
/// It must not forward the request.
#[test]
fn late_loan() {
    let store = Store::start();
    let events = platform::chunk("id: 1\ndata: x\n\n");
    let response = [platform::STREAM_HEAD, &events, "0\r\n\r\n"].concat();
    let backend = Backend::start("i-1", move |_, _| Action::Respond(response.clone()));
    platform::configure_prepaid(&store, 1, &[&backend], 100_000);
    let relay = Process::start_relay(&store, "side-1");
    platform::wait_until("the relay", || store.has("relays", "side-1"));
    let gateway = Process::start_gateway(&store);
    let prompt = |id: &str| request("POST", "/stream/a", id, platform::PROMPT_HEADERS, "p");
    let send_prompt = |id: &str| {
        platform::call_raw(
            gateway.callers,
            &prompt(id).replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"),
        )
    };
    platform::wait_until("a loan", || {
        assert!(send_prompt("r1").starts_with("HTTP/1.1 200"));
        store.granted("acme").keys().any(|holder| holder.starts_with("side-1"))
    });
    relay.signal("STOP");
    let caller = send(&gateway, &prompt("r2"));
    thread::sleep(ARRIVAL);
    gateway.signal("STOP");
    drop(caller);
    relay.signal("CONT");
    thread::sleep(ARRIVAL);
    gateway.signal("CONT");
    thread::sleep(DELIVERY);
    assert_eq!(count_received(&backend, "r2"), 0);
}

/// A server freezes together with its VM. Callers used to give up on their own at the end of their
/// time, not knowing whether their requests went on. They must get a response before that.
#[test]
fn frozen_server() {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| Action::Respond("PAUSE".repeat(100)));
    platform::configure(&store, 1, &[&backend]);
    let gateway = Process::start_gateway(&store);
    let text = request("POST", "/once/a", "r1", "", "order").replace(": 8000", ": 1000");
    let start = Instant::now();
    let response = platform::call(gateway.callers, &text).unwrap();
    assert_eq!(response.status(), 504);
    assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
}

/// The same for a stream. Its callers give up earlier if no event arrives.
#[test]
fn frozen_stream() {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| Action::Respond("PAUSE".repeat(250)));
    platform::configure_prepaid(&store, 1, &[&backend], 100_000);
    let gateway = Process::start_gateway(&store);
    let text = request("POST", "/stream/a", "r1", platform::PROMPT_HEADERS, "p");
    let start = Instant::now();
    let response = platform::call(gateway.callers, &text).unwrap();
    assert_eq!(response.status(), 504);
    // The tests' route accepts pauses of 600 ms, and its callers wait for eight times that.
    assert!(start.elapsed() < Duration::from_millis(4_800), "{:?}", start.elapsed());
}

/// A caller leaves while its request waits for a grant. What it was missing is no longer asked for.
#[test]
fn waiting_request() {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| Action::Respond(platform::signed_response("fine")));
    platform::configure(&store, 1, &[&backend]);
    let gateway = Process::start_gateway(&store);
    store.set_blocked("budgets", true);
    let text = request("POST", "/once/a", "r1", platform::PROMPT_HEADERS, "p");
    let caller = send(&gateway, &text);
    let waiting = || {
        let state = platform::call(gateway.readiness, "GET /state HTTP/1.1\r\nHost: x\r\n\r\n");
        let state: Value = serde_json::from_slice(&state.expect("the state").body).expect("JSON");
        state["grants"]["accounts"]["acme"]["waiting"].clone()
    };
    platform::wait_until("the request", || waiting() == json!([160]));
    drop(caller);
    store.set_blocked("budgets", false);
    platform::wait_until("the end of the wait", || waiting() == json!([]));
}
