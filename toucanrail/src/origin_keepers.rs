//! Choice of the relays that keep the origins of streams, and what each of them has already got.
//!
//! The attempts are divided into buckets. All entries note the attempts of a bucket at the same two
//! relays, which they choose by rendezvous hashing, so that any entry finds them again. The two are
//! in different data centres if there are several. The number of buckets grows with the fleet: a
//! small one needs few messages, and in a large one no relay hears of all streams.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3;

use crate::endpoints::{LocatedRelay, RelayName};
use crate::origins::{NoteNumber, OriginNote, OriginTable};
use crate::relay_ranks;

/// Relays that keep each origin. One may be lost together with the entry.
const COPIES: usize = 2;
/// Data centres, and relays in each of them, that are asked for an origin: more than keep it, since a
/// new relay may rank before these.
const ASKED_CENTRES: usize = 3;
const ASKED_RANKS: usize = 2;
/// Number of relays for each bucket.
const RELAYS_PER_BUCKET: usize = 16;
/// Time for which a relay that did not respond gets no notes; the next one by rank gets them. It
/// doubles with each consecutive failure, up to the maximum, since a relay whose VM was removed never
/// responds again.
const INITIAL_BACKOFF: Duration = Duration::from_secs(2);
const MAX_BACKOFF: Duration = Duration::from_secs(16);

/// Maximum number of notes in one message, which has a few hundred kilobytes then.
const MAX_BATCH: usize = 4_096;

/// Number of a bucket of attempts.
pub type BucketNumber = u64;
/// Random number of a relay's process, which tells whether it has started again.
pub type ProcessNumber = u64;

/// Returns the number of buckets in a fleet with this many relays: a power of two, so that it
/// changes rarely.
///
/// # Examples
/// ```
/// use toucanrail::origin_keepers;
/// assert_eq!([0, 18, 70, 625].map(origin_keepers::bucket_count), [1, 1, 4, 32]);
/// ```
pub fn bucket_count(relays: usize) -> BucketNumber {
    let buckets = (relays / RELAYS_PER_BUCKET).max(1);
    1 << buckets.ilog2()
}

/// Returns the relays to be asked for the origin of an attempt.
///
/// The entry that noted it may have known of fewer or more relays, and used half or twice as many
/// buckets.
///
/// # Examples
/// ```
/// assert!(toucanrail::origin_keepers::list_asked(&[], "a").is_empty());
/// ```
pub fn list_asked(relays: &[LocatedRelay], attempt: &str) -> Vec<LocatedRelay> {
    let buckets = bucket_count(relays.len());
    let mut asked = BTreeSet::new();
    let seed = bucket_seed(buckets, bucket_of(attempt, buckets));
    let centres = relay_ranks::rank_centres(relays, seed);
    let centres = centres.into_iter().take(ASKED_CENTRES);
    asked.extend(centres.flat_map(|relays| relays.into_iter().take(ASKED_RANKS)).cloned());
    for buckets in [buckets * 2, (buckets / 2).max(1)] {
        asked.extend(pick_keepers(relays, buckets, bucket_of(attempt, buckets)));
    }
    asked.into_iter().collect()
}

fn bucket_of(attempt: &str, buckets: BucketNumber) -> BucketNumber {
    xxh3::xxh3_64(attempt.as_bytes()) % buckets
}

/// Returns the relays that keep a bucket.
fn pick_keepers(
    relays: &[LocatedRelay],
    buckets: BucketNumber,
    bucket: BucketNumber,
) -> Vec<LocatedRelay> {
    relay_ranks::pick_relays(relays, bucket_seed(buckets, bucket), COPIES)
}

fn bucket_seed(buckets: BucketNumber, bucket: BucketNumber) -> u64 {
    relay_ranks::rank_seed(&format!("origins {bucket} of {buckets}"))
}

/// Notes that a relay lacks.
#[derive(Debug)]
pub struct NoteBatch {
    /// The relay.
    pub relay: LocatedRelay,
    /// The notes.
    pub notes: Vec<OriginNote>,
    buckets: BucketNumber,
    bucket: BucketNumber,
    /// Number of the newest note that the relay has with this batch.
    newest: NoteNumber,
    /// Number of the newest note of the plan before.
    planned_before: NoteNumber,
}

