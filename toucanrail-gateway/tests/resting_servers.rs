//! Backend servers that turn requests away and want no more of them for some time.

mod platform;

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use platform::{Action, Backend, Message, Process, Store, request};

/// Time for which the server wants no requests.
const REST: Duration = Duration::from_millis(2_500);
/// Time after which an entry that was asked for rest must keep to it.
const REACTION_TIME: Duration = Duration::from_millis(500);
/// Maximum number of requests from one entry in the remaining rest.
const MAX_ARRIVALS: usize = 2;
/// Time that the other server takes for a response, so that placement prefers the resting one.
const SLOW_RESPONSE: Duration = Duration::from_millis(100);
/// Pause between two requests to an entry.
const LOAD_PAUSE: Duration = Duration::from_millis(30);

/// Longest time that a caller is told to wait, in seconds: a third of the route's timeout, less the
/// entry's margin.
const LONGEST_WAIT: f64 = 1.9;
/// Resolution of `Retry-After` in responses of an entry, in seconds.
const WAIT_RESOLUTION: f64 = 0.01;

/// A server that asks for rest while `resting` is set.
struct RestingServer {
    backend: Backend,
    resting: Arc<AtomicBool>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl RestingServer {
    fn start(id: &str) -> Self {
        let resting = Arc::new(AtomicBool::new(true));
        let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let (is_resting, recorded) = (Arc::clone(&resting), Arc::clone(&arrivals));
        let backend = Backend::start_on(Ipv4Addr::LOCALHOST, id, move |_, _| {
            recorded.lock().expect("arrivals").push(Instant::now());
            Action::Respond(if is_resting.load(Ordering::Relaxed) {
                let rest = REST.as_secs_f64();
                format!(
                    "HTTP/1.1 503 x\r\nX-Attempt-Id: ID\r\nX-Not-Executed: 1\r\n\
                     Retry-After: {rest:.1}\r\nContent-Length: 0\r\n\r\n"
                )
            } else {
                platform::signed_response("rested")
            })
        });
        Self { backend, resting, arrivals }
    }

    fn arrivals(&self) -> Vec<Instant> {
        self.arrivals.lock().expect("arrivals").clone()
    }

    /// Returns how many requests arrived in the rest that the first of them was asked for.
    fn count_disturbing(&self) -> usize {
        let arrivals = self.arrivals();
        let first = *arrivals.first().expect("a first request");
        let within = |at: &&Instant| **at > first + REACTION_TIME && **at < first + REST;
        arrivals.iter().filter(within).count()
    }
}

fn start_gateway(servers: &[&Backend]) -> Process {
    let store = Store::start();
    platform::configure(&store, 1, servers);
    Process::start_gateway(&store)
}

fn send(gateway: &Process) -> Option<Message> {
    platform::call(gateway.callers, &request("POST", "/once/a", "r1", "", "x"))
}

/// Sends a request after the other for some time. Returns the responses.
fn send_steadily(gateway: &Process, time: Duration) -> Vec<Message> {
    let start = Instant::now();
    let mut responses = Vec::new();
    while start.elapsed() < time {
        responses.extend(send(gateway));
        thread::sleep(LOAD_PAUSE);
    }
    responses
}

/// A server turns a request away and asks for rest; it looks idle. Guards against requests that are
/// placed there all the same and, once the retry budget is spent, refused.
#[test]
fn rest_is_kept() {
    let resting = RestingServer::start("i-1");
    let other = Backend::start("i-2", |_, _| {
        thread::sleep(SLOW_RESPONSE);
        Action::Respond(platform::signed_response("seven"))
    });
    let gateway = start_gateway(&[&resting.backend, &other]);
    let responses = send_steadily(&gateway, REST);
    let disturbing = resting.count_disturbing();
    assert!(disturbing <= MAX_ARRIVALS, "{disturbing}");
    assert!(responses.iter().all(|response| response.status() == 200));
}

/// All servers of a service rest. Guards against the fallback to servers out of rotation, and
/// against callers that are told to come back before a server takes requests again.
#[test]
fn rest_of_all() {
    let resting = [RestingServer::start("i-1"), RestingServer::start("i-2")];
    let gateway = start_gateway(&[&resting[0].backend, &resting[1].backend]);
    let start = Instant::now();
    // The first request is turned away by both servers.
    send(&gateway);
    thread::sleep(REACTION_TIME);
    while start.elapsed() < REST.mul_f64(0.6) {
        let sent = Instant::now();
        let response = send(&gateway).expect("a refusal");
        assert!(sent.elapsed() < REACTION_TIME, "{:?}", sent.elapsed());
        assert!(matches!(response.status(), 429 | 503), "{}", response.status());
        let wait = response.field("retry-after").and_then(|text| text.parse::<f64>().ok());
        let left = REST.saturating_sub(start.elapsed()).as_secs_f64();
        let expected = left.min(LONGEST_WAIT) - WAIT_RESOLUTION;
        assert!(wait.is_some_and(|wait| wait >= expected), "{wait:?} of at least {expected}");
        thread::sleep(LOAD_PAUSE);
    }
    for server in &resting {
        let disturbing = server.count_disturbing();
        assert!(disturbing <= MAX_ARRIVALS, "{disturbing}");
    }
}

/// A server takes requests again after its rest. Guards against a rest without an end.
#[test]
fn rest_ends() {
    let resting = RestingServer::start("i-1");
    let gateway = start_gateway(&[&resting.backend]);
    send(&gateway);
    resting.resting.store(false, Ordering::Relaxed);
    thread::sleep(REST + REACTION_TIME);
    assert!(send(&gateway).is_some_and(|response| response.status() == 200));
}
