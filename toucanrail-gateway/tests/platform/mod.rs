//! The users' platform for tests: a store, backend servers and callers written by hand, byte by byte,
//! so that they do not share the adapter's idea of the wire; gateway and relay are real processes.

// Each test file uses its own part of this.
#![allow(dead_code)]

pub mod proxies;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use self::proxies::Proxy;
use serde_json::{Value, json};

/// Longest wait for anything that a test waits for; a failure, not a pace.
const BOUND: Duration = Duration::from_secs(20);
const STEP: Duration = Duration::from_millis(10);
/// The key of the customer `acme`.
pub const KEY: &str = "acme-key";

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Ports of one test program, and the first of all: below those that the kernel gives to connections,
/// which took one now and then between its choice and its use.
const PORT_COUNT: u16 = 100;
const PORT_BASE: u16 = 10_000;
/// Test programs that get different ports.
const PORT_BLOCKS: u32 = 200;

/// Ports of one process towards the others, which follow one another.
const INNER_PORTS: u16 = 3;

/// Returns the first of some ports in a row that nobody listens on.
fn free_ports(count: u16) -> u16 {
    loop {
        let base = PORT_BASE + (std::process::id() % PORT_BLOCKS) as u16 * PORT_COUNT;
        let port = base + NEXT_PORT.fetch_add(count, Ordering::Relaxed) % (PORT_COUNT - count);
        let free = |port| TcpListener::bind(("127.0.0.1", port)).is_ok();
        if (port..port + count).all(free) {
            return port;
        }
    }
}

fn spawn_server<Handler>(handler: Handler) -> SocketAddr
where
    Handler: Fn(TcpStream) + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
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

