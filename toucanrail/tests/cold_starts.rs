//! Permits for servers that have just started.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use toucanrail::coldstarts::{self, ColdRule, ColdSlack, ColdTable};
use toucanrail::permits::{PERMIT_VALIDITY, PermitReply, PermitRequest, PermitTable};

const RULE: ColdRule = ColdRule { time: Duration::from_secs(3), rate: 10.0 };
const SLACK: ColdSlack = ColdSlack { factor: 1.5, extra: 5.0 };
/// Maximum number of arrivals per second that a cold server tolerates.
const MAX_ARRIVALS: usize = 20;
const SECOND: Duration = Duration::from_secs(1);

fn permit_request() -> PermitRequest {
    PermitRequest {
        server: Arc::from("s"),
        limit: coldstarts::permit_limit(RULE, SLACK),
        stated: None,
    }
}

/// Returns the maximum number of arrivals within one second, including both ends.
fn count_most(arrivals: &mut [Duration]) -> usize {
    arrivals.sort_unstable();
    let within = |from: &Duration| {
        arrivals.iter().filter(|at| **at >= *from && **at <= *from + SECOND).count()
    };
    arrivals.iter().map(within).max().unwrap_or(0)
}

proptest! {
    /// Any number of entries request permits at any time and send as late as their permits allow;
    /// in some cases the relay is killed and restarts without its state. The server must not get
    /// more than its maximum.
    #[test]
    fn never_overloaded(
        requests in proptest::collection::vec((0_u64..3_000, 0_u64..149), 1..400),
        killed_at in proptest::option::of(0_u64..3_000),
    ) {
        let mut requests = requests;
        requests.sort_unstable();
        let mut table = PermitTable::new(Duration::ZERO);
        let start = ColdTable::WINDOW;
        let killed_at = killed_at.map(|at| start + Duration::from_millis(at));
        let mut restarted = false;
        let mut arrivals = Vec::new();
        for (at, delay) in requests {
            let now = start + Duration::from_millis(at);
            if killed_at.is_some_and(|killed_at| now >= killed_at) && !restarted {
                restarted = true;
                table = PermitTable::new(now);
            }
            if table.grant(&permit_request(), now) == PermitReply::Given {
                let delay = Duration::from_millis(delay);
                prop_assert!(delay < PERMIT_VALIDITY);
                arrivals.push(now + delay);
            }
        }
        let peak = count_most(&mut arrivals);
        let allowed = if restarted { MAX_ARRIVALS } else { permit_request().limit };
        prop_assert!(peak <= allowed, "{peak}");
    }
}

/// A cold server must not starve: permits for the rate that it is designed for must be available.
#[test]
fn rate_served() {
    let mut table = PermitTable::new(Duration::ZERO);
    let start = ColdTable::WINDOW;
    let given = (0..3_000_u64)
        .filter(|at| {
            table.grant(&permit_request(), start + Duration::from_millis(*at)) == PermitReply::Given
        })
        .count();
    assert!(given as f64 >= RULE.rate * 3.0, "{given}");
}

/// All entries use one server whose permits are exhausted. The delay they are given must lead to
/// the next available permit.
#[test]
fn advised_delay() {
    let mut table = PermitTable::new(Duration::ZERO);
    let now = ColdTable::WINDOW * 2;
    for _ in 0..permit_request().limit {
        assert_eq!(table.grant(&permit_request(), now), PermitReply::Given);
    }
    let PermitReply::After(wait) = table.grant(&permit_request(), now) else {
        panic!("a permit above the limit");
    };
    assert_eq!(table.grant(&permit_request(), now + wait), PermitReply::Given);
}
