//! The suspects that an entry holds back, by what relays tell it and by what it has seen itself.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::endpoints::RelayName;
use crate::ids::ServiceName;
use crate::origin_keepers::ProcessNumber;
use crate::successes::SuccessTable;
use crate::suspects::{EndNote, HeldSuspect, SuspectKey, SuspectTable};

/// Age up to which the last reply of a relay counts beside newer ones of others.
const MAX_REPLY_AGE: Duration = Duration::from_secs(20);

/// Minimum time between two of an entry's questions for a trial.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);

/// What an entry tells a relay about suspects.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Servers that ended.
    pub ends: Vec<EndNote>,
    /// Suspects that have succeeded, and the time since then.
    pub successes: Vec<(SuspectKey, Duration)>,
    /// Trials whose requests were not sent.
    #[serde(default)]
    pub unused_trials: Vec<TrialRequest>,
}

/// An entry's question for the suspects that are held back; the relay replies as soon as it has news.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldQuery {
    /// The process and the version of the reply that the entry has.
    pub known: Option<(ProcessNumber, u64)>,
    /// Maximum time until the reply.
    pub wait: Duration,
}

/// The suspects that a relay holds back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldReply {
    /// The relay's process, which tells whether it has started again.
    pub process: ProcessNumber,
    /// Version of the list.
    pub version: u64,
    /// The suspects.
    pub held: Vec<HeldSuspect>,
}

/// Suspects of a request that is held back, which an entry wants to try.
pub type TrialRequest = Vec<SuspectKey>;

/// Which request is to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldScope {
    /// One under which no server has ended in this attempt of its caller.
    New,
    /// One under which a server has just ended; verdicts apply to it before they take effect.
    Repeat,
}

/// A request that is held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestHold {
    /// Time from which one such request may be tried; `None` if none is.
    pub trial_at: Option<Duration>,
}

impl RequestHold {
    /// Returns whether a trial of the request may be asked for; `asked_at` is when the entry last
    /// asked for one.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::holds::RequestHold;
    /// let seconds = Duration::from_secs;
    /// let hold = RequestHold { trial_at: Some(seconds(9)) };
    /// assert!(hold.is_trial_due(seconds(0), seconds(9)));
    /// assert!(!hold.is_trial_due(seconds(0), seconds(8)));
    /// assert!(!hold.is_trial_due(seconds(9), seconds(9)));
    /// ```
    pub fn is_trial_due(&self, asked_at: Duration, now: Duration) -> bool {
        self.trial_at.is_some_and(|at| now >= at) && now >= asked_at + TRIAL_INTERVAL
    }
}

/// One suspect that a relay holds back.
#[derive(Debug)]
struct SuspectHold {
    with: Vec<SuspectKey>,
    starts_at: Duration,
    until: Duration,
    trial_at: Duration,
}

impl SuspectHold {
    fn new(suspect: &HeldSuspect, now: Duration) -> Self {
        Self {
            with: suspect.with.clone(),
            starts_at: now.saturating_add(suspect.starts_in),
            until: now.saturating_add(suspect.left),
            trial_at: now.saturating_add(suspect.trial_in),
        }
    }

    /// Returns whether a request with these suspects is held back.
    fn applies_to(&self, suspects: &[SuspectKey], scope: HoldScope, now: Duration) -> bool {
        let starts_at = match scope {
            HoldScope::New => self.starts_at,
            HoldScope::Repeat => Duration::ZERO,
        };
        (starts_at..self.until).contains(&now) && self.with.iter().all(|key| suspects.contains(key))
    }
}

#[derive(Debug)]
struct RelayHolds {
    heard_at: Duration,
    process: ProcessNumber,
    version: u64,
    held: BTreeMap<SuspectKey, SuspectHold>,
}

