//! Software versions that the servers of each service have run lately.
//!
//! A stream whose origin nobody knows may go on only if no other version can have begun it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{ServiceName, SoftwareVersion};

/// Time for which an entry's statement of a sole version holds at a relay. Entries under load repeat
/// it several times in it.
const SOLE_TIME: Duration = Duration::from_secs(2);
/// Time for which a relay takes no statement of a sole version after one of several: entries learn
/// of a version at different times.
pub const SEVERAL_TIME: Duration = Duration::from_secs(60);

/// What an entry knows of the versions that a service has run in the time in which streams are taken
/// up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionStatement {
    /// This one only.
    Sole(SoftwareVersion),
    /// More than one.
    Several,
}

/// Versions by service, as an entry lists them: those of registered servers, and of servers that were
/// registered lately.
pub type ListedVersions = BTreeMap<ServiceName, BTreeSet<SoftwareVersion>>;

/// Versions of the servers that are registered, or were until lately.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// When the last server of a version was missed; none while one is registered.
    rows: BTreeMap<ServiceName, BTreeMap<SoftwareVersion, Option<Duration>>>,
    /// Versions of services with several that the store's records name. Streams begin at these only,
    /// since a power loss right after a stream's first event may leave no other trace of its version.
    recorded: ListedVersions,
    /// When all servers were last listed.
    known_since: Option<Duration>,
    /// Whether no stream began before.
    is_complete: bool,
}

impl VersionHistory {
    /// Records that a server is registered.
    pub fn record_registered(&mut self, service: &ServiceName, version: &SoftwareVersion) {
        let versions = self.rows.entry(ServiceName::clone(service)).or_default();
        let is_known = versions.insert(SoftwareVersion::clone(version), None).is_some();
        if !is_known && versions.len() > 1 && self.known_since.is_some() {
            let earlier = versions.keys().filter(|known| *known != version).cloned();
            self.recorded.entry(ServiceName::clone(service)).or_insert_with(|| earlier.collect());
        }
    }

    /// Returns whether streams may begin at servers of a version.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::version_history::VersionHistory;
    /// let (service, mut history) = ("llm".into(), VersionHistory::default());
    /// history.record_registered(&service, &"v1".into());
    /// history.record_listed(Duration::ZERO);
    /// history.record_registered(&service, &"v2".into());
    /// assert!(history.may_begin("llm", "v1") && !history.may_begin("llm", "v2"));
    /// history.record_written(&history.unrecorded_versions());
    /// assert!(history.may_begin("llm", "v2"));
    /// ```
    pub fn may_begin(&self, service: &str, version: &str) -> bool {
        self.recorded.get(service).is_none_or(|versions| versions.contains(version))
    }

    /// Returns all versions of the services with versions that the store's records may lack.
    pub fn unrecorded_versions(&self) -> ListedVersions {
        let mut listed = self.listed_versions();
        listed.retain(|service, versions| {
            versions.len() > 1 && self.recorded.get(service) != Some(versions)
        });
        listed
    }

    /// Records that the store's records name versions.
    pub fn record_written(&mut self, written: &ListedVersions) {
        for (service, versions) in written {
            let recorded = self.recorded.entry(ServiceName::clone(service)).or_default();
            recorded.extend(versions.iter().cloned());
        }
    }

    /// Records that the fleet starts for the first time, so that there are no older streams.
    pub fn record_first_start(&mut self) {
        self.is_complete = true;
    }

    /// Records that all servers have been listed, by which a version that came and went before may
    /// have been missed. Between two listings every change is known.
    pub fn record_listed(&mut self, now: Duration) {
        if self.known_since.replace(now).is_some() {
            self.is_complete = false;
        }
    }

    /// Records which versions no registered server runs any more, and forgets those for which that
    /// is longer ago than `lifetime`, the longest time in which a stream is taken up.
    pub fn sweep<IsRegistered>(
        &mut self,
        now: Duration,
        lifetime: Duration,
        is_registered: IsRegistered,
    ) where
        IsRegistered: Fn(&ServiceName, &SoftwareVersion) -> bool,
    {
        for (service, versions) in &mut self.rows {
            versions.retain(|version, missed_at| {
                if is_registered(service, version) {
                    *missed_at = None;
                    return true;
                }
                now.saturating_sub(*missed_at.get_or_insert(now)) <= lifetime
            });
        }
        let rows = &self.rows;
        self.recorded.retain(|service, recorded| {
            let known = rows.get(service).filter(|versions| versions.len() > 1);
            recorded.retain(|version| known.is_some_and(|known| known.contains_key(version)));
            known.is_some()
        });
    }

