//! The loops that keep the configuration, the backend servers and the evacuations up to date from
//! the store.
//!
//! Changes come from a board, which is a relay's copy of store objects, or from a watch of the
//! store itself.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use toucanrail::boards::{self, OutageBackoff};
use toucanrail::endpoints::RelayName;
use toucanrail::ids::Version;
use toucanrail::messages::{ChangesQuery, ChangesReply, MirrorChange, MirrorObject};
use toucanrail::pauses;
use toucanrail_platform::stores::{ListFreshness, StoreError};
use toucanrail_platform::{configs, names, registrations};
use toucanrail_wire::time_limits;

use crate::change_feed::CHANGES_PATH;
use crate::recorded_versions;
use crate::relay_client;
use crate::state::{Gateway, GatewayTables};

/// Long-poll wait of one watch. Each watch is a counted call, which favours long waits; a
/// connection that went silent is noticed only when its watch is overdue, and a change must be
/// known within 2 s even then.
const WATCH_WAIT: Duration = Duration::from_millis(1_500);
/// Added to the wait before a watch counts as unanswered.
const RESPONSE_SLACK: Duration = Duration::from_millis(500);
/// Long-poll wait of a query to a board, the same for evacuations, and the time added to it before
/// the query counts as unanswered.
const BOARD_WAIT: Duration = Duration::from_millis(800);
const EVACUATION_BOARD_WAIT: Duration = Duration::from_millis(1_500);
const BOARD_SLACK: Duration = Duration::from_millis(400);
/// Time within which a board must have failed for the next one to be queried, rather than the store.
const QUICK_FAILURE: Duration = Duration::from_millis(250);
/// Maximum number of boards queried before the store is.
const MAX_BOARDS_QUERIED: usize = 4;
/// Maximum wait of a starting entry for the list of relays. Without them it finds no board.
const MAX_RELAYS_WAIT: Duration = Duration::from_secs(3);
/// Pause before a stale board is queried again. A board that missed one response of the store has
/// the next one by then; if its entries queried the store meanwhile, they would add to its load.
const STALE_PAUSE: Duration = Duration::from_millis(250);
/// Time for which a board that gets no responses from the store is not queried.
const STALE_BACKOFF: Duration = Duration::from_secs(1);
/// Pause after a failed call; it doubles with each consecutive failure, up to the maximum.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(80);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(640);
/// Time after an outage of the store in which a server missing from it may still register again.
const REREGISTRATION_WINDOW: Duration = Duration::from_secs(2);
/// Time without a response after which servers' entries may have expired in the store. Three
/// heartbeat intervals of a server are longer than this.
const EXPIRY_THRESHOLD: Duration = Duration::from_millis(2_500);
/// Interval at which expired state is dropped.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);

/// Applies the store objects of one kind to the gateway's state.
trait KindHandler {
    /// Name of the kind.
    const KIND: &'static str;
    /// Long-poll wait of a query to a board.
    const BOARD_WAIT: Duration = BOARD_WAIT;

    /// Applies a listing of all objects.
    fn apply_listing(&mut self, gateway: &Gateway, objects: &[MirrorObject]);

    /// Applies one change.
    fn apply_change(&mut self, gateway: &Gateway, change: &MirrorChange);

    /// Called before each update is applied. `silence` is the time since the previous response,
    /// `age` the longest time ago that a change in this update can have been made.
    fn record_response(&mut self, gateway: &Gateway, silence: Duration, age: Duration);
}

/// Keeps the configuration up to date.
pub async fn watch_config(gateway: Rc<Gateway>) {
    watch(gateway, ConfigHandler).await;
}

/// Keeps the backend servers' registrations up to date.
pub async fn watch_servers(gateway: Rc<Gateway>) {
    watch(gateway, ServerHandler { outage_ended_at: None }).await;
}

/// Keeps the evacuations up to date, if the settings provide for them.
pub async fn watch_evacuations(gateway: Rc<Gateway>) {
    if gateway.settings.evacuation_deadline.is_some() {
        watch(gateway, EvacuationHandler { age: Duration::ZERO }).await;
    }
}

