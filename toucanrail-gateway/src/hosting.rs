//! The relay that an entry hosts, in a fleet without VMs for relays.
//!
//! The load it answers: entries that all hold grants of their own and watch the store for themselves. Some
//! tens of them take what is left of a budget from one another, lose most races for its object, and are
//! without money as soon as they are cut off. With relays among them one entry lends each budget.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use smol::Async;
use toucanrail::coldstarts::PermitTable;

use crate::lending::{self, LoanOffice};
use crate::mirroring::NewsOffice;
use crate::registering;
use crate::relay;
use crate::state::Gateway;

/// Time in which relays on VMs of their own register in a fleet that starts.
const RELAY_TIME: Duration = Duration::from_secs(4);
/// How often it is looked whether there are any.
const LOOK_PAUSE: Duration = Duration::from_millis(500);

/// Hosts a relay once it is known that no VM of its own has one.
pub async fn host_relay(gateway: Rc<Gateway>) {
    while !is_wanted(&gateway) {
        smol::Timer::after(LOOK_PAUSE).await;
    }
    match start(&gateway) {
        Ok(office) => {
            gateway.hosted_relay.borrow_mut().replace(office);
            tracing::info!(event = "relay_hosted", lending = %gateway.settings.lending);
        }
        // The entry goes on with grants of its own.
        Err(error) => tracing::error!(event = "relay_not_hosted", %error),
    }
}

/// Tells whether this entry is to host a relay: at once where an earlier run of it did.
fn is_wanted(gateway: &Gateway) -> bool {
    let store = &gateway.store;
    let waited = store.has_relay(&gateway.settings.vm) || gateway.now() > RELAY_TIME;
    waited && store.lacks_relays() && gateway.stop_requested.get().is_none()
}

fn start(gateway: &Rc<Gateway>) -> io::Result<Rc<LoanOffice>> {
    let settings = &gateway.settings;
    let executor = &gateway.executor;
    let passed = Async::<TcpListener>::bind(settings.hosted_relay)?;
    let entries = Async::<TcpListener>::bind(settings.lending)?;
    let store = Rc::clone(&gateway.store);
    let reaches = move || store.is_direct();
    let passing = relay::forward_connections(Rc::clone(executor), passed, settings.store, reaches);
    executor.spawn(passing).detach();
    let office = Rc::new(LoanOffice {
        keeper: Rc::clone(&gateway.keeper),
        loans: RefCell::default(),
        leaving: Cell::new(false),
        news: NewsOffice::new(Rc::clone(&gateway.store), Rc::clone(executor)),
        permits: PermitTable::new(gateway.now()).into(),
        gauge: None,
    });
    let lending = lending::serve_entries(Rc::clone(executor), Rc::clone(&office), entries);
    executor.spawn(lending).detach();
    let entry = registering::make_entry(settings, settings.hosted_relay, true);
    executor.spawn(registering::keep_entry(settings.clone(), entry, None)).detach();
    Ok(office)
}
