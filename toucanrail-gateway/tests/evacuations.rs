//! Evacuations of data centres while a gateway runs, and regions that requests must not leave.

mod platform;

use std::thread;
use std::time::{Duration, Instant};

use platform::{Action, Backend, Process, Store, request};
use serde_json::json;

/// Time within which an evacuation must be in force.
const EVACUATION_LIMIT: Duration = Duration::from_secs(5);

/// Starts a store, one server in each of the data centres `a` and `b`, and a gateway in `a`.
fn start_pair() -> (Store, Backend, Backend, Process) {
    let store = Store::start();
    let near = Backend::start("i-a", |_, _| Action::Respond(platform::signed_response("near")));
    let far = Backend::start("i-b", |_, _| Action::Respond(platform::signed_response("far")));
    platform::configure(&store, 1, &[&near, &far]);
    platform::register(&store, &far, "b", 0);
    let gateway = Process::start_with_limits(&store);
    (store, near, far, gateway)
}

/// Sends one request. Returns the status and the body of the response.
fn send(gateway: &Process, id: &str) -> (u16, String) {
    let response = platform::call(gateway.callers, &request("POST", "/once/a", id, "", "x"));
    let response = response.expect("a response");
    (response.status(), String::from_utf8_lossy(&response.body).into_owned())
}

/// Sends groups of requests until all responses of a group have this body. Returns how long that
/// took.
fn wait_for_body(gateway: &Process, expected: &str) -> Duration {
    let start = Instant::now();
    let mut number = 0;
    platform::wait_until(expected, || {
        number += 1;
        (0..8).all(|at| send(gateway, &format!("r{number}.{at}")) == (200, expected.to_owned()))
    });
    start.elapsed()
}

/// The nearer of two servers receives no requests once its data centre is evacuated, and serves
/// again when the evacuation is removed.
#[test]
fn near_evacuated() {
    let (store, near, _far, gateway) = start_pair();
    assert_eq!(send(&gateway, "r"), (200, "near".into()));
    store.put("evacuations", "a", json!({}));
    assert!(wait_for_body(&gateway, "far") < EVACUATION_LIMIT / 2);
    let received = near.seen().len();
    wait_for_body(&gateway, "far");
    assert_eq!(near.seen().len(), received);
    store.remove("evacuations", "a");
    wait_for_body(&gateway, "near");
}

/// Both data centres are evacuated: requests are refused immediately with a `Retry-After`, and are
/// not run.
#[test]
fn both_evacuated() {
    let (store, near, far, gateway) = start_pair();
    store.put("evacuations", "a", json!({}));
    store.put("evacuations", "b", json!({}));
    thread::sleep(EVACUATION_LIMIT / 2);
    let received = near.seen().len() + far.seen().len();
    let start = Instant::now();
    let text = request("POST", "/once/a", "r", "", "x");
    let response = platform::call(gateway.callers, &text).expect("a response");
    assert_eq!(response.status(), 503);
    assert!(response.field("retry-after").is_some());
    assert!(start.elapsed() < Duration::from_millis(500));
    assert_eq!(near.seen().len() + far.seen().len(), received);
}

/// The store discards its history together with the evacuation's event, so that no watch reports
/// it; the gateway must learn of the evacuation from a listing.
#[test]
fn evacuation_without_event() {
    let (store, _near, _far, gateway) = start_pair();
    store.put_without_event("evacuations", "a", json!({}));
    assert!(wait_for_body(&gateway, "far") < EVACUATION_LIMIT);
}

/// The store is unavailable while an evacuation is in force. A gateway that knows of the evacuation
/// still honours it, and one that starts meanwhile sends nothing before it has listed the
/// evacuations.
#[test]
fn store_unavailable() {
    let (store, near, _far, mut gateway) = start_pair();
    store.put("evacuations", "a", json!({}));
    wait_for_body(&gateway, "far");
    let received = near.seen().len();
    store.set_blocked("evacuations", true);
    thread::sleep(Duration::from_secs(3));
    assert_eq!(send(&gateway, "kept"), (200, "far".into()));
    gateway.restart();
    platform::wait_until("a listener", || {
        platform::call(gateway.callers, &request("POST", "/once/a", "new", "", "x")).is_some()
    });
    gateway.wait_ready(false);
    store.set_blocked("evacuations", false);
    gateway.wait_ready(true);
    assert_eq!(send(&gateway, "known"), (200, "far".into()));
    assert_eq!(near.seen().len(), received);
}

/// The allowed regions of a route and of a customer both apply. If together they leave no server,
/// the request is refused and must not reach a server of another region.
#[test]
fn allowed_regions_apply() {
    let (store, near, far, gateway) = start_pair();
    platform::configure_field(&store, 2, "routes", "allowed_regions", &json!(["south"]));
    wait_for_body(&gateway, "far");
    let received = near.seen().len();
    platform::configure_field(&store, 3, "tenants", "allowed_regions", &json!(["north"]));
    platform::wait_until("a refusal", || send(&gateway, "r").0 == 503);
    let served = far.seen().len();
    assert_eq!(send(&gateway, "s").0, 503);
    assert_eq!((near.seen().len(), far.seen().len()), (received, served));
}
