//! Entries whose own network link is full.

mod platform;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use platform::proxies::{Proxy, ProxyFault};
use platform::{Action, Backend, Message, Process, Store, request};
use serde_json::json;
use toucanrail::settings::{self, StartAction};
use toucanrail_gateway::tuning::{self, GatewayTuning};

/// Settings of an entry with a link of 100 KB/s.
const SMALL_LINK: &str = "[limits]\nlink_mbps = 0.8\n";
/// Size of a body; a burst fills the link for seconds.
const BODY: usize = 10_000;
const BURST: usize = 40;
/// Time within which a burst must end.
const BURST_TIME: Duration = Duration::from_millis(600);
/// Time after a burst in which the entry notices its load and has a share again. The load, an
/// average over half a second, stays above the threshold for longer.
const SETTLING: Duration = Duration::from_millis(300);
/// Maximum time for a refusal.
const REFUSAL_TIME: Duration = Duration::from_millis(700);

fn start_backend() -> Backend {
    let stream =
        [platform::STREAM_HEAD, &platform::chunk("id: 1\ndata: x\n\n"), "0\r\n\r\n"].concat();
    Backend::start("i-1", move |_, message: &Message| {
        let is_stream = message.target().starts_with("/stream");
        Action::Respond(if is_stream { stream.clone() } else { platform::signed_response("done") })
    })
}

/// Sends a request with a body of which only the first `sent` bytes follow, and reads until the
/// connection ends or nothing arrives for the time of a refusal. Returns what was received if the
/// connection ended.
fn send(gateway: &Process, id: &str, headers: &str, sent: usize) -> Option<String> {
    let text = request("POST", "/once/a", id, headers, &"x".repeat(BODY));
    let mut caller = TcpStream::connect(gateway.callers).ok()?;
    caller.set_read_timeout(Some(REFUSAL_TIME)).ok()?;
    caller.write_all(&text.as_bytes()[..text.len() - BODY + sent]).ok()?;
    let mut response = Vec::new();
    let closed = caller.read_to_end(&mut response).is_ok();
    closed.then(|| String::from_utf8_lossy(&response).into_owned())
}

/// Sends requests with whole bodies at the same time, and waits for their ends. Repeats a burst that
/// took so long on a busy machine that the load of its beginning has decayed.
fn fill_link(gateway: &Process, name: &str) {
    for round in 0.. {
        let start = Instant::now();
        thread::scope(|scope| {
            for number in 0..BURST {
                let id = format!("{name}{round}.{number}");
                scope.spawn(move || send(gateway, &id, "Connection: close\r\n", BODY));
            }
        });
        if start.elapsed() < BURST_TIME {
            break;
        }
        assert!(round < 10, "no burst within {BURST_TIME:?}");
    }
    thread::sleep(SETTLING);
}

/// A burst of bodies fills the entry's link. Those that it has no share for must be refused at
/// once, before their bodies are read, as not run, with a time to return and on a connection that
/// ends; and none of them may reach a server.
#[test]
fn refused_bodies() {
    let store = Store::start();
    let backend = start_backend();
    platform::configure(&store, 1, &[&backend]);
    let gateway = Process::start_with_settings(&store, SMALL_LINK);
    fill_link(&gateway, "b");
    let gateway = &gateway;
    // Half of the callers send no byte of their bodies.
    let responses: Vec<(String, Option<String>)> = thread::scope(|scope| {
        let calling = (0..BURST).map(|number| {
            let id = format!("r{number}");
            scope.spawn(move || {
                let response = send(gateway, &id, "", BODY * (number % 2));
                (id, response)
            })
        });
        let calling: Vec<_> = calling.collect();
        calling.into_iter().map(|call| call.join().expect("a caller")).collect()
    });
    // A connection also ends after a response if the entry has left the rotation.
    let ended = responses.iter().filter_map(|(id, response)| Some((id, response.as_ref()?)));
    let refused: Vec<(&String, &String)> =
        ended.filter(|(_, response)| !response.starts_with("HTTP/1.1 200")).collect();
    assert!(refused.len() > BURST / 2, "{responses:?}");
    let seen = backend.seen();
    for (id, response) in refused {
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(response.to_lowercase().contains("toucanrail-result: 3208"), "{response}");
        assert!(response.contains("toucanrail-run: not-run"), "{response}");
        assert!(response.contains("Connection: close"), "{response}");
        let (_, wait) = response.split_once("Retry-After: ").expect("a time to return");
        let wait: f64 = wait.lines().next().unwrap_or_default().parse().expect("seconds");
        assert!(wait > 0.1 && wait < 8.0 / 3.0, "{response}");
        let is_same = |message: &Message| message.field("x-attempt-id") == Some(id.as_str());
        assert!(!seen.iter().any(is_same), "{id} reached the server");
    }
}

