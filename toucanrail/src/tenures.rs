//! One shard of budgets at one entry: the tenure under which it holds grants there.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::Serialize;

use crate::budgets::{BillRow, BudgetShard};
use crate::ids::{AgentId, Epoch, RunId, Sequence, Version};
use crate::syncs::SyncPlan;

/// One shard at this entry.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ShardTenure {
    /// The tenure; 0 while there is none.
    pub epoch: Epoch,
    /// The last sequence known as applied.
    pub applied: Sequence,
    /// The last sequence whose rows all agents dropped.
    pub acked: Sequence,
    /// Agents written in the shard as in use.
    pub agents: BTreeSet<AgentId>,
    /// Runs settled and not yet dropped, by sequence and agent.
    pub unacked: BTreeMap<Sequence, BTreeMap<AgentId, Vec<RunId>>>,
    /// How often a sync has seen the newest version of the shard.
    pub looks: u64,
    /// The sync whose outcome is not known yet.
    #[serde(skip)]
    pub plan: Option<SyncPlan>,
    /// The shard as last seen.
    #[serde(skip)]
    pub cached: Option<(Version, BudgetShard)>,
    /// Bills of earlier tenures.
    pub late: Vec<BillRow>,
    /// Holds in flight by agent, so that an agent in use stays named in the shard.
    busy_agents: BTreeMap<AgentId, u64>,
}

impl ShardTenure {
    /// Makes what is left where there is no tenure any more: bills of earlier ones.
    pub fn with_late(late: Vec<BillRow>) -> Self {
        Self { late, ..Self::default() }
    }

    /// Returns the late bills whose tenure is known to be closed. Until it is, its reclaim decides
    /// what is billed; and a sync that opens a tenure carries none, since after a lost answer it
    /// could not be told from one that never took effect.
    pub fn take_reclaimed_rows(&mut self) -> Vec<BillRow> {
        let closed = self.cached.as_ref().map(|(_, shard)| &shard.closed);
        let Some(closed) = closed.filter(|_| self.epoch != 0) else {
            return Vec::new();
        };
        let late = std::mem::take(&mut self.late);
        let (ready, waiting) = late.into_iter().partition(|row| closed.contains_key(&row.epoch));
        self.late = waiting;
        ready
    }

    /// Notes that a plan took effect.
    pub fn note_applied(&mut self, plan: &SyncPlan) {
        self.applied = plan.sequence;
        self.agents.clone_from(&plan.agents);
        let mut batch: BTreeMap<AgentId, Vec<RunId>> = BTreeMap::new();
        for note in plan.rows.iter().flat_map(|row| &row.runs) {
            batch.entry(Arc::clone(&note.agent)).or_default().push(Arc::clone(&note.run));
        }
        if batch.is_empty() {
            if self.unacked.is_empty() {
                self.acked = self.applied;
            }
            return;
        }
        self.unacked.insert(plan.sequence, batch);
    }

    /// Notes that a hold's order goes to an agent, or has ended there.
    pub fn mark_agent(&mut self, agent: &AgentId, busy: bool) {
        let count = self.busy_agents.entry(Arc::clone(agent)).or_default();
        *count = if busy { *count + 1 } else { count.saturating_sub(1) };
        if *count == 0 {
            self.busy_agents.remove(agent);
        }
    }

    /// Returns the agents that the shard must name: those with runs here, and those wanted.
    pub fn agents_in_use(&self, wanted: &BTreeSet<AgentId>) -> BTreeSet<AgentId> {
        let unacked = self.unacked.values().flat_map(BTreeMap::keys);
        let mut agents: BTreeSet<AgentId> = unacked.map(Arc::clone).collect();
        agents.extend(self.busy_agents.keys().map(Arc::clone));
        agents.extend(wanted.iter().map(Arc::clone));
        agents
    }

    /// Notes that an agent dropped runs, or that its incarnation is gone with all it knew.
    pub fn record_acked(&mut self, agent: &AgentId, dropped: &BTreeSet<RunId>, gone: bool) {
        for batch in self.unacked.values_mut() {
            if let Some(runs) = batch.get_mut(agent) {
                runs.retain(|run| !gone && !dropped.contains(run));
            }
            batch.retain(|_, runs| !runs.is_empty());
        }
        self.unacked.retain(|_, batch| !batch.is_empty());
        let oldest = self.unacked.keys().next().copied();
        self.acked = oldest.map_or(self.applied, |sequence| sequence - 1);
    }
}
