//! Servers of other data centres, with and without settings that state their costs.

mod platform;

use std::thread;
use std::time::Duration;

use platform::{Action, Backend, Process, Store, request};
use serde_json::Value;
use toucanrail::settings::{self, StartAction};
use toucanrail_gateway::tuning::{self, GatewayTuning};

/// Time to a response of the near server. The far one, at 10 ms for each request, is worth less than
/// 20 ms more, and costs less than the near one at 5 ms.
const NEAR_TIME: Duration = Duration::from_millis(150);

fn send(gateway: &Process, id: &str) -> String {
    let response = platform::call(gateway.callers, &request("POST", "/once/a", id, "", "x"));
    String::from_utf8_lossy(&response.expect("a response").body).into_owned()
}

/// Returns what the gateway responds at an address for operators.
fn read_admin(gateway: &Process, path: &str) -> String {
    let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    let response = platform::call(gateway.readiness, &text).expect("a response");
    String::from_utf8_lossy(&response.body).into_owned()
}

/// The servers of the own data centre suffice. Once settings state what others cost, no request goes
/// there for a small gain; once the own server is gone, all do at once.
#[test]
fn near_preferred() {
    let store = Store::start();
    let near = Backend::start("i-a", |_, _| {
        thread::sleep(NEAR_TIME);
        Action::Respond(platform::signed_response("near"))
    });
    let far = Backend::start("i-b", |_, _| Action::Respond(platform::signed_response("far")));
    platform::configure(&store, 1, &[&near, &far]);
    platform::register(&store, &far, "b", 0);
    let mut gateway = Process::start_gateway(&store);
    let unset: Vec<String> = (0..4).map(|at| send(&gateway, &format!("u{at}"))).collect();
    assert!(unset.contains(&"far".into()), "{unset:?}");
    assert!(!read_admin(&gateway, "/metrics").contains("sent_local"));
    gateway.restart_with(&["--zone-delay=5ms", "--zone-price=20ms/MB"]);
    gateway.wait_ready(true);
    for at in 0..8 {
        assert_eq!(send(&gateway, &format!("s{at}")), "near");
    }
    let metrics = read_admin(&gateway, "/metrics");
    assert!(metrics.contains("sent_local") && !metrics.contains("sent_remote"), "{metrics}");
    store.remove("servers", "i-a");
    let mut number = 0;
    platform::wait_until("the far server", || {
        number += 1;
        send(&gateway, &format!("f{number}")) == "far"
    });
    assert_eq!(send(&gateway, "g"), "far");
    assert!(read_admin(&gateway, "/metrics").contains("sent_remote"));
    let state: Value = serde_json::from_str(&read_admin(&gateway, "/state")).expect("JSON");
    assert!(state["offloads"]["desk"]["share"].is_f64(), "{state}");
}

fn read_tuning(flags: &[&str]) -> (GatewayTuning, Vec<String>) {
    let flags = flags.iter().map(|flag| (*flag).into());
    let read =
        settings::read("gateway", "", &tuning::SETTINGS, flags.collect::<Vec<_>>(), |_| None);
    let StartAction::Run(mut values) = read else { panic!("the settings ask for help") };
    let tuning = GatewayTuning::read(&mut values);
    (tuning, values.errors.iter().map(ToString::to_string).collect())
}

/// A wrong unit or a missing one must be told at the start, not taken for another value. A setting
/// that is not given must not turn the part on.
#[test]
fn wrong_settings() {
    assert!(read_tuning(&[]).0.remote_costs.is_none());
    let (tuning, errors) = read_tuning(&["--zone-price=20ms/MB"]);
    assert_eq!(
        (errors, tuning.remote_costs.map(|costs| costs.request_cost(1_000_000))),
        (vec![], Some(25.0))
    );
    let (_, errors) = read_tuning(&["--zone-delay=5s", "--zone-price=20ms"]);
    assert_eq!(
        errors,
        [
            "5003: --zone-delay: '5s' is not a time like 5ms, at most 1s",
            "5003: --zone-price: '20ms' is not a price like 20ms/MB",
        ]
    );
    for flag in ["--zone-delay=5", "--zone-delay=-1ms", "--zone-price=20/MB", "--zone-price=/MB"] {
        assert_eq!(read_tuning(&[flag]).1.len(), 1, "{flag}");
    }
}
