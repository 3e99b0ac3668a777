//! The step machine that brings one entry's tenure in one shard up to date.
//!
//! A sync settles a batch of bills, asks for or returns grants and names the agents in use, all in
//! one conditional update. The batch is written as a bill object first, so that the bills of a
//! holder that dies in between are found under the next sequence number.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::budgets::{BillBatch, BillRow, BudgetShard};
use crate::ids::Version;
use crate::ids::{AgentId, CustomerId, EntryId, Epoch, RequestId, Sequence, ShardName, Tokens};
use crate::paths;
use crate::policies::{GrantChange, GrantPolicy, GrantView};
use crate::storecalls::{self, ObjectPath, StoreCall, StoreReply, WriteExpectation};

/// Conflicts in one sync before it gives up until the next tick.
const CONFLICT_LIMIT: u32 = 24;

/// What one account needs from a sync.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct GrantDemand {
    /// Usage a second, smoothed.
    pub burn: f64,
    /// Held, or used and not in this batch.
    pub busy: Tokens,
    /// Wanted by a waiting request.
    pub shortage: Tokens,
    /// Wanted by the most modest of the waiting requests.
    pub least: Tokens,
    /// Reserved to be given back.
    pub returning: Tokens,
    /// Total that the configuration states; the account is raised to it, never lowered. 0 where
    /// only operators state it, in the shard.
    pub prepaid: Tokens,
}

/// One sync, fixed until its outcome is known.
#[derive(Debug, Clone, PartialEq)]
pub struct SyncPlan {
    /// The shard.
    pub shard: ShardName,
    /// The entry.
    pub entry: EntryId,
    /// The tenure; 0 to open one.
    pub epoch: Epoch,
    /// The number of this sync in the tenure; tells after a lost answer whether it took effect.
    pub sequence: Sequence,
    /// The bills to settle.
    pub rows: Vec<BillRow>,
    /// The accounts that take part.
    pub demands: BTreeMap<CustomerId, GrantDemand>,
    /// The last sequence whose rows every agent has dropped.
    pub acked: Sequence,
    /// Agents that the entry uses or still has rows with.
    pub agents: BTreeSet<AgentId>,
    /// Whether to end the tenure.
    pub leave: bool,
}

/// How a sync ended.
#[derive(Debug, Clone, PartialEq)]
pub enum SyncOutcome {
    /// It took effect, once.
    Applied {
        /// The shard as it now is.
        shard: BudgetShard,
        /// Its version.
        version: Version,
        /// The tenure's epoch.
        epoch: Epoch,
    },
    /// There was nothing to do; the sequence number is free for the next sync.
    Unchanged {
        /// The shard as it is.
        shard: BudgetShard,
        /// Its version.
        version: Version,
    },
    /// The tenure was revoked.
    Revoked {
        /// Whether this sync had taken effect before, its answer lost.
        applied: bool,
    },
    /// No answer: the same plan must be tried again.
    Unavailable,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SyncStage {
    ReadShard,
    ReadReclaim,
    ReadArchive,
    WriteBill,
    ReadBill,
    WriteShard,
    Done,
}

/// The step machine of one sync.
#[derive(Debug)]
pub struct SyncMachine {
    plan: SyncPlan,
    policy: GrantPolicy,
    stage: SyncStage,
    version: Option<Version>,
    /// Whether the shard was read by this sync, not only taken from a cache.
    read: bool,
    shard: BudgetShard,
    epoch: Epoch,
    reads: Vec<ObjectPath>,
    billed_late: BTreeSet<RequestId>,
    archived: BTreeSet<RequestId>,
    rows: Vec<BillRow>,
    bill: Option<Vec<u8>>,
    bill_expect: WriteExpectation,
    written: BudgetShard,
    conflicts: u32,
    outcome: Option<SyncOutcome>,
}

impl SyncMachine {
    /// Starts a sync from a cached copy of the shard, or from a read.
    pub fn new(
        plan: SyncPlan,
        policy: GrantPolicy,
        cached: Option<(Version, BudgetShard)>,
    ) -> Self {
        let mut machine = Self {
            epoch: plan.epoch,
            plan,
            policy,
            stage: SyncStage::ReadShard,
            version: None,
            read: false,
            shard: BudgetShard::default(),
            reads: Vec::new(),
            billed_late: BTreeSet::new(),
            archived: BTreeSet::new(),
            rows: Vec::new(),
            bill: None,
            bill_expect: WriteExpectation::Absent,
            written: BudgetShard::default(),
            conflicts: 0,
            outcome: None,
        };
        if let Some((version, shard)) = cached {
            machine.take_shard(Some(version), shard);
        }
        machine
    }

