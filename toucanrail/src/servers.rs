//! The table of backend servers as one entry sees them, and the systems that keep it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::ejections::EjectionState;
use crate::ids::{AgentId, DataCentre, EntryId, ServiceName, VmId};
use crate::messages::LoadReport;

/// Silence of an agent after which its server gets no new work.
pub const AGENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Servers of one service that an entry uses; bounds the reports it asks for and the agents that a
/// reclaim must reach.
const FAN_OUT: usize = 32;
/// Age at which half of the load that others put on a server is taken as gone.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(2);
/// Weight of a new latency in the smoothed one.
const LATENCY_WEIGHT: f64 = 0.1;

/// A process's registration in the platform's object API.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeEntry {
    /// The process's incarnation.
    pub id: Arc<str>,
    /// What it does.
    pub role: NodeRole,
    /// Where other processes reach it.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its VM.
    pub vm: VmId,
    /// The service an agent serves.
    pub service: Option<ServiceName>,
}

/// What a process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NodeRole {
    /// Takes callers' requests.
    Entry,
    /// Stands beside a backend server.
    Agent,
}

/// One backend server, with the agent that leads to it.
#[derive(Debug, Clone, Serialize)]
pub struct ServerRow {
    /// The agent's incarnation.
    pub agent: AgentId,
    /// The agent's address.
    pub address: SocketAddr,
    /// The service.
    pub service: ServiceName,
    /// The data centre.
    pub data_centre: DataCentre,
    /// The VM.
    pub vm: VmId,
    /// Requests it runs at once, as reported.
    pub slots: u64,
    /// This entry's requests in flight there.
    pub own: u64,
    /// Requests in flight there as last reported, this entry's among them.
    pub reported: u64,
    /// Others' requests in flight, as last reported.
    pub others: f64,
    /// When the last report was asked for.
    pub reported_at: Duration,
    /// When the agent was last heard of, if ever.
    pub heard_at: Option<Duration>,
    /// Whether its backend server answers.
    pub healthy: bool,
    /// Whether it leaves, by its own word or the VM list's.
    pub leaving: bool,
    /// Smoothed time to the first token, in seconds.
    pub first_token: f64,
    /// What its failures led to.
    pub ejection: EjectionState,
    /// The catalogue's version in force there.
    pub in_force: u64,
}

impl ServerRow {
    /// Returns the requests estimated in flight: this entry's own, known exactly, and the others',
    /// which a lagging report tells less the older it is.
    pub fn load(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        let faded = (-age / REPORT_HALF_LIFE.as_secs_f64()).exp2();
        self.own as f64 + self.others * faded
    }

    /// Tells whether new work may go there.
    pub fn accepts_work(&self, now: Duration) -> bool {
        let silent = self.heard_at.is_none_or(|at| now.saturating_sub(at) > AGENT_TIMEOUT);
        !silent && !self.leaving && self.healthy && !self.ejection.is_ejected(now)
    }
}

/// All backend servers.
#[derive(Debug, Default, Serialize)]
pub struct ServerTable {
    rows: BTreeMap<AgentId, ServerRow>,
    /// Next place of the round-robin policy.
    #[serde(skip)]
    pub next_index: usize,
}

impl ServerTable {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the registrations of agents: adds the new, drops the removed.
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

    /// Takes a load report that was asked for at `asked`, when `own` requests of this entry were
    /// in flight; it is also the agent's heartbeat.
    pub fn apply_report(&mut self, report: &LoadReport, own: u64, asked: Duration, now: Duration) {
        let Some(row) = self.rows.get_mut(&report.agent) else {
            return;
        };
        row.heard_at = Some(now);
        row.reported_at = asked;
        row.slots = report.slots.max(1);
        row.reported = report.running + report.waiting;
        row.others = row.reported.saturating_sub(own) as f64;
        row.healthy = report.healthy;
        row.leaving |= report.leaving;
        row.in_force = report.in_force;
    }

    /// Takes the VM list's word that VMs are leaving.
    pub fn mark_leaving_vms(&mut self, leaving: &BTreeSet<VmId>) {
        for row in self.rows.values_mut() {
            row.leaving |= leaving.contains(&row.vm);
        }
    }

    /// Notes that an agent said it is leaving.
    pub fn note_leaving(&mut self, agent: &AgentId) {
        if let Some(row) = self.rows.get_mut(agent) {
            row.leaving = true;
        }
    }

    /// Notes a request sent.
    pub fn note_sent(&mut self, agent: &AgentId) {
        if let Some(row) = self.rows.get_mut(agent) {
            row.own += 1;
        }
    }

    /// Notes a request ended.
    pub fn note_ended(&mut self, agent: &AgentId) {
        if let Some(row) = self.rows.get_mut(agent) {
            row.own = row.own.saturating_sub(1);
        }
    }

    /// Notes the first token of an answer after `wait`.
    pub fn note_first_token(&mut self, agent: &AgentId, wait: Duration, now: Duration) {
        if let Some(row) = self.rows.get_mut(agent) {
            let wait = wait.as_secs_f64();
            let known = row.first_token > 0.0;
            let weight = if known { LATENCY_WEIGHT } else { 1.0 };
            row.first_token += (wait - row.first_token) * weight;
            row.heard_at = Some(now);
            row.ejection.note_success(now);
        }
    }

    /// Notes a failed try; enough in a row eject the server for a while.
    pub fn note_failure(&mut self, agent: &AgentId, now: Duration) {
        if let Some(row) = self.rows.get_mut(agent) {
            row.ejection.note_failure(now);
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

    /// Returns the servers of a service that take this request.
    pub fn eligible<'table>(
        &'table self,
        service: &ServiceName,
        usable: &BTreeSet<AgentId>,
        tried: &BTreeSet<AgentId>,
        now: Duration,
        random: f64,
    ) -> Vec<&'table ServerRow> {
        let fits = |row: &&ServerRow| {
            row.service == *service
                && usable.contains(&row.agent)
                && !tried.contains(&row.agent)
                && row.accepts_work(now)
        };
        let rows: Vec<&ServerRow> = self.rows.values().filter(fits).collect();
        let ramped: Vec<&ServerRow> =
            rows.iter().copied().filter(|row| row.ejection.passes_ramp(now, random)).collect();
        if ramped.is_empty() { rows } else { ramped }
    }

    /// Returns the slots and the estimated load of a service's working servers.
    pub fn capacity(&self, service: &ServiceName, now: Duration) -> (u64, f64) {
        let working = self.rows.values().filter(|row| row.service == *service);
        let working = working.filter(|row| row.accepts_work(now));
        working.fold((0, 0.0), |(slots, load), row| (slots + row.slots, load + row.load(now)))
    }

    /// Returns the agents that an entry uses: of each service, those of the highest rendezvous rank
    /// for it among the servers that stay. In a small fleet these are all.
    pub fn choose_agents(&self, entry: &EntryId) -> BTreeSet<AgentId> {
        let seed = xxh3::xxh3_64(entry.as_bytes());
        let mut staying: Vec<&ServerRow> = self.rows.values().filter(|row| !row.leaving).collect();
        staying.sort_by_cached_key(|row| xxh3::xxh3_64_with_seed(row.agent.as_bytes(), seed));
        let mut counts: BTreeMap<&ServiceName, usize> = BTreeMap::new();
        let chosen = staying.into_iter().filter(|row| {
            let count = counts.entry(&row.service).or_default();
            *count += 1;
            *count <= FAN_OUT
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
    }
}
