//! Streams of a service whose servers run several software versions. A stream may go on only at the
//! version that began it.

mod platform;

use std::thread;
use std::time::Instant;

use platform::streams::{
    EVENTS, Fleet, RECORD_TIME, ROUTE_TIMEOUT, assert_old, begin_stream, call_stream, fresh_id,
    stream_version, take_up,
};
use platform::{Action, Backend, Process, Store};

/// A server breaks a stream off, and the only other one runs another version. The caller must not
/// get its events in the same response.
#[test]
fn one_response() {
    let store = Store::start();
    let broken = [platform::STREAM_HEAD, &platform::chunk("id: 1\ndata: v1\n\nid: 2\nda")].concat();
    let first = Backend::start("i-0", move |_, _| Action::Disconnect(broken.clone()));
    let other = Backend::start("i-1", stream_version("v2"));
    platform::configure_prepaid(&store, 1, &[&first], 100_000);
    let gateway = Process::start_gateway(&store);
    platform::register_version(&store, &other, "v2");
    thread::sleep(RECORD_TIME);
    let response = call_stream(&gateway, "r1", "");
    assert!(response.contains("data: v1") && !response.contains("data: v2"), "{response}");
    assert!(!response.ends_with("0\r\n\r\n"), "{response}");
    assert!(other.seen().is_empty());
}

/// The same with another server of the first version: the stream goes on there.
#[test]
fn one_response_continued() {
    let store = Store::start();
    let broken = [platform::STREAM_HEAD, &platform::chunk("id: 1\ndata: v1\n\nid: 2\nda")].concat();
    let first = Backend::start("i-0", move |_, _| Action::Disconnect(broken.clone()));
    let [other, same] = [("i-1", "v2"), ("i-2", "v1")]
        .map(|(id, version)| Backend::start(id, stream_version(version)));
    platform::configure_prepaid(&store, 1, &[&first, &same], 100_000);
    let gateway = Process::start_gateway(&store);
    platform::register_version(&store, &other, "v2");
    thread::sleep(RECORD_TIME);
    let response = call_stream(&gateway, "r1", "");
    assert_eq!(response.matches("data: v1").count() as u64, EVENTS, "{response}");
    assert!(response.ends_with("0\r\n\r\n") && other.seen().is_empty(), "{response}");
}

/// A caller whose connection broke comes back to the same entry.
#[test]
fn same_entry() {
    let fleet = Fleet::start(0);
    drop(begin_stream(&fleet.entries[0], "r1"));
    fleet.add_version();
    assert_old(&take_up(&fleet.entries[0], "r2", "r1"));
}

/// A caller comes back to another entry, while the first one lives.
#[test]
fn first_entry_alive() {
    let fleet = Fleet::start(3);
    drop(begin_stream(&fleet.entries[0], "r1"));
    thread::sleep(RECORD_TIME);
    fleet.add_version();
    assert_old(&take_up(&fleet.entries[1], "r2", "r1"));
}

/// A caller comes back to another entry after the first one was killed.
#[test]
fn first_entry_killed() {
    let mut fleet = Fleet::start(3);
    let caller = begin_stream(&fleet.entries[0], "r1");
    fleet.add_version();
    fleet.entries[0].kill();
    drop(caller);
    assert_old(&take_up(&fleet.entries[1], "r2", "r1"));
}

/// A caller comes back to another entry while the first one is cut off, here stopped.
#[test]
fn first_entry_cut_off() {
    let fleet = Fleet::start(3);
    let _caller = begin_stream(&fleet.entries[0], "r1");
    fleet.add_version();
    fleet.entries[0].signal("STOP");
    let response = take_up(&fleet.entries[1], "r2", "r1");
    fleet.entries[0].signal("CONT");
    assert_old(&response);
}

/// A caller comes back a second time: it names the attempt that brought its first event, not the
/// one before.
#[test]
fn second_return() {
    let fleet = Fleet::start(3);
    drop(begin_stream(&fleet.entries[0], "r1"));
    thread::sleep(RECORD_TIME);
    fleet.add_version();
    assert_old(&take_up(&fleet.entries[1], "r2", "r1"));
    assert_old(&take_up(&fleet.entries[0], "r3", "r1"));
}

