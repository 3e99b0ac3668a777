//! Batches of bills: each fits into an object of the store, and none of its rows is lost.

mod bills;

use std::collections::BTreeMap;
use std::sync::Arc;

use bills::{customer, entry, shard_name};
use toucanrail::budgets::{BillBatch, BudgetShard, ClosedTenure, HolderState};
use toucanrail::grants::{GrantHold, GrantTable};
use toucanrail::ids::{Epoch, Tokens, Version};
use toucanrail::paths;
use toucanrail::policies::GrantPolicy;
use toucanrail::storecalls::{self, ObjectPath, StoreCall, StoreReply, WriteExpectation};
use toucanrail::syncs::{SyncMachine, SyncOutcome};

/// The largest object that the store accepts, in bytes.
const OBJECT_LIMIT: usize = 1_000_000;
const POLICY: GrantPolicy = GrantPolicy::FixedAmount { headroom: 100_000 };
const PREPAID: Tokens = 1_000_000;
/// Length of a request id that a caller may choose, in bytes.
const LONG_ID: usize = 16_000;
/// Syncs after which all bills must be settled.
const MAX_SYNCS: usize = 12;

/// One entry, and the store of its shard.
struct EntrySim {
    table: GrantTable,
    objects: BTreeMap<ObjectPath, (Version, Vec<u8>)>,
    next_request: usize,
}

impl EntrySim {
    /// Starts an entry with an open tenure.
    fn start() -> Self {
        let mut shard = BudgetShard::default();
        shard.accounts.entry(customer()).or_default().prepaid = PREPAID;
        let value = storecalls::encode_value(&shard);
        let objects = BTreeMap::from([(paths::budget_path(&shard_name()), (1, value))]);
        let mut table = GrantTable::new(entry(), POLICY);
        table.add_account(&customer(), &shard_name());
        let mut sim = Self { table, objects, next_request: 0 };
        sim.table.begin_wait(&customer(), 1_000);
        sim.sync(false);
        sim.table.end_wait(&customer(), 1_000);
        sim
    }

    fn call(&mut self, call: StoreCall) -> StoreReply {
        match call {
            StoreCall::Get { path } => match self.objects.get(&path) {
                Some((version, value)) => {
                    StoreReply::Found { version: *version, value: value.clone() }
                }
                None => StoreReply::Missing,
            },
            StoreCall::Put { path, expect, value } => {
                assert!(value.len() <= OBJECT_LIMIT, "{path} has {} bytes", value.len());
                let known = self.objects.get(&path).map(|(version, _)| *version);
                let expected = match expect {
                    WriteExpectation::Absent => None,
                    WriteExpectation::At(version) => Some(version),
                };
                if known != expected {
                    return StoreReply::Conflict;
                }
                let version = known.unwrap_or(0) + 1;
                self.objects.insert(path, (version, value));
                StoreReply::Written { version }
            }
        }
    }

    fn sync(&mut self, leave: bool) {
        self.sync_losing(leave, |_| false);
    }

    /// Runs a sync if one is due; replies to the calls that `loses` selects are lost.
    fn sync_losing(&mut self, leave: bool, loses: impl Fn(&StoreCall) -> bool) {
        let Some(plan) = self.table.plan_sync(&shard_name(), leave) else {
            return;
        };
        let cached = self.table.take_cached(&shard_name());
        let mut machine = SyncMachine::new(plan, POLICY, cached);
        while let Some(call) = machine.next_call() {
            let lost = loses(&call);
            let reply = self.call(call);
            machine.handle_reply(if lost { StoreReply::Unavailable } else { reply });
        }
        self.table.apply_sync(&shard_name(), machine.into_outcome());
    }

    fn hold(&mut self, amount: Tokens) -> GrantHold {
        self.table.hold(&customer(), amount).expect("a hold")
    }

    /// Ends a request that used all of its hold.
    fn end(&mut self, hold: &GrantHold, id_length: usize) {
        self.next_request += 1;
        let request = format!("{:0id_length$}", self.next_request);
        let bill = bills::make_bill(&request, hold.epoch, hold.amount);
        self.table.end_hold(hold, Some(bill));
    }

    fn bill_requests(&mut self, count: usize, id_length: usize) {
        for _ in 0..count {
            let hold = self.hold(1);
            self.end(&hold, id_length);
        }
    }

    fn shard(&self) -> BudgetShard {
        let (_, value) = &self.objects[&paths::budget_path(&shard_name())];
        storecalls::decode_value(value).expect("a shard")
    }

    fn change_shard(&mut self, change: impl Fn(&mut BudgetShard)) {
        let mut shard = self.shard();
        change(&mut shard);
        let value = storecalls::encode_value(&shard);
        let path = paths::budget_path(&shard_name());
        let (version, _) = self.objects[&path];
        self.objects.insert(path, (version + 1, value));
    }

    fn billed(&self) -> Tokens {
        self.shard().accounts[&customer()].billed
    }

