//! Calls to the store, on the way that works now.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use smol::future::FutureExt;
use toucanrail::detours::{DetourTable, RelayEntry, RelayName, StoreWay};
use toucanrail::ids::Version;
use toucanrail::storecalls::{self, StoreCall, StoreReply};
use toucanrail::timeouts::AdaptiveTimeout;
use toucanrail_daemons::starting::ProcessClock;
use toucanrail_platform::names;
use toucanrail_platform::stores::{
    KindListing, ListFreshness, StoreClient, StoreFailure, WatchedChanges,
};

/// Kind of the relays' entries in the store.
pub const RELAY_KIND: &str = "relays";
/// Time between listings of the relays: they change with their VMs. A listing of a stale copy costs a
/// tenth of a call.
pub const RELAY_REFRESH: Duration = Duration::from_secs(12);
/// The same for an entry while a server's pace is not known.
pub const UNMEASURED_REFRESH: Duration = Duration::from_secs(2);
/// Time after the start in which they are listed often. An entry that is started again may be cut off
/// moments later, and is without relays and lenders until the cut heals; in a fleet that starts, the
/// relays themselves register in this time.
const RELAY_FIRST: Duration = Duration::from_secs(4);
const RELAY_FIRST_REFRESH: Duration = Duration::from_secs(1);
/// The same time where entries host the relays, which they do once there are no others.
const HOSTED_FIRST: Duration = Duration::from_secs(10);
/// Longest wait for a listing of the relays, or for a try of the direct way.
const PROBE_BOUND: Duration = Duration::from_millis(600);
const PROBE_STEP: Duration = Duration::from_millis(250);

/// The store and the ways to it.
#[derive(Debug)]
pub struct StoreAccess {
    client: StoreClient,
    patience: Cell<AdaptiveTimeout>,
    ways: RefCell<DetourTable>,
    relays_listed: Cell<bool>,
    moved: Event,
    clock: ProcessClock,
    /// Last answer of the store to anything.
    heard: Cell<Option<Duration>>,
    /// Uses of the store whose last call had no answer, and since when.
    silent: RefCell<BTreeMap<&'static str, Duration>>,
}

impl StoreAccess {
    /// Makes the access of one process.
    pub fn new(client: StoreClient, ways: DetourTable, clock: ProcessClock) -> Self {
        let patience = Cell::new(AdaptiveTimeout::new());
        Self {
            client,
            patience,
            ways: ways.into(),
            relays_listed: Cell::new(false),
            moved: Event::new(),
            clock,
            heard: Cell::new(None),
            silent: RefCell::default(),
        }
    }

    /// Returns the ways, for the dump of the state.
    pub fn ways(&self) -> DetourTable {
        self.ways.borrow().clone()
    }

    /// Returns the time since the process's start.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns the time since the store last answered.
    pub fn age(&self) -> Duration {
        self.now().saturating_sub(self.heard.get().unwrap_or_default())
    }

    /// Notes whether a call was answered; logs when one of the uses of the store is lost or back.
    pub fn note_use(&self, usage: &'static str, answered: bool) {
        let mut silent = self.silent.borrow_mut();
        if answered {
            let age = self.age().as_millis() as u64;
            self.heard.set(Some(self.now()));
            if silent.remove(usage).is_some() {
                tracing::info!(event = "store_regained", usage, store_age_ms = age);
            }
        } else if !silent.contains_key(usage) {
            silent.insert(usage, self.now());
            tracing::warn!(event = "store_lost", usage);
        }
    }

    /// Tells whether the last call of a use of the store had no answer.
    pub fn is_silent(&self, usage: &str) -> bool {
        self.silent.borrow().contains_key(usage)
    }

    /// Returns for how long a use of the store has had no answer.
    pub fn silence(&self, usage: &str) -> Duration {
        let since = self.silent.borrow().get(usage).copied();
        since.map_or(Duration::ZERO, |since| self.now().saturating_sub(since))
    }

    /// Returns the lenders of this region, or all where it has none.
    pub fn lenders(&self) -> Vec<(RelayName, SocketAddr)> {
        self.ways.borrow().lenders()
    }

    /// Returns the relay on a VM, and where it answers entries.
    pub fn relay_at(&self, vm: IpAddr) -> Option<(RelayName, SocketAddr)> {
        self.ways.borrow().relay_at(vm)
    }

    /// Returns the paces of servers that relays measured, by the address of their VM.
    pub fn paces(&self) -> BTreeMap<IpAddr, Duration> {
        self.ways.borrow().paces()
    }

    /// Tells whether calls go to the store directly.
    pub fn is_direct(&self) -> bool {
        self.ways.borrow().way().0 == StoreWay::Direct
    }

    /// Tells whether the relays were listed, and none stands on a VM of its own.
    pub fn lacks_relays(&self) -> bool {
        self.relays_listed.get() && self.ways.borrow().is_hosted()
    }

