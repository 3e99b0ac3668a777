//! Which attempts an agent's ledger admits and which it rejects.

// Tests may panic on an unexpected result.
#![allow(clippy::unwrap_used)]

mod world;

use std::sync::Arc;

use toucanrail::codetable;
use toucanrail::ledgers::UsageLedger;
use toucanrail::messages::{QueryMode, RunCommand, RunQuery, RunReport};

fn order(run: &str, epoch: u64) -> RunCommand {
    let order = world::plain_order(Arc::from(run), Arc::from("agent-1.first"));
    RunCommand { epoch, ..order }
}

fn numbered(number: u64) -> RunCommand {
    RunCommand { number, ..order(&format!("r.{number}"), 1) }
}

fn query(run: &str, number: u64, mode: QueryMode) -> RunQuery {
    RunQuery { run: Arc::from(run), entry: Arc::from("entry-1"), number, mode }
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
    assert_eq!(ledger.query(&query("r.1", 1, QueryMode::Void)), RunReport::NeverCame);
    assert_eq!(ledger.admit(&order("r.1", 1)), Err(codetable::VOIDED));
    assert_eq!(ledger.query(&query("r.2", 2, QueryMode::Look)), RunReport::NeverCame);
    assert!(ledger.admit(&order("r.2", 1)).is_ok(), "`Look` must not void the attempt");
}

#[test]
fn leaving_agent() {
    let mut ledger = ledger();
    ledger.leaving = true;
    assert_eq!(ledger.admit(&order("r.1", 1)), Err(codetable::STOPPING));
}

/// Number of attempts that an agent settles in some days.
const MANY_ATTEMPTS: u64 = 25_000;

fn settle_many() -> UsageLedger {
    let mut ledger = ledger();
    for order in (1..=MANY_ATTEMPTS).map(numbered) {
        assert!(ledger.admit(&order).is_ok());
        ledger.finish(&order.run, true, 5, 0, None);
        ledger.acknowledge(std::slice::from_ref(&order.run));
    }
    ledger
}

/// An agent that has settled many attempts must not run one of them again when its order is
/// delivered a second time, nor report that it never came: its caller would let it run again.
#[test]
fn forgotten_attempts() {
    let mut ledger = settle_many();
    let admitted = (1..=MANY_ATTEMPTS).filter(|number| ledger.admit(&numbered(*number)).is_ok());
    assert_eq!(admitted.count(), 0, "settled attempts would run again");
    let never_came = (1..=MANY_ATTEMPTS).filter(|number| {
        let run = format!("r.{number}");
        ledger.query(&query(&run, *number, QueryMode::Void)) == RunReport::NeverCame
    });
    assert_eq!(never_came.count(), 0, "settled attempts are reported as never received");
}

/// An agent that has settled many attempts admits new ones, also those of other entries and of
/// entries that do not number them.
#[test]
fn many_settled() {
    let mut ledger = settle_many();
    assert!(ledger.admit(&numbered(MANY_ATTEMPTS + 1)).is_ok());
    let other = RunCommand { entry: Arc::from("entry-2"), ..order("other.1", 1) };
    assert!(ledger.admit(&RunCommand { number: 1, ..other }).is_ok());
    assert!(ledger.admit(&order("unnumbered.1", 1)).is_ok());
}

/// Attempts that were voided in great number must stay voided, without a row for each of them.
#[test]
fn many_voided() {
    let mut ledger = ledger();
    for number in 1..=MANY_ATTEMPTS {
        let run = format!("r.{number}");
        assert_eq!(ledger.query(&query(&run, number, QueryMode::Void)), RunReport::NeverCame);
    }
    let admitted = (1..=MANY_ATTEMPTS).filter(|number| ledger.admit(&numbered(*number)).is_ok());
    assert_eq!(admitted.count(), 0, "voided attempts would run");
    let state = serde_json::to_value(&ledger).unwrap();
    assert!(state["voided"].as_array().unwrap().len() < MANY_ATTEMPTS as usize);
}
