//! What follows an attempt at a backend server: another one, the server's answer or a refusal.
//!
//! The load it answers: servers that fail part of their requests, lose answers or are gone. Two
//! promises bound it: a request that may run once is never sent again after it may have run, and
//! "not run" is said only where nothing was sent or every server declined.

use std::time::Duration;

use crate::codes::{ResultCode, RunState};
use crate::codetable;
use crate::matching::RouteKind;

/// Time that must be left for another attempt to be worth its load on the servers.
const LEAST_TIME: Duration = Duration::from_millis(30);

/// How one attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Nothing of the request reached a server.
    NotSent,
    /// Nothing was sent, through no fault of the server's.
    Withheld,
    /// The server says that it did not run the request and never will.
    Declined,
    /// The server answered with a failure of its own.
    Failed,
    /// It was sent, and no whole answer came; nothing was passed on to the caller.
    Lost,
    /// Part of a stream was passed on, and the rest did not come.
    Broken,
    /// The time was over.
    TimedOut,
}

/// The attempts of one request so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptHistory {
    /// What may be repeated.
    pub kind: RouteKind,
    /// Most servers that it may be sent to.
    pub limit: u32,
    /// Times it was sent.
    pub sent: u32,
    /// Whether a server may have run it.
    pub may_have_run: bool,
    /// Whether part of the answer was passed on.
    pub begun: bool,
}

/// What comes next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Another server, if the retry budget allows it.
    Retry,
    /// The server's own failure, as it came.
    Forward,
    /// A failure or refusal of the fleet's own.
    Fail(ResultCode),
    /// The stream ends visibly cut.
    Truncate,
}

impl AttemptHistory {
    /// Starts the tally of a request.
    pub fn new(kind: RouteKind, limit: u32) -> Self {
        Self { kind, limit: limit.max(1), sent: 0, may_have_run: false, begun: false }
    }

    /// Notes how an attempt ended.
    pub fn record(&mut self, fate: AttemptOutcome) {
        match fate {
            AttemptOutcome::NotSent | AttemptOutcome::Withheld => {}
            AttemptOutcome::Declined => self.sent += 1,
            AttemptOutcome::Failed
            | AttemptOutcome::Lost
            | AttemptOutcome::Broken
            | AttemptOutcome::TimedOut => {
                self.sent += 1;
                self.may_have_run = true;
            }
        }
    }

    /// Returns what is known of the run.
    pub fn run_state(&self) -> RunState {
        if self.may_have_run { RunState::Unknown } else { RunState::NotRun }
    }

    /// Tells whether a further attempt is allowed, whatever the retry budget says.
    pub fn may_send(&self, left: Duration) -> bool {
        let repeatable = !self.may_have_run || self.kind.is_repeatable();
        repeatable && self.sent < self.limit && left > LEAST_TIME
    }

    /// Decides what follows an attempt that was noted before.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::attempts::{AttemptOutcome, AttemptHistory, NextStep};
    /// use toucanrail::{codetable, matching::RouteKind};
    /// let mut tally = AttemptHistory::new(RouteKind::Once, 2);
    /// tally.record(AttemptOutcome::Lost);
    /// let step = tally.next_step(AttemptOutcome::Lost, Duration::from_secs(1));
    /// assert_eq!(step, NextStep::Fail(codetable::BACKEND_FAILED));
    /// ```
    pub fn next_step(&self, fate: AttemptOutcome, left: Duration) -> NextStep {
        if fate != AttemptOutcome::TimedOut && self.may_send(left) {
            return NextStep::Retry;
        }
        self.final_step(fate)
    }

    /// Decides what the caller gets where no further attempt is made.
    pub fn final_step(&self, fate: AttemptOutcome) -> NextStep {
        if self.begun {
            return NextStep::Truncate;
        }
        match fate {
            AttemptOutcome::Failed => NextStep::Forward,
            AttemptOutcome::TimedOut => NextStep::Fail(codetable::SILENT_CONNECTION),
            _ if self.may_have_run => NextStep::Fail(codetable::BACKEND_FAILED),
            AttemptOutcome::Declined => NextStep::Fail(codetable::OVERLOADED),
            _ => NextStep::Fail(codetable::NO_BACKEND_SERVER),
        }
    }
}
