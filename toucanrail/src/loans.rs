//! Loans: budget that a lender holds for single requests of the entries in its region.
//!
//! Lenders are for a load of many entries that each see few requests of a customer. If every entry
//! held its own grants, they would be small, renewed often and stranded in many places. One lender
//! per region and shard calls the store as often as a single entry would, and an entry that dies
//! loses only the loans of its requests in flight.

#![deny(clippy::arithmetic_side_effects)]

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::grants::GrantHold;
use crate::ids::{CustomerId, EntryId, Epoch, RequestId, ServiceName, ShardName, Tokens, VmId};
use crate::link_shares;
use crate::messages::FenceReply;

/// Number of recently ended loans that are remembered, so that a loan request that arrives after
/// the end of its loan is not granted. Covers a few seconds of a data centre's load.
const ENDED_LOAN_LIMIT: usize = 4_096;

/// Id of a loan: the id of the entry's process and the number of the loan; unique in the fleet.
pub type LoanId = Arc<str>;

/// An entry's request to a lender for the budget of one caller's request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Id of the loan.
    pub loan: LoanId,
    /// The customer who pays.
    pub customer: CustomerId,
    /// The customer's prepaid total in the entry's configuration.
    pub stated: Tokens,
    /// The maximum usage of the caller's request.
    pub amount: Tokens,
    /// Rank of the caller's request; 0 is served first.
    pub rank: u8,
}

/// The tenure of a lender that a loan belongs to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LoanTenure {
    /// The shard of the customer's account.
    pub shard: ShardName,
    /// Number of the lender's tenure there.
    pub epoch: Epoch,
}

impl LoanTenure {
    /// Returns the tenure that a loan's hold belongs to.
    pub fn of_hold(hold: &GrantHold) -> Self {
        Self { shard: Arc::clone(&hold.shard), epoch: hold.epoch }
    }
}

/// What a borrower knows of the lender of a tenure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TenureUse {
    /// It has lately lent from this tenure.
    Current,
    /// Its process has ended.
    Ended,
}

/// The lender's reply to a [`LoanRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoanReply {
    /// The loan is open: the amount is held in this tenure.
    Held(LoanTenure),
    /// The amount is not available now, but may be later.
    Short,
    /// The customer's balance provably does not cover the amount.
    Uncovered,
    /// The lender is stopping; another one should be asked.
    Leaving,
}

/// The end of a loan, with the usage to bill.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanEnd {
    /// Id of the loan.
    pub loan: LoanId,
    /// The caller's request.
    pub request: RequestId,
    /// The service that was used.
    pub service: ServiceName,
    /// Tokens used.
    pub used: Tokens,
}

/// The open loans of one lender.
#[derive(Debug, Default)]
pub struct LoanTable {
    holds: BTreeMap<LoanId, GrantHold>,
    ended: VecDeque<LoanId>,
}

impl LoanTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether a loan may be opened: it is neither open nor ended.
    ///
    /// An entry that gives up on a request without a reply sends the end of its loan, which may
    /// arrive before the request. If the loan were opened then, nobody would ever end it.
    pub fn can_open(&self, loan: &LoanId) -> bool {
        !self.holds.contains_key(loan) && !self.ended.contains(loan)
    }

    /// Opens a loan.
    pub fn open(&mut self, loan: &LoanId, hold: GrantHold) {
        self.holds.insert(Arc::clone(loan), hold);
    }

    /// Ends a loan and returns its hold, or `None` if it is not open, for example on a repeated
    /// end.
    ///
    /// # Examples
    /// ```
    /// let mut table = toucanrail::loans::LoanTable::new();
    /// assert!(table.end(&"e.1".into()).is_none());
    /// assert!(!table.can_open(&"e.1".into()));
    /// ```
    pub fn end(&mut self, loan: &LoanId) -> Option<GrantHold> {
        let hold = self.holds.remove(loan);
        if self.can_open(loan) {
            self.ended.push_back(Arc::clone(loan));
        }
        if self.ended.len() > ENDED_LOAN_LIMIT {
            self.ended.pop_front();
        }
        hold
    }

    /// Returns the hold of an open loan.
    pub fn find(&self, loan: &LoanId) -> Option<&GrantHold> {
        self.holds.get(loan)
    }

    /// Returns all open loans.
    pub fn open_loans(&self) -> impl Iterator<Item = &LoanId> {
        self.holds.keys()
    }

    /// Returns the open loans of a borrower.
    pub fn loans_of(&self, borrower: &str) -> Vec<LoanId> {
        let loans = self.holds.keys().filter(|loan| borrower_of(loan) == borrower);
        loans.map(Arc::clone).collect()
    }

    /// Returns the number of open loans.
    pub fn len(&self) -> usize {
        self.holds.len()
    }

    /// Returns whether no loan is open.
    pub fn is_empty(&self) -> bool {
        self.holds.is_empty()
    }
}

