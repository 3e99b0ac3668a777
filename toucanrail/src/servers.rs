//! Table of the backend servers and their agents, as seen by one entry.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::ejections::EjectionState;
use crate::ids::{AgentId, DataCentre, EntryId, ServiceName, SoftwareVersion, VmId};
use crate::messages::LoadReport;

/// Time without a report after which an agent's server gets no new work.
pub const AGENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of servers of one service that an entry uses; limits the reports it requests and
/// the agents that a reclaim must reach.
const MAX_SERVERS: usize = 32;
/// Age at which half of the load from other entries is assumed to have ended.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(2);
/// Smoothing weight of a new latency.
const LATENCY_WEIGHT: f64 = 0.1;

/// A process's registration in the platform's object API.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeEntry {
    /// Incarnation id of the process.
    pub id: Arc<str>,
    /// Role of the process.
    pub role: NodeRole,
    /// Address at which other processes reach it.
    pub address: SocketAddr,
    /// Data centre of the process.
    pub data_centre: DataCentre,
    /// VM of the process.
    pub vm: VmId,
    /// Service that an agent serves.
    pub service: Option<ServiceName>,
}

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NodeRole {
    /// Accepts the callers' requests.
    Entry,
    /// Runs beside a backend server.
    Agent,
}

/// One backend server and its agent.
#[derive(Debug, Clone, Serialize)]
pub struct ServerRow {
    /// Incarnation id of the agent.
    pub agent: AgentId,
    /// Address of the agent.
    pub address: SocketAddr,
    /// Service of the server.
    pub service: ServiceName,
    /// Data centre of the server.
    pub data_centre: DataCentre,
    /// VM of the server.
    pub vm: VmId,
    /// Number of requests that the server runs concurrently, as reported.
    pub slots: u64,
    /// This entry's requests in flight at the server.
    pub own: u64,
    /// Requests in flight in the latest report, including this entry's.
    pub reported: u64,
    /// Other entries' requests in flight in the latest report.
    pub others: f64,
    /// When the latest report was requested.
    pub reported_at: Duration,
    /// When the agent was last heard from, if ever.
    pub heard_at: Option<Duration>,
    /// Whether the backend server responds to its agent.
    pub healthy: bool,
    /// Whether the server is leaving, according to its agent or the VM list.
    pub leaving: bool,
    /// Smoothed time to first token, in seconds.
    pub first_token: f64,
    /// Failures and ejections of the server.
    pub ejection: EjectionState,
    /// Catalogue version in effect at the agent.
    pub in_force: u64,
    /// Version of the server's software in the latest report, if it is known.
    pub software_version: Option<SoftwareVersion>,
}

impl ServerRow {
    /// Returns the estimated requests in flight: this entry's own, which are known exactly, plus
    /// the others', which are discounted by the age of the report.
    pub fn load(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        let remaining = (-age / REPORT_HALF_LIFE.as_secs_f64()).exp2();
        self.own as f64 + self.others * remaining
    }

    /// Returns whether the server may get new work.
    pub fn accepts_work(&self, now: Duration) -> bool {
        let silent =
            self.heard_at.is_none_or(|heard_at| now.saturating_sub(heard_at) > AGENT_TIMEOUT);
        !silent && !self.leaving && self.healthy && !self.ejection.is_ejected(now)
    }
}

/// All backend servers known to an entry.
#[derive(Debug, Default, Serialize)]
pub struct ServerTable {
    rows: BTreeMap<AgentId, ServerRow>,
    /// Next index of the round-robin policy.
    #[serde(skip)]
    pub next_index: usize,
}

