//! The agent, through which all requests to its backend server pass.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http_types::Response;
use serde::{Deserialize, Serialize};
use smol::net::TcpListener;
use toucanrail::codes::ResultCode;
use toucanrail::codetable;
use toucanrail::frames;
use toucanrail::ids::{AgentId, ServiceName, SoftwareVersion};
use toucanrail::ledgers::UsageLedger;
use toucanrail::messages::{
    AckCommand, AgentReply, EngineCommand, FenceCommand, QueryMode, RunQuery,
};
use toucanrail::messages::{LoadReport, MirrorQuery, RunCommand, RunFrame};
use toucanrail::servers::{NodeEntry, NodeRole};
use toucanrail::settings::{SettingRow, SettingValues};
use toucanrail::storecalls;
use toucanrail_wire::clients::{ClientLimits, ConnectionPool, OutboundRequest};
use toucanrail_wire::listeners::{self, ReceivedRequest, ServerLimits};
use toucanrail_wire::pipes;
use toucanrail_wire::responses::{self, ErrorDetails};
use toucanrail_wire::stores::HttpStore;

use crate::execution;
use crate::fleet_client::{FleetClient, routes};
use crate::metrics::ProcessMetrics;
use crate::mirroring::{self, MirrorSet};
use crate::registration;
use crate::starting::{self, CommonSettings};

/// Maximum size of a command, in bytes.
const MAX_COMMAND_BYTES: usize = 4 * 1024 * 1024;
/// Interval between health probes of the backend server.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum size of what a backend server reports of itself or of a request, in bytes.
const MAX_STATUS_SIZE: u64 = 1024 * 1024;
/// Number of consecutive failed probes after which the backend server counts as unhealthy.
const UNHEALTHY_PROBE_FAILURES: u32 = 3;
/// Longest wait of a stopping agent for its last runs to be settled.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which every entry has fetched a load report that says that the agent is stopping.
const STOP_NOTICE: Duration = Duration::from_secs(1);
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
const REGISTER_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Settings that only agents have.
pub const SETTINGS: [SettingRow; 4] = [
    SettingRow { name: "backend", default: None, help: "Address of the backend server." },
    SettingRow { name: "service", default: None, help: "Service of the backend server." },
    SettingRow { name: "probe-path", default: Some("/engine/load"), help: "Path to probe." },
    SettingRow { name: "slots", default: Some("8"), help: "Concurrent calls, if not reported." },
];

/// Settings of an agent.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// Settings shared with entries.
    pub common: CommonSettings,
    /// Address of the backend server.
    pub backend: SocketAddr,
    /// Service of the backend server.
    pub service: ServiceName,
    /// Number of concurrent calls of the backend server, if it does not report it.
    pub slots: u64,
    /// Path that is probed at the backend server; a model engine reports its load there.
    pub probe_path: String,
}

impl AgentSettings {
    /// Reads the settings; errors are recorded in `values`.
    pub fn read(values: &mut SettingValues) -> Self {
        let address = |text: &str| text.parse().ok().map(Some);
        Self {
            common: CommonSettings::read(values),
            backend: values
                .parse_with("backend", "an address like 127.0.0.1:8000", address)
                .unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))),
            service: Arc::from(values.text("service")),
            slots: values.parse("slots", "a number"),
            probe_path: values.text("probe-path").to_owned(),
        }
    }
}

/// Load report of a model engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendLoad {
    /// Number of requests that it runs concurrently.
    pub slots: u64,
    /// Number of running requests.
    pub running: u64,
    /// Number of queued requests.
    pub waiting: u64,
    /// Version of its software, if it reports one.
    #[serde(default, rename = "version")]
    pub software_version: Option<SoftwareVersion>,
}

#[derive(Debug, Default)]
struct BackendStatus {
    load: Option<BackendLoad>,
    failures: u32,
    fence: u64,
}

/// One incarnation of an agent.
#[derive(Debug)]
pub struct Agent {
    /// Id of this incarnation.
    pub id: AgentId,
    /// Settings.
    pub settings: AgentSettings,
    /// Connections to the backend server.
    pub pool: ConnectionPool,
    /// Metrics.
    pub metrics: ProcessMetrics,
    address: SocketAddr,
    client: FleetClient,
    store: HttpStore,
    mirrors: MirrorSet,
    ledger: Mutex<UsageLedger>,
    status: Mutex<BackendStatus>,
}

