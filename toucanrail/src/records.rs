//! Records of runs that may not be repeated: at most one run a key, the same answer to each retry.
//!
//! The record is created before anything is sent, create-if-absent, with the writer's nonce, so
//! that a lost answer of the object API can be told from a lost race.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::codes::ResultCode;
use crate::codetable;
use crate::ids::{AgentId, CustomerId, EntryId, RequestId, RunId, Version};
use crate::messages::{HeaderField, QueryMode, RunReport, StoredResponse};
use crate::paths;
use crate::storecalls::{self, StoreCall, StoreReply, WriteExpectation};

const CONFLICT_LIMIT: u32 = 8;

/// The record of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The request, derived from the customer and the key.
    pub request: RequestId,
    /// The customer.
    pub customer: CustomerId,
    /// Digest of method, path and body: the same key with another request is refused.
    pub digest: Arc<str>,
    /// The entry that wrote the last try.
    pub writer: EntryId,
    /// Random for each opening; tells the writer its own record.
    pub nonce: u64,
    /// The number of the last try.
    pub attempt: u32,
    /// The only agent that the last try may go to.
    pub agent: AgentId,
    /// How far the request is.
    pub state: RecordState,
}

/// How far a recorded request is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
    /// The last try may have been sent.
    Started,
    /// The last try provably did not run; another may.
    NotRun,
    /// It ran; every retry gets this answer.
    Finished {
        /// The status number.
        status: u16,
        /// The fields.
        fields: Vec<HeaderField>,
        /// The body, as text where it is text.
        body: RecordBody,
    },
    /// How it ended cannot be known; it is never run again.
    Unknown,
}

/// A recorded body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordBody {
    /// Valid UTF-8.
    Text(String),
    /// Other bytes.
    Bytes(Vec<u8>),
}

impl RecordBody {
    /// Makes a body of bytes.
    pub fn new(bytes: Vec<u8>) -> Self {
        String::from_utf8(bytes).map_or_else(|error| Self::Bytes(error.into_bytes()), Self::Text)
    }

    /// Returns the bytes.
    pub fn into_bytes(self) -> Vec<u8> {
        match self {
            Self::Text(text) => text.into_bytes(),
            Self::Bytes(bytes) => bytes,
        }
    }
}

impl RunRecord {
    /// Returns the id of the last try.
    pub fn run(&self) -> RunId {
        run_id(&self.request, self.attempt)
    }
}

/// Returns the id of a try.
///
/// # Examples
/// ```
/// assert_eq!(&*toucanrail::records::run_id(&"ab".into(), 2), "ab.2");
/// ```
pub fn run_id(request: &RequestId, attempt: u32) -> RunId {
    Arc::from(format!("{request}.{attempt}"))
}

/// What the machine wants done next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordCall {
    /// A call to the object API.
    Store(StoreCall),
    /// Ask an agent what became of a try.
    Ask {
        /// The agent's incarnation.
        agent: AgentId,
        /// The try.
        run: RunId,
        /// What to do about it.
        mode: QueryMode,
    },
}

/// What came of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordReply {
    /// The object API's reply.
    Store(StoreReply),
    /// The agent's answer.
    Fate(RunReport),
    /// That incarnation of the agent is provably gone.
    Gone,
    /// The agent does not answer.
    Unreachable,
}

/// What to do with the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordOutcome {
    /// Run this try, once, at the agent named in the record.
    Run {
        /// The record as written.
        record: RunRecord,
        /// Its version.
        version: Version,
    },
    /// Answer with this, as the first time.
    Replay(StoredResponse),
    /// Refuse with this code.
    Refuse(ResultCode),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RecordStage {
    Create,
    Read,
    Ask,
    Rewrite,
    Done,
}

/// The step machine that opens a record or finds what became of it.
#[derive(Debug)]
pub struct RecordMachine {
    wanted: RunRecord,
    written: RunRecord,
    stage: RecordStage,
    found: Option<(Version, RunRecord)>,
    conflicts: u32,
    outcome: Option<RecordOutcome>,
}

impl RecordMachine {
    /// Starts with the record that the first try would write.
    pub fn new(wanted: RunRecord) -> Self {
        Self {
            written: wanted.clone(),
            wanted,
            stage: RecordStage::Create,
            found: None,
            conflicts: 0,
            outcome: None,
        }
    }

