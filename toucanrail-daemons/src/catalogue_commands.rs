//! Commands that read and edit the catalogue.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use serde_json::Value;
use toucanrail::budgets::{BudgetAccount, BudgetShard};
use toucanrail::catalogue::{CatalogueItem, CustomerEntry};
use toucanrail::catalogue_files;
use toucanrail::ids::Version;
use toucanrail::messages::MirrorObject;
use toucanrail::paths;
use toucanrail::storecalls::{self, StoreCall, StoreReply, WriteExpectation};
use toucanrail_wire::clients::OutboundRequest;
use toucanrail_wire::stores::ObjectStore;

use crate::inspection_commands;
use crate::operators::{OperatorError, OperatorTools};

/// Prefix of the first line of a file that `get` wrote. The version that follows lets `apply` detect
/// conflicting edits made since then.
const VERSION_PREFIX: &str = "# toucanrail-version: ";
/// Attempts of a conditional update before it is reported as a conflict.
const MAX_UPDATE_ATTEMPTS: u32 = 16;

type CommandResult<Value> = Result<Value, OperatorError>;

struct CatalogueFile {
    items: Vec<CatalogueItem>,
    /// Catalogue version from which the file was written, if `get` wrote it.
    base_version: Option<Version>,
}

fn read_file(path: &str) -> CommandResult<CatalogueFile> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| OperatorError::File(path.to_owned(), error))?;
    let rows = catalogue_files::parse_items(&text).map_err(OperatorError::InvalidCatalogue)?;
    let version = text.lines().find_map(|line| line.strip_prefix(VERSION_PREFIX));
    let base_version = version.and_then(|version| version.trim().parse().ok());
    Ok(CatalogueFile { items: rows.into_iter().map(|row| row.item).collect(), base_version })
}

/// Checks a catalogue file.
pub fn check(path: &str) -> CommandResult<String> {
    let file = read_file(path)?;
    Ok(format!("{path}: {} entries, no errors\n", file.items.len()))
}

async fn list_catalogue(
    tools: &OperatorTools,
) -> CommandResult<(BTreeMap<Arc<str>, MirrorObject>, Version)> {
    let listed = tools.store.list(paths::CATALOGUE, 0).await;
    let listed = listed.ok_or_else(|| OperatorError::Unavailable("the object API".to_owned()))?;
    let rows = listed.objects.into_iter().map(|object| (Arc::clone(&object.name), object));
    Ok((rows.collect(), listed.seen))
}

/// Shows what `apply` would change.
pub async fn diff(tools: &OperatorTools, path: &str) -> CommandResult<String> {
    let file = read_file(path)?;
    let (known, _) = list_catalogue(tools).await?;
    let mut text = String::new();
    for item in &file.items {
        let name = item.object_name();
        let old = known.get(&name).map_or(&[][..], |object| &object.value);
        for change in describe_changes(old, &storecalls::encode_value(item)) {
            text += &format!("{name}: {change}\n");
        }
    }
    Ok(if text.is_empty() { "no changes\n".to_owned() } else { text })
}

/// Returns a line for each field that differs between two encoded entries.
fn describe_changes(old: &[u8], new: &[u8]) -> Vec<String> {
    let fields = |bytes: &[u8]| -> BTreeMap<String, Value> {
        let value: Value = serde_json::from_slice(bytes).unwrap_or_default();
        let item = value.as_object().and_then(|item| item.values().next()).cloned();
        let fields = item.as_ref().and_then(Value::as_object).cloned().unwrap_or_default();
        fields.into_iter().filter(|(_, value)| !value.is_null()).collect()
    };
    let (old, new) = (fields(old), fields(new));
    let mut names: Vec<&String> = old.keys().chain(new.keys()).collect();
    names.sort();
    names.dedup();
    let show = |value: Option<&Value>| value.map_or("nothing".to_owned(), ToString::to_string);
    let changed = names.into_iter().filter(|name| old.get(*name) != new.get(*name));
    changed
        .map(|name| format!("{name}: {} -> {}", show(old.get(name)), show(new.get(name))))
        .collect()
}

/// Writes the entries of a file that differ from the catalogue.
pub async fn apply(tools: &OperatorTools, path: &str) -> CommandResult<String> {
    let file = read_file(path)?;
    let (known, _) = list_catalogue(tools).await?;
    check_conflicts(&file, &known)?;
    let mut text = String::new();
    let mut newest_version = 0;
    for (index, item) in file.items.iter().enumerate() {
        match apply_item(tools, item, known.get(&item.object_name())).await {
            Ok(Some((version, lines))) => {
                newest_version = newest_version.max(version);
                text += &lines;
            }
            Ok(None) => {}
            Err(cause) => {
                let left = file.items[index..].iter().map(CatalogueItem::object_name);
                text.extend(left.map(|name| format!("{name}: not applied\n")));
                return Err(OperatorError::Partial(Box::new(cause), text));
            }
        }
    }
    if text.is_empty() {
        return Ok("no changes\n".to_owned());
    }
    if tools.wait {
        text += &wait_in_force(tools, newest_version).await?;
    }
    Ok(text)
}

