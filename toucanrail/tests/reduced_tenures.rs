//! Tenures of dead lenders whose borrowers have fenced them and still run loans: what returns at once,
//! and what is left if a borrower ends then.

use std::collections::BTreeMap;
use std::sync::Arc;

use proptest::prelude::*;
use toucanrail::budgets::BudgetShard;
use toucanrail::ids::{AgentId, EntryId};
use toucanrail::messages::{FenceReply, UsageRow};
use toucanrail::reclaims::{ReclaimCall, ReclaimMachine, ReclaimOutcome, ReclaimReply};
use toucanrail::storecalls::{self, StoreCall, StoreReply, WriteExpectation};

const PREPAID: u64 = 1_000;
const GRANTED: u64 = 500;

/// A borrower's loans of the tenure.
#[derive(Debug, Clone, Default)]
struct Borrower {
    /// Used tokens of ended loans.
    ended: Vec<u64>,
    /// Maximum usage of running loans.
    running: Vec<u64>,
    has_ended: bool,
    hides_amounts: bool,
}

impl Borrower {
    fn reply(&self, agent: &AgentId) -> ReclaimReply {
        if self.has_ended {
            return ReclaimReply::Gone;
        }
        let row = |(number, used): (usize, &u64)| UsageRow {
            run: Arc::from(format!("{agent}.{number}")),
            request: Arc::from(format!("{agent}-r{number}")),
            customer: Arc::from("acme"),
            service: Arc::from("llm"),
            keyed: false,
            resumed: false,
            whole: true,
            used: *used,
            unproved: 0,
        };
        let held = BTreeMap::from([(Arc::from("acme"), self.running.iter().sum())]);
        ReclaimReply::Fenced(FenceReply {
            agent: Arc::clone(agent),
            rows: self.ended.iter().enumerate().map(row).collect(),
            running: self.running.len() as u64,
            held: (!self.hides_amounts).then_some(held),
        })
    }
}

/// The shard in the store, and the borrowers of the dead lender.
struct Reclaim {
    shard: BudgetShard,
    version: u64,
    bills: BTreeMap<String, Vec<u8>>,
    borrowers: BTreeMap<AgentId, Borrower>,
}

impl Reclaim {
    fn new(borrowers: Vec<Borrower>) -> Self {
        let named = borrowers.into_iter().enumerate();
        let borrowers: BTreeMap<AgentId, Borrower> =
            named.map(|(number, row)| (Arc::from(format!("front-{number}.a")), row)).collect();
        let (mut shard, dead) = (BudgetShard::default(), EntryId::from("side-1.a"));
        shard.open_tenure(&dead);
        let holder = shard.holders.get_mut(&dead).expect("the holder");
        holder.lends = true;
        holder.agents = borrowers.keys().map(Arc::clone).collect();
        let account = shard.accounts.entry(Arc::from("acme")).or_default();
        account.top_up(PREPAID).expect("a total");
        account.grants.insert(dead, GRANTED);
        Self { shard, version: 1, bills: BTreeMap::new(), borrowers }
    }

    /// Runs one reclaim; the reply to the write with number `lost` of the shard is lost.
    fn run(&mut self, lost: Option<usize>) -> ReclaimOutcome {
        let names = ("shard-0", "side-1.a", "side-2.a");
        let mut machine = ReclaimMachine::new(names.0.into(), names.1.into(), names.2.into(), true);
        let mut writes = 0;
        while let Some(call) = machine.next_call() {
            machine.handle_reply(match call {
                ReclaimCall::Fence { agent, .. } => self.borrowers[&agent].reply(&agent),
                ReclaimCall::Store(StoreCall::Get { path }) if path.starts_with("budgets/") => {
                    let value = storecalls::encode_value(&self.shard);
                    ReclaimReply::Store(StoreReply::Found { version: self.version, value })
                }
                ReclaimCall::Store(StoreCall::Get { path }) => {
                    let bill = self.bills.get(&*path).cloned();
                    ReclaimReply::Store(bill.map_or(StoreReply::Missing, |value| {
                        StoreReply::Found { version: 1, value }
                    }))
                }
                ReclaimCall::Store(StoreCall::Put { path, value, .. })
                    if path.starts_with("bills/") =>
                {
                    self.bills.insert(path.to_string(), value);
                    ReclaimReply::Store(StoreReply::Written { version: 1 })
                }
                ReclaimCall::Store(StoreCall::Put { value, expect, .. }) => {
                    assert_eq!(expect, WriteExpectation::At(self.version));
                    self.version += 1;
                    self.shard = storecalls::decode_value(&value).expect("a shard");
                    writes += 1;
                    let reply = StoreReply::Written { version: self.version };
                    let is_lost = lost == Some(writes);
                    ReclaimReply::Store(if is_lost { StoreReply::Unavailable } else { reply })
                }
            });
        }
        machine.into_outcome()
    }

