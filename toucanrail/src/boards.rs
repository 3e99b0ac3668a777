//! Boards: a relay's copy of all objects of one kind in the store, with their recent changes, for
//! the entries of its region.
//!
//! Every waiting watch counts as a call to the store, and each change wakes all of them. With some
//! tens of entries that each watch the store, these watches are half of a fleet's calls. One relay
//! that watches for all entries makes one call per change, regardless of their number.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use crate::endpoints::RelayName;
use crate::ids::Version;
use crate::loans;
use crate::messages::{ChangesReply, MirrorChange, MirrorObject};

/// Default time since the store's last response after which a board is stale and returns no
/// objects. Entries then ask the store themselves, well within the two seconds in which a change
/// must be known. A board's watch waits for less than this.
pub const MAX_AGE: Duration = Duration::from_millis(900);
/// Minimum number of changes kept for entries that lag behind, and the minimum per object: a release
/// of a service changes each of its servers' registrations two or three times.
const MIN_CHANGES: usize = 1_024;
const CHANGES_PER_OBJECT: usize = 4;
/// Minimum number of relays in a fleet that uses boards. In a smaller one few entries watch the
/// store, and a board's short watches cost as many calls as theirs.
const MIN_RELAYS: usize = 24;
/// Number of relays per board in use. The entries that query boards grow in number with the relays,
/// so that the load of one board does not grow with the fleet.
const RELAYS_PER_BOARD: usize = 128;
/// Number of boards that entries of one region fall back to when those in use fail. If the store
/// rejects part of all VMs, it is very unlikely that it rejects all of these.
const SPARE_BOARDS: usize = 3;
/// Rendezvous key by which relays are ranked as boards.
const BOARD_KEY: &str = "board";
/// Maximum time between an entry's own calls to a store that no board can reach; calls are spread
/// over the second half of it.
const MAX_OUTAGE_PAUSE: Duration = Duration::from_secs(2);

/// The objects of one kind, as last seen by a relay.
#[derive(Debug, Serialize)]
pub struct BoardTable {
    /// Time since the store's last response after which the table is stale.
    #[serde(rename = "fresh")]
    max_age: Duration,
    objects: BTreeMap<Arc<str>, MirrorObject>,
    changes: VecDeque<(Version, MirrorChange)>,
    /// `changes` holds all changes after this revision.
    complete_after: Version,
    revision: Version,
    heard_at: Option<Duration>,
    is_silent: bool,
}

impl BoardTable {
    /// Creates an empty table, which has no updates.
    pub fn new() -> Self {
        Self::with_max_age(MAX_AGE)
    }

    /// Creates an empty table that becomes stale `max_age` after the store's last response.
    pub fn with_max_age(max_age: Duration) -> Self {
        Self {
            max_age,
            objects: BTreeMap::new(),
            changes: VecDeque::new(),
            complete_after: 0,
            revision: 0,
            heard_at: None,
            is_silent: false,
        }
    }

    /// Returns the revision from which the watch continues; `None` before the first listing.
    pub fn revision(&self) -> Option<Version> {
        self.heard_at.map(|_| self.revision)
    }

    /// Replaces all objects by a listing at a revision of the store.
    pub fn apply_listing(&mut self, objects: Vec<MirrorObject>, revision: Version, now: Duration) {
        let rows = objects.into_iter().map(|object| (Arc::clone(&object.name), object));
        self.objects = rows.collect();
        self.changes.clear();
        self.complete_after = revision;
        self.revision = revision;
        self.heard_at = Some(now);
        self.is_silent = false;
    }

    /// Records that the store did not respond: the board is stale until it does. Returns whether it
    /// had responded to the call before.
    pub fn record_store_failure(&mut self) -> bool {
        !std::mem::replace(&mut self.is_silent, true)
    }

    /// Returns whether the store did not respond to the last call.
    ///
    /// # Examples
    /// ```
    /// let mut table = toucanrail::boards::BoardTable::new();
    /// assert!(table.record_store_failure() && table.is_silent());
    /// assert!(!table.record_store_failure());
    /// ```
    pub fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// Applies the changes up to a revision of the store.
    pub fn apply_changes(&mut self, changes: Vec<MirrorChange>, revision: Version, now: Duration) {
        self.revision = self.revision.max(revision);
        self.heard_at = Some(now);
        self.is_silent = false;
        for change in changes {
            let name = Arc::clone(&change.object.name);
            if change.removed {
                self.objects.remove(&name);
            } else {
                self.objects.insert(name, change.object.clone());
            }
            self.changes.push_back((self.revision, change));
        }
        let max_changes = MIN_CHANGES.max(self.objects.len() * CHANGES_PER_OBJECT);
        while self.changes.len() > max_changes {
            if let Some((dropped, _)) = self.changes.pop_front() {
                self.complete_after = dropped;
            }
        }
    }