/// All relays restart one after the other while a stream runs, then its entry is killed. The
/// stream goes on at another entry all the same.
#[test]
fn relays_restarted() {
    let mut fleet = Fleet::start(3);
    let caller = begin_stream(&fleet.entries[0], "r1");
    fleet.add_version();
    for relay in &mut fleet.relays {
        relay.restart();
        thread::sleep(RECORD_TIME);
        // Any stream makes the entry write to its relays.
        call_stream(&fleet.entries[0], &fresh_id(), "");
        thread::sleep(RECORD_TIME);
    }
    fleet.entries[0].kill();
    drop(caller);
    assert_old(&take_up(&fleet.entries[1], "r2", "r1"));
}

/// Nobody knows the attempt that a caller names. The version is not guessed, and nothing runs.
#[test]
fn unknown_attempt() {
    let fleet = Fleet::start(1);
    fleet.add_version();
    fleet.assert_refused(&take_up(&fleet.entries[1], "r2", "r1"), "r2");
}

/// A caller takes a stream up without naming the attempt that brought its first event.
#[test]
fn unnamed_attempt() {
    let fleet = Fleet::start(0);
    drop(begin_stream(&fleet.entries[0], "r1"));
    fleet.add_version();
    let response = call_stream(&fleet.entries[1], "r2", "Last-Event-Id: 1\r\n");
    fleet.assert_refused(&response, "r2");
}

/// A caller names its last event by something that is no number. It takes a stream up all the same.
#[test]
fn odd_event() {
    let fleet = Fleet::start(0);
    fleet.add_version();
    let response = call_stream(&fleet.entries[1], "r2", "Last-Event-Id: 1a\r\n");
    fleet.assert_refused(&response, "r2");
}

/// The same while all servers have run one version for longer than any stream lasts: it goes on.
#[test]
fn sole_version() {
    let fleet = Fleet::start(0);
    platform::wait_until("a stream that goes on", || {
        let response = call_stream(&fleet.entries[1], "r2", "Last-Event-Id: 1\r\n");
        response.starts_with("HTTP/1.1 200")
    });
    assert_old(&call_stream(&fleet.entries[1], "r3", "Last-Event-Id: 1\r\n"));
}

/// An entry that has just started knows no version of before. It takes a stream up all the same if
/// other entries state that there was one only.
#[test]
fn confirmed_version() {
    let mut fleet = Fleet::start(3);
    let unnamed = |entry: &Process| call_stream(entry, &fresh_id(), "Last-Event-Id: 1\r\n");
    platform::wait_until("a stream that goes on", || {
        unnamed(&fleet.entries[1]).starts_with("HTTP/1.1 200")
    });
    let restarted_at = Instant::now();
    fleet.entries[0].restart();
    fleet.entries[0].wait_ready(true);
    platform::wait_until("a statement", || {
        call_stream(&fleet.entries[1], &fresh_id(), "");
        unnamed(&fleet.entries[0]).starts_with("HTTP/1.1 200")
    });
    assert!(restarted_at.elapsed() < ROUTE_TIMEOUT);
}

/// No server of the version that began a stream is left. Its caller is refused at once.
#[test]
fn version_gone() {
    let fleet = Fleet::start(0);
    drop(begin_stream(&fleet.entries[0], "r1"));
    fleet.add_version();
    for server in &fleet.old {
        fleet.store.remove("servers", &server.id);
    }
    thread::sleep(RECORD_TIME);
    fleet.assert_refused(&take_up(&fleet.entries[0], "r2", "r1"), "r2");
}

/// A server starts again under its id and address as another version.
#[test]
fn restarted_version() {
    let fleet = Fleet::start(0);
    drop(begin_stream(&fleet.entries[0], "r1"));
    fleet.add_version();
    for server in &fleet.old {
        platform::register_version(&fleet.store, server, "v3");
    }
    thread::sleep(RECORD_TIME);
    fleet.assert_refused(&take_up(&fleet.entries[0], "r2", "r1"), "r2");
}
