//! Event streams whose responses state neither a length nor chunks and end with their connections.

mod platform;

use std::thread;
use std::time::Duration;

use platform::proxies::Proxy;
use platform::{Action, Backend, Message, Process, Store, request};

const FIRST_EVENT: &str = "id: 1\ndata: a\n\n";
const SECOND_EVENT: &str = "id: 2\ndata: b\n\n";
const PARTIAL_EVENT: &str = "id: 2\nda";
const LAST_CHUNK: &str = "0\r\n\r\n";

/// Starts two servers with the same script, and a gateway in front of them.
fn start_pair<Script>(script: Script) -> (Store, Vec<Backend>, Process)
where
    Script: Fn(&Message) -> Action + Clone + Send + Sync + 'static,
{
    let store = Store::start();
    let start = |id| {
        let script = script.clone();
        Backend::start(id, move |_, message| script(message))
    };
    let backends = vec![start("i-1"), start("i-2")];
    platform::configure(&store, 1, &backends.iter().collect::<Vec<_>>());
    let gateway = Process::start_gateway(&store);
    (store, backends, gateway)
}

/// Sends a request for a stream and returns everything that the caller receives.
fn call_stream(gateway: &Process, path: &str) -> String {
    let headers = format!("{}Connection: close\r\n", platform::PROMPT_HEADERS);
    platform::call_raw(gateway.callers, &request("POST", path, "r1", &headers, "p"))
}

/// Counts the requests that reached any of the servers.
fn count_sent(backends: &[Backend]) -> usize {
    backends.iter().map(|backend| backend.seen().len()).sum()
}

/// Guards against a false truncation: a stream that ends with its connection after a complete event
/// is complete.
#[test]
fn closed_stream() {
    let text = [platform::UNFRAMED_HEAD, FIRST_EVENT, SECOND_EVENT].concat();
    let (_store, backends, gateway) = start_pair(move |_| Action::Disconnect(text.clone()));
    let response = call_stream(&gateway, "/stream/a");
    assert!(response.contains("data: b") && response.ends_with(LAST_CHUNK), "{response}");
    assert_eq!(count_sent(&backends), 1);
}

/// Guards against a stream that its server broke off in the middle of an event reaching the caller
/// as complete.
#[test]
fn cut_unframed_event() {
    let text = [platform::UNFRAMED_HEAD, FIRST_EVENT, PARTIAL_EVENT].concat();
    let (_store, backends, gateway) = start_pair(move |_| Action::Disconnect(text.clone()));
    let response = call_stream(&gateway, "/stream/a");
    assert!(response.contains("data: a") && !response.ends_with(LAST_CHUNK), "{response}");
    assert!(!response.contains("id: 2"), "{response}");
    assert_eq!(count_sent(&backends), 1);
}

/// Guards against the same for a resumable stream, which must continue at another server after the
/// last complete event.
#[test]
fn resumed_unframed_event() {
    let (_store, _backends, gateway) = start_pair(|message| {
        let events = match message.field("last-event-id") {
            None => [FIRST_EVENT, PARTIAL_EVENT].concat(),
            Some(_) => SECOND_EVENT.to_owned(),
        };
        Action::Disconnect([platform::UNFRAMED_HEAD, &events].concat())
    });
    let response = call_stream(&gateway, "/resume/a");
    assert_eq!(response.matches("data: a").count(), 1, "{response}");
    assert_eq!(response.matches("data: b").count(), 1, "{response}");
    assert!(response.ends_with(LAST_CHUNK) && !response.contains("id: 2\nda\r"), "{response}");
}

/// Guards against a stream that ends before its first event reaching the caller as complete.
#[test]
fn empty_unframed_stream() {
    let (_store, backends, gateway) =
        start_pair(|_| Action::Disconnect(platform::UNFRAMED_HEAD.to_owned()));
    let response = call_stream(&gateway, "/stream/a");
    assert!(response.starts_with("HTTP/1.1 502 "), "{response}");
    assert_eq!(count_sent(&backends), 1);
}

/// Guards against a connection that is reset between two events being taken for the stream's end.
#[test]
fn reset_unframed_stream() {
    let store = Store::start();
    let text = [platform::UNFRAMED_HEAD, FIRST_EVENT].concat();
    let backend = Backend::start_resetting("i-1", &text);
    platform::configure(&store, 1, &[&backend]);
    let gateway = Process::start_gateway(&store);
    let response = call_stream(&gateway, "/stream/a");
    assert!(response.contains("data: a") && !response.ends_with(LAST_CHUNK), "{response}");
}

/// Guards against the same where the network resets the connection while the server waits to send
/// its next event.
#[test]
fn reset_by_network() {
    let store = Store::start();
    let text = [platform::UNFRAMED_HEAD, FIRST_EVENT].concat();
    let backend = Backend::start("i-1", move |_, _| Action::Respond(text.clone()));
    let proxy = Proxy::start(backend.address);
    platform::configure(&store, 1, &[&backend.behind(&proxy)]);
    let gateway = Process::start_gateway(&store);
    let response = thread::scope(|scope| {
        let calling = scope.spawn(|| call_stream(&gateway, "/stream/a"));
        platform::wait_until("the request", || !backend.seen().is_empty());
        thread::sleep(Duration::from_millis(300));
        proxy.reset_connections();
        calling.join().expect("a response")
    });
    assert!(response.contains("data: a") && !response.ends_with(LAST_CHUNK), "{response}");
}

/// Guards against a body that is terminated by its framing in the middle of an event reaching the
/// caller as complete.
#[test]
fn cut_framed_event() {
    let events = [FIRST_EVENT, PARTIAL_EVENT].concat();
    let text = [platform::STREAM_HEAD, &platform::chunk(&events), LAST_CHUNK].concat();
    let (_store, _backends, gateway) = start_pair(move |_| Action::Respond(text.clone()));
    let response = call_stream(&gateway, "/stream/a");
    assert!(response.contains("data: a") && !response.ends_with(LAST_CHUNK), "{response}");
}
