//! Tenures of lenders whose tokens are used by borrowers alone: who is named, who is asked, and what
//! returns.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use toucanrail::borrowings::{BorrowedRow, BorrowingLedger};
use toucanrail::budgets::BudgetShard;
use toucanrail::grants::GrantTable;
use toucanrail::ids::{CustomerId, EntryId, ShardName};
use toucanrail::loans::LoanTenure;
use toucanrail::messages::FenceReply;
use toucanrail::policies::GrantPolicy;
use toucanrail::storecalls::{self, StoreCall, StoreReply};
use toucanrail::sync_plans::SyncPlan;
use toucanrail::syncs::SyncMachine;
use toucanrail::tenure_watch::TenureWatch;

const POLICY: GrantPolicy = GrantPolicy::FixedAmount { headroom: 1_000 };

fn customer() -> CustomerId {
    Arc::from("acme")
}

fn entry(name: &str) -> EntryId {
    Arc::from(name)
}

fn tenure(epoch: u64) -> LoanTenure {
    LoanTenure { shard: customer(), epoch }
}

fn row(epoch: u64) -> BorrowedRow {
    BorrowedRow {
        tenure: tenure(epoch),
        customer: customer(),
        request: Arc::from("r"),
        service: Arc::from("llm"),
        used: None,
    }
}

/// A lender and its shard in the store.
struct Lender {
    table: GrantTable,
    shard: BudgetShard,
    version: u64,
}

impl Lender {
    fn new() -> Self {
        let mut table = GrantTable::new(entry("side-1.a"), POLICY);
        table.set_lends();
        table.add_account(&customer(), &customer());
        table.raise_prepaid(&customer(), 10_000);
        Self { table, shard: BudgetShard::default(), version: 0 }
    }

    fn plan(&mut self) -> Option<SyncPlan> {
        self.table.begin_wait(&customer(), 10);
        let plan = self.table.plan_top_up(&customer());
        self.table.end_wait(&customer(), 10);
        plan
    }

    /// Runs a planned sync.
    fn run(&mut self, plan: SyncPlan) {
        let mut machine = SyncMachine::new(plan, POLICY, None);
        while let Some(call) = machine.next_call() {
            machine.handle_reply(match call {
                StoreCall::Get { .. } if self.version == 0 => StoreReply::Missing,
                StoreCall::Get { .. } => StoreReply::Found {
                    version: self.version,
                    value: storecalls::encode_value(&self.shard),
                },
                StoreCall::Put { value, .. } => {
                    self.version += 1;
                    self.shard = storecalls::decode_value(&value).expect("a shard");
                    StoreReply::Written { version: self.version }
                }
            });
        }
        self.table.apply_sync(&customer(), machine.into_outcome());
    }

    fn sync(&mut self) {
        if let Some(plan) = self.plan() {
            self.run(plan);
        }
    }

    fn named(&self) -> BTreeSet<EntryId> {
        self.shard.holders["side-1.a"].agents.clone()
    }
}

/// Guards against a loan to a borrower that the shard does not name: if the lender dies, nobody asks it
/// what it used.
#[test]
fn unnamed_borrower() {
    let (mut lender, first, second) = (Lender::new(), entry("front-1.a"), entry("front-2.a"));
    lender.table.want_agent(&first);
    assert!(!lender.table.names_agent(&customer(), &first));
    lender.sync();
    assert!(lender.table.names_agent(&customer(), &first) && lender.named().contains(&first));
    assert!(!lender.table.names_agent(&customer(), &second));
    assert!(lender.shard.holders["side-1.a"].lends);
}

/// Guards against the same for a borrower that a sync under way is about to remove.
#[test]
fn borrower_being_removed() {
    let (mut lender, borrower) = (Lender::new(), entry("front-1.a"));
    lender.table.want_agent(&borrower);
    lender.sync();
    lender.table.retain_wanted(&BTreeSet::new());
    let removing = lender.plan().expect("a plan");
    lender.table.want_agent(&borrower);
    assert!(!lender.table.names_agent(&customer(), &borrower));
    lender.run(removing);
    assert!(!lender.named().contains(&borrower));
    lender.sync();
    assert!(lender.table.names_agent(&customer(), &borrower) && lender.named().contains(&borrower));
}

