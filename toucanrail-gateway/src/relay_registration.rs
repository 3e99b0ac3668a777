//! A relay's registration in the store: its addresses, and the pace of the backend server beside
//! it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use toucanrail::endpoints::RelayEntry;
use toucanrail::paces::{self, PaceMeter};
use toucanrail::storecalls::{self, StoreCall, StoreReply, WriteExpectation};
use toucanrail_daemons::starting::ProcessClock;
use toucanrail_platform::settings::NodeSettings;
use toucanrail_platform::stores::StoreClient;

use crate::report_client::ReportClient;
use crate::store_access::RELAY_KIND;

/// Connect timeout of the store client.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a call to the store, and the pause before the next attempt.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Interval between load reports of the server on the same VM. While its pace is being measured,
/// the interval is short compared with the time between two prompts under load; afterwards it only
/// has to show a change of pace or the start of streams.
const MEASURING_INTERVAL: Duration = Duration::from_millis(100);
const MONITORING_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between two writes of an entry; a server's pace rarely changes.
const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(5);

/// One relay's entry and the version that the next write expects.
#[derive(Debug)]
struct Registration {
    client: StoreClient,
    settings: NodeSettings,
    entry: RelayEntry,
    expect: WriteExpectation,
}

/// Creates the entry of a relay that forwards connections to the store at `address`.
pub fn new_entry(settings: &NodeSettings, address: SocketAddr, hosted: bool) -> RelayEntry {
    RelayEntry {
        address,
        lending: settings.lending,
        data_centre: Arc::clone(&settings.data_centre),
        region: Arc::clone(&settings.region),
        pace_us: None,
        hosted,
    }
}

/// Registers the relay, retrying until the store holds its entry, and updates the entry when the
/// server's pace has changed.
pub async fn maintain_entry(
    settings: NodeSettings,
    entry: RelayEntry,
    report_client: Option<Rc<ReportClient>>,
) {
    let client = StoreClient::new(CONNECT_TIMEOUT);
    let expect = WriteExpectation::Absent;
    let mut registration = Registration { client, settings, entry, expect };
    registration.write().await;
    tracing::info!(event = "registered", role = "relay", vm = %registration.settings.vm);
    let Some(report_client) = report_client else {
        return;
    };
    let (server, clock) = (report_client.server, ProcessClock::start());
    let mut meter = PaceMeter::default();
    let mut written_at = clock.now();
    loop {
        let pause = if meter.needs_reports() { MEASURING_INTERVAL } else { MONITORING_INTERVAL };
        smol::Timer::after(pause).await;
        match report_client.fetch().await {
            Ok(report) => meter.apply_report(&report, clock.now()),
            // A missing server has no pace; entries learn from the store that it is gone.
            Err(failure) => tracing::debug!(event = "report_failed", %server, %failure),
        }
        let known = registration.entry.pace_us.map(Duration::from_micros);
        let may_write =
            clock.now().saturating_sub(written_at) > MIN_WRITE_INTERVAL || known.is_none();
        if may_write && paces::is_significant_change(known, meter.pace()) {
            registration.entry.pace_us = meter.pace().map(|pace| pace.as_micros() as u64);
            tracing::info!(event = "server_pace", %server, pace_us = registration.entry.pace_us);
            registration.write().await;
            written_at = clock.now();
        }
    }
}

impl Registration {
    /// Writes the entry, retrying until the store holds it.
    async fn write(&mut self) {
        while !self.try_write().await {
            smol::Timer::after(RETRY_PAUSE.mul_f64(0.2 + fastrand::f64())).await;
        }
    }

    /// Attempts one write of the entry. Returns whether the store holds it afterwards.
    async fn try_write(&mut self) -> bool {
        let path: Arc<str> = Arc::from(format!("{RELAY_KIND}/{}", self.settings.vm));
        let value = storecalls::encode_value(&self.entry);
        let write = StoreCall::Put { path: Arc::clone(&path), expect: self.expect, value };
        if let StoreReply::Written { version } = self.call(&write).await {
            self.expect = WriteExpectation::At(version);
            return true;
        }
        match self.call(&StoreCall::Get { path }).await {
            StoreReply::Found { version, value } => {
                self.expect = WriteExpectation::At(version);
                let known = storecalls::decode_value::<RelayEntry>(&value);
                known.is_some_and(|known| self.adopt(known))
            }
            StoreReply::Missing => {
                self.expect = WriteExpectation::Absent;
                false
            }
            _ => false,
        }
    }

    /// Adopts the entry that the store holds for this VM. Returns false if it differs from the own
    /// entry.
    ///
    /// A pace that an earlier run measured stays valid until this run has measured one, so that the
    /// relays of a fleet that restarts after a power loss do not all write their entries.
    fn adopt(&mut self, known: RelayEntry) -> bool {
        let pace_us = self.entry.pace_us.or(known.pace_us);
        let same = known == RelayEntry { pace_us, ..self.entry.clone() };
        if same {
            self.entry = known;
        }
        same
    }

    async fn call(&self, call: &StoreCall) -> StoreReply {
        self.client.call(self.settings.store, call, CALL_TIMEOUT).await
    }
}
