//! A fleet for tests. Entries and agents run as separate processes; the platform and the backend
//! servers are stand-ins inside the test process, so that tests can read what they recorded.

// Each test file uses only some of these helpers.
#![allow(dead_code)]
// Helpers are methods of `Fleet` and async throughout, also where they do not need it.
#![allow(clippy::unused_self, clippy::unused_async)]

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use smol::net::TcpStream;
use toucanrail::budgets::BudgetAccount;
use toucanrail_daemons::demos;
use toucanrail_daemons::operators::{self, OperatorError, OperatorTools};
use toucanrail_standins::engines::{self, EngineSpeed, EngineStandin};
use toucanrail_standins::plains::{self, PlainStandin};
use toucanrail_standins::platforms::{self, PlatformStandin};
use toucanrail_standins::texts;
use toucanrail_wire::clients::{ClientLimits, CompleteResponse, ConnectionPool, OutboundRequest};

/// The bearer key of the customer `acme`.
pub const KEY: &str = "demo-key";
/// Maximum wait for any condition. Generous, since reaching it fails the test.
pub const TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A process of the fleet; killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    pub address: SocketAddr,
    pub internal: Option<SocketAddr>,
}

impl Process {
    fn start(program: &str, args: &[(&str, String)]) -> Self {
        let mut child = Command::new(program)
            .args(args.iter().map(|(name, value)| format!("--{name}={value}")))
            .env("RUST_LOG", "warn")
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let stdout = child.stdout.take().unwrap();
        BufReader::new(stdout).read_line(&mut line).unwrap();
        let words: Vec<&str> = line.split_whitespace().collect();
        Self {
            child,
            address: words[2].parse().unwrap(),
            internal: words.get(4).map(|word| word.parse().unwrap()),
        }
    }

