//! Requests that a gateway passes on to backend servers of the users' platform.

mod platform;

use platform::{Action, Backend, Process, Store, request};

/// A caller's key must stay with the fleet, its path must reach the server as it was written, and
/// the server must be told who pays, whatever the caller claims.
#[test]
fn passed_on() {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| Action::Respond(platform::signed_response("fine")));
    platform::configure(&store, 1, &[&backend]);
    let gateway = Process::start_gateway(&store);
    let more = "X-Tenant: rich\r\nX-Hold: h\r\n";
    let text = request("POST", "/once/../a%2Fb?x=%20", "r1", more, "order");
    let answer = platform::call(gateway.callers, &text).unwrap();
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"fine"[..]));
    let seen = backend.seen().pop().unwrap();
    assert_eq!(seen.target(), "/once/../a%2Fb?x=%20");
    assert_eq!(seen.field("x-tenant"), Some("acme"));
    assert_eq!(seen.field("x-target-replica"), Some("i-1"));
    assert_eq!((seen.field("authorization"), seen.field("x-hold")), (None, None));
    assert_eq!(seen.body, b"order");
}

/// An entry that has just started knows no configuration. A 404 or 401 would send callers away
/// for good.
#[test]
fn no_config() {
    let store = Store::start();
    let gateway = Process::start_unready(&store);
    gateway.wait_ready(false);
    let text = request("GET", "/safe/a", "r1", "", "");
    platform::wait_until("an answer", || {
        platform::call(gateway.callers, &text).is_some_and(|answer| answer.status() == 503)
    });
}

/// What no configuration allows is refused; a route added by a newer version is served.
#[test]
fn unknown_requests() {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| Action::Respond(platform::signed_response("fine")));
    platform::configure(&store, 1, &[&backend]);
    let gateway = Process::start_gateway(&store);
    let wrong = request("GET", "/safe/a", "r1", "", "").replace(platform::KEY, "other");
    assert_eq!(platform::call(gateway.callers, &wrong).unwrap().status(), 401);
    let lost = request("GET", "/nowhere/a", "r2", "", "");
    assert_eq!(platform::call(gateway.callers, &lost).unwrap().status(), 404);
    assert!(backend.seen().is_empty());
}

/// A request hidden behind another's body must not reach a server: two lengths, or a bare line end,
/// are refused.
#[test]
fn smuggled_requests() {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| Action::Respond(platform::signed_response("fine")));
    platform::configure(&store, 1, &[&backend]);
    let gateway = Process::start_gateway(&store);
    let both = request("POST", "/once/a", "r1", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n");
    assert_eq!(platform::call(gateway.callers, &both).unwrap().status(), 400);
    let bare = request("POST", "/once/a", "r2", "X-A: b\nContent-Length: 0\r\n", "x");
    assert_eq!(platform::call(gateway.callers, &bare).unwrap().status(), 400);
    assert!(backend.seen().is_empty());
}

/// A customer's budget is 1,000 tokens, and each request may use 160 and uses 112. All are billed
/// once; what the balance does not cover is refused as not run.
#[test]
fn budget_end() {
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
        let more = format!("{}Connection: close\r\n", platform::PROMPT_HEADERS);
        let text = request("POST", "/stream/a", &format!("r{served}"), &more, "p");
        let answer = platform::call_raw(gateway.callers, &text);
        if !answer.starts_with("HTTP/1.1 200") {
            break answer;
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