    /// Returns the outcome once there is one.
    pub fn into_outcome(self) -> SyncOutcome {
        self.outcome.unwrap_or(SyncOutcome::Unavailable)
    }

    /// Returns the next call, or none when the sync has ended.
    pub fn next_call(&self) -> Option<StoreCall> {
        match self.stage {
            SyncStage::Done => None,
            SyncStage::ReadShard => Some(get(paths::budget_path(&self.plan.shard))),
            SyncStage::ReadReclaim | SyncStage::ReadArchive => {
                self.reads.last().map(|path| get(Arc::clone(path)))
            }
            SyncStage::ReadBill => Some(get(self.bill_path())),
            SyncStage::WriteBill => Some(StoreCall::Put {
                path: self.bill_path(),
                expect: self.bill_expect,
                value: self.encode_bill(),
            }),
            SyncStage::WriteShard => Some(StoreCall::Put {
                path: paths::budget_path(&self.plan.shard),
                expect: self.version.map_or(WriteExpectation::Absent, WriteExpectation::At),
                value: storecalls::encode_value(&self.written),
            }),
        }
    }

    /// Takes the reply to the last call.
    pub fn handle_reply(&mut self, reply: StoreReply) {
        if reply == StoreReply::Unavailable {
            return self.end(SyncOutcome::Unavailable);
        }
        match self.stage {
            SyncStage::Done => {}
            SyncStage::ReadShard => self.take_shard_reply(reply),
            SyncStage::ReadReclaim => self.take_reclaim(reply),
            SyncStage::ReadArchive => self.take_archive(reply),
            SyncStage::WriteBill => self.take_bill_write(&reply),
            SyncStage::ReadBill => self.take_bill(reply),
            SyncStage::WriteShard => self.take_shard_write(&reply),
        }
    }

    fn end(&mut self, outcome: SyncOutcome) {
        self.stage = SyncStage::Done;
        self.outcome = Some(outcome);
    }

    fn bill_path(&self) -> ObjectPath {
        paths::bill_path(&self.plan.shard, self.epoch, self.plan.sequence)
    }

    fn encode_bill(&self) -> Vec<u8> {
        storecalls::encode_value(&BillBatch {
            shard: Arc::clone(&self.plan.shard),
            epoch: self.epoch,
            sequence: self.plan.sequence,
            rows: self.rows.clone(),
        })
    }

    fn take_shard_reply(&mut self, reply: StoreReply) {
        self.read = true;
        match reply {
            StoreReply::Found { version, value } => match storecalls::decode_value(&value) {
                Some(shard) => self.take_shard(Some(version), shard),
                None => self.end(SyncOutcome::Unavailable),
            },
            // Where the configuration states the totals, whoever comes first makes the shard.
            StoreReply::Missing if self.states_totals() => {
                self.take_shard(None, BudgetShard::default());
            }
            _ => self.end(SyncOutcome::Unavailable),
        }
    }

    fn states_totals(&self) -> bool {
        self.plan.demands.values().any(|demand| demand.prepaid > 0)
    }

    fn take_shard(&mut self, version: Option<Version>, shard: BudgetShard) {
        self.version = version;
        self.shard = shard;
        let tenure = self.shard.holders.get(&self.plan.entry).map(|row| (row.epoch, row.settled));
        match tenure {
            // A lost answer: this sync is in the shard already.
            Some((epoch, settled)) if settled >= self.plan.sequence => {
                let owned = self.plan.epoch == 0 || self.plan.epoch == epoch;
                return if owned && self.shard.live_tenure(&self.plan.entry, epoch).is_some() {
                    self.end_applied(epoch, version.unwrap_or_default());
                } else {
                    self.end_revoked();
                };
            }
            Some((epoch, _)) if self.plan.epoch == 0 => self.epoch = epoch,
            None if self.plan.epoch == 0 => self.epoch = self.shard.epochs + 1,
            _ => {}
        }
        let opening = tenure.is_none() && self.plan.epoch == 0;
        if !opening && self.shard.live_tenure(&self.plan.entry, self.epoch).is_none() {
            return self.end_revoked();
        }
        self.start_reclaim_reads();
    }

    fn end_applied(&mut self, epoch: Epoch, version: Version) {
        let shard = std::mem::take(&mut self.shard);
        self.end(SyncOutcome::Applied { shard, version, epoch });
    }

    /// Tells a sync that never took effect from one whose answer was lost before the revocation:
    /// the bills of the latter are settled, and must not be settled again as late ones.
    fn end_revoked(&mut self) {
        let epoch = self.plan.epoch;
        let holder = self.shard.holders.get(&self.plan.entry);
        let held = holder.filter(|row| row.epoch == epoch);
        let closed = self.shard.closed.get(&epoch);
        let settled = held.map(|row| row.settled).or(closed.map(|closed| closed.settled));
        let applied = settled.is_some_and(|settled| settled >= self.plan.sequence);
        self.end(SyncOutcome::Revoked { applied });
    }

