//! Catalogue changes come into force at every process within seconds and are never reverted.

// Tests fail at the first unexpected value.
#![allow(clippy::unwrap_used)]

mod fleet;

use std::sync::Arc;
use std::time::{Duration, Instant};

use fleet::{Fleet, Process, authorized, result_code};
use serde_json::json;
use toucanrail::storecalls::{ObjectPath, StoreCall, StoreReply, WriteExpectation};
use toucanrail_daemons::demos;
use toucanrail_daemons::operators::OperatorError;
use toucanrail_wire::stores::ObjectStore;

/// Time within which an accepted change must be in force everywhere.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);

async fn start_processes(fleet: &Fleet) -> (Process, Vec<Process>) {
    let (_, backend) = fleet.start_engine();
    let agent = fleet.start_agent("agent-1", "levy-llm", backend);
    let entries: Vec<Process> =
        (0..3).map(|number| fleet.start_entry(&format!("entry-{number}"), &[])).collect();
    for entry in &entries {
        fleet.wait_servers(entry, 1).await;
        // Without the platform, an entry can only ask those that it knows.
        fleet
            .wait("the other entries", async || {
                let state = fleet.state(entry).await;
                state["members"]["peers"].as_object().is_some_and(|peers| peers.len() == 2)
            })
            .await;
    }
    (agent, entries)
}

fn catalogue(max_output: u64) -> String {
    let digest = toucanrail::paths::hash_text(fleet::KEY);
    let text = demos::CATALOGUE.replace("DIGEST", &digest);
    text.replace("max-output = 256", &format!("max-output = {max_output}"))
}

async fn max_output_at(fleet: &Fleet, process: &Process) -> u64 {
    let state = fleet.state(process).await;
    let item = &state["catalogue"]["items"]["service.levy-llm"][1]["service"];
    item["max-output"].as_u64().unwrap_or(0)
}

async fn wait_for_max_output(fleet: &Fleet, processes: &[&Process], expected: u64) -> Duration {
    let started = Instant::now();
    for process in processes {
        fleet
            .wait(&format!("{expected} at {}", process.address), async || {
                max_output_at(fleet, process).await == expected
            })
            .await;
    }
    started.elapsed()
}

/// An operator applies a change and waits for it; it is in force at every process.
#[test]
fn applied_change() {
    smol::block_on(async {
        let mut fleet = Fleet::start(10_000).await;
        let (agent, entries) = start_processes(&fleet).await;
        fleet.tools.wait = true;
        let output = fleet.apply(&catalogue(99)).await.unwrap();
        assert!(output.contains("in force everywhere"), "{output}");
        for process in entries.iter().chain([&agent]) {
            assert_eq!(max_output_at(&fleet, process).await, 99);
        }
    });
}

/// The platform's watches report no events. A change must still come into force within the limit.
#[test]
fn watch_gap() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let (agent, entries) = start_processes(&fleet).await;
        fleet.platform.faults.change(|plan| plan.watch_gap = true);
        fleet.apply(&catalogue(98)).await.unwrap();
        let all: Vec<&Process> = entries.iter().chain([&agent]).collect();
        let time = wait_for_max_output(&fleet, &all, 98).await;
        assert!(time < PROPAGATION_LIMIT, "it took {time:?}");
    });
}

/// A process starts while the platform is down: it must fetch the newest catalogue from a peer, and a
/// peer that was frozen since before the change must not bring back the old one.
#[test]
fn outage_restart() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let (_agent, mut entries) = start_processes(&fleet).await;
        entries[2].signal("STOP");
        fleet.apply(&catalogue(97)).await.unwrap();
        wait_for_max_output(&fleet, &[&entries[0], &entries[1]], 97).await;
        fleet.platform.faults.change(|plan| plan.down = true);
        entries[2].signal("CONT");
        entries[1].kill();
        let seed = entries[0].internal.unwrap().to_string();
        let new_entry = fleet.start_entry("entry-late", &[("peers", &seed)]);
        wait_for_max_output(&fleet, &[&new_entry, &entries[2]], 97).await;
        for _ in 0..20 {
            assert_eq!(max_output_at(&fleet, &entries[0]).await, 97);
            smol::Timer::after(Duration::from_millis(20)).await;
        }
    });
}

