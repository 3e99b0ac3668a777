//! Messages to gateways and relays with header fields that are not ASCII.

mod platform;

use std::net::SocketAddr;

use platform::{Action, Backend, Process, Store, request};

const ODD_FIELD: &str = "X-Note: caf\u{e9}\r\n";

/// Guards against a relay that ends because the load report of its server has such a field.
#[test]
fn load_report() {
    let store = Store::start();
    let server = Backend::start("i-1", |_, _| {
        let report = r#"{"busy":false,"waiting":0,"running":0,"runs":[]}"#;
        let length = report.len();
        Action::Respond(format!(
            "HTTP/1.1 200 OK\r\n{ODD_FIELD}Content-Length: {length}\r\n\r\n{report}"
        ))
    });
    platform::configure(&store, 1, &[&server]);
    let mut relay = Process::start_relay_beside(&store, "side-1", &server);
    platform::wait_until("load reports", || server.seen().len() > 2 || !relay.is_running());
    assert!(relay.is_running());
}

/// Guards against a process that ends because a call to one of its ports has such a field.
#[test]
fn odd_calls() {
    let store = Store::start();
    let server = Backend::start("i-1", |_, _| Action::Respond(platform::signed_response("fine")));
    platform::configure(&store, 1, &[&server]);
    let mut gateway = Process::start_gateway(&store);
    let mut relay = Process::start_relay(&store, "side-1");
    platform::wait_until("the relay", || store.has("relays", "side-1"));
    let entry = store.get("relays", "side-1").expect("an entry");
    let lending = entry["lending"].as_str().and_then(|text| text.parse().ok()).expect("an address");
    let ports: [SocketAddr; 3] = [gateway.readiness, gateway.internal(), lending];
    for port in ports {
        for path in ["/api/ready", "/metrics", "/loans/borrow", "/caf\u{e9}"] {
            let headers = format!("{ODD_FIELD}Connection: close\r\n");
            // A lender closes connections that do not speak its protocol.
            platform::try_raw(port, &request("POST", path, "r1", &headers, ""));
        }
    }
    assert!(gateway.is_running() && relay.is_running());
    let text = request("GET", "/safe/a", "r1", ODD_FIELD, "");
    let response = platform::call(gateway.callers, &text).expect("a response");
    assert_eq!(response.body, b"fine");
    let seen = server.seen();
    assert!(seen.iter().any(|seen| seen.field("x-note") == Some("caf\u{e9}")), "{seen:?}");
}