/// Writes one entry if it differs from the catalogue. Returns its new version and what to tell the
/// operator.
async fn apply_item(
    tools: &OperatorTools,
    item: &CatalogueItem,
    old: Option<&MirrorObject>,
) -> CommandResult<Option<(Version, String)>> {
    let name = item.object_name();
    let value = storecalls::encode_value(item);
    let account = match item {
        CatalogueItem::Customer(customer) => open_account(tools, customer).await?,
        CatalogueItem::Service(_) => None,
    };
    if old.is_some_and(|object| object.value == value) {
        return Ok(None);
    }
    let version = write_item(tools, &name, old.map(|object| object.version), value).await?;
    let mut text = format!("{name}: in the catalogue at version {version}\n");
    let is_new = old.is_none_or(|object| object.value.is_empty());
    if let (true, CatalogueItem::Customer(customer), Some(account)) = (is_new, item, account) {
        text += &format!(
            "{name}: has an account with {} of {} tokens unspent; its opening budget of {} is not \
             added\n",
            account.unspent(),
            account.prepaid,
            customer.opening_budget,
        );
    }
    Ok(Some((version, text)))
}

/// Returns a conflict if a file that `get` wrote would undo changes made since then.
fn check_conflicts(
    file: &CatalogueFile,
    known: &BTreeMap<Arc<str>, MirrorObject>,
) -> CommandResult<()> {
    let Some(base) = file.base_version else {
        return Ok(());
    };
    let mut changes = Vec::new();
    for item in &file.items {
        let name = item.object_name();
        let Some(object) = known.get(&name).filter(|object| object.version > base) else {
            continue;
        };
        let differing = describe_changes(&storecalls::encode_value(item), &object.value);
        changes.extend(
            differing.into_iter().map(|change| {
                format!("{name} was changed at version {}: {change}", object.version)
            }),
        );
    }
    if changes.is_empty() { Ok(()) } else { Err(OperatorError::Conflict(changes.join("\n"))) }
}

async fn write_item(
    tools: &OperatorTools,
    name: &str,
    version: Option<Version>,
    value: Vec<u8>,
) -> CommandResult<Version> {
    let path: Arc<str> = Arc::from(format!("{}/{name}", paths::CATALOGUE));
    let expect = version.map_or(WriteExpectation::Absent, WriteExpectation::At);
    let put = StoreCall::Put { path: Arc::clone(&path), expect, value: value.clone() };
    match tools.store.call(&put).await {
        StoreReply::Written { version } => Ok(version),
        // Either the reply was lost or another operator's write came first; reading shows which.
        _ => match tools.store.call(&StoreCall::Get { path }).await {
            StoreReply::Found { version, value: found } if found == value => Ok(version),
            StoreReply::Found { version, value: found } => {
                let changes = describe_changes(&value, &found).join("; ");
                let what =
                    format!("{name} was changed concurrently at version {version}: {changes}");
                Err(OperatorError::Conflict(what))
            }
            _ => Err(OperatorError::Unavailable("the object API".to_owned())),
        },
    }
}

/// Creates a customer's account with its opening budget. Returns the account if there is one
/// already; it is left as it is.
async fn open_account(
    tools: &OperatorTools,
    customer: &CustomerEntry,
) -> CommandResult<Option<BudgetAccount>> {
    let existing = RefCell::new(None);
    edit_shard(tools, &customer.name, |shard| {
        existing.replace(shard.accounts.get(&customer.name).cloned());
        if existing.borrow().is_some() {
            return Ok(false);
        }
        let account = shard.accounts.entry(Arc::clone(&customer.name)).or_default();
        account.top_up(customer.opening_budget)?;
        Ok(true)
    })
    .await?;
    Ok(existing.into_inner())
}

