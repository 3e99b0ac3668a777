//! The bills that a reclaim builds from the usage that agents report.

// Tests may panic on an unexpected result.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::sync::Arc;

use toucanrail::budgets::{BillBatch, BillRow, BudgetShard};
use toucanrail::ids::AgentId;
use toucanrail::messages::{FenceReply, UsageRow};
use toucanrail::reclaims::{ReclaimCall, ReclaimMachine, ReclaimReply};
use toucanrail::storecalls::{self, StoreCall, StoreReply};

fn usage(run: &str, resumed: bool, whole: bool, used: u64) -> UsageRow {
    UsageRow {
        run: Arc::from(run),
        request: Arc::from("request"),
        customer: Arc::from("bottler"),
        service: Arc::from("levy-llm"),
        keyed: false,
        resumed,
        whole,
        used,
        unproved: 0,
    }
}

/// Reclaims the tenure of a dead entry that made these attempts, each at its own agent, and returns
/// the only bill.
fn reclaim(attempts: Vec<UsageRow>) -> BillRow {
    let mut reports: BTreeMap<AgentId, UsageRow> = BTreeMap::new();
    for (number, row) in attempts.into_iter().enumerate() {
        reports.insert(Arc::from(format!("agent-{number}")), row);
    }
    let mut shard = BudgetShard::default();
    shard.accounts.entry(Arc::from("bottler")).or_default().top_up(1_000).unwrap();
    shard.open_tenure(&Arc::from("dead"));
    shard.accounts.get_mut("bottler").unwrap().grants.insert(Arc::from("dead"), 500);
    shard.holders.get_mut("dead").unwrap().agents = reports.keys().map(Arc::clone).collect();
    let names = (Arc::from("shard-0"), Arc::from("dead"), Arc::from("live"));
    let mut machine = ReclaimMachine::new(names.0, names.1, names.2, true);
    let mut bills = Vec::new();
    while let Some(call) = machine.next_call() {
        machine.handle_reply(match call {
            ReclaimCall::Fence { agent, .. } => {
                let rows = vec![reports[&agent].clone()];
                ReclaimReply::Fenced(FenceReply { agent, rows, running: 0, held: None })
            }
            ReclaimCall::Store(StoreCall::Get { path }) if path.starts_with("budgets/") => {
                let value = storecalls::encode_value(&shard);
                ReclaimReply::Store(StoreReply::Found { version: 1, value })
            }
            ReclaimCall::Store(StoreCall::Get { .. }) => ReclaimReply::Store(StoreReply::Missing),
            ReclaimCall::Store(StoreCall::Put { path, value, .. }) => {
                if path.starts_with("bills/") {
                    let batch: BillBatch = storecalls::decode_value(&value).unwrap();
                    bills = batch.rows;
                }
                ReclaimReply::Store(StoreReply::Written { version: 2 })
            }
        });
    }
    assert_eq!(bills.len(), 1);
    bills.remove(0)
}

/// A stream broke after its last token and was resumed at another agent, which had nothing left to
/// generate; its entry was then presumed dead. The caller has the complete response and must be
/// billed for it, so the zero usage of the second attempt must not replace that of the first.
#[test]
fn resumed_response() {
    let bill = reclaim(vec![usage("r.1", false, false, 50), usage("r.2", true, true, 0)]);
    assert_eq!((bill.billed, bill.written_off), (50, 0));
}

/// The first attempt was lost before the caller received anything, and another one produced the
/// complete response: only the latter is charged.
#[test]
fn repeated_response() {
    let bill = reclaim(vec![usage("r.1", false, false, 70), usage("r.2", false, true, 30)]);
    assert_eq!((bill.billed, bill.written_off), (30, 70));
}

/// The entry died while the stream was open: the partial response is charged.
#[test]
fn open_stream() {
    let bill = reclaim(vec![usage("r.1", false, false, 40)]);
    assert_eq!((bill.billed, bill.written_off, bill.runs.len()), (40, 0, 1));
}
