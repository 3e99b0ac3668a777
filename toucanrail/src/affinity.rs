//! Which server the prompts of a session go to first.
//!
//! All entries must find the same server without telling one another, or a session's parts are read
//! twice; so it follows from ranks of the servers' ids, and from paces that all entries learn alike.

use xxhash_rust::xxh3;

use crate::backends::BackendRow;
use crate::paces;

/// A server that may take a request.
#[derive(Debug, Clone, Copy)]
pub struct SpeedRow<'rows> {
    /// The server.
    pub row: &'rows BackendRow,
    /// How slow it is against the fast ones; 1 for these.
    pub slowdown: f64,
}

/// Adds to servers how slow they are against one another.
pub fn with_slowdowns<'rows>(rows: &[&'rows BackendRow]) -> Vec<SpeedRow<'rows>> {
    let paces: Vec<_> = rows.iter().map(|row| row.pace).collect();
    let factors = paces::relative_slowdowns(&paces);
    rows.iter().zip(factors).map(|(row, slowdown)| SpeedRow { row, slowdown }).collect()
}

/// Returns the server that is first by rendezvous rank for a key; a slow one is first for fewer keys.
pub fn pick_preferred<'speeds, 'rows>(
    rows: &'speeds [SpeedRow<'rows>],
    key: u64,
) -> Option<&'speeds SpeedRow<'rows>> {
    let wait = |one: &&SpeedRow<'_>| {
        let hash = xxh3::xxh3_64_with_seed(one.row.entry.id.as_bytes(), key);
        let draw = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        -draw.ln() * one.slowdown
    };
    rows.iter().min_by(|one, other| wait(one).total_cmp(&wait(other)))
}
