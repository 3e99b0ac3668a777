//! Calls to the platform's object API, as values.
//!
//! Systems that need the object API are step machines: they hand out one call, take its reply,
//! and hand out the next. The consumer drives them, so the same code runs in a daemon over HTTP
//! and in a test over a map that loses answers.

use std::sync::Arc;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::ids::Version;

/// Kind and name of an object, for example `budgets/shard-0`.
pub type ObjectPath = Arc<str>;

/// What a conditional write expects to find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteExpectation {
    /// No object of this path.
    Absent,
    /// The object at exactly this version.
    At(Version),
}

/// One call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads an object.
    Get {
        /// The object.
        path: ObjectPath,
    },
    /// Writes an object if the expectation holds.
    Put {
        /// The object.
        path: ObjectPath,
        /// The condition.
        expect: WriteExpectation,
        /// The new value; at most a megabyte.
        value: Vec<u8>,
    },
}

/// The reply to one call.
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
        /// The version it made.
        version: Version,
    },
    /// A `Put` found something other than expected and changed nothing.
    Conflict,
    /// No answer: a `Put` may or may not have taken effect.
    Unavailable,
}

/// Encodes an object's value: JSON, so that operators and auditors can read it.
pub fn encode_value<Value>(value: &Value) -> Vec<u8>
where
    Value: Serialize,
{
    // Only maps with keys other than text can fail here, and no object type has one.
    serde_json::to_vec(value).unwrap_or_default()
}

/// Decodes an object's value; `None` if it is not of the type.
pub fn decode_value<Value>(value: &[u8]) -> Option<Value>
where
    Value: DeserializeOwned,
{
    serde_json::from_slice(value).ok()
}
