//! Identifier and quantity types shared by all modules.

use std::sync::Arc;

/// Name of a customer in the catalogue.
pub type CustomerId = Arc<str>;
/// One incarnation of an entry process: its configured name, a dot and a random suffix.
pub type EntryId = Arc<str>;
/// One incarnation of an agent process: its configured name, a dot and a random suffix.
pub type AgentId = Arc<str>;
/// Name of a service that callers can use: a model or a plain service.
pub type ServiceName = Arc<str>;
/// Version of a backend server's software, not of the model weights that it has loaded. Versions
/// have no order.
pub type SoftwareVersion = Arc<str>;
/// Name of a data centre, from the settings of a process.
pub type DataCentre = Arc<str>;
/// Name of a region, which groups nearby data centres, from the settings of a process.
pub type Region = Arc<str>;
/// Name of a VM in the platform's VM list.
pub type VmId = Arc<str>;
/// Id of a caller's request; derived from its idempotency key if it has one.
pub type RequestId = Arc<str>;
/// Id of one attempt of a request at one agent: the request id, a dot and the attempt number.
pub type RunId = Arc<str>;
/// Number of an attempt among those of its entry, which counts them from 1.
pub type RunNumber = u64;
/// Name of a budget shard, an object that holds the accounts of some customers.
pub type ShardName = Arc<str>;
/// Prepaid units; each prompt token and each generated token costs one.
pub type Tokens = u64;
/// Number of one holder's tenure in a shard; never reused within that shard.
pub type Epoch = u64;
/// Number of a settlement batch within one holder's tenure, starting at 1.
pub type Sequence = u64;
/// Version of an object; the platform's object API increases it with every write to any object.
pub type Version = u64;

/// Returns the VM name in a process id such as an [`EntryId`] or an [`AgentId`].
///
/// # Examples
/// ```
/// assert_eq!(toucanrail::ids::vm_of("side-1.261e3eed"), "side-1");
/// ```
pub fn vm_of(process: &str) -> &str {
    process.rsplit_once('.').map_or(process, |(vm, _)| vm)
}
