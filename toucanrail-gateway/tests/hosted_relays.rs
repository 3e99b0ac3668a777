//! Fleets without VMs for relays, in which entries host relays and lend to one another.

mod platform;

use std::thread;
use std::time::Duration;

use platform::{Action, Backend, Process, Store, request};

/// Starts a store, a backend server and two entries.
fn start_entries() -> (Store, Backend, [Process; 2]) {
    let store = Store::start();
    let events = platform::chunk("id: 1\ndata: x\n\n");
    let response = [platform::STREAM_HEAD, &events, "0\r\n\r\n"].concat();
    let backend = Backend::start("i-1", move |_, _| Action::Respond(response.clone()));
    platform::configure_prepaid(&store, 1, &[&backend], 100_000);
    let entries = ["front-1", "front-2"].map(|vm| Process::start_gateway_on(&store, vm));
    (store, backend, entries)
}

/// Sends a request that must succeed.
fn serve(entry: &Process, id: &str) {
    let headers = format!("{}Connection: close\r\n", platform::PROMPT_HEADERS);
    let response =
        platform::call_raw(entry.callers, &request("POST", "/stream/a", id, &headers, "p"));
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

/// Waits until both entries host a relay and have listed the relays.
fn wait_hosted(store: &Store) {
    let names = ["front-1", "front-2"];
    platform::wait_until("the relays", || names.iter().all(|vm| store.has("relays", vm)));
    // The entries list the relays shortly afterwards.
    thread::sleep(Duration::from_secs(2));
}

/// Only one of two entries holds a grant, and lends to both. Guards against entries that each hold
/// their own grants, compete for the rest of a budget and lose most writes to version conflicts.
#[test]
fn one_lender() {
    let (store, _backend, entries) = start_entries();
    wait_hosted(&store);
    for number in 0..6 {
        serve(&entries[number % 2], &format!("r{number}"));
    }
    assert_eq!(store.granted("acme").len(), 1, "{:?}", store.granted("acme"));
}

/// The lending entry is stopped: no grant remains with it, and the other entry continues to serve.
#[test]
fn stopped_host() {
    let (store, _backend, mut entries) = start_entries();
    wait_hosted(&store);
    serve(&entries[0], "r1");
    let holder = store.granted("acme").into_keys().next().unwrap();
    let at = usize::from(holder.starts_with("front-2"));
    entries[at].signal("TERM");
    serve(&entries[1 - at], "r2");
    assert!(entries[at].wait_end());
    serve(&entries[1 - at], "r3");
    let granted = store.granted("acme");
    assert!(granted.keys().all(|known| *known != holder), "{granted:?}");
}

/// The copy of the store that entries list relays from lags behind and shows none. Entries that took
/// this for proof hosted relays, and each budget had as many holders as there are entries.
#[test]
fn stale_copy() {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| Action::Respond(String::new()));
    platform::configure_prepaid(&store, 1, &[&backend], 100_000);
    store.freeze_copy();
    let _relay = Process::start_relay(&store, "side-1");
    platform::wait_until("the relay", || store.has("relays", "side-1"));
    let _entry = Process::start_gateway_on(&store, "front-1");
    thread::sleep(Duration::from_secs(7));
    assert!(!store.has("relays", "front-1"));
}

/// A relay on a VM of its own takes precedence over hosted relays.
#[test]
fn dedicated_relay() {
    let (store, _backend, entries) = start_entries();
    wait_hosted(&store);
    let _relay = Process::start_relay(&store, "side-1");
    platform::wait_until("the relay", || store.has("relays", "side-1"));
    platform::wait_until("its grant", || {
        serve(&entries[0], "r1");
        store.granted("acme").keys().any(|holder| holder.starts_with("side-1"))
    });
}