/// A process of another deployment, whose store has higher versions, listens at the address of a killed
/// entry. Its versions must not be taken for those of this deployment, or newer objects of this one
/// would never be requested.
#[test]
fn foreign_peer() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let (_agent, mut entries) = start_processes(&fleet).await;
        let other = Fleet::start(10_000).await;
        for output in 100..110 {
            other.apply(&catalogue(output)).await.unwrap();
        }
        entries[2].signal("STOP");
        fleet.apply(&catalogue(97)).await.unwrap();
        wait_for_max_output(&fleet, &[&entries[0], &entries[1]], 97).await;
        fleet.platform.faults.change(|plan| plan.down = true);
        entries[1].kill();
        let reused = entries[1].internal.unwrap().to_string();
        let _foreign = other.start_entry("entry-0", &[("inner", &reused)]);
        entries[0].signal("STOP");
        entries[2].signal("CONT");
        smol::Timer::after(PROPAGATION_LIMIT).await;
        entries[0].signal("CONT");
        wait_for_max_output(&fleet, &[&entries[2]], 97).await;
    });
}

/// An invalid entry is written to the store without the operator's program. It is rejected, the last
/// valid one stays in force, and the state dump shows the error.
#[test]
fn invalid_entry() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let (_agent, entries) = start_processes(&fleet).await;
        let path = "/v1/objects/catalogue/service.levy-llm";
        let mut request = authorized(path, &json!({"service": {"name": "levy-llm"}}));
        request.method = toucanrail_wire::clients::Method::Put;
        let response = fleet.pool.fetch(fleet.store, request, PROPAGATION_LIMIT).await.unwrap();
        assert_eq!(response.status, 200);
        fleet
            .wait("the error in the state dump", async || {
                let state = fleet.state(&entries[0]).await;
                state["catalogue"]["faults"]["service.levy-llm"].is_string()
            })
            .await;
        assert_eq!(max_output_at(&fleet, &entries[0]).await, 256);
        assert_eq!(
            fleet.fetch(&entries[0], fleet.chat_request("on", 2)).await.unwrap().status,
            200
        );
    });
}

/// A customer is removed: callers with its key are refused everywhere within the limit.
#[test]
fn removed_key() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let (_agent, entries) = start_processes(&fleet).await;
        assert_eq!(
            fleet.fetch(&entries[0], fleet.chat_request("on", 2)).await.unwrap().status,
            200
        );
        fleet.run_command(&["remove", "customer.acme"]).await.unwrap();
        let started = Instant::now();
        for entry in &entries {
            fleet
                .wait("the key to be refused", async || {
                    let response = fleet.fetch(entry, fleet.chat_request("off", 2)).await.unwrap();
                    result_code(&response) == 2101
                })
                .await;
        }
        assert!(started.elapsed() < PROPAGATION_LIMIT, "it took {:?}", started.elapsed());
    });
}

/// Two operators edit the same version: the second is told what the first one changed, and nothing of
/// its edit takes effect. An invalid file is rejected with line and field.
#[test]
fn concurrent_edits() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let file = fleet.run_command(&["get"]).await.unwrap();
        let first = file.replace("max-output = 256", "max-output = 100");
        let second = file.replace("max-output = 256", "max-output = 200");
        fleet.apply(&first).await.unwrap();
        match fleet.apply(&second).await.unwrap_err() {
            OperatorError::Conflict(changes) => {
                assert!(changes.contains("max-output: 200 -> 100"), "{changes}");
            }
            other => panic!("{other}"),
        }
        assert!(fleet.run_command(&["get"]).await.unwrap().contains("max-output = 100"));
        let invalid =
            file.replace("price = 5", "price = 0").replace("kind = \"engine\"", "kind = 7");
        let output = fleet.apply(&invalid).await.unwrap_err().to_string();
        assert!(output.contains("price: ") && output.contains("line "), "{output}");
    });
}

