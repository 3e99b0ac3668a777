//! Table of the backend servers that an entry reaches directly, and of its requests at each of
//! them.
//!
//! Servers register themselves in the platform's store. The table keeps their latest registrations,
//! this entry's requests in flight at each server, and what is known of each server's prompt cache.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use crate::ejections::EjectionState;
use crate::evacuations::EvacuationTable;
use crate::ids::{DataCentre, ServiceName, SoftwareVersion, Tokens, Version};
use crate::origins::StreamOrigin;
use crate::paces::BackendReport;
use crate::reported_loads::ReportedLoad;
use crate::statements::{RememberedStatements, ServerProcess, ServerStatements};
use crate::version_history::{ListedVersions, VersionHistory};

/// Id of a backend server; most restarts assign a new one.
pub type BackendId = Arc<str>;
/// Id of a part of a prompt.
pub type PartId = u64;
/// Number of a request in flight, unique within this process.
pub type FlightId = u64;

/// Time for which a server whose registration expired during a store outage is still used after the
/// store's return. Live servers register again within about two seconds. A server that left without
/// notice looks the same and must get no work later than two seconds after its registration went
/// missing; the time until the change is known here and a request's own preparation must fit into
/// these two seconds too.
pub const MISSING_GRACE: Duration = Duration::from_millis(1_700);
/// Time out of rotation after a connection was refused or could not be opened in time. Doubles with
/// each consecutive failure, so that a dead server costs few connection timeouts.
const CONNECT_BACKOFF: Duration = Duration::from_millis(400);
const MAX_CONNECT_BACKOFF: Duration = Duration::from_secs(4);
/// Prompt parts remembered per server; bounds the table's memory to about 200 KB per server.
const MAX_PARTS: usize = 2_048;
/// Smoothing weight of a new latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part; equal parts have equal ids.
    pub id: PartId,
    /// Length in tokens.
    pub tokens: Tokens,
}

/// A server's registration in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct BackendEntry {
    /// Id of the server.
    pub id: BackendId,
    /// Service that the server belongs to.
    pub service: ServiceName,
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Data centre of the server.
    pub data_centre: DataCentre,
    /// Version of the server's software.
    pub software_version: SoftwareVersion,
    /// Number of requests that the server runs concurrently.
    pub slots: u64,
    /// Whether the server is shutting down.
    pub draining: bool,
    /// Start time, in Unix milliseconds; a different time under the same id is a different process.
    #[serde(rename = "born")]
    pub started_at: u64,
    /// Remaining time for which the server was cold when it registered.
    pub cold: Duration,
    /// The store's revision of the registration.
    pub revision: Version,
}

impl BackendEntry {
    /// Returns the process that registered.
    pub fn process(&self) -> ServerProcess {
        ServerProcess { id: Arc::clone(&self.id), started_at: self.started_at }
    }

    /// Returns the origin of the streams that it begins.
    pub fn origin(&self) -> StreamOrigin {
        let service = ServiceName::clone(&self.service);
        StreamOrigin { service, version: SoftwareVersion::clone(&self.software_version) }
    }

    /// Returns whether a stream that began at `origin` may go on at this server.
    pub fn continues(&self, origin: &StreamOrigin) -> bool {
        self.service == origin.service && self.software_version == origin.version
    }

    /// Returns whether this is a registration of the process that `other` registers.
    pub fn is_same_process(&self, other: &Self) -> bool {
        self.started_at == other.started_at
            && self.address == other.address
            && self.software_version == other.software_version
    }
}

/// One request of this entry at a server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct FlightRow {
    /// When the request was sent.
    pub sent_at: Duration,
    /// Prompt tokens that the server must prefill.
    #[serde(rename = "fresh")]
    pub uncached: Tokens,
    /// Whether the response has begun.
    pub begun: bool,
}

