//! Outage-tolerant grants: serving through outages of the store, and the tokens lost with dead
//! entries.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use toucanrail::budgets::BudgetShard;
use toucanrail::grants::{GrantTable, HoldRefusal};
use toucanrail::ids::{CustomerId, ShardName, Tokens, Version};
use toucanrail::policies::{GrantPolicy, GrantView};
use toucanrail::storecalls::{self, StoreCall, StoreReply, WriteExpectation};
use toucanrail::syncs::SyncMachine;

const POLICY: GrantPolicy = GrantPolicy::OutageTolerant {
    horizon: Duration::from_secs(5),
    floor: 15_000,
    max_fraction: 0.15,
};
const PREPAID: Tokens = 1_000_000;
const REQUEST: Tokens = 1_000;
const TICK: Duration = Duration::from_millis(200);

/// An object API that stores a single shard.
#[derive(Default)]
struct ShardStore {
    version: Version,
    value: Vec<u8>,
}

impl ShardStore {
    fn call(&mut self, call: &StoreCall) -> StoreReply {
        match call {
            StoreCall::Get { path } if path.starts_with("budgets/") && self.version > 0 => {
                StoreReply::Found { version: self.version, value: self.value.clone() }
            }
            StoreCall::Get { .. } => StoreReply::Missing,
            StoreCall::Put { path, expect, value } if path.starts_with("budgets/") => {
                let expected = match expect {
                    WriteExpectation::Absent => 0,
                    WriteExpectation::At(version) => *version,
                };
                if expected != self.version {
                    return StoreReply::Conflict;
                }
                self.version += 1;
                self.value.clone_from(value);
                StoreReply::Written { version: self.version }
            }
            StoreCall::Put { .. } => StoreReply::Written { version: 1 },
        }
    }

    fn shard(&self) -> BudgetShard {
        storecalls::decode_value(&self.value).expect("a shard")
    }
}

struct HolderSim {
    table: GrantTable,
    customer: CustomerId,
    shard: ShardName,
    policy: GrantPolicy,
}

impl HolderSim {
    fn new(name: &str) -> Self {
        Self::with_policy(name, POLICY)
    }

    fn with_policy(name: &str, policy: GrantPolicy) -> Self {
        let (customer, shard) = (Arc::from("acme"), Arc::from("accounts"));
        let mut table = GrantTable::new(Arc::from(name), policy);
        table.add_account(&customer, &shard);
        table.raise_prepaid(&customer, PREPAID);
        Self { table, customer, shard, policy }
    }

    fn sync(&mut self, store: &mut ShardStore) {
        self.sync_or_leave(store, false);
    }

    fn leave(&mut self, store: &mut ShardStore) {
        self.sync_or_leave(store, true);
    }

    fn sync_or_leave(&mut self, store: &mut ShardStore, leave: bool) {
        let Some(plan) = self.table.plan_sync(&self.shard, leave) else {
            return;
        };
        let cached = self.table.take_cached(&self.shard);
        let mut machine = SyncMachine::new(plan, self.policy, cached);
        while let Some(call) = machine.next_call() {
            machine.handle_reply(store.call(&call));
        }
        self.table.apply_sync(&self.shard, machine.into_outcome());
    }

    /// Runs one request, after a sync if the grant is short. Returns whether it could run.
    fn serve_request(&mut self, store: &mut ShardStore) -> bool {
        if self.run_request() {
            return true;
        }
        self.table.begin_wait(&self.customer, REQUEST);
        self.sync(store);
        self.table.end_wait(&self.customer, REQUEST);
        self.run_request()
    }

    /// Runs one request that uses all of its hold. Returns `false` if the grant is short.
    fn run_request(&mut self) -> bool {
        let Ok(hold) = self.table.hold(&self.customer, REQUEST) else {
            return false;
        };
        let bill = toucanrail::budgets::BillRow {
            request: Arc::from("r"),
            customer: Arc::clone(&self.customer),
            service: Arc::from("llm"),
            epoch: hold.epoch,
            keyed: false,
            billed: REQUEST,
            written_off: 0,
            unproved: 0,
            runs: Vec::new(),
        };
        self.table.end_hold(&hold, Some(bill));
        true
    }
}

