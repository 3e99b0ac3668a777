//! Case 6: replicas of a plain service fail part of their requests with 503 after they have worked on
//! them, and do not state that they did not run them. The clients get the 503, which promises that
//! the request has not run, and submit the same return again.

mod client;
mod fleet;
mod http;
mod json;
mod replica;
mod store;

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use client::{Outcome, Submission};
use fleet::{Fleet, Machine, Ports};
use http::{Connection, Head};
use json::Json;
use replica::ReplicaSpec;
use store::Store;

const ZONES: [&str; 3] = ["fi-south-a", "fi-south-b", "fi-south-c"];
const SERVICE: &str = "filing-app";
const HOST: &str = "levy.example";
const PATH: &str = "/file/return";
const KEY: &str = "k7c41d07be2a35f68";
const WORK: Duration = Duration::from_millis(30);
const INTERVAL: Duration = Duration::from_millis(60);
const TIMEOUT: Duration = Duration::from_millis(1_500);
const TROUBLE_AT: Duration = Duration::from_secs(4);
const TROUBLE_FOR: Duration = Duration::from_millis(6_500);
const END_AT: Duration = Duration::from_secs(14);
/// One replica of three fails every third request, less than the site's 0.45.
const FAILED_SHARE: u64 = 3;

/// One request that a replica began to work on.
#[derive(Debug, Clone)]
struct Run {
    replica: String,
    attempt: String,
    /// The return that the body submits.
    submission: String,
    status: u16,
}

type RunLog = Arc<Mutex<Vec<Run>>>;

#[derive(Debug, Clone)]
struct Sent {
    attempt: String,
    submission: String,
    at: Duration,
    outcome: Outcome,
}

/// A replica of the plain service.
#[derive(Debug)]
struct Service {
    id: String,
    runs: RunLog,
    /// Since when it fails part of its requests, if it does.
    failing: Arc<Mutex<bool>>,
}

impl Service {
    fn start(self, address: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let service = Arc::new(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let service = Arc::clone(&service);
                thread::spawn(move || service.serve(Connection::new(stream)).ok());
            }
        });
        Ok(())
    }

    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        while let Some(head) = connection.read_head()? {
            let body = connection.read_body(&head)?;
            if head.method() == "GET" {
                connection.respond("200 OK", "{}")?;
            } else {
                self.answer(&mut connection, &head, &String::from_utf8_lossy(&body))?;
            }
        }
        Ok(())
    }

    fn answer(&self, connection: &mut Connection, head: &Head, body: &str) -> io::Result<()> {
        let attempt = head.field("X-Attempt-Id").unwrap_or_default();
        if head.field("X-Target-Replica").is_some_and(|target| target != self.id) {
            let id = &self.id;
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Replica-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            return connection.send(text.as_bytes());
        }
        let (index, fails) = {
            let mut runs = self.runs.lock().unwrap();
            let own = runs.iter().filter(|run| run.replica == self.id).count() as u64;
            let fails = *self.failing.lock().unwrap() && own % FAILED_SHARE == 0;
            runs.push(Run {
                replica: self.id.clone(),
                attempt: attempt.to_owned(),
                submission: body.to_owned(),
                status: if fails { 503 } else { 200 },
            });
            (runs.len() - 1, fails)
        };
        // The return is recorded here, then the customs office is told of it.
        thread::sleep(WORK);
        let (status, text) = if fails {
            ("503 Service Unavailable", "{\"error\":\"customs office timed out\"}")
        } else {
            ("200 OK", "{\"filed\":true}")
        };
        let length = text.len();
        let text = format!(
            "HTTP/1.1 {status}\r\nX-Attempt-Id: {attempt}\r\nX-Replica-Signature: {}.{index}\r\n\
             Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n{text}",
            self.id
        );
        connection.send(text.as_bytes())
    }
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

fn run(trouble: bool, folder: &Path) -> io::Result<bool> {
    let front = Ipv4Addr::new(127, 0, 63, 10);
    let sides: Vec<Ipv4Addr> = (0..3).map(|index| Ipv4Addr::new(127, 0, 63, 20 + index)).collect();
    let platform = Ipv4Addr::new(127, 0, 63, 1);
    let ports = Ports::find(&[&[front, platform][..], &sides[..]].concat())?;
    let store_address = SocketAddr::from((platform, ports.store));
    let store = Store::start(store_address)?;
    store.put("config", "main", config());
    let (runs, failing) = (RunLog::default(), Arc::new(Mutex::new(false)));
    for (index, (zone, address)) in ZONES.iter().zip(&sides).enumerate() {
        let address = SocketAddr::from((*address, ports.app));
        let spec = ReplicaSpec {
            id: format!("i-{}", zone.replace('-', "")),
            service: SERVICE.to_owned(),
            address,
            zone: (*zone).to_owned(),
            slots: 6,
            first: WORK,
            pause: WORK,
            unframed: false,
        };
        let failing = if index == 0 { Arc::clone(&failing) } else { Arc::default() };
        Service { id: spec.id.clone(), runs: Arc::clone(&runs), failing }.start(address)?;
        spec.keep_registered(&store, || true);
    }
    let mut machines = vec![Machine::new("front", ZONES[0], 1, front)];
    for (zone, address) in ZONES.iter().zip(&sides) {
        machines.push(Machine::new("side", zone, 1, *address));
    }
    let fleet = Fleet::new(ports, store_address, SERVICE, machines)?;
    fleet.limit_time(Duration::from_secs(100));
    let played = play(trouble, &fleet, front, &failing);
    fleet.end();
    judge(folder, trouble, &played?, &runs)
}

