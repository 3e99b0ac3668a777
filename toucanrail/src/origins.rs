//! Origins of streams: the service and the software version of the server that began a stream.
//!
//! What servers of two versions write does not fit together, and servers do not check it. A caller
//! that takes a stream up may reach another entry than before, or the same one after a restart, so
//! that entries note the origins of their streams at a few relays.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{RequestId, ServiceName, SoftwareVersion};
use crate::version_history::{ListedVersions, VersionStatements};

/// Upper bound of the time for which an origin is kept, whatever a caller states.
pub const MAX_NOTE_TIME: Duration = Duration::from_secs(120);
/// Time by which a note has to be valid for longer than the ones before, to be told to relays again.
const MIN_RENEWAL: Duration = Duration::from_secs(1);
/// Maximum number of streams in a table; bounds its memory to about 5 MB.
const MAX_ROWS: usize = 16_384;

/// Number of a note in the order of one table, starting at 1.
pub type NoteNumber = u64;

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service of the server that began it.
    pub service: ServiceName,
    /// Software version of that server.
    pub version: SoftwareVersion,
}

/// The origin of one stream, as entries tell relays.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginNote {
    /// The caller's attempt that received the first event.
    pub attempt: RequestId,
    /// Where the stream began.
    pub origin: StreamOrigin,
    /// Time after which the caller takes the stream up no more.
    pub valid_for: Duration,
}

/// What an entry tells a relay about streams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReport {
    /// Origins of streams.
    pub notes: Vec<OriginNote>,
    /// Versions of the services' servers.
    pub versions: VersionStatements,
    /// All versions that the entry lists, also where it cannot state that there are no others.
    pub listed: ListedVersions,
}

/// What a relay knows about a stream that a caller takes up.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReply {
    /// Where it began, if an entry has noted that.
    pub origin: Option<StreamOrigin>,
    /// Time since the relay got that note.
    pub noted_ago: Option<Duration>,
    /// What entries state of the versions of the services' servers.
    pub versions: VersionStatements,
}

#[derive(Debug)]
struct OriginRow {
    /// None if notes contradict one another.
    origin: Option<StreamOrigin>,
    noted_at: Duration,
    expires_at: Duration,
    /// Number of its newest note in `order`.
    number: NoteNumber,
}

/// The origins of the streams that callers may still take up.
#[derive(Debug, Default)]
pub struct OriginTable {
    rows: BTreeMap<RequestId, OriginRow>,
    /// Attempts in the order of their notes; one whose time was extended is in it once more.
    order: VecDeque<RequestId>,
    /// Number of the first note in `order`, less one.
    dropped: NoteNumber,
}

impl OriginReply {
    /// Returns whether the relay has notes for the attempt that contradict one another.
    pub fn is_contradictory(&self) -> bool {
        self.origin.is_none() && self.noted_ago.is_some()
    }
}

impl OriginTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Inserts a note, and drops expired ones. A note for a known attempt extends the time for which
    /// that is valid, since a caller that comes back may come back once more.
    ///
    /// If two notes for one attempt differ, a caller has used its id twice, and the origin counts
    /// as unknown.
    pub fn insert(&mut self, note: OriginNote, now: Duration) {
        self.drop_expired(now);
        let OriginNote { attempt, origin, valid_for } = note;
        let (number, expires_at) = (self.newest() + 1, now.saturating_add(valid_for));
        if let Some(row) = self.rows.get_mut(&attempt) {
            row.origin.take_if(|known| *known != origin);
            if expires_at < row.expires_at.saturating_add(MIN_RENEWAL) {
                return;
            }
            (row.number, row.expires_at) = (number, expires_at);
        } else {
            let row = OriginRow { origin: Some(origin), noted_at: now, expires_at, number };
            self.rows.insert(RequestId::clone(&attempt), row);
        }
        self.order.push_back(attempt);
    }

    /// Returns the origin of the stream whose first event an attempt received, if it is known.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::origins::{OriginNote, OriginTable, StreamOrigin};
    /// let origin = StreamOrigin { service: "llm".into(), version: "v1".into() };
    /// let valid_for = Duration::from_secs(15);
    /// let note = OriginNote { attempt: "a".into(), origin: origin.clone(), valid_for };
    /// let mut table = OriginTable::new();
    /// table.insert(note, Duration::ZERO);
    /// assert_eq!(table.find("a", Duration::from_secs(14)), Some(&origin));
    /// assert_eq!(table.find("a", Duration::from_secs(15)), None);
    /// ```
    pub fn find(&self, attempt: &str, now: Duration) -> Option<&StreamOrigin> {
        self.rows.get(attempt).filter(|row| now < row.expires_at)?.origin.as_ref()
    }

    /// Returns the time since the first note for an attempt, if it has a valid one. Without an origin
    /// its notes contradict one another.
    pub fn note_age(&self, attempt: &str, now: Duration) -> Option<Duration> {
        let row = self.rows.get(attempt).filter(|row| now < row.expires_at)?;
        Some(now.saturating_sub(row.noted_at))
    }

    /// Returns the number of the newest note; 0 if there was none.
    pub fn newest(&self) -> NoteNumber {
        self.dropped + self.order.len() as NoteNumber
    }

    /// Returns the valid notes with higher numbers than `number`, and their numbers, oldest first.
    pub fn notes_after(
        &self,
        number: NoteNumber,
        now: Duration,
    ) -> impl Iterator<Item = (NoteNumber, OriginNote)> {
        let first = number.max(self.dropped);
        let skipped = usize::try_from(first - self.dropped).unwrap_or(usize::MAX);
        (first + 1..).zip(self.order.iter().skip(skipped)).filter_map(move |(number, attempt)| {
            let row = self.rows.get(attempt).filter(|row| row.number == number)?;
            let valid_for = row.expires_at.checked_sub(now).filter(|left| !left.is_zero())?;
            let origin = row.origin.clone()?;
            Some((number, OriginNote { attempt: RequestId::clone(attempt), origin, valid_for }))
        })
    }

    /// Returns the number of streams in the table.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Drops expired notes from the front, and the oldest one of a full table.
    fn drop_expired(&mut self, now: Duration) {
        while let Some(oldest) = self.order.front() {
            let number = self.dropped + 1;
            let newest = self.rows.get(oldest).filter(|row| row.number == number);
            if newest.is_some_and(|row| now < row.expires_at) && self.order.len() < MAX_ROWS {
                return;
            }
            if newest.is_some() {
                self.rows.remove(oldest);
            }
            self.order.pop_front();
            self.dropped += 1;
        }
    }
}
