//! Decision which entries of a data centre get new callers from the balancer.
//!
//! The balancer assigns callers to entries by a hash and knows nothing of their links. A caller that
//! sends more than a small entry's link carries stays late there, and an entry that leaves the
//! rotation by itself passes it on to the next small one. One relay of the data centre therefore
//! hears from all its entries ([`RotationReport`]) and takes out as many small ones as the balancer
//! tolerates ([`RotationTable`]). An entry applies the orders that it gets ([`RotationState`]).

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentre, VmId};
use crate::origin_keepers::ProcessNumber;

/// Time for which an order holds, and for which a relay keeps what an entry reported. They are the
/// same, so that a lease has ended at the entry when the relay forgets it.
pub const LEASE_TIME: Duration = Duration::from_secs(3);
/// Load from which an entry counts as loaded. Loads vary by half of their mean, and a link delays
/// other messages from a load of 0.7 on.
const LOADED_LOAD: f64 = 0.5;
/// Time for which the load must last. Bursts of a few requests are shorter.
const LOADED_TIME: Duration = Duration::from_millis(500);
/// Time without a loaded entry after which entries return.
const QUIET_TIME: Duration = Duration::from_secs(10);
/// Time between two returns. The balancer's health checks are as far apart.
const RETURN_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which an entry that was loaded does not make room for another one, once there were many
/// swaps. Each of them costs a caller about three seconds.
const SWAP_PAUSE: Duration = Duration::from_secs(30);
/// Load above which an entry that is out closes callers' connections.
const CLOSING_LOAD: f64 = 0.3;

/// What an entry reports of itself each second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RotationReport {
    /// Name of the entry's VM.
    pub entry: VmId,
    /// Random number of the entry's process.
    pub process: ProcessNumber,
    /// Data centre of the entry.
    pub data_centre: DataCentre,
    /// Capacity of its link in bytes a second, in each direction.
    pub capacity: f64,
    /// Load of the busier direction as a fraction of the capacity.
    pub load: f64,
    /// Number of callers' connections.
    pub connections: usize,
    /// Whether the entry is out of rotation now.
    pub out: bool,
    /// Whether the entry is stopping. It is then out of rotation for good.
    pub stopping: bool,
}

/// A relay's reply to a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RotationOrder {
    /// The entry is in rotation.
    Stay,
    /// The entry is out of rotation.
    Leave {
        /// Time after the report was sent until which it stays out unless the lease is renewed.
        lease: Duration,
    },
}

/// Numbers of entries of one data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RotationCounts {
    /// Entries that have reported within [`LEASE_TIME`].
    pub live: usize,
    /// Of these, the ones that are out of rotation, or may be.
    pub out: usize,
}

/// An entry as its relay knows it.
#[derive(Debug)]
struct EntryRow {
    report: RotationReport,
    heard_at: Duration,
    /// Time of the first of the latest reports that all state a high load.
    high_since: Option<Duration>,
    /// Last time at which the entry was loaded.
    loaded_at: Option<Duration>,
    /// Whether the entry is ordered out at its next report.
    ordered_out: bool,
    lease_until: Duration,
}

impl EntryRow {
    /// Returns whether the entry is or may be out of rotation, or will be after its next report.
    fn is_out(&self, now: Duration) -> bool {
        self.is_planned_out() || self.report.out || now < self.lease_until
    }

    /// Returns whether the entry is to be out of rotation.
    fn is_planned_out(&self) -> bool {
        self.ordered_out || self.report.stopping
    }

    fn is_loaded(&self, now: Duration) -> bool {
        let lasting = |since| now.saturating_sub(since) >= LOADED_TIME;
        !self.report.stopping && self.high_since.is_some_and(lasting)
    }

    /// Returns the bytes a second of the busier direction.
    fn rate(&self) -> f64 {
        self.report.load * self.report.capacity
    }
}

/// The entries of one data centre.
#[derive(Debug)]
struct CentreRotation {
    rows: BTreeMap<VmId, EntryRow>,
    /// Time until which all live entries have reported at least once.
    complete_at: Duration,
    /// Last time at which an entry was loaded.
    loaded_at: Duration,
    returned_at: Duration,
    /// Entries that have returned to make room for loaded ones, since no entry was loaded.
    swaps: usize,
}

impl CentreRotation {
    fn new(now: Duration) -> Self {
        let complete_at = now + LEASE_TIME;
        Self {
            rows: BTreeMap::new(),
            complete_at,
            loaded_at: complete_at,
            returned_at: now,
            swaps: 0,
        }
    }

