//! State machine that reclaims the grants of a dead holder.
//!
//! It revokes the tenure in the shard, has every agent that may have served the holder fence the
//! epoch and report its usage, settles that usage, and returns the tokens that are provably
//! unspent. Safety does not depend on clocks: the agents and the shard reject the epoch of a holder
//! that resumes after its tenure was revoked.

#![deny(clippy::arithmetic_side_effects)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::budgets::BilledRun;
use crate::budgets::{BillBatch, BillRow, BudgetShard, ClosedTenure, HolderRow, HolderState};
use crate::ids::{
    AgentId, CustomerId, EntryId, Epoch, RequestId, RunId, Sequence, ShardName, Tokens, Version,
};
use crate::messages::{FenceReply, UsageRow};
use crate::paths;
use crate::storecalls::{self, ObjectPath, StoreCall, StoreReply, WriteExpectation};
use crate::token_counts;

/// Number of conflicting writes after which the reclaim is abandoned.
const CONFLICT_LIMIT: u32 = 24;

/// A call that the driver of the machine has to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReclaimCall {
    /// A call to the object API.
    Store(StoreCall),
    /// Fence an epoch at an agent.
    Fence {
        /// The agent.
        agent: AgentId,
        /// The shard.
        shard: ShardName,
        /// The tenure.
        epoch: Epoch,
    },
}

/// The result of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReclaimReply {
    /// The reply of the object API.
    Store(StoreReply),
    /// The agent has fenced the epoch and reports its usage.
    Fenced(FenceReply),
    /// This incarnation of the agent has provably ended, and its ledger is lost.
    Gone,
    /// The agent did not reply; it may still serve the holder.
    Unreachable,
}

/// The outcome of a reclaim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReclaimOutcome {
    /// The tenure is closed.
    Closed {
        /// Whether all usage is proven; if not, the unsettled rest of the grants is frozen.
        proved: bool,
        /// Number of bills settled for the dead holder.
        bills: usize,
        /// Tokens that returned to the accounts.
        released: Tokens,
        /// Tokens that were frozen, besides what the bills froze.
        frozen: Tokens,
        /// The settled attempts that each agent may drop.
        runs: BTreeMap<AgentId, Vec<RunId>>,
    },
    /// An agent is unreachable or still runs attempts of the tenure; retry later.
    Waiting,
    /// Like [`Self::Waiting`], but what no attempt can use any more has returned to the accounts.
    Reduced {
        /// Tokens that returned.
        released: Tokens,
    },
    /// There is nothing to reclaim, or another entry is reclaiming it.
    NotNeeded,
    /// The object API was unavailable or the shard was too contended; retry later.
    Unavailable,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReclaimStage {
    ReadShard,
    Revoke,
    Fence,
    Reduce,
    ReadBills,
    ReadArchives,
    WriteBill,
    ReadBill,
    WriteShard,
    Done,
}

/// State machine of one reclaim.
#[derive(Debug)]
pub struct ReclaimMachine {
    shard_name: ShardName,
    dead: EntryId,
    reclaimer: EntryId,
    takeover: bool,
    stage: ReclaimStage,
    version: Version,
    shard: BudgetShard,
    /// The shard as the pending write leaves it.
    new_shard: BudgetShard,
    holder_row: Option<HolderRow>,
    /// Agents still to be fenced; the last one is next.
    agents: Vec<AgentId>,
    /// Ended attempts that the fenced agents have reported.
    reports: BTreeMap<AgentId, Vec<UsageRow>>,
    /// Whether an agent has ended without reporting its usage.
    ledger_lost: bool,
    /// Whether an agent still runs attempts of the tenure.
    running: bool,
    /// Tokens that attempts which still run may use, by customer; `None` if an agent does not know it.
    held: Option<BTreeMap<CustomerId, Tokens>>,
    /// Tokens that the pending write of the shard returns to the accounts or freezes.
    released: Tokens,
    frozen: Tokens,
    /// Settlement batches still to be read; the last one is next.
    sequences: Vec<Sequence>,
    batches: Vec<BillBatch>,
    /// Archive buckets still to be read; the last one is next.
    archives: Vec<ObjectPath>,
    archived: BTreeSet<RequestId>,
    /// Bills that the reclaim settles.
    bills: Vec<BillRow>,
    bill_version: Option<Version>,
    conflicts: u32,
    /// The object that ended the reclaim because it cannot be decoded.
    unreadable: Option<ObjectPath>,
    outcome: Option<ReclaimOutcome>,
}

