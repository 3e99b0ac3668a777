//! Measures the load of this VM's network link.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use toucanrail::link_gauges::{LinkCounts, LinkGauge, LinkPressure};
use toucanrail::rotations::{RotationOrder, RotationState};
use toucanrail_wire::connections;

use crate::state::Gateway;

/// Interval at which the load is measured.
const INTERVAL: Duration = Duration::from_millis(100);

/// Load of the link, and whether the entry is out of rotation because of it.
#[derive(Debug)]
pub struct LinkLoad {
    gauge: Cell<LinkGauge>,
    pressure: Cell<LinkPressure>,
    rotation: Cell<RotationState>,
    was_away: Cell<bool>,
}

impl LinkLoad {
    /// Creates the load of an idle link; `capacity` is in bytes a second.
    pub fn new(capacity: Option<f64>) -> Self {
        let gauge = Cell::new(LinkGauge::new(capacity));
        let (pressure, rotation) = (Cell::default(), Cell::default());
        Self { gauge, pressure, rotation, was_away: Cell::new(false) }
    }

    /// Returns the load of the busier direction as a fraction of the capacity; zero if that is not
    /// known.
    pub fn load(&self) -> f64 {
        self.gauge.get().load()
    }

    /// Returns whether the balancer should send new callers to other entries: within the permission
    /// of a relay, or by this entry's own decision if there is none.
    pub fn is_away(&self, now: Duration) -> bool {
        let out = self.rotation.get().is_out(now);
        out.unwrap_or_else(|| self.pressure.get().is_away(now))
    }

    /// Returns whether a caller's connection should be closed after its response.
    pub fn closes_connections(&self, now: Duration) -> bool {
        let load = self.load();
        let ordered = self.rotation.get().closes_connections(load, now);
        ordered.unwrap_or_else(|| self.pressure.get().closes_connections(load, now))
    }

    /// Returns whether the relay should hear of the load at once.
    pub fn is_report_urgent(&self, now: Duration) -> bool {
        self.rotation.get().is_urgent(self.load(), now)
    }

    /// Applies the order that a report sent at `sent_at` brought.
    pub fn record_order(&self, order: RotationOrder, sent_at: Duration) {
        let mut rotation = self.rotation.get();
        rotation.record_order(order, sent_at);
        self.rotation.set(rotation);
    }

    fn measure(&self, now: Duration) {
        let (received, sent) = connections::transferred_bytes();
        let (mut gauge, mut pressure) = (self.gauge.get(), self.pressure.get());
        gauge.record_counts(LinkCounts { received, sent }, now);
        pressure.record_load(gauge.load(), now);
        let was_full = self.pressure.get().is_away(now);
        let mut rotation = self.rotation.get();
        rotation.record_load(gauge.load(), now);
        if pressure.is_away(now) != was_full && rotation.is_out(now).is_none() {
            tracing::info!(event = "link_full", away = pressure.is_away(now), load = gauge.load());
        }
        self.gauge.set(gauge);
        self.pressure.set(pressure);
        self.rotation.set(rotation);
    }

    /// Logs whether the entry has left the rotation or returned. Returns whether it has left.
    fn record_change(&self, now: Duration) -> bool {
        let away = self.is_away(now);
        if self.was_away.replace(away) == away {
            return false;
        }
        let cause = self.rotation.get().is_out(now).map_or("own decision", |_| "permission");
        tracing::info!(event = "rotation", away, load = self.load(), cause);
        away
    }
}

/// Measures the load at regular intervals.
pub async fn measure(gateway: Rc<Gateway>) {
    loop {
        smol::Timer::after(INTERVAL).await;
        let now = gateway.now();
        gateway.link.measure(now);
        if gateway.link.record_change(now) {
            gateway.metrics.count_event("rotation_left");
        }
    }
}
