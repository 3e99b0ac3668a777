//! Startup of an entry.

mod platform;

use std::thread;
use std::time::Duration;

use platform::{Action, Backend, Process, Store, request};

/// Listings of the relays that an entry makes at once while there are none: of the first page, and
/// of all.
const EMPTY_LISTINGS: u64 = 2;

/// An entry starts while the store is busy, and its configuration arrives before the list of
/// servers. If it reported ready in between, the balancer would send callers, and each would be
/// refused with "no backend server". It must be ready only when it has both.
#[test]
fn unlisted_servers() {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| Action::Respond(platform::signed_response("seven")));
    platform::configure(&store, 1, &[&backend]);
    store.set_blocked("servers", true);
    let gateway = Process::start_unready(&store);
    let unknown = request("GET", "/nowhere/a", "r0", "", "");
    platform::wait_until("the configuration", || {
        platform::call(gateway.callers, &unknown).is_some_and(|response| response.status() == 404)
    });
    let response = platform::call(gateway.readiness, "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(response.map(|response| response.status()), Some(503));
    store.set_blocked("servers", false);
    gateway.wait_ready(true);
    let text = request("GET", "/safe/a", "r1", "", "");
    assert_eq!(platform::call(gateway.callers, &text).unwrap().body, b"seven");
}

/// A relay registers just after an entry's first listing, and the entry is cut off 1.2 s after its
/// start. An entry that lists again only later than that knows no lender, does not notice that it
/// is isolated, and refuses all callers.
#[test]
fn second_listing() {
    let starting = || {
        let store = Store::start();
        let backend = Backend::start("i-1", |_, _| Action::Respond(String::new()));
        platform::configure(&store, 1, &[&backend]);
        let _gateway = Process::start_gateway(&store);
        thread::sleep(Duration::from_millis(1_200));
        store.relay_listing_counts()[0]
    };
    let entries: Vec<_> = (0..6).map(|_| thread::spawn(starting)).collect();
    let listings = entries.into_iter().map(|entry| entry.join().expect("an entry"));
    let listings: Vec<u64> = listings.collect();
    assert!(listings.iter().all(|count| *count > EMPTY_LISTINGS), "{listings:?}");
}
