//! The table of backend servers that an entry reaches directly, and what it has sent to each.
//!
//! Servers register themselves in the platform's store. The table keeps what the store said last,
//! the requests this entry has in flight at each server, and what it knows of its prompt cache.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use crate::ejections::EjectionState;
use crate::evacuations::EvacuationTable;
use crate::ids::{DataCentre, ServiceName, Tokens, Version};

/// Id of a backend server, new with most of its starts.
pub type BackendId = Arc<str>;
/// Id of a part of a prompt.
pub type PartId = u64;
/// Number of a request in flight, unique in this process.
pub type FlightId = u64;

/// Time for which a server whose entry lapsed while the store was away is still used after the
/// store's return. Live servers are back within about two seconds; one that has left without a word
/// looks the same and may get no work two seconds after its entry went, so that the way to it and a
/// request's own preparation must fit in too.
pub const MISSING_GRACE: Duration = Duration::from_millis(1_700);
/// Time out of rotation after a connection was refused or not opened in time; doubles with each
/// failure in a row, so that a dead server costs few connection timeouts.
const DOWN_TIME: Duration = Duration::from_millis(400);
const DOWN_LIMIT: Duration = Duration::from_secs(4);
/// Prompt parts remembered a server; bounds the table's memory at about 200 KB a server.
const PART_LIMIT: usize = 2_048;
/// Weight of a new time in the smoothed time to an answer.
const LATENCY_WEIGHT: f64 = 0.2;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Its id; equal parts have equal ids.
    pub id: PartId,
    /// Its tokens.
    pub tokens: Tokens,
}

/// What a server says of itself in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct BackendEntry {
    /// Its id.
    pub id: BackendId,
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Requests it runs at once.
    pub slots: u64,
    /// Whether it is leaving.
    pub draining: bool,
    /// When it started, in Unix milliseconds; another time under the same id is another process.
    #[serde(rename = "born")]
    pub started_at: u64,
    /// How much longer it was cold when it wrote this.
    pub cold: Duration,
    /// The store's revision of this entry.
    pub revision: Version,
}

/// One request of this entry at a server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct FlightRow {
    /// When it was sent.
    pub sent_at: Duration,
    /// Prompt tokens that the server must read.
    #[serde(rename = "fresh")]
    pub uncached: Tokens,
    /// Whether its answer has begun.
    pub begun: bool,
}

/// One backend server.
#[derive(Debug, Clone, Serialize)]
pub struct BackendRow {
    /// What it says of itself.
    pub entry: BackendEntry,
    /// Requests in flight there.
    pub flights: BTreeMap<FlightId, FlightRow>,
    /// What its failures led to.
    pub ejection: EjectionState,
    /// End of the time in which no connection is tried.
    pub down_until: Duration,
    #[serde(rename = "downs")]
    connect_failures: u32,
    /// End of the time in which it is cold, or may be, and gets nothing without a permit.
    pub cold_until: Duration,
    /// End of the time in which no permit for it is asked for.
    #[serde(rename = "permits_until")]
    pub permit_retry_at: Duration,
    /// Smoothed time to an answer, or to a stream's first event, in seconds.
    pub latency: f64,
    /// When its entry went missing; it may come back.
    pub missing_since: Option<Duration>,
    /// Whether another server has registered at its address since.
    pub replaced: bool,
    /// Time of one event of a stream there in a batch of few, as the relay beside it measured.
    pub pace: Option<Duration>,
    #[serde(skip)]
    parts: BTreeMap<PartId, Duration>,
}

impl BackendRow {
    fn new(entry: BackendEntry) -> Self {
        Self {
            entry,
            flights: BTreeMap::new(),
            ejection: EjectionState::default(),
            down_until: Duration::ZERO,
            connect_failures: 0,
            cold_until: Duration::ZERO,
            permit_retry_at: Duration::ZERO,
            latency: 0.0,
            missing_since: None,
            replaced: false,
            pace: None,
            parts: BTreeMap::new(),
        }
    }

    /// Tells whether new work may go there.
    pub fn accepts_work(&self, now: Duration) -> bool {
        !self.entry.draining
            && now >= self.down_until
            && self.permit_delay(now).is_zero()
            && !self.ejection.is_ejected(now)
    }

    /// Returns the time until a permit for it may be had again; none is needed once it is not cold.
    pub fn permit_delay(&self, now: Duration) -> Duration {
        if self.is_cold(now) { self.permit_retry_at.saturating_sub(now) } else { Duration::ZERO }
    }

    /// Tells whether it gets nothing without a permit.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Tells whether its entry went missing and did not come back in time.
    fn is_expired(&self, now: Duration) -> bool {
        self.missing_since.is_some_and(|since| now.saturating_sub(since) > MISSING_GRACE)
    }

