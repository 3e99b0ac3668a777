//! Origins of streams in the store.
//!
//! Relays remember origins in memory, which is lost if the relays of a bucket restart or leave while
//! the entry that noted them is gone, and if all processes lose power. Therefore each relay writes
//! what it remembers to an object of its own, and entries read these objects if no relay knows a
//! stream. As long as a service has one software version nothing is written.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{RequestId, ServiceName, SoftwareVersion};
use crate::origins::{self, NoteNumber, OriginNote, OriginTable, StreamOrigin};
use crate::storecalls::{self, ObjectPath, StoreCall, StoreReply, WriteExpectation};
use crate::version_history::{VersionStatement, VersionStatements};

/// Object kind of the relays' origins; each object is named after its relay.
pub const ORIGIN_KIND: &str = "stream-origins";
/// Maximum size of the attempt ids in one object, half of what the store takes.
const MAX_ID_BYTES: usize = 512 * 1024;

/// Object of one relay.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredOrigins {
    /// Attempts that received the first events of streams, by the service and software version of
    /// the server.
    pub streams: BTreeMap<ServiceName, BTreeMap<SoftwareVersion, Vec<RequestId>>>,
    /// Time from the write for which the last of them may be taken up, in milliseconds.
    pub valid_ms: u64,
}

impl StoredOrigins {
    /// Returns the origins as notes, valid from now on for as long as they were when written, since
    /// nothing tells how long ago that was. An attempt has one origin, so that an old note is not wrong.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::stored_origins::StoredOrigins;
    /// let text = r#"{"streams": {"llm": {"v1": ["a", "b"]}}, "valid_ms": 15000}"#;
    /// let stored: StoredOrigins = serde_json::from_str(text).unwrap();
    /// assert_eq!(stored.notes().count(), 2);
    /// ```
    pub fn notes(&self) -> impl Iterator<Item = OriginNote> {
        let valid_for = Duration::from_millis(self.valid_ms).min(origins::MAX_NOTE_TIME);
        let streams = self.streams.iter().flat_map(|(service, versions)| {
            versions.iter().map(move |(version, attempts)| (service, version, attempts))
        });
        streams.flat_map(move |(service, version, attempts)| {
            attempts.iter().map(move |attempt| {
                let origin = StreamOrigin {
                    service: ServiceName::clone(service),
                    version: SoftwareVersion::clone(version),
                };
                OriginNote { attempt: RequestId::clone(attempt), origin, valid_for }
            })
        })
    }

    fn add(&mut self, note: OriginNote) {
        let valid_ms = u64::try_from(note.valid_for.as_millis()).unwrap_or(u64::MAX);
        self.valid_ms = self.valid_ms.max(valid_ms);
        let versions = self.streams.entry(note.origin.service).or_default();
        versions.entry(note.origin.version).or_default().push(note.attempt);
    }
}

/// Writes what a relay remembers of streams to its object.
#[derive(Debug)]
pub struct OriginWriter {
    path: ObjectPath,
    /// The condition of the next write; none if the object has to be read before.
    expect: Option<WriteExpectation>,
    /// Whether the origins that an earlier process of the relay wrote were read.
    is_restored: bool,
    /// Number of the newest note, and the services, in the object.
    written: WrittenState,
    /// The same with the write that was handed out.
    writing: WrittenState,
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct WrittenState {
    newest: NoteNumber,
    services: BTreeSet<ServiceName>,
}

impl OriginWriter {
    /// Creates the writer of a relay that has just started.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::origins::OriginTable;
    /// use toucanrail::stored_origins::OriginWriter;
    /// let mut writer = OriginWriter::new("relay-1");
    /// let call = writer.next_call(&OriginTable::new(), &[].into(), Duration::ZERO);
    /// assert!(call.is_none());
    /// ```
    pub fn new(relay: &str) -> Self {
        Self {
            path: Arc::from(format!("{ORIGIN_KIND}/{relay}")),
            expect: None,
            is_restored: false,
            written: WrittenState::default(),
            writing: WrittenState::default(),
        }
    }

    /// Returns the next call to the store, or `None` if its object has all origins of services with
    /// several versions. An object whose origins have all expired is emptied.
    pub fn next_call(
        &mut self,
        table: &OriginTable,
        versions: &VersionStatements,
        now: Duration,
    ) -> Option<StoreCall> {
        let several = versions.iter().filter(|(_, known)| **known == VersionStatement::Several);
        let several: BTreeSet<&ServiceName> = several.map(|(service, _)| service).collect();
        if several.is_empty() && self.written.services.is_empty() {
            return None;
        }
        let notes = table.notes_after(0, now);
        let notes = notes.filter(|(_, note)| several.contains(&note.origin.service));
        let notes: Vec<(NoteNumber, OriginNote)> = notes.collect();
        let state = WrittenState {
            newest: notes.last().map_or(self.written.newest, |(number, _)| *number),
            services: notes
                .iter()
                .map(|(_, note)| ServiceName::clone(&note.origin.service))
                .collect(),
        };
        let has_news = state.newest > self.written.newest
            || !state.services.is_subset(&self.written.services)
            || (notes.is_empty() && !self.written.services.is_empty());
        if !has_news {
            return None;
        }
        let path = Arc::clone(&self.path);
        let Some(expect) = self.expect else {
            return Some(StoreCall::Get { path });
        };
        self.writing = state;
        let value = storecalls::encode_value(&collect_newest(notes));
        Some(StoreCall::Put { path, expect, value })
    }

    /// Takes the reply to the call that was handed out. Returns what an earlier process of the relay
    /// knew, which this one has to remember.
    pub fn handle_reply(&mut self, reply: &StoreReply) -> Vec<OriginNote> {
        match reply {
            StoreReply::Found { version, value } => {
                self.expect = Some(WriteExpectation::At(*version));
                if !std::mem::replace(&mut self.is_restored, true) {
                    let stored = storecalls::decode_value::<StoredOrigins>(value);
                    return stored.map(|stored| stored.notes().collect()).unwrap_or_default();
                }
            }
            StoreReply::Missing => {
                self.expect = Some(WriteExpectation::Absent);
                self.is_restored = true;
            }
            StoreReply::Written { version } => {
                self.expect = Some(WriteExpectation::At(*version));
                self.written = std::mem::take(&mut self.writing);
            }
            StoreReply::Conflict | StoreReply::Unavailable => self.expect = None,
        }
        Vec::new()
    }
}

/// Returns the newest notes that fit into one object.
fn collect_newest(notes: Vec<(NoteNumber, OriginNote)>) -> StoredOrigins {
    let mut stored = StoredOrigins::default();
    let mut bytes = 0;
    for (_, note) in notes.into_iter().rev() {
        bytes += note.attempt.len();
        if bytes > MAX_ID_BYTES {
            break;
        }
        stored.add(note);
    }
    stored
}
