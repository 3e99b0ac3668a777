//! Objects in the store with very deep values, numbers beyond any range and ports that do not exist: no
//! process that reads them ends or stops following the store.

mod platform;

use platform::odd_values::MARKS;
use platform::{Action, Backend, Process, Store, request};
use serde_json::{Value, json};

/// Kinds of objects that gateways and relays read, other than budgets and the configuration.
const KINDS: [&str; 5] =
    ["servers", "relays", "evacuations", "software-versions", "stream-origins"];

/// A fleet of one relay and one entry, with a server.
struct OddFleet {
    store: Store,
    server: Backend,
    relay: Process,
    gateway: Process,
}

impl OddFleet {
    fn start(store: Store) -> Self {
        let server = Self::start_server("i-5");
        platform::configure_prepaid(&store, 1, &[&server], 1_000_000);
        let relay = Process::start_relay(&store, "side-1");
        platform::wait_until("the relay", || store.has("relays", "side-1"));
        let gateway = Process::start_gateway(&store);
        Self { store, server, relay, gateway }
    }

    fn start_server(id: &str) -> Backend {
        let stream = [platform::STREAM_HEAD, &platform::chunk("id: 1\ndata: x\n\n"), "0\r\n\r\n"];
        let stream = stream.concat();
        Backend::start(id, move |_, message| {
            let is_stream = message.target().starts_with("/stream/");
            let plain = platform::signed_response("fine");
            Action::Respond(if is_stream { stream.clone() } else { plain })
        })
    }

    fn call(&self, path: &str, id: &str) -> String {
        let is_stream = path.starts_with("/stream/");
        let prompt = if is_stream { platform::PROMPT_HEADERS } else { "" };
        let headers = format!("{prompt}Connection: close\r\n");
        platform::call_raw(self.gateway.callers, &request("POST", path, id, &headers, "p"))
    }

    /// Asserts that both processes run and serve, and that a change of the store reaches them.
    fn assert_follows(&mut self, turn: usize) {
        for path in ["/once/a", "/stream/a"] {
            platform::wait_until("a response", || {
                self.call(path, &format!("r{turn}")).starts_with("HTTP/1.1 200")
            });
        }
        let next = Self::start_server(&format!("i-new-{turn}"));
        platform::register(&self.store, &next, "a", 0);
        let mut calls = 0;
        platform::wait_until(&format!("server {turn}"), || {
            calls += 1;
            self.call("/once/a", &format!("n{turn}-{calls}"));
            !next.seen().is_empty()
        });
        self.store.remove("servers", &next.id);
        assert!(self.relay.is_running() && self.gateway.is_running());
    }

    /// Returns an object of each kind, in which fields are replaced. Those of kinds other than relays are
    /// registrations of servers.
    fn sound_objects(&self) -> Vec<(&'static str, Value)> {
        let relay = json!({
            "address": "127.0.0.1:1", "lending": "127.0.0.1:1", "data_centre": "c", "region": "elsewhere",
        });
        // Large numbers alone make no entry odd, so that these name servers, which nobody calls.
        let mut server = self.store.get("servers", &self.server.id).expect("an entry");
        server["service"] = json!("spare");
        server["address"] = json!("127.0.0.1:1");
        KINDS
            .map(|kind| (kind, if kind == "relays" { relay.clone() } else { server.clone() }))
            .into()
    }

    /// Writes objects of all kinds with odd values as a whole and in each field.
    fn write_odd_objects(&self) {
        let values = MARKS.map(|mark| json!(mark)).into_iter().chain([
            json!("127.0.0.1:70000"),
            json!("127.0.0.1:0"),
            json!(u64::MAX),
            json!(i64::MIN),
            json!(1.7e308),
            json!(-1.7e308),
        ]);
        for (number, value) in values.enumerate() {
            for (kind, sound) in self.sound_objects() {
                let name = |field: &str| format!("odd {number} {field}/\u{fc}?&%");
                self.store.put(kind, &name(""), value.clone());
                for field in sound.as_object().expect("fields").keys() {
                    let mut odd = sound.clone();
                    odd[field] = value.clone();
                    self.store.put(kind, &name(field), odd);
                }
            }
        }
    }
}

/// Guards against processes that end while they run, or keep the list that they had.
#[test]
fn watched_objects() {
    let mut fleet = OddFleet::start(Store::start());
    fleet.assert_follows(0);
    fleet.write_odd_objects();
    fleet.assert_follows(1);
    fleet.write_odd_objects();
    fleet.assert_follows(2);
}

/// Guards against processes that cannot start beside such objects.
#[test]
fn listed_objects() {
    let mut fleet = OddFleet::start(Store::start());
    fleet.write_odd_objects();
    fleet.relay.restart();
    fleet.gateway.restart();
    fleet.gateway.wait_ready(true);
    fleet.assert_follows(0);
}

/// Guards against an odd configuration that ends an entry, is taken for an empty one, or hides the next
/// sound one.
#[test]
fn odd_configurations() {
    let mut fleet = OddFleet::start(Store::start());
    let sound = platform::current_config(&fleet.store);
    let fields = ["version", "routes", "services", "limits", "tenants"];
    for (turn, mark) in MARKS.into_iter().enumerate() {
        for field in fields {
            let mut config = sound.clone();
            config["version"] = json!(10 * turn + 2);
            config[field] = json!(mark);
            fleet.store.put("config", "main", config);
            let response = fleet.call("/once/a", "r1");
            assert!(response.starts_with("HTTP/1.1 200"), "{field} {mark}: {response}");
        }
        fleet.store.put("config", "main", json!(mark));
        platform::configure_extra_route(
            &fleet.store,
            10 * turn as u64 + 3,
            &[&fleet.server],
            "more",
        );
        platform::wait_until("the next configuration", || {
            fleet.call("/more/a", "r2").starts_with("HTTP/1.1 200")
        });
        fleet.store.put("config", "main", {
            let mut config = sound.clone();
            config["version"] = json!(10 * turn + 4);
            config
        });
    }
    assert!(fleet.relay.is_running() && fleet.gateway.is_running());
}

/// Guards against odd budgets that end a process, and stop what needs no budget.
#[test]
fn odd_budgets() {
    let mut fleet = OddFleet::start(Store::start());
    for mark in MARKS {
        for shard in 0..4 {
            fleet.store.put("budgets", &format!("shard-{shard}"), json!({"accounts": mark}));
        }
        fleet.relay.restart();
        fleet.gateway.restart();
        fleet.gateway.wait_ready(true);
        let response = fleet.call("/stream/a", "r1");
        assert!(response.starts_with("HTTP/1.1 503"), "{mark}: {response}");
        assert!(response.contains("not-run"), "{mark}: {response}");
        assert!(fleet.relay.is_running() && fleet.gateway.is_running(), "{mark}");
    }
}