impl ReclaimMachine {
    /// Creates a machine with which the entry `reclaimer` reclaims the tenure of `dead`.
    ///
    /// With `takeover`, it also continues a reclaim that another entry has started and not
    /// finished.
    pub fn new(shard: ShardName, dead: EntryId, reclaimer: EntryId, takeover: bool) -> Self {
        Self {
            shard_name: shard,
            dead,
            reclaimer,
            takeover,
            stage: ReclaimStage::ReadShard,
            version: 0,
            shard: BudgetShard::default(),
            new_shard: BudgetShard::default(),
            holder_row: None,
            agents: Vec::new(),
            reports: BTreeMap::new(),
            ledger_lost: false,
            running: false,
            held: Some(BTreeMap::new()),
            released: 0,
            frozen: 0,
            sequences: Vec::new(),
            batches: Vec::new(),
            archives: Vec::new(),
            archived: BTreeSet::new(),
            bills: Vec::new(),
            bill_version: None,
            conflicts: 0,
            unreadable: None,
            outcome: None,
        }
    }

    /// Returns the object that ended the reclaim because it cannot be decoded. The reclaim can only
    /// go on when an operator has restored it.
    pub fn unreadable(&self) -> Option<&ObjectPath> {
        self.unreadable.as_ref()
    }

    /// Returns the outcome; [`ReclaimOutcome::Unavailable`] if the machine has not finished.
    pub fn into_outcome(self) -> ReclaimOutcome {
        self.outcome.unwrap_or(ReclaimOutcome::Unavailable)
    }

    /// Returns the next call, or `None` once the machine has finished.
    pub fn next_call(&self) -> Option<ReclaimCall> {
        let shard_path = paths::budget_path(&self.shard_name);
        let epoch = self.epoch();
        let call = match self.stage {
            ReclaimStage::Done => return None,
            ReclaimStage::Fence => {
                return self.agents.last().map(|agent| ReclaimCall::Fence {
                    agent: Arc::clone(agent),
                    shard: Arc::clone(&self.shard_name),
                    epoch,
                });
            }
            ReclaimStage::ReadShard => StoreCall::Get { path: shard_path },
            ReclaimStage::Revoke | ReclaimStage::Reduce | ReclaimStage::WriteShard => {
                StoreCall::Put {
                    path: shard_path,
                    expect: WriteExpectation::At(self.version),
                    value: storecalls::encode_value(&self.new_shard),
                }
            }
            ReclaimStage::ReadBills => StoreCall::Get {
                path: paths::bill_path(&self.shard_name, epoch, *self.sequences.last()?),
            },
            ReclaimStage::ReadArchives => {
                StoreCall::Get { path: Arc::clone(self.archives.last()?) }
            }
            ReclaimStage::ReadBill => StoreCall::Get {
                path: paths::reclaim_path(&self.shard_name, epoch, &self.reclaimer),
            },
            ReclaimStage::WriteBill => StoreCall::Put {
                path: paths::reclaim_path(&self.shard_name, epoch, &self.reclaimer),
                expect: self.bill_version.map_or(WriteExpectation::Absent, WriteExpectation::At),
                value: self.encode_bill(),
            },
        };
        Some(ReclaimCall::Store(call))
    }

    /// Handles the reply to the last call.
    pub fn handle_reply(&mut self, reply: ReclaimReply) {
        match (self.stage, reply) {
            (_, ReclaimReply::Store(StoreReply::Unavailable)) => {
                self.end(ReclaimOutcome::Unavailable);
            }
            (ReclaimStage::ReadShard, ReclaimReply::Store(reply)) => self.handle_shard(reply),
            (ReclaimStage::Revoke, ReclaimReply::Store(reply)) => self.handle_revoke_write(&reply),
            (ReclaimStage::Fence, reply) => self.handle_fence(reply),
            (ReclaimStage::Reduce, ReclaimReply::Store(reply)) => self.handle_reduce_write(&reply),
            (ReclaimStage::ReadBills, ReclaimReply::Store(reply)) => self.handle_batch(reply),
            (ReclaimStage::ReadArchives, ReclaimReply::Store(reply)) => self.handle_archive(reply),
            (ReclaimStage::WriteBill, ReclaimReply::Store(reply)) => self.handle_bill_write(&reply),
            (ReclaimStage::ReadBill, ReclaimReply::Store(reply)) => self.handle_own_bill(&reply),
            (ReclaimStage::WriteShard, ReclaimReply::Store(reply)) => {
                self.handle_shard_write(&reply);
            }
            _ => self.end(ReclaimOutcome::Unavailable),
        }
    }

