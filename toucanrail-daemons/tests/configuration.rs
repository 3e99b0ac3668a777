//! The catalogue: in force everywhere within seconds, never going back.

// A test stops at the first thing that is not as it should be.
#![allow(clippy::unwrap_used)]

mod fleet;

use std::time::{Duration, Instant};

use fleet::{Fleet, Process, authorized, result_code};
use serde_json::json;
use toucanrail_daemons::demos;
use toucanrail_daemons::operators::OperatorError;

/// The time within which an accepted change is in force everywhere.
const FORCE_BOUND: Duration = Duration::from_secs(3);

async fn start(fleet: &Fleet) -> (Process, Vec<Process>) {
    let (_, backend) = fleet.start_engine();
    let agent = fleet.start_agent("agent-1", "levy-llm", backend);
    let entries: Vec<Process> =
        (0..3).map(|number| fleet.start_entry(&format!("entry-{number}"), &[])).collect();
    for entry in &entries {
        fleet.wait_servers(entry, 1).await;
    }
    (agent, entries)
}

fn catalogue(max_output: u64) -> String {
    let digest = toucanrail::paths::hash_text(fleet::KEY);
    let text = demos::CATALOGUE.replace("DIGEST", &digest);
    text.replace("max-output = 256", &format!("max-output = {max_output}"))
}

async fn output_at(fleet: &Fleet, process: &Process) -> u64 {
    let state = fleet.state(process).await;
    let item = &state["catalogue"]["items"]["service.levy-llm"][1]["service"];
    item["max-output"].as_u64().unwrap_or(0)
}

async fn wait_output(fleet: &Fleet, processes: &[&Process], wanted: u64) -> Duration {
    let begun = Instant::now();
    for process in processes {
        fleet
            .wait(&format!("{wanted} at {}", process.address), async || {
                output_at(fleet, process).await == wanted
            })
            .await;
    }
    begun.elapsed()
}

/// An operator applies a change and waits for it; it is in force at every process.
#[test]
fn applied_change() {
    smol::block_on(async {
        let mut fleet = Fleet::start(10_000).await;
        let (agent, entries) = start(&fleet).await;
        fleet.tools.wait = true;
        let said = fleet.apply(&catalogue(99)).await.unwrap();
        assert!(said.contains("in force everywhere"), "{said}");
        for process in entries.iter().chain([&agent]) {
            assert_eq!(output_at(&fleet, process).await, 99);
        }
    });
}

/// The platform's watches never wake. The change must come into force within the bound.
#[test]
fn watch_gap() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let (agent, entries) = start(&fleet).await;
        fleet.platform.faults.change(|plan| plan.watch_gap = true);
        fleet.apply(&catalogue(98)).await.unwrap();
        let all: Vec<&Process> = entries.iter().chain([&agent]).collect();
        let time = wait_output(&fleet, &all, 98).await;
        assert!(time < FORCE_BOUND, "it took {time:?}");
    });
}

/// A process starts while the platform is down: it must take the newest catalogue from a peer,
/// and a peer that was frozen since before the change must not bring the old one back.
#[test]
fn outage_restart() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let (_agent, mut entries) = start(&fleet).await;
        entries[2].signal("STOP");
        fleet.apply(&catalogue(97)).await.unwrap();
        wait_output(&fleet, &[&entries[0], &entries[1]], 97).await;
        fleet.platform.faults.change(|plan| plan.down = true);
        entries[2].signal("CONT");
        entries[1].kill();
        let seed = entries[0].internal.unwrap().to_string();
        let late = fleet.start_entry("entry-late", &[("peers", &seed)]);
        wait_output(&fleet, &[&late, &entries[2]], 97).await;
        for _ in 0..20 {
            assert_eq!(output_at(&fleet, &entries[0]).await, 97);
            smol::Timer::after(Duration::from_millis(20)).await;
        }
    });
}

/// A process of another deployment listens where a killed entry did, and its store is further on. Its
/// versions must not pass for this deployment's: what is new here would never be asked for again.
#[test]
fn foreign_peer() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let (_agent, mut entries) = start(&fleet).await;
        let other = Fleet::start(10_000).await;
        for output in 100..110 {
            other.apply(&catalogue(output)).await.unwrap();
        }
        entries[2].signal("STOP");
        fleet.apply(&catalogue(97)).await.unwrap();
        wait_output(&fleet, &[&entries[0], &entries[1]], 97).await;
        fleet.platform.faults.change(|plan| plan.down = true);
        entries[1].kill();
        let taken = entries[1].internal.unwrap().to_string();
        let _foreign = other.start_entry("entry-0", &[("inner", &taken)]);
        entries[0].signal("STOP");
        entries[2].signal("CONT");
        smol::Timer::after(FORCE_BOUND).await;
        entries[0].signal("CONT");
        wait_output(&fleet, &[&entries[2]], 97).await;
    });
}

