//! Preferred server of a session's prompts.
//!
//! All entries must choose the same server without coordination, otherwise the shared parts of a
//! session's prompts are prefilled twice. The choice therefore depends only on rendezvous hashes of
//! the server ids and on paces that all entries learn alike.

use xxhash_rust::xxh3;

use crate::backends::BackendRow;
use crate::paces;

/// A server that may take a request, with its relative speed.
#[derive(Debug, Clone, Copy)]
pub struct SpeedRow<'rows> {
    /// The server.
    pub row: &'rows BackendRow,
    /// Time per token relative to the fast servers; 1 for a fast server.
    pub slowdown: f64,
}

/// Adds to each server its slowdown relative to the others.
pub fn with_slowdowns<'rows>(rows: &[&'rows BackendRow]) -> Vec<SpeedRow<'rows>> {
    let paces: Vec<_> = rows.iter().map(|row| row.pace).collect();
    let factors = paces::relative_slowdowns(&paces);
    rows.iter().zip(factors).map(|(row, slowdown)| SpeedRow { row, slowdown }).collect()
}

/// Returns the server with the highest rendezvous rank for a key, weighted by speed: a slow server
/// is preferred for fewer keys.
pub fn pick_preferred<'speeds, 'rows>(
    rows: &'speeds [SpeedRow<'rows>],
    key: u64,
) -> Option<&'speeds SpeedRow<'rows>> {
    let score = |server: &&SpeedRow<'_>| {
        let hash = xxh3::xxh3_64_with_seed(server.row.entry.id.as_bytes(), key);
        let draw = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        -draw.ln() * server.slowdown
    };
    rows.iter().min_by(|server, other| score(server).total_cmp(&score(other)))
}
