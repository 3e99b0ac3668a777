//! The budget shard: the one object that says what is prepaid, billed, granted and frozen.
//!
//! Every change is a conditional update of the whole object, so that
//! `billed + written_off + frozen + granted <= prepaid` holds in every version of it, whoever is
//! cut off from whom. `docs/BUDGETS.md` weighs this design against the others.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::ids::{
    self, AgentId, CustomerId, EntryId, Epoch, RequestId, RunId, Sequence, ServiceName,
};
use crate::ids::{ShardName, Tokens};
use crate::messages::MirrorObject;
use crate::paths;
use crate::storecalls;

/// Keyed requests an account remembers before the older half moves to its archive.
pub const RECENT_KEY_LIMIT: usize = 512;

quick_error! {
    /// Why a budget was not changed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum BudgetError {
        /// The budget would go below what is already promised.
        Committed(committed: Tokens) {
            display("5004: {committed} tokens are billed, written off, granted or frozen")
        }
        /// There is no such account.
        NoAccount {
            display("5001: the shard holds no account of this customer")
        }
        /// The amount does not fit the counters.
        TooLarge {
            display("5001: the amount is too large")
        }
        /// Nothing is frozen under this tenure.
        NotFrozen {
            display("5001: nothing is frozen under this epoch")
        }
    }
}

/// Some customers' accounts and the holders that spend from them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetShard {
    /// The last epoch given to a holder; the next one is higher.
    pub epochs: Epoch,
    /// The holders, by entry.
    pub holders: BTreeMap<EntryId, HolderRow>,
    /// The accounts, by customer.
    pub accounts: BTreeMap<CustomerId, BudgetAccount>,
    /// Reclaimed tenures, by epoch; they tell which bill objects count.
    pub closed: BTreeMap<Epoch, ClosedTenure>,
}

/// One entry's tenure in a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRow {
    /// Number of the tenure, unique in the shard.
    pub epoch: Epoch,
    /// Who may change this tenure.
    pub state: HolderState,
    /// The last settlement batch applied.
    pub settled: Sequence,
    /// The last batch whose rows every agent has dropped.
    pub acked: Sequence,
    /// Agents that may have run something for this tenure, written before the first order.
    pub agents: BTreeSet<AgentId>,
}

/// Who may change a tenure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HolderState {
    /// The holder itself.
    Live,
    /// The entry that reclaims it.
    Revoked {
        /// The reclaiming entry.
        by: EntryId,
    },
}

/// How a tenure was reclaimed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedTenure {
    /// The last batch that its holder had applied.
    pub settled: Sequence,
    /// The entry whose reclaim batch counts.
    pub by: EntryId,
}

/// One customer's money.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetAccount {
    /// All that was ever prepaid, less what an operator took back.
    pub prepaid: Tokens,
    /// The sum of all bills.
    pub billed: Tokens,
    /// Used by tries that no bill covers: spent, but not charged.
    pub written_off: Tokens,
    /// Not provably spent or unspent, by the epoch of the tenure.
    pub frozen: BTreeMap<Epoch, Tokens>,
    /// What each holder may still spend or has not settled yet.
    pub grants: BTreeMap<EntryId, Tokens>,
    /// Keyed requests billed recently.
    pub recent: BTreeMap<RequestId, RecentBill>,
    /// Keyed requests billed so far; numbers the marks.
    pub keyed: u64,
    /// Whether the archive holds any keyed request.
    pub archived: bool,
}

/// Where a keyed request was billed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentBill {
    /// The tenure that billed it.
    pub epoch: Epoch,
    /// The place among the account's keyed requests.
    pub order: u64,
}

/// One request's bill.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillRow {
    /// The request.
    pub request: RequestId,
    /// Who pays.
    pub customer: CustomerId,
    /// The service used.
    pub service: ServiceName,
    /// The tenure that held the money.
    pub epoch: Epoch,
    /// Whether the caller gave a key, so that another bill of it may exist.
    pub keyed: bool,
    /// The usage that is charged.
    pub billed: Tokens,
    /// Usage of failed tries and of duplicates: spent, not charged.
    pub written_off: Tokens,
    /// Held by tries whose usage cannot be known.
    pub unproved: Tokens,
    /// The tries.
    pub runs: Vec<BilledRun>,
}

/// One try in a bill.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BilledRun {
    /// The try.
    pub run: RunId,
    /// Where it ran.
    pub agent: AgentId,
    /// What it used.
    pub used: Tokens,
}

/// The bills that one conditional update settles together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillBatch {
    /// The shard.
    pub shard: ShardName,
    /// The tenure.
    pub epoch: Epoch,
    /// The batch's number in the tenure.
    pub sequence: Sequence,
    /// The bills.
    pub rows: Vec<BillRow>,
}

impl BillRow {
    /// Returns all that the row takes from a grant.
    pub fn total(&self) -> Tokens {
        self.billed + self.written_off + self.unproved
    }

