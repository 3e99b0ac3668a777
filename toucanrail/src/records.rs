//! Durable records of requests that may not be repeated: at most one run for each idempotency key,
//! and the same response to every retry.
//!
//! A record is created, if absent, before anything is sent to an agent. It carries a nonce of its
//! writer, so that a writer that got no reply from the object API can tell whether its own write
//! took effect or another entry's came first.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::codes::ResultCode;
use crate::codetable;
use crate::ids::{AgentId, CustomerId, EntryId, RequestId, RunId, RunNumber, Version};
use crate::messages::{HeaderField, QueryMode, RunQuery, RunReport, StoredResponse};
use crate::paths;
use crate::storecalls::{self, StoreCall, StoreReply, WriteExpectation};

/// Number of failed writes after which the request is refused.
const CONFLICT_LIMIT: u32 = 8;

/// The record of one idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The request id, derived from the customer and the key.
    pub request: RequestId,
    /// The customer.
    pub customer: CustomerId,
    /// Digest of method, path and body; the same key with a different request is refused.
    pub digest: Arc<str>,
    /// The entry that started the last attempt.
    pub writer: EntryId,
    /// Random number by which a writer recognizes its own record.
    pub nonce: u64,
    /// The number of the last attempt.
    pub attempt: u32,
    /// The number of the last attempt among those of its writer; 0 if the writer does not number
    /// them.
    #[serde(default)]
    pub number: RunNumber,
    /// The only agent that the last attempt may be sent to.
    pub agent: AgentId,
    /// The state of the request.
    pub state: RecordState,
}

/// State of a recorded request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
    /// The last attempt may have been sent.
    Started,
    /// The last attempt provably did not run; another one may.
    NotRun,
    /// The request ran; every retry gets this response.
    Finished {
        /// The status code.
        status: u16,
        /// The header fields.
        fields: Vec<HeaderField>,
        /// The body.
        body: RecordBody,
    },
    /// The request ran, but its response is too large to be stored; it never runs again.
    Ran,
    /// The end of the last attempt cannot be determined; the request never runs again.
    Unknown,
}

/// A recorded response body, stored as text if possible.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordBody {
    /// Valid UTF-8.
    Text(String),
    /// Bytes that are not valid UTF-8.
    Bytes(Vec<u8>),
}

impl RecordBody {
    /// Creates a body from bytes.
    pub fn new(bytes: Vec<u8>) -> Self {
        String::from_utf8(bytes).map_or_else(|error| Self::Bytes(error.into_bytes()), Self::Text)
    }

    /// Converts the body into bytes.
    pub fn into_bytes(self) -> Vec<u8> {
        match self {
            Self::Text(text) => text.into_bytes(),
            Self::Bytes(bytes) => bytes,
        }
    }
}

impl RunRecord {
    /// Returns the id of the last attempt.
    pub fn run(&self) -> RunId {
        run_id(&self.request, self.attempt)
    }
}

/// Returns the id of an attempt.
///
/// # Examples
/// ```
/// assert_eq!(&*toucanrail::records::run_id(&"ab".into(), 2), "ab.2");
/// ```
pub fn run_id(request: &RequestId, attempt: u32) -> RunId {
    Arc::from(format!("{request}.{attempt}"))
}

/// A call that the driver of the machine has to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordCall {
    /// A call to the object API.
    Store(StoreCall),
    /// Query an agent for the state of an attempt.
    Query {
        /// The agent's incarnation.
        agent: AgentId,
        /// The attempt, and what the agent does about it if it has not arrived or is running.
        query: RunQuery,
    },
}

/// The result of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordReply {
    /// The reply of the object API.
    Store(StoreReply),
    /// The state of the attempt at the agent.
    Report(RunReport),
    /// This incarnation of the agent has provably ended.
    Gone,
    /// The agent did not reply.
    Unreachable,
}

/// How to proceed with the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordOutcome {
    /// Run this attempt once, at the agent named in the record.
    Run {
        /// The record as stored.
        record: RunRecord,
        /// Its version.
        version: Version,
    },
    /// Reply with the recorded response.
    Replay(StoredResponse),
    /// Refuse with this code.
    Refuse(ResultCode),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RecordStage {
    Create,
    Read,
    Query,
    Rewrite,
    Done,
}

/// State machine that creates a record, or determines the state of an existing one.
#[derive(Debug)]
pub struct RecordMachine {
    /// The record of a first attempt.
    initial: RunRecord,
    /// The record of the pending or last write.
    written: RunRecord,
    stage: RecordStage,
    /// The record that was read, with its version.
    found: Option<(Version, RunRecord)>,
    conflicts: u32,
    outcome: Option<RecordOutcome>,
}

impl RecordMachine {
    /// Creates a machine from the record that a first attempt would write.
    pub fn new(initial: RunRecord) -> Self {
        Self {
            written: initial.clone(),
            initial,
            stage: RecordStage::Create,
            found: None,
            conflicts: 0,
            outcome: None,
        }
    }

    /// Returns the outcome; [`codetable::STORE_UNAVAILABLE`] if the machine has not finished.
    pub fn into_outcome(self) -> RecordOutcome {
        self.outcome.unwrap_or(RecordOutcome::Refuse(codetable::STORE_UNAVAILABLE))
    }