    /// Returns how many tokens of a chain of parts the server is known to hold: those up to the first
    /// part that it is not known to have read.
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> Tokens {
        let held = parts.iter().take_while(|part| self.parts.contains_key(&part.id));
        held.map(|part| part.tokens).sum()
    }

    /// Returns how many prompt tokens the server must read.
    pub fn uncached_tokens(&self, parts: &[PromptPart], prompt: Tokens) -> Tokens {
        prompt.saturating_sub(self.cached_tokens(parts))
    }

    fn note_parts(&mut self, parts: &[PromptPart], now: Duration) {
        for part in parts {
            self.parts.insert(part.id, now);
        }
        if self.parts.len() > PART_LIMIT {
            let mut times: Vec<Duration> = self.parts.values().copied().collect();
            times.sort_unstable();
            let middle = times[times.len() / 2];
            self.parts.retain(|_, at| *at > middle);
        }
    }
}

/// All backend servers of an entry.
#[derive(Debug, Default, Serialize)]
pub struct BackendTable {
    rows: BTreeMap<BackendId, BackendRow>,
    /// The data centres that get nothing new.
    pub evacuations: EvacuationTable,
    is_listed: bool,
    next_flight: FlightId,
}

impl BackendTable {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes a table without servers, where some data centres may get nothing new.
    pub fn with_evacuations(evacuations: EvacuationTable) -> Self {
        Self { evacuations, ..Self::default() }
    }

    /// Takes a server's entry as it now is in the store.
    ///
    /// A server that started again under its id holds and knows nothing of before, so its row
    /// starts anew.
    pub fn apply_entry(&mut self, entry: BackendEntry) {
        let address = entry.address;
        match self.rows.get_mut(&entry.id) {
            Some(row)
                if row.entry.started_at == entry.started_at
                    && row.entry.address == entry.address =>
            {
                row.entry = entry;
                row.missing_since = None;
            }
            _ => {
                self.rows.insert(Arc::clone(&entry.id), BackendRow::new(entry));
            }
        }
        self.mark_replaced(address);
    }

    /// Marks all servers of an address as replaced but the one that registered there last.
    ///
    /// A server that ended without a word keeps its entry for some seconds, and the one that started in
    /// its place has an entry of its own. After a power loss of all VMs half of the requests went to
    /// servers that were no more, which say 421 under another id, and were refused.
    fn mark_replaced(&mut self, address: SocketAddr) {
        let here = |row: &&mut BackendRow| row.entry.address == address;
        let last = self.rows.values_mut().filter(here).map(|row| row.entry.revision).max();
        for row in self.rows.values_mut().filter(here) {
            row.replaced = last.is_some_and(|last| row.entry.revision < last);
        }
    }

    /// Notes that a server's entry is gone from the store.
    ///
    /// After an outage of the store, which returned at `returned`, an entry may be missing although
    /// its server lives: it is used until [`MISSING_GRACE`] has passed since then. Otherwise the server
    /// has left or died, and gets no work.
    pub fn note_missing(&mut self, id: &str, returned: Option<Duration>) {
        match (returned, self.rows.get_mut(id)) {
            (Some(returned), Some(row)) => {
                row.missing_since.get_or_insert(returned);
            }
            _ => {
                self.rows.remove(id);
            }
        }
    }

    /// Drops the servers whose entries did not come back; returns their ids.
    pub fn drop_expired(&mut self, now: Duration) -> Vec<BackendId> {
        let over = self.rows.values().filter(|row| row.is_expired(now));
        let over: Vec<BackendId> = over.map(|row| Arc::clone(&row.entry.id)).collect();
        for id in &over {
            self.rows.remove(id);
        }
        over
    }

    /// Notes that all servers of the store were taken.
    pub fn mark_listed(&mut self) {
        self.is_listed = true;
    }

    /// Tells whether the servers of the store were ever taken whole; an empty table means nothing
    /// before.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Returns one server.
    pub fn get(&self, id: &str) -> Option<&BackendRow> {
        self.rows.get(id)
    }

    /// Returns all servers.
    pub fn rows(&self) -> impl Iterator<Item = &BackendRow> {
        self.rows.values()
    }

