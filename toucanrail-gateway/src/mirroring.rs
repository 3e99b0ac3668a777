//! The relay's watches of the store, and the answers to entries that ask for news.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use smol::LocalExecutor;
use smol::future::FutureExt;
use toucanrail::boards::BoardTable;
use toucanrail::messages::{NewsOrder, NewsReply};
use toucanrail_platform::names;
use toucanrail_platform::stores::{ListFreshness, StoreError};

use crate::storing::StoreAccess;

/// Call with a [`NewsOrder`], answered with a [`NewsReply`].
pub const NEWS_PATH: &str = "/news";

/// Wait of one watch of what must be in force within two seconds.
const WATCH_WAIT: Duration = Duration::from_millis(500);
/// Wait of one watch of evacuations, which may take longer.
const EVACUATION_WAIT: Duration = Duration::from_millis(1_500);
/// Added before a watch counts as unanswered, and before the board is stale.
const ANSWER_SLACK: Duration = Duration::from_millis(300);
const STALE_SLACK: Duration = Duration::from_millis(400);
/// Pause after a call that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);
/// Time without a question after which a relay watches no more: it is not one that entries ask.
const ASKED_TIME: Duration = Duration::from_secs(6);
/// Longest wait of a question; entries wait for less.
const ORDER_LIMIT: Duration = Duration::from_secs(5);

/// The board of one kind.
#[derive(Debug)]
struct KindBoard {
    /// Wait of one watch.
    wait: Duration,
    table: RefCell<BoardTable>,
    asked_at: Cell<Duration>,
    watching: Cell<bool>,
    changed: Event,
}

impl KindBoard {
    fn new(wait: Duration) -> Self {
        let table = RefCell::new(Self::empty_table(wait));
        let (asked_at, watching) = (Cell::default(), Cell::default());
        Self { wait, table, asked_at, watching, changed: Event::new() }
    }

    fn empty_table(wait: Duration) -> BoardTable {
        BoardTable::with_freshness(wait + STALE_SLACK)
    }

    fn forget(&self) {
        *self.table.borrow_mut() = Self::empty_table(self.wait);
    }
}

/// The boards of one relay.
#[derive(Debug)]
pub struct NewsOffice {
    store: Rc<StoreAccess>,
    executor: Rc<LocalExecutor<'static>>,
    boards: BTreeMap<&'static str, Rc<KindBoard>>,
}

impl NewsOffice {
    /// Makes boards that nobody has asked yet.
    pub fn new(store: Rc<StoreAccess>, executor: Rc<LocalExecutor<'static>>) -> Self {
        let kinds = [
            (names::CONFIG_KIND, WATCH_WAIT),
            (names::SERVER_KIND, WATCH_WAIT),
            (names::EVACUATION_KIND, EVACUATION_WAIT),
        ];
        let boards = kinds.map(|(kind, wait)| (kind, Rc::new(KindBoard::new(wait))));
        Self { store, executor, boards: boards.into() }
    }

    /// Returns the time since the process's start.
    pub fn now(&self) -> Duration {
        self.store.now()
    }

    /// Answers one question: at once where there is news, else when there is, or after its wait.
    pub async fn answer(&self, order: &NewsOrder) -> NewsReply {
        let Some((kind, board)) = self.boards.get_key_value(&*order.kind) else {
            return NewsReply::Stale;
        };
        board.asked_at.set(self.store.now());
        if !board.watching.replace(true) {
            let watching = watch(Rc::clone(&self.store), kind, Rc::clone(board));
            self.executor.spawn(watching).detach();
        }
        let waiting = async {
            loop {
                let changed = board.changed.listen();
                if let Some(reply) = board.table.borrow().news(order.after, self.store.now()) {
                    return reply;
                }
                changed.await;
            }
        };
        let patience = async {
            smol::Timer::after(order.wait.min(ORDER_LIMIT)).await;
            let after = order.after.unwrap_or_default();
            board.table.borrow().no_news(after, self.store.now())
        };
        waiting.or(patience).await
    }
}

/// Follows a kind as long as it is asked for.
async fn watch(store: Rc<StoreAccess>, kind: &'static str, board: Rc<KindBoard>) {
    tracing::info!(event = "board_opened", kind);
    while store.now().saturating_sub(board.asked_at.get()) < ASKED_TIME {
        let done = step(&store, kind, &board).await;
        store.note_use(kind, done.is_ok());
        match done {
            Ok(false) => {}
            Ok(true) => {
                board.changed.notify(usize::MAX);
            }
            Err(StoreError::HistoryExpired) => {
                board.forget();
            }
            Err(failure) => {
                tracing::debug!(event = "store_failed", kind, %failure);
                // Those who wait learn it now, and not when their wait is over.
                board.table.borrow_mut().note_silence();
                board.changed.notify(usize::MAX);
                smol::Timer::after(FAILURE_PAUSE).await;
            }
        }
    }
    board.forget();
    board.watching.set(false);
    tracing::info!(event = "board_closed", kind);
}

/// Lists the kind, or waits for its next changes; tells whether there are any.
async fn step(store: &StoreAccess, kind: &str, board: &KindBoard) -> Result<bool, StoreError> {
    let KindBoard { wait, table, .. } = board;
    let known = table.borrow().revision();
    let Some(revision) = known else {
        let bound = *wait + ANSWER_SLACK;
        let listing = store.list_kind(kind, ListFreshness::Latest, bound).await?;
        table.borrow_mut().take_listing(listing.objects, listing.revision, store.now());
        return Ok(true);
    };
    let watched = store.watch_kind(kind, revision, *wait, ANSWER_SLACK).await?;
    let changed = !watched.changes.is_empty();
    table.borrow_mut().take_changes(watched.changes, watched.revision, store.now());
    Ok(changed)
}
