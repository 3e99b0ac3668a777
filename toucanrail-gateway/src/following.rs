//! The loops that follow the store: the configuration, the backend servers and the evacuations.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use toucanrail::boards::{self, OutageTimer};
use toucanrail::ids::Version;
use toucanrail::messages::{MirrorChange, MirrorObject, NewsOrder, NewsReply};
use toucanrail_platform::stores::{ListFreshness, StoreError};
use toucanrail_platform::{configs, names, registrations};

use crate::mirroring::NEWS_PATH;
use crate::peering;
use crate::state::{Gateway, GatewayTables};

/// Wait of one watch. Each watch is a counted call, and a connection that turned silent shows only
/// when its watch is overdue; both follows change within 2 s then.
const WATCH_WAIT: Duration = Duration::from_millis(1_500);
/// Added before a watch or listing counts as unanswered.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Wait of one question to a board, the same for evacuations, and what is added before it counts as
/// unanswered.
const BOARD_WAIT: Duration = Duration::from_millis(800);
const EVACUATION_BOARD_WAIT: Duration = Duration::from_millis(1_500);
const BOARD_SLACK: Duration = Duration::from_millis(400);
/// Time for which a board that does not hear from the store is passed over.
const STALE_REST: Duration = Duration::from_secs(1);
/// Pause after a call that failed, doubled up to the limit.
const PAUSE_LEAST: Duration = Duration::from_millis(80);
const PAUSE_LIMIT: Duration = Duration::from_millis(640);
/// Time after the store's return in which a missing server may come back.
const LAPSE_WINDOW: Duration = Duration::from_secs(2);
/// Time without an answer from which entries may have lapsed: three of the servers' heartbeats are
/// longer.
const OUTAGE_LEAST: Duration = Duration::from_millis(2_500);
/// How often servers that did not come back are dropped.
const SWEEP: Duration = Duration::from_millis(200);

/// Takes the objects of one kind.
trait KindTaker {
    /// The kind.
    const KIND: &'static str;
    /// Wait of one question to a board.
    const BOARD_WAIT: Duration = BOARD_WAIT;

    /// Takes all objects.
    fn take_all(&mut self, gateway: &Gateway, objects: &[MirrorObject]);

    /// Takes one change.
    fn take_change(&mut self, gateway: &Gateway, change: &MirrorChange);

    /// Notes how long ago what comes now may have happened, and for how long the store was silent before.
    fn note_return(&mut self, gateway: &Gateway, silence: Duration, age: Duration);
}

/// Follows the configuration.
pub async fn follow_config(gateway: Rc<Gateway>) {
    follow(gateway, ConfigTaker).await;
}

/// Follows the servers' registrations.
pub async fn follow_servers(gateway: Rc<Gateway>) {
    follow(gateway, ServerTaker { returned: None }).await;
}

/// Follows the evacuations, where the operator orders any.
pub async fn follow_evacuations(gateway: Rc<Gateway>) {
    if gateway.settings.evacuation_deadline.is_some() {
        follow(gateway, EvacuationTaker { age: Duration::ZERO }).await;
    }
}

/// Drops servers that did not come back after an outage, and connections that are too old; takes the
/// servers' paces as relays measured them.
pub async fn sweep(gateway: Rc<Gateway>) {
    let mut swept = gateway.now();
    loop {
        smol::Timer::after(SWEEP).await;
        let now = gateway.now();
        let over = gateway.tables.borrow_mut().backends.drop_lapsed(now);
        for id in over {
            tracing::info!(event = "server_gone", server = %id, reason = "lapsed");
            gateway.channels.evict(&id);
        }
        gateway.tables.borrow_mut().backends.take_paces(&gateway.store.paces());
        gateway.channels.evict_expired();
        let tables = gateway.tables.borrow();
        gateway.load_reports.retain(|server| tables.backends.get(server).is_some());
        drop(tables);
        gateway.keeper.grants.borrow_mut().smooth_burn(now.saturating_sub(swept));
        swept = now;
    }
}

