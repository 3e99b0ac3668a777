//! Origins of streams and records of versions in the store: relays write them, entries read them where
//! no relay knows a stream.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use smol::Timer;
use smol::future::FutureExt;
use smol::lock::Mutex;
use toucanrail::ids::{RequestId, ServiceName};
use toucanrail::origins::{OriginReport, OriginTable, StreamOrigin};
use toucanrail::storecalls::{self, StoreCall, StoreReply};
use toucanrail::stored_origins::{self, OriginWriter, StoredOrigins};
use toucanrail::version_history::ListedVersions;
use toucanrail::version_records::{self, RecordKeeper, VersionRecord};
use toucanrail_platform::stores::ListFreshness;

use crate::relay_api::RelayApi;
use crate::state::Gateway;

/// Minimum time between two writes of a relay.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a failed call; it doubles with each consecutive failure, up to the maximum.
const MIN_RETRY_PAUSE: Duration = Duration::from_secs(1);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(8);
/// Interval at which a relay checks whether stored origins have expired.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum time for the last write of a relay that stops.
const FLUSH_TIME: Duration = Duration::from_millis(600);
/// Minimum time between two reads of an entry.
const READ_INTERVAL: Duration = Duration::from_millis(300);
/// Time after a failed read in which searches do not read again.
const FAILURE_PAUSE: Duration = Duration::from_secs(2);
/// Timeout of each page of a listing of the stored origins.
const LIST_TIMEOUT: Duration = Duration::from_millis(600);

/// What a relay writes to the store about streams.
#[derive(Debug)]
pub struct OriginStore {
    writer: RefCell<OriginWriter>,
    records: RefCell<RecordKeeper>,
    noted: Event,
    /// Held while calls are made: both state machines hand out one call at a time.
    calling: Mutex<()>,
}

impl OriginStore {
    /// Creates the state of a relay that has just started.
    pub fn new(relay: &str) -> Self {
        Self {
            writer: OriginWriter::new(relay).into(),
            records: RefCell::default(),
            noted: Event::new(),
            calling: Mutex::default(),
        }
    }
}

/// Records what an entry tells a relay about streams.
pub fn record_report(api: &RelayApi, report: OriginReport) {
    let now = api.change_feed.now();
    api.versions.borrow_mut().record(report.versions, now);
    api.origin_store.records.borrow_mut().record_listed(report.listed, now);
    let mut origins = api.origins.borrow_mut();
    for note in report.notes {
        origins.insert(note, now);
    }
    api.origin_store.noted.notify(1);
}

/// Writes to the store what a relay remembers, until the process exits.
pub async fn write_origins(api: Rc<RelayApi>) {
    let mut retry_pause = MIN_RETRY_PAUSE;
    loop {
        let noted = api.origin_store.noted.listen();
        let mut pause = WRITE_INTERVAL;
        if write_all(&api).await {
            retry_pause = MIN_RETRY_PAUSE;
            let expiring = async {
                Timer::after(EXPIRY_INTERVAL).await;
            };
            noted.or(expiring).await;
        } else {
            pause = retry_pause;
            retry_pause = retry_pause.saturating_mul(2).min(MAX_RETRY_PAUSE);
        }
        Timer::after(pause).await;
    }
}

/// Writes what is left when a relay stops.
pub async fn flush(api: &RelayApi) {
    let writing = async {
        write_all(api).await;
    };
    let expiring = async {
        Timer::after(FLUSH_TIME).await;
    };
    writing.or(expiring).await;
}

/// Writes versions of services to their records. Returns whether the records name all of them.
pub async fn record_versions(api: &RelayApi, listed: ListedVersions) -> bool {
    let OriginStore { records, calling, .. } = &api.origin_store;
    let _calling = calling.lock().await;
    let now = api.change_feed.now();
    records.borrow_mut().refresh(&listed, now);
    records.borrow_mut().record_listed(listed.clone(), now);
    write_records(api).await;
    records.borrow().has_recorded(&listed)
}

/// Makes calls until the records are up to date. Returns false if the store does not respond.
async fn write_records(api: &RelayApi) -> bool {
    while let Some(call) = next_record_call(api) {
        let reply = api.grant_manager.store.call(&call).await;
        let records = &api.origin_store.records;
        records.borrow_mut().handle_reply(&reply, api.change_feed.now());
        if is_lost(&call, &reply) {
            return false;
        }
    }
    true
}

/// Makes calls until the store has all that the relay remembers. Returns false if it does not respond.
async fn write_all(api: &RelayApi) -> bool {
    let OriginStore { writer, calling, .. } = &api.origin_store;
    let _calling = calling.lock().await;
    let responds = write_records(api).await;
    while let Some(call) = next_origin_call(api) {
        let reply = api.grant_manager.store.call(&call).await;
        let (restored, now) = (writer.borrow_mut().handle_reply(&reply), api.change_feed.now());
        for note in restored {
            api.origins.borrow_mut().insert(note, now);
        }
        if is_lost(&call, &reply) {
            return false;
        }
    }
    responds
}

