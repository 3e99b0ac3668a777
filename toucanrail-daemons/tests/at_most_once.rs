//! Requests that may not be repeated, under retries, deaths and outages.

// A test stops at the first thing that is not as it should be.
#![allow(clippy::unwrap_used)]

mod fleet;

use std::time::Duration;

use fleet::{BOUND, Fleet, Process, authorized, result_of};
use serde_json::json;
use smol::future::FutureExt;
use toucanrail_standins::plains::PlainStandin;
use toucanrail_wire::clients::OutboundRequest;

fn returns(key: &str) -> OutboundRequest {
    authorized("/filing/returns", &json!({"month": "May"})).field("idempotency-key", key)
}

async fn start(fleet: &Fleet) -> (PlainStandin, Process, Process, Process) {
    let (plain, backend) = fleet.plain();
    let agent = fleet.agent("agent-1", "filing-app", backend);
    let first = fleet.entry("entry-1", &[]);
    let second = fleet.entry("entry-2", &[]);
    fleet.wait_servers(&first, 1).await;
    fleet.wait_servers(&second, 1).await;
    (plain, agent, first, second)
}

/// A client files a return, loses the answer and files again through another entry, twice. It
/// must get the first answer each time, and the return must have been filed once.
#[test]
fn late_retry() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let (plain, _agent, first, second) = start(&fleet).await;
        let answer = fleet.fetch(&first, returns("k1")).await.unwrap();
        assert_eq!(answer.status, 200);
        for entry in [&second, &first, &second] {
            let again = fleet.fetch(entry, returns("k1")).await.unwrap();
            assert_eq!((again.status, &again.body), (200, &answer.body));
        }
        let other = authorized("/filing/returns", &json!({"month": "June"}));
        let other = fleet.fetch(&second, other.field("idempotency-key", "k1")).await.unwrap();
        assert_eq!((other.status, result_of(&other)), (422, 2202));
        assert_eq!(plain.runs()["k1"], 1);
        assert_eq!(fleet.wait_billed(|| 5).await.billed, 5);
    });
}

/// Both entries get the same return at the same moment. One runs it; the other says that it is
/// in flight or gives the same answer.
#[test]
fn two_entries() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let (plain, _agent, first, second) = start(&fleet).await;
        for turn in 0..10 {
            let key = format!("k{turn}");
            let slow = || returns(&key).field("plain-delay-ms", "30");
            let (left, right) =
                smol::future::zip(fleet.fetch(&first, slow()), fleet.fetch(&second, slow())).await;
            for answer in [left.unwrap(), right.unwrap()] {
                // A try that was voided before it was sent did not run, and says so.
                let fits = answer.status == 200 || [2203, 4204].contains(&result_of(&answer));
                assert!(fits, "{} {}", answer.status, result_of(&answer));
            }
            assert!(plain.runs().get(&key).is_none_or(|runs| *runs == 1), "{key}");
        }
    });
}

/// The object API is down when a return comes: it is refused as not run, with when to come back.
/// The write of its record is then lost after its effect: the return must still run, once.
#[test]
fn store_faults() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let (plain, _agent, first, second) = start(&fleet).await;
        // So that the budget is not what is missing.
        fleet.fetch(&first, returns("k0")).await.unwrap();
        fleet.platform.faults.change(|plan| plan.down = true);
        let refused = fleet.fetch(&first, returns("k1")).await.unwrap();
        assert_eq!((refused.status, result_of(&refused)), (503, 4101));
        assert_eq!(refused.field("toucanrail-run"), Some("not-run"));
        assert!(refused.field("retry-after").is_some());
        fleet.platform.faults.change(|plan| plan.down = false);
        assert!(!plain.runs().contains_key("k1"), "it said not run");
        fleet.platform.faults.change(|plan| plan.lose_answers = 1);
        fleet
            .wait("a return filed after an outage", async || {
                let answer = fleet.fetch(&second, returns("k1")).await.unwrap();
                answer.status == 200
            })
            .await;
        assert_eq!(plain.runs()["k1"], 1);
    });
}

/// The entry is killed while the return runs. The retry through the other entry must get the
/// answer of that run, which the agent kept, and not file again.
#[test]
fn dead_writer() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let (plain, _agent, mut first, second) = start(&fleet).await;
        let call = returns("k1").field("plain-delay-ms", "300");
        let sent = async {
            fleet.pool.fetch(first.address, call, BOUND).await.ok();
        };
        let begun = fleet.wait("the run", async || plain.runs().contains_key("k1"));
        sent.or(begun).await;
        first.kill();
        let mut answer = None;
        fleet
            .wait("the answer of the first run", async || {
                let again = fleet.fetch(&second, returns("k1")).await.unwrap();
                assert!(again.status == 200 || result_of(&again) == 2203, "{}", again.status);
                let done = again.status == 200;
                answer = done.then_some(again);
                done
            })
            .await;
        assert!(String::from_utf8_lossy(&answer.unwrap().body).contains("\"run\":1"));
        assert_eq!(plain.runs()["k1"], 1);
        assert_eq!(fleet.wait_billed(|| 5).await.billed, 5);
    });
}

/// The agent is killed while the return runs: how it ended cannot be known. The caller is told
/// so, each retry too, and the return is never filed again.
#[test]
fn dead_agent() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let (plain, mut agent, first, second) = start(&fleet).await;
        let address = agent.address;
        let call = returns("k1").field("plain-delay-ms", "2000");
        let killing = async {
            fleet.wait("the run", async || plain.runs().contains_key("k1")).await;
            agent.kill();
            std::future::pending().await
        };
        let answer = fleet.fetch(&first, call).or(killing).await.unwrap();
        assert_ne!(answer.status, 200);
        assert_eq!(answer.field("toucanrail-run"), Some("unknown"));
        drop(agent);
        let (_other, backend) = fleet.plain();
        let _agent = fleet.agent_at("agent-1", "filing-app", backend, address);
        fleet
            .wait("the end to be known as unknown", async || {
                let again = fleet.fetch(&second, returns("k1")).await.unwrap();
                assert_ne!(again.status, 200);
                result_of(&again) == 2204
            })
            .await;
        smol::Timer::after(Duration::from_millis(100)).await;
        assert_eq!(plain.runs()["k1"], 1);
    });
}
