//! The way to the platform's store: directly, or through a relay on another VM.
//!
//! The failure it answers: single VMs are cut off from the store, or turned away by it, while others
//! reach it. An entry that goes through a relay keeps its grants small, its configuration new and
//! its servers known; without one it spends only what it held when the cut began.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentre, Region};

/// Name of a relay, unique in the fleet.
pub type RelayName = Arc<str>;

/// Time for which a way that failed is not taken again while others are untried.
const REST: Duration = Duration::from_secs(5);
/// Time between tries of the direct way while a relay is used.
const PROBE_PAUSE: Duration = Duration::from_secs(2);

/// A relay, as it stands in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayEntry {
    /// Where it takes connections for the store.
    pub address: SocketAddr,
    /// Where it lends budget.
    pub lending: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: Region,
    /// Time of one event of a stream at the server on its VM, in microseconds, as it measured.
    #[serde(default)]
    pub pace_us: Option<u64>,
    /// Whether it is a part of an entry, in a fleet without VMs for relays; others go before it.
    #[serde(default)]
    pub hosted: bool,
}

/// One way to the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum StoreEndpoint {
    /// Directly.
    Direct,
    /// Through a relay.
    Relay(RelayName),
}

#[derive(Debug, Clone, Serialize)]
struct RelayRow {
    entry: RelayEntry,
    failed_at: Option<Duration>,
}

/// The ways to the store, as one entry knows them.
#[derive(Debug, Clone, Serialize)]
pub struct EndpointTable {
    store: SocketAddr,
    data_centre: DataCentre,
    region: Region,
    relays: BTreeMap<RelayName, RelayRow>,
    way: StoreEndpoint,
    probed_at: Duration,
    /// Changes of the way so far.
    pub moves: u64,
}

impl EndpointTable {
    /// Makes a table without relays: the direct way is taken.
    pub fn new(store: SocketAddr, data_centre: DataCentre, region: Region) -> Self {
        Self {
            store,
            data_centre,
            region,
            relays: BTreeMap::new(),
            way: StoreEndpoint::Direct,
            probed_at: Duration::ZERO,
            moves: 0,
        }
    }

    /// Takes the relays that stand in the store.
    pub fn set_relays<Entries>(&mut self, entries: Entries)
    where
        Entries: IntoIterator<Item = (RelayName, RelayEntry)>,
    {
        let mut known = std::mem::take(&mut self.relays);
        for (name, entry) in entries {
            let same = |row: &RelayRow| row.entry.address == entry.address;
            let old = known.remove(&name).filter(same);
            let failed_at = old.and_then(|row| row.failed_at);
            self.relays.insert(name, RelayRow { entry, failed_at });
        }
        // A relay that is gone from the list may still be the way in use.
        if self.address_of(&self.way).is_none() {
            self.way = StoreEndpoint::Direct;
            self.moves += 1;
        }
    }

    /// Returns the way in use and its address.
    ///
    /// # Examples
    /// ```
    /// use std::sync::Arc;
    /// use toucanrail::endpoints::{EndpointTable, StoreEndpoint};
    /// let store = "10.0.0.1:80".parse().unwrap();
    /// let table = EndpointTable::new(store, Arc::from("a"), Arc::from("r"));
    /// assert_eq!(table.current(), (StoreEndpoint::Direct, store));
    /// ```
    pub fn current(&self) -> (StoreEndpoint, SocketAddr) {
        let address = self.address_of(&self.way).unwrap_or(self.store);
        (self.way.clone(), address)
    }

    fn address_of(&self, way: &StoreEndpoint) -> Option<SocketAddr> {
        match way {
            StoreEndpoint::Direct => Some(self.store),
            StoreEndpoint::Relay(name) => self.relays.get(name).map(|row| row.entry.address),
        }
    }

