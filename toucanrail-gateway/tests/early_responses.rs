//! Servers that respond while a long request is still being sent to them, and responses with a status
//! line that is none.

mod platform;

use std::time::Duration;

use platform::{Action, Backend, Process, Store, request};
use serde_json::json;

const SIGNED: &str = "X-Attempt-Id: ID\r\nX-Replica-Signature: s\r\n";
const EVENT: &str = "id: 1\ndata: x\n\n";
/// Sizes of uploads: one that the server's receive buffer takes, and one that is still being written
/// when the server responds.
const UPLOADS: [usize; 2] = [60_000, 12_000_000];
/// Paths of all kinds of route.
const PATHS: [&str; 4] = ["/once/a", "/safe/a", "/stream/a", "/resume/a"];
const CLOSE: &str = "Connection: close\r\n";

/// Configures one server, and a limit of bodies above [`UPLOADS`].
fn start_gateway(store: &Store, server: &Backend) -> Process {
    platform::configure_prepaid(store, 1, &[server], 1_000_000);
    let mut config = platform::current_config(store);
    config["limits"]["max_body_bytes"] = json!(32_000_000);
    store.put("config", "main", config);
    Process::start_gateway(store)
}

/// Returns a request to a route, whose body is sent with a length or in chunks.
fn upload(path: &str, id: &str, size: usize, chunked: bool) -> String {
    let prompt = if path.starts_with("/s") || path.starts_with("/r") {
        platform::PROMPT_HEADERS
    } else {
        ""
    };
    let headers = format!("{prompt}{CLOSE}");
    let body = "a".repeat(size);
    if !chunked {
        return request("POST", path, id, &headers, &body);
    }
    let text = request("POST", path, id, &headers, "");
    let text = text.replace("Content-Length: 0", "Transfer-Encoding: chunked");
    format!("{text}{size:x}\r\n{body}\r\n0\r\n\r\n")
}

/// Returns whether a caller takes a response for a whole success.
fn is_whole_success(response: &str) -> bool {
    let Some((head, body)) = response.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head.split("\r\n").find_map(|line| line.strip_prefix("Content-Length: "));
    let is_whole = match length {
        Some(length) => length.parse() == Ok(body.len()),
        None => !head.contains("Transfer-Encoding: chunked") || body.ends_with("0\r\n\r\n"),
    };
    head.starts_with("HTTP/1.1 2") && is_whole
}

/// Guards against a part of a body that reaches the caller as a whole response, because the server reset
/// the connection while the request was still being sent.
#[test]
fn reset_uploads() {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{SIGNED}");
    let early = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n";
    let responses = [
        format!("{head}\r\n"),
        format!("{head}\r\n{EVENT}"),
        format!("{early}{head}\r\n{EVENT}"),
        format!("{head}Content-Length: 900\r\n\r\n{EVENT}"),
        format!("{head}Transfer-Encoding: chunked\r\n\r\n{}", platform::chunk(EVENT)),
        early.to_owned(),
    ];
    for text in responses {
        for size in UPLOADS {
            let store = Store::start();
            let server = Backend::start_resetting("i-1", &text);
            let gateway = start_gateway(&store, &server);
            for (number, path) in PATHS.into_iter().enumerate() {
                let sent = upload(path, &format!("r{number}"), size, number % 2 == 1);
                let response = platform::call_raw(gateway.callers, &sent);
                assert!(!is_whole_success(&response), "{path} {size} {text:?}: {response}");
            }
        }
    }
}

/// Guards against a request that is read as the rest of a long body, of which the server responded to the
/// beginning on a kept connection.
#[test]
fn kept_connection() {
    let store = Store::start();
    let server = Backend::start_early_responder("i-1");
    let gateway = start_gateway(&store, &server);
    for number in 0..4 {
        for (part, size) in [1, UPLOADS[1]].into_iter().enumerate() {
            let sent = upload("/once/a", &format!("r{number}-{part}"), size, false);
            let response = platform::call_raw(gateway.callers, &sent);
            assert!(is_whole_success(&response) && response.ends_with("early"), "{response}");
        }
    }
    std::thread::sleep(Duration::from_millis(200));
    for message in server.seen() {
        assert!(message.head.starts_with("POST /once/a HTTP/1.1"), "{}", message.head);
        assert!(message.body.iter().all(|byte| *byte == b'a'));
    }
}

/// Guards against a caller that gets a response whose status is none that HTTP has.
#[test]
fn odd_statuses() {
    let codes = [
        "000", "001", "042", "099", "101", "199", "600", "777", "999", "20", "2000", "2x0", "abc",
        "-20", "+200", "", " ",
    ];
    for code in codes {
        let text = format!("HTTP/1.1 {code} OK\r\n{SIGNED}Content-Length: 4\r\n\r\nodd\n");
        assert_refused(&text);
    }
}

/// Guards against the same with other forms of the status line.
#[test]
fn odd_status_lines() {
    let lines = [
        "HTTP/2.0 200 OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1",
        "200 OK",
        "ICY 200 OK",
        "http/1.1 200 OK",
    ];
    for line in lines {
        assert_refused(&format!("{line}\r\n{SIGNED}Content-Length: 4\r\n\r\nodd\n"));
    }
}

/// Asserts that no caller gets a response with this head, on any kind of route.
fn assert_refused(text: &str) {
    let store = Store::start();
    let response = text.to_owned();
    let server = Backend::start("i-1", move |_, _| Action::Disconnect(response.clone()));
    let gateway = start_gateway(&store, &server);
    for (number, path) in PATHS.into_iter().enumerate() {
        let sent = upload(path, &format!("r{number}"), 4, false);
        let received = platform::call_raw(gateway.callers, &sent);
        let is_own = received.starts_with("HTTP/1.1 5") && received.contains("toucanrail-result");
        assert!(is_own && !received.contains("odd"), "{path} {text:?}: {received}");
    }
}

/// Guards against sound status lines that count as odd: an empty reason, and the older version.
#[test]
fn plain_status_lines() {
    for line in ["HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 200 OK"] {
        let store = Store::start();
        let text = format!("{line}\r\n{SIGNED}Content-Length: 5\r\n\r\nsound");
        let server = Backend::start("i-1", move |_, _| Action::Respond(text.clone()));
        let gateway = start_gateway(&store, &server);
        let received = platform::call_raw(gateway.callers, &upload("/once/a", "r1", 4, false));
        assert!(is_whole_success(&received) && received.ends_with("sound"), "{line}: {received}");
    }
}
