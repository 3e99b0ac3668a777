//! Notes of where streams began, which an entry sends to relays.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use event_listener::Event;
use smol::future::FutureExt;
use toucanrail::endpoints::{LocatedRelay, RelayName};
use toucanrail::matching::{RouteKind, RouteRule};
use toucanrail::origin_keepers::{self, KeeperTable, NoteBatch, ProcessNumber};
use toucanrail::origins::{self, OriginNote, OriginReport};
use toucanrail::version_history::{ListedVersions, VersionStatements};
use toucanrail_platform::requests::RequestInfo;

use crate::relay_api::NOTE_PATH;
use crate::relay_client;
use crate::request_context::AttemptContext;
use crate::state::Gateway;

/// Minimum time between two messages with notes to the same relay.
const SEND_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a message with notes.
const SEND_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between two lines in the log about the notes.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Sends the origins of streams to relays.
#[derive(Debug, Default)]
pub struct NoteSender {
    keepers: RefCell<KeeperTable>,
    noted: Event,
    /// Messages and notes that relays have taken since the last line in the log.
    sent: Cell<(usize, usize)>,
}

impl NoteSender {
    /// Returns the relays that have not responded lately.
    pub fn unavailable(&self, now: Duration) -> BTreeSet<RelayName> {
        self.keepers.borrow().unavailable(now)
    }

    /// Records that a relay did not respond.
    pub fn record_unavailable(&self, relay: &RelayName, now: Duration) {
        self.keepers.borrow_mut().record_unavailable(relay, now);
    }
}

/// Notes that the server of an attempt has begun a stream, if its caller may take it up.
pub fn note_origin(context: &AttemptContext<'_, '_>) {
    let AttemptContext { gateway, plan, target, .. } = *context;
    let resumable = plan.route.kind == RouteKind::Stream { resumable: true };
    if resumable && !plan.info.id.is_empty() {
        let attempt = Arc::clone(&plan.info.id);
        insert_note(
            gateway,
            OriginNote {
                attempt,
                origin: target.origin(),
                valid_for: note_time(&plan.info, &plan.route),
            },
        );
    }
}

/// Returns the time in which the caller of a request may take its stream up.
pub fn note_time(info: &RequestInfo, route: &RouteRule) -> Duration {
    info.timeout.unwrap_or(route.timeout).min(origins::MAX_NOTE_TIME)
}

/// Inserts a note, which is sent to the relays.
pub fn insert_note(gateway: &Gateway, note: OriginNote) {
    let now = gateway.now();
    gateway.tables.borrow_mut().origins.insert(note, now);
    gateway.note_sender.noted.notify(1);
}

/// Sends new notes to the relays until the process exits.
pub async fn send_notes(gateway: Rc<Gateway>) {
    loop {
        let listener = gateway.note_sender.noted.listen();
        if !has_news(&gateway) {
            let checking = async {
                if !has_notes(&gateway) {
                    std::future::pending::<()>().await;
                }
                smol::Timer::after(origin_keepers::CHECK_INTERVAL).await;
            };
            listener.or(checking).await;
        }
        // A relay that does not respond must not delay what others get.
        for batch in plan_batches(&gateway) {
            gateway.executor.spawn(send_batch(Rc::clone(&gateway), batch)).detach();
        }
        smol::Timer::after(SEND_INTERVAL).await;
    }
}

/// Logs at intervals how many notes were sent and how many streams are remembered.
pub async fn log_notes(gateway: Rc<Gateway>) {
    loop {
        smol::Timer::after(LOG_INTERVAL).await;
        let (messages, notes) = gateway.note_sender.sent.take();
        let streams = gateway.tables.borrow().origins.len();
        if streams > 0 {
            tracing::info!(event = "origins_noted", messages, notes, streams);
        }
    }
}

fn has_news(gateway: &Gateway) -> bool {
    gateway.note_sender.keepers.borrow().has_news(&gateway.tables.borrow().origins)
}

fn has_notes(gateway: &Gateway) -> bool {
    gateway.tables.borrow().origins.notes_after(0, gateway.now()).next().is_some()
}

fn plan_batches(gateway: &Gateway) -> Vec<NoteBatch> {
    let (relays, now) = (gateway.store.located_relays(), gateway.now());
    let tables = gateway.tables.borrow();
    gateway.note_sender.keepers.borrow_mut().plan_batches(&tables.origins, &relays, now)
}

/// Sends a batch, and once more what a relay lacks that has started again.
async fn send_batch(gateway: Rc<Gateway>, batch: NoteBatch) {
    let mut next = Some(batch);
    while let Some(batch) = next {
        let sent = call_with_notes(&gateway, &batch).await;
        let relay = &batch.relay.name;
        let now = gateway.now();
        let mut keepers = gateway.note_sender.keepers.borrow_mut();
        next = match sent {
            Ok(process) => {
                let (messages, notes) = gateway.note_sender.sent.get();
                gateway.note_sender.sent.set((messages + 1, notes + batch.notes.len()));
                keepers.record_sent(batch, process, &gateway.tables.borrow().origins, now)
            }
            Err(error) => {
                tracing::info!(event = "notes_failed", %relay, notes = batch.notes.len(), %error);
                keepers.record_failure(&batch, now);
                None
            }
        };
    }
}

/// Sends a batch on a pooled connection, and on a new one if that has ended.
async fn call_with_notes(gateway: &Gateway, batch: &NoteBatch) -> io::Result<ProcessNumber> {
    let LocatedRelay { name, address, .. } = &batch.relay;
    let (notes, (versions, listed)) = (batch.notes.clone(), make_statements(gateway));
    let report = OriginReport { notes, versions, listed };
    let (path, timeout) = (NOTE_PATH, SEND_TIMEOUT);
    relay_client::call_relay_again(gateway, name, *address, path, &report, timeout).await
}

/// Returns what this entry knows of the servers' versions, and all that it lists; nothing if it may
/// lack changes.
fn make_statements(gateway: &Gateway) -> (VersionStatements, ListedVersions) {
    if !gateway.lists_servers() {
        return Default::default();
    }
    let lifetime = gateway.stream_lifetime();
    let tables = gateway.tables.borrow();
    let versions = tables.backends.versions();
    (versions.make_statements(gateway.now(), lifetime), versions.listed_versions())
}