    /// Late rows are billed only where their tenure's reclaim did not bill them.
    fn start_reclaim_reads(&mut self) {
        let epochs: BTreeSet<Epoch> = self.late_rows().map(|row| row.epoch).collect();
        self.reads = epochs
            .iter()
            .filter_map(|epoch| {
                let closed = self.shard.closed.get(epoch)?;
                Some(paths::reclaim_path(&self.plan.shard, *epoch, &closed.by))
            })
            .collect();
        self.stage = SyncStage::ReadReclaim;
        if self.reads.is_empty() {
            self.start_archive_reads();
        }
    }

    fn late_rows(&self) -> impl Iterator<Item = &BillRow> {
        self.plan.rows.iter().filter(|row| row.epoch != self.epoch)
    }

    fn take_reclaim(&mut self, reply: StoreReply) {
        self.reads.pop();
        if let StoreReply::Found { value, .. } = reply {
            let batch: Option<BillBatch> = storecalls::decode_value(&value);
            let rows = batch.map(|batch| batch.rows).unwrap_or_default();
            self.billed_late.extend(rows.into_iter().map(|row| row.request));
        }
        if self.reads.is_empty() {
            self.start_archive_reads();
        }
    }

    /// The shard is read before its archive and written at the version read: a key on its way
    /// from one to the other is seen in at least one of them.
    fn start_archive_reads(&mut self) {
        let buckets: BTreeSet<ObjectPath> = self
            .plan
            .rows
            .iter()
            .filter(|row| row.keyed && self.has_archive(&row.customer))
            .map(|row| paths::archive_path(&self.plan.shard, &row.request))
            .collect();
        self.reads = buckets.into_iter().collect();
        self.archived.clear();
        self.stage = SyncStage::ReadArchive;
        if self.reads.is_empty() {
            self.start_write();
        }
    }

    fn has_archive(&self, customer: &CustomerId) -> bool {
        self.shard.accounts.get(customer).is_some_and(|account| account.archived)
    }

    fn take_archive(&mut self, reply: StoreReply) {
        self.reads.pop();
        if let StoreReply::Found { value, .. } = reply {
            let keys: Option<BTreeSet<RequestId>> = storecalls::decode_value(&value);
            self.archived.extend(keys.unwrap_or_default());
        }
        if self.reads.is_empty() {
            self.start_write();
        }
    }

    fn start_write(&mut self) {
        self.select_rows();
        self.build_shard();
        if self.is_idle() {
            return self.end_unchanged();
        }
        let encoded = self.encode_bill();
        let written = self.bill.as_ref() == Some(&encoded);
        self.stage = if self.rows.is_empty() || written {
            SyncStage::WriteShard
        } else {
            SyncStage::WriteBill
        };
    }

    /// Tells whether a write would change nothing but the sequence.
    fn is_idle(&self) -> bool {
        let Some(row) = self.shard.holders.get(&self.plan.entry) else {
            return false;
        };
        let mut written = self.written.clone();
        if let Some(tenure) = written.live_tenure(&self.plan.entry, self.epoch) {
            tenure.settled = row.settled;
        }
        let returning = self.plan.demands.values().any(|demand| demand.returning > 0);
        self.plan.rows.is_empty() && !self.plan.leave && !returning && written == self.shard
    }

    /// Ends a sync that found nothing to do, once the shard was read for it: a cached copy may be
    /// older than a top-up.
    fn end_unchanged(&mut self) {
        if !self.read {
            self.stage = SyncStage::ReadShard;
            return;
        }
        let shard = std::mem::take(&mut self.shard);
        let version = self.version.unwrap_or_default();
        self.end(SyncOutcome::Unchanged { shard, version });
    }

    fn select_rows(&mut self) {
        let (epoch, shard) = (self.epoch, &self.shard);
        self.rows = self
            .plan
            .rows
            .iter()
            .filter(|row| row.epoch == epoch || !self.billed_late.contains(&row.request))
            .filter(|row| row.epoch == epoch || has_frozen(shard, row))
            .cloned()
            .collect();
        self.shard.write_off_duplicates(&mut self.rows, &self.archived);
    }