/// One message as it came.
#[derive(Debug, Clone)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().skip(1).filter_map(|line| line.split_once(": "));
        lines
            .into_iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    pub fn target(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// Reads a message with a stated length or without a body.
fn read_message(stream: &mut TcpStream) -> Option<Message> {
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

#[derive(Debug, Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, Value)>,
    events: Vec<(u64, String, Value)>,
    /// The history up to this revision is gone.
    forgotten: u64,
}

/// The platform's store.
#[derive(Debug, Clone)]
pub struct Store {
    state: Arc<Mutex<StoreState>>,
    /// Where gateways reach it; can be cut.
    pub address: SocketAddr,
    /// Where relays reach it.
    pub inner: SocketAddr,
    cut: Arc<AtomicBool>,
    blocked: Arc<Mutex<BTreeSet<String>>>,
    watches: Arc<AtomicU64>,
}

impl Store {
    pub fn start() -> Self {
        let state: Arc<Mutex<StoreState>> = Arc::default();
        let cut = Arc::new(AtomicBool::new(false));
        let blocked: Arc<Mutex<BTreeSet<String>>> = Arc::default();
        let watches: Arc<AtomicU64> = Arc::default();
        let serve = |cut: Option<Arc<AtomicBool>>| {
            let state = Arc::clone(&state);
            let blocked = Arc::clone(&blocked);
            let watches = Arc::clone(&watches);
            spawn_server(move |mut stream| {
                while let Some(message) = read_message(&mut stream) {
                    if cut.as_ref().is_some_and(|cut| cut.load(Ordering::Relaxed)) {
                        return;
                    }
                    while blocked.lock().expect("blocked kinds").contains(kind_of(&message)) {
                        thread::sleep(STEP);
                    }
                    if cut.is_some() && message.target().contains("watch=") {
                        watches.fetch_add(1, Ordering::Relaxed);
                    }
                    let (status, body) = answer_store(&state, &message);
                    let body = body.to_string();
                    let head =
                        format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n\r\n", body.len());
                    if stream.write_all((head + &body).as_bytes()).is_err() {
                        return;
                    }
                }
            })
        };
        let address = serve(Some(Arc::clone(&cut)));
        let inner = serve(None);
        Self { state, address, inner, cut, blocked, watches }
    }

    /// Returns the store as it is reached through proxies, by gateways and by relays.
    pub fn behind(&self, gateways: &Proxy, relays: &Proxy) -> Self {
        Self { address: gateways.address, inner: relays.address, ..self.clone() }
    }

    /// Keeps calls for one kind waiting, or lets them go on.
    pub fn set_blocked(&self, kind: &str, hold: bool) {
        let mut blocked = self.blocked.lock().expect("blocked kinds");
        if hold {
            blocked.insert(kind.to_owned());
        } else {
            blocked.remove(kind);
        }
    }

    /// Cuts the gateways off, or heals the cut.
    pub fn set_cut_off(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }

    /// Writes an object as the operator or a server does.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        let mut state = self.state.lock().expect("the store");
        write(&mut state, kind, name, spec);
    }

    /// Writes an object and forgets all history with it: no watch sees the change.
    pub fn put_without_event(&self, kind: &str, name: &str, spec: Value) {
        let mut state = self.state.lock().expect("the store");
        write(&mut state, kind, name, spec);
        state.events.clear();
        state.forgotten = state.revision;
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

    /// Returns how often gateways themselves began to watch.
    pub fn watch_count(&self) -> u64 {
        self.watches.load(Ordering::Relaxed)
    }

    /// Returns an object's value.
    pub fn get(&self, kind: &str, name: &str) -> Option<Value> {
        let state = self.state.lock().expect("the store");
        state.objects.get(&(kind.to_owned(), name.to_owned())).map(|(_, spec)| spec.clone())
    }

    /// Tells whether an object exists.
    pub fn has(&self, kind: &str, name: &str) -> bool {
        let state = self.state.lock().expect("the store");
        state.objects.contains_key(&(kind.to_owned(), name.to_owned()))
    }

    /// Returns what a customer was billed.
    pub fn billed(&self, customer: &str) -> u64 {
        self.account(customer)["billed"].as_u64().unwrap_or(0)
    }

    /// Returns what stands granted of a customer's budget, by holder.
    pub fn granted(&self, customer: &str) -> BTreeMap<String, u64> {
        let account = self.account(customer);
        let grants = account["grants"].as_object().cloned().unwrap_or_default();
        let rows = grants.into_iter().map(|(holder, row)| (holder, row.as_u64().unwrap_or(0)));
        rows.filter(|(_, granted)| *granted > 0).collect()
    }

    fn account(&self, customer: &str) -> Value {
        let state = self.state.lock().expect("the store");
        let shards = state.objects.iter().filter(|((kind, _), _)| kind == "budgets");
        let mut accounts = shards.map(|(_, (_, spec))| spec["accounts"][customer].clone());
        accounts.find(|account| !account.is_null()).unwrap_or(Value::Null)
    }
}

fn kind_of(message: &Message) -> &str {
    let path = message.target().trim_start_matches("/api/objects/");
    path.split(['/', '?']).next().unwrap_or_default()
}

fn object(name: &str, revision: u64, spec: &Value) -> Value {
    json!({"metadata": {"name": name, "revision": revision, "deleting": false}, "spec": spec})
}

fn write(state: &mut StoreState, kind: &str, name: &str, spec: Value) -> Value {
    state.revision += 1;
    let revision = state.revision;
    let written = object(name, revision, &spec);
    let event = json!({"removed": false, "object": written});
    state.events.push((revision, kind.to_owned(), event));
    state.objects.insert((kind.to_owned(), name.to_owned()), (revision, spec));
    written
}

fn answer_store(state: &Mutex<StoreState>, message: &Message) -> (u16, Value) {
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
            let items = state.objects.iter().filter(|((known, _), _)| known == kind);
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

fn watch(state: &Mutex<StoreState>, kind: &str, after: u64, wait: u64) -> (u16, Value) {
    let start = Instant::now();
    loop {
        let state = state.lock().expect("the store");
        if after < state.forgotten {
            return (410, Value::Null);
        }
        let new =
            state.events.iter().filter(|(revision, known, _)| *revision > after && known == kind);
        let events: Vec<Value> = new.map(|(_, _, event)| event.clone()).collect();
        if !events.is_empty() || start.elapsed() > Duration::from_millis(wait) {
            return (200, json!({"events": events, "store_revision": state.revision}));
        }
        drop(state);
        thread::sleep(STEP);
    }
}

/// What a backend server does with a request.
#[derive(Debug, Clone)]
pub enum Action {
    /// Writes these bytes, in which `ID` stands for the attempt's id, then waits for the next.
    Respond(String),
    /// Writes these bytes and resets or closes the connection.
    Disconnect(String),
}

/// A backend server.
#[derive(Debug, Clone)]
pub struct Backend {
    pub id: String,
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<Message>>>,
}

impl Backend {
    /// Starts one that does what `script` says of each request it gets, by its number from 0.
    pub fn start<Script>(id: &str, script: Script) -> Self
    where
        Script: Fn(usize, &Message) -> Action + Send + Sync + 'static,
    {
        let seen: Arc<Mutex<Vec<Message>>> = Arc::default();
        let known = Arc::clone(&seen);
        let address = spawn_server(move |mut stream| {
            while let Some(message) = read_message(&mut stream) {
                let number = {
                    let mut known = known.lock().expect("requests");
                    known.push(message.clone());
                    known.len() - 1
                };
                let id = message.field("x-attempt-id").unwrap_or_default().to_owned();
                let (text, breaks) = match script(number, &message) {
                    Action::Respond(text) => (text, false),
                    Action::Disconnect(text) => (text, true),
                };
                for part in text.replace("ID", &id).split("PAUSE") {
                    if stream.write_all(part.as_bytes()).is_err() {
                        return;
                    }
                    thread::sleep(Duration::from_millis(30));
                }
                if breaks {
                    return;
                }
            }
        });
        Self { id: id.to_owned(), address, seen }
    }

    /// Starts one that answers as soon as it has a request's head, and reads its body later.
    pub fn start_early_responder(id: &str) -> Self {
        let seen: Arc<Mutex<Vec<Message>>> = Arc::default();
        let known = Arc::clone(&seen);
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
                known.lock().expect("requests").push(message);
            }
        });
        Self { id: id.to_owned(), address, seen }
    }

    /// Returns the server as it is reached through a proxy.
    pub fn behind(&self, proxy: &Proxy) -> Self {
        Self { address: proxy.address, ..self.clone() }
    }

    /// Returns the requests it got.
    pub fn seen(&self) -> Vec<Message> {
        self.seen.lock().expect("requests").clone()
    }

    fn entry(&self, service: &str) -> Value {
        json!({
            "service": service, "address": self.address.to_string(), "zone": "a",
            "version": "v1", "slots": 8, "state": "ready", "seq": 1, "born": 1,
        })
    }
}

