//! The entry: takes callers' requests, admits them, and answers the fleet and the operators.

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

use crate::fleets::routes;
use crate::planning;
use crate::reclaiming;
use crate::serving;
use crate::settlement;
use crate::states::{Entry, EntrySettings};
use crate::watching;

/// When to come back to an entry that is stopping: the balancer has another by then.
const STOP_RETRY: Duration = Duration::from_secs(1);
const STOP_STEP: Duration = Duration::from_millis(50);
/// Time in which the fleet and the balancer learn that the entry is stopping.
const STOP_NOTICE: Duration = Duration::from_millis(300);

impl Entry {
    async fn answer_caller(self: Arc<Self>, call: ReceivedRequest) -> Response {
        let ready = self.is_ready();
        if call.path() == "/health" {
            return match (self.is_leaving(), ready) {
                (true, _) => responses::text(503, "stopping\n"),
                (_, false) => responses::text(503, "starting\n"),
                _ => responses::text(200, "ok\n"),
            };
        }
        if self.is_leaving() {
            let note = ErrorDetails::new(codetable::STOPPING).retry_after(STOP_RETRY);
            return self.refuse(&note);
        }
        if !ready {
            let note = ErrorDetails::new(codetable::NO_BACKEND_SERVER).retry_after(STOP_RETRY);
            return self.refuse(&note.detail("This entry is starting."));
        }
        match (call.path(), call.request.method()) {
            ("/v1/models", Method::Get) => self.answer_models(&call),
            ("/v1/chat/completions" | "/v1/completions", method) if method != Method::Post => {
                self.refuse(&ErrorDetails::new(codetable::NO_SUCH_ROUTE).detail("Use POST."))
            }
            _ => serving::serve(self, call).await,
        }
    }

    fn answer_models(&self, call: &ReceivedRequest) -> Response {
        let state = self.mirrors.lock();
        let customer: Result<CustomerEntry, _> =
            planning::find_customer(&state.catalogue, call).cloned();
        match customer {
            Ok(customer) => {
                responses::json(200, &planning::list_models(&state.catalogue, &customer))
            }
            Err(note) => self.refuse(&note),
        }
    }

    async fn answer_inner(self: Arc<Self>, call: ReceivedRequest) -> Response {
        if let Some(request) = call.path().strip_prefix("/state/requests/") {
            return match self.lock().traces.get(request) {
                Some(steps) => responses::json(200, &steps),
                None => responses::text(404, "not seen here lately"),
            };
        }
        match call.path() {
            "/health" => responses::text(200, "ok\n"),
            "/metrics" => self.board.answer(),
            "/state" => self.answer_state(),
            routes::MIRROR => match self.client.read::<MirrorQuery>(&call) {
                Ok(order) => {
                    self.mirrors.note_asker(&order);
                    responses::msgpack(&self.mirrors.news(&self.id, self.is_leaving(), &order))
                }
                Err(refusal) => *refusal,
            },
            routes::RECALL => match self.client.read::<RecallCommand>(&call) {
                Ok(order) => {
                    let returned = settlement::release_unused(&self, &order).await;
                    responses::msgpack(&RecallReply { returned })
                }
                Err(refusal) => *refusal,
            },
            _ => responses::error(&ErrorDetails::new(codetable::NO_SUCH_ROUTE)),
        }
    }

    fn answer_state(&self) -> Response {
        let (reads, writes) = self.store.counts();
        let mirrors = self.mirrors.lock();
        let tables = self.lock();
        let dump = serde_json::json!({
            "role": "entry",
            "id": self.id,
            "leaving": self.is_leaving(),
            "requests": self.requests(),
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

    /// Takes no new requests, finishes those in flight, settles, gives its grants back.
    async fn drain(self: &Arc<Self>) {
        self.begin_leave();
        tracing::info!(id = %self.id, requests = self.requests(), "stopping");
        smol::Timer::after(STOP_NOTICE).await;
        let start = Instant::now();
        while self.requests() > 0 && start.elapsed() < self.settings.common.drain {
            smol::Timer::after(STOP_STEP).await;
        }
        // What is still open keeps its tenure: peers reclaim it once this process is gone, with
        // what the agents know.
        settlement::settle_all(self, self.requests() == 0).await;
        self.register(false).await;
        tracing::info!(id = %self.id, left = self.requests(), "stopped");
    }
}

/// A running entry.
#[derive(Debug)]
pub struct EntryHandle {
    entry: Arc<Entry>,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Where the fleet and the operators reach it.
    pub inner: SocketAddr,
}

impl EntryHandle {
    /// Returns the incarnation.
    pub fn id(&self) -> &EntryId {
        &self.entry.id
    }

    /// Stops gracefully.
    pub async fn stop(self) {
        self.entry.drain().await;
    }
}

/// Starts an entry on the present executor.
pub fn start(settings: EntrySettings) -> io::Result<EntryHandle> {
    let callers = listeners::bind(&settings.common.listen)?;
    let fleet = listeners::bind(&settings.inner)?;
    let (address, inner) = (callers.local_addr()?, fleet.local_addr()?);
    let limits = settings.limits.clone();
    let entry = Arc::new(Entry::new(settings, inner)?);
    let caller_entry = Arc::clone(&entry);
    let caller_handler = move |call| Arc::clone(&caller_entry).answer_caller(call);
    smol::spawn(listeners::serve(callers, limits, caller_handler)).detach();
    let fleet_entry = Arc::clone(&entry);
    let fleet_handler = move |call| Arc::clone(&fleet_entry).answer_inner(call);
    smol::spawn(listeners::serve(fleet, ServerLimits::default(), fleet_handler)).detach();
    watching::start(&entry);
    settlement::start(&entry);
    smol::spawn(reclaiming::watch_lost_peers(Arc::clone(&entry))).detach();
    tracing::info!(id = %entry.id, %address, %inner, "entry started");
    Ok(EntryHandle { entry, address, inner })
}
