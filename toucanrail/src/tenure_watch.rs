//! A lender's watch on the tenures of other lenders: which of them have ended without settling, and
//! what their borrowers report of them.
//!
//! Reclaiming the tenure of a lender that lives is safe, since its borrowers fence it first, but until
//! it is done that lender cannot lend. So a tenure is reclaimed once its lender's process has ended, or
//! once the lender settles nothing and none of the borrowers uses it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::budgets::{BudgetShard, HolderState};
use crate::ids::{self, EntryId, Sequence, ShardName, VmId};
use crate::loans::{LoanTenure, TenureUse};
use crate::messages::FenceReply;

/// Time without a settlement after which a lender that no borrower uses counts as dead.
/// Lenders in use settle every few seconds.
const SILENCE_TIME: Duration = Duration::from_secs(4);
/// Time for which a borrower's report of the tenures that it uses counts; several report intervals.
const REPORT_TIME: Duration = Duration::from_secs(2);
/// Time for which borrowers are told that a tenure is closed.
const CLOSED_TIME: Duration = Duration::from_secs(10);
/// Maximum time for which a process whose VM has another one by now is remembered.
const REPLACED_TIME: Duration = Duration::from_secs(300);

/// The borrowers of one lender, by VM.
#[derive(Debug, Default)]
pub struct BorrowerTable {
    /// The process of each VM that borrows.
    current: BTreeMap<VmId, EntryId>,
    /// Processes that a newer one of their VM has replaced, and since when.
    replaced: BTreeMap<EntryId, Duration>,
}

impl BorrowerTable {
    /// Records that a process borrows. Returns the process of the same VM that it replaces, or `None`
    /// if there is none.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::tenure_watch::BorrowerTable;
    /// let (mut table, now) = (BorrowerTable::default(), Duration::ZERO);
    /// assert_eq!(table.record(&"front-1.a".into(), now), None);
    /// assert_eq!(table.record(&"front-1.b".into(), now).as_deref(), Some("front-1.a"));
    /// // A late message of the process that has ended.
    /// assert_eq!(table.record(&"front-1.a".into(), now), None);
    /// assert!(table.is_replaced("front-1.a") && !table.is_replaced("front-1.b"));
    /// ```
    pub fn record(&mut self, entry: &EntryId, now: Duration) -> Option<EntryId> {
        if self.is_replaced(entry) {
            return None;
        }
        self.replaced.retain(|_, at| now.saturating_sub(*at) <= REPLACED_TIME);
        let vm = VmId::from(ids::vm_of(entry));
        let before = self.current.insert(vm, Arc::clone(entry))?;
        if before == *entry {
            return None;
        }
        self.replaced.insert(Arc::clone(&before), now);
        Some(before)
    }

    /// Returns whether a process has ended, because a newer one of its VM borrows.
    pub fn is_replaced(&self, entry: &str) -> bool {
        self.replaced.contains_key(entry)
    }

    /// Returns the processes that newer ones of their VMs have replaced.
    pub fn replaced(&self) -> impl Iterator<Item = &EntryId> {
        self.replaced.keys()
    }

    /// Returns whether another process of the same VM borrows, so that this one has ended. If it has
    /// not, and only not been heard of, what it used is frozen for no reason, but not lost.
    pub fn has_ended(&self, entry: &str) -> bool {
        let current = self.current.get(ids::vm_of(entry));
        self.is_replaced(entry) || current.is_some_and(|current| **current != *entry)
    }
}

/// Why a tenure is taken for one that its lender will not settle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeathCause {
    /// A newer process of the lender's VM holds a tenure.
    Replaced,
    /// A borrower found that the lender's process has ended.
    Ended,
    /// The lender settles nothing, and no borrower uses the tenure.
    Unused,
    /// Another lender has begun to reclaim the tenure.
    Revoked,
}

#[derive(Debug)]
struct WatchRow {
    holder: EntryId,
    borrowers: BTreeSet<EntryId>,
    settled: Sequence,
    unchanged_since: Duration,
    has_ended: bool,
    death: Option<DeathCause>,
    /// Whether what no running loan can use has been returned.
    is_reduced: bool,
    replies: BTreeMap<EntryId, FenceReply>,
}

impl WatchRow {
    fn new(holder: &EntryId, settled: Sequence, now: Duration) -> Self {
        Self {
            holder: Arc::clone(holder),
            borrowers: BTreeSet::new(),
            settled,
            unchanged_since: now,
            has_ended: false,
            death: None,
            is_reduced: false,
            replies: BTreeMap::new(),
        }
    }
}

/// What a borrower last reported of the tenures that it uses.
#[derive(Debug)]
struct UseReport {
    heard_at: Duration,
    current: BTreeSet<LoanTenure>,
}

/// The tenures of other lenders in the shards that this one lends from.
#[derive(Debug, Default)]
pub struct TenureWatch {
    rows: BTreeMap<LoanTenure, WatchRow>,
    uses: BTreeMap<EntryId, UseReport>,
    closed: BTreeMap<LoanTenure, Duration>,
}