/// An answer with a body, signed.
pub fn signed_response(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Replica-Signature: s\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The start of a stream, signed, up to its first chunk.
pub const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Replica-Signature: s\r\n\
    Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// One chunk.
pub fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// A process under test; killed when dropped.
#[derive(Debug)]
pub struct Process {
    program: &'static str,
    child: Child,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    /// The address that it opens last.
    last_address: SocketAddr,
    settings: PathBuf,
}

/// Bounds of settings where data centres are emptied and cold servers spared.
const PLACE_BOUNDS: &str = "evac_ms = 5000\ncold_over = 1.5\ncold_slack = 5\n";

static NEXT_FILE: AtomicU64 = AtomicU64::new(0);

impl Process {
    /// Starts a gateway and waits until it is ready.
    pub fn start_gateway(store: &Store) -> Self {
        let process = Self::start_unready(store);
        process.wait_ready(true);
        process
    }

    /// Starts a gateway on a VM of this name and waits until it is ready.
    pub fn start_gateway_on(store: &Store, vm: &str) -> Self {
        let program = env!("CARGO_BIN_EXE_toucanrail-gateway");
        let process = Self::start(program, store.address, vm, None);
        process.wait_ready(true);
        process
    }

    /// Starts a gateway that finds no configuration.
    pub fn start_unready(store: &Store) -> Self {
        Self::start(env!("CARGO_BIN_EXE_toucanrail-gateway"), store.address, "front-1", None)
    }

    /// Starts a gateway where data centres are emptied and cold servers spared, and waits until it is ready.
    pub fn start_with_limits(store: &Store) -> Self {
        let program = env!("CARGO_BIN_EXE_toucanrail-gateway");
        let process = Self::start_with(program, store.address, "front-1", None, PLACE_BOUNDS);
        process.wait_ready(true);
        process
    }

    /// Starts a relay.
    pub fn start_relay(store: &Store, vm: &str) -> Self {
        Self::start(env!("CARGO_BIN_EXE_toucanrail-relay"), store.inner, vm, None)
    }

    /// Starts the relay beside a backend server and waits until the store knows it.
    pub fn start_relay_beside(store: &Store, vm: &str, backend: &Backend) -> Self {
        let program = env!("CARGO_BIN_EXE_toucanrail-relay");
        let process = Self::start(program, store.inner, vm, Some(backend.address));
        wait_until("the relay", || store.has("relays", vm));
        process
    }

    /// Starts a process and waits until it listens; another one with other ports where it ended first,
    /// as when a port was taken meanwhile.
    fn start(program: &'static str, store: SocketAddr, vm: &str, app: Option<SocketAddr>) -> Self {
        Self::start_with(program, store, vm, app, "")
    }

    fn start_with(
        program: &'static str,
        store: SocketAddr,
        vm: &str,
        app: Option<SocketAddr>,
        bounds: &str,
    ) -> Self {
        loop {
            let mut process = Self::try_start(program, store, vm, app, bounds);
            if process.listens() {
                return process;
            }
        }
    }

    /// Tells whether the process came to listen; false if it ended.
    fn listens(&mut self) -> bool {
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
        bounds: &str,
    ) -> Self {
        let port = || SocketAddr::from(([127, 0, 0, 1], free_ports(1)));
        let (callers, readiness, inner) = (port(), port(), free_ports(INNER_PORTS));
        let app = app.map_or(String::new(), |app| format!("app = \"{app}\"\n"));
        let text = format!(
            "{app}node = \"{vm}\"\nzone = \"a\"\nip = \"127.0.0.1\"\ninternal_ports = [{inner}, {}]\n\
             [listen]\nfront = \"{callers}\"\nreadiness_address = \"{readiness}\"\n\
             [bounds]\ngrace_s = 4\nretry_budget_ratio = 0.2\nbudget_slack = 52\nbudget_window_s = 10\n\
             {bounds}[zones]\na = \"north\"\nb = \"south\"\n\
             [provider]\naddress = \"{store}\"\n",
            inner + 9
        );
        let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
        let name = format!("toucanrail-{}-{number}.toml", std::process::id());
        let settings = std::env::temp_dir().join(name);
        std::fs::write(&settings, text).expect("a settings file");
        let child = Self::spawn(program, &settings);
        // A gateway opens its inner address last, a relay that for loans, one port behind.
        let last = inner + u16::from(program.ends_with("relay"));
        let last_address = SocketAddr::from(([127, 0, 0, 1], last));
        Self { program, child, callers, readiness, last_address, settings }
    }

    fn spawn(program: &str, settings: &PathBuf) -> Child {
        let mut command = Command::new(program);
        let command = command.env("TOUCANRAIL_CONFIG", settings).stdout(Stdio::null());
        command.spawn().expect("a process")
    }

    /// Kills the process and starts it again with the same settings.
    pub fn restart(&mut self) {
        // It may have ended by itself, as after SIGTERM.
        self.child.kill().ok();
        self.child.wait().ok();
        self.child = Self::spawn(self.program, &self.settings);
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([&format!("-{name}"), &pid]).status();
        assert!(sent.expect("kill").success());
    }

    /// Waits until the process has ended, and tells whether it ended well.
    pub fn wait_end(&mut self) -> bool {
        let mut status = None;
        wait_until("the end of the process", || {
            status = self.child.try_wait().expect("a child");
            status.is_some()
        });
        status.is_some_and(|status| status.success())
    }

    /// Waits until the process says that it is ready, or that it is not.
    pub fn wait_ready(&self, ready: bool) {
        wait_until("readiness", || {
            let asked = call(self.readiness, "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n");
            asked.is_some_and(|answer| (answer.status() == 200) == ready)
        });
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both may be gone already.
        self.child.kill().ok();
        self.child.wait().ok();
        std::fs::remove_file(&self.settings).ok();
    }
}

/// Waits until something holds.
pub fn wait_until<Condition>(what: &str, mut condition: Condition)
where
    Condition: FnMut() -> bool,
{
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < BOUND, "no {what} in {BOUND:?}");
        thread::sleep(STEP);
    }
}