/// What one loop knows of its kind.
#[derive(Debug)]
struct FollowState {
    /// The revision up to which every change is known; none before the first listing.
    revision: Option<Version>,
    /// The last answer.
    heard: Duration,
    /// When the store is asked although no board hears from it.
    outage: OutageTimer,
}

async fn follow<Taker>(gateway: Rc<Gateway>, mut taker: Taker)
where
    Taker: KindTaker,
{
    let outage = OutageTimer::default();
    let mut state = FollowState { revision: None, heard: gateway.now(), outage };
    let mut pause = PAUSE_LEAST;
    loop {
        match step(&gateway, &mut taker, &mut state).await {
            Ok(next) => {
                state.revision = Some(next);
                state.heard = gateway.now();
                pause = PAUSE_LEAST;
                gateway.store.note_use(Taker::KIND, true);
            }
            Err(StoreError::HistoryExpired) => {
                tracing::info!(event = "history_gone", kind = Taker::KIND);
                state.revision = None;
            }
            Err(failure) => {
                tracing::debug!(event = "store_failed", kind = Taker::KIND, %failure);
                gateway.store.note_use(Taker::KIND, false);
                smol::Timer::after(pause.mul_f64(0.5 + 0.5 * fastrand::f64())).await;
                pause = (pause * 2).min(PAUSE_LIMIT);
            }
        }
    }
}

/// Takes the kind whole, or waits for its next changes; returns the revision to go on from.
async fn step<Taker>(
    gateway: &Gateway,
    taker: &mut Taker,
    state: &mut FollowState,
) -> Result<Version, StoreError>
where
    Taker: KindTaker,
{
    let revision = state.revision;
    let age = gateway.now().saturating_sub(state.heard);
    let news = match ask_boards::<Taker>(gateway, revision).await {
        BoardAnswer::News(news) => news,
        BoardAnswer::Outage => ask_outage(gateway, Taker::KIND, state).await?,
        BoardAnswer::Silent => ask_store(gateway, Taker::KIND, revision).await?,
    };
    taker.note_return(gateway, gateway.now().saturating_sub(state.heard), age);
    match news {
        NewsReply::Listing { objects, revision } => {
            taker.take_all(gateway, &objects);
            Ok(revision)
        }
        NewsReply::Changes { changes, revision: seen } => {
            for change in &changes {
                taker.take_change(gateway, change);
            }
            Ok(seen.max(revision.unwrap_or_default()))
        }
        NewsReply::Stale => Err(no_answer()),
    }
}

fn no_answer() -> StoreError {
    StoreError::NoResponse(std::io::ErrorKind::TimedOut.into())
}

/// Asks a store that no board hears from: it may turn the boards' VMs away and serve this one.
async fn ask_outage(
    gateway: &Gateway,
    kind: &str,
    state: &mut FollowState,
) -> Result<NewsReply, StoreError> {
    if !state.outage.is_over(gateway.now()) {
        return Err(no_answer());
    }
    let asked = ask_store(gateway, kind, state.revision).await;
    if asked.is_err() {
        state.outage.note_failure(gateway.now(), fastrand::f64());
    }
    asked
}

async fn ask_store(
    gateway: &Gateway,
    kind: &str,
    revision: Option<Version>,
) -> Result<NewsReply, StoreError> {
    let Some(revision) = revision else {
        let listing = gateway.store.list_kind(kind, ListFreshness::Latest, WATCH_WAIT).await?;
        let (objects, revision) = (listing.objects, listing.revision);
        return Ok(NewsReply::Listing { objects, revision });
    };
    let watched = gateway.store.watch_kind(kind, revision, WATCH_WAIT, ANSWER_SLACK).await?;
    Ok(NewsReply::Changes { changes: watched.changes, revision: watched.revision })
}

/// What the boards of the region say.
#[derive(Debug)]
enum BoardAnswer {
    /// What one of them knows.
    News(NewsReply),
    /// None of them hears from the store.
    Outage,
    /// None of them answers, or there are none.
    Silent,
}

