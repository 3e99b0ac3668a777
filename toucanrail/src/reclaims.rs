//! The step machine that brings a dead holder's grants back.
//!
//! It revokes the tenure in the shard, has every agent that may have served it fence the epoch and
//! tell what it used, settles that, and returns what is provably unspent. No clock decides: a
//! holder that wakes up late finds its epoch refused by the agents and by the shard.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::budgets::BilledRun;
use crate::budgets::{BillBatch, BillRow, BudgetShard, ClosedTenure, HolderRow, HolderState};
use crate::ids::{AgentId, EntryId, Epoch, RequestId, RunId, Sequence, ShardName, Tokens, Version};
use crate::messages::{FenceReply, UsageRow};
use crate::paths;
use crate::storecalls::{self, ObjectPath, StoreCall, StoreReply, WriteExpectation};

const CONFLICT_LIMIT: u32 = 24;

/// What the machine wants done next.
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

/// What came of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReclaimReply {
    /// The object API's reply.
    Store(StoreReply),
    /// The agent has fenced the epoch.
    Fenced(FenceReply),
    /// This incarnation of the agent is provably gone, and its ledger with it.
    Gone,
    /// The agent does not answer; it may still serve the holder.
    Unreachable,
}

/// How a reclaim ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReclaimOutcome {
    /// The tenure is closed.
    Closed {
        /// Whether all of it was proved; if not, the rest is frozen.
        proved: bool,
        /// Bills settled for the dead holder.
        bills: usize,
        /// The agents' runs that may be dropped.
        runs: BTreeMap<AgentId, Vec<RunId>>,
    },
    /// Something is not proved yet; try again later.
    Waiting,
    /// There is nothing to reclaim, or another entry does it.
    Nothing,
    /// The object API did not answer; try again later.
    Unavailable,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReclaimStage {
    ReadShard,
    Revoke,
    Fence,
    ReadBills,
    ReadArchives,
    WriteBill,
    ReadBill,
    WriteShard,
    Done,
}

/// The step machine of one reclaim.
#[derive(Debug)]
pub struct ReclaimMachine {
    shard_name: ShardName,
    dead: EntryId,
    by: EntryId,
    takeover: bool,
    stage: ReclaimStage,
    version: Version,
    shard: BudgetShard,
    written: BudgetShard,
    row: Option<HolderRow>,
    agents: Vec<AgentId>,
    reports: BTreeMap<AgentId, Vec<UsageRow>>,
    gone: bool,
    running: bool,
    sequences: Vec<Sequence>,
    batches: Vec<BillBatch>,
    archives: Vec<ObjectPath>,
    archived: BTreeSet<RequestId>,
    bills: Vec<BillRow>,
    bill_version: Option<Version>,
    conflicts: u32,
    outcome: Option<ReclaimOutcome>,
}

impl ReclaimMachine {
    /// Starts the reclaim of `dead`'s tenure by `by`.
    ///
    /// With `takeover`, also if another entry has begun it and is gone itself.
    pub fn new(shard: ShardName, dead: EntryId, by: EntryId, takeover: bool) -> Self {
        Self {
            shard_name: shard,
            dead,
            by,
            takeover,
            stage: ReclaimStage::ReadShard,
            version: 0,
            shard: BudgetShard::default(),
            written: BudgetShard::default(),
            row: None,
            agents: Vec::new(),
            reports: BTreeMap::new(),
            gone: false,
            running: false,
            sequences: Vec::new(),
            batches: Vec::new(),
            archives: Vec::new(),
            archived: BTreeSet::new(),
            bills: Vec::new(),
            bill_version: None,
            conflicts: 0,
            outcome: None,
        }
    }

    /// Returns the outcome.
    pub fn into_outcome(self) -> ReclaimOutcome {
        self.outcome.unwrap_or(ReclaimOutcome::Unavailable)
    }

