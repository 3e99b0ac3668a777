//! Startup of an entry.

mod platform;

use platform::{Action, Backend, Process, Store, request};

/// An entry starts while the store is busy, and its configuration arrives before the list of
/// servers. If it reported ready in between, the balancer would send callers, and each would be
/// refused with "no backend server". It must be ready only when it has both.
#[test]
fn unlisted_servers() {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| Action::Respond(platform::signed_response("seven")));
    platform::configure(&store, 1, &[&backend]);
    store.set_blocked("servers", true);
    let gateway = Process::start_unready(&store);
    let unknown = request("GET", "/nowhere/a", "r0", "", "");
    platform::wait_until("the configuration", || {
        platform::call(gateway.callers, &unknown).is_some_and(|response| response.status() == 404)
    });
    let response = platform::call(gateway.readiness, "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(response.map(|response| response.status()), Some(503));
    store.set_blocked("servers", false);
    gateway.wait_ready(true);
    let text = request("GET", "/safe/a", "r1", "", "");
    assert_eq!(platform::call(gateway.callers, &text).unwrap().body, b"seven");
}