    /// Sends a signal by name, like `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([&format!("-{name}"), &pid]).status();
        assert!(sent.unwrap().success());
    }

    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits until the process exits by itself; true if it succeeded.
    pub async fn wait_exit(&mut self) -> bool {
        let start = Instant::now();
        while start.elapsed() < TIMEOUT {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// The platform stand-in, the operator's tools and a caller's connections.
#[derive(Debug)]
pub struct Fleet {
    pub platform: PlatformStandin,
    pub store: SocketAddr,
    pub tools: OperatorTools,
    pub pool: ConnectionPool,
    /// Secret of the fleet. Each fleet has its own, since fleets of tests that run in parallel may reuse
    /// one another's ports.
    key: String,
}

impl Fleet {
    /// Starts the platform with the demo's catalogue and the given opening budget.
    pub async fn start(budget: u64) -> Self {
        let (platform, store) = platforms::start("127.0.0.1:0", Duration::ZERO).unwrap();
        let key = format!("fleet-{:016x}", fastrand::u64(..));
        let mut tools = demos::operator_tools(store);
        tools.fleet_key.clone_from(&key);
        let pool = ConnectionPool::new(ClientLimits::default());
        let fleet = Self { platform, store, tools, pool, key };
        let digest = toucanrail::paths::hash_text(KEY);
        let text = demos::CATALOGUE.replace("DIGEST", &digest);
        let text = text.replace("opening-budget = 100000", &format!("opening-budget = {budget}"));
        fleet.apply(&text).await.unwrap();
        fleet
    }

    pub async fn apply(&self, text: &str) -> Result<String, OperatorError> {
        let path = std::env::temp_dir().join(format!("toucanrail-{:016x}.toml", fastrand::u64(..)));
        std::fs::write(&path, text).unwrap();
        let result = self.run_command(&["apply", path.to_str().unwrap()]).await;
        std::fs::remove_file(&path).unwrap();
        result
    }

    pub async fn run_command(&self, args: &[&str]) -> Result<String, OperatorError> {
        let args: Vec<String> = args.iter().map(ToString::to_string).collect();
        operators::run_command(&self.tools, &args).await
    }

    fn args(&self, name: &str) -> Vec<(&'static str, String)> {
        vec![
            ("name", name.to_owned()),
            ("listen", "127.0.0.1:0".to_owned()),
            ("store", self.store.to_string()),
            ("fleet-key", self.key.clone()),
        ]
    }

    /// Starts a fleet with one model engine, its agent and an entry, and waits until the entry can use the
    /// engine.
    pub async fn start_with_engine(budget: u64) -> (Self, EngineStandin, Process, Process) {
        let fleet = Self::start(budget).await;
        let (engine, backend) = fleet.start_engine();
        let agent = fleet.start_agent("agent-1", "levy-llm", backend);
        let entry = fleet.start_entry("entry-1", &[]);
        fleet.wait_servers(&entry, 1).await;
        (fleet, engine, agent, entry)
    }

    /// The same with one plain service.
    pub async fn start_with_plain(budget: u64) -> (Self, PlainStandin, Process, Process) {
        let fleet = Self::start(budget).await;
        let (plain, backend) = fleet.start_plain();
        let agent = fleet.start_agent("agent-1", "filing-app", backend);
        let entry = fleet.start_entry("entry-1", &[]);
        fleet.wait_servers(&entry, 1).await;
        (fleet, plain, agent, entry)
    }

    pub fn start_entry(&self, name: &str, extra: &[(&'static str, &str)]) -> Process {
        let mut args = self.args(name);
        args.extend(extra.iter().map(|(name, value)| (*name, (*value).to_owned())));
        Process::start(env!("CARGO_BIN_EXE_toucanrail-entry"), &args)
    }

    pub fn start_agent(&self, name: &str, service: &str, backend: SocketAddr) -> Process {
        self.start_agent_at(name, service, backend, SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Starts an agent that listens at a given address, for example to replace another one.
    pub fn start_agent_at(
        &self,
        name: &str,
        service: &str,
        backend: SocketAddr,
        address: SocketAddr,
    ) -> Process {
        let mut args = self.args(name);
        args.push(("listen", address.to_string()));
        args.push(("service", service.to_owned()));
        args.push(("backend", backend.to_string()));
        if service == "filing-app" {
            args.push(("probe-path", "/health".to_owned()));
        }
        Process::start(env!("CARGO_BIN_EXE_toucanrail-agent"), &args)
    }

    pub fn start_engine(&self) -> (EngineStandin, SocketAddr) {
        engines::start("127.0.0.1:0", EngineSpeed::default(), false).unwrap()
    }

    pub fn start_plain(&self) -> (PlainStandin, SocketAddr) {
        plains::start("127.0.0.1:0").unwrap()
    }

    /// Waits until an entry can use at least `count` backend servers.
    pub async fn wait_servers(&self, entry: &Process, count: usize) {
        self.wait("backend servers", async || {
            let state = self.state(entry).await;
            let rows = state["servers"]["rows"].as_object().cloned().unwrap_or_default();
            let ready = |row: &Value| row["heard_at"].is_object() && row["leaving"] == json!(false);
            rows.values().filter(|row| ready(row)).count() >= count
        })
        .await;
    }

    pub async fn state(&self, process: &Process) -> Value {
        let address = process.internal.unwrap_or(process.address);
        let response = self.pool.fetch(address, OutboundRequest::get("/state"), TIMEOUT).await;
        response.map_or(Value::Null, |response| serde_json::from_slice(&response.body).unwrap())
    }

    /// Waits until a condition holds.
    pub async fn wait(&self, what: &str, mut holds: impl AsyncFnMut() -> bool) {
        let start = Instant::now();
        while !holds().await {
            assert!(start.elapsed() < TIMEOUT, "timed out waiting for {what}");
            smol::Timer::after(POLL_INTERVAL).await;
        }
    }

    pub fn chat_request(&self, prompt: &str, tokens: u64) -> OutboundRequest {
        let body = json!({
            "model": "levy-llm", "stream": true, "max_tokens": 200, "standin_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}],
        });
        authorized("/v1/chat/completions", &body)
    }

    pub async fn fetch(
        &self,
        process: &Process,
        request: OutboundRequest,
    ) -> std::io::Result<CompleteResponse> {
        self.pool.fetch(process.address, request, TIMEOUT).await
    }

    pub async fn account(&self) -> BudgetAccount {
        let shard = self.platform.read_object("budgets/shard-0").unwrap();
        let shard: toucanrail::budgets::BudgetShard = serde_json::from_slice(&shard).unwrap();
        shard.accounts[&Arc::from("acme")].clone()
    }

    /// Checks that no request is billed twice.
    pub async fn check_single_bills(&mut self) {
        self.tools.json = true;
        self.tools.last = usize::MAX;
        let bills = self.run_command(&["bills"]).await.unwrap();
        let rows: Vec<Value> = serde_json::from_str(&bills).unwrap();
        let mut billed = std::collections::BTreeSet::new();
        for row in rows.iter().filter(|row| row["billed"] != json!(0)) {
            let request = row["request"].as_str().unwrap();
            assert!(billed.insert(request), "{request} has two bills");
        }
    }

    /// Waits until all usage recorded by the engines is billed, written off or frozen; returns the account.
    pub async fn wait_billed(&self, spent: impl Fn() -> u64) -> BudgetAccount {
        self.wait("the bills", async || {
            let account = self.account().await;
            account.billed + account.written_off + account.frozen.values().sum::<u64>() >= spent()
        })
        .await;
        self.account().await
    }
}

/// Creates a request with the key of `acme`.
pub fn authorized(path: &str, body: &Value) -> OutboundRequest {
    OutboundRequest::post(path, body.to_string().into_bytes())
        .field("content-type", "application/json")
        .field("authorization", format!("Bearer {KEY}"))
}

/// Returns the text of a stream's events, and whether the stream is complete.
pub fn stream_text(body: &[u8]) -> (String, bool) {
    let text = String::from_utf8_lossy(body);
    let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let bodies = events.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    let contents = bodies
        .filter_map(|body| body["choices"][0]["delta"]["content"].as_str().map(str::to_owned));
    (contents.collect(), text.ends_with("data: [DONE]\n\n"))
}

/// Returns the text with which an engine responds to a prompt.
pub fn expected_text(prompt: &str, tokens: u64) -> String {
    texts::generated_text(prompt, 0, tokens)
}

/// Returns the result code of a response.
pub fn result_code(response: &CompleteResponse) -> u16 {
    response.field("toucanrail-result").unwrap().parse().unwrap()
}

/// Opens a connection for writing raw bytes.
pub async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.unwrap()
}