    /// Turns the bill of an already billed request into a written-off one.
    fn write_off(&mut self) {
        self.written_off += self.billed;
        self.billed = 0;
    }
}

impl BudgetAccount {
    /// Returns all that is promised or gone.
    pub fn committed(&self) -> Tokens {
        let frozen: Tokens = self.frozen.values().sum();
        let granted: Tokens = self.grants.values().sum();
        self.billed + self.written_off + frozen + granted
    }

    /// Returns what can still be granted.
    ///
    /// # Examples
    /// ```
    /// let mut account = toucanrail::budgets::BudgetAccount::default();
    /// account.top_up(100)?;
    /// assert_eq!(account.unallocated(), 100);
    /// # Ok::<(), toucanrail::budgets::BudgetError>(())
    /// ```
    pub fn unallocated(&self) -> Tokens {
        self.prepaid.saturating_sub(self.committed())
    }

    /// Returns what is neither billed nor lost; part of it may be granted.
    pub fn unspent(&self) -> Tokens {
        let frozen: Tokens = self.frozen.values().sum();
        self.prepaid.saturating_sub(self.billed + self.written_off + frozen)
    }

    /// Returns what holders other than this one may still spend or have not settled yet.
    pub fn granted_to_others(&self, entry: &EntryId) -> Tokens {
        let others = self.grants.iter().filter(|(holder, _)| *holder != entry);
        others.map(|(_, granted)| granted).sum()
    }

    /// Adds prepaid tokens.
    pub fn top_up(&mut self, amount: Tokens) -> Result<(), BudgetError> {
        let raised = self.prepaid.checked_add(amount).ok_or(BudgetError::TooLarge)?;
        self.prepaid = raised;
        Ok(())
    }

    /// Takes prepaid tokens back, never below what is promised.
    pub fn lower(&mut self, amount: Tokens) -> Result<(), BudgetError> {
        if amount > self.unallocated() {
            return Err(BudgetError::Committed(self.committed()));
        }
        self.prepaid -= amount;
        Ok(())
    }

    /// Releases what a tenure left frozen: the operator vouches that it was not spent.
    pub fn release_frozen(&mut self, epoch: Epoch) -> Result<Tokens, BudgetError> {
        self.frozen.remove(&epoch).ok_or(BudgetError::NotFrozen)
    }

    /// Decides how a row is settled: a keyed request already billed is written off.
    fn write_off_duplicate(&self, row: &mut BillRow, archived: &BTreeSet<RequestId>) {
        let billed = self.recent.contains_key(&row.request) || archived.contains(&row.request);
        if row.keyed && billed && row.billed > 0 {
            row.write_off();
        }
    }

    fn record(&mut self, row: &BillRow) {
        self.billed += row.billed;
        self.written_off += row.written_off;
        if row.unproved > 0 {
            *self.frozen.entry(row.epoch).or_default() += row.unproved;
        }
        if row.keyed && row.billed > 0 {
            self.keyed += 1;
            let mark = RecentBill { epoch: row.epoch, order: self.keyed };
            self.recent.insert(Arc::clone(&row.request), mark);
        }
    }

    /// Returns the older half of the recent keyed requests, once there are too many.
    pub fn keys_to_archive(&self, limit: usize) -> BTreeSet<RequestId> {
        if self.recent.len() <= limit {
            return BTreeSet::new();
        }
        let mut marks: Vec<_> = self.recent.iter().collect();
        marks.sort_by_key(|(_, mark)| mark.order);
        let half = marks.len() / 2;
        marks.into_iter().take(half).map(|(request, _)| Arc::clone(request)).collect()
    }
}

impl BudgetShard {
    /// Returns what stands granted to runs of VMs that have another run among the holders since. Nobody
    /// can settle it, so that no wait brings it back.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::budgets::{BudgetAccount, BudgetShard};
    /// let mut shard = BudgetShard::default();
    /// let mut account = BudgetAccount::default();
    /// for (holder, granted) in [("vm-1.a", 5), ("vm-2.b", 7), ("vm-1.c", 9)] {
    ///     shard.open_tenure(&holder.into());
    ///     account.grants.insert(holder.into(), granted);
    /// }
    /// assert_eq!(shard.stranded(&account), 5);
    /// ```
    pub fn stranded(&self, account: &BudgetAccount) -> Tokens {
        let replaced = account.grants.iter().filter(|(holder, _)| self.is_replaced(holder));
        replaced.map(|(_, granted)| granted).sum()
    }

    /// Tells whether a holder's VM runs another process now.
    fn is_replaced(&self, holder: &EntryId) -> bool {
        let epoch = self.holders.get(holder).map_or(0, |row| row.epoch);
        let later = |(other, row): (&EntryId, &HolderRow)| {
            row.epoch > epoch && ids::vm_of(other) == ids::vm_of(holder)
        };
        self.holders.iter().any(later)
    }

