//! Names and plain quantities that every module shares.

use std::sync::Arc;

/// A customer, as the catalogue names it.
pub type CustomerId = Arc<str>;
/// One run of an entry process: its configured name and a random incarnation.
pub type EntryId = Arc<str>;
/// One run of an agent process: its configured name and a random incarnation.
pub type AgentId = Arc<str>;
/// A service that callers may reach: a model or a plain service.
pub type ServiceName = Arc<str>;
/// A data centre, as the settings of a process name it.
pub type DataCentre = Arc<str>;
/// Data centres near one another, as the settings of a process name them.
pub type Region = Arc<str>;
/// A VM, as the platform's VM list names it.
pub type VmId = Arc<str>;
/// One request of a caller; derived from its idempotency key if it has one.
pub type RequestId = Arc<str>;
/// One try of a request at one agent: the request's id, a dot and the try's number.
pub type RunId = Arc<str>;
/// A budget shard: the name of one object that holds some customers' accounts.
pub type ShardName = Arc<str>;
/// Prepaid units; a generated or prompt token costs one.
pub type Tokens = u64;
/// Number of one holder's tenure in a shard; never used twice in that shard.
pub type Epoch = u64;
/// Number of a settlement batch within one holder's tenure, from 1.
pub type Sequence = u64;
/// Version of an object; the platform's service raises it with every write to any object.
pub type Version = u64;

/// Returns the name of the VM in the id of a process's run.
///
/// # Examples
/// ```
/// assert_eq!(toucanrail::ids::vm_of("side-1.261e3eed"), "side-1");
/// ```
pub fn vm_of(run: &str) -> &str {
    run.rsplit_once('.').map_or(run, |(vm, _)| vm)
}
