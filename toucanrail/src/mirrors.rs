//! A process's local replica of one kind of objects, in which versions never go back.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Serialize;

use crate::ids::Version;
use crate::messages::{MirrorDelta, MirrorObject};

/// All known objects of one kind, including tombstones of deleted ones.
///
/// Guards against a configuration that reverts to an older state: an object is replaced only by a
/// higher version of itself, whether the update comes from a peer that lags behind, in a delayed
/// response or from a read that was started before a restart.
#[derive(Debug, Clone, Default, Serialize)]
pub struct MirrorTable {
    objects: BTreeMap<Arc<str>, (Version, Arc<[u8]>)>,
    seen: Version,
}

impl MirrorTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the version up to which every change is known.
    pub fn seen(&self) -> Version {
        self.seen
    }

    /// Merges what a peer or the object API knows beyond [`MirrorTable::seen`], and returns the
    /// objects that changed.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::{messages::{MirrorObject, MirrorDelta}, mirrors::MirrorTable};
    /// let mut table = MirrorTable::new();
    /// let newer = MirrorObject { name: "a".into(), version: 5, value: b"new".to_vec() };
    /// let older = MirrorObject { name: "a".into(), version: 4, value: b"old".to_vec() };
    /// table.merge(MirrorDelta { objects: vec![newer], seen: 5 });
    /// table.merge(MirrorDelta { objects: vec![older], seen: 4 });
    /// assert_eq!(table.get("a"), Some(&b"new"[..]));
    /// assert_eq!(table.seen(), 5);
    /// ```
    pub fn merge(&mut self, delta: MirrorDelta) -> Vec<MirrorObject> {
        let mut changed = Vec::new();
        for object in delta.objects {
            if self.version(&object.name).is_some_and(|known| known >= object.version) {
                continue;
            }
            let value = Arc::from(object.value.as_slice());
            self.objects.insert(Arc::clone(&object.name), (object.version, value));
            changed.push(object);
        }
        self.seen = self.seen.max(delta.seen);
        changed
    }

    /// Returns an object's value, or `None` if the object is unknown or deleted.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let (_, value) = self.objects.get(name)?;
        // An empty value is a tombstone.
        Some(&**value).filter(|value| !value.is_empty())
    }

    /// Returns the version of an object, deleted or not.
    pub fn version(&self, name: &str) -> Option<Version> {
        self.objects.get(name).map(|(version, _)| *version)
    }

    /// Iterates over the names, versions and values of the objects that are not deleted.
    pub fn live(&self) -> impl Iterator<Item = (&Arc<str>, Version, &[u8])> {
        let rows = self.objects.iter();
        rows.filter(|(_, (_, value))| !value.is_empty())
            .map(|(name, (version, value))| (name, *version, &**value))
    }

    /// Returns every object newer than version `after`, tombstones included, to bring a peer up to
    /// date.
    pub fn newer_than(&self, after: Version) -> MirrorDelta {
        let newer = self.objects.iter().filter(|(_, (version, _))| *version > after);
        let objects = newer.map(|(name, (version, value))| MirrorObject {
            name: Arc::clone(name),
            version: *version,
            value: value.to_vec(),
        });
        MirrorDelta { objects: objects.collect(), seen: self.seen }
    }
}
