//! The entry: accepts callers' requests and serves the internal API for the fleet and operators.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http_types::{Method, Response};
use toucanrail::catalogue::CustomerEntry;
use toucanrail::codetable;
use toucanrail::ids::EntryId;
use toucanrail::messages::{MirrorQuery, RecallCommand, RecallReply};
use toucanrail_wire::listeners::{self, ReceivedRequest, ServerLimits};
use toucanrail_wire::responses::{self, ErrorDetails};

use crate::fleet_client::routes;
use crate::monitoring;
use crate::planning;
use crate::reclaiming;
use crate::serving;
use crate::settlement;
use crate::state::{Entry, EntrySettings};

/// `Retry-After` of an entry that is starting or stopping; by then the load balancer sends the caller
/// to another entry.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Interval at which the shutdown checks for requests in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the fleet and the load balancer to learn that the entry is stopping.
const SHUTDOWN_NOTICE: Duration = Duration::from_millis(300);

impl Entry {
    async fn handle_request(self: Arc<Self>, request: ReceivedRequest) -> Response {
        let ready = self.is_ready();
        if request.path() == "/health" {
            return match (self.is_stopping(), ready) {
                (true, _) => responses::text(503, "stopping\n"),
                (_, false) => responses::text(503, "starting\n"),
                _ => responses::text(200, "ok\n"),
            };
        }
        if self.is_stopping() {
            let error = ErrorDetails::new(codetable::STOPPING).retry_after(RETRY_DELAY);
            return self.refuse(&error);
        }
        if !ready {
            let error = ErrorDetails::new(codetable::NO_BACKEND_SERVER).retry_after(RETRY_DELAY);
            return self.refuse(&error.detail("This entry is starting."));
        }
        match (request.path(), request.request.method()) {
            ("/v1/models", Method::Get) => self.list_models(&request),
            ("/v1/chat/completions" | "/v1/completions", method) if method != Method::Post => {
                self.refuse(&ErrorDetails::new(codetable::NO_SUCH_ROUTE).detail("Use POST."))
            }
            _ => serving::serve(self, request).await,
        }
    }

    fn list_models(&self, request: &ReceivedRequest) -> Response {
        let state = self.mirrors.lock();
        let customer: Result<CustomerEntry, _> =
            planning::find_customer(&state.catalogue, request).cloned();
        match customer {
            Ok(customer) => {
                responses::json(200, &planning::list_models(&state.catalogue, &customer))
            }
            Err(error) => self.refuse(&error),
        }
    }

    async fn handle_internal(self: Arc<Self>, request: ReceivedRequest) -> Response {
        if let Some(id) = request.path().strip_prefix("/state/requests/") {
            return match self.lock().traces.get(id) {
                Some(steps) => responses::json(200, &steps),
                None => responses::text(404, "not seen here lately"),
            };
        }
        match request.path() {
            "/health" => responses::text(200, "ok\n"),
            "/metrics" => self.metrics.response(),
            "/state" => self.dump_state(),
            routes::MIRROR => match self.client.decode::<MirrorQuery>(&request) {
                Ok(query) => {
                    self.mirrors.record_querier(&query);
                    responses::msgpack(&self.mirrors.updates_since(
                        &self.id,
                        self.is_stopping(),
                        &query,
                    ))
                }
                Err(response) => *response,
            },
            routes::RECALL => match self.client.decode::<RecallCommand>(&request) {
                Ok(command) => {
                    let returned = settlement::release_unused(&self, &command).await;
                    responses::msgpack(&RecallReply { returned })
                }
                Err(response) => *response,
            },
            _ => responses::error(&ErrorDetails::new(codetable::NO_SUCH_ROUTE)),
        }
    }

    fn dump_state(&self) -> Response {
        let (reads, writes) = self.store.counts();
        let mirrors = self.mirrors.lock();
        let tables = self.lock();
        let dump = serde_json::json!({
            "role": "entry",
            "id": self.id,
            "leaving": self.is_stopping(),
            "requests": self.requests_in_flight(),
            "catalogue": mirrors.catalogue,
            "catalogue_version": mirrors.objects.seen(),
            "store_calls": { "reads": reads, "writes": writes },
            "grants": tables.grants,
            "servers": tables.servers,
            "limits": tables.limits,
            "retries": tables.retries,
            "members": tables.members,
        });
        responses::json(200, &dump)
    }

    /// Rejects new requests, waits for those in flight, settles and returns the unused grants.
    async fn drain(self: &Arc<Self>) {
        self.begin_stop();
        tracing::info!(id = %self.id, requests = self.requests_in_flight(), "entry stopping");
        smol::Timer::after(SHUTDOWN_NOTICE).await;
        let start = Instant::now();
        while self.requests_in_flight() > 0 && start.elapsed() < self.settings.common.shutdown_grace
        {
            smol::Timer::after(DRAIN_POLL_INTERVAL).await;
        }
        // Tenures with requests still in flight are kept: after this process has ended, peers reclaim
        // them from what the agents have recorded.
        settlement::settle_all(self, self.requests_in_flight() == 0).await;
        self.register(false).await;
        tracing::info!(id = %self.id, left = self.requests_in_flight(), "entry stopped");
    }
}

/// A running entry.
#[derive(Debug)]
pub struct EntryHandle {
    entry: Arc<Entry>,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for calls from the fleet and from operators.
    pub internal: SocketAddr,
}

impl EntryHandle {
    /// Returns the identifier of this incarnation.
    pub fn id(&self) -> &EntryId {
        &self.entry.id
    }

    /// Shuts down gracefully.
    pub async fn stop(self) {
        self.entry.drain().await;
    }
}

/// Starts an entry on the current executor.
pub fn start(settings: EntrySettings) -> io::Result<EntryHandle> {
    let callers = listeners::bind(&settings.common.listen)?;
    let fleet = listeners::bind(&settings.internal)?;
    let (address, internal) = (callers.local_addr()?, fleet.local_addr()?);
    let limits = settings.limits.clone();
    let entry = Arc::new(Entry::new(settings, internal)?);
    let caller_entry = Arc::clone(&entry);
    let caller_handler = move |request| Arc::clone(&caller_entry).handle_request(request);
    smol::spawn(listeners::serve(callers, limits, caller_handler)).detach();
    let fleet_entry = Arc::clone(&entry);
    let fleet_handler = move |request| Arc::clone(&fleet_entry).handle_internal(request);
    smol::spawn(listeners::serve(fleet, ServerLimits::default(), fleet_handler)).detach();
    monitoring::start(&entry);
    settlement::start(&entry);
    smol::spawn(reclaiming::watch_lost_peers(Arc::clone(&entry))).detach();
    tracing::info!(id = %entry.id, %address, inner = %internal, "entry started");
    Ok(EntryHandle { entry, address, internal })
}
