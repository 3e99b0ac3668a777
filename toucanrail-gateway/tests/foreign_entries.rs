//! Objects in the store that another writer made: fields that are missing or of another type, words
//! that nobody knows, values that are no objects. None names a server to use, and the others hold.

mod platform;

use platform::{Action, Backend, Process, Store, request};
use serde_json::{Value, json};

/// A store, a server with a sound entry, and one that nothing sound names.
struct Service {
    store: Store,
    sound: Backend,
    other: Backend,
}

impl Service {
    fn start() -> Self {
        let store = Store::start();
        let respond =
            |_: usize, _: &platform::Message| Action::Respond(platform::signed_response("fine"));
        let [sound, other] = ["i-5", "i-1"].map(|id| Backend::start(id, respond));
        platform::configure(&store, 1, &[&sound]);
        Self { store, sound, other }
    }

    /// Returns unusable entries, by the name of their object.
    fn foreign_entries(&self) -> Vec<(String, Value)> {
        platform::register(&self.store, &self.other, "a", 0);
        let entry = self.store.get("servers", "i-1").expect("an entry");
        self.store.remove("servers", "i-1");
        let changed = |field: &str, value: Value| {
            let mut entry = entry.clone();
            entry[field] = value;
            entry
        };
        let without = |field: &str| {
            let mut entry = entry.clone();
            entry.as_object_mut().expect("an object").remove(field);
            entry
        };
        let mut entries = vec![
            changed("state", json!("resting")),
            changed("state", json!(1)),
            changed("service", json!(["desk"])),
            changed("service", json!("unknown")),
            changed("address", json!("nowhere")),
            changed("address", json!(7)),
            changed("zone", Value::Null),
            changed("slots", json!("many")),
            changed("slots", json!(-1)),
            changed("born", json!(1.5)),
            changed("born", json!(-4)),
            changed("cold_remaining_ms", json!("long")),
            changed("version", json!({})),
            changed("seq", json!("second")),
            changed("seq", json!(-1)),
            Value::Null,
            json!([]),
            json!("text"),
            json!(7),
            json!({}),
        ];
        let fields = ["state", "service", "address", "zone", "version", "slots", "seq"];
        entries.extend(fields.map(without));
        entries.push(without("cold_remaining_ms"));
        let named = entries.into_iter().enumerate();
        named.map(|(number, entry)| (format!("i-1{number:02}"), entry)).collect()
    }

    /// Asserts that requests are served, by the sound server alone.
    fn assert_served(&self, gateway: &Process) {
        for number in 0..8 {
            let response = call(gateway, &format!("r{number}"));
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        }
        assert!(self.other.seen().is_empty(), "{:?}", self.other.seen());
    }
}

fn call(gateway: &Process, id: &str) -> String {
    let text = request("GET", "/safe/a", id, "Connection: close\r\n", "");
    platform::call_raw(gateway.callers, &text)
}

/// They are there when an entry starts.
#[test]
fn listed_entries() {
    let service = Service::start();
    for (name, entry) in service.foreign_entries() {
        service.store.put("servers", &name, entry);
    }
    let gateway = Process::start_gateway(&service.store);
    service.assert_served(&gateway);
}

/// They come while an entry runs.
#[test]
fn watched_entries() {
    let service = Service::start();
    let gateway = Process::start_gateway(&service.store);
    service.assert_served(&gateway);
    for (name, entry) in service.foreign_entries() {
        service.store.put("servers", &name, entry);
        service.assert_served(&gateway);
    }
    // A change behind them still arrives.
    platform::register(&service.store, &service.other, "a", 0);
    platform::wait_until("the other server", || {
        call(&gateway, "late");
        !service.other.seen().is_empty()
    });
}

/// A server's own entry is written over by one of them: it names no server to use any more.
#[test]
fn overwritten_entry() {
    let service = Service::start();
    let entries = service.foreign_entries();
    for (_, entry) in entries.iter().step_by(3) {
        platform::register(&service.store, &service.other, "a", 0);
        let gateway = Process::start_gateway(&service.store);
        service.store.put("servers", "i-1", entry.clone());
        std::thread::sleep(std::time::Duration::from_millis(400));
        let before = service.other.seen().len();
        for number in 0..6 {
            let response = call(&gateway, &format!("r{number}"));
            assert!(response.starts_with("HTTP/1.1 200"), "{entry}: {response}");
        }
        assert_eq!(service.other.seen().len(), before, "{entry}");
        assert!(!service.sound.seen().is_empty());
    }
}
