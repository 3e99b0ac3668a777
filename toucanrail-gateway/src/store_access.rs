//! Calls to the store, through the endpoint that currently works: the store itself, or a relay.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use event_listener::Event;
use smol::future::FutureExt;
use toucanrail::endpoints::{EndpointTable, LocatedRelay, RelayEntry, RelayName, StoreEndpoint};
use toucanrail::ids::Version;
use toucanrail::messages::{MirrorChange, MirrorObject};
use toucanrail::storecalls::{self, StoreCall, StoreReply};
use toucanrail::timeouts::AdaptiveTimeout;
use toucanrail_daemons::starting::ProcessClock;
use toucanrail_platform::names;
use toucanrail_platform::stores::{
    KindListing, ListFreshness, StoreClient, StoreError, WatchedChanges,
};

/// Kind of the relays' entries in the store.
pub const RELAY_KIND: &str = "relays";
/// Timeout of a listing of the relays and of a probe of the direct endpoint.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval at which [`probe_endpoint`] checks whether a probe is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A process's access to the store, and the endpoints that lead to it.
#[derive(Debug)]
pub struct StoreAccess {
    client: StoreClient,
    timeout: Cell<AdaptiveTimeout>,
    endpoints: RefCell<EndpointTable>,
    /// Time of the first listing of the relays.
    relays_listed_at: Cell<Option<Duration>>,
    /// Notified at the first listing of the relays.
    relays_listed: Event,
    /// Notified when another endpoint is used from now on.
    endpoint_changed: Event,
    clock: ProcessClock,
    /// Time of the last response to any use of the store.
    responded_at: Cell<Option<Duration>>,
    /// Uses of the store whose last call was not answered, and since when.
    unanswered: RefCell<BTreeMap<&'static str, Duration>>,
    /// When the store, or a board, last responded to each use.
    heard_at: RefCell<BTreeMap<&'static str, Duration>>,
}

impl StoreAccess {
    /// Creates the access for one process.
    pub fn new(client: StoreClient, endpoints: EndpointTable, clock: ProcessClock) -> Self {
        let timeout = Cell::new(AdaptiveTimeout::new());
        Self {
            client,
            timeout,
            endpoints: endpoints.into(),
            relays_listed_at: Cell::new(None),
            relays_listed: Event::new(),
            endpoint_changed: Event::new(),
            clock,
            responded_at: Cell::new(None),
            unanswered: RefCell::default(),
            heard_at: RefCell::default(),
        }
    }

    /// Returns a copy of the endpoints, for the state dump.
    pub fn endpoints(&self) -> EndpointTable {
        self.endpoints.borrow().clone()
    }

    /// Returns the time since the process started.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns the time since the store last responded.
    pub fn time_since_response(&self) -> Duration {
        self.now().saturating_sub(self.responded_at.get().unwrap_or_default())
    }

    /// Records whether a call was answered. Logs when a use of the store begins or ceases to be
    /// unanswered.
    pub fn record_call(&self, usage: &'static str, responded: bool) {
        let mut unanswered = self.unanswered.borrow_mut();
        if responded {
            self.record_heard(usage);
            let age = self.time_since_response().as_millis() as u64;
            self.responded_at.set(Some(self.now()));
            if unanswered.remove(usage).is_some() {
                tracing::info!(event = "store_regained", usage, store_age_ms = age);
            }
        } else if !unanswered.contains_key(usage) {
            unanswered.insert(usage, self.now());
            tracing::warn!(event = "store_lost", usage);
        }
    }

    /// Records that the store, or a board, has responded to a use.
    pub fn record_heard(&self, usage: &'static str) {
        self.heard_at.borrow_mut().insert(usage, self.now());
    }

    /// Returns the time since the store, or a board, last responded to a use; none if neither ever
    /// has.
    pub fn time_since_heard(&self, usage: &str) -> Option<Duration> {
        let heard_at = self.heard_at.borrow().get(usage).copied();
        heard_at.map(|at| self.now().saturating_sub(at))
    }

    /// Returns whether the last call of a use of the store was not answered.
    pub fn is_unanswered(&self, usage: &str) -> bool {
        self.unanswered.borrow().contains_key(usage)
    }

