//! The choice of a backend server.
//!
//! `docs/ROUTING.md` holds the measurement that the default rests on.

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::servers::{ServerRow, ServerTable};

/// Servers by rendezvous rank that count as likely to hold a prefix.
const AFFINE_SERVERS: usize = 2;
/// A server over this share of the mean load is not chosen for its cache.
const LOAD_BOUND: f64 = 1.25;
/// Worth of a cached prefix, as a share of a server's slots.
const PREFIX_WORTH: f64 = 0.25;
/// Weight of a server whose first token takes longer than its peers'.
const SLOWNESS_LIMIT: f64 = 8.0;

/// How a server is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RoutingPolicy {
    /// One after the other.
    RoundRobin,
    /// Any.
    Random,
    /// The least load as last reported.
    LeastReported,
    /// Always the first by rendezvous rank of the prefix.
    PureAffinity,
    /// The better by estimated load and cache of the prefix's two and two sampled ones.
    #[default]
    Balanced,
}

impl RoutingPolicy {
    /// Reads a policy as settings write it.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::routing::RoutingPolicy;
    /// assert_eq!(RoutingPolicy::parse("random"), Some(RoutingPolicy::Random));
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "round-robin" => Some(Self::RoundRobin),
            "random" => Some(Self::Random),
            "least-reported" => Some(Self::LeastReported),
            "affinity" => Some(Self::PureAffinity),
            "balanced" => Some(Self::Balanced),
            _ => None,
        }
    }
}

/// What the choice depends on besides the servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteQuery {
    /// Hash of the prompt's prefix; none where nothing is cached.
    pub prefix: Option<u64>,
    /// Two draws in `0..1`.
    pub random: [f64; 2],
    /// The time, since the process's start.
    pub now: Duration,
}

/// Picks a server out of the eligible ones.
pub fn pick_server<'rows>(
    policy: RoutingPolicy,
    table: &ServerTable,
    eligible: &[&'rows ServerRow],
    query: &RouteQuery,
) -> Option<&'rows ServerRow> {
    if eligible.is_empty() {
        return None;
    }
    match policy {
        RoutingPolicy::RoundRobin => Some(eligible[table.next_index % eligible.len()]),
        RoutingPolicy::Random => sample(eligible, query.random[0]),
        RoutingPolicy::LeastReported => {
            eligible.iter().copied().min_by_key(|row| row.reported / row.slots)
        }
        RoutingPolicy::PureAffinity => match query.prefix {
            Some(prefix) => rank_servers(eligible, prefix).into_iter().next(),
            None => sample(eligible, query.random[0]),
        },
        RoutingPolicy::Balanced => pick_balanced(eligible, query),
    }
}

fn sample<'rows>(eligible: &[&'rows ServerRow], random: f64) -> Option<&'rows ServerRow> {
    let last = eligible.len().saturating_sub(1);
    eligible.get(((eligible.len() as f64 * random) as usize).min(last)).copied()
}

/// Ranks servers for a prefix by rendezvous hashing: a server that leaves moves only its own
/// prefixes.
///
/// # Examples
/// ```
/// assert!(toucanrail::routing::rank_servers(&[], 7).is_empty());
/// ```
pub fn rank_servers<'rows>(eligible: &[&'rows ServerRow], prefix: u64) -> Vec<&'rows ServerRow> {
    let mut ranked = eligible.to_vec();
    ranked.sort_by_cached_key(|row| {
        std::cmp::Reverse(xxh3::xxh3_64_with_seed(row.agent.as_bytes(), prefix))
    });
    ranked
}

fn pick_balanced<'rows>(
    eligible: &[&'rows ServerRow],
    query: &RouteQuery,
) -> Option<&'rows ServerRow> {
    let usual = usual_first_token(eligible);
    let cost = |row: &ServerRow| {
        let slow = slowness(row, usual);
        (row.load(query.now) + 1.0) / row.slots as f64 * slow
    };
    let costs: f64 = eligible.iter().map(|row| cost(row)).sum();
    let bound = costs / eligible.len() as f64 * LOAD_BOUND;
    let affine = query.prefix.map(|prefix| rank_servers(eligible, prefix)).unwrap_or_default();
    let affine = affine.into_iter().take(AFFINE_SERVERS).filter(|row| cost(row) <= bound);
    let sampled = query.random.iter().filter_map(|random| sample(eligible, *random));
    let affine = affine.map(|row| (cost(row) - PREFIX_WORTH, row));
    let sampled = sampled.map(|row| (cost(row), row));
    affine.chain(sampled).min_by(|(left, _), (right, _)| left.total_cmp(right)).map(|(_, row)| row)
}

/// Returns the median of the known times to first token, or 0.
fn usual_first_token(eligible: &[&ServerRow]) -> f64 {
    let mut known: Vec<f64> = eligible.iter().map(|row| row.first_token).collect();
    known.retain(|time| *time > 0.0);
    known.sort_by(f64::total_cmp);
    known.get(known.len() / 2).copied().unwrap_or_default()
}

/// A server that is slower than most costs as much more, so that it drains before it is full.
fn slowness(row: &ServerRow, usual: f64) -> f64 {
    if usual <= 0.0 || row.first_token <= 0.0 {
        return 1.0;
    }
    (row.first_token / usual).clamp(1.0, SLOWNESS_LIMIT)
}

/// Returns the hash of a prompt's beginning, up to `bytes`.
pub fn hash_prefix(prompt: &[u8], bytes: usize) -> u64 {
    xxh3::xxh3_64(&prompt[..prompt.len().min(bytes)])
}