/// Changes a customer's budget shard by conditional update. If `edit` returns false, nothing is
/// written.
///
/// If the reply to the write is lost, an error is returned even though the edit may have taken
/// effect. It is not retried, since a top-up applied twice cannot be told from two top-ups: the
/// operator checks and decides.
pub async fn edit_shard<Edit>(
    tools: &OperatorTools,
    customer: &str,
    edit: Edit,
) -> CommandResult<()>
where
    Edit: Fn(&mut BudgetShard) -> CommandResult<bool>,
{
    let shard = paths::shard_of(&Arc::from(customer), tools.shards);
    let path = paths::budget_path(&shard);
    for _ in 0..MAX_UPDATE_ATTEMPTS {
        let found = tools.store.call(&StoreCall::Get { path: Arc::clone(&path) }).await;
        let (expect, mut content) = match found {
            StoreReply::Found { version, value } => {
                let content = storecalls::decode_value(&value)
                    .ok_or_else(|| OperatorError::Missing(format!("budget shard in {path}")))?;
                (WriteExpectation::At(version), content)
            }
            StoreReply::Missing => (WriteExpectation::Absent, BudgetShard::default()),
            _ => return Err(OperatorError::Unavailable("the object API".to_owned())),
        };
        if !edit(&mut content)? {
            return Ok(());
        }
        let value = storecalls::encode_value(&content);
        match tools.store.call(&StoreCall::Put { path: Arc::clone(&path), expect, value }).await {
            StoreReply::Written { .. } => return Ok(()),
            StoreReply::Conflict => {}
            _ => {
                let what = "the edit may have taken effect, check before retrying: the object API";
                return Err(OperatorError::Unavailable(what.to_owned()));
            }
        }
    }
    Err(OperatorError::Conflict(format!(
        "{path} was changed concurrently {MAX_UPDATE_ATTEMPTS} times; try again"
    )))
}

/// Waits until a catalogue version is in force at every registered process.
async fn wait_in_force(tools: &OperatorTools, version: Version) -> CommandResult<String> {
    let start = Instant::now();
    loop {
        let lagging = find_lagging(tools, version).await?;
        if lagging.is_empty() {
            let seconds = start.elapsed().as_secs_f64();
            return Ok(format!("in force everywhere after {seconds:.2} s\n"));
        }
        if start.elapsed() > tools.wait_limit {
            return Err(OperatorError::Lagging(lagging));
        }
        smol::Timer::after(std::time::Duration::from_millis(50)).await;
    }
}

async fn find_lagging(tools: &OperatorTools, version: Version) -> CommandResult<Vec<String>> {
    let nodes = inspection_commands::list_nodes(tools).await?;
    let tasks = nodes.into_iter().map(|node| {
        let pool = tools.pool.clone();
        smol::spawn(async move {
            let request = OutboundRequest::get("/state");
            let timeout = std::time::Duration::from_secs(1);
            let response = pool.fetch(node.address, request, timeout).await.ok();
            let state: Option<Value> =
                response.and_then(|response| serde_json::from_slice(&response.body).ok());
            let seen = state.as_ref().and_then(|state| state["catalogue_version"].as_u64());
            (node.id, seen.unwrap_or(0))
        })
    });
    let mut lagging = Vec::new();
    for task in tasks.collect::<Vec<_>>() {
        let (id, seen) = task.await;
        if seen < version {
            lagging.push(format!("{id} (at {seen})"));
        }
    }
    Ok(lagging)
}

/// Returns the catalogue, or one entry of it, in the format of a catalogue file.
pub async fn get(tools: &OperatorTools, name: Option<&str>) -> CommandResult<String> {
    let (known, seen) = list_catalogue(tools).await?;
    let wanted = known.values().filter(|object| name.is_none_or(|name| &*object.name == name));
    let items: Vec<CatalogueItem> =
        wanted.filter_map(|object| storecalls::decode_value(&object.value)).collect();
    if items.is_empty() && name.is_some() {
        return Err(OperatorError::Missing(name.unwrap_or_default().to_owned()));
    }
    if tools.json {
        return Ok(format!("{}\n", serde_json::json!({ "version": seen, "entries": items })));
    }
    let mut text = format!("{VERSION_PREFIX}{seen}\n");
    for item in &items {
        let section = match item {
            CatalogueItem::Service(service) => ("service", toml::to_string(service)),
            CatalogueItem::Customer(customer) => ("customer", toml::to_string(customer)),
        };
        let fields = section.1.map_err(|error| OperatorError::Usage(error.to_string()))?;
        text += &format!("\n[[{}]]\n{fields}", section.0);
    }
    Ok(text)
}

/// Removes an entry. An empty object remains as a tombstone, so that no stale replica restores it.
pub async fn remove(tools: &OperatorTools, name: &str) -> CommandResult<String> {
    let (known, _) = list_catalogue(tools).await?;
    let found = known.get(name).filter(|object| !object.value.is_empty());
    let object = found.ok_or_else(|| OperatorError::Missing(name.to_owned()))?;
    let version = write_item(tools, name, Some(object.version), Vec::new()).await?;
    let mut text = format!("{name}: removed at version {version}\n");
    if tools.wait {
        text += &wait_in_force(tools, version).await?;
    }
    Ok(text)
}
