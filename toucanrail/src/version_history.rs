//! Software versions that the servers of each service have run lately.
//!
//! A stream whose origin nobody knows may go on only if no other version can have begun it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{ServiceName, SoftwareVersion};

/// Versions of the servers that are registered, or were until lately.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// When the last server of a version was missed; none while one is registered.
    rows: BTreeMap<ServiceName, BTreeMap<SoftwareVersion, Option<Duration>>>,
    /// When all servers were listed for the first time.
    known_since: Option<Duration>,
}

impl VersionHistory {
    /// Records that a server is registered.
    pub fn record_registered(&mut self, service: &ServiceName, version: &SoftwareVersion) {
        let versions = self.rows.entry(ServiceName::clone(service)).or_default();
        versions.insert(SoftwareVersion::clone(version), None);
    }

    /// Records that all servers have been listed.
    pub fn record_listed(&mut self, now: Duration) {
        self.known_since.get_or_insert(now);
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
        let covers = now.saturating_sub(self.known_since?) > lifetime;
        let versions = self.rows.get(service).filter(|versions| covers && versions.len() == 1)?;
        versions.keys().next()
    }
}
