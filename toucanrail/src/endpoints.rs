//! Selection of the endpoint for calls to the platform's store: the store itself, or a relay on
//! another VM.
//!
//! Handles partial failures in which some VMs cannot reach the store, or are refused by it, while
//! others can. An entry that uses a relay keeps its grants small and stays up to date on its
//! configuration and servers; without a relay it can spend only the grants that it held when it
//! lost the store.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentre, Region};

/// Name of a relay, unique within the fleet.
pub type RelayName = Arc<str>;

/// Time after a failure of a relay during which it is not selected.
const RETRY_DELAY: Duration = Duration::from_secs(5);
/// Time between probes of the direct connection while a relay is in use.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// A relay's entry in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayEntry {
    /// Address at which the relay accepts connections to the store.
    pub address: SocketAddr,
    /// Address at which the relay serves requests for budget loans.
    pub lending: SocketAddr,
    /// Data centre of the relay.
    pub data_centre: DataCentre,
    /// Region of the relay.
    pub region: Region,
    /// Time per stream event of the backend server on the relay's VM, in microseconds, as measured
    /// by the relay.
    #[serde(default)]
    pub pace_us: Option<u64>,
    /// Whether the relay runs inside an entry, in a fleet without VMs for relays. Hosted relays are
    /// used only if there is no other.
    #[serde(default)]
    pub hosted: bool,
}

/// Where a relay serves entries.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LocatedRelay {
    /// Name of the relay.
    pub name: RelayName,
    /// Address at which it serves entries.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
}

/// An endpoint for calls to the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum StoreEndpoint {
    /// The store itself.
    Direct,
    /// A relay that forwards connections to the store.
    Relay(RelayName),
}

#[derive(Debug, Clone, Serialize)]
struct RelayRow {
    entry: RelayEntry,
    failed_at: Option<Duration>,
}

impl RelayRow {
    /// Returns the row of a relay's current entry. It keeps the time of the last failure unless the
    /// address changed.
    fn updated(known: Option<Self>, entry: RelayEntry) -> Self {
        let same = known.filter(|known| known.entry.address == entry.address);
        Self { failed_at: same.and_then(|row| row.failed_at), entry }
    }
}

/// The endpoints known to one entry, and the one in use.
#[derive(Debug, Clone, Serialize)]
pub struct EndpointTable {
    store: SocketAddr,
    data_centre: DataCentre,
    region: Region,
    relays: BTreeMap<RelayName, RelayRow>,
    #[serde(rename = "way")]
    current: StoreEndpoint,
    probed_at: Duration,
    /// Number of times that the endpoint in use has changed.
    #[serde(rename = "moves")]
    pub changes: u64,
}

impl EndpointTable {
    /// Creates a table without relays, in which the store is used directly.
    pub fn new(store: SocketAddr, data_centre: DataCentre, region: Region) -> Self {
        Self {
            store,
            data_centre,
            region,
            relays: BTreeMap::new(),
            current: StoreEndpoint::Direct,
            probed_at: Duration::ZERO,
            changes: 0,
        }
    }

    /// Replaces the relays by those listed in the store.
    ///
    /// Known relays keep the time of their last failure unless their address changed.
    pub fn set_relays<Entries>(&mut self, entries: Entries)
    where
        Entries: IntoIterator<Item = (RelayName, RelayEntry)>,
    {
        let mut known = std::mem::take(&mut self.relays);
        for (name, entry) in entries {
            let old = known.remove(&name);
            self.relays.insert(name, RelayRow::updated(old, entry));
        }
        self.leave_removed_relay();
    }

    /// Adds or updates one relay, or removes it if `entry` is `None`.
    pub fn apply_change(&mut self, name: &RelayName, entry: Option<RelayEntry>) {
        let known = self.relays.remove(name);
        if let Some(entry) = entry {
            self.relays.insert(Arc::clone(name), RelayRow::updated(known, entry));
        }
        self.leave_removed_relay();
    }

    /// Uses the store directly if the relay in use is no longer known.
    fn leave_removed_relay(&mut self) {
        if self.address_of(&self.current).is_none() {
            self.current = StoreEndpoint::Direct;
            self.changes += 1;
        }
    }