    /// Returns how long a use of the store has been unanswered; zero if its last call was answered.
    pub fn unanswered_for(&self, usage: &str) -> Duration {
        let since = self.unanswered.borrow().get(usage).copied();
        since.map_or(Duration::ZERO, |since| self.now().saturating_sub(since))
    }

    /// Returns the lenders of this region, or of all regions if it has none.
    pub fn lenders(&self) -> Vec<(RelayName, SocketAddr)> {
        self.endpoints.borrow().lenders()
    }

    /// Returns the relays of all regions, and the addresses at which they serve entries.
    pub fn relays(&self) -> Vec<(RelayName, SocketAddr)> {
        self.endpoints.borrow().relays()
    }

    /// Returns the relays of all regions with their data centres.
    pub fn located_relays(&self) -> Vec<LocatedRelay> {
        self.endpoints.borrow().located_relays()
    }

    /// Returns the relay on a VM, and the address on which it serves entries.
    pub fn relay_at(&self, vm: IpAddr) -> Option<(RelayName, SocketAddr)> {
        self.endpoints.borrow().relay_at(vm)
    }

    /// Returns the paces of backend servers as measured by their relays, by VM address.
    pub fn server_paces(&self) -> BTreeMap<IpAddr, Duration> {
        self.endpoints.borrow().paces()
    }

    /// Returns whether calls go directly to the store.
    pub fn is_direct(&self) -> bool {
        self.endpoints.borrow().current().0 == StoreEndpoint::Direct
    }

    /// Returns whether the relays have been listed and none runs on a VM of its own.
    pub fn has_only_hosted_relays(&self) -> bool {
        self.relays_listed_at.get().is_some() && self.endpoints.borrow().uses_hosted_relays()
    }

    /// Returns the time since the relays were first listed, or `None` if they have not been.
    pub fn time_since_relays_listed(&self) -> Option<Duration> {
        self.relays_listed_at.get().map(|at| self.now().saturating_sub(at))
    }

    /// Waits until the relays have been listed.
    pub async fn wait_relays_listed(&self) {
        let listed = self.relays_listed.listen();
        if self.relays_listed_at.get().is_none() {
            listed.await;
        }
    }

    /// Returns whether a relay has not yet stated the pace of the server beside it.
    pub fn has_unmeasured_server(&self) -> bool {
        self.endpoints.borrow().has_unmeasured_server()
    }

    /// Lists all relays. Returns whether the store responded.
    pub async fn list_relays(&self, freshness: ListFreshness) -> bool {
        let listed = self.list_kind(RELAY_KIND, freshness, PROBE_TIMEOUT).await;
        self.apply_relay_listing(listed)
    }

    /// Lists the relays that follow `after` in the order of names, or the first ones, up to one
    /// page. Returns whether the store responded.
    ///
    /// For a process that needs a few relays only: if each process listed all of them, the listings
    /// would grow with the square of the fleet.
    pub async fn list_some_relays(&self, after: Option<&str>) -> bool {
        let (endpoint, address) = self.endpoints.borrow().current();
        let listed = self.client.list_some(address, RELAY_KIND, after, PROBE_TIMEOUT).await;
        self.record_endpoint_result(&endpoint, &listed);
        self.apply_relay_listing(listed)
    }

    fn apply_relay_listing(&self, listed: Result<KindListing, StoreError>) -> bool {
        match listed {
            Ok(listing) => {
                self.set_relays(&listing.objects);
                true
            }
            Err(failure) => {
                tracing::debug!(event = "relays_not_listed", %failure);
                false
            }
        }
    }

    /// Replaces the known relays.
    pub fn set_relays(&self, objects: &[MirrorObject]) {
        let entries = objects.iter().filter_map(|object| {
            let entry: Option<RelayEntry> = storecalls::decode_value(&object.value);
            entry.map(|entry| (Arc::clone(&object.name), entry))
        });
        self.endpoints.borrow_mut().set_relays(entries);
        if self.relays_listed_at.get().is_none() {
            self.relays_listed_at.set(Some(self.now()));
            self.relays_listed.notify(usize::MAX);
        }
    }

