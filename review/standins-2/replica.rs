//! A sound model replica: registers itself in the store, runs requests as streams of events, and
//! tells what it ran.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, Head};
use crate::json::Json;
use crate::store::Store;

/// Tokens in one event.
pub const STRIDE: u64 = 6;
/// Interval at which the replica writes its registration.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What a replica is.
#[derive(Debug, Clone)]
pub struct ReplicaSpec {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u64,
    /// Time until the first event, and between two events.
    pub first: Duration,
    pub pause: Duration,
    /// Whether answers have no length and end with their channel, instead of being chunked.
    pub unframed: bool,
}

impl ReplicaSpec {
    /// Writes the replica's registration at each heartbeat, for as long as it lives.
    pub fn keep_registered<Lives>(&self, store: &Arc<Store>, lives: Lives)
    where
        Lives: Fn() -> bool + Send + 'static,
    {
        let (spec, store) = (self.clone(), Arc::clone(store));
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        thread::spawn(move || {
            let mut seq = 0;
            while lives() {
                seq += 1;
                store.put("servers", &spec.id, spec.registration(born, seq));
                thread::sleep(HEARTBEAT);
            }
        });
    }

    fn registration(&self, born: u128, seq: u64) -> Json {
        let ReplicaSpec { service, address, zone, slots, .. } = self;
        let text = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"combined\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq\":{seq},\"born\":{born}}}"
        );
        Json::parse(&text).expect("a registration")
    }
}

/// One request that a replica began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    pub replica: String,
    pub attempt: String,
    pub tenant: String,
    pub prompt: u64,
    pub max_output: u64,
    pub begun: Instant,
    /// Events handed to the connection.
    pub events: u64,
    pub ended: bool,
}

/// What all replicas ran, in order.
pub type RunLog = Arc<Mutex<Vec<Run>>>;

/// A running replica.
#[derive(Debug)]
pub struct Replica {
    pub spec: ReplicaSpec,
    runs: RunLog,
}

impl Replica {
    /// Starts a replica and registers it.
    pub fn start(spec: ReplicaSpec, store: &Arc<Store>, runs: &RunLog) -> io::Result<Arc<Self>> {
        let replica = Self::listen(spec, runs)?;
        replica.spec.keep_registered(store, || true);
        Ok(replica)
    }

    /// Starts a replica that somebody else registers.
    pub fn listen(spec: ReplicaSpec, runs: &RunLog) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(spec.address)?;
        let replica = Arc::new(Self { spec, runs: Arc::clone(runs) });
        let serving = Arc::clone(&replica);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = Arc::clone(&serving);
                thread::spawn(move || replica.serve(Connection::new(stream)).ok());
            }
        });
        Ok(replica)
    }

    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        while let Some(head) = connection.read_head()? {
            connection.read_body(&head)?;
            match (head.method(), head.target()) {
                ("GET", "/api/report") => connection.respond("200 OK", &self.report())?,
                ("GET", "/healthz") => connection.respond("200 OK", "{}")?,
                _ => self.answer(&mut connection, &head)?,
            }
        }
        Ok(())
    }

    fn report(&self) -> String {
        let runs = self.runs.lock().unwrap();
        let own = runs.iter().filter(|run| run.replica == self.spec.id && !run.ended);
        let rows: Vec<String> = own
            .map(|run| {
                let tokens = run.prompt + run.events * STRIDE;
                format!("[\"{}\",{tokens},{},5]", run.attempt, run.events)
            })
            .collect();
        let (running, rows) = (rows.len(), rows.join(","));
        format!(
            "{{\"stage\":\"combined\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":false,\"seq\":1,\"waiting\":0,\"running\":{running},\"kv_used\":0,\
             \"kv_total\":500000,\"handles\":0,\"state\":\"ready\",\"runs\":[{rows}]}}"
        )
    }

    fn answer(&self, connection: &mut Connection, head: &Head) -> io::Result<()> {
        let Some(attempt) = head.field("X-Attempt-Id") else {
            let text = "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            return connection.send(text.as_bytes());
        };
        if head.field("X-Target-Replica").is_some_and(|target| target != self.spec.id) {
            let id = &self.spec.id;
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Replica-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            return connection.send(text.as_bytes());
        }
        let (prompt, max_output) = token_counts(head);
        let index = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                replica: self.spec.id.clone(),
                attempt: attempt.to_owned(),
                tenant: head.field("X-Tenant").unwrap_or_default().to_owned(),
                prompt,
                max_output,
                begun: Instant::now(),
                events: 0,
                ended: false,
            });
            runs.len() - 1
        };
        let sent = self.stream(connection, attempt, index, max_output / STRIDE);
        self.runs.lock().unwrap()[index].ended = true;
        sent
    }

    fn stream(
        &self,
        connection: &mut Connection,
        attempt: &str,
        index: usize,
        events: u64,
    ) -> io::Result<()> {
        thread::sleep(self.spec.first);
        let framing =
            if self.spec.unframed { "Connection: close" } else { "Transfer-Encoding: chunked" };
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Replica-Signature: {}.{index}\r\n\
             Content-Type: text/event-stream\r\n{framing}\r\n\r\n",
            self.spec.id
        );
        connection.send(text.as_bytes())?;
        for event in 1..=events {
            let data = format!("id: {event}\ndata: {index}-{event}\n\n");
            self.runs.lock().unwrap()[index].events = event;
            if self.spec.unframed {
                connection.send(data.as_bytes())?;
            } else {
                connection.send(format!("{:x}\r\n{data}\r\n", data.len()).as_bytes())?;
            }
            thread::sleep(self.spec.pause);
        }
        if self.spec.unframed {
            // Ends the answer: the channel is closed, not reset.
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        connection.send(b"0\r\n\r\n")
    }
}

/// Returns the tokens of a request's prompt, and of its answer at most.
fn token_counts(head: &Head) -> (u64, u64) {
    let stated = head.field("X-Token-Usage").and_then(|text| text.split_once(','));
    let count = |text: &str| text.trim().parse().unwrap_or(0);
    stated.map_or((0, 0), |(prompt, output)| (count(prompt), count(output)))
}

/// Returns the runs of each attempt, by id.
pub fn runs_by_attempt(runs: &[Run]) -> BTreeMap<&str, Vec<&Run>> {
    let mut found: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in runs {
        found.entry(&run.attempt).or_default().push(run);
    }
    found
}
