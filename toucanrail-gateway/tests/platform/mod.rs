//! The users' platform for tests. The store, the backend servers and the callers are fakes that
//! read and write raw bytes, so that they do not share the adapter's view of the wire format;
//! gateway and relay are real processes.

// Each test file uses only a part of this module.
#![allow(dead_code)]

pub mod crashes;
pub mod endless;
pub mod odd_values;
mod ports;
pub mod proxies;
pub mod services;
pub mod streams;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use self::ports::PortLease;
use self::proxies::Proxy;
use serde_json::{Value, json};
use toucanrail::loans;

/// Timeout of everything that a test waits for. Reaching it is a failure; no test depends on its
/// length.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Polling interval.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// API key of the customer `acme`.
pub const KEY: &str = "acme-key";

/// Serves each connection to a new loopback port in a thread of its own. Returns the address.
fn spawn_server<Handler>(handler: Handler) -> SocketAddr
where
    Handler: Fn(TcpStream) + Send + Sync + 'static,
{
    spawn_server_on(Ipv4Addr::LOCALHOST, handler)
}

/// Like [`spawn_server`], on another loopback address.
fn spawn_server_on<Handler>(ip: Ipv4Addr, handler: Handler) -> SocketAddr
where
    Handler: Fn(TcpStream) + Send + Sync + 'static,
{
    let listener = TcpListener::bind((ip, 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || handler(stream));
        }
    });
    address
}

/// One received HTTP message.
#[derive(Debug, Clone)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().skip(1).filter_map(|line| line.split_once(": "));
        lines
            .into_iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Returns the second word of the first line: the target of a request, or the status of a
    /// response.
    pub fn target(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// Reads a message with a `Content-Length`, or without a body.
pub fn read_message(stream: &mut TcpStream) -> Option<Message> {
    let mut message = read_head(stream)?;
    read_body(stream, &mut message)?;
    Some(message)
}

fn read_head(stream: &mut TcpStream) -> Option<Message> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
    }
    Some(Message { head: String::from_utf8(bytes).ok()?, body: Vec::new() })
}

fn read_body(stream: &mut TcpStream, message: &mut Message) -> Option<()> {
    let length = message.field("content-length").map_or(0, |text| text.parse().unwrap_or(0));
    message.body = vec![0; length];
    stream.read_exact(&mut message.body).ok()
}

/// Objects and history of the fake store.
#[derive(Debug, Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, Value)>,
    events: Vec<(u64, String, Value)>,
    /// Revision up to which the history has been discarded.
    discarded_until: u64,
    /// Objects that listings from a stale copy show, if not the current ones.
    copy: Option<BTreeMap<(String, String), (u64, Value)>>,
}

/// A fake of the platform's store.
#[derive(Debug, Clone)]
pub struct Store {
    state: Arc<Mutex<StoreState>>,
    /// Address for gateways; it can be cut off.
    pub address: SocketAddr,
    /// Address for relays.
    pub relay_address: SocketAddr,
    cut_off: Arc<AtomicBool>,
    blocked: Arc<Mutex<BTreeSet<String>>>,
    watches: Arc<AtomicU64>,
    /// Listings of the relays by gateways, and by relays.
    listings: [Arc<AtomicU64>; 2],
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> Self {
        let state: Arc<Mutex<StoreState>> = Arc::default();
        let cut_off = Arc::new(AtomicBool::new(false));
        let blocked: Arc<Mutex<BTreeSet<String>>> = Arc::default();
        let watches: Arc<AtomicU64> = Arc::default();
        let listings: [Arc<AtomicU64>; 2] = Default::default();
        let serve = |cut_off: Option<Arc<AtomicBool>>| {
            let state = Arc::clone(&state);
            let blocked = Arc::clone(&blocked);
            let watches = Arc::clone(&watches);
            let listings = Arc::clone(&listings[usize::from(cut_off.is_none())]);
            spawn_server(move |mut stream| {
                while let Some(message) = read_message(&mut stream) {
                    if cut_off.as_ref().is_some_and(|flag| flag.load(Ordering::Relaxed)) {
                        return;
                    }
                    while blocked.lock().expect("blocked kinds").contains(kind_of(&message)) {
                        thread::sleep(POLL_INTERVAL);
                    }
                    if cut_off.is_some() && message.target().contains("watch=") {
                        watches.fetch_add(1, Ordering::Relaxed);
                    } else if message.target().starts_with("/api/objects/relays?") {
                        listings.fetch_add(1, Ordering::Relaxed);
                    }
                    let (status, body) = handle_store_request(&state, &message);
                    let body = odd_values::expand(&body.to_string());
                    let head =
                        format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n\r\n", body.len());
                    if stream.write_all((head + &body).as_bytes()).is_err() {
                        return;
                    }
                }
            })
        };
        let address = serve(Some(Arc::clone(&cut_off)));
        let relay_address = serve(None);
        Self { state, address, relay_address, cut_off, blocked, watches, listings }
    }

