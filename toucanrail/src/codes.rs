//! Numbered result codes and what each one says about the run.
//!
//! The table itself stands in [`crate::codetable`]; `docs/RESULT-CODES.md` repeats it for people.

use serde::{Deserialize, Serialize};

use crate::codetable;

/// Whether a request ran at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunState {
    /// Proved: it did not run and never will.
    NotRun,
    /// It ran, wholly or in part.
    Ran,
    /// It may have run.
    Unknown,
}

impl RunState {
    /// Returns the text of the `Toucanrail-Run` header.
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

/// One numbered outcome; the number is stable across releases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "u16", try_from = "u16")]
pub struct ResultCode(u16);

/// A row of the table of result codes.
#[derive(Debug, Clone, Copy)]
pub struct CodeRow {
    /// The stable number.
    pub number: u16,
    /// Short name, also the `code` field of a JSON error.
    pub name: &'static str,
    /// HTTP status of a refusal with this code; 0 where it never reaches a caller.
    pub status: u16,
    /// What the code says about the run, unless the refusal knows better.
    pub run: RunState,
    /// One sentence for the caller.
    pub text: &'static str,
}

impl ResultCode {
    /// Makes a code of a number in the table.
    pub(crate) const fn new(number: u16) -> Self {
        Self(number)
    }

    /// Returns the code's number.
    pub const fn number(self) -> u16 {
        self.0
    }

    /// Returns the code's row of the table.
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
            Err(format!("no result code {number}"))
        }
    }
}