    fn record_report(&mut self, report: RotationReport, now: Duration) {
        let known = self.rows.remove(&report.entry);
        let known = known.filter(|row| row.report.process == report.process);
        let high_since = known.as_ref().and_then(|row| row.high_since).unwrap_or(now);
        let (loaded_at, ordered_out, lease_until) = known
            .map_or((None, false, Duration::ZERO), |row| {
                (row.loaded_at, row.ordered_out, row.lease_until)
            });
        let row = EntryRow {
            heard_at: now,
            high_since: (report.load >= LOADED_LOAD).then_some(high_since),
            loaded_at,
            ordered_out,
            // An entry that is not out has not got the last order, or was told to stay.
            lease_until: if report.out { lease_until } else { Duration::ZERO },
            report,
        };
        self.rows.insert(Arc::clone(&row.report.entry), row);
    }

    fn plan(&mut self, now: Duration) {
        if now < self.complete_at {
            for row in self.rows.values_mut() {
                row.ordered_out = row.report.out && !row.report.stopping;
            }
            return;
        }
        for row in self.rows.values_mut().filter(|row| row.is_loaded(now)) {
            row.loaded_at = Some(now);
            self.loaded_at = now;
        }
        while self.rows.values().filter(|row| row.is_planned_out()).count() > self.max_out() {
            if !self.return_one(now) {
                break;
            }
        }
        if let Some(limit) = self.relief_capacity(now) {
            self.take_out(limit, now);
        }
        let is_quiet = now.saturating_sub(self.loaded_at) >= QUIET_TIME;
        if is_quiet {
            self.swaps = 0;
        }
        let is_due = now.saturating_sub(self.returned_at) >= RETURN_INTERVAL;
        if is_quiet && is_due && self.return_one(now) {
            self.returned_at = now;
        }
    }

    /// Returns the maximum number of entries out of rotation, with which more than half remain in
    /// it.
    fn max_out(&self) -> usize {
        self.rows.len().saturating_sub(1) / 2
    }

    fn count_out(&self, now: Duration) -> usize {
        self.rows.values().filter(|row| row.is_out(now)).count()
    }

    /// Returns the capacity of the largest entry in rotation that could carry the load of a loaded
    /// smaller one and would not be loaded itself.
    fn relief_capacity(&self, now: Duration) -> Option<f64> {
        let is_relief = |row: &EntryRow, loaded: &EntryRow| {
            let capacity = row.report.capacity;
            let is_larger = capacity > loaded.report.capacity;
            is_larger && row.rate() + loaded.rate() < LOADED_LOAD * capacity
        };
        let loaded: Vec<&EntryRow> = self.rows.values().filter(|row| row.is_loaded(now)).collect();
        let relieves =
            |row: &&EntryRow| !row.is_out(now) && loaded.iter().any(|other| is_relief(row, other));
        let reliefs = self.rows.values().filter(relieves);
        reliefs.map(|row| row.report.capacity).max_by(f64::total_cmp)
    }

    /// Orders entries smaller than `limit` out, as many as may be, so that the caller does not move
    /// from one small entry to the next. If a loaded entry finds no place, another one returns.
    fn take_out(&mut self, limit: f64, now: Duration) {
        let free = self.max_out().saturating_sub(self.count_out(now));
        let is_candidate = |row: &&EntryRow| !row.is_out(now) && row.report.capacity < limit;
        let mut candidates: Vec<&EntryRow> = self.rows.values().filter(is_candidate).collect();
        candidates.sort_by(|a, b| {
            let by_size = a.report.capacity.total_cmp(&b.report.capacity);
            let by_load = b.is_loaded(now).cmp(&a.is_loaded(now));
            by_load.then(by_size).then(a.report.connections.cmp(&b.report.connections))
        });
        let left = candidates.iter().skip(free).filter(|row| row.is_loaded(now)).count();
        let taken: Vec<VmId> =
            candidates.iter().take(free).map(|row| Arc::clone(&row.report.entry)).collect();
        for entry in taken {
            if let Some(row) = self.rows.get_mut(&entry) {
                row.ordered_out = true;
            }
        }
        let is_returning = |row: &&EntryRow| row.is_out(now) && !row.is_planned_out();
        let returning = self.rows.values().filter(is_returning).count();
        for _ in returning..left {
            if self.may_swap(now) && self.return_one(now) {
                self.swaps += 1;
            }
        }
    }

    /// Returns whether an entry may return to make room for a loaded one.
    ///
    /// With some hashes a caller prefers more small entries than may be out, and would move among
    /// them forever. After as many swaps as there are entries, it stays for [`SWAP_PAUSE`] where it
    /// is.
    fn may_swap(&self, now: Duration) -> bool {
        let rested = |row: &EntryRow| row.loaded_at.is_none_or(|at| now >= at + SWAP_PAUSE);
        self.swaps < self.rows.len() || self.next_return(now).is_some_and(rested)
    }