impl TenureWatch {
    /// Records the holders of a shard; `own` is this lender. `has_ended` says that a borrower has ended.
    /// Returns the holders whose tenures have to be reclaimed from now on, and why.
    pub fn observe<HasEnded>(
        &mut self,
        shard: &ShardName,
        content: &BudgetShard,
        own: &EntryId,
        now: Duration,
        has_ended: HasEnded,
    ) -> Vec<(EntryId, DeathCause)>
    where
        HasEnded: Fn(&str) -> bool,
    {
        self.rows.retain(|tenure, row| {
            let known = content.holders.get(&row.holder);
            tenure.shard != *shard || known.is_some_and(|known| known.epoch == tenure.epoch)
        });
        self.closed.retain(|_, at| now.saturating_sub(*at) <= CLOSED_TIME);
        self.uses.retain(|_, report| now.saturating_sub(report.heard_at) <= REPORT_TIME);
        let mut found = Vec::new();
        for (holder, known) in content.holders.iter().filter(|(_, known)| known.lends) {
            if holder == own {
                continue;
            }
            let tenure = LoanTenure { shard: Arc::clone(shard), epoch: known.epoch };
            let row = self.rows.entry(tenure.clone());
            let row = row.or_insert_with(|| WatchRow::new(holder, known.settled, now));
            if row.settled != known.settled {
                (row.settled, row.unchanged_since) = (known.settled, now);
            }
            row.borrowers.clone_from(&known.agents);
            if row.death.is_some() {
                continue;
            }
            let is_free = |entry: &EntryId| {
                let report = self.uses.get(entry);
                has_ended(entry) || report.is_some_and(|report| !report.current.contains(&tenure))
            };
            let is_silent = now.saturating_sub(row.unchanged_since) >= SILENCE_TIME;
            let is_same_vm = *ids::vm_of(holder) == *ids::vm_of(own);
            let causes = [
                (known.state != HolderState::Live, DeathCause::Revoked),
                (is_same_vm || content.is_replaced(holder), DeathCause::Replaced),
                (row.has_ended, DeathCause::Ended),
                (is_silent && row.borrowers.iter().all(is_free), DeathCause::Unused),
            ];
            row.death = causes.into_iter().find_map(|(applies, cause)| applies.then_some(cause));
            found.extend(row.death.map(|cause| (Arc::clone(holder), cause)));
        }
        found
    }

    /// Records what a borrower reports of the tenures that it uses.
    pub fn record_uses(
        &mut self,
        entry: &EntryId,
        uses: &[(LoanTenure, TenureUse)],
        now: Duration,
    ) {
        let mut current = BTreeSet::new();
        for (tenure, state) in uses {
            if *state == TenureUse::Current {
                current.insert(tenure.clone());
            } else if let Some(row) = self.rows.get_mut(tenure) {
                row.has_ended = true;
            }
        }
        self.uses.insert(Arc::clone(entry), UseReport { heard_at: now, current });
    }

    /// Returns whether a tenure of a shard has to be reclaimed.
    pub fn has_dead(&self, shard: &ShardName) -> bool {
        let mut rows = self.rows.iter().filter(|(tenure, _)| tenure.shard == *shard);
        rows.any(|(_, row)| row.death.is_some())
    }

    /// Returns the tenures that a borrower must fence and report on: those of dead lenders whose loans
    /// it may still use.
    pub fn fences_for(&self, entry: &str) -> Vec<LoanTenure> {
        let is_open = |row: &WatchRow| row.replies.get(entry).is_none_or(|reply| reply.running > 0);
        let rows = self.rows.iter().filter(|(_, row)| {
            row.death.is_some() && row.borrowers.contains(entry) && is_open(row)
        });
        rows.map(|(tenure, _)| tenure.clone()).collect()
    }

    /// Records what a borrower reports of a tenure that it has fenced.
    pub fn record_reply(&mut self, tenure: &LoanTenure, entry: &EntryId, reply: FenceReply) {
        if let Some(row) = self.rows.get_mut(tenure) {
            row.replies.insert(Arc::clone(entry), reply);
        }
    }

    /// Returns the last report of a borrower on a tenure, or `None` if there is none yet.
    pub fn find_reply(&self, tenure: &LoanTenure, entry: &str) -> Option<&FenceReply> {
        self.rows.get(tenure)?.replies.get(entry)
    }

    /// Returns a tenure that can be reclaimed, and its holder: of each borrower there is a final report,
    /// or `has_ended` says that it has ended. A tenure that has not been reduced is returned as soon as
    /// each borrower has fenced it.
    pub fn find_ready<HasEnded>(&self, has_ended: HasEnded) -> Option<(LoanTenure, EntryId)>
    where
        HasEnded: Fn(&str) -> bool,
    {
        let is_done = |row: &WatchRow, entry: &EntryId| {
            let reply = row.replies.get(entry);
            reply.is_some_and(|reply| reply.running == 0 || !row.is_reduced) || has_ended(entry)
        };
        let mut ready = self.rows.iter().filter(|(_, row)| {
            row.death.is_some() && row.borrowers.iter().all(|entry| is_done(row, entry))
        });
        ready.next().map(|(tenure, row)| (tenure.clone(), Arc::clone(&row.holder)))
    }

    /// Records that what running loans cannot use of a tenure has been returned, as far as it is known.
    pub fn record_reduced(&mut self, tenure: &LoanTenure) {
        if let Some(row) = self.rows.get_mut(tenure) {
            row.is_reduced = true;
        }
    }

    /// Records that a tenure is closed.
    pub fn record_closed(&mut self, tenure: LoanTenure, now: Duration) {
        self.rows.remove(&tenure);
        self.closed.insert(tenure, now);
    }

    /// Returns the tenures that were closed lately.
    pub fn closed(&self) -> Vec<LoanTenure> {
        self.closed.keys().cloned().collect()
    }
}
