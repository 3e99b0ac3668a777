//! The search for the origin of a stream that a caller takes up.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use toucanrail::codes::ResultCode;
use toucanrail::codetable;
use toucanrail::endpoints::LocatedRelay;
use toucanrail::ids::{RequestId, SoftwareVersion};
use toucanrail::matching::RouteRule;
use toucanrail::origin_keepers;
use toucanrail::origins::{OriginNote, OriginReply, StreamOrigin};
use toucanrail::retry_delays::{self, RefusalCause};
use toucanrail::version_history::VersionStatement;
use toucanrail_platform::requests::RequestInfo;

use crate::admitting::AdmissionRefusal;
use crate::origin_notes;
use crate::relay_api::ORIGIN_PATH;
use crate::relay_client;
use crate::state::Gateway;

/// Timeout of a question for an origin; a live relay responds within a few milliseconds.
const ASK_TIMEOUT: Duration = Duration::from_millis(200);

/// How the origin of a stream became known, as logged.
#[derive(Debug, Clone, Copy)]
pub(crate) enum OriginSource {
    /// From this entry's own table.
    Own,
    /// From a relay.
    Relay,
    /// The service has had one version for longer than any stream lasts.
    SoleVersion,
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
    let (origin, source) = search_origin(gateway, info, route).await.unzip();
    let version = origin.as_ref().map(|origin| SoftwareVersion::clone(&origin.version));
    let judged = judge_origin(gateway, route, origin);
    tracing::info!(
        event = "stream_taken_up", request = %info.id, resumes = info.resumed_attempt.as_deref(),
        after_event = info.last_event, source = ?source, version = version.as_deref(),
        serves = judged.is_ok(),
    );
    let (code, cause) = match judged {
        Ok(origin) => {
            gateway.metrics.count_event("streams_taken_up");
            return Ok(origin);
        }
        Err(refusal) => refusal,
    };
    gateway.metrics.count_event("streams_not_taken_up");
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
) -> Option<(StreamOrigin, OriginSource)> {
    let known = find_known(gateway, info, route);
    if known.is_some() {
        return known;
    }
    let attempt = info.resumed_attempt.as_ref();
    let sole = find_sole_version(gateway, route);
    if attempt.is_none() && sole.is_none() {
        return None;
    }
    let replies = ask_relays(gateway, attempt).await;
    let noted = replies.iter().find_map(|reply| reply.origin.clone());
    if let (Some(attempt), Some(origin)) = (attempt, noted) {
        let (attempt, valid_for) = (Arc::clone(attempt), origin_notes::note_time(info, route));
        origin_notes::insert_note(
            gateway,
            OriginNote { attempt, origin: origin.clone(), valid_for },
        );
        return Some((origin, OriginSource::Relay));
    }
    let sole = sole.filter(|sole| sole.is_proved || sole.is_confirmed(&replies))?;
    Some((sole.origin, OriginSource::SoleVersion))
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

/// Asks the relays that may keep the origin of an attempt, all at once, until one knows it.
async fn ask_relays(gateway: &Rc<Gateway>, attempt: Option<&RequestId>) -> Vec<OriginReply> {
    let key = attempt.map_or("", |attempt| &**attempt);
    let asked = origin_keepers::list_asked(&gateway.store.located_relays(), key);
    let (replies, received) = smol::channel::bounded(asked.len().max(1));
    for relay in asked {
        let (asking, attempt) = (Rc::clone(gateway), attempt.map(Arc::clone));
        let replies = replies.clone();
        let task = gateway.executor.spawn(async move {
            match ask_relay(&asking, &relay, attempt.as_ref()).await {
                // Nobody receives the reply if another relay has told the origin before.
                Ok(reply) => drop(replies.send(reply).await),
                Err(error) => {
                    tracing::info!(event = "origin_unanswered", relay = %relay.name, %error);
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
    relay: &LocatedRelay,
    attempt: Option<&RequestId>,
) -> io::Result<OriginReply> {
    let LocatedRelay { name, address, .. } = relay;
    let timeout = ASK_TIMEOUT;
    relay_client::call_relay_anew(gateway, name, *address, ORIGIN_PATH, &attempt, timeout).await
}
