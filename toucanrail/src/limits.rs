//! Load-based admission control: which requests are rejected at once, and when to retry them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use crate::catalogue::ServiceClass;
use crate::codes::ResultCode;
use crate::codetable;
use crate::ids::{CustomerId, ServiceName};

/// Load per slot below which requests of each class are admitted.
const BATCH_BOUND: f64 = 0.9;
const STANDARD_BOUND: f64 = 1.5;
const URGENT_BOUND: f64 = 2.0;
/// Load per slot from which each customer is limited to its share.
const SHARE_BOUND: f64 = 0.8;
/// Weight of the latest sample in the exponentially weighted drain rate.
const DRAIN_WEIGHT: f64 = 0.2;
/// Maximum retry delay.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Minimum drain rate assumed for a retry delay, in requests per second.
const MIN_DRAIN_RATE: f64 = 0.1;

/// Load and capacity of a service at the time of an admission decision.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceLoad {
    /// Number of requests that the healthy servers can run concurrently.
    pub slots: u64,
    /// Estimated number of requests in flight at these servers.
    pub load: f64,
    /// Number of entries that send requests to the service.
    pub entries: u64,
}

/// A request rejected because of load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadRefusal {
    /// The reason.
    pub code: ResultCode,
    /// Delay after which capacity is expected to be available.
    pub retry_after: Duration,
}

#[derive(Debug, Default, Serialize)]
struct ServiceGate {
    /// Number of requests in flight and weight, by customer.
    customers: BTreeMap<CustomerId, (u64, u64)>,
    /// Requests that have ended since the last update of the drain rate.
    ended: u64,
    /// Smoothed rate at which requests end, per second.
    #[serde(rename = "drain")]
    drain_rate: f64,
}

/// Admits requests at one entry and counts those in flight by service and customer.
#[derive(Debug, Default, Serialize)]
pub struct LoadLimiter {
    gates: BTreeMap<ServiceName, ServiceGate>,
}

impl LoadLimiter {
    /// Creates a limiter with no requests in flight.
    pub fn new() -> Self {
        Self::default()
    }

    /// Admits a request unless its service or its customer has reached its limit.
    ///
    /// # Errors
    /// [`codetable::OVERLOADED`] if the load of the service has reached the bound of `class`, and
    /// [`codetable::CUSTOMER_LIMIT`] if the service is busy and the customer has reached its share.
    pub fn admit(
        &mut self,
        service: &ServiceName,
        customer: &CustomerId,
        class: ServiceClass,
        weight: u64,
        current: ServiceLoad,
    ) -> Result<(), LoadRefusal> {
        let gate = self.gates.entry(Arc::clone(service)).or_default();
        let slots = current.slots as f64;
        let bound = slots * class_bound(class);
        if current.load >= bound {
            return Err(gate.refuse(codetable::OVERLOADED, current.load - bound));
        }
        let own = gate.customers.get(customer).map_or(0, |(count, _)| *count) as f64;
        let share = gate.share(customer, weight, bound / current.entries.max(1) as f64);
        if current.load >= slots * SHARE_BOUND && own >= share {
            return Err(gate.refuse(codetable::CUSTOMER_LIMIT, own - share));
        }
        let row = gate.customers.entry(Arc::clone(customer)).or_insert((0, weight));
        *row = (row.0 + 1, weight);
        Ok(())
    }

    /// Records the end of an admitted request.
    pub fn release(&mut self, service: &ServiceName, customer: &CustomerId) {
        let Some(gate) = self.gates.get_mut(service) else {
            return;
        };
        gate.ended += 1;
        if let Some(row) = gate.customers.get_mut(customer) {
            row.0 = row.0.saturating_sub(1);
            if row.0 == 0 {
                gate.customers.remove(customer);
            }
        }
    }

    /// Updates the drain rates from the requests that ended within `elapsed`; called once per tick.
    pub fn update_drain_rates(&mut self, elapsed: Duration) {
        for gate in self.gates.values_mut() {
            let rate = gate.ended as f64 / elapsed.as_secs_f64().max(0.001);
            gate.drain_rate += (rate - gate.drain_rate) * DRAIN_WEIGHT;
            gate.ended = 0;
        }
    }

    /// Returns the total number of requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.gates.values().flat_map(|gate| gate.customers.values()).map(|(count, _)| count).sum()
    }
}

impl ServiceGate {
    /// Returns a customer's share of `capacity`, by weight among the customers with requests in
    /// flight; at least one request.
    fn share(&self, customer: &CustomerId, weight: u64, capacity: f64) -> f64 {
        let others = self.customers.iter().filter(|(name, _)| *name != customer);
        let others: u64 = others.map(|(_, (_, weight))| *weight).sum();
        (capacity * weight as f64 / (weight + others).max(1) as f64).max(1.0)
    }

    /// Returns a refusal whose retry delay is the time in which `excess` requests, and one more,
    /// are expected to end.
    fn refuse(&self, code: ResultCode, excess: f64) -> LoadRefusal {
        let seconds = (excess + 1.0) / self.drain_rate.max(MIN_DRAIN_RATE);
        LoadRefusal { code, retry_after: Duration::from_secs_f64(seconds).min(MAX_RETRY_AFTER) }
    }
}

const fn class_bound(class: ServiceClass) -> f64 {
    match class {
        ServiceClass::Batch => BATCH_BOUND,
        ServiceClass::Standard => STANDARD_BOUND,
        ServiceClass::Urgent => URGENT_BOUND,
    }
}
