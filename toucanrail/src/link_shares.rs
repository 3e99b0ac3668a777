//! Share of an entry's own network link that callers' requests may use.
//!
//! This is for a load of one caller that saturates the link of a small entry. Loans, boards and
//! configuration would be queued behind the bodies of its requests, and the entry would take
//! lenders and servers for slow. Part of the link is therefore reserved for the entry's own calls,
//! and requests that exceed the rest are refused before their bodies are read.

use std::time::Duration;

/// Load, as a fraction of the capacity, from which requests wait for their share and delays are
/// attributed to the link. It is below the load at which callers' requests use all of their share.
const LOADED: f64 = 0.7;
/// Multiple of the usual timeouts while the link is loaded. Its queue delays replies by up to a second.
const LOADED_TIMEOUT_FACTOR: u32 = 4;
/// Time in which the bucket fills, which bounds the bursts that are admitted at once. It is below
/// the latency targets of callers.
const DEPTH: Duration = Duration::from_millis(250);
/// Fraction of the bucket that each rank after the first leaves to the ranks before it.
const RANK_FRACTION: f64 = 0.1;
/// The last rank that leaves more than the rank before it, and the rank of unknown routes.
pub const MAX_RANK: u8 = 3;
/// Fraction of the bucket that a request leaves to smaller ones, for a request much larger than the
/// mean. One long prompt takes the share of five short requests.
const SIZE_FRACTION: f64 = 0.5;
/// Weight of a new request in the mean cost.
const COST_WEIGHT: f64 = 0.02;
/// Maximum wait for a share, and the part of the latency target that may be spent on it.
const MAX_WAIT: Duration = Duration::from_millis(300);
const TARGET_PARTS: u32 = 4;
/// Time over which the shortest accepted wait is determined.
const BOUND_WINDOW: Duration = Duration::from_secs(1);
/// Size of a response, in bytes, of a route that has had none yet.
pub const ASSUMED_RESPONSE: f64 = 3_000.0;

/// Returns whether a link with this load, as a fraction of its capacity, delays what crosses it.
/// Late replies are then no evidence about those who sent them.
///
/// # Examples
/// ```
/// use toucanrail::link_shares;
/// assert!(link_shares::is_loaded(0.8) && !link_shares::is_loaded(0.5));
/// ```
pub fn is_loaded(load: f64) -> bool {
    load >= LOADED
}

/// Returns the maximum timeout of a call over the entry's link; `usual` is the one for an idle link.
/// A call that is given up on a loaded link is followed by others, which load it further.
///
/// # Examples
/// ```
/// use std::time::Duration;
/// use toucanrail::link_shares;
/// let usual = Duration::from_millis(250);
/// assert_eq!(link_shares::call_timeout(usual, 0.3), usual);
/// assert!(link_shares::call_timeout(usual, 0.9) > usual);
/// ```
pub fn call_timeout(usual: Duration, load: f64) -> Duration {
    if is_loaded(load) { usual * LOADED_TIMEOUT_FACTOR } else { usual }
}

/// A request that asks for a share of the link.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareQuery {
    /// Bytes of its body and of the expected response. Each crosses the link in both directions.
    pub cost: f64,
    /// Rank; 0 has the highest priority.
    pub rank: u8,
    /// Time within which the response should begin.
    pub latency_target: Duration,
}

impl ShareQuery {
    fn max_wait(&self) -> Duration {
        (self.latency_target / TARGET_PARTS).min(MAX_WAIT)
    }
}

/// Decision on a request whose head has been read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareDecision {
    /// Its body is read at once.
    Admit,
    /// Its body is read after this time. Its share is taken already.
    Wait(Duration),
    /// It is refused; its share would be available after this time.
    Refuse(Duration),
}

/// Token bucket of the bytes that callers' requests may send over the link.
///
/// A request waits until the bytes of those before it are paid for. One that is larger than the mean
/// leaves part of the bucket to smaller ones, and is refused first. All requests accept the same wait, the
/// shortest that one of the last second accepts: those that accept more would otherwise keep the
/// bucket so empty that the others are always refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkShare {
    /// Bytes a second; zero if requests are not limited.
    rate: f64,
    /// Bytes available; negative if requests wait.
    available: f64,
    filled_at: Duration,
    /// Smoothed cost of a request in bytes.
    mean_cost: f64,
    /// Shortest accepted wait in this window and in the one before it.
    shortest: (Duration, Duration),
    window_began: Duration,
}

