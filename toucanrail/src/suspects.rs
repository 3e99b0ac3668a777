//! What may be at fault when backend servers end: requests and parts of prompts, and the verdict that
//! one of them is held back.
//!
//! A server that ends takes all its requests with it, nearly all of them bystanders, and servers end
//! for reasons of their own. A suspect is held back once several servers have ended under it *one
//! after the other*: each of them got it after the one before had ended, and it did not succeed
//! meanwhile. Servers that end together, as in a power loss, count as one.
//!
//! A request is suspected of the ends at which it waited or its response had just begun, and so are
//! the parts of its prompt; at a server that had begun responses to some of these, only the parts of
//! those count, unless all of them had succeeded before: responses that have begun are bystanders too
//! where a server ends before it responds. A verdict on a part needs ends under different requests, since one request may be at
//! fault by itself, and counts no end at which several other servers ended too. While nothing else is
//! served either, it needs more of them: what is common to all requests stands in all ends.
//!
//! Entries tell what they see to relays, whose tables hold the ends that all entries have seen. Times
//! travel as ages, since processes share no clock.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::backends::BackendId;
use crate::contents::{ContentKey, PartKey};
use crate::statements::ServerProcess;

/// Servers that may end under a suspect, one after the other, before it is held back.
pub const MAX_ENDS: usize = 3;
/// Ends that a verdict on a part needs while nothing else was served since the first of them.
const MAX_UNPROVED_ENDS: usize = 8;
/// Time for which a response must go on after its first event so that the request is not suspected,
/// and the parts of its prompt have succeeded.
pub const PROGRESS_TIME: Duration = Duration::from_millis(250);
/// Time for which the ends under a request count, and it is held back after the last one: its caller
/// sends it no more after that.
const CONTENT_TIME: Duration = Duration::from_secs(30);
/// The same for a part, whose requests may come for as long as they are refused.
const PART_TIME: Duration = Duration::from_secs(300);
/// Time between the verdict on a part and its effect, in which entries that have seen the part succeed
/// can say so.
const PART_DELAY: Duration = Duration::from_millis(300);
/// Time from the verdict to the first trial with one request, and from there to the next one, which
/// doubles with each trial.
const FIRST_TRIAL: Duration = Duration::from_secs(2);
const NEXT_TRIAL: Duration = Duration::from_secs(15);
/// Servers that end within this time of one another end together, and the number of other servers from
/// which the end of one is no evidence against a part that they did not run.
const TOGETHER_TIME: Duration = Duration::from_millis(30);
const MIN_TOGETHER: usize = 2;
/// Maximum number of suspects in a table; bounds its memory to about 4 MB.
const MAX_ROWS: usize = 8_192;
/// Interval at which expired suspects are dropped.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Newest ends that are kept of a suspect.
const MAX_KEPT_ENDS: usize = 16;
/// Contents that are kept of each end.
const MAX_CONTENTS: usize = 8;

/// What may be at fault when a server ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SuspectKey {
    /// A request with this content.
    Content(ContentKey),
    /// Requests with this part in their prompts, before the last one.
    Part(PartKey),
}

impl SuspectKey {
    /// Returns the time for which ends under the suspect count.
    pub fn evidence_time(self) -> Duration {
        match self {
            Self::Content(_) => CONTENT_TIME,
            Self::Part(_) => PART_TIME,
        }
    }

    fn delay(self) -> Duration {
        match self {
            Self::Content(_) => Duration::ZERO,
            Self::Part(_) => PART_DELAY,
        }
    }
}

/// How far a request was when its server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RunStage {
    /// Nothing of the response had arrived.
    Waiting,
    /// The head of the response had arrived.
    Writing,
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
    /// Content of the request.
    pub content: ContentKey,
    /// How far the request was.
    pub stage: RunStage,
    /// Time since the request was sent there.
    pub sent_ago: Duration,
    /// Time since the end was seen.
    pub ended_ago: Duration,
    /// Time since the entry last saw a response of the service go on.
    pub served_ago: Option<Duration>,
    /// What may be at fault; nothing if the response had gone on.
    pub suspects: Vec<SuspectNote>,
}