/// What relays have told an entry about suspects, and what it has seen itself.
#[derive(Debug, Default)]
pub struct HoldTable {
    replies: BTreeMap<RelayName, RelayHolds>,
    own: SuspectTable,
    /// Time until which relays have been told what this entry has seen.
    told_until: Duration,
    successes: SuccessTable,
    /// When a response of each service last went on.
    served_at: BTreeMap<ServiceName, Duration>,
}

impl HoldTable {
    /// Records a server's end that this entry has seen.
    pub fn record_end(&mut self, note: &EndNote, now: Duration) {
        self.own.record_end(note, now);
    }

    /// Records that a relay has got all ends that this entry had seen at a time.
    pub fn record_told(&mut self, at: Duration) {
        self.told_until = self.told_until.max(at);
    }

    /// Records a success that this entry has seen. Returns whether a relay holds the suspect back and
    /// must be told.
    pub fn record_success(&mut self, key: SuspectKey, now: Duration) -> bool {
        self.successes.record(key, now);
        self.own.record_success(key, Duration::ZERO, now);
        let replies = self.replies.values_mut();
        replies.filter_map(|holds| holds.held.remove(&key)).count() > 0
    }

    /// Records that a response of a service has gone on.
    pub fn record_served(&mut self, service: &ServiceName, now: Duration) {
        self.served_at.insert(Arc::clone(service), now);
    }

    /// Returns the time since a response of a service last went on.
    pub fn served_age(&self, service: &str, now: Duration) -> Option<Duration> {
        self.served_at.get(service).map(|at| now.saturating_sub(*at))
    }

    /// Returns the time since this entry saw a success.
    pub fn success_age(&self, key: SuspectKey, now: Duration) -> Option<Duration> {
        self.successes.age(key, now)
    }

    /// Returns a note as told `delay` after it was made, with what has succeeded since.
    pub fn renew_note(&self, note: &EndNote, delay: Duration, now: Duration) -> EndNote {
        let mut note = note.clone();
        note.sent_ago = note.sent_ago.saturating_add(delay);
        note.ended_ago = note.ended_ago.saturating_add(delay);
        note.served_ago = note.served_ago.map(|ago| ago.saturating_add(delay));
        for suspect in &mut note.suspects {
            let known = suspect.succeeded_ago.map(|ago| ago.saturating_add(delay));
            suspect.succeeded_ago = self.successes.age(suspect.key, now).or(known);
        }
        note
    }

    /// Applies a relay's reply. Returns the suspects that it holds back although this entry has seen
    /// them succeed, and the times since then; they are not held back here.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::holds::{HoldReply, HoldScope, HoldTable};
    /// use toucanrail::suspects::{HeldSuspect, SuspectKey};
    /// let (key, now) = (SuspectKey::Content(7), Duration::from_secs(50));
    /// let seconds = Duration::from_secs;
    /// let suspect = HeldSuspect {
    ///     key,
    ///     with: Vec::new(),
    ///     since: seconds(4),
    ///     starts_in: seconds(0),
    ///     left: seconds(20),
    ///     trial_in: seconds(9),
    /// };
    /// let reply = HoldReply { process: 1, version: 1, held: vec![suspect] };
    /// let mut table = HoldTable::default();
    /// assert!(table.apply_reply(&"side-1".into(), &reply, now).is_empty());
    /// assert!(table.find_hold(&[key], HoldScope::New, now).is_some());
    /// table.record_success(key, now - seconds(2));
    /// let succeeded = table.apply_reply(&"side-1".into(), &reply, now);
    /// assert_eq!(succeeded, [(key, seconds(2))]);
    /// assert!(table.find_hold(&[key], HoldScope::New, now).is_none());
    /// ```
    pub fn apply_reply(
        &mut self,
        relay: &RelayName,
        reply: &HoldReply,
        now: Duration,
    ) -> Vec<(SuspectKey, Duration)> {
        let mut held = BTreeMap::new();
        let mut succeeded = Vec::new();
        for suspect in &reply.held {
            match self.successes.age(suspect.key, now).filter(|age| *age < suspect.since) {
                Some(age) => succeeded.push((suspect.key, age)),
                None => {
                    held.insert(suspect.key, SuspectHold::new(suspect, now));
                }
            }
        }
        let HoldReply { process, version, .. } = *reply;
        let holds = RelayHolds { heard_at: now, process, version, held };
        self.replies.insert(Arc::clone(relay), holds);
        succeeded
    }

