//! Times that others state, as large as their formats allow.

mod platform;

use platform::{Action, Backend, Process, Store, request};
use serde_json::json;

const MAX_SECONDS: [&str; 3] =
    ["9223372036854775807", "18446744073709551615", "99999999999999999999999999"];

/// Calls a route several times on one connection each. Returns the responses.
fn call_repeatedly(gateway: &Process, headers: &str) -> Vec<String> {
    let call = |number: usize| {
        let headers = format!("{headers}Connection: close\r\n");
        let text = request("GET", "/safe/a", &format!("r{number}"), &headers, "");
        platform::call_raw(gateway.callers, &text)
    };
    (0..4).map(call).collect()
}

/// Guards against requests that have run and get no response, because the idle timeout that their
/// server states makes the entry's clock overflow.
#[test]
fn idle_timeouts() {
    for seconds in MAX_SECONDS {
        let store = Store::start();
        let server = Backend::start("i-1", move |_, _| {
            let head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Replica-Signature: s\r\n";
            let fields = format!("Keep-Alive: timeout={seconds}\r\nContent-Length: 4\r\n\r\nfine");
            Action::Respond(head.to_owned() + &fields)
        });
        platform::configure(&store, 1, &[&server]);
        let gateway = Process::start_gateway(&store);
        for response in call_repeatedly(&gateway, "") {
            assert!(response.starts_with("HTTP/1.1 200"), "{seconds}: {response}");
        }
    }
}

/// Guards against the same where a server that declines requests states when to come back.
#[test]
fn rest_times() {
    for seconds in MAX_SECONDS {
        let store = Store::start();
        let declining = Backend::start("i-1", move |_, _| {
            Action::Respond(format!(
                "HTTP/1.1 503 Full\r\nX-Attempt-Id: ID\r\nX-Not-Executed: 1\r\nRetry-After: {seconds}\r\n\
                 Content-Length: 0\r\n\r\n"
            ))
        });
        platform::configure(&store, 1, &[&declining]);
        let gateway = Process::start_gateway(&store);
        for response in call_repeatedly(&gateway, "") {
            let is_refused = ["429", "503"].contains(&response.get(9..12).unwrap_or_default());
            assert!(is_refused, "{seconds}: {response}");
        }
    }
}

/// Guards against the same where a server's registration states how long it is cold.
#[test]
fn cold_times() {
    for millis in [json!(1e300), json!(u64::MAX), json!(1.844_674_407_370_955e22)] {
        let store = Store::start();
        let respond =
            |_: usize, _: &platform::Message| Action::Respond(platform::signed_response("fine"));
        let [server, cold] = ["i-1", "i-2"].map(|id| Backend::start(id, respond));
        platform::configure(&store, 1, &[&server, &cold]);
        platform::register(&store, &cold, "a", 0);
        let mut entry = store.get("servers", "i-2").expect("an entry");
        entry["cold_remaining_ms"] = millis.clone();
        store.put("servers", "i-2", entry);
        let gateway = Process::start_with_limits(&store);
        for response in call_repeatedly(&gateway, "") {
            assert!(response.starts_with("HTTP/1.1 200"), "{millis}: {response}");
        }
    }
}

/// Guards against the same where a caller states for how long it waits.
#[test]
fn caller_timeouts() {
    let store = Store::start();
    let server = Backend::start("i-1", |_, _| Action::Respond(platform::signed_response("fine")));
    platform::configure(&store, 1, &[&server]);
    let gateway = Process::start_gateway(&store);
    for seconds in MAX_SECONDS {
        let text = request("GET", "/safe/a", "r1", "Connection: close\r\n", "")
            .replace("X-Timeout-Ms: 8000", &format!("X-Timeout-Ms: {seconds}"));
        let response = platform::call_raw(gateway.callers, &text);
        assert!(response.starts_with("HTTP/1.1 "), "{seconds}: {response}");
    }
}