impl ServerTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the registered agents: adds new servers, and removes those no longer registered
    /// once this entry has no request in flight there.
    pub fn apply_nodes<'nodes, Nodes>(&mut self, nodes: Nodes)
    where
        Nodes: Iterator<Item = &'nodes NodeEntry>,
    {
        let mut known = BTreeSet::new();
        for node in nodes.filter(|node| node.role == NodeRole::Agent) {
            let Some(service) = &node.service else {
                continue;
            };
            known.insert(Arc::clone(&node.id));
            if !self.rows.contains_key(&node.id) {
                self.rows.insert(Arc::clone(&node.id), new_row(node, service));
            }
        }
        self.rows.retain(|agent, row| known.contains(agent) || row.own > 0);
    }

    /// Processes a load report that was requested at `requested_at`, when `own` requests of this
    /// entry were in flight. The report also serves as the agent's heartbeat.
    pub fn apply_report(
        &mut self,
        report: &LoadReport,
        own: u64,
        requested_at: Duration,
        now: Duration,
    ) {
        let Some(row) = self.rows.get_mut(&report.agent) else {
            return;
        };
        row.heard_at = Some(now);
        row.reported_at = requested_at;
        row.slots = report.slots.max(1);
        row.reported = report.running + report.waiting;
        row.others = row.reported.saturating_sub(own) as f64;
        row.healthy = report.healthy;
        row.leaving |= report.leaving;
        row.in_force = report.in_force;
        row.software_version.clone_from(&report.software_version);
    }

    /// Marks the servers on VMs that the VM list shows as leaving.
    pub fn mark_leaving_vms(&mut self, leaving: &BTreeSet<VmId>) {
        for row in self.rows.values_mut() {
            row.leaving |= leaving.contains(&row.vm);
        }
    }

    /// Records that an agent announced that it is leaving.
    pub fn record_leaving(&mut self, agent: &AgentId) {
        if let Some(row) = self.rows.get_mut(agent) {
            row.leaving = true;
        }
    }

    /// Records a request that was sent.
    pub fn record_sent(&mut self, agent: &AgentId) {
        if let Some(row) = self.rows.get_mut(agent) {
            row.own += 1;
        }
    }

    /// Records the end of a request.
    pub fn record_ended(&mut self, agent: &AgentId) {
        if let Some(row) = self.rows.get_mut(agent) {
            row.own = row.own.saturating_sub(1);
        }
    }

    /// Records the first token of a response, which arrived after `wait`.
    pub fn record_first_token(&mut self, agent: &AgentId, wait: Duration, now: Duration) {
        if let Some(row) = self.rows.get_mut(agent) {
            let wait = wait.as_secs_f64();
            let known = row.first_token > 0.0;
            let weight = if known { LATENCY_WEIGHT } else { 1.0 };
            row.first_token += (wait - row.first_token) * weight;
            row.heard_at = Some(now);
            row.ejection.record_success(now);
        }
    }

    /// Records a failed attempt; enough consecutive failures eject the server for a while.
    pub fn record_failure(&mut self, agent: &AgentId, now: Duration) {
        if let Some(row) = self.rows.get_mut(agent) {
            row.ejection.record_failure(now);
        }
    }

    /// Returns one server.
    pub fn get(&self, agent: &AgentId) -> Option<&ServerRow> {
        self.rows.get(agent)
    }

    /// Returns all servers.
    pub fn rows(&self) -> impl Iterator<Item = &ServerRow> {
        self.rows.values()
    }

    /// Returns the servers of a service that may take this request; `random` in `0..1` decides
    /// whether servers returning from an ejection are included.
    pub fn eligible<'table>(
        &'table self,
        service: &ServiceName,
        usable: &BTreeSet<AgentId>,
        tried: &BTreeSet<AgentId>,
        now: Duration,
        random: f64,
    ) -> Vec<&'table ServerRow> {
        let matches = |row: &&ServerRow| {
            row.service == *service
                && usable.contains(&row.agent)
                && !tried.contains(&row.agent)
                && row.accepts_work(now)
        };
        let rows: Vec<&ServerRow> = self.rows.values().filter(matches).collect();
        let ramped: Vec<&ServerRow> =
            rows.iter().copied().filter(|row| row.ejection.passes_ramp(now, random)).collect();
        if ramped.is_empty() { rows } else { ramped }
    }

    /// Returns the number of slots and the estimated load of a service's working servers.
    pub fn capacity(&self, service: &ServiceName, now: Duration) -> (u64, f64) {
        let working = self.rows.values().filter(|row| row.service == *service);
        let working = working.filter(|row| row.accepts_work(now));
        working.fold((0, 0.0), |(slots, load), row| (slots + row.slots, load + row.load(now)))
    }

    /// Returns the agents that an entry uses: for each service, those with the highest rendezvous
    /// rank for the entry, without servers that are leaving. In a small fleet these are all agents.
    pub fn choose_agents(&self, entry: &EntryId) -> BTreeSet<AgentId> {
        let seed = xxh3::xxh3_64(entry.as_bytes());
        let mut staying: Vec<&ServerRow> = self.rows.values().filter(|row| !row.leaving).collect();
        staying.sort_by_cached_key(|row| xxh3::xxh3_64_with_seed(row.agent.as_bytes(), seed));
        let mut counts: BTreeMap<&ServiceName, usize> = BTreeMap::new();
        let chosen = staying.into_iter().filter(|row| {
            let count = counts.entry(&row.service).or_default();
            *count += 1;
            *count <= MAX_SERVERS
        });
        chosen.map(|row| Arc::clone(&row.agent)).collect()
    }
}

fn new_row(node: &NodeEntry, service: &ServiceName) -> ServerRow {
    ServerRow {
        agent: Arc::clone(&node.id),
        address: node.address,
        service: Arc::clone(service),
        data_centre: Arc::clone(&node.data_centre),
        vm: Arc::clone(&node.vm),
        slots: 1,
        own: 0,
        reported: 0,
        others: 0.0,
        reported_at: Duration::ZERO,
        heard_at: None,
        healthy: true,
        leaving: false,
        first_token: 0.0,
        ejection: EjectionState::default(),
        in_force: 0,
        software_version: None,
    }
}
