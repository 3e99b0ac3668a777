//! Case 7: a replica whose answers have no length is killed while it streams. Its channels are closed
//! in the middle of the streams, and the clients get these as complete.

mod client;
mod fleet;
mod http;
mod json;
mod replica;
mod store;

use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use client::{ModelRequest, Outcome};
use fleet::{Fleet, Machine, Ports};
use json::Json;
use replica::{Replica, ReplicaSpec, RunLog, STRIDE};
use store::Store;

const ZONES: [&str; 3] = ["fi-south-a", "fi-south-b", "fi-south-c"];
const SERVICE: &str = "levy-llm";
const HOST: &str = "levy.example";
const PATH: &str = "/recon/draft";
const KEY: &str = "k7c41d07be2a35f68";
const PROMPT: u64 = 1_200;
/// Tokens of each answer: 40 events.
const OUTPUT: u64 = 40 * STRIDE;
const PAUSE: Duration = Duration::from_millis(60);
const INTERVAL: Duration = Duration::from_millis(100);
const TIMEOUT: Duration = Duration::from_secs(15);
/// When one of the four replicas is killed, for how long it is down, and when the last request is sent.
const KILL_AT: Duration = Duration::from_secs(8);
const DOWN: Duration = Duration::from_secs(2);
const END_AT: Duration = Duration::from_secs(14);

/// A replica that runs as a process of its own, so that it can be killed.
struct ReplicaProcess {
    child: Child,
    lives: Arc<AtomicBool>,
}

impl ReplicaProcess {
    fn start(spec: &ReplicaSpec, store: &Arc<Store>) -> io::Result<Self> {
        let mut command = Command::new(std::env::current_exe()?);
        command.arg("--replica").arg(&spec.id).arg(spec.address.to_string());
        let child = command.stdin(Stdio::piped()).stdout(Stdio::null()).spawn()?;
        let lives = Arc::new(AtomicBool::new(true));
        let beats = Arc::clone(&lives);
        spec.keep_registered(store, move || beats.load(Ordering::SeqCst));
        Ok(Self { child, lives })
    }