    fn epoch(&self) -> Epoch {
        self.holder_row.as_ref().map_or(0, |row| row.epoch)
    }

    fn end(&mut self, outcome: ReclaimOutcome) {
        self.stage = ReclaimStage::Done;
        self.outcome = Some(outcome);
    }

    fn end_unreadable(&mut self, path: ObjectPath) {
        self.unreadable = Some(path);
        self.end(ReclaimOutcome::Unavailable);
    }

    fn handle_shard(&mut self, reply: StoreReply) {
        let StoreReply::Found { version, value } = reply else {
            return self.end(ReclaimOutcome::NotNeeded);
        };
        let Some(shard) = storecalls::decode_value::<BudgetShard>(&value) else {
            return self.end_unreadable(paths::budget_path(&self.shard_name));
        };
        let Some(row) = shard.holders.get(&self.dead).cloned() else {
            return self.end(ReclaimOutcome::NotNeeded);
        };
        self.version = version;
        self.shard = shard;
        match &row.state {
            HolderState::Revoked { by } if *by == self.reclaimer => self.start_fencing(row),
            HolderState::Revoked { .. } if !self.takeover => self.end(ReclaimOutcome::NotNeeded),
            _ => self.start_revoke(row),
        }
    }

    fn start_revoke(&mut self, row: HolderRow) {
        let mut shard = self.shard.clone();
        if let Some(holder) = shard.holders.get_mut(&self.dead) {
            holder.state = HolderState::Revoked { by: Arc::clone(&self.reclaimer) };
        }
        self.holder_row = Some(row);
        self.new_shard = shard;
        self.stage = ReclaimStage::Revoke;
    }

    fn handle_revoke_write(&mut self, reply: &StoreReply) {
        let StoreReply::Written { version } = reply else {
            return self.handle_conflict();
        };
        self.version = *version;
        self.shard = std::mem::take(&mut self.new_shard);
        match self.holder_row.take() {
            Some(row) => self.start_fencing(row),
            None => self.end(ReclaimOutcome::NotNeeded),
        }
    }

    /// Restarts the reclaim from reading the shard, up to the conflict limit.
    fn handle_conflict(&mut self) {
        self.conflicts = self.conflicts.saturating_add(1);
        self.stage = ReclaimStage::ReadShard;
        if self.conflicts > CONFLICT_LIMIT {
            self.end(ReclaimOutcome::Unavailable);
        }
    }

    fn start_fencing(&mut self, row: HolderRow) {
        self.agents = row.agents.iter().map(Arc::clone).collect();
        self.holder_row = Some(row);
        self.reports.clear();
        self.ledger_lost = false;
        self.running = false;
        self.held = Some(BTreeMap::new());
        self.stage = ReclaimStage::Fence;
        if self.agents.is_empty() {
            self.start_reading_bills();
        }
    }

    fn handle_fence(&mut self, reply: ReclaimReply) {
        let Some(agent) = self.agents.pop() else {
            return;
        };
        match reply {
            ReclaimReply::Fenced(reply) if reply.agent == agent => {
                self.running |= reply.running > 0;
                self.held = add_held(self.held.take(), reply.held);
                self.reports.insert(agent, reply.rows);
            }
            // Another incarnation replied, so the one that served the holder has ended.
            ReclaimReply::Fenced(_) | ReclaimReply::Gone => self.ledger_lost = true,
            _ => return self.end(ReclaimOutcome::Waiting),
        }
        if !self.agents.is_empty() {
            return;
        }
        if self.running {
            self.start_reducing();
        } else {
            self.start_reading_bills();
        }
    }

