//! Holders of grants that die, are paused or are cut off, with real processes.

// A test stops at the first thing that is not as it should be.
#![allow(clippy::unwrap_used)]

mod fleet;

use fleet::{BOUND, Fleet, Process, result_of};
use toucanrail_standins::engines::EngineStandin;

async fn start(fleet: &Fleet) -> (EngineStandin, Process, Process, Process) {
    let (engine, backend) = fleet.engine();
    let agent = fleet.agent("agent-1", "levy-llm", backend);
    let first = fleet.entry("entry-1", &[]);
    let second = fleet.entry("entry-2", &[]);
    fleet.wait_servers(&first, 1).await;
    fleet.wait_servers(&second, 1).await;
    (engine, agent, first, second)
}

fn granted(account: &toucanrail::budgets::BudgetAccount, name: &str) -> u64 {
    let grants = account.grants.iter();
    grants.filter(|(entry, _)| entry.starts_with(name)).map(|(_, tokens)| tokens).sum()
}

/// An entry is killed with streams open. What the engine spent for them is billed once by the
/// other entry, the rest of the dead one's grant comes back, and nothing stays frozen.
#[test]
fn killed_entry() {
    smol::block_on(async {
        let fleet = Fleet::start(20_000).await;
        let (engine, _agent, mut first, second) = start(&fleet).await;
        let mut open = Vec::new();
        for turn in 0..4 {
            let call = fleet.chat(&format!("draft {turn}"), 150);
            let mut answer = fleet.pool.open(first.address, call, BOUND).await.unwrap();
            answer.read_chunk(BOUND).await.unwrap();
            open.push(answer);
        }
        first.kill();
        fleet
            .wait("the dead entry's grant to come back", async || {
                let account = fleet.account().await;
                granted(&account, "entry-1") == 0 && account.billed >= engine.spent()["acme"]
            })
            .await;
        let account = fleet.account().await;
        assert_eq!(account.billed + account.written_off, engine.spent()["acme"]);
        assert_eq!(account.frozen.len(), 0);
        let answer = fleet.fetch(&second, fleet.chat("next", 5)).await.unwrap();
        assert_eq!(answer.status, 200);
    });
}

/// An entry is paused so long that its tenure is reclaimed, then wakes up, unaware, with
/// requests coming. It must not spend money that is no longer its own, and serve again soon.
#[test]
fn paused_entry() {
    smol::block_on(async {
        let fleet = Fleet::start(3_000).await;
        let (engine, _agent, first, second) = start(&fleet).await;
        fleet.fetch(&first, fleet.chat("before", 5)).await.unwrap();
        first.signal("STOP");
        fleet
            .wait("the paused entry's grant to come back", async || {
                granted(&fleet.account().await, "entry-1") == 0
            })
            .await;
        // The other spends until too little is left for one more request.
        for turn in 0.. {
            let call = fleet.chat(&format!("spend {turn}"), 190);
            let answer = fleet.fetch(&second, call).await.unwrap();
            if result_of(&answer) == 3001 {
                break;
            }
            assert_eq!(answer.status, 200);
        }
        first.signal("CONT");
        let mut refused = 0;
        for turn in 0..10 {
            let call = fleet.chat(&format!("awake {turn}"), 190);
            let answer = fleet.fetch(&first, call).await.unwrap();
            refused += u64::from(answer.status != 200);
        }
        assert!(engine.spent()["acme"] <= 3_000, "spent {}", engine.spent()["acme"]);
        assert_eq!(refused, 10, "nothing was left for it");
        let account = fleet.wait_billed(|| engine.spent()["acme"]).await;
        assert_eq!(account.billed, engine.spent()["acme"]);
    });
}

/// Entry and agent die together: what the engine spent is known to nobody. That money must stay
/// frozen and shown until an operator frees it.
#[test]
fn killed_both() {
    smol::block_on(async {
        let fleet = Fleet::start(20_000).await;
        fleet.platform.set_vm("entry-1", false);
        fleet.platform.set_vm("agent-1", false);
        let (engine, mut agent, mut first, _second) = start(&fleet).await;
        let call = fleet.chat("draft", 150);
        let mut answer = fleet.pool.open(first.address, call, BOUND).await.unwrap();
        answer.read_chunk(BOUND).await.unwrap();
        first.kill();
        agent.kill();
        // The VM list says so later.
        fleet.platform.remove_vm("entry-1");
        fleet.platform.remove_vm("agent-1");
        fleet
            .wait("the money to be frozen", async || {
                let account = fleet.account().await;
                !account.frozen.is_empty() && granted(&account, "entry-1") == 0
            })
            .await;
        let account = fleet.account().await;
        let (epoch, frozen) = account.frozen.iter().next().unwrap();
        assert!(account.billed + frozen >= engine.spent()["acme"]);
        let shown = fleet.operate(&["budget", "acme"]).await.unwrap();
        assert!(shown.contains(&format!("epoch {epoch}: {frozen} frozen")), "{shown}");
    });
}

/// The object API is down for a while. Requests go on within the grant, then are refused as not
/// run with when to come back; afterwards everything is billed once.
#[test]
fn store_outage() {
    smol::block_on(async {
        let fleet = Fleet::start(100_000).await;
        let (engine, _agent, first, _second) = start(&fleet).await;
        fleet.fetch(&first, fleet.chat("before", 5)).await.unwrap();
        fleet.platform.faults.change(|plan| plan.down = true);
        let mut served = 0;
        let mut refused = 0;
        for turn in 0..30 {
            let call = fleet.chat(&format!("during {turn}"), 150);
            let answer = fleet.fetch(&first, call).await.unwrap();
            match result_of(&answer) {
                1000 => served += 1,
                3002 => {
                    assert!(answer.field("retry-after").is_some());
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
        assert_eq!(fleet.fetch(&first, fleet.chat("after", 5)).await.unwrap().status, 200);
    });
}

/// The budget is nearly spent and what is left lies unused at another entry. A request that the
/// whole would cover must be served: the grant is recalled before a refusal.
#[test]
fn unused_grant() {
    smol::block_on(async {
        let fleet = Fleet::start(1_600).await;
        let (engine, _agent, first, second) = start(&fleet).await;
        fleet.fetch(&second, fleet.chat("first", 5)).await.unwrap();
        let mut right = 0;
        for turn in 0..20 {
            let call = fleet.chat(&format!("turn {turn}"), 100);
            right += u64::from(fleet.fetch(&first, call).await.unwrap().status == 200);
        }
        let spent = engine.spent()["acme"];
        // The worst case of one request is about 260.
        assert!(spent <= 1_600 && spent > 1_600 - 270, "{spent} spent in {right} requests");
    });
}
