//! A relay that watches the store for the entries of a large fleet.

mod platform;

use std::thread;
use std::time::{Duration, Instant};

use platform::{Act, Backend, Process, Store, request};

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

fn knows_version(gateway: &Process, path: &str) -> bool {
    let text = request("GET", path, "r0", "", "");
    platform::call(gateway.callers, &text).is_some_and(|answer| answer.status() == 200)
}

/// Thirty entries that watch the store make half of all its calls, and each change wakes them all. Here
/// the board watches: the entry does not, and still has a new configuration within two seconds.
#[test]
fn board_watches() {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| Act::Answer(platform::signed("seven")));
    platform::configure(&store, 1, &[&backend]);
    let _relay = start_fleet(&store);
    let gateway = Process::start_gateway(&store);
    // Relays are listed a moment after the start; the watches from before end by themselves.
    thread::sleep(Duration::from_secs(4));
    let before = store.watches();
    platform::configure_path(&store, 2, &[&backend], "fresh");
    let start = Instant::now();
    platform::wait_until("the new route", || knows_version(&gateway, "/fresh/a"));
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
    thread::sleep(Duration::from_secs(3));
    assert_eq!(store.watches(), before);
}

/// The board is killed. Its entries must not wait for it: they watch the store themselves at once.
#[test]
fn dead_board() {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| Act::Answer(platform::signed("seven")));
    platform::configure(&store, 1, &[&backend]);
    let relay = start_fleet(&store);
    let gateway = Process::start_gateway(&store);
    thread::sleep(Duration::from_secs(4));
    relay.signal("KILL");
    platform::configure_path(&store, 2, &[&backend], "fresh");
    let start = Instant::now();
    platform::wait_until("the new route", || knows_version(&gateway, "/fresh/a"));
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
}

/// The board stands still with all its connections open. It says nothing, and its entries notice.
#[test]
fn frozen_board() {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| Act::Answer(platform::signed("seven")));
    platform::configure(&store, 1, &[&backend]);
    let relay = start_fleet(&store);
    let gateway = Process::start_gateway(&store);
    thread::sleep(Duration::from_secs(4));
    relay.signal("STOP");
    platform::configure_path(&store, 2, &[&backend], "fresh");
    let start = Instant::now();
    platform::wait_until("the new route", || knows_version(&gateway, "/fresh/a"));
    relay.signal("CONT");
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
}