/// Guards against refusals in an outage of some seconds although most of the budget is left. They
/// occur if the burn rate includes the idle time between the start of the process and its first
/// request, so that the grant is sized for half the load.
#[test]
fn idle_before_first_request() {
    let mut store = ShardStore::default();
    let mut holder = HolderSim::new("e1.1");
    for _ in 0..50 {
        holder.table.update_burn_rates(TICK);
    }
    for tick in 0..25 {
        assert!(holder.serve_request(&mut store));
        holder.table.update_burn_rates(TICK);
        if tick % 5 == 0 {
            holder.sync(&mut store);
        }
    }
    holder.sync(&mut store);
    let served = (0..20).take_while(|_| holder.run_request()).count();
    assert_eq!(served, 20, "4 s of load");
}

/// Guards against dead entries stranding much of a budget. Nothing proves what an entry that lost
/// power spent of its grants, so they must be small enough that callers are served until nearly the
/// end of the budget.
#[test]
fn lost_holders() {
    let mut store = ShardStore::default();
    let mut holders = ["e1.1", "e2.1", "e3.1", "e4.1"].map(HolderSim::new);
    for _ in 0..50 {
        for holder in &mut holders {
            holder.serve_request(&mut store);
            holder.sync(&mut store);
            holder.table.update_burn_rates(TICK);
        }
    }
    let mut last = HolderSim::new("e1.2");
    last.sync(&mut store);
    while last.serve_request(&mut store) {
        last.sync(&mut store);
    }
    let shard = store.shard();
    let left = shard.accounts[&last.customer].unspent();
    assert!(left < PREPAID * 16 / 100, "{left} tokens stranded");
}

/// Guards against a lender that is killed repeatedly stranding a large part of the budget. Each
/// tenure dies with its headroom, so the grants of dead holders must reduce the headroom of live
/// ones.
#[test]
fn repeated_kills() {
    let mut store = ShardStore::default();
    let mut holder = HolderSim::new("e1.0");
    for start in 0..12 {
        holder = HolderSim::new(&format!("e1.{start}"));
        for _ in 0..20 {
            assert!(holder.serve_request(&mut store));
            holder.table.update_burn_rates(TICK);
            holder.sync(&mut store);
        }
    }
    let account = &store.shard().accounts[&holder.customer];
    let granted: Tokens = account.grants.values().sum();
    // The maximum fraction, plus the minimum headroom of each later tenure.
    assert!(granted < PREPAID * 15 / 100 + 12 * 15_000, "{granted} granted");
    assert!(account.granted_to_others(&Arc::from("nobody")) == granted);
}

/// Guards against each further loss stranding as much as the first one. What is frozen for dead holders
/// must reduce the headroom of live ones, like what is granted to them.
#[test]
fn frozen_losses() {
    let view = GrantView {
        burn_rate: 20_000.0,
        unallocated: PREPAID,
        prepaid: PREPAID,
        unspent: PREPAID,
        holders: 1,
        ..GrantView::default()
    };
    let headroom = |frozen| POLICY.target(&GrantView { frozen, ..view });
    let lost = PREPAID * 15 / 100;
    assert!(headroom(0) > 4 * headroom(lost), "{} after no loss", headroom(0));
    assert!(headroom(lost) <= 20_000, "{} after a loss, more than a second of use", headroom(lost));
}

/// Guards against a loss of nearly all that a customer of a small balance has, as the minimum headroom
/// does not depend on the balance.
#[test]
fn small_balance() {
    let prepaid = 10_000;
    let view = GrantView {
        burn_rate: 100.0,
        unallocated: prepaid,
        prepaid,
        unspent: prepaid,
        holders: 1,
        ..GrantView::default()
    };
    let target = POLICY.target(&view);
    assert!(target <= prepaid * 15 / 100, "{target}");
}

/// Guards against refusals when the store is unavailable for three seconds early in a budget that
/// lasts for less than a minute. With a headroom of 5 % of the unspent tokens, one request in five
/// was refused.
#[test]
fn early_outage() {
    let policy = GrantPolicy::OutageTolerant {
        horizon: Duration::from_secs(5),
        floor: 2_000,
        max_fraction: 0.07,
    };
    let mut store = ShardStore::default();
    let mut holder = HolderSim::with_policy("e1.1", policy);
    // 20,000 tokens per second, of a budget of 1,000,000.
    for _ in 0..15 {
        for _ in 0..4 {
            assert!(holder.serve_request(&mut store));
        }
        holder.table.update_burn_rates(TICK);
        holder.sync(&mut store);
    }
    let served = (0..60).take_while(|_| holder.run_request()).count();
    assert_eq!(served, 60, "3 s of load");
}

