//! Numbered result codes, each of which states whether the request ran.
//!
//! The codes are listed in [`crate::codetable`] and documented in `docs/RESULT-CODES.md`.

use serde::{Deserialize, Serialize};

use crate::codetable;

/// Whether a request ran on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunState {
    /// It provably did not run and never will.
    NotRun,
    /// It ran, completely or in part.
    Ran,
    /// It may have run.
    Unknown,
}

impl RunState {
    /// Returns the value of the `Toucanrail-Run` header.
    ///
    /// # Examples
    /// ```
    /// assert_eq!(toucanrail::codes::RunState::NotRun.as_str(), "not-run");
    /// ```
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

/// Returns whether an HTTP status tells a caller that its request did not run and never will.
///
/// # Examples
/// ```
/// use toucanrail::codes;
/// assert!(codes::implies_not_run(503));
/// assert!(!codes::implies_not_run(502));
/// ```
pub const fn implies_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// A numbered result; the number is stable across releases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "u16", try_from = "u16")]
pub struct ResultCode(u16);

/// A row of the result code table.
#[derive(Debug, Clone, Copy)]
pub struct CodeRow {
    /// The stable number.
    pub number: u16,
    /// Short name, also the `code` field of a JSON error.
    pub name: &'static str,
    /// HTTP status of a refusal with this code; 0 if the code is never sent to a caller.
    pub status: u16,
    /// Whether the request ran, unless a refusal with this code states otherwise.
    pub run: RunState,
    /// One-sentence explanation sent to the caller.
    pub text: &'static str,
}

impl ResultCode {
    /// Creates the code of a number in the table.
    pub(crate) const fn new(number: u16) -> Self {
        Self(number)
    }

    /// Returns the code's number.
    pub const fn number(self) -> u16 {
        self.0
    }

    /// Returns the row of the code in the table.
    ///
    /// # Examples
    /// ```
    /// let row = toucanrail::codetable::BUDGET_EXHAUSTED.row();
    /// assert_eq!((row.number, row.status), (3001, 402));
    /// ```
    pub fn row(self) -> &'static CodeRow {
        codetable::ROWS.iter().find(|row| row.number == self.0).unwrap_or(&codetable::ROWS[0])
    }
}

impl From<ResultCode> for u16 {
    fn from(code: ResultCode) -> Self {
        code.0
    }
}

impl TryFrom<u16> for ResultCode {
    type Error = String;

    fn try_from(number: u16) -> Result<Self, String> {
        if codetable::ROWS.iter().any(|row| row.number == number) {
            Ok(Self(number))
        } else {
            Err(format!("unknown result code {number}"))
        }
    }
}