/// Periodic maintenance: drops servers that did not register again after an outage and connections
/// that are too old, and applies the paces of servers as measured by relays.
pub async fn sweep(gateway: Rc<Gateway>) {
    let mut swept_at = gateway.now();
    loop {
        smol::Timer::after(SWEEP_INTERVAL).await;
        let now = gateway.now();
        let expired = gateway.tables.borrow_mut().backends.drop_expired(now);
        for id in expired {
            tracing::info!(event = "server_gone", server = %id, reason = "lapsed");
            gateway.connections.evict(&id);
        }
        gateway.tables.borrow_mut().backends.apply_paces(&gateway.store.server_paces());
        let lifetime = gateway.stream_lifetime();
        gateway.tables.borrow_mut().backends.sweep_versions(now, lifetime);
        gateway.connections.evict_expired();
        let tables = gateway.tables.borrow();
        gateway.load_reports.retain(|server| tables.backends.get(server).is_some());
        gateway.server_probes.retain(|server| tables.backends.get(server).is_some());
        drop(tables);
        gateway.grant_manager.grants.borrow_mut().update_burn_rates(now.saturating_sub(swept_at));
        swept_at = now;
    }
}

/// Progress of one loop.
#[derive(Debug)]
struct WatchState {
    /// The revision up to which every change is known; `None` before the first listing.
    revision: Option<Version>,
    /// Time of the last response.
    responded_at: Duration,
    /// Backoff of direct calls to the store while no board gets responses from it.
    outage: OutageBackoff,
}

