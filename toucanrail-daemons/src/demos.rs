//! Runs the whole request path in one process on loopback: stand-ins for the platform and the
//! backend servers, agents and an entry. Shows a streamed response, its bill and the steps of its request.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use toucanrail::settings::{self, StartAction};
use toucanrail_standins::engines::{self, EngineSpeed};
use toucanrail_standins::{plains, platforms};
use toucanrail_wire::clients::{ClientLimits, ConnectionPool, OutboundRequest};

use crate::agents::{self, AgentSettings};
use crate::entries;
use crate::operators::{self, OperatorTools};
use crate::starting;
use crate::state::{self, EntrySettings};

const FLEET_KEY: &str = "demo-fleet";
const CALLER_KEY: &str = "demo-key";
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_POLLS: u32 = 500;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Catalogue of the demo. `DIGEST` stands for the digest of the customer's key, `demo-key`.
pub const CATALOGUE: &str = r#"
[[service]]
name = "levy-llm"
owner = "demo"
kind = "engine"
model = "levy-llm"
max-output = 256
least-bytes-per-token = 4
resumes = true
honours-fencing = true

[[service]]
name = "filing-app"
owner = "demo"
kind = "plain"
route = "/filing"
price = 5
not-repeatable = ["POST /returns"]

[[customer]]
name = "acme"
owner = "demo"
class = "standard"
key-digests = ["DIGEST"]
opening-budget = 100000
"#;

/// Addresses of a fleet that runs in this process.
#[derive(Debug)]
pub struct DemoFleet {
    /// Address of the platform's object API.
    pub store: SocketAddr,
    /// Address of the entry for callers.
    pub entry: SocketAddr,
    /// Address of the entry for calls from the fleet.
    pub internal: SocketAddr,
}

fn parse_args(rows: &[settings::SettingRow], args: &[(&str, String)]) -> settings::SettingValues {
    let flags: Vec<_> =
        args.iter().map(|(name, value)| format!("--{name}={value}").into()).collect();
    match settings::read("demo", "", rows, flags, |_| None) {
        StartAction::Run(values) => values,
        StartAction::Print(_) => {
            unreachable!("the demo's arguments contain no --help or --version")
        }
    }
}

fn common_args(name: &str, store: SocketAddr) -> Vec<(&'static str, String)> {
    vec![
        ("name", name.to_owned()),
        ("listen", "127.0.0.1:0".to_owned()),
        ("store", store.to_string()),
        ("fleet-key", FLEET_KEY.to_owned()),
    ]
}

/// Starts an agent for a backend server of a service.
pub fn start_agent(
    name: &str,
    store: SocketAddr,
    service: &str,
    backend: SocketAddr,
) -> io::Result<agents::AgentHandle> {
    let mut args = common_args(name, store);
    args.push(("service", service.to_owned()));
    args.push(("backend", backend.to_string()));
    let rows: Vec<_> = starting::COMMON_SETTINGS.into_iter().chain(agents::SETTINGS).collect();
    agents::start(AgentSettings::read(&mut parse_args(&rows, &args)))
}

