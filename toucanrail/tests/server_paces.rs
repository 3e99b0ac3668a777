//! Paces of servers, measured from their load reports.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use toucanrail::paces::{self, BackendReport, PaceMeter, RunProgress};

/// Time per event of a single stream at a fast server, in seconds, from the users' data sheet of
/// the engine.
const EVENT: f64 = 0.0185;

/// A simulated server: all runs produce events in step, and each run slows a step by a thirtieth.
/// Prompts arrive at random, and no run produces events during a prefill.
struct ModelServer {
    factor: f64,
    batch: usize,
    produced: f64,
    next: u64,
    prefill: f64,
    rng: fastrand::Rng,
}

impl ModelServer {
    fn step(&mut self, elapsed: f64) -> BackendReport {
        // A run takes 1.5 seconds; a fast server spends two fifths of its time in prefill.
        let rate = self.batch as f64 / 1.5;
        if self.rng.f64() > (-rate * elapsed).exp() {
            self.next += 1;
            self.prefill += 0.4 / rate * self.factor;
        }
        let prefilled = self.prefill.min(elapsed);
        self.prefill -= prefilled;
        let event = EVENT * self.factor * (1.0 + self.batch as f64 / 30.0);
        self.produced += (elapsed - prefilled) / event;
        let runs = (0..self.batch).map(|run| {
            let newest = run + 1 == self.batch;
            let events = if newest && self.prefill > 0.0 {
                0
            } else {
                1 + (self.produced + run as f64 / self.batch as f64) as u64
            };
            RunProgress { request: Arc::from(format!("r{}", self.next + run as u64)), events }
        });
        BackendReport { started_at: 1, waiting: 0, runs: runs.collect() }
    }
}

fn measure_pace(factor: f64, batch: usize, seed: u64) -> Option<Duration> {
    let rng = fastrand::Rng::with_seed(seed);
    let mut server = ModelServer { factor, batch, produced: 0.0, next: 0, prefill: 0.0, rng };
    let mut meter = PaceMeter::default();
    for step in 0..200_u32 {
        let report = server.step(0.1);
        meter.apply_report(&report, Duration::from_millis(100) * step);
    }
    meter.pace()
}

proptest! {
    /// Servers with different loads that spend two fifths of their time in prefill: one that is 1.3
    /// times slower is detected, and no fast one is mistaken for a slow one.
    #[test]
    fn different_loads(batches in prop::collection::vec(1_usize..16, 6), seed in 0_u64..1_000) {
        let factors = [1.0, 1.0, 1.3, 1.0, 1.0, 1.3];
        let servers = factors.iter().zip(&batches).zip(seed..);
        let paces: Vec<_> =
            servers.map(|((factor, batch), seed)| measure_pace(*factor, *batch, seed)).collect();
        prop_assert!(paces.iter().all(Option::is_some), "{:?}", paces);
        let found = paces::relative_slowdowns(&paces);
        for (factor, found) in factors.iter().zip(&found) {
            prop_assert_eq!(*factor > 1.0, *found > 1.0, "{:?} {:?}", found, paces);
        }
    }
}

/// A server restarts on its VM: earlier measurements do not apply to it.
#[test]
fn restarted_server() {
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

/// Measurements of one server differ by some percent; only a significant change is written to the
/// store.
#[test]
fn small_changes() {
    let pace = |millis: u64| Some(Duration::from_millis(millis));
    assert!(paces::is_significant_change(None, pace(20)));
    assert!(!paces::is_significant_change(pace(20), pace(21)));
    assert!(paces::is_significant_change(pace(20), pace(26)));
    assert!(!paces::is_significant_change(pace(20), None));
}
