//! Ports of the processes under test.

mod platform;

use std::collections::BTreeSet;

use platform::{Process, Store};

/// More processes than a hundred ports are enough for.
const PROCESSES: usize = 30;

/// A process is given ports of another one that still lives.
#[test]
fn shared_ports() {
    let store = Store::start();
    let names = (0..PROCESSES).map(|number| format!("side-{number}"));
    let processes: Vec<Process> = names.map(|name| Process::start_relay(&store, &name)).collect();
    let addresses = processes.iter().flat_map(|process| [process.callers, process.readiness]);
    assert_eq!(addresses.collect::<BTreeSet<_>>().len(), 2 * PROCESSES);
}
