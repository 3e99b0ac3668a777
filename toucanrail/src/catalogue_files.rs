//! The catalogue's file format: TOML, with the line and field of each fault.

use std::collections::BTreeMap;
use std::ops::Range;

use quick_error::quick_error;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use toml::Spanned;

use crate::catalogue::{CatalogueItem, CustomerEntry, ServiceEntry};

quick_error! {
    /// A fault of a catalogue file.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CatalogueError {
        /// The text is no TOML, or a block has an unknown name.
        Syntax(line: usize, reason: String) {
            display("5001: line {line}: {reason}")
        }
        /// A field is missing, unknown or wrong.
        Field(line: usize, block: String, reason: String) {
            display("5001: line {line}: {block}: {reason}")
        }
    }
}

/// An item and where its block begins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsedItem {
    /// The item.
    pub item: CatalogueItem,
    /// The line of its block, from 1.
    pub line: usize,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FileBlocks {
    #[serde(default)]
    service: Vec<Spanned<toml::Table>>,
    #[serde(default)]
    customer: Vec<Spanned<toml::Table>>,
}

/// Reads a catalogue file and checks every block of it.
///
/// # Examples
/// ```
/// let faults = toucanrail::catalogue_files::parse_items("[[customer]]\nname = 'a b'\n").unwrap_err();
/// assert!(faults[0].to_string().starts_with("5001: line 1: customer"));
/// ```
pub fn parse_items(text: &str) -> Result<Vec<ParsedItem>, Vec<CatalogueError>> {
    let blocks: FileBlocks = toml::from_str(text).map_err(|error| {
        let line = error.span().map_or(1, |span| line_at(text, span.start));
        vec![CatalogueError::Syntax(line, error.message().to_owned())]
    })?;
    let mut items = Vec::new();
    let mut faults = Vec::new();
    for block in blocks.service {
        let read = read_block::<ServiceEntry>(text, "service", &block);
        take_block(text, block.span(), read.map(CatalogueItem::Service), &mut items, &mut faults);
    }
    for block in blocks.customer {
        let read = read_block::<CustomerEntry>(text, "customer", &block);
        take_block(text, block.span(), read.map(CatalogueItem::Customer), &mut items, &mut faults);
    }
    find_clashes(&items, &mut faults);
    if faults.is_empty() { Ok(items) } else { Err(faults) }
}

fn read_block<Entry>(
    text: &str,
    kind: &str,
    block: &Spanned<toml::Table>,
) -> Result<Entry, CatalogueError>
where
    Entry: DeserializeOwned,
{
    let table = block.get_ref().clone();
    table.try_into().map_err(|error: toml::de::Error| {
        let line = line_at(text, block.span().start);
        CatalogueError::Field(line, kind.to_owned(), error.message().to_owned())
    })
}

fn take_block(
    text: &str,
    span: Range<usize>,
    read: Result<CatalogueItem, CatalogueError>,
    items: &mut Vec<ParsedItem>,
    faults: &mut Vec<CatalogueError>,
) {
    let item = match read {
        Ok(item) => item,
        Err(fault) => return faults.push(fault),
    };
    for fault in item.check() {
        let line = field_line(text, span.start, fault.field);
        let reason = format!("{}: {}", fault.field, fault.reason);
        faults.push(CatalogueError::Field(line, item.object_name().to_string(), reason));
    }
    items.push(ParsedItem { item, line: line_at(text, span.start) });
}

/// Finds names, models, routes and keys that stand twice.
fn find_clashes(items: &[ParsedItem], faults: &mut Vec<CatalogueError>) {
    let mut first: BTreeMap<String, usize> = BTreeMap::new();
    for row in items {
        for claim in claims(&row.item) {
            if let Some(line) = first.get(&claim) {
                let reason = format!("{claim} stands on line {line} too");
                let block = row.item.object_name().to_string();
                faults.push(CatalogueError::Field(row.line, block, reason));
            } else {
                first.insert(claim, row.line);
            }
        }
    }
}

fn claims(item: &CatalogueItem) -> Vec<String> {
    let mut claims = vec![format!("name {}", item.object_name())];
    match item {
        CatalogueItem::Service(service) => {
            claims.extend(service.model.iter().map(|model| format!("model {model}")));
            claims.extend(service.route.iter().map(|route| format!("route {route}")));
        }
        CatalogueItem::Customer(customer) => {
            claims.extend(customer.key_digests.iter().map(|digest| format!("key {digest}")));
        }
    }
    claims
}

fn line_at(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|byte| *byte == b'\n').count() + 1
}

/// Returns the line of a field in the block that begins at `start`, or the block's own line.
fn field_line(text: &str, start: usize, field: &str) -> usize {
    let first = line_at(text, start);
    let inside = text.lines().enumerate().skip(first);
    let block = inside.take_while(|(_, line)| !line.starts_with("[["));
    let mut named = block.filter(|(_, line)| {
        let rest = line.trim_start().strip_prefix(field);
        rest.is_some_and(|rest| rest.trim_start().starts_with('='))
    });
    named.next().map_or(first, |(index, _)| index + 1)
}
