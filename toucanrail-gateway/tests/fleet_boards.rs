//! A relay that acts as a board: it watches the store on behalf of the entries of a large fleet.

mod platform;

use std::thread;
use std::time::{Duration, Instant};

use platform::{Action, Backend, Process, Store, request};

/// Starts a relay and registers it under thirty names, so that the fleet is large enough to use
/// boards.
fn start_fleet(store: &Store) -> Process {
    let relay = Process::start_relay(store, "side-0");
    platform::wait_until("the relay", || store.has("relays", "side-0"));
    let entry = store.get("relays", "side-0").expect("its entry");
    for at in 1..30 {
        store.put("relays", &format!("side-{at}"), entry.clone());
    }
    relay
}

/// Starts a store, a relay that acts as the board and a gateway that queries it.
fn start_board() -> (Store, Backend, Process, Process) {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| Action::Respond(platform::signed_response("seven")));
    platform::configure(&store, 1, &[&backend]);
    let relay = start_fleet(&store);
    let gateway = Process::start_gateway(&store);
    // The gateway lists the relays shortly after its start; the watches that it began before then
    // expire.
    thread::sleep(Duration::from_secs(4));
    (store, backend, relay, gateway)
}

/// Blocks the store's calls for the configuration and the servers, or unblocks them.
fn set_blocked(store: &Store, blocked: bool) {
    store.set_blocked("config", blocked);
    store.set_blocked("servers", blocked);
}

/// Writes a configuration with one more route, and checks that it is in force within two seconds.
fn expect_change(store: &Store, backend: &Backend, gateway: &Process) {
    platform::configure_extra_route(store, 2, &[backend], "fresh");
    let start = Instant::now();
    let text = request("GET", "/fresh/a", "r0", "", "");
    platform::wait_until("the new route", || {
        platform::call(gateway.callers, &text).is_some_and(|response| response.status() == 200)
    });
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
}

/// The board watches the store in place of the entry, which still has a new configuration within
/// two seconds. Without boards, thirty entries that watch the store make half of its calls, and
/// each change wakes them all.
#[test]
fn board_watches() {
    let (store, backend, _relay, gateway) = start_board();
    let before = store.watch_count();
    expect_change(&store, &backend, &gateway);
    thread::sleep(Duration::from_secs(3));
    assert_eq!(store.watch_count(), before);
}

/// The paces of servers are unknown for a while, so that the relays' entries keep changing. Entries
/// must learn of that from the board: if each listed all relays every two seconds, the listings
/// would grow with the product of entries and relays.
#[test]
fn listed_by_board() {
    let (store, _backend, _relay, _gateway) = start_board();
    let [before, _] = store.relay_listing_counts();
    thread::sleep(Duration::from_secs(5));
    let [after, _] = store.relay_listing_counts();
    assert_eq!(after, before);
}

/// Guards against every entry of a board watching the store because one response to the board came
/// late: the board has the next one a moment later.
#[test]
fn late_response() {
    let (store, backend, _relay, gateway) = start_board();
    let before = store.watch_count();
    let unblocking = {
        let store = store.clone();
        set_blocked(&store, true);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(500));
            set_blocked(&store, false);
        })
    };
    expect_change(&store, &backend, &gateway);
    unblocking.join().expect("to unblock");
    thread::sleep(Duration::from_secs(3));
    assert_eq!(store.watch_count(), before);
}

/// The board is killed. Its entries must not wait for it but watch the store themselves
/// immediately.
#[test]
fn dead_board() {
    let (store, backend, relay, gateway) = start_board();
    relay.signal("KILL");
    expect_change(&store, &backend, &gateway);
}

/// The board freezes with its connections open. Its entries must notice that it does not answer.
#[test]
fn frozen_board() {
    let (store, backend, relay, gateway) = start_board();
    relay.signal("STOP");
    expect_change(&store, &backend, &gateway);
    relay.signal("CONT");
}

/// The store does not answer for some seconds, and the board is queried again once the store is
/// back. If the entries continued to watch the store themselves, each server that registers anew
/// would wake them all.
#[test]
fn stale_board() {
    let (store, backend, _relay, gateway) = start_board();
    for blocked in [true, false] {
        set_blocked(&store, blocked);
        thread::sleep(Duration::from_millis(if blocked { 4_500 } else { 2_500 }));
    }
    let before = store.watch_count();
    thread::sleep(Duration::from_millis(2_500));
    assert_eq!(store.watch_count(), before);
    expect_change(&store, &backend, &gateway);
}
