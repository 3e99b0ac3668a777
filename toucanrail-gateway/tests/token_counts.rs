//! Token counts that a caller states. Its budget is held by them, so that none may be misread.

mod platform;

use platform::{Action, Backend, Process, Store, request};
use serde_json::{Value, json};

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

/// A store, a server and a gateway, with a customer of 1,000 tokens.
struct Service {
    store: Store,
    backend: Backend,
    gateway: Process,
}

impl Service {
    fn start() -> Self {
        let store = Store::start();
        let respond =
            |_: usize, _: &platform::Message| Action::Respond(platform::signed_response("fine"));
        let backend = Backend::start("i-1", respond);
        platform::configure(&store, 1, &[&backend]);
        let gateway = Process::start_gateway(&store);
        Self { store, backend, gateway }
    }

    /// Sends a request with these header fields. Returns the status, and the body of a refusal.
    fn call(&self, id: &str, headers: &str) -> (u16, Value) {
        let text = request("POST", "/once/a", id, headers, "p");
        let response = platform::call(self.gateway.callers, &text).expect("a response");
        (response.status(), serde_json::from_slice(&response.body).unwrap_or_default())
    }

    /// Asserts that a request is refused as not run because of its token counts.
    fn assert_refused(&self, headers: &str) {
        let (status, body) = self.call("r1", headers);
        assert_eq!(status, 400, "{headers:?}");
        assert_eq!(body["error"]["param"], json!("X-Token-Usage"), "{headers:?}");
        assert_eq!(body["error"]["run"], json!("not-run"), "{headers:?}");
        assert!(self.backend.seen().is_empty(), "{headers:?}");
        assert_eq!(self.store.billed("acme"), 0, "{headers:?}");
    }
}

/// A caller states counts whose sum overflows, or that cannot be read, and gets a run for nothing.
#[test]
fn unusable_counts() {
    let service = Service::start();
    for counts in UNUSABLE_COUNTS {
        service.assert_refused(&format!("X-Model: m\r\nX-Token-Usage: {counts}\r\n"));
    }
}

/// A caller states its counts twice: the entry holds the first and the server reads the last.
#[test]
fn repeated_counts() {
    let service = Service::start();
    service.assert_refused("X-Model: m\r\nX-Token-Usage: 1,1\r\nX-Token-Usage: 100,60\r\n");
}

/// A caller leaves the counts out of a request to a model and gets a run for nothing.
#[test]
fn missing_counts() {
    Service::start().assert_refused("X-Model: m\r\n");
}

/// The largest count that is accepted is more than the customer has.
#[test]
fn uncovered_counts() {
    let service = Service::start();
    let (status, _) = service.call("r1", "X-Model: m\r\nX-Token-Usage: 1099511627776,1\r\n");
    assert_eq!((status, service.backend.seen().len()), (402, 0));
}

/// Requests without a model, and customers without a budget, need no counts.
#[test]
fn unneeded_counts() {
    let service = Service::start();
    assert_eq!(service.call("r1", "").0, 200);
    platform::configure_field(&service.store, 2, "tenants", "prepaid", &Value::Null);
    platform::wait_until("a customer without a budget", || {
        service.call("r2", "X-Model: m\r\n").0 == 200
    });
}