    /// Returns the part of the grants that no attempt can use any more to the accounts, while some
    /// attempts of the fenced tenure still run. If one of its agents ends before them, less is frozen.
    fn start_reducing(&mut self) {
        let Some(mut needed) = self.held.take().filter(|_| !self.ledger_lost) else {
            return self.end(ReclaimOutcome::Waiting);
        };
        for row in self.reports.values().flatten() {
            let sum = needed.entry(Arc::clone(&row.customer)).or_default();
            *sum = token_counts::sum([*sum, row.used, row.unproved]);
        }
        let mut shard = self.shard.clone();
        self.released = shard.reduce_grants(&self.dead, &needed);
        if self.released == 0 {
            return self.end(ReclaimOutcome::Waiting);
        }
        self.new_shard = shard;
        self.stage = ReclaimStage::Reduce;
    }

    fn handle_reduce_write(&mut self, reply: &StoreReply) {
        if matches!(reply, StoreReply::Written { .. }) {
            self.end(ReclaimOutcome::Reduced { released: self.released });
        } else {
            self.handle_conflict();
        }
    }

    /// Reads the batches that the holder applied but agents may still list, and the one after them,
    /// which the holder may have written without applying it to the shard.
    fn start_reading_bills(&mut self) {
        let Some(row) = &self.holder_row else {
            return self.end(ReclaimOutcome::NotNeeded);
        };
        self.sequences = (row.acked.saturating_add(1)..=row.settled.saturating_add(1)).collect();
        self.batches.clear();
        self.stage = ReclaimStage::ReadBills;
    }

    fn handle_batch(&mut self, reply: StoreReply) {
        let sequence = self.sequences.pop();
        if let (Some(sequence), StoreReply::Found { value, .. }) = (sequence, reply) {
            let Some(batch) = storecalls::decode_value(&value) else {
                let path = paths::bill_path(&self.shard_name, self.epoch(), sequence);
                return self.end_unreadable(path);
            };
            self.batches.push(batch);
        }
        if self.sequences.is_empty() {
            self.merge_bills();
        }
    }

    /// Collects the bills of the batches that were not applied, and builds bills for the reported
    /// attempts that no batch contains.
    fn merge_bills(&mut self) {
        let settled = self.holder_row.as_ref().map_or(0, |row| row.settled);
        let billed: BTreeSet<&RunId> = self
            .batches
            .iter()
            .flat_map(|batch| &batch.rows)
            .flat_map(|row| &row.runs)
            .map(|note| &note.run)
            .collect();
        let pending = self.batches.iter().filter(|batch| batch.sequence > settled);
        let mut bills: Vec<BillRow> = pending.flat_map(|batch| batch.rows.clone()).collect();
        let mut unbilled: BTreeMap<&RequestId, Vec<(&AgentId, &UsageRow)>> = BTreeMap::new();
        for (agent, rows) in &self.reports {
            for row in rows.iter().filter(|row| !billed.contains(&row.run)) {
                unbilled.entry(&row.request).or_default().push((agent, row));
            }
        }
        let epoch = self.epoch();
        bills.extend(unbilled.values().filter_map(|rows| build_bill(rows, epoch)));
        self.bills = bills;
        self.start_reading_archives();
    }

    fn start_reading_archives(&mut self) {
        let has_archive = |row: &&BillRow| {
            let account = self.shard.accounts.get(&row.customer);
            row.keyed && account.is_some_and(|account| account.archived)
        };
        let buckets: BTreeSet<ObjectPath> = self
            .bills
            .iter()
            .filter(has_archive)
            .map(|row| paths::archive_path(&self.shard_name, &row.request))
            .collect();
        self.archives = buckets.into_iter().collect();
        self.stage = ReclaimStage::ReadArchives;
        if self.archives.is_empty() {
            self.start_writing();
        }
    }

    fn handle_archive(&mut self, reply: StoreReply) {
        let path = self.archives.pop();
        if let (Some(path), StoreReply::Found { value, .. }) = (path, reply) {
            let Some(keys) = storecalls::decode_value::<BTreeSet<RequestId>>(&value) else {
                return self.end_unreadable(path);
            };
            self.archived.extend(keys);
        }
        if self.archives.is_empty() {
            self.start_writing();
        }
    }

