//! Responses that servers lose, truncate or mix up.

mod platform;

use platform::{Action, Backend, Process, Store, request};

const FAILED: &str = "HTTP/1.1 500 Failed\r\nX-Attempt-Id: ID\r\nX-Replica-Signature: s\r\nContent-Length: 4\r\n\r\nsick";
const DECLINED: &str = "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

fn start_pair<Script>(script: Script) -> (Store, Backend, Backend, Process)
where
    Script: Fn(usize) -> Action + Clone + Send + Sync + 'static,
{
    let store = Store::start();
    let other = script.clone();
    let first = Backend::start("i-1", move |number, _| script(number));
    let second = Backend::start("i-2", move |number, _| other(number));
    platform::configure(&store, 1, &[&first, &second]);
    let gateway = Process::start_gateway(&store);
    (store, first, second, gateway)
}

/// A submission reaches its server and the response is lost. If it were sent again, or reported as
/// not run, it would be filed twice.
#[test]
fn lost_submission() {
    let (_store, first, second, gateway) = start_pair(|_| Action::Disconnect(String::new()));
    let text = request("POST", "/once/a", "r1", "", "file");
    let response = platform::call(gateway.callers, &text).unwrap();
    assert_eq!(response.status(), 502);
    assert_eq!(response.field("toucanrail-run"), Some("unknown"));
    assert_eq!(first.seen().len() + second.seen().len(), 1);
}

/// A lookup that fails at one server is retried at the other, and its caller gets a response.
#[test]
fn failed_lookup() {
    let store = Store::start();
    let failing = Backend::start("i-1", |_, _| Action::Respond(FAILED.to_owned()));
    let healthy = Backend::start("i-2", |_, _| Action::Respond(platform::signed_response("seven")));
    platform::configure(&store, 1, &[&failing, &healthy]);
    let gateway = Process::start_gateway(&store);
    for number in 0..4 {
        let text = request("GET", "/safe/a", &format!("r{number}"), "", "");
        assert_eq!(platform::call(gateway.callers, &text).unwrap().body, b"seven");
    }
}

/// Both servers decline a submission. Its caller is told that it did not run, and when to retry.
#[test]
fn declined_submission() {
    let (_store, first, second, gateway) = start_pair(|_| Action::Respond(DECLINED.to_owned()));
    let text = request("POST", "/once/a", "r1", "", "file");
    let response = platform::call(gateway.callers, &text).unwrap();
    assert_eq!(response.status(), 429);
    assert_eq!(response.field("toucanrail-run"), Some("not-run"));
    assert!(response.field("retry-after").is_some());
    assert_eq!((first.seen().len(), second.seen().len()), (1, 1));
}

/// A server sends a second response to an earlier request. On a reused connection it arrives where
/// the response to the next request is expected, and must not be forwarded to anyone.
#[test]
fn foreign_response() {
    let store = Store::start();
    let backend = Backend::start("i-1", |number, _| {
        let own = platform::signed_response("own");
        Action::Respond(match number {
            0 => own,
            _ => platform::signed_response("foreign").replace("ID", "r0") + &own,
        })
    });
    platform::configure(&store, 1, &[&backend]);
    let gateway = Process::start_gateway(&store);
    for number in 0..3 {
        let text = request("GET", "/safe/a", &format!("r{number}"), "", "");
        assert_eq!(platform::call(gateway.callers, &text).unwrap().body, b"own");
    }
}

/// An unsigned, malformed or truncated response must not be reported as a success.
#[test]
fn invalid_responses() {
    for bytes in [
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nContent-Length: 2\r\n\r\nno",
        "rubbish\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Replica-Signature: s\r\nContent-Length: 9\r\n\r\ncut",
    ] {
        let (_store, _one, _two, gateway) =
            start_pair(move |_| Action::Disconnect(bytes.to_owned()));
        let text = request("POST", "/once/a", "r1", "", "file");
        assert_eq!(platform::call(gateway.callers, &text).unwrap().status(), 502);
    }
}

/// A server breaks off in the middle of an event. A resumable stream continues at another server
/// after the last complete event, and the caller sees each event once.
#[test]
fn resumed_stream() {
    let store = Store::start();
    let script = |_: usize, message: &platform::Message| match message.field("last-event-id") {
        None => Action::Disconnect(
            [platform::STREAM_HEAD, &platform::chunk("id: 1\ndata: a\n\nid: 2\nda")].concat(),
        ),
        Some("1") => Action::Respond(
            [platform::STREAM_HEAD, &platform::chunk("id: 2\ndata: b\n\n"), "0\r\n\r\n"].concat(),
        ),
        Some(_) => Action::Disconnect(String::new()),
    };
    let first = Backend::start("i-1", script);
    let second = Backend::start("i-2", script);
    platform::configure(&store, 1, &[&first, &second]);
    let gateway = Process::start_gateway(&store);
    let headers = format!("{}Connection: close\r\n", platform::PROMPT_HEADERS);
    let response =
        platform::call_raw(gateway.callers, &request("POST", "/resume/a", "r1", &headers, "p"));
    assert_eq!(response.matches("data: a").count(), 1, "{response}");
    assert_eq!(response.matches("data: b").count(), 1, "{response}");
    assert!(response.ends_with("0\r\n\r\n") && !response.contains("id: 2\nda\r"), "{response}");
}

/// The same for a stream that cannot be resumed: the caller must be able to see that it was
/// truncated.
#[test]
fn truncated_stream() {
    let broken = [platform::STREAM_HEAD, &platform::chunk("id: 1\ndata: a\n\nid: 2\nda")].concat();
    let (_store, first, second, gateway) = start_pair(move |_| Action::Disconnect(broken.clone()));
    let headers = format!("{}Connection: close\r\n", platform::PROMPT_HEADERS);
    let response =
        platform::call_raw(gateway.callers, &request("POST", "/stream/a", "r1", &headers, "p"));
    assert!(response.contains("data: a") && !response.ends_with("0\r\n\r\n"), "{response}");
    assert_eq!(first.seen().len() + second.seen().len(), 1);
}

/// A server responds before it has read a long body and continues to read afterwards. If the
/// connection were reused, the next request would be read as the rest of that body.
#[test]
fn early_response() {
    let store = Store::start();
    let backend = Backend::start_early_responder("i-1");
    platform::configure(&store, 1, &[&backend]);
    let gateway = Process::start_gateway(&store);
    for number in 0..6_u8 {
        let body = char::from(b'a' + number).to_string().repeat(90_000);
        let text = request("POST", "/once/a", &format!("r{number}"), "", &body);
        assert_eq!(platform::call(gateway.callers, &text).unwrap().body, b"early");
    }
    platform::wait_until("the last body", || !backend.seen().is_empty());
    for message in backend.seen() {
        assert!(message.head.starts_with("POST /once/a HTTP/1.1"), "{}", message.head);
        assert!(message.body.iter().all(|byte| *byte == message.body[0]));
    }
}
