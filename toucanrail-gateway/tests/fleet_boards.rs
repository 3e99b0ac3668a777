//! A relay that watches the store for the entries of a large fleet.

mod platform;

use std::thread;
use std::time::{Duration, Instant};

use platform::{Action, Backend, Process, Store, request};

/// Makes the fleet look large: more names of the one relay that runs.
fn start_fleet(store: &Store) -> Process {
    let relay = Process::start_relay(store, "side-0");
    platform::wait_until("the relay", || store.has("relays", "side-0"));
    let entry = store.get("relays", "side-0").expect("its entry");
    for at in 1..30 {
        store.put("relays", &format!("side-{at}"), entry.clone());
    }
    relay
}

/// A store, a relay that is the board and a gateway that asks it.
fn start_board() -> (Store, Backend, Process, Process) {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| Action::Respond(platform::signed_response("seven")));
    platform::configure(&store, 1, &[&backend]);
    let relay = start_fleet(&store);
    let gateway = Process::start_gateway(&store);
    // Relays are listed a moment after the start; the watches from before end by themselves.
    thread::sleep(Duration::from_secs(4));
    (store, backend, relay, gateway)
}

/// Writes a configuration with one more route; it must be in force within two seconds.
fn expect_change(store: &Store, backend: &Backend, gateway: &Process) {
    platform::configure_extra_route(store, 2, &[backend], "fresh");
    let start = Instant::now();
    let text = request("GET", "/fresh/a", "r0", "", "");
    platform::wait_until("the new route", || {
        platform::call(gateway.callers, &text).is_some_and(|answer| answer.status() == 200)
    });
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
}

/// Thirty entries that watch the store make half of all its calls, and each change wakes them all. Here
/// the board watches: the entry does not, and still has a new configuration within two seconds.
#[test]
fn board_watches() {
    let (store, backend, _relay, gateway) = start_board();
    let before = store.watch_count();
    expect_change(&store, &backend, &gateway);
    thread::sleep(Duration::from_secs(3));
    assert_eq!(store.watch_count(), before);
}

/// The board is killed. Its entries must not wait for it: they watch the store themselves at once.
#[test]
fn dead_board() {
    let (store, backend, relay, gateway) = start_board();
    relay.signal("KILL");
    expect_change(&store, &backend, &gateway);
}

/// The board stands still with all its connections open. It says nothing, and its entries notice.
#[test]
fn frozen_board() {
    let (store, backend, relay, gateway) = start_board();
    relay.signal("STOP");
    expect_change(&store, &backend, &gateway);
    relay.signal("CONT");
}

/// The store does not answer for some seconds. Once it is back the board is asked again: entries that went
/// on to watch for themselves were all woken by each server that registered anew.
#[test]
fn stale_board() {
    let (store, backend, _relay, gateway) = start_board();
    for hold in [true, false] {
        store.set_blocked("config", hold);
        store.set_blocked("servers", hold);
        thread::sleep(Duration::from_millis(if hold { 4_500 } else { 2_500 }));
    }
    let before = store.watch_count();
    thread::sleep(Duration::from_millis(2_500));
    assert_eq!(store.watch_count(), before);
    expect_change(&store, &backend, &gateway);
}