impl Agent {
    /// Creates an agent that listens at `address`.
    ///
    /// # Errors
    /// If its metrics cannot be registered.
    pub fn new(settings: AgentSettings, address: SocketAddr) -> io::Result<Self> {
        let id = starting::new_incarnation(&settings.common.name);
        let limits = ClientLimits {
            connect_timeout: PROBE_TIMEOUT,
            max_body: MAX_STATUS_SIZE,
            ..ClientLimits::default()
        };
        Ok(Self {
            ledger: Mutex::new(UsageLedger::new(Arc::clone(&id))),
            id,
            pool: ConnectionPool::new(limits),
            metrics: ProcessMetrics::new("agent").map_err(io::Error::other)?,
            address: settings.common.advertise.unwrap_or(address),
            client: FleetClient::new(&settings.common.fleet_key),
            store: HttpStore::new(settings.common.store),
            mirrors: MirrorSet::new(),
            status: Mutex::default(),
            settings,
        })
    }

    /// Locks the ledger of runs.
    pub fn lock_ledger(&self) -> MutexGuard<'_, UsageLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_status(&self) -> MutexGuard<'_, BackendStatus> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells whether the backend server responds to probes.
    pub fn is_backend_healthy(&self) -> bool {
        self.lock_status().failures < UNHEALTHY_PROBE_FAILURES
    }

    async fn respond(self: Arc<Self>, call: ReceivedRequest) -> Response {
        match call.path() {
            "/health" => self.health_response(),
            "/metrics" => self.metrics.response(),
            "/state" => self.state_response(),
            routes::RUN => self.handle_run(&call),
            routes::LOAD => self.handle_signed(&call, |query: MirrorQuery| {
                self.mirrors.record_querier(&query);
                responses::msgpack(&self.report())
            }),
            routes::FENCE => self.handle_signed(&call, |command: FenceCommand| {
                self.metrics.count_event("fences");
                responses::msgpack(&self.lock_ledger().fence(&command.shard, command.epoch))
            }),
            routes::ACK => self.handle_signed(&call, |command: AckCommand| {
                self.lock_ledger().acknowledge(&command.runs);
                responses::msgpack(&AgentReply { agent: Arc::clone(&self.id), fate: None })
            }),
            routes::RUN_QUERY => self.handle_query(&call).await,
            routes::ENGINE_COMMAND => self.forward_engine_command(&call).await,
            _ => responses::error(&ErrorDetails::new(codetable::NO_SUCH_ROUTE)),
        }
    }

    fn handle_signed<Message, Handler>(&self, call: &ReceivedRequest, handler: Handler) -> Response
    where
        Message: serde::de::DeserializeOwned,
        Handler: FnOnce(Message) -> Response,
    {
        match self.client.decode(call) {
            Ok(message) => handler(message),
            Err(refusal) => *refusal,
        }
    }

    fn health_response(&self) -> Response {
        if self.lock_ledger().leaving || !self.is_backend_healthy() {
            responses::text(503, "not taking work\n")
        } else {
            responses::text(200, "ok\n")
        }
    }

    fn state_response(&self) -> Response {
        let mirrors = self.mirrors.lock();
        let dump = serde_json::json!({
            "role": "agent",
            "id": self.id,
            "service": self.settings.service,
            "backend": self.settings.backend,
            "report": self.report_with(mirrors.objects.seen()),
            "catalogue": mirrors.catalogue,
            "catalogue_version": mirrors.objects.seen(),
            "ledger": *self.lock_ledger(),
        });
        responses::json(200, &dump)
    }

    fn report(&self) -> LoadReport {
        let in_force = self.mirrors.lock().objects.seen();
        self.report_with(in_force)
    }

