//! Fleets without VMs for relays: entries lend to one another.

mod platform;

use std::thread;
use std::time::Duration;

use platform::{Action, Backend, Process, Store, request};

fn start_entries() -> (Store, Backend, [Process; 2]) {
    let store = Store::start();
    let events = platform::chunk("id: 1\ndata: x\n\n");
    let answer = [platform::STREAM_HEAD, &events, "0\r\n\r\n"].concat();
    let backend = Backend::start("i-1", move |_, _| Action::Respond(answer.clone()));
    platform::configure_prepaid(&store, 1, &[&backend], 100_000);
    let entries = ["front-1", "front-2"].map(|vm| Process::start_gateway_on(&store, vm));
    (store, backend, entries)
}

fn serve(entry: &Process, id: &str) {
    let more = format!("{}Connection: close\r\n", platform::PROMPT_HEADERS);
    let answer = platform::call_raw(entry.callers, &request("POST", "/stream/a", id, &more, "p"));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

fn wait_hosted(store: &Store) {
    let names = ["front-1", "front-2"];
    platform::wait_until("the relays", || names.iter().all(|vm| store.has("relays", vm)));
    // The entries list them a moment later.
    thread::sleep(Duration::from_secs(2));
}

/// Each entry held grants of its own: they took what was left of a budget from one another, and lost most
/// races for it. One of them lends to both.
#[test]
fn one_lender() {
    let (store, _backend, entries) = start_entries();
    wait_hosted(&store);
    for number in 0..6 {
        serve(&entries[number % 2], &format!("r{number}"));
    }
    assert_eq!(store.granted("acme").len(), 1, "{:?}", store.granted("acme"));
}

/// The entry that lends is stopped: nothing stays granted to it, and the other one serves on.
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

/// Relays on VMs of their own go before those that entries host.
#[test]
fn own_relay() {
    let (store, _backend, entries) = start_entries();
    wait_hosted(&store);
    let _relay = Process::start_relay(&store, "side-1");
    platform::wait_until("the relay", || store.has("relays", "side-1"));
    platform::wait_until("its grant", || {
        serve(&entries[0], "r1");
        store.granted("acme").keys().any(|holder| holder.starts_with("side-1"))
    });
}
