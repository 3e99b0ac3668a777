//! Registrations of the fleet's processes in the platform's object API.

use std::sync::Arc;

use toucanrail::paths;
use toucanrail::storecalls::{StoreCall, StoreReply, WriteExpectation};
use toucanrail_wire::stores::ObjectStore;

/// Writes the registration of a process, or removes it if `value` is empty; false if a call fails.
///
/// Overwrites any version: only the process itself and those that found it gone write the
/// registration.
pub async fn write_registration<Store>(store: &Store, id: &Arc<str>, value: Vec<u8>) -> bool
where
    Store: ObjectStore,
{
    let path: Arc<str> = Arc::from(format!("{}/{id}", paths::NODES));
    let reply = store.call(&StoreCall::Get { path: Arc::clone(&path) }).await;
    let expect = match reply {
        StoreReply::Found { version, .. } => WriteExpectation::At(version),
        StoreReply::Missing if value.is_empty() => return true,
        StoreReply::Missing => WriteExpectation::Absent,
        _ => return false,
    };
    let put = StoreCall::Put { path, expect, value };
    matches!(store.call(&put).await, StoreReply::Written { .. })
}