    fn report_with(&self, in_force: u64) -> LoadReport {
        let ledger = self.lock_ledger();
        let status = self.lock_status();
        let counted = BackendLoad {
            slots: self.settings.slots,
            running: ledger.running() as u64,
            waiting: 0,
            software_version: None,
        };
        let load = status.load.clone().unwrap_or(counted);
        LoadReport {
            agent: Arc::clone(&self.id),
            service: Arc::clone(&self.settings.service),
            slots: load.slots,
            running: load.running,
            waiting: load.waiting,
            healthy: status.failures < UNHEALTHY_PROBE_FAILURES,
            leaving: ledger.leaving,
            in_force,
            software_version: load.software_version,
        }
    }

    fn handle_run(self: &Arc<Self>, call: &ReceivedRequest) -> Response {
        let command: RunCommand = match self.client.decode(call) {
            Ok(command) => command,
            Err(refusal) => return *refusal,
        };
        if let Err(code) =
            self.check_version(&command).and_then(|()| self.lock_ledger().admit(&command))
        {
            self.metrics.count_result(code);
            let request = Arc::clone(&command.request);
            let frame = RunFrame::Refused { request, code, retry_after: 1_000 };
            return responses::bytes(200, frames::encode_frame(&frame));
        }
        self.metrics.count_result(codetable::OK);
        self.metrics.in_flight.inc();
        let (writer, body) = pipes::make_pipe();
        smol::spawn(execution::run_command(Arc::clone(self), command, writer)).detach();
        responses::stream(200, body)
    }

    /// Refuses to continue a stream that another software version has begun.
    fn check_version(&self, command: &RunCommand) -> Result<(), ResultCode> {
        let status = self.lock_status();
        let version = status.load.as_ref().and_then(|load| load.software_version.as_ref());
        let fits = command.software_version.as_ref().is_none_or(|began| Some(began) == version);
        if fits { Ok(()) } else { Err(codetable::VERSION_GONE) }
    }

    async fn handle_query(&self, call: &ReceivedRequest) -> Response {
        let query: RunQuery = match self.client.decode(call) {
            Ok(query) => query,
            Err(refusal) => return *refusal,
        };
        let report = self.lock_ledger().query(&query);
        if report == toucanrail::messages::RunReport::Running && query.mode == QueryMode::Cancel {
            let call =
                OutboundRequest::get(format!("/engine/cancel/{}", query.run)).on_new_connection();
            // The task of the run sees the stream end and records the usage.
            self.pool.fetch(self.settings.backend, call, PROBE_TIMEOUT).await.ok();
        }
        responses::msgpack(&AgentReply { agent: Arc::clone(&self.id), fate: Some(report) })
    }

    /// Forwards a command to the model engine unless its fencing number is outdated.
    ///
    /// Guards against a command from a holder that was replaced while it was paused. Some engines
    /// accept any command, so the agent, through which all of them pass, refuses fencing numbers
    /// lower than the highest it has seen.
    async fn forward_engine_command(&self, call: &ReceivedRequest) -> Response {
        let command: EngineCommand = match self.client.decode(call) {
            Ok(command) => command,
            Err(refusal) => return *refusal,
        };
        {
            let mut status = self.lock_status();
            if command.fence < status.fence {
                return responses::error(&ErrorDetails::new(codetable::STALE_ORDER));
            }
            status.fence = command.fence;
        }
        let body = serde_json::json!({ "action": command.action, "subject": command.subject });
        let call = OutboundRequest::post("/engine/order", body.to_string().into_bytes())
            .field("engine-fence", command.fence.to_string());
        match self.pool.fetch(self.settings.backend, call, PROBE_TIMEOUT).await {
            Ok(response) if response.status == 200 => responses::msgpack(&true),
            Ok(_) => responses::error(&ErrorDetails::new(codetable::STALE_ORDER)),
            Err(_) => responses::error(&ErrorDetails::new(codetable::BACKEND_FAILED)),
        }
    }

    /// Probes the backend server periodically.
    async fn probe(self: Arc<Self>) {
        loop {
            self.probe_once().await;
            smol::Timer::after(PROBE_INTERVAL).await;
        }
    }

