//! Policies for the size of a grant: pure functions of what an entry knows of one account.

use std::time::Duration;

use crate::ids::Tokens;

/// Usage a second under which an account counts as idle and keeps nothing ahead.
const IDLE_BURN: f64 = 0.01;

/// Part of the wanted amount ahead under which a grant that rides through outages is topped up. A request
/// that finds it short waits for one call, and every write fills all grants of its shard.
const TOP_UP_PART: f64 = 0.1;
/// Burn that a grant in use covers at least, whatever is left or stands granted to the dead: where it covers
/// less than a request, each request costs a call.
const LEAST_HORIZON: Duration = Duration::from_secs(1);

/// Part of what is unspent that a grant that rides through outages may be ahead. Early in a budget it
/// bears an outage of some seconds; near its end a dead holder must not take what callers still need.
const UNSPENT_PART: f64 = 0.1;

/// What a policy sees of one account at one entry.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct GrantView {
    /// Usage a second, smoothed.
    pub burn: f64,
    /// Held by requests in flight, or waiting to be settled.
    pub busy: Tokens,
    /// Granted and not spent.
    pub granted: Tokens,
    /// Wanted by a request that waits right now.
    pub shortage: Tokens,
    /// Not granted to anyone.
    pub unallocated: Tokens,
    /// All that was prepaid.
    pub prepaid: Tokens,
    /// Entries that hold a grant of this account, this one included.
    pub holders: u64,
    /// Granted to other holders, dead ones among them.
    pub others: Tokens,
    /// Not billed to anyone yet.
    pub unspent: Tokens,
}

/// How much an entry keeps granted ahead of its need.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum GrantPolicy {
    /// An equal split of the prepaid total, taken at first use: the naive way.
    EqualSplit,
    /// A fixed amount ahead.
    FixedAmount {
        /// The amount.
        ahead: Tokens,
    },
    /// What the entry burns in a horizon, shrinking near exhaustion.
    BurnRate {
        /// How long the grant should last.
        horizon: Duration,
        /// The least amount ahead.
        floor: Tokens,
        /// Whether unused grants are recalled from other entries before a refusal.
        recall: bool,
    },
    /// What the entry burns in a horizon, up to a part of the prepaid total: for a store that goes
    /// away for seconds, and holders whose grants are lost with their process.
    OutageTolerant {
        /// How long the grant should last.
        horizon: Duration,
        /// The least amount ahead of an account in use.
        floor: Tokens,
        /// Part of the prepaid total that may be granted ahead to all holders together, dead ones
        /// counted: what died with a holder is taken off what the living keep ahead, so that the
        /// losses of a whole day stay near this part.
        max_fraction: f64,
    },
}

impl Default for GrantPolicy {
    fn default() -> Self {
        Self::BurnRate { horizon: Duration::from_secs(60), floor: 2_000, recall: true }
    }
}

