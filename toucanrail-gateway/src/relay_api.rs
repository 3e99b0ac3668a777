//! The calls that a relay serves for entries.
//!
//! A relay is a lender, which holds grants of customers' budgets and lends them to entries request
//! by request. It also serves the change feed, load reports and permits.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use event_listener::Event;
use smol::{Async, LocalExecutor};
use toucanrail::holds::{HoldQuery, HoldReply, SuspectReport, TrialRequest};
use toucanrail::ids::RequestId;
use toucanrail::loans::{LoanReport, LoanRequest, LoanTable};
use toucanrail::origin_keepers::ProcessNumber;
use toucanrail::origins::{OriginReply, OriginTable};
use toucanrail::permits::{PermitReply, PermitRequest, PermitTable};
use toucanrail::rotations::{RotationCounts, RotationOrder, RotationReport, RotationTable};
use toucanrail::suspects::SuspectTable;
use toucanrail::tenure_watch::{BorrowerTable, TenureWatch};
use toucanrail::version_history::{ListedVersions, StatementTable};
use toucanrail_wire::connections::BufferedConnection;
use toucanrail_wire::rpc;
use toucanrail_wire::time_limits;

use crate::change_feed::{CHANGES_PATH, ChangeFeed};
use crate::grant_manager::GrantManager;
use crate::lending;
use crate::listening;
use crate::origin_store::{self, OriginStore};
use crate::report_client::ReportClient;

/// Path of a call that takes a [`LoanRequest`] and returns a
/// [`LoanReply`](toucanrail::loans::LoanReply).
pub const LOAN_PATH: &str = "/loans/borrow";
/// Path of a call that takes a [`LoanReport`] and returns a
/// [`LoanReceipt`](toucanrail::loans::LoanReceipt).
pub const LOAN_REPORT_PATH: &str = "/loans/report";

/// Path of a call without arguments that returns the
/// [`BackendReport`](toucanrail::paces::BackendReport) of the backend server beside the relay, if
/// there is one.
pub const REPORT_PATH: &str = "/report";

/// Path of a call that takes a [`PermitRequest`] and returns a [`PermitReply`].
pub const PERMIT_PATH: &str = "/permit";

/// Path of a call that takes an [`OriginReport`](toucanrail::origins::OriginReport) and returns the
/// relay's [`ProcessNumber`].
pub const NOTE_PATH: &str = "/origins/note";
/// Path of a call that takes the id of a caller's attempt, if it is known, and returns an
/// [`OriginReply`].
pub const ORIGIN_PATH: &str = "/origins/find";

/// Path of a call that takes [`ListedVersions`] and returns whether the store's records name all of
/// them.
pub const RECORD_PATH: &str = "/versions/record";

/// Path of a call that takes a [`SuspectReport`] and returns a [`HoldReply`].
pub const SUSPECT_PATH: &str = "/suspects/report";
/// Path of a call that takes a [`HoldQuery`] and returns a [`HoldReply`].
pub const HOLD_PATH: &str = "/suspects/held";
/// Path of a call that takes a [`TrialRequest`] and returns whether one request may be tried.
pub const TRIAL_PATH: &str = "/suspects/try";

/// Path of a call that takes a [`RotationReport`] and returns a [`RotationOrder`].
pub const ROTATION_PATH: &str = "/rotation/report";

/// Path of a call without arguments that returns `true` immediately.
pub const ALIVE_PATH: &str = "/alive";

/// Interval between two lines in the log about the streams that the relay remembers.
const ORIGIN_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Upper bound of the wait of a query for what is held back.
const MAX_HOLD_WAIT: Duration = Duration::from_secs(10);

