//! Servers that have just started get no more than they bear.

mod platform;

use std::thread;
use std::time::Duration;

use platform::{Action, Backend, Process, Store, request};
use serde_json::json;

/// Requests in a second that a cold server bears, by the settings and the configuration below.
const BOUND: usize = 20;

/// A store and one server, whose service has cold servers.
fn start_server() -> (Store, Backend) {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| Action::Respond(platform::signed_response("seven")));
    platform::configure(&store, 1, &[&backend]);
    platform::configure_field(&store, 2, "services", "cold_start_s", &json!(3.0));
    platform::configure_field(&store, 3, "services", "cold_per_s", &json!(10.0));
    (store, backend)
}

/// Starts two gateways that do not know one another, and waits until they have listed the relays.
fn start_gateways(store: &Store) -> Vec<Process> {
    let gateways = (0..2).map(|_| Process::start_with_limits(store)).collect();
    // Relays are listed within a second.
    thread::sleep(Duration::from_millis(1_500));
    gateways
}

/// A store, one server, the relay beside it and two gateways.
fn start_service() -> (Store, Backend, Process, Vec<Process>) {
    let (store, backend) = start_server();
    let relay = Process::start_relay_beside(&store, "side-1", &backend);
    let gateways = start_gateways(&store);
    (store, backend, relay, gateways)
}

/// Counts the requests that a server got, without the relay's questions for its load.
fn count_seen(backend: &Backend) -> usize {
    backend.seen().iter().filter(|message| message.head.starts_with("POST ")).count()
}

/// Sends a burst through all gateways at once; returns how many were answered.
fn send_burst(gateways: &[Process], count: usize) -> usize {
    let senders: Vec<_> = (0..count)
        .map(|number| {
            let callers = gateways[number % gateways.len()].callers;
            thread::spawn(move || {
                let text = request("POST", "/once/a", &format!("r{number}"), "", "x");
                platform::call(callers, &text).is_some_and(|answer| answer.status() == 200)
            })
        })
        .collect();
    senders.into_iter().filter_map(|sender| sender.join().ok()).filter(|served| *served).count()
}

/// A server is back, cold and idle, and two gateways turn to it with all that callers send. It gets what it
/// bears; the other requests are refused as not run.
#[test]
fn cold_burst() {
    let (store, backend, _relay, gateways) = start_service();
    platform::register(&store, &backend, "a", 60_000);
    thread::sleep(Duration::from_millis(500));
    let served = send_burst(&gateways, 60);
    let seen = count_seen(&backend);
    assert!((5..=BOUND).contains(&seen), "{seen}");
    assert_eq!(served, seen);
}

/// The relay beside a cold server is dead. Nothing is sent without its permit.
#[test]
fn dead_relay() {
    let (store, backend, relay, gateways) = start_service();
    relay.signal("KILL");
    platform::register(&store, &backend, "a", 60_000);
    thread::sleep(Duration::from_millis(500));
    assert_eq!((send_burst(&gateways, 10), count_seen(&backend)), (0, 0));
}

/// A server that is not cold gets everything, without a question.
#[test]
fn warm_burst() {
    let (_store, backend, _relay, gateways) = start_service();
    assert_eq!(send_burst(&gateways, 60), 60);
    assert_eq!(count_seen(&backend), 60);
}

/// The relay beside a cold server is not known yet, and another one is. Were it asked, each of the two would
/// give as many permits as the server bears.
#[test]
fn unlisted_relay() {
    let (store, backend) = start_server();
    let _other = Process::start_relay(&store, "side-9");
    platform::wait_until("the other relay", || store.has("relays", "side-9"));
    let mut entry = store.get("relays", "side-9").expect("its entry");
    let address = entry["address"].as_str().expect("an address").replace("127.0.0.1", "127.0.0.9");
    entry["address"] = json!(address);
    store.put("relays", "side-9", entry);
    let gateways = start_gateways(&store);
    platform::register(&store, &backend, "a", 60_000);
    thread::sleep(Duration::from_millis(500));
    assert_eq!((send_burst(&gateways, 10), count_seen(&backend)), (0, 0));
}
