//! The client of the platform's object API and VM list (`docs/PLATFORM.md` gives the protocol).

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http_types::Method;
use serde::{Deserialize, Serialize};
use toucanrail::ids::{Version, VmId};
use toucanrail::messages::{MirrorDelta, MirrorObject};
use toucanrail::storecalls::{StoreCall, StoreReply, WriteExpectation};

use crate::clients::{ClientLimits, CompleteResponse, ConnectionPool, OutboundRequest};

/// Longest wait for an answer of the object API before its effect counts as unknown.
const CALL_BOUND: Duration = Duration::from_secs(1);
/// Added to a watch's own wait before its connection counts as silent.
const WATCH_SLACK: Duration = Duration::from_secs(1);

/// The object API, as the system uses it.
pub trait ObjectStore: Send + Sync + 'static {
    /// Makes one read or conditional write.
    fn call(&self, call: &StoreCall) -> impl Future<Output = StoreReply> + Send;

    /// Lists a kind's objects changed after a version; none if there is no answer.
    fn list(&self, kind: &str, after: Version) -> impl Future<Output = Option<MirrorDelta>> + Send;

    /// Waits until a kind has a change after a version, or `wait` is over.
    ///
    /// A hint only: the platform's watches may leave out changes, so the caller lists anyway.
    fn watch(
        &self,
        kind: &str,
        after: Version,
        wait: Duration,
    ) -> impl Future<Output = bool> + Send;

    /// Reads the VM list; none if there is no answer.
    fn list_vms(&self) -> impl Future<Output = Option<Vec<VmRow>>> + Send;
}

/// A row of the platform's VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRow {
    /// The VM.
    pub vm: VmId,
    /// Whether it is about to leave.
    pub leaving: bool,
}

/// The body of a listing.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListBody {
    /// The version up to which the listing is complete.
    pub revision: Version,
    /// The objects, by version.
    pub objects: Vec<ListedObject>,
}

/// One object of a listing.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedObject {
    /// Its name in the kind.
    pub name: Arc<str>,
    /// Its version.
    pub version: Version,
    /// Its value.
    pub value: String,
}

/// The object API over HTTP.
#[derive(Debug, Clone)]
pub struct HttpStore {
    address: SocketAddr,
    pool: ConnectionPool,
    reads: Arc<AtomicU64>,
    writes: Arc<AtomicU64>,
}

impl HttpStore {
    /// Makes a client of the object API at an address.
    pub fn new(address: SocketAddr) -> Self {
        let limits = ClientLimits { connect_timeout: CALL_BOUND, ..ClientLimits::default() };
        let pool = ConnectionPool::new(limits);
        Self { address, pool, reads: Arc::default(), writes: Arc::default() }
    }

    /// Returns the reads and the writes made so far, a watch counting as a read.
    pub fn counts(&self) -> (u64, u64) {
        (self.reads.load(Ordering::Relaxed), self.writes.load(Ordering::Relaxed))
    }

    async fn fetch(&self, call: OutboundRequest, bound: Duration) -> io::Result<CompleteResponse> {
        match call.method {
            Method::Put => self.writes.fetch_add(1, Ordering::Relaxed),
            _ => self.reads.fetch_add(1, Ordering::Relaxed),
        };
        let answer = self.pool.fetch(self.address, call, bound).await;
        if answer.is_err() {
            // One silent connection speaks for the others that idle beside it.
            self.pool.evict(self.address);
        }
        answer
    }

    async fn list_once(&self, kind: &str, after: Version) -> Option<MirrorDelta> {
        let call = OutboundRequest::get(format!("/v1/list/{kind}?after={after}"));
        let answer = self.fetch(call, CALL_BOUND).await.ok()?;
        let body: ListBody = serde_json::from_slice(&answer.body).ok()?;
        let objects = body.objects.into_iter().map(|object| MirrorObject {
            name: object.name,
            version: object.version,
            value: object.value.into_bytes(),
        });
        Some(MirrorDelta { objects: objects.collect(), seen: body.revision })
    }
}

fn outbound(call: &StoreCall) -> OutboundRequest {
    match call {
        StoreCall::Get { path } => OutboundRequest::get(format!("/v1/objects/{path}")),
        StoreCall::Put { path, expect, value } => {
            let call = OutboundRequest::new(Method::Put, format!("/v1/objects/{path}"));
            let mut call = match expect {
                WriteExpectation::Absent => call.field("if-none-match", "*"),
                WriteExpectation::At(version) => call.field("if-match", format!("\"{version}\"")),
            };
            call.body.clone_from(value);
            call
        }
    }
}

fn read_reply(call: &StoreCall, answer: CompleteResponse) -> StoreReply {
    let tag = answer.field("etag").map(|tag| tag.trim_matches('"'));
    let version = tag.and_then(|tag| tag.parse().ok());
    match (call, answer.status, version) {
        (StoreCall::Get { .. }, 200, Some(version)) => {
            StoreReply::Found { version, value: answer.body }
        }
        (StoreCall::Get { .. }, 404, _) => StoreReply::Missing,
        (StoreCall::Put { .. }, 200, Some(version)) => StoreReply::Written { version },
        (StoreCall::Put { .. }, 412, _) => StoreReply::Conflict,
        _ => StoreReply::Unavailable,
    }
}

impl ObjectStore for HttpStore {
    async fn call(&self, call: &StoreCall) -> StoreReply {
        let first = self.fetch(outbound(call), CALL_BOUND).await;
        let answer = match (first, call) {
            // A read may go again at once, on a fresh connection.
            (Err(_), StoreCall::Get { .. }) => {
                self.fetch(outbound(call).on_new_connection(), CALL_BOUND).await
            }
            (first, _) => first,
        };
        answer.map_or(StoreReply::Unavailable, |answer| read_reply(call, answer))
    }

    async fn list(&self, kind: &str, after: Version) -> Option<MirrorDelta> {
        self.list_once(kind, after).await
    }

    async fn watch(&self, kind: &str, after: Version, wait: Duration) -> bool {
        let millis = wait.as_millis();
        let call = OutboundRequest::get(format!("/v1/watch/{kind}?after={after}&wait={millis}"));
        let answer = self.fetch(call, wait + WATCH_SLACK).await;
        answer.is_ok_and(|answer| answer.status == 200)
    }

    async fn list_vms(&self) -> Option<Vec<VmRow>> {
        let answer = self.fetch(OutboundRequest::get("/v1/vms"), CALL_BOUND).await.ok()?;
        serde_json::from_slice(&answer.body).ok()
    }
}
