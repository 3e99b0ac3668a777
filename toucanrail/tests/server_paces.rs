//! How fast servers are, as relays find out from load reports.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use toucanrail::paces::{self, LoadReport, PaceMeter, RunRow};

/// Time of one event of an only stream at a fast server, by the users' engine sheet.
const EVENT: f64 = 0.0185;

/// A server on a model of an engine: all runs make events in step, slower by a thirtieth for each, and
/// now and then a prompt is read for a while and nobody makes any.
struct ModelServer {
    factor: f64,
    made: f64,
    dice: fastrand::Rng,
}

impl ModelServer {
    fn step(&mut self, batch: usize, elapsed: f64) -> LoadReport {
        let read = if self.dice.f64() < 0.7 { self.dice.f64() * 0.1 } else { 0.0 };
        let event = EVENT * self.factor * (1.0 + batch as f64 / 30.0);
        self.made += (elapsed - read) / event;
        let runs = (0..batch).map(|run| RunRow {
            request: Arc::from(format!("r{run}")),
            events: 1 + (self.made + run as f64 / batch as f64) as u64,
        });
        LoadReport { born: 1, runs: runs.collect() }
    }
}

fn measure(factor: f64, batch: usize, seed: u64) -> Option<Duration> {
    let mut server = ModelServer { factor, made: 0.0, dice: fastrand::Rng::with_seed(seed) };
    let mut meter = PaceMeter::default();
    for step in 0..40_u32 {
        let report = server.step(batch, 0.25);
        meter.take_report(&report, Duration::from_millis(250) * step);
    }
    meter.pace()
}

proptest! {
    /// Servers under unlike loads that read prompts at any time: one that is 1.3 times slower is told
    /// from the fast ones, and no fast one is taken for slow.
    #[test]
    fn unlike_loads(batches in prop::collection::vec(1_usize..14, 6), seed in 0_u64..1_000) {
        let factors = [1.0, 1.0, 1.3, 1.0, 1.0, 1.3];
        let servers = factors.iter().zip(&batches).zip(seed..);
        let paces: Vec<_> = servers.map(|((factor, batch), seed)| measure(*factor, *batch, seed)).collect();
        let found = paces::compare_paces(&paces);
        for (factor, found) in factors.iter().zip(&found) {
            prop_assert_eq!(*factor > 1.0, *found > 1.0, "{:?} {:?}", found, paces);
        }
    }
}

/// A server starts again on its VM, and is another one: what was measured before says nothing of it.
#[test]
fn other_server() {
    let mut meter = PaceMeter::default();
    let report = |born: u64, events: u64| LoadReport {
        born,
        runs: vec![RunRow { request: Arc::from("r"), events }],
    };
    for step in 0..9_u32 {
        meter.take_report(&report(1, 1 + u64::from(step) * 10), Duration::from_millis(250) * step);
    }
    assert!(meter.pace().is_some());
    meter.take_report(&report(2, 1), Duration::from_secs(3));
    assert_eq!(meter.pace(), None);
}

/// Measurements of one server differ by some percent; the store is told of a change, not of each.
#[test]
fn small_changes() {
    let pace = |millis: u64| Some(Duration::from_millis(millis));
    assert!(paces::is_news(None, pace(20)));
    assert!(!paces::is_news(pace(20), pace(21)));
    assert!(paces::is_news(pace(20), pace(26)));
    assert!(!paces::is_news(pace(20), None));
}
