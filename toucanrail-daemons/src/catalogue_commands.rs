//! Commands that read and edit the catalogue.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use serde_json::Value;
use toucanrail::budgets::BudgetShard;
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

/// First line of a file that `get` wrote: edits made since then are conflicts.
const VERSION_MARK: &str = "# toucanrail-version: ";
const CONFLICT_LIMIT: u32 = 16;

type Outcome<Value> = Result<Value, OperatorError>;

struct CatalogueFile {
    items: Vec<CatalogueItem>,
    base: Option<Version>,
}

fn read_file(path: &str) -> Outcome<CatalogueFile> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| OperatorError::File(path.to_owned(), error))?;
    let rows = catalogue_files::parse_items(&text).map_err(OperatorError::Faults)?;
    let mark = text.lines().find_map(|line| line.strip_prefix(VERSION_MARK));
    let base = mark.and_then(|version| version.trim().parse().ok());
    Ok(CatalogueFile { items: rows.into_iter().map(|row| row.item).collect(), base })
}

/// Checks a file.
pub fn check(path: &str) -> Outcome<String> {
    let file = read_file(path)?;
    Ok(format!("{path}: {} entries, no faults\n", file.items.len()))
}

async fn list_catalogue(
    tools: &OperatorTools,
) -> Outcome<(BTreeMap<Arc<str>, MirrorObject>, Version)> {
    let listed = tools.store.list(paths::CATALOGUE, 0).await;
    let listed = listed.ok_or_else(|| OperatorError::Unavailable("the object API".to_owned()))?;
    let rows = listed.objects.into_iter().map(|object| (Arc::clone(&object.name), object));
    Ok((rows.collect(), listed.seen))
}

