//! Pauses that a prompt in prefill causes in the streams of its server, and their cost.
//!
//! While a server prefills, each token of its streams takes a step that includes a prefill chunk.
//! An event holds several tokens, so the pause before it grows with the prompts in prefill, until
//! each of its tokens waits for a chunk. Prompts at the same server are prefilled one after
//! another: the next one lengthens the pause and begins later itself.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::backends::BackendRow;
use crate::ids::{ServiceName, Tokens};
use crate::paces::BackendReport;
use crate::placement;

/// Pause limit from which placement depends on slots and prefill times only.
const LOOSE_LIMIT: Duration = Duration::from_millis(600);
/// Prompt length in tokens from which a prompt is long at [`LOOSE_LIMIT`] and above. Its prefill
/// takes about half of that limit.
const LOOSE_LENGTH: Tokens = 16_384;
/// Assumed number of tokens in a prefill chunk. Beyond one chunk for each token of an event, more
/// prompts make pauses more frequent but not longer.
const CHUNK_TOKENS: Tokens = 4_096;
/// Assumed remaining length in tokens of a prompt in prefill; load reports do not state it.
const QUEUED_TOKENS: Tokens = 4_096;
/// Cost of a stream whose expected pause equals the limit, in milliseconds; comparable to the wait
/// for the first event that placement avoids otherwise.
const STREAM_COST: f64 = 50.0;
/// Exponent of the cost: a pause of half the limit costs a sixteenth, one of twice the limit
/// sixteen times as much.
const STEEPNESS: i32 = 4;

/// Pauses that the streams of a service tolerate, and what its events hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct PauseRule {
    /// Smallest target above zero for the longest pause of a stream, of all routes that lead to
    /// the service; `None` if no route has one.
    pub limit: Option<Duration>,
    /// Number of tokens in one event.
    pub tokens_per_event: Tokens,
}

impl Default for PauseRule {
    fn default() -> Self {
        Self { limit: None, tokens_per_event: 1 }
    }
}

/// Load of a server at which a prompt may be placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PauseLoad {
    /// Streams that have begun.
    pub streams: u64,
    /// Tokens of the prompts that are in prefill or about to be.
    pub queued: Tokens,
    /// Time per token relative to the fast servers.
    pub slowdown: f64,
}

impl PauseLoad {
    /// Returns the load that a server reports.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::{paces::BackendReport, pauses::PauseLoad};
    /// let report = BackendReport { waiting: 2, ..BackendReport::default() };
    /// assert!(PauseLoad::from_report(&report, 1.0).queued > 0);
    /// ```
    pub fn from_report(report: &BackendReport, slowdown: f64) -> Self {
        let streams = report.runs.iter().filter(|run| run.events > 0).count() as u64;
        let queued = report.count_prefilling().saturating_mul(QUEUED_TOKENS);
        Self { streams, queued, slowdown }
    }

    /// Returns the load of this entry's own requests at a server.
    pub fn from_flights(row: &BackendRow, slowdown: f64) -> Self {
        let streams = row.flights.values().filter(|flight| flight.begun).count() as u64;
        let waiting = row.flights.values().filter(|flight| !flight.begun);
        Self { streams, queued: waiting.map(|flight| flight.uncached).sum(), slowdown }
    }
}

impl PauseRule {
    /// Adds the pause target of another route that leads to the service; zero means none.
    pub fn add_target(&mut self, target: Duration) {
        if !target.is_zero() {
            self.limit = Some(self.limit.map_or(target, |limit| limit.min(target)));
        }
    }

    /// Returns the limit if it is so small that placement considers pauses.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::pauses::PauseRule;
    /// let rule = |millis| PauseRule {
    ///     limit: Some(Duration::from_millis(millis)), tokens_per_event: 7,
    /// };
    /// assert!(rule(500).strict_limit().is_some());
    /// assert!(rule(600).strict_limit().is_none());
    /// assert!(PauseRule::default().strict_limit().is_none());
    /// ```
    pub fn strict_limit(&self) -> Option<Duration> {
        self.limit.filter(|limit| *limit < LOOSE_LIMIT)
    }

