//! Data centres that the operator empties: their servers get nothing new until they are taken back.
//!
//! The load it answers: a third of all servers turned away from while all of their streams still run. All
//! sessions that move in one step are read anew at once by servers that were as busy before, so the servers
//! of a closing data centre close one after the other, in an order that all entries share.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use xxhash_rust::xxh3;

use crate::ids::DataCentre;

/// Part of the time in which an evacuation must be in force over which the servers close. What is left of
/// it covers the way of the news and requests that are being sent.
const CLOSING_PART: f64 = 0.2;
/// Part of that time in which prompt parts are still fetched from closed servers.
const FETCH_PART: f64 = 0.4;
/// What the order in which servers close is drawn by.
const ORDER_SEED: u64 = 0x6576_6163;

/// One data centre that is being emptied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
struct EvacuationRow {
    /// When its first server closes.
    from: Duration,
    /// When all of them are closed.
    until: Duration,
    /// When nothing is fetched from them any more.
    fetch_until: Duration,
}

/// The data centres that get nothing new.
#[derive(Debug, Default, Serialize)]
pub struct EvacuationTable {
    bound: Duration,
    awaits_listing: bool,
    rows: BTreeMap<DataCentre, EvacuationRow>,
}

impl EvacuationTable {
    /// Makes a table that lets no server take work before the evacuations were listed: one may be in force
    /// since long before this process began. Each must be in force within `bound`.
    pub fn awaiting_listing(bound: Duration) -> Self {
        Self { bound, awaits_listing: true, rows: BTreeMap::new() }
    }

    /// Tells whether the evacuations are known.
    pub fn is_known(&self) -> bool {
        !self.awaits_listing
    }

    /// Takes all evacuations in force; returns the data centres that were taken back.
    ///
    /// A listing does not tell when one began, so that what is new in it is in force at once.
    pub fn apply_listing(
        &mut self,
        listed: &BTreeSet<DataCentre>,
        now: Duration,
    ) -> Vec<DataCentre> {
        self.awaits_listing = false;
        let over = self.rows.keys().filter(|known| !listed.contains(*known));
        let over: Vec<DataCentre> = over.cloned().collect();
        self.rows.retain(|known, _| listed.contains(known));
        for data_centre in listed {
            self.begin(data_centre, self.bound, now);
        }
        over
    }

    /// Notes that a data centre is to be emptied, by news that is at most `age` old.
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
        let left = |part: f64| now + self.bound.mul_f64(part).saturating_sub(age);
        let row =
            EvacuationRow { from: now, until: left(CLOSING_PART), fetch_until: left(FETCH_PART) };
        self.rows.entry(Arc::clone(data_centre)).or_insert(row);
    }

    /// Notes that a data centre is taken back.
    pub fn end(&mut self, data_centre: &str) {
        self.rows.remove(data_centre);
    }

    /// Tells whether a server may get new work.
    pub fn accepts_work(&self, data_centre: &str, server: &str, now: Duration) -> bool {
        if self.awaits_listing {
            return false;
        }
        let Some(row) = self.rows.get(data_centre) else {
            return true;
        };
        let draw = xxh3::xxh3_64_with_seed(server.as_bytes(), ORDER_SEED) as f64 / u64::MAX as f64;
        now < row.from + row.until.saturating_sub(row.from).mul_f64(draw)
    }

    /// Tells whether other servers may fetch prompt parts from those of a data centre.
    pub fn allows_fetch(&self, data_centre: &str, now: Duration) -> bool {
        let row = self.rows.get(data_centre);
        !self.awaits_listing && row.is_none_or(|row| now < row.fetch_until)
    }
}