    fn build_shard(&mut self) {
        let entry = Arc::clone(&self.plan.entry);
        let mut shard = self.shard.clone();
        self.epoch = shard.open_tenure(&entry);
        shard.settle_rows(&entry, self.epoch, &self.rows);
        for (customer, demand) in &self.plan.demands {
            if demand.prepaid > 0 {
                let account = shard.accounts.entry(Arc::clone(customer)).or_default();
                account.prepaid = account.prepaid.max(demand.prepaid);
            }
        }
        let changes = self.decide_changes(&shard);
        for ((customer, demand), change) in self.plan.demands.iter().zip(changes) {
            change_grant(&mut shard, &entry, customer, demand, change);
        }
        if let Some(row) = shard.live_tenure(&entry, self.epoch) {
            row.settled = self.plan.sequence;
            row.acked = row.acked.max(self.plan.acked);
            row.agents.clone_from(&self.plan.agents);
        }
        if self.plan.leave {
            shard.close_tenure(&entry, true);
        }
        self.written = shard;
    }

    /// Decides the changes of all grants: where any of them calls for a write, or a bill does, all are
    /// filled up by it.
    fn decide_changes(&self, shard: &BudgetShard) -> Vec<GrantChange> {
        let entry = &self.plan.entry;
        let holders = shard.count_holder_names();
        let views = self.plan.demands.iter().map(|(customer, demand)| {
            let view = view_account(shard, entry, customer, demand);
            GrantView { holders, ..view.unwrap_or_default() }
        });
        let views: Vec<GrantView> = views.collect();
        let asks = |view: &GrantView| matches!(self.policy.adjust(view), GrantChange::Ask(1..));
        let returning = self.plan.demands.values().any(|demand| demand.returning > 0);
        let writes = returning || !self.rows.is_empty() || views.iter().any(asks);
        let decide = |view: &GrantView| {
            if writes { self.policy.adjust_on_write(view) } else { self.policy.adjust(view) }
        };
        views.iter().map(decide).collect()
    }

    fn take_bill_write(&mut self, reply: &StoreReply) {
        match reply {
            StoreReply::Written { version } => {
                self.bill = Some(self.encode_bill());
                self.bill_expect = WriteExpectation::At(*version);
                self.stage = SyncStage::WriteShard;
            }
            _ => self.note_conflict(SyncStage::ReadBill),
        }
    }

    fn take_bill(&mut self, reply: StoreReply) {
        match reply {
            StoreReply::Found { version, value } => {
                self.bill = Some(value);
                self.bill_expect = WriteExpectation::At(version);
            }
            _ => self.bill_expect = WriteExpectation::Absent,
        }
        self.start_write();
    }

    fn take_shard_write(&mut self, reply: &StoreReply) {
        match reply {
            StoreReply::Written { version } => {
                self.shard = std::mem::take(&mut self.written);
                self.end_applied(self.epoch, *version);
            }
            _ => self.note_conflict(SyncStage::ReadShard),
        }
    }

    fn note_conflict(&mut self, next: SyncStage) {
        self.conflicts += 1;
        self.stage = next;
        if self.conflicts > CONFLICT_LIMIT {
            self.end(SyncOutcome::Unavailable);
        }
    }
}

fn get(path: ObjectPath) -> StoreCall {
    StoreCall::Get { path }
}

fn has_frozen(shard: &BudgetShard, row: &BillRow) -> bool {
    let account = shard.accounts.get(&row.customer);
    let frozen = account.and_then(|account| account.frozen.get(&row.epoch));
    frozen.is_some_and(|frozen| *frozen >= row.total())
}

/// Returns an account as a policy sees it, with what is given back already taken off; the count of
/// holders is the shard's and left out.
fn view_account(
    shard: &BudgetShard,
    entry: &EntryId,
    customer: &CustomerId,
    demand: &GrantDemand,
) -> Option<GrantView> {
    let account = shard.accounts.get(customer)?;
    let granted = account.grants.get(entry).copied().unwrap_or_default();
    Some(GrantView {
        burn: demand.burn,
        busy: demand.busy,
        granted: granted.saturating_sub(demand.returning),
        shortage: demand.shortage,
        unallocated: account.unallocated() + demand.returning.min(granted),
        prepaid: account.prepaid,
        others: account.granted_to_others(entry),
        unspent: account.unspent(),
        ..GrantView::default()
    })
}

fn change_grant(
    shard: &mut BudgetShard,
    entry: &EntryId,
    customer: &CustomerId,
    demand: &GrantDemand,
    change: GrantChange,
) {
    let Some(account) = shard.accounts.get_mut(customer) else {
        return;
    };
    let grant = account.grants.entry(Arc::clone(entry)).or_default();
    *grant = grant.saturating_sub(demand.returning);
    let granted = *grant;
    let unallocated = account.unallocated();
    // A part that lets no waiting request go would only be stranded here.
    let useful = demand.shortage == 0 || granted + unallocated >= demand.busy + demand.least;
    // What was just given back must not be asked for again in the same step.
    if useful
        && demand.returning == 0
        && let GrantChange::Ask(amount) = change
        && let Some(grant) = account.grants.get_mut(entry)
    {
        *grant += amount.min(unallocated);
    }
}
