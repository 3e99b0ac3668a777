//! Calls to the platform's object API, represented as values.
//!
//! Code that needs the object API is written as state machines without I/O, which yield one call at
//! a time and consume its reply. Their caller performs the I/O, so that the same code runs over
//! HTTP in a daemon and over a map that loses replies in a test.

use std::sync::Arc;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::ids::Version;

/// Kind and name of an object, for example `budgets/shard-0`.
pub type ObjectPath = Arc<str>;

/// The condition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteExpectation {
    /// There is no object at the path.
    Absent,
    /// The object exists and has exactly this version.
    At(Version),
}

/// A call to the object API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads an object.
    Get {
        /// Path of the object.
        path: ObjectPath,
    },
    /// Writes an object if a condition holds.
    Put {
        /// Path of the object.
        path: ObjectPath,
        /// The condition of the write.
        expect: WriteExpectation,
        /// The new value; at most one megabyte.
        value: Vec<u8>,
    },
}

/// The reply to a [`StoreCall`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReply {
    /// The object that a `Get` found.
    Found {
        /// Its version.
        version: Version,
        /// Its value.
        value: Vec<u8>,
    },
    /// A `Get` found nothing.
    Missing,
    /// A `Put` took effect.
    Written {
        /// The object's new version.
        version: Version,
    },
    /// The condition of a `Put` did not hold; nothing was changed.
    Conflict,
    /// There was no reply; a `Put` may or may not have taken effect.
    Unavailable,
}

/// Encodes an object's value as JSON, so that operators and auditors can read it.
pub fn encode_value<Value>(value: &Value) -> Vec<u8>
where
    Value: Serialize,
{
    // Only maps whose keys are not strings can fail to serialize, and no object type has one.
    serde_json::to_vec(value).unwrap_or_default()
}

/// Decodes an object's value, or returns `None` if it is not a valid `Value`.
pub fn decode_value<Value>(value: &[u8]) -> Option<Value>
where
    Value: DeserializeOwned,
{
    serde_json::from_slice(value).ok()
}