/// A suspect that is held back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldSuspect {
    /// The suspect.
    pub key: SuspectKey,
    /// Suspects that stood in all the same ends: only requests with all of them are held back.
    pub with: Vec<SuspectKey>,
    /// Time since the first of the ends that count.
    pub since: Duration,
    /// Time until the verdict takes effect.
    pub starts_in: Duration,
    /// Time until it lapses.
    pub left: Duration,
    /// Time until one request may be tried.
    pub trial_in: Duration,
}

/// The end of one server under a suspect.
#[derive(Debug, Clone)]
struct SuspectEnd {
    process: ServerProcess,
    /// Contents of the requests that were furthest.
    contents: Vec<ContentKey>,
    stage: RunStage,
    /// When the suspect was last sent there.
    sent_at: Duration,
    ended_at: Duration,
}

/// The ends under one suspect, by time.
#[derive(Debug, Default)]
struct SuspectRow {
    ends: Vec<SuspectEnd>,
    succeeded_at: Option<Duration>,
    /// When another request of the service was last served.
    served_at: Option<Duration>,
}

impl SuspectRow {
    /// Records an end. Several requests may tell of the same one.
    fn record_end(&mut self, end: SuspectEnd) {
        if self.succeeded_at.is_some_and(|at| end.ended_at <= at) {
            return;
        }
        if let Some(known) = self.ends.iter_mut().find(|known| known.process == end.process) {
            if end.stage > known.stage {
                known.contents.clear();
            }
            if end.stage >= known.stage && known.contents.len() < MAX_CONTENTS {
                known.contents.extend(&end.contents);
            }
            known.stage = known.stage.max(end.stage);
            known.sent_at = known.sent_at.max(end.sent_at);
            return;
        }
        let at = self.ends.partition_point(|known| known.ended_at <= end.ended_at);
        self.ends.insert(at, end);
        if self.ends.len() > MAX_KEPT_ENDS {
            self.ends.remove(0);
        }
    }

    fn record_success(&mut self, at: Duration) {
        self.succeeded_at = self.succeeded_at.max(Some(at));
        self.forget_ends(at);
    }

    /// Forgets the ends until a time.
    fn forget_ends(&mut self, until: Duration) {
        self.ends.retain(|end| end.ended_at > until);
    }

    fn last_end(&self) -> Option<Duration> {
        self.ends.last().map(|end| end.ended_at)
    }
}

/// A verdict.
#[derive(Debug, Clone, Copy)]
struct HoldRow {
    starts_at: Duration,
    trial_at: Duration,
    trials: u32,
}

/// The suspects that one process knows, with the ends that entries have told it.
#[derive(Debug, Default)]
pub struct SuspectTable {
    rows: BTreeMap<SuspectKey, SuspectRow>,
    holds: BTreeMap<SuspectKey, HoldRow>,
    /// Processes that ended, by time, and whether they had begun a response which did not go on, with
    /// a part that had not succeeded before.
    ended: BTreeMap<(Duration, ServerProcess), bool>,
    /// When each of them ended.
    end_times: BTreeMap<ServerProcess, Duration>,
    version: u64,
    swept_at: Duration,
}