    /// Returns whether the store's last call failed or its last response is too old.
    pub fn is_stale(&self, now: Duration) -> bool {
        let expired = self.heard_at.is_none_or(|heard| now.saturating_sub(heard) > self.max_age);
        expired || self.is_silent
    }

    /// Returns the updates for an entry that has seen everything up to `after`; `None` if there are
    /// none yet, such as before the store's first response.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::{boards::BoardTable, messages::ChangesReply};
    /// let mut table = BoardTable::new();
    /// assert_eq!(table.updates_since(Some(7), Duration::ZERO), None);
    /// table.apply_listing(Vec::new(), 7, Duration::ZERO);
    /// assert_eq!(table.updates_since(Some(7), Duration::ZERO), None);
    /// assert!(matches!(
    ///     table.updates_since(None, Duration::ZERO),
    ///     Some(ChangesReply::Listing { .. })
    /// ));
    /// ```
    pub fn updates_since(&self, after: Option<Version>, now: Duration) -> Option<ChangesReply> {
        if self.heard_at.is_none() && !self.is_silent {
            return None;
        }
        if self.is_stale(now) {
            return Some(ChangesReply::Stale);
        }
        // Changes with the same revision as the last dropped one may have been dropped as well.
        let Some(after) = after.filter(|after| *after >= self.complete_after) else {
            let objects = self.objects.values().cloned().collect();
            return Some(ChangesReply::Listing { objects, revision: self.revision });
        };
        let newer = self.changes.iter().filter(|(revision, _)| *revision > after);
        let changes: Vec<MirrorChange> = newer.map(|(_, change)| change.clone()).collect();
        (!changes.is_empty()).then_some(ChangesReply::Changes { changes, revision: self.revision })
    }

    /// Returns the reply to an entry that waited without any update.
    pub fn empty_update(&self, after: Version, now: Duration) -> ChangesReply {
        if self.is_stale(now) {
            return ChangesReply::Stale;
        }
        ChangesReply::Changes { changes: Vec::new(), revision: after }
    }
}

impl Default for BoardTable {
    fn default() -> Self {
        Self::new()
    }
}

/// Limits the rate at which an entry asks the store itself while no board can reach it.
///
/// The store may reject the boards' VMs but serve the entry's, so the entry has to try. If the
/// store is down for all, however, tens of entries that retry make most of a fleet's calls.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct OutageBackoff {
    until: Duration,
}

impl OutageBackoff {
    /// Returns whether the entry may ask the store now.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// let mut backoff = toucanrail::boards::OutageBackoff::default();
    /// assert!(backoff.may_ask(Duration::ZERO));
    /// backoff.record_failure(Duration::ZERO, 0.5);
    /// assert!(!backoff.may_ask(Duration::from_secs(1)));
    /// assert!(backoff.may_ask(Duration::from_secs(2)));
    /// ```
    pub fn may_ask(&self, now: Duration) -> bool {
        now >= self.until
    }

    /// Records that the store did not respond; `random` in `0..1` spreads entries.
    pub fn record_failure(&mut self, now: Duration, random: f64) {
        self.until = now + MAX_OUTAGE_PAUSE.mul_f64(0.5 + 0.5 * random);
    }
}

/// Returns whether a region with this number of relays uses boards.
///
/// # Examples
/// ```
/// assert!(!toucanrail::boards::uses_boards(3));
/// ```
pub fn uses_boards(relay_count: usize) -> bool {
    relay_count >= MIN_RELAYS
}

/// Returns the relays whose boards an entry asks, in order of preference; none in a small fleet.
/// `relays` are those of the region that respond, `listed` is the number of all.
///
/// All entries of a region use the same few boards. Each entry has an order of its own among those
/// in use, so that the entries of a board that fails are spread over all others.
///
/// # Examples
/// ```
/// assert!(toucanrail::boards::pick_boards(&[], 30, "front-1").is_empty());
/// ```
pub fn pick_boards(
    relays: &[(RelayName, SocketAddr)],
    listed: usize,
    entry: &str,
) -> Vec<(RelayName, SocketAddr)> {
    if !uses_boards(listed) {
        return Vec::new();
    }
    let in_use = relays.len().div_ceil(RELAYS_PER_BOARD);
    let mut boards = loans::rank_lenders(relays, BOARD_KEY);
    boards.truncate(in_use + SPARE_BOARDS);
    let spares = boards.split_off(in_use);
    let mut boards = loans::rank_lenders(&boards, entry);
    boards.extend(spares);
    boards
}
