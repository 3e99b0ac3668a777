//! Checks of the relays that do not respond, and the search for others in their place.

use std::cell::{Cell, Ref, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use smol::future::FutureExt;
use toucanrail::ids::ShardName;
use toucanrail::link_shares;
use toucanrail::loans;
use toucanrail::paths;
use toucanrail::relay_health::{HealthTable, RelaySearch};
use toucanrail_wire::time_limits;

use crate::relay_client;
use crate::state::Gateway;
use crate::store_watch;
use crate::suspect_reports;

/// Interval at which it is seen whether a check is due while a relay does not respond.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a check; a live relay replies within a few milliseconds.
const CHECK_TIMEOUT: Duration = Duration::from_millis(150);

/// Which relays respond.
#[derive(Debug, Default)]
pub struct RelayChecker {
    health: RefCell<HealthTable>,
    failed: Event,
    searched: Event,
    is_searched: Cell<bool>,
}

impl RelayChecker {
    /// Returns what is known of the relays.
    pub fn health(&self) -> Ref<'_, HealthTable> {
        self.health.borrow()
    }

    /// Records that a relay responded.
    pub fn record_response(&self, relay: SocketAddr, now: Duration) {
        self.health.borrow_mut().record_response(relay, now);
    }

    /// Records that no connection to a relay could be opened. A search follows if that is new: calls of
    /// an entry that is cut off fail all the time.
    pub fn record_failure(&self, relay: SocketAddr, now: Duration) {
        if self.health.borrow_mut().record_failure(relay, now) {
            self.failed.notify(1);
        }
    }

    /// Waits until other relays have been searched in place of one that has just failed, for at most
    /// `timeout`.
    pub async fn await_search(&self, timeout: Duration) {
        let searched = self.searched.listen();
        self.failed.notify(1);
        time_limits::timeout(timeout, searched).await;
    }
}

/// Checks relays that do not respond until the process exits, so that no request has to find out
/// whether they are back. After the start and after a failure it searches the first ones by rank that
/// respond, for each purpose.
pub async fn check_relays(gateway: Rc<Gateway>) {
    gateway.store.wait_relays_listed().await;
    let checker = &gateway.relay_checker;
    loop {
        let failed = checker.failed.listen();
        search_relays(&gateway).await;
        checker.is_searched.set(true);
        checker.searched.notify(usize::MAX);
        let due = async {
            loop {
                if checker.health().failed_count() == 0 {
                    std::future::pending::<()>().await;
                }
                smol::Timer::after(CHECK_INTERVAL).await;
                for relay in checker.health.borrow_mut().take_due(gateway.now()) {
                    let shared = Rc::clone(&gateway);
                    let check = async move { check_relay(&shared, relay).await };
                    gateway.executor.spawn(check).detach();
                }
            }
        };
        failed.or(due).await;
        let listed = gateway.store.relays();
        let is_listed = |relay: &SocketAddr| listed.iter().any(|(_, address)| address == relay);
        checker.health.borrow_mut().retain(is_listed);
    }
}

/// Returns whether lenders that respond have been searched after the start, or it has taken too long.
pub fn is_searched(gateway: &Gateway) -> bool {
    let checker = &gateway.relay_checker;
    gateway.settings.starts_fleet
        || checker.is_searched.get()
        || gateway.now() >= suspect_reports::MAX_READY_DELAY
}

/// What relays are ranked for.
#[derive(Debug)]
enum RankPurpose {
    Lender(ShardName),
    Board,
    Suspects,
}

impl RankPurpose {
    /// Returns the number of relays in use at a time.
    fn count(&self) -> usize {
        match self {
            Self::Lender(_) | Self::Board => 1,
            Self::Suspects => suspect_reports::COPIES,
        }
    }

    fn rank(&self, gateway: &Gateway) -> Vec<SocketAddr> {
        let ranked = match self {
            Self::Lender(shard) => loans::rank_lenders(&gateway.store.lenders(), shard),
            Self::Board => store_watch::list_boards(gateway),
            Self::Suspects => {
                let ranked = suspect_reports::rank_keepers(gateway, usize::MAX);
                return ranked.into_iter().map(|relay| relay.address).collect();
            }
        };
        ranked.into_iter().map(|(_, address)| address).collect()
    }
}

/// Searches the lenders, and once a relay has failed also the boards and the keepers of suspects, which
/// are called anyway.
async fn search_relays(gateway: &Rc<Gateway>) {
    let shards = 0..gateway.grant_manager.shard_count();
    let lenders = shards.map(|shard| RankPurpose::Lender(paths::shard_name(shard)));
    let mut purposes: Vec<RankPurpose> = lenders.collect();
    if gateway.relay_checker.health().failed_count() > 0 {
        purposes.extend([RankPurpose::Board, RankPurpose::Suspects]);
    }
    let with_search = |purpose: RankPurpose| (RelaySearch::new(purpose.count()), purpose);
    let mut searches: Vec<_> = purposes.into_iter().map(with_search).collect();
    loop {
        let mut wave = BTreeSet::new();
        for (search, purpose) in &mut searches {
            let ranked = purpose.rank(gateway);
            wave.extend(search.next_wave(&ranked, &gateway.relay_checker.health()));
        }
        if wave.is_empty() {
            return;
        }
        check_all(gateway, wave).await;
    }
}

/// Checks relays at the same time.
async fn check_all<Relays>(gateway: &Rc<Gateway>, relays: Relays)
where
    Relays: IntoIterator<Item = SocketAddr>,
{
    let checking = relays.into_iter().map(|relay| {
        let shared = Rc::clone(gateway);
        gateway.executor.spawn(async move { check_relay(&shared, relay).await })
    });
    for task in checking.collect::<Vec<_>>() {
        task.await;
    }
}

async fn check_relay(gateway: &Gateway, relay: SocketAddr) {
    let is_alive = relay_client::is_alive(relay, CHECK_TIMEOUT).await;
    let is_delayed = link_shares::is_loaded(gateway.delaying_load());
    let (checker, now) = (&gateway.relay_checker, gateway.now());
    if is_alive {
        checker.record_response(relay, now);
    } else if !is_delayed {
        tracing::info!(event = "relay_silent", %relay);
        checker.health.borrow_mut().record_failure(relay, now);
    }
}
