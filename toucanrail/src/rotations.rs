//! Decision which entries of a data centre get new callers from the balancer.
//!
//! The balancer assigns callers to entries by a hash and knows nothing of their links. A caller that
//! sends more than a small entry's link carries fills that link within seconds, and for some callers
//! no choice of entries in rotation leads to a large one. Their load is therefore spread over time:
//! an entry leaves the rotation as soon as its link is loaded, the caller moves to the next one, and
//! the link drains before the caller comes back.
//!
//! An entry decides by its own link ([`RotationState`]), since its calls are delayed once the link is
//! full. One relay of the data centre hears from all entries ([`RotationReport`]) and permits as many
//! of them to leave as the balancer tolerates ([`RotationTable`]).

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentre, VmId};
use crate::origin_keepers::ProcessNumber;

/// Time for which an order holds, and for which a relay keeps what an entry reported. They are the
/// same, so that a lease has ended at the entry when the relay forgets it.
pub const LEASE_TIME: Duration = Duration::from_secs(3);
/// Load from which an entry with a permission leaves. The balancer moves callers two to three seconds
/// later, in which the load may double.
const LEAVE_LOAD: f64 = 0.5;
/// Load from which an entry is permitted to leave, so that it has the permission before its link
/// delays its calls. An entry in rotation with less can take callers over.
const PERMIT_LOAD: f64 = 0.2;
/// Time for which an entry stays out after its link was last loaded. A link that was offered twice
/// its capacity until its caller had moved drains in that time.
const AWAY_TIME: Duration = Duration::from_secs(4);
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
    /// Whether the entry is out of rotation now.
    pub out: bool,
    /// Whether the entry is stopping. It is then out of rotation for good.
    pub stopping: bool,
}

/// A relay's reply to a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RotationOrder {
    /// The entry is in rotation, whatever its load.
    Stay,
    /// The entry may be out of rotation while its link is loaded.
    Leave {
        /// Time after the report was sent until which the permission holds unless it is renewed.
        lease: Duration,
    },
}

/// Numbers of entries of one data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RotationCounts {
    /// Entries that have reported within [`LEASE_TIME`].
    pub live: usize,
    /// Of these, the ones that are out of rotation or permitted to leave.
    pub out: usize,
}

/// An entry as its relay knows it.
#[derive(Debug)]
struct EntryRow {
    report: RotationReport,
    heard_at: Duration,
    /// Last time at which the entry reported a load of [`LEAVE_LOAD`] or more.
    loaded_at: Option<Duration>,
    /// End of its permission to be out.
    lease_until: Duration,
    /// Whether its last report found too many entries out for it to leave.
    was_refused: bool,
}

impl EntryRow {
    /// Returns whether the entry is or may be out of rotation.
    fn may_be_out(&self, now: Duration) -> bool {
        self.report.stopping || self.report.out || now < self.lease_until
    }

    /// Orders entries by the time since when they have not been loaded; those that are loaded come
    /// last, in the order of their names.
    fn return_rank(&self) -> (Option<Duration>, &VmId) {
        let is_loaded = self.report.load >= LEAVE_LOAD;
        (if is_loaded { Some(Duration::MAX) } else { self.loaded_at }, &self.report.entry)
    }

    /// Returns whether the entry is out although its link has drained.
    fn is_drained(&self) -> bool {
        self.report.out && !self.report.stopping && self.report.load < PERMIT_LOAD
    }
}

/// The entries of one data centre.
#[derive(Debug)]
struct CentreRotation {
    rows: BTreeMap<VmId, EntryRow>,
    /// Time until which all live entries have reported at least once.
    complete_at: Duration,
}

impl CentreRotation {
    fn new(now: Duration) -> Self {
        Self { rows: BTreeMap::new(), complete_at: now + LEASE_TIME }
    }

    fn record_report(&mut self, report: RotationReport, now: Duration) -> RotationOrder {
        let known = self.rows.remove(&report.entry);
        let known = known.filter(|row| row.report.process == report.process);
        let (loaded_at, lease_until) =
            known.map_or((None, Duration::ZERO), |row| (row.loaded_at, row.lease_until));
        let loaded_at = if report.load >= LEAVE_LOAD { Some(now) } else { loaded_at };
        let entry = Arc::clone(&report.entry);
        let was_refused = false;
        let row = EntryRow { report, heard_at: now, loaded_at, lease_until, was_refused };
        let (may_leave, was_refused) = self.decide(&row, now);
        let lease_until = if may_leave { now + LEASE_TIME } else { Duration::ZERO };
        self.rows.insert(entry, EntryRow { lease_until, was_refused, ..row });
        if may_leave { RotationOrder::Leave { lease: LEASE_TIME } } else { RotationOrder::Stay }
    }

    /// Decides on the report of an entry that is not among the rows. Returns whether it may be out,
    /// and whether it may not because too many others are.
    fn decide(&self, row: &EntryRow, now: Duration) -> (bool, bool) {
        if row.report.stopping {
            return (false, false);
        }
        if now < self.complete_at {
            return (row.report.out, false);
        }
        let others_out = self.rows.values().filter(|other| other.may_be_out(now)).count();
        // The balancer uses all entries once fewer than half are in rotation.
        let max_out = self.rows.len().div_ceil(2);
        let is_crowded = others_out >= max_out;
        if row.report.out {
            let makes_room = is_crowded || (self.is_awaited(now) && row.is_drained());
            return (!(makes_room && self.is_next(row)), false);
        }
        let may_leave = row.report.load >= PERMIT_LOAD && self.has_relief(row, now);
        (may_leave && !is_crowded, may_leave && is_crowded)
    }