/// What a relay has got of one bucket.
#[derive(Debug, Clone, Copy)]
struct KeeperRow {
    process: ProcessNumber,
    newest: NoteNumber,
}

/// A relay that did not respond.
#[derive(Debug, Clone, Copy)]
struct FailureRow {
    until: Duration,
    length: Duration,
}

/// What the relays have got of an entry's notes.
#[derive(Debug, Default)]
pub struct KeeperTable {
    buckets: BucketNumber,
    rows: BTreeMap<(BucketNumber, RelayName), KeeperRow>,
    failed: BTreeMap<RelayName, FailureRow>,
    /// Number of the newest note that was planned to be sent.
    planned: NoteNumber,
}

impl KeeperTable {
    /// Creates the table of an entry that has sent no notes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether there are notes that no plan contains.
    pub fn has_news(&self, table: &OriginTable) -> bool {
        self.planned < table.newest()
    }

    /// Plans what to send now: for each bucket with new notes, all notes that its relays lack. A
    /// relay that is new to the bucket lacks all of them.
    pub fn plan_batches(
        &mut self,
        table: &OriginTable,
        relays: &[LocatedRelay],
        now: Duration,
    ) -> Vec<NoteBatch> {
        self.failed.retain(|name, _| relays.iter().any(|relay| relay.name == *name));
        let buckets = bucket_count(relays.len());
        if self.buckets != buckets {
            self.rows.clear();
            self.buckets = buckets;
        }
        let is_working = |relay: &&LocatedRelay| {
            self.failed.get(&relay.name).is_none_or(|failure| now >= failure.until)
        };
        let working: Vec<LocatedRelay> = relays.iter().filter(is_working).cloned().collect();
        if working.is_empty() {
            return Vec::new();
        }
        let news = table.notes_after(self.planned, now);
        let news: BTreeSet<BucketNumber> =
            news.map(|(_, note)| bucket_of(&note.attempt, buckets)).collect();
        let mut batches = Vec::new();
        for bucket in news {
            let keepers = pick_keepers(&working, buckets, bucket).into_iter();
            batches.extend(keepers.map(|relay| self.make_batch(table, relay, bucket, now)));
        }
        batches.retain(|batch| !batch.notes.is_empty());
        self.planned = table.newest();
        batches
    }

    fn make_batch(
        &self,
        table: &OriginTable,
        relay: LocatedRelay,
        bucket: BucketNumber,
        now: Duration,
    ) -> NoteBatch {
        let buckets = self.buckets;
        let known = self.rows.get(&(bucket, Arc::clone(&relay.name)));
        let mut newest = known.map_or(0, |row| row.newest);
        let lacking = table.notes_after(newest, now);
        let lacking = lacking.filter(|(_, note)| bucket_of(&note.attempt, buckets) == bucket);
        let (numbers, notes): (Vec<NoteNumber>, Vec<OriginNote>) = lacking.take(MAX_BATCH).unzip();
        newest = numbers.last().copied().unwrap_or(newest);
        NoteBatch { relay, notes, buckets, bucket, newest, planned_before: self.planned }
    }

    /// Records that a relay has got a batch. If it has started again since it got the ones before,
    /// returns the batch that it lacks now.
    pub fn record_sent(
        &mut self,
        batch: NoteBatch,
        process: ProcessNumber,
        table: &OriginTable,
        now: Duration,
    ) -> Option<NoteBatch> {
        self.failed.remove(&batch.relay.name);
        if batch.buckets != self.buckets {
            return None;
        }
        let key = (batch.bucket, Arc::clone(&batch.relay.name));
        if self.rows.get(&key).is_some_and(|row| row.process != process) {
            self.rows.remove(&key);
            return Some(self.make_batch(table, batch.relay, batch.bucket, now));
        }
        self.rows.insert(key, KeeperRow { process, newest: batch.newest });
        None
    }

    /// Records that a relay did not respond. The next plan has its notes for the next relay by
    /// rank.
    pub fn record_failure(&mut self, batch: &NoteBatch, now: Duration) {
        let relay = &batch.relay.name;
        let length = self.failed.get(relay).map_or(INITIAL_BACKOFF, |failure| failure.length * 2);
        let length = length.min(MAX_BACKOFF);
        self.failed.insert(Arc::clone(relay), FailureRow { until: now + length, length });
        self.planned = self.planned.min(batch.planned_before);
    }
}