    /// Returns the process and the version of a relay's last reply.
    pub fn known(&self, relay: &RelayName) -> Option<(ProcessNumber, u64)> {
        self.replies.get(relay).map(|holds| (holds.process, holds.version))
    }

    /// Returns whether a request with these suspects is held back, and why.
    ///
    /// Relays know of the ends and successes that all entries have seen. What this entry has seen
    /// itself decides only as far as no relay has been told of it.
    pub fn find_hold(
        &self,
        suspects: &[SuspectKey],
        scope: HoldScope,
        now: Duration,
    ) -> Option<RequestHold> {
        let told = self.find_told(suspects, scope, now);
        told.or_else(|| self.find_untold(suspects, scope, now))
    }

    /// Looks for a hold in the last replies of the relays that responded lately, or of all if none did.
    fn find_told(
        &self,
        suspects: &[SuspectKey],
        scope: HoldScope,
        now: Duration,
    ) -> Option<RequestHold> {
        let is_current = |holds: &RelayHolds| now.saturating_sub(holds.heard_at) < MAX_REPLY_AGE;
        let any_current = self.replies.values().any(is_current);
        let replies = self.replies.values().filter(|holds| !any_current || is_current(holds));
        let mut rows = Vec::new();
        for holds in replies {
            let held = suspects.iter().filter_map(|key| Some((*key, holds.held.get(key)?)));
            rows.extend(held.filter(|(_, row)| row.applies_to(suspects, scope, now)));
        }
        make_hold(&rows)
    }

    fn find_untold(
        &self,
        suspects: &[SuspectKey],
        scope: HoldScope,
        now: Duration,
    ) -> Option<RequestHold> {
        let is_untold =
            |key: &SuspectKey| self.own.last_end(*key).is_some_and(|at| at > self.told_until);
        if !suspects.iter().any(is_untold) {
            return None;
        }
        let held = self.own.held(now);
        let rows: Vec<(SuspectKey, SuspectHold)> = held
            .iter()
            .filter(|suspect| suspects.contains(&suspect.key) && is_untold(&suspect.key))
            .map(|suspect| (suspect.key, SuspectHold::new(suspect, now)))
            .collect();
        let applying = rows.iter().filter(|(_, row)| row.applies_to(suspects, scope, now));
        make_hold(&applying.map(|(key, row)| (*key, row)).collect::<Vec<_>>())
    }

    /// Grants a trial by what this entry has seen itself, where there is no relay.
    pub fn grant_trial(&mut self, suspects: &[SuspectKey], now: Duration) -> bool {
        self.own.grant_trial(suspects, now)
    }

    /// Takes back a trial that was granted here and not used.
    pub fn return_trial(&mut self, suspects: &[SuspectKey], now: Duration) {
        self.own.return_trial(suspects, now);
    }

    /// Returns the suspects that are held back, by relay.
    pub fn held_counts(&self) -> BTreeMap<RelayName, usize> {
        self.replies.iter().map(|(relay, holds)| (Arc::clone(relay), holds.held.len())).collect()
    }
}

fn make_hold(rows: &[(SuspectKey, &SuspectHold)]) -> Option<RequestHold> {
    let may_try = rows.iter().all(|(key, _)| matches!(key, SuspectKey::Part(_)));
    let trial_at = rows.iter().map(|(_, row)| row.trial_at).max()?;
    Some(RequestHold { trial_at: Some(trial_at).filter(|_| may_try) })
}