/// Shows what `apply` would change.
pub async fn diff(tools: &OperatorTools, path: &str) -> Outcome<String> {
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

/// Returns a line for each field that differs.
fn describe_changes(old: &[u8], new: &[u8]) -> Vec<String> {
    let fields = |bytes: &[u8]| -> BTreeMap<String, Value> {
        let value: Value = serde_json::from_slice(bytes).unwrap_or_default();
        let inner = value.as_object().and_then(|item| item.values().next()).cloned();
        let inner = inner.as_ref().and_then(Value::as_object).cloned().unwrap_or_default();
        inner.into_iter().filter(|(_, value)| !value.is_null()).collect()
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

/// Brings a file's entries into force.
pub async fn apply(tools: &OperatorTools, path: &str) -> Outcome<String> {
    let file = read_file(path)?;
    let (known, _) = list_catalogue(tools).await?;
    find_conflicts(&file, &known)?;
    let mut text = String::new();
    let mut newest = 0;
    for item in &file.items {
        let name = item.object_name();
        let value = storecalls::encode_value(item);
        let old = known.get(&name);
        if let CatalogueItem::Customer(customer) = item {
            open_account(tools, customer).await?;
        }
        if old.is_some_and(|object| object.value == value) {
            continue;
        }
        let version = write_item(tools, &name, old.map(|object| object.version), value).await?;
        newest = newest.max(version);
        text += &format!("{name}: in the catalogue at version {version}\n");
    }
    if text.is_empty() {
        return Ok("no changes\n".to_owned());
    }
    if tools.wait {
        text += &wait_in_force(tools, newest).await?;
    }
    Ok(text)
}

/// A file that `get` wrote must not undo what others have changed since.
fn find_conflicts(file: &CatalogueFile, known: &BTreeMap<Arc<str>, MirrorObject>) -> Outcome<()> {
    let Some(base) = file.base else {
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
) -> Outcome<Version> {
    let path: Arc<str> = Arc::from(format!("{}/{name}", paths::CATALOGUE));
    let expect = version.map_or(WriteExpectation::Absent, WriteExpectation::At);
    let put = StoreCall::Put { path: Arc::clone(&path), expect, value: value.clone() };
    match tools.store.call(&put).await {
        StoreReply::Written { version } => Ok(version),
        // The answer may be lost, or another operator was first: reading tells which.
        _ => match tools.store.call(&StoreCall::Get { path }).await {
            StoreReply::Found { version, value: found } if found == value => Ok(version),
            StoreReply::Found { version, value: found } => {
                let changes = describe_changes(&value, &found).join("; ");
                let what = format!("{name} was changed meanwhile, at version {version}: {changes}");
                Err(OperatorError::Conflict(what))
            }
            _ => Err(OperatorError::Unavailable("the object API".to_owned())),
        },
    }
}

/// Makes a customer's account with its opening budget, unless there is one.
async fn open_account(tools: &OperatorTools, customer: &CustomerEntry) -> Outcome<()> {
    let name = Arc::clone(&customer.name);
    edit_shard(tools, &customer.name, move |shard| {
        if shard.accounts.contains_key(&name) {
            return Ok(false);
        }
        shard.accounts.entry(Arc::clone(&name)).or_default().top_up(customer.opening_budget)?;
        Ok(true)
    })
    .await
}

/// Changes a customer's budget shard by conditional update; an edit that returns false is none.
///
/// After a lost answer the edit counts as not made and is reported so: the operator looks and
/// decides, since a top-up made twice cannot be told from two top-ups.
pub async fn edit_shard<Edit>(tools: &OperatorTools, customer: &str, edit: Edit) -> Outcome<()>
where
    Edit: Fn(&mut BudgetShard) -> Outcome<bool>,
{
    let shard = paths::shard_of(&Arc::from(customer), tools.shards);
    let path = paths::budget_path(&shard);
    for _ in 0..CONFLICT_LIMIT {
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
                let what = "the object API, and the edit may have taken effect; look first: it";
                return Err(OperatorError::Unavailable(what.to_owned()));
            }
        }
    }
    Err(OperatorError::Conflict(format!("{path} changes too often; try again")))
}

/// Waits until every registered process has a version in force.
async fn wait_in_force(tools: &OperatorTools, version: Version) -> Outcome<String> {
    let start = Instant::now();
    loop {
        let lagging = find_lagging(tools, version).await?;
        if lagging.is_empty() {
            let time = start.elapsed().as_secs_f64();
            return Ok(format!("in force everywhere after {time:.2} s\n"));
        }
        if start.elapsed() > tools.wait_limit {
            return Err(OperatorError::Lagging(lagging));
        }
        smol::Timer::after(std::time::Duration::from_millis(50)).await;
    }
}

async fn find_lagging(tools: &OperatorTools, version: Version) -> Outcome<Vec<String>> {
    let nodes = inspection_commands::list_nodes(tools).await?;
    let asked = nodes.into_iter().map(|node| {
        let pool = tools.pool.clone();
        smol::spawn(async move {
            let call = OutboundRequest::get("/state");
            let bound = std::time::Duration::from_secs(1);
            let answer = pool.fetch(node.address, call, bound).await.ok();
            let state: Option<Value> =
                answer.and_then(|answer| serde_json::from_slice(&answer.body).ok());
            let seen = state.as_ref().and_then(|state| state["catalogue_version"].as_u64());
            (node.id, seen.unwrap_or(0))
        })
    });
    let mut lagging = Vec::new();
    for task in asked.collect::<Vec<_>>() {
        let (id, seen) = task.await;
        if seen < version {
            lagging.push(format!("{id} (at {seen})"));
        }
    }
    Ok(lagging)
}

/// Prints the catalogue, or one entry of it, as a file.
pub async fn get(tools: &OperatorTools, name: Option<&str>) -> Outcome<String> {
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
    let mut text = format!("{VERSION_MARK}{seen}\n");
    for item in &items {
        let block = match item {
            CatalogueItem::Service(service) => ("service", toml::to_string(service)),
            CatalogueItem::Customer(customer) => ("customer", toml::to_string(customer)),
        };
        let fields = block.1.map_err(|error| OperatorError::Usage(error.to_string()))?;
        text += &format!("\n[[{}]]\n{fields}", block.0);
    }
    Ok(text)
}

/// Ends an entry: it stays as an empty object, so that no old copy brings it back.
pub async fn remove(tools: &OperatorTools, name: &str) -> Outcome<String> {
    let (known, _) = list_catalogue(tools).await?;
    let found = known.get(name).filter(|object| !object.value.is_empty());
    let object = found.ok_or_else(|| OperatorError::Missing(name.to_owned()))?;
    let version = write_item(tools, name, Some(object.version), Vec::new()).await?;
    let mut text = format!("{name}: ended at version {version}\n");
    if tools.wait {
        text += &wait_in_force(tools, version).await?;
    }
    Ok(text)
}
