//! A lender's watch on the tenures of other lenders: which of them have ended without settling, and
//! what their borrowers report of them.
//!
//! Reclaiming the tenure of a lender that lives is safe, since its borrowers fence it first, but until
//! it is done that lender cannot lend. So a tenure is reclaimed once a newer process of the lender's VM
//! has replaced it, or once none of its borrowers reaches the lender and it settles nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::budgets::{BudgetShard, HolderState};
use crate::ids::{self, EntryId, Sequence, ShardName, VmId};
use crate::loans::LoanTenure;
use crate::messages::FenceReply;

/// Time without a settlement after which a lender that no borrower reaches counts as dead.
/// Lenders in use settle every few seconds.
const SILENCE_TIME: Duration = Duration::from_secs(4);
/// Time for which a borrower's failure to reach a lender counts; longer than borrowers avoid a lender
/// after a failure.
const FAILURE_TIME: Duration = Duration::from_secs(15);
/// Time for which borrowers are told that a tenure is closed.
const CLOSED_TIME: Duration = Duration::from_secs(10);
/// Maximum time for which a process whose VM has another one by now is remembered.
const REPLACED_TIME: Duration = Duration::from_secs(300);

/// The borrowers of one lender, by VM.
#[derive(Debug, Default)]
pub struct BorrowerTable {
    /// The process of each VM that borrows, and when it was last heard of.
    current: BTreeMap<VmId, (EntryId, Duration)>,
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
        let (before, _) = self.current.insert(vm, (Arc::clone(entry), now))?;
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
        self.is_replaced(entry) || current.is_some_and(|(current, _)| **current != *entry)
    }

    /// Returns the processes that have borrowed in the last `time`.
    pub fn list_recent(&self, time: Duration, now: Duration) -> BTreeSet<EntryId> {
        let rows = self.current.values();
        let recent = rows.filter(|(_, heard_at)| now.saturating_sub(*heard_at) <= time);
        recent.map(|(entry, _)| Arc::clone(entry)).collect()
    }
}

#[derive(Debug)]
struct WatchRow {
    holder: EntryId,
    borrowers: BTreeSet<EntryId>,
    settled: Sequence,
    unchanged_since: Duration,
    is_dead: bool,
    replies: BTreeMap<EntryId, FenceReply>,
}

/// The tenures of other lenders in the shards that this one lends from.
#[derive(Debug, Default)]
pub struct TenureWatch {
    rows: BTreeMap<LoanTenure, WatchRow>,
    /// VMs of lenders that were not reached, by borrower, and when last.
    failed: BTreeMap<(EntryId, VmId), Duration>,
    closed: BTreeMap<LoanTenure, Duration>,
}

impl TenureWatch {
    /// Records the holders of a shard; `own` is this lender. `has_ended` says that a borrower has ended.
    pub fn observe<HasEnded>(
        &mut self,
        shard: &ShardName,
        content: &BudgetShard,
        own: &EntryId,
        now: Duration,
        has_ended: HasEnded,
    ) where
        HasEnded: Fn(&str) -> bool,
    {
        self.rows.retain(|tenure, row| {
            let known = content.holders.get(&row.holder);
            tenure.shard != *shard || known.is_some_and(|known| known.epoch == tenure.epoch)
        });
        self.closed.retain(|_, at| now.saturating_sub(*at) <= CLOSED_TIME);
        self.failed.retain(|_, at| now.saturating_sub(*at) <= FAILURE_TIME);
        for (holder, known) in content.holders.iter().filter(|(_, known)| known.lends) {
            if holder == own {
                continue;
            }
            let tenure = LoanTenure { shard: Arc::clone(shard), epoch: known.epoch };
            let row = self.rows.entry(tenure).or_insert_with(|| WatchRow {
                holder: Arc::clone(holder),
                borrowers: BTreeSet::new(),
                settled: known.settled,
                unchanged_since: now,
                is_dead: false,
                replies: BTreeMap::new(),
            });
            if row.settled != known.settled {
                (row.settled, row.unchanged_since) = (known.settled, now);
            }
            row.borrowers.clone_from(&known.agents);
            let vm = VmId::from(ids::vm_of(holder));
            let reaches = |entry: &EntryId| {
                !has_ended(entry)
                    && !self.failed.contains_key(&(Arc::clone(entry), Arc::clone(&vm)))
            };
            let is_silent = now.saturating_sub(row.unchanged_since) >= SILENCE_TIME;
            let is_unreached = is_silent && !row.borrowers.iter().any(reaches);
            let is_replaced = *vm == *ids::vm_of(own) || content.is_replaced(holder);
            // Another lender may have begun to reclaim the tenure, and died.
            let is_revoked = known.state != HolderState::Live;
            row.is_dead |= is_replaced || is_unreached || is_revoked;
        }
    }

    /// Records that a borrower does not reach a lender.
    pub fn record_failure(&mut self, entry: &EntryId, vm: &VmId, now: Duration) {
        self.failed.insert((Arc::clone(entry), Arc::clone(vm)), now);
    }

    /// Returns the tenures that a borrower must fence and report on: those of dead lenders whose loans
    /// it may still use.
    pub fn fences_for(&self, entry: &str) -> Vec<LoanTenure> {
        let is_open = |row: &WatchRow| row.replies.get(entry).is_none_or(|reply| reply.running > 0);
        let rows = self
            .rows
            .iter()
            .filter(|(_, row)| row.is_dead && row.borrowers.contains(entry) && is_open(row));
        rows.map(|(tenure, _)| tenure.clone()).collect()
    }

    /// Records what a borrower reports of a tenure that it has fenced.
    pub fn record_reply(&mut self, tenure: &LoanTenure, entry: &EntryId, reply: FenceReply) {
        if let Some(row) = self.rows.get_mut(tenure) {
            row.replies.insert(Arc::clone(entry), reply);
        }
    }

    /// Returns the final report of a borrower on a tenure, or `None` if there is none yet.
    pub fn final_reply(&self, tenure: &LoanTenure, entry: &str) -> Option<&FenceReply> {
        let reply = self.rows.get(tenure)?.replies.get(entry)?;
        (reply.running == 0).then_some(reply)
    }

    /// Returns a tenure that can be reclaimed, and its holder: of each borrower there is a final report,
    /// or `has_ended` says that it has ended.
    pub fn find_ready<HasEnded>(&self, has_ended: HasEnded) -> Option<(LoanTenure, EntryId)>
    where
        HasEnded: Fn(&str) -> bool,
    {
        let is_done = |row: &WatchRow, entry: &EntryId| {
            row.replies.get(entry).is_some_and(|reply| reply.running == 0) || has_ended(entry)
        };
        let mut ready = self.rows.iter().filter(|(_, row)| {
            row.is_dead && row.borrowers.iter().all(|entry| is_done(row, entry))
        });
        ready.next().map(|(tenure, row)| (tenure.clone(), Arc::clone(&row.holder)))
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