    /// Returns the servers of a service that may take new work and were not tried yet.
    ///
    /// Where all of them are ejected or down, those are returned that the store still lists as
    /// ready: a wrong guess must not refuse what a server would serve.
    pub fn eligible<'table>(
        &'table self,
        service: &str,
        tried: &[BackendId],
        now: Duration,
    ) -> Vec<&'table BackendRow> {
        let rows = self.list_untried(service, tried, now).filter(|row| {
            let BackendEntry { id, data_centre, draining, .. } = &row.entry;
            !draining && self.evacuations.accepts_work(data_centre, id, now)
        });
        let rows: Vec<&BackendRow> = rows.collect();
        let working: Vec<&BackendRow> =
            rows.iter().copied().filter(|row| row.accepts_work(now)).collect();
        if working.is_empty() { rows } else { working }
    }

    /// Returns the servers of a service that prompt parts may be fetched from: those that may take work, and
    /// those that a moment ago might.
    pub fn fetch_sources<'table>(
        &'table self,
        service: &str,
        tried: &[BackendId],
        now: Duration,
    ) -> Vec<&'table BackendRow> {
        let rows = self.list_untried(service, tried, now).filter(|row| {
            row.accepts_work(now) && self.evacuations.allows_fetch(&row.entry.data_centre, now)
        });
        rows.collect()
    }

    /// Lists the servers of a service that are still where their entries say, and were not tried yet.
    fn list_untried<'table>(
        &'table self,
        service: &str,
        tried: &[BackendId],
        now: Duration,
    ) -> impl Iterator<Item = &'table BackendRow> {
        self.rows.values().filter(move |row| {
            *row.entry.service == *service
                && !row.replaced
                && !row.is_expired(now)
                && !tried.contains(&row.entry.id)
        })
    }

    /// Notes a request sent and returns its number.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::backends::{BackendTable, FlightRow};
    /// let mut table = BackendTable::new();
    /// let row = FlightRow { sent_at: Default::default(), uncached: 0, begun: false };
    /// assert_ne!(table.note_sent("a", row, &[]), table.note_sent("a", row, &[]));
    /// ```
    pub fn note_sent(&mut self, id: &str, flight: FlightRow, parts: &[PromptPart]) -> FlightId {
        self.next_flight += 1;
        if let Some(row) = self.rows.get_mut(id) {
            row.flights.insert(self.next_flight, flight);
            row.note_parts(parts, flight.sent_at);
        }
        self.next_flight
    }

    /// Notes that the answer to a request has begun.
    pub fn note_first_event(&mut self, id: &str, number: FlightId, now: Duration) {
        let Some(row) = self.rows.get_mut(id) else {
            return;
        };
        row.connect_failures = 0;
        row.ejection.note_success(now);
        if let Some(flight) = row.flights.get_mut(&number) {
            flight.begun = true;
            let wait = now.saturating_sub(flight.sent_at).as_secs_f64();
            let weight = if row.latency > 0.0 { LATENCY_WEIGHT } else { 1.0 };
            row.latency += (wait - row.latency) * weight;
        }
    }

    /// Takes what relays measured of the servers on their VMs.
    pub fn apply_paces(&mut self, paces: &BTreeMap<IpAddr, Duration>) {
        for row in self.rows.values_mut() {
            row.pace = paces.get(&row.entry.address.ip()).copied();
        }
    }

    /// Notes that a request is no longer in flight.
    pub fn note_ended(&mut self, id: &str, number: FlightId) {
        if let Some(row) = self.rows.get_mut(id) {
            row.flights.remove(&number);
        }
    }

    /// Notes a failed attempt.
    pub fn note_failure(&mut self, id: &str, now: Duration) {
        if let Some(row) = self.rows.get_mut(id) {
            row.ejection.note_failure(now);
        }
    }

    /// Notes that no connection could be opened.
    pub fn note_connect_failure(&mut self, id: &str, now: Duration) {
        if let Some(row) = self.rows.get_mut(id) {
            let time = DOWN_TIME.saturating_mul(1 << row.connect_failures.min(8)).min(DOWN_LIMIT);
            row.down_until = now + time;
            row.connect_failures += 1;
        }
    }

    /// Notes that a server is cold, or may be, for some time.
    pub fn note_cold(&mut self, id: &str, time: Duration, now: Duration) {
        if let Some(row) = self.rows.get_mut(id) {
            row.cold_until = row.cold_until.max(now.max(row.down_until) + time);
        }
    }

    /// Notes that no permit for a cold server is to be had for some time.
    pub fn note_permit_denied(&mut self, id: &str, until: Duration) {
        if let Some(row) = self.rows.get_mut(id) {
            row.permit_retry_at = until;
        }
    }

    /// Takes the servers of a data centre back into use.
    ///
    /// They may have been started anew while it was empty, and what they say of it comes by another way: all
    /// of them count as cold, for the time that `cold_time` tells of their service.
    pub fn end_evacuation<ColdTime>(
        &mut self,
        data_centre: &str,
        now: Duration,
        cold_time: ColdTime,
    ) where
        ColdTime: Fn(&str) -> Duration,
    {
        self.evacuations.end(data_centre);
        for row in self.rows.values_mut().filter(|row| *row.entry.data_centre == *data_centre) {
            row.cold_until = row.cold_until.max(now + cold_time(&row.entry.service));
        }
    }

    /// Notes that a server says by its own answer that it is not the one its entry names, or that
    /// it is leaving.
    pub fn note_leaving(&mut self, id: &str) {
        if let Some(row) = self.rows.get_mut(id) {
            row.entry.draining = true;
        }
    }
}
