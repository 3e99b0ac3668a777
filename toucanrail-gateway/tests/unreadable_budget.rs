//! A budget in the store that cannot be decoded.

mod platform;

use platform::{Action, Backend, Process, Store, request};
use serde_json::json;

/// The budget is neither guessed nor written over: its customer's requests are refused as not run,
/// the operators' metric counts it, and once the budget is restored the requests are served.
#[test]
fn unreadable_budget() {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| Action::Respond(platform::signed_response("fine")));
    platform::configure_prepaid(&store, 1, &[&backend], 100_000);
    let call = |gateway: &Process, id: &str| {
        let headers = format!("{}Connection: close\r\n", platform::PROMPT_HEADERS);
        platform::call_raw(gateway.callers, &request("POST", "/once/a", id, &headers, "p"))
    };
    assert!(call(&Process::start_gateway(&store), "r0").starts_with("HTTP/1.1 200"));
    let name = store.names("budgets").pop().expect("a budget");
    let readable = store.get("budgets", &name).expect("a budget");
    let unreadable = json!({"format": 2});
    store.put("budgets", &name, unreadable.clone());
    let gateway = Process::start_gateway(&store);
    let refused = call(&gateway, "r1");
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    assert!(refused.contains("toucanrail-run: not-run"), "{refused}");
    assert_eq!(backend.seen().len(), 1);
    assert_eq!(store.get("budgets", &name), Some(unreadable));
    let metrics = platform::call_raw(
        gateway.readiness,
        "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
    );
    assert!(metrics.contains("kind=\"objects_unreadable\""), "{metrics}");
    store.put("budgets", &name, readable);
    platform::wait_until("a budget", || call(&gateway, "r2").starts_with("HTTP/1.1 200"));
}
