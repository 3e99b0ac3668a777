//! Number of shard writes of a lender whose headroom is small.

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
/// In each step every customer sends one request; every other one has a long prompt.
const STEP_TIME: Duration = Duration::from_millis(200);
const REQUEST_SIZES: [Tokens; 2] = [9_000, 1_000];
/// Number of steps for which a request holds its maximum usage.
const FLIGHT_STEPS: usize = 10;
const STEPS_PER_SECOND: usize = 5;
const SETTLE_STEPS: usize = 15;

/// A simulated lender of a shard with several customers, and the store of that shard.
struct LenderSim {
    table: GrantTable,
    shard: ShardName,
    customers: Vec<CustomerId>,
    version: Version,
    value: Vec<u8>,
    writes: usize,
    refused: usize,
    flights: VecDeque<Vec<GrantHold>>,
}

impl LenderSim {
    fn new(initial: &BudgetShard) -> Self {
        let shard: ShardName = Arc::from("accounts");
        let mut table = GrantTable::new(Arc::from("side-1.b"), POLICY);
        let names = (0..CUSTOMERS).map(|number| Arc::from(format!("customer-{number}")));
        let customers: Vec<CustomerId> = names.collect();
        for customer in &customers {
            table.add_account(customer, &shard);
            table.raise_prepaid(customer, PREPAID);
        }
        let value = storecalls::encode_value(initial);
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
                assert_eq!(
                    *expect,
                    WriteExpectation::At(self.version),
                    "the lender is the only writer"
                );
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

    fn hold(&mut self, index: usize, amount: Tokens) -> Option<GrantHold> {
        let customer = Arc::clone(&self.customers[index]);
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

    /// Serves all customers for some seconds. Returns the shard writes per second.
    fn serve(&mut self, seconds: usize) -> f64 {
        let before = self.writes;
        for step in 0..seconds * STEPS_PER_SECOND {
            let mut holds = Vec::new();
            for index in 0..CUSTOMERS {
                let held = self.hold(index, REQUEST_SIZES[(step + index) % 2]);
                self.refused += usize::from(held.is_none());
                holds.extend(held);
            }
            self.flights.push_back(holds);
            if self.flights.len() > FLIGHT_STEPS {
                self.end_oldest();
            }
            self.table.update_burn_rates(STEP_TIME);
            if step % SETTLE_STEPS == 0 {
                self.sync(true);
            } else if self.table.needs_early_sync(&self.shard) {
                self.sync(false);
            }
        }
        (self.writes - before) as f64 / seconds as f64
    }

    fn read_shard(&self) -> BudgetShard {
        storecalls::decode_value(&self.value).expect("a shard")
    }
}

/// Returns a shard in which `billed` tokens of each budget are billed, and `stranded` ones are
/// granted to a lender that no longer exists.
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

/// Guards against a call for nearly every request after a power loss. If it strands more of each
/// budget than the maximum headroom, no headroom is left: this caused 70 calls per second in a
/// fleet of 185 VMs.
#[test]
fn after_loss() {
    let mut lender = LenderSim::new(&make_shard(100_000, 140_000));
    lender.serve(2);
    let rate = lender.serve(8);
    assert!(rate <= 2.0, "{rate} writes per second");
    assert_eq!(lender.refused, 0);
    assert!(lender.read_shard().is_within_prepaid());
}

/// Guards against a write per customer while most of the budgets is left. One write must serve all
/// customers of the shard.
#[test]
fn steady_load() {
    let mut lender = LenderSim::new(&make_shard(0, 0));
    lender.serve(2);
    let rate = lender.serve(8);
    assert!(rate <= 2.0, "{rate} writes per second");
    assert_eq!(lender.refused, 0);
}

/// Guards against stranding or overspending the last tokens of a budget. Requests must be served
/// until less than the largest request is left, and none beyond the budget.
#[test]
fn last_tokens() {
    let mut lender = LenderSim::new(&make_shard(800_000, 0));
    lender.serve(20);
    let shard = lender.read_shard();
    assert!(lender.refused > 0 && shard.is_within_prepaid());
    for account in shard.accounts.values() {
        assert!(account.unspent() < REQUEST_SIZES[0], "{} left", account.unspent());
    }
}
