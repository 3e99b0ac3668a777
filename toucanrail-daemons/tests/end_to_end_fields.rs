//! Header fields between callers and backend servers.

// Tests fail at the first unexpected value.
#![allow(clippy::unwrap_used)]

mod fleet;

use fleet::{Fleet, authorized};
use serde_json::{Value, json};

/// Repeated fields must arrive with all their values, in both directions; fields for one connection,
/// such as a caller's credentials for a proxy, must not arrive.
#[test]
fn repeated_fields() {
    smol::block_on(async {
        let (fleet, _plain, _agent, entry) = Fleet::start_with_plain(10_000).await;
        let call = authorized("/filing/returns", &json!({"month": "May"}))
            .field("idempotency-key", "k1")
            .field("plain-cookie", "a=1")
            .field("plain-cookie", "b=2")
            .field("proxy-authorization", "Basic c2VjcmV0")
            .field("connection", "x-hop")
            .field("x-hop", "1")
            .field("x-end", "1");
        for _ in 0..2 {
            let response = fleet.fetch(&entry, call.clone()).await.unwrap();
            let cookies = response.response.header("set-cookie").unwrap();
            let cookies: Vec<String> = cookies.iter().map(ToString::to_string).collect();
            assert_eq!(cookies, ["a=1", "b=2"]);
            let body: Value = serde_json::from_slice(&response.body).unwrap();
            let fields = body["fields"].as_array().unwrap();
            assert!(fields.contains(&json!("x-end")), "{fields:?}");
            for dropped in ["proxy-authorization", "x-hop"] {
                assert!(!fields.contains(&json!(dropped)), "{fields:?}");
            }
        }
    });
}