    /// Opens a tenure for an entry that has none and returns its epoch.
    pub fn open_tenure(&mut self, entry: &EntryId) -> Epoch {
        if let Some(row) = self.holders.get(entry) {
            return row.epoch;
        }
        self.epochs += 1;
        let row = HolderRow {
            epoch: self.epochs,
            state: HolderState::Live,
            settled: 0,
            acked: 0,
            agents: BTreeSet::new(),
        };
        self.holders.insert(Arc::clone(entry), row);
        self.epochs
    }

    /// Returns an entry's tenure if it is live and of this epoch.
    pub fn live_tenure(&mut self, entry: &EntryId, epoch: Epoch) -> Option<&mut HolderRow> {
        self.holders
            .get_mut(entry)
            .filter(|row| row.epoch == epoch && row.state == HolderState::Live)
    }

    /// Decides each row's settlement against what the shard and the archive know as billed.
    pub fn write_off_duplicates(&self, rows: &mut [BillRow], archived: &BTreeSet<RequestId>) {
        let mut seen = BTreeSet::new();
        for row in rows {
            if let Some(account) = self.accounts.get(&row.customer) {
                account.write_off_duplicate(row, archived);
            }
            // Two tries of one key may end in the same batch.
            if row.keyed && row.billed > 0 && !seen.insert(Arc::clone(&row.request)) {
                row.write_off();
            }
        }
    }

    /// Moves decided rows from an entry's grants to the accounts' totals.
    ///
    /// Rows of an earlier tenure of the entry move from what that tenure left frozen; where
    /// nothing is left there, the reclaim has already billed them.
    pub fn settle_rows(&mut self, entry: &EntryId, epoch: Epoch, rows: &[BillRow]) {
        for row in rows {
            let Some(account) = self.accounts.get_mut(&row.customer) else {
                continue;
            };
            let total = row.total();
            let source = if row.epoch == epoch {
                account.grants.get_mut(entry)
            } else {
                account.frozen.get_mut(&row.epoch)
            };
            let Some(source) = source.filter(|source| **source >= total) else {
                continue;
            };
            *source -= total;
            account.record(row);
        }
        for account in self.accounts.values_mut() {
            account.frozen.retain(|_, left| *left > 0);
        }
    }

    /// Ends an entry's tenure: its grants go back, or are frozen where nothing proves them unspent.
    pub fn close_tenure(&mut self, entry: &EntryId, proved: bool) {
        let Some(row) = self.holders.remove(entry) else {
            return;
        };
        for account in self.accounts.values_mut() {
            let left = account.grants.remove(entry).unwrap_or_default();
            if !proved && left > 0 {
                *account.frozen.entry(row.epoch).or_default() += left;
            }
        }
    }

    /// Tells whether a batch counts: its holder applied it, or the reclaim's own batch is it.
    ///
    /// `name` is the batch's name among the bill objects.
    pub fn counts_batch(&self, batch: &BillBatch, name: &str) -> bool {
        if let Some(closed) = self.closed.get(&batch.epoch) {
            let reclaim = paths::reclaim_path(&batch.shard, batch.epoch, &closed.by);
            return reclaim.ends_with(name) || batch.sequence <= closed.settled;
        }
        let mut holders = self.holders.values();
        let holder = holders.find(|row| row.epoch == batch.epoch);
        holder.is_none_or(|row| batch.sequence <= row.settled)
    }

    /// Counts the holders by the configured names of their processes: a process that died and was
    /// started again under its name is one.
    pub fn count_holder_names(&self) -> u64 {
        let name = |id: &EntryId| id.rsplit_once('.').map_or(id.len(), |(name, _)| name.len());
        let names: BTreeSet<&str> = self.holders.keys().map(|id| &id[..name(id)]).collect();
        names.len() as u64
    }

    /// Tells whether every account keeps within its prepaid total.
    pub fn is_within_prepaid(&self) -> bool {
        self.accounts.values().all(|account| account.committed() <= account.prepaid)
    }
}

/// Reads the shards out of a listing of their kind, by name.
pub fn read_shards(objects: &[MirrorObject]) -> BTreeMap<ShardName, BudgetShard> {
    let rows = objects.iter().filter_map(|object| {
        storecalls::decode_value(&object.value).map(|shard| (Arc::clone(&object.name), shard))
    });
    rows.collect()
}

/// Reads the bills that count out of a listing of the bill objects.
pub fn read_bills(
    objects: &[MirrorObject],
    shards: &BTreeMap<ShardName, BudgetShard>,
) -> Vec<BillRow> {
    let mut rows = Vec::new();
    for object in objects {
        let batch: Option<BillBatch> = storecalls::decode_value(&object.value);
        let counted = batch.filter(|batch| {
            let shard = shards.get(&batch.shard);
            shard.is_some_and(|shard| shard.counts_batch(batch, &object.name))
        });
        rows.extend(counted.map(|batch| batch.rows).unwrap_or_default());
    }
    rows
}
