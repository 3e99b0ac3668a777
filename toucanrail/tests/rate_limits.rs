//! Permits at the rates that backend servers state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use serde::{Deserialize, Serialize};
use toucanrail::coldstarts;
use toucanrail::permit_relays::{PermitRelay, RelayFailures};
use toucanrail::permits::{PERMIT_VALIDITY, PermitReply, PermitRequest, PermitTable};
use toucanrail::rate_limits::StatedRate;
use toucanrail::statements::ServerStatements;

/// Window in which arrivals at a limited server are counted, in milliseconds.
const WINDOW: u64 = 4_000;

/// Returns the maximum number of arrivals in a window: one and a half times what the limit allows,
/// plus 5.
fn max_arrivals(rate: f64) -> usize {
    (1.5 * rate * 4.0 + 5.0) as usize
}

fn make_request(rate: f64, age: u64) -> PermitRequest {
    let stated = Some(StatedRate { rate, age: Duration::from_millis(age) });
    PermitRequest { server: Arc::from("s"), limit: coldstarts::NO_LIMIT, stated }
}

/// Returns the maximum number of arrivals within one window.
fn count_most(arrivals: &mut [u64]) -> usize {
    arrivals.sort_unstable();
    let within =
        |from: &u64| arrivals.iter().filter(|at| **at >= *from && **at < *from + WINDOW).count();
    arrivals.iter().map(within).max().unwrap_or(0)
}

fn at(millis: u64) -> Duration {
    Duration::from_secs(60) + Duration::from_millis(millis)
}

proptest! {
    /// Entries request permits at any time and send as late as these allow; in some cases the relay
    /// is restarted without its state. The server must not get more than its maximum.
    #[test]
    fn rate_kept(
        rate in 0.0_f64..40.0,
        requests in proptest::collection::vec((0_u64..9_000, 0_u64..149), 1..600),
        killed_at in proptest::option::of(0_u64..9_000),
    ) {
        let mut requests = requests;
        requests.sort_unstable();
        let mut killed_at = killed_at;
        let mut table = PermitTable::new(Duration::ZERO);
        let mut arrivals = Vec::new();
        for (now, delay) in requests {
            if killed_at.is_some_and(|killed_at| now >= killed_at) {
                killed_at = None;
                table = PermitTable::new(at(now));
            }
            if table.grant(&make_request(rate, 0), at(now)) == PermitReply::Given {
                prop_assert!(Duration::from_millis(delay) < PERMIT_VALIDITY);
                arrivals.push(now + delay);
            }
        }
        let most = count_most(&mut arrivals);
        prop_assert!(most <= max_arrivals(rate), "{most} at {rate}");
    }

    /// Entries that request a permit as soon as they are advised to get what the server accepts.
    #[test]
    fn rate_reached(rate in 0.3_f64..40.0) {
        let mut table = PermitTable::new(Duration::ZERO);
        let (mut now, mut given) = (Duration::from_secs(60), 0_u32);
        let end = now + Duration::from_secs(10);
        while now < end {
            match table.grant(&make_request(rate, 0), now) {
                PermitReply::Given => given += 1,
                PermitReply::After(wait) => now += wait,
            }
        }
        prop_assert!(f64::from(given) >= rate * 10.0 - 1.0, "{given} at {rate}");
    }

    /// Two relays, neither beside the server, issue permits to entries that list different relays.
    #[test]
    fn split_relays(
        rate in 0.0_f64..40.0,
        requests in proptest::collection::vec((0_u64..9_000, 0_usize..2), 1..600),
    ) {
        let mut requests = requests;
        requests.sort_unstable();
        let relay = make_relay("far", false);
        let mut tables = [PermitTable::new(Duration::ZERO), PermitTable::new(Duration::ZERO)];
        let mut arrivals = Vec::new();
        for (now, number) in requests {
            let mut request = make_request(rate, 0);
            request.stated = request.stated.map(|stated| relay.scale_rate(stated));
            if tables[number].grant(&request, at(now)) == PermitReply::Given {
                arrivals.push(now);
            }
        }
        let most = count_most(&mut arrivals);
        prop_assert!(most <= max_arrivals(rate), "{most} at {rate}");
    }
}

