//! Where streams began: notes for the relays, and the origin of a stream that a caller takes up.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use event_listener::Event;
use toucanrail::codetable;
use toucanrail::matching::{RouteKind, RouteRule};
use toucanrail::origin_keepers::{self, KeeperTable, NoteBatch, ProcessNumber, RelayAddress};
use toucanrail::origins::{OriginNote, StreamOrigin};
use toucanrail::retry_delays::{self, RefusalCause};
use toucanrail_platform::names;
use toucanrail_platform::requests::RequestInfo;

use crate::admitting::AdmissionRefusal;
use crate::relay_api::{NOTE_PATH, ORIGIN_PATH};
use crate::relay_client;
use crate::request_context::AttemptContext;
use crate::state::Gateway;

/// Minimum time between two messages with notes to the same relay.
const SEND_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a message with notes.
const SEND_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a question for an origin; a live relay responds within a few milliseconds.
const ASK_TIMEOUT: Duration = Duration::from_millis(200);
/// Age of this entry's listing of servers from which it may lack a software version that other
/// entries use. A watch that sees no change is answered more often.
const MAX_LISTING_AGE: Duration = Duration::from_secs(2);
/// Upper bound of the time for which an origin is kept, whatever a caller states.
const MAX_NOTE_TIME: Duration = Duration::from_secs(120);

/// Sends the origins of streams to relays.
#[derive(Debug, Default)]
pub struct OriginClient {
    keepers: RefCell<KeeperTable>,
    noted: Event,
}

