//! Holders of grants that are killed, paused or cut off from the store, as real processes.

// Tests fail at the first unexpected value.
#![allow(clippy::unwrap_used)]

mod fleet;

use fleet::{Fleet, Process, TIMEOUT, result_code};
use toucanrail_standins::engines::EngineStandin;

async fn start(fleet: &Fleet) -> (EngineStandin, Process, Process, Process) {
    let (engine, backend) = fleet.start_engine();
    let agent = fleet.start_agent("agent-1", "levy-llm", backend);
    let first = fleet.start_entry("entry-1", &[]);
    let second = fleet.start_entry("entry-2", &[]);
    fleet.wait_servers(&first, 1).await;
    fleet.wait_servers(&second, 1).await;
    (engine, agent, first, second)
}

fn granted(account: &toucanrail::budgets::BudgetAccount, name: &str) -> u64 {
    let grants = account.grants.iter();
    grants.filter(|(entry, _)| entry.starts_with(name)).map(|(_, tokens)| tokens).sum()
}

/// An entry is killed with open streams. The other entry bills once what the engine spent for them,
/// the rest of the killed entry's grant is returned, and nothing stays frozen.
#[test]
fn killed_entry() {
    smol::block_on(async {
        let fleet = Fleet::start(20_000).await;
        let (engine, _agent, mut first, second) = start(&fleet).await;
        let mut open = Vec::new();
        for turn in 0..4 {
            let call = fleet.chat_request(&format!("draft {turn}"), 150);
            let mut response = fleet.pool.open(first.address, call, TIMEOUT).await.unwrap();
            response.read_chunk(TIMEOUT).await.unwrap();
            open.push(response);
        }
        first.kill();
        fleet
            .wait("the killed entry's grant to be returned", async || {
                let account = fleet.account().await;
                granted(&account, "entry-1") == 0 && account.billed >= engine.spent()["acme"]
            })
            .await;
        let account = fleet.account().await;
        assert_eq!(account.billed + account.written_off, engine.spent()["acme"]);
        assert_eq!(account.frozen.len(), 0);
        let response = fleet.fetch(&second, fleet.chat_request("next", 5)).await.unwrap();
        assert_eq!(response.status, 200);
    });
}

/// An entry is paused until its tenure is reclaimed, then continues without knowing and receives
/// requests. It must not spend budget that it no longer holds.
#[test]
fn paused_entry() {
    smol::block_on(async {
        let fleet = Fleet::start(3_000).await;
        let (engine, _agent, first, second) = start(&fleet).await;
        fleet.fetch(&first, fleet.chat_request("before", 5)).await.unwrap();
        first.signal("STOP");
        fleet
            .wait("the paused entry's grant to be returned", async || {
                granted(&fleet.account().await, "entry-1") == 0
            })
            .await;
        // The other entry spends until the rest does not cover another request.
        for turn in 0.. {
            let call = fleet.chat_request(&format!("spend {turn}"), 190);
            let response = fleet.fetch(&second, call).await.unwrap();
            if result_code(&response) == 3001 {
                break;
            }
            assert_eq!(response.status, 200);
        }
        first.signal("CONT");
        let mut refused = 0;
        for turn in 0..10 {
            let call = fleet.chat_request(&format!("awake {turn}"), 190);
            let response = fleet.fetch(&first, call).await.unwrap();
            refused += u64::from(response.status != 200);
        }
        assert!(engine.spent()["acme"] <= 3_000, "spent {}", engine.spent()["acme"]);
        assert_eq!(refused, 10, "a request was served without budget");
        let account = fleet.wait_billed(|| engine.spent()["acme"]).await;
        assert_eq!(account.billed, engine.spent()["acme"]);
    });
}

/// Entry and agent are killed together, so nobody knows what the engine spent. The budget that was
/// held must be frozen and shown to the operator, who can release it.
#[test]
fn killed_both() {
    smol::block_on(async {
        let fleet = Fleet::start(20_000).await;
        fleet.platform.set_vm("entry-1", false);
        fleet.platform.set_vm("agent-1", false);
        let (engine, mut agent, mut first, _second) = start(&fleet).await;
        let call = fleet.chat_request("draft", 150);
        let mut response = fleet.pool.open(first.address, call, TIMEOUT).await.unwrap();
        response.read_chunk(TIMEOUT).await.unwrap();
        first.kill();
        agent.kill();
        // The VM list reports it later.
        fleet.platform.remove_vm("entry-1");
        fleet.platform.remove_vm("agent-1");
        fleet
            .wait("the budget to be frozen", async || {
                let account = fleet.account().await;
                !account.frozen.is_empty() && granted(&account, "entry-1") == 0
            })
            .await;
        let account = fleet.account().await;
        let (epoch, frozen) = account.frozen.iter().next().unwrap();
        assert!(account.billed + frozen >= engine.spent()["acme"]);
        let shown = fleet.run_command(&["budget", "acme"]).await.unwrap();
        assert!(shown.contains(&format!("epoch {epoch}: {frozen} frozen")), "{shown}");
    });
}

/// The store is unavailable for a while. Requests are served within the grant, then refused as not
/// run with a `Retry-After`; afterwards everything is billed once.
#[test]
fn store_outage() {
    smol::block_on(async {
        let fleet = Fleet::start(100_000).await;
        let (engine, _agent, first, _second) = start(&fleet).await;
        fleet.fetch(&first, fleet.chat_request("before", 5)).await.unwrap();
        fleet.platform.faults.change(|plan| plan.down = true);
        let mut served = 0;
        let mut refused = 0;
        for turn in 0..30 {
            let call = fleet.chat_request(&format!("during {turn}"), 150);
            let response = fleet.fetch(&first, call).await.unwrap();
            match result_code(&response) {
                1000 => served += 1,
                3002 => {
                    assert!(response.field("retry-after").is_some());
                    refused += 1;
                    break;
                }
                other => panic!("{other}"),
            }
        }
        assert!(served >= 3 && refused == 1, "{served} served, {refused} refused");
        fleet.platform.faults.change(|plan| plan.down = false);
        let account = fleet.wait_billed(|| engine.spent()["acme"]).await;
        assert_eq!(account.billed, engine.spent()["acme"]);
        assert_eq!(fleet.fetch(&first, fleet.chat_request("after", 5)).await.unwrap().status, 200);
    });
}

/// The budget is nearly spent, and part of the rest is granted to another entry that does not use
/// it. A request that the whole rest covers must be served: unused grant is recalled before a
/// refusal.
#[test]
fn unused_grant() {
    smol::block_on(async {
        let fleet = Fleet::start(1_600).await;
        let (engine, _agent, first, second) = start(&fleet).await;
        fleet.fetch(&second, fleet.chat_request("first", 5)).await.unwrap();
        let mut served = 0;
        for turn in 0..20 {
            let call = fleet.chat_request(&format!("turn {turn}"), 100);
            served += u64::from(fleet.fetch(&first, call).await.unwrap().status == 200);
        }
        let spent = engine.spent()["acme"];
        // The maximum usage of one request is about 260 tokens.
        assert!(spent <= 1_600 && spent > 1_600 - 270, "{spent} spent in {served} requests");
    });
}
