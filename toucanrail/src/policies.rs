//! Policies for the size of grants: pure functions of what an entry knows about one account.
//!
//! Headroom is what an entry has granted beyond its current need.

#![deny(clippy::arithmetic_side_effects)]

use std::time::Duration;

use crate::ids::Tokens;

/// Burn rate, in tokens per second, below which an account counts as idle and keeps no headroom.
const IDLE_BURN_RATE: f64 = 0.01;

/// Fraction of the target headroom below which [`GrantPolicy::OutageTolerant`] tops a grant up. It
/// can be low: a request that finds the grant short waits for one call, and every write fills up
/// all grants of its shard.
const TOP_UP_FRACTION: f64 = 0.1;

/// Time for which the headroom of an account in use lasts at least, however little is unspent and
/// however much was lost with dead holders, up to the maximum of a single holder. If the grant covers
/// less than one request, every request costs a call.
const MIN_HORIZON: Duration = Duration::from_secs(1);

/// Maximum headroom of [`GrantPolicy::OutageTolerant`] as a fraction of the unspent tokens. Early
/// in a budget it covers an outage of some seconds; near its end, a holder that dies must not take
/// the tokens that callers still need.
const MAX_UNSPENT_FRACTION: f64 = 0.1;

/// The state of one account at one entry that a policy decides on.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct GrantView {
    /// Smoothed usage in tokens per second.
    pub burn_rate: f64,
    /// Tokens held by requests in flight or waiting to be settled.
    pub in_use: Tokens,
    /// Tokens granted to this entry and not settled yet.
    pub granted: Tokens,
    /// Tokens that waiting requests are missing.
    pub shortage: Tokens,
    /// Tokens not granted to any holder.
    pub unallocated: Tokens,
    /// Total prepaid tokens.
    pub prepaid: Tokens,
    /// Number of holders in the shard, this entry included.
    pub holders: u64,
    /// Tokens granted to other holders, including dead ones.
    pub granted_to_others: Tokens,
    /// Tokens not billed, written off or frozen.
    pub unspent: Tokens,
    /// Tokens frozen: lost with dead holders, or used by them without proof.
    pub frozen: Tokens,
}

/// How much headroom an entry keeps.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum GrantPolicy {
    /// An equal share of the prepaid total for each holder, granted at first use; a baseline to
    /// compare with.
    EqualSplit,
    /// A fixed headroom.
    FixedAmount {
        /// The headroom.
        headroom: Tokens,
    },
    /// The expected usage of a time horizon, shrinking as the budget nears exhaustion.
    BurnRate {
        /// How long the grant should last.
        horizon: Duration,
        /// Minimum headroom of an account in use.
        floor: Tokens,
        /// Whether unused grants are recalled from other entries before a request is refused.
        recall: bool,
    },
    /// The expected usage of a time horizon, up to fractions of the prepaid total and of the
    /// unspent tokens. For a store that is unavailable for seconds at a time, and holders whose
    /// grants are lost with their process.
    OutageTolerant {
        /// How long the grant should last.
        horizon: Duration,
        /// Minimum headroom of an account in use, at most `max_fraction` of the prepaid total.
        floor: Tokens,
        /// Maximum headroom of all holders together, including dead ones, as a fraction of the
        /// prepaid total. Tokens granted to dead holders or frozen reduce the headroom of the live
        /// ones, so that the losses of a whole day stay near this fraction.
        max_fraction: f64,
    },
}

impl Default for GrantPolicy {
    fn default() -> Self {
        Self::BurnRate { horizon: Duration::from_secs(60), floor: 2_000, recall: true }
    }
}

