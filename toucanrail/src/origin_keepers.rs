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

/// Interval at which a relay that got nothing is checked for whether it has started again, and the
/// maximum number of such checks at once, which bounds the messages of an entry with few streams in a
/// large fleet.
pub const CHECK_INTERVAL: Duration = Duration::from_secs(1);
const MAX_CHECKS: usize = 4;

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

/// The relays that are asked for one origin, in waves.
///
/// An entry notes origins at the first relays by rank that respond. Others may be listed before these,
/// whose VMs have left. For each relay that does not respond the next wave has the next one by rank.
#[derive(Debug, Default)]
pub struct SearchPlan {
    unavailable: BTreeSet<RelayName>,
    asked: BTreeSet<LocatedRelay>,
}

impl SearchPlan {
    /// Creates the plan of a search by an entry to which some relays have not responded lately. These
    /// are asked too, but not instead of others.
    pub fn new(unavailable: BTreeSet<RelayName>) -> Self {
        Self { unavailable, asked: BTreeSet::new() }
    }

    /// Returns the relays to be asked next; none if all that may know the origin have been asked.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::origin_keepers::SearchPlan;
    /// assert!(SearchPlan::default().next_wave(&[], "a").is_empty());
    /// ```
    pub fn next_wave(&mut self, relays: &[LocatedRelay], attempt: &str) -> Vec<LocatedRelay> {
        let mut wave = BTreeSet::new();
        if self.asked.is_empty() {
            wave.extend(list_asked(relays, relays, attempt));
        }
        let is_available = |relay: &&LocatedRelay| !self.unavailable.contains(&relay.name);
        let available: Vec<LocatedRelay> = relays.iter().filter(is_available).cloned().collect();
        wave.extend(list_asked(relays, &available, attempt));
        wave.retain(|relay| !self.asked.contains(relay));
        self.asked.extend(wave.iter().cloned());
        wave.into_iter().collect()
    }

    /// Records that a relay did not respond.
    pub fn record_unavailable(&mut self, relay: &RelayName) {
        self.unavailable.insert(Arc::clone(relay));
    }
}

