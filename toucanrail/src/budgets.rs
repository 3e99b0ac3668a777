//! The budget shard: the object that records what is prepaid, billed, granted and frozen for a set
//! of customers.
//!
//! Every change is a conditional update of the whole object, so that
//! `billed + written_off + frozen + granted <= prepaid` holds in every version of it, whatever the
//! network partition. `docs/BUDGETS.md` compares this design with the alternatives.
//!
//! An entry takes part in a shard as a holder. Its tenure, numbered by an epoch, lasts until the
//! entry leaves or another entry reclaims it. During the tenure the entry is granted parts of the
//! accounts, and settles what it used as bills. What a reclaim can neither prove spent nor unspent
//! is frozen.

#![deny(clippy::arithmetic_side_effects)]

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
use crate::token_counts;

/// Number of keyed requests above which an account moves the older half to its archive.
pub const RECENT_KEY_LIMIT: usize = 512;

quick_error! {
    /// Error of a change to a budget.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum BudgetError {
        /// The budget would fall below what is already committed.
        Committed(committed: Tokens) {
            display("5004: {committed} tokens are billed, written off, granted or frozen")
        }
        /// The shard has no account of this customer.
        NoAccount {
            display("5001: the shard holds no account of this customer")
        }
        /// The sum overflows the counter.
        TooLarge {
            display("5001: the amount is too large")
        }
        /// Nothing is frozen for this tenure.
        NotFrozen {
            display("5001: nothing is frozen under this epoch")
        }
    }
}

/// Accounts of some customers, and the holders that spend from them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetShard {
    /// The last epoch assigned to a holder; the next one is higher.
    pub epochs: Epoch,
    /// The holders, by entry.
    pub holders: BTreeMap<EntryId, HolderRow>,
    /// The accounts, by customer.
    pub accounts: BTreeMap<CustomerId, BudgetAccount>,
    /// Reclaimed tenures, by epoch; they determine which bill objects count.
    pub closed: BTreeMap<Epoch, ClosedTenure>,
}

/// An entry's tenure in a shard: the period in which it may hold grants there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRow {
    /// Number of the tenure, unique in the shard.
    pub epoch: Epoch,
    /// Which entry may change this tenure.
    pub state: HolderState,
    /// Sequence number of the last settlement batch applied.
    pub settled: Sequence,
    /// Sequence number of the last batch whose runs all agents have dropped.
    pub acked: Sequence,
    /// Agents that may have run something for this tenure; each is recorded before the first run is
    /// sent to it.
    pub agents: BTreeSet<AgentId>,
    /// Whether all its tokens are used through loans of the processes in `agents`, whose ledgers tell
    /// what was used.
    #[serde(default)]
    pub lends: bool,
}

/// Which entry may change a tenure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HolderState {
    /// The holder.
    Live,
    /// Only the entry that reclaims it.
    Revoked {
        /// The reclaiming entry.
        by: EntryId,
    },
}

/// A tenure that was reclaimed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedTenure {
    /// Sequence number of the last batch applied by its holder.
    pub settled: Sequence,
    /// The entry whose reclaim batch is the valid one.
    pub by: EntryId,
}

/// One customer's account.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetAccount {
    /// Total prepaid to date, less what an operator took back.
    pub prepaid: Tokens,
    /// Total billed.
    pub billed: Tokens,
    /// Usage that was spent but is not charged: failed attempts and duplicates.
    pub written_off: Tokens,
    /// Tokens that are neither provably spent nor provably unspent, by the epoch of the tenure.
    pub frozen: BTreeMap<Epoch, Tokens>,
    /// Tokens that each holder may still spend or has not settled yet.
    pub grants: BTreeMap<EntryId, Tokens>,
    /// Recently billed requests that have an idempotency key.
    pub recent: BTreeMap<RequestId, RecentBill>,
    /// Number of keyed requests billed so far; source of [`RecentBill::order`].
    pub keyed: u64,
    /// Whether keyed requests of this account were moved to the archive.
    pub archived: bool,
}

/// When a keyed request was billed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentBill {
    /// Epoch of the tenure that billed it.
    pub epoch: Epoch,
    /// Its number among the account's keyed requests.
    pub order: u64,
}

