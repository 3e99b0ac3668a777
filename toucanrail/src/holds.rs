//! The suspects that an entry holds back, by what relays tell it and by what it has seen itself.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::endpoints::RelayName;
use crate::origin_keepers::ProcessNumber;
use crate::suspects::{EndNote, HeldSuspect, SuccessTable, SuspectKey, SuspectTable};

/// Time for which the word of a relay that no longer responds decides.
const WORD_TIME: Duration = Duration::from_secs(20);

/// What an entry tells a relay about suspects.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Servers that ended.
    pub ends: Vec<EndNote>,
    /// Suspects that have succeeded, and the time since then.
    pub successes: Vec<(SuspectKey, Duration)>,
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

#[derive(Debug)]
struct RelayWord {
    heard_at: Duration,
    process: ProcessNumber,
    version: u64,
    /// Suspects, and the time until which they are held back.
    held: BTreeMap<SuspectKey, Duration>,
}

/// What relays have told an entry about suspects, and what it has seen itself.
#[derive(Debug, Default)]
pub struct HoldTable {
    words: BTreeMap<RelayName, RelayWord>,
    own: SuspectTable,
    /// Time until which relays have been told what this entry has seen.
    told_until: Duration,
    successes: SuccessTable,
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

    /// Records a success that this entry has seen.
    pub fn record_success(&mut self, key: SuspectKey, now: Duration) {
        self.successes.record(key, now);
        self.own.record_success(key, Duration::ZERO, now);
    }

    /// Returns the time since this entry saw a success.
    pub fn success_age(&self, key: SuspectKey, now: Duration) -> Option<Duration> {
        self.successes.age(key, now)
    }

    /// Applies a relay's reply. Returns the suspects that it holds back although this entry has seen
    /// them succeed, and the times since then; they are not held back here.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::holds::{HoldReply, HoldTable};
    /// use toucanrail::suspects::{HeldSuspect, SuspectKey};
    /// let (key, now) = (SuspectKey::Content(7), Duration::from_secs(50));
    /// let (since, left) = (Duration::from_secs(4), Duration::from_secs(20));
    /// let reply = HoldReply { process: 1, version: 1, held: vec![HeldSuspect { key, since, left }] };
    /// let mut table = HoldTable::default();
    /// assert!(table.apply_reply(&"side-1".into(), &reply, now).is_empty());
    /// assert!(table.is_held(key, now));
    /// table.record_success(key, now - Duration::from_secs(2));
    /// let succeeded = table.apply_reply(&"side-1".into(), &reply, now);
    /// assert_eq!(succeeded, [(key, Duration::from_secs(2))]);
    /// assert!(!table.is_held(key, now));
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
                    held.insert(suspect.key, now + suspect.left);
                }
            }
        }
        let HoldReply { process, version, .. } = *reply;
        let word = RelayWord { heard_at: now, process, version, held };
        self.words.insert(Arc::clone(relay), word);
        succeeded
    }

    /// Returns the process and the version of a relay's last reply.
    pub fn known(&self, relay: &RelayName) -> Option<(ProcessNumber, u64)> {
        self.words.get(relay).map(|word| (word.process, word.version))
    }

    /// Returns whether a suspect is held back.
    ///
    /// Relays know of the ends and successes that all entries have seen. What this entry has seen
    /// itself decides only as far as no relay has been told of it.
    pub fn is_held(&self, key: SuspectKey, now: Duration) -> bool {
        let is_current = |word: &&RelayWord| now.saturating_sub(word.heard_at) < WORD_TIME;
        let mut words = self.words.values().filter(is_current);
        let is_untold = self.own.last_end(key).is_some_and(|at| at > self.told_until);
        words.any(|word| word.held.get(&key).is_some_and(|until| now < *until))
            || is_untold && self.own.is_held(key, now)
    }

    /// Returns the number of suspects that are held back.
    pub fn held_count(&self, now: Duration) -> usize {
        let held = self.words.values().flat_map(|word| &word.held);
        held.filter(|(key, until)| now < **until && self.is_held(**key, now)).count()
    }

    /// Forgets relays that are no longer listed.
    pub fn retain_relays<Listed>(&mut self, is_listed: Listed)
    where
        Listed: Fn(&RelayName) -> bool,
    {
        self.words.retain(|relay, _| is_listed(relay));
    }
}