/// State behind the calls of one relay.
#[derive(Debug)]
pub struct RelayApi {
    /// The grants that it lends from.
    pub grant_manager: Rc<GrantManager>,
    /// The open loans.
    pub loans: RefCell<LoanTable>,
    /// The entries that borrow.
    pub borrowers: RefCell<BorrowerTable>,
    /// The tenures of other lenders, some of which are to be reclaimed.
    pub tenure_watch: RefCell<TenureWatch>,
    /// Whether the relay is stopping and lends no more.
    pub stopping: Cell<bool>,
    /// Changes of store objects, for entries that query them.
    pub change_feed: ChangeFeed,
    /// The permits granted for servers that are cold or state a rate limit.
    pub permits: RefCell<PermitTable>,
    /// Reads the load of the backend server beside the relay, if there is one.
    pub report_client: Option<Rc<ReportClient>>,
    /// Origins of the streams that entries have noted here.
    pub origins: RefCell<OriginTable>,
    /// What entries state of the software versions of servers.
    pub versions: RefCell<StatementTable>,
    /// What of these two is written to the store.
    pub origin_store: OriginStore,
    /// Suspects of servers' ends that entries have reported.
    pub suspects: RefCell<SuspectTable>,
    /// Notified when another suspect is held back, or one no longer is.
    pub holds_changed: Event,
    /// Entries of the data centre, and which of them are out of rotation.
    pub rotation: RefCell<RotationTable>,
    /// Random number of this process.
    pub process: ProcessNumber,
}

/// Serves the connections of entries. A connection that fails is dropped; the entry opens another
/// one.
pub async fn serve_entries(
    executor: Rc<LocalExecutor<'static>>,
    api: Rc<RelayApi>,
    listener: Async<TcpListener>,
) {
    let serve = |socket| {
        let api = Rc::clone(&api);
        async move { serve_entry(&api, socket).await }
    };
    listening::serve_connections(&executor, listener, usize::MAX, serve, || ()).await;
}

async fn serve_entry(api: &RelayApi, socket: Async<TcpStream>) -> io::Result<()> {
    let mut connection = BufferedConnection::new(socket)?;
    while let Some((head, body)) = rpc::read_call(&mut connection).await? {
        match head.path() {
            LOAN_PATH => {
                let request: LoanRequest = rpc::decode(&body)?;
                rpc::reply(&connection, &lending::open_loan(api, &request).await).await?;
            }
            LOAN_REPORT_PATH => {
                let report: LoanReport = rpc::decode(&body)?;
                rpc::reply(&connection, &lending::handle_report(api, report)).await?;
            }
            CHANGES_PATH => {
                let query = rpc::decode(&body)?;
                rpc::reply(&connection, &api.change_feed.answer(&query).await).await?;
            }
            ALIVE_PATH => rpc::reply(&connection, &true).await?,
            PERMIT_PATH => {
                let request = rpc::decode(&body)?;
                rpc::reply(&connection, &grant_permit(api, &request)).await?;
            }
            NOTE_PATH => {
                origin_store::record_report(api, rpc::decode(&body)?);
                rpc::reply(&connection, &api.process).await?;
            }
            ORIGIN_PATH => {
                let attempt: Option<RequestId> = rpc::decode(&body)?;
                rpc::reply(&connection, &find_origin(api, attempt.as_ref())).await?;
            }
            RECORD_PATH => {
                let listed: ListedVersions = rpc::decode(&body)?;
                let is_recorded = origin_store::record_versions(api, listed).await;
                rpc::reply(&connection, &is_recorded).await?;
            }
            SUSPECT_PATH => {
                record_suspects(api, &rpc::decode(&body)?);
                rpc::reply(&connection, &list_holds(api)).await?;
            }
            HOLD_PATH => {
                let query = rpc::decode(&body)?;
                rpc::reply(&connection, &await_holds(api, &query).await).await?;
            }
            TRIAL_PATH => {
                rpc::reply(&connection, &grant_trial(api, &rpc::decode(&body)?)).await?;
            }
            ROTATION_PATH => {
                rpc::reply(&connection, &order_rotation(api, rpc::decode(&body)?)).await?;
            }
            REPORT_PATH => {
                let report = match &api.report_client {
                    Some(report_client) => report_client.try_fetch().await,
                    None => None,
                };
                rpc::reply(&connection, &report).await?;
            }
            _ => return Err(io::ErrorKind::InvalidData.into()),
        }
    }
    Ok(())
}