/// Sends bytes and reads one answer with a stated length.
pub fn call(address: SocketAddr, bytes: &str) -> Option<Message> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(BOUND)).ok()?;
    stream.write_all(bytes.as_bytes()).ok()?;
    read_message(&mut stream)
}

/// Sends bytes and reads all that comes until the connection ends.
pub fn call_raw(address: SocketAddr, bytes: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(BOUND)).expect("a timeout");
    stream.write_all(bytes.as_bytes()).expect("to write");
    let mut answer = Vec::new();
    // A reset is an end as well; what came before it counts.
    stream.read_to_end(&mut answer).ok();
    String::from_utf8_lossy(&answer).into_owned()
}

/// Like [`call_raw`], but none where no connection is to be had or nothing came.
pub fn try_raw(address: SocketAddr, bytes: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(8))).ok()?;
    stream.write_all(bytes.as_bytes()).ok()?;
    let mut answer = Vec::new();
    // A reset is an end as well; what came before it counts.
    stream.read_to_end(&mut answer).ok();
    Some(String::from_utf8_lossy(&answer).into_owned()).filter(|text| !text.is_empty())
}

/// A caller's request.
pub fn request(method: &str, path: &str, id: &str, more: &str, body: &str) -> String {
    let length =
        if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Timeout-Ms: 8000\r\n\
         Authorization: Bearer {KEY}\r\n{more}{length}\r\n{body}"
    )
}