async fn watch<Handler>(gateway: Rc<Gateway>, mut handler: Handler)
where
    Handler: KindHandler,
{
    let outage = OutageBackoff::default();
    let mut state = WatchState { revision: None, responded_at: gateway.now(), outage };
    let mut pause = MIN_RETRY_PAUSE;
    time_limits::timeout(MAX_RELAYS_WAIT, gateway.store.wait_relays_listed()).await;
    loop {
        match step(&gateway, &mut handler, &mut state).await {
            Ok(next) => {
                state.revision = Some(next);
                state.responded_at = gateway.now();
                pause = MIN_RETRY_PAUSE;
                gateway.store.record_call(Handler::KIND, true);
            }
            Err(StoreError::HistoryExpired) => {
                tracing::info!(event = "history_gone", kind = Handler::KIND);
                state.revision = None;
            }
            Err(failure) => {
                tracing::debug!(event = "store_failed", kind = Handler::KIND, %failure);
                gateway.store.record_call(Handler::KIND, false);
                smol::Timer::after(pause.mul_f64(0.5 + 0.5 * fastrand::f64())).await;
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
    }
}

/// Applies a listing of the kind or its next changes. Returns the revision to continue from.
async fn step<Handler>(
    gateway: &Gateway,
    handler: &mut Handler,
    state: &mut WatchState,
) -> Result<Version, StoreError>
where
    Handler: KindHandler,
{
    let revision = state.revision;
    let age = gateway.now().saturating_sub(state.responded_at);
    let (kind, wait) = (Handler::KIND, Handler::BOARD_WAIT);
    let update = match query_boards(gateway, kind, wait, revision).await {
        BoardOutcome::Updated(update) => update,
        BoardOutcome::Stale => query_in_outage(gateway, Handler::KIND, state).await?,
        BoardOutcome::Unavailable => query_store(gateway, Handler::KIND, revision).await?,
    };
    handler.record_response(gateway, gateway.now().saturating_sub(state.responded_at), age);
    match update {
        ChangesReply::Listing { objects, revision } => {
            handler.apply_listing(gateway, &objects);
            Ok(revision)
        }
        ChangesReply::Changes { changes, revision: seen } => {
            for change in &changes {
                handler.apply_change(gateway, change);
            }
            Ok(seen.max(revision.unwrap_or_default()))
        }
        ChangesReply::Stale => Err(no_response()),
    }
}

fn no_response() -> StoreError {
    StoreError::NoResponse(io::ErrorKind::TimedOut.into())
}

/// Queries a store from which no board gets responses: it may reject the boards' VMs and still
/// serve this one.
async fn query_in_outage(
    gateway: &Gateway,
    kind: &str,
    state: &mut WatchState,
) -> Result<ChangesReply, StoreError> {
    if !state.outage.may_ask(gateway.now()) {
        return Err(no_response());
    }
    let result = query_store(gateway, kind, state.revision).await;
    if result.is_err() {
        state.outage.record_failure(gateway.now(), fastrand::f64());
    }
    result
}

/// Lists the kind, or waits for its changes, at the store itself.
async fn query_store(
    gateway: &Gateway,
    kind: &str,
    revision: Option<Version>,
) -> Result<ChangesReply, StoreError> {
    let Some(revision) = revision else {
        let listing = gateway.store.list_kind(kind, ListFreshness::Latest, WATCH_WAIT).await?;
        let (objects, revision) = (listing.objects, listing.revision);
        return Ok(ChangesReply::Listing { objects, revision });
    };
    let watched = gateway.store.watch_kind(kind, revision, WATCH_WAIT, RESPONSE_SLACK).await?;
    Ok(ChangesReply::Changes { changes: watched.changes, revision: watched.revision })
}

/// Outcome of a query to the boards of the region.
#[derive(Debug)]
pub enum BoardOutcome {
    /// A board responded.
    Updated(ChangesReply),
    /// The boards respond, but get no responses from the store.
    Stale,
    /// A board failed, or there are none.
    Unavailable,
}

/// Returns whether the fleet is large enough for boards.
pub fn uses_boards(gateway: &Gateway) -> bool {
    boards::uses_boards(gateway.store.lenders().len())
}

/// Queries the boards of the region in order, for changes of a kind after a revision.
///
/// A board that fails is put in backoff. If it took long to fail, this entry queries the store
/// itself immediately, so that its knowledge is never older than one timeout of a board plus one of
/// its own. A stale board says so immediately. The first one is queried once more after a pause,
/// then the next ones.
pub async fn query_boards(
    gateway: &Gateway,
    kind: &str,
    wait: Duration,
    after: Option<Version>,
) -> BoardOutcome {
    let boards = list_boards(gateway);
    let available = boards
        .iter()
        .filter(|(name, _)| !gateway.failed_boards.borrow().is_active(name, gateway.now()));
    let query = ChangesQuery { kind: Arc::from(kind), after, wait };
    let mut stale = false;
    let mut paused = false;
    for (board, address) in available.take(MAX_BOARDS_QUERIED) {
        // A board watches each kind by itself, and may be stale in one of them only.
        let stale_key: RelayName = Arc::from(format!("{board} {kind}"));
        if gateway.stale_boards.borrow().is_active(&stale_key, gateway.now()) {
            stale = true;
            continue;
        }
        let mut asked_at = gateway.now();
        let mut result = query_board(gateway, board, *address, &query).await;
        if matches!(result, Ok(ChangesReply::Stale)) && !std::mem::replace(&mut paused, true) {
            smol::Timer::after(STALE_PAUSE).await;
            asked_at = gateway.now();
            result = query_board(gateway, board, *address, &query).await;
        }
        let reason = match result {
            // A listing that is older than the known revision would bring back servers that have
            // left.
            Ok(ChangesReply::Listing { revision, .. }) if after.is_some_and(|at| revision < at) => {
                "behind".to_owned()
            }
            Ok(ChangesReply::Stale) => {
                tracing::info!(event = "board_stale", %board, kind);
                gateway.stale_boards.borrow_mut().back_off_for(
                    &stale_key,
                    gateway.now(),
                    STALE_BACKOFF,
                );
                stale = true;
                continue;
            }
            Ok(reply) => {
                gateway.failed_boards.borrow_mut().reset(board);
                return BoardOutcome::Updated(reply);
            }
            Err(error) => error.to_string(),
        };
        tracing::info!(event = "board_failed", %board, kind, reason);
        gateway.failed_boards.borrow_mut().record_failure(board, gateway.now());
        if gateway.now().saturating_sub(asked_at) > QUICK_FAILURE {
            return BoardOutcome::Unavailable;
        }
    }
    if stale { BoardOutcome::Stale } else { BoardOutcome::Unavailable }
}

/// Returns the boards that respond, in order of preference.
pub fn list_boards(gateway: &Gateway) -> Vec<(RelayName, SocketAddr)> {
    let listed = gateway.store.lenders().len();
    boards::pick_boards(&gateway.working_lenders(), listed, &gateway.settings.vm)
}

async fn query_board(
    gateway: &Gateway,
    board: &RelayName,
    address: SocketAddr,
    query: &ChangesQuery,
) -> io::Result<ChangesReply> {
    let timeout = query.wait + BOARD_SLACK;
    relay_client::call_relay(gateway, board, address, CHANGES_PATH, query, timeout).await
}

struct ConfigHandler;

impl ConfigHandler {
    fn apply(gateway: &Gateway, object: &MirrorObject) {
        if *object.name != *names::CONFIG_NAME || object.value.is_empty() {
            return;
        }
        let config = match configs::decode_config(&object.value) {
            Ok(config) => config,
            Err(fault) => {
                tracing::error!(event = "config_refused", revision = object.version, %fault);
                return;
            }
        };
        let version = config.version;
        let (applied, routes, changed) = {
            let mut tables = gateway.tables.borrow_mut();
            let before = tables.routes.pause_rules().clone();
            let applied = tables.routes.apply_config(config);
            let changed = pauses::changed_limits(&before, tables.routes.pause_rules());
            (applied, tables.routes.route_count(), changed)
        };
        for (service, rule) in changed {
            tracing::info!(
                event = "pause_limit", %service, long_tokens = rule.long_tokens(),
                limit_ms = rule.limit.map(|limit| limit.as_millis() as u64),
            );
        }
        if applied {
            gateway.metrics.in_force.set(i64::try_from(version).unwrap_or(i64::MAX));
            tracing::info!(event = "config_in_force", version, routes);
        }
    }
}

impl KindHandler for ConfigHandler {
    const KIND: &'static str = names::CONFIG_KIND;

    fn apply_listing(&mut self, gateway: &Gateway, objects: &[MirrorObject]) {
        for object in objects {
            Self::apply(gateway, object);
        }
    }

    fn apply_change(&mut self, gateway: &Gateway, change: &MirrorChange) {
        if !change.removed {
            Self::apply(gateway, &change.object);
        }
    }

    fn record_response(&mut self, _: &Gateway, _: Duration, _: Duration) {}
}

struct ServerHandler {
    /// When the last outage ended in which servers' entries may have expired.
    outage_ended_at: Option<Duration>,
}

impl ServerHandler {
    /// Applies a server's entry. Returns false if it cannot be decoded.
    fn apply(gateway: &Gateway, object: &MirrorObject) -> bool {
        match registrations::decode_server(&object.name, object.version, &object.value) {
            Ok(entry) => {
                let now = gateway.now();
                let mut tables = gateway.tables.borrow_mut();
                let known = tables.backends.get(&entry.id).map(|row| row.entry.clone());
                if known.as_ref() != Some(&entry) {
                    let is_listed = tables.backends.is_listed();
                    let restarted =
                        known.as_ref().is_some_and(|known| !known.is_same_process(&entry));
                    if restarted || entry.draining {
                        gateway.connections.evict(&entry.id);
                    }
                    // The first listing would make as many lines as the fleet has servers.
                    if is_listed {
                        tracing::info!(
                            event = "server_entry", server = %entry.id, service = %entry.service,
                            address = %entry.address, version = %entry.software_version,
                            draining = entry.draining,
                            cold_ms = entry.cold.as_millis() as u64, revision = object.version,
                        );
                    }
                }
                // The remaining cold time of an entry that a listing repeats was stated some time
                // ago.
                let cold = if known.as_ref() == Some(&entry) { Duration::ZERO } else { entry.cold };
                tables.backends.apply_entry(entry);
                if !cold.is_zero() {
                    tables.backends.record_cold(&object.name, cold, now);
                }
                true
            }
            Err(reason) => {
                tracing::warn!(event = "server_unreadable", server = %object.name, %reason);
                false
            }
        }
    }

    /// Records that a known server is missing from the store. After an outage it may have expired
    /// there and register again, so it is kept for a while.
    fn record_missing(&self, gateway: &Gateway, id: &Arc<str>) {
        let now = gateway.now();
        let window = |since: &Duration| now.saturating_sub(*since) < REREGISTRATION_WINDOW;
        let since = self.outage_ended_at.filter(window);
        let mut tables = gateway.tables.borrow_mut();
        if tables.backends.get(id).is_none() {
            return;
        }
        tables.backends.record_missing(id, since);
        let lapsed = since.is_some();
        tracing::info!(event = "server_missing", server = %id, lapsed);
        if !lapsed {
            gateway.connections.evict(id);
        }
    }
}

impl KindHandler for ServerHandler {
    const KIND: &'static str = names::SERVER_KIND;

    fn apply_listing(&mut self, gateway: &Gateway, objects: &[MirrorObject]) {
        let readable = objects.iter().filter(|object| Self::apply(gateway, object));
        let listed: BTreeSet<Arc<str>> = readable.map(|object| Arc::clone(&object.name)).collect();
        let known: Vec<Arc<str>> = {
            let tables = gateway.tables.borrow();
            tables.backends.rows().map(|row| Arc::clone(&row.entry.id)).collect()
        };
        for id in known.iter().filter(|id| !listed.contains(*id)) {
            self.record_missing(gateway, id);
        }
        gateway.tables.borrow_mut().backends.mark_listed(gateway.now());
        recorded_versions::check_recorded(gateway);
        tracing::info!(event = "servers_listed", servers = listed.len(), known = known.len());
    }

    fn apply_change(&mut self, gateway: &Gateway, change: &MirrorChange) {
        if change.removed || !Self::apply(gateway, &change.object) {
            self.record_missing(gateway, &change.object.name);
        }
        recorded_versions::check_recorded(gateway);
    }

    fn record_response(&mut self, gateway: &Gateway, silence: Duration, _: Duration) {
        if silence > EXPIRY_THRESHOLD {
            self.outage_ended_at = Some(gateway.now());
        }
    }
}

struct EvacuationHandler {
    /// Longest time ago that a change in the current update can have been made.
    age: Duration,
}

impl EvacuationHandler {
    fn end_evacuation(gateway: &Gateway, data_centre: &str) {
        let now = gateway.now();
        let mut tables = gateway.tables.borrow_mut();
        let GatewayTables { routes, backends, .. } = &mut *tables;
        backends.end_evacuation(data_centre, now, |service| {
            routes.cold_rule(service).map_or(Duration::ZERO, |rule| rule.time)
        });
        tracing::info!(event = "evacuation_over", data_centre);
    }
}

impl KindHandler for EvacuationHandler {
    const KIND: &'static str = names::EVACUATION_KIND;
    const BOARD_WAIT: Duration = EVACUATION_BOARD_WAIT;

    fn apply_listing(&mut self, gateway: &Gateway, objects: &[MirrorObject]) {
        let listed = objects.iter().map(|object| Arc::clone(&object.name)).collect();
        let now = gateway.now();
        let ended = gateway.tables.borrow_mut().backends.evacuations.apply_listing(&listed, now);
        for data_centre in &ended {
            Self::end_evacuation(gateway, data_centre);
        }
        tracing::info!(event = "evacuations_listed", in_force = ?listed);
    }

    fn apply_change(&mut self, gateway: &Gateway, change: &MirrorChange) {
        let data_centre = &change.object.name;
        if change.removed {
            Self::end_evacuation(gateway, data_centre);
            return;
        }
        let now = gateway.now();
        gateway.tables.borrow_mut().backends.evacuations.begin(data_centre, self.age, now);
        let (age_ms, revision) = (self.age.as_millis() as u64, change.object.version);
        tracing::info!(event = "evacuation", %data_centre, age_ms, revision);
    }

    fn record_response(&mut self, _: &Gateway, _: Duration, age: Duration) {
        self.age = age;
    }
}
