//! Keys by which requests with the same content, or the same part of a prompt, are recognized,
//! whatever their ids.
//!
//! A caller that tries again uses a new id, and mostly reaches another entry. What a backend server
//! works on is the same: the customer, the fields that describe the work, and the body.

use xxhash_rust::xxh3::{self, Xxh3};

use crate::backends::PartId;

/// Key of a request's content; the same at all entries.
pub type ContentKey = u64;
/// Key of a part of prompts for one service; the same at all entries.
pub type PartKey = u64;

/// Returns the key of a request's content. `fields` are those parts of its head that a server works
/// on, in a fixed order.
///
/// # Examples
/// ```
/// use toucanrail::contents;
/// let key = contents::content_key(Some("acme"), &["POST", "/a"], b"body");
/// assert_eq!(key, contents::content_key(Some("acme"), &["POST", "/a"], b"body"));
/// assert_ne!(key, contents::content_key(Some("acme"), &["POST/", "a"], b"body"));
/// assert_ne!(key, contents::content_key(None, &["POST", "/a"], b"body"));
/// ```
pub fn content_key(customer: Option<&str>, fields: &[&str], body: &[u8]) -> ContentKey {
    let mut hasher = Xxh3::new();
    let mut write = |bytes: &[u8]| {
        // The length keeps adjacent texts apart.
        hasher.update(&bytes.len().to_le_bytes());
        hasher.update(bytes);
    };
    write(customer.map_or(&[], str::as_bytes));
    for field in fields {
        write(field.as_bytes());
    }
    write(body);
    hasher.digest()
}

/// Returns the key of a part of prompts for a service.
///
/// # Examples
/// ```
/// use toucanrail::contents;
/// assert_ne!(contents::part_key("llm", 7), contents::part_key("llm-2", 7));
/// ```
pub fn part_key(service: &str, part: PartId) -> PartKey {
    xxh3::xxh3_64_with_seed(service.as_bytes(), part)
}
