//! One customer's account at one entry: what is granted, held, used and wanted.

use std::time::Duration;

use serde::Serialize;

use crate::budgets::BillRow;
use crate::ids::Tokens;
use crate::syncs::GrantDemand;

/// Time constant of the smoothed burn rate.
const BURN_WINDOW: Duration = Duration::from_secs(10);

/// One account at this entry.
#[derive(Debug, Clone, Default, Serialize)]
pub struct GrantAccount {
    /// Granted, as the shard confirmed it.
    pub granted: Tokens,
    /// Held by requests in flight.
    pub held: Tokens,
    /// Bills that no sync carries yet.
    pub unsettled: Vec<BillRow>,
    /// The sum of the bills that a running sync carries.
    pub settling: Tokens,
    /// Reserved to be given back.
    pub returning: Tokens,
    /// What each waiting request wants.
    pub waiting: Vec<Tokens>,
    /// Usage a second, smoothed.
    pub burn: f64,
    /// Total that the configuration states; 0 where only operators state it, in the shard.
    pub prepaid: Tokens,
    /// Held since the last tick, less what came back.
    used: f64,
    /// Weight of the ticks in `burn`; corrects it for the time before the first.
    burn_weight: f64,
    burn_sum: f64,
    /// Whether a request began to wait that no plan has seen.
    pub unseen: bool,
}

impl GrantAccount {
    /// Makes an account without grants, of a total that the configuration states.
    ///
    /// # Examples
    /// ```
    /// let account = toucanrail::accounts::GrantAccount::with_total(1_000);
    /// assert_eq!(account.available(), 0);
    /// ```
    pub fn with_total(prepaid: Tokens) -> Self {
        Self { prepaid, ..Self::default() }
    }

    /// Returns the sum of the bills that no sync carries yet.
    pub fn unsettled_total(&self) -> Tokens {
        self.unsettled.iter().map(BillRow::total).sum()
    }

    /// Returns what requests wait for.
    pub fn shortage(&self) -> Tokens {
        self.waiting.iter().sum()
    }

    /// Returns what a new request may hold.
    pub fn available(&self) -> Tokens {
        let taken = self.held + self.unsettled_total() + self.settling + self.returning;
        self.granted.saturating_sub(taken)
    }

    /// Begins a hold, which is available.
    pub fn begin_hold(&mut self, amount: Tokens) {
        self.held += amount;
        self.used += amount as f64;
    }

    /// Ends a hold: its bill waits for the next sync, the rest is free at once.
    pub fn end_hold(&mut self, amount: Tokens, bill: Option<BillRow>) {
        self.held = self.held.saturating_sub(amount);
        self.used -= (amount - bill.as_ref().map_or(0, BillRow::total)) as f64;
        self.unsettled.extend(bill);
    }

    /// Notes that a request waits for so much more.
    pub fn begin_wait(&mut self, amount: Tokens) {
        self.waiting.push(amount);
        self.unseen = true;
    }

    /// Notes that a request no longer waits.
    pub fn end_wait(&mut self, amount: Tokens) {
        let found = self.waiting.iter().position(|wanted| *wanted == amount);
        found.map(|at| self.waiting.swap_remove(at));
    }

    /// Updates the burn rate; once a tick.
    pub fn update_burn_rate(&mut self, elapsed: Duration) {
        // The time before an account's first use says nothing about its burn.
        if self.used == 0.0 && self.burn_sum == 0.0 {
            return;
        }
        let seconds = elapsed.as_secs_f64().max(0.001);
        let weight = 1.0 - (-seconds / BURN_WINDOW.as_secs_f64()).exp();
        let rate = self.used / seconds;
        self.burn_sum += (rate - self.burn_sum) * weight;
        self.burn_weight += (1.0 - self.burn_weight) * weight;
        self.burn = (self.burn_sum / self.burn_weight).max(0.0);
        self.used = 0.0;
    }

    /// Takes up to `limit` bills into a sync.
    pub fn take_bills(&mut self, limit: usize) -> Vec<BillRow> {
        let room = limit.min(self.unsettled.len());
        let taken: Vec<BillRow> = self.unsettled.drain(..room).collect();
        self.settling = taken.iter().map(BillRow::total).sum();
        taken
    }

    /// Returns what a sync asks for; all that waits now is seen by it.
    pub fn demand(&mut self) -> GrantDemand {
        self.unseen = false;
        GrantDemand {
            burn: self.burn,
            busy: self.held + self.unsettled_total(),
            shortage: self.shortage(),
            least: self.waiting.iter().min().copied().unwrap_or(0),
            returning: self.returning,
            prepaid: self.prepaid,
        }
    }

    /// Takes what a sync has confirmed.
    pub fn confirm(&mut self, granted: Tokens, returned: Tokens) {
        self.granted = granted;
        self.settling = 0;
        self.returning -= returned.min(self.returning);
    }

    /// Tells whether no bill waits or is on its way.
    pub fn is_settled(&self) -> bool {
        self.unsettled.is_empty() && self.settling == 0
    }
}
