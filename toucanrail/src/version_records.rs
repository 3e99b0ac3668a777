//! Records in the store of the software versions that have served each service lately.
//!
//! An entry that has listed the servers for longer than any stream lasts knows by itself whether one
//! version began all of them. After a restart, or a cut from the store, the record tells it: a version
//! is added to it before streams that began there can be taken up elsewhere, and removed only long
//! after its last server.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{ServiceName, SoftwareVersion};
use crate::storecalls::{self, ObjectPath, StoreCall, StoreReply, WriteExpectation};
use crate::version_history::{self, ListedVersions, VersionStatement, VersionStatements};

/// Object kind of the records; each object is named after its service.
pub const VERSION_KIND: &str = "software-versions";

/// Time after which a record that was missing is read again.
const MISSING_TIME: Duration = Duration::from_secs(2);
/// Time after which a record is read again before a version counts as named by it.
const REFRESH_TIME: Duration = Duration::from_secs(2);

/// Object of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// All versions that may have begun streams that callers may still take up.
    pub versions: BTreeSet<SoftwareVersion>,
}

impl VersionRecord {
    /// Returns whether one version alone may have begun streams.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::version_records::VersionRecord;
    /// let record = VersionRecord { versions: ["v1".into()].into() };
    /// assert!(record.is_sole("v1") && !record.is_sole("v2"));
    /// ```
    pub fn is_sole(&self, version: &str) -> bool {
        self.versions.len() == 1 && self.versions.contains(version)
    }
}

/// Returns the path of a service's record.
pub fn record_path(service: &str) -> ObjectPath {
    Arc::from(format!("{VERSION_KIND}/{service}"))
}

/// Keeps the records up to date with what entries tell a relay.
#[derive(Debug, Default)]
pub struct RecordKeeper {
    rows: BTreeMap<ServiceName, RecordRow>,
    /// Service of the call that was handed out, and the record that it writes.
    calling: Option<(ServiceName, Option<VersionRecord>)>,
}

#[derive(Debug, Default)]
struct RecordRow {
    /// Versions that entries have listed, and when last.
    listed: BTreeMap<SoftwareVersion, Duration>,
    known: Option<KnownRecord>,
}

/// The record as last read or written.
#[derive(Debug)]
struct KnownRecord {
    /// None if it cannot be decoded. It is not written over then, since it may name more versions
    /// than are listed now.
    record: Option<VersionRecord>,
    expect: WriteExpectation,
    /// Since when it is known to be so.
    known_since: Duration,
}

impl KnownRecord {
    fn is_missing(&self) -> bool {
        self.expect == WriteExpectation::Absent
    }
}

impl RecordRow {
    /// Returns the record as it should be, if it is another one.
    fn plan_record(
        &self,
        known: &KnownRecord,
        statement: Option<&VersionStatement>,
        now: Duration,
    ) -> Option<VersionRecord> {
        let record = known.record.as_ref()?;
        let sole = match statement {
            Some(VersionStatement::Sole(version)) => Some(version),
            _ => None,
        };
        // A record that is new must not name one version if others may have served before.
        if known.is_missing() && sole.is_none() && self.listed.len() < 2 {
            return None;
        }
        let mut versions: BTreeSet<SoftwareVersion> = self.listed.keys().cloned().collect();
        // A version that was added lately may be one that the entries of this relay have not seen yet.
        let is_settled = now.saturating_sub(known.known_since) > version_history::SEVERAL_TIME;
        if sole.is_none() || !is_settled {
            versions.extend(record.versions.iter().cloned());
        }
        versions.extend(sole.cloned());
        (versions != record.versions).then_some(VersionRecord { versions })
    }
}

impl RecordKeeper {
    /// Records the versions that an entry lists, and forgets those that none has listed for a long
    /// time.
    pub fn record_listed(&mut self, listed: ListedVersions, now: Duration) {
        for (service, versions) in listed {
            let row = self.rows.entry(service).or_default();
            row.listed.extend(versions.into_iter().map(|version| (version, now)));
            row.listed.retain(|_, at| now.saturating_sub(*at) <= version_history::SEVERAL_TIME);
        }
    }

    /// Reads the records of services again that were last read or written some time ago: another relay
    /// may have removed a version from them.
    pub fn refresh(&mut self, services: &ListedVersions, now: Duration) {
        for service in services.keys() {
            if let Some(row) = self.rows.get_mut(service) {
                row.known.take_if(|known| now >= known.known_since + REFRESH_TIME);
            }
        }
    }

    /// Returns whether the records name all of these versions.
    pub fn has_recorded(&self, listed: &ListedVersions) -> bool {
        listed.iter().all(|(service, versions)| {
            let known = self.rows.get(service).and_then(|row| row.known.as_ref());
            let record = known.and_then(|known| known.record.as_ref());
            record.is_some_and(|record| versions.is_subset(&record.versions))
        })
    }

    /// Returns the next call to the store, or `None` if the records are up to date. `statements` are
    /// those of all entries that the relay hears of.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::storecalls::{StoreCall, StoreReply};
    /// use toucanrail::version_history::VersionStatement;
    /// use toucanrail::version_records::RecordKeeper;
    /// let (mut keeper, now) = (RecordKeeper::default(), Duration::ZERO);
    /// let statements = [("llm".into(), VersionStatement::Sole("v1".into()))].into();
    /// keeper.record_listed([("llm".into(), ["v1".into()].into())].into(), now);
    /// assert!(matches!(keeper.next_call(&statements, now), Some(StoreCall::Get { .. })));
    /// keeper.handle_reply(&StoreReply::Missing, now);
    /// assert!(matches!(keeper.next_call(&statements, now), Some(StoreCall::Put { .. })));
    /// keeper.handle_reply(&StoreReply::Written { version: 1 }, now);
    /// assert!(keeper.next_call(&statements, now).is_none());
    /// ```
    pub fn next_call(
        &mut self,
        statements: &VersionStatements,
        now: Duration,
    ) -> Option<StoreCall> {
        for (service, row) in &mut self.rows {
            let statement = statements.get(service);
            // Another relay may have created the record meanwhile.
            row.known
                .take_if(|known| known.is_missing() && now >= known.known_since + MISSING_TIME);
            let Some(known) = &row.known else {
                self.calling = Some((ServiceName::clone(service), None));
                return Some(StoreCall::Get { path: record_path(service) });
            };
            if let Some(record) = row.plan_record(known, statement, now) {
                let (path, expect) = (record_path(service), known.expect);
                let value = storecalls::encode_value(&record);
                self.calling = Some((ServiceName::clone(service), Some(record)));
                return Some(StoreCall::Put { path, expect, value });
            }
        }
        None
    }

    /// Takes the reply to the call that was handed out.
    pub fn handle_reply(&mut self, reply: &StoreReply, now: Duration) {
        let Some((service, written)) = self.calling.take() else {
            return;
        };
        let known = match (reply, written) {
            (StoreReply::Found { version, value }, _) => {
                Some((storecalls::decode_value(value), WriteExpectation::At(*version)))
            }
            (StoreReply::Missing, _) => {
                Some((Some(VersionRecord::default()), WriteExpectation::Absent))
            }
            (StoreReply::Written { version }, Some(record)) => {
                Some((Some(record), WriteExpectation::At(*version)))
            }
            _ => None,
        };
        let known = known.map(|(record, expect)| KnownRecord { record, expect, known_since: now });
        self.rows.entry(service).or_default().known = known;
    }
}
