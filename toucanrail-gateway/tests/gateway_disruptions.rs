//! Gateways that are stopped, abandoned by a caller or cut off from the store.

mod platform;

use std::thread;
use std::time::{Duration, Instant};

use platform::{Action, Backend, Process, Store, request};

fn slow_stream() -> String {
    let events = (1..=20).map(|id| platform::chunk(&format!("id: {id}\ndata: x\n\n")));
    let events: Vec<String> = events.collect();
    [platform::STREAM_HEAD, &events.join("PAUSE"), "0\r\n\r\n"].concat()
}

/// An entry is stopped during a stream: it reports not ready, the stream is completed, and the
/// process exits on its own.
#[test]
fn graceful_stop() {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| Action::Respond(slow_stream()));
    platform::configure(&store, 1, &[&backend]);
    let mut gateway = Process::start_gateway(&store);
    let address = gateway.callers;
    let caller = thread::spawn(move || {
        let headers = format!("{}Connection: close\r\n", platform::PROMPT_HEADERS);
        platform::call_raw(address, &request("POST", "/stream/a", "r1", &headers, "p"))
    });
    platform::wait_until("the request", || !backend.seen().is_empty());
    gateway.signal("TERM");
    gateway.wait_ready(false);
    let response = caller.join().unwrap();
    assert!(response.contains("id: 20") && response.ends_with("0\r\n\r\n"), "{response}");
    assert!(gateway.wait_end());
}

/// A stopping entry has time left for a request with a short timeout, though not for the longest that
/// its route allows. If it were refused, its caller would have no time left for another entry.
#[test]
fn short_timeout() {
    let store = Store::start();
    let events = (1..=150).map(|id| platform::chunk(&format!("id: {id}\ndata: x\n\n")));
    let events: Vec<String> = events.collect();
    let stream = [platform::STREAM_HEAD, &events.join("PAUSE"), "0\r\n\r\n"].concat();
    let backend = Backend::start("i-1", move |_, message| match message.field("x-model") {
        Some(_) => Action::Respond(stream.clone()),
        None => Action::Respond(platform::signed_response("short")),
    });
    platform::configure(&store, 1, &[&backend]);
    let mut gateway = Process::start_with_settings(&store, "grace_s = 9\n");
    let address = gateway.callers;
    let headers = |more: &str| format!("{more}Connection: close\r\n");
    let prompt = request("POST", "/stream/a", "r1", &headers(platform::PROMPT_HEADERS), "p");
    let stream = thread::spawn(move || platform::call_raw(address, &prompt));
    platform::wait_until("the request", || !backend.seen().is_empty());
    gateway.signal("TERM");
    thread::sleep(Duration::from_millis(3_200));
    let call = |id: &str, timeout: &str| {
        let text = request("POST", "/once/a", id, &headers(""), "p");
        platform::call_raw(address, &text.replace("X-Timeout-Ms: 8000", timeout))
    };
    let long = call("r2", "X-Timeout-Ms: 8000");
    assert!(long.starts_with("HTTP/1.1 503"), "{long}");
    let short = call("r3", "X-Timeout-Ms: 1000");
    assert!(short.starts_with("HTTP/1.1 200"), "{short}");
    assert!(stream.join().unwrap().contains("id: 150"));
    assert!(gateway.wait_end());
}

/// A stopping entry had no request in flight and waited for the store to take its grants back.
/// Requests that it admitted in the meantime were cut off when it exited.
#[test]
fn requests_during_shutdown() {
    let store = Store::start();
    let slow = ["PAUSE".repeat(20), platform::signed_response("whole")].concat();
    let backend = Backend::start("i-1", move |_, message| match message.field("x-model") {
        Some(_) => Action::Respond([platform::STREAM_HEAD, "0\r\n\r\n"].concat()),
        None => Action::Respond(slow.clone()),
    });
    platform::configure(&store, 1, &[&backend]);
    let mut gateway = Process::start_gateway(&store);
    let address = gateway.callers;
    // The entry has a grant to return, and the store does not accept it.
    let headers = format!("{}Connection: close\r\n", platform::PROMPT_HEADERS);
    platform::call_raw(address, &request("POST", "/stream/a", "r0", &headers, "p"));
    assert!(!store.granted("acme").is_empty());
    store.set_blocked("budgets", true);
    gateway.signal("TERM");
    thread::sleep(Duration::from_millis(2_600));
    let call = |number: u32| {
        thread::sleep(Duration::from_millis(40));
        thread::spawn(move || {
            let text =
                request("POST", "/once/a", &format!("late-{number}"), "Connection: close\r\n", "p");
            platform::try_raw(address, &text).unwrap_or_default()
        })
    };
    let calls: Vec<_> = (0..30).map(call).collect();
    let responses: Vec<String> = calls.into_iter().map(|call| call.join().unwrap()).collect();
    assert!(gateway.wait_end());
    let ran = backend.seen().iter().filter(|message| message.field("x-model").is_none()).count();
    let complete = responses.iter().filter(|response| response.ends_with("whole")).count();
    assert_eq!(complete, ran, "{responses:?}");
}

