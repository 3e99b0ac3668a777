//! Run records of non-repeatable requests, as the entry reads and writes them.

use std::sync::Arc;
use std::time::Duration;

use toucanrail::ids::{AgentId, Version};
use toucanrail::messages::{AgentReply, QueryMode, RunQuery};
use toucanrail::paths;
use toucanrail::records::RunRecord;
use toucanrail::records::{RecordCall, RecordMachine, RecordOutcome, RecordReply, RecordState};
use toucanrail::storecalls::{self, StoreCall, StoreReply, WriteExpectation};
use toucanrail_wire::stores::ObjectStore;

use crate::fleet_client::routes;
use crate::planning::RequestPlan;
use crate::reclaiming;
use crate::state::Entry;

const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Opens the record of a request for an attempt at `agent`, or determines the outcome of an earlier
/// attempt.
pub async fn open_record(entry: &Arc<Entry>, plan: &RequestPlan, agent: &AgentId) -> RecordOutcome {
    let mut machine = RecordMachine::new(RunRecord {
        request: Arc::clone(&plan.request),
        customer: Arc::clone(&plan.customer.name),
        digest: Arc::clone(&plan.digest),
        writer: Arc::clone(&entry.id),
        nonce: fastrand::u64(..),
        attempt: 1,
        number: entry.next_run_number(),
        agent: Arc::clone(agent),
        state: RecordState::Started,
    });
    while let Some(call) = machine.next_call() {
        let reply = match call {
            RecordCall::Store(call) => RecordReply::Store(entry.store.call(&call).await),
            RecordCall::Query { agent, query } => query_agent(entry, &agent, query).await,
        };
        machine.handle_reply(reply);
    }
    machine.into_outcome()
}

async fn query_agent(entry: &Arc<Entry>, agent: &AgentId, query: RunQuery) -> RecordReply {
    if reclaiming::is_agent_gone(entry, agent) {
        return RecordReply::Gone;
    }
    let Some(address) = reclaiming::agent_address(entry, agent) else {
        return RecordReply::Unreachable;
    };
    debug_assert_ne!(query.mode, QueryMode::Cancel);
    let reply: std::io::Result<AgentReply> =
        entry.client.send(address, routes::RUN_QUERY, &query, QUERY_TIMEOUT).await;
    match reply {
        Ok(reply) if reply.agent != *agent => RecordReply::Gone,
        Ok(AgentReply { fate: Some(report), .. }) => RecordReply::Report(report),
        _ => RecordReply::Unreachable,
    }
}

/// Writes the result of a recorded attempt; `false` if the store did not accept it.
pub async fn close_record(
    entry: &Arc<Entry>,
    record: &RunRecord,
    version: Version,
    state: RecordState,
) -> bool {
    let closed = RunRecord { state, ..record.clone() };
    let put = StoreCall::Put {
        path: paths::record_path(&record.request),
        expect: WriteExpectation::At(version),
        value: storecalls::encode_value(&closed),
    };
    // On a conflict, another entry has already determined and written the result.
    matches!(entry.store.call(&put).await, StoreReply::Written { .. } | StoreReply::Conflict)
}

/// Writes the result of a recorded attempt, retrying until the store accepts it.
///
/// The run stays in its agent's ledger until then, so that a retry gets the result from there.
pub async fn close_record_retrying(
    entry: &Arc<Entry>,
    record: &RunRecord,
    version: Version,
    state: RecordState,
) {
    while !close_record(entry, record, version, state.clone()).await {
        entry.metrics.count_event("records_delayed");
        smol::Timer::after(WRITE_RETRY_INTERVAL).await;
    }
}
