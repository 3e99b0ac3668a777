//! Which attempts an agent's ledger admits and which it rejects.

// Tests may panic on an unexpected result.
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

/// A restarted agent has lost its fences. An order that a revoked holder sends to the agent's earlier
/// incarnation must be rejected.
#[test]
fn restarted_agent() {
    let mut ledger = UsageLedger::new(Arc::from("agent-1.second"));
    assert_eq!(ledger.admit(&order("r.1", 1)), Err(codetable::WRONG_INCARNATION));
}

/// Fencing a tenure must reject its new attempts and report its ended ones, but not affect the
/// holder's next tenure, which has a higher epoch.
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

/// An order that is delivered again must be rejected, even after its attempt was settled and dropped.
#[test]
fn second_delivery() {
    let mut ledger = ledger();
    assert!(ledger.admit(&order("r.1", 1)).is_ok());
    assert_eq!(ledger.admit(&order("r.1", 1)), Err(codetable::ALREADY_SEEN));
    ledger.acknowledge(&[Arc::from("r.1")]);
    assert_eq!(ledger.running(), 1, "a running attempt must not be dropped");
    ledger.finish(&Arc::from("r.1"), true, 5, 0, None);
    ledger.acknowledge(&[Arc::from("r.1")]);
    assert_eq!(ledger.unsettled(), 0);
    assert_eq!(ledger.admit(&order("r.1", 1)), Err(codetable::ALREADY_SEEN));
}

/// An entry may ask about an order that is still in transit. An attempt that the agent has reported as
/// never received must not run when the order arrives.
#[test]
fn late_order() {
    let mut ledger = ledger();
    let run = Arc::from("r.1");
    assert_eq!(ledger.query(&run, QueryMode::Void), RunReport::NeverCame);
    assert_eq!(ledger.admit(&order("r.1", 1)), Err(codetable::VOIDED));
    assert_eq!(ledger.query(&Arc::from("r.2"), QueryMode::Look), RunReport::NeverCame);
    assert!(ledger.admit(&order("r.2", 1)).is_ok(), "`Look` must not void the attempt");
}

#[test]
fn leaving_agent() {
    let mut ledger = ledger();
    ledger.leaving = true;
    assert_eq!(ledger.admit(&order("r.1", 1)), Err(codetable::STOPPING));
}
