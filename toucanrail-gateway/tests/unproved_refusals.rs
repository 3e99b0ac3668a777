//! Responses with a status that implies "not run", by servers that do not state that they did not run
//! the request.

mod platform;

use platform::{Action, Backend, Message, Process, Store, request};

/// Statuses after which a caller sends its request again.
const STATUSES: [u16; 3] = [408, 429, 503];

/// Returns a signed response with this status for each way in which a body can be framed.
fn framings(status: u16) -> [String; 4] {
    let head = format!(
        "HTTP/1.1 {status} Failed\r\nX-Attempt-Id: ID\r\nX-Replica-Signature: s\r\nRetry-After: 0.1\r\n"
    );
    [
        format!("{head}Content-Length: 4\r\n\r\nsick"),
        format!("{head}Transfer-Encoding: chunked\r\n\r\n4\r\nsick\r\n0\r\n\r\n"),
        format!("{head}Connection: close\r\n\r\nsick"),
        format!("HTTP/1.1 103 Early Hints\r\n\r\n{head}Content-Length: 0\r\n\r\n"),
    ]
}

/// Starts two servers that give the same response, and sends one request. Returns the response, and
/// the number of times that the request reached a server.
fn call_failing(response: &str, text: &str) -> (Message, usize) {
    let store = Store::start();
    let start = |id| {
        let response = response.to_owned();
        Backend::start(id, move |_, _| {
            if response.contains("Connection: close") {
                Action::Disconnect(response.clone())
            } else {
                Action::Respond(response.clone())
            }
        })
    };
    let (first, second) = (start("i-1"), start("i-2"));
    platform::configure(&store, 1, &[&first, &second]);
    let gateway = Process::start_gateway(&store);
    let response = platform::call(gateway.callers, text).expect("a response");
    (response, first.seen().len() + second.seen().len())
}

/// Asserts that a response promises nothing, and is not presented as the server's.
fn assert_unproved(response: &Message) {
    assert_eq!(response.status(), 502, "{}", response.head);
    assert_eq!(response.field("toucanrail-run"), Some("unknown"));
    assert_eq!(response.field("x-replica-signature"), None);
    assert_eq!(response.field("retry-after"), None);
}

/// Guards against a submission that ran and is reported as not run, so that its caller files it again.
#[test]
fn failed_submission() {
    for response in STATUSES.iter().flat_map(|status| framings(*status)) {
        let (received, sent) =
            call_failing(&response, &request("POST", "/once/a", "r1", "", "file"));
        assert_unproved(&received);
        assert_eq!(sent, 1, "{response}");
    }
}

/// Guards against the same with a stream that must not run twice.
#[test]
fn failed_stream() {
    for status in STATUSES {
        let text = request("POST", "/stream/a", "r1", platform::PROMPT_HEADERS, "p");
        let (received, sent) = call_failing(&framings(status)[0], &text);
        assert_unproved(&received);
        assert_eq!(sent, 1);
    }
}

/// Guards against the same with a stream that may be sent to both servers.
#[test]
fn resumable_stream() {
    let text = request("POST", "/resume/a", "r1", platform::PROMPT_HEADERS, "p");
    let (received, sent) = call_failing(&framings(503)[0], &text);
    assert_unproved(&received);
    assert_eq!(sent, 2);
}

/// Guards against a stream that looks complete after the server that should continue it has failed.
#[test]
fn continued_stream() {
    let store = Store::start();
    let failure = framings(503)[0].clone();
    let script = move |_: usize, message: &Message| match message.field("last-event-id") {
        Some(_) => Action::Respond(failure.clone()),
        None => Action::Disconnect(
            [platform::STREAM_HEAD, &platform::chunk("id: 1\ndata: a\n\nid: 2\nda")].concat(),
        ),
    };
    let other = script.clone();
    let (first, second) = (Backend::start("i-1", script), Backend::start("i-2", other));
    platform::configure(&store, 1, &[&first, &second]);
    let gateway = Process::start_gateway(&store);
    let headers = format!("{}Connection: close\r\n", platform::PROMPT_HEADERS);
    let text = request("POST", "/resume/a", "r1", &headers, "p");
    let received = platform::call_raw(gateway.callers, &text);
    assert!(received.contains("data: a") && !received.ends_with("0\r\n\r\n"), "{received}");
    assert!(!received.contains("sick"), "{received}");
    assert_eq!(first.seen().len() + second.seen().len(), 2);
}

/// Guards against the same with the method `HEAD`, whose response has no body.
#[test]
fn head_request() {
    for status in STATUSES {
        let response = framings(status)[0].replace("sick", "");
        let text = request("HEAD", "/once/a", "r1", "Connection: close\r\n", "");
        let store = Store::start();
        let server = Backend::start("i-1", move |_, _| Action::Respond(response.clone()));
        platform::configure(&store, 1, &[&server]);
        let gateway = Process::start_gateway(&store);
        let received = platform::call_raw(gateway.callers, &text);
        assert!(received.starts_with("HTTP/1.1 502 "), "{received}");
        assert!(!received.contains("X-Replica-Signature"), "{received}");
    }
}

/// Guards against a lookup that ends with the failure of one server although another one would have
/// responded.
#[test]
fn failed_lookup() {
    for status in STATUSES {
        let store = Store::start();
        let response = framings(status)[0].clone();
        let failing = Backend::start("i-1", move |_, _| Action::Respond(response.clone()));
        let healthy =
            Backend::start("i-2", |_, _| Action::Respond(platform::signed_response("seven")));
        platform::configure(&store, 1, &[&failing, &healthy]);
        let gateway = Process::start_gateway(&store);
        for number in 0..4 {
            let text = request("GET", "/safe/a", &format!("r{number}"), "", "");
            assert_eq!(platform::call(gateway.callers, &text).expect("a response").body, b"seven");
        }
    }
}

/// Guards against a failure that is not billed although the server has read the prompt.
#[test]
fn billed_prompt() {
    let store = Store::start();
    let response = framings(503)[0].clone();
    let server = Backend::start("i-1", move |_, _| Action::Respond(response.clone()));
    platform::configure(&store, 1, &[&server]);
    let gateway = Process::start_gateway(&store);
    let text = request("POST", "/stream/a", "r1", platform::PROMPT_HEADERS, "p");
    assert_unproved(&platform::call(gateway.callers, &text).expect("a response"));
    platform::wait_until("the bill", || store.billed("acme") == 100);
}
