//! Calls to the store, through the endpoint that currently works: the store itself, or a relay.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use smol::future::FutureExt;
use toucanrail::endpoints::{EndpointTable, RelayEntry, RelayName, StoreEndpoint};
use toucanrail::ids::Version;
use toucanrail::storecalls::{self, StoreCall, StoreReply};
use toucanrail::timeouts::AdaptiveTimeout;
use toucanrail_daemons::starting::ProcessClock;
use toucanrail_platform::names;
use toucanrail_platform::stores::{
    KindListing, ListFreshness, StoreClient, StoreError, WatchedChanges,
};

/// Kind of the relays' entries in the store.
pub const RELAY_KIND: &str = "relays";
/// Interval between listings of the relays, which change only with their VMs. A listing from a
/// stale copy counts as a tenth of a call.
pub const RELAY_LIST_INTERVAL: Duration = Duration::from_secs(12);
/// The same for an entry while the pace of a backend server is unknown.
pub const UNMEASURED_LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Time after the start in which relays are listed often, and the interval then. A restarted entry
/// may be cut off moments later and would have no relays and lenders until the network recovers; in
/// a fleet that starts, the relays themselves register in this time.
const STARTUP_TIME: Duration = Duration::from_secs(4);
const STARTUP_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// The same time in a fleet with hosted relays only, which start once it is known that there are no
/// others.
const HOSTED_STARTUP_TIME: Duration = Duration::from_secs(10);
/// Timeout of a listing of the relays and of a probe of the direct endpoint.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval at which [`maintain_endpoint`] checks what is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A process's access to the store, and the endpoints that lead to it.
#[derive(Debug)]
pub struct StoreAccess {
    client: StoreClient,
    timeout: Cell<AdaptiveTimeout>,
    endpoints: RefCell<EndpointTable>,
    relays_listed: Cell<bool>,
    /// Notified when another endpoint is used from now on.
    endpoint_changed: Event,
    clock: ProcessClock,
    /// Time of the last response to any use of the store.
    responded_at: Cell<Option<Duration>>,
    /// Uses of the store whose last call was not answered, and since when.
    unanswered: RefCell<BTreeMap<&'static str, Duration>>,
}

impl StoreAccess {
    /// Creates the access for one process.
    pub fn new(client: StoreClient, endpoints: EndpointTable, clock: ProcessClock) -> Self {
        let timeout = Cell::new(AdaptiveTimeout::new());
        Self {
            client,
            timeout,
            endpoints: endpoints.into(),
            relays_listed: Cell::new(false),
            endpoint_changed: Event::new(),
            clock,
            responded_at: Cell::new(None),
            unanswered: RefCell::default(),
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
        self.relays_listed.get() && self.endpoints.borrow().uses_hosted_relays()
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

/// Keeps the list of relays up to date, and returns to the direct endpoint when it works again.
///
/// `unmeasured` is the interval between listings while a relay has not stated its server's pace
/// yet. Entries that place prompts set a short one: until the pace is known, a slow server gets as
/// many prompts as a fast one.
pub async fn maintain_endpoint(store: Rc<StoreAccess>, direct: SocketAddr, unmeasured: Duration) {
    let mut listed_at: Option<Duration> = None;
    loop {
        let now = store.now();
        let pause = match now {
            now if now < STARTUP_TIME => STARTUP_LIST_INTERVAL,
            now if now < HOSTED_STARTUP_TIME && store.has_only_hosted_relays() => {
                STARTUP_LIST_INTERVAL
            }
            _ if store.endpoints.borrow().has_unmeasured_server() => unmeasured,
            _ => RELAY_LIST_INTERVAL,
        };
        if listed_at.is_none_or(|at| now.saturating_sub(at) > pause) {
            let done = list_relays(&store).await;
            listed_at = done.then(|| store.now()).or(listed_at);
        }
        let due = store.endpoints.borrow_mut().start_due_probe(now);
        if due {
            store.probe_direct(direct).await;
        }
        smol::Timer::after(CHECK_INTERVAL).await;
    }
}

/// Lists the relays. Returns false if the store did not respond.
async fn list_relays(store: &StoreAccess) -> bool {
    let objects = match store.list_kind(RELAY_KIND, ListFreshness::Stale, PROBE_TIMEOUT).await {
        Ok(listing) => listing.objects,
        Err(failure) => {
            tracing::debug!(event = "relays_not_listed", %failure);
            return false;
        }
    };
    let entries = objects.into_iter().filter_map(|object| {
        let entry: Option<RelayEntry> = storecalls::decode_value(&object.value);
        entry.map(|entry| (object.name, entry))
    });
    store.endpoints.borrow_mut().set_relays(entries);
    store.relays_listed.set(true);
    true
}