    /// Returns billed, frozen and granted tokens.
    fn amounts(&self) -> (u64, u64, u64) {
        let account = &self.shard.accounts["acme"];
        (account.billed, account.frozen.values().sum(), account.grants.values().sum())
    }
}

/// One borrower has used 40 tokens, the other one runs loans of at most 100.
fn running_loans() -> Reclaim {
    let first = Borrower { ended: vec![40], ..Borrower::default() };
    Reclaim::new(vec![first, Borrower { running: vec![60, 40], ..Borrower::default() }])
}

/// Guards against a grant that stays with a dead lender for as long as the longest of its loans runs.
#[test]
fn early_return() {
    let mut reclaim = running_loans();
    assert_eq!(reclaim.run(None), ReclaimOutcome::Reduced { released: 360 });
    assert_eq!(reclaim.amounts(), (0, 0, 140));
    assert_eq!(reclaim.run(None), ReclaimOutcome::Waiting);
    let second = reclaim.borrowers.get_mut("front-1.a").expect("the borrower");
    (second.running, second.ended) = (Vec::new(), vec![60, 5]);
    let outcome = reclaim.run(None);
    assert!(matches!(
        outcome,
        ReclaimOutcome::Closed { proved: true, released: 35, frozen: 0, .. }
    ));
    assert_eq!(reclaim.amounts(), (105, 0, 0));
}

/// Guards against freezing all of a dead lender's grant where a borrower ends some time after it.
#[test]
fn later_death() {
    let mut reclaim = running_loans();
    reclaim.run(None);
    reclaim.borrowers.get_mut("front-1.a").expect("the borrower").has_ended = true;
    let outcome = reclaim.run(None);
    assert!(matches!(outcome, ReclaimOutcome::Closed { proved: false, frozen: 100, .. }));
    assert_eq!(reclaim.amounts(), (40, 100, 0));
}

/// Guards against the return of tokens that a borrower may use, where its running loans are not known.
#[test]
fn unknown_loans() {
    let mut hidden = running_loans();
    hidden.borrowers.get_mut("front-1.a").expect("the borrower").hides_amounts = true;
    let mut ended = running_loans();
    ended.borrowers.get_mut("front-0.a").expect("the borrower").has_ended = true;
    for reclaim in [&mut hidden, &mut ended] {
        assert_eq!(reclaim.run(None), ReclaimOutcome::Waiting);
        assert_eq!(reclaim.amounts(), (0, 0, GRANTED));
    }
}

fn borrower() -> impl Strategy<Value = Borrower> {
    let amounts = || prop::collection::vec(1_u64..40, 0..3);
    (amounts(), amounts()).prop_map(|(ended, running)| Borrower {
        ended,
        running,
        ..Borrower::default()
    })
}

proptest! {
    /// Whatever ends, runs on and dies between the attempts of a reclaim, and whichever replies are lost:
    /// what was used or may still be used is committed, each ended loan is billed once, and no more is
    /// committed than was granted.
    #[test]
    fn committed_usage(
        borrowers in prop::collection::vec(borrower(), 1..4),
        steps in prop::collection::vec((0_usize..4, 0_u8..3, 0_u64..40, 0_usize..4), 0..8),
    ) {
        let mut reclaim = Reclaim::new(borrowers);
        let (mut lost_usage, mut is_closed) = (0, false);
        for (number, step, used, lost) in steps {
            let (count, mut ended_here) = (reclaim.borrowers.len(), false);
            let name = format!("front-{}.a", number % count);
            let borrower = reclaim.borrowers.get_mut(name.as_str()).expect("a borrower");
            match step {
                0 if !borrower.has_ended && !is_closed => {
                    borrower.has_ended = true;
                    ended_here = true;
                }
                1 if !borrower.has_ended => {
                    if let Some(amount) = borrower.running.pop() {
                        borrower.ended.push(used.min(amount));
                    }
                }
                _ => {}
            }
            if ended_here {
                lost_usage += borrower.ended.iter().chain(&borrower.running).sum::<u64>();
            }
            if !is_closed {
                let outcome = reclaim.run(Some(lost).filter(|lost| *lost > 0));
                is_closed = !reclaim.shard.holders.contains_key("side-1.a");
                let known = matches!(outcome, ReclaimOutcome::Closed { .. });
                prop_assert!(is_closed || !known);
            }
            let living = reclaim.borrowers.values().filter(|borrower| !borrower.has_ended);
            let mut ended = 0;
            let mut running = 0;
            for borrower in living {
                ended += borrower.ended.iter().sum::<u64>();
                running += borrower.running.iter().sum::<u64>();
            }
            let (billed, frozen, granted) = reclaim.amounts();
            prop_assert!(billed + frozen + granted >= ended + running + lost_usage);
            prop_assert!(billed + frozen + granted <= GRANTED);
            if is_closed {
                prop_assert_eq!(billed, ended);
            }
        }
    }
}