/// Entries know different limits of a server. Guards against an old, higher one that lets more
/// requests through.
#[test]
fn newest_rate() {
    let mut table = PermitTable::new(Duration::ZERO);
    assert_eq!(table.grant(&make_request(1.0, 0), at(0)), PermitReply::Given);
    let reply = table.grant(&make_request(50.0, 300), at(100));
    assert_eq!(reply, PermitReply::After(Duration::from_millis(650)));
    // A newer limit applies at once, also to permits that were issued before.
    let reply = table.grant(&make_request(50.0, 0), at(120));
    assert_eq!(reply, PermitReply::After(Duration::from_millis(20)));
}

/// A server states that it accepts nothing. Guards against entries that never ask it again, and so
/// never learn that the limit has ended.
#[test]
fn zero_rate() {
    let mut table = PermitTable::new(Duration::ZERO);
    let request = make_request(0.0, 0);
    let given = (0..20_000).filter(|now| table.grant(&request, at(*now)) == PermitReply::Given);
    let mut given: Vec<u64> = given.collect();
    assert!(count_most(&mut given) <= max_arrivals(0.0), "{given:?}");
    assert!(given.len() >= 4, "{given:?}");
}

fn make_relay(name: &str, is_beside: bool) -> PermitRelay {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    PermitRelay { name: Arc::from(name), address, is_beside }
}

/// The relay beside a server does not respond. Guards against a stand-in while the relay may just
/// be restarting, and against none when it stays away.
#[test]
fn relay_failover() {
    let relays = [make_relay("near", true), make_relay("far", false)];
    let mut failures = RelayFailures::default();
    let pick = |failures: &RelayFailures, now: u64| {
        failures.pick_relay(&relays, at(now)).map(|relay| relay.is_beside)
    };
    for now in [0, 500, 1_000, 1_500] {
        assert_eq!(pick(&failures, now), Some(true));
        failures.record_failure(&relays[0].name, at(now));
    }
    assert_eq!(pick(&failures, 2_100), Some(false));
    assert_eq!(pick(&failures, 2_500), Some(true));
    failures.record_response("near");
    assert_eq!(pick(&failures, 2_600), Some(true));
}

/// A relay fails now and again, with long pauses. Guards against a stand-in at the first failure
/// because of one long ago.
#[test]
fn old_failure() {
    let relays = [make_relay("near", true), make_relay("far", false)];
    let mut failures = RelayFailures::default();
    for now in [0, 60_000] {
        failures.record_failure(&relays[0].name, at(now));
        let picked = failures.pick_relay(&relays, at(now + 100));
        assert_eq!(picked.map(|relay| relay.is_beside), Some(true), "{now}");
    }
}

/// Responses overtake each other: one to a request from before the limit arrives after it. Guards
/// against a limit that ends too early.
#[test]
fn overtaken_response() {
    let mut statements = ServerStatements::default();
    assert!(statements.record_rate_limit(Some(2.0), at(10), at(50)));
    assert!(!statements.record_rate_limit(None, at(0), at(60)));
    assert_eq!(statements.rate_limit.map(|limit| limit.rate), Some(2.0));
    assert!(statements.record_rate_limit(None, at(70), at(90)));
    assert_eq!(statements.rate_limit, None);
}

/// A permit request of the previous version, which knows no rate limits.
#[derive(Debug, Serialize, Deserialize)]
struct OldRequest {
    server: Arc<str>,
    limit: usize,
}

/// Entries and relays of two versions run side by side during an upgrade. Guards against permit
/// requests that one of them cannot decode.
#[test]
fn previous_version() {
    let old = OldRequest { server: Arc::from("s"), limit: 14 };
    let request: PermitRequest =
        rmp_serde::from_slice(&rmp_serde::to_vec_named(&old).unwrap()).unwrap();
    assert_eq!(request, PermitRequest { server: Arc::from("s"), limit: 14, stated: None });
    let bytes = rmp_serde::to_vec_named(&make_request(2.0, 0)).unwrap();
    let old: OldRequest = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(old.limit, coldstarts::NO_LIMIT);
}
