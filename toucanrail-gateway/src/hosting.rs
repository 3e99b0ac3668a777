//! The relay that an entry hosts, in a fleet without VMs for relays.
//!
//! Without relays, each entry holds its own grants and watches the store itself. Some tens of such
//! entries compete for the rest of a budget, lose most of their writes to its object to version
//! conflicts, and have no budget left as soon as they are cut off. With hosted relays, one entry
//! lends each budget.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use smol::Async;
use toucanrail::permits::PermitTable;
use toucanrail_platform::stores::ListFreshness;

use crate::change_feed::ChangeFeed;
use crate::origin_store::{self, OriginStore};
use crate::relay;
use crate::relay_api::{self, RelayApi};
use crate::relay_registration;
use crate::state::Gateway;

/// Time in which relays on VMs of their own register when a fleet starts, or when the store is back.
const REGISTRATION_TIME: Duration = Duration::from_secs(4);
/// Interval at which an entry checks whether there are any.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Starts a hosted relay once it is known that no VM of its own runs one.
pub async fn host_relay(gateway: Rc<Gateway>) {
    // A listing from a stale copy lacks relays that have just registered. If entries took that for
    // proof and hosted relays, each budget would have as many holders as there are entries.
    while !(should_host(&gateway) && confirm_no_relay(&gateway).await) {
        smol::Timer::after(CHECK_INTERVAL).await;
    }
    match start(&gateway) {
        Ok(api) => {
            gateway.hosted_relay.borrow_mut().replace(api);
            tracing::info!(event = "relay_hosted", lending = %gateway.settings.lending);
        }
        // The entry continues with its own grants.
        Err(error) => tracing::error!(event = "relay_not_hosted", %error),
    }
}

/// Returns whether this entry should host a relay. An entry whose earlier run hosted one does not
/// wait for others to register.
fn should_host(gateway: &Gateway) -> bool {
    let store = &gateway.store;
    let listed = store.time_since_relays_listed();
    let waited = store.has_relay(&gateway.settings.vm)
        || listed.is_some_and(|since| since > REGISTRATION_TIME);
    waited && store.has_only_hosted_relays() && gateway.stop_requested.get().is_none()
}

/// Lists the relays from the store's current state. Returns whether it shows none on a VM of its
/// own.
async fn confirm_no_relay(gateway: &Gateway) -> bool {
    let store = &gateway.store;
    store.list_relays(ListFreshness::Latest).await && store.has_only_hosted_relays()
}

fn start(gateway: &Rc<Gateway>) -> io::Result<Rc<RelayApi>> {
    let settings = &gateway.settings;
    let executor = &gateway.executor;
    let relayed = Async::<TcpListener>::bind(settings.hosted_relay)?;
    let entries = Async::<TcpListener>::bind(settings.lending)?;
    let store = Rc::clone(&gateway.store);
    let reaches_store = move || store.is_direct();
    let forwarding =
        relay::forward_connections(Rc::clone(executor), relayed, settings.store, reaches_store);
    executor.spawn(forwarding).detach();
    let api = Rc::new(RelayApi {
        grant_manager: Rc::clone(&gateway.grant_manager),
        loans: RefCell::default(),
        borrowers: RefCell::default(),
        tenure_watch: RefCell::default(),
        stopping: Cell::new(false),
        change_feed: ChangeFeed::new(Rc::clone(&gateway.store), Rc::clone(executor)),
        permits: PermitTable::new(gateway.now()).into(),
        report_client: None,
        origins: RefCell::default(),
        versions: RefCell::default(),
        origin_store: OriginStore::new(&settings.vm),
        suspects: RefCell::default(),
        holds_changed: Event::new(),
        rotation: RefCell::default(),
        process: fastrand::u64(..),
    });
    let lending = relay_api::serve_entries(Rc::clone(executor), Rc::clone(&api), entries);
    executor.spawn(lending).detach();
    executor.spawn(origin_store::write_origins(Rc::clone(&api))).detach();
    let entry = relay_registration::new_entry(settings, settings.hosted_relay, true);
    executor.spawn(relay_registration::maintain_entry(settings.clone(), entry, None)).detach();
    Ok(api)
}