    /// Returns the version that began all streams of a service in the last `lifetime`, or none if
    /// there may have been several.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::version_history::VersionHistory;
    /// let (service, lifetime) = ("llm".into(), Duration::from_secs(15));
    /// let mut history = VersionHistory::default();
    /// history.record_registered(&service, &"v1".into());
    /// history.record_listed(Duration::from_secs(1));
    /// assert!(history.sole_version("llm", Duration::from_secs(15), lifetime).is_none());
    /// assert!(history.sole_version("llm", Duration::from_secs(17), lifetime).is_some());
    /// history.record_registered(&service, &"v2".into());
    /// assert!(history.sole_version("llm", Duration::from_secs(17), lifetime).is_none());
    /// ```
    pub fn sole_version(
        &self,
        service: &str,
        now: Duration,
        lifetime: Duration,
    ) -> Option<&SoftwareVersion> {
        let listed_for = now.saturating_sub(self.known_since?);
        let covers = self.is_complete || listed_for > lifetime;
        self.listed_version(service).filter(|_| covers)
    }

    /// Returns the only version that a service has run since the servers were listed, or none if
    /// there were several.
    pub fn listed_version(&self, service: &str) -> Option<&SoftwareVersion> {
        self.known_since?;
        let versions = self.rows.get(service).filter(|versions| versions.len() == 1)?;
        versions.keys().next()
    }

    /// Returns the versions that each service has run since the servers were listed; nothing if they
    /// have not been.
    pub fn listed_versions(&self) -> ListedVersions {
        if self.known_since.is_none() {
            return ListedVersions::new();
        }
        let rows = self.rows.iter();
        rows.map(|(service, versions)| {
            (ServiceName::clone(service), versions.keys().cloned().collect())
        })
        .collect()
    }

    /// Returns what is known of each service. A service of which that is not enough is left out.
    pub fn make_statements(&self, now: Duration, lifetime: Duration) -> VersionStatements {
        let statements = self.rows.iter().filter_map(|(service, versions)| {
            let statement = match self.sole_version(service, now, lifetime) {
                Some(version) => VersionStatement::Sole(SoftwareVersion::clone(version)),
                None if versions.len() > 1 => VersionStatement::Several,
                None => return None,
            };
            Some((ServiceName::clone(service), statement))
        });
        statements.collect()
    }
}

/// Statements by service.
pub type VersionStatements = BTreeMap<ServiceName, VersionStatement>;

#[derive(Debug, Clone)]
struct StatementRow {
    statement: VersionStatement,
    stated_at: Duration,
}

/// The newest statements of all entries, as a relay keeps them for entries that have just started.
#[derive(Debug, Default)]
pub struct StatementTable {
    rows: BTreeMap<ServiceName, StatementRow>,
}

impl StatementTable {
    /// Records an entry's statements. Two different sole versions are several, and after several a
    /// sole one is not taken for a while.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::version_history::{StatementTable, VersionStatement};
    /// let (mut table, now) = (StatementTable::default(), Duration::from_secs(1));
    /// let sole = |version: &str| VersionStatement::Sole(version.into());
    /// table.record([("llm".into(), sole("v1"))].into(), now);
    /// assert_eq!(table.valid(now)["llm"], sole("v1"));
    /// table.record([("llm".into(), sole("v2"))].into(), now);
    /// table.record([("llm".into(), sole("v1"))].into(), now);
    /// assert_eq!(table.valid(now)["llm"], VersionStatement::Several);
    /// ```
    pub fn record(&mut self, statements: VersionStatements, now: Duration) {
        for (service, statement) in statements {
            let known = self.rows.get(&service).filter(|row| row.is_valid(now));
            let statement = match known.map(|row| &row.statement) {
                Some(VersionStatement::Several) if statement != VersionStatement::Several => {
                    continue;
                }
                Some(known) if *known != statement => VersionStatement::Several,
                _ => statement,
            };
            self.rows.insert(service, StatementRow { statement, stated_at: now });
        }
    }

    /// Returns the statements that hold.
    pub fn valid(&self, now: Duration) -> VersionStatements {
        let valid = self.rows.iter().filter(|(_, row)| row.is_valid(now));
        valid.map(|(service, row)| (ServiceName::clone(service), row.statement.clone())).collect()
    }
}

impl StatementRow {
    fn is_valid(&self, now: Duration) -> bool {
        let time = match self.statement {
            VersionStatement::Sole(_) => SOLE_TIME,
            VersionStatement::Several => SEVERAL_TIME,
        };
        now.saturating_sub(self.stated_at) <= time
    }
}
