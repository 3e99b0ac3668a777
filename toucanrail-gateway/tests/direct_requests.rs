//! Requests that a gateway forwards directly to backend servers.

mod platform;

use platform::{Action, Backend, Process, Store, request};

/// The caller's key must not leave the fleet, the path must reach the server unchanged, and the
/// server must be told which customer pays, whatever headers the caller sends.
#[test]
fn forwarded_request() {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| Action::Respond(platform::signed_response("fine")));
    platform::configure(&store, 1, &[&backend]);
    let gateway = Process::start_gateway(&store);
    let headers = "X-Tenant: rich\r\nX-Hold: h\r\n";
    let text = request("POST", "/once/../a%2Fb?x=%20", "r1", headers, "order");
    let response = platform::call(gateway.callers, &text).unwrap();
    assert_eq!((response.status(), response.body.as_slice()), (200, &b"fine"[..]));
    let received = backend.seen().pop().unwrap();
    assert_eq!(received.target(), "/once/../a%2Fb?x=%20");
    assert_eq!(received.field("x-tenant"), Some("acme"));
    assert_eq!(received.field("x-target-replica"), Some("i-1"));
    assert_eq!((received.field("authorization"), received.field("x-hold")), (None, None));
    assert_eq!(received.body, b"order");
}

/// An entry that has just started has no configuration yet. It must not respond with 404 or 401,
/// which callers treat as final.
#[test]
fn missing_config() {
    let store = Store::start();
    let gateway = Process::start_unready(&store);
    gateway.wait_ready(false);
    let text = request("GET", "/safe/a", "r1", "", "");
    platform::wait_until("a response", || {
        platform::call(gateway.callers, &text).is_some_and(|response| response.status() == 503)
    });
}

/// Requests with an unknown key or an unknown route are refused and reach no server.
#[test]
fn unknown_requests() {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| Action::Respond(platform::signed_response("fine")));
    platform::configure(&store, 1, &[&backend]);
    let gateway = Process::start_gateway(&store);
    let unauthorized = request("GET", "/safe/a", "r1", "", "").replace(platform::KEY, "other");
    assert_eq!(platform::call(gateway.callers, &unauthorized).unwrap().status(), 401);
    let unrouted = request("GET", "/nowhere/a", "r2", "", "");
    assert_eq!(platform::call(gateway.callers, &unrouted).unwrap().status(), 404);
    assert!(backend.seen().is_empty());
}

/// Request smuggling: a request with two body lengths, or with a bare line feed in its head, is
/// refused and reaches no server.
#[test]
fn smuggled_requests() {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| Action::Respond(platform::signed_response("fine")));
    platform::configure(&store, 1, &[&backend]);
    let gateway = Process::start_gateway(&store);
    let two_lengths =
        request("POST", "/once/a", "r1", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n");
    assert_eq!(platform::call(gateway.callers, &two_lengths).unwrap().status(), 400);
    let bare_line_feed = request("POST", "/once/a", "r2", "X-A: b\nContent-Length: 0\r\n", "x");
    assert_eq!(platform::call(gateway.callers, &bare_line_feed).unwrap().status(), 400);
    assert!(backend.seen().is_empty());
}

/// The customer's budget is 1,000 tokens; each request reserves 160 and uses 112. Every request is
/// billed once, and one that the balance does not cover is refused as not run.
#[test]
fn exhausted_budget() {
    let store = Store::start();
    let stream = [
        platform::STREAM_HEAD,
        &platform::chunk("id: 1\ndata: a\n\n"),
        "PAUSE",
        &platform::chunk("id: 2\ndata: b\n\n"),
        "0\r\n\r\n",
    ]
    .concat();
    let backend = Backend::start("i-1", move |_, _| Action::Respond(stream.clone()));
    platform::configure(&store, 1, &[&backend]);
    let gateway = Process::start_gateway(&store);
    let mut served = 0;
    let refused = loop {
        let headers = format!("{}Connection: close\r\n", platform::PROMPT_HEADERS);
        let text = request("POST", "/stream/a", &format!("r{served}"), &headers, "p");
        let response = platform::call_raw(gateway.callers, &text);
        if !response.starts_with("HTTP/1.1 200") {
            break response;
        }
        served += 1;
        assert!(served < 10, "overspent");
    };
    assert_eq!(served, 8, "{refused}");
    assert!(refused.starts_with("HTTP/1.1 402"), "{refused}");
    assert!(
        refused.contains("Toucanrail-Run: not-run") || refused.contains("toucanrail-run: not-run")
    );
    platform::wait_until("the bills", || store.billed("acme") == 8 * 112);
}
