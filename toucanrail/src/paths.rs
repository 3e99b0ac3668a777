//! Paths of the stored objects, and the digests that replace secrets and long keys in paths.

use std::fmt::Write;
use std::sync::Arc;

use sha2::{Digest, Sha256};
use xxhash_rust::xxh3;

use crate::ids::{CustomerId, EntryId, Epoch, RequestId, Sequence, ShardName};
use crate::storecalls::ObjectPath;

/// Kind of the catalogue objects.
pub const CATALOGUE: &str = "catalogue";
/// Kind of the process registrations.
pub const NODES: &str = "nodes";
/// Kind of the budget shards.
pub const BUDGETS: &str = "budgets";
/// Kind of the settlement batches.
pub const BILLS: &str = "bills";
/// Kind of the records of runs that may not be repeated.
pub const RECORDS: &str = "records";
/// Kind of the archive buckets of keyed requests.
pub const ARCHIVES: &str = "archives";

/// Length of a keyed request id, in hexadecimal digits.
const REQUEST_DIGITS: usize = 32;
/// Number of leading digits of a request id that select its archive bucket.
const BUCKET_DIGITS: usize = 2;

/// Returns the SHA-256 digest of a text in hexadecimal.
///
/// # Examples
/// ```
/// assert!(toucanrail::paths::hash_text("key").starts_with("2c70e12b7a06"));
/// ```
pub fn hash_text(text: &str) -> String {
    hash_bytes(text.as_bytes())
}

/// Returns the SHA-256 digest of bytes in hexadecimal.
pub fn hash_bytes(bytes: &[u8]) -> String {
    hex_digits(&Sha256::digest(bytes))
}

/// Formats bytes in hexadecimal.
///
/// # Examples
/// ```
/// assert_eq!(toucanrail::paths::hex_digits(&[10, 255]), "0aff");
/// ```
pub fn hex_digits(bytes: &[u8]) -> String {
    let mut digits = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing to a String cannot fail.
        let _ = write!(digits, "{byte:02x}");
    }
    digits
}

/// Derives the id of a request from its customer and idempotency key, so that every entry that
/// receives the key uses the same id.
///
/// # Examples
/// ```
/// use toucanrail::paths;
/// assert_eq!(paths::keyed_request_id("a", "k"), paths::keyed_request_id("a", "k"));
/// assert_ne!(paths::keyed_request_id("a", "k"), paths::keyed_request_id("b", "k"));
/// ```
pub fn keyed_request_id(customer: &str, key: &str) -> RequestId {
    let digits = hash_text(&format!("{}:{customer}:{key}", customer.len()));
    Arc::from(&digits[..REQUEST_DIGITS])
}

/// Returns the shard that holds a customer's account; if `shards` is 0, each customer has its own.
pub fn shard_of(customer: &CustomerId, shards: u64) -> ShardName {
    match shards {
        0 => Arc::clone(customer),
        _ => shard_name(xxh3::xxh3_64(customer.as_bytes()) % shards),
    }
}

/// Returns the name of a shard that several customers share.
///
/// # Examples
/// ```
/// assert_eq!(&*toucanrail::paths::shard_name(3), "shard-3");
/// ```
pub fn shard_name(number: u64) -> ShardName {
    Arc::from(format!("shard-{number}"))
}

/// Returns the path of a budget shard.
pub fn budget_path(shard: &ShardName) -> ObjectPath {
    Arc::from(format!("{BUDGETS}/{shard}"))
}

/// Returns the path of a settlement batch.
pub fn bill_path(shard: &ShardName, epoch: Epoch, sequence: Sequence) -> ObjectPath {
    Arc::from(format!("{BILLS}/{shard}.{epoch:08}.{sequence:08}"))
}

/// Returns the path of the settlement batch with which an entry reclaims a tenure.
pub fn reclaim_path(shard: &ShardName, epoch: Epoch, entry: &EntryId) -> ObjectPath {
    Arc::from(format!("{BILLS}/{shard}.{epoch:08}.reclaim.{entry}"))
}

/// Returns the path of the record of a run that may not be repeated.
pub fn record_path(request: &RequestId) -> ObjectPath {
    Arc::from(format!("{RECORDS}/{request}"))
}

/// Returns the path of the archive bucket of a keyed request.
pub fn archive_path(shard: &ShardName, request: &RequestId) -> ObjectPath {
    let bucket = request.get(..BUCKET_DIGITS).unwrap_or(request);
    Arc::from(format!("{ARCHIVES}/{shard}.{bucket}"))
}
