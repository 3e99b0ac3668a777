//! State of one customer's account at one entry: the grant, the holds on it, unsettled bills and
//! waiting requests.

#![deny(clippy::arithmetic_side_effects)]

use std::time::Duration;

use serde::Serialize;

use crate::batches::BatchRoom;
use crate::budgets::BillRow;
use crate::ids::Tokens;
use crate::sync_plans::GrantDemand;
use crate::token_counts;

/// Time constant of the exponentially smoothed burn rate.
const BURN_TIME_CONSTANT: Duration = Duration::from_secs(10);

/// A customer's account at this entry.
#[derive(Debug, Clone, Default, Serialize)]
pub struct GrantAccount {
    /// Tokens granted to this entry, as last confirmed by the shard.
    pub granted: Tokens,
    /// Tokens held by requests in flight.
    pub held: Tokens,
    /// Bills that no sync has picked up yet.
    pub unsettled: Vec<BillRow>,
    /// Total of the bills in the sync that is under way.
    pub settling: Tokens,
    /// Tokens set aside to be returned to the shard.
    pub returning: Tokens,
    /// Missing tokens of each waiting request.
    pub waiting: Vec<Tokens>,
    /// Burn rate: smoothed usage in tokens per second.
    pub burn: f64,
    /// Prepaid total from the configuration; 0 if only operators set it, in the shard.
    pub prepaid: Tokens,
    /// Tokens held since the last update of the burn rate, less the unused part of ended holds.
    used: f64,
    /// Sum of the weights in `burn_sum`; dividing by it corrects the bias of the initial value 0.
    burn_weight: f64,
    /// Exponential moving average of the usage per second, before the correction.
    burn_sum: f64,
    /// Whether a request has started to wait since the last sync plan was built.
    pub unseen: bool,
}

impl GrantAccount {
    /// Creates an account without a grant, with the prepaid total from the configuration.
    ///
    /// # Examples
    /// ```
    /// let account = toucanrail::accounts::GrantAccount::with_total(1_000);
    /// assert_eq!(account.available(), 0);
    /// ```
    pub fn with_total(prepaid: Tokens) -> Self {
        Self { prepaid, ..Self::default() }
    }

    /// Returns the total of the bills that no sync has picked up yet.
    pub fn unsettled_total(&self) -> Tokens {
        token_counts::sum(self.unsettled.iter().map(BillRow::total))
    }

    /// Returns the total that waiting requests are missing.
    pub fn shortage(&self) -> Tokens {
        token_counts::sum(self.waiting.iter().copied())
    }

    /// Returns the part of the grant that new requests may hold.
    pub fn available(&self) -> Tokens {
        let taken =
            token_counts::sum([self.held, self.unsettled_total(), self.settling, self.returning]);
        self.granted.saturating_sub(taken)
    }

    /// Starts a hold. The amount must be available.
    pub fn begin_hold(&mut self, amount: Tokens) {
        self.held = self.held.saturating_add(amount);
        self.used += amount as f64;
    }

    /// Ends a hold: its bill, of at most the hold, is queued for the next sync, and the rest is
    /// available at once.
    pub fn end_hold(&mut self, amount: Tokens, bill: Option<BillRow>) {
        let bill = bill.map(|row| row.limit_to(amount));
        self.held = self.held.saturating_sub(amount);
        self.used -= amount.saturating_sub(bill.as_ref().map_or(0, BillRow::total)) as f64;
        self.unsettled.extend(bill);
    }

    /// Sets tokens aside to be returned to the shard.
    pub fn set_aside(&mut self, amount: Tokens) {
        self.returning = self.returning.saturating_add(amount);
    }

    /// Records that a request waits until `amount` more is granted.
    pub fn begin_wait(&mut self, amount: Tokens) {
        self.waiting.push(amount);
        self.unseen = true;
    }

    /// Records that a request no longer waits for `amount`.
    pub fn end_wait(&mut self, amount: Tokens) {
        let position = self.waiting.iter().position(|wanted| *wanted == amount);
        position.map(|index| self.waiting.swap_remove(index));
    }

    /// Updates the burn rate with the usage of the last `elapsed` time; called once per tick.
    pub fn update_burn_rate(&mut self, elapsed: Duration) {
        // Idle time before the account's first use must not lower its burn rate.
        if self.used == 0.0 && self.burn_sum == 0.0 {
            return;
        }
        let seconds = elapsed.as_secs_f64().max(0.001);
        let weight = 1.0 - (-seconds / BURN_TIME_CONSTANT.as_secs_f64()).exp();
        let rate = self.used / seconds;
        self.burn_sum += (rate - self.burn_sum) * weight;
        self.burn_weight += (1.0 - self.burn_weight) * weight;
        self.burn = (self.burn_sum / self.burn_weight).max(0.0);
        self.used = 0.0;
    }

    /// Moves the bills that fit into a sync.
    pub fn take_bills(&mut self, room: &mut BatchRoom) -> Vec<BillRow> {
        let taken = room.take_rows(&mut self.unsettled);
        self.settling = token_counts::sum(taken.iter().map(BillRow::total));
        taken
    }

    /// Returns what this account needs from a sync, and marks all waiting requests as seen.
    pub fn demand(&mut self) -> GrantDemand {
        self.unseen = false;
        GrantDemand {
            burn_rate: self.burn,
            in_use: self.held.saturating_add(self.unsettled_total()),
            shortage: self.shortage(),
            smallest_wait: self.waiting.iter().min().copied().unwrap_or(0),
            returning: self.returning,
            prepaid: self.prepaid,
        }
    }

    /// Applies the grant confirmed by a sync, of which `returned` was given back.
    pub fn confirm(&mut self, granted: Tokens, returned: Tokens) {
        self.granted = granted;
        self.settling = 0;
        self.returning = self.returning.saturating_sub(returned);
    }

    /// Returns whether no request holds tokens or waits for them, and no bill is queued or in a sync.
    pub fn is_unused(&self) -> bool {
        self.held == 0 && self.waiting.is_empty() && self.is_settled()
    }

    /// Returns whether no bill is queued or in a sync.
    pub fn is_settled(&self) -> bool {
        self.unsettled.is_empty() && self.settling == 0
    }
}
