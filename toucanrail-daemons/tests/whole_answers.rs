//! The whole answer, to its own caller only: cuts, deaths, silence, foreign answers.

// A test stops at the first thing that is not as it should be.
#![allow(clippy::unwrap_used)]

mod fleet;

use std::time::Instant;

use fleet::{BOUND, Fleet, Process, authorized, right_text, stream_text};
use serde_json::{Value, json};
use smol::future::FutureExt;
use toucanrail_standins::engines::EngineStandin;

async fn start(fleet: &Fleet, count: usize) -> (Vec<EngineStandin>, Vec<Process>, Process) {
    let mut engines = Vec::new();
    let mut agents = Vec::new();
    for number in 0..count {
        let (engine, backend) = fleet.engine();
        engines.push(engine);
        agents.push(fleet.agent(&format!("agent-{number}"), "levy-llm", backend));
    }
    let entry = fleet.entry("entry-1", &[]);
    fleet.wait_servers(&entry, count).await;
    (engines, agents, entry)
}

fn spent(engines: &[EngineStandin]) -> u64 {
    let spent = engines.iter().filter_map(|engine| engine.spent().get("acme").copied());
    spent.sum()
}

/// Tells whether an agent has a run that was not settled, by the dump of its state.
fn has_run(state: &Value) -> bool {
    state["ledger"]["runs"].as_object().is_some_and(|runs| !runs.is_empty())
}

/// The engine's answer is cut behind each of its first tokens in turn. The stream must go on
/// behind the last whole event at another engine, and what both used must be settled.
#[test]
fn cut_streams() {
    smol::block_on(async {
        let mut fleet = Fleet::start(50_000).await;
        let (engines, _agents, entry) = start(&fleet, 2).await;
        for cut in 0..12 {
            for engine in &engines {
                engine.faults.change(|plan| {
                    plan.cut_after = cut;
                    plan.cut_answers = 0;
                });
            }
            engines[cut as usize % 2].faults.change(|plan| plan.cut_answers = 1);
            let prompt = format!("cut {cut}");
            let answer = fleet.fetch(&entry, fleet.chat(&prompt, 12)).await.unwrap();
            assert_eq!(stream_text(&answer.body), (right_text(&prompt, 12), true), "cut {cut}");
        }
        let account = fleet.wait_billed(|| spent(&engines)).await;
        assert_eq!(account.billed + account.written_off, spent(&engines));
        fleet.check_single_bills().await;
    });
}

/// There is only one engine and it cuts every try after two tokens: the caller must see that its answer is not whole, and
/// pays for what it got.
#[test]
fn visible_cut() {
    smol::block_on(async {
        let fleet = Fleet::start(50_000).await;
        let (engines, _agents, entry) = start(&fleet, 1).await;
        engines[0].faults.change(|plan| {
            plan.cut_after = 2;
            plan.cut_answers = 100;
        });
        let answer = fleet.fetch(&entry, fleet.chat("cut", 12)).await;
        assert!(answer.is_err(), "a cut answer looked whole");
        let account = fleet.wait_billed(|| spent(&engines)).await;
        assert_eq!(account.billed, spent(&engines));
    });
}

/// The engine's stream stays open and falls silent, as when something in between has lost the
/// connection. The stream must go on elsewhere within seconds.
#[test]
fn silent_stream() {
    smol::block_on(async {
        let fleet = Fleet::start(50_000).await;
        let (engines, _agents, entry) = start(&fleet, 2).await;
        for engine in &engines {
            engine.faults.change(|plan| {
                plan.cut_after = 4;
                plan.silent_answers = 1;
            });
        }
        let begun = Instant::now();
        let answer = fleet.fetch(&entry, fleet.chat("silent", 30)).await.unwrap();
        assert_eq!(stream_text(&answer.body), (right_text("silent", 30), true));
        assert!(begun.elapsed() < BOUND / 2, "it waited {:?}", begun.elapsed());
        let account = fleet.wait_billed(|| spent(&engines)).await;
        assert_eq!(account.billed + account.written_off, spent(&engines));
    });
}

/// An engine answers with another request's answer: nobody may get it.
#[test]
fn foreign_answer() {
    smol::block_on(async {
        let fleet = Fleet::start(50_000).await;
        let (engines, _agents, entry) = start(&fleet, 2).await;
        engines[0].faults.change(|plan| plan.foreign_answers = 1);
        engines[1].faults.change(|plan| plan.foreign_answers = 1);
        for turn in 0..4 {
            let prompt = format!("mine {turn}");
            let answer = fleet.fetch(&entry, fleet.chat(&prompt, 8)).await.unwrap();
            if answer.status == 200 {
                assert_eq!(stream_text(&answer.body), (right_text(&prompt, 8), true));
            }
        }
    });
}

