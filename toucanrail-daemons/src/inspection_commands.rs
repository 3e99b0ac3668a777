//! Commands for budgets, bills, process states, requests and model engines.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use toucanrail::budgets::{self, BillRow, BudgetError, BudgetShard};
use toucanrail::ids::{CustomerId, RequestId, ShardName};
use toucanrail::messages::EngineCommand;
use toucanrail::paths;
use toucanrail::servers::{NodeEntry, NodeRole};
use toucanrail::storecalls;
use toucanrail::traces::TraceStep;
use toucanrail_wire::clients::OutboundRequest;
use toucanrail_wire::stores::ObjectStore;

use crate::catalogue_commands;
use crate::fleet_client::{FleetClient, routes};
use crate::operators::{OperatorError, OperatorTools};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

type CommandResult<Value> = Result<Value, OperatorError>;

fn unavailable() -> OperatorError {
    OperatorError::Unavailable("the object API".to_owned())
}

/// Returns the registrations of all processes.
pub async fn list_nodes(tools: &OperatorTools) -> CommandResult<Vec<NodeEntry>> {
    let listed = tools.store.list(paths::NODES, 0).await.ok_or_else(unavailable)?;
    let objects = listed.objects.iter();
    Ok(objects.filter_map(|object| storecalls::decode_value(&object.value)).collect())
}

async fn list_shards(tools: &OperatorTools) -> CommandResult<BTreeMap<ShardName, BudgetShard>> {
    let listed = tools.store.list(paths::BUDGETS, 0).await.ok_or_else(unavailable)?;
    Ok(budgets::read_shards(&listed.objects))
}

/// Changes a customer's budget if an option says so, then shows it, or all budgets.
pub async fn budget(tools: &OperatorTools, customer: Option<&str>) -> CommandResult<String> {
    if tools.top_up > 0 || tools.lower > 0 || tools.release > 0 {
        let Some(customer) = customer else {
            return Err(OperatorError::Usage(
                "--top-up, --lower and --release need a customer".to_owned(),
            ));
        };
        change_budget(tools, customer).await?;
    }
    let shards = list_shards(tools).await?;
    let accounts = shards.values().flat_map(|shard| &shard.accounts);
    let shown: Vec<_> =
        accounts.filter(|(name, _)| customer.is_none_or(|wanted| wanted == &***name)).collect();
    if let (Some(customer), true) = (customer, shown.is_empty()) {
        return Err(OperatorError::Missing(format!("budget of {customer}")));
    }
    if tools.json {
        let rows: BTreeMap<_, _> = shown.into_iter().collect();
        return Ok(format!("{}\n", serde_json::json!(rows)));
    }
    let mut text = format!(
        "{:<20}{:>12}{:>12}{:>12}{:>12}{:>12}{:>12}\n",
        "customer", "prepaid", "billed", "written off", "granted", "frozen", "free"
    );
    for (name, account) in shown {
        let granted: u64 = account.grants.values().sum();
        let frozen: u64 = account.frozen.values().sum();
        let (billed, written_off) = (account.billed, account.written_off);
        let (prepaid, free) = (account.prepaid, account.unallocated());
        text += &format!(
            "{name:<20}{prepaid:>12}{billed:>12}{written_off:>12}\
             {granted:>12}{frozen:>12}{free:>12}\n"
        );
        for (epoch, tokens) in &account.frozen {
            text += &format!("  epoch {epoch}: {tokens} frozen; --release {epoch} releases them\n");
        }
    }
    Ok(text)
}

async fn change_budget(tools: &OperatorTools, customer: &str) -> CommandResult<()> {
    let name: CustomerId = Arc::from(customer);
    catalogue_commands::edit_shard(tools, customer, |shard| {
        let account = shard.accounts.get_mut(&name);
        let account = account.ok_or(BudgetError::NoAccount)?;
        if tools.top_up > 0 {
            account.top_up(tools.top_up)?;
        }
        if tools.lower > 0 {
            account.lower(tools.lower)?;
        }
        if tools.release > 0 {
            account.release_frozen(tools.release)?;
        }
        Ok(true)
    })
    .await
}

/// Returns the valid bills: those applied by the holder of their grant, and those of reclaims.
async fn list_bills(tools: &OperatorTools) -> CommandResult<Vec<BillRow>> {
    let shards = list_shards(tools).await?;
    let listed = tools.store.list(paths::BILLS, 0).await.ok_or_else(unavailable)?;
    Ok(budgets::read_bills(&listed.objects, &shards))
}

