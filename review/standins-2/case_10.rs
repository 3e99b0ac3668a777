//! Case 10: the channel of a resumable stream breaks behind its last event. The client goes on after
//! that event; the replica has nothing left and answers 204. The gateway puts bytes behind the head of
//! the 204, which the client reads as the start of its next answer.

mod client;
mod fleet;
mod http;
mod json;
mod replica;
mod store;

use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use fleet::{Fleet, Machine, Ports};
use http::{Connection, Head};
use json::Json;
use replica::ReplicaSpec;
use store::Store;

const ZONES: [&str; 3] = ["fi-south-a", "fi-south-b", "fi-south-c"];
const SERVICE: &str = "levy-llm";
const HOST: &str = "levy.example";
const PATH: &str = "/query/class";
const KEY: &str = "k7c41d07be2a35f68";
const EVENTS: u64 = 10;
const PAUSE: Duration = Duration::from_millis(30);
const ROUNDS: u64 = 40;
const TIMEOUT: Duration = Duration::from_secs(12);

/// A replica whose streams have a fixed number of events, and that goes on after `Last-Event-Id`.
#[derive(Debug)]
struct StreamServer {
    id: String,
}

impl StreamServer {
    fn start(self, address: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let server = Arc::new(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(Connection::new(stream)).ok());
            }
        });
        Ok(())
    }

    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        while let Some(head) = connection.read_head()? {
            connection.read_body(&head)?;
            if head.method() == "GET" {
                let report = "{\"stage\":\"combined\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\
                              \"busy\":false,\"seq\":1,\"waiting\":0,\"running\":0,\"kv_used\":0,\
                              \"kv_total\":500000,\"handles\":0,\"state\":\"ready\",\"runs\":[]}";
                connection.respond("200 OK", report)?;
            } else {
                self.answer(&mut connection, &head)?;
            }
        }
        Ok(())
    }

    fn answer(&self, connection: &mut Connection, head: &Head) -> io::Result<()> {
        let attempt = head.field("X-Attempt-Id").unwrap_or_default();
        let last = head.field("Last-Event-Id").and_then(|text| text.parse::<u64>().ok());
        let fields =
            format!("X-Attempt-Id: {attempt}\r\nX-Replica-Signature: {}.{attempt}", self.id);
        if last.is_some_and(|last| last >= EVENTS) {
            // Nothing is left: the status by which a stream of events tells not to come back.
            return connection
                .send(format!("HTTP/1.1 204 No Content\r\n{fields}\r\n\r\n").as_bytes());
        }
        let text = format!(
            "HTTP/1.1 200 OK\r\n{fields}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        connection.send(text.as_bytes())?;
        for event in last.unwrap_or(0) + 1..=EVENTS {
            let data = format!("id: {event}\ndata: piece {event}\n\n");
            connection.send(format!("{:x}\r\n{data}\r\n", data.len()).as_bytes())?;
            thread::sleep(PAUSE);
        }
        connection.send(b"0\r\n\r\n")
    }
}

/// Passes channels on to an entry. While it is told to, it breaks each one off behind the last event.
fn start_proxy(address: SocketAddr, front: SocketAddr) -> io::Result<Arc<AtomicBool>> {
    let listener = TcpListener::bind(address)?;
    let breaks = Arc::new(AtomicBool::new(false));
    let breaking = Arc::clone(&breaks);
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let breaks = Arc::clone(&breaking);
            thread::spawn(move || pass_on(client, front, &breaks).ok());
        }
    });
    Ok(breaks)
}