/// Guards against a lender that works being taken for dead, and against one that died being left alone
/// because its VM does not come back.
#[test]
fn silent_lenders() {
    let (mut shard, mut watch) = (BudgetShard::default(), TenureWatch::default());
    let (dead, own, borrower) = (entry("side-1.a"), entry("side-2.a"), entry("front-1.a"));
    for holder in [&dead, &own] {
        shard.open_tenure(holder);
    }
    let holder = shard.holders.get_mut(&dead).expect("a holder");
    holder.lends = true;
    holder.agents.extend([&borrower, &entry("front-2.a")].map(Arc::clone));
    let shard_name: ShardName = customer();
    let observe = |watch: &mut TenureWatch, shard: &BudgetShard, seconds: u64| {
        let has_ended = |_: &str| false;
        watch.observe(&shard_name, shard, &own, Duration::from_secs(seconds), has_ended);
        watch.fences_for(&borrower)
    };
    let fail = |watch: &mut TenureWatch, entry: &EntryId, seconds: u64| {
        watch.record_failure(entry, &Arc::from("side-1"), Duration::from_secs(seconds));
    };
    let second = entry("front-2.a");
    assert!(observe(&mut watch, &shard, 0).is_empty());
    for entry in [&borrower, &second] {
        fail(&mut watch, entry, 1);
    }
    shard.holders.get_mut(&dead).expect("a holder").settled = 1;
    assert!(observe(&mut watch, &shard, 2).is_empty(), "it settles");
    assert!(observe(&mut watch, &shard, 30).is_empty(), "it is reached");
    fail(&mut watch, &borrower, 31);
    assert!(observe(&mut watch, &shard, 31).is_empty(), "one borrower reaches it");
    fail(&mut watch, &second, 32);
    assert_eq!(observe(&mut watch, &shard, 32), [tenure(1)]);
    let ready = |watch: &TenureWatch| watch.find_ready(|_| false);
    let reply = |agent: &EntryId, running| FenceReply {
        agent: Arc::clone(agent),
        rows: Vec::new(),
        running,
    };
    watch.record_reply(&tenure(1), &second, reply(&second, 0));
    assert!(ready(&watch).is_none());
    watch.record_reply(&tenure(1), &borrower, reply(&borrower, 1));
    assert!(ready(&watch).is_none() && !watch.fences_for(&borrower).is_empty());
    watch.record_reply(&tenure(1), &borrower, reply(&borrower, 0));
    assert_eq!(ready(&watch), Some((tenure(1), dead)));
}

/// Guards against the reclaim of a holder that uses tokens itself, such as an entry or a lender of
/// before.
#[test]
fn holders_for_themselves() {
    let (mut shard, mut watch) = (BudgetShard::default(), TenureWatch::default());
    for holder in ["front-1.a", "front-1.b", "side-1.a"] {
        shard.open_tenure(&entry(holder));
    }
    watch.observe(&customer(), &shard, &entry("side-1.b"), Duration::from_secs(60), |_| true);
    assert!(watch.find_ready(|_| true).is_none());
}

/// Guards against a ledger that has lost loans and reports as if it had all.
#[test]
fn full_ledger() {
    let mut ledger = BorrowingLedger::new(entry("front-1.a"));
    for number in 0..17_000 {
        assert!(ledger.begin(Arc::from(format!("front-1.a.{number:05}")), row(1)));
    }
    assert_ne!(ledger.fence(&tenure(1)).agent, entry("front-1.a"));
    assert_eq!(ledger.fence(&tenure(2)).agent, entry("front-1.a"));
}

proptest! {
    /// Whatever is borrowed, ended, settled and fenced in any order: a report has each loan that was
    /// used and not settled, with its tokens, and no loan of a fenced tenure begins.
    #[test]
    fn complete_reports(steps in prop::collection::vec((0_u8..5, 0_u64..8, 1_u64..4, 0_u64..50), 0..80)) {
        let mut ledger = BorrowingLedger::new(entry("front-1.a"));
        let mut model: BTreeMap<Arc<str>, (u64, Option<u64>)> = BTreeMap::new();
        let mut fenced = BTreeSet::new();
        for (step, number, epoch, used) in steps {
            let loan: Arc<str> = Arc::from(format!("front-1.a.{number}"));
            match step {
                0 if !model.contains_key(&loan) => {
                    let began = ledger.begin(Arc::clone(&loan), row(epoch));
                    prop_assert_eq!(began, !fenced.contains(&epoch));
                    if began {
                        model.insert(loan, (epoch, None));
                    }
                }
                1 if model.get(&loan).is_some_and(|(_, ended)| ended.is_none()) => {
                    ledger.end(&loan, used);
                    if used == 0 {
                        model.remove(&loan);
                    } else if let Some(row) = model.get_mut(&loan) {
                        row.1 = Some(used);
                    }
                }
                2 if model.get(&loan).is_some_and(|(_, ended)| ended.is_some()) => {
                    ledger.drop_settled(&[Arc::clone(&loan)]);
                    model.remove(&loan);
                }
                3 => {
                    fenced.insert(epoch);
                    let reply = ledger.fence(&tenure(epoch));
                    let rows = model.values().filter(|(known, _)| *known == epoch);
                    let (running, ended): (Vec<_>, Vec<_>) =
                        rows.partition(|(_, ended)| ended.is_none());
                    prop_assert_eq!(reply.running, running.len() as u64);
                    let total: u64 = ended.iter().filter_map(|(_, used)| *used).sum();
                    prop_assert_eq!(reply.rows.iter().map(|row| row.used).sum::<u64>(), total);
                }
                _ => {}
            }
        }
    }
}
