//! Backend servers that leave, hang or fall silent, and processes that stop.

// A test stops at the first thing that is not as it should be.
#![allow(clippy::unwrap_used)]

mod fleet;

use std::time::{Duration, Instant};

use fleet::{BOUND, Fleet, Process, result_of, right_text, stream_text};
use toucanrail_standins::engines::EngineStandin;
use toucanrail_standins::platforms::PlatformStandin;

/// The time after which a leaving backend server gets no new work.
const LEAVE_BOUND: Duration = Duration::from_secs(3);

async fn start(fleet: &Fleet) -> (Vec<EngineStandin>, Vec<Process>, Process) {
    let mut engines = Vec::new();
    let mut agents = Vec::new();
    for number in 0..2 {
        let (engine, backend) = fleet.engine();
        engines.push(engine);
        agents.push(fleet.agent(&format!("agent-{number}"), "levy-llm", backend));
    }
    let entry = fleet.entry("entry-1", &[]);
    fleet.wait_servers(&entry, 2).await;
    (engines, agents, entry)
}

/// Sends requests for longer than the bound and checks that the server gets none after it.
async fn check_left(fleet: &Fleet, entry: &Process, engine: &EngineStandin) {
    let begun = Instant::now();
    let mut at_bound = None;
    let mut turn = 0;
    while begun.elapsed() < LEAVE_BOUND + Duration::from_secs(1) {
        turn += 1;
        let prompt = format!("turn {turn}");
        let answer = fleet.fetch(entry, fleet.chat(&prompt, 4)).await.unwrap();
        assert_eq!(stream_text(&answer.body), (right_text(&prompt, 4), true));
        if begun.elapsed() >= LEAVE_BOUND && at_bound.is_none() {
            at_bound = Some(engine.starts());
        }
    }
    assert_eq!(at_bound, Some(engine.starts()), "it got new work after the bound");
}

/// An agent is told to stop with a stream running: the stream ends whole, nothing new comes, and
/// the process ends by itself.
#[test]
fn stopped_agent() {
    smol::block_on(async {
        let fleet = Fleet::start(100_000).await;
        let (engines, mut agents, entry) = start(&fleet).await;
        let call = fleet.chat("running", 150);
        let mut answer = fleet.pool.open(entry.address, call, BOUND).await.unwrap();
        let mut body = answer.read_chunk(BOUND).await.unwrap();
        let at = engines.iter().position(|engine| engine.running() > 0).unwrap();
        agents[at].signal("TERM");
        check_left(&fleet, &entry, &engines[at]).await;
        loop {
            let chunk = answer.read_chunk(BOUND).await.unwrap();
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
        assert_eq!(stream_text(&body), (right_text("running", 150), true));
        assert!(agents[at].wait_end().await);
    });
}

/// The VM list says that a VM is leaving; its agent knows nothing of it.
#[test]
fn leaving_vm() {
    smol::block_on(async {
        let fleet = Fleet::start(100_000).await;
        let (engines, _agents, entry) = start(&fleet).await;
        fleet.platform.set_vm("agent-0", true);
        check_left(&fleet, &entry, &engines[0]).await;
    });
}

/// An agent is frozen: its connections stay open and nothing comes. Requests sent to it before
/// that shows must be answered all the same, by the other.
#[test]
fn frozen_agent() {
    smol::block_on(async {
        let fleet = Fleet::start(100_000).await;
        let (engines, agents, entry) = start(&fleet).await;
        agents[1].signal("STOP");
        check_left(&fleet, &entry, &engines[1]).await;
        agents[1].signal("CONT");
    });
}

/// The engine hangs while its agent lives.
#[test]
fn hung_engine() {
    smol::block_on(async {
        let fleet = Fleet::start(100_000).await;
        let (engines, _agents, entry) = start(&fleet).await;
        engines[0].faults.change(|plan| plan.frozen = true);
        check_left(&fleet, &entry, &engines[0]).await;
        engines[0].faults.change(|plan| plan.frozen = false);
    });
}

/// The platform goes down, then an agent is stopped: entries must learn it from the agent itself.
#[test]
fn stop_in_outage() {
    smol::block_on(async {
        let fleet = Fleet::start(100_000).await;
        let (engines, agents, entry) = start(&fleet).await;
        fleet.fetch(&entry, fleet.chat("first", 4)).await.unwrap();
        let platform: &PlatformStandin = &fleet.platform;
        platform.faults.change(|plan| plan.down = true);
        agents[0].signal("TERM");
        check_left(&fleet, &entry, &engines[0]).await;
        platform.faults.change(|plan| plan.down = false);
    });
}

/// All servers are gone: a request is refused at once as not run, with when to come back.
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
                let answer = fleet.fetch(&entry, fleet.chat("none", 4)).await.unwrap();
                let refused = result_of(&answer) == 3201;
                assert!(!refused || answer.field("toucanrail-run") == Some("not-run"));
                assert!(!refused || answer.field("retry-after").is_some());
                refused
            })
            .await;
    });
}