    /// Notes that a call had no answer, or was turned away, on a way; true if another way is taken
    /// now. `dice` in `0..1` spreads entries over the relays.
    ///
    /// Calls run at the same time, so only a failure of the way in use moves it.
    pub fn record_failure(&mut self, way: &StoreEndpoint, dice: f64, now: Duration) -> bool {
        if *way != self.way {
            return false;
        }
        match way {
            StoreEndpoint::Direct => self.probed_at = now,
            StoreEndpoint::Relay(name) => {
                if let Some(row) = self.relays.get_mut(name) {
                    row.failed_at = Some(now);
                }
            }
        }
        // Where all relays fail as well, the store itself is away, and the direct way is as good.
        let next = self.pick_relay(dice, now).map_or(StoreEndpoint::Direct, StoreEndpoint::Relay);
        let moved = next != self.way;
        self.way = next;
        self.moves += u64::from(moved);
        moved
    }

    fn pick_relay(&self, dice: f64, now: Duration) -> Option<RelayName> {
        let rested =
            |row: &RelayRow| row.failed_at.is_none_or(|failed| now.saturating_sub(failed) > REST);
        let rested: Vec<_> = self.ranked_relays().filter(|(_, row)| rested(row)).collect();
        let near = |row: &RelayRow| row.entry.data_centre == self.data_centre;
        let nearby: Vec<_> = rested.iter().copied().filter(|(_, row)| near(row)).collect();
        let choice = if nearby.is_empty() { &rested } else { &nearby };
        let last = choice.len().checked_sub(1)?;
        let at = ((choice.len() as f64 * dice) as usize).min(last);
        choice.get(at).map(|(name, _)| Arc::clone(name))
    }

    /// Returns the relays that are used: those on VMs of their own, or where there is none those that
    /// entries host.
    fn ranked_relays(&self) -> impl Iterator<Item = (&RelayName, &RelayRow)> {
        let hosted = self.uses_hosted_relays();
        self.relays.iter().filter(move |(_, row)| row.entry.hosted == hosted)
    }

    /// Tells whether no relay stands on a VM of its own.
    pub fn uses_hosted_relays(&self) -> bool {
        self.relays.values().all(|row| row.entry.hosted)
    }

    /// Tells whether the store lists a relay of this name.
    pub fn has_relay(&self, name: &str) -> bool {
        self.relays.contains_key(name)
    }

    /// Returns how many relays there are.
    pub fn count_relays(&self) -> usize {
        self.relays.len()
    }

    /// Returns the relay on a VM, and where it answers entries.
    pub fn relay_at(&self, vm: IpAddr) -> Option<(RelayName, SocketAddr)> {
        let found = self.relays.iter().find(|(_, row)| row.entry.address.ip() == vm);
        found.map(|(name, row)| (Arc::clone(name), row.entry.lending))
    }

    /// Tells whether there is a relay that has not measured its server yet.
    pub fn has_unmeasured_server(&self) -> bool {
        self.relays.values().any(|row| row.entry.pace_us.is_none() && !row.entry.hosted)
    }

    /// Returns the paces of the servers that relays measured, by the address of their VM.
    pub fn paces(&self) -> BTreeMap<IpAddr, Duration> {
        let paces = self.relays.values().filter_map(|row| {
            let pace = Duration::from_micros(row.entry.pace_us?);
            Some((row.entry.address.ip(), pace))
        });
        paces.collect()
    }

    /// Returns the lenders of this region, or all where it has none.
    ///
    /// A customer has one lender in a region: with one in each data centre, four lenders of a
    /// customer met in its account, and a third of all calls to the store were lost races.
    pub fn lenders(&self) -> Vec<(RelayName, SocketAddr)> {
        let near = |row: &RelayRow| row.entry.region == self.region;
        let any = self.ranked_relays().any(|(_, row)| near(row));
        let rows = self.ranked_relays().filter(|(_, row)| !any || near(row));
        rows.map(|(name, row)| (Arc::clone(name), row.entry.lending)).collect()
    }

    /// Tells whether the direct way is to be tried now, beside a relay in use.
    pub fn start_due_probe(&mut self, now: Duration) -> bool {
        let due =
            self.way != StoreEndpoint::Direct && now.saturating_sub(self.probed_at) > PROBE_PAUSE;
        if due {
            self.probed_at = now;
        }
        due
    }

    /// Notes that the direct way works again.
    pub fn restore_direct(&mut self) {
        if self.way != StoreEndpoint::Direct {
            self.way = StoreEndpoint::Direct;
            self.moves += 1;
        }
    }
}