fn pass_on(client: TcpStream, front: SocketAddr, breaks: &AtomicBool) -> io::Result<()> {
    let entry = TcpStream::connect(front)?;
    let (mut from_client, mut to_entry) = (client.try_clone()?, entry.try_clone()?);
    thread::spawn(move || {
        io::copy(&mut from_client, &mut to_entry).ok();
        to_entry.shutdown(Shutdown::Write).ok();
    });
    let (mut from_entry, mut to_client) = (entry, client);
    let (mut seen, mut chunk) = (Vec::new(), [0; 4096]);
    let last = format!("id: {EVENTS}\n");
    loop {
        let count = from_entry.read(&mut chunk)?;
        to_client.write_all(&chunk[..count])?;
        seen.extend_from_slice(&chunk[..count]);
        let is_last = seen.windows(last.len()).any(|part| part == last.as_bytes());
        if count == 0 || (is_last && breaks.load(Ordering::SeqCst)) {
            from_entry.shutdown(Shutdown::Both).ok();
            return to_client.shutdown(Shutdown::Both);
        }
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
    let front = Ipv4Addr::new(127, 0, 64, 10);
    let sides: Vec<Ipv4Addr> = (0..3).map(|index| Ipv4Addr::new(127, 0, 64, 20 + index)).collect();
    let platform = Ipv4Addr::new(127, 0, 64, 1);
    let ports = Ports::find(&[&[front, platform][..], &sides[..]].concat())?;
    let store_address = SocketAddr::from((platform, ports.store));
    let store = Store::start(store_address)?;
    store.put("config", "main", config());
    for (zone, address) in ZONES.iter().zip(&sides) {
        let address = SocketAddr::from((*address, ports.app));
        let spec = ReplicaSpec {
            id: format!("i-{}", zone.replace('-', "")),
            service: SERVICE.to_owned(),
            address,
            zone: (*zone).to_owned(),
            slots: 64,
            first: PAUSE,
            pause: PAUSE,
            unframed: false,
        };
        StreamServer { id: spec.id.clone() }.start(address)?;
        spec.keep_registered(&store, || true);
    }
    let mut machines = vec![Machine::new("front", ZONES[0], 1, front)];
    for (zone, address) in ZONES.iter().zip(&sides) {
        machines.push(Machine::new("side", zone, 1, *address));
    }
    let fleet = Fleet::new(ports, store_address, SERVICE, machines)?;
    fleet.limit_time(Duration::from_secs(100));
    let proxy = SocketAddr::from((platform, ports.front));
    let played = play(trouble, &fleet, front, proxy, folder);
    fleet.end();
    played
}

fn config() -> Json {
    let text = format!(
        r#"{{"version":7,"routes":[{{"name":"r-query","hostname":"{HOST}","path_prefix":"/query/",
        "route_type":"streaming","timeout_ms":12000,"goal_ms":500,"priority":0,"service":"{SERVICE}",
        "max_attempts":2,"public":false,"session_affinity":true,"resumable":true,"gap_aim_ms":600}}],
        "services":[{{"name":"{SERVICE}","health_path":"/healthz","max_connections":360,
        "protocol":"h1","tls":false,"engine":{{"slots":64,"kv_tokens":508599,"stride":6,
        "models":[{{"name":"m"}}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,
        "header_timeout_ms":3000,"idle_timeout_ms":15000}},
        "tenants":[{{"name":"bottler","api_keys":["{KEY}"],"priority":1,"prepaid":90000000}}]}}"#
    );
    Json::parse(&text).expect("a configuration")
}

/// Sends a request on a kept channel.
fn send(connection: &mut Connection, attempt: &str, last: Option<u64>) -> io::Result<()> {
    let resumes = last.map_or(String::new(), |last| format!("Last-Event-Id: {last}\r\n"));
    let text = format!(
        "POST {PATH} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Model: m\r\n\
         X-Token-Usage: 600,60\r\nX-Prefix-Hash: {attempt}:600\r\nX-Timeout-Ms: {}\r\n{resumes}\
         Authorization: Bearer {KEY}\r\nContent-Length: 2\r\n\r\n{{}}",
        TIMEOUT.as_millis()
    );
    connection.send(text.as_bytes())
}

/// Reads an answer; a 204 has no body.
fn read(connection: &mut Connection) -> io::Result<(Head, Vec<u8>)> {
    let head = connection.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let has_body = head.start.starts_with("HTTP/1.1") && head.status() != 204;
    let body = if has_body { connection.read_body(&head)? } else { Vec::new() };
    Ok((head, body))
}

fn play(
    trouble: bool,
    fleet: &Arc<Fleet>,
    front: Ipv4Addr,
    proxy: SocketAddr,
    folder: &Path,
) -> io::Result<bool> {
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
    let breaks = start_proxy(proxy, SocketAddr::from((front, fleet.ports.front)))?;
    let mut record = File::create(folder.join("record.txt"))?;
    writeln!(record, "TROUBLE={}", u8::from(trouble))?;
    let (mut whole, mut broken) = (0, 0);
    for round in 0..ROUNDS {
        let id = |number: u64| format!("{:016x}", 0x9e10_0000_0000 + round * 16 + number);
        let open = || -> io::Result<Connection> {
            let connection = Connection::open(proxy, Duration::from_secs(1))?;
            connection.stream.set_read_timeout(Some(Duration::from_secs(5)))?;
            Ok(connection)
        };
        breaks.store(trouble, Ordering::SeqCst);
        let mut first = open()?;
        send(&mut first, &id(0), None)?;
        let answered = read(&mut first);
        breaks.store(false, Ordering::SeqCst);
        let is_cut = answered.is_err();
        writeln!(record, "round {round}: stream {}", if is_cut { "broke" } else { "whole" })?;
        let mut kept = open()?;
        let mut asks = vec![(id(2), None)];
        if is_cut {
            // The client has all events, but not the end of the stream.
            asks.insert(0, (id(1), Some(EVENTS)));
        }
        for (attempt, last) in asks {
            send(&mut kept, &attempt, last)?;
            let (head, _) = read(&mut kept)?;
            let echoed = head.field("X-Attempt-Id").unwrap_or("none");
            writeln!(
                record,
                "  {attempt} after event {last:?}: {:?}, of {echoed}, {:?}",
                head.start, head.fields
            )?;
            if head.start.starts_with("HTTP/1.1 ") && echoed == attempt {
                whole += 1;
            } else {
                broken += 1;
                writeln!(record, "    <- bytes that are no answer")?;
                break;
            }
        }
    }
    let ended = fleet.ended();
    if !ended.is_empty() {
        return Err(io::Error::other(format!("processes ended by themselves: {ended:?}")));
    }
    let text = format!(
        "answers {whole}, channels with bytes that are no answer {broken}; MIXED {}",
        if broken > 0 { "broken" } else { "held" },
    );
    writeln!(record, "{text}")?;
    println!("{text}");
    Ok(broken > 0)
}
