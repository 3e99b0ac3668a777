//! What a relay knows of one kind of objects in the store, for the entries of its region.
//!
//! The load it answers: each waiting watch of the store is a counted call, and each change wakes every
//! one of them. Some tens of entries that watch for themselves make half of a fleet's calls; one relay
//! that watches for them makes one a change, whatever the number of entries.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use crate::endpoints::RelayName;
use crate::ids::Version;
use crate::loans;
use crate::messages::{ChangesReply, MirrorChange, MirrorObject};

/// Usual time since the store's last answer from which a board answers nothing: an entry then asks the store
/// itself, well within the two seconds in which a change must be known. A board's watch waits for less.
pub const FRESH_BOUND: Duration = Duration::from_millis(900);
/// Changes kept for entries that are behind; a release of a large service makes some hundred.
const CHANGE_LIMIT: usize = 1_024;
/// Fewest relays of a fleet that uses boards: in a smaller one few entries watch, and a board's short
/// watches cost as many calls as theirs.
const RELAY_LEAST: usize = 24;
/// Boards that entries of one region choose from, each standing in for those before it. Where a part of all
/// VMs is turned away by the store, one of them is hardly ever without it.
const BOARD_COUNT: usize = 4;
/// What boards are ranked by.
const BOARD_KEY: &str = "board";
/// Longest time between an entry's own calls to a store that no board hears from; they are spread over the
/// second half of it.
const OUTAGE_PAUSE: Duration = Duration::from_secs(2);

/// One kind as a relay last saw it.
#[derive(Debug, Serialize)]
pub struct BoardTable {
    /// Time since the store's last answer from which the table is stale.
    fresh: Duration,
    objects: BTreeMap<Arc<str>, MirrorObject>,
    changes: VecDeque<(Version, MirrorChange)>,
    /// All changes behind this revision are in `changes`.
    complete_after: Version,
    revision: Version,
    heard_at: Option<Duration>,
    is_silent: bool,
}

impl BoardTable {
    /// Makes an empty table, which has no news.
    pub fn new() -> Self {
        Self::with_freshness(FRESH_BOUND)
    }

    /// Makes an empty table that is stale some time after the store's last answer.
    pub fn with_freshness(fresh: Duration) -> Self {
        Self {
            fresh,
            objects: BTreeMap::new(),
            changes: VecDeque::new(),
            complete_after: 0,
            revision: 0,
            heard_at: None,
            is_silent: false,
        }
    }

    /// Returns the revision from which a watch goes on; none before the first listing.
    pub fn revision(&self) -> Option<Version> {
        self.heard_at.map(|_| self.revision)
    }

    /// Takes all objects at a revision of the store.
    pub fn take_listing(&mut self, objects: Vec<MirrorObject>, revision: Version, now: Duration) {
        let rows = objects.into_iter().map(|object| (Arc::clone(&object.name), object));
        self.objects = rows.collect();
        self.changes.clear();
        self.complete_after = revision;
        self.revision = revision;
        self.heard_at = Some(now);
        self.is_silent = false;
    }

    /// Notes that the store did not answer: the board is stale until it does.
    pub fn note_silence(&mut self) {
        self.is_silent = true;
    }

    /// Takes the changes up to a revision of the store.
    pub fn take_changes(&mut self, changes: Vec<MirrorChange>, revision: Version, now: Duration) {
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
        while self.changes.len() > CHANGE_LIMIT {
            if let Some((dropped, _)) = self.changes.pop_front() {
                self.complete_after = dropped;
            }
        }
    }

    /// Tells whether the store's last call had no answer, or it has been silent for too long.
    pub fn is_stale(&self, now: Duration) -> bool {
        let old = self.heard_at.is_none_or(|heard| now.saturating_sub(heard) > self.fresh);
        old || self.is_silent
    }

    /// Returns what an entry does not know that has seen all up to `after`; none if there is nothing
    /// yet, as before the first answer of the store.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::{boards::BoardTable, messages::ChangesReply};
    /// let mut table = BoardTable::new();
    /// assert_eq!(table.news(Some(7), Duration::ZERO), None);
    /// table.take_listing(Vec::new(), 7, Duration::ZERO);
    /// assert_eq!(table.news(Some(7), Duration::ZERO), None);
    /// assert!(matches!(table.news(None, Duration::ZERO), Some(ChangesReply::Listing { .. })));
    /// ```
    pub fn news(&self, after: Option<Version>, now: Duration) -> Option<ChangesReply> {
        if self.heard_at.is_none() && !self.is_silent {
            return None;
        }
        if self.is_stale(now) {
            return Some(ChangesReply::Stale);
        }
        // Changes that share a revision with the last one dropped may be gone with it.
        let Some(after) = after.filter(|after| *after >= self.complete_after) else {
            let objects = self.objects.values().cloned().collect();
            return Some(ChangesReply::Listing { objects, revision: self.revision });
        };
        let newer = self.changes.iter().filter(|(revision, _)| *revision > after);
        let changes: Vec<MirrorChange> = newer.map(|(_, change)| change.clone()).collect();
        (!changes.is_empty()).then_some(ChangesReply::Changes { changes, revision: self.revision })
    }

    /// Returns the answer to one who has waited in vain.
    pub fn no_news(&self, after: Version, now: Duration) -> ChangesReply {
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

/// Says when an entry asks the store itself although no board hears from it.
///
/// The store may turn the boards' VMs away and serve the entry's, so it has to try; but where the store is
/// down for all, tens of entries that retry make most of a fleet's calls.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct OutageTimer {
    until: Duration,
}

impl OutageTimer {
    /// Tells whether the entry may ask now.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// let mut timer = toucanrail::boards::OutageTimer::default();
    /// assert!(timer.is_over(Duration::ZERO));
    /// timer.note_failure(Duration::ZERO, 0.5);
    /// assert!(!timer.is_over(Duration::from_secs(1)));
    /// assert!(timer.is_over(Duration::from_secs(2)));
    /// ```
    pub fn is_over(&self, now: Duration) -> bool {
        now >= self.until
    }

    /// Notes that the store did not answer; `dice` in `0..1` spreads entries.
    pub fn note_failure(&mut self, now: Duration, dice: f64) {
        self.until = now + OUTAGE_PAUSE.mul_f64(0.5 + 0.5 * dice);
    }
}

/// Returns the relays that an entry asks, in its order; none where the fleet is small.
///
/// # Examples
/// ```
/// assert!(toucanrail::boards::pick_boards(&[]).is_empty());
/// ```
pub fn pick_boards(relays: &[(RelayName, SocketAddr)]) -> Vec<(RelayName, SocketAddr)> {
    if relays.len() < RELAY_LEAST {
        return Vec::new();
    }
    loans::rank_lenders(relays, BOARD_KEY).into_iter().take(BOARD_COUNT).collect()
}