    /// Returns the store with proxies in front of its address for gateways and its address for
    /// relays.
    pub fn behind(&self, gateways: &Proxy, relays: &Proxy) -> Self {
        Self { address: gateways.address, relay_address: relays.address, ..self.clone() }
    }

    /// Blocks calls for one kind, or unblocks them.
    pub fn set_blocked(&self, kind: &str, block: bool) {
        let mut blocked = self.blocked.lock().expect("blocked kinds");
        if block {
            blocked.insert(kind.to_owned());
        } else {
            blocked.remove(kind);
        }
    }

    /// Cuts the gateways off from the store, or reconnects them.
    pub fn set_cut_off(&self, cut_off: bool) {
        self.cut_off.store(cut_off, Ordering::Relaxed);
    }

    /// Writes an object, as the operator or a server would.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        let mut state = self.state.lock().expect("the store");
        write(&mut state, kind, name, spec);
    }

    /// Writes an object and discards all history, so that no watch reports the change.
    pub fn put_without_event(&self, kind: &str, name: &str, spec: Value) {
        let mut state = self.state.lock().expect("the store");
        write(&mut state, kind, name, spec);
        state.events.clear();
        state.discarded_until = state.revision;
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().expect("the store");
        state.revision += 1;
        let revision = state.revision;
        state.objects.remove(&(kind.to_owned(), name.to_owned()));
        let event = json!({"removed": true, "object": {"metadata": {"name": name}}});
        state.events.push((revision, kind.to_owned(), event));
    }

    /// Returns the number of watches that gateways have begun.
    pub fn watch_count(&self) -> u64 {
        self.watches.load(Ordering::Relaxed)
    }

    /// Returns how often gateways, and relays, have listed the relays.
    pub fn relay_listing_counts(&self) -> [u64; 2] {
        [&self.listings[0], &self.listings[1]].map(|count| count.load(Ordering::Relaxed))
    }

    /// From now on, listings from a stale copy show the store as it is at this moment.
    pub fn freeze_copy(&self) {
        let mut state = self.state.lock().expect("the store");
        state.copy = Some(state.objects.clone());
    }

    /// Returns an object's value.
    pub fn get(&self, kind: &str, name: &str) -> Option<Value> {
        let state = self.state.lock().expect("the store");
        state.objects.get(&(kind.to_owned(), name.to_owned())).map(|(_, spec)| spec.clone())
    }

    /// Returns the names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.state.lock().expect("the store");
        let of_kind = state.objects.keys().filter(|(known, _)| known == kind);
        of_kind.map(|(_, name)| name.clone()).collect()
    }

    /// Returns whether an object exists.
    pub fn has(&self, kind: &str, name: &str) -> bool {
        let state = self.state.lock().expect("the store");
        state.objects.contains_key(&(kind.to_owned(), name.to_owned()))
    }

    /// Returns the tokens that a customer was billed.
    pub fn billed(&self, customer: &str) -> u64 {
        self.account(customer)["billed"].as_u64().unwrap_or(0)
    }

    /// Returns the tokens of a customer's budget that are granted, by holder.
    pub fn granted(&self, customer: &str) -> BTreeMap<String, u64> {
        let account = self.account(customer);
        let grants = account["grants"].as_object().cloned().unwrap_or_default();
        let rows = grants.into_iter().map(|(holder, row)| (holder, row.as_u64().unwrap_or(0)));
        rows.filter(|(_, granted)| *granted > 0).collect()
    }

    /// Returns the tokens of a customer's budget that are frozen.
    pub fn frozen(&self, customer: &str) -> u64 {
        let frozen = self.account(customer)["frozen"].as_object().cloned().unwrap_or_default();
        frozen.values().map(|row| row.as_u64().unwrap_or(0)).sum()
    }

    fn account(&self, customer: &str) -> Value {
        let state = self.state.lock().expect("the store");
        let shards = state.objects.iter().filter(|((kind, _), _)| kind == "budgets");
        let mut accounts = shards.map(|(_, (_, spec))| spec["accounts"][customer].clone());
        accounts.find(|account| !account.is_null()).unwrap_or(Value::Null)
    }
}

