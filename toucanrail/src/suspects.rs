//! Requests under which backend servers ended, and the verdict that one of them is at fault.
//!
//! A server that ends takes all its requests with it, nearly all of them bystanders, and servers end
//! for reasons of their own. A request is held back once several servers have ended under it *one
//! after the other*: it was sent to each of them after the one before had ended, and did not succeed
//! meanwhile. Servers that end together, as in a power loss, count as one.
//!
//! Entries tell what they see to relays, whose tables hold the ends that all entries have seen. Times
//! travel as ages, since processes share no clock.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::contents::ContentKey;
use crate::statements::ServerProcess;

/// Servers that may end under a request, one after the other, before it is held back.
pub const MAX_ENDS: usize = 3;
/// Time for which an end counts, and a suspect is held back after the last one.
pub const EVIDENCE_TIME: Duration = Duration::from_secs(30);
/// Interval at which expired suspects are dropped.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of suspects in a table; bounds its memory to about 2 MB.
const MAX_ROWS: usize = 8_192;
/// Servers that are remembered of each suspect, so that an end counts once.
const MAX_PROCESSES: usize = 16;
/// Maximum number of successes in a table.
const MAX_SUCCESSES: usize = 4_096;

/// What may be at fault when a server ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SuspectKey {
    /// A request with this content.
    Content(ContentKey),
}

/// One suspect of a server's end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectNote {
    /// The suspect.
    pub key: SuspectKey,
    /// Time since its last success at the entry that makes the note.
    pub succeeded_ago: Option<Duration>,
}

/// A server that ended while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndNote {
    /// The server's process.
    pub process: ServerProcess,
    /// Time since the request was sent there.
    pub sent_ago: Duration,
    /// Time since the end was seen.
    pub ended_ago: Duration,
    /// What may be at fault.
    pub suspects: Vec<SuspectNote>,
}

impl EndNote {
    /// Returns the note as told `delay` later.
    #[must_use]
    pub fn aged(&self, delay: Duration) -> Self {
        let mut note = self.clone();
        note.sent_ago += delay;
        note.ended_ago += delay;
        for suspect in &mut note.suspects {
            suspect.succeeded_ago = suspect.succeeded_ago.map(|ago| ago + delay);
        }
        note
    }
}

/// A suspect that is held back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldSuspect {
    /// The suspect.
    pub key: SuspectKey,
    /// Time since the first of the ends that count.
    pub since: Duration,
    /// Time until the suspect is no longer held back.
    pub left: Duration,
}

/// The ends under one suspect.
#[derive(Debug, Default)]
struct SuspectRow {
    /// Servers that ended, and whether their ends are in `chain`.
    processes: Vec<(ServerProcess, bool)>,
    /// Times of ends that followed one another; each server got the suspect after the end before.
    chain: Vec<Duration>,
    last_end: Duration,
}

impl SuspectRow {
    fn record_end(&mut self, process: &ServerProcess, sent_at: Duration, ended_at: Duration) {
        self.last_end = self.last_end.max(ended_at);
        let known = self.processes.iter_mut().find(|(known, _)| known == process);
        if known.as_ref().is_some_and(|(_, is_chained)| *is_chained) {
            return;
        }
        let follows = self.chain.last().is_none_or(|last| sent_at >= *last);
        if let Some((_, is_chained)) = known {
            *is_chained = follows;
        } else {
            self.processes.push((process.clone(), follows));
            if self.processes.len() > MAX_PROCESSES {
                self.processes.remove(0);
            }
        }
        if follows {
            self.chain.push(ended_at);
        }
    }

    /// Forgets the ends until a time.
    fn forget_ends(&mut self, until: Duration) {
        self.chain.retain(|ended_at| *ended_at > until);
    }

    fn is_held(&self, now: Duration) -> bool {
        self.chain.len() >= MAX_ENDS && now < self.last_end + EVIDENCE_TIME
    }
}

/// The suspects that one process knows, with the ends that entries have told it.
#[derive(Debug, Default)]
pub struct SuspectTable {
    rows: BTreeMap<SuspectKey, SuspectRow>,
    version: u64,
    swept_at: Duration,
}

