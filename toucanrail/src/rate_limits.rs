//! Rate limits that backend servers state in their responses.
//!
//! A server that cannot keep up states how many requests per second it accepts from all entries
//! together. The limit is in force for as long as its responses state it.

use std::time::Duration;

use serde::Serialize;

/// Rate limit of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct RateLimit {
    /// Requests per second that the server accepts from all entries together.
    pub rate: f64,
    /// Time of the latest response that stated it.
    pub stated_at: Duration,
}