/// Returns the kind of store objects that a request is for.
fn kind_of(message: &Message) -> &str {
    let path = message.target().trim_start_matches("/api/objects/");
    path.split(['/', '?']).next().unwrap_or_default()
}

fn object(name: &str, revision: u64, spec: &Value) -> Value {
    json!({"metadata": {"name": name, "revision": revision, "deleting": false}, "spec": spec})
}

/// Writes an object at the next revision and adds the event to the history. Returns the object as
/// stored.
fn write(state: &mut StoreState, kind: &str, name: &str, spec: Value) -> Value {
    state.revision += 1;
    let revision = state.revision;
    let written = object(name, revision, &spec);
    let event = json!({"removed": false, "object": written});
    state.events.push((revision, kind.to_owned(), event));
    state.objects.insert((kind.to_owned(), name.to_owned()), (revision, spec));
    written
}

/// Answers one request to the store with a status and a body.
fn handle_store_request(state: &Mutex<StoreState>, message: &Message) -> (u16, Value) {
    let target = message.target().trim_start_matches("/api/objects/").to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let (kind, name) = path.split_once('/').unwrap_or((path, ""));
    let value = |key: &str| query.split('&').find_map(|pair| pair.strip_prefix(key)?.parse().ok());
    if let Some(after) = value("watch=") {
        return watch(state, kind, after, value("wait_ms=").unwrap_or(0));
    }
    let mut state = state.lock().expect("the store");
    let key = (kind.to_owned(), name.to_owned());
    let body: Value = serde_json::from_slice(&message.body).unwrap_or(Value::Null);
    match message.head.split(' ').next() {
        Some("GET") if name.is_empty() => {
            let copy = state.copy.as_ref().filter(|_| query.contains("allow_stale=1"));
            let objects = copy.unwrap_or(&state.objects);
            let items = objects.iter().filter(|((known, _), _)| known == kind);
            let items: Vec<Value> =
                items.map(|((_, name), (revision, spec))| object(name, *revision, spec)).collect();
            (200, json!({"items": items, "has_more": false, "store_revision": state.revision}))
        }
        Some("GET") => match state.objects.get(&key) {
            Some((revision, spec)) => (200, object(name, *revision, spec)),
            None => (404, Value::Null),
        },
        Some("POST") => {
            let name = body["metadata"]["name"].as_str().unwrap_or_default().to_owned();
            if state.objects.contains_key(&(kind.to_owned(), name.clone())) {
                return (409, Value::Null);
            }
            (200, write(&mut state, kind, &name, body["spec"].clone()))
        }
        Some("PUT") => match state.objects.get(&key) {
            Some((revision, _)) if body["metadata"]["revision"] == *revision => {
                (200, write(&mut state, kind, name, body["spec"].clone()))
            }
            Some(_) => (409, Value::Null),
            None => (404, Value::Null),
        },
        _ => (400, Value::Null),
    }
}

