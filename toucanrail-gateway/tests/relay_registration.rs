//! A relay's entry in the store.

mod platform;

use std::thread;
use std::time::Duration;

use platform::{Process, Store};
use serde_json::json;

/// A relay starts again, as all do after a power loss. It overwrote the pace that its earlier run had
/// measured, and wrote it once more when it had measured it again: two calls a relay, all at once.
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
