//! The share of streams that go on where their callers take them up, while relays and entries that
//! knew where they began restart, leave or lose power.

mod platform;

use std::thread;
use std::time::{Duration, Instant};

use platform::Process;
use platform::streams::{
    EVENTS, Fleet, RECORD_TIME, ROUTE_TIMEOUT, begin_any, call_stream, fresh_id, take_up,
};

/// Streams that are taken up, and new ones beside them.
const STREAMS: usize = 16;
/// Relays of a fleet.
const RELAYS: usize = 4;
/// Pause between the restarts of two relays, so that all are done within 3 s.
const RESTART_PAUSE: Duration = Duration::from_millis(600);

/// A stream that has begun: the attempt that received its first event, and the version.
struct BegunStream {
    attempt: String,
    version: String,
}

/// Begins streams, whose callers then lose their connections.
fn begin_streams(entry: &Process) -> Vec<BegunStream> {
    let begin = |_| {
        let attempt = fresh_id();
        let (_, version) = begin_any(entry, &attempt);
        BegunStream { attempt, version }
    };
    (0..STREAMS).map(begin).collect()
}

/// Begins streams while one version serves, adds another one and lets the entries tell the relays.
fn begin_before_release(fleet: &Fleet) -> Vec<BegunStream> {
    let streams = begin_streams(&fleet.entries[0]);
    fleet.add_version();
    thread::sleep(RECORD_TIME);
    streams
}

/// Takes streams up in turn with new ones. Asserts that of those taken up at least half as many go
/// on as new ones begin, and that each goes on at its version.
fn assert_share(entry: &Process, streams: &[BegunStream]) {
    let (mut went_on, mut began) = (0, 0);
    for BegunStream { attempt, version } in streams {
        let response = take_up(entry, &fresh_id(), attempt);
        let events = response.matches("data: ").count();
        assert_eq!(events, response.matches(&format!("data: {version}")).count(), "{response}");
        went_on += usize::from(events as u64 == EVENTS - 1);
        let response = call_stream(entry, &fresh_id(), "");
        began += usize::from(response.matches("data: ").count() as u64 == EVENTS);
    }
    println!("{went_on} of {} went on, {began} of {} began", streams.len(), streams.len());
    assert!(2 * went_on >= began, "{went_on} went on, {began} began");
    assert!(began > 0);
}

fn restart_in_turn(relays: &mut [Process]) {
    for relay in relays {
        relay.restart();
        thread::sleep(RESTART_PAUSE);
    }
}

/// The entry that noted the streams is killed, then all relays restart one after the other.
#[test]
fn restarts_after_entry() {
    let mut fleet = Fleet::start(RELAYS);
    let streams = begin_before_release(&fleet);
    fleet.entries[0].kill();
    restart_in_turn(&mut fleet.relays);
    assert_share(&fleet.entries[1], &streams);
}

/// The entry that noted the streams lives, and has no new stream while all relays restart one after
/// the other.
#[test]
fn restarts_beside_idle() {
    let mut fleet = Fleet::start(RELAYS);
    let streams = begin_before_release(&fleet);
    restart_in_turn(&mut fleet.relays);
    assert_share(&fleet.entries[1], &streams);
}

/// The entry that noted the streams is killed, then each relay is replaced by one with another name.
#[test]
fn replaced_relays() {
    let mut fleet = Fleet::start(RELAYS);
    let streams = begin_before_release(&fleet);
    fleet.entries[0].kill();
    let replacements = (0..RELAYS).map(|number| {
        let vm = format!("side-{}", RELAYS + number);
        let relay = Process::start_relay(&fleet.store, &vm);
        platform::wait_until("the relay", || fleet.store.has("relays", &vm));
        fleet.relays[number].kill();
        thread::sleep(RESTART_PAUSE);
        relay
    });
    let _replacements: Vec<Process> = replacements.collect();
    assert_share(&fleet.entries[1], &streams);
}

/// Most relays in the store have left with their VMs. The ones that keep the streams are found behind
/// them by another entry, which has never called the others.
#[test]
fn departed_relays() {
    let mut fleet = Fleet::start(RELAYS);
    for number in 0..9 * RELAYS {
        platform::register_departed(&fleet.store, &format!("gone-{number}"));
    }
    // An entry that starts lists the relays.
    fleet.entries[0].restart();
    fleet.entries[0].wait_ready(true);
    let streams = begin_before_release(&fleet);
    fleet.entries[1].restart();
    fleet.entries[1].wait_ready(true);
    fleet.entries[0].kill();
    assert_share(&fleet.entries[1], &streams);
}

/// All entries and relays lose power at the same moment.
#[test]
fn all_lose_power() {
    let mut fleet = Fleet::start(RELAYS);
    let streams = begin_before_release(&fleet);
    restart_all(&mut fleet);
    assert_share(&fleet.entries[1], &streams);
}

/// All entries and relays lose power while all servers run one version, and callers do not name the
/// attempt that brought their first event. No entry can have listed the servers for longer than a
/// stream lasts.
#[test]
fn sole_after_loss() {
    let mut fleet = Fleet::start(RELAYS);
    let unnamed = |entry: &Process| call_stream(entry, &fresh_id(), "Last-Event-Id: 1\r\n");
    fleet.wait_sole_version();
    begin_streams(&fleet.entries[0]);
    thread::sleep(RECORD_TIME);
    restart_all(&mut fleet);
    let restarted = Instant::now();
    for _ in 0..STREAMS {
        let response = unnamed(&fleet.entries[1]);
        assert_eq!(response.matches("data: v1").count() as u64, EVENTS - 1, "{response}");
    }
    assert!(restarted.elapsed() < ROUTE_TIMEOUT);
}

fn restart_all(fleet: &mut Fleet) {
    let Fleet { relays, entries, .. } = fleet;
    relays.iter_mut().chain(&mut *entries).for_each(Process::kill);
    relays.iter_mut().chain(&mut *entries).for_each(Process::restart);
    for entry in entries {
        entry.wait_ready(true);
    }
}
