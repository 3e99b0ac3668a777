//! Answers that servers lose, break off or mix up.

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
    let one = Backend::start("i-1", move |number, _| script(number));
    let two = Backend::start("i-2", move |number, _| other(number));
    platform::configure(&store, 1, &[&one, &two]);
    let gateway = Process::start_gateway(&store);
    (store, one, two, gateway)
}

/// A submission reached its server and the answer was lost. Sent again it would be filed twice; told
/// as "not run" its caller would file it twice.
#[test]
fn lost_submission() {
    let (_store, one, two, gateway) = start_pair(|_| Action::Disconnect(String::new()));
    let text = request("POST", "/once/a", "r1", "", "file");
    let answer = platform::call(gateway.callers, &text).unwrap();
    assert_eq!(answer.status(), 502);
    assert_eq!(answer.field("toucanrail-run"), Some("unknown"));
    assert_eq!(one.seen().len() + two.seen().len(), 1);
}

/// A lookup fails at one server and is asked again at the other; its caller gets an answer.
#[test]
fn failed_lookup() {
    let store = Store::start();
    let sick = Backend::start("i-1", |_, _| Action::Respond(FAILED.to_owned()));
    let sound = Backend::start("i-2", |_, _| Action::Respond(platform::signed_response("seven")));
    platform::configure(&store, 1, &[&sick, &sound]);
    let gateway = Process::start_gateway(&store);
    for number in 0..4 {
        let text = request("GET", "/safe/a", &format!("r{number}"), "", "");
        assert_eq!(platform::call(gateway.callers, &text).unwrap().body, b"seven");
    }
}

/// Both servers say that they did not run a submission: its caller is told so, and when to come back.
#[test]
fn declined_submission() {
    let (_store, one, two, gateway) = start_pair(|_| Action::Respond(DECLINED.to_owned()));
    let text = request("POST", "/once/a", "r1", "", "file");
    let answer = platform::call(gateway.callers, &text).unwrap();
    assert_eq!(answer.status(), 429);
    assert_eq!(answer.field("toucanrail-run"), Some("not-run"));
    assert!(answer.field("retry-after").is_some());
    assert_eq!((one.seen().len(), two.seen().len()), (1, 1));
}

/// A server sends a second answer to the request before. On a kept connection it stands where the
/// next one's answer is expected, and must reach nobody.
#[test]
fn foreign_answer() {
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

/// An answer without a server's signature, or shorter than it says, is no success.
#[test]
fn unsound_answers() {
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

/// A server breaks off in the middle of an event. Where the stream may be resumed, another goes on
/// behind the last whole event, and the caller sees each event once.
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
    let one = Backend::start("i-1", script);
    let two = Backend::start("i-2", script);
    platform::configure(&store, 1, &[&one, &two]);
    let gateway = Process::start_gateway(&store);
    let more = format!("{}Connection: close\r\n", platform::PROMPT_HEADERS);
    let answer =
        platform::call_raw(gateway.callers, &request("POST", "/resume/a", "r1", &more, "p"));
    assert_eq!(answer.matches("data: a").count(), 1, "{answer}");
    assert_eq!(answer.matches("data: b").count(), 1, "{answer}");
    assert!(answer.ends_with("0\r\n\r\n") && !answer.contains("id: 2\nda\r"), "{answer}");
}

/// The same where it may not be resumed: the caller must see that its stream is cut.
#[test]
fn cut_stream() {
    let broken = [platform::STREAM_HEAD, &platform::chunk("id: 1\ndata: a\n\nid: 2\nda")].concat();
    let (_store, one, two, gateway) = start_pair(move |_| Action::Disconnect(broken.clone()));
    let more = format!("{}Connection: close\r\n", platform::PROMPT_HEADERS);
    let answer =
        platform::call_raw(gateway.callers, &request("POST", "/stream/a", "r1", &more, "p"));
    assert!(answer.contains("data: a") && !answer.ends_with("0\r\n\r\n"), "{answer}");
    assert_eq!(one.seen().len() + two.seen().len(), 1);
}

/// A server answers before it has read a long body, and reads on later. The next request on that
/// connection would stand where the rest of the body is due, and run as part of another's.
#[test]
fn early_answer() {
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