/// Waits for events of a kind after a revision, for at most `wait` milliseconds.
fn watch(state: &Mutex<StoreState>, kind: &str, after: u64, wait: u64) -> (u16, Value) {
    let start = Instant::now();
    loop {
        let state = state.lock().expect("the store");
        if after < state.discarded_until {
            return (410, Value::Null);
        }
        let new =
            state.events.iter().filter(|(revision, known, _)| *revision > after && known == kind);
        let events: Vec<Value> = new.map(|(_, _, event)| event.clone()).collect();
        if !events.is_empty() || start.elapsed() > Duration::from_millis(wait) {
            return (200, json!({"events": events, "store_revision": state.revision}));
        }
        drop(state);
        thread::sleep(POLL_INTERVAL);
    }
}

/// How a fake backend server reacts to a request.
#[derive(Debug, Clone)]
pub enum Action {
    /// Writes these bytes, in which `ID` stands for the attempt's id and `PAUSE` for a pause of 30
    /// ms, then waits for the next request.
    Respond(String),
    /// Writes these bytes and closes or resets the connection.
    Disconnect(String),
    /// Writes these bytes and resets the connection.
    Reset(String),
}

/// A fake backend server.
#[derive(Debug, Clone)]
pub struct Backend {
    pub id: String,
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<Message>>>,
}

impl Backend {
    /// Starts a server that reacts to each request as `script` says, which gets the request's
    /// number from 0.
    pub fn start<Script>(id: &str, script: Script) -> Self
    where
        Script: Fn(usize, &Message) -> Action + Send + Sync + 'static,
    {
        Self::start_on(Ipv4Addr::LOCALHOST, id, script)
    }

    /// Like [`start`](Self::start), on another loopback address, as on a VM of its own.
    pub fn start_on<Script>(ip: Ipv4Addr, id: &str, script: Script) -> Self
    where
        Script: Fn(usize, &Message) -> Action + Send + Sync + 'static,
    {
        Self::start_with(ip, id, None, script)
    }

    fn start_with<Script>(
        ip: Ipv4Addr,
        id: &str,
        patience: Option<Duration>,
        script: Script,
    ) -> Self
    where
        Script: Fn(usize, &Message) -> Action + Send + Sync + 'static,
    {
        let seen: Arc<Mutex<Vec<Message>>> = Arc::default();
        let received = Arc::clone(&seen);
        let address = spawn_server_on(ip, move |mut stream| {
            stream.set_write_timeout(patience).expect("a timeout");
            while let Some(message) = read_message(&mut stream) {
                let number = {
                    let mut received = received.lock().expect("requests");
                    received.push(message.clone());
                    received.len() - 1
                };
                let id = message.field("x-attempt-id").unwrap_or_default().to_owned();
                let action = script(number, &message);
                let (Action::Respond(text) | Action::Disconnect(text) | Action::Reset(text)) =
                    &action;
                for part in text.replace("ID", &id).split("PAUSE") {
                    if stream.write_all(part.as_bytes()).is_err() {
                        return;
                    }
                    thread::sleep(Duration::from_millis(30));
                }
                match action {
                    Action::Respond(_) => {}
                    Action::Disconnect(_) => return,
                    Action::Reset(_) => return proxies::reset(&stream),
                }
            }
        });
        Self { id: id.to_owned(), address, seen }
    }

    /// Like [`start`](Self::start), but the server resets a connection on which a response stays
    /// unread for `patience`.
    pub fn start_impatient<Script>(id: &str, patience: Duration, script: Script) -> Self
    where
        Script: Fn(usize, &Message) -> Action + Send + Sync + 'static,
    {
        Self::start_with(Ipv4Addr::LOCALHOST, id, Some(patience), script)
    }

    /// Starts a server that responds as soon as it has read a request's head, and reads the body
    /// later.
    pub fn start_early_responder(id: &str) -> Self {
        let seen: Arc<Mutex<Vec<Message>>> = Arc::default();
        let received = Arc::clone(&seen);
        let address = spawn_server(move |mut stream| {
            while let Some(mut message) = read_head(&mut stream) {
                let id = message.field("x-attempt-id").unwrap_or_default().to_owned();
                let text = signed_response("early").replace("ID", &id);
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                thread::sleep(Duration::from_millis(100));
                if read_body(&mut stream, &mut message).is_none() {
                    return;
                }
                received.lock().expect("requests").push(message);
            }
        });
        Self { id: id.to_owned(), address, seen }
    }