    /// Applies a change of one relay's entry.
    pub fn apply_relay_change(&self, change: &MirrorChange) {
        let entry = storecalls::decode_value(&change.object.value).filter(|_| !change.removed);
        self.endpoints.borrow_mut().apply_change(&change.object.name, entry);
    }

    /// Returns whether the store lists a relay of this name.
    pub fn has_relay(&self, name: &str) -> bool {
        self.endpoints.borrow().has_relay(name)
    }

    /// Returns the number of relays in the last listing.
    pub fn relay_count(&self) -> usize {
        self.endpoints.borrow().count_relays()
    }

    /// Makes one read or conditional write.
    pub async fn call(&self, call: &StoreCall) -> StoreReply {
        let (endpoint, address) = self.endpoints.borrow().current();
        let started = self.now();
        let wait = self.timeout.get().wait();
        let reply = self.client.call(address, call, wait).await;
        // Reads the timeout again, since concurrent calls may have changed it meanwhile.
        let mut timeout = self.timeout.get();
        if reply == StoreReply::Unavailable {
            timeout.record_timeout(wait);
            self.record_failure(&endpoint);
        } else {
            timeout.record_response(self.now().saturating_sub(started));
        }
        self.timeout.set(timeout);
        reply
    }

    /// Lists the objects of a kind.
    pub async fn list_kind(
        &self,
        kind: &str,
        freshness: ListFreshness,
        timeout: Duration,
    ) -> Result<KindListing, StoreError> {
        let (endpoint, address) = self.endpoints.borrow().current();
        let listing = self.client.list_kind(address, kind, freshness, timeout).await;
        self.record_endpoint_result(&endpoint, &listing);
        listing
    }

    /// Waits for changes of a kind. Fails early when another call finds the endpoint broken,
    /// instead of waiting for its own timeout on it.
    pub async fn watch_kind(
        &self,
        kind: &str,
        after: Version,
        wait: Duration,
        slack: Duration,
    ) -> Result<WatchedChanges, StoreError> {
        let changed = self.endpoint_changed.listen();
        let (endpoint, address) = self.endpoints.borrow().current();
        let watching = self.client.watch_kind(address, kind, after, wait, wait + slack);
        let changing = async {
            changed.await;
            Err(StoreError::NoResponse(io::ErrorKind::ConnectionAborted.into()))
        };
        let watched = watching.or(changing).await;
        self.record_endpoint_result(&endpoint, &watched);
        watched
    }

    fn record_endpoint_result<Value>(
        &self,
        endpoint: &StoreEndpoint,
        result: &Result<Value, StoreError>,
    ) {
        if matches!(result, Err(StoreError::NoResponse(_) | StoreError::UnexpectedStatus(_))) {
            self.record_failure(endpoint);
        }
    }

    fn record_failure(&self, endpoint: &StoreEndpoint) {
        let now = self.now();
        let changed = self.endpoints.borrow_mut().record_failure(endpoint, fastrand::f64(), now);
        if changed {
            self.announce_endpoint_change("failure");
        }
    }

    fn announce_endpoint_change(&self, reason: &str) {
        let (endpoint, address) = self.endpoints.borrow().current();
        tracing::info!(event = "store_way", way = ?endpoint, %address, reason);
        self.endpoint_changed.notify(usize::MAX);
    }

    /// Probes the direct endpoint, and returns to it if it works.
    async fn probe_direct(&self, store: SocketAddr) {
        let path = format!("{}/{}", names::CONFIG_KIND, names::CONFIG_NAME);
        let call = StoreCall::Get { path: path.into() };
        let reply = self.client.call(store, &call, PROBE_TIMEOUT).await;
        if matches!(reply, StoreReply::Found { .. } | StoreReply::Missing) {
            self.endpoints.borrow_mut().restore_direct();
            self.announce_endpoint_change("direct endpoint works again");
        }
    }
}

/// Returns to the direct endpoint when it works again.
pub async fn probe_endpoint(store: Rc<StoreAccess>, direct: SocketAddr) {
    loop {
        smol::Timer::after(CHECK_INTERVAL).await;
        let due = store.endpoints.borrow_mut().start_due_probe(store.now());
        if due {
            store.probe_direct(direct).await;
        }
    }
}