    /// Returns the outcome.
    pub fn into_outcome(self) -> RecordOutcome {
        self.outcome.unwrap_or(RecordOutcome::Refuse(codetable::STORE_UNAVAILABLE))
    }

    /// Returns the next call, or none when it has ended.
    pub fn next_call(&self) -> Option<RecordCall> {
        let path = paths::record_path(&self.wanted.request);
        let found = self.found.as_ref();
        match self.stage {
            RecordStage::Done => None,
            RecordStage::Create => Some(RecordCall::Store(StoreCall::Put {
                path,
                expect: WriteExpectation::Absent,
                value: storecalls::encode_value(&self.written),
            })),
            RecordStage::Read => Some(RecordCall::Store(StoreCall::Get { path })),
            RecordStage::Ask => found.map(|(_, record)| RecordCall::Ask {
                agent: Arc::clone(&record.agent),
                run: record.run(),
                mode: QueryMode::Void,
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

    /// Takes the reply to the last call.
    pub fn take_reply(&mut self, reply: RecordReply) {
        match (self.stage, reply) {
            (RecordStage::Create | RecordStage::Rewrite, RecordReply::Store(reply)) => {
                self.take_write(&reply);
            }
            (RecordStage::Read, RecordReply::Store(reply)) => self.take_read(reply),
            (RecordStage::Ask, reply) => self.take_fate(reply),
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

    fn take_write(&mut self, reply: &StoreReply) {
        if let StoreReply::Written { version } = reply {
            return self.settle_written(*version);
        }
        // Lost answer or lost race: only reading tells.
        self.conflicts += 1;
        self.stage = RecordStage::Read;
        if self.conflicts > CONFLICT_LIMIT {
            self.refuse(codetable::STORE_UNAVAILABLE);
        }
    }

    fn settle_written(&mut self, version: Version) {
        let record = self.written.clone();
        self.end(match record.state {
            RecordState::Started => RecordOutcome::Run { record, version },
            RecordState::Finished { status, fields, body } => {
                RecordOutcome::Replay(StoredResponse { status, fields, body: body.into_bytes() })
            }
            RecordState::NotRun | RecordState::Unknown => {
                RecordOutcome::Refuse(codetable::END_UNKNOWN)
            }
        });
    }

    fn take_read(&mut self, reply: StoreReply) {
        let StoreReply::Found { version, value } = reply else {
            return match reply {
                StoreReply::Missing => {
                    self.written = self.wanted.clone();
                    self.stage = RecordStage::Create;
                }
                _ => self.refuse(codetable::STORE_UNAVAILABLE),
            };
        };
        let Some(record) = storecalls::decode_value::<RunRecord>(&value) else {
            return self.refuse(codetable::END_UNKNOWN);
        };
        if record.digest != self.wanted.digest {
            return self.refuse(codetable::KEY_REUSED);
        }
        // Written by this very call, its answer lost: nothing has been sent yet.
        if record.nonce == self.wanted.nonce && record.state == RecordState::Started {
            self.written = record;
            return self.settle_written(version);
        }
        self.found = Some((version, record.clone()));
        match record.state {
            RecordState::Started => self.stage = RecordStage::Ask,
            RecordState::NotRun => self.start_attempt(&record),
            RecordState::Finished { .. } | RecordState::Unknown => {
                self.written = record;
                self.settle_written(version);
            }
        }
    }

    fn start_attempt(&mut self, last: &RunRecord) {
        self.written = RunRecord { attempt: last.attempt + 1, ..self.wanted.clone() };
        self.stage = RecordStage::Rewrite;
    }

    fn take_fate(&mut self, reply: RecordReply) {
        let Some((_, record)) = self.found.clone() else {
            return self.refuse(codetable::END_UNKNOWN);
        };
        match reply {
            // Voided at the only agent that the try may go to: a new one may run.
            RecordReply::Fate(RunReport::NeverCame) => self.start_attempt(&record),
            RecordReply::Fate(RunReport::Ended { answer: Some(answer), .. }) => {
                self.rewrite(&record, finished_state(answer));
            }
            RecordReply::Fate(RunReport::Ended { .. }) | RecordReply::Gone => {
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

/// Returns the state of a request that has its answer.
pub fn finished_state(answer: StoredResponse) -> RecordState {
    RecordState::Finished {
        status: answer.status,
        fields: answer.fields,
        body: RecordBody::new(answer.body),
    }
}