    /// Starts a server that writes these bytes, in which `ID` stands for the attempt's id, and resets
    /// the connection.
    pub fn start_resetting(id: &str, text: &str) -> Self {
        let seen: Arc<Mutex<Vec<Message>>> = Arc::default();
        let received = Arc::clone(&seen);
        let text = text.to_owned();
        let address = spawn_server(move |mut stream| {
            let Some(message) = read_head(&mut stream) else {
                return;
            };
            let id = message.field("x-attempt-id").unwrap_or_default().to_owned();
            received.lock().expect("requests").push(message);
            if stream.write_all(text.replace("ID", &id).as_bytes()).is_err() {
                return;
            }
            // Closing a connection with unread bytes, here the request's body, resets it.
            thread::sleep(Duration::from_millis(100));
        });
        Self { id: id.to_owned(), address, seen }
    }

    /// Returns the server with a proxy in front of it.
    pub fn behind(&self, proxy: &Proxy) -> Self {
        Self { address: proxy.address, ..self.clone() }
    }

    /// Returns the requests that it received.
    pub fn seen(&self) -> Vec<Message> {
        self.seen.lock().expect("requests").clone()
    }

    /// Returns its registration for a service.
    fn entry(&self, service: &str) -> Value {
        json!({
            "service": service, "address": self.address.to_string(), "zone": "a",
            "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0, "seq": 1,
            "born": 1,
        })
    }
}

