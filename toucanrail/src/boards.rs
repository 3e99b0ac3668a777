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

use crate::detours::RelayName;
use crate::ids::Version;
use crate::loans;
use crate::messages::{MirrorChange, MirrorObject, NewsReply};

/// Time since the store's last answer from which a board answers nothing: an entry then asks the store
/// itself, well within the two seconds in which a change must be known. A board's watch waits for less.
pub const FRESH_BOUND: Duration = Duration::from_millis(900);
/// Changes kept for entries that are behind; a release of a large service makes some hundred.
const CHANGE_LIMIT: usize = 1_024;
/// Fewest relays of a fleet that uses boards: in a smaller one few entries watch, and a board's short
/// watches cost as many calls as theirs.
const RELAY_LEAST: usize = 24;
/// Boards that entries of one region choose from; the second stands in for the first.
const BOARD_COUNT: usize = 2;
/// What boards are ranked by.
const BOARD_KEY: &str = "board";

/// One kind as a relay last saw it.
#[derive(Debug, Default, Serialize)]
pub struct BoardTable {
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
        Self::default()
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
        let old = self.heard_at.is_none_or(|heard| now.saturating_sub(heard) > FRESH_BOUND);
        old || self.is_silent
    }

    /// Returns what an entry does not know that has seen all up to `after`; none if there is nothing
    /// yet, as before the first listing.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::{boards::BoardTable, messages::NewsReply};
    /// let mut table = BoardTable::new();
    /// assert_eq!(table.news(Some(7), Duration::ZERO), None);
    /// table.take_listing(Vec::new(), 7, Duration::ZERO);
    /// assert_eq!(table.news(Some(7), Duration::ZERO), None);
    /// assert!(matches!(table.news(None, Duration::ZERO), Some(NewsReply::Listing { .. })));
    /// ```
    pub fn news(&self, after: Option<Version>, now: Duration) -> Option<NewsReply> {
        self.heard_at?;
        if self.is_stale(now) {
            return Some(NewsReply::Stale);
        }
        // Changes that share a revision with the last one dropped may be gone with it.
        let Some(after) = after.filter(|after| *after >= self.complete_after) else {
            let objects = self.objects.values().cloned().collect();
            return Some(NewsReply::Listing { objects, revision: self.revision });
        };
        let newer = self.changes.iter().filter(|(revision, _)| *revision > after);
        let changes: Vec<MirrorChange> = newer.map(|(_, change)| change.clone()).collect();
        (!changes.is_empty()).then_some(NewsReply::Changes { changes, revision: self.revision })
    }

    /// Returns the answer to one who has waited in vain.
    pub fn no_news(&self, after: Version, now: Duration) -> NewsReply {
        if self.is_stale(now) {
            return NewsReply::Stale;
        }
        NewsReply::Changes { changes: Vec::new(), revision: after }
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
