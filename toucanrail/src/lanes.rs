//! Which servers take which prompts: some are set aside for long ones, and each session has a first
//! server among the others.
//!
//! All entries must find the same servers without telling one another, or a session's parts are read
//! twice; so both follow from ranks of the servers' ids, and from paces that all entries learn alike.

use xxhash_rust::xxh3;

use crate::backends::BackendRow;
use crate::paces;

/// One server in so many is set aside for prompts that are read for longer. They are about 13 % of the
/// prompts of long routes and a third of all tokens read, so that both parts are equally busy.
const LONG_SHARE: usize = 3;
/// Fewest servers of which some are set aside.
const LONG_LEAST: usize = 4;
/// Seed of the rank by which servers are set aside; all entries pick the same.
const LONG_SEED: u64 = 0x746f_7563_616e;
/// Sessions that a slow server is first for, against a fast one.
const SLOW_WEIGHT: f64 = 0.5;

/// A server that may take a request.
#[derive(Debug, Clone, Copy)]
pub struct LaneRow<'rows> {
    /// The server.
    pub row: &'rows BackendRow,
    /// How slow it is against the fast ones; 1 for these.
    pub factor: f64,
    /// Whether it is set aside for long prompts.
    pub aside: bool,
}

/// Divides servers into the ordinary ones and those set aside for long prompts, so that these disturb
/// one another and not the many short streams: placed anywhere, 5 % of the prompts made a fifth of all
/// streams late. The fast servers are set aside first: what a fast one reads within the pauses that
/// callers bear, a slow one does not.
pub fn divide_rows<'rows>(rows: &[&'rows BackendRow], serves_prompts: bool) -> Vec<LaneRow<'rows>> {
    let paces: Vec<_> = rows.iter().map(|row| row.pace).collect();
    let factors = paces::compare_paces(&paces);
    let lane = |(row, factor): (&&'rows BackendRow, f64)| LaneRow { row, factor, aside: false };
    let mut lanes: Vec<LaneRow<'_>> = rows.iter().zip(factors).map(lane).collect();
    if !serves_prompts || rows.len() < LONG_LEAST {
        return lanes;
    }
    lanes.sort_by_cached_key(|lane| {
        let rank = xxh3::xxh3_64_with_seed(lane.row.entry.id.as_bytes(), LONG_SEED);
        (lane.factor > 1.0, rank)
    });
    for lane in lanes.iter_mut().take(rows.len().div_ceil(LONG_SHARE)) {
        lane.aside = true;
    }
    lanes
}

/// Returns the server that is first by rendezvous rank for a key, so that all entries keep a session's
/// parts at one server without telling one another. Slow servers are first for fewer keys.
pub fn rank_first<'lanes, 'rows, Lanes>(lanes: Lanes, key: u64) -> Option<&'lanes LaneRow<'rows>>
where
    Lanes: IntoIterator<Item = &'lanes LaneRow<'rows>>,
    'rows: 'lanes,
{
    let wait = |lane: &&LaneRow<'_>| {
        let hash = xxh3::xxh3_64_with_seed(lane.row.entry.id.as_bytes(), key);
        let draw = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        let weight = if lane.factor > 1.0 { SLOW_WEIGHT } else { 1.0 };
        -draw.ln() / weight
    };
    lanes.into_iter().min_by(|one, other| wait(one).total_cmp(&wait(other)))
}