/// Returns a signed response with a body.
pub fn signed_response(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Replica-Signature: s\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Head of a signed streaming response, up to its first chunk.
pub const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Replica-Signature: s\r\n\
    Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Head of a signed streaming response that ends with its connection.
pub const UNFRAMED_HEAD: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Replica-Signature: s\r\n\
    Content-Type: text/event-stream\r\nConnection: close\r\n\r\n";

/// Encodes one chunk of a chunked body.
pub fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// Encodes the event after the last one that a caller states, as a server continues a stream.
pub fn next_event(message: &Message) -> String {
    let last: u64 = message.field("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    chunk(&format!("id: {}\ndata: x\n\n", last + 1))
}

/// A process under test; killed when dropped.
#[derive(Debug)]
pub struct Process {
    program: &'static str,
    child: Child,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    /// The address that the process opens last.
    last_address: SocketAddr,
    settings: PathBuf,
    /// Flags given by `restart_with`.
    flags: Vec<String>,
    _ports: PortLease,
}

/// Settings that turn on evacuations and limits for cold servers.
const LIMIT_SETTINGS: &str = "evac_ms = 5000\ncold_over = 1.5\ncold_slack = 5\n";

static NEXT_FILE: AtomicU64 = AtomicU64::new(0);

impl Process {
    /// Starts a gateway and waits until it is ready.
    pub fn start_gateway(store: &Store) -> Self {
        let process = Self::start_unready(store);
        process.wait_ready(true);
        process
    }

    /// Starts a gateway on a VM with this name and waits until it is ready.
    pub fn start_gateway_on(store: &Store, vm: &str) -> Self {
        let program = env!("CARGO_BIN_EXE_toucanrail-gateway");
        let process = Self::start(program, store.address, vm, None);
        process.wait_ready(true);
        process
    }

    /// Starts a gateway without waiting for it to be ready, such as one that finds no
    /// configuration.
    pub fn start_unready(store: &Store) -> Self {
        Self::start(env!("CARGO_BIN_EXE_toucanrail-gateway"), store.address, "front-1", None)
    }

    /// Starts a gateway with evacuations and limits for cold servers turned on, and waits until it
    /// is ready.
    pub fn start_with_limits(store: &Store) -> Self {
        Self::start_with_settings(store, LIMIT_SETTINGS)
    }

    /// Starts a gateway with more lines of settings, which begin in the table of bounds, and waits
    /// until it is ready.
    pub fn start_with_settings(store: &Store, settings: &str) -> Self {
        let program = env!("CARGO_BIN_EXE_toucanrail-gateway");
        let process = Self::start_with(program, store.address, "front-1", None, settings);
        process.wait_ready(true);
        process
    }

    /// Starts a gateway on a VM whose link carries this many megabits a second, and waits until it
    /// is ready.
    pub fn start_gateway_with_link(store: &Store, vm: &str, megabits: u32) -> Self {
        let program = env!("CARGO_BIN_EXE_toucanrail-gateway");
        let settings = format!("[limits]\nlink_mbps = {megabits}\n");
        let process = Self::start_with(program, store.address, vm, None, &settings);
        process.wait_ready(true);
        process
    }

    /// Starts a relay.
    pub fn start_relay(store: &Store, vm: &str) -> Self {
        Self::start(env!("CARGO_BIN_EXE_toucanrail-relay"), store.relay_address, vm, None)
    }

    /// Starts the relay beside a backend server and waits until it is registered in the store.
    pub fn start_relay_beside(store: &Store, vm: &str, backend: &Backend) -> Self {
        let program = env!("CARGO_BIN_EXE_toucanrail-relay");
        let process = Self::start(program, store.relay_address, vm, Some(backend.address));
        wait_until("the relay", || store.has("relays", vm));
        process
    }

    /// Starts a process and waits until it listens. If it exits first, as when another process has
    /// taken one of its ports, starts another one with other ports.
    fn start(program: &'static str, store: SocketAddr, vm: &str, app: Option<SocketAddr>) -> Self {
        Self::start_with(program, store, vm, app, "")
    }

    fn start_with(
        program: &'static str,
        store: SocketAddr,
        vm: &str,
        app: Option<SocketAddr>,
        extra_bounds: &str,
    ) -> Self {
        loop {
            let mut process = Self::try_start(program, store, vm, app, extra_bounds);
            if process.wait_listening() {
                return process;
            }
        }
    }

    /// Waits until the process listens. Returns false if it exits instead.
    fn wait_listening(&mut self) -> bool {
        let last = self.last_address;
        let mut ended = false;
        wait_until("a listener", || {
            ended = self.child.try_wait().expect("a child").is_some();
            ended || TcpStream::connect(last).is_ok()
        });
        !ended
    }

    fn try_start(
        program: &'static str,
        store: SocketAddr,
        vm: &str,
        app: Option<SocketAddr>,
        extra_bounds: &str,
    ) -> Self {
        let ports = PortLease::take();
        let [callers, readiness, internal] = [0, 1, 2].map(|index| ports.address(index));
        let internal_port = internal.port();
        let app = app.map_or(String::new(), |app| format!("app = \"{app}\"\n"));
        let grace = if extra_bounds.contains("grace_s") { "" } else { "grace_s = 4\n" };
        let text = format!(
            "{app}node = \"{vm}\"\nzone = \"a\"\nip = \"127.0.0.1\"\ninternal_ports = [{internal_port}, {}]\n\
             [listen]\nfront = \"{callers}\"\nreadiness_address = \"{readiness}\"\n\
             [bounds]\n{grace}retry_budget_ratio = 0.2\nbudget_slack = 52\nbudget_window_s = 10\n\
             {extra_bounds}[zones]\na = \"north\"\nb = \"south\"\n\
             [provider]\naddress = \"{store}\"\n",
            internal_port + 9
        );
        let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
        let name = format!("toucanrail-{}-{number}.toml", std::process::id());
        let settings = std::env::temp_dir().join(name);
        std::fs::write(&settings, text).expect("a settings file");
        let child = Self::spawn(program, &settings);
        // A gateway opens its first internal port last; a relay the next one, on which it answers
        // entries.
        let last_port = internal_port + u16::from(program.ends_with("relay"));
        let last_address = SocketAddr::from(([127, 0, 0, 1], last_port));
        Self {
            program,
            child,
            callers,
            readiness,
            last_address,
            settings,
            flags: Vec::new(),
            _ports: ports,
        }
    }

    fn spawn(program: &str, settings: &Path) -> Child {
        Self::make_command(program, settings).spawn().expect("a process")
    }

    fn make_command(program: &str, settings: &Path) -> Command {
        let mut command = Command::new(program);
        command.env("TOUCANRAIL_CONFIG", settings).stdout(Self::log_output(settings));
        command
    }

    /// Returns where a process writes its log: a file named after its settings in the directory
    /// `TOUCANRAIL_TEST_LOGS`, or nowhere.
    fn log_output(settings: &Path) -> Stdio {
        let Some(directory) = std::env::var_os("TOUCANRAIL_TEST_LOGS") else {
            return Stdio::null();
        };
        let name = settings.file_name().expect("a file name");
        let path = Path::new(&directory).join(name).with_extension("log");
        let file = std::fs::File::options().create(true).append(true).open(path);
        file.expect("a log file").into()
    }

    /// Returns the internal address of a gateway.
    pub fn internal(&self) -> SocketAddr {
        self.last_address
    }

    /// Returns whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_none()
    }

    /// Kills the process. It may have exited already, as after SIGTERM.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Kills the process and starts it again with the same settings and flags.
    pub fn restart(&mut self) {
        self.kill();
        let mut command = Self::make_command(self.program, &self.settings);
        self.child = command.args(&self.flags).spawn().expect("a process");
    }

    /// Kills the process and starts it again with these flags, which later restarts keep.
    pub fn restart_with(&mut self, flags: &[&str]) {
        self.flags = flags.iter().map(|flag| (*flag).to_owned()).collect();
        self.restart();
    }

    /// Sends a signal, given by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([&format!("-{name}"), &pid]).status();
        assert!(sent.expect("kill").success());
    }

    /// Returns the largest amount of memory that the process has used so far, in megabytes.
    pub fn peak_memory_mb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the process's status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
        let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().expect("a number");
        kilobytes / 1_024
    }

    /// Waits until the process has exited. Returns whether it exited successfully.
    pub fn wait_end(&mut self) -> bool {
        let mut status = None;
        wait_until("the end of the process", || {
            status = self.child.try_wait().expect("a child");
            status.is_some()
        });
        status.is_some_and(|status| status.success())
    }

    /// Waits until the process reports that it is ready, or that it is not.
    pub fn wait_ready(&self, ready: bool) {
        wait_until("readiness", || {
            let response = call(self.readiness, "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n");
            response.is_some_and(|response| (response.status() == 200) == ready)
        });
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        std::fs::remove_file(&self.settings).ok();
    }
}

