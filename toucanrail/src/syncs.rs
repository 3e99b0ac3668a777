//! The state machine of a sync, which brings one entry's tenure in one shard up to date.
//!
//! A sync settles a batch of bills, requests or returns grants and records the agents in use, all
//! in one conditional update of the shard. The batch is written as a bill object first: if the
//! holder dies before the update, its bills are found under the next sequence number.

#![deny(clippy::arithmetic_side_effects)]

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::budgets::{BillBatch, BillRow, BudgetShard};
use crate::ids::{CustomerId, Epoch, RequestId, Version};
use crate::paths;
use crate::policies::GrantPolicy;
use crate::shard_changes;
use crate::storecalls::{self, ObjectPath, StoreCall, StoreReply, WriteExpectation};
use crate::sync_plans::SyncPlan;

/// Number of write conflicts after which a sync gives up; a later one tries the same plan again.
const CONFLICT_LIMIT: u32 = 24;

/// The outcome of a sync.
#[derive(Debug, Clone, PartialEq)]
pub enum SyncOutcome {
    /// The sync took effect, exactly once.
    Applied {
        /// The shard after the sync.
        shard: BudgetShard,
        /// Its version.
        version: Version,
        /// The tenure's epoch.
        epoch: Epoch,
    },
    /// Nothing had to change; the next sync reuses the sequence number.
    Unchanged {
        /// The current shard.
        shard: BudgetShard,
        /// Its version.
        version: Version,
    },
    /// The tenure was revoked.
    Revoked {
        /// Whether the sync took effect before the revocation, and its reply was lost.
        applied: bool,
    },
    /// The outcome is unknown: the same plan must be tried again.
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

/// The state machine of one sync: it yields calls to the object API and consumes the replies.
#[derive(Debug)]
pub struct SyncMachine {
    plan: SyncPlan,
    policy: GrantPolicy,
    stage: SyncStage,
    version: Option<Version>,
    /// Whether this sync has read the shard, rather than only taken it from the cache.
    shard_was_read: bool,
    shard: BudgetShard,
    epoch: Epoch,
    /// Paths that the current stage has yet to read.
    reads: Vec<ObjectPath>,
    /// Requests billed by the reclaims of earlier tenures.
    reclaimed_requests: BTreeSet<RequestId>,
    /// Keyed requests found in the archive.
    archived: BTreeSet<RequestId>,
    /// The rows to settle: those of the plan that still count, with duplicates written off.
    rows: Vec<BillRow>,
    /// Value of the bill object as last written or read.
    written_bill: Option<Vec<u8>>,
    /// Condition of the next write of the bill object.
    bill_expect: WriteExpectation,
    /// The shard to write.
    new_shard: BudgetShard,
    conflicts: u32,
    /// The object that ended the sync because it cannot be decoded.
    unreadable: Option<ObjectPath>,
    outcome: Option<SyncOutcome>,
}

impl SyncMachine {
    /// Starts a sync with a cached copy of the shard, or by reading it if there is none.
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
            shard_was_read: false,
            shard: BudgetShard::default(),
            reads: Vec::new(),
            reclaimed_requests: BTreeSet::new(),
            archived: BTreeSet::new(),
            rows: Vec::new(),
            written_bill: None,
            bill_expect: WriteExpectation::Absent,
            new_shard: BudgetShard::default(),
            conflicts: 0,
            unreadable: None,
            outcome: None,
        };
        if let Some((version, shard)) = cached {
            machine.use_shard(Some(version), shard);
        }
        machine
    }

    /// Returns the object that ended the sync because it cannot be decoded. The sync can only go on
    /// when an operator has restored it.
    pub fn unreadable(&self) -> Option<&ObjectPath> {
        self.unreadable.as_ref()
    }

    /// Returns the outcome; [`SyncOutcome::Unavailable`] if the sync has not ended.
    pub fn into_outcome(self) -> SyncOutcome {
        self.outcome.unwrap_or(SyncOutcome::Unavailable)
    }

    /// Returns the next call, or `None` if the sync has ended.
    pub fn next_call(&self) -> Option<StoreCall> {
        match self.stage {
            SyncStage::Done => None,
            SyncStage::ReadShard => Some(get_object(paths::budget_path(&self.plan.shard))),
            SyncStage::ReadReclaim | SyncStage::ReadArchive => {
                self.reads.last().map(|path| get_object(Arc::clone(path)))
            }
            SyncStage::ReadBill => Some(get_object(self.bill_path())),
            SyncStage::WriteBill => Some(StoreCall::Put {
                path: self.bill_path(),
                expect: self.bill_expect,
                value: self.encode_bill(),
            }),
            SyncStage::WriteShard => Some(StoreCall::Put {
                path: paths::budget_path(&self.plan.shard),
                expect: self.version.map_or(WriteExpectation::Absent, WriteExpectation::At),
                value: storecalls::encode_value(&self.new_shard),
            }),
        }
    }

    /// Processes the reply to the last call.
    pub fn handle_reply(&mut self, reply: StoreReply) {
        if reply == StoreReply::Unavailable {
            return self.end(SyncOutcome::Unavailable);
        }
        match self.stage {
            SyncStage::Done => {}
            SyncStage::ReadShard => self.handle_shard_read(reply),
            SyncStage::ReadReclaim => self.handle_reclaim_read(reply),
            SyncStage::ReadArchive => self.handle_archive_read(reply),
            SyncStage::WriteBill => self.handle_bill_write(&reply),
            SyncStage::ReadBill => self.handle_bill_read(reply),
            SyncStage::WriteShard => self.handle_shard_write(&reply),
        }
    }

    fn end(&mut self, outcome: SyncOutcome) {
        self.stage = SyncStage::Done;
        self.outcome = Some(outcome);
    }

    fn end_unreadable(&mut self, path: ObjectPath) {
        self.unreadable = Some(path);
        self.end(SyncOutcome::Unavailable);
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

    fn handle_shard_read(&mut self, reply: StoreReply) {
        self.shard_was_read = true;
        match reply {
            StoreReply::Found { version, value } => match storecalls::decode_value(&value) {
                Some(shard) => self.use_shard(Some(version), shard),
                None => self.end_unreadable(paths::budget_path(&self.plan.shard)),
            },
            // If the configuration sets the totals, the first entry creates the shard.
            StoreReply::Missing if self.has_configured_totals() => {
                self.use_shard(None, BudgetShard::default());
            }
            _ => self.end(SyncOutcome::Unavailable),
        }
    }

    fn has_configured_totals(&self) -> bool {
        self.plan.demands.values().any(|demand| demand.prepaid > 0)
    }

    /// Continues with a shard that was read or taken from the cache. Ends the sync if it has
    /// already taken effect or its tenure is revoked.
    fn use_shard(&mut self, version: Option<Version>, shard: BudgetShard) {
        self.version = version;
        self.shard = shard;
        let tenure = self.shard.holders.get(&self.plan.entry).map(|row| (row.epoch, row.settled));
        match tenure {
            // The reply to an earlier run of this sync was lost: it has already taken effect.
            Some((epoch, settled)) if settled >= self.plan.sequence => {
                let is_own = self.plan.epoch == 0 || self.plan.epoch == epoch;
                return if is_own && self.shard.live_tenure(&self.plan.entry, epoch).is_some() {
                    self.end_applied(epoch, version.unwrap_or_default());
                } else {
                    self.end_revoked();
                };
            }
            Some((epoch, _)) if self.plan.epoch == 0 => self.epoch = epoch,
            None if self.plan.epoch == 0 => self.epoch = self.shard.epochs.saturating_add(1),
            _ => {}
        }
        let is_opening = tenure.is_none() && self.plan.epoch == 0;
        if !is_opening && self.shard.live_tenure(&self.plan.entry, self.epoch).is_none() {
            return self.end_revoked();
        }
        self.start_reclaim_reads();
    }

    fn end_applied(&mut self, epoch: Epoch, version: Version) {
        let shard = std::mem::take(&mut self.shard);
        self.end(SyncOutcome::Applied { shard, version, epoch });
    }

    /// Ends a sync whose tenure was revoked, and determines whether it took effect before that. If
    /// it did and only its reply was lost, its bills are settled and must not be settled again as
    /// late ones.
    fn end_revoked(&mut self) {
        if self.has_left() {
            return self.end_applied(self.plan.epoch, self.version.unwrap_or_default());
        }
        let epoch = self.plan.epoch;
        let holder = self.shard.holders.get(&self.plan.entry);
        let held = holder.filter(|row| row.epoch == epoch);
        let closed = self.shard.closed.get(&epoch);
        let settled = held.map(|row| row.settled).or(closed.map(|closed| closed.settled));
        let applied = settled.is_some_and(|settled| settled >= self.plan.sequence);
        self.end(SyncOutcome::Revoked { applied });
    }

    /// Returns whether this sync has ended the tenure: it is neither open nor closed by a reclaim.
    fn has_left(&self) -> bool {
        let is_open = self.shard.holders.contains_key(&self.plan.entry);
        let is_reclaimed = self.shard.closed.contains_key(&self.plan.epoch);
        self.plan.leave && !is_open && !is_reclaimed
    }

    /// Starts to read the reclaim batches of the tenures of late rows: late rows are billed only if
    /// the reclaim of their tenure did not bill them.
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

    fn handle_reclaim_read(&mut self, reply: StoreReply) {
        let path = self.reads.pop();
        if let (Some(path), StoreReply::Found { value, .. }) = (path, reply) {
            let Some(batch) = storecalls::decode_value::<BillBatch>(&value) else {
                return self.end_unreadable(path);
            };
            self.reclaimed_requests.extend(batch.rows.into_iter().map(|row| row.request));
        }
        if self.reads.is_empty() {
            self.start_archive_reads();
        }
    }

    /// Starts to read the archive buckets of the keyed rows. The shard is read before the archive
    /// and written at the version read, so that a key that is being moved from one to the other is
    /// seen in at least one of them.
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

    fn handle_archive_read(&mut self, reply: StoreReply) {
        let path = self.reads.pop();
        if let (Some(path), StoreReply::Found { value, .. }) = (path, reply) {
            let Some(keys) = storecalls::decode_value::<BTreeSet<RequestId>>(&value) else {
                return self.end_unreadable(path);
            };
            self.archived.extend(keys);
        }
        if self.reads.is_empty() {
            self.start_write();
        }
    }

    fn start_write(&mut self) {
        self.rows = shard_changes::select_rows(
            &self.shard,
            &self.plan,
            self.epoch,
            &self.reclaimed_requests,
            &self.archived,
        );
        (self.epoch, self.new_shard) =
            shard_changes::apply_plan(&self.shard, &self.plan, &self.rows, self.policy);
        if self.is_no_op() {
            return self.end_unchanged();
        }
        let encoded = self.encode_bill();
        let is_written = self.written_bill.as_ref() == Some(&encoded);
        self.stage = if self.rows.is_empty() || is_written {
            SyncStage::WriteShard
        } else {
            SyncStage::WriteBill
        };
    }

    /// Returns whether a write would change only the sequence number.
    fn is_no_op(&self) -> bool {
        let Some(row) = self.shard.holders.get(&self.plan.entry) else {
            return false;
        };
        let mut new_shard = self.new_shard.clone();
        if let Some(tenure) = new_shard.live_tenure(&self.plan.entry, self.epoch) {
            tenure.settled = row.settled;
        }
        let returning = self.plan.demands.values().any(|demand| demand.returning > 0);
        self.plan.rows.is_empty() && !self.plan.leave && !returning && new_shard == self.shard
    }

    /// Ends a sync that has nothing to change. Reads the shard first if it came from the cache,
    /// which may be older than a top-up.
    fn end_unchanged(&mut self) {
        if !self.shard_was_read {
            self.stage = SyncStage::ReadShard;
            return;
        }
        let shard = std::mem::take(&mut self.shard);
        let version = self.version.unwrap_or_default();
        self.end(SyncOutcome::Unchanged { shard, version });
    }

    fn handle_bill_write(&mut self, reply: &StoreReply) {
        match reply {
            StoreReply::Written { version } => {
                self.written_bill = Some(self.encode_bill());
                self.bill_expect = WriteExpectation::At(*version);
                self.stage = SyncStage::WriteShard;
            }
            _ => self.handle_conflict(SyncStage::ReadBill),
        }
    }

    fn handle_bill_read(&mut self, reply: StoreReply) {
        match reply {
            StoreReply::Found { version, value } => {
                if storecalls::decode_value::<BillBatch>(&value).is_none() {
                    return self.end_unreadable(self.bill_path());
                }
                self.written_bill = Some(value);
                self.bill_expect = WriteExpectation::At(version);
            }
            _ => self.bill_expect = WriteExpectation::Absent,
        }
        self.start_write();
    }

    fn handle_shard_write(&mut self, reply: &StoreReply) {
        match reply {
            StoreReply::Written { version } => {
                self.shard = std::mem::take(&mut self.new_shard);
                self.end_applied(self.epoch, *version);
            }
            _ => self.handle_conflict(SyncStage::ReadShard),
        }
    }

    fn handle_conflict(&mut self, next: SyncStage) {
        self.conflicts = self.conflicts.saturating_add(1);
        self.stage = next;
        if self.conflicts > CONFLICT_LIMIT {
            self.end(SyncOutcome::Unavailable);
        }
    }
}

fn get_object(path: ObjectPath) -> StoreCall {
    StoreCall::Get { path }
}
