//! Entries whose own network link is full.

use std::time::Duration;

use toucanrail::link_gauges::{LinkCounts, LinkGauge, LinkPressure};

/// Capacities of a small and a large entry's link, in bytes a second.
const SMALL: f64 = 1_250_000.0;
const LARGE: f64 = 25_000_000.0;
const STEP: Duration = Duration::from_millis(100);
/// Time after which the balancer uses what entries last said of their readiness.
const ROTATION_LAG: Duration = Duration::from_secs(2);

struct Entry {
    capacity: f64,
    gauge: LinkGauge,
    counts: LinkCounts,
    pressure: LinkPressure,
    left_at: Option<Duration>,
}

impl Entry {
    fn new(capacity: f64) -> Self {
        let gauge = LinkGauge::new(Some(capacity));
        let (counts, pressure) = (LinkCounts::default(), LinkPressure::default());
        Self { capacity, gauge, counts, pressure, left_at: None }
    }

    /// Carries what is offered, up to the link's capacity, for one step.
    fn carry(&mut self, offered: f64, now: Duration) {
        let carried = (offered.min(self.capacity) * STEP.as_secs_f64()) as u64;
        self.counts.received += carried;
        self.counts.sent += carried;
        self.gauge.record_counts(self.counts, now);
        self.pressure.record_load(self.gauge.load(), now);
        self.left_at = self.pressure.is_away(now).then(|| self.left_at.unwrap_or(now));
    }

    fn is_in_rotation(&self, now: Duration) -> bool {
        self.left_at.is_none_or(|left| now.saturating_sub(left) < ROTATION_LAG)
    }
}

/// Plays a caller that offers `heavy` bytes a second to the first entry in rotation, beside a calm
/// load on all. If fewer than half are in rotation, all are. Returns the entry that the caller is
/// at after each step.
fn play(capacities: &[f64], heavy: f64, calm: f64, time: Duration) -> Vec<usize> {
    let mut entries: Vec<Entry> = capacities.iter().map(|capacity| Entry::new(*capacity)).collect();
    let (mut now, mut places) = (Duration::ZERO, Vec::new());
    while now < time {
        now += STEP;
        let rotation: Vec<usize> =
            (0..entries.len()).filter(|at| entries[*at].is_in_rotation(now)).collect();
        let used = if rotation.len() * 2 < entries.len() { 0 } else { rotation[0] };
        for (at, entry) in entries.iter_mut().enumerate() {
            entry.carry(calm + if at == used { heavy } else { 0.0 }, now);
        }
        places.push(used);
    }
    places
}

/// One caller sends more than the link of a small entry carries. It stayed with that entry, and most
/// of its requests were late or lost; it must come to an entry that carries it, and stay there.
#[test]
fn heavy_caller() {
    let capacities = [SMALL, SMALL, SMALL, LARGE, SMALL, SMALL, LARGE, SMALL];
    let places = play(&capacities, 1_600_000.0, 60_000.0, Duration::from_secs(25));
    let arrived = places.iter().position(|at| capacities[*at] > SMALL).expect("a large entry");
    assert!(STEP * arrived as u32 <= Duration::from_secs(12), "after {arrived} steps");
    assert!(places[arrived..].iter().all(|at| capacities[*at] > SMALL));
}

/// A load that a small link carries moves nobody.
#[test]
fn calm_caller() {
    let places = play(&[SMALL, LARGE], 700_000.0, 60_000.0, Duration::from_secs(20));
    assert!(places.iter().all(|at| *at == 0));
}

/// A process whose settings state no capacity never leaves the rotation.
#[test]
fn unknown_capacity() {
    let mut gauge = LinkGauge::new(None);
    gauge.record_counts(LinkCounts { received: 1 << 40, sent: 0 }, STEP);
    assert!(gauge.load() <= 0.0);
}