    /// Returns the next call, or none when the reclaim has ended.
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
            ReclaimStage::Revoke | ReclaimStage::WriteShard => StoreCall::Put {
                path: shard_path,
                expect: WriteExpectation::At(self.version),
                value: storecalls::encode_value(&self.written),
            },
            ReclaimStage::ReadBills => StoreCall::Get {
                path: paths::bill_path(&self.shard_name, epoch, *self.sequences.last()?),
            },
            ReclaimStage::ReadArchives => {
                StoreCall::Get { path: Arc::clone(self.archives.last()?) }
            }
            ReclaimStage::ReadBill => {
                StoreCall::Get { path: paths::reclaim_path(&self.shard_name, epoch, &self.by) }
            }
            ReclaimStage::WriteBill => StoreCall::Put {
                path: paths::reclaim_path(&self.shard_name, epoch, &self.by),
                expect: self.bill_version.map_or(WriteExpectation::Absent, WriteExpectation::At),
                value: self.encode_bill(),
            },
        };
        Some(ReclaimCall::Store(call))
    }

    /// Takes the reply to the last call.
    pub fn take_reply(&mut self, reply: ReclaimReply) {
        match (self.stage, reply) {
            (_, ReclaimReply::Store(StoreReply::Unavailable)) => {
                self.end(ReclaimOutcome::Unavailable);
            }
            (ReclaimStage::ReadShard, ReclaimReply::Store(reply)) => self.take_shard(reply),
            (ReclaimStage::Revoke, ReclaimReply::Store(reply)) => self.take_revoke(&reply),
            (ReclaimStage::Fence, reply) => self.take_fence(reply),
            (ReclaimStage::ReadBills, ReclaimReply::Store(reply)) => self.take_bill(reply),
            (ReclaimStage::ReadArchives, ReclaimReply::Store(reply)) => self.take_archive(reply),
            (ReclaimStage::WriteBill, ReclaimReply::Store(reply)) => self.take_bill_write(&reply),
            (ReclaimStage::ReadBill, ReclaimReply::Store(reply)) => self.take_own_bill(&reply),
            (ReclaimStage::WriteShard, ReclaimReply::Store(reply)) => {
                self.take_shard_write(&reply);
            }
            _ => self.end(ReclaimOutcome::Unavailable),
        }
    }

    fn epoch(&self) -> Epoch {
        self.row.as_ref().map_or(0, |row| row.epoch)
    }

    fn end(&mut self, outcome: ReclaimOutcome) {
        self.stage = ReclaimStage::Done;
        self.outcome = Some(outcome);
    }

    fn take_shard(&mut self, reply: StoreReply) {
        let StoreReply::Found { version, value } = reply else {
            return self.end(ReclaimOutcome::Nothing);
        };
        let Some(shard) = storecalls::decode_value::<BudgetShard>(&value) else {
            return self.end(ReclaimOutcome::Unavailable);
        };
        let Some(row) = shard.holders.get(&self.dead).cloned() else {
            return self.end(ReclaimOutcome::Nothing);
        };
        self.version = version;
        self.shard = shard;
        match &row.state {
            HolderState::Revoked { by } if *by == self.by => self.start_fencing(row),
            HolderState::Revoked { .. } if !self.takeover => self.end(ReclaimOutcome::Nothing),
            _ => self.start_revoke(row),
        }
    }

    fn start_revoke(&mut self, row: HolderRow) {
        let mut shard = self.shard.clone();
        if let Some(holder) = shard.holders.get_mut(&self.dead) {
            holder.state = HolderState::Revoked { by: Arc::clone(&self.by) };
        }
        self.row = Some(row);
        self.written = shard;
        self.stage = ReclaimStage::Revoke;
    }

    fn take_revoke(&mut self, reply: &StoreReply) {
        let StoreReply::Written { version } = reply else {
            return self.note_conflict();
        };
        self.version = *version;
        self.shard = std::mem::take(&mut self.written);
        match self.row.take() {
            Some(row) => self.start_fencing(row),
            None => self.end(ReclaimOutcome::Nothing),
        }
    }

    /// Anything found stale starts the reclaim again from the shard.
    fn note_conflict(&mut self) {
        self.conflicts += 1;
        self.stage = ReclaimStage::ReadShard;
        if self.conflicts > CONFLICT_LIMIT {
            self.end(ReclaimOutcome::Unavailable);
        }
    }

    fn start_fencing(&mut self, row: HolderRow) {
        self.agents = row.agents.iter().map(Arc::clone).collect();
        self.row = Some(row);
        self.reports.clear();
        self.gone = false;
        self.running = false;
        self.stage = ReclaimStage::Fence;
        if self.agents.is_empty() {
            self.start_bills();
        }
    }

    fn take_fence(&mut self, reply: ReclaimReply) {
        let Some(agent) = self.agents.pop() else {
            return;
        };
        match reply {
            ReclaimReply::Fenced(reply) if reply.agent == agent => {
                self.running |= reply.running > 0;
                self.reports.insert(agent, reply.rows);
            }
            // Another incarnation answered: the one that served the holder is gone.
            ReclaimReply::Fenced(_) | ReclaimReply::Gone => self.gone = true,
            _ => return self.end(ReclaimOutcome::Waiting),
        }
        if !self.agents.is_empty() {
            return;
        }
        if self.running {
            self.end(ReclaimOutcome::Waiting);
        } else {
            self.start_bills();
        }
    }

    /// Bills that the holder applied but agents still list, and the batch that it wrote last and
    /// perhaps could not apply.
    fn start_bills(&mut self) {
        let Some(row) = &self.row else {
            return self.end(ReclaimOutcome::Nothing);
        };
        self.sequences = (row.acked + 1..=row.settled + 1).collect();
        self.batches.clear();
        self.stage = ReclaimStage::ReadBills;
    }

    fn take_bill(&mut self, reply: StoreReply) {
        self.sequences.pop();
        if let StoreReply::Found { value, .. } = reply
            && let Some(batch) = storecalls::decode_value::<BillBatch>(&value)
        {
            self.batches.push(batch);
        }
        if self.sequences.is_empty() {
            self.merge_bills();
        }
    }

    fn merge_bills(&mut self) {
        let settled = self.row.as_ref().map_or(0, |row| row.settled);
        let known: BTreeSet<&RunId> = self
            .batches
            .iter()
            .flat_map(|batch| &batch.rows)
            .flat_map(|row| &row.runs)
            .map(|note| &note.run)
            .collect();
        let pending = self.batches.iter().filter(|batch| batch.sequence > settled);
        let mut bills: Vec<BillRow> = pending.flat_map(|batch| batch.rows.clone()).collect();
        let mut found: BTreeMap<&RequestId, Vec<(&AgentId, &UsageRow)>> = BTreeMap::new();
        for (agent, rows) in &self.reports {
            for row in rows.iter().filter(|row| !known.contains(&row.run)) {
                found.entry(&row.request).or_default().push((agent, row));
            }
        }
        let epoch = self.epoch();
        bills.extend(found.values().filter_map(|rows| make_bill(rows, epoch)));
        self.bills = bills;
        self.start_archives();
    }

    fn start_archives(&mut self) {
        let archived = |row: &&BillRow| {
            let account = self.shard.accounts.get(&row.customer);
            row.keyed && account.is_some_and(|account| account.archived)
        };
        let buckets: BTreeSet<ObjectPath> = self
            .bills
            .iter()
            .filter(archived)
            .map(|row| paths::archive_path(&self.shard_name, &row.request))
            .collect();
        self.archives = buckets.into_iter().collect();
        self.stage = ReclaimStage::ReadArchives;
        if self.archives.is_empty() {
            self.start_write();
        }
    }

    fn take_archive(&mut self, reply: StoreReply) {
        self.archives.pop();
        if let StoreReply::Found { value, .. } = reply {
            let keys: Option<BTreeSet<RequestId>> = storecalls::decode_value(&value);
            self.archived.extend(keys.unwrap_or_default());
        }
        if self.archives.is_empty() {
            self.start_write();
        }
    }

    fn start_write(&mut self) {
        let Some(row) = self.row.clone() else {
            return self.end(ReclaimOutcome::Nothing);
        };
        self.shard.write_off_duplicates(&mut self.bills, &self.archived);
        let mut shard = self.shard.clone();
        shard.settle_rows(&self.dead, row.epoch, &self.bills);
        shard.close_tenure(&self.dead, !self.gone);
        let closed = ClosedTenure { settled: row.settled, by: Arc::clone(&self.by) };
        shard.closed.insert(row.epoch, closed);
        self.written = shard;
        self.stage = ReclaimStage::WriteBill;
    }

    fn encode_bill(&self) -> Vec<u8> {
        storecalls::encode_value(&BillBatch {
            shard: Arc::clone(&self.shard_name),
            epoch: self.epoch(),
            sequence: self.row.as_ref().map_or(0, |row| row.settled) + 1,
            rows: self.bills.clone(),
        })
    }

    fn take_bill_write(&mut self, reply: &StoreReply) {
        match reply {
            StoreReply::Written { version } => {
                self.bill_version = Some(*version);
                self.stage = ReclaimStage::WriteShard;
            }
            // An earlier try of this entry, cut off behind it, has written it.
            _ => self.stage = ReclaimStage::ReadBill,
        }
    }

    fn take_own_bill(&mut self, reply: &StoreReply) {
        self.bill_version = match reply {
            StoreReply::Found { version, .. } => Some(*version),
            _ => None,
        };
        self.stage = ReclaimStage::WriteBill;
    }

    fn take_shard_write(&mut self, reply: &StoreReply) {
        if !matches!(reply, StoreReply::Written { .. }) {
            return self.note_conflict();
        }
        let runs = self.reports.iter().map(|(agent, rows)| {
            (Arc::clone(agent), rows.iter().map(|row| Arc::clone(&row.run)).collect())
        });
        let outcome = ReclaimOutcome::Closed {
            proved: !self.gone,
            bills: self.bills.len(),
            runs: runs.collect(),
        };
        self.end(outcome);
    }
}

/// Makes one request's bill of its tries.
///
/// The caller has what a resumed try went on behind, so that both are charged; of tries that began
/// anew only one answer counts: the whole one, or the largest part.
fn make_bill(rows: &[(&AgentId, &UsageRow)], epoch: Epoch) -> Option<BillRow> {
    let (_, first) = rows.first()?;
    let total: Tokens = rows.iter().map(|(_, row)| row.used).sum();
    let whole = rows.iter().find(|(_, row)| row.whole).map(|(_, row)| row.used);
    let largest = rows.iter().map(|(_, row)| row.used).max();
    let resumed = rows.iter().any(|(_, row)| row.resumed);
    let billed = if resumed { total } else { whole.or(largest).unwrap_or_default() };
    let notes = rows.iter().map(|(agent, row)| BilledRun {
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
        written_off: total - billed,
        unproved: rows.iter().map(|(_, row)| row.unproved).sum(),
        runs: notes.collect(),
    })
}