    /// Returns the entry that returns next: one that is not loaded, and has not been for the
    /// longest time. A caller assigned by a hash would go back to the entry that it came from.
    fn next_return(&self, now: Duration) -> Option<&EntryRow> {
        let out = self.rows.values().filter(|row| row.ordered_out && !row.is_loaded(now));
        out.min_by_key(|row| row.loaded_at)
    }

    /// Lets the next entry return. Returns whether there is one.
    fn return_one(&mut self, now: Duration) -> bool {
        let entry = self.next_return(now).map(|row| Arc::clone(&row.report.entry));
        let row = entry.and_then(|entry| self.rows.get_mut(&entry));
        row.map(|row| row.ordered_out = false).is_some()
    }
}

/// The entries that report to one relay, and which of them are out of rotation.
#[derive(Debug, Default)]
pub struct RotationTable {
    centres: BTreeMap<DataCentre, CentreRotation>,
}

impl RotationTable {
    /// Records an entry's report at the time `now` since the relay's start, and returns the order
    /// for it.
    ///
    /// # Examples
    /// ```
    /// use std::{sync::Arc, time::Duration};
    /// use toucanrail::rotations::{LEASE_TIME, RotationOrder, RotationReport, RotationTable};
    /// let mut table = RotationTable::default();
    /// let mut order = RotationOrder::Stay;
    /// for second in 0..6 {
    ///     for (name, capacity, load) in [("a", 25e6, 0.01), ("b", 25e6, 0.01), ("c", 1e6, 0.9)] {
    ///         let report = RotationReport {
    ///             entry: Arc::from(name), process: 1, data_centre: Arc::from("d"), capacity, load,
    ///             connections: 1, out: false, stopping: false,
    ///         };
    ///         order = table.report(report, Duration::from_secs(second));
    ///     }
    /// }
    /// assert_eq!(order, RotationOrder::Leave { lease: LEASE_TIME });
    /// ```
    pub fn report(&mut self, report: RotationReport, now: Duration) -> RotationOrder {
        let (entry, data_centre) = (Arc::clone(&report.entry), Arc::clone(&report.data_centre));
        self.drop_silent(now);
        let centre = self.centres.entry(data_centre).or_insert_with(|| CentreRotation::new(now));
        centre.record_report(report, now);
        centre.plan(now);
        match centre.rows.get_mut(&entry) {
            Some(row) if row.ordered_out => {
                row.lease_until = now + LEASE_TIME;
                RotationOrder::Leave { lease: LEASE_TIME }
            }
            _ => RotationOrder::Stay,
        }
    }

    /// Returns how many entries of a data centre are live and out of rotation.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::rotations::{RotationCounts, RotationTable};
    /// let counts = RotationTable::default().counts("a", Default::default());
    /// assert_eq!(counts, RotationCounts { live: 0, out: 0 });
    /// ```
    pub fn counts(&self, data_centre: &str, now: Duration) -> RotationCounts {
        let Some(centre) = self.centres.get(data_centre) else {
            return RotationCounts::default();
        };
        RotationCounts { live: centre.rows.len(), out: centre.count_out(now) }
    }

    fn drop_silent(&mut self, now: Duration) {
        for centre in self.centres.values_mut() {
            centre.rows.retain(|_, row| now.saturating_sub(row.heard_at) < LEASE_TIME);
        }
        self.centres.retain(|_, centre| !centre.rows.is_empty());
    }
}

/// The order that an entry applies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RotationState {
    order: Option<(RotationOrder, Duration)>,
}

impl RotationState {
    /// Records the order that a report sent at `sent_at` brought.
    pub fn record_order(&mut self, order: RotationOrder, sent_at: Duration) {
        self.order = Some((order, sent_at));
    }

    /// Returns whether the latest order takes the entry out of rotation, or `None` if no order holds
    /// and the entry decides by itself.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::rotations::{RotationOrder, RotationState};
    /// let mut state = RotationState::default();
    /// let second = Duration::from_secs(1);
    /// state.record_order(RotationOrder::Leave { lease: second * 3 }, second);
    /// assert_eq!(state.ordered_out(second * 2), Some(true));
    /// assert_eq!(state.ordered_out(second * 4), None);
    /// ```
    pub fn ordered_out(&self, now: Duration) -> Option<bool> {
        let (order, sent_at) = self.order?;
        let age = now.saturating_sub(sent_at);
        match order {
            RotationOrder::Leave { lease } => (age < lease.min(LEASE_TIME)).then_some(true),
            RotationOrder::Stay => (age < LEASE_TIME).then_some(false),
        }
    }

    /// Returns whether callers' connections are closed after their responses, or `None` if no order
    /// holds. Heavy callers move thereby; light ones may stay.
    pub fn closes_connections(&self, load: f64, now: Duration) -> Option<bool> {
        self.ordered_out(now).map(|out| out && load > CLOSING_LOAD)
    }
}
