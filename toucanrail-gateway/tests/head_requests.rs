//! Requests with the method `HEAD`, whose responses have no body.

mod platform;

use platform::{Action, Backend, Process, Store, request};

/// Starts a server that answers with the head alone, and calls a route of the gateway twice on one
/// connection. Returns both responses.
fn call_twice(response: &str, path: &str, headers: &str) -> String {
    let store = Store::start();
    let response = response.to_owned();
    let server = Backend::start("i-1", move |_, _| Action::Respond(response.clone()));
    platform::configure(&store, 1, &[&server]);
    let gateway = Process::start_gateway(&store);
    let first = request("HEAD", path, "r1", headers, "");
    let second = request("HEAD", path, "r2", &format!("{headers}Connection: close\r\n"), "");
    platform::call_raw(gateway.callers, &(first + &second))
}

/// Asserts that two heads were received and nothing else.
fn assert_heads(received: &str, status: u16) {
    let heads: Vec<&str> = received.split_inclusive("\r\n\r\n").collect();
    assert_eq!(heads.len(), 2, "{received}");
    let is_head = |head: &&str| {
        head.starts_with(&format!("HTTP/1.1 {status} ")) && head.ends_with("\r\n\r\n")
    };
    assert!(heads.iter().all(is_head), "{received}");
}

/// Guards against waiting for a body that the response to a `HEAD` request states but does not have.
#[test]
fn stated_length() {
    let response = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Replica-Signature: s\r\n\
        Content-Length: 800\r\n\r\n";
    let received = call_twice(response, "/safe/a", "");
    assert_heads(&received, 200);
    assert_eq!(received.matches("Content-Length: 800\r\n").count(), 2, "{received}");
}

/// Guards against a last chunk behind the head of a stream, which the caller would take for the next
/// response.
#[test]
fn stream_head() {
    assert_heads(&call_twice(platform::STREAM_HEAD, "/stream/a", platform::PROMPT_HEADERS), 200);
}

/// Guards against the same with the body of a refusal.
#[test]
fn refused_request() {
    assert_heads(&call_twice(platform::STREAM_HEAD, "/none", ""), 404);
}
