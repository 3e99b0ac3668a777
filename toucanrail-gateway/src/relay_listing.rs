//! The list of relays that each process keeps.
//!
//! An entry needs all relays, since they lend budget, report loads and serve as boards. A board
//! tells it which have changed; the store itself is listed at startup and in fleets without boards.
//! A relay needs a few others only, as detours to the store.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use toucanrail::ids::Version;
use toucanrail::messages::ChangesReply;
use toucanrail_platform::stores::ListFreshness;

use crate::state::Gateway;
use crate::store_access::{RELAY_KIND, StoreAccess};
use crate::store_watch::{self, BoardOutcome};

/// Interval between listings of the relays in a fleet without boards. They change only with their
/// VMs. A listing from a stale copy counts as a tenth of a call.
const LIST_INTERVAL: Duration = Duration::from_secs(12);
/// The same while the pace of a backend server is unknown: until then, a slow server gets as many
/// prompts as a fast one.
const UNMEASURED_LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Time after the start in which relays are listed often, and the interval then. A restarted entry
/// may be cut off moments later and would have no relays and lenders until the network recovers; in
/// a fleet that starts, the relays themselves register in this time.
const STARTUP_TIME: Duration = Duration::from_secs(4);
const STARTUP_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// The same time in a fleet with hosted relays only, which start once it is known that there are no
/// others.
const HOSTED_STARTUP_TIME: Duration = Duration::from_secs(10);
/// Time that relays of a fleet that starts for the first time get to register before the first
/// listing, and the period over which entries spread it. An entry that listed before would find no
/// board and ask the store for everything.
const FIRST_LISTING_DELAY: Duration = Duration::from_secs(1);
const FIRST_LISTING_SPREAD: Duration = Duration::from_secs(1);
/// Pause between two queries of a board for relays. Changes within it share one reply.
const BOARD_PAUSE: Duration = Duration::from_secs(1);
/// Pause after the boards, and the store, did not respond.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);
/// Mean interval between a relay's listings of detours, which cost the store as much as the fleet
/// has relays. It is varied by up to half.
const DETOUR_LIST_INTERVAL: Duration = Duration::from_secs(60);
/// Minimum number of detours; a relay with fewer behind it in the order of names lists the first
/// ones instead.
const MIN_DETOURS: usize = 16;
/// Mean time from a relay's start to its first listing; other relays register meanwhile.
const FIRST_DETOUR_LISTING: Duration = Duration::from_secs(3);

/// Keeps an entry's list of all relays up to date.
pub async fn watch_relays(gateway: Rc<Gateway>) {
    if gateway.settings.starts_fleet {
        let delay = FIRST_LISTING_DELAY + FIRST_LISTING_SPREAD.mul_f64(fastrand::f64());
        smol::Timer::after(delay).await;
    }
    let mut revision = None;
    let mut listed_at: Option<Duration> = None;
    loop {
        let store = &gateway.store;
        let outcome = store_watch::query_boards(&gateway, RELAY_KIND, BOARD_PAUSE, revision).await;
        let pause = match outcome {
            BoardOutcome::Updated(update) => {
                listed_at = Some(gateway.now());
                store.record_heard(RELAY_KIND);
                revision = apply_update(store, update).or(revision);
                BOARD_PAUSE
            }
            BoardOutcome::Unavailable
                if time_until_listing(&gateway, listed_at).is_zero()
                    && list_from_store(&gateway).await =>
            {
                listed_at = Some(gateway.now());
                store.record_heard(RELAY_KIND);
                revision = None;
                FAILURE_PAUSE
            }
            BoardOutcome::Unavailable | BoardOutcome::Stale => FAILURE_PAUSE,
        };
        let pause = pause.mul_f64(0.75 + 0.5 * fastrand::f64());
        let due = time_until_listing(&gateway, listed_at);
        smol::Timer::after(if due.is_zero() { pause } else { pause.min(due) }).await;
    }
}

/// Returns the time until the relays are to be listed at the store if no board responds.
fn time_until_listing(gateway: &Gateway, listed_at: Option<Duration>) -> Duration {
    listed_at
        .map_or(Duration::ZERO, |at| (at + list_interval(gateway)).saturating_sub(gateway.now()))
}

/// Lists the relays from the store: all of them, unless the first ones are enough to find boards,
/// which know the rest. Returns whether the store responded.
async fn list_from_store(gateway: &Gateway) -> bool {
    let store = &gateway.store;
    if store.relay_count() > 0 {
        return store.list_relays(ListFreshness::Stale).await;
    }
    let listed = store.list_some_relays(None).await;
    if !listed || store_watch::uses_boards(gateway) {
        return listed;
    }
    store.list_relays(ListFreshness::Stale).await
}

/// Returns the interval between listings at the store while no board responds.
fn list_interval(gateway: &Gateway) -> Duration {
    let store = &gateway.store;
    match gateway.now() {
        _ if store_watch::uses_boards(gateway) => LIST_INTERVAL,
        now if now < STARTUP_TIME => STARTUP_LIST_INTERVAL,
        now if now < HOSTED_STARTUP_TIME && store.has_only_hosted_relays() => STARTUP_LIST_INTERVAL,
        _ if store.has_unmeasured_server() => UNMEASURED_LIST_INTERVAL,
        _ => LIST_INTERVAL,
    }
}

/// Applies a board's update. Returns the revision up to which all relays are known.
fn apply_update(store: &StoreAccess, update: ChangesReply) -> Option<Version> {
    match update {
        ChangesReply::Listing { objects, revision } => {
            store.set_relays(&objects);
            Some(revision)
        }
        ChangesReply::Changes { changes, revision } => {
            for change in &changes {
                store.apply_relay_change(change);
            }
            Some(revision)
        }
        ChangesReply::Stale => None,
    }
}

/// Keeps a relay's list of detours to the store up to date.
pub async fn list_detours(store: Rc<StoreAccess>, vm: Arc<str>) {
    let mut pause = FIRST_DETOUR_LISTING;
    loop {
        smol::Timer::after(pause.mul_f64(0.5 + fastrand::f64())).await;
        let mut listed = store.list_some_relays(Some(&vm)).await;
        if listed && store.relay_count() < MIN_DETOURS {
            listed = store.list_some_relays(None).await;
        }
        pause = if listed { DETOUR_LIST_INTERVAL } else { FIRST_DETOUR_LISTING };
    }
}
