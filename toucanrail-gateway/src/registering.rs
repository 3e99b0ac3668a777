//! A relay's entry in the store: where it is reached, and the pace of the server beside it.

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

use crate::gauging::ServerGauge;
use crate::storing::RELAY_KIND;

const CONNECT_BOUND: Duration = Duration::from_millis(500);
/// Longest wait for a call to the store, and the pause before the next try.
const CALL_BOUND: Duration = Duration::from_secs(1);
const WRITE_PAUSE: Duration = Duration::from_secs(1);
/// Time between load reports of the server on the same VM: short against the time between two prompts
/// under load, while its pace is found; else, to see whether it changes or streams begin.
const REPORT_PAUSE: Duration = Duration::from_millis(100);
const CALM_PAUSE: Duration = Duration::from_secs(1);
/// Least time between two writes of an entry; a server's pace rarely changes.
const CHANGE_PAUSE: Duration = Duration::from_secs(5);

/// One relay's registration.
#[derive(Debug)]
struct Registration {
    client: StoreClient,
    settings: NodeSettings,
    entry: RelayEntry,
    expect: WriteExpectation,
}

/// Makes the entry of a relay that passes connections on at `address`.
pub fn make_entry(settings: &NodeSettings, address: SocketAddr, hosted: bool) -> RelayEntry {
    RelayEntry {
        address,
        lending: settings.lending,
        data_centre: Arc::clone(&settings.data_centre),
        region: Arc::clone(&settings.region),
        pace_us: None,
        hosted,
    }
}

/// Writes the relay's entry until the store has it, and again when the server's pace has changed.
pub async fn keep_entry(settings: NodeSettings, entry: RelayEntry, gauge: Option<Rc<ServerGauge>>) {
    let client = StoreClient::new(CONNECT_BOUND);
    let expect = WriteExpectation::Absent;
    let mut registration = Registration { client, settings, entry, expect };
    registration.write().await;
    tracing::info!(event = "registered", role = "relay", vm = %registration.settings.vm);
    let Some(gauge) = gauge else {
        return;
    };
    let (server, clock) = (gauge.server, ProcessClock::start());
    let mut meter = PaceMeter::default();
    let mut written = clock.now();
    loop {
        let pause = if meter.needs_reports() { REPORT_PAUSE } else { CALM_PAUSE };
        smol::Timer::after(pause).await;
        match gauge.read().await {
            Ok(report) => meter.apply_report(&report, clock.now()),
            // A server that is not there has no pace; the entries learn of its end from the store.
            Err(failure) => tracing::debug!(event = "report_failed", %server, %failure),
        }
        let known = registration.entry.pace_us.map(Duration::from_micros);
        let rested = clock.now().saturating_sub(written) > CHANGE_PAUSE || known.is_none();
        if rested && paces::is_significant_change(known, meter.pace()) {
            registration.entry.pace_us = meter.pace().map(|pace| pace.as_micros() as u64);
            tracing::info!(event = "server_pace", %server, pace_us = registration.entry.pace_us);
            registration.write().await;
            written = clock.now();
        }
    }
}

impl Registration {
    /// Writes the entry until the store has it.
    async fn write(&mut self) {
        while !self.try_write().await {
            smol::Timer::after(WRITE_PAUSE.mul_f64(0.2 + fastrand::f64())).await;
        }
    }

    /// Writes the entry once; false if the store does not have it then.
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

    /// Takes the entry of this VM as it stands in the store; false if it says something else.
    ///
    /// A pace that an earlier run measured holds on while this one has none: a fleet that lost power writes
    /// nothing then.
    fn adopt(&mut self, known: RelayEntry) -> bool {
        let pace_us = self.entry.pace_us.or(known.pace_us);
        let same = known == RelayEntry { pace_us, ..self.entry.clone() };
        if same {
            self.entry = known;
        }
        same
    }

    async fn call(&self, call: &StoreCall) -> StoreReply {
        self.client.call(self.settings.store, call, CALL_BOUND).await
    }
}