/// The reply to an operator's write is lost after the write took effect: the command must detect this
/// instead of reporting a conflict with its own edit.
#[test]
fn lost_reply() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        fleet.platform.faults.change(|plan| plan.lose_answers = 1);
        let output = fleet.apply(&catalogue(96)).await.unwrap();
        assert!(output.contains("service.levy-llm: in the catalogue"), "{output}");
    });
}

/// A new entry cannot read the catalogue yet. It must respond to a valid key that it is starting, not
/// that the key is unknown, and tell the load balancer that it is not ready.
#[test]
fn starting_entry() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let (_, backend) = fleet.start_engine();
        let _agent = fleet.start_agent("agent-1", "levy-llm", backend);
        fleet.platform.faults.change(|plan| plan.down = true);
        let entry = fleet.start_entry("entry-1", &[]);
        let response = fleet.fetch(&entry, fleet.chat_request("early", 2)).await.unwrap();
        assert_eq!((response.status, result_code(&response)), (503, 3201));
        assert_eq!(response.field("toucanrail-run"), Some("not-run"));
        let health = || toucanrail_wire::clients::OutboundRequest::get("/health");
        assert_eq!(fleet.fetch(&entry, health()).await.unwrap().status, 503);
        fleet.platform.faults.change(|plan| plan.down = false);
        fleet.wait_servers(&entry, 1).await;
        assert_eq!(fleet.fetch(&entry, fleet.chat_request("soon", 2)).await.unwrap().status, 200);
        assert_eq!(fleet.fetch(&entry, health()).await.unwrap().status, 200);
    });
}

/// A file cannot be applied to its end. The operator is told which entries are in the catalogue and
/// which are not.
#[test]
fn half_applied_file() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let path: ObjectPath = "budgets/shard-0".into();
        let get = StoreCall::Get { path: Arc::clone(&path) };
        let StoreReply::Found { version, .. } = fleet.tools.store.call(&get).await else {
            panic!("no shard");
        };
        let (expect, value) = (WriteExpectation::At(version), b"{}".to_vec());
        let put = StoreCall::Put { path, expect, value };
        assert!(matches!(fleet.tools.store.call(&put).await, StoreReply::Written { .. }));
        let customer = "\n[[customer]]\nname = \"new\"\nowner = \"o\"\nclass = \"standard\"\n\
            key-digests = []\nopening-budget = 5\n";
        let error = fleet.apply(&(catalogue(97) + customer)).await.unwrap_err();
        assert_eq!(error.exit_code(), 1);
        let text = error.to_string();
        let lines: Vec<&str> = text.lines().collect();
        assert!(lines[0].contains("budget shard in budgets/shard-0"), "{text}");
        assert!(text.contains("service.levy-llm: in the catalogue at version"), "{text}");
        assert!(text.contains("customer.new: not applied"), "{text}");
    });
}

/// A customer is removed and comes back. Its account is still there, and the operator is told what
/// is in it, as the opening budget is not added.
#[test]
fn returned_customer() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let text = "[[customer]]\nname = \"back\"\nowner = \"o\"\nclass = \"standard\"\n\
            key-digests = []\nopening-budget = 70\n";
        let first = fleet.apply(text).await.unwrap();
        assert!(!first.contains("has an account"), "{first}");
        fleet.run_command(&["remove", "customer.back"]).await.unwrap();
        let again = fleet.apply(text).await.unwrap();
        let expected = "customer.back: has an account with 70 of 70 tokens unspent; its opening \
            budget of 70 is not added";
        assert!(again.contains(expected), "{again}");
        assert!(fleet.apply(text).await.unwrap().contains("no changes"));
    });
}
