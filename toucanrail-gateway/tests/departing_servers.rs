//! Backend servers that state in their responses that they are leaving.

mod platform;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use platform::{Action, Backend, Process, Store, request};

/// Time after the statement from which the server may get no request.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a server renews its registration.
const HEARTBEAT: Duration = Duration::from_millis(200);
/// Time that the other server takes for a response, so that placement prefers the leaving one.
const SLOW_RESPONSE: Duration = Duration::from_millis(100);

fn send(gateway: &Process) -> Option<u16> {
    let text = request("POST", "/once/a", "r1", "", "x");
    platform::call(gateway.callers, &text).map(|response| response.status())
}

/// A server leaves and says so in its responses, while its registration is renewed as ready. Guards
/// against requests that are cut off when it exits.
#[test]
fn stated_departure() {
    let store = Store::start();
    let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let (recorded, leaving) = (Arc::clone(&arrivals), Arc::new(AtomicBool::new(false)));
    let is_leaving = Arc::clone(&leaving);
    let server = Backend::start("i-1", move |_, _| {
        recorded.lock().expect("arrivals").push(Instant::now());
        let text = platform::signed_response("seven");
        let stated = "X-Replica-Signature: s\r\nServer-Leaving: 1\r\n";
        Action::Respond(if is_leaving.load(Ordering::Relaxed) {
            text.replace("X-Replica-Signature: s\r\n", stated)
        } else {
            text
        })
    });
    let other = Backend::start("i-2", |_, _| {
        thread::sleep(SLOW_RESPONSE);
        Action::Respond(platform::signed_response("seven"))
    });
    platform::configure(&store, 1, &[&server, &other]);
    let gateway = Process::start_gateway(&store);
    platform::wait_until("a request at the server", || {
        send(&gateway) == Some(200) && !arrivals.lock().expect("arrivals").is_empty()
    });
    leaving.store(true, Ordering::Relaxed);
    let stated_at = Instant::now();
    let mut renewed_at = stated_at;
    while stated_at.elapsed() < DRAIN_TIMEOUT * 2 {
        assert_eq!(send(&gateway), Some(200));
        if renewed_at.elapsed() > HEARTBEAT {
            renewed_at = Instant::now();
            platform::register(&store, &server, "a", 0);
        }
    }
    let arrivals = arrivals.lock().expect("arrivals");
    let late = arrivals.iter().filter(|at| **at > stated_at + DRAIN_TIMEOUT).count();
    assert_eq!(late, 0);
}

/// Another server that is leaving answers at the address of a registered one, which then takes its
/// place again. Guards against statements that are ascribed to the wrong server.
#[test]
fn other_servers_departure() {
    let store = Store::start();
    let server = Backend::start("i-1", |number, _| {
        Action::Respond(if number == 0 {
            "HTTP/1.1 421 x\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
        } else {
            platform::signed_response("seven")
        })
    });
    platform::configure(&store, 1, &[&server]);
    let gateway = Process::start_gateway(&store);
    assert_ne!(send(&gateway), Some(200));
    platform::register(&store, &server, "a", 0);
    platform::wait_until("a response of the server", || send(&gateway) == Some(200));
}
