//! Cold servers, which have just started, receive no more requests than their configured rate
//! allows.

mod platform;

use std::thread;
use std::time::Duration;

use platform::{Action, Backend, Process, Store, request};
use serde_json::json;

/// Maximum number of requests per second to a cold server: the configured rate of 10, times
/// `cold_over` of 1.5, plus `cold_slack` of 5.
const MAX_REQUESTS: usize = 20;

/// Starts a store and one backend server, and configures its service with a cold start.
fn start_server() -> (Store, Backend) {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| Action::Respond(platform::signed_response("seven")));
    platform::configure(&store, 1, &[&backend]);
    platform::configure_field(&store, 2, "services", "cold_start_s", &json!(3.0));
    platform::configure_field(&store, 3, "services", "cold_per_s", &json!(10.0));
    (store, backend)
}

/// Starts two gateways, which do not coordinate, and waits until they have listed the relays.
fn start_gateways(store: &Store) -> Vec<Process> {
    let gateways = (0..2).map(|_| Process::start_with_limits(store)).collect();
    // Relays are listed within a second.
    thread::sleep(Duration::from_millis(1_500));
    gateways
}

/// Starts a store, one server, the relay beside it and two gateways.
fn start_service() -> (Store, Backend, Process, Vec<Process>) {
    let (store, backend) = start_server();
    let relay = Process::start_relay_beside(&store, "side-1", &backend);
    let gateways = start_gateways(&store);
    (store, backend, relay, gateways)
}

/// Counts the requests that a server received, leaving out the relay's calls for its load report.
fn count_requests(backend: &Backend) -> usize {
    backend.seen().iter().filter(|message| message.head.starts_with("POST ")).count()
}

/// Sends a burst of requests through all gateways concurrently. Returns how many succeeded.
fn send_burst(gateways: &[Process], count: usize) -> usize {
    let senders: Vec<_> = (0..count)
        .map(|number| {
            let callers = gateways[number % gateways.len()].callers;
            thread::spawn(move || {
                let text = request("POST", "/once/a", &format!("r{number}"), "", "x");
                platform::call(callers, &text).is_some_and(|response| response.status() == 200)
            })
        })
        .collect();
    senders.into_iter().filter_map(|sender| sender.join().ok()).filter(|served| *served).count()
}

/// An idle cold server joins and two gateways send it a burst. Guards against overload of a cold
/// server: it receives only as many requests as permits allow, and the others are refused without
/// running.
#[test]
fn cold_burst() {
    let (store, backend, _relay, gateways) = start_service();
    platform::register(&store, &backend, "a", 60_000);
    thread::sleep(Duration::from_millis(500));
    let served = send_burst(&gateways, 60);
    let received = count_requests(&backend);
    assert!((5..=MAX_REQUESTS).contains(&received), "{received}");
    assert_eq!(served, received);
}

/// The relay beside a cold server is dead. Nothing is sent to the server without a permit.
#[test]
fn dead_relay() {
    let (store, backend, relay, gateways) = start_service();
    relay.signal("KILL");
    platform::register(&store, &backend, "a", 60_000);
    thread::sleep(Duration::from_millis(500));
    assert_eq!((send_burst(&gateways, 10), count_requests(&backend)), (0, 0));
}

/// A warm server receives all requests; no permits are needed.
#[test]
fn warm_burst() {
    let (_store, backend, _relay, gateways) = start_service();
    assert_eq!(send_burst(&gateways, 60), 60);
    assert_eq!(count_requests(&backend), 60);
}

/// The relay beside a cold server is not listed yet, but another one is. If gateways asked the
/// other relay for permits, the two relays would together grant twice what the server can take.
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
    assert_eq!((send_burst(&gateways, 10), count_requests(&backend)), (0, 0));
}