    /// Returns the prompt length in tokens from which a prompt is long for the service: 16,384
    /// without a limit and for 600 ms and more, in proportion below.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::pauses::PauseRule;
    /// let limit = Some(Duration::from_millis(250));
    /// assert_eq!(PauseRule { limit, tokens_per_event: 7 }.long_tokens(), 6_827);
    /// assert_eq!(PauseRule::default().long_tokens(), 16_384);
    /// ```
    pub fn long_tokens(&self) -> Tokens {
        let fraction = self.strict_limit().map_or(1.0, |limit| limit.div_duration_f64(LOOSE_LIMIT));
        (LOOSE_LENGTH as f64 * fraction).round() as Tokens
    }

    /// Returns the pause of the streams at a server while it prefills a number of tokens, in
    /// milliseconds.
    fn expected_pause(&self, tokens: Tokens, slowdown: f64) -> f64 {
        let chunks = self.tokens_per_event.max(1).saturating_mul(CHUNK_TOKENS);
        placement::prefill_time(tokens.min(chunks)) * slowdown
    }

    /// Returns the cost in milliseconds of the pauses at a server after a prompt of `tokens`
    /// uncached tokens is placed there, to the streams beside it and to its own. Zero if the
    /// service has no limit below 600 ms.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::pauses::{PauseLoad, PauseRule};
    /// let limit = Some(Duration::from_millis(500));
    /// let rule = PauseRule { limit, tokens_per_event: 7 };
    /// let load = PauseLoad { streams: 10, queued: 4_096, slowdown: 1.0 };
    /// assert!(rule.pause_cost(20_000, load) > 4.0 * rule.pause_cost(10_000, load));
    /// ```
    pub fn pause_cost(&self, tokens: Tokens, load: PauseLoad) -> f64 {
        let Some(limit) = self.strict_limit() else {
            return 0.0;
        };
        let pause = self.expected_pause(tokens.saturating_add(load.queued), load.slowdown);
        let relative = pause / (limit.as_secs_f64() * 1_000.0);
        (load.streams as f64 + 1.0) * STREAM_COST * relative.powi(STEEPNESS)
    }

    /// Returns the cost in milliseconds of placing a prompt at a server: that of the pauses, and
    /// the time for which the prompt waits until those before it are prefilled. Zero if the service
    /// has no limit below 600 ms.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::pauses::{PauseLoad, PauseRule};
    /// let load = PauseLoad { streams: 10, queued: 4_096, slowdown: 1.0 };
    /// assert!(PauseRule::default().placement_cost(20_000, load) == 0.0);
    /// ```
    pub fn placement_cost(&self, tokens: Tokens, load: PauseLoad) -> f64 {
        if self.strict_limit().is_none() {
            return 0.0;
        }
        self.pause_cost(tokens, load) + placement::prefill_time(load.queued) * load.slowdown
    }
}

/// Returns the services whose limit a configuration has changed, with their new rules. A service
/// that is new and has no limit is not a change.
///
/// # Examples
/// ```
/// use std::{collections::BTreeMap, sync::Arc, time::Duration};
/// use toucanrail::pauses::{self, PauseRule};
/// let limit = Some(Duration::from_millis(500));
/// let after = BTreeMap::from([(Arc::from("llm"), PauseRule { limit, ..PauseRule::default() })]);
/// assert_eq!(pauses::changed_limits(&BTreeMap::new(), &after).len(), 1);
/// assert!(pauses::changed_limits(&after, &after).is_empty());
/// ```
pub fn changed_limits(
    before: &BTreeMap<ServiceName, PauseRule>,
    after: &BTreeMap<ServiceName, PauseRule>,
) -> Vec<(ServiceName, PauseRule)> {
    let limit = |service| before.get(service).and_then(|rule: &PauseRule| rule.limit);
    let changed = after.iter().filter(|(service, rule)| limit(*service) != rule.limit);
    changed.map(|(service, rule)| (ServiceName::clone(service), *rule)).collect()
}