/// One request's bill.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillRow {
    /// The request.
    pub request: RequestId,
    /// The customer who pays.
    pub customer: CustomerId,
    /// The service that was used.
    pub service: ServiceName,
    /// Epoch of the tenure that held the tokens.
    pub epoch: Epoch,
    /// Whether the caller sent an idempotency key, so that the request may be billed elsewhere too.
    pub keyed: bool,
    /// The usage that is charged.
    pub billed: Tokens,
    /// Usage of failed attempts and duplicates: spent but not charged.
    pub written_off: Tokens,
    /// Tokens held by attempts whose usage cannot be determined.
    pub unproved: Tokens,
    /// The attempts of the request.
    pub runs: Vec<BilledRun>,
}

/// The usage of one attempt in a bill.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BilledRun {
    /// Id of the attempt.
    pub run: RunId,
    /// The agent that ran it.
    pub agent: AgentId,
    /// Tokens used.
    pub used: Tokens,
}

/// Who holds the tokens of an account.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AccountBalance {
    /// Total prepaid.
    pub prepaid: Tokens,
    /// Tokens that are not billed, written off or frozen.
    pub unspent: Tokens,
    /// Tokens granted to nobody.
    pub unallocated: Tokens,
    /// Tokens granted to other holders that a newer process of their VM has replaced.
    pub replaced: Tokens,
    /// Number of these holders.
    pub replaced_holders: usize,
    /// Tokens granted to the other holders.
    pub others: Tokens,
    /// Number of these holders.
    pub other_holders: usize,
}

/// The bills that one conditional update of the shard settles.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillBatch {
    /// The shard.
    pub shard: ShardName,
    /// Epoch of the tenure.
    pub epoch: Epoch,
    /// Sequence number of the batch within the tenure.
    pub sequence: Sequence,
    /// The bills.
    pub rows: Vec<BillRow>,
}

impl BillRow {
    /// Returns the amount that the row takes from a grant.
    pub fn total(&self) -> Tokens {
        token_counts::sum([self.billed, self.written_off, self.unproved])
    }

    /// Returns the row with a total of at most `limit`. What was billed is kept first, as only that
    /// is owed by the customer.
    #[must_use]
    pub fn limit_to(mut self, limit: Tokens) -> Self {
        let mut left = limit;
        for amount in [&mut self.billed, &mut self.written_off, &mut self.unproved] {
            *amount = left.min(*amount);
            left = left.saturating_sub(*amount);
        }
        self
    }

    /// Moves the billed usage to `written_off`, for a request that is already billed.
    fn write_off(&mut self) {
        self.written_off = self.written_off.saturating_add(self.billed);
        self.billed = 0;
    }
}

impl BudgetAccount {
    /// Returns the tokens that are billed, written off or frozen.
    pub fn spent(&self) -> Tokens {
        token_counts::sum([self.billed, self.written_off, self.frozen_total()])
    }

    /// Returns the tokens that are frozen for any tenure.
    pub fn frozen_total(&self) -> Tokens {
        token_counts::sum(self.frozen.values().copied())
    }

    /// Returns the tokens that are billed, written off, frozen or granted.
    pub fn committed(&self) -> Tokens {
        self.spent().saturating_add(token_counts::sum(self.grants.values().copied()))
    }

    /// Returns the tokens that can still be granted.
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

    /// Returns the tokens that are not billed, written off or frozen; part of them may be granted.
    pub fn unspent(&self) -> Tokens {
        self.prepaid.saturating_sub(self.spent())
    }

    /// Returns the total granted to holders other than `entry`.
    pub fn granted_to_others(&self, entry: &EntryId) -> Tokens {
        let others = self.grants.iter().filter(|(holder, _)| *holder != entry);
        token_counts::sum(others.map(|(_, granted)| *granted))
    }

    /// Adds prepaid tokens.
    pub fn top_up(&mut self, amount: Tokens) -> Result<(), BudgetError> {
        let prepaid = self.prepaid.checked_add(amount).ok_or(BudgetError::TooLarge)?;
        self.prepaid = prepaid;
        Ok(())
    }

    /// Takes prepaid tokens back. Fails if the total would fall below what is committed.
    pub fn lower(&mut self, amount: Tokens) -> Result<(), BudgetError> {
        if amount > self.unallocated() {
            return Err(BudgetError::Committed(self.committed()));
        }
        self.prepaid = self.prepaid.saturating_sub(amount);
        Ok(())
    }

