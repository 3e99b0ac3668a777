//! Objects in the store that cannot be decoded, such as those of another software version. Nothing
//! is billed on a guess at what they hold, and none is written over.

mod bills;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bills::{customer, entry, shard_name};
use toucanrail::archives::ArchiveMachine;
use toucanrail::budgets::{BillRow, BudgetShard, ClosedTenure, RecentBill};
use toucanrail::ids::{Epoch, Version};
use toucanrail::paths;
use toucanrail::policies::GrantPolicy;
use toucanrail::reclaims::{ReclaimCall, ReclaimMachine, ReclaimOutcome, ReclaimReply};
use toucanrail::storecalls::{self, ObjectPath, StoreCall, StoreReply};
use toucanrail::sync_plans::{GrantDemand, SyncPlan};
use toucanrail::syncs::{SyncMachine, SyncOutcome};

const UNREADABLE: &[u8] = b"{\"format\":2}";
/// Epoch of the tenure that is in force, and of one that another entry has closed.
const EPOCH: Epoch = 2;
const CLOSED_EPOCH: Epoch = 1;

/// An object API that records what is written.
#[derive(Default)]
struct ObjectTable {
    objects: BTreeMap<ObjectPath, Vec<u8>>,
    written: BTreeSet<ObjectPath>,
}

impl ObjectTable {
    /// Creates a table with a shard and an unreadable object.
    fn new(shard: &BudgetShard, unreadable: &ObjectPath) -> Self {
        let mut table = Self::default();
        table.objects.insert(paths::budget_path(&shard_name()), storecalls::encode_value(shard));
        table.objects.insert(Arc::clone(unreadable), UNREADABLE.to_vec());
        table
    }

    fn call(&mut self, call: StoreCall) -> StoreReply {
        match call {
            StoreCall::Get { path } => match self.objects.get(&path) {
                Some(value) => StoreReply::Found { version: 1, value: value.clone() },
                None => StoreReply::Missing,
            },
            StoreCall::Put { path, value, .. } => {
                self.written.insert(Arc::clone(&path));
                self.objects.insert(path, value);
                StoreReply::Written { version: 2 }
            }
        }
    }

    fn sync(&mut self, plan: SyncPlan, cached: Option<(Version, BudgetShard)>) -> Attempt {
        let policy = GrantPolicy::FixedAmount { headroom: 100 };
        let mut machine = SyncMachine::new(plan, policy, cached);
        while let Some(call) = machine.next_call() {
            machine.handle_reply(self.call(call));
        }
        let unreadable = machine.unreadable().map(Arc::clone);
        Attempt { unreadable, failed: machine.into_outcome() == SyncOutcome::Unavailable }
    }

    fn reclaim(&mut self) -> Attempt {
        let mut machine = ReclaimMachine::new(shard_name(), entry(), Arc::from("live.y"), true);
        while let Some(call) = machine.next_call() {
            machine.handle_reply(match call {
                ReclaimCall::Store(call) => ReclaimReply::Store(self.call(call)),
                ReclaimCall::Fence { .. } => ReclaimReply::Gone,
            });
        }
        let unreadable = machine.unreadable().map(Arc::clone);
        Attempt { unreadable, failed: machine.into_outcome() == ReclaimOutcome::Unavailable }
    }
}

/// The end of a procedure.
#[derive(Debug, PartialEq)]
struct Attempt {
    /// The object that ended it.
    unreadable: Option<ObjectPath>,
    failed: bool,
}

impl Attempt {
    fn assert_ended_by(&self, path: &ObjectPath) {
        assert_eq!(*self, Self { unreadable: Some(Arc::clone(path)), failed: true });
    }
}

/// Returns a bill of a request with a key.
fn make_keyed_bill(epoch: Epoch) -> BillRow {
    BillRow { keyed: true, ..bills::make_bill("ab12", epoch, 10) }
}

/// A shard in which the entry has a tenure and a grant, and an earlier tenure has been closed.
fn make_shard() -> BudgetShard {
    let mut shard = BudgetShard { epochs: CLOSED_EPOCH, ..BudgetShard::default() };
    shard.closed.insert(CLOSED_EPOCH, ClosedTenure { settled: 0, by: Arc::from("live.y") });
    shard.open_tenure(&entry());
    let account = shard.accounts.entry(customer()).or_default();
    account.prepaid = 1_000;
    account.grants.insert(entry(), 100);
    account.frozen.insert(CLOSED_EPOCH, 50);
    account.archived = true;
    shard
}

fn make_plan(rows: Vec<BillRow>) -> SyncPlan {
    SyncPlan {
        lends: false,
        shard: shard_name(),
        entry: entry(),
        epoch: EPOCH,
        sequence: 1,
        rows,
        demands: BTreeMap::from([(customer(), GrantDemand::default())]),
        acked: 0,
        agents: BTreeSet::new(),
        leave: false,
    }
}

