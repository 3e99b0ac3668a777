//! How often a lender writes its shard, when little may be ahead of what requests need.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use toucanrail::budgets::{BillRow, BudgetShard};
use toucanrail::grants::{GrantHold, GrantTable};
use toucanrail::ids::{CustomerId, ShardName, Tokens, Version};
use toucanrail::policies::GrantPolicy;
use toucanrail::storecalls::{self, StoreCall, StoreReply, WriteExpectation};
use toucanrail::syncs::SyncMachine;

const POLICY: GrantPolicy = GrantPolicy::OutageTolerant {
    horizon: Duration::from_secs(5),
    floor: 2_000,
    max_fraction: 0.07,
};
const PREPAID: Tokens = 1_000_000;
const CUSTOMERS: usize = 10;
/// One request a customer in a step; half of the time a long prompt.
const STEP: Duration = Duration::from_millis(200);
const SIZES: [Tokens; 2] = [9_000, 1_000];
/// Steps for which a request holds its worst case.
const FLIGHT: usize = 10;
const STEPS_A_SECOND: usize = 5;
const SETTLE_STEPS: usize = 15;

/// The lender of a shard of several customers, and the store that holds it.
struct LenderRun {
    table: GrantTable,
    shard: ShardName,
    customers: Vec<CustomerId>,
    version: Version,
    value: Vec<u8>,
    writes: usize,
    refused: usize,
    flights: VecDeque<Vec<GrantHold>>,
}

impl LenderRun {
    fn new(before: &BudgetShard) -> Self {
        let shard: ShardName = Arc::from("accounts");
        let mut table = GrantTable::new(Arc::from("side-1.b"), POLICY);
        let names = (0..CUSTOMERS).map(|number| Arc::from(format!("customer-{number}")));
        let customers: Vec<CustomerId> = names.collect();
        for customer in &customers {
            table.add_account(customer, &shard);
            table.raise_prepaid(customer, PREPAID);
        }
        let value = storecalls::encode_value(before);
        let flights = VecDeque::new();
        Self { table, shard, customers, version: 1, value, writes: 0, refused: 0, flights }
    }

    fn call(&mut self, call: &StoreCall) -> StoreReply {
        match call {
            StoreCall::Get { path } if path.starts_with("budgets/") => {
                StoreReply::Found { version: self.version, value: self.value.clone() }
            }
            StoreCall::Get { .. } => StoreReply::Missing,
            StoreCall::Put { path, expect, value } if path.starts_with("budgets/") => {
                assert_eq!(*expect, WriteExpectation::At(self.version), "only one writes");
                self.version += 1;
                self.value.clone_from(value);
                self.writes += 1;
                StoreReply::Written { version: self.version }
            }
            StoreCall::Put { .. } => StoreReply::Written { version: 1 },
        }
    }

    fn sync(&mut self, settle: bool) {
        let shard = Arc::clone(&self.shard);
        let plan = if settle {
            self.table.plan_sync(&shard, false)
        } else {
            self.table.plan_top_up(&shard)
        };
        let Some(plan) = plan else {
            return;
        };
        let mut machine = SyncMachine::new(plan, POLICY, self.table.take_cached(&shard));
        while let Some(call) = machine.next_call() {
            let reply = self.call(&call);
            machine.handle_reply(reply);
        }
        self.table.apply_sync(&shard, machine.into_outcome());
    }

    fn hold(&mut self, at: usize, amount: Tokens) -> Option<GrantHold> {
        let customer = Arc::clone(&self.customers[at]);
        if let Ok(hold) = self.table.hold(&customer, amount) {
            return Some(hold);
        }
        self.table.begin_wait(&customer, amount);
        self.sync(false);
        self.table.end_wait(&customer, amount);
        self.table.hold(&customer, amount).ok()
    }

    fn end_oldest(&mut self) {
        for hold in self.flights.pop_front().unwrap_or_default() {
            let bill = BillRow {
                request: Arc::from("r"),
                customer: Arc::clone(&hold.customer),
                service: Arc::from("llm"),
                epoch: hold.epoch,
                keyed: false,
                billed: hold.amount,
                written_off: 0,
                unproved: 0,
                runs: Vec::new(),
            };
            self.table.end_hold(&hold, Some(bill));
        }
    }

    /// Serves all customers for some seconds and returns the writes a second.
    fn serve(&mut self, seconds: usize) -> f64 {
        let before = self.writes;
        for step in 0..seconds * STEPS_A_SECOND {
            let mut holds = Vec::new();
            for at in 0..CUSTOMERS {
                let held = self.hold(at, SIZES[(step + at) % 2]);
                self.refused += usize::from(held.is_none());
                holds.extend(held);
            }
            self.flights.push_back(holds);
            if self.flights.len() > FLIGHT {
                self.end_oldest();
            }
            self.table.update_burn_rates(STEP);
            if step % SETTLE_STEPS == 0 {
                self.sync(true);
            } else if self.table.needs_early_sync(&self.shard) {
                self.sync(false);
            }
        }
        (self.writes - before) as f64 / seconds as f64
    }

    fn shard_now(&self) -> BudgetShard {
        storecalls::decode_value(&self.value).expect("a shard")
    }
}

/// A shard in which a lender that is no more holds a part of each budget, and much is billed.
fn make_shard(billed: Tokens, stranded: Tokens) -> BudgetShard {
    let mut shard = BudgetShard::default();
    shard.open_tenure(&Arc::from("side-1.a"));
    for number in 0..CUSTOMERS {
        let account = shard.accounts.entry(Arc::from(format!("customer-{number}"))).or_default();
        account.prepaid = PREPAID;
        account.billed = billed;
        if stranded > 0 {
            account.grants.insert(Arc::from("side-1.a"), stranded);
        }
    }
    shard
}

/// A power loss strands more of each budget than may be ahead. Nothing was ahead from then on, and nearly
/// each request cost a call: seventy a second in a fleet of 185 VMs.
#[test]
fn after_loss() {
    let mut run = LenderRun::new(&make_shard(100_000, 140_000));
    run.serve(2);
    let rate = run.serve(8);
    assert!(rate <= 2.0, "{rate} writes a second");
    assert_eq!(run.refused, 0);
    assert!(run.shard_now().is_within_prepaid());
}

/// The same load while most of the budgets is left: one write serves all customers of the shard.
#[test]
fn steady_load() {
    let mut run = LenderRun::new(&make_shard(0, 0));
    run.serve(2);
    let rate = run.serve(8);
    assert!(rate <= 2.0, "{rate} writes a second");
    assert_eq!(run.refused, 0);
}

/// Budgets are used up: all but the last request's worth of each is served, and nothing beyond it.
#[test]
fn last_tokens() {
    let mut run = LenderRun::new(&make_shard(800_000, 0));
    run.serve(20);
    let shard = run.shard_now();
    assert!(run.refused > 0 && shard.is_within_prepaid());
    for account in shard.accounts.values() {
        assert!(account.unspent() < SIZES[0], "{} left", account.unspent());
    }
}
