//! Header fields between callers and backend servers: which pass, which the fleet sets, and which
//! it drops.

mod platform;

use platform::request;
use platform::services::PlainService;
use serde_json::{Value, json};

/// Fields of a caller that arrive as they were sent.
const PASSED: [(&str, &str); 6] = [
    ("X-Model", "m"),
    ("X-Token-Usage", "100,60"),
    ("X-Prefix-Hash", "a:60,b:40"),
    ("X-Length-Hint", "31"),
    ("X-Own", "a, b"),
    ("Accept", "text/event-stream"),
];
/// Fields that only the fleet may set; what a caller sends is dropped.
const DROPPED: [(&str, &str); 6] = [
    ("X-Hold", "h"),
    ("X-Pin-Ms", "900"),
    ("X-Kv-Backup", "10.0.0.1:80"),
    ("X-Expect-Version", "7"),
    ("Kv-From", "10.0.0.1:80/h"),
    ("Kv-Fetch", "10.0.0.1:80"),
];
/// Fields that the fleet sets whatever a caller sends.
const SET: [(&str, &str); 4] = [
    ("X-Target-Replica", "i-9"),
    ("X-Tenant", "rich"),
    ("X-Request-Urgency", "0"),
    ("X-Timeout-Ms", "900000"),
];
const DEFAULT_TIMEOUT: &str = "X-Timeout-Ms: 8000\r\n";

/// Sets the priority of all routes or customers, and waits until requests get this urgency.
fn wait_for_urgency(
    service: &PlainService,
    version: u64,
    table: &str,
    priority: &Value,
    urgency: &str,
) {
    platform::configure_field(&service.store, version, table, "priority", priority);
    platform::wait_until("the configuration", || {
        let received = service.forward(&request("POST", "/once/a", "r1", "", "p"));
        received.field("x-request-urgency") == Some(urgency)
    });
}

fn write_fields(fields: &[(&str, &str)]) -> String {
    let lines = fields.iter().map(|(name, value)| format!("{name}: {value}\r\n"));
    lines.collect::<Vec<_>>().concat()
}

#[test]
fn passed_fields() {
    let service = PlainService::start();
    let received = service.forward(&request("POST", "/once/a", "r1", &write_fields(&PASSED), "p"));
    for (name, value) in PASSED {
        assert_eq!(received.field(name), Some(value), "{name}");
    }
    assert_eq!(received.field("x-attempt-id"), Some("r1"));
}

/// A caller must not take a server's memory, reserve some, or choose its server.
#[test]
fn dropped_fields() {
    let service = PlainService::start();
    let fields = write_fields(&DROPPED) + &write_fields(&SET[..3]);
    let received = service.forward(&request("POST", "/once/a", "r1", &fields, "p"));
    for (name, _) in DROPPED {
        assert_eq!(received.field(name), None, "{name}");
    }
    assert_eq!(received.field("x-target-replica"), Some("i-1"));
    assert_eq!(received.field("x-tenant"), Some("acme"));
    assert_eq!(received.field("x-request-urgency"), Some("1"));
}

/// The time that the server gets is the caller's, at most the route's, less what has passed.
#[test]
fn remaining_time() {
    let service = PlainService::start();
    let text = request("POST", "/once/a", "r1", "", "p");
    let given = |timeout: &str| {
        let received = service.forward(&text.replace(DEFAULT_TIMEOUT, timeout));
        let stated = received.field("x-timeout-ms").expect("a time").parse::<u64>();
        stated.expect("a number")
    };
    let (_, long) = SET[3];
    assert!((5_000..=6_000).contains(&given(&format!("X-Timeout-Ms: {long}\r\n"))));
    assert!((1_000..=2_000).contains(&given("X-Timeout-Ms: 2000\r\n")));
    assert!((5_000..=6_000).contains(&given("")));
}

/// The name of the scheme in front of a key has no case, and blanks around the key do not count.
#[test]
fn key_scheme() {
    let service = PlainService::start();
    for scheme in ["Bearer ", "bearer ", "BEARER   "] {
        let text = request("POST", "/once/a", "r1", "", "p").replace("Bearer ", scheme);
        assert_eq!(service.forward(&text).field("x-tenant"), Some("acme"), "{scheme}");
    }
    let text = request("POST", "/once/a", "r1", "", "p").replace("Bearer ", "Basic ");
    service.assert_refused(&text, 401);
}

/// A public route needs no key, and its requests have no customer.
#[test]
fn public_route() {
    let service = PlainService::start();
    platform::configure_field(&service.store, 2, "routes", "public", &json!(true));
    let text = request("POST", "/once/a", "r1", "", "p");
    let key = format!("Authorization: Bearer {}\r\n", platform::KEY);
    platform::wait_until("the configuration", || {
        service.call(&text.replace(&key, "")).status() == 200
    });
    for text in [text.replace(&key, ""), text.replace(platform::KEY, "other"), text.clone()] {
        let received = service.forward(&text);
        assert_eq!((received.field("x-tenant"), received.field("authorization")), (None, None));
    }
}

/// A customer's urgency goes before its route's.
#[test]
fn stated_urgency() {
    let service = PlainService::start();
    wait_for_urgency(&service, 2, "routes", &json!(3), "3");
    wait_for_urgency(&service, 3, "tenants", &json!(2), "2");
    wait_for_urgency(&service, 4, "tenants", &Value::Null, "3");
}