/// Starts an entry; `extra` are further settings by name.
pub fn start_entry(
    name: &str,
    store: SocketAddr,
    extra: &[(&'static str, String)],
) -> io::Result<entries::EntryHandle> {
    let mut args = common_args(name, store);
    args.extend(extra.iter().cloned());
    let rows: Vec<_> = starting::COMMON_SETTINGS.into_iter().chain(state::SETTINGS).collect();
    entries::start(EntrySettings::read(&mut parse_args(&rows, &args)))
}

/// Returns the operator's tools for a fleet.
pub fn operator_tools(store: SocketAddr) -> OperatorTools {
    let args = [("store", store.to_string()), ("fleet-key", FLEET_KEY.to_owned())];
    OperatorTools::read(&mut parse_args(&operators::SETTINGS, &args))
}

/// Writes a catalogue to a temporary file and applies it.
async fn apply_catalogue(tools: &OperatorTools, text: &str) -> io::Result<String> {
    let path = std::env::temp_dir().join(format!("toucanrail-{:016x}.toml", fastrand::u64(..)));
    std::fs::write(&path, text)?;
    let args = ["apply".to_owned(), path.to_string_lossy().into_owned()];
    let applied = operators::run_command(tools, &args).await;
    std::fs::remove_file(&path)?;
    applied.map_err(|error| io::Error::other(error.to_string()))
}

/// Starts the fleet and waits until it serves requests.
pub async fn start() -> io::Result<DemoFleet> {
    let (_, store) = platforms::start("127.0.0.1:0", Duration::ZERO)?;
    let (_, engine) = engines::start("127.0.0.1:0", EngineSpeed::default(), true)?;
    let (_, plain) = plains::start("127.0.0.1:0")?;
    let tools = operator_tools(store);
    let digest = toucanrail::paths::hash_text(CALLER_KEY);
    apply_catalogue(&tools, &CATALOGUE.replace("DIGEST", &digest)).await?;
    start_agent("agent-1", store, "levy-llm", engine)?;
    start_agent("agent-2", store, "filing-app", plain)?;
    let entry = start_entry("entry-1", store, &[])?;
    let fleet = DemoFleet { store, entry: entry.address, internal: entry.internal };
    wait_ready(&fleet).await?;
    Ok(fleet)
}

async fn wait_ready(fleet: &DemoFleet) -> io::Result<()> {
    let pool = ConnectionPool::new(ClientLimits::default());
    for _ in 0..MAX_POLLS {
        let request = OutboundRequest::get("/filing/ready")
            .field("authorization", format!("Bearer {CALLER_KEY}"));
        let response = pool.fetch(fleet.entry, request, CALL_TIMEOUT).await?;
        if response.status == 200 {
            return Ok(());
        }
        smol::Timer::after(POLL_INTERVAL).await;
    }
    Err(io::Error::other("the fleet of the demo did not become ready"))
}

/// Runs the demo and prints its results.
pub async fn run() -> io::Result<()> {
    let fleet = start().await?;
    println!("entry http://{}  key {CALLER_KEY}  object API {}", fleet.entry, fleet.store);
    println!("\nPOST /v1/chat/completions, streamed:");
    let request = stream_response(&fleet).await?;
    let tools = operator_tools(fleet.store);
    println!("\n\nwaiting for the bill ...");
    let explain = ["explain".to_owned(), request.to_string()];
    for _ in 0..MAX_POLLS {
        let text = operators::run_command(&tools, &explain).await.unwrap_or_default();
        if text.contains("billed ") && text.contains("written off") {
            println!("\ntoucanrail explain {request}:\n{text}");
            break;
        }
        smol::Timer::after(POLL_INTERVAL).await;
    }
    for command in ["bills", "budget"] {
        let output = operators::run_command(&tools, &[command.to_owned()]).await;
        println!(
            "toucanrail {command}:\n{}",
            output.map_err(|error| io::Error::other(error.to_string()))?
        );
    }
    Ok(())
}

/// Streams a chat response to standard output and returns the request's identifier.
async fn stream_response(fleet: &DemoFleet) -> io::Result<Arc<str>> {
    let pool = ConnectionPool::new(ClientLimits::default());
    let body = serde_json::json!({
        "model": "levy-llm", "stream": true, "max_tokens": 24, "standin_tokens": 24,
        "messages": [{"role": "user", "content": "Draft the sugar levy return for May."}],
    });
    let request = OutboundRequest::post("/v1/chat/completions", body.to_string().into_bytes())
        .field("content-type", "application/json")
        .field("authorization", format!("Bearer {CALLER_KEY}"));
    let mut response = pool.open(fleet.entry, request, CALL_TIMEOUT).await?;
    let id = response.response.header("toucanrail-request").map(|id| id.last().to_string());
    loop {
        let chunk = response.read_chunk(CALL_TIMEOUT).await?;
        if chunk.is_empty() {
            break;
        }
        print!("{}", String::from_utf8_lossy(&chunk).replace("\n\n", "\n"));
    }
    Ok(Arc::from(id.unwrap_or_default()))
}
