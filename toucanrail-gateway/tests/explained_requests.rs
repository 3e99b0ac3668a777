//! Explanations of where a request would go, compared with where the next request goes.

mod platform;

use std::io::Write;
use std::net::SocketAddr;
use std::process::{Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use platform::crashes::{CrashFleet, RunFate};
use platform::{Action, Backend, Message, PROMPT_HEADERS, Process, Store, request};
use serde_json::{Value, json};

/// Maximum time of a command whose entry does not respond.
const HUNG_TIME: Duration = Duration::from_secs(6);

/// Runs the command with a head on its standard input.
fn run_command(entry: SocketAddr, head: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_toucanrail-gateway"));
    command.args(["explain", "--entry", &entry.to_string()]).stdin(Stdio::piped());
    let child = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn();
    let mut child = child.expect("the command");
    // A command that ends early does not read its input.
    child.stdin.take().expect("an input").write_all(head.as_bytes()).ok();
    child.wait_with_output().expect("an output")
}

/// Returns the explanation of a request, of which only the head is sent.
fn explain(gateway: &Process, text: &str) -> Value {
    let (head, _) = text.split_once("\r\n\r\n").expect("a head");
    let output = run_command(gateway.internal(), &format!("{head}\r\n\r\n"));
    serde_json::from_slice(&output.stdout).unwrap_or_else(|_| panic!("no JSON: {output:?}"))
}

fn read_text(address: SocketAddr, path: &str) -> String {
    let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    String::from_utf8_lossy(&platform::call(address, &text).expect("a response").body).into_owned()
}

/// Returns the state dump without what changes by itself.
fn read_state(gateway: &Process) -> Value {
    let mut state: Value =
        serde_json::from_str(&read_text(gateway.internal(), "/state")).expect("JSON");
    for field in ["store_age_ms", "store_ways"] {
        state[field] = Value::Null;
    }
    state
}

/// Returns the counters of requests and events.
fn read_counts(gateway: &Process) -> Vec<String> {
    let text = read_text(gateway.internal(), "/metrics");
    let is_count = |line: &&str| line.contains("results_total") || line.contains("events_total");
    text.lines().filter(is_count).map(str::to_owned).collect()
}

fn wait_idle(gateway: &Process) {
    platform::wait_until("the ends of all requests", || read_state(gateway)["in_flight"] == 0);
}

fn start_backends(count: usize) -> Vec<Backend> {
    let start = |number| {
        let id = format!("i-{number}");
        let text = platform::signed_response(&id);
        Backend::start(&id, move |_, _| Action::Respond(text.clone()))
    };
    (0..count).map(start).collect()
}

fn configure(store: &Store, backends: &[Backend]) {
    platform::configure(store, 1, &backends.iter().collect::<Vec<_>>());
}

/// Returns the result code and the body of the response to a request.
fn send(gateway: &Process, text: &str) -> (u64, String) {
    let response = platform::call(gateway.callers, text).expect("a response");
    let code = response.field("toucanrail-result").and_then(|code| code.parse().ok());
    (code.unwrap_or(1000), String::from_utf8_lossy(&response.body).into_owned())
}

/// The explanation must name the server that the next identical request goes to, with a cost that its
/// components add up to, whatever requests went before it.
#[test]
fn next_server() {
    let store = Store::start();
    let backends = start_backends(4);
    configure(&store, &backends);
    let gateway = Process::start_gateway(&store);
    for number in 0..12 {
        let headers = ["", PROMPT_HEADERS][number % 2];
        let text = request("POST", "/once/a", &format!("s{number}"), headers, "x");
        wait_idle(&gateway);
        let told = explain(&gateway, &text);
        assert_eq!(told["refusal"], Value::Null, "{told}");
        assert_eq!(told["candidates"].as_array().expect("candidates").len(), 4);
        let first = &told["candidates"][0];
        let parts = first["parts_ms"].as_object().expect("components");
        let sum: f64 = parts.values().filter_map(Value::as_f64).sum();
        assert!((sum - first["cost_ms"].as_f64().expect("a cost")).abs() < 1e-6, "{told}");
        assert_eq!(first["server"], told["chosen"]);
        assert_eq!(json!(send(&gateway, &text).1), told["chosen"], "{told}");
    }
}

/// An explanation must not reach a server, reserve budget, or change a table or a counter.
#[test]
fn no_effects() {
    let store = Store::start();
    let backends = start_backends(2);
    configure(&store, &backends);
    let gateway = Process::start_gateway(&store);
    let text = request("POST", "/stream/a", "e", PROMPT_HEADERS, "x");
    thread::sleep(Duration::from_millis(500));
    let before = (read_state(&gateway), read_counts(&gateway), store.granted("acme"));
    for _ in 0..5 {
        let told = explain(&gateway, &text);
        assert_eq!((&told["route"], &told["customer"]), (&json!("stream"), &json!("acme")));
        assert_eq!(told["budget"]["needed"], 160);
        assert_eq!(told["budget"]["is_known"], false);
        assert!(told["ages_ms"]["servers"].as_u64().is_some_and(|age| age < 5_000), "{told}");
    }
    assert_eq!((read_state(&gateway), read_counts(&gateway), store.granted("acme")), before);
    assert!(backends.iter().all(|backend| backend.seen().is_empty()));
}

/// Asserts that an explanation names a code, and that the request is then refused with it.
fn assert_refused(gateway: &Process, text: &str, code: u64) {
    let told = explain(gateway, text);
    assert_eq!(told["refusal"]["code"], code, "{told}");
    assert_eq!(send(gateway, text).0, code);
}

/// A refused request must get the code that its explanation names.
#[test]
fn refused_requests() {
    let store = Store::start();
    let backends = start_backends(1);
    configure(&store, &backends);
    let gateway = Process::start_gateway(&store);
    let text = request("POST", "/once/a", "r", "", "x");
    assert_refused(&gateway, &text.replace(platform::KEY, "other"), 2101);
    assert_refused(&gateway, &request("POST", "/once/a", "r", "X-Model: m\r\n", "x"), 2001);
    store.remove("servers", "i-0");
    platform::wait_until("no server", || explain(&gateway, &text)["refusal"]["code"] == 3201);
    assert_refused(&gateway, &text, 3201);
}

/// While first events are late, the next request is refused for the load.
#[test]
fn overloaded_servers() {
    let store = Store::start();
    let backend = Backend::start("i-0", |_, _| {
        thread::sleep(Duration::from_secs(2));
        Action::Respond(platform::signed_response("late"))
    });
    configure(&store, std::slice::from_ref(&backend));
    let gateway = &Process::start_gateway(&store);
    thread::scope(|scope| {
        for number in 0..24 {
            let text = request("POST", "/once/a", &format!("o{number}"), "", "x");
            scope.spawn(move || send(gateway, &text));
        }
        thread::sleep(Duration::from_millis(1_200));
        assert_refused(gateway, &request("POST", "/once/a", "o", "", "x"), 3101);
    });
}

/// A request under which servers have ended is held back; its explanation must say so.
#[test]
fn held_back() {
    let end = |message: &Message| match message.target() {
        "/safe/deadly" => RunFate::End(String::new(), Duration::from_millis(20)),
        _ => RunFate::Respond(platform::signed_response("done")),
    };
    let fleet = CrashFleet::start(0, 1, 6, Duration::from_millis(600), end);
    let gateway = &fleet.entries[0];
    let text = |id: &str| request("GET", "/safe/deadly", id, "", "");
    platform::wait_until("a hold", || send(gateway, &text("h")).0 == 3207);
    let told = explain(gateway, &text("i"));
    assert_eq!(told["unknown"], json!([]));
    assert_refused(gateway, &text("j"), 3207);
    let other = explain(gateway, &request("GET", "/safe/a", "k", "", ""));
    assert_eq!(other["refusal"], Value::Null, "{other}");
}

/// Malformed heads and unknown routes must be told with a code and status 400, large ones must not
/// be read to their ends, and callers and the balancer must get no explanation at all.
#[test]
fn invalid_heads() {
    let store = Store::start();
    configure(&store, &start_backends(1));
    let gateway = Process::start_gateway(&store);
    let large = format!("GET /once/a HTTP/1.1\r\nHost: a\r\nX: {}\r\n\r\n", "x".repeat(20_000));
    let cases = [
        ("", 2001),
        ("GET /once/a HTTP/1.1\r\nHost: shop.example\r\n", 2001),
        ("GET /once/a HTTP/1.1\r\nHost: shop.example\r\n\r\nbody", 2001),
        ("GET /once/a HTTP/1.1\r\n\r\n", 2007),
        ("GET /none/a HTTP/1.1\r\nHost: shop.example\r\n\r\n", 2102),
        (&large, 2003),
    ];
    let post = |head: &str| {
        let length = head.len();
        format!(
            "POST /explain HTTP/1.1\r\nHost: shop.example\r\nContent-Length: {length}\r\n\r\n{head}"
        )
    };
    for (head, code) in cases {
        let output = run_command(gateway.internal(), head);
        assert_eq!(output.status.code(), Some(1), "{head}");
        let told: Value = serde_json::from_slice(&output.stdout).expect("JSON");
        assert_eq!(told["refusal"]["code"], code, "{head}");
        let response = platform::call(gateway.internal(), &post(head)).expect("a response");
        assert_eq!(response.status(), 400, "{head}");
    }
    let valid = post("GET /safe/a HTTP/1.1\r\nHost: shop.example\r\n\r\n");
    for address in [gateway.callers, gateway.readiness] {
        assert_eq!(platform::call(address, &valid).expect("a response").status(), 404);
    }
    let output = run_command(gateway.readiness, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(String::from_utf8_lossy(&output.stderr).contains("status 404"), "{output:?}");
}

/// The command must end in time if its entry hangs, is gone, or has no configuration yet.
#[test]
fn failed_entries() {
    let store = Store::start();
    let mut gateway = Process::start_unready(&store);
    let text = request("GET", "/safe/a", "f", "", "");
    assert_eq!(explain(&gateway, &text)["refusal"]["code"], 4101);
    gateway.signal("STOP");
    let start = Instant::now();
    let output = run_command(gateway.internal(), &text);
    assert_eq!(output.status.code(), Some(1));
    assert!(output.stdout.is_empty() && !output.stderr.is_empty() && start.elapsed() < HUNG_TIME);
    gateway.kill();
    assert_eq!(run_command(gateway.internal(), &text).status.code(), Some(1));
    let mut command = Command::new(env!("CARGO_BIN_EXE_toucanrail-gateway"));
    let output = command.args(["explain", "--entry=here"]).stdin(Stdio::null()).output();
    assert_eq!(output.expect("an output").status.code(), Some(2));
}
