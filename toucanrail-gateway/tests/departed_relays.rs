//! Relays that have left with their VMs and stay listed in the store, before the living ones by rank.

mod platform;

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use platform::{Action, Backend, Process, Store, request};
use toucanrail::paths;

/// Default number of shards.
const SHARDS: u64 = 4;
/// Relays that have left.
const DEPARTED: usize = 12;

/// Starts a store that lists a living relay behind others, a server, and the relay.
fn start_fleet() -> (Store, Backend, Process) {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| Action::Respond(platform::signed_response("seven")));
    platform::configure(&store, 1, &[&backend]);
    let relay = Process::start_relay(&store, "side-1");
    platform::wait_until("the relay", || store.has("relays", "side-1"));
    let shard = paths::shard_of(&Arc::from("acme"), SHARDS);
    platform::register_departed_first(&store, &["side-1"], &shard, DEPARTED);
    (store, backend, relay)
}

fn call(entry: &Process, id: &str) -> u16 {
    let text = request("POST", "/safe/a", id, platform::PROMPT_HEADERS, "p");
    platform::call(entry.callers, &text).map_or(0, |response| response.status())
}

/// Entries that have just started did not find the living lender. The first of them took the whole
/// budget for itself, and the others refused requests for lack of it.
#[test]
fn entries_that_start() {
    let (store, _backend, _relay) = start_fleet();
    let statuses: Vec<u16> = (0..6)
        .map(|number| {
            let entry = Process::start_gateway_on(&store, &format!("front-{number}"));
            call(&entry, &format!("r{number}"))
        })
        .collect();
    let granted = store.granted("acme");
    println!("{statuses:?} {granted:?}");
    assert_eq!(statuses, [200; 6]);
    assert!(granted.keys().all(|holder| holder.starts_with("side-1")), "{granted:?}");
}

/// The relays that serve leave one by one, and others come for them. A request that finds its lender gone
/// borrows from the next one.
#[test]
fn replaced_lenders() {
    let (store, _backend, mut relay) = start_fleet();
    let entry = Process::start_gateway_on(&store, "front-1");
    for number in 2..6 {
        assert_eq!(call(&entry, &format!("r{number}")), 200);
        let vm = format!("side-{number}");
        let next = Process::start_relay(&store, &vm);
        platform::wait_until("the relay", || store.has("relays", &vm));
        // The entry lists the relays at intervals.
        thread::sleep(Duration::from_secs(3));
        relay.signal("TERM");
        assert!(relay.wait_end());
        relay = next;
    }
    assert_eq!(call(&entry, "last"), 200);
    let granted = store.granted("acme");
    println!("{granted:?}");
    assert!(granted.keys().all(|holder| holder.starts_with("side-")), "{granted:?}");
}