/// Returns the process that borrowed a loan.
///
/// # Examples
/// ```
/// assert_eq!(toucanrail::loans::borrower_of("front-1.261e3eed.7"), "front-1.261e3eed");
/// ```
pub fn borrower_of(loan: &str) -> &str {
    loan.rsplit_once('.').map_or(loan, |(borrower, _)| borrower)
}

/// What an entry reports to a lender at intervals.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReport {
    /// The entry's process.
    pub entry: EntryId,
    /// Ends of loans of this lender.
    pub ends: Vec<LoanEnd>,
    /// Settled loans that the entry has dropped from its ledger.
    pub dropped: Vec<LoanId>,
    /// Tenures of dead lenders that the entry has fenced, and what was used of them.
    pub fenced: Vec<(LoanTenure, FenceReply)>,
    /// Always empty; relays of earlier versions require it.
    #[serde(default)]
    pub failed: Vec<VmId>,
    /// Tenures that the entry has lately borrowed from; all others are not in use by it. `None` if it is
    /// of an earlier version, which does not tell.
    #[serde(default)]
    pub uses: Option<Vec<(LoanTenure, TenureUse)>>,
}

/// A lender's reply to a [`LoanReport`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReceipt {
    /// Loans of the entry that are settled.
    pub settled: Vec<LoanId>,
    /// Tenures of dead lenders that the entry must fence and report on.
    pub fences: Vec<LoanTenure>,
    /// Tenures that were closed lately.
    pub closed: Vec<LoanTenure>,
}

/// Fraction of a request's remaining time that may be spent on its loan while the link is loaded.
const TIME_LEFT_FRACTION: f64 = 0.5;

/// Returns the timeout of a loan request; `usual` is the one for an idle link. A loaded link delays
/// replies by a second and more: the request would be refused with its body read already, and come
/// again over the same link.
///
/// # Examples
/// ```
/// use std::time::Duration;
/// use toucanrail::loans;
/// let (usual, left) = (Duration::from_millis(650), Duration::from_secs(3));
/// assert_eq!(loans::reply_timeout(usual, 0.2, left), usual);
/// assert_eq!(loans::reply_timeout(usual, 0.9, left), Duration::from_millis(1_500));
/// ```
pub fn reply_timeout(usual: Duration, link_load: f64, time_left: Duration) -> Duration {
    let max = link_shares::call_timeout(usual, link_load);
    time_left.mul_f64(TIME_LEFT_FRACTION).clamp(usual, max)
}

/// What a loan request without a reply says about its lender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LenderVerdict {
    /// The lender has failed: the next one is asked, and this one is not called for some time.
    Failed,
    /// Nothing: the entry's own link delays its calls, and another lender would be asked over the
    /// same link. The request is refused as unconfirmed.
    Unknown,
}

/// Judges a lender that a loan request got no reply from. `timed_out` tells that nothing was
/// received, as opposed to a closed or refused connection; `link_load` is the highest load of the
/// entry's own link seen during the request, as a fraction of its capacity.
///
/// # Examples
/// ```
/// use toucanrail::loans::{self, LenderVerdict};
/// assert_eq!(loans::judge_lender(true, 0.3), LenderVerdict::Failed);
/// assert_eq!(loans::judge_lender(true, 0.9), LenderVerdict::Unknown);
/// assert_eq!(loans::judge_lender(false, 0.9), LenderVerdict::Failed);
/// ```
pub fn judge_lender(timed_out: bool, link_load: f64) -> LenderVerdict {
    if timed_out && link_shares::is_loaded(link_load) {
        LenderVerdict::Unknown
    } else {
        LenderVerdict::Failed
    }
}

/// Orders lenders by preference for a shard, using rendezvous hashing. All entries of a region
/// prefer the same lender, so that it alone updates the shard, and the loss of a lender moves only
/// the shards it served.
///
/// # Examples
/// ```
/// use std::sync::Arc;
/// let lenders = [(Arc::from("a"), "10.0.0.1:1".parse().unwrap())];
/// assert_eq!(toucanrail::loans::rank_lenders(&lenders, "acme").len(), 1);
/// ```
pub fn rank_lenders(
    lenders: &[(Arc<str>, SocketAddr)],
    shard: &str,
) -> Vec<(Arc<str>, SocketAddr)> {
    let seed = xxh3::xxh3_64(shard.as_bytes());
    let mut ranked = lenders.to_vec();
    ranked.sort_by_cached_key(|(name, _)| {
        std::cmp::Reverse(xxh3::xxh3_64_with_seed(name.as_bytes(), seed))
    });
    ranked
}