/// One backend server.
#[derive(Debug, Clone, Serialize)]
pub struct BackendRow {
    /// The server's registration in the store.
    pub entry: BackendEntry,
    /// This entry's requests in flight at the server.
    pub flights: BTreeMap<FlightId, FlightRow>,
    /// Failures and ejections of the server.
    pub ejection: EjectionState,
    /// Time before which no connection is attempted.
    pub down_until: Duration,
    #[serde(rename = "downs")]
    connect_failures: u32,
    /// Time until which the server is or may be cold and gets no request without a permit.
    pub cold_until: Duration,
    /// Time before which no permit for the server is requested.
    #[serde(rename = "permits_until")]
    pub permit_retry_at: Duration,
    /// What the server stated in its responses.
    pub statements: ServerStatements,
    /// Smoothed time to a response, or to a stream's first event, in seconds.
    pub latency: f64,
    /// When the server's registration went missing, if it did; it may come back.
    pub missing_since: Option<Duration>,
    /// Whether another server has registered at the same address since.
    pub replaced: bool,
    /// Time per stream event in a small batch, as measured by the relay beside the server.
    pub pace: Option<Duration>,
    /// Load of the server by its latest report, if reports are recorded.
    #[serde(skip)]
    pub reported: Option<ReportedLoad>,
    #[serde(skip)]
    parts: BTreeMap<PartId, Duration>,
}

impl BackendRow {
    fn new(entry: BackendEntry, statements: ServerStatements) -> Self {
        Self {
            entry,
            flights: BTreeMap::new(),
            ejection: EjectionState::default(),
            down_until: Duration::ZERO,
            connect_failures: 0,
            cold_until: Duration::ZERO,
            permit_retry_at: Duration::ZERO,
            statements,
            latency: 0.0,
            missing_since: None,
            replaced: false,
            pace: None,
            reported: None,
            parts: BTreeMap::new(),
        }
    }

    /// Returns whether the server may get new work.
    pub fn accepts_work(&self, now: Duration) -> bool {
        !self.is_leaving()
            && !self.statements.is_resting(now)
            && now >= self.down_until
            && self.permit_delay(now).is_zero()
            && !self.ejection.is_ejected(now)
    }

    /// Returns the time until a permit may be requested again; zero if none is needed.
    pub fn permit_delay(&self, now: Duration) -> Duration {
        if self.needs_permit(now) {
            self.permit_retry_at.saturating_sub(now)
        } else {
            Duration::ZERO
        }
    }

    /// Returns whether the server is leaving.
    pub fn is_leaving(&self) -> bool {
        self.entry.draining || self.statements.is_leaving
    }

    /// Returns whether the server gets no request without a permit.
    pub fn needs_permit(&self, now: Duration) -> bool {
        self.is_cold(now) || self.statements.rate_limit.is_some()
    }

    /// Returns whether the server is or may be cold.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Returns whether the server's registration went missing and did not come back in time.
    fn is_expired(&self, now: Duration) -> bool {
        self.missing_since.is_some_and(|since| now.saturating_sub(since) > MISSING_GRACE)
    }

    /// Returns the number of tokens in the longest prefix of parts that the server is known to have
    /// cached.
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> Tokens {
        let cached = parts.iter().take_while(|part| self.parts.contains_key(&part.id));
        cached.map(|part| part.tokens).sum()
    }

    /// Returns the number of prompt tokens that the server must prefill.
    pub fn uncached_tokens(&self, parts: &[PromptPart], prompt_tokens: Tokens) -> Tokens {
        prompt_tokens.saturating_sub(self.cached_tokens(parts))
    }

    fn record_parts(&mut self, parts: &[PromptPart], now: Duration) {
        // The first parts of a longer prompt: those after a part that is not cached do not count.
        for part in parts.iter().take(MAX_PARTS) {
            self.parts.insert(part.id, now);
        }
        if self.parts.len() > MAX_PARTS {
            let mut times: Vec<Duration> = self.parts.values().copied().collect();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.parts.retain(|_, at| *at > median || *at == now);
        }
    }
}

