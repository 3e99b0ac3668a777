//! Measures the load of this VM's network link.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use toucanrail::link_gauges::{LinkCounts, LinkGauge, LinkPressure};
use toucanrail_wire::connections;

use crate::state::Gateway;

/// Interval at which the load is measured.
const INTERVAL: Duration = Duration::from_millis(100);

/// Load of the link, and whether the entry is out of rotation because of it.
#[derive(Debug)]
pub struct LinkLoad {
    gauge: Cell<LinkGauge>,
    pressure: Cell<LinkPressure>,
}

impl LinkLoad {
    /// Creates the load of an idle link; `capacity` is in bytes a second.
    pub fn new(capacity: Option<f64>) -> Self {
        Self { gauge: Cell::new(LinkGauge::new(capacity)), pressure: Cell::default() }
    }

    /// Returns the load of the busier direction as a fraction of the capacity; zero if none is
    /// stated.
    pub fn load(&self) -> f64 {
        self.gauge.get().load()
    }

    /// Returns whether the balancer should send new callers to other entries.
    pub fn is_away(&self, now: Duration) -> bool {
        self.pressure.get().is_away(now)
    }

    /// Returns whether a caller's connection should be closed after its response.
    pub fn closes_connections(&self, now: Duration) -> bool {
        self.pressure.get().closes_connections(self.gauge.get().load(), now)
    }

    fn measure(&self, now: Duration) {
        let (received, sent) = connections::transferred_bytes();
        let (mut gauge, mut pressure) = (self.gauge.get(), self.pressure.get());
        gauge.record_counts(LinkCounts { received, sent }, now);
        pressure.record_load(gauge.load(), now);
        if pressure.is_away(now) != self.is_away(now) {
            tracing::info!(event = "link_full", away = pressure.is_away(now), load = gauge.load());
        }
        self.gauge.set(gauge);
        self.pressure.set(pressure);
    }
}

/// Measures the load at regular intervals.
pub async fn measure(gateway: Rc<Gateway>) {
    loop {
        smol::Timer::after(INTERVAL).await;
        gateway.link.measure(gateway.now());
    }
}
