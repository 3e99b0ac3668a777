//! Budget that a lender holds for the entries of its region, request by request.
//!
//! The load it answers: many entries that each see little of a customer. Grants for each of them
//! would be small, asked for often, and stranded in many places; one lender a region and shard asks
//! the store as often as one entry, and an entry that dies takes only the loans of its requests in
//! flight with it.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::grants::GrantHold;
use crate::ids::{CustomerId, RequestId, ServiceName, Tokens};

/// Loans ended lately that are remembered, so that a request for one that arrives behind its end is
/// not granted; a few seconds of a data centre's load.
const ENDED_LIMIT: usize = 4_096;

/// One run of an entry and its number for a loan; unique in the fleet.
pub type LoanId = Arc<str>;

/// An entry asks for the budget of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// The loan.
    pub loan: LoanId,
    /// Who pays.
    pub customer: CustomerId,
    /// The customer's total as the entry's configuration states it.
    pub stated: Tokens,
    /// The worst case of the request.
    pub amount: Tokens,
    /// The request's rank; 0 goes first.
    pub rank: u8,
}

/// The lender's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoanReply {
    /// The amount is held.
    Held,
    /// It could not be had now; it may be there later.
    Short,
    /// The customer's balance provably does not cover it.
    Uncovered,
    /// The lender is stopping; another lends.
    Leaving,
}

/// What one loan's request used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanEnd {
    /// The loan.
    pub loan: LoanId,
    /// The request.
    pub request: RequestId,
    /// The service.
    pub service: ServiceName,
    /// Used tokens.
    pub used: Tokens,
}

/// The open loans of one lender.
#[derive(Debug, Default)]
pub struct LoanTable {
    holds: BTreeMap<LoanId, GrantHold>,
    ended: VecDeque<LoanId>,
}

impl LoanTable {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Tells whether a loan may still be granted: it is neither open nor ended.
    ///
    /// Guards against an order that is delivered after its end: the entry gave it up without an
    /// answer, and nobody would ever return it.
    pub fn can_open(&self, loan: &LoanId) -> bool {
        !self.holds.contains_key(loan) && !self.ended.contains(loan)
    }

    /// Tells whether a loan is open; a repeated order for it is granted already.
    pub fn is_open(&self, loan: &LoanId) -> bool {
        self.holds.contains_key(loan)
    }

    /// Opens a loan.
    pub fn open(&mut self, loan: &LoanId, hold: GrantHold) {
        self.holds.insert(Arc::clone(loan), hold);
    }

    /// Ends a loan and returns its hold; none if it is not open, as with a repeated end.
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
        if self.ended.len() > ENDED_LIMIT {
            self.ended.pop_front();
        }
        hold
    }

    /// Returns the number of open loans.
    pub fn len(&self) -> usize {
        self.holds.len()
    }

    /// Tells whether no loan is open.
    pub fn is_empty(&self) -> bool {
        self.holds.is_empty()
    }
}

/// Ranks lenders for a shard by rendezvous hashing: all entries of a region prefer the same one, so that
/// it alone changes the shard, and a lender that is lost moves only its own shards.
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
