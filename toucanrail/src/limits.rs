//! Admission under load: who is refused, at once, and when to come back.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use crate::catalogue::ServiceClass;
use crate::codes::ResultCode;
use crate::codetable;
use crate::ids::{CustomerId, ServiceName};

/// Load a slot up to which each class is admitted.
const BATCH_BOUND: f64 = 0.9;
const STANDARD_BOUND: f64 = 1.5;
const URGENT_BOUND: f64 = 2.0;
/// Load a slot from which a customer is kept to its share.
const SHARE_BOUND: f64 = 0.8;
/// Weight of a new second in the smoothed drain rate.
const DRAIN_WEIGHT: f64 = 0.2;
const WAIT_LIMIT: Duration = Duration::from_secs(30);
const LEAST_DRAIN: f64 = 0.1;

/// What is known of a service when a request asks to be admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceLoad {
    /// Requests that the working servers run at once.
    pub slots: u64,
    /// Requests estimated in flight there.
    pub load: f64,
    /// Entries that share the service.
    pub entries: u64,
}

/// A refusal for load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadRefusal {
    /// Why.
    pub code: ResultCode,
    /// When room is expected.
    pub retry_after: Duration,
}

#[derive(Debug, Default, Serialize)]
struct ServiceGate {
    /// Requests in flight by customer, with its weight.
    customers: BTreeMap<CustomerId, (u64, u64)>,
    ended: u64,
    drain: f64,
}

/// The requests in flight of one entry, by service and customer.
#[derive(Debug, Default, Serialize)]
pub struct LoadLimiter {
    gates: BTreeMap<ServiceName, ServiceGate>,
}

impl LoadLimiter {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Admits a request or says why not.
    pub fn admit(
        &mut self,
        service: &ServiceName,
        customer: &CustomerId,
        class: ServiceClass,
        weight: u64,
        known: ServiceLoad,
    ) -> Result<(), LoadRefusal> {
        let gate = self.gates.entry(Arc::clone(service)).or_default();
        let slots = known.slots as f64;
        let bound = slots * class_bound(class);
        if known.load >= bound {
            return Err(gate.refuse(codetable::OVERLOADED, known.load - bound));
        }
        let own = gate.customers.get(customer).map_or(0, |(count, _)| *count) as f64;
        let share = gate.share(customer, weight, bound / known.entries.max(1) as f64);
        if known.load >= slots * SHARE_BOUND && own >= share {
            return Err(gate.refuse(codetable::CUSTOMER_LIMIT, own - share));
        }
        let row = gate.customers.entry(Arc::clone(customer)).or_insert((0, weight));
        *row = (row.0 + 1, weight);
        Ok(())
    }

    /// Notes the end of an admitted request.
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

    /// Updates the drain rates; once a tick.
    pub fn update_drain_rates(&mut self, elapsed: Duration) {
        for gate in self.gates.values_mut() {
            let rate = gate.ended as f64 / elapsed.as_secs_f64().max(0.001);
            gate.drain += (rate - gate.drain) * DRAIN_WEIGHT;
            gate.ended = 0;
        }
    }

    /// Returns the requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.gates.values().flat_map(|gate| gate.customers.values()).map(|(count, _)| count).sum()
    }
}

impl ServiceGate {
    /// Returns a customer's share of `room` by weight among those with requests in flight.
    fn share(&self, customer: &CustomerId, weight: u64, room: f64) -> f64 {
        let others = self.customers.iter().filter(|(name, _)| *name != customer);
        let others: u64 = others.map(|(_, (_, weight))| *weight).sum();
        (room * weight as f64 / (weight + others).max(1) as f64).max(1.0)
    }

    fn refuse(&self, code: ResultCode, excess: f64) -> LoadRefusal {
        let seconds = (excess + 1.0) / self.drain.max(LEAST_DRAIN);
        LoadRefusal { code, retry_after: Duration::from_secs_f64(seconds).min(WAIT_LIMIT) }
    }
}

const fn class_bound(class: ServiceClass) -> f64 {
    match class {
        ServiceClass::Batch => BATCH_BOUND,
        ServiceClass::Standard => STANDARD_BOUND,
        ServiceClass::Urgent => URGENT_BOUND,
    }
}
