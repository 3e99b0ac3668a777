//! The plan of a sync: what one entry wants changed in one shard.

use std::collections::{BTreeMap, BTreeSet};

use crate::budgets::BillRow;
use crate::ids::{AgentId, CustomerId, EntryId, Epoch, Sequence, ShardName, Tokens};

/// What an account needs from a sync.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct GrantDemand {
    /// Smoothed usage in tokens per second.
    pub burn_rate: f64,
    /// Tokens held, or used and not settled by this sync.
    pub in_use: Tokens,
    /// Total that waiting requests are missing.
    pub shortage: Tokens,
    /// Smallest amount that a waiting request is missing; 0 if none waits.
    pub smallest_wait: Tokens,
    /// Tokens set aside to be returned.
    pub returning: Tokens,
    /// Prepaid total from the configuration; the account is raised to it, never lowered. 0 if only
    /// operators set the total, in the shard.
    pub prepaid: Tokens,
}

/// The contents of one sync; unchanged until its outcome is known.
#[derive(Debug, Clone, PartialEq)]
pub struct SyncPlan {
    /// The shard.
    pub shard: ShardName,
    /// The entry.
    pub entry: EntryId,
    /// Epoch of the tenure; 0 to open one.
    pub epoch: Epoch,
    /// Sequence number of this sync in the tenure. After a lost reply, it tells whether the sync
    /// took effect.
    pub sequence: Sequence,
    /// The bills to settle.
    pub rows: Vec<BillRow>,
    /// What each account of the shard needs.
    pub demands: BTreeMap<CustomerId, GrantDemand>,
    /// The last sequence number whose runs all agents have dropped.
    pub acked: Sequence,
    /// Agents that the entry wants to use or that may still store runs of this tenure.
    pub agents: BTreeSet<AgentId>,
    /// Whether the tenure's tokens are used through loans only.
    pub lends: bool,
    /// Whether to end the tenure.
    pub leave: bool,
}