impl SuspectTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a note, and returns whether it changes what is held back.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::statements::ServerProcess;
    /// use toucanrail::suspects::{EndNote, RunStage, SuspectKey, SuspectNote, SuspectTable};
    /// let key = SuspectKey::Content(7);
    /// let mut table = SuspectTable::new();
    /// for at in [10, 11, 12].map(Duration::from_secs) {
    ///     let note = EndNote {
    ///         process: ServerProcess { id: format!("{at:?}").into(), started_at: 1 },
    ///         content: 7,
    ///         stage: RunStage::Waiting,
    ///         sent_ago: Duration::from_millis(30),
    ///         ended_ago: Duration::ZERO,
    ///         served_ago: None,
    ///         suspects: vec![SuspectNote { key, succeeded_ago: None }],
    ///     };
    ///     assert_eq!(table.record_end(&note, at), at == Duration::from_secs(12));
    /// }
    /// assert!(table.is_held(key, Duration::from_secs(12)));
    /// ```
    pub fn record_end(&mut self, note: &EndNote, now: Duration) -> bool {
        self.drop_expired(now);
        let ended_at = now.saturating_sub(note.ended_ago);
        let is_unproved_part = |suspect: &SuspectNote| {
            matches!(suspect.key, SuspectKey::Part(_)) && suspect.succeeded_ago.is_none()
        };
        let is_writing =
            note.stage == RunStage::Writing && note.suspects.iter().any(is_unproved_part);
        let ended_at = self.record_process(&note.process, ended_at, is_writing);
        for SuspectNote { key, succeeded_ago } in &note.suspects {
            let row = self.rows.entry(*key).or_default();
            row.forget_ends(now.saturating_sub(key.evidence_time()));
            if let Some(ago) = succeeded_ago {
                row.record_success(now.saturating_sub(*ago));
            }
            let served_at = note.served_ago.map(|ago| now.saturating_sub(ago));
            row.served_at = row.served_at.max(served_at);
            row.record_end(SuspectEnd {
                process: note.process.clone(),
                contents: vec![note.content],
                stage: note.stage,
                sent_at: now.saturating_sub(note.sent_ago),
                ended_at,
            });
        }
        // A response that had begun takes the end off the others, some of which may be held back.
        let held = self.holds.keys().copied();
        let keys: Vec<SuspectKey> =
            note.suspects.iter().map(|suspect| suspect.key).chain(held).collect();
        let changed = self.update_holds(&keys, now);
        // Another end under a suspect that is held back may part it from its companions.
        let told = note.suspects.iter().any(|suspect| self.holds.contains_key(&suspect.key));
        self.version += u64::from(told);
        changed || told
    }

    /// Records that a process ended. Returns when that was told first.
    fn record_process(
        &mut self,
        process: &ServerProcess,
        ended_at: Duration,
        is_writing: bool,
    ) -> Duration {
        let at = *self.end_times.entry(process.clone()).or_insert(ended_at);
        *self.ended.entry((at, process.clone())).or_default() |= is_writing;
        if self.ended.len() > MAX_ROWS
            && let Some(((_, oldest), _)) = self.ended.pop_first()
        {
            self.end_times.remove(&oldest);
        }
        at
    }

    /// Records that a suspect succeeded some time ago. Returns whether it is no longer held back for
    /// that.
    pub fn record_success(&mut self, key: SuspectKey, ago: Duration, now: Duration) -> bool {
        let Some(row) = self.rows.get_mut(&key) else {
            return false;
        };
        row.record_success(now.saturating_sub(ago));
        self.update_holds(&[key], now)
    }

    /// Returns whether a suspect is held back.
    pub fn is_held(&self, key: SuspectKey, now: Duration) -> bool {
        self.holds.get(&key).is_some_and(|hold| now >= hold.starts_at) && !self.is_expired(key, now)
    }

    /// Returns all suspects that are held back, or will be.
    pub fn held(&self, now: Duration) -> Vec<HeldSuspect> {
        let live = self.holds.iter().filter(|(key, _)| !self.is_expired(**key, now));
        let held = live.filter_map(|(key, hold)| {
            let row = self.rows.get(key)?;
            let first = row.ends.iter().find(|end| self.counts(*key, end))?.ended_at;
            Some(HeldSuspect {
                key: *key,
                with: self.list_companions(*key),
                since: now.saturating_sub(first),
                starts_in: hold.starts_at.saturating_sub(now),
                left: (row.last_end()? + key.evidence_time()).saturating_sub(now),
                trial_in: hold.trial_at.saturating_sub(now),
            })
        });
        held.collect()
    }

    /// Grants a trial of one request with these suspects, if those that are held back are due and no
    /// server has ended under another one: that would tell nothing of them.
    pub fn grant_trial(&mut self, suspects: &[SuspectKey], now: Duration) -> bool {
        let held = suspects.iter().copied().filter(|key| self.is_held(*key, now));
        let held: Vec<SuspectKey> = held.collect();
        let is_due =
            |key: &SuspectKey| self.holds.get(key).is_some_and(|hold| now >= hold.trial_at);
        let is_clean = |key: &SuspectKey| held.contains(key) || self.last_end(*key).is_none();
        if held.is_empty() || !held.iter().all(is_due) || !suspects.iter().all(is_clean) {
            return false;
        }
        for key in &held {
            if let Some(hold) = self.holds.get_mut(key) {
                hold.trial_at = now + NEXT_TRIAL * (1 << hold.trials.min(8));
                hold.trials += 1;
            }
        }
        self.version += 1;
        true
    }

    /// Takes back a trial whose request was not sent, so that the next one need not wait: servers that
    /// are down when it is due would otherwise prolong a wrong verdict. Returns whether there was one.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::suspects::{SuspectKey, SuspectTable};
    /// let mut table = SuspectTable::new();
    /// assert!(!table.return_trial(&[SuspectKey::Part(7)], Duration::ZERO));
    /// ```
    pub fn return_trial(&mut self, suspects: &[SuspectKey], now: Duration) -> bool {
        let mut returned = false;
        for key in suspects {
            if let Some(hold) = self.holds.get_mut(key).filter(|hold| hold.trials > 0) {
                hold.trials -= 1;
                hold.trial_at = hold.trial_at.min(now);
                returned = true;
            }
        }
        self.version += u64::from(returned);
        returned
    }

    /// Returns the time of the last end under a suspect.
    pub fn last_end(&self, key: SuspectKey) -> Option<Duration> {
        self.rows.get(&key).and_then(SuspectRow::last_end)
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

    /// Returns whether an end counts against a suspect.
    fn counts(&self, key: SuspectKey, end: &SuspectEnd) -> bool {
        if matches!(key, SuspectKey::Content(_)) {
            return true;
        }
        let together = self.ended_near(end.ended_at);
        let mut others = 0;
        for ((_, process), is_writing) in together {
            if *process == end.process {
                if *is_writing && end.stage == RunStage::Waiting {
                    return false;
                }
            } else if !self.has_end(key, process) {
                others += 1;
            }
        }
        others < MIN_TOGETHER
    }

    /// Returns the processes that ended together with an end at this time.
    fn ended_near(
        &self,
        at: Duration,
    ) -> impl Iterator<Item = (&(Duration, ServerProcess), &bool)> {
        let first = ServerProcess { id: BackendId::from(""), started_at: 0 };
        let begin = (at.saturating_sub(TOGETHER_TIME), first);
        let until = at + TOGETHER_TIME;
        self.ended.range(begin..).take_while(move |((ended_at, _), _)| *ended_at <= until)
    }

    fn has_end(&self, key: SuspectKey, process: &ServerProcess) -> bool {
        let row = self.rows.get(&key);
        row.is_some_and(|row| row.ends.iter().any(|end| end.process == *process))
    }

    /// Returns whether enough servers have ended under a suspect, one after the other; of a part, under
    /// different requests.
    fn is_at_fault(&self, key: SuspectKey) -> bool {
        let Some(row) = self.rows.get(&key) else {
            return false;
        };
        let is_part = matches!(key, SuspectKey::Part(_));
        let mut contents: BTreeSet<ContentKey> = BTreeSet::new();
        let mut chain = Vec::new();
        for end in row.ends.iter().filter(|end| self.counts(key, end)) {
            let follows = chain.last().is_none_or(|last| end.sent_at >= *last);
            let is_new = end.contents.iter().any(|content| !contents.contains(content));
            if follows && (is_new || !is_part) {
                chain.push(end.ended_at);
                contents.extend(&end.contents);
            }
        }
        let others_served = chain.first().is_some_and(|first| row.served_at > Some(*first));
        let needed = if is_part && !others_served { MAX_UNPROVED_ENDS } else { MAX_ENDS };
        chain.len() >= needed
    }

    /// Returns the other held parts that stood in all ends of a part, and for a part that had succeeded
    /// before also those that never have, which are the likelier cause.
    fn list_companions(&self, key: SuspectKey) -> Vec<SuspectKey> {
        let Some(row) = self.rows.get(&key).filter(|_| matches!(key, SuspectKey::Part(_))) else {
            return Vec::new();
        };
        let is_unproved_companion = |(other, other_row): &(&SuspectKey, &SuspectRow)| {
            let has_end = |end: &SuspectEnd| self.has_end(**other, &end.process);
            matches!(other, SuspectKey::Part(_))
                && other_row.succeeded_at.is_none()
                && !self.holds.contains_key(other)
                && row.ends.iter().all(has_end)
        };
        let rows = self.rows.iter().filter(|_| row.succeeded_at.is_some());
        let unproved = rows.filter(is_unproved_companion).map(|(other, _)| *other);
        let is_companion = |other: &SuspectKey| {
            let Some(other_row) = self.rows.get(other) else {
                return false;
            };
            let oldest = other_row.ends.first().map_or(Duration::MAX, |end| end.ended_at);
            let shared = |end: &SuspectEnd| self.has_end(*other, &end.process);
            let mut ends = row.ends.iter().filter(|end| end.ended_at >= oldest).peekable();
            ends.peek().is_some() && ends.all(shared)
        };
        let others = self.holds.keys().filter(|other| **other != key);
        let parts = others.filter(|other| matches!(other, SuspectKey::Part(_)));
        parts.copied().filter(is_companion).chain(unproved).collect()
    }

    /// Updates the verdicts on some suspects. Returns whether any has changed.
    fn update_holds(&mut self, keys: &[SuspectKey], now: Duration) -> bool {
        let mut changed = false;
        for key in keys {
            let is_held = self.is_at_fault(*key);
            if is_held && !self.holds.contains_key(key) {
                let (starts_at, trial_at) = (now + key.delay(), now + FIRST_TRIAL);
                self.holds.insert(*key, HoldRow { starts_at, trial_at, trials: 0 });
                changed = true;
            } else if !is_held {
                changed |= self.holds.remove(key).is_some();
            }
        }
        self.version += u64::from(changed);
        changed
    }

    fn is_expired(&self, key: SuspectKey, now: Duration) -> bool {
        self.last_end(key).is_none_or(|at| now >= at + key.evidence_time())
    }

    /// Drops at intervals the suspects whose last end is too old, and the older half of a full table.
    fn drop_expired(&mut self, now: Duration) {
        if self.rows.len() < MAX_ROWS && now < self.swept_at + SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        let is_live = |key: &SuspectKey, row: &SuspectRow| {
            row.last_end().is_some_and(|at| now < at + key.evidence_time())
        };
        self.rows.retain(|key, row| is_live(key, row));
        self.ended.retain(|(at, _), _| now < *at + PART_TIME);
        self.end_times.retain(|_, at| now < *at + PART_TIME);
        if self.rows.len() >= MAX_ROWS {
            let mut times: Vec<Option<Duration>> =
                self.rows.values().map(SuspectRow::last_end).collect();
            times.sort_unstable();
            let (median, holds) = (times[times.len() / 2], &self.holds);
            self.rows.retain(|key, row| row.last_end() > median || holds.contains_key(key));
        }
        let rows = &self.rows;
        self.holds.retain(|key, _| rows.contains_key(key));
    }
}