/// Returns those of the `available` relays that may keep the origin of an attempt, in a fleet with
/// all of these relays.
///
/// The entry that noted it may have known of fewer or more relays, and used half or twice as many
/// buckets.
fn list_asked(
    relays: &[LocatedRelay],
    available: &[LocatedRelay],
    attempt: &str,
) -> Vec<LocatedRelay> {
    let buckets = bucket_count(relays.len());
    let mut asked = BTreeSet::new();
    let seed = bucket_seed(buckets, bucket_of(attempt, buckets));
    let centres = relay_ranks::rank_centres(available, seed);
    let centres = centres.into_iter().take(ASKED_CENTRES);
    asked.extend(centres.flat_map(|relays| relays.into_iter().take(ASKED_RANKS)).cloned());
    for buckets in [buckets * 2, (buckets / 2).max(1)] {
        asked.extend(pick_keepers(available, buckets, bucket_of(attempt, buckets)));
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
}

impl NoteBatch {
    fn key(&self) -> (BucketNumber, RelayName) {
        (self.bucket, Arc::clone(&self.relay.name))
    }
}

/// What a relay has got of one bucket.
#[derive(Debug, Clone, Copy)]
struct KeeperRow {
    process: ProcessNumber,
    newest: NoteNumber,
    responded_at: Duration,
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
    /// Batches that are being sent.
    in_flight: BTreeSet<(BucketNumber, RelayName)>,
    /// Buckets of which a relay may lack notes that were planned before.
    lagging: BTreeSet<BucketNumber>,
    /// Number of the newest note that was planned to be sent.
    planned: NoteNumber,
    /// When the relays that got nothing for some time were last checked.
    checked_at: Duration,
}

impl KeeperTable {
    /// Creates the table of an entry that has sent no notes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether there is something to send: notes that no plan contains, or that a relay may
    /// lack.
    pub fn has_news(&self, table: &OriginTable) -> bool {
        self.planned < table.newest() || !self.lagging.is_empty()
    }

    /// Returns the relays that have not responded lately.
    pub fn unavailable(&self, now: Duration) -> BTreeSet<RelayName> {
        let failed = self.failed.iter().filter(|(_, failure)| now < failure.until);
        failed.map(|(name, _)| Arc::clone(name)).collect()
    }

    /// Plans what to send now: for each bucket with new notes, all notes that its relays lack. A
    /// relay that is new to the bucket lacks all of them. At intervals, relays that got nothing for
    /// some time get an empty batch, since they may have started again.
    pub fn plan_batches(
        &mut self,
        table: &OriginTable,
        relays: &[LocatedRelay],
        now: Duration,
    ) -> Vec<NoteBatch> {
        self.failed.retain(|name, _| relays.iter().any(|relay| relay.name == *name));
        let buckets = bucket_count(relays.len());
        if self.buckets != buckets {
            *self = Self { buckets, failed: std::mem::take(&mut self.failed), ..Self::default() };
        }
        let unavailable = self.unavailable(now);
        let is_working = |relay: &&LocatedRelay| !unavailable.contains(&relay.name);
        let working: Vec<LocatedRelay> = relays.iter().filter(is_working).cloned().collect();
        if working.is_empty() {
            return Vec::new();
        }
        let mut news = std::mem::take(&mut self.lagging);
        news.extend(list_buckets(table.notes_after(self.planned, now), buckets));
        self.planned = table.newest();
        let mut batches = Vec::new();
        for bucket in news {
            for relay in pick_keepers(&working, buckets, bucket) {
                let batch = self.make_batch(table, relay, bucket, now);
                if !batch.notes.is_empty() {
                    self.add_batch(batch, &mut batches);
                }
            }
        }
        if now >= self.checked_at + CHECK_INTERVAL {
            self.checked_at = now;
            self.plan_checks(table, &working, now, &mut batches);
        }
        batches
    }

    /// Adds batches for relays that should keep notes and have not responded for some time.
    fn plan_checks(
        &mut self,
        table: &OriginTable,
        working: &[LocatedRelay],
        now: Duration,
        batches: &mut Vec<NoteBatch>,
    ) {
        let mut due = Vec::new();
        for bucket in list_buckets(table.notes_after(0, now), self.buckets) {
            for relay in pick_keepers(working, self.buckets, bucket) {
                let key = (bucket, Arc::clone(&relay.name));
                let responded_at = self.rows.get(&key).map(|row| row.responded_at);
                let is_due = responded_at.is_none_or(|at| now >= at + CHECK_INTERVAL);
                if is_due && !self.in_flight.contains(&key) {
                    due.push((responded_at, bucket, relay));
                }
            }
        }
        due.sort();
        for (_, bucket, relay) in due.into_iter().take(MAX_CHECKS) {
            let batch = self.make_batch(table, relay, bucket, now);
            self.add_batch(batch, batches);
        }
    }

    /// Adds a batch, unless one for the same relay is being sent.
    fn add_batch(&mut self, batch: NoteBatch, batches: &mut Vec<NoteBatch>) {
        if self.in_flight.insert(batch.key()) {
            batches.push(batch);
        } else {
            self.lagging.insert(batch.bucket);
        }
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
        NoteBatch { relay, notes, buckets, bucket, newest }
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
        let key = batch.key();
        if self.rows.get(&key).is_some_and(|row| row.process != process) {
            self.rows.remove(&key);
            return Some(self.make_batch(table, batch.relay, batch.bucket, now));
        }
        if batch.notes.len() >= MAX_BATCH {
            self.lagging.insert(batch.bucket);
        }
        self.in_flight.remove(&key);
        self.rows.insert(key, KeeperRow { process, newest: batch.newest, responded_at: now });
        None
    }

    /// Records that a relay did not take a batch. The next plan has its notes for the next relay by
    /// rank.
    pub fn record_failure(&mut self, batch: &NoteBatch, now: Duration) {
        self.record_unavailable(&batch.relay.name, now);
        if batch.buckets == self.buckets {
            self.in_flight.remove(&batch.key());
            self.lagging.insert(batch.bucket);
        }
    }

    /// Records that a relay did not respond.
    pub fn record_unavailable(&mut self, relay: &RelayName, now: Duration) {
        let length = self.failed.get(relay).map_or(INITIAL_BACKOFF, |failure| failure.length * 2);
        let length = length.min(MAX_BACKOFF);
        self.failed.insert(Arc::clone(relay), FailureRow { until: now + length, length });
    }
}

fn list_buckets<Notes>(notes: Notes, buckets: BucketNumber) -> BTreeSet<BucketNumber>
where
    Notes: Iterator<Item = (NoteNumber, OriginNote)>,
{
    notes.map(|(_, note)| bucket_of(&note.attempt, buckets)).collect()
}