/// Somebody writes a broken entry past the command line: it is refused, the last good one stays,
/// and the state says why.
#[test]
fn bad_entry() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let (_agent, entries) = start(&fleet).await;
        let path = "/v1/objects/catalogue/service.levy-llm";
        let mut call = authorized(path, &json!({"service": {"name": "levy-llm"}}));
        call.method = toucanrail_wire::clients::Method::Put;
        let answer = fleet.pool.fetch(fleet.store, call, FORCE_BOUND).await.unwrap();
        assert_eq!(answer.status, 200);
        fleet
            .wait("the fault", async || {
                let state = fleet.state(&entries[0]).await;
                state["catalogue"]["faults"]["service.levy-llm"].is_string()
            })
            .await;
        assert_eq!(output_at(&fleet, &entries[0]).await, 256);
        assert_eq!(
            fleet.fetch(&entries[0], fleet.chat_request("on", 2)).await.unwrap().status,
            200
        );
    });
}

/// A customer's key is removed: callers with it are refused everywhere within the bound.
#[test]
fn removed_key() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let (_agent, entries) = start(&fleet).await;
        assert_eq!(
            fleet.fetch(&entries[0], fleet.chat_request("on", 2)).await.unwrap().status,
            200
        );
        fleet.run_command(&["remove", "customer.acme"]).await.unwrap();
        let begun = Instant::now();
        for entry in &entries {
            fleet
                .wait("the refusal", async || {
                    let answer = fleet.fetch(entry, fleet.chat_request("off", 2)).await.unwrap();
                    result_code(&answer) == 2101
                })
                .await;
        }
        assert!(begun.elapsed() < FORCE_BOUND, "it took {:?}", begun.elapsed());
    });
}

/// Two operators edit what they got before: the second is told what changed meanwhile, and
/// nothing of its edit takes effect. A faulty file is refused with line and field.
#[test]
fn racing_edits() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let got = fleet.run_command(&["get"]).await.unwrap();
        let first = got.replace("max-output = 256", "max-output = 100");
        let second = got.replace("max-output = 256", "max-output = 200");
        fleet.apply(&first).await.unwrap();
        match fleet.apply(&second).await.unwrap_err() {
            OperatorError::Conflict(what) => {
                assert!(what.contains("max-output: 200 -> 100"), "{what}");
            }
            other => panic!("{other}"),
        }
        assert!(fleet.run_command(&["get"]).await.unwrap().contains("max-output = 100"));
        let faulty = got.replace("price = 5", "price = 0").replace("kind = \"engine\"", "kind = 7");
        let said = fleet.apply(&faulty).await.unwrap_err().to_string();
        assert!(said.contains("price: ") && said.contains("line "), "{said}");
    });
}

/// The answer to an operator's edit is lost after its effect: the command must find that it took
/// effect instead of reporting a conflict with itself.
#[test]
fn lost_answer() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        fleet.platform.faults.change(|plan| plan.lose_answers = 1);
        let said = fleet.apply(&catalogue(96)).await.unwrap();
        assert!(said.contains("service.levy-llm: in the catalogue"), "{said}");
    });
}

/// A new entry cannot read the catalogue yet. A caller with a good key must hear that the entry is
/// starting, not that its key is unknown, and the balancer that it is not ready.
#[test]
fn starting_entry() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let (_, backend) = fleet.start_engine();
        let _agent = fleet.start_agent("agent-1", "levy-llm", backend);
        fleet.platform.faults.change(|plan| plan.down = true);
        let entry = fleet.start_entry("entry-1", &[]);
        let answer = fleet.fetch(&entry, fleet.chat_request("early", 2)).await.unwrap();
        assert_eq!((answer.status, result_code(&answer)), (503, 3201));
        assert_eq!(answer.field("toucanrail-run"), Some("not-run"));
        let health = || toucanrail_wire::clients::OutboundRequest::get("/health");
        assert_eq!(fleet.fetch(&entry, health()).await.unwrap().status, 503);
        fleet.platform.faults.change(|plan| plan.down = false);
        fleet.wait_servers(&entry, 1).await;
        assert_eq!(fleet.fetch(&entry, fleet.chat_request("soon", 2)).await.unwrap().status, 200);
        assert_eq!(fleet.fetch(&entry, health()).await.unwrap().status, 200);
    });
}