/// The archive bucket of a keyed request: the request may be billed already.
#[test]
fn settled_archive() {
    let path = paths::archive_path(&shard_name(), &Arc::from("ab12"));
    let mut table = ObjectTable::new(&make_shard(), &path);
    table.sync(make_plan(vec![make_keyed_bill(EPOCH)]), None).assert_ended_by(&path);
    assert!(table.written.is_empty(), "{:?}", table.written);
}

/// The batch of a reclaim: it may hold the bill of a late row.
#[test]
fn reclaimed_batch() {
    let path = paths::reclaim_path(&shard_name(), CLOSED_EPOCH, &Arc::from("live.y"));
    let mut table = ObjectTable::new(&make_shard(), &path);
    let late = bills::make_bill("ab12", CLOSED_EPOCH, 10);
    table.sync(make_plan(vec![late]), None).assert_ended_by(&path);
    assert!(table.written.is_empty(), "{:?}", table.written);
}

/// The batch that a sync wrote before it lost the reply.
#[test]
fn own_batch() {
    let path = paths::bill_path(&shard_name(), EPOCH, 1);
    let mut table = ObjectTable::new(&make_shard(), &path);
    let mut machine = SyncMachine::new(
        make_plan(vec![bills::make_bill("ab12", EPOCH, 10)]),
        GrantPolicy::FixedAmount { headroom: 100 },
        None,
    );
    while let Some(call) = machine.next_call() {
        let conflicts = matches!(&call, StoreCall::Put { path: written, .. } if *written == path);
        let reply = if conflicts { StoreReply::Conflict } else { table.call(call) };
        machine.handle_reply(reply);
    }
    assert_eq!(machine.unreadable(), Some(&path));
    assert!(table.written.is_empty(), "{:?}", table.written);
}

/// A shard: it says whose grants are whose.
#[test]
fn stored_shard() {
    let path = paths::budget_path(&shard_name());
    let mut table = ObjectTable::new(&make_shard(), &path);
    table.sync(make_plan(vec![make_keyed_bill(EPOCH)]), None).assert_ended_by(&path);
    table.reclaim().assert_ended_by(&path);
    assert!(table.written.is_empty(), "{:?}", table.written);
}

/// A batch of the tenure that is reclaimed: its requests are billed already, or must be.
#[test]
fn dead_batch() {
    let path = paths::bill_path(&shard_name(), EPOCH, 1);
    let mut table = ObjectTable::new(&make_shard(), &path);
    table.reclaim().assert_ended_by(&path);
    let shard = &table.objects[&paths::budget_path(&shard_name())];
    let shard: BudgetShard = storecalls::decode_value(shard).expect("a shard");
    assert!(!shard.closed.contains_key(&EPOCH));
    assert_eq!(table.objects[&path], UNREADABLE);
}

/// The archive bucket of a keyed request in the tenure that is reclaimed.
#[test]
fn dead_archive() {
    let path = paths::archive_path(&shard_name(), &Arc::from("ab12"));
    let mut table = ObjectTable::new(&make_shard(), &path);
    let batch = toucanrail::budgets::BillBatch {
        shard: shard_name(),
        epoch: EPOCH,
        sequence: 1,
        rows: vec![make_keyed_bill(EPOCH)],
    };
    let batch_path = paths::bill_path(&shard_name(), EPOCH, 1);
    table.objects.insert(batch_path, storecalls::encode_value(&batch));
    table.reclaim().assert_ended_by(&path);
    let shard = &table.objects[&paths::budget_path(&shard_name())];
    let shard: BudgetShard = storecalls::decode_value(shard).expect("a shard");
    assert!(!shard.closed.contains_key(&EPOCH));
}

/// The archive bucket to which keys are moved: its keys would be lost, and their requests billed
/// again.
#[test]
fn filled_archive() {
    let path = paths::archive_path(&shard_name(), &Arc::from("ab12"));
    let mut shard = make_shard();
    let recent = &mut shard.accounts.get_mut(&customer()).expect("the account").recent;
    recent.insert(Arc::from("ab12"), RecentBill { epoch: EPOCH, order: 1 });
    recent.insert(Arc::from("ab13"), RecentBill { epoch: EPOCH, order: 2 });
    let mut table = ObjectTable::new(&shard, &path);
    let mut machine = ArchiveMachine::new(shard_name(), 1);
    while let Some(call) = machine.next_call() {
        machine.handle_reply(table.call(call));
    }
    assert!(!machine.has_moved());
    assert_eq!(machine.unreadable(), Some(&path));
    assert!(table.written.is_empty(), "{:?}", table.written);
}
