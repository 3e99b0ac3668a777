//! A relay's change feed: it watches the store on behalf of the entries that query it for changes.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use smol::LocalExecutor;
use smol::future::FutureExt;
use toucanrail::boards::BoardTable;
use toucanrail::messages::{ChangesQuery, ChangesReply};
use toucanrail_platform::names;
use toucanrail_platform::stores::{ListFreshness, StoreError};

use crate::store_access::{RELAY_KIND, StoreAccess};

/// Path of a call that takes a [`ChangesQuery`] and returns a [`ChangesReply`].
pub const CHANGES_PATH: &str = "/news";

/// Long-poll wait of a watch on objects that must be in force within two seconds.
const WATCH_WAIT: Duration = Duration::from_millis(500);
/// Long-poll wait of a watch on evacuations and relays, which may take longer to come into force.
const SLOW_WAIT: Duration = Duration::from_millis(1_500);
/// Pause after a watch that returned changes, by kind. Many servers register or change at the same
/// time; the changes within the pause share one call, and one reply to each entry.
const CONFIG_PAUSE: Duration = Duration::from_millis(50);
const SERVER_PAUSE: Duration = Duration::from_millis(150);
const SLOW_PAUSE: Duration = Duration::from_millis(500);
/// Added to the wait before a watch counts as unanswered, and before the board counts as stale.
const RESPONSE_SLACK: Duration = Duration::from_millis(300);
const STALE_SLACK: Duration = Duration::from_millis(400);
/// Pause after a failed call, and the wait of the watch that follows it, which is short because the
/// board is stale until the store responds.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);
const RECOVERY_WAIT: Duration = Duration::from_millis(20);
/// Time without a query after which a relay stops watching: entries query other relays then.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// Upper limit for the wait of a query; entries ask for less.
const MAX_QUERY_WAIT: Duration = Duration::from_secs(5);

/// The copy of one kind of store objects, and its watch.
#[derive(Debug)]
struct KindBoard {
    /// Long-poll wait of one watch.
    wait: Duration,
    /// Pause after a watch that returned changes.
    pause: Duration,
    table: RefCell<BoardTable>,
    /// Time of the last query.
    queried_at: Cell<Duration>,
    watching: Cell<bool>,
    changed: Event,
}

impl KindBoard {
    fn new(wait: Duration, pause: Duration) -> Self {
        let table = RefCell::new(Self::empty_table(wait, pause));
        let (queried_at, watching) = (Cell::default(), Cell::default());
        Self { wait, pause, table, queried_at, watching, changed: Event::new() }
    }

    fn empty_table(wait: Duration, pause: Duration) -> BoardTable {
        BoardTable::with_max_age(wait + pause + STALE_SLACK)
    }

    /// Discards the copy; the next watch begins with a listing.
    fn clear(&self) {
        *self.table.borrow_mut() = Self::empty_table(self.wait, self.pause);
    }
}

/// The boards of one relay, by kind.
#[derive(Debug)]
pub struct ChangeFeed {
    store: Rc<StoreAccess>,
    executor: Rc<LocalExecutor<'static>>,
    boards: BTreeMap<&'static str, Rc<KindBoard>>,
}

impl ChangeFeed {
    /// Creates the boards. Watching begins with the first query.
    pub fn new(store: Rc<StoreAccess>, executor: Rc<LocalExecutor<'static>>) -> Self {
        let kinds = [
            (names::CONFIG_KIND, WATCH_WAIT, CONFIG_PAUSE),
            (names::SERVER_KIND, WATCH_WAIT, SERVER_PAUSE),
            (names::EVACUATION_KIND, SLOW_WAIT, SLOW_PAUSE),
            (RELAY_KIND, SLOW_WAIT, SLOW_PAUSE),
        ];
        let boards = kinds.map(|(kind, wait, pause)| (kind, Rc::new(KindBoard::new(wait, pause))));
        Self { store, executor, boards: boards.into() }
    }

    /// Returns the time since the process started.
    pub fn now(&self) -> Duration {
        self.store.now()
    }

    /// Answers one query: immediately if there are changes, else as soon as there are, or with an
    /// empty reply when its wait is over.
    pub async fn answer(&self, query: &ChangesQuery) -> ChangesReply {
        let Some((kind, board)) = self.boards.get_key_value(&*query.kind) else {
            return ChangesReply::Stale;
        };
        board.queried_at.set(self.store.now());
        if !board.watching.replace(true) {
            let watching = watch(Rc::clone(&self.store), kind, Rc::clone(board));
            self.executor.spawn(watching).detach();
        }
        let waiting = async {
            loop {
                let changed = board.changed.listen();
                if let Some(reply) =
                    board.table.borrow().updates_since(query.after, self.store.now())
                {
                    return reply;
                }
                changed.await;
            }
        };
        let timeout = async {
            smol::Timer::after(query.wait.min(MAX_QUERY_WAIT)).await;
            let after = query.after.unwrap_or_default();
            board.table.borrow().empty_update(after, self.store.now())
        };
        waiting.or(timeout).await
    }
}

/// Watches a kind for as long as entries query it.
async fn watch(store: Rc<StoreAccess>, kind: &'static str, board: Rc<KindBoard>) {
    tracing::info!(event = "board_opened", kind);
    while store.now().saturating_sub(board.queried_at.get()) < IDLE_TIMEOUT {
        let asked_at = store.now();
        let result = step(&store, kind, &board).await;
        store.record_call(kind, result.is_ok());
        match result {
            Ok(false) => {}
            Ok(true) => {
                board.changed.notify(usize::MAX);
                smol::Timer::after(board.pause).await;
            }
            Err(StoreError::HistoryExpired) => {
                board.clear();
            }
            Err(failure) => {
                let waited_ms = store.now().saturating_sub(asked_at).as_millis() as u64;
                // Waiting queries are answered as stale now instead of at the end of their wait.
                if board.table.borrow_mut().record_store_failure() {
                    tracing::info!(event = "board_silent", kind, waited_ms, %failure);
                }
                board.changed.notify(usize::MAX);
                smol::Timer::after(FAILURE_PAUSE).await;
            }
        }
    }
    board.clear();
    board.watching.set(false);
    tracing::info!(event = "board_closed", kind);
}

/// Lists the kind, or waits for its next changes. Returns whether there are any.
async fn step(store: &StoreAccess, kind: &str, board: &KindBoard) -> Result<bool, StoreError> {
    let table = &board.table;
    let known = table.borrow().revision();
    let wait = if table.borrow().is_silent() { RECOVERY_WAIT } else { board.wait };
    let Some(revision) = known else {
        let timeout = board.wait + RESPONSE_SLACK;
        let listing = store.list_kind(kind, ListFreshness::Latest, timeout).await?;
        table.borrow_mut().apply_listing(listing.objects, listing.revision, store.now());
        return Ok(true);
    };
    let watched = store.watch_kind(kind, revision, wait, RESPONSE_SLACK).await?;
    let changed = !watched.changes.is_empty();
    table.borrow_mut().apply_changes(watched.changes, watched.revision, store.now());
    Ok(changed)
}