/// Waits until a condition holds; `what` describes it in the failure message.
pub fn wait_until<Condition>(what: &str, mut condition: Condition)
where
    Condition: FnMut() -> bool,
{
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "no {what} in {TIMEOUT:?}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Sends a request and reads one response with a `Content-Length`.
pub fn call(address: SocketAddr, bytes: &str) -> Option<Message> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    stream.write_all(bytes.as_bytes()).ok()?;
    read_message(&mut stream)
}

/// Sends a request and reads everything until the connection ends.
pub fn call_raw(address: SocketAddr, bytes: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
    stream.write_all(bytes.as_bytes()).expect("to write");
    let mut response = Vec::new();
    // A reset also ends the connection; the bytes received before it count.
    stream.read_to_end(&mut response).ok();
    String::from_utf8_lossy(&response).into_owned()
}

/// Like [`call_raw`], but returns `None` if the connection fails or nothing is received.
pub fn try_raw(address: SocketAddr, bytes: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(8))).ok()?;
    stream.write_all(bytes.as_bytes()).ok()?;
    let mut response = Vec::new();
    // A reset also ends the connection; the bytes received before it count.
    stream.read_to_end(&mut response).ok();
    Some(String::from_utf8_lossy(&response).into_owned()).filter(|text| !text.is_empty())
}

/// Builds a caller's request.
pub fn request(method: &str, path: &str, id: &str, headers: &str, body: &str) -> String {
    let length =
        if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Timeout-Ms: 8000\r\n\
         Authorization: Bearer {KEY}\r\n{headers}{length}\r\n{body}"
    )
}

/// Header fields of a request for a model.
pub const PROMPT_HEADERS: &str =
    "X-Model: m\r\nX-Token-Usage: 100,60\r\nX-Prefix-Hash: a:60,b:40\r\n";