    /// Returns whether an entry waits for another one to return.
    fn is_awaited(&self, now: Duration) -> bool {
        self.rows.values().any(|row| row.was_refused && !row.may_be_out(now))
    }

    /// Returns whether of the entries that are out, this one is the first to return.
    fn is_next(&self, row: &EntryRow) -> bool {
        let mut others = self.rows.values().filter(|other| other.report.out);
        others.all(|other| other.report.stopping || other.return_rank() > row.return_rank())
    }

    /// Returns whether other entries in rotation can take over callers. The largest entries stay in
    /// rotation if there are smaller ones.
    fn has_relief(&self, row: &EntryRow, now: Duration) -> bool {
        let (mut has_larger, mut has_smaller, mut has_idle) = (false, false, false);
        for other in self.rows.values() {
            has_larger |= other.report.capacity > row.report.capacity;
            has_smaller |= other.report.capacity < row.report.capacity;
            has_idle |= !other.may_be_out(now) && other.report.load < PERMIT_LOAD;
        }
        has_idle && (has_larger || !has_smaller)
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
    ///             out: false, stopping: false,
    ///         };
    ///         order = table.report(report, Duration::from_secs(second));
    ///     }
    /// }
    /// assert_eq!(order, RotationOrder::Leave { lease: LEASE_TIME });
    /// ```
    pub fn report(&mut self, report: RotationReport, now: Duration) -> RotationOrder {
        let data_centre = Arc::clone(&report.data_centre);
        self.drop_silent(now);
        let centre = self.centres.entry(data_centre).or_insert_with(|| CentreRotation::new(now));
        centre.record_report(report, now)
    }

    /// Returns whether the last order for an entry permits it to leave, and still holds.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::rotations::RotationTable;
    /// assert!(!RotationTable::default().is_permitted("d", "a", Default::default()));
    /// ```
    pub fn is_permitted(&self, data_centre: &str, entry: &str, now: Duration) -> bool {
        let row = self.centres.get(data_centre).and_then(|centre| centre.rows.get(entry));
        row.is_some_and(|row| now < row.lease_until)
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
        let out = centre.rows.values().filter(|row| row.may_be_out(now)).count();
        RotationCounts { live: centre.rows.len(), out }
    }

    fn drop_silent(&mut self, now: Duration) {
        for centre in self.centres.values_mut() {
            centre.rows.retain(|_, row| now.saturating_sub(row.heard_at) < LEASE_TIME);
        }
        self.centres.retain(|_, centre| !centre.rows.is_empty());
    }
}

/// Whether an entry is out of rotation, by its relay's order and its own link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RotationState {
    order: Option<(RotationOrder, Duration)>,
    out_until: Duration,
}

impl RotationState {
    /// Records the order that a report sent at `sent_at` brought.
    pub fn record_order(&mut self, order: RotationOrder, sent_at: Duration) {
        self.order = Some((order, sent_at));
        if order == RotationOrder::Stay {
            self.out_until = Duration::ZERO;
        }
    }

    /// Records the current load of the entry's link, as a fraction of its capacity.
    pub fn record_load(&mut self, load: f64, now: Duration) {
        let is_permitted = matches!(self.valid_order(now), Some(RotationOrder::Leave { .. }));
        if load >= LEAVE_LOAD && is_permitted {
            self.out_until = now + AWAY_TIME;
        }
    }

    /// Returns whether the entry is out of rotation, or `None` if no order holds and the entry
    /// decides without its relay.
    ///
    /// An entry that is out stays so for the rest of its time even if its permission ends: a full link
    /// delays the replies of the relay, and callers would come back too early.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::rotations::{RotationOrder, RotationState};
    /// let mut state = RotationState::default();
    /// let second = Duration::from_secs(1);
    /// state.record_order(RotationOrder::Leave { lease: second * 3 }, second);
    /// assert_eq!(state.is_out(second * 2), Some(false));
    /// state.record_load(0.9, second * 3);
    /// assert_eq!(state.is_out(second * 5), Some(true));
    /// assert_eq!(state.is_out(second * 8), None);
    /// ```
    pub fn is_out(&self, now: Duration) -> Option<bool> {
        if now < self.out_until {
            return Some(true);
        }
        self.valid_order(now).map(|_| false)
    }

    /// Returns whether the relay should hear of the load at once: the entry would leave soon and is
    /// not permitted to, or it is out and could make room for another one.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::rotations::RotationState;
    /// assert!(RotationState::default().is_urgent(0.4, Duration::ZERO));
    /// assert!(!RotationState::default().is_urgent(0.1, Duration::ZERO));
    /// ```
    pub fn is_urgent(&self, load: f64, now: Duration) -> bool {
        match self.valid_order(now) {
            Some(RotationOrder::Leave { .. }) => {
                load < PERMIT_LOAD && self.is_out(now) == Some(true)
            }
            _ => load >= PERMIT_LOAD,
        }
    }

    /// Returns whether callers' connections are closed after their responses, or `None` if no order
    /// holds. Heavy callers move thereby; light ones may stay.
    pub fn closes_connections(&self, load: f64, now: Duration) -> Option<bool> {
        self.is_out(now).map(|out| out && load > CLOSING_LOAD)
    }

    fn valid_order(&self, now: Duration) -> Option<RotationOrder> {
        let (order, sent_at) = self.order?;
        let time = match order {
            RotationOrder::Leave { lease } => lease.min(LEASE_TIME),
            RotationOrder::Stay => LEASE_TIME,
        };
        (now.saturating_sub(sent_at) < time).then_some(order)
    }
}
