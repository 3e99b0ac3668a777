//! Parser of catalogue files, which are TOML; errors state the line and field.

use std::collections::BTreeMap;
use std::ops::Range;

use quick_error::quick_error;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use toml::Spanned;

use crate::catalogue::{CatalogueItem, CustomerEntry, ServiceEntry};

quick_error! {
    /// An error in a catalogue file.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CatalogueError {
        /// The text is not valid TOML, or a block has an unknown name.
        Syntax(line: usize, reason: String) {
            display("5001: line {line}: {reason}")
        }
        /// A field is missing, unknown or invalid.
        Field(line: usize, block: String, reason: String) {
            display("5001: line {line}: {block}: {reason}")
        }
    }
}

/// A catalogue item and the position of its block in the file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsedItem {
    /// The item.
    pub item: CatalogueItem,
    /// Line on which the block starts, counted from 1.
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

/// Parses a catalogue file and validates all of its blocks.
///
/// # Errors
/// A single [`CatalogueError::Syntax`] if the file is not valid TOML or has an unknown kind of
/// block. Otherwise a [`CatalogueError::Field`] for each block that cannot be decoded, each invalid
/// field and each duplicate definition.
///
/// # Examples
/// ```
/// let errors =
///     toucanrail::catalogue_files::parse_items("[[customer]]\nname = 'a b'\n").unwrap_err();
/// assert!(errors[0].to_string().starts_with("5001: line 1: customer"));
/// ```
pub fn parse_items(text: &str) -> Result<Vec<ParsedItem>, Vec<CatalogueError>> {
    let blocks: FileBlocks = toml::from_str(text).map_err(|error| {
        let line = error.span().map_or(1, |span| line_at(text, span.start));
        vec![CatalogueError::Syntax(line, error.message().to_owned())]
    })?;
    let mut items = Vec::new();
    let mut errors = Vec::new();
    for block in blocks.service {
        let parsed = parse_block::<ServiceEntry>(text, "service", &block);
        collect_block(
            text,
            block.span(),
            parsed.map(CatalogueItem::Service),
            &mut items,
            &mut errors,
        );
    }
    for block in blocks.customer {
        let parsed = parse_block::<CustomerEntry>(text, "customer", &block);
        collect_block(
            text,
            block.span(),
            parsed.map(CatalogueItem::Customer),
            &mut items,
            &mut errors,
        );
    }
    find_duplicates(&items, &mut errors);
    if errors.is_empty() { Ok(items) } else { Err(errors) }
}

fn parse_block<Entry>(
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

/// Validates a parsed block and adds it to the items, and its errors to the errors.
fn collect_block(
    text: &str,
    span: Range<usize>,
    parsed: Result<CatalogueItem, CatalogueError>,
    items: &mut Vec<ParsedItem>,
    errors: &mut Vec<CatalogueError>,
) {
    let item = match parsed {
        Ok(item) => item,
        Err(error) => return errors.push(error),
    };
    for error in item.check() {
        let line = field_line(text, span.start, error.field);
        let reason = format!("{}: {}", error.field, error.reason);
        errors.push(CatalogueError::Field(line, item.object_name().to_string(), reason));
    }
    items.push(ParsedItem { item, line: line_at(text, span.start) });
}

/// Reports names, models, routes and keys that are defined more than once.
fn find_duplicates(items: &[ParsedItem], errors: &mut Vec<CatalogueError>) {
    let mut first: BTreeMap<String, usize> = BTreeMap::new();
    for parsed in items {
        for key in unique_keys(&parsed.item) {
            if let Some(line) = first.get(&key) {
                let reason = format!("{key} is already defined on line {line}");
                let block = parsed.item.object_name().to_string();
                errors.push(CatalogueError::Field(parsed.line, block, reason));
            } else {
                first.insert(key, parsed.line);
            }
        }
    }
}

/// Returns the names, models, routes and keys of an item, which no other item may have.
fn unique_keys(item: &CatalogueItem) -> Vec<String> {
    let mut keys = vec![format!("name {}", item.object_name())];
    match item {
        CatalogueItem::Service(service) => {
            keys.extend(service.model.iter().map(|model| format!("model {model}")));
            keys.extend(service.route.iter().map(|route| format!("route {route}")));
        }
        CatalogueItem::Customer(customer) => {
            keys.extend(customer.key_digests.iter().map(|digest| format!("key {digest}")));
        }
    }
    keys
}

/// Returns the line, counted from 1, of a byte offset.
fn line_at(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|byte| *byte == b'\n').count() + 1
}

/// Returns the line of a field in the block that starts at byte offset `start`, or the first line
/// of the block if the field is not in it.
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
