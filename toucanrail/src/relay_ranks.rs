//! Choice of the relays that keep something for all entries, by rendezvous hashing: entries that know
//! the same relays choose the same ones.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use xxhash_rust::xxh3;

use crate::endpoints::LocatedRelay;
use crate::ids::DataCentre;

/// Returns the seed of the ranks for a purpose.
pub fn rank_seed(purpose: &str) -> u64 {
    xxh3::xxh3_64(purpose.as_bytes())
}

/// Returns the first relays by rank, each of them in another data centre as far as there are enough.
///
/// # Examples
/// ```
/// use toucanrail::relay_ranks;
/// assert!(relay_ranks::pick_relays(&[], relay_ranks::rank_seed("notes"), 2).is_empty());
/// ```
pub fn pick_relays(relays: &[LocatedRelay], seed: u64, count: usize) -> Vec<LocatedRelay> {
    let centres = rank_centres(relays, seed);
    let firsts = centres.iter().filter_map(|relays| relays.first());
    let others = centres.iter().flat_map(|relays| relays.iter().skip(1));
    firsts.chain(others).take(count).copied().cloned().collect()
}

/// Returns the relays by data centre, each and all in the order of their ranks.
pub fn rank_centres(relays: &[LocatedRelay], seed: u64) -> Vec<Vec<&LocatedRelay>> {
    let rank = |relay: &LocatedRelay| xxh3::xxh3_64_with_seed(relay.name.as_bytes(), seed);
    let mut centres: BTreeMap<&DataCentre, Vec<&LocatedRelay>> = BTreeMap::new();
    for relay in relays {
        centres.entry(&relay.data_centre).or_default().push(relay);
    }
    let mut centres: Vec<Vec<&LocatedRelay>> = centres.into_values().collect();
    for relays in &mut centres {
        relays.sort_by_cached_key(|relay| Reverse(rank(relay)));
    }
    centres.sort_by_cached_key(|relays| Reverse(relays.first().map(|relay| rank(relay))));
    centres
}
