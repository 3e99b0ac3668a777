//! Case 9: all processes of the system are killed once, at the same moment. Afterwards a tenant is
//! told with 402 that its balance does not cover a request, although more than 3 in 100 of what it
//! has prepaid was never consumed.

mod client;
mod fleet;
mod http;
mod json;
mod replica;
mod store;

use std::fs::File;
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use client::{ModelRequest, Outcome};
use fleet::{Fleet, Machine, Ports};
use json::Json;
use replica::{Replica, ReplicaSpec, RunLog};
use store::Store;

const ZONES: [&str; 3] = ["fi-south-a", "fi-south-b", "fi-south-c"];
const SERVICE: &str = "levy-llm";
const HOST: &str = "levy.example";
const PATH: &str = "/label/check";
const KEY: &str = "k7c41d07be2a35f68";
/// Tokens of each request: of its prompt, and of its answer at most.
const PROMPT: u64 = 2_400;
const OUTPUT: u64 = 60;
/// What the tenant has prepaid: about 1.3 times what it would consume in 34 s, as on the site.
const PREPAID: u64 = 2_000_000;
const INTERVAL: Duration = Duration::from_millis(55);
const TIMEOUT: Duration = Duration::from_secs(3);
/// When all processes are killed, and when the platform starts them again.
const KILL_AT: Duration = Duration::from_secs(16);
const DOWN: Duration = Duration::from_millis(900);
/// When the last request is sent.
const END_AT: Duration = Duration::from_secs(75);
/// `stability_window_ms`: for so long after its start a machine is not in touch.
const STABILITY: Duration = Duration::from_secs(3);
/// A request is not owed if it does not fit into this share of the prepaid total.
const OWED_PERCENT: u64 = 97;

/// One request as its client saw it.
#[derive(Debug, Clone)]
struct Sent {
    attempt: String,
    at: Duration,
    outcome: Outcome,
    /// Most that the tenant can have consumed, and can consume, by requests that reached a replica
    /// up to the answer of this one.
    consumed: u64,
}

