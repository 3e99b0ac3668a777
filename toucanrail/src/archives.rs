//! State machine that moves old idempotency keys from a budget shard to its archive.
//!
//! The keys are written to their archive buckets first and removed from the shard afterwards, in
//! one conditional update at the version that was read. Wherever the move is interrupted, every
//! key is in the shard, in the archive, or in both. A settlement reads the shard before the
//! archive, so it cannot miss a key that is being moved.

#![deny(clippy::arithmetic_side_effects)]

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::budgets::BudgetShard;
use crate::ids::{CustomerId, RequestId, ShardName, Version};
use crate::paths;
use crate::storecalls::{self, ObjectPath, StoreCall, StoreReply, WriteExpectation};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ArchiveStage {
    ReadShard,
    ReadBucket,
    WriteBucket,
    WriteShard,
    Done,
}

/// State machine of one move. Any entry may run it, also several at the same time.
#[derive(Debug)]
pub struct ArchiveMachine {
    shard_name: ShardName,
    limit: usize,
    stage: ArchiveStage,
    version: Version,
    shard: BudgetShard,
    customer: Option<CustomerId>,
    keys: BTreeSet<RequestId>,
    /// Paths of the buckets still to be written; the last one is next.
    buckets: Vec<ObjectPath>,
    bucket: BTreeSet<RequestId>,
    bucket_expect: WriteExpectation,
    moved: bool,
    /// The object that ended the move because it cannot be decoded.
    unreadable: Option<ObjectPath>,
}

impl ArchiveMachine {
    /// Creates a machine that moves keys of the first account with more than `limit` of them.
    pub fn new(shard: ShardName, limit: usize) -> Self {
        Self {
            shard_name: shard,
            limit,
            stage: ArchiveStage::ReadShard,
            version: 0,
            shard: BudgetShard::default(),
            customer: None,
            keys: BTreeSet::new(),
            buckets: Vec::new(),
            bucket: BTreeSet::new(),
            bucket_expect: WriteExpectation::Absent,
            moved: false,
            unreadable: None,
        }
    }

    /// Returns whether keys were moved, once the machine has finished.
    pub fn has_moved(&self) -> bool {
        self.moved
    }

    /// Returns the object that ended the move because it cannot be decoded.
    pub fn unreadable(&self) -> Option<&ObjectPath> {
        self.unreadable.as_ref()
    }

    /// Returns the next call, or `None` once the machine has finished.
    pub fn next_call(&self) -> Option<StoreCall> {
        let shard_path = paths::budget_path(&self.shard_name);
        match self.stage {
            ArchiveStage::Done => None,
            ArchiveStage::ReadShard => Some(StoreCall::Get { path: shard_path }),
            ArchiveStage::ReadBucket => {
                let path = Arc::clone(self.buckets.last()?);
                Some(StoreCall::Get { path })
            }
            ArchiveStage::WriteBucket => Some(StoreCall::Put {
                path: Arc::clone(self.buckets.last()?),
                expect: self.bucket_expect,
                value: storecalls::encode_value(&self.bucket),
            }),
            ArchiveStage::WriteShard => Some(StoreCall::Put {
                path: shard_path,
                expect: WriteExpectation::At(self.version),
                value: storecalls::encode_value(&self.trimmed_shard()),
            }),
        }
    }

    /// Handles the reply to the last call. An unexpected reply aborts the move, which can then be
    /// started again.
    pub fn handle_reply(&mut self, reply: StoreReply) {
        self.stage = match (self.stage, reply) {
            (ArchiveStage::ReadShard, StoreReply::Found { version, value }) => {
                self.handle_shard(version, &value)
            }
            (ArchiveStage::ReadBucket, StoreReply::Found { version, value }) => {
                self.handle_bucket(version, &value)
            }
            (ArchiveStage::ReadBucket, StoreReply::Missing) => {
                self.fill_bucket(BTreeSet::new());
                self.bucket_expect = WriteExpectation::Absent;
                ArchiveStage::WriteBucket
            }
            (ArchiveStage::WriteBucket, StoreReply::Written { .. }) => {
                self.buckets.pop();
                if self.buckets.is_empty() {
                    ArchiveStage::WriteShard
                } else {
                    ArchiveStage::ReadBucket
                }
            }
            (ArchiveStage::WriteShard, StoreReply::Written { .. }) => {
                self.moved = true;
                ArchiveStage::Done
            }
            _ => ArchiveStage::Done,
        };
    }

    /// Selects the account and the keys to move.
    fn handle_shard(&mut self, version: Version, value: &[u8]) -> ArchiveStage {
        let Some(shard) = storecalls::decode_value::<BudgetShard>(value) else {
            self.unreadable = Some(paths::budget_path(&self.shard_name));
            return ArchiveStage::Done;
        };
        let selected = shard.accounts.iter().find_map(|(customer, account)| {
            let keys = account.keys_to_archive(self.limit);
            (!keys.is_empty()).then(|| (Arc::clone(customer), keys))
        });
        let Some((customer, keys)) = selected else {
            return ArchiveStage::Done;
        };
        let buckets: BTreeSet<ObjectPath> =
            keys.iter().map(|key| paths::archive_path(&self.shard_name, key)).collect();
        self.version = version;
        self.shard = shard;
        self.customer = Some(customer);
        self.keys = keys;
        self.buckets = buckets.into_iter().collect();
        ArchiveStage::ReadBucket
    }

    /// Adds the keys to a bucket that exists. One that cannot be decoded is left as it is.
    fn handle_bucket(&mut self, version: Version, value: &[u8]) -> ArchiveStage {
        let Some(archived) = storecalls::decode_value(value) else {
            self.unreadable = self.buckets.last().map(Arc::clone);
            return ArchiveStage::Done;
        };
        self.fill_bucket(archived);
        self.bucket_expect = WriteExpectation::At(version);
        ArchiveStage::WriteBucket
    }

    /// Sets the new content of the current bucket: the keys already archived and those to move.
    fn fill_bucket(&mut self, archived: BTreeSet<RequestId>) {
        let Some(path) = self.buckets.last() else {
            return;
        };
        let moving =
            self.keys.iter().filter(|key| paths::archive_path(&self.shard_name, key) == *path);
        self.bucket = moving.map(Arc::clone).chain(archived).collect();
    }

    fn trimmed_shard(&self) -> BudgetShard {
        let mut shard = self.shard.clone();
        let account = self.customer.as_ref().and_then(|customer| shard.accounts.get_mut(customer));
        if let Some(account) = account {
            account.recent.retain(|key, _| !self.keys.contains(key));
            account.archived = true;
        }
        shard
    }
}