impl GrantPolicy {
    /// Reads a policy as settings write it: `split`, `fixed:TOKENS`, `burn:SECONDS` or
    /// `recall:SECONDS`.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::policies::GrantPolicy;
    /// assert_eq!(GrantPolicy::parse("fixed:500"), Some(GrantPolicy::FixedAmount { ahead: 500 }));
    /// assert_eq!(GrantPolicy::parse("guess"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let (name, figure) = text.split_once(':').unwrap_or((text, "0"));
        let figure = figure.parse().ok()?;
        let horizon = Duration::from_secs(figure);
        match name {
            "split" => Some(Self::EqualSplit),
            "fixed" => Some(Self::FixedAmount { ahead: figure }),
            "burn" => Some(Self::BurnRate { horizon, floor: 2_000, recall: false }),
            "recall" => Some(Self::BurnRate { horizon, floor: 2_000, recall: true }),
            _ => None,
        }
    }

    /// Tells whether other entries are asked for unused grants before a refusal.
    pub fn recalls(&self) -> bool {
        matches!(self, Self::BurnRate { recall: true, .. })
    }

    /// Returns the total that the entry should have granted.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::policies::{GrantPolicy, GrantView};
    /// let view = GrantView { busy: 10, unallocated: 1_000, ..GrantView::default() };
    /// assert_eq!(GrantPolicy::FixedAmount { ahead: 100 }.target(&view), 110);
    /// ```
    pub fn target(&self, view: &GrantView) -> Tokens {
        let needed = view.busy + view.shortage;
        let reach = view.granted + view.unallocated;
        let wanted = match *self {
            Self::EqualSplit => needed.max(view.prepaid / view.holders.max(1)),
            Self::FixedAmount { ahead } => needed + ahead,
            Self::BurnRate { horizon, floor, .. } => needed + Self::ahead(view, horizon, floor),
            Self::OutageTolerant { horizon, floor, max_fraction } => {
                needed + Self::ahead_of_loss(view, horizon, floor, max_fraction)
            }
        };
        wanted.min(reach)
    }

    /// A holder that dies takes what is ahead with it, and an account that nobody uses needs none.
    fn ahead_of_loss(
        view: &GrantView,
        horizon: Duration,
        floor: Tokens,
        max_fraction: f64,
    ) -> Tokens {
        if view.shortage == 0 && view.burn < IDLE_BURN {
            return 0;
        }
        let burn_for = |time: Duration| (view.burn * time.as_secs_f64()) as Tokens;
        let bearable = ((view.prepaid as f64 * max_fraction) as Tokens).saturating_sub(view.others);
        let share = (view.unspent as f64 * UNSPENT_PART) as Tokens;
        let ahead = burn_for(horizon).min(bearable).min(share);
        ahead.max(burn_for(LEAST_HORIZON.min(horizon))).max(floor)
    }

    /// Near exhaustion a long horizon would strand the last tokens at one entry while another
    /// refuses, so that no entry keeps ahead more than its share of what is left.
    fn ahead(view: &GrantView, horizon: Duration, floor: Tokens) -> Tokens {
        if view.shortage == 0 && view.burn < IDLE_BURN {
            return 0;
        }
        let steady = (view.burn * horizon.as_secs_f64()) as Tokens;
        let idle = view.granted.saturating_sub(view.busy);
        let share = (view.unallocated + idle) / (2 * view.holders.max(1));
        steady.max(floor).min(share)
    }

    /// Returns what to ask for or give back, or none if the grant is near enough to its target.
    ///
    /// The band between half and twice the target keeps a steady load from writing every tick.
    pub fn adjust(&self, view: &GrantView) -> GrantChange {
        let rides = matches!(self, Self::OutageTolerant { .. });
        if view.granted == 0 && view.shortage == 0 {
            return GrantChange::Keep;
        }
        let target = self.target(view);
        let needed = view.busy + view.shortage;
        let ahead = target.saturating_sub(needed);
        let low = if rides { (ahead as f64 * TOP_UP_PART) as Tokens } else { ahead / 2 };
        if view.granted < needed + low {
            return GrantChange::Ask(target.saturating_sub(view.granted));
        }
        let returns = rides || matches!(self, Self::BurnRate { .. });
        if returns && view.granted > needed + ahead.saturating_mul(2) {
            return GrantChange::Return(view.granted - target);
        }
        GrantChange::Keep
    }
}

impl GrantPolicy {
    /// Returns the change that goes along with a write that is made anyway: a grant that rides
    /// through outages is then always filled up, at no further call.
    pub fn adjust_on_write(&self, view: &GrantView) -> GrantChange {
        let change = self.adjust(view);
        let rides = matches!(self, Self::OutageTolerant { .. });
        let missing = self.target(view).saturating_sub(view.granted);
        if rides && change == GrantChange::Keep && view.granted > 0 && missing > 0 {
            return GrantChange::Ask(missing);
        }
        change
    }
}

/// Multiple of its amount that a request must leave available for each rank behind the first, while
/// the store is silent.
const RANK_WEIGHT: Tokens = 4;

/// Tells whether a request may take its amount out of a grant that the store cannot fill up now.
///
/// The load it answers: an outage of some seconds and grants for one. What is left goes to requests of
/// the first rank and to small ones, which are many; one long prompt takes as much as ten of them.
///
/// # Examples
/// ```
/// use toucanrail::policies;
/// assert!(policies::may_spend_in_outage(10_000, 9_000, 0));
/// assert!(!policies::may_spend_in_outage(10_000, 9_000, 1));
/// ```
pub fn may_spend_in_outage(available: Tokens, amount: Tokens, rank: u8) -> bool {
    amount.saturating_mul(1 + RANK_WEIGHT * Tokens::from(rank)) <= available
}

/// A change of a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantChange {
    /// More of it.
    Ask(Tokens),
    /// Less of it.
    Return(Tokens),
    /// None.
    Keep,
}
