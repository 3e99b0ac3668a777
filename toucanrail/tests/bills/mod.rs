//! Names and bills that tests of budgets share.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use std::sync::Arc;

use toucanrail::budgets::BillRow;
use toucanrail::ids::{CustomerId, EntryId, Epoch, ShardName, Tokens};

pub fn shard_name() -> ShardName {
    Arc::from("shard-0")
}

pub fn entry() -> EntryId {
    Arc::from("entry-1.x")
}

pub fn customer() -> CustomerId {
    Arc::from("acme")
}

/// Returns a bill without attempts, for a request without a key.
pub fn make_bill(request: &str, epoch: Epoch, billed: Tokens) -> BillRow {
    BillRow {
        request: Arc::from(request),
        customer: customer(),
        service: Arc::from("desk"),
        epoch,
        keyed: false,
        billed,
        written_off: 0,
        unproved: 0,
        runs: Vec::new(),
    }
}