/// All backend servers known to an entry.
#[derive(Debug, Default, Serialize)]
pub struct BackendTable {
    rows: BTreeMap<BackendId, BackendRow>,
    #[serde(skip)]
    remembered: RememberedStatements,
    #[serde(skip)]
    versions: VersionHistory,
    /// Data centres that get no new work.
    pub evacuations: EvacuationTable,
    is_listed: bool,
    next_flight: FlightId,
}

impl BackendTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a table without servers that respects the given evacuations.
    pub fn with_evacuations(evacuations: EvacuationTable) -> Self {
        Self { evacuations, ..Self::default() }
    }

    /// Inserts or updates a server from its current registration in the store.
    ///
    /// A server that restarted under the same id has lost its cache and its requests, so its row is
    /// replaced.
    pub fn apply_entry(&mut self, entry: BackendEntry) {
        let address = entry.address;
        self.versions.record_registered(&entry.service, &entry.software_version);
        match self.rows.get_mut(&entry.id) {
            Some(row) if row.entry.is_same_process(&entry) => {
                row.entry = entry;
                row.missing_since = None;
            }
            _ => {
                self.remove_row(&entry.id);
                let statements = self.remembered.take(&entry.process());
                self.rows.insert(Arc::clone(&entry.id), BackendRow::new(entry, statements));
            }
        }
        self.mark_replaced(address);
    }

    /// Marks all servers at an address as replaced except the one that registered last.
    ///
    /// A server that ended without notice stays registered for some seconds, while its successor at
    /// the same address registers under an id of its own. After a power loss of all VMs, half of
    /// the requests went to addresses of servers that no longer existed; the successors rejected
    /// them with 421 because of the other id, and the requests were refused.
    fn mark_replaced(&mut self, address: SocketAddr) {
        let at_address = |row: &&mut BackendRow| row.entry.address == address;
        let last = self.rows.values_mut().filter(at_address).map(|row| row.entry.revision).max();
        for row in self.rows.values_mut().filter(at_address) {
            row.replaced = last.is_some_and(|last| row.entry.revision < last);
        }
    }

    /// Records that a server's registration is missing from the store.
    ///
    /// After an outage of the store that ended at `returned`, a live server's registration may be
    /// missing; such a server is used until [`MISSING_GRACE`] has passed. Without an outage, the
    /// server has left or died and gets no more work.
    pub fn record_missing(&mut self, id: &str, returned: Option<Duration>) {
        match (returned, self.rows.get_mut(id)) {
            (Some(returned), Some(row)) => {
                row.missing_since.get_or_insert(returned);
            }
            _ => self.remove_row(id),
        }
    }

    /// Removes a server. What it stated is kept for the case that its registration comes back.
    fn remove_row(&mut self, id: &str) {
        let row = self.rows.remove(id);
        if let Some(row) = row.filter(|row| row.statements != ServerStatements::default()) {
            self.remembered.insert(row.entry.process(), row.statements);
        }
    }

    /// Removes the servers whose registrations did not come back in time, and returns their ids.
    pub fn drop_expired(&mut self, now: Duration) -> Vec<BackendId> {
        let expired = self.rows.values().filter(|row| row.is_expired(now));
        let expired: Vec<BackendId> = expired.map(|row| Arc::clone(&row.entry.id)).collect();
        for id in &expired {
            self.remove_row(id);
        }
        expired
    }

    /// Records that the servers in the store were listed completely.
    pub fn mark_listed(&mut self, now: Duration) {
        self.is_listed = true;
        self.versions.record_listed(now);
    }

    /// Records that the fleet starts for the first time.
    pub fn mark_first_start(&mut self) {
        self.versions.record_first_start();
    }

    /// Updates the history of software versions; `lifetime` is the longest time in which a stream
    /// is taken up.
    pub fn sweep_versions(&mut self, now: Duration, lifetime: Duration) {
        let registered: BTreeSet<(&ServiceName, &SoftwareVersion)> = self
            .rows
            .values()
            .map(|row| (&row.entry.service, &row.entry.software_version))
            .collect();
        self.versions
            .sweep(now, lifetime, |service, version| registered.contains(&(service, version)));
    }

    /// Records that the store's records name versions.
    pub fn record_written_versions(&mut self, written: &ListedVersions) {
        self.versions.record_written(written);
    }

    /// Returns which software versions the servers of each service have run.
    pub fn versions(&self) -> &VersionHistory {
        &self.versions
    }

    /// Returns whether a server is registered, and not leaving, at which a stream may go on.
    pub fn may_continue(&self, origin: &StreamOrigin, now: Duration) -> bool {
        self.untried_servers(&origin.service, &[], now)
            .any(|row| row.entry.continues(origin) && !row.is_leaving())
    }

    /// Returns whether the servers in the store were ever listed completely; before that, an empty
    /// table means nothing.
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

    /// Returns the servers of a service that may get new work and were not tried yet.
    ///
    /// If all of them are ejected or down, returns those that the store still lists as ready: a
    /// wrong guess must not refuse a request that a server could serve. A server that rests said so
    /// itself and is never returned.
    pub fn eligible<'table>(
        &'table self,
        service: &str,
        tried: &[BackendId],
        now: Duration,
    ) -> Vec<&'table BackendRow> {
        self.eligible_for(service, None, tried, now)
    }

    /// Like [`eligible`](Self::eligible), for a stream that has begun at `origin` and may go on only
    /// there.
    pub fn eligible_for<'table>(
        &'table self,
        service: &str,
        origin: Option<&StreamOrigin>,
        tried: &[BackendId],
        now: Duration,
    ) -> Vec<&'table BackendRow> {
        let rows = self.untried_servers(service, tried, now).filter(|row| {
            let BackendEntry { id, data_centre, .. } = &row.entry;
            origin.is_none_or(|origin| row.entry.continues(origin))
                && !row.is_leaving()
                && !row.statements.is_resting(now)
                && self.evacuations.accepts_work(data_centre, id, now)
        });
        let rows: Vec<&BackendRow> = rows.collect();
        let working: Vec<&BackendRow> =
            rows.iter().copied().filter(|row| row.accepts_work(now)).collect();
        if working.is_empty() { rows } else { working }
    }

    /// Returns the servers of a service that prompt parts may be fetched from: those that may get
    /// work, and those in data centres whose evacuation has just begun.
    pub fn fetch_sources<'table>(
        &'table self,
        service: &str,
        tried: &[BackendId],
        now: Duration,
    ) -> Vec<&'table BackendRow> {
        let rows = self.untried_servers(service, tried, now).filter(|row| {
            row.accepts_work(now) && self.evacuations.allows_fetch(&row.entry.data_centre, now)
        });
        rows.collect()
    }

    /// Returns the servers of a service that are still at their registered addresses and were not
    /// tried yet.
    fn untried_servers<'table>(
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

    /// Records a request that was sent, and returns its number.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::backends::{BackendTable, FlightRow};
    /// let mut table = BackendTable::new();
    /// let row = FlightRow { sent_at: Default::default(), uncached: 0, begun: false };
    /// assert_ne!(table.record_sent("a", row, &[]), table.record_sent("a", row, &[]));
    /// ```
    pub fn record_sent(&mut self, id: &str, flight: FlightRow, parts: &[PromptPart]) -> FlightId {
        self.next_flight += 1;
        if let Some(row) = self.rows.get_mut(id) {
            row.flights.insert(self.next_flight, flight);
            row.record_parts(parts, flight.sent_at);
        }
        self.next_flight
    }

    /// Records a server's report of its load.
    pub fn record_report(&mut self, id: &str, report: &BackendReport, now: Duration) {
        if let Some(row) = self.rows.get_mut(id) {
            row.reported = Some(ReportedLoad::new(report, &row.flights, now));
        }
    }

    /// Records that the response to a request has begun.
    pub fn record_first_event(&mut self, id: &str, number: FlightId, now: Duration) {
        let Some(row) = self.rows.get_mut(id) else {
            return;
        };
        row.connect_failures = 0;
        if let Some(flight) = row.flights.get_mut(&number) {
            flight.begun = true;
            let wait = now.saturating_sub(flight.sent_at).as_secs_f64();
            let weight = if row.latency > 0.0 { LATENCY_WEIGHT } else { 1.0 };
            row.latency += (wait - row.latency) * weight;
        }
    }

    /// Returns the statements of a process, to be changed, whether or not it is registered.
    pub fn statements_mut(&mut self, process: &ServerProcess) -> &mut ServerStatements {
        match self.rows.get_mut(&process.id) {
            Some(row) if row.entry.started_at == process.started_at => &mut row.statements,
            _ => self.remembered.get_mut(process),
        }
    }

    /// Returns the time until the first of a service's resting servers takes requests again, or
    /// `None` if none rests.
    pub fn rest_left(&self, service: &str, now: Duration) -> Option<Duration> {
        let rows = self.rows.values().filter(|row| *row.entry.service == *service);
        let resting = rows.filter(|row| !row.is_leaving() && row.statements.is_resting(now));
        resting.map(|row| row.statements.rest_until.saturating_sub(now)).min()
    }

    /// Updates the paces of all servers from the relays' measurements, by VM address.
    pub fn apply_paces(&mut self, paces: &BTreeMap<IpAddr, Duration>) {
        for row in self.rows.values_mut() {
            row.pace = paces.get(&row.entry.address.ip()).copied();
        }
    }

    /// Records that a request is no longer in flight.
    pub fn record_ended(&mut self, id: &str, number: FlightId) {
        if let Some(row) = self.rows.get_mut(id) {
            row.flights.remove(&number);
        }
    }

    /// Records that a response has gone beyond its head: its first event, or its whole body. A head
    /// alone proves nothing, since its body may never end.
    pub fn record_success(&mut self, id: &str, now: Duration) {
        if let Some(row) = self.rows.get_mut(id) {
            row.ejection.record_success(now);
        }
    }

    /// Records a failed attempt.
    pub fn record_failure(&mut self, id: &str, now: Duration) {
        if let Some(row) = self.rows.get_mut(id) {
            row.ejection.record_failure(now);
        }
    }

    /// Records that no connection could be opened.
    pub fn record_connect_failure(&mut self, id: &str, now: Duration) {
        if let Some(row) = self.rows.get_mut(id) {
            let time = CONNECT_BACKOFF
                .saturating_mul(1 << row.connect_failures.min(8))
                .min(MAX_CONNECT_BACKOFF);
            row.down_until = now + time;
            row.connect_failures += 1;
        }
    }

    /// Records that a server is or may be cold for some time.
    pub fn record_cold(&mut self, id: &str, time: Duration, now: Duration) {
        if let Some(row) = self.rows.get_mut(id) {
            row.cold_until = row.cold_until.max(now.max(row.down_until).saturating_add(time));
        }
    }

    /// Records that no permit for a server is available before `until`.
    pub fn record_permit_denied(&mut self, id: &str, until: Duration) {
        if let Some(row) = self.rows.get_mut(id) {
            row.permit_retry_at = until;
        }
    }

    /// Puts the servers of a data centre back into use after its evacuation.
    ///
    /// The servers may have been restarted during the evacuation, and their new registrations
    /// arrive separately. All of them therefore count as cold for the time that `cold_time` returns
    /// for their service.
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

    /// Records that the server at an address is not the one that is registered there. A later
    /// registration may prove otherwise.
    pub fn record_other_server(&mut self, id: &str) {
        if let Some(row) = self.rows.get_mut(id) {
            row.entry.draining = true;
        }
    }
}
