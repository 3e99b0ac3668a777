//! The platform's stand-in: the object API and the VM list.

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

use crate::faults::FaultDesk;

/// Largest value, in bytes.
const VALUE_LIMIT: usize = 1024 * 1024;
const WATCH_STEP: Duration = Duration::from_millis(5);

/// Calls by kind since the start.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads and listings.
    pub reads: u64,
    /// Writes, refused ones included.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
}

#[derive(Debug, Default)]
struct PlatformState {
    revision: Version,
    objects: BTreeMap<String, (Version, Vec<u8>)>,
    vms: BTreeMap<VmId, (bool, Instant)>,
    counts: CallCounts,
}

/// The platform's stand-in; clones share its state.
#[derive(Debug, Clone)]
pub struct PlatformStandin {
    state: Arc<Mutex<PlatformState>>,
    /// Its faults.
    pub faults: FaultDesk,
    vm_lag: Duration,
}

impl PlatformStandin {
    /// Makes an empty platform whose VM list lags by `vm_lag`.
    pub fn new(vm_lag: Duration) -> Self {
        Self { state: Arc::default(), faults: FaultDesk::new(), vm_lag }
    }

    /// Serves the object API, the VM list and the control port.
    pub async fn serve(self, listener: TcpListener) {
        let limits = ServerLimits { max_body: VALUE_LIMIT, ..ServerLimits::default() };
        let handler = move |call| {
            let this = self.clone();
            async move { this.answer(call).await }
        };
        listeners::serve(listener, limits, handler).await;
    }

    /// Returns an object's value.
    pub fn read_object(&self, name: &str) -> Option<Vec<u8>> {
        let state = self.lock();
        state.objects.get(name).map(|(_, value)| value.clone())
    }

    /// Returns the calls made so far.
    pub fn counts(&self) -> CallCounts {
        self.lock().counts
    }

    /// Puts a VM on the list, or changes its row.
    pub fn set_vm(&self, vm: &str, leaving: bool) {
        let row = (leaving, Instant::now());
        self.lock().vms.insert(Arc::from(vm), row);
    }

    /// Takes a VM off the list.
    pub fn remove_vm(&self, vm: &str) {
        self.lock().vms.remove(vm);
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, call: ReceivedRequest) -> Response {
        let path = call.path().to_owned();
        match path.as_str() {
            "/control/faults" => return self.faults.answer_control(&call),
            "/control/counts" => return responses::json(200, &self.lock().counts),
            "/control/vms" => return self.set_vms(&call),
            _ => {}
        }
        if !self.faults.pass().await {
            return responses::text(503, "down");
        }
        if let Some(name) = path.strip_prefix("/v1/objects/") {
            return match call.request.method() {
                Method::Put => self.put(name, &call).await,
                _ => self.get(name),
            };
        }
        if let Some(kind) = path.strip_prefix("/v1/list/") {
            return self.list(kind, &call);
        }
        if let Some(kind) = path.strip_prefix("/v1/watch/") {
            return self.watch(kind, &call).await;
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
            Some((version, value)) => tagged(200, *version, value.clone()),
            None => responses::text(404, "no such object"),
        }
    }

    async fn put(&self, name: &str, call: &ReceivedRequest) -> Response {
        let response = self.write(name, call);
        if self.faults.take(|plan| &mut plan.lose_answers) {
            // The write has taken effect; its answer never comes.
            std::future::pending::<()>().await;
        }
        response
    }

    fn write(&self, name: &str, call: &ReceivedRequest) -> Response {
        let mut state = self.lock();
        state.counts.writes += 1;
        let known = state.objects.get(name).map(|(version, _)| *version);
        let wanted = call.field("if-match").map(|tag| tag.trim_matches('"').parse().ok());
        let met = match wanted {
            Some(version) => version.is_some() && version == known,
            None => call.field("if-none-match") != Some("*") || known.is_none(),
        };
        if !met {
            return responses::text(412, "changed meanwhile");
        }
        state.revision += 1;
        let version = state.revision;
        state.objects.insert(name.to_owned(), (version, call.body.clone()));
        tagged(200, version, Vec::new())
    }

    fn list(&self, kind: &str, call: &ReceivedRequest) -> Response {
        let after = number(call, "after");
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

    async fn watch(&self, kind: &str, call: &ReceivedRequest) -> Response {
        self.lock().counts.watches += 1;
        let after = number(call, "after");
        let until = Instant::now() + Duration::from_millis(number(call, "wait"));
        let prefix = format!("{kind}/");
        while Instant::now() < until {
            let gap = self.faults.plan().watch_gap;
            if !gap && self.has_newer(&prefix, after) {
                break;
            }
            smol::Timer::after(WATCH_STEP).await;
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
        let shown = state.vms.iter().map(|(vm, (leaving, since))| VmRow {
            vm: Arc::clone(vm),
            leaving: *leaving && since.elapsed() >= self.vm_lag,
        });
        responses::json(200, &shown.collect::<Vec<_>>())
    }

    /// Replaces the VM list's rows named in the body; `POST` with `?gone=VM` removes one.
    fn set_vms(&self, call: &ReceivedRequest) -> Response {
        let mut state = self.lock();
        if let Some(vm) = call.query("gone") {
            state.vms.remove(&*vm);
        }
        let rows: Vec<VmRow> = serde_json::from_slice(&call.body).unwrap_or_default();
        for row in rows {
            state.vms.insert(row.vm, (row.leaving, Instant::now()));
        }
        responses::text(200, "set")
    }
}

fn number(call: &ReceivedRequest, name: &str) -> u64 {
    call.query(name).and_then(|text| text.parse().ok()).unwrap_or_default()
}

fn tagged(status: u16, version: Version, value: Vec<u8>) -> Response {
    let mut response = responses::bytes(status, value);
    response.insert_header("etag", format!("\"{version}\""));
    response
}

/// Starts a platform on a port of its own.
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