/// A reserve that is no fraction, or that leaves nothing to callers, must be named as the error.
#[test]
fn invalid_reserve() {
    for (value, is_valid) in
        [("0", true), ("0.99", true), ("1", false), ("-0.1", false), ("NaN", false)]
    {
        let args = [format!("--link-reserve={value}").into()];
        let read = settings::read("gateway", "", &tuning::SETTINGS, args, |_| None);
        let StartAction::Run(mut values) = read else { panic!("{value}: not read") };
        GatewayTuning::read(&mut values);
        let errors: Vec<String> = values.errors.iter().map(ToString::to_string).collect();
        assert_eq!(errors.is_empty(), is_valid, "{value}: {errors:?}");
        assert!(errors.iter().all(|error| error.contains("--link-reserve")), "{errors:?}");
    }
}

/// Replies of a lender are queued behind bodies on the entry's full link. Such a lender was given
/// up after a quarter of a second, and the second one was asked for each request, over the same
/// link; later the request was refused after 650 ms, with its body read. It must be waited for, and
/// after a time-out it must still be the one to be asked.
#[test]
fn slow_lender() {
    let store = Store::start();
    let backend = start_backend();
    platform::configure_prepaid(&store, 1, &[&backend], 100_000);
    let names = ["side-1", "side-2"];
    let _relays = names.map(|vm| Process::start_relay(&store, vm));
    platform::wait_until("the relays", || names.iter().all(|vm| store.has("relays", vm)));
    let proxies = names.map(|vm| {
        let mut entry = store.get("relays", vm).expect("its entry");
        let lending = entry["lending"].as_str().expect("an address").parse().expect("an address");
        let proxy = Proxy::start(lending);
        entry["lending"] = json!(proxy.address.to_string());
        store.put("relays", vm, entry);
        proxy
    });
    let gateway = Process::start_with_settings(&store, SMALL_LINK);
    let call = |id: &str| {
        let headers = format!("{}Connection: close\r\n", platform::PROMPT_HEADERS);
        let start = Instant::now();
        let text = request("POST", "/stream/a", id, &headers, "p");
        (platform::call_raw(gateway.callers, &text), start.elapsed())
    };
    let lenders = || {
        let holders: Vec<String> = store.granted("acme").into_keys().collect();
        names.iter().filter(|vm| holders.iter().any(|name| name.starts_with(**vm))).count()
    };
    assert!(call("r1").0.contains("id: 1"));
    assert_eq!(lenders(), 1);

    fill_link(&gateway, "b");
    let set_fault = |fault: ProxyFault| {
        for proxy in &proxies {
            proxy.set_fault(fault);
        }
    };
    set_fault(ProxyFault::Delay(Duration::from_millis(200)));
    let (response, took) = call("r2");
    assert!(response.contains("id: 1") && took > Duration::from_millis(400), "{took:?} {response}");

    fill_link(&gateway, "c");
    set_fault(ProxyFault::Delay(Duration::from_millis(400)));
    let (response, took) = call("r3");
    assert!(response.contains("id: 1") && took > Duration::from_millis(800), "{took:?} {response}");

    fill_link(&gateway, "d");
    set_fault(ProxyFault::Delay(Duration::from_millis(1_500)));
    let (response, took) = call("r4");
    assert!(response.contains("3002") && took > Duration::from_millis(600), "{took:?} {response}");
    set_fault(ProxyFault::None);
    assert!(call("r5").0.contains("id: 1"));
    assert_eq!(lenders(), 1, "{:?}", store.granted("acme"));
}