    fn start_writing(&mut self) {
        let Some(row) = self.holder_row.clone() else {
            return self.end(ReclaimOutcome::NotNeeded);
        };
        self.shard.write_off_duplicates(&mut self.bills, &self.archived);
        let mut shard = self.shard.clone();
        shard.settle_rows(&self.dead, row.epoch, &self.bills);
        let left = shard.close_tenure(&self.dead, !self.ledger_lost);
        (self.released, self.frozen) = if self.ledger_lost { (0, left) } else { (left, 0) };
        let closed = ClosedTenure { settled: row.settled, by: Arc::clone(&self.reclaimer) };
        shard.closed.insert(row.epoch, closed);
        self.new_shard = shard;
        self.stage = ReclaimStage::WriteBill;
    }

    fn encode_bill(&self) -> Vec<u8> {
        storecalls::encode_value(&BillBatch {
            shard: Arc::clone(&self.shard_name),
            epoch: self.epoch(),
            sequence: self.holder_row.as_ref().map_or(1, |row| row.settled.saturating_add(1)),
            rows: self.bills.clone(),
        })
    }

    fn handle_bill_write(&mut self, reply: &StoreReply) {
        match reply {
            StoreReply::Written { version } => {
                self.bill_version = Some(*version);
                self.stage = ReclaimStage::WriteShard;
            }
            // An earlier, interrupted reclaim by this entry has already written the batch.
            _ => self.stage = ReclaimStage::ReadBill,
        }
    }

    fn handle_own_bill(&mut self, reply: &StoreReply) {
        self.bill_version = match reply {
            StoreReply::Found { version, .. } => Some(*version),
            _ => None,
        };
        self.stage = ReclaimStage::WriteBill;
    }

    fn handle_shard_write(&mut self, reply: &StoreReply) {
        if !matches!(reply, StoreReply::Written { .. }) {
            return self.handle_conflict();
        }
        let runs = self.reports.iter().map(|(agent, rows)| {
            (Arc::clone(agent), rows.iter().map(|row| Arc::clone(&row.run)).collect())
        });
        let outcome = ReclaimOutcome::Closed {
            proved: !self.ledger_lost,
            bills: self.bills.len(),
            released: self.released,
            frozen: self.frozen,
            runs: runs.collect(),
        };
        self.end(outcome);
    }
}

/// Adds what an agent's attempts may still use; the sum is not known if one part is not.
fn add_held(
    sum: Option<BTreeMap<CustomerId, Tokens>>,
    held: Option<BTreeMap<CustomerId, Tokens>>,
) -> Option<BTreeMap<CustomerId, Tokens>> {
    let (mut sum, held) = (sum?, held?);
    for (customer, amount) in held {
        let total = sum.entry(customer).or_default();
        *total = total.saturating_add(amount);
    }
    Some(sum)
}

/// Builds the bill of one request from its attempts.
///
/// A resumed attempt continues output that the caller already has, so all attempts of such a
/// request are charged. Attempts that start over produce separate responses, of which only one is
/// charged: the complete one or, without any, the one with the largest usage.
fn build_bill(rows: &[(&AgentId, &UsageRow)], epoch: Epoch) -> Option<BillRow> {
    let (_, first) = rows.first()?;
    let total = token_counts::sum(rows.iter().map(|(_, row)| row.used));
    let whole = rows.iter().find(|(_, row)| row.whole).map(|(_, row)| row.used);
    let largest = rows.iter().map(|(_, row)| row.used).max();
    let resumed = rows.iter().any(|(_, row)| row.resumed);
    let billed = if resumed { total } else { whole.or(largest).unwrap_or_default() };
    let runs = rows.iter().map(|(agent, row)| BilledRun {
        run: Arc::clone(&row.run),
        agent: Arc::clone(agent),
        used: row.used,
    });
    Some(BillRow {
        request: Arc::clone(&first.request),
        customer: Arc::clone(&first.customer),
        service: Arc::clone(&first.service),
        epoch,
        keyed: first.keyed,
        billed,
        written_off: total.saturating_sub(billed),
        unproved: token_counts::sum(rows.iter().map(|(_, row)| row.unproved)),
        runs: runs.collect(),
    })
}
