//! Non-repeatable requests run at most once, under retries, process failures and store outages.

// Tests fail at the first unexpected value.
#![allow(clippy::unwrap_used)]

mod fleet;

use std::time::Duration;

use fleet::{Fleet, Process, TIMEOUT, authorized, result_code};
use serde_json::json;
use smol::future::FutureExt;
use toucanrail_standins::plains::PlainStandin;
use toucanrail_wire::clients::OutboundRequest;

fn file_return(key: &str) -> OutboundRequest {
    authorized("/filing/returns", &json!({"month": "May"})).field("idempotency-key", key)
}

async fn start(fleet: &Fleet) -> (PlainStandin, Process, Process, Process) {
    let (plain, backend) = fleet.start_plain();
    let agent = fleet.start_agent("agent-1", "filing-app", backend);
    let first = fleet.start_entry("entry-1", &[]);
    let second = fleet.start_entry("entry-2", &[]);
    fleet.wait_servers(&first, 1).await;
    fleet.wait_servers(&second, 1).await;
    (plain, agent, first, second)
}

/// A client retries a tax return that was filed, through another entry and the first one. It must
/// get the first response each time, and the return must have been filed once. The same key with
/// another return is refused.
#[test]
fn late_retry() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let (plain, _agent, first, second) = start(&fleet).await;
        let response = fleet.fetch(&first, file_return("k1")).await.unwrap();
        assert_eq!(response.status, 200);
        for entry in [&second, &first, &second] {
            let again = fleet.fetch(entry, file_return("k1")).await.unwrap();
            assert_eq!((again.status, &again.body), (200, &response.body));
        }
        let other = authorized("/filing/returns", &json!({"month": "June"}));
        let other = fleet.fetch(&second, other.field("idempotency-key", "k1")).await.unwrap();
        assert_eq!((other.status, result_code(&other)), (422, 2202));
        assert_eq!(plain.runs()["k1"], 1);
        assert_eq!(fleet.wait_billed(|| 5).await.billed, 5);
    });
}

/// A return is filed whose response is too large to be stored. Retries are told that it ran, not that
/// nobody knows, and it is filed once.
#[test]
fn large_answer() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let (plain, _agent, first, second) = start(&fleet).await;
        let call = || file_return("k1").field("plain-padding", "600000");
        let response = fleet.fetch(&first, call()).await.unwrap();
        assert_eq!(response.status, 200);
        for entry in [&second, &first] {
            let again = fleet.fetch(entry, call()).await.unwrap();
            assert_eq!(again.field("toucanrail-run"), Some("ran"));
            assert_eq!((again.status, result_code(&again)), (409, 2205));
        }
        assert_eq!(plain.runs()["k1"], 1);
    });
}

/// A return is filed and its server responds with 503. The caller is told that it ran, a retry gets the
/// same response, and it is filed once.
#[test]
fn failed_return() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let (plain, _agent, first, second) = start(&fleet).await;
        for status in ["408", "429", "503"] {
            let call = || file_return(status).field("plain-status", status);
            for entry in [&first, &second] {
                let response = fleet.fetch(entry, call()).await.unwrap();
                assert_eq!(response.status.to_string(), status);
                assert_eq!(response.field("toucanrail-run"), Some("ran"));
            }
            assert_eq!(plain.runs()[status], 1);
        }
    });
}

/// Both entries receive the same return at the same time. One runs it; the other refuses it as in
/// flight or gives the same response.
#[test]
fn two_entries() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let (plain, _agent, first, second) = start(&fleet).await;
        for turn in 0..10 {
            let key = format!("k{turn}");
            let slow = || file_return(&key).field("plain-delay-ms", "30");
            let (first_result, second_result) =
                smol::future::zip(fleet.fetch(&first, slow()), fleet.fetch(&second, slow())).await;
            for response in [first_result.unwrap(), second_result.unwrap()] {
                // An attempt that was voided before it was sent did not run, and is refused as
                // such.
                let expected =
                    response.status == 200 || [2203, 4204].contains(&result_code(&response));
                assert!(expected, "{} {}", response.status, result_code(&response));
            }
            assert!(plain.runs().get(&key).is_none_or(|runs| *runs == 1), "{key}");
        }
    });
}