    /// Returns the next call, or `None` once the machine has finished.
    pub fn next_call(&self) -> Option<RecordCall> {
        let path = paths::record_path(&self.initial.request);
        let found = self.found.as_ref();
        match self.stage {
            RecordStage::Done => None,
            RecordStage::Create => Some(RecordCall::Store(StoreCall::Put {
                path,
                expect: WriteExpectation::Absent,
                value: storecalls::encode_value(&self.written),
            })),
            RecordStage::Read => Some(RecordCall::Store(StoreCall::Get { path })),
            RecordStage::Query => found.map(|(_, record)| RecordCall::Query {
                agent: Arc::clone(&record.agent),
                query: RunQuery {
                    run: record.run(),
                    entry: Arc::clone(&record.writer),
                    number: record.number,
                    mode: QueryMode::Void,
                },
            }),
            RecordStage::Rewrite => found.map(|(version, _)| {
                RecordCall::Store(StoreCall::Put {
                    path,
                    expect: WriteExpectation::At(*version),
                    value: storecalls::encode_value(&self.written),
                })
            }),
        }
    }

    /// Handles the reply to the last call.
    pub fn handle_reply(&mut self, reply: RecordReply) {
        match (self.stage, reply) {
            (RecordStage::Create | RecordStage::Rewrite, RecordReply::Store(reply)) => {
                self.handle_write(&reply);
            }
            (RecordStage::Read, RecordReply::Store(reply)) => self.handle_read(reply),
            (RecordStage::Query, reply) => self.handle_report(reply),
            _ => self.refuse(codetable::STORE_UNAVAILABLE),
        }
    }

    fn end(&mut self, outcome: RecordOutcome) {
        self.stage = RecordStage::Done;
        self.outcome = Some(outcome);
    }

    fn refuse(&mut self, code: ResultCode) {
        self.end(RecordOutcome::Refuse(code));
    }

    fn handle_write(&mut self, reply: &StoreReply) {
        if let StoreReply::Written { version } = reply {
            return self.end_with_record(*version);
        }
        // Either the reply was lost or another entry wrote first; reading the record tells which.
        self.conflicts += 1;
        self.stage = RecordStage::Read;
        if self.conflicts > CONFLICT_LIMIT {
            self.refuse(codetable::STORE_UNAVAILABLE);
        }
    }

    /// Ends with the outcome that follows from the stored record.
    fn end_with_record(&mut self, version: Version) {
        let record = self.written.clone();
        self.end(match record.state {
            RecordState::Started => RecordOutcome::Run { record, version },
            RecordState::Finished { status, fields, body } => {
                RecordOutcome::Replay(StoredResponse { status, fields, body: body.into_bytes() })
            }
            RecordState::Ran => RecordOutcome::Refuse(codetable::RESPONSE_NOT_STORED),
            RecordState::NotRun | RecordState::Unknown => {
                RecordOutcome::Refuse(codetable::END_UNKNOWN)
            }
        });
    }

    fn handle_read(&mut self, reply: StoreReply) {
        let StoreReply::Found { version, value } = reply else {
            return match reply {
                StoreReply::Missing => {
                    self.written = self.initial.clone();
                    self.stage = RecordStage::Create;
                }
                _ => self.refuse(codetable::STORE_UNAVAILABLE),
            };
        };
        let Some(record) = storecalls::decode_value::<RunRecord>(&value) else {
            return self.refuse(codetable::END_UNKNOWN);
        };
        if record.digest != self.initial.digest {
            return self.refuse(codetable::KEY_REUSED);
        }
        // This machine wrote the record and the reply was lost; nothing has been sent to an agent
        // yet.
        if record.nonce == self.initial.nonce && record.state == RecordState::Started {
            self.written = record;
            return self.end_with_record(version);
        }
        self.found = Some((version, record.clone()));
        match record.state {
            RecordState::Started => self.stage = RecordStage::Query,
            RecordState::NotRun => self.start_attempt(&record),
            RecordState::Finished { .. } | RecordState::Ran | RecordState::Unknown => {
                self.written = record;
                self.end_with_record(version);
            }
        }
    }

    fn start_attempt(&mut self, last: &RunRecord) {
        self.written = RunRecord { attempt: last.attempt + 1, ..self.initial.clone() };
        self.stage = RecordStage::Rewrite;
    }

    fn handle_report(&mut self, reply: RecordReply) {
        let Some((_, record)) = self.found.clone() else {
            return self.refuse(codetable::END_UNKNOWN);
        };
        match reply {
            // The only agent that the attempt may be sent to has voided it, so a new attempt may
            // run.
            RecordReply::Report(RunReport::NeverCame) => self.start_attempt(&record),
            RecordReply::Report(RunReport::Ended { answer: Some(response), .. }) => {
                self.rewrite(&record, finished_state(response));
            }
            RecordReply::Report(RunReport::Ended { whole: true, .. }) => {
                self.rewrite(&record, RecordState::Ran);
            }
            RecordReply::Report(RunReport::Ended { .. }) | RecordReply::Gone => {
                self.rewrite(&record, RecordState::Unknown);
            }
            _ => self.refuse(codetable::IN_FLIGHT),
        }
    }

    fn rewrite(&mut self, record: &RunRecord, state: RecordState) {
        self.written = RunRecord { state, ..record.clone() };
        self.stage = RecordStage::Rewrite;
    }
}

/// Returns the state of a request that completed with a response.
pub fn finished_state(response: StoredResponse) -> RecordState {
    RecordState::Finished {
        status: response.status,
        fields: response.fields,
        body: RecordBody::new(response.body),
    }
}
