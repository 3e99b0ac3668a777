//! Which relays respond, as one process has found in all of its uses of them.
//!
//! The entry of a relay that left with its VM stays in the store, and may rank before those of living
//! ones for any purpose. A relay to which no connection could be opened is passed over in all ranks
//! until a check has found it again, so that no caller's request waits for it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Time after which a relay that has responded before is passed over. One that is restarted is back
/// sooner; if entries passed over different ones meanwhile, they would tell different relays what all
/// of them must know.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Time from a failure to the first check. It doubles with each failed check, up to the maximum, since
/// a relay whose VM was removed never responds again.
const FIRST_CHECK: Duration = Duration::from_millis(500);
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(16);
/// Maximum number of relays in one wave of a search.
const MAX_WAVE: usize = 16;

#[derive(Debug, Clone, Copy)]
struct FailureRow {
    since: Duration,
    check_at: Duration,
    interval: Duration,
}

/// Relays that do not respond, by the address at which they serve entries: a relay that moves to
/// another VM is another one.
#[derive(Debug, Default)]
pub struct HealthTable {
    failed: BTreeMap<SocketAddr, FailureRow>,
    /// When any relay last responded.
    responded_at: Duration,
    /// Relays that have responded before.
    responded: BTreeSet<SocketAddr>,
}

impl HealthTable {
    /// Records that a connection to a relay was opened.
    ///
    /// Relays that failed since the last one responded may have done so because this process was cut
    /// off, and are checked at once.
    pub fn record_response(&mut self, relay: SocketAddr, now: Duration) {
        self.failed.remove(&relay);
        for row in self.failed.values_mut().filter(|row| row.since > self.responded_at) {
            *row = FailureRow { check_at: now, interval: FIRST_CHECK, ..*row };
        }
        self.responded_at = now;
        self.responded.insert(relay);
    }

    /// Records that no connection to a relay could be opened. Returns false if that was known.
    pub fn record_failure(&mut self, relay: SocketAddr, now: Duration) -> bool {
        let first = FailureRow { since: now, check_at: now + FIRST_CHECK, interval: FIRST_CHECK };
        let is_known = self.is_failed(relay);
        self.failed.entry(relay).or_insert(first);
        !is_known
    }

    /// Returns whether the last connection to a relay could not be opened.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::relay_health::HealthTable;
    /// let (mut table, now) = (HealthTable::default(), Duration::from_secs(9));
    /// let relay = "10.0.0.1:1".parse().unwrap();
    /// table.record_failure(relay, now);
    /// assert!(table.is_failed(relay) && table.take_due(now).is_empty());
    /// assert_eq!(table.take_due(now + Duration::from_secs(1)), [relay]);
    /// table.record_response(relay, now);
    /// assert!(!table.is_failed(relay));
    /// ```
    pub fn is_failed(&self, relay: SocketAddr) -> bool {
        self.failed.contains_key(&relay)
    }

    /// Returns whether a relay is passed over.
    pub fn is_passed_over(&self, relay: SocketAddr, now: Duration) -> bool {
        let is_gone = |row: &FailureRow| {
            !self.responded.contains(&relay) || now.saturating_sub(row.since) >= RESTART_TIME
        };
        self.failed.get(&relay).is_some_and(is_gone)
    }

    /// Returns whether a relay has responded and not failed since.
    pub fn is_working(&self, relay: SocketAddr) -> bool {
        self.responded.contains(&relay) && !self.is_failed(relay)
    }

    /// Returns the relays that are not passed over, or all if all are: then it is this process that is
    /// cut off.
    pub fn working<Relay, Address>(
        &self,
        relays: Vec<Relay>,
        address: Address,
        now: Duration,
    ) -> Vec<Relay>
    where
        Address: Fn(&Relay) -> SocketAddr,
    {
        let is_passed_over = |relay: &Relay| self.is_passed_over(address(relay), now);
        if self.failed.is_empty() || relays.iter().all(is_passed_over) {
            return relays;
        }
        relays.into_iter().filter(|relay| !is_passed_over(relay)).collect()
    }

    /// Returns the relays to be checked now, and plans their next checks.
    pub fn take_due(&mut self, now: Duration) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for (relay, row) in &mut self.failed {
            if now >= row.check_at {
                row.interval = (row.interval * 2).min(MAX_CHECK_INTERVAL);
                row.check_at = now + row.interval;
                due.push(*relay);
            }
        }
        due
    }

    /// Forgets the relays that are not listed any more.
    pub fn retain<Listed>(&mut self, is_listed: Listed)
    where
        Listed: Fn(&SocketAddr) -> bool,
    {
        self.failed.retain(|relay, _| is_listed(relay));
        self.responded.retain(is_listed);
    }

    /// Returns the number of relays to which the last connection could not be opened.
    pub fn failed_count(&self) -> usize {
        self.failed.len()
    }
}

/// A search for the first relays by rank that respond: each wave may have twice as many as the one
/// before.
#[derive(Debug)]
pub struct RelaySearch {
    count: usize,
    wave: usize,
    checked: BTreeSet<SocketAddr>,
}

impl RelaySearch {
    /// Creates the search for a number of relays.
    pub fn new(count: usize) -> Self {
        Self { count, wave: count, checked: BTreeSet::new() }
    }

    /// Returns the relays to be checked next at the same time, of `ranked` ones; none if the first
    /// ones that have not failed have responded, or all have been checked.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::relay_health::{HealthTable, RelaySearch};
    /// let relays = [1, 2, 3, 4].map(|port| ([10, 0, 0, 1], port).into());
    /// let (mut table, mut search) = (HealthTable::default(), RelaySearch::new(1));
    /// assert_eq!(search.next_wave(&relays, &table), relays[..1]);
    /// table.record_failure(relays[0], Duration::ZERO);
    /// assert_eq!(search.next_wave(&relays, &table), relays[1..3]);
    /// table.record_response(relays[1], Duration::ZERO);
    /// assert!(search.next_wave(&relays, &table).is_empty());
    /// ```
    pub fn next_wave(&mut self, ranked: &[SocketAddr], health: &HealthTable) -> Vec<SocketAddr> {
        let candidates = ranked.iter().copied().filter(|relay| !health.is_failed(*relay));
        if candidates.clone().take(self.count).all(|relay| health.is_working(relay)) {
            return Vec::new();
        }
        let is_new =
            |relay: &SocketAddr| !health.is_working(*relay) && !self.checked.contains(relay);
        let wave: Vec<SocketAddr> = candidates.take(self.wave).filter(is_new).collect();
        self.checked.extend(&wave);
        self.wave = (self.wave * 2).min(MAX_WAVE.max(self.count));
        wave
    }
}
