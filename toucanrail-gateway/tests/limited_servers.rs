//! Backend servers that state in their responses how many requests per second they accept from all
//! entries together.

mod platform;

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use platform::{Action, Backend, Message, Process, Store, request};

/// Stated limit, in requests per second.
const RATE: f64 = 2.0;
/// Window in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Maximum number of arrivals in a window: one and a half times what the limit allows, plus 5.
const MAX_ARRIVALS: usize = (1.5 * RATE * 4.0) as usize + 5;
/// Time after which an entry that has forwarded a response with the limit must keep to it.
const REACTION_TIME: Duration = Duration::from_millis(500);
/// Duration of the load, and the pause between two requests to the same entry.
const LOAD_TIME: Duration = Duration::from_secs(6);
const LOAD_PAUSE: Duration = Duration::from_millis(60);

/// Time that the other server takes for a response.
const SLOW_RESPONSE: Duration = Duration::from_millis(100);

/// Response of a server that is full, which does not state the limit.
const DECLINED: &str = "HTTP/1.1 503 x\r\nX-Attempt-Id: ID\r\nX-Not-Executed: 1\r\n\
    Content-Length: 0\r\n\r\n";

/// A server that states a limit while `limited` is set, and declines requests in between if
/// `declining` is set.
struct LimitedServer {
    backend: Backend,
    limited: Arc<AtomicBool>,
    declining: Arc<AtomicBool>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl LimitedServer {
    fn start(ip: Ipv4Addr) -> Self {
        let limited = Arc::new(AtomicBool::new(true));
        let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let declining = Arc::new(AtomicBool::new(false));
        let (is_limited, is_declining) = (Arc::clone(&limited), Arc::clone(&declining));
        let recorded = Arc::clone(&arrivals);
        let backend = Backend::start_on(ip, "i-1", move |number, message| {
            // The relay's calls for the load report do not count.
            if message.head.starts_with("POST ") {
                recorded.lock().expect("arrivals").push(Instant::now());
            }
            if is_declining.load(Ordering::Relaxed) && number % 8 != 0 {
                return Action::Respond(DECLINED.to_owned());
            }
            let field = format!("X-Replica-Signature: s\r\nServer-Limit: {RATE:.1}\r\n");
            let text = platform::signed_response("limited");
            Action::Respond(if is_limited.load(Ordering::Relaxed) {
                text.replace("X-Replica-Signature: s\r\n", &field)
            } else {
                text
            })
        });
        Self { backend, limited, declining, arrivals }
    }

    fn arrivals_since(&self, start: Instant) -> Vec<Instant> {
        let arrivals = self.arrivals.lock().expect("arrivals");
        arrivals.iter().copied().filter(|at| *at >= start).collect()
    }

    /// Returns the maximum number of arrivals in a window that starts at or after `start`.
    fn count_most(&self, start: Instant) -> usize {
        let arrivals = self.arrivals_since(start);
        let within = |from: &Instant| {
            arrivals.iter().filter(|at| **at >= *from && **at < *from + WINDOW).count()
        };
        arrivals.iter().map(within).max().unwrap_or(0)
    }
}

/// A limited server, another server of the same service, two entries and their relays.
struct LimitedService {
    limited: LimitedServer,
    gateways: Vec<Process>,
    relays: Vec<Process>,
}

impl LimitedService {
    /// Starts the service with the limited server on `ip`. The first relay runs on 127.0.0.1.
    fn start(ip: Ipv4Addr, relays: usize) -> Self {
        let store = Store::start();
        let limited = LimitedServer::start(ip);
        // Slower, so that placement prefers the limited server.
        let other = Backend::start("i-2", |_, _| {
            thread::sleep(SLOW_RESPONSE);
            Action::Respond(platform::signed_response("unlimited"))
        });
        platform::configure(&store, 1, &[&limited.backend, &other]);
        let relays = (0..relays)
            .map(|number| Process::start_relay_beside(&store, &format!("side-{number}"), &other))
            .collect();
        let gateways = (0..2).map(|_| Process::start_gateway(&store)).collect();
        // Relays are listed within a second.
        thread::sleep(Duration::from_millis(1_500));
        Self { limited, gateways, relays }
    }