    /// Releases the tokens frozen for a tenure and returns their number. The operator asserts that
    /// they were not spent.
    pub fn release_frozen(&mut self, epoch: Epoch) -> Result<Tokens, BudgetError> {
        self.frozen.remove(&epoch).ok_or(BudgetError::NotFrozen)
    }

    /// Writes a row off if its keyed request is already billed.
    fn write_off_duplicate(&self, row: &mut BillRow, archived: &BTreeSet<RequestId>) {
        let billed = self.recent.contains_key(&row.request) || archived.contains(&row.request);
        if row.keyed && billed && row.billed > 0 {
            row.write_off();
        }
    }

    fn apply_bill(&mut self, row: &BillRow) {
        self.billed = self.billed.saturating_add(row.billed);
        self.written_off = self.written_off.saturating_add(row.written_off);
        self.freeze(row.epoch, row.unproved);
        if row.keyed && row.billed > 0 {
            self.keyed = self.keyed.saturating_add(1);
            let bill = RecentBill { epoch: row.epoch, order: self.keyed };
            self.recent.insert(Arc::clone(&row.request), bill);
        }
    }

    /// Freezes tokens of a tenure.
    fn freeze(&mut self, epoch: Epoch, amount: Tokens) {
        if amount > 0 {
            let frozen = self.frozen.entry(epoch).or_default();
            *frozen = frozen.saturating_add(amount);
        }
    }

    /// Returns the older half of the recent keyed requests if there are more than `limit`.
    pub fn keys_to_archive(&self, limit: usize) -> BTreeSet<RequestId> {
        if self.recent.len() <= limit {
            return BTreeSet::new();
        }
        let mut bills: Vec<_> = self.recent.iter().collect();
        bills.sort_by_key(|(_, bill)| bill.order);
        let half = bills.len() / 2;
        bills.into_iter().take(half).map(|(request, _)| Arc::clone(request)).collect()
    }
}