    /// Returns what the stored batches that count bill in all.
    fn listed(&self) -> Tokens {
        let shard = self.shard();
        let bills = self.objects.iter().filter(|(path, _)| path.starts_with(paths::BILLS));
        let batches = bills.filter_map(|(path, (_, value))| {
            let batch: BillBatch = storecalls::decode_value(value)?;
            let (_, name) = path.split_once('/')?;
            shard.counts_batch(&batch, name).then_some(batch)
        });
        batches.flat_map(|batch| batch.rows).map(|row| row.billed).sum()
    }

    /// Another entry revokes this entry's tenure; its grants are frozen. Closes it if `closed`.
    fn revoke(&mut self, epoch: Epoch) {
        self.change_shard(|shard| {
            let row = shard.holders.get_mut(&entry()).expect("the tenure");
            row.state = HolderState::Revoked { by: Arc::from("live.y") };
        });
        self.sync(false);
        self.change_shard(|shard| {
            let settled = shard.holders[&entry()].settled;
            shard.close_tenure(&entry(), false);
            shard.closed.insert(epoch, ClosedTenure { settled, by: Arc::from("live.y") });
        });
    }
}

/// Callers choose long request ids, which bills carry. The store refuses a batch that is too large,
/// and the shard would never settle again.
#[test]
fn long_request_ids() {
    let mut sim = EntrySim::start();
    sim.bill_requests(300, LONG_ID);
    for _ in 0..MAX_SYNCS {
        sim.sync(false);
    }
    assert_eq!((sim.billed(), sim.listed()), (300, 300));
}

/// A tenure is revoked while thousands of bills wait. They come late, in batches that fit.
#[test]
fn many_late_bills() {
    let mut sim = EntrySim::start();
    sim.bill_requests(8_000, 32);
    // A first plan takes some of them before the revocation is known.
    let epoch = sim.shard().holders[&entry()].epoch;
    sim.revoke(epoch);
    sim.table.begin_wait(&customer(), 1_000);
    for _ in 0..MAX_SYNCS {
        sim.sync(false);
    }
    assert_eq!((sim.billed(), sim.listed()), (8_000, 8_000));
}

/// Late rows that each fit into what their tenure left frozen, but not together. A row that is not
/// settled is in no batch, as auditors add the batches up.
#[test]
fn late_rows_over_frozen() {
    let mut sim = EntrySim::start();
    let holds = [sim.hold(30), sim.hold(30)];
    let epoch = sim.shard().holders[&entry()].epoch;
    sim.revoke(epoch);
    sim.change_shard(|shard| {
        let account = shard.accounts.get_mut(&customer()).expect("the account");
        account.frozen.insert(epoch, 50);
    });
    sim.table.begin_wait(&customer(), 1_000);
    sim.sync(false);
    for hold in &holds {
        sim.end(hold, 8);
    }
    for _ in 0..4 {
        sim.sync(false);
    }
    assert_eq!((sim.billed(), sim.listed()), (30, 30));
}

/// An entry leaves while more bills wait than fit into a batch. They are settled before its grant
/// is returned as unspent.
#[test]
fn leave_with_many_bills() {
    let mut sim = EntrySim::start();
    sim.bill_requests(4_000, 32);
    for _ in 0..MAX_SYNCS {
        sim.sync(true);
    }
    assert_eq!((sim.billed(), sim.listed()), (4_000, 4_000));
    assert!(sim.shard().holders.is_empty() && sim.table.is_settled());
}

/// The reply to the sync that ends the tenure is lost. Its bills are settled and not late.
#[test]
fn lost_leave_reply() {
    let mut sim = EntrySim::start();
    sim.bill_requests(3, 8);
    let is_shard_write = |call: &StoreCall| matches!(call, StoreCall::Put { path, .. } if path.starts_with(paths::BUDGETS));
    sim.sync_losing(true, is_shard_write);
    assert!(sim.shard().holders.is_empty());
    sim.sync(true);
    assert!(sim.table.is_settled(), "{:?}", sim.table);
    assert_eq!((sim.billed(), sim.listed()), (3, 3));
    assert!(!sim.table.has_tenure(&shard_name()));
    assert!(sim.table.plan_sync(&shard_name(), false).is_none());
}

/// The same, but another entry has reclaimed the tenure: its reclaim decides.
#[test]
fn revoked_leave() {
    let mut sim = EntrySim::start();
    sim.bill_requests(3, 8);
    let epoch = sim.shard().holders[&entry()].epoch;
    let plan = sim.table.plan_sync(&shard_name(), true).expect("a plan");
    sim.change_shard(|shard| {
        shard.close_tenure(&entry(), false);
        shard.closed.insert(epoch, ClosedTenure { settled: 0, by: Arc::from("live.y") });
    });
    let mut machine = SyncMachine::new(plan, POLICY, None);
    while let Some(call) = machine.next_call() {
        let reply = sim.call(call);
        machine.handle_reply(reply);
    }
    assert_eq!(machine.into_outcome(), SyncOutcome::Revoked { applied: false });
}
