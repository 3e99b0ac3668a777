//! The whole request path with separate processes: interface, error responses and bills.

// Tests fail at the first unexpected value.
#![allow(clippy::unwrap_used)]

mod fleet;

use fleet::{Fleet, TIMEOUT, authorized, expected_text, result_code, stream_text};
use serde_json::{Value, json};
use toucanrail_wire::clients::OutboundRequest;

#[test]
fn streamed_response() {
    smol::block_on(async {
        let (fleet, engine, _agent, entry) = Fleet::start_with_engine(10_000).await;

        let response = fleet.fetch(&entry, fleet.chat_request("May return", 20)).await.unwrap();
        assert_eq!(stream_text(&response.body), (expected_text("May return", 20), true));
        assert_eq!(response.field("toucanrail-run"), Some("ran"));
        let request = response.field("toucanrail-request").unwrap().to_owned();

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
fn complete_response() {
    smol::block_on(async {
        let (fleet, _engine, _agent, entry) = Fleet::start_with_engine(10_000).await;
        let body = json!({"model": "levy-llm", "prompt": "sugar", "standin_tokens": 5});
        let response = fleet.fetch(&entry, authorized("/v1/completions", &body)).await.unwrap();
        let body: Value = serde_json::from_slice(&response.body).unwrap();
        assert_eq!(body["choices"][0]["text"], expected_text("sugar", 5));
        assert_eq!(body["usage"]["completion_tokens"], 5);

        let models = OutboundRequest::get("/v1/models").field("authorization", "Bearer demo-key");
        let models = fleet.fetch(&entry, models).await.unwrap();
        let models: Value = serde_json::from_slice(&models.body).unwrap();
        assert_eq!(models["data"][0]["id"], "levy-llm");
    });
}

#[test]
fn plain_service() {
    smol::block_on(async {
        let (fleet, _plain, _agent, entry) = Fleet::start_with_plain(10_000).await;
        let request =
            authorized("/filing/balance?year=2026", &json!({})).field("plain-status", "418");
        let response = fleet.fetch(&entry, request).await.unwrap();
        let body: Value = serde_json::from_slice(&response.body).unwrap();
        assert_eq!((response.status, &body["path"]), (418, &json!("/balance")));
        let account = fleet.wait_billed(|| 5).await;
        assert_eq!(account.billed, 5);
    });
}

#[test]
fn result_codes() {
    smol::block_on(async {
        let (fleet, engine, _agent, entry) = Fleet::start_with_engine(150).await;
        let no_key = OutboundRequest::get("/v1/models");
        let unknown_model =
            authorized("/v1/chat/completions", &json!({"model": "none", "messages": []}));
        let no_route = authorized("/elsewhere", &json!({}));
        let unkeyed = authorized("/filing/returns", &json!({}));
        let malformed = authorized("/v1/completions", &json!([1]));
        let over_budget = fleet.chat_request("too much for the budget", 10);
        let cases = [
            (no_key, 401, 2101),
            (unknown_model, 404, 2103),
            (no_route, 404, 2102),
            (unkeyed, 400, 2201),
            (malformed, 400, 2001),
            (over_budget, 402, 3001),
        ];
        for (request, status, code) in cases {
            let path = request.path.clone();
            let response = fleet.fetch(&entry, request).await.unwrap();
            assert_eq!((response.status, result_code(&response)), (status, code), "{path}");
            assert_eq!(response.field("toucanrail-run"), Some("not-run"), "{path}");
            let body: Value = serde_json::from_slice(&response.body).unwrap();
            assert_eq!(body["error"]["result"], code, "{path}");
        }
        assert!(engine.spent().is_empty(), "a refused request was executed");
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
        let request = fleet.chat_request("long", 150);
        let mut response = fleet.pool.open(entry.address, request, TIMEOUT).await.unwrap();
        let mut body = response.read_chunk(TIMEOUT).await.unwrap();
        entry.signal("TERM");
        loop {
            let chunk = response.read_chunk(TIMEOUT).await.unwrap();
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
        assert_eq!(stream_text(&body), (expected_text("long", 150), true));
        assert!(entry.wait_exit().await, "the entry did not exit successfully");
        let account = fleet.account().await;
        assert_eq!(account.billed, engine.spent()["acme"]);
        assert!(account.grants.values().all(|grant| *grant == 0), "grants were not returned");
    });
}

/// A caller sends an invalid output limit: negative, zero, too large or not a number. It must not be
/// replaced by another value; the request is refused with the name of the field.
#[test]
fn invalid_limits() {
    smol::block_on(async {
        let (fleet, _engine, _agent, entry) = Fleet::start_with_engine(10_000).await;
        for limit in [json!(-4), json!(4_000_000_000_000_000_000_u64), json!(0), json!("x")] {
            let body = json!({"model": "levy-llm", "prompt": "sugar", "max_tokens": limit});
            let response = fleet.fetch(&entry, authorized("/v1/completions", &body)).await.unwrap();
            assert_eq!(response.status, 400, "{limit}");
            let body: Value = serde_json::from_slice(&response.body).unwrap();
            assert_eq!(body["error"]["param"], "max_tokens");
            assert_eq!(body["error"]["result"], 2001);
        }
    });
}