/// Asks the boards of the region in their order.
///
/// A board that fails is passed over for a while, and this entry asks the store itself at once: what it
/// knows is never older than one board's patience and its own together. A stale board says so at once,
/// and the next one is asked.
async fn ask_boards<Taker>(gateway: &Gateway, after: Option<Version>) -> BoardAnswer
where
    Taker: KindTaker,
{
    let kind = Taker::KIND;
    let boards = boards::pick_boards(&gateway.store.lenders());
    let answering =
        boards.iter().filter(|(name, _)| !gateway.failed_boards.is_resting(name, gateway.now()));
    let order = NewsOrder { kind: Arc::from(kind), after, wait: Taker::BOARD_WAIT };
    let mut stale = false;
    for (board, address) in answering {
        if gateway.stale_boards.is_resting(board, gateway.now()) {
            stale = true;
            continue;
        }
        let bound = Taker::BOARD_WAIT + BOARD_SLACK;
        let asked = peering::call_peer(gateway, board, *address, NEWS_PATH, &order, bound).await;
        let reason = match asked {
            // An older listing than what is known would bring servers back that have left.
            Ok(NewsReply::Listing { revision, .. }) if after.is_some_and(|at| revision < at) => {
                "behind".to_owned()
            }
            Ok(NewsReply::Stale) => {
                tracing::info!(event = "board_stale", %board, kind);
                gateway.stale_boards.rest_for(board, gateway.now(), STALE_REST);
                stale = true;
                continue;
            }
            Ok(reply) => {
                gateway.failed_boards.forget_rest(board);
                return BoardAnswer::News(reply);
            }
            Err(error) => error.to_string(),
        };
        tracing::info!(event = "board_failed", %board, kind, reason);
        gateway.failed_boards.rest(board, gateway.now());
        return BoardAnswer::Silent;
    }
    if stale { BoardAnswer::Outage } else { BoardAnswer::Silent }
}

struct ConfigTaker;

impl ConfigTaker {
    fn take(gateway: &Gateway, object: &MirrorObject) {
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
        let (taken, routes) = {
            let mut tables = gateway.tables.borrow_mut();
            (tables.routes.take_config(config), tables.routes.route_count())
        };
        if taken {
            gateway.metrics.in_force.set(i64::try_from(version).unwrap_or(i64::MAX));
            tracing::info!(event = "config_in_force", version, routes);
        }
    }
}

impl KindTaker for ConfigTaker {
    const KIND: &'static str = names::CONFIG_KIND;

    fn take_all(&mut self, gateway: &Gateway, objects: &[MirrorObject]) {
        for object in objects {
            Self::take(gateway, object);
        }
    }

    fn take_change(&mut self, gateway: &Gateway, change: &MirrorChange) {
        if !change.removed {
            Self::take(gateway, &change.object);
        }
    }

    fn note_return(&mut self, _: &Gateway, _: Duration, _: Duration) {}
}

struct ServerTaker {
    /// When the store returned after an outage in which entries may have lapsed.
    returned: Option<Duration>,
}

impl ServerTaker {
    fn take(gateway: &Gateway, object: &MirrorObject) -> bool {
        match registrations::decode_server(&object.name, object.version, &object.value) {
            Ok(entry) => {
                let now = gateway.now();
                let mut tables = gateway.tables.borrow_mut();
                let known = tables.backends.get(&entry.id).map(|row| row.entry.clone());
                if known.as_ref() != Some(&entry) {
                    tracing::info!(
                        event = "server_entry", server = %entry.id, service = %entry.service,
                        address = %entry.address, draining = entry.draining,
                        cold_ms = entry.cold.as_millis() as u64, revision = object.version,
                    );
                    let reborn = known.as_ref().is_some_and(|known| known.born != entry.born);
                    if reborn || entry.draining {
                        gateway.channels.evict(&entry.id);
                    }
                }
                // A listing repeats what was said some time ago.
                let cold = if known.as_ref() == Some(&entry) { Duration::ZERO } else { entry.cold };
                tables.backends.take_entry(entry);
                if !cold.is_zero() {
                    tables.backends.note_cold(&object.name, cold, now);
                }
                true
            }
            Err(reason) => {
                tracing::warn!(event = "server_unreadable", server = %object.name, %reason);
                false
            }
        }
    }

