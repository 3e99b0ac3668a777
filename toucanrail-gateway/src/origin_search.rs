//! The search for the origin of a stream that a caller takes up.

use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use smol::channel::Receiver;
use toucanrail::codes::ResultCode;
use toucanrail::codetable;
use toucanrail::endpoints::{LocatedRelay, RelayName};
use toucanrail::ids::{RequestId, SoftwareVersion};
use toucanrail::matching::RouteRule;
use toucanrail::origin_keepers::SearchPlan;
use toucanrail::origins::{OriginNote, OriginReply, StreamOrigin};
use toucanrail::retry_delays::{self, RefusalCause};
use toucanrail::version_history::VersionStatement;
use toucanrail_platform::requests::RequestInfo;

use crate::admitting::AdmissionRefusal;
use crate::origin_notes;
use crate::origin_store;
use crate::relay_api::ORIGIN_PATH;
use crate::relay_client;
use crate::state::Gateway;

/// Timeout of a question for an origin; a live relay responds within a few milliseconds.
const ASK_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after which no further relays are asked.
const SEARCH_TIME: Duration = Duration::from_millis(600);

/// How the origin of a stream became known, as logged.
#[derive(Debug, Clone, Copy)]
pub(crate) enum OriginSource {
    /// From this entry's own table.
    Own,
    /// From a relay.
    Relay,
    /// From the store.
    Stored,
    /// The service has had one version for longer than any stream lasts.
    SoleVersion,
}

impl OriginSource {
    /// Returns the kind of event under which streams that go on are counted.
    fn event_kind(self) -> &'static str {
        match self {
            Self::Own => "taken_up_own",
            Self::Relay => "taken_up_relay",
            Self::Stored => "taken_up_stored",
            Self::SoleVersion => "taken_up_sole_version",
        }
    }
}

/// Returns the kind of event under which streams that are refused for a reason are counted.
fn refusal_kind(code: ResultCode) -> &'static str {
    match code {
        codetable::ORIGIN_UNKNOWN => "not_taken_up_unknown",
        codetable::VERSION_GONE => "not_taken_up_version_gone",
        _ => "not_taken_up_unlisted",
    }
}

/// How a search went, as logged.
#[derive(Debug, Clone, Copy, Default)]
struct SearchTrace {
    /// Relays that were asked.
    asked: usize,
    answered: usize,
    /// Relays that refused the connection or broke it.
    refused: usize,
    timed_out: usize,
    /// Age of the note at the relay that knew it.
    noted_ago: Option<Duration>,
}

