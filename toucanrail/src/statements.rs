//! What backend servers state about themselves in their responses.
//!
//! A statement holds for the process that made it, whatever its registration says: the registration
//! may be renewed, or go missing in an outage of the store and come back.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::backends::BackendId;
use crate::rate_limits::RateLimit;

/// Maximum number of processes without a registration whose statements are kept.
const MAX_REMEMBERED: usize = 256;

/// One process of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerProcess {
    /// Id of the server, which another process may take over.
    pub id: BackendId,
    /// Start time of the process, in Unix milliseconds.
    pub started_at: u64,
}

/// Statements of one process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct ServerStatements {
    /// The rate limit that it states, if any.
    pub rate_limit: Option<RateLimit>,
    /// Time until which it wants no requests from this entry.
    pub rest_until: Duration,
    /// Whether it is leaving.
    pub is_leaving: bool,
}

impl ServerStatements {
    /// Returns whether the server wants no requests from this entry.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::statements::ServerStatements;
    /// let mut statements = ServerStatements::default();
    /// statements.record_rest(Duration::from_secs(3), Duration::from_secs(10));
    /// assert!(statements.is_resting(Duration::from_secs(12)));
    /// assert!(!statements.is_resting(Duration::from_secs(13)));
    /// ```
    pub fn is_resting(&self, now: Duration) -> bool {
        now < self.rest_until
    }

    /// Records that the server wants no requests from this entry for some time.
    pub fn record_rest(&mut self, rest: Duration, now: Duration) {
        self.rest_until = self.rest_until.max(now.saturating_add(rest));
    }

    /// Records the rate limit that the response to a request states, or that it states none.
    /// Returns whether the limit has changed.
    ///
    /// Only the response to a request that was sent after the limit was stated ends it: responses
    /// on different connections may overtake each other.
    pub fn record_rate_limit(
        &mut self,
        stated: Option<f64>,
        sent_at: Duration,
        now: Duration,
    ) -> bool {
        let known = self.rate_limit;
        self.rate_limit = match stated {
            Some(rate) => Some(RateLimit { rate, stated_at: now }),
            None => known.filter(|limit| sent_at <= limit.stated_at),
        };
        self.rate_limit.map(|limit| limit.rate) != known.map(|limit| limit.rate)
    }
}

/// Statements of processes that have no registration at the moment.
#[derive(Debug, Default)]
pub struct RememberedStatements {
    rows: VecDeque<(ServerProcess, ServerStatements)>,
}

impl RememberedStatements {
    /// Returns the statements of a process, to be changed.
    pub fn get_mut(&mut self, process: &ServerProcess) -> &mut ServerStatements {
        let known = self.rows.iter().position(|(known, _)| known == process);
        let index = known.unwrap_or_else(|| {
            self.insert(process.clone(), ServerStatements::default());
            self.rows.len() - 1
        });
        &mut self.rows[index].1
    }

    /// Keeps the statements of a process. The oldest ones are dropped if there are too many.
    pub fn insert(&mut self, process: ServerProcess, statements: ServerStatements) {
        self.rows.retain(|(_, known)| *known != ServerStatements::default());
        self.rows.push_back((process, statements));
        if self.rows.len() > MAX_REMEMBERED {
            self.rows.pop_front();
        }
    }

    /// Removes and returns the statements of a process that registers.
    pub fn take(&mut self, process: &ServerProcess) -> ServerStatements {
        let known = self.rows.iter().position(|(known, _)| known == process);
        let row = known.and_then(|index| self.rows.remove(index));
        row.map(|(_, statements)| statements).unwrap_or_default()
    }
}