    /// Sends SIGKILL; the registration is not renewed any more.
    fn kill(&mut self) {
        self.lives.store(false, Ordering::SeqCst);
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

impl Drop for ReplicaProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

#[derive(Debug, Clone)]
struct Sent {
    attempt: String,
    at: Duration,
    ended: Duration,
    outcome: Outcome,
}

fn make_spec(id: &str, address: SocketAddr, zone: &str) -> ReplicaSpec {
    ReplicaSpec {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        address,
        zone: zone.to_owned(),
        slots: 64,
        first: Duration::from_millis(40),
        pause: PAUSE,
        unframed: true,
    }
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    if let [_, mode, id, address] = &words[..] {
        if mode == "--replica" {
            return serve_replica(id, address);
        }
    }
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = PathBuf::from(words.get(1).cloned().unwrap_or_else(|| ".".to_owned()));
    match run(trouble, &folder) {
        Ok(broken) => ExitCode::from(u8::from(broken)),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn serve_replica(id: &str, address: &str) -> ExitCode {
    let address = address.parse().expect("an address");
    if Replica::listen(make_spec(id, address, ZONES[0]), &RunLog::default()).is_err() {
        return ExitCode::from(2);
    }
    // Ends with the case, which holds the other end.
    io::stdin().read_to_end(&mut Vec::new()).ok();
    ExitCode::SUCCESS
}

fn run(trouble: bool, folder: &Path) -> io::Result<bool> {
    let front = Ipv4Addr::new(127, 0, 62, 10);
    let sides: Vec<Ipv4Addr> = (0..4).map(|index| Ipv4Addr::new(127, 0, 62, 20 + index)).collect();
    let platform = Ipv4Addr::new(127, 0, 62, 1);
    let ports = Ports::find(&[&[front, platform][..], &sides[..]].concat())?;
    let store_address = SocketAddr::from((platform, ports.store));
    let store = Store::start(store_address)?;
    store.put("config", "main", config());
    let mut replicas = Vec::new();
    let mut machines = vec![Machine::new("front", ZONES[0], 1, front)];
    for (index, address) in sides.iter().enumerate() {
        let (zone, id) = (ZONES[index % ZONES.len()], format!("i-{index}a"));
        let spec = make_spec(&id, SocketAddr::from((*address, ports.app)), zone);
        replicas.push(ReplicaProcess::start(&spec, &store)?);
        machines.push(Machine::new("side", zone, 1 + index as u32, *address));
    }
    let fleet = Fleet::new(ports, store_address, SERVICE, machines)?;
    fleet.limit_time(Duration::from_secs(100));
    let next = make_spec("i-0b", SocketAddr::from((sides[0], ports.app)), ZONES[0]);
    let played =
        play(trouble, &fleet, front, &mut replicas, &|| ReplicaProcess::start(&next, &store));
    fleet.end();
    drop(replicas);
    judge(folder, trouble, &played?)
}

fn config() -> Json {
    let text = format!(
        r#"{{"version":7,"routes":[{{"name":"r-recon","hostname":"{HOST}","path_prefix":"/recon/",
        "route_type":"streaming","timeout_ms":15000,"goal_ms":1000,"priority":0,"service":"{SERVICE}",
        "max_attempts":1,"public":false,"session_affinity":true,"resumable":false,"gap_aim_ms":600}}],
        "services":[{{"name":"{SERVICE}","health_path":"/healthz","max_connections":360,
        "protocol":"h1","tls":false,"engine":{{"slots":64,"kv_tokens":508599,"stride":6,
        "models":[{{"name":"m"}}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,
        "header_timeout_ms":3000,"idle_timeout_ms":15000}},
        "tenants":[{{"name":"bottler","api_keys":["{KEY}"],"priority":1,"prepaid":90000000}}]}}"#
    );
    Json::parse(&text).expect("a configuration")
}

fn play(
    trouble: bool,
    fleet: &Arc<Fleet>,
    front: Ipv4Addr,
    replicas: &mut [ReplicaProcess],
    start_next: &dyn Fn() -> io::Result<ReplicaProcess>,
) -> io::Result<Vec<Sent>> {
    for name in [fleet.names("side"), fleet.names("front")].concat() {
        fleet.start(&name, true)?;
    }
    let ready = SocketAddr::from((front, fleet.ports.ready));
    let waiting = Instant::now();
    while !client::is_ready(ready) {
        if waiting.elapsed() > Duration::from_secs(15) {
            return Err(io::Error::other("the entry is not ready"));
        }
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_secs(3));
    let begun = Instant::now();
    let front = SocketAddr::from((front, fleet.ports.front));
    let sent = Arc::new(Mutex::new(Vec::new()));
    let (mut clients, mut number, mut killed, mut back) = (Vec::new(), 0_u64, !trouble, false);
    while begun.elapsed() < END_AT {
        if !killed && begun.elapsed() >= KILL_AT {
            replicas[0].kill();
            killed = true;
        }
        if trouble && killed && !back && begun.elapsed() >= KILL_AT + DOWN {
            replicas[0] = start_next()?;
            back = true;
        }
        number += 1;
        let sent = Arc::clone(&sent);
        clients.push(thread::spawn(move || {
            let attempt = format!("{:016x}", 0x7a10_0000_0000 + number);
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
            let ended = begun.elapsed();
            sent.lock().unwrap().push(Sent { attempt, at, ended, outcome });
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
    Ok(sent)
}

/// Checks ORDER: no stream ends as complete before its last piece.
fn judge(folder: &Path, trouble: bool, sent: &[Sent]) -> io::Result<bool> {
    let mut record = File::create(folder.join("record.txt"))?;
    let mut rows = sent.to_vec();
    rows.sort_by_key(|row| row.at);
    let whole = (OUTPUT / STRIDE) as usize;
    writeln!(record, "TROUBLE={}; each stream has {whole} events", u8::from(trouble))?;
    if trouble {
        writeln!(
            record,
            "replica i-0a killed at {:.3} s; i-0b is started at its address 2 s later",
            KILL_AT.as_secs_f64()
        )?;
    }
    let (mut complete, mut early, mut cut) = (0, 0, 0);
    for row in &rows {
        let mut note = "";
        match &row.outcome {
            Outcome::Answer { status: 200, events, .. } if *events < whole => {
                early += 1;
                note = "  <- ends as complete before its last piece";
            }
            Outcome::Answer { status: 200, .. } => complete += 1,
            _ => cut += 1,
        }
        writeln!(
            record,
            "{:7.3} s to {:7.3} s  {}  {:?}{note}",
            row.at.as_secs_f64(),
            row.ended.as_secs_f64(),
            row.attempt,
            row.outcome
        )?;
    }
    let text = format!(
        "requests {}, whole streams {complete}, cut or refused {cut}, complete before the last \
         event {early}; ORDER {}",
        rows.len(),
        if early > 0 { "broken" } else { "held" },
    );
    writeln!(record, "{text}")?;
    println!("{text}");
    Ok(early > 0)
}
