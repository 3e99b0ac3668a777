//! Simulated platform: the object API and the VM list.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http_types::{Method, Response};
use serde::{Deserialize, Serialize};
use smol::net::TcpListener;
use toucanrail::ids::{Version, VmId};
use toucanrail_wire::listeners::{self, ReceivedRequest, ServerLimits};
use toucanrail_wire::responses;
use toucanrail_wire::stores::{ListBody, ListedObject, VmRow};

use crate::faults::FaultInjector;

/// Maximum size of an object's value, in bytes.
const MAX_VALUE_BYTES: usize = 1024 * 1024;
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Number of requests by kind since the platform was started.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads of objects and listings.
    pub reads: u64,
    /// Writes, including rejected ones.
    pub writes: u64,
    /// Watch requests.
    pub watches: u64,
}

#[derive(Debug, Default)]
struct PlatformState {
    revision: Version,
    objects: BTreeMap<String, (Version, Vec<u8>)>,
    vms: BTreeMap<VmId, (bool, Instant)>,
    counts: CallCounts,
}

/// A simulated platform; clones share its state.
#[derive(Debug, Clone)]
pub struct PlatformStandin {
    state: Arc<Mutex<PlatformState>>,
    /// Faults injected into this platform.
    pub faults: FaultInjector,
    vm_lag: Duration,
}

impl PlatformStandin {
    /// Creates an empty platform whose VM list shows a leaving VM as such only after `vm_lag`.
    pub fn new(vm_lag: Duration) -> Self {
        Self { state: Arc::default(), faults: FaultInjector::new(), vm_lag }
    }

    /// Serves the object API, the VM list and the control port.
    pub async fn serve(self, listener: TcpListener) {
        let limits = ServerLimits { max_body: MAX_VALUE_BYTES, ..ServerLimits::default() };
        let handler = move |request| {
            let this = self.clone();
            async move { this.handle(request).await }
        };
        listeners::serve(listener, limits, handler).await;
    }

    /// Returns an object's value.
    pub fn read_object(&self, name: &str) -> Option<Vec<u8>> {
        let state = self.lock();
        state.objects.get(name).map(|(_, value)| value.clone())
    }

    /// Returns the number of requests received so far.
    pub fn counts(&self) -> CallCounts {
        self.lock().counts
    }

    /// Adds a VM to the list or updates its row.
    pub fn set_vm(&self, vm: &str, leaving: bool) {
        let row = (leaving, Instant::now());
        self.lock().vms.insert(Arc::from(vm), row);
    }

    /// Removes a VM from the list.
    pub fn remove_vm(&self, vm: &str) {
        self.lock().vms.remove(vm);
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, request: ReceivedRequest) -> Response {
        let path = request.path().to_owned();
        match path.as_str() {
            "/control/faults" => return self.faults.handle_control(&request),
            "/control/counts" => return responses::json(200, &self.lock().counts),
            "/control/vms" => return self.set_vms(&request),
            _ => {}
        }
        if !self.faults.apply_delays().await {
            return responses::text(503, "down");
        }
        if let Some(name) = path.strip_prefix("/v1/objects/") {
            return match request.request.method() {
                Method::Put => self.put(name, &request).await,
                _ => self.get(name),
            };
        }
        if let Some(kind) = path.strip_prefix("/v1/list/") {
            return self.list(kind, &request);
        }
        if let Some(kind) = path.strip_prefix("/v1/watch/") {
            return self.watch(kind, &request).await;
        }
        match path.as_str() {
            "/v1/vms" => self.list_vms(),
            _ => responses::text(404, "no such path"),
        }
    }

    fn get(&self, name: &str) -> Response {
        let mut state = self.lock();
        state.counts.reads += 1;
        match state.objects.get(name) {
            Some((version, value)) => response_with_etag(200, *version, value.clone()),
            None => responses::text(404, "no such object"),
        }
    }

    async fn put(&self, name: &str, request: &ReceivedRequest) -> Response {
        let response = self.write(name, request);
        let is_affected = name.starts_with(&self.faults.plan().lose_kind);
        if is_affected && self.faults.consume(|plan| &mut plan.lose_answers) {
            // Simulates a lost response: the write has taken effect.
            std::future::pending::<()>().await;
        }
        response
    }