    async fn probe_once(&self) {
        let call = OutboundRequest::get(self.settings.probe_path.as_str());
        let response = self.pool.fetch(self.settings.backend, call, PROBE_TIMEOUT).await;
        let mut status = self.lock_status();
        let was_healthy = status.failures < UNHEALTHY_PROBE_FAILURES;
        match response {
            Ok(response) if response.status < 500 => {
                status.load =
                    serde_json::from_slice(&response.body).ok().filter(|_| response.status == 200);
                status.failures = 0;
            }
            _ => {
                status.failures += 1;
                self.pool.evict(self.settings.backend);
            }
        }
        let healthy = status.failures < UNHEALTHY_PROBE_FAILURES;
        if healthy != was_healthy {
            tracing::info!(healthy, backend = %self.settings.backend, "backend health changed");
        }
    }

    /// Keeps the catalogue up to date: from entries, or from the store if no entry answers.
    async fn sync_catalogue(self: Arc<Self>) {
        loop {
            let common = &self.settings.common;
            let entries = self.mirrors.sync_sources(&common.data_centre, &common.peers);
            if !self.mirrors.sync_from_entries(&self.client, None, &entries).await {
                self.mirrors.sync_from_store(&self.store).await;
            }
            self.metrics.in_force.set(self.mirrors.lock().objects.seen().cast_signed());
            smol::Timer::after(mirroring::PEER_SYNC_INTERVAL).await;
        }
    }

    /// Writes the registration, or ends it if `present` is false.
    async fn register(&self, present: bool) -> bool {
        let common = &self.settings.common;
        let node = NodeEntry {
            id: Arc::clone(&self.id),
            role: NodeRole::Agent,
            address: self.address,
            data_centre: Arc::clone(&common.data_centre),
            vm: Arc::clone(&common.vm),
            service: Some(Arc::clone(&self.settings.service)),
        };
        let value = if present { storecalls::encode_value(&node) } else { Vec::new() };
        registration::write_registration(&self.store, &self.id, value).await
    }

    /// Stops accepting work, waits until running requests have ended and are settled, then ends the
    /// registration.
    async fn drain(&self) {
        self.lock_ledger().leaving = true;
        tracing::info!(id = %self.id, "stopping");
        // The outcome of a command in transit to a process that ends would be unknown, so entries
        // are told before.
        smol::Timer::after(STOP_NOTICE).await;
        let start = Instant::now();
        while self.lock_ledger().running() > 0
            && start.elapsed() < self.settings.common.shutdown_grace
        {
            smol::Timer::after(STOP_CHECK_INTERVAL).await;
        }
        let settling = Instant::now();
        while self.lock_ledger().unsettled() > 0 && settling.elapsed() < SETTLE_TIMEOUT {
            smol::Timer::after(STOP_CHECK_INTERVAL).await;
        }
        self.register(false).await;
        tracing::info!(id = %self.id, left = self.lock_ledger().running(), "stopped");
    }
}

/// A running agent.
#[derive(Debug)]
pub struct AgentHandle {
    agent: Arc<Agent>,
    /// Address that it listens at.
    pub address: SocketAddr,
}

impl AgentHandle {
    /// Returns the id of the incarnation.
    pub fn id(&self) -> &AgentId {
        &self.agent.id
    }

    /// Stops the agent gracefully.
    pub async fn stop(self) {
        self.agent.drain().await;
    }
}

/// Starts an agent on the current executor.
pub fn start(settings: AgentSettings) -> io::Result<AgentHandle> {
    let listener = listeners::bind(&settings.common.listen)?;
    let address = listener.local_addr()?;
    let agent = Arc::new(Agent::new(settings, address)?);
    smol::spawn(serve(Arc::clone(&agent), listener)).detach();
    smol::spawn(Arc::clone(&agent).probe()).detach();
    smol::spawn(Arc::clone(&agent).sync_catalogue()).detach();
    let registering = Arc::clone(&agent);
    smol::spawn(async move {
        while !registering.register(true).await {
            smol::Timer::after(REGISTER_RETRY_INTERVAL).await;
        }
    })
    .detach();
    tracing::info!(id = %agent.id, %address, service = %agent.settings.service, "agent started");
    Ok(AgentHandle { agent, address })
}

async fn serve(agent: Arc<Agent>, listener: TcpListener) {
    let limits = ServerLimits { max_body: MAX_COMMAND_BYTES, ..ServerLimits::default() };
    let handler = move |call| Arc::clone(&agent).respond(call);
    listeners::serve(listener, limits, handler).await;
}
