//! A node's copy of one kind of objects; versions in it only go up.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Serialize;

use crate::ids::Version;
use crate::messages::{MirrorDelta, MirrorObject};

/// All objects of one kind that a node knows, the deleted ones included.
///
/// Guards against a configuration that reverts: an object is replaced only by a higher version of
/// it, whichever way it came: a slow peer, a late answer or a read begun before a restart.
#[derive(Debug, Clone, Default, Serialize)]
pub struct MirrorTable {
    objects: BTreeMap<Arc<str>, (Version, Arc<[u8]>)>,
    seen: Version,
}

impl MirrorTable {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the version up to which every change is known.
    pub fn seen(&self) -> Version {
        self.seen
    }

    /// Takes what a peer or the object API knows beyond [`MirrorTable::seen`]; returns the objects
    /// that were news.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::{messages::{MirrorObject, MirrorDelta}, mirrors::MirrorTable};
    /// let mut table = MirrorTable::new();
    /// let newer = MirrorObject { name: "a".into(), version: 5, value: b"new".to_vec() };
    /// let older = MirrorObject { name: "a".into(), version: 4, value: b"old".to_vec() };
    /// table.take(MirrorDelta { objects: vec![newer], seen: 5 });
    /// table.take(MirrorDelta { objects: vec![older], seen: 4 });
    /// assert_eq!(table.get("a"), Some(&b"new"[..]));
    /// assert_eq!(table.seen(), 5);
    /// ```
    pub fn take(&mut self, reply: MirrorDelta) -> Vec<MirrorObject> {
        let mut news = Vec::new();
        for object in reply.objects {
            if self.version(&object.name).is_some_and(|known| known >= object.version) {
                continue;
            }
            let value = Arc::from(object.value.as_slice());
            self.objects.insert(Arc::clone(&object.name), (object.version, value));
            news.push(object);
        }
        self.seen = self.seen.max(reply.seen);
        news
    }

    /// Returns an object's value; none where it was deleted.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let (_, value) = self.objects.get(name)?;
        Some(&**value).filter(|value| !value.is_empty())
    }

    /// Returns an object's version, deleted or not.
    pub fn version(&self, name: &str) -> Option<Version> {
        self.objects.get(name).map(|(version, _)| *version)
    }

    /// Returns the objects that are not deleted.
    pub fn live(&self) -> impl Iterator<Item = (&Arc<str>, Version, &[u8])> {
        let rows = self.objects.iter();
        rows.filter(|(_, (_, value))| !value.is_empty())
            .map(|(name, (version, value))| (name, *version, &**value))
    }

    /// Returns all that a peer which has seen `after` does not know.
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