/// The store is unavailable when a return arrives: it is refused as not run, with a `Retry-After`.
/// Then the store applies the write of its record but the reply is lost: the return must still run,
/// once.
#[test]
fn store_faults() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let (plain, _agent, first, second) = start(&fleet).await;
        // Obtains a grant, so that the return is not refused for lack of budget.
        fleet.fetch(&first, file_return("k0")).await.unwrap();
        fleet.platform.faults.change(|plan| plan.down = true);
        let refused = fleet.fetch(&first, file_return("k1")).await.unwrap();
        assert_eq!((refused.status, result_code(&refused)), (503, 4101));
        assert_eq!(refused.field("toucanrail-run"), Some("not-run"));
        assert!(refused.field("retry-after").is_some());
        fleet.platform.faults.change(|plan| plan.down = false);
        assert!(!plain.runs().contains_key("k1"), "a return refused as not run was filed");
        fleet.platform.faults.change(|plan| plan.lose_answers = 1);
        fleet
            .wait("a return filed after an outage", async || {
                let response = fleet.fetch(&second, file_return("k1")).await.unwrap();
                response.status == 200
            })
            .await;
        assert_eq!(plain.runs()["k1"], 1);
    });
}

/// One of two agents is gone, and the store's reply is lost when an attempt there is recorded as not
/// run. The return must still be filed, at the other agent.
#[test]
fn lost_result() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let (plain, mut agent, first, _second) = start(&fleet).await;
        let (other, backend) = fleet.start_plain();
        let _other_agent = fleet.start_agent("agent-2", "filing-app", backend);
        let entry = fleet.start_entry("entry-3", &[("routing", "round-robin")]);
        fleet.wait_servers(&entry, 2).await;
        drop(first);
        // Each agent is picked in turn, so the one that is gone is next after the other.
        for turn in 0.. {
            let key = format!("early-{turn}");
            fleet.fetch(&entry, file_return(&key)).await.unwrap();
            if turn > 3 && other.runs().contains_key(&key) {
                break;
            }
        }
        agent.kill();
        fleet.platform.faults.change(|plan| {
            plan.lose_kind = "records".to_owned();
            plan.lose_answers = 2;
        });
        let response = fleet.fetch(&entry, file_return("k1")).await.unwrap();
        assert_eq!((response.status, result_code(&response)), (200, 1000));
        assert_eq!(fleet.platform.faults.plan().lose_answers, 0);
        assert_eq!((plain.runs().get("k1"), other.runs()["k1"]), (None, 1));
    });
}

/// The entry is killed while the return runs. A retry through the other entry must get the response
/// of that run, which the agent has stored, and must not file the return again.
#[test]
fn dead_writer() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let (plain, _agent, mut first, second) = start(&fleet).await;
        let call = file_return("k1").field("plain-delay-ms", "300");
        let sent = async {
            fleet.pool.fetch(first.address, call, TIMEOUT).await.ok();
        };
        let started = fleet.wait("the run", async || plain.runs().contains_key("k1"));
        sent.or(started).await;
        first.kill();
        let mut response = None;
        fleet
            .wait("the response of the first run", async || {
                let again = fleet.fetch(&second, file_return("k1")).await.unwrap();
                assert!(again.status == 200 || result_code(&again) == 2203, "{}", again.status);
                let done = again.status == 200;
                response = done.then_some(again);
                done
            })
            .await;
        assert!(String::from_utf8_lossy(&response.unwrap().body).contains("\"run\":1"));
        assert_eq!(plain.runs()["k1"], 1);
        assert_eq!(fleet.wait_billed(|| 5).await.billed, 5);
    });
}

/// The agent is killed while the return runs, so its outcome cannot be determined. The caller and
/// each retry are told so, and the return is never filed again.
#[test]
fn dead_agent() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let (plain, mut agent, first, second) = start(&fleet).await;
        let address = agent.address;
        let call = file_return("k1").field("plain-delay-ms", "2000");
        let kill_during_run = async {
            fleet.wait("the run", async || plain.runs().contains_key("k1")).await;
            agent.kill();
            std::future::pending().await
        };
        let response = fleet.fetch(&first, call).or(kill_during_run).await.unwrap();
        assert_ne!(response.status, 200);
        assert_eq!(response.field("toucanrail-run"), Some("unknown"));
        drop(agent);
        let (_other, backend) = fleet.start_plain();
        let _agent = fleet.start_agent_at("agent-1", "filing-app", backend, address);
        fleet
            .wait("the outcome to be recorded as unknown", async || {
                let again = fleet.fetch(&second, file_return("k1")).await.unwrap();
                assert_ne!(again.status, 200);
                result_code(&again) == 2204
            })
            .await;
        smol::Timer::after(Duration::from_millis(100)).await;
        assert_eq!(plain.runs()["k1"], 1);
    });
}