impl LinkShare {
    /// Creates the share of a link of `capacity` bytes a second, of which the fraction `reserve` is
    /// kept for the entry's own calls. Without a capacity or a reserve, requests are not limited.
    pub fn new(capacity: Option<f64>, reserve: f64) -> Self {
        let rate = match capacity {
            Some(capacity) if reserve > 0.0 => capacity * (1.0 - reserve),
            _ => 0.0,
        };
        let available = rate * DEPTH.as_secs_f64();
        let (filled_at, window_began) = (Duration::ZERO, Duration::ZERO);
        let mean_cost = ASSUMED_RESPONSE;
        Self { rate, available, filled_at, mean_cost, shortest: (MAX_WAIT, MAX_WAIT), window_began }
    }

    /// Returns whether requests are limited at all.
    pub fn is_enabled(&self) -> bool {
        self.rate > 0.0
    }

    /// Decides on a request and takes its share unless it is refused. `load` is the link's current
    /// load as a fraction of its capacity, and `now` the time since the start of the process.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::link_shares::{LinkShare, ShareDecision, ShareQuery};
    /// let mut share = LinkShare::new(Some(1_000_000.0), 0.2);
    /// let latency_target = Duration::from_secs(1);
    /// let query = ShareQuery { cost: 300_000.0, rank: 0, latency_target };
    /// assert_eq!(share.decide(query, 0.9, Duration::ZERO), ShareDecision::Admit);
    /// let decision = share.decide(query, 0.9, Duration::ZERO);
    /// let waits = Duration::from_millis(125)..Duration::from_millis(250);
    /// assert!(matches!(decision, ShareDecision::Wait(wait) if waits.contains(&wait)));
    /// let decision = share.decide(query, 0.9, Duration::ZERO);
    /// let waits = Duration::from_millis(500)..Duration::from_millis(625);
    /// assert!(matches!(decision, ShareDecision::Refuse(wait) if waits.contains(&wait)));
    /// assert_eq!(share.decide(query, 0.4, Duration::ZERO), ShareDecision::Admit);
    /// ```
    pub fn decide(&mut self, query: ShareQuery, load: f64, now: Duration) -> ShareDecision {
        if !self.is_enabled() {
            return ShareDecision::Admit;
        }
        self.fill(now);
        self.mean_cost += (query.cost - self.mean_cost) * COST_WEIGHT;
        self.record_bound(query.max_wait(), now);
        if !is_loaded(load) {
            // The link carries more than what is counted here, so nothing is owed.
            self.available = (self.available - query.cost).max(0.0);
            return ShareDecision::Admit;
        }
        let wait = self.wait(query);
        if wait > self.shortest.0.min(self.shortest.1) {
            return ShareDecision::Refuse(wait);
        }
        self.available -= query.cost;
        if wait.is_zero() { ShareDecision::Admit } else { ShareDecision::Wait(wait) }
    }

    fn fill(&mut self, now: Duration) {
        let added = now.saturating_sub(self.filled_at).as_secs_f64() * self.rate;
        self.available = (self.available + added).min(self.rate * DEPTH.as_secs_f64());
        self.filled_at = self.filled_at.max(now);
    }

    fn record_bound(&mut self, bound: Duration, now: Duration) {
        if now.saturating_sub(self.window_began) >= BOUND_WINDOW {
            self.shortest = (MAX_WAIT, self.shortest.0);
            self.window_began = now;
        }
        self.shortest.0 = self.shortest.0.min(bound);
    }

    /// Returns the time until a request of this rank and size may use the bucket.
    fn wait(&self, query: ShareQuery) -> Duration {
        let depth = self.rate * DEPTH.as_secs_f64();
        let excess = (1.0 - self.mean_cost / query.cost.max(f64::MIN_POSITIVE)).max(0.0);
        let rank = f64::from(query.rank.min(MAX_RANK));
        let unused = depth * (RANK_FRACTION * rank + SIZE_FRACTION * excess);
        let missing = (unused - self.available).max(0.0);
        Duration::try_from_secs_f64(missing / self.rate).unwrap_or(Duration::MAX)
    }
}