/// The agent is killed in the middle of a stream that the caller is reading.
#[test]
fn killed_agent() {
    smol::block_on(async {
        let fleet = Fleet::start(50_000).await;
        let (engines, mut agents, entry) = start(&fleet, 2).await;
        let call = fleet.chat("killed", 120);
        let mut answer = fleet.pool.open(entry.address, call, BOUND).await.unwrap();
        let mut body = answer.read_chunk(BOUND).await.unwrap();
        let at = engines.iter().position(|engine| engine.spent().contains_key("acme")).unwrap();
        agents[at].kill();
        while let Ok(chunk) = answer.read_chunk(BOUND).await {
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
        assert_eq!(stream_text(&body), (right_text("killed", 120), true));
    });
}

/// The caller goes away: the engine must be told to stop at once, the rest of the hold comes back
/// and what ran is billed.
#[test]
fn caller_gone() {
    smol::block_on(async {
        let fleet = Fleet::start(50_000).await;
        let (engines, _agents, entry) = start(&fleet, 1).await;
        let call = fleet.chat("gone", 200);
        let mut answer = fleet.pool.open(entry.address, call, BOUND).await.unwrap();
        answer.read_chunk(BOUND).await.unwrap();
        drop(answer);
        fleet.wait("the engine to stop", async || engines[0].running() == 0).await;
        assert!(spent(&engines) < 150, "it ran on to {}", spent(&engines));
        let account = fleet.wait_billed(|| spent(&engines)).await;
        assert_eq!(account.billed, spent(&engines));
        fleet
            .wait("the hold to come back", async || {
                fleet.state(&entry).await["grants"]["accounts"]["acme"]["held"] == json!(0)
            })
            .await;
    });
}

/// A keyed completion is retried while the first try runs, then late, on both entries. It is
/// billed once, and each answer is the right one.
#[test]
fn keyed_retries() {
    smol::block_on(async {
        let fleet = Fleet::start(50_000).await;
        let (engines, _agents, entry) = start(&fleet, 1).await;
        let other = fleet.entry("entry-2", &[]);
        fleet.wait_servers(&other, 1).await;
        let call = || fleet.chat("keyed", 40).field("idempotency-key", "k1");
        let mut first = fleet.pool.open(entry.address, call(), BOUND).await.unwrap();
        first.read_chunk(BOUND).await.unwrap();
        let during = fleet.fetch(&entry, call()).await.unwrap();
        assert_eq!((during.status, during.field("retry-after")), (409, Some("1")));
        while !first.read_chunk(BOUND).await.unwrap().is_empty() {}
        for process in [&entry, &other, &entry] {
            let again = fleet.fetch(process, call()).await.unwrap();
            assert_eq!(stream_text(&again.body), (right_text("keyed", 40), true));
        }
        let account = fleet.wait_billed(|| spent(&engines)).await;
        let once = spent(&engines) / 2;
        assert_eq!((account.billed, account.written_off), (once, once));
        let reused = authorized("/v1/completions", &json!({"model": "levy-llm", "prompt": "x"}));
        let reused = fleet.fetch(&entry, reused.field("idempotency-key", "k1")).await.unwrap();
        assert_eq!(reused.status, 422);
    });
}

/// An agent is frozen in the middle of a stream, which goes on elsewhere; then the agent wakes up
/// and tells what the first try used. The request must have one bill, and nothing be lost.
#[test]
fn frozen_agent() {
    smol::block_on(async {
        let mut fleet = Fleet::start(50_000).await;
        let (engines, agents, entry) = start(&fleet, 2).await;
        let call = fleet.chat("frozen", 150);
        let mut answer = fleet.pool.open(entry.address, call, BOUND).await.unwrap();
        let mut body = answer.read_chunk(BOUND).await.unwrap();
        let at = engines.iter().position(|engine| engine.spent().contains_key("acme")).unwrap();
        agents[at].signal("STOP");
        loop {
            let chunk = answer.read_chunk(BOUND).await.unwrap();
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
        assert_eq!(stream_text(&body), (right_text("frozen", 150), true));
        agents[at].signal("CONT");
        let account = fleet.wait_billed(|| spent(&engines)).await;
        assert_eq!(account.billed + account.written_off, spent(&engines));
        fleet.check_single_bills().await;
    });
}

/// The caller goes away while its request is still on its way to the engine, and the cancel gets
/// there first, on another connection. What the engine then runs must not be spent unnoticed.
#[test]
fn overtaking_cancel() {
    smol::block_on(async {
        let fleet = Fleet::start(50_000).await;
        let (engines, agents, entry) = start(&fleet, 1).await;
        fleet.fetch(&entry, fleet.chat("warm", 2)).await.unwrap();
        fleet.wait("the end", async || !has_run(&fleet.state(&agents[0]).await)).await;
        let before = spent(&engines);
        engines[0].faults.change(|plan| plan.late_ms = 300);
        let call = fleet.pool.open(entry.address, fleet.chat("late", 100), BOUND);
        let leaving = async {
            fleet.wait("the order", async || has_run(&fleet.state(&agents[0]).await)).await;
            None
        };
        let answer = async { Some(call.await) }.or(leaving).await;
        assert!(answer.is_none(), "it was to be late");
        fleet.wait("the engine to get it", async || spent(&engines) > before).await;
        fleet.wait("the engine to stop", async || engines[0].running() == 0).await;
        let account = fleet.wait_billed(|| spent(&engines)).await;
        assert_eq!(account.billed + account.written_off, spent(&engines));
    });
}