impl GrantPolicy {
    /// Parses a policy from its form in the settings: `split`, `fixed:TOKENS`, `burn:SECONDS` or
    /// `recall:SECONDS`.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::policies::GrantPolicy;
    /// assert_eq!(GrantPolicy::parse("fixed:500"), Some(GrantPolicy::FixedAmount { headroom: 500 }));
    /// assert_eq!(GrantPolicy::parse("guess"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let (name, number) = text.split_once(':').unwrap_or((text, "0"));
        let number = number.parse().ok()?;
        let horizon = Duration::from_secs(number);
        match name {
            "split" => Some(Self::EqualSplit),
            "fixed" => Some(Self::FixedAmount { headroom: number }),
            "burn" => Some(Self::BurnRate { horizon, floor: 2_000, recall: false }),
            "recall" => Some(Self::BurnRate { horizon, floor: 2_000, recall: true }),
            _ => None,
        }
    }

    /// Returns whether unused grants are recalled from other entries before a request is refused.
    pub fn recalls(&self) -> bool {
        matches!(self, Self::BurnRate { recall: true, .. })
    }

    /// Returns the grant that the entry should have.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::policies::{GrantPolicy, GrantView};
    /// let view = GrantView { in_use: 10, unallocated: 1_000, ..GrantView::default() };
    /// assert_eq!(GrantPolicy::FixedAmount { headroom: 100 }.target(&view), 110);
    /// ```
    pub fn target(&self, view: &GrantView) -> Tokens {
        let needed = view.in_use.saturating_add(view.shortage);
        let limit = view.granted.saturating_add(view.unallocated);
        let wanted = match *self {
            Self::EqualSplit => needed.max(share_among(view.prepaid, view.holders)),
            Self::FixedAmount { headroom } => needed.saturating_add(headroom),
            Self::BurnRate { horizon, floor, .. } => {
                needed.saturating_add(Self::shared_headroom(view, horizon, floor))
            }
            Self::OutageTolerant { horizon, floor, max_fraction } => {
                needed.saturating_add(Self::outage_headroom(view, horizon, floor, max_fraction))
            }
        };
        wanted.min(limit)
    }

    /// Returns the headroom of [`Self::OutageTolerant`]. It is lost if the holder dies, so idle
    /// accounts keep none.
    fn outage_headroom(
        view: &GrantView,
        horizon: Duration,
        floor: Tokens,
        max_fraction: f64,
    ) -> Tokens {
        if view.shortage == 0 && view.burn_rate < IDLE_BURN_RATE {
            return 0;
        }
        let burn_for = |time: Duration| (view.burn_rate * time.as_secs_f64()) as Tokens;
        let max_part = (view.prepaid as f64 * max_fraction) as Tokens;
        let max_headroom =
            max_part.saturating_sub(view.granted_to_others).saturating_sub(view.frozen);
        let share = (view.unspent as f64 * MAX_UNSPENT_FRACTION) as Tokens;
        let headroom = burn_for(horizon).min(max_headroom).min(share);
        let min_headroom = burn_for(MIN_HORIZON.min(horizon)).max(floor);
        headroom.max(min_headroom.min(max_part))
    }

    /// Returns the headroom of [`Self::BurnRate`]. It is limited to half of the entry's share of
    /// what is left, because near exhaustion a long horizon would strand the last tokens at one
    /// entry while another refuses requests.
    fn shared_headroom(view: &GrantView, horizon: Duration, floor: Tokens) -> Tokens {
        if view.shortage == 0 && view.burn_rate < IDLE_BURN_RATE {
            return 0;
        }
        let expected = (view.burn_rate * horizon.as_secs_f64()) as Tokens;
        let unused = view.granted.saturating_sub(view.in_use);
        let left = view.unallocated.saturating_add(unused);
        let share = share_among(left, view.holders.max(1).saturating_mul(2));
        expected.max(floor).min(share)
    }

    /// Returns how the grant should change; [`GrantChange::Keep`] if it is close enough to its
    /// target.
    ///
    /// The grant is left alone while its headroom is between half (for [`Self::OutageTolerant`], a
    /// tenth) of the target and twice the target, so that a steady load does not cause a write
    /// every tick. [`Self::EqualSplit`] and [`Self::FixedAmount`] never return tokens.
    pub fn adjust(&self, view: &GrantView) -> GrantChange {
        let is_tolerant = matches!(self, Self::OutageTolerant { .. });
        if view.granted == 0 && view.shortage == 0 {
            return GrantChange::Keep;
        }
        let target = self.target(view);
        let needed = view.in_use.saturating_add(view.shortage);
        let headroom = target.saturating_sub(needed);
        let low =
            if is_tolerant { (headroom as f64 * TOP_UP_FRACTION) as Tokens } else { headroom / 2 };
        if view.granted < needed.saturating_add(low) {
            return GrantChange::Ask(target.saturating_sub(view.granted));
        }
        let returns = is_tolerant || matches!(self, Self::BurnRate { .. });
        if returns && view.granted > needed.saturating_add(headroom.saturating_mul(2)) {
            return GrantChange::Return(view.granted.saturating_sub(target));
        }
        GrantChange::Keep
    }
}

impl GrantPolicy {
    /// Returns how the grant should change if the shard is written anyway: with
    /// [`Self::OutageTolerant`] it is then filled up to its target, which costs no extra call.
    pub fn adjust_on_write(&self, view: &GrantView) -> GrantChange {
        let change = self.adjust(view);
        let is_tolerant = matches!(self, Self::OutageTolerant { .. });
        let missing = self.target(view).saturating_sub(view.granted);
        if is_tolerant && change == GrantChange::Keep && view.granted > 0 && missing > 0 {
            return GrantChange::Ask(missing);
        }
        change
    }
}

/// Returns one share of an amount; all of it if there are no shares.
fn share_among(amount: Tokens, shares: u64) -> Tokens {
    amount.checked_div(shares).unwrap_or(amount)
}

/// While the store does not answer, a request must leave this multiple of its amount available for
/// each rank below the first.
const RANK_WEIGHT: Tokens = 4;

/// Returns whether a request may use a grant that the store currently cannot top up.
///
/// An outage may last for some seconds, and a grant for only one. What is left of it then goes to
/// requests of the first rank and to small ones, which are the majority: one long prompt takes as
/// much as ten of them.
///
/// # Examples
/// ```
/// use toucanrail::policies;
/// assert!(policies::may_spend_in_outage(10_000, 9_000, 0));
/// assert!(!policies::may_spend_in_outage(10_000, 9_000, 1));
/// ```
pub fn may_spend_in_outage(available: Tokens, amount: Tokens, rank: u8) -> bool {
    let weight = RANK_WEIGHT.saturating_mul(Tokens::from(rank)).saturating_add(1);
    amount.saturating_mul(weight) <= available
}

/// A change of a grant's size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantChange {
    /// Request this many more tokens.
    Ask(Tokens),
    /// Return this many tokens.
    Return(Tokens),
    /// No change.
    Keep,
}