    /// Waits until all entries know the limit and must have begun to keep to it.
    fn await_limits(&self) {
        for gateway in &self.gateways {
            await_limit(gateway);
        }
        thread::sleep(REACTION_TIME);
    }

    /// Sends load to all entries. Returns how many requests failed.
    fn send_load(&self) -> usize {
        thread::scope(|scope| {
            let send = |gateway| scope.spawn(move || send_steadily(gateway));
            let senders: Vec<_> = self.gateways.iter().map(send).collect();
            senders.into_iter().map(|sender| sender.join().expect("a sender")).sum()
        })
    }

    /// Checks that the limited server gets as many requests as it accepts, but no more, and that
    /// the other server gets the rest.
    fn check_load(&self) {
        self.await_limits();
        let start = Instant::now();
        let failed = self.send_load();
        let most = self.limited.count_most(start);
        let total = self.limited.arrivals_since(start).len();
        assert!(most <= MAX_ARRIVALS, "{most} in a window, {total} in all");
        let expected = (RATE * LOAD_TIME.as_secs_f64() / 2.0) as usize;
        assert!(total >= expected, "{total} of at least {expected}");
        assert_eq!(failed, 0);
    }
}

/// Sends requests to an entry until a response states the limit.
fn await_limit(gateway: &Process) {
    platform::wait_until("a stated limit", || {
        send(gateway, 0).is_some_and(|response| response.field("server-limit").is_some())
    });
}

fn send(gateway: &Process, number: usize) -> Option<Message> {
    platform::call(gateway.callers, &request("POST", "/once/a", &format!("r{number}"), "", "x"))
}

/// Sends a request after the other for [`LOAD_TIME`]. Returns how many failed.
fn send_steadily(gateway: &Process) -> usize {
    let start = Instant::now();
    let mut failed = 0;
    for number in 0.. {
        if start.elapsed() > LOAD_TIME {
            break;
        }
        let served = send(gateway, number).is_some_and(|response| response.status() == 200);
        failed += usize::from(!served);
        thread::sleep(LOAD_PAUSE);
    }
    failed
}

/// Each entry sends its share to a server that has stated a limit, and the shares add up. Guards
/// against more requests than the server accepts from all entries together.
#[test]
fn limit_across_entries() {
    LimitedService::start(Ipv4Addr::LOCALHOST, 1).check_load();
}

/// No relay runs on the VM of the limited server. Guards against a limit that is not enforced
/// there, and against a server that is no longer used.
#[test]
fn limit_without_relay() {
    LimitedService::start(Ipv4Addr::new(127, 0, 0, 2), 2).check_load();
}

/// The relay that issues the permits dies. Guards against a server that gets no more requests, or
/// more than it accepts, because entries disagree on the next relay.
#[test]
fn limit_survives_relay() {
    let service = LimitedService::start(Ipv4Addr::LOCALHOST, 2);
    service.await_limits();
    service.relays[0].signal("KILL");
    service.check_load();
}

/// A server states a limit and later no longer does. Guards against a limit that outlasts the need.
#[test]
fn limit_ends() {
    let service = LimitedService::start(Ipv4Addr::LOCALHOST, 1);
    service.await_limits();
    service.limited.limited.store(false, Ordering::Relaxed);
    // Within this time, both entries get a response without the limit.
    service.send_load();
    let start = Instant::now();
    service.send_load();
    let total = service.limited.arrivals_since(start).len();
    assert!(total > 2 * MAX_ARRIVALS, "{total}");
}

/// A limited server declines most of its requests by responses that do not state the limit. Guards
/// against a limit that such a response ends.
#[test]
fn limit_outlasts_refusals() {
    let service = LimitedService::start(Ipv4Addr::LOCALHOST, 1);
    service.await_limits();
    service.limited.declining.store(true, Ordering::Relaxed);
    let start = Instant::now();
    service.send_load();
    let most = service.limited.count_most(start);
    assert!(most <= MAX_ARRIVALS, "{most} in a window");
}
