//! Streams of a version that came and went around a power loss. Their rest must not come from another
//! version, whatever could be written down before.

mod platform;

use std::thread;
use std::time::{Duration, Instant};

use platform::proxies::{Proxy, ProxyFault};
use platform::streams::{Fleet, RECORD_TIME, begin_any, fresh_id, take_up, try_begin};
use platform::{Process, Store};

/// Relays of a fleet.
const RELAYS: usize = 3;
/// Streams that are taken up; each may wait for a listing of the store.
const TAKEN_UP: usize = 6;
/// Time in which streams begin while relays cannot write to the store.
const CUT_TIME: Duration = Duration::from_millis(600);

/// A fleet whose relays and entries reach the store through proxies.
struct CutFleet {
    fleet: Fleet,
    relays: Proxy,
}

impl CutFleet {
    /// Starts a fleet that has recorded its only version.
    fn start() -> Self {
        let store = Store::start();
        let (entries, relays) = (Proxy::start(store.address), Proxy::start(store.relay_address));
        let fleet = Fleet::start_at(store.behind(&entries, &relays), RELAYS);
        fleet.wait_sole_version();
        // Relays hear of the version with the notes of streams.
        drop(begin_any(&fleet.entries[0], &fresh_id()));
        platform::wait_until("the record", || fleet.store.has("software-versions", "desk"));
        Self { fleet, relays }
    }

    /// Registers the server of version `v2`, begins streams for some time, and removes it again.
    /// Returns the attempts whose streams it began.
    fn begin_at_new(&self) -> Vec<String> {
        platform::register_version(&self.fleet.store, &self.fleet.new, "v2");
        let begun = Instant::now();
        let mut attempts = Vec::new();
        while begun.elapsed() < CUT_TIME {
            let attempt = fresh_id();
            let begun = try_begin(&self.fleet.entries[0], &attempt);
            if begun.is_some_and(|(_, version)| version == "v2") {
                attempts.push(attempt);
            }
        }
        attempts
    }

    fn kill_all(&mut self) {
        let Fleet { relays, entries, .. } = &mut self.fleet;
        relays.iter_mut().chain(entries).for_each(Process::kill);
    }

    fn restart_all(&mut self) {
        let Fleet { relays, entries, .. } = &mut self.fleet;
        relays.iter_mut().chain(&mut *entries).for_each(Process::restart);
        for entry in entries {
            entry.wait_ready(true);
        }
    }

    /// Asserts that no stream of version `v2` goes on at another one. The newest are taken up, while
    /// their callers still wait.
    fn assert_not_joined(&self, attempts: &[String]) {
        for attempt in attempts.iter().rev().take(TAKEN_UP) {
            let response = take_up(&self.fleet.entries[1], &fresh_id(), attempt);
            assert!(!response.contains("data: v1"), "{attempt}: {response}");
        }
    }
}

/// Guards against a sole version that the store's record claims because the relays could not write the
/// other one down before all processes lost power.
#[test]
fn unwritten_record() {
    let mut cut = CutFleet::start();
    cut.relays.set_fault(ProxyFault::DropRequests);
    let attempts = cut.begin_at_new();
    cut.kill_all();
    cut.fleet.store.remove("servers", &cut.fleet.new.id);
    cut.relays.set_fault(ProxyFault::None);
    cut.restart_all();
    cut.assert_not_joined(&attempts);
}

/// Guards against a new version that gets no streams although its record could be written.
#[test]
fn recorded_version() {
    let mut cut = CutFleet::start();
    let attempts = cut.begin_at_new();
    assert!(!attempts.is_empty());
    thread::sleep(RECORD_TIME);
    cut.kill_all();
    cut.fleet.store.remove("servers", &cut.fleet.new.id);
    cut.restart_all();
    cut.assert_not_joined(&attempts);
}
