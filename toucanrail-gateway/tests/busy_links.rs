//! An entry whose own network link is full.

mod platform;

use std::time::{Duration, Instant};

use platform::{Action, Backend, Process, Store, request};

/// One caller sends more than a small link carries. The entry must refuse part of its requests at
/// once, as not run, and tell it to return soon, since its next attempt reaches another entry.
#[test]
fn heavy_caller() {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| Action::Respond(platform::signed_response("fine")));
    platform::configure(&store, 1, &[&backend]);
    let gateway = Process::start_with_settings(&store, "[limits]\nlink_mbps = 2.0\n");
    let body = "x".repeat(9_000);
    let start = Instant::now();
    let (mut served, mut refused) = (0, 0);
    while start.elapsed() < Duration::from_secs(3) {
        let text = request("POST", "/safe/a", &format!("r{served}-{refused}"), "", &body);
        let response = platform::call(gateway.callers, &text).expect("a response");
        if response.status() == 200 {
            served += 1;
            continue;
        }
        refused += 1;
        assert_eq!(response.field("toucanrail-result"), Some("3205"));
        assert_eq!(response.field("toucanrail-run"), Some("not-run"));
        let wait: f64 = response.field("retry-after").expect("a time").parse().expect("seconds");
        assert!(wait <= 0.11, "{wait} s");
    }
    assert!(served > 10 && refused > 10, "{served} served, {refused} refused");
    assert_eq!(backend.seen().len(), served);
}