/// Guards against a second write when a grant runs low between two settlements. The top-up takes
/// one write: bills stay queued, and the shard counts them as granted until they are settled.
#[test]
fn top_up_without_bills() {
    let mut store = ShardStore::default();
    let mut holder = HolderSim::new("e1.1");
    assert!(holder.serve_request(&mut store));
    while holder.run_request() {}
    holder.table.update_burn_rates(TICK);
    let billed = store.shard().accounts[&holder.customer].billed;
    let plan = holder.table.plan_top_up(&holder.shard).expect("the grant is used up");
    assert!(plan.rows.is_empty());
    let mut machine = SyncMachine::new(plan, POLICY, holder.table.take_cached(&holder.shard));
    let mut writes = 0;
    while let Some(call) = machine.next_call() {
        writes += u32::from(matches!(call, StoreCall::Put { .. }));
        machine.handle_reply(store.call(&call));
    }
    holder.table.apply_sync(&holder.shard, machine.into_outcome());
    assert_eq!(writes, 1);
    assert!(holder.run_request());
    assert_eq!(store.shard().accounts[&holder.customer].billed, billed);
}

/// Guards against overspending when an entry stops. If it returned its whole grant at the end of
/// its grace period, while responses are still being delivered, other entries would spend the
/// tokens of those responses again, and they would never be billed.
#[test]
fn stopping_holder() {
    let mut store = ShardStore::default();
    let mut holder = HolderSim::new("e1.1");
    holder.sync(&mut store);
    holder.table.begin_wait(&holder.customer, REQUEST);
    holder.sync(&mut store);
    holder.table.end_wait(&holder.customer, REQUEST);
    let hold = holder.table.hold(&holder.customer, REQUEST).unwrap();
    for _ in 0..5 {
        holder.leave(&mut store);
    }
    let unallocated = store.shard().accounts[&holder.customer].unallocated();
    assert_eq!(unallocated, PREPAID - REQUEST, "all but the open hold is returned");
    holder.table.end_hold(&hold, None);
    for _ in 0..5 {
        holder.leave(&mut store);
    }
    assert!(!holder.table.has_tenure(&holder.shard));
    assert_eq!(store.shard().accounts[&holder.customer].unallocated(), PREPAID);
}

/// Guards against refusing requests that a new prepaid total covers, while the total is in the
/// configuration but not yet in the shard.
#[test]
fn configured_top_up() {
    let mut store = ShardStore::default();
    let mut holder = HolderSim::new("e1.1");
    holder.sync(&mut store);
    holder.table.raise_prepaid(&holder.customer, 3 * PREPAID);
    let refused = holder.table.hold(&holder.customer, 2 * PREPAID).unwrap_err();
    assert!(matches!(refused, HoldRefusal::Short(_)), "{refused:?}");
    assert!(!holder.table.is_uncovered(&holder.customer, 2 * PREPAID));
    holder.table.begin_wait(&holder.customer, 2 * PREPAID);
    holder.sync(&mut store);
    assert!(holder.table.hold(&holder.customer, 2 * PREPAID).is_ok());
}

/// Guards against endless retries after a power loss, when a customer's last tokens stay granted to
/// a lender that no longer exists. Callers were told to retry and refused each time; once the
/// lender's VM has started again, the balance must count as not covering the request.
#[test]
fn restarted_lender() {
    let mut store = ShardStore::default();
    let mut before = HolderSim::new("side-1.a");
    while before.serve_request(&mut store) {
        let account = &store.shard().accounts[&before.customer];
        if account.unallocated() == 0 {
            break;
        }
    }
    let left = store.shard().accounts[&before.customer].grants["side-1.a"];
    assert!(left > REQUEST);
    for (name, uncovered) in [("side-2.b", false), ("side-1.c", true)] {
        let mut after = HolderSim::new(name);
        assert!(!after.serve_request(&mut store), "{name}");
        assert_eq!(after.table.is_uncovered(&after.customer, REQUEST), uncovered, "{name}");
    }
}

proptest! {
    /// The tokens billed and granted never exceed the prepaid total, whichever entries die or lose
    /// their state.
    #[test]
    fn never_overspent(steps in prop::collection::vec((0_usize..3, 0_u8..4), 1..120)) {
        let mut store = ShardStore::default();
        let mut holders = ["e1.1", "e2.1", "e3.1"].map(HolderSim::new);
        let mut spent = 0;
        for (number, (index, action)) in steps.into_iter().enumerate() {
            match action {
                0 | 1 => spent += u64::from(holders[index].run_request()) * REQUEST,
                2 => holders[index].sync(&mut store),
                _ => holders[index] = HolderSim::new(&format!("e{index}.{number}")),
            }
            if store.version > 0 {
                prop_assert!(store.shard().is_within_prepaid());
            }
        }
        prop_assert!(spent <= PREPAID);
    }
}
