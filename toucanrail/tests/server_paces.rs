//! How fast servers are, as relays find out from load reports.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use toucanrail::paces::{self, BackendReport, PaceMeter, RunProgress};

/// Time of one event of an only stream at a fast server, by the users' engine sheet.
const EVENT: f64 = 0.0185;

/// A server on a model of an engine: all runs make events in step, slower by a thirtieth for each.
/// Prompts come at random; while one is read, nobody makes an event.
struct ModelServer {
    factor: f64,
    batch: usize,
    made: f64,
    next: u64,
    reading: f64,
    rng: fastrand::Rng,
}

impl ModelServer {
    fn step(&mut self, elapsed: f64) -> BackendReport {
        // A run lasts for 1.5 seconds; a fast server reads for two fifths of its time.
        let rate = self.batch as f64 / 1.5;
        if self.rng.f64() > (-rate * elapsed).exp() {
            self.next += 1;
            self.reading += 0.4 / rate * self.factor;
        }
        let read = self.reading.min(elapsed);
        self.reading -= read;
        let event = EVENT * self.factor * (1.0 + self.batch as f64 / 30.0);
        self.made += (elapsed - read) / event;
        let runs = (0..self.batch).map(|run| {
            let newest = run + 1 == self.batch;
            let events = if newest && self.reading > 0.0 {
                0
            } else {
                1 + (self.made + run as f64 / self.batch as f64) as u64
            };
            RunProgress { request: Arc::from(format!("r{}", self.next + run as u64)), events }
        });
        BackendReport { started_at: 1, waiting: 0, runs: runs.collect() }
    }
}

fn measure(factor: f64, batch: usize, seed: u64) -> Option<Duration> {
    let rng = fastrand::Rng::with_seed(seed);
    let mut server = ModelServer { factor, batch, made: 0.0, next: 0, reading: 0.0, rng };
    let mut meter = PaceMeter::default();
    for step in 0..200_u32 {
        let report = server.step(0.1);
        meter.apply_report(&report, Duration::from_millis(100) * step);
    }
    meter.pace()
}

proptest! {
    /// Servers under unlike loads that read prompts two fifths of the time: one that is 1.3 times slower is
    /// told from the fast ones, and no fast one is taken for slow.
    #[test]
    fn unlike_loads(batches in prop::collection::vec(1_usize..16, 6), seed in 0_u64..1_000) {
        let factors = [1.0, 1.0, 1.3, 1.0, 1.0, 1.3];
        let servers = factors.iter().zip(&batches).zip(seed..);
        let paces: Vec<_> =
            servers.map(|((factor, batch), seed)| measure(*factor, *batch, seed)).collect();
        prop_assert!(paces.iter().all(Option::is_some), "{:?}", paces);
        let found = paces::relative_slowdowns(&paces);
        for (factor, found) in factors.iter().zip(&found) {
            prop_assert_eq!(*factor > 1.0, *found > 1.0, "{:?} {:?}", found, paces);
        }
    }
}

/// A server starts again on its VM, and is another one: what was measured before says nothing of it.
#[test]
fn other_server() {
    let mut meter = PaceMeter::default();
    let report = |started_at: u64, events: u64| BackendReport {
        started_at,
        waiting: 0,
        runs: vec![RunProgress { request: Arc::from("r"), events }],
    };
    for step in 0..9_u32 {
        meter.apply_report(&report(1, 1 + u64::from(step) * 10), Duration::from_millis(500) * step);
    }
    assert!(meter.pace().is_some());
    meter.apply_report(&report(2, 1), Duration::from_secs(6));
    assert_eq!(meter.pace(), None);
}

/// Measurements of one server differ by some percent; the store is told of a change, not of each.
#[test]
fn small_changes() {
    let pace = |millis: u64| Some(Duration::from_millis(millis));
    assert!(paces::is_significant_change(None, pace(20)));
    assert!(!paces::is_significant_change(pace(20), pace(21)));
    assert!(paces::is_significant_change(pace(20), pace(26)));
    assert!(!paces::is_significant_change(pace(20), None));
}
