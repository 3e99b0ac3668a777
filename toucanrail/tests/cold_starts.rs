//! Servers that have just started, and the permits for them.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use toucanrail::coldstarts::{
    self, ColdRule, ColdSlack, PERMIT_VALIDITY, PermitReply, PermitRequest, PermitTable,
};

const RULE: ColdRule = ColdRule { time: Duration::from_secs(3), rate: 10.0 };
const SLACK: ColdSlack = ColdSlack { factor: 1.5, extra: 5.0 };
/// Arrivals in one second that a cold server bears.
const BOUND: usize = 20;
const SECOND: Duration = Duration::from_secs(1);

fn order() -> PermitRequest {
    PermitRequest { server: Arc::from("s"), limit: coldstarts::permit_limit(RULE, SLACK) }
}

/// Returns the most arrivals within one second, both ends included.
fn count_most(arrivals: &mut [Duration]) -> usize {
    arrivals.sort_unstable();
    let within = |from: &Duration| {
        arrivals.iter().filter(|at| **at >= *from && **at <= *from + SECOND).count()
    };
    arrivals.iter().map(within).max().unwrap_or(0)
}

proptest! {
    /// Any number of entries ask at any time and send as late as their permits allow; in one of the runs the
    /// relay is killed and starts anew, knowing nothing. The server is not pressed beyond its bound.
    #[test]
    fn never_pressed(
        asks in proptest::collection::vec((0_u64..3_000, 0_u64..149), 1..400),
        killed in proptest::option::of(0_u64..3_000),
    ) {
        let mut asks = asks;
        asks.sort_unstable();
        let mut table = PermitTable::new(Duration::ZERO);
        let start = PermitTable::WINDOW;
        let killed = killed.map(|at| start + Duration::from_millis(at));
        let mut restarted = false;
        let mut arrivals = Vec::new();
        for (at, delay) in asks {
            let now = start + Duration::from_millis(at);
            if killed.is_some_and(|killed| now >= killed) && !restarted {
                restarted = true;
                table = PermitTable::new(now);
            }
            if table.grant(&order(), now) == PermitReply::Given {
                let delay = Duration::from_millis(delay);
                prop_assert!(delay < PERMIT_VALIDITY);
                arrivals.push(now + delay);
            }
        }
        let most = count_most(&mut arrivals);
        let allowed = if restarted { BOUND } else { order().limit };
        prop_assert!(most <= allowed, "{most}");
    }
}

/// A cold server must not starve: the rate that it is made for is to be had of the permits.
#[test]
fn rate_served() {
    let mut table = PermitTable::new(Duration::ZERO);
    let start = PermitTable::WINDOW;
    let given = (0..3_000_u64)
        .filter(|at| {
            table.grant(&order(), start + Duration::from_millis(*at)) == PermitReply::Given
        })
        .count();
    assert!(given as f64 >= RULE.rate * 3.0, "{given}");
}

/// All entries turn to one server whose permits are used up. They are told when the next one is to be had,
/// and it is.
#[test]
fn told_wait() {
    let mut table = PermitTable::new(Duration::ZERO);
    let now = PermitTable::WINDOW * 2;
    for _ in 0..order().limit {
        assert_eq!(table.grant(&order(), now), PermitReply::Given);
    }
    let PermitReply::After(wait) = table.grant(&order(), now) else {
        panic!("a permit too many");
    };
    assert_eq!(table.grant(&order(), now + wait), PermitReply::Given);
}
