//! Registrations of the fleet's processes in the object API.

use std::sync::Arc;

use toucanrail::paths;
use toucanrail::storecalls::{StoreCall, StoreReply, WriteExpectation};
use toucanrail_wire::stores::ObjectStore;

/// Writes a registration whatever its version is: only its own process and those that found it
/// gone write it.
pub async fn write_registration<Store>(store: &Store, id: &Arc<str>, value: Vec<u8>) -> bool
where
    Store: ObjectStore,
{
    let path: Arc<str> = Arc::from(format!("{}/{id}", paths::NODES));
    let found = store.call(&StoreCall::Get { path: Arc::clone(&path) }).await;
    let expect = match found {
        StoreReply::Found { version, .. } => WriteExpectation::At(version),
        StoreReply::Missing if value.is_empty() => return true,
        StoreReply::Missing => WriteExpectation::Absent,
        _ => return false,
    };
    let put = StoreCall::Put { path, expect, value };
    matches!(store.call(&put).await, StoreReply::Written { .. })
}