/// Writes a configuration with plain routes `/once/` and `/safe/` and streaming routes `/stream/`
/// and `/resume/`.
pub fn configure(store: &Store, version: u64, backends: &[&Backend]) {
    configure_prepaid(store, version, backends, 1_000);
}

/// Like [`configure`], with another prepaid total of the customer.
pub fn configure_prepaid(store: &Store, version: u64, backends: &[&Backend], total: u64) {
    configure_all(store, version, backends, total, None);
}

/// Writes a server's registration with a data centre and the remaining time for which it is cold.
pub fn register(store: &Store, backend: &Backend, data_centre: &str, cold_ms: u64) {
    let mut entry = backend.entry("desk");
    entry["zone"] = json!(data_centre);
    entry["cold_remaining_ms"] = json!(cold_ms);
    store.put("servers", &backend.id, entry);
}

/// Registers relays that have left with their VMs and rank before all `living` ones for a purpose.
pub fn register_departed_first(store: &Store, living: &[&str], purpose: &str, count: usize) {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let names = (0..4_000).map(|number| format!("gone-{number}"));
    let names = names.chain(living.iter().map(|name| (*name).to_owned()));
    let relays: Vec<_> = names.map(|name| (Arc::from(name), address)).collect();
    let ranked = loans::rank_lenders(&relays, purpose).into_iter().map(|(name, _)| name);
    let departed: Vec<Arc<str>> =
        ranked.take_while(|name| !living.contains(&&**name)).take(count).collect();
    assert_eq!(departed.len(), count);
    for name in &departed {
        register_departed(store, name);
    }
}

/// Registers a relay that has left with its VM: nothing listens at its address.
pub fn register_departed(store: &Store, vm: &str) {
    let entry = json!({
        "address": "127.0.0.1:1", "lending": "127.0.0.1:1", "data_centre": "a", "region": "",
    });
    store.put("relays", vm, entry);
}

/// Writes a server's registration with a software version.
pub fn register_version(store: &Store, backend: &Backend, version: &str) {
    let mut entry = backend.entry("desk");
    entry["version"] = json!(version);
    store.put("servers", &backend.id, entry);
}

/// Changes one field of all routes, customers or services in the current configuration.
pub fn configure_field(store: &Store, version: u64, table: &str, field: &str, value: &Value) {
    let mut config = current_config(store);
    config["version"] = json!(version);
    for row in config[table].as_array_mut().expect("a table") {
        row[field] = value.clone();
    }
    store.put("config", "main", config);
}

/// Returns the current configuration.
pub fn current_config(store: &Store) -> Value {
    store.get("config", "main").expect("a configuration")
}

/// Like [`configure`], with one more plain route, `/NAME/`.
pub fn configure_extra_route(store: &Store, version: u64, backends: &[&Backend], name: &str) {
    configure_all(store, version, backends, 1_000, Some(name));
}

fn configure_all(
    store: &Store,
    version: u64,
    backends: &[&Backend],
    total: u64,
    extra: Option<&str>,
) {
    let route = |name: &str, kind: &str, resumable: bool, attempts: u32| {
        json!({
            "name": name, "hostname": "shop.example", "path_prefix": format!("/{name}/"),
            "route_type": kind, "timeout_ms": 6000, "goal_ms": 200, "priority": 1,
            "service": "desk", "max_attempts": attempts, "public": false,
            "session_affinity": false, "resumable": resumable, "gap_aim_ms": 600,
        })
    };
    let mut routes = vec![
        route("once", "unsafe", false, 2),
        route("safe", "safe", false, 2),
        route("stream", "streaming", false, 2),
        route("resume", "streaming", true, 2),
    ];
    routes.extend(extra.map(|name| route(name, "safe", false, 2)));
    let config = json!({
        "version": version,
        "routes": routes,
        "services": [{"name": "desk", "health_path": "/healthz", "max_connections": 90,
            "engine": {"slots": 8, "kv_tokens": 9000, "stride": 6}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 100_000,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "acme", "api_keys": [KEY], "prepaid": total}],
    });
    store.put("config", "main", config);
    for backend in backends {
        store.put("servers", &backend.id, backend.entry("desk"));
    }
}
