//! What an agent's ledger takes and refuses.

// The world stops at the first thing that is not as it should be.
#![allow(clippy::unwrap_used)]

mod world;

use std::sync::Arc;

use toucanrail::codetable;
use toucanrail::ledgers::UsageLedger;
use toucanrail::messages::{QueryMode, RunCommand, RunReport};

fn order(run: &str, epoch: u64) -> RunCommand {
    let order = world::plain_order(Arc::from(run), Arc::from("agent-1.first"));
    RunCommand { epoch, ..order }
}

fn ledger() -> UsageLedger {
    UsageLedger::new(Arc::from("agent-1.first"))
}

/// An agent is fenced against a revoked holder, then restarted, with its fences forgotten. The
/// holder wakes up and sends an order meant for the first run of the agent: it must be refused.
#[test]
fn restarted_agent() {
    let mut ledger = UsageLedger::new(Arc::from("agent-1.second"));
    assert_eq!(ledger.admit(&order("r.1", 1)), Err(codetable::WRONG_INCARNATION));
}

/// A holder's tenure is fenced; its next one, with a higher epoch, is not.
#[test]
fn fenced_epoch() {
    let mut ledger = ledger();
    assert!(ledger.admit(&order("r.1", 1)).is_ok());
    assert_eq!(ledger.fence(&Arc::from("shard-0"), 1).running, 1);
    assert_eq!(ledger.admit(&order("r.2", 1)), Err(codetable::FENCED));
    assert!(ledger.admit(&order("r.3", 2)).is_ok());
    ledger.finish(&Arc::from("r.1"), true, 5, 0, None);
    let reply = ledger.fence(&Arc::from("shard-0"), 1);
    assert_eq!((reply.running, reply.rows.len(), reply.rows[0].used), (0, 1, 5));
}

/// The same order comes twice, also after it was settled and dropped.
#[test]
fn second_delivery() {
    let mut ledger = ledger();
    assert!(ledger.admit(&order("r.1", 1)).is_ok());
    assert_eq!(ledger.admit(&order("r.1", 1)), Err(codetable::ALREADY_SEEN));
    ledger.acknowledge(&[Arc::from("r.1")]);
    assert_eq!(ledger.running(), 1, "what runs is not dropped");
    ledger.finish(&Arc::from("r.1"), true, 5, 0, None);
    ledger.acknowledge(&[Arc::from("r.1")]);
    assert_eq!(ledger.unsettled(), 0);
    assert_eq!(ledger.admit(&order("r.1", 1)), Err(codetable::ALREADY_SEEN));
}

/// An entry asks about an order that is still on its way: once told that it never came, it must
/// never run.
#[test]
fn late_order() {
    let mut ledger = ledger();
    let run = Arc::from("r.1");
    assert_eq!(ledger.ask(&run, QueryMode::Void), RunReport::NeverCame);
    assert_eq!(ledger.admit(&order("r.1", 1)), Err(codetable::VOIDED));
    assert_eq!(ledger.ask(&Arc::from("r.2"), QueryMode::Look), RunReport::NeverCame);
    assert!(ledger.admit(&order("r.2", 1)).is_ok(), "looking promises nothing");
}

#[test]
fn leaving_agent() {
    let mut ledger = ledger();
    ledger.leaving = true;
    assert_eq!(ledger.admit(&order("r.1", 1)), Err(codetable::STOPPING));
}