impl SuspectTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a note, and returns whether another suspect is held back because of it.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::statements::ServerProcess;
    /// use toucanrail::suspects::{EndNote, SuspectKey, SuspectNote, SuspectTable};
    /// let key = SuspectKey::Content(7);
    /// let mut table = SuspectTable::new();
    /// for at in [10, 11, 12].map(Duration::from_secs) {
    ///     let note = EndNote {
    ///         process: ServerProcess { id: format!("{at:?}").into(), started_at: 1 },
    ///         sent_ago: Duration::from_millis(30),
    ///         ended_ago: Duration::ZERO,
    ///         suspects: vec![SuspectNote { key, succeeded_ago: None }],
    ///     };
    ///     assert_eq!(table.record_end(&note, at), at == Duration::from_secs(12));
    /// }
    /// assert!(table.is_held(key, Duration::from_secs(12)));
    /// ```
    pub fn record_end(&mut self, note: &EndNote, now: Duration) -> bool {
        self.drop_expired(now);
        let (sent_at, ended_at) =
            (now.saturating_sub(note.sent_ago), now.saturating_sub(note.ended_ago));
        let mut is_new = false;
        for suspect in &note.suspects {
            let row = self.rows.entry(suspect.key).or_default();
            let was_held = row.is_held(now);
            let cleared = suspect.succeeded_ago.map_or(EVIDENCE_TIME, |ago| ago.min(EVIDENCE_TIME));
            row.forget_ends(now.saturating_sub(cleared));
            row.record_end(&note.process, sent_at, ended_at);
            is_new |= row.is_held(now) != was_held;
        }
        self.version += u64::from(is_new);
        is_new
    }

    /// Records that a suspect succeeded some time ago. Returns whether it is no longer held back for
    /// that.
    pub fn record_success(&mut self, key: SuspectKey, ago: Duration, now: Duration) -> bool {
        let Some(row) = self.rows.get_mut(&key) else {
            return false;
        };
        let was_held = row.is_held(now);
        row.forget_ends(now.saturating_sub(ago));
        let is_released = was_held && !row.is_held(now);
        self.version += u64::from(is_released);
        is_released
    }

    /// Returns whether a suspect is held back.
    pub fn is_held(&self, key: SuspectKey, now: Duration) -> bool {
        self.rows.get(&key).is_some_and(|row| row.is_held(now))
    }

    /// Returns the time of the last end under a suspect.
    pub fn last_end(&self, key: SuspectKey) -> Option<Duration> {
        self.rows.get(&key).map(|row| row.last_end)
    }

    /// Returns all suspects that are held back.
    pub fn held(&self, now: Duration) -> Vec<HeldSuspect> {
        let held = self.rows.iter().filter(|(_, row)| row.is_held(now)).map(|(key, row)| {
            let first = row.chain.first().copied().unwrap_or(now);
            HeldSuspect {
                key: *key,
                since: now.saturating_sub(first),
                left: (row.last_end + EVIDENCE_TIME).saturating_sub(now),
            }
        });
        held.collect()
    }

    /// Returns a number that grows with each change of what is held back.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there is no suspect.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Drops at intervals the suspects whose last end is too old, and the older half of a full table.
    fn drop_expired(&mut self, now: Duration) {
        if self.rows.len() < MAX_ROWS && now < self.swept_at + SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        self.rows.retain(|_, row| now < row.last_end + EVIDENCE_TIME);
        if self.rows.len() < MAX_ROWS {
            return;
        }
        let mut times: Vec<Duration> = self.rows.values().map(|row| row.last_end).collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.rows.retain(|_, row| row.last_end > median || row.is_held(now));
    }
}

/// When an entry last saw possible suspects succeed.
#[derive(Debug, Default)]
pub struct SuccessTable {
    rows: BTreeMap<SuspectKey, Duration>,
}

impl SuccessTable {
    /// Records a success.
    pub fn record(&mut self, key: SuspectKey, now: Duration) {
        self.rows.insert(key, now);
        if self.rows.len() > MAX_SUCCESSES {
            let mut times: Vec<Duration> = self.rows.values().copied().collect();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.rows.retain(|_, at| *at > median);
        }
    }

    /// Returns the time since the last success, if there was one.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::suspects::{SuccessTable, SuspectKey};
    /// let mut table = SuccessTable::default();
    /// table.record(SuspectKey::Content(7), Duration::from_secs(1));
    /// let age = table.age(SuspectKey::Content(7), Duration::from_secs(3));
    /// assert_eq!(age, Some(Duration::from_secs(2)));
    /// ```
    pub fn age(&self, key: SuspectKey, now: Duration) -> Option<Duration> {
        self.rows.get(&key).map(|at| now.saturating_sub(*at))
    }
}
