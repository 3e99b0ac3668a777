//! A relay's registration in the store.

mod platform;

use std::thread;
use std::time::Duration;

use platform::{Process, Store};
use serde_json::json;

/// A relay needs a few others, as detours to the store. If each relay listed all of them every
/// second while a fleet starts, the listings would saturate the store's link.
#[test]
fn few_listings() {
    let store = Store::start();
    let _relay = Process::start_relay(&store, "side-1");
    platform::wait_until("the relay", || store.has("relays", "side-1"));
    thread::sleep(Duration::from_secs(6));
    // One page after the relay's own name, and the first page.
    let [_, listings] = store.relay_listing_counts();
    assert!((1..=2).contains(&listings), "{listings}");
}

/// A restarted relay keeps the pace in its entry that its earlier run measured. If it cleared the
/// pace and wrote it again once measured, all relays that restart after a power loss would make two
/// more calls each, at the same time.
#[test]
fn kept_pace() {
    let store = Store::start();
    let mut relay = Process::start_relay(&store, "side-1");
    platform::wait_until("the relay", || store.has("relays", "side-1"));
    let mut entry = store.get("relays", "side-1").unwrap();
    entry["pace_us"] = json!(20_000);
    store.put("relays", "side-1", entry.clone());
    relay.restart();
    thread::sleep(Duration::from_secs(3));
    assert_eq!(store.get("relays", "side-1").unwrap(), entry);
}