    /// Tells whether the store lists a relay of this name.
    pub fn has_relay(&self, name: &str) -> bool {
        self.ways.borrow().has_relay(name)
    }

    /// Returns how many relays stand in the store, as last listed.
    pub fn count_relays(&self) -> usize {
        self.ways.borrow().count_relays()
    }

    /// Makes one read or conditional write.
    pub async fn call(&self, call: &StoreCall) -> StoreReply {
        let (way, address) = self.ways.borrow().way();
        let asked = self.now();
        let wait = self.patience.get().wait();
        let reply = self.client.call(address, call, wait).await;
        // Calls run at the same time: what another one learnt meanwhile counts too.
        let mut patience = self.patience.get();
        if reply == StoreReply::Unavailable {
            patience.record_timeout(wait);
            self.note_failure(&way);
        } else {
            patience.record_response(self.now().saturating_sub(asked));
        }
        self.patience.set(patience);
        reply
    }

    /// Lists a kind.
    pub async fn list_kind(
        &self,
        kind: &str,
        freshness: ListFreshness,
        bound: Duration,
    ) -> Result<KindListing, StoreFailure> {
        let (way, address) = self.ways.borrow().way();
        let listing = self.client.list_kind(address, kind, freshness, bound).await;
        self.note_result(&way, &listing);
        listing
    }

    /// Waits for changes of a kind; ends early where the way is found broken by another call.
    ///
    /// Guards against a watch that waits for its timeout on a way that is known not to work.
    pub async fn watch_kind(
        &self,
        kind: &str,
        after: Version,
        wait: Duration,
        slack: Duration,
    ) -> Result<WatchedChanges, StoreFailure> {
        let moved = self.moved.listen();
        let (way, address) = self.ways.borrow().way();
        let watching = self.client.watch_kind(address, kind, after, wait, wait + slack);
        let moving = async {
            moved.await;
            Err(StoreFailure::NoAnswer(io::ErrorKind::ConnectionAborted.into()))
        };
        let watched = watching.or(moving).await;
        self.note_result(&way, &watched);
        watched
    }

    fn note_result<Value>(&self, way: &StoreWay, result: &Result<Value, StoreFailure>) {
        if matches!(result, Err(StoreFailure::NoAnswer(_) | StoreFailure::Declined(_))) {
            self.note_failure(way);
        }
    }

    fn note_failure(&self, way: &StoreWay) {
        let now = self.now();
        let moved = self.ways.borrow_mut().note_failure(way, fastrand::f64(), now);
        if moved {
            self.note_moved("failure");
        }
    }

    fn note_moved(&self, reason: &str) {
        let (way, address) = self.ways.borrow().way();
        tracing::info!(event = "store_way", ?way, %address, reason);
        self.moved.notify(usize::MAX);
    }

    /// Tries the direct way.
    async fn probe_direct(&self, store: SocketAddr) {
        let path = format!("{}/{}", names::CONFIG_KIND, names::CONFIG_NAME);
        let call = StoreCall::Get { path: path.into() };
        let reply = self.client.call(store, &call, PROBE_BOUND).await;
        if matches!(reply, StoreReply::Found { .. } | StoreReply::Missing) {
            self.ways.borrow_mut().note_direct();
            self.note_moved("direct way works again");
        }
    }
}

/// Keeps the list of relays, and goes back to the direct way when it works.
///
/// An entry that places prompts lists more often (`unmeasured`) while a relay has not stated its
/// server's pace yet: until it does, a slow server gets the prompts of a fast one.
pub async fn keep_ways(store: Rc<StoreAccess>, direct: SocketAddr, unmeasured: Duration) {
    let mut listed: Option<Duration> = None;
    loop {
        let now = store.now();
        let pause = match now {
            now if now < RELAY_FIRST => RELAY_FIRST_REFRESH,
            now if now < HOSTED_FIRST && store.lacks_relays() => RELAY_FIRST_REFRESH,
            _ if store.ways.borrow().lacks_paces() => unmeasured,
            _ => RELAY_REFRESH,
        };
        if listed.is_none_or(|at| now.saturating_sub(at) > pause) {
            let done = list_relays(&store).await;
            listed = done.then(|| store.now()).or(listed);
        }
        let wants = store.ways.borrow_mut().wants_probe(now);
        if wants {
            store.probe_direct(direct).await;
        }
        smol::Timer::after(PROBE_STEP).await;
    }
}

/// Lists the relays; false if there was no answer.
async fn list_relays(store: &StoreAccess) -> bool {
    let objects = match store.list_kind(RELAY_KIND, ListFreshness::Stale, PROBE_BOUND).await {
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
    store.ways.borrow_mut().take_relays(entries);
    store.relays_listed.set(true);
    true
}
