//! Where streams began: notes for the relays, and the origin of a stream that a caller takes up.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use event_listener::Event;
use toucanrail::codetable;
use toucanrail::ids::RequestId;
use toucanrail::matching::{RouteKind, RouteRule};
use toucanrail::origin_keepers::{self, KeeperTable, NoteBatch, ProcessNumber, RelayAddress};
use toucanrail::origins::{OriginNote, OriginReply, OriginReport, StreamOrigin};
use toucanrail::retry_delays::{self, RefusalCause};
use toucanrail::version_history::{VersionStatement, VersionStatements};
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
/// Interval between two lines in the log about the notes.
const LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Upper bound of the time for which an origin is kept, whatever a caller states.
const MAX_NOTE_TIME: Duration = Duration::from_secs(120);

/// Sends the origins of streams to relays.
#[derive(Debug, Default)]
pub struct OriginClient {
    keepers: RefCell<KeeperTable>,
    noted: Event,
    /// Messages and notes that relays have taken since the last line in the log.
    sent: Cell<(usize, usize)>,
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

/// Logs at intervals how many notes were sent and how many streams are remembered.
pub async fn log_notes(gateway: Rc<Gateway>) {
    loop {
        smol::Timer::after(LOG_INTERVAL).await;
        let (messages, notes) = gateway.origin_client.sent.take();
        let streams = gateway.tables.borrow().origins.len();
        if streams > 0 {
            tracing::info!(event = "origins_noted", messages, notes, streams);
        }
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
                let (messages, notes) = gateway.origin_client.sent.get();
                gateway.origin_client.sent.set((messages + 1, notes + batch.notes.len()));
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
    let (relay, address) = &batch.relay;
    let report = OriginReport { notes: batch.notes.clone(), versions: make_statements(gateway) };
    let timeout = SEND_TIMEOUT;
    match relay_client::call_relay(gateway, relay, *address, NOTE_PATH, &report, timeout).await {
        Err(error) if error.kind() != io::ErrorKind::TimedOut => {
            let path = NOTE_PATH;
            relay_client::call_relay_anew(gateway, relay, *address, path, &report, timeout).await
        }
        sent => sent,
    }
}

/// Returns what this entry knows of the servers' versions; nothing if it may lack changes.
fn make_statements(gateway: &Gateway) -> VersionStatements {
    if !lists_servers(gateway) {
        return VersionStatements::new();
    }
    let lifetime = gateway.stream_lifetime();
    gateway.tables.borrow().backends.versions().make_statements(gateway.now(), lifetime)
}

/// Returns whether this entry hears of changes of the servers.
fn lists_servers(gateway: &Gateway) -> bool {
    gateway.store.unanswered_for(names::SERVER_KIND) <= MAX_LISTING_AGE
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
    let attempt = info.resumed_attempt.as_ref();
    let own = attempt.and_then(|attempt| find_own(gateway, attempt));
    if let Some(origin) = own {
        return Some((origin, OriginSource::Own));
    }
    let sole = find_sole_version(gateway, route);
    if let (None, Some(sole)) = (attempt, sole.as_ref().filter(|sole| sole.is_proved)) {
        return Some((sole.origin.clone(), OriginSource::SoleVersion));
    }
    if attempt.is_none() && sole.is_none() {
        return None;
    }
    let replies = ask_relays(gateway, attempt).await;
    let noted = replies.iter().find_map(|reply| reply.origin.clone());
    if let (Some(attempt), Some(origin)) = (attempt, noted) {
        let (attempt, valid_for) = (Arc::clone(attempt), note_time(info, route));
        insert_note(gateway, OriginNote { attempt, origin: origin.clone(), valid_for });
        return Some((origin, OriginSource::Relay));
    }
    let sole = sole.filter(|sole| sole.is_proved || sole.is_confirmed(&replies))?;
    Some((sole.origin, OriginSource::SoleVersion))
}

fn find_own(gateway: &Gateway, attempt: &RequestId) -> Option<StreamOrigin> {
    gateway.tables.borrow().origins.find(attempt, gateway.now()).cloned()
}

/// The only version that this entry has seen at the servers of a service.
#[derive(Debug)]
struct SoleVersion {
    origin: StreamOrigin,
    /// Whether this entry has listed the servers for longer than any stream lasts. If not, another
    /// entry may have, and have told the relays.
    is_proved: bool,
}

impl SoleVersion {
    /// Returns whether other entries have stated that there is no other version.
    fn is_confirmed(&self, replies: &[OriginReply]) -> bool {
        let StreamOrigin { service, version } = &self.origin;
        let mut stated = replies.iter().filter_map(|reply| reply.versions.get(service)).peekable();
        let sole = VersionStatement::Sole(Arc::clone(version));
        stated.peek().is_some() && stated.all(|statement| *statement == sole)
    }
}

fn find_sole_version(gateway: &Gateway, route: &RouteRule) -> Option<SoleVersion> {
    let [target] = &*route.targets else {
        return None;
    };
    if !lists_servers(gateway) {
        return None;
    }
    let (now, lifetime) = (gateway.now(), gateway.stream_lifetime());
    let service = &target.service;
    let tables = gateway.tables.borrow();
    let versions = tables.backends.versions();
    let version = Arc::clone(versions.listed_version(service)?);
    let is_proved = versions.sole_version(service, now, lifetime).is_some();
    Some(SoleVersion { origin: StreamOrigin { service: Arc::clone(service), version }, is_proved })
}

/// Asks the relays that may keep the origin of an attempt, all at once, until one knows it.
async fn ask_relays(gateway: &Rc<Gateway>, attempt: Option<&RequestId>) -> Vec<OriginReply> {
    let key = attempt.map_or("", |attempt| &**attempt);
    let asked = origin_keepers::list_asked(&gateway.store.relays(), key);
    let (replies, received) = smol::channel::bounded(asked.len().max(1));
    for relay in asked {
        let (asking, attempt) = (Rc::clone(gateway), attempt.map(Arc::clone));
        let replies = replies.clone();
        let task = gateway.executor.spawn(async move {
            match ask_relay(&asking, &relay, attempt.as_ref()).await {
                // Nobody receives the reply if another relay has told the origin before.
                Ok(reply) => drop(replies.send(reply).await),
                Err(error) => {
                    tracing::info!(event = "origin_unanswered", relay = %relay.0, %error);
                }
            }
        });
        task.detach();
    }
    drop(replies);
    let mut all = Vec::new();
    while let Ok(reply) = received.recv().await {
        let is_found = reply.origin.is_some();
        all.push(reply);
        if is_found {
            break;
        }
    }
    all
}

async fn ask_relay(
    gateway: &Gateway,
    (relay, address): &RelayAddress,
    attempt: Option<&RequestId>,
) -> io::Result<OriginReply> {
    let timeout = ASK_TIMEOUT;
    relay_client::call_relay_anew(gateway, relay, *address, ORIGIN_PATH, &attempt, timeout).await
}
