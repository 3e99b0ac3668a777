//! What a lender keeps of a customer's balance for callers whose streams break off.
//!
//! A stream that breaks off because its entry dies has used its budget, and whoever takes it up needs a
//! budget once more. Near the end of a balance new requests would take what is left, as they arrive
//! first and more often. So no new request is granted what the streams that run may need to go on.
//! Nothing is kept for a stream that has ended, so that all of the balance can be used.

#![deny(clippy::arithmetic_side_effects)]

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::ids::{CustomerId, Tokens};
use crate::loans::LoanId;
use crate::token_counts;

/// Time in which the caller of a stream that broke off is expected to return.
const RETURN_TIME: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct BrokenStream {
    amount: Tokens,
    until: Duration,
}

/// The reserves of one lender, by customer.
#[derive(Debug, Default)]
pub struct ReserveTable {
    running: BTreeMap<LoanId, (CustomerId, Tokens)>,
    running_totals: BTreeMap<CustomerId, Tokens>,
    broken: BTreeMap<CustomerId, VecDeque<BrokenStream>>,
}

impl ReserveTable {
    /// Records a loan for a stream that its caller may take up.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::resume_reserves::ReserveTable;
    /// let (mut table, now) = (ReserveTable::default(), Duration::ZERO);
    /// table.begin(&"front-1.a.0".into(), &"acme".into(), 50);
    /// table.begin(&"front-1.a.1".into(), &"acme".into(), 70);
    /// table.end("front-1.a.0");
    /// table.break_off("front-1.a.1", now);
    /// assert_eq!(table.reserved("acme", now), 70);
    /// table.take_up("acme", 70, now);
    /// assert_eq!(table.reserved("acme", now), 0);
    /// ```
    pub fn begin(&mut self, loan: &LoanId, customer: &CustomerId, amount: Tokens) {
        if self.running.contains_key(loan) {
            return;
        }
        self.running.insert(Arc::clone(loan), (Arc::clone(customer), amount));
        let total = self.running_totals.entry(Arc::clone(customer)).or_default();
        *total = total.saturating_add(amount);
    }

    /// Records that a loan has ended.
    pub fn end(&mut self, loan: &str) {
        self.remove(loan);
    }

    /// Records that the borrower of a loan has died.
    pub fn break_off(&mut self, loan: &str, now: Duration) {
        if let Some((customer, amount)) = self.remove(loan) {
            let until = now.saturating_add(RETURN_TIME);
            let streams = self.broken.entry(customer).or_default();
            streams.push_back(BrokenStream { amount, until });
        }
    }

    /// Records that a stream of a customer is taken up, for which this amount has been granted.
    pub fn take_up(&mut self, customer: &str, amount: Tokens, now: Duration) {
        let mut left = amount;
        while let Some(stream) = self.first_broken(customer, now).filter(|_| left > 0) {
            let taken = left.min(stream.amount);
            stream.amount = stream.amount.saturating_sub(taken);
            left = left.saturating_sub(taken);
        }
    }

    /// Returns what new requests of a customer must leave.
    pub fn reserved(&mut self, customer: &str, now: Duration) -> Tokens {
        self.first_broken(customer, now);
        let broken = self.broken.get(customer).into_iter().flatten();
        let running = self.running_totals.get(customer).copied().unwrap_or_default();
        token_counts::sum(broken.map(|stream| stream.amount).chain([running]))
    }

    /// Returns the oldest stream whose caller may still return.
    fn first_broken(&mut self, customer: &str, now: Duration) -> Option<&mut BrokenStream> {
        let streams = self.broken.get_mut(customer)?;
        let is_over = |stream: &BrokenStream| stream.until <= now || stream.amount == 0;
        while streams.front().is_some_and(is_over) {
            streams.pop_front();
        }
        streams.front_mut()
    }

    fn remove(&mut self, loan: &str) -> Option<(CustomerId, Tokens)> {
        let (customer, amount) = self.running.remove(loan)?;
        if let Some(total) = self.running_totals.get_mut(&customer) {
            *total = total.saturating_sub(amount);
        }
        Some((customer, amount))
    }
}
