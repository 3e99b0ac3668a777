//! Token counts that a caller states. Its budget is held by them, so that none may be misread.

mod platform;

use std::thread;
use std::time::Duration;

use platform::services::PlainService;
use platform::{Action, Backend, request};
use serde_json::Value;

/// Long enough for an entry to hear of another server under an id.
const REGISTRATION_TIME: Duration = Duration::from_millis(400);

/// Counts that no request can have, or that cannot be read.
const UNUSABLE_COUNTS: [&str; 14] = [
    "18446744073709551615,2",
    "2,18446744073709551615",
    "18446744073709551616,2",
    "9223372036854775808,9223372036854775808",
    "1099511627777,1",
    "1,1099511627777",
    "100",
    "100,",
    ",60",
    "100,60,1",
    "-1,60",
    "+1,60",
    "1e2,60",
    "x,60",
];

/// Returns a request with these header fields.
fn request_with(headers: &str) -> String {
    request("POST", "/once/a", "r1", headers, "p")
}

/// Asserts that a request is refused because of its token counts, and costs nothing.
fn assert_refused(service: &PlainService, headers: &str) {
    let error = service.assert_refused(&request_with(headers), 400);
    assert_eq!(error["param"], "X-Token-Usage", "{headers:?}");
    assert_eq!(service.store.billed("acme"), 0, "{headers:?}");
}

/// A caller states counts whose sum overflows, or that cannot be read, and gets a run for nothing.
#[test]
fn unusable_counts() {
    let service = PlainService::start();
    for counts in UNUSABLE_COUNTS {
        assert_refused(&service, &format!("X-Model: m\r\nX-Token-Usage: {counts}\r\n"));
    }
}

/// A caller states its counts twice: the entry holds the first and the server reads the last.
#[test]
fn repeated_counts() {
    let service = PlainService::start();
    assert_refused(&service, "X-Model: m\r\nX-Token-Usage: 1,1\r\nX-Token-Usage: 100,60\r\n");
}

/// A caller leaves the counts out of a request to a model and gets a run for nothing.
#[test]
fn missing_counts() {
    assert_refused(&PlainService::start(), "X-Model: m\r\n");
}

/// The largest count that is accepted is more than the customer has.
#[test]
fn uncovered_counts() {
    let service = PlainService::start();
    let counts = "X-Model: m\r\nX-Token-Usage: 1099511627776,1\r\n";
    service.assert_refused(&request_with(counts), 402);
}

/// The configuration states events of more tokens than a number holds. A stream is billed as much as
/// its request may use, and the entry goes on.
#[test]
fn huge_events() {
    let service = PlainService::start_changed(|config| {
        config["services"][0]["engine"]["stride"] = u64::MAX.into();
    });
    let events = platform::chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    let stream = [platform::STREAM_HEAD, &events, "0\r\n\r\n"].concat();
    let backend = Backend::start("i-1", move |_, _| Action::Respond(stream.clone()));
    platform::register(&service.store, &backend, "a", 0);
    thread::sleep(REGISTRATION_TIME);
    let headers = "X-Model: m\r\nX-Token-Usage: 100,60\r\nConnection: close\r\n";
    let text = request("POST", "/stream/a", "r1", headers, "p");
    let response = platform::call_raw(service.gateway.callers, &text);
    assert!(response.contains("id: 3"), "{response}");
    platform::wait_until("the bill", || service.store.billed("acme") == 160);
}

/// Requests without a model, and customers without a budget, need no counts.
#[test]
fn unneeded_counts() {
    let service = PlainService::start();
    service.forward(&request_with(""));
    platform::configure_field(&service.store, 2, "tenants", "prepaid", &Value::Null);
    platform::wait_until("a customer without a budget", || {
        service.call(&request_with("X-Model: m\r\n")).status() == 200
    });
}