/// Shows the latest bills.
pub async fn bills(tools: &OperatorTools, customer: Option<&str>) -> CommandResult<String> {
    let mut rows = list_bills(tools).await?;
    rows.retain(|row| customer.is_none_or(|wanted| *row.customer == *wanted));
    let shown = &rows[rows.len().saturating_sub(tools.last)..];
    if tools.json {
        return Ok(format!("{}\n", serde_json::json!(shown)));
    }
    let mut text = format!(
        "{:<34}{:<16}{:<16}{:>10}{:>12}{:>6}\n",
        "request", "customer", "service", "billed", "written off", "runs"
    );
    for row in shown {
        let (request, customer, service) = (&row.request, &row.customer, &row.service);
        let (billed, written_off, runs) = (row.billed, row.written_off, row.runs.len());
        text += &format!(
            "{request:<34}{customer:<16}{service:<16}{billed:>10}{written_off:>12}{runs:>6}\n"
        );
    }
    Ok(text + &format!("{} of {} bills\n", shown.len(), rows.len()))
}

async fn fetch_json(tools: &OperatorTools, address: SocketAddr, path: &str) -> Option<Value> {
    let response =
        tools.pool.fetch(address, OutboundRequest::get(path), CALL_TIMEOUT).await.ok()?;
    serde_json::from_slice(&response.body).ok().filter(|_| response.status == 200)
}

fn parse_address(text: &str) -> CommandResult<SocketAddr> {
    text.parse().map_err(|_| OperatorError::Usage(format!("'{text}' is not an address")))
}

/// Shows the state of a process as JSON.
pub async fn state(tools: &OperatorTools, address: &str) -> CommandResult<String> {
    let found = fetch_json(tools, parse_address(address)?, "/state").await;
    let dump = found.ok_or_else(|| OperatorError::Unavailable(address.to_owned()))?;
    Ok(format!("{dump:#}\n"))
}

/// Shows the steps of a request as recorded by the entries, and its bill.
pub async fn explain(tools: &OperatorTools, request: &str) -> CommandResult<String> {
    let mut text = String::new();
    let nodes = list_nodes(tools).await?;
    for node in nodes.iter().filter(|node| node.role == NodeRole::Entry) {
        let path = format!("/state/requests/{request}");
        let Some(found) = fetch_json(tools, node.address, &path).await else {
            continue;
        };
        let steps: Vec<TraceStep> = serde_json::from_value(found).unwrap_or_default();
        for step in steps {
            let millis = step.after.as_secs_f64() * 1000.0;
            text += &format!("{:<24}{millis:>10.2} ms  {}\n", node.id, step.event);
        }
    }
    let request: RequestId = Arc::from(request);
    for row in list_bills(tools).await?.into_iter().filter(|row| row.request == request) {
        let (billed, written_off, epoch) = (row.billed, row.written_off, row.epoch);
        let customer = &row.customer;
        text += &format!(
            "billed {billed} to {customer} in tenure {epoch}; {written_off} written off\n"
        );
        for run in row.runs {
            text += &format!("  run {} at {} used {}\n", run.run, run.agent, run.used);
        }
    }
    if text.is_empty() {
        Err(OperatorError::Missing(format!("request {request}")))
    } else {
        Ok(text)
    }
}

/// Sends a command to a model engine through its agent.
pub async fn order(
    tools: &OperatorTools,
    address: &str,
    action: &str,
    subject: &str,
) -> CommandResult<String> {
    let client = FleetClient::new(&tools.fleet_key);
    let (action, subject) = (Arc::from(action), Arc::from(subject));
    let command = EngineCommand { fence: tools.fence, action, subject };
    let address = parse_address(address)?;
    let reply: std::io::Result<bool> =
        client.send(address, routes::ENGINE_COMMAND, &command, CALL_TIMEOUT).await;
    match reply {
        Ok(_) => Ok("done\n".to_owned()),
        Err(error) if error.kind() == std::io::ErrorKind::PermissionDenied => {
            Err(OperatorError::Conflict(format!("the command was refused: {error}")))
        }
        // The engine may have executed the command.
        Err(error) => Err(OperatorError::Unavailable(format!("the model engine ({error})"))),
    }
}