    /// Returns the endpoint in use and its address.
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
        let address = self.address_of(&self.current).unwrap_or(self.store);
        (self.current.clone(), address)
    }

    fn address_of(&self, endpoint: &StoreEndpoint) -> Option<SocketAddr> {
        match endpoint {
            StoreEndpoint::Direct => Some(self.store),
            StoreEndpoint::Relay(name) => self.relays.get(name).map(|row| row.entry.address),
        }
    }

    /// Records that a call through `endpoint` got no response or was refused; returns whether the
    /// endpoint in use has changed. `random`, uniform in `0..1`, spreads entries over the relays.
    ///
    /// Calls run concurrently, so a late failure of an endpoint that is no longer in use is
    /// ignored.
    pub fn record_failure(&mut self, endpoint: &StoreEndpoint, random: f64, now: Duration) -> bool {
        if *endpoint != self.current {
            return false;
        }
        match endpoint {
            StoreEndpoint::Direct => self.probed_at = now,
            StoreEndpoint::Relay(name) => {
                if let Some(row) = self.relays.get_mut(name) {
                    row.failed_at = Some(now);
                }
            }
        }
        // If all relays have failed as well, the store itself is down, and the direct connection is
        // as good as any.
        let next = self.pick_relay(random, now).map_or(StoreEndpoint::Direct, StoreEndpoint::Relay);
        let changed = next != self.current;
        self.current = next;
        self.changes += u64::from(changed);
        changed
    }

    /// Picks a relay without a recent failure, in the entry's own data centre if there is one.
    fn pick_relay(&self, random: f64, now: Duration) -> Option<RelayName> {
        let available = |row: &RelayRow| {
            row.failed_at.is_none_or(|failed| now.saturating_sub(failed) > RETRY_DELAY)
        };
        let available: Vec<_> = self.usable_relays().filter(|(_, row)| available(row)).collect();
        let is_local = |row: &RelayRow| row.entry.data_centre == self.data_centre;
        let local: Vec<_> = available.iter().copied().filter(|(_, row)| is_local(row)).collect();
        let candidates = if local.is_empty() { &available } else { &local };
        let last = candidates.len().checked_sub(1)?;
        let index = ((candidates.len() as f64 * random) as usize).min(last);
        candidates.get(index).map(|(name, _)| Arc::clone(name))
    }

    /// Returns the relays that may be used: those on VMs of their own, or, if there are none, those
    /// hosted by entries.
    fn usable_relays(&self) -> impl Iterator<Item = (&RelayName, &RelayRow)> {
        let hosted = self.uses_hosted_relays();
        self.relays.iter().filter(move |(_, row)| row.entry.hosted == hosted)
    }

    /// Returns the relays of all regions, and the addresses at which they serve entries.
    pub fn relays(&self) -> Vec<(RelayName, SocketAddr)> {
        let rows = self.usable_relays();
        rows.map(|(name, row)| (Arc::clone(name), row.entry.lending)).collect()
    }

    /// Returns the relays of all regions with their data centres.
    pub fn located_relays(&self) -> Vec<LocatedRelay> {
        let located = |(name, row): (&RelayName, &RelayRow)| LocatedRelay {
            name: Arc::clone(name),
            address: row.entry.lending,
            data_centre: Arc::clone(&row.entry.data_centre),
        };
        self.usable_relays().map(located).collect()
    }

    /// Returns whether no relay has a VM of its own, so that relays hosted by entries are used.
    pub fn uses_hosted_relays(&self) -> bool {
        self.relays.values().all(|row| row.entry.hosted)
    }

    /// Returns whether the store lists a relay with this name.
    pub fn has_relay(&self, name: &str) -> bool {
        self.relays.contains_key(name)
    }

    /// Returns the number of relays, including hosted ones.
    pub fn count_relays(&self) -> usize {
        self.relays.len()
    }

    /// Returns the relay on a VM, and the address at which it serves loans.
    pub fn relay_at(&self, vm: IpAddr) -> Option<(RelayName, SocketAddr)> {
        let found = self.relays.iter().find(|(_, row)| row.entry.address.ip() == vm);
        found.map(|(name, row)| (Arc::clone(name), row.entry.lending))
    }

    /// Returns whether a relay with a VM of its own has not yet measured its backend server.
    pub fn has_unmeasured_server(&self) -> bool {
        self.relays.values().any(|row| row.entry.pace_us.is_none() && !row.entry.hosted)
    }

    /// Returns the times per stream event of the backend servers that relays have measured, by the
    /// IP address of their VM.
    pub fn paces(&self) -> BTreeMap<IpAddr, Duration> {
        let paces = self.relays.values().filter_map(|row| {
            let pace = Duration::from_micros(row.entry.pace_us?);
            Some((row.entry.address.ip(), pace))
        });
        paces.collect()
    }

    /// Returns the relays of this region, or all relays if the region has none, as lenders.
    ///
    /// A customer has one lender per region. With one per data centre, four lenders of a customer
    /// contended for its account, and a third of all calls to the store lost the race.
    pub fn lenders(&self) -> Vec<(RelayName, SocketAddr)> {
        let is_regional = |row: &RelayRow| row.entry.region == self.region;
        let any = self.usable_relays().any(|(_, row)| is_regional(row));
        let rows = self.usable_relays().filter(|(_, row)| !any || is_regional(row));
        rows.map(|(name, row)| (Arc::clone(name), row.entry.lending)).collect()
    }

    /// Returns whether the direct connection should be probed now, which is the case at intervals
    /// while a relay is in use; records the time of the probe.
    pub fn start_due_probe(&mut self, now: Duration) -> bool {
        let due = self.current != StoreEndpoint::Direct
            && now.saturating_sub(self.probed_at) > PROBE_INTERVAL;
        if due {
            self.probed_at = now;
        }
        due
    }

    /// Switches back to the direct connection after a successful probe.
    pub fn restore_direct(&mut self) {
        if self.current != StoreEndpoint::Direct {
            self.current = StoreEndpoint::Direct;
            self.changes += 1;
        }
    }
}
