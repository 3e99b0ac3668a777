//! The platform's store, as PROTOCOL.md tells it: objects by kind and name, one revision counter,
//! conditional writes, listings and watches. It loses nothing and is linearizable.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::json::Json;

#[derive(Debug, Clone)]
struct Object {
    name: String,
    revision: u64,
    create_revision: u64,
    finalizers: Json,
    spec: Json,
    status: Json,
}

impl Object {
    fn encode(&self) -> String {
        let Object { name, revision, create_revision, finalizers, spec, status } = self;
        format!(
            "{{\"metadata\":{{\"name\":{},\"revision\":{revision},\"create_revision\":{create_revision},\
             \"finalizers\":{},\"deleting\":false}},\"spec\":{},\"status\":{}}}",
            Json::Text(name.clone()).encode(),
            finalizers.encode(),
            spec.encode(),
            status.encode(),
        )
    }
}

#[derive(Debug, Clone)]
struct Change {
    revision: u64,
    kind: String,
    removed: bool,
    object: Object,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Change>,
}

/// The store.
#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

/// Maximum number of objects in one page of a listing.
const PAGE: usize = 500;

impl Store {
    /// Starts a store.
    pub fn start(address: SocketAddr) -> io::Result<Arc<Self>> {
        let state = State { revision: 1, ..State::default() };
        let store = Arc::new(Self { state: Mutex::new(state), changed: Condvar::new() });
        let listener = TcpListener::bind(address)?;
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(Connection::new(stream)).ok());
            }
        });
        Ok(store)
    }

    /// Writes an object without a condition, as the operator and the replicas do.
    pub fn put(&self, kind: &str, name: &str, spec: Json) -> u64 {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        state.revision += 1;
        let revision = state.revision;
        let known = state.objects.get(&key).cloned();
        let object = Object {
            name: name.to_owned(),
            revision,
            create_revision: known.as_ref().map_or(revision, |known| known.create_revision),
            finalizers: Json::List(Vec::new()),
            spec,
            status: known.map_or(Json::Null, |known| known.status),
        };
        self.apply(&mut state, kind, object);
        revision
    }

    /// Returns the specs of a kind, by name.
    pub fn specs(&self, kind: &str) -> BTreeMap<String, Json> {
        let state = self.state.lock().unwrap();
        let found = state.objects.iter().filter(|((known, _), _)| known == kind);
        found.map(|((_, name), object)| (name.clone(), object.spec.clone())).collect()
    }

    fn apply(&self, state: &mut State, kind: &str, object: Object) {
        let key = (kind.to_owned(), object.name.clone());
        let (revision, kind) = (object.revision, kind.to_owned());
        state.history.push(Change { revision, kind, removed: false, object: object.clone() });
        state.objects.insert(key, object);
        self.changed.notify_all();
    }

    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        while let Some(head) = connection.read_head()? {
            let body = connection.read_body(&head)?;
            let (status, answer) = self.handle(head.method(), head.target(), &body);
            connection.respond(status, &answer)?;
        }
        Ok(())
    }

    fn handle(&self, method: &str, target: &str, body: &[u8]) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode(value)))
            .collect();
        let Some(path) = path.strip_prefix("/api/objects/") else {
            return ("404 Not Found", "{}".to_owned());
        };
        let parts: Vec<String> = path.split('/').map(decode).collect();
        let text = String::from_utf8_lossy(body);
        match (method, &*parts) {
            ("GET", [kind]) if query.contains_key("watch") => self.watch(kind, &query),
            ("GET", [kind]) => self.list(kind, &query),
            ("GET", [kind, name]) => self.read(kind, name),
            ("POST", [kind]) => self.create(kind, Json::parse(&text)),
            ("PUT", [kind, name]) => self.replace(kind, name, Json::parse(&text), false),
            ("PUT", [kind, name, last]) if last == "status" => {
                self.replace(kind, name, Json::parse(&text), true)
            }
            ("DELETE", [kind, name]) => self.remove(kind, name, &query),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str, query: &BTreeMap<String, String>) -> (&'static str, String) {
        let state = self.state.lock().unwrap();
        let after = query.get("after").cloned().unwrap_or_default();
        let found =
            state.objects.iter().filter(|((known, name), _)| known == kind && *name > after);
        let found: Vec<String> = found.map(|(_, object)| object.encode()).collect();
        let (items, more) = (&found[..found.len().min(PAGE)], found.len() > PAGE);
        let revision = state.revision;
        let items = items.join(",");
        (
            "200 OK",
            format!("{{\"items\":[{items}],\"has_more\":{more},\"store_revision\":{revision}}}"),
        )
    }

    fn watch(&self, kind: &str, query: &BTreeMap<String, String>) -> (&'static str, String) {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let (after, wait) = (number("watch").unwrap_or(0), number("wait_ms").unwrap_or(0));
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let newer = state.history.iter().filter(|row| row.revision > after && row.kind == kind);
            let events: Vec<String> = newer
                .map(|row| {
                    format!("{{\"removed\":{},\"object\":{}}}", row.removed, row.object.encode())
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (
                    "200 OK",
                    format!("{{\"events\":[{events}],\"store_revision\":{revision}}}"),
                );
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn read(&self, kind: &str, name: &str) -> (&'static str, String) {
        let state = self.state.lock().unwrap();
        match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => ("200 OK", object.encode()),
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn create(&self, kind: &str, body: Option<Json>) -> (&'static str, String) {
        let name = body.as_ref().and_then(|body| body.get("metadata")?.get("name")?.text());
        let (Some(body), Some(name)) = (&body, name) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let mut state = self.state.lock().unwrap();
        if let Some(known) = state.objects.get(&(kind.to_owned(), name.to_owned())) {
            return ("409 Conflict", known.encode());
        }
        state.revision += 1;
        let object = Object {
            name: name.to_owned(),
            revision: state.revision,
            create_revision: state.revision,
            finalizers: Json::List(Vec::new()),
            spec: body.get("spec").cloned().unwrap_or(Json::Null),
            status: Json::Null,
        };
        let answer = object.encode();
        self.apply(&mut state, kind, object);
        ("201 Created", answer)
    }

    fn replace(
        &self,
        kind: &str,
        name: &str,
        body: Option<Json>,
        status: bool,
    ) -> (&'static str, String) {
        let Some(body) = body else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let mut state = self.state.lock().unwrap();
        let Some(known) = state.objects.get(&(kind.to_owned(), name.to_owned())).cloned() else {
            return ("404 Not Found", "{}".to_owned());
        };
        let metadata = body.get("metadata");
        let expected = metadata.and_then(|metadata| metadata.get("revision")?.number());
        if expected.is_some_and(|expected| expected != known.revision) {
            return ("409 Conflict", known.encode());
        }
        let mut object = known.clone();
        if status {
            object.status = body.get("status").cloned().unwrap_or(Json::Null);
        } else {
            object.spec = body.get("spec").cloned().unwrap_or(Json::Null);
        }
        if object.spec == known.spec && object.status == known.status {
            return ("200 OK", known.encode());
        }
        state.revision += 1;
        object.revision = state.revision;
        let answer = object.encode();
        self.apply(&mut state, kind, object);
        ("200 OK", answer)
    }

    fn remove(
        &self,
        kind: &str,
        name: &str,
        query: &BTreeMap<String, String>,
    ) -> (&'static str, String) {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let Some(known) = state.objects.get(&key).cloned() else {
            return ("404 Not Found", "{}".to_owned());
        };
        let expected = query.get("revision").and_then(|text| text.parse::<u64>().ok());
        if expected.is_some_and(|expected| expected != known.revision) {
            return ("409 Conflict", known.encode());
        }
        state.revision += 1;
        let revision = state.revision;
        state.objects.remove(&key);
        let object = Object { revision, ..known };
        let answer = object.encode();
        state.history.push(Change { revision, kind: key.0, removed: true, object });
        self.changed.notify_all();
        ("200 OK", answer)
    }
}

/// Decodes the percent encoding of a part of a path or a query.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let code = code.and_then(|digits| std::str::from_utf8(digits).ok());
        match code.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
