//! One entry's tenure in one budget shard, as the entry tracks it.

#![deny(clippy::arithmetic_side_effects)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use crate::batches::BatchRoom;
use crate::budgets::{BillRow, BudgetShard};
use crate::ids::{AgentId, Epoch, RunId, Sequence, Version};
use crate::sync_plans::SyncPlan;

/// State of this entry's tenure in a shard.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ShardTenure {
    /// Epoch of the tenure; 0 if there is none.
    pub epoch: Epoch,
    /// The last sequence number known to be applied.
    pub applied: Sequence,
    /// The last sequence number whose runs all agents have dropped.
    pub acked: Sequence,
    /// Agents recorded in the shard as in use.
    pub agents: BTreeSet<AgentId>,
    /// Settled runs that agents have not dropped yet, by sequence number and agent.
    pub unacked: BTreeMap<Sequence, BTreeMap<AgentId, Vec<RunId>>>,
    /// Number of syncs that have seen the newest version of the shard.
    #[serde(rename = "looks")]
    pub confirmed_syncs: u64,
    /// The sync whose outcome is not yet known.
    #[serde(skip)]
    pub plan: Option<SyncPlan>,
    /// Cached copy of the shard, as last read or written.
    #[serde(skip)]
    pub cached: Option<(Version, BudgetShard)>,
    /// Unsettled bills of this entry's earlier tenures.
    pub late: Vec<BillRow>,
    /// Number of runs in flight by agent; an agent in use stays recorded in the shard.
    busy_agents: BTreeMap<AgentId, u64>,
    /// Processes that want loans of this tenure, and when each of them last requested one.
    #[serde(skip)]
    borrowers: BTreeMap<AgentId, Duration>,
}

impl ShardTenure {
    /// Creates the state without a tenure, with bills of earlier ones.
    pub fn with_late_bills(late: Vec<BillRow>) -> Self {
        Self { late, ..Self::default() }
    }

    /// Takes the late bills that fit into a sync and whose tenure is known to be closed.
    ///
    /// Until it is closed, its reclaim decides what is billed. A sync that opens a tenure carries
    /// no late bills, because after a lost reply it cannot be distinguished from one that never
    /// took effect.
    pub fn take_reclaimed_rows(&mut self, room: &mut BatchRoom) -> Vec<BillRow> {
        let closed = self.cached.as_ref().map(|(_, shard)| &shard.closed);
        let Some(closed) = closed.filter(|_| self.epoch != 0) else {
            return Vec::new();
        };
        let late = std::mem::take(&mut self.late);
        let (mut ready, rest) = late.into_iter().partition(|row| closed.contains_key(&row.epoch));
        let taken = room.take_rows(&mut ready);
        self.late = rest;
        self.late.extend(ready);
        taken
    }

    /// Records that a plan took effect.
    pub fn record_applied(&mut self, plan: &SyncPlan) {
        self.applied = plan.sequence;
        self.agents.clone_from(&plan.agents);
        let mut batch: BTreeMap<AgentId, Vec<RunId>> = BTreeMap::new();
        for billed in plan.rows.iter().flat_map(|row| &row.runs) {
            batch.entry(Arc::clone(&billed.agent)).or_default().push(Arc::clone(&billed.run));
        }
        if batch.is_empty() {
            if self.unacked.is_empty() {
                self.acked = self.applied;
            }
            return;
        }
        self.unacked.insert(plan.sequence, batch);
    }

    /// Records that a run of a hold is sent to an agent (`busy`), or has ended there.
    pub fn mark_agent(&mut self, agent: &AgentId, busy: bool) {
        let count = self.busy_agents.entry(Arc::clone(agent)).or_default();
        *count = if busy { count.saturating_add(1) } else { count.saturating_sub(1) };
        if *count == 0 {
            self.busy_agents.remove(agent);
        }
    }

    /// Records that a process requests a loan.
    pub fn want_borrower(&mut self, borrower: &AgentId, now: Duration) {
        self.borrowers.insert(Arc::clone(borrower), now);
    }

    /// Keeps the borrowers for which `is_kept` returns true, given when they last requested a loan.
    pub fn retain_borrowers<IsKept>(&mut self, is_kept: IsKept)
    where
        IsKept: Fn(&AgentId, Duration) -> bool,
    {
        self.borrowers.retain(|borrower, requested_at| is_kept(borrower, *requested_at));
    }

    /// Returns whether the tenure is open, no loan was requested after `since`, and no agent stores runs
    /// of it.
    pub fn is_unused(&self, since: Duration) -> bool {
        let is_open = self.epoch != 0 && self.plan.is_none();
        let is_kept =
            self.unacked.is_empty() && self.busy_agents.is_empty() && self.late.is_empty();
        is_open && is_kept && self.borrowers.values().all(|requested_at| *requested_at <= since)
    }

    /// Returns the agents that the shard must record: those with runs of this tenure, and those
    /// wanted.
    pub fn agents_in_use(&self, wanted: &BTreeSet<AgentId>) -> BTreeSet<AgentId> {
        let unacked = self.unacked.values().flat_map(BTreeMap::keys);
        let mut agents: BTreeSet<AgentId> = unacked.map(Arc::clone).collect();
        agents.extend(self.busy_agents.keys().map(Arc::clone));
        agents.extend(self.borrowers.keys().map(Arc::clone));
        agents.extend(wanted.iter().map(Arc::clone));
        agents
    }

    /// Records that an agent dropped runs, or, if `gone`, that its process ended with all its
    /// state.
    pub fn record_acked(&mut self, agent: &AgentId, dropped: &BTreeSet<RunId>, gone: bool) {
        for batch in self.unacked.values_mut() {
            if let Some(runs) = batch.get_mut(agent) {
                runs.retain(|run| !gone && !dropped.contains(run));
            }
            batch.retain(|_, runs| !runs.is_empty());
        }
        self.unacked.retain(|_, batch| !batch.is_empty());
        let oldest = self.unacked.keys().next().copied();
        self.acked = oldest.map_or(self.applied, |sequence| sequence.saturating_sub(1));
    }
}