    fn note_missing(&self, gateway: &Gateway, id: &Arc<str>) {
        let now = gateway.now();
        let window = |since: &Duration| now.saturating_sub(*since) < LAPSE_WINDOW;
        let since = self.returned.filter(window);
        let mut tables = gateway.tables.borrow_mut();
        if tables.backends.get(id).is_none() {
            return;
        }
        tables.backends.note_missing(id, since);
        let lapsed = since.is_some();
        tracing::info!(event = "server_missing", server = %id, lapsed);
        if !lapsed {
            gateway.channels.evict(id);
        }
    }
}

impl KindTaker for ServerTaker {
    const KIND: &'static str = names::SERVER_KIND;

    fn take_all(&mut self, gateway: &Gateway, objects: &[MirrorObject]) {
        let readable = objects.iter().filter(|object| Self::take(gateway, object));
        let listed: BTreeSet<Arc<str>> = readable.map(|object| Arc::clone(&object.name)).collect();
        let known: Vec<Arc<str>> = {
            let tables = gateway.tables.borrow();
            tables.backends.rows().map(|row| Arc::clone(&row.entry.id)).collect()
        };
        for id in known.iter().filter(|id| !listed.contains(*id)) {
            self.note_missing(gateway, id);
        }
        gateway.tables.borrow_mut().backends.note_listed();
    }

    fn take_change(&mut self, gateway: &Gateway, change: &MirrorChange) {
        if change.removed || !Self::take(gateway, &change.object) {
            self.note_missing(gateway, &change.object.name);
        }
    }

    fn note_return(&mut self, gateway: &Gateway, silence: Duration, _: Duration) {
        if silence > OUTAGE_LEAST {
            self.returned = Some(gateway.now());
        }
    }
}

struct EvacuationTaker {
    /// How long ago what comes now may have happened.
    age: Duration,
}

impl EvacuationTaker {
    fn reopen(gateway: &Gateway, data_centre: &str) {
        let now = gateway.now();
        let mut tables = gateway.tables.borrow_mut();
        let GatewayTables { routes, backends, .. } = &mut *tables;
        backends.reopen(data_centre, now, |service| {
            routes.cold_rule(service).map_or(Duration::ZERO, |rule| rule.time)
        });
        tracing::info!(event = "evacuation_over", data_centre);
    }
}

impl KindTaker for EvacuationTaker {
    const KIND: &'static str = names::EVACUATION_KIND;
    const BOARD_WAIT: Duration = EVACUATION_BOARD_WAIT;

    fn take_all(&mut self, gateway: &Gateway, objects: &[MirrorObject]) {
        let listed = objects.iter().map(|object| Arc::clone(&object.name)).collect();
        let now = gateway.now();
        let over = gateway.tables.borrow_mut().backends.evacuations.take_listing(&listed, now);
        for data_centre in &over {
            Self::reopen(gateway, data_centre);
        }
        tracing::info!(event = "evacuations_listed", in_force = ?listed);
    }

    fn take_change(&mut self, gateway: &Gateway, change: &MirrorChange) {
        let data_centre = &change.object.name;
        if change.removed {
            Self::reopen(gateway, data_centre);
            return;
        }
        let now = gateway.now();
        gateway.tables.borrow_mut().backends.evacuations.note_closed(data_centre, self.age, now);
        let (age_ms, revision) = (self.age.as_millis() as u64, change.object.version);
        tracing::info!(event = "evacuation", %data_centre, age_ms, revision);
    }

    fn note_return(&mut self, _: &Gateway, _: Duration, age: Duration) {
        self.age = age;
    }
}