/// How the origin of a stream became known, as logged.
#[derive(Debug, Clone, Copy)]
enum OriginSource {
    /// From this entry's own table.
    Own,
    /// From a relay.
    Relay,
    /// The service has had one version for longer than any stream lasts.
    SoleVersion,
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
fn note_time(info: &RequestInfo, route: &RouteRule) -> Duration {
    info.timeout.unwrap_or(route.timeout).min(MAX_NOTE_TIME)
}

fn insert_note(gateway: &Gateway, note: OriginNote) {
    let now = gateway.now();
    gateway.tables.borrow_mut().origins.insert(note, now);
    gateway.origin_client.noted.notify(1);
}

/// Sends new notes to the relays until the process exits.
pub async fn send_notes(gateway: Rc<Gateway>) {
    loop {
        let listener = gateway.origin_client.noted.listen();
        if !has_news(&gateway) {
            listener.await;
        }
        let batches = plan_batches(&gateway);
        let sending = batches
            .into_iter()
            .map(|batch| gateway.executor.spawn(send_batch(Rc::clone(&gateway), batch)));
        for task in sending.collect::<Vec<_>>() {
            task.await;
        }
        smol::Timer::after(SEND_INTERVAL).await;
    }
}

fn has_news(gateway: &Gateway) -> bool {
    gateway.origin_client.keepers.borrow().has_news(&gateway.tables.borrow().origins)
}

fn plan_batches(gateway: &Gateway) -> Vec<NoteBatch> {
    let (relays, now) = (gateway.store.relays(), gateway.now());
    let tables = gateway.tables.borrow();
    gateway.origin_client.keepers.borrow_mut().plan_batches(&tables.origins, &relays, now)
}

/// Sends a batch, and once more what a relay lacks that has started again.
async fn send_batch(gateway: Rc<Gateway>, batch: NoteBatch) {
    let mut next = Some(batch);
    while let Some(batch) = next {
        let sent = call_with_notes(&gateway, &batch).await;
        let relay = &batch.relay.0;
        let now = gateway.now();
        let mut keepers = gateway.origin_client.keepers.borrow_mut();
        next = match sent {
            Ok(process) => {
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
    let NoteBatch { relay: (relay, address), notes, .. } = batch;
    let timeout = SEND_TIMEOUT;
    match relay_client::call_relay(gateway, relay, *address, NOTE_PATH, notes, timeout).await {
        Err(error) if error.kind() != io::ErrorKind::TimedOut => {
            relay_client::call_relay_anew(gateway, relay, *address, NOTE_PATH, notes, timeout).await
        }
        sent => sent,
    }
}

/// Returns where a stream began that a caller takes up, or why it cannot go on.
///
/// If no server of the version that began it is left, or the version is not known, the request is
/// refused at once.
pub async fn find_origin(
    gateway: &Rc<Gateway>,
    info: &RequestInfo,
    route: &RouteRule,
) -> Result<StreamOrigin, AdmissionRefusal> {
    let found = search_origin(gateway, info, route).await;
    let serves = found.as_ref().is_some_and(|(origin, _)| {
        let is_target = route.targets.iter().any(|target| target.service == origin.service);
        is_target && gateway.tables.borrow().backends.may_continue(origin, gateway.now())
    });
    tracing::info!(
        event = "stream_taken_up", request = %info.id, resumes = info.resumed_attempt.as_deref(),
        after_event = info.last_event, source = ?found.as_ref().map(|(_, source)| source),
        version = found.as_ref().map(|(origin, _)| &*origin.version), serves,
    );
    let (code, cause) = match found {
        Some((origin, _)) if serves => {
            gateway.metrics.count_event("streams_taken_up");
            return Ok(origin);
        }
        Some(_) => (codetable::VERSION_GONE, RefusalCause::VersionGone),
        None => (codetable::ORIGIN_UNKNOWN, RefusalCause::Uninformed),
    };
    gateway.metrics.count_event("streams_not_taken_up");
    let left = info.timeout.unwrap_or(route.timeout);
    let wait = retry_delays::pick_delay(cause, left, fastrand::f64());
    Err(AdmissionRefusal { code, retry_after: Some(wait) })
}

async fn search_origin(
    gateway: &Rc<Gateway>,
    info: &RequestInfo,
    route: &RouteRule,
) -> Option<(StreamOrigin, OriginSource)> {
    if let Some(attempt) = &info.resumed_attempt {
        let own = gateway.tables.borrow().origins.find(attempt, gateway.now()).cloned();
        if let Some(origin) = own {
            return Some((origin, OriginSource::Own));
        }
        if let Some(origin) = ask_relays(gateway, attempt).await {
            let (attempt, valid_for) = (Arc::clone(attempt), note_time(info, route));
            insert_note(gateway, OriginNote { attempt, origin: origin.clone(), valid_for });
            return Some((origin, OriginSource::Relay));
        }
    }
    Some((sole_origin(gateway, route)?, OriginSource::SoleVersion))
}

/// Returns the origin of all streams of a route, if only one version can have begun them.
fn sole_origin(gateway: &Gateway, route: &RouteRule) -> Option<StreamOrigin> {
    let [target] = &*route.targets else {
        return None;
    };
    if gateway.store.unanswered_for(names::SERVER_KIND) > MAX_LISTING_AGE {
        return None;
    }
    let lifetime = gateway.stream_lifetime();
    gateway.tables.borrow().backends.sole_origin(&target.service, gateway.now(), lifetime)
}

/// Asks the relays that may keep an origin, all at once. Returns the first one that is found.
async fn ask_relays(gateway: &Rc<Gateway>, attempt: &Arc<str>) -> Option<StreamOrigin> {
    let asked = origin_keepers::list_asked(&gateway.store.relays(), attempt);
    let (replies, received) = smol::channel::bounded(asked.len().max(1));
    for relay in asked {
        let (asking, attempt) = (Rc::clone(gateway), Arc::clone(attempt));
        let replies = replies.clone();
        let task = gateway.executor.spawn(async move {
            match ask_relay(&asking, &relay, &attempt).await {
                // Nobody receives the reply if another relay has told the origin before.
                Ok(origin) => drop(replies.send(origin).await),
                Err(error) => {
                    tracing::info!(event = "origin_unanswered", relay = %relay.0, %attempt, %error);
                }
            }
        });
        task.detach();
    }
    drop(replies);
    while let Ok(reply) = received.recv().await {
        if reply.is_some() {
            return reply;
        }
    }
    None
}

async fn ask_relay(
    gateway: &Gateway,
    (relay, address): &RelayAddress,
    attempt: &Arc<str>,
) -> io::Result<Option<StreamOrigin>> {
    relay_client::call_relay_anew(gateway, relay, *address, ORIGIN_PATH, attempt, ASK_TIMEOUT).await
}