/// Fields of a request for a model.
pub const PROMPT_HEADERS: &str =
    "X-Model: m\r\nX-Token-Usage: 100,60\r\nX-Prefix-Hash: a:60,b:40\r\n";

/// Writes the configuration: plain routes `/once/` and `/safe/`, streams `/stream/` and `/resume/`.
pub fn configure(store: &Store, version: u64, backends: &[&Backend]) {
    configure_prepaid(store, version, backends, 1_000);
}

/// Writes the same with another total of the customer.
pub fn configure_prepaid(store: &Store, version: u64, backends: &[&Backend], total: u64) {
    configure_all(store, version, backends, total, None);
}

/// Writes a server's registration anew, in a data centre and with the time for which it is cold.
pub fn register(store: &Store, backend: &Backend, data_centre: &str, cold_ms: u64) {
    let mut entry = backend.entry("desk");
    entry["zone"] = json!(data_centre);
    entry["cold_remaining_ms"] = json!(cold_ms);
    store.put("servers", &backend.id, entry);
}

/// Writes the configuration with another value of one field of all routes, customers or services.
pub fn configure_field(store: &Store, version: u64, table: &str, field: &str, value: &Value) {
    let mut config = current_config(store);
    config["version"] = json!(version);
    for row in config[table].as_array_mut().expect("a table") {
        row[field] = value.clone();
    }
    store.put("config", "main", config);
}

/// Returns the configuration as last written.
pub fn current_config(store: &Store) -> Value {
    store.get("config", "main").expect("a configuration")
}

/// Writes the same with one more plain route, `/NAME/`.
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
