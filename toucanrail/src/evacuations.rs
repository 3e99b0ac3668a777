//! Evacuation of data centres: the servers of an evacuated data centre get no new work until the
//! operator ends the evacuation.
//!
//! An evacuation may remove a third of all servers while their streams still run. Sessions that
//! move all at once would be prefilled again at the same time by servers that were already busy, so
//! the servers of a data centre close one by one, in an order that is the same at all entries.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use xxhash_rust::xxh3;

use crate::ids::DataCentre;

/// Fraction of the time within which an evacuation must take effect over which the servers close.
/// The rest covers the delivery of the change and requests that are being sent.
const CLOSING_FRACTION: f64 = 0.2;
/// Fraction of that time in which prompt parts are still fetched from closed servers.
const FETCH_FRACTION: f64 = 0.4;
/// Seed of the order in which servers close.
const ORDER_SEED: u64 = 0x6576_6163;

/// One data centre that is being evacuated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
struct EvacuationRow {
    /// When the first server closes.
    from: Duration,
    /// When all servers are closed.
    until: Duration,
    /// When parts are no longer fetched from the servers.
    fetch_until: Duration,
}

/// Data centres that get no new work.
#[derive(Debug, Default, Serialize)]
pub struct EvacuationTable {
    #[serde(rename = "bound")]
    deadline: Duration,
    awaits_listing: bool,
    rows: BTreeMap<DataCentre, EvacuationRow>,
}

impl EvacuationTable {
    /// Creates a table that accepts no work at any server until the evacuations were listed, since
    /// one may have been in effect from before this process started. Each evacuation must take
    /// effect within `deadline`.
    pub fn awaiting_listing(deadline: Duration) -> Self {
        Self { deadline, awaits_listing: true, rows: BTreeMap::new() }
    }

    /// Returns whether the evacuations were listed.
    pub fn is_known(&self) -> bool {
        !self.awaits_listing
    }

    /// Replaces the evacuations by those listed, and returns the data centres whose evacuation has
    /// ended.
    ///
    /// A listing does not contain start times, so an evacuation that is new in it takes effect at
    /// once.
    pub fn apply_listing(
        &mut self,
        listed: &BTreeSet<DataCentre>,
        now: Duration,
    ) -> Vec<DataCentre> {
        self.awaits_listing = false;
        let ended = self.rows.keys().filter(|known| !listed.contains(*known));
        let ended: Vec<DataCentre> = ended.cloned().collect();
        self.rows.retain(|known, _| listed.contains(known));
        for data_centre in listed {
            self.begin(data_centre, self.deadline, now);
        }
        ended
    }

    /// Begins the evacuation of a data centre, known from a change that is at most `age` old.
    ///
    /// # Examples
    /// ```
    /// use std::{sync::Arc, time::Duration};
    /// use toucanrail::evacuations::EvacuationTable;
    /// let mut table = EvacuationTable::default();
    /// table.begin(&Arc::from("a"), Duration::ZERO, Duration::ZERO);
    /// assert!(!table.accepts_work("a", "server-1", Duration::ZERO));
    /// assert!(table.accepts_work("b", "server-2", Duration::ZERO));
    /// ```
    pub fn begin(&mut self, data_centre: &DataCentre, age: Duration, now: Duration) {
        let end_of = |fraction: f64| now + self.deadline.mul_f64(fraction).saturating_sub(age);
        let row = EvacuationRow {
            from: now,
            until: end_of(CLOSING_FRACTION),
            fetch_until: end_of(FETCH_FRACTION),
        };
        self.rows.entry(Arc::clone(data_centre)).or_insert(row);
    }

    /// Ends the evacuation of a data centre.
    pub fn end(&mut self, data_centre: &str) {
        self.rows.remove(data_centre);
    }

    /// Returns whether a server may get new work.
    pub fn accepts_work(&self, data_centre: &str, server: &str, now: Duration) -> bool {
        if self.awaits_listing {
            return false;
        }
        let Some(row) = self.rows.get(data_centre) else {
            return true;
        };
        let position =
            xxh3::xxh3_64_with_seed(server.as_bytes(), ORDER_SEED) as f64 / u64::MAX as f64;
        now < row.from + row.until.saturating_sub(row.from).mul_f64(position)
    }

    /// Returns whether other servers may fetch prompt parts from the servers of a data centre.
    pub fn allows_fetch(&self, data_centre: &str, now: Duration) -> bool {
        let row = self.rows.get(data_centre);
        !self.awaits_listing && row.is_none_or(|row| now < row.fetch_until)
    }
}