impl BudgetShard {
    /// Returns the total granted to holders that a newer process of the same VM has replaced.
    /// Nobody will settle these grants, so waiting does not bring them back.
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
        token_counts::sum(replaced.map(|(_, granted)| *granted))
    }

    /// Returns who holds the tokens of an account, as seen by the holder `entry`.
    pub fn balance(&self, account: &BudgetAccount, entry: &EntryId) -> AccountBalance {
        let mut balance = AccountBalance {
            prepaid: account.prepaid,
            unspent: account.unspent(),
            unallocated: account.unallocated(),
            ..AccountBalance::default()
        };
        let others =
            account.grants.iter().filter(|(holder, granted)| *holder != entry && **granted > 0);
        for (holder, granted) in others {
            let (sum, count) = if self.is_replaced(holder) {
                (&mut balance.replaced, &mut balance.replaced_holders)
            } else {
                (&mut balance.others, &mut balance.other_holders)
            };
            *sum = sum.saturating_add(*granted);
            *count = count.saturating_add(1);
        }
        balance
    }

    /// Returns whether a later holder is a newer process of the same VM.
    pub fn is_replaced(&self, holder: &EntryId) -> bool {
        let epoch = self.holders.get(holder).map_or(0, |row| row.epoch);
        let later = |(other, row): (&EntryId, &HolderRow)| {
            row.epoch > epoch && ids::vm_of(other) == ids::vm_of(holder)
        };
        self.holders.iter().any(later)
    }

    /// Returns the epoch of an entry's tenure, opening one if there is none.
    pub fn open_tenure(&mut self, entry: &EntryId) -> Epoch {
        if let Some(row) = self.holders.get(entry) {
            return row.epoch;
        }
        self.epochs = self.epochs.saturating_add(1);
        let row = HolderRow {
            epoch: self.epochs,
            state: HolderState::Live,
            settled: 0,
            acked: 0,
            agents: BTreeSet::new(),
            lends: false,
        };
        self.holders.insert(Arc::clone(entry), row);
        self.epochs
    }

    /// Returns an entry's tenure if it is live and has this epoch.
    pub fn live_tenure(&mut self, entry: &EntryId, epoch: Epoch) -> Option<&mut HolderRow> {
        self.holders
            .get_mut(entry)
            .filter(|row| row.epoch == epoch && row.state == HolderState::Live)
    }

    /// Writes off the rows whose keyed request is already billed: in the shard, in the archive or
    /// by an earlier row.
    pub fn write_off_duplicates(&self, rows: &mut [BillRow], archived: &BTreeSet<RequestId>) {
        let mut seen = BTreeSet::new();
        for row in rows {
            if let Some(account) = self.accounts.get(&row.customer) {
                account.write_off_duplicate(row, archived);
            }
            // Two requests with the same key may be in one batch.
            if row.keyed && row.billed > 0 && !seen.insert(Arc::clone(&row.request)) {
                row.write_off();
            }
        }
    }

    /// Settles rows: moves their amounts from the entry's grants to the accounts' totals.
    ///
    /// Rows of an earlier tenure of the entry are taken from what that tenure left frozen. A row is
    /// skipped if its source holds less than its amount; for an earlier tenure, the reclaim has
    /// then already billed it.
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
            let Some(source) = source else {
                continue;
            };
            if let Some(left) = source.checked_sub(total) {
                *source = left;
                account.apply_bill(row);
            }
        }
        for account in self.accounts.values_mut() {
            account.frozen.retain(|_, left| *left > 0);
        }
    }

    /// Lowers an entry's grants to `needed`, by customer, and returns the tokens taken from them.
    pub fn reduce_grants(
        &mut self,
        entry: &EntryId,
        needed: &BTreeMap<CustomerId, Tokens>,
    ) -> Tokens {
        let mut released: Tokens = 0;
        for (customer, account) in &mut self.accounts {
            let limit = needed.get(customer).copied().unwrap_or_default();
            if let Some(granted) = account.grants.get_mut(entry) {
                released = released.saturating_add(granted.saturating_sub(limit));
                *granted = limit.min(*granted);
            }
        }
        released
    }

    /// Ends an entry's tenure, and returns what was left of its grants. With `proved`, they are known to
    /// be unspent and return to the accounts; otherwise they are frozen.
    pub fn close_tenure(&mut self, entry: &EntryId, proved: bool) -> Tokens {
        let Some(row) = self.holders.remove(entry) else {
            return 0;
        };
        let mut total: Tokens = 0;
        for account in self.accounts.values_mut() {
            let left = account.grants.remove(entry).unwrap_or_default();
            total = total.saturating_add(left);
            if !proved {
                account.freeze(row.epoch, left);
            }
        }
        total
    }

    /// Returns whether the tenure with this epoch has ended.
    pub fn has_closed(&self, epoch: Epoch) -> bool {
        epoch <= self.epochs && self.holders.values().all(|row| row.epoch != epoch)
    }

    /// Returns whether a batch counts: its holder applied it, or it is the batch of the reclaim.
    ///
    /// `name` is the name of the bill object that contains the batch.
    pub fn counts_batch(&self, batch: &BillBatch, name: &str) -> bool {
        if let Some(closed) = self.closed.get(&batch.epoch) {
            let reclaim = paths::reclaim_path(&batch.shard, batch.epoch, &closed.by);
            return reclaim.ends_with(name) || batch.sequence <= closed.settled;
        }
        let mut holders = self.holders.values();
        let holder = holders.find(|row| row.epoch == batch.epoch);
        holder.is_none_or(|row| batch.sequence <= row.settled)
    }

    /// Counts the holders by their configured process names, so that a process that was restarted
    /// under its name counts once.
    pub fn count_holder_names(&self) -> u64 {
        let name_len = |id: &EntryId| id.rsplit_once('.').map_or(id.len(), |(name, _)| name.len());
        let names: BTreeSet<&str> = self.holders.keys().map(|id| &id[..name_len(id)]).collect();
        names.len() as u64
    }

    /// Returns whether no account has more committed than prepaid.
    pub fn is_within_prepaid(&self) -> bool {
        self.accounts.values().all(|account| account.committed() <= account.prepaid)
    }
}

/// Decodes the shards in a listing of the shard objects, by name.
pub fn read_shards(objects: &[MirrorObject]) -> BTreeMap<ShardName, BudgetShard> {
    let rows = objects.iter().filter_map(|object| {
        storecalls::decode_value(&object.value).map(|shard| (Arc::clone(&object.name), shard))
    });
    rows.collect()
}

/// Decodes the bills in a listing of the bill objects, without batches that do not count.
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
