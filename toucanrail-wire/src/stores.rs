//! Client of the object API and the VM list (`docs/PLATFORM.md` describes the protocol).

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

/// Timeout of a call to the object API; after it, the effect of a write is unknown.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Added to the wait of a watch for the timeout of its call.
const WATCH_MARGIN: Duration = Duration::from_secs(1);

/// The operations of the object API that the system uses.
pub trait ObjectStore: Send + Sync + 'static {
    /// Makes one read or conditional write.
    fn call(&self, call: &StoreCall) -> impl Future<Output = StoreReply> + Send;

    /// Lists the objects of a kind that changed after a version; none if the call fails.
    fn list(&self, kind: &str, after: Version) -> impl Future<Output = Option<MirrorDelta>> + Send;

    /// Waits at most `wait` for a change of a kind after a version.
    ///
    /// The result is only a hint: watches may miss changes, so callers list the objects in any
    /// case.
    fn watch(
        &self,
        kind: &str,
        after: Version,
        wait: Duration,
    ) -> impl Future<Output = bool> + Send;

    /// Fetches the VM list; none if the call fails.
    fn list_vms(&self) -> impl Future<Output = Option<Vec<VmRow>>> + Send;
}

/// An entry of the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRow {
    /// The VM.
    pub vm: VmId,
    /// Whether the VM is about to be removed.
    pub leaving: bool,
}

/// The body of a listing.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListBody {
    /// The version up to which the listing contains all changes.
    pub revision: Version,
    /// The objects in the order of their versions.
    pub objects: Vec<ListedObject>,
}

/// One object of a listing.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedObject {
    /// Its name, unique within the kind.
    pub name: Arc<str>,
    /// Its version.
    pub version: Version,
    /// Its value.
    pub value: String,
}

/// HTTP client of the object API.
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
        let limits = ClientLimits { connect_timeout: CALL_TIMEOUT, ..ClientLimits::default() };
        let pool = ConnectionPool::new(limits);
        Self { address, pool, reads: Arc::default(), writes: Arc::default() }
    }

    /// Returns the number of reads and of writes made so far; a watch counts as a read.
    pub fn counts(&self) -> (u64, u64) {
        (self.reads.load(Ordering::Relaxed), self.writes.load(Ordering::Relaxed))
    }

    async fn fetch(
        &self,
        call: OutboundRequest,
        timeout: Duration,
    ) -> io::Result<CompleteResponse> {
        match call.method {
            Method::Put => self.writes.fetch_add(1, Ordering::Relaxed),
            _ => self.reads.fetch_add(1, Ordering::Relaxed),
        };
        let response = self.pool.fetch(self.address, call, timeout).await;
        if response.is_err() {
            // If this connection failed, the idle ones to the same address may be dead too.
            self.pool.evict(self.address);
        }
        response
    }

    async fn list_once(&self, kind: &str, after: Version) -> Option<MirrorDelta> {
        let call = OutboundRequest::get(format!("/v1/list/{kind}?after={after}"));
        let response = self.fetch(call, CALL_TIMEOUT).await.ok()?;
        let body: ListBody = serde_json::from_slice(&response.body).ok()?;
        let objects = body.objects.into_iter().map(|object| MirrorObject {
            name: object.name,
            version: object.version,
            value: object.value.into_bytes(),
        });
        Some(MirrorDelta { objects: objects.collect(), seen: body.revision })
    }
}

fn encode_call(call: &StoreCall) -> OutboundRequest {
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

fn convert_reply(call: &StoreCall, response: CompleteResponse) -> StoreReply {
    let tag = response.field("etag").map(|tag| tag.trim_matches('"'));
    let version = tag.and_then(|tag| tag.parse().ok());
    match (call, response.status, version) {
        (StoreCall::Get { .. }, 200, Some(version)) => {
            StoreReply::Found { version, value: response.body }
        }
        (StoreCall::Get { .. }, 404, _) => StoreReply::Missing,
        (StoreCall::Put { .. }, 200, Some(version)) => StoreReply::Written { version },
        (StoreCall::Put { .. }, 412, _) => StoreReply::Conflict,
        _ => StoreReply::Unavailable,
    }
}

impl ObjectStore for HttpStore {
    async fn call(&self, call: &StoreCall) -> StoreReply {
        let first = self.fetch(encode_call(call), CALL_TIMEOUT).await;
        let response = match (first, call) {
            // A read is safe to repeat; the new connection rules out a dead idle one.
            (Err(_), StoreCall::Get { .. }) => {
                self.fetch(encode_call(call).on_new_connection(), CALL_TIMEOUT).await
            }
            (first, _) => first,
        };
        response.map_or(StoreReply::Unavailable, |response| convert_reply(call, response))
    }

    async fn list(&self, kind: &str, after: Version) -> Option<MirrorDelta> {
        self.list_once(kind, after).await
    }

    async fn watch(&self, kind: &str, after: Version, wait: Duration) -> bool {
        let millis = wait.as_millis();
        let call = OutboundRequest::get(format!("/v1/watch/{kind}?after={after}&wait={millis}"));
        let response = self.fetch(call, wait + WATCH_MARGIN).await;
        response.is_ok_and(|response| response.status == 200)
    }

    async fn list_vms(&self) -> Option<Vec<VmRow>> {
        let response = self.fetch(OutboundRequest::get("/v1/vms"), CALL_TIMEOUT).await.ok()?;
        serde_json::from_slice(&response.body).ok()
    }
}
