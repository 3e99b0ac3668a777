//! Backend servers that a request can end, and that start again some time later.

use std::io::{ErrorKind, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use super::{Message, Process, Store, read_message};

/// Port of all such servers; each has an address of its own.
const PORT: u16 = 7_000;
/// Interval at which a server accepts connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);
/// Time between two parts of a response.
const PAUSE: Duration = Duration::from_millis(30);

/// What a server does with a request.
#[derive(Debug, Clone)]
pub enum RunFate {
    /// Writes these bytes, in which `ID` stands for the attempt's id and `PAUSE` for a pause.
    Respond(String),
    /// Writes these bytes, and ends this much later with everything that it runs.
    End(String, Duration),
}

/// One run of a server's process.
#[derive(Debug)]
struct ServerLife {
    number: u64,
    alive: bool,
    connections: Vec<TcpStream>,
}

/// A request that a server ran.
#[derive(Debug, Clone)]
pub struct ServerRun {
    pub at: Instant,
    pub message: Message,
}

/// A server that requests can end. It starts again at its address under another id.
#[derive(Debug)]
pub struct CrashingServer {
    pub address: SocketAddr,
    name: String,
    store: Store,
    down_time: Duration,
    life: Mutex<ServerLife>,
    runs: Mutex<Vec<ServerRun>>,
    ends: Mutex<Vec<Instant>>,
    stopped: AtomicBool,
}

impl CrashingServer {
    /// Starts a server that is down for `down_time` whenever it ends.
    pub fn start<Script>(
        store: &Store,
        name: &str,
        down_time: Duration,
        script: Script,
    ) -> Arc<Self>
    where
        Script: Fn(&Message) -> RunFate + Send + Sync + 'static,
    {
        static NEXT_HOST: AtomicU8 = AtomicU8::new(1);
        let [.., high, low] = std::process::id().to_be_bytes();
        let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
        let ip = Ipv4Addr::new(127, 64 | (high & 63), low, host);
        let server = Arc::new(Self {
            address: SocketAddr::from((ip, PORT)),
            name: name.to_owned(),
            store: store.clone(),
            down_time,
            life: Mutex::new(ServerLife { number: 0, alive: false, connections: Vec::new() }),
            runs: Mutex::default(),
            ends: Mutex::default(),
            stopped: AtomicBool::new(false),
        });
        let first = server.begin_life();
        let (shared, script) = (Arc::clone(&server), Arc::new(script));
        thread::spawn(move || {
            let mut listener = first;
            while !shared.stopped.load(Ordering::Relaxed) {
                shared.accept_connections(&listener, &script);
                drop(listener);
                shared.close_connections();
                thread::sleep(shared.down_time);
                listener = shared.begin_life();
            }
        });
        server
    }

    /// Listens and registers under a new id.
    fn begin_life(&self) -> TcpListener {
        let listener = TcpListener::bind(self.address).expect("the server's address");
        listener.set_nonblocking(true).expect("a listener");
        let old = self.id();
        {
            let mut life = self.life.lock().expect("the life");
            *life = ServerLife { number: life.number + 1, alive: true, connections: Vec::new() };
        }
        self.store.remove("servers", &old);
        let entry = json!({
            "service": "desk", "address": self.address.to_string(), "zone": "a", "version": "v1",
            "slots": 8, "state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": 1,
        });
        self.store.put("servers", &self.id(), entry);
        listener
    }

    fn accept_connections<Script>(self: &Arc<Self>, listener: &TcpListener, script: &Arc<Script>)
    where
        Script: Fn(&Message) -> RunFate + Send + Sync + 'static,
    {
        loop {
            let accepted = listener.accept();
            let mut life = self.life.lock().expect("the life");
            if !life.alive {
                return;
            }
            match accepted {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).expect("a connection");
                    life.connections.push(stream.try_clone().expect("a connection"));
                    let (server, script, number) =
                        (Arc::clone(self), Arc::clone(script), life.number);
                    thread::spawn(move || server.serve(stream, number, &*script));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    drop(life);
                    thread::sleep(ACCEPT_INTERVAL);
                }
                Err(error) => panic!("cannot accept: {error}"),
            }
        }
    }

    fn serve<Script>(&self, mut stream: TcpStream, number: u64, script: &Script)
    where
        Script: Fn(&Message) -> RunFate,
    {
        while let Some(message) = read_message(&mut stream) {
            let attempt = message.field("x-attempt-id").unwrap_or_default().to_owned();
            if message.field("x-target-replica") != Some(&self.id()) {
                let head = "HTTP/1.1 421 x\r\nContent-Length: 0\r\n\r\n";
                if stream.write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let run = ServerRun { at: Instant::now(), message: message.clone() };
            self.runs.lock().expect("the runs").push(run);
            let (text, end) = match script(&message) {
                RunFate::Respond(text) => (text, None),
                RunFate::End(text, after) => (text, Some(after)),
            };
            for part in text.replace("ID", &attempt).split("PAUSE") {
                if stream.write_all(part.as_bytes()).is_err() {
                    return;
                }
                thread::sleep(PAUSE);
            }
            if let Some(after) = end {
                thread::sleep(after);
                self.end_life(number);
                return;
            }
        }
    }

    /// Ends the server now, for a reason of its own.
    pub fn crash(&self) {
        let number = self.life.lock().expect("the life").number;
        self.end_life(number);
    }

    fn end_life(&self, number: u64) {
        let mut life = self.life.lock().expect("the life");
        if life.number == number && std::mem::replace(&mut life.alive, false) {
            self.ends.lock().expect("the ends").push(Instant::now());
        }
    }

    fn close_connections(&self) {
        let mut life = self.life.lock().expect("the life");
        for connection in life.connections.drain(..) {
            // The peer may have closed it already.
            connection.shutdown(Shutdown::Both).ok();
        }
    }

    /// Returns the id under which the server runs now, or ran last.
    pub fn id(&self) -> String {
        format!("{}-{}", self.name, self.life.lock().expect("the life").number)
    }

    /// Returns the requests that it ran, whose heads or bodies contain `mark`.
    pub fn runs_of(&self, mark: &str) -> Vec<ServerRun> {
        let runs = self.runs.lock().expect("the runs");
        let is_marked = |run: &&ServerRun| {
            let Message { head, body } = &run.message;
            head.contains(mark) || String::from_utf8_lossy(body).contains(mark)
        };
        runs.iter().filter(is_marked).cloned().collect()
    }

    /// Returns when it ended.
    pub fn ends(&self) -> Vec<Instant> {
        self.ends.lock().expect("the ends").clone()
    }

    /// Ends the server for good once it ends the next time.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.crash();
    }
}