impl SearchTrace {
    fn record(&mut self, reply: &io::Result<OriginReply>) {
        match reply {
            Ok(reply) => {
                self.answered += 1;
                self.noted_ago = reply.noted_ago.or(self.noted_ago);
            }
            Err(error) if error.kind() == io::ErrorKind::TimedOut => self.timed_out += 1,
            Err(_) => self.refused += 1,
        }
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
    let (started, mut trace) = (gateway.now(), SearchTrace::default());
    let (origin, source) = search_origin(gateway, info, route, &mut trace).await.unzip();
    let version = origin.as_ref().map(|origin| SoftwareVersion::clone(&origin.version));
    let judged = judge_origin(gateway, route, origin);
    let reason = judged.as_ref().err().map(|(code, _)| code.number());
    tracing::info!(
        event = "stream_taken_up", request = %info.id, resumes = info.resumed_attempt.as_deref(),
        after_event = info.last_event, source = ?source, version = version.as_deref(),
        serves = judged.is_ok(), reason, asked = trace.asked, answered = trace.answered,
        refused = trace.refused, timed_out = trace.timed_out,
        noted_ms = trace.noted_ago.map(|ago| ago.as_millis() as u64),
        took_ms = gateway.now().saturating_sub(started).as_millis() as u64,
    );
    let (code, cause) = match judged {
        Ok(origin) => {
            gateway.metrics.count_event("streams_taken_up");
            if let Some(source) = source {
                gateway.metrics.count_event(source.event_kind());
            }
            return Ok(origin);
        }
        Err(refusal) => refusal,
    };
    gateway.metrics.count_event("streams_not_taken_up");
    gateway.metrics.count_event(refusal_kind(code));
    let left = info.timeout.unwrap_or(route.timeout);
    let wait = retry_delays::pick_delay(cause, left, fastrand::f64());
    Err(AdmissionRefusal::with_retry(code, wait))
}

/// Returns the origin of a stream if the stream can go on there, and the reason otherwise. `origin`
/// is none if it is not known.
pub(crate) fn judge_origin(
    gateway: &Gateway,
    route: &RouteRule,
    origin: Option<StreamOrigin>,
) -> Result<StreamOrigin, (ResultCode, RefusalCause)> {
    let origin = origin.ok_or((codetable::ORIGIN_UNKNOWN, RefusalCause::Uninformed))?;
    let is_target = route.targets.iter().any(|target| target.service == origin.service);
    let tables = gateway.tables.borrow();
    if is_target && tables.backends.may_continue(&origin, gateway.now()) {
        return Ok(origin);
    }
    Err(if tables.backends.is_listed() {
        (codetable::VERSION_GONE, RefusalCause::VersionGone)
    } else {
        (codetable::NO_BACKEND_SERVER, RefusalCause::Uninformed)
    })
}

async fn search_origin(
    gateway: &Rc<Gateway>,
    info: &RequestInfo,
    route: &RouteRule,
    trace: &mut SearchTrace,
) -> Option<(StreamOrigin, OriginSource)> {
    if let Some((origin, source)) = find_known(gateway, info, route) {
        note_again(gateway, info, route, &origin);
        return Some((origin, source));
    }
    let attempt = info.resumed_attempt.as_ref();
    let sole = find_sole_version(gateway, route);
    if attempt.is_none() && sole.is_none() {
        return None;
    }
    let replies = ask_relays(gateway, attempt, trace).await;
    let noted = replies.iter().find_map(|reply| reply.origin.clone());
    if let Some(origin) = noted {
        note_again(gateway, info, route, &origin);
        return Some((origin, OriginSource::Relay));
    }
    if replies.iter().any(OriginReply::is_contradictory) {
        return None;
    }
    if let Some(sole) = &sole
        && (sole.is_proved || is_confirmed(gateway, route, sole, &replies).await)
    {
        return Some((sole.origin.clone(), OriginSource::SoleVersion));
    }
    if let Some(attempt) = attempt
        && let Some(origin) = origin_store::find_stored(gateway, attempt).await
    {
        note_again(gateway, info, route, &origin);
        return Some((origin, OriginSource::Stored));
    }
    let sole = sole.filter(|sole| !sole.is_refuted(&replies));
    let sole = find_recorded(gateway, route, sole).await?;
    Some((sole.origin, OriginSource::SoleVersion))
}

/// Returns whether other entries have stated that there is no other version. They may have done so just
/// before another one began streams and was killed, so that the store's record must not name it.
async fn is_confirmed(
    gateway: &Gateway,
    route: &RouteRule,
    sole: &SoleVersion,
    replies: &[OriginReply],
) -> bool {
    let StreamOrigin { service, version } = &sole.origin;
    if !sole.is_confirmed(replies) {
        return false;
    }
    let record = origin_store::read_versions(gateway, service).await;
    // Another version may have been listed meanwhile.
    let listed = find_sole_version(gateway, route);
    record.is_none_or(|record| record.is_sole(version))
        && listed.is_some_and(|listed| listed.origin == sole.origin)
}

/// Notes where a stream began that a caller takes up, for the time in which it may do so again.
fn note_again(gateway: &Gateway, info: &RequestInfo, route: &RouteRule, origin: &StreamOrigin) {
    if let Some(attempt) = &info.resumed_attempt {
        let (attempt, origin) = (Arc::clone(attempt), origin.clone());
        let valid_for = origin_notes::note_time(info, route);
        origin_notes::insert_note(gateway, OriginNote { attempt, origin, valid_for });
    }
}

/// Returns the origin of a stream if this entry knows it without asking a relay.
pub(crate) fn find_known(
    gateway: &Gateway,
    info: &RequestInfo,
    route: &RouteRule,
) -> Option<(StreamOrigin, OriginSource)> {
    if let Some(attempt) = &info.resumed_attempt {
        return find_own(gateway, attempt).map(|origin| (origin, OriginSource::Own));
    }
    let sole = find_sole_version(gateway, route).filter(|sole| sole.is_proved)?;
    Some((sole.origin, OriginSource::SoleVersion))
}

fn find_own(gateway: &Gateway, attempt: &RequestId) -> Option<StreamOrigin> {
    gateway.tables.borrow().origins.find(attempt, gateway.now()).cloned()
}

/// Returns the only version that this entry lists if the store has recorded no other one either.
async fn find_recorded(
    gateway: &Gateway,
    route: &RouteRule,
    sole: Option<SoleVersion>,
) -> Option<SoleVersion> {
    let service = sole?.origin.service;
    let record = origin_store::read_versions(gateway, &service).await?;
    // Another version may have been listed meanwhile.
    find_sole_version(gateway, route).filter(|sole| record.is_sole(&sole.origin.version))
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
    /// Returns whether another entry has stated anything else than this version.
    fn is_refuted(&self, replies: &[OriginReply]) -> bool {
        let StreamOrigin { service, version } = &self.origin;
        let mut stated = replies.iter().filter_map(|reply| reply.versions.get(service));
        stated.any(|statement| *statement != VersionStatement::Sole(Arc::clone(version)))
    }

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
    if !gateway.lists_servers() {
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

/// Asks the relays that may keep the origin of an attempt, until one knows it: all of a wave at once,
/// and for those that do not respond the next ones by rank.
async fn ask_relays(
    gateway: &Rc<Gateway>,
    attempt: Option<&RequestId>,
    trace: &mut SearchTrace,
) -> Vec<OriginReply> {
    let key = attempt.map_or("", |attempt| &**attempt);
    let (relays, started) = (gateway.store.located_relays(), gateway.now());
    let mut plan = SearchPlan::new(list_unavailable(gateway, &relays, started));
    let mut replies = Vec::new();
    while gateway.now().saturating_sub(started) < SEARCH_TIME {
        let wave = plan.next_wave(&relays, key);
        if wave.is_empty() {
            break;
        }
        trace.asked += wave.len();
        let received = ask_all(gateway, wave, attempt);
        while let Ok((relay, reply)) = received.recv().await {
            trace.record(&reply);
            match reply {
                Ok(reply) => {
                    let is_found = reply.origin.is_some();
                    replies.push(reply);
                    if is_found {
                        return replies;
                    }
                }
                Err(_) => plan.record_unavailable(&relay),
            }
        }
    }
    replies
}

/// Returns the relays that have not responded lately to any use.
fn list_unavailable(
    gateway: &Gateway,
    relays: &[LocatedRelay],
    now: Duration,
) -> BTreeSet<RelayName> {
    let mut unavailable = gateway.note_sender.unavailable(now);
    let health = gateway.relay_checker.health();
    let failed = relays.iter().filter(|relay| health.is_failed(relay.address));
    unavailable.extend(failed.map(|relay| Arc::clone(&relay.name)));
    unavailable
}

/// Asks relays at the same time. Returns where their replies arrive.
fn ask_all(
    gateway: &Rc<Gateway>,
    relays: Vec<LocatedRelay>,
    attempt: Option<&RequestId>,
) -> Receiver<(RelayName, io::Result<OriginReply>)> {
    let (replies, received) = smol::channel::bounded(relays.len().max(1));
    for relay in relays {
        let (asking, attempt) = (Rc::clone(gateway), attempt.map(Arc::clone));
        let replies = replies.clone();
        let task = gateway.executor.spawn(async move {
            let reply = ask_relay(&asking, &relay, attempt.as_ref()).await;
            if let Err(error) = &reply {
                tracing::info!(event = "origin_unanswered", relay = %relay.name, %error);
                asking.note_sender.record_unavailable(&relay.name, asking.now());
            }
            // Nobody receives the reply if another relay has told the origin before.
            replies.send((relay.name, reply)).await.ok();
        });
        task.detach();
    }
    received
}

async fn ask_relay(
    gateway: &Gateway,
    relay: &LocatedRelay,
    attempt: Option<&RequestId>,
) -> io::Result<OriginReply> {
    let LocatedRelay { name, address, .. } = relay;
    let timeout = ASK_TIMEOUT;
    relay_client::call_relay_anew(gateway, name, *address, ORIGIN_PATH, &attempt, timeout).await
}