fn next_origin_call(api: &RelayApi) -> Option<StoreCall> {
    let now = api.change_feed.now();
    let versions = api.versions.borrow().valid(now);
    api.origin_store.writer.borrow_mut().next_call(&api.origins.borrow(), &versions, now)
}

fn next_record_call(api: &RelayApi) -> Option<StoreCall> {
    let now = api.change_feed.now();
    let versions = api.versions.borrow().valid(now);
    api.origin_store.records.borrow_mut().next_call(&versions, now)
}

/// Returns whether the store did not carry a call out, which is logged.
fn is_lost(call: &StoreCall, reply: &StoreReply) -> bool {
    let (StoreCall::Get { path } | StoreCall::Put { path, .. }) = call;
    let is_lost = *reply == StoreReply::Unavailable;
    if is_lost {
        tracing::info!(event = "origins_unwritten", %path);
    }
    is_lost
}

/// Something that searches read from the store. Those that overlap share a read.
#[derive(Debug, Default)]
struct SharedRead<Value> {
    value: Value,
    /// When the last read began; later than now while no search reads after a failure.
    read_at: Option<Duration>,
}

impl<Value> SharedRead<Value> {
    /// Waits until the next read is allowed. Returns false if none is needed, because the last one began
    /// after the search did.
    async fn begin(&mut self, gateway: &Gateway, asked_at: Duration) -> bool {
        if self.read_at.is_some_and(|read_at| read_at >= asked_at) {
            return false;
        }
        if let Some(read_at) = self.read_at {
            Timer::after((read_at + READ_INTERVAL).saturating_sub(gateway.now())).await;
        }
        self.read_at = Some(gateway.now());
        true
    }

    /// Records that the store did not respond.
    fn record_failure(&mut self, now: Duration) {
        self.read_at = Some(now + FAILURE_PAUSE);
    }
}

/// What an entry has read of the relays' objects.
#[derive(Debug, Default)]
pub struct OriginReader {
    origins: Mutex<SharedRead<OriginTable>>,
    records: Mutex<BTreeMap<ServiceName, SharedRead<Option<VersionRecord>>>>,
}

/// Returns where a stream began that no relay knows, if the store tells it.
pub async fn find_stored(gateway: &Gateway, attempt: &RequestId) -> Option<StreamOrigin> {
    let asked_at = gateway.now();
    let mut origins = gateway.origin_reader.origins.lock().await;
    if origins.begin(gateway, asked_at).await {
        match read_origins(gateway).await {
            Some(table) => origins.value = table,
            None => origins.record_failure(gateway.now()),
        }
    }
    origins.value.find(attempt, gateway.now()).cloned()
}

/// Lists the relays' objects. Returns `None` if the store does not respond.
async fn read_origins(gateway: &Gateway) -> Option<OriginTable> {
    let kind = stored_origins::ORIGIN_KIND;
    let listed = gateway.store.list_kind(kind, ListFreshness::Latest, LIST_TIMEOUT).await;
    let mut objects = match listed {
        Ok(listing) => listing.objects,
        Err(failure) => {
            tracing::info!(event = "origins_unread", %failure);
            return None;
        }
    };
    // Objects of relays that have left come first, so that a full table drops those.
    objects.sort_by_key(|object| object.version);
    let (mut table, now) = (OriginTable::new(), gateway.now());
    for object in &objects {
        let stored: Option<StoredOrigins> = storecalls::decode_value(&object.value);
        for note in stored.iter().flat_map(StoredOrigins::notes) {
            table.insert(note, now);
        }
    }
    tracing::info!(event = "origins_read", relays = objects.len(), streams = table.len());
    Some(table)
}

/// Returns which versions of a service may have begun streams, if the store tells it.
pub async fn read_versions(gateway: &Gateway, service: &ServiceName) -> Option<VersionRecord> {
    let asked_at = gateway.now();
    let mut records = gateway.origin_reader.records.lock().await;
    let record = records.entry(ServiceName::clone(service)).or_default();
    if record.begin(gateway, asked_at).await {
        let path = version_records::record_path(service);
        let reply = gateway.store.call(&StoreCall::Get { path }).await;
        if reply == StoreReply::Unavailable {
            record.record_failure(gateway.now());
        }
        record.value = match reply {
            StoreReply::Found { value, .. } => storecalls::decode_value(&value),
            _ => None,
        };
        tracing::info!(event = "versions_read", %service, record = ?record.value);
    }
    record.value.clone()
}