/// Time in which entries hear of everything.
pub const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Held by the fleet of the test that runs: its bounds are times, which other fleets beside it would
/// stretch.
static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// A store, servers that requests can end, relays and entries.
#[derive(Debug)]
pub struct CrashFleet {
    pub store: Store,
    pub servers: Vec<Arc<CrashingServer>>,
    pub relays: Vec<Process>,
    pub entries: Vec<Process>,
    _guard: MutexGuard<'static, ()>,
}

impl CrashFleet {
    /// Starts a fleet, once that of the test before has ended.
    pub fn start<Script>(
        relay_count: usize,
        entry_count: usize,
        server_count: usize,
        down_time: Duration,
        script: Script,
    ) -> Self
    where
        Script: Fn(&Message) -> RunFate + Clone + Send + Sync + 'static,
    {
        // A test that failed leaves nothing behind.
        let guard = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let store = Store::start();
        super::configure_prepaid(&store, 1, &[], 10_000_000);
        let servers = (0..server_count).map(|number| {
            CrashingServer::start(&store, &format!("i-{number}"), down_time, script.clone())
        });
        let servers: Vec<Arc<CrashingServer>> = servers.collect();
        let names: Vec<String> = (0..relay_count).map(|number| format!("side-{number}")).collect();
        let relays = names.iter().map(|name| Process::start_relay(&store, name)).collect();
        super::wait_until("the relays", || names.iter().all(|name| store.has("relays", name)));
        let entries = (0..entry_count)
            .map(|number| Process::start_gateway_on(&store, &format!("front-{number}")));
        let entries: Vec<Process> = entries.collect();
        thread::sleep(SETTLE_TIME);
        Self { store, servers, relays, entries, _guard: guard }
    }

    /// Returns the requests that servers ran whose heads or bodies contain `mark`, in order.
    pub fn runs_of(&self, mark: &str) -> Vec<ServerRun> {
        let mut runs: Vec<ServerRun> =
            self.servers.iter().flat_map(|server| server.runs_of(mark)).collect();
        runs.sort_by_key(|run| run.at);
        runs
    }

    /// Returns the number of these requests.
    pub fn count_runs(&self, mark: &str) -> usize {
        self.runs_of(mark).len()
    }

    /// Makes the store silent, or lets it respond again.
    pub fn silence_store(&self, silent: bool) {
        for kind in ["servers", "config", "relays", "budgets", "bills"] {
            self.store.set_blocked(kind, silent);
        }
    }
}

impl Drop for CrashFleet {
    fn drop(&mut self) {
        for server in &self.servers {
            server.stop();
        }
    }
}
