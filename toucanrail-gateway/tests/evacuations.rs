//! Data centres that the operator empties while a gateway runs, and regions that requests may not leave.

mod platform;

use std::thread;
use std::time::{Duration, Instant};

use platform::{Action, Backend, Process, Store, request};
use serde_json::json;

/// Time in which an evacuation must be in force.
const BOUND: Duration = Duration::from_secs(5);

/// A store, a server in each of the data centres `a` and `b`, and a gateway in `a`.
fn start_pair() -> (Store, Backend, Backend, Process) {
    let store = Store::start();
    let near = Backend::start("i-a", |_, _| Action::Respond(platform::signed_response("near")));
    let far = Backend::start("i-b", |_, _| Action::Respond(platform::signed_response("far")));
    platform::configure(&store, 1, &[&near, &far]);
    platform::register(&store, &far, "b", 0);
    let gateway = Process::start_with_limits(&store);
    (store, near, far, gateway)
}

fn ask(gateway: &Process, id: &str) -> (u16, String) {
    let answer = platform::call(gateway.callers, &request("POST", "/once/a", id, "", "x"));
    let answer = answer.expect("an answer");
    (answer.status(), String::from_utf8_lossy(&answer.body).into_owned())
}

/// Asks until all answers of a moment are this one; tells how long that took.
fn wait_answers(gateway: &Process, wanted: &str) -> Duration {
    let start = Instant::now();
    let mut number = 0;
    platform::wait_until(wanted, || {
        number += 1;
        (0..8).all(|at| ask(gateway, &format!("r{number}.{at}")) == (200, wanted.to_owned()))
    });
    start.elapsed()
}

/// A plain service has one server in each data centre. The near one gets nothing once its data centre is
/// emptied, and serves again once it is taken back.
#[test]
fn near_emptied() {
    let (store, near, _far, gateway) = start_pair();
    assert_eq!(ask(&gateway, "r"), (200, "near".into()));
    store.put("evacuations", "a", json!({}));
    assert!(wait_answers(&gateway, "far") < BOUND / 2);
    let seen = near.seen().len();
    wait_answers(&gateway, "far");
    assert_eq!(near.seen().len(), seen);
    store.remove("evacuations", "a");
    wait_answers(&gateway, "near");
}

/// Both data centres are emptied: callers are refused at once, as not run, with a time to come back.
#[test]
fn both_emptied() {
    let (store, near, far, gateway) = start_pair();
    store.put("evacuations", "a", json!({}));
    store.put("evacuations", "b", json!({}));
    thread::sleep(BOUND / 2);
    let seen = near.seen().len() + far.seen().len();
    let start = Instant::now();
    let text = request("POST", "/once/a", "r", "", "x");
    let answer = platform::call(gateway.callers, &text).expect("an answer");
    assert_eq!(answer.status(), 503);
    assert!(answer.field("retry-after").is_some());
    assert!(start.elapsed() < Duration::from_millis(500));
    assert_eq!(near.seen().len() + far.seen().len(), seen);
}

/// The store forgets its history with the news of the evacuation in it: no watch sees it.
#[test]
fn unseen_evacuation() {
    let (store, _near, _far, gateway) = start_pair();
    store.put_without_event("evacuations", "a", json!({}));
    assert!(wait_answers(&gateway, "far") < BOUND);
}

/// The store is away while the evacuation is in force. A gateway that knows of it keeps to it, and one that
/// starts meanwhile sends nothing before it knows.
#[test]
fn store_away() {
    let (store, near, _far, mut gateway) = start_pair();
    store.put("evacuations", "a", json!({}));
    wait_answers(&gateway, "far");
    let seen = near.seen().len();
    store.set_blocked("evacuations", true);
    thread::sleep(Duration::from_secs(3));
    assert_eq!(ask(&gateway, "kept"), (200, "far".into()));
    gateway.restart();
    platform::wait_until("a listener", || {
        platform::call(gateway.callers, &request("POST", "/once/a", "new", "", "x")).is_some()
    });
    gateway.wait_ready(false);
    store.set_blocked("evacuations", false);
    gateway.wait_ready(true);
    assert_eq!(ask(&gateway, "known"), (200, "far".into()));
    assert_eq!(near.seen().len(), seen);
}

/// Routes and customers name the regions that may run their requests. Both bind, also where no server is
/// left: a request must not reach a server of another region.
#[test]
fn bound_regions() {
    let (store, near, far, gateway) = start_pair();
    platform::configure_field(&store, 2, "routes", "allowed_regions", &json!(["south"]));
    wait_answers(&gateway, "far");
    let seen = near.seen().len();
    platform::configure_field(&store, 3, "tenants", "allowed_regions", &json!(["north"]));
    platform::wait_until("a refusal", || ask(&gateway, "r").0 == 503);
    let served = far.seen().len();
    assert_eq!(ask(&gateway, "s").0, 503);
    assert_eq!((near.seen().len(), far.seen().len()), (seen, served));
}