fn config() -> Json {
    let text = format!(
        r#"{{"version":7,"routes":[{{"name":"r-file","hostname":"{HOST}","path_prefix":"/file/",
        "route_type":"unsafe","timeout_ms":800,"goal_ms":150,"priority":2,"service":"{SERVICE}",
        "max_attempts":1,"public":false}}],
        "services":[{{"name":"{SERVICE}","health_path":"/healthz","max_connections":96,
        "protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,
        "header_timeout_ms":3000,"idle_timeout_ms":15000}},
        "tenants":[{{"name":"bottler","api_keys":["{KEY}"],"priority":1}}]}}"#
    );
    Json::parse(&text).expect("a configuration")
}

fn play(
    trouble: bool,
    fleet: &Arc<Fleet>,
    front: Ipv4Addr,
    failing: &Arc<Mutex<bool>>,
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
    let (mut clients, mut number) = (Vec::new(), 0_u64);
    while begun.elapsed() < END_AT {
        let in_trouble = (TROUBLE_AT..TROUBLE_AT + TROUBLE_FOR).contains(&begun.elapsed());
        *failing.lock().unwrap() = trouble && in_trouble;
        number += 1;
        let sent = Arc::clone(&sent);
        clients.push(thread::spawn(move || submit(number, front, begun, &sent)));
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

/// Submits one return. A client retries once, as a new attempt, and for such a request only after a
/// status that promises that it has not run.
fn submit(number: u64, front: SocketAddr, begun: Instant, sent: &Mutex<Vec<Sent>>) {
    let submission = format!("{{\"return\":{number}}}");
    for attempt in 0..2_u64 {
        let attempt = format!("{:016x}", 0x8f10_0000_0000 + number * 16 + attempt);
        let request = Submission {
            host: HOST,
            path: PATH,
            key: KEY,
            attempt: &attempt,
            body: &submission,
            timeout: TIMEOUT,
        };
        let at = begun.elapsed();
        let outcome = request.send(front);
        let promised = matches!(outcome, Outcome::Answer { status: 408 | 421 | 429 | 503, .. });
        let submission = submission.clone();
        sent.lock().unwrap().push(Sent { attempt, submission, at, outcome });
        if !promised {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// Checks REFUSED: no request that is not idempotent is answered 429, 503, 408 or 421 and has run.
fn judge(folder: &Path, trouble: bool, sent: &[Sent], runs: &RunLog) -> io::Result<bool> {
    let mut record = File::create(folder.join("record.txt"))?;
    let runs = runs.lock().unwrap().clone();
    let mut rows = sent.to_vec();
    rows.sort_by_key(|row| row.at);
    writeln!(record, "TROUBLE={}", u8::from(trouble))?;
    let (mut served, mut refused) = (0, 0);
    for row in &rows {
        let ran = runs.iter().find(|run| run.attempt == row.attempt);
        let mut note = "";
        match &row.outcome {
            Outcome::Answer { status: 200, .. } => served += 1,
            Outcome::Answer { status: 408 | 421 | 429 | 503, .. } if ran.is_some() => {
                refused += 1;
                note = "  <- promised not to have run, and has run";
            }
            _ => {}
        }
        writeln!(
            record,
            "{:7.3} s  {}  {}  {:?}  ran at {}{note}",
            row.at.as_secs_f64(),
            row.attempt,
            row.submission,
            row.outcome,
            ran.map_or("none", |run| &run.replica),
        )?;
    }
    let mut filed: BTreeMap<&str, usize> = BTreeMap::new();
    for run in &runs {
        *filed.entry(&run.submission).or_default() += 1;
    }
    let twice = filed.values().filter(|count| **count > 1).count();
    for run in runs.iter().filter(|run| run.status != 200) {
        writeln!(record, "{} worked on {} and answered {}", run.replica, run.attempt, run.status)?;
    }
    let text = format!(
        "requests {}, served {served}, answered as not run although they ran {refused}; returns that \
         replicas worked on twice {twice}; REFUSED {}",
        rows.len(),
        if refused > 0 { "broken" } else { "held" },
    );
    writeln!(record, "{text}")?;
    println!("{text}");
    Ok(refused > 0)
}
