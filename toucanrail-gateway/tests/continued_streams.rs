//! Streams that another server continues after their response has begun.

mod platform;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use platform::{Action, Backend, Message, Process, Store, request};

const FIRST_EVENT: &str = "id: 1\ndata: a\n\n";
const SECOND_EVENT: &str = "id: 2\ndata: b\n\n";
const LAST_CHUNK: &str = "0\r\n\r\n";
/// Text of responses that do not continue the stream.
const OTHER_TEXT: &str = "not-here";

/// Returns a signed response that is no part of an event stream.
fn other_response(status: &str, fields: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nX-Attempt-Id: ID\r\nX-Replica-Signature: s\r\n{fields}\
         Content-Length: {}\r\n\r\n{OTHER_TEXT}",
        OTHER_TEXT.len()
    )
}

fn first_part() -> Action {
    Action::Disconnect([platform::STREAM_HEAD, &platform::chunk(FIRST_EVENT)].concat())
}

fn last_part() -> Action {
    let chunk = platform::chunk(SECOND_EVENT);
    Action::Respond([platform::STREAM_HEAD, &chunk, LAST_CHUNK].concat())
}

/// Starts servers that begin streams and break them off. The first `unfit` requests to continue one
/// get `response`, the others the rest of the stream.
fn start_fleet(response: &str, unfit: usize) -> (Store, Vec<Backend>, Process) {
    let store = Store::start();
    let continued = Arc::new(AtomicUsize::new(0));
    let servers = ["i-1", "i-2", "i-3"].map(|id| {
        let (response, continued) = (response.to_owned(), Arc::clone(&continued));
        Backend::start(id, move |_, message: &Message| {
            if message.field("last-event-id").is_none() {
                return first_part();
            }
            let number = continued.fetch_add(1, Ordering::Relaxed);
            if number < unfit { Action::Respond(response.clone()) } else { last_part() }
        })
    });
    platform::configure(&store, 1, &servers.iter().collect::<Vec<_>>());
    platform::configure_field(&store, 2, "routes", "max_attempts", &3.into());
    let gateway = Process::start_gateway(&store);
    (store, servers.into(), gateway)
}

fn call_stream(gateway: &Process) -> String {
    let headers = format!("{}Connection: close\r\n", platform::PROMPT_HEADERS);
    platform::call_raw(gateway.callers, &request("POST", "/resume/a", "r1", &headers, "p"))
}

/// Responses that are no continuation of an event stream with status 200.
fn unfit_responses() -> Vec<String> {
    let events = "Content-Type: text/event-stream\r\n";
    let gzip = format!("{events}Content-Encoding: gzip\r\n");
    vec![
        other_response("409 Conflict", ""),
        other_response("404 None", events),
        other_response("307 Elsewhere", "Location: /other\r\n"),
        other_response("500 Failed", ""),
        other_response("206 Part", events),
        other_response("200 OK", "Content-Type: text/plain\r\n"),
        other_response("200 OK", &gzip),
        "HTTP/1.1 204 None\r\nX-Attempt-Id: ID\r\nX-Replica-Signature: s\r\n\r\n".to_owned(),
    ]
}

/// Guards against a head and body of another server's response in the middle of a stream's body, and
/// against a stream that ends as complete with such a response.
#[test]
fn unfit_continuation() {
    for unfit in unfit_responses() {
        let (_store, servers, gateway) = start_fleet(&unfit, usize::MAX);
        let response = call_stream(&gateway);
        assert!(response.contains("data: a"), "{response}");
        assert_eq!(response.matches("HTTP/1.1").count(), 1, "{unfit}: {response}");
        assert!(!response.contains(OTHER_TEXT), "{unfit}: {response}");
        assert!(!response.ends_with(LAST_CHUNK), "{unfit}: {response}");
        assert_eq!(servers.iter().map(|server| server.seen().len()).sum::<usize>(), 3);
    }
}

/// Guards against events that the caller has got already, from a server that begins the stream again.
#[test]
fn replayed_events() {
    let chunk = platform::chunk(&[FIRST_EVENT, SECOND_EVENT].concat());
    let replayed = [platform::STREAM_HEAD, &chunk, LAST_CHUNK].concat();
    let (_store, _servers, gateway) = start_fleet(&replayed, 1);
    let response = call_stream(&gateway);
    assert_eq!(response.matches("data: a").count(), 1, "{response}");
    assert_eq!(response.matches("data: b").count(), 1, "{response}");
    assert!(response.ends_with(LAST_CHUNK), "{response}");
}

/// Guards against a stream that is given up although a third server can continue it.
#[test]
fn third_server() {
    for unfit in unfit_responses() {
        let (_store, _servers, gateway) = start_fleet(&unfit, 1);
        let response = call_stream(&gateway);
        assert_eq!(response.matches("data: a").count(), 1, "{unfit}: {response}");
        assert_eq!(response.matches("data: b").count(), 1, "{unfit}: {response}");
        assert!(response.ends_with(LAST_CHUNK), "{unfit}: {response}");
    }
}