    fn write(&self, name: &str, request: &ReceivedRequest) -> Response {
        let mut state = self.lock();
        state.counts.writes += 1;
        let current = state.objects.get(name).map(|(version, _)| *version);
        let expected = request.field("if-match").map(|tag| tag.trim_matches('"').parse().ok());
        let precondition_met = match expected {
            Some(version) => version.is_some() && version == current,
            None => request.field("if-none-match") != Some("*") || current.is_none(),
        };
        if !precondition_met {
            return responses::text(412, "changed meanwhile");
        }
        state.revision += 1;
        let version = state.revision;
        state.objects.insert(name.to_owned(), (version, request.body.clone()));
        response_with_etag(200, version, Vec::new())
    }

    fn list(&self, kind: &str, request: &ReceivedRequest) -> Response {
        let after = query_number(request, "after");
        let prefix = format!("{kind}/");
        let mut state = self.lock();
        state.counts.reads += 1;
        let rows = state.objects.range(prefix.clone()..);
        let rows = rows.take_while(|(name, _)| name.starts_with(&prefix));
        let newer = rows.filter(|(_, (version, _))| *version > after);
        let objects = newer.map(|(name, (version, value))| ListedObject {
            name: Arc::from(&name[prefix.len()..]),
            version: *version,
            value: String::from_utf8_lossy(value).into_owned(),
        });
        responses::json(200, &ListBody { objects: objects.collect(), revision: state.revision })
    }

    async fn watch(&self, kind: &str, request: &ReceivedRequest) -> Response {
        self.lock().counts.watches += 1;
        let after = query_number(request, "after");
        let deadline = Instant::now() + Duration::from_millis(query_number(request, "wait"));
        let prefix = format!("{kind}/");
        while Instant::now() < deadline {
            let has_gap = self.faults.plan().watch_gap;
            if !has_gap && self.has_newer(&prefix, after) {
                break;
            }
            smol::Timer::after(WATCH_POLL_INTERVAL).await;
        }
        responses::text(200, "look")
    }

    fn has_newer(&self, prefix: &str, after: Version) -> bool {
        let state = self.lock();
        if state.revision <= after {
            return false;
        }
        let rows = state.objects.range(prefix.to_owned()..);
        let mut rows = rows.take_while(|(name, _)| name.starts_with(prefix));
        rows.any(|(_, (version, _))| *version > after)
    }

    fn list_vms(&self) -> Response {
        let mut state = self.lock();
        state.counts.reads += 1;
        let rows = state.vms.iter().map(|(vm, (leaving, since))| VmRow {
            vm: Arc::clone(vm),
            leaving: *leaving && since.elapsed() >= self.vm_lag,
        });
        responses::json(200, &rows.collect::<Vec<_>>())
    }

    /// Removes the VM given by the query parameter `gone`, then adds or replaces the rows in the
    /// body.
    fn set_vms(&self, request: &ReceivedRequest) -> Response {
        let mut state = self.lock();
        if let Some(vm) = request.query("gone") {
            state.vms.remove(&*vm);
        }
        let rows: Vec<VmRow> = serde_json::from_slice(&request.body).unwrap_or_default();
        for row in rows {
            state.vms.insert(row.vm, (row.leaving, Instant::now()));
        }
        responses::text(200, "set")
    }
}

fn query_number(request: &ReceivedRequest, name: &str) -> u64 {
    request.query(name).and_then(|text| text.parse().ok()).unwrap_or_default()
}

fn response_with_etag(status: u16, version: Version, value: Vec<u8>) -> Response {
    let mut response = responses::bytes(status, value);
    response.insert_header("etag", format!("\"{version}\""));
    response
}

/// Starts a platform on the given address and returns the address it listens on.
///
/// # Errors
/// Returns an error if the address cannot be bound.
pub fn start(
    address: &str,
    vm_lag: Duration,
) -> io::Result<(PlatformStandin, std::net::SocketAddr)> {
    let listener = listeners::bind(address)?;
    let bound = listener.local_addr()?;
    let standin = PlatformStandin::new(vm_lag);
    smol::spawn(standin.clone().serve(listener)).detach();
    Ok((standin, bound))
}
