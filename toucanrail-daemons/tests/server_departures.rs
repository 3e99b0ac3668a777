//! Backend servers that are shut down, hang or stop responding, and processes that are stopped.

// Tests fail at the first unexpected value.
#![allow(clippy::unwrap_used)]

mod fleet;

use std::time::{Duration, Instant};

use fleet::{Fleet, Process, TIMEOUT, expected_text, result_code, stream_text};
use toucanrail_standins::engines::EngineStandin;
use toucanrail_standins::platforms::PlatformStandin;

/// Time after which a departing backend server must get no new work.
const DEPARTURE_TIMEOUT: Duration = Duration::from_secs(3);

async fn start(fleet: &Fleet) -> (Vec<EngineStandin>, Vec<Process>, Process) {
    let mut engines = Vec::new();
    let mut agents = Vec::new();
    for number in 0..2 {
        let (engine, backend) = fleet.start_engine();
        engines.push(engine);
        agents.push(fleet.start_agent(&format!("agent-{number}"), "levy-llm", backend));
    }
    let entry = fleet.start_entry("entry-1", &[]);
    fleet.wait_servers(&entry, 2).await;
    (engines, agents, entry)
}

/// Sends requests beyond [`DEPARTURE_TIMEOUT`] and checks that the server gets none after it.
async fn check_no_new_work(fleet: &Fleet, entry: &Process, engine: &EngineStandin) {
    let started = Instant::now();
    let mut starts_at_timeout = None;
    let mut turn = 0;
    while started.elapsed() < DEPARTURE_TIMEOUT + Duration::from_secs(1) {
        turn += 1;
        let prompt = format!("turn {turn}");
        let response = fleet.fetch(entry, fleet.chat_request(&prompt, 4)).await.unwrap();
        assert_eq!(stream_text(&response.body), (expected_text(&prompt, 4), true));
        if started.elapsed() >= DEPARTURE_TIMEOUT && starts_at_timeout.is_none() {
            starts_at_timeout = Some(engine.starts());
        }
    }
    assert_eq!(
        starts_at_timeout,
        Some(engine.starts()),
        "the server got new work after the departure timeout"
    );
}

/// An agent is told to stop while a stream is running: the stream is completed, no new work
/// arrives, and the process exits by itself.
#[test]
fn stopped_agent() {
    smol::block_on(async {
        let fleet = Fleet::start(100_000).await;
        let (engines, mut agents, entry) = start(&fleet).await;
        let call = fleet.chat_request("running", 150);
        let mut response = fleet.pool.open(entry.address, call, TIMEOUT).await.unwrap();
        let mut body = response.read_chunk(TIMEOUT).await.unwrap();
        let at = engines.iter().position(|engine| engine.running() > 0).unwrap();
        agents[at].signal("TERM");
        check_no_new_work(&fleet, &entry, &engines[at]).await;
        loop {
            let chunk = response.read_chunk(TIMEOUT).await.unwrap();
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
        assert_eq!(stream_text(&body), (expected_text("running", 150), true));
        assert!(agents[at].wait_exit().await);
    });
}

/// The VM list marks a VM as leaving, which its agent does not know.
#[test]
fn leaving_vm() {
    smol::block_on(async {
        let fleet = Fleet::start(100_000).await;
        let (engines, _agents, entry) = start(&fleet).await;
        fleet.platform.set_vm("agent-0", true);
        check_no_new_work(&fleet, &entry, &engines[0]).await;
    });
}

/// An agent is suspended: its connections stay open but carry no data. Requests sent to it before
/// this is detected must be served by the other agent.
#[test]
fn frozen_agent() {
    smol::block_on(async {
        let fleet = Fleet::start(100_000).await;
        let (engines, agents, entry) = start(&fleet).await;
        agents[1].signal("STOP");
        check_no_new_work(&fleet, &entry, &engines[1]).await;
        agents[1].signal("CONT");
    });
}

/// The engine hangs while its agent keeps running.
#[test]
fn hung_engine() {
    smol::block_on(async {
        let fleet = Fleet::start(100_000).await;
        let (engines, _agents, entry) = start(&fleet).await;
        engines[0].faults.change(|plan| plan.frozen = true);
        check_no_new_work(&fleet, &entry, &engines[0]).await;
        engines[0].faults.change(|plan| plan.frozen = false);
    });
}

/// The platform becomes unavailable, then an agent is stopped: entries must learn this from the
/// agent itself.
#[test]
fn stop_in_outage() {
    smol::block_on(async {
        let fleet = Fleet::start(100_000).await;
        let (engines, agents, entry) = start(&fleet).await;
        fleet.fetch(&entry, fleet.chat_request("first", 4)).await.unwrap();
        let platform: &PlatformStandin = &fleet.platform;
        platform.faults.change(|plan| plan.down = true);
        agents[0].signal("TERM");
        check_no_new_work(&fleet, &entry, &engines[0]).await;
        platform.faults.change(|plan| plan.down = false);
    });
}

/// All servers are gone: a request is refused immediately as not run, with a `Retry-After`.
#[test]
fn no_servers() {
    smol::block_on(async {
        let fleet = Fleet::start(100_000).await;
        let (_engines, agents, entry) = start(&fleet).await;
        for agent in &agents {
            agent.signal("TERM");
        }
        fleet
            .wait("the refusal", async || {
                let response = fleet.fetch(&entry, fleet.chat_request("none", 4)).await.unwrap();
                let refused = result_code(&response) == 3201;
                assert!(!refused || response.field("toucanrail-run") == Some("not-run"));
                assert!(!refused || response.field("retry-after").is_some());
                refused
            })
            .await;
    });
}