/// A caller disconnects in the middle of its stream. The server must stop working on it.
#[test]
fn disconnected_caller() {
    use std::io::Write;
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| Action::Respond(slow_stream().repeat(5)));
    platform::configure(&store, 1, &[&backend]);
    let gateway = Process::start_gateway(&store);
    let mut stream = std::net::TcpStream::connect(gateway.callers).unwrap();
    stream
        .write_all(request("POST", "/stream/a", "r1", platform::PROMPT_HEADERS, "p").as_bytes())
        .unwrap();
    platform::wait_until("the request", || !backend.seen().is_empty());
    drop(stream);
    // The prompt, and any output until then, is billed soon after; this shows that the attempt has
    // ended.
    platform::wait_until("the bill", || store.billed("acme") >= 100);
    assert!(store.billed("acme") < 160);
}

/// While the store is unavailable, requests are served with the last known servers and
/// configuration.
#[test]
fn unavailable_store() {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| Action::Respond(platform::signed_response("fine")));
    platform::configure(&store, 1, &[&backend]);
    let gateway = Process::start_gateway(&store);
    let text = request("GET", "/safe/a", "r1", "", "");
    platform::wait_until("service", || {
        platform::call(gateway.callers, &text).is_some_and(|response| response.status() == 200)
    });
    store.set_cut_off(true);
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(3) {
        assert_eq!(platform::call(gateway.callers, &text).unwrap().status(), 200);
        thread::sleep(Duration::from_millis(100));
    }
}

/// Starts a relay and an entry that knows it, then cuts the entry off from the store.
fn start_disconnected(store: &Store) -> (Process, Process) {
    let relay = Process::start_relay(store, "side-1");
    let gateway = Process::start_gateway(store);
    thread::sleep(Duration::from_millis(1_200));
    store.set_cut_off(true);
    (relay, gateway)
}

/// An entry is cut off from the store shortly after its start, before it holds any grant. Through
/// the relay, budgets are still confirmed and a newer configuration comes into force. An entry that
/// listed the relays only two seconds after its start used to refuse every caller until the
/// connection was restored.
#[test]
fn entry_without_store() {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| Action::Respond(slow_stream()));
    platform::configure(&store, 1, &[&backend]);
    let (relay, gateway) = start_disconnected(&store);
    let headers = format!("{}Connection: close\r\n", platform::PROMPT_HEADERS);
    let text = request("POST", "/stream/a", "r1", &headers, "p");
    platform::wait_until("service", || {
        platform::call_raw(gateway.callers, &text).starts_with("HTTP/1.1 200")
    });
    let second = Backend::start("i-2", |_, _| Action::Respond(platform::signed_response("second")));
    platform::configure(&store, 2, &[&second]);
    store.remove("servers", "i-1");
    platform::wait_until("the new server", || {
        let text = request("GET", "/safe/a", "r2", "", "");
        platform::call(gateway.callers, &text).is_some_and(|response| response.body == b"second")
    });
    drop(relay);
}

/// An entry's VM is cut off from the store and from all relays, while other entries can serve. It
/// used to refuse all callers that need a budget, but reported ready and kept their connections
/// open. It must report not ready, close connections after a refusal, and recover once the store
/// responds.
#[test]
fn isolated_entry() {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| Action::Respond(slow_stream()));
    platform::configure(&store, 1, &[&backend]);
    let (relay, gateway) = start_disconnected(&store);
    relay.signal("KILL");
    let text = request("POST", "/stream/a", "r1", platform::PROMPT_HEADERS, "p");
    platform::wait_until("a refusal that closes", || {
        let response = platform::call(gateway.callers, &text).unwrap();
        response.status() == 503 && response.field("connection") == Some("close")
    });
    gateway.wait_ready(false);
    // Requests that need no budget are still served.
    let public = request("GET", "/safe/a", "r2", "", "");
    assert!(platform::call(gateway.callers, &public).is_some());
    store.set_cut_off(false);
    gateway.wait_ready(true);
}

/// The store compacts its history while a change is made and responds to the next watch with 410.
/// An entry that only resumed its watch would never see the change and would accept a revoked key.
/// It must list again.
#[test]
fn compacted_history() {
    let store = Store::start();
    let backend = Backend::start("i-1", |_, _| Action::Respond(platform::signed_response("fine")));
    platform::configure(&store, 1, &[&backend]);
    let gateway = Process::start_gateway(&store);
    let text = request("GET", "/safe/a", "r1", "", "");
    assert_eq!(platform::call(gateway.callers, &text).unwrap().status(), 200);
    let mut config = platform::current_config(&store);
    config["version"] = 2.into();
    config["tenants"][0]["api_keys"] = vec!["another"].into();
    store.put_without_event("config", "main", config);
    let start = Instant::now();
    platform::wait_until("the lost key", || {
        platform::call(gateway.callers, &text).is_some_and(|response| response.status() == 401)
    });
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
}
