//! Decides what follows an attempt at a backend server: another attempt, the server's own failure,
//! or a failure of the router's.
//!
//! Servers may fail some of their requests, lose responses or disappear. Two guarantees limit the
//! reaction: a request that must run at most once is never sent again after it may have run, and
//! "not run" is reported only if nothing was sent or every server declined.

use std::time::Duration;

use crate::codes::{ResultCode, RunState};
use crate::codetable;
use crate::matching::RouteKind;

/// Minimum time left for which another attempt is worth the load it puts on the servers.
const MIN_TIME_LEFT: Duration = Duration::from_millis(30);

/// Outcome of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No part of the request reached a server.
    NotSent,
    /// Nothing was sent, for a reason that is not a fault of the server.
    Withheld,
    /// The server stated that it did not run the request and never will.
    Declined,
    /// The server responded with a failure of its own.
    Failed,
    /// The server responded with a status that implies "not run" without stating that it did not run
    /// the request. The status must not reach the caller, who would send the request again.
    Unproved,
    /// The request was sent, but no complete response arrived; nothing was forwarded to the caller.
    Lost,
    /// The request was sent, and bytes arrived that are no response or do not make one in time; nothing
    /// was forwarded to the caller.
    Malformed,
    /// Part of a stream was forwarded, and the rest did not arrive.
    Broken,
    /// The deadline passed.
    TimedOut,
}

/// Summary of the attempts of one request so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Kind of the route, which decides what may be repeated.
    pub kind: RouteKind,
    /// Maximum number of servers that the request may be sent to.
    pub limit: u32,
    /// Number of times the request was sent.
    pub sent: u32,
    /// Whether a server may have run the request.
    pub may_have_run: bool,
    /// Whether part of the response was forwarded to the caller.
    pub begun: bool,
}

/// What follows an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Try another server, if the retry budget allows it.
    Retry,
    /// Forward the server's own failure unchanged.
    Forward,
    /// Respond with a failure or refusal of the router's own.
    Fail(ResultCode),
    /// End the stream so that the caller can see that it is truncated.
    Truncate,
}

impl AttemptHistory {
    /// Creates the history of a request that has not been sent yet.
    pub fn new(kind: RouteKind, limit: u32) -> Self {
        Self { kind, limit: limit.max(1), sent: 0, may_have_run: false, begun: false }
    }

    /// Records the outcome of an attempt.
    pub fn record(&mut self, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::NotSent | AttemptOutcome::Withheld => {}
            AttemptOutcome::Declined => self.sent += 1,
            AttemptOutcome::Failed
            | AttemptOutcome::Unproved
            | AttemptOutcome::Lost
            | AttemptOutcome::Malformed
            | AttemptOutcome::Broken
            | AttemptOutcome::TimedOut => {
                self.sent += 1;
                self.may_have_run = true;
            }
        }
    }

    /// Returns whether the request may have run.
    pub fn run_state(&self) -> RunState {
        if self.may_have_run { RunState::Unknown } else { RunState::NotRun }
    }

    /// Returns whether another attempt is allowed, regardless of the retry budget.
    pub fn may_send(&self, left: Duration) -> bool {
        let repeatable = !self.may_have_run || self.kind.is_repeatable();
        repeatable && self.sent < self.limit && left > MIN_TIME_LEFT
    }

    /// Decides what follows an attempt whose outcome was recorded.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::attempts::{AttemptHistory, AttemptOutcome, NextStep};
    /// use toucanrail::{codetable, matching::RouteKind};
    /// let mut history = AttemptHistory::new(RouteKind::Once, 2);
    /// history.record(AttemptOutcome::Lost);
    /// let step = history.next_step(AttemptOutcome::Lost, Duration::from_secs(1));
    /// assert_eq!(step, NextStep::Fail(codetable::BACKEND_FAILED));
    /// ```
    pub fn next_step(&self, outcome: AttemptOutcome, left: Duration) -> NextStep {
        if outcome != AttemptOutcome::TimedOut && self.may_send(left) {
            return NextStep::Retry;
        }
        self.final_step(outcome)
    }

    /// Decides what the caller gets if no further attempt is made.
    pub fn final_step(&self, outcome: AttemptOutcome) -> NextStep {
        if self.begun {
            return NextStep::Truncate;
        }
        match outcome {
            AttemptOutcome::Failed => NextStep::Forward,
            AttemptOutcome::TimedOut => NextStep::Fail(codetable::SILENT_CONNECTION),
            _ if self.may_have_run => NextStep::Fail(codetable::BACKEND_FAILED),
            AttemptOutcome::Declined => NextStep::Fail(codetable::OVERLOADED),
            _ => NextStep::Fail(codetable::NO_BACKEND_SERVER),
        }
    }
}
