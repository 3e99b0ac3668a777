//! Entries of a data centre whose relays decide which of them are in rotation.

mod platform;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use platform::{Action, Backend, Process, Store, request};
use toucanrail::endpoints::LocatedRelay;
use toucanrail::relay_ranks;

/// Link of the small entry, in megabits a second: 500,000 bytes a second.
const SMALL_LINK: u32 = 4;
const LARGE_LINK: u32 = 1_000;
/// The caller sends 333,000 bytes a second. An entry leaves by itself from 425,000 on only.
const BODY_BYTES: usize = 20_000;
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);
const RELAYS: [&str; 2] = ["side-1", "side-2"];

/// A caller that sends requests to one entry on as few connections as the entry allows.
struct HeavyCaller {
    stop: Arc<AtomicBool>,
    /// Responses after which the entry closed the connection.
    closed: Arc<AtomicUsize>,
    thread: Option<JoinHandle<()>>,
}

impl HeavyCaller {
    fn start(entry: SocketAddr) -> Self {
        let (stop, closed) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let (signal, counter) = (Arc::clone(&stop), Arc::clone(&closed));
        let thread = thread::spawn(move || {
            let (mut connection, body) = (None, "x".repeat(BODY_BYTES));
            let (start, mut number) = (Instant::now(), 0_u32);
            while !signal.load(Ordering::Relaxed) {
                number += 1;
                let due = REQUEST_INTERVAL * number;
                thread::sleep(due.saturating_sub(start.elapsed()));
                let bytes = request("POST", "/safe/a", &format!("c{number}"), "", &body);
                let stream = connection.take().or_else(|| TcpStream::connect(entry).ok());
                connection = stream.and_then(|stream| exchange(stream, &bytes, &counter));
            }
        });
        Self { stop, closed, thread: Some(thread) }
    }
}

impl Drop for HeavyCaller {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.take().map(JoinHandle::join);
    }
}

/// Sends a request and reads its response. Returns the connection if the entry keeps it open.
fn exchange(mut stream: TcpStream, bytes: &str, counter: &AtomicUsize) -> Option<TcpStream> {
    stream.write_all(bytes.as_bytes()).ok()?;
    let response = platform::read_message(&mut stream).filter(|read| read.body == b"fine")?;
    let closes = response.head.to_lowercase().contains("connection: close");
    counter.fetch_add(usize::from(closes), Ordering::Relaxed);
    Some(stream).filter(|_| !closes)
}

/// Returns the index of the relay that decides while both respond.
fn first_relay() -> usize {
    let relays = RELAYS.map(|name| LocatedRelay {
        name: name.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "a".into(),
    });
    let ranked = relay_ranks::rank_centres(&relays, relay_ranks::rank_seed("rotation"));
    RELAYS.iter().position(|name| *name == &*ranked[0][0].name).expect("a relay")
}

fn is_ready(entry: &Process) -> bool {
    let response = platform::call(entry.readiness, "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    response.is_some_and(|response| response.status() == 200)
}

/// Fails if an entry is ready within this time.
fn stays_out(entry: &Process, time: Duration, what: &str) {
    let start = Instant::now();
    while start.elapsed() < time {
        assert!(!is_ready(entry), "ready after {:?} although {what}", start.elapsed());
        thread::sleep(Duration::from_millis(50));
    }
}

/// A heavy caller at a small entry stayed there until the link was full, since no entry knew of the
/// larger ones. The relays take the entry out before, also without the store and without the first
/// relay; without any relay the entry decides by itself, and its link is not full.
#[test]
fn ordered_out() {
    let store = Store::start();
    let server = Backend::start("i-1", |_, _| Action::Respond(platform::signed_response("fine")));
    platform::configure_prepaid(&store, 1, &[&server], 1_000_000);
    let mut relays = RELAYS.map(|vm| Process::start_relay(&store, vm));
    platform::wait_until("the relays", || RELAYS.iter().all(|vm| store.has("relays", vm)));
    let small = Process::start_gateway_with_link(&store, "front-1", SMALL_LINK);
    let larges =
        ["front-2", "front-3"].map(|vm| Process::start_gateway_with_link(&store, vm, LARGE_LINK));
    let caller = HeavyCaller::start(small.callers);

    small.wait_ready(false);
    platform::wait_until("closed connections", || caller.closed.load(Ordering::Relaxed) > 10);
    assert!(larges.iter().all(is_ready));

    store.set_cut_off(true);
    stays_out(&small, Duration::from_secs(4), "only the store is silent");
    assert!(larges.iter().all(is_ready));
    store.set_cut_off(false);

    let first = first_relay();
    relays[first].signal("STOP");
    stays_out(&small, Duration::from_secs(4), "only the first relay hangs");
    relays[first].kill();
    stays_out(&small, Duration::from_secs(4), "another relay is left");
    relays[1 - first].kill();
    small.wait_ready(true);
}
