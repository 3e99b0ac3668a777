//! Choice of a backend server by routing policy.
//!
//! `docs/ROUTING.md` describes the measurements behind the default policy.

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::servers::{ServerRow, ServerTable};

/// Number of servers, by rendezvous rank, that are likely to have a prefix cached.
const AFFINE_SERVERS: usize = 2;
/// Multiple of the mean load above which a server is not chosen for its cache.
const LOAD_BOUND: f64 = 1.25;
/// Benefit of a cached prefix, as a fraction of a server's slots.
const PREFIX_BONUS: f64 = 0.25;
/// Maximum weight of a server whose time to first token is longer than that of its peers.
const MAX_SLOWDOWN: f64 = 8.0;

/// Policy by which a server is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RoutingPolicy {
    /// Each server in turn.
    RoundRobin,
    /// A random server.
    Random,
    /// The server with the least load in the latest reports.
    LeastReported,
    /// The server with the highest rendezvous rank for the prefix.
    PureAffinity,
    /// The server with the lowest cost, by estimated load and cache, among two with the highest
    /// rank for the prefix and two random ones.
    #[default]
    Balanced,
}

impl RoutingPolicy {
    /// Parses a policy from its name in the settings.
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

/// Properties of the request on which the choice depends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteQuery {
    /// Hash of the prompt's prefix; `None` if nothing is cached.
    pub prefix: Option<u64>,
    /// Two random numbers in `0..1`.
    pub random: [f64; 2],
    /// Time since the start of the process.
    pub now: Duration,
}

/// Picks one of the eligible servers.
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
            let load = |row: &ServerRow| row.reported as f64 / row.slots as f64;
            eligible.iter().copied().min_by(|left, right| load(left).total_cmp(&load(right)))
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

/// Orders servers by their rendezvous rank for a prefix; a server that leaves affects only its own
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
    let median = median_first_token(eligible);
    let cost = |row: &ServerRow| {
        let slowdown_factor = slowdown(row, median);
        (row.load(query.now) + 1.0) / row.slots as f64 * slowdown_factor
    };
    let costs: f64 = eligible.iter().map(|row| cost(row)).sum();
    let bound = costs / eligible.len() as f64 * LOAD_BOUND;
    let affine = query.prefix.map(|prefix| rank_servers(eligible, prefix)).unwrap_or_default();
    let affine = affine.into_iter().take(AFFINE_SERVERS).filter(|row| cost(row) <= bound);
    let sampled = query.random.iter().filter_map(|random| sample(eligible, *random));
    let affine = affine.map(|row| (cost(row) - PREFIX_BONUS, row));
    let sampled = sampled.map(|row| (cost(row), row));
    affine.chain(sampled).min_by(|(left, _), (right, _)| left.total_cmp(right)).map(|(_, row)| row)
}

/// Returns the median of the known times to first token, or 0 if none is known.
fn median_first_token(eligible: &[&ServerRow]) -> f64 {
    let mut known: Vec<f64> = eligible.iter().map(|row| row.first_token).collect();
    known.retain(|time| *time > 0.0);
    known.sort_by(f64::total_cmp);
    known.get(known.len() / 2).copied().unwrap_or_default()
}

/// Returns the cost factor of a server whose first token is slower than the median, so that it
/// drains before it is full.
fn slowdown(row: &ServerRow, median: f64) -> f64 {
    if median <= 0.0 || row.first_token <= 0.0 {
        return 1.0;
    }
    (row.first_token / median).clamp(1.0, MAX_SLOWDOWN)
}

/// Returns the hash of the first `bytes` bytes of a prompt.
pub fn hash_prefix(prompt: &[u8], bytes: usize) -> u64 {
    xxh3::xxh3_64(&prompt[..prompt.len().min(bytes)])
}
