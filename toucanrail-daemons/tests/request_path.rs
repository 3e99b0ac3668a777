//! The whole path as separate processes: interface, refusals, bills.

// A test stops at the first thing that is not as it should be.
#![allow(clippy::unwrap_used)]

mod fleet;

use fleet::{Fleet, TIMEOUT, authorized, expected_text, result_code, stream_text};
use serde_json::{Value, json};
use toucanrail_wire::clients::OutboundRequest;

#[test]
fn streamed_answer() {
    smol::block_on(async {
        let (fleet, engine, _agent, entry) = Fleet::start_with_engine(10_000).await;

        let answer = fleet.fetch(&entry, fleet.chat_request("May return", 20)).await.unwrap();
        assert_eq!(stream_text(&answer.body), (expected_text("May return", 20), true));
        assert_eq!(answer.field("toucanrail-run"), Some("ran"));
        let request = answer.field("toucanrail-request").unwrap().to_owned();

        let account = fleet.wait_billed(|| engine.spent()["acme"]).await;
        assert_eq!(account.billed, engine.spent()["acme"]);
        let bills = fleet.run_command(&["bills", "acme"]).await.unwrap();
        assert!(bills.contains(&request), "{bills}");
        let steps = fleet.run_command(&["explain", &request]).await.unwrap();
        for step in ["arrived", "holds", "sent to agent-1", "whole, used", "billed"] {
            assert!(steps.contains(step), "{steps}");
        }
    });
}

#[test]
fn whole_answer() {
    smol::block_on(async {
        let (fleet, _engine, _agent, entry) = Fleet::start_with_engine(10_000).await;
        let body = json!({"model": "levy-llm", "prompt": "sugar", "standin_tokens": 5});
        let answer = fleet.fetch(&entry, authorized("/v1/completions", &body)).await.unwrap();
        let found: Value = serde_json::from_slice(&answer.body).unwrap();
        assert_eq!(found["choices"][0]["text"], expected_text("sugar", 5));
        assert_eq!(found["usage"]["completion_tokens"], 5);

        let models = OutboundRequest::get("/v1/models").field("authorization", "Bearer demo-key");
        let models = fleet.fetch(&entry, models).await.unwrap();
        let models: Value = serde_json::from_slice(&models.body).unwrap();
        assert_eq!(models["data"][0]["id"], "levy-llm");
    });
}

#[test]
fn plain_service() {
    smol::block_on(async {
        let fleet = Fleet::start(10_000).await;
        let (_plain, backend) = fleet.start_plain();
        let _agent = fleet.start_agent("agent-1", "filing-app", backend);
        let entry = fleet.start_entry("entry-1", &[]);
        fleet.wait_servers(&entry, 1).await;
        let call = authorized("/filing/balance?year=2026", &json!({})).field("plain-status", "418");
        let answer = fleet.fetch(&entry, call).await.unwrap();
        let found: Value = serde_json::from_slice(&answer.body).unwrap();
        assert_eq!((answer.status, &found["path"]), (418, &json!("/balance")));
        let account = fleet.wait_billed(|| 5).await;
        assert_eq!(account.billed, 5);
    });
}

#[test]
fn numbered_refusals() {
    smol::block_on(async {
        let (fleet, engine, _agent, entry) = Fleet::start_with_engine(150).await;
        let nobody = OutboundRequest::get("/v1/models");
        let unknown = authorized("/v1/chat/completions", &json!({"model": "none", "messages": []}));
        let no_route = authorized("/elsewhere", &json!({}));
        let returns = authorized("/filing/returns", &json!({}));
        let broken = authorized("/v1/completions", &json!([1]));
        let costly = fleet.chat_request("too much for the budget", 10);
        let cases = [
            (nobody, 401, 2101),
            (unknown, 404, 2103),
            (no_route, 404, 2102),
            (returns, 400, 2201),
            (broken, 400, 2001),
            (costly, 402, 3001),
        ];
        for (call, status, code) in cases {
            let path = call.path.clone();
            let answer = fleet.fetch(&entry, call).await.unwrap();
            assert_eq!((answer.status, result_code(&answer)), (status, code), "{path}");
            assert_eq!(answer.field("toucanrail-run"), Some("not-run"), "{path}");
            let body: Value = serde_json::from_slice(&answer.body).unwrap();
            assert_eq!(body["error"]["result"], code, "{path}");
        }
        assert!(engine.spent().is_empty(), "a refusal ran");
    });
}

#[test]
fn stopping_entry() {
    smol::block_on(async {
        let fleet = Fleet::start(100_000).await;
        let (engine, backend) = fleet.start_engine();
        let _agent = fleet.start_agent("agent-1", "levy-llm", backend);
        let mut entry = fleet.start_entry("entry-1", &[]);
        fleet.wait_servers(&entry, 1).await;
        let call = fleet.chat_request("long", 150);
        let mut answer = fleet.pool.open(entry.address, call, TIMEOUT).await.unwrap();
        let mut body = answer.read_chunk(TIMEOUT).await.unwrap();
        entry.signal("TERM");
        loop {
            let chunk = answer.read_chunk(TIMEOUT).await.unwrap();
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
        assert_eq!(stream_text(&body), (expected_text("long", 150), true));
        assert!(entry.wait_end().await, "the entry did not stop well");
        let account = fleet.account().await;
        assert_eq!(account.billed, engine.spent()["acme"]);
        assert!(account.grants.values().all(|grant| *grant == 0), "grants stayed behind");
    });
}

/// A caller's program computes a negative limit, or one that overflowed, and is answered as if it had
/// asked for something: each is refused, with the field's name.
#[test]
fn wrong_limits() {
    smol::block_on(async {
        let (fleet, _engine, _agent, entry) = Fleet::start_with_engine(10_000).await;
        for limit in [json!(-4), json!(4_000_000_000_000_000_000_u64), json!(0), json!("x")] {
            let body = json!({"model": "levy-llm", "prompt": "sugar", "max_tokens": limit});
            let answer = fleet.fetch(&entry, authorized("/v1/completions", &body)).await.unwrap();
            assert_eq!(answer.status, 400, "{limit}");
            let found: Value = serde_json::from_slice(&answer.body).unwrap();
            assert_eq!(found["error"]["param"], "max_tokens");
            assert_eq!(found["error"]["result"], 2001);
        }
    });
}