fn grant_permit(api: &RelayApi, request: &PermitRequest) -> PermitReply {
    let reply = api.permits.borrow_mut().grant(request, api.change_feed.now());
    let PermitRequest { server, limit, stated } = request;
    let rate = stated.map(|stated| stated.rate);
    tracing::info!(event = "permit", %server, limit, rate, reply = ?reply);
    reply
}

/// Logs at intervals how many streams the relay remembers.
pub async fn log_origins(api: Rc<RelayApi>) {
    loop {
        smol::Timer::after(ORIGIN_LOG_INTERVAL).await;
        let streams = api.origins.borrow().len();
        if streams > 0 {
            tracing::info!(event = "origins_kept", streams);
        }
    }
}

fn find_origin(api: &RelayApi, attempt: Option<&RequestId>) -> OriginReply {
    let now = api.change_feed.now();
    let origins = api.origins.borrow();
    let origin = attempt.and_then(|attempt| origins.find(attempt, now)).cloned();
    let noted_ago = attempt.and_then(|attempt| origins.note_age(attempt, now));
    let reply = OriginReply { origin, noted_ago, versions: api.versions.borrow().valid(now) };
    tracing::info!(
        event = "origin_asked", attempt = attempt.map(|attempt| &**attempt),
        version = reply.origin.as_ref().map(|origin| &*origin.version),
        versions = ?reply.versions,
    );
    reply
}

fn record_suspects(api: &RelayApi, report: &SuspectReport) {
    let now = api.change_feed.now();
    let mut suspects = api.suspects.borrow_mut();
    let mut changed = false;
    for note in &report.ends {
        changed |= suspects.record_end(note, now);
    }
    for (key, ago) in &report.successes {
        changed |= suspects.record_success(*key, *ago, now);
    }
    for trial in &report.unused_trials {
        changed |= suspects.return_trial(trial, now);
    }
    if changed {
        api.holds_changed.notify(usize::MAX);
        tracing::info!(
            event = "suspects_held", suspects = suspects.len(), held = ?suspects.held(now),
        );
    }
}

fn list_holds(api: &RelayApi) -> HoldReply {
    let suspects = api.suspects.borrow();
    let held = suspects.held(api.change_feed.now());
    HoldReply { process: api.process, version: suspects.version(), held }
}

fn grant_trial(api: &RelayApi, suspects: &TrialRequest) -> bool {
    let granted = api.suspects.borrow_mut().grant_trial(suspects, api.change_feed.now());
    if granted {
        api.holds_changed.notify(usize::MAX);
    }
    tracing::info!(event = "trial_asked", ?suspects, granted);
    granted
}

fn order_rotation(api: &RelayApi, report: RotationReport) -> RotationOrder {
    let now = api.change_feed.now();
    let (entry, data_centre) = (Arc::clone(&report.entry), Arc::clone(&report.data_centre));
    let load = report.load;
    let mut rotation = api.rotation.borrow_mut();
    let was_permitted = rotation.is_permitted(&data_centre, &entry, now);
    let order = rotation.report(report, now);
    if was_permitted != (order != RotationOrder::Stay) {
        let RotationCounts { live, out } = rotation.counts(&data_centre, now);
        tracing::info!(event = "rotation_order", %entry, ?order, load, live, out);
    }
    order
}

/// Replies to a query as soon as the entry lacks something, or when its wait is over.
async fn await_holds(api: &RelayApi, query: &HoldQuery) -> HoldReply {
    let waiting = async {
        loop {
            let changed = api.holds_changed.listen();
            if query.known != Some((api.process, api.suspects.borrow().version())) {
                return;
            }
            changed.await;
        }
    };
    time_limits::timeout(query.wait.min(MAX_HOLD_WAIT), waiting).await;
    list_holds(api)
}