fn main() -> ExitCode {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    match run(trouble, &folder) {
        Ok(broken) => ExitCode::from(u8::from(broken)),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(trouble: bool, folder: &std::path::Path) -> io::Result<bool> {
    let fronts: Vec<Ipv4Addr> = (0..2).map(|index| Ipv4Addr::new(127, 0, 61, 10 + index)).collect();
    let sides: Vec<Ipv4Addr> = (0..3).map(|index| Ipv4Addr::new(127, 0, 61, 20 + index)).collect();
    let platform = Ipv4Addr::new(127, 0, 61, 1);
    let ports = Ports::find(&[&fronts[..], &sides[..], &[platform]].concat())?;
    let store_address = SocketAddr::from((platform, ports.store));
    let store = Store::start(store_address)?;
    let runs = RunLog::default();
    for (zone, address) in ZONES.iter().zip(&sides) {
        let spec = ReplicaSpec {
            id: format!("i-{}", zone.replace('-', "")),
            service: SERVICE.to_owned(),
            address: SocketAddr::from((*address, ports.app)),
            zone: (*zone).to_owned(),
            slots: 64,
            first: Duration::from_millis(40),
            pause: Duration::from_millis(15),
            unframed: false,
        };
        Replica::start(spec, &store, &runs)?;
    }
    store.put("config", "main", config());
    let mut machines = Vec::new();
    for (zone, address) in ZONES.iter().zip(&fronts) {
        machines.push(Machine::new("front", zone, 1, *address));
    }
    for (zone, address) in ZONES.iter().zip(&sides) {
        machines.push(Machine::new("side", zone, 1, *address));
    }
    let fleet = Fleet::new(ports, store_address, SERVICE, machines)?;
    fleet.limit_time(Duration::from_secs(112));
    let played = play(trouble, &fleet, &fronts, &runs);
    let budgets = store.specs("budgets");
    fleet.end();
    let (sent, started) = played?;
    judge(folder, trouble, &sent, &runs, started, &budgets)
}

fn config() -> Json {
    let text = format!(
        r#"{{"version":7,"routes":[{{"name":"r-label","hostname":"{HOST}","path_prefix":"/label/",
        "route_type":"streaming","timeout_ms":3000,"goal_ms":600,"priority":0,"service":"{SERVICE}",
        "max_attempts":1,"public":false,"session_affinity":true,"resumable":false,"gap_aim_ms":600}}],
        "services":[{{"name":"{SERVICE}","health_path":"/healthz","max_connections":360,
        "protocol":"h1","tls":false,"engine":{{"slots":64,"kv_tokens":508599,"stride":6,
        "models":[{{"name":"m"}}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,
        "header_timeout_ms":3000,"idle_timeout_ms":15000}},
        "tenants":[{{"name":"bottler","api_keys":["{KEY}"],"priority":1,"prepaid":{PREPAID}}}]}}"#
    );
    Json::parse(&text).expect("a configuration")
}

/// Plays the case. Returns what was sent, and when the processes were last started.
fn play(
    trouble: bool,
    fleet: &Arc<Fleet>,
    fronts: &[Ipv4Addr],
    runs: &RunLog,
) -> io::Result<(Vec<Sent>, Duration)> {
    let names = [fleet.names("side"), fleet.names("front")].concat();
    for name in &names {
        fleet.start(name, true)?;
    }
    let ready_ports: Vec<SocketAddr> =
        fronts.iter().map(|address| SocketAddr::from((*address, fleet.ports.ready))).collect();
    let waiting = Instant::now();
    while !ready_ports.iter().all(|address| client::is_ready(*address)) {
        if waiting.elapsed() > Duration::from_secs(15) {
            return Err(io::Error::other("the entries are not ready"));
        }
        thread::sleep(Duration::from_millis(100));
    }
    // Traffic starts some seconds after the machines do.
    thread::sleep(STABILITY);
    let begun = Instant::now();
    let sent = Arc::new(Mutex::new(Vec::new()));
    let (next, mut clients) = (Arc::new(AtomicUsize::new(0)), Vec::new());
    let mut started = Duration::ZERO;
    let mut is_down = None;
    let mut is_over = !trouble;
    while begun.elapsed() < END_AT {
        if !is_over && is_down.is_none() && begun.elapsed() >= KILL_AT {
            fleet.kill(&names);
            is_down = Some(begun.elapsed());
        }
        if is_down.is_some_and(|since| begun.elapsed() >= since + DOWN) {
            for name in &names {
                fleet.start(name, false)?;
            }
            (started, is_down, is_over) = (begun.elapsed(), None, true);
        }
        let number = next.fetch_add(1, Ordering::Relaxed);
        let front = SocketAddr::from((fronts[number % fronts.len()], fleet.ports.front));
        let (sent, runs) = (Arc::clone(&sent), Arc::clone(runs));
        clients.push(thread::spawn(move || {
            let attempt = format!("{:016x}", 0x9c41_0000_0000_u64 + number as u64);
            let request = ModelRequest {
                host: HOST,
                path: PATH,
                key: KEY,
                attempt: &attempt,
                prompt: PROMPT,
                max_output: OUTPUT,
                timeout: TIMEOUT,
            };
            let at = begun.elapsed();
            let outcome = request.send(front);
            let consumed = most_consumed(&runs);
            sent.lock().unwrap().push(Sent { attempt, at, outcome, consumed });
        }));
        thread::sleep(INTERVAL);
    }
    for client in clients {
        client.join().ok();
    }
    let ended = fleet.ended();
    if !ended.is_empty() {
        return Err(io::Error::other(format!("processes ended by themselves: {ended:?}")));
    }
    let sent = sent.lock().unwrap().clone();
    Ok((sent, started))
}

/// Returns the most that the tenant can have consumed: all requests that reached a replica, each
/// with its whole prompt and its longest answer.
fn most_consumed(runs: &RunLog) -> u64 {
    runs.lock().unwrap().iter().map(|run| run.prompt + run.max_output).sum()
}

/// Checks DENIED: more than 5 + one in 500 of all requests are ended with a 4xx of the system's own
/// though they are proper, by machines in touch.
fn judge(
    folder: &std::path::Path,
    trouble: bool,
    sent: &[Sent],
    runs: &RunLog,
    started: Duration,
    budgets: &std::collections::BTreeMap<String, Json>,
) -> io::Result<bool> {
    let mut record = File::create(folder.join("record.txt"))?;
    let mut rows = sent.to_vec();
    rows.sort_by_key(|row| row.at);
    writeln!(record, "TROUBLE={} prepaid={PREPAID}", u8::from(trouble))?;
    if trouble {
        writeln!(record, "killed all processes at {:.3} s", KILL_AT.as_secs_f64())?;
        writeln!(record, "started them again at {:.3} s", started.as_secs_f64())?;
    }
    let limit = PREPAID * OWED_PERCENT / 100;
    let (mut served, mut denied, mut rightly) = (0, 0, 0);
    for row in &rows {
        let fits = row.consumed + PROMPT + OUTPUT <= limit;
        let in_touch = !trouble || row.at < KILL_AT || row.at >= started + STABILITY;
        let mut note = "";
        match &row.outcome {
            Outcome::Answer { status: 200, signed: true, .. } => served += 1,
            Outcome::Answer { status: 402, signed: false, .. } if fits && in_touch => {
                denied += 1;
                note = "  <- DENIED";
            }
            Outcome::Answer { status: 402, .. } => rightly += 1,
            _ => {}
        }
        writeln!(
            record,
            "{:8.3} s  {}  tokens {PROMPT},{OUTPUT}  consumed at most {}  {:?}{note}",
            row.at.as_secs_f64(),
            row.attempt,
            row.consumed,
            row.outcome,
        )?;
    }
    for run in runs.lock().unwrap().iter() {
        writeln!(
            record,
            "run of {} at {}: tenant {}, prompt {}, events {}",
            run.attempt, run.replica, run.tenant, run.prompt, run.events
        )?;
    }
    for (name, spec) in budgets {
        writeln!(record, "at the end, budgets/{name}: {}", spec.encode())?;
    }
    let bound = 5 + rows.len() / 500;
    let consumed = most_consumed(runs);
    let broken = denied > bound;
    let text = format!(
        "requests {}, served {served}, 402 with too little left {rightly}, 402 although it fits into \
         {OWED_PERCENT} in 100 {denied} (bound {bound}); consumed at most {consumed} of {PREPAID}; \
         DENIED {}",
        rows.len(),
        if broken { "broken" } else { "held" },
    );
    writeln!(record, "{text}")?;
    println!("{text}");
    Ok(broken)
}
