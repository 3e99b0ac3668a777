//! Messages between the processes of the fleet, encoded with `rmp-serde`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::codes::{ResultCode, RunState};
use crate::ids::{AgentId, CustomerId, EntryId, Epoch, RequestId, RunId, RunNumber, ServiceName};
use crate::ids::{ShardName, SoftwareVersion, Tokens, Version, VmId};

/// An HTTP header field.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderField {
    /// Field name, in lower case.
    pub name: Arc<str>,
    /// Field value.
    pub value: Arc<str>,
}

/// How the token usage of a request is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UsageRule {
    /// The model engine reports it in the response.
    Reported {
        /// Whether the usage event was requested by the entry and must be removed from the
        /// response.
        hidden: bool,
    },
    /// Fixed price per call.
    Fixed(Tokens),
}

/// Instructs an agent to run a request once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCommand {
    /// The request.
    pub request: RequestId,
    /// This attempt; an agent runs it at most once.
    pub run: RunId,
    /// Incarnation of the agent that is addressed; any other refuses the command.
    pub agent: AgentId,
    /// Entry that sends the command.
    pub entry: EntryId,
    /// Number of this attempt among those of the entry; 0 if the entry does not number them.
    #[serde(default)]
    pub number: RunNumber,
    /// Customer that pays.
    pub customer: CustomerId,
    /// The service.
    pub service: ServiceName,
    /// Shard with the account that pays.
    pub shard: ShardName,
    /// Tenure whose grant pays; the command is refused once the tenure is fenced.
    pub epoch: Epoch,
    /// Maximum number of tokens that this attempt may use.
    pub hold: Tokens,
    /// Whether the caller gave an idempotency key.
    pub keyed: bool,
    /// Whether the request may run again if the outcome of this attempt is unknown.
    pub repeatable: bool,
    /// Priority at the engine; higher values go first.
    pub priority: u8,
    /// Time until the deadline, in milliseconds.
    pub time_left: u64,
    /// Number of tokens that the caller has already received, if the engine resumes streams.
    pub resume_from: Tokens,
    /// Software version of the server that began the stream; no other may continue it.
    #[serde(default)]
    pub software_version: Option<SoftwareVersion>,
    /// How usage is determined.
    pub usage: UsageRule,
    /// Whether the response is streamed as server-sent events.
    pub streamed: bool,
    /// HTTP method.
    pub method: Arc<str>,
    /// Path and query.
    pub path: Arc<str>,
    /// Header fields to forward.
    pub fields: Vec<HeaderField>,
    /// Request body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// A frame of the response to a [`RunCommand`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunFrame {
    /// The agent did not run the attempt and never will.
    Refused {
        /// The request.
        request: RequestId,
        /// Reason.
        code: ResultCode,
        /// Time after which a server of this service is expected to have capacity, in milliseconds.
        retry_after: u64,
    },
    /// Status and header fields of the response.
    Head {
        /// The request.
        request: RequestId,
        /// HTTP status code.
        status: u16,
        /// Header fields to forward.
        fields: Vec<HeaderField>,
    },
    /// A part of the response body.
    Data {
        /// The request.
        request: RequestId,
        /// Offset of the part in the body, in bytes.
        offset: u64,
        /// Number of tokens generated so far, from which another attempt may resume.
        tokens: Tokens,
        /// The bytes.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
    /// Keep-alive while there is no data to send.
    Alive {
        /// The request.
        request: RequestId,
    },
    /// The response is complete.
    End {
        /// The request.
        request: RequestId,
        /// Total size of the body, in bytes.
        bytes: u64,
        /// Tokens used by the attempt.
        used: Tokens,
    },
    /// The attempt ended before its response was complete.
    Failed {
        /// The request.
        request: RequestId,
        /// Reason.
        code: ResultCode,
        /// Whether the attempt ran.
        run: RunState,
        /// Tokens that the attempt provably used.
        used: Tokens,
        /// Further tokens that the attempt may have used.
        unproved: Tokens,
    },
}

impl RunFrame {
    /// Returns the request that the frame belongs to.
    pub fn request(&self) -> &RequestId {
        match self {
            Self::Refused { request, .. }
            | Self::Head { request, .. }
            | Self::Data { request, .. }
            | Self::Alive { request }
            | Self::End { request, .. }
            | Self::Failed { request, .. } => request,
        }
    }
}

/// Instructs an agent to accept no more work from a tenure and to report what the tenure used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceCommand {
    /// The shard.
    pub shard: ShardName,
    /// The tenure.
    pub epoch: Epoch,
}

/// An agent's reply to a [`FenceCommand`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceReply {
    /// The agent's incarnation.
    pub agent: AgentId,
    /// Usage of attempts of the tenure that have ended but are not acknowledged as settled.
    pub rows: Vec<UsageRow>,
    /// Number of attempts of the tenure that are still running.
    pub running: u64,
    /// Tokens that these attempts may use at most, by customer; `None` if that is not known.
    #[serde(default)]
    pub held: Option<BTreeMap<CustomerId, Tokens>>,
}

/// Token usage of one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRow {
    /// The attempt.
    pub run: RunId,
    /// Request of the attempt.
    pub request: RequestId,
    /// Customer that pays.
    pub customer: CustomerId,
    /// The service.
    pub service: ServiceName,
    /// Whether the caller gave an idempotency key.
    pub keyed: bool,
    /// Whether the attempt resumed a stream after the part that the caller had already received.
    pub resumed: bool,
    /// Whether the response was complete.
    pub whole: bool,
    /// Tokens that the attempt provably used.
    pub used: Tokens,
    /// Further tokens that the attempt may have used.
    pub unproved: Tokens,
}

/// Instructs an agent to drop its records of runs that are settled.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AckCommand {
    /// The settled runs.
    pub runs: Vec<RunId>,
}

/// What an agent does with an attempt that it is asked about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QueryMode {
    /// Reports the state of the attempt without changing it.
    Look,
    /// Prevents the attempt from running if it has not arrived yet.
    Void,
    /// Like `Void`, and cancels the attempt if it is running.
    Cancel,
}

/// Asks an agent for the state of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunQuery {
    /// The attempt.
    pub run: RunId,
    /// Entry that started the attempt; empty if the sender does not know it.
    #[serde(default)]
    pub entry: EntryId,
    /// Number of the attempt among those of its entry; 0 if it is not known.
    #[serde(default)]
    pub number: RunNumber,
    /// What to do with the attempt.
    pub mode: QueryMode,
}

/// State of an attempt at an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunReport {
    /// The attempt has not arrived; after `Void` or `Cancel` it will never run.
    NeverCame,
    /// The attempt is running.
    Running,
    /// The attempt has ended.
    Ended {
        /// Whether the response was complete.
        whole: bool,
        /// Tokens that the attempt provably used.
        used: Tokens,
        /// Further tokens that the attempt may have used.
        unproved: Tokens,
        /// Response of an attempt that may not be repeated, stored for retries.
        answer: Option<StoredResponse>,
    },
}

/// Reply to [`AckCommand`] and [`RunQuery`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReply {
    /// The agent's incarnation.
    pub agent: AgentId,
    /// State of the attempt that was asked about.
    pub fate: Option<RunReport>,
}

/// A complete response, stored so that a retry gets the same one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Header fields.
    pub fields: Vec<HeaderField>,
    /// Response body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// An agent's load report for its backend server; also serves as the agent's heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The agent's incarnation.
    pub agent: AgentId,
    /// Service of the backend server.
    pub service: ServiceName,
    /// Number of requests that the server can run concurrently.
    pub slots: u64,
    /// Number of running requests.
    pub running: u64,
    /// Number of requests queued at the server.
    pub waiting: u64,
    /// Whether the backend server responds.
    pub healthy: bool,
    /// Whether the agent accepts no new work because it is stopping.
    pub leaving: bool,
    /// Catalogue version in effect at the agent.
    pub in_force: Version,
    /// Version of the backend server's software, if the server reports it.
    #[serde(default)]
    pub software_version: Option<SoftwareVersion>,
}

/// Instructs a peer to return unused grant to the shard, before a request is refused for lack of
/// budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecallCommand {
    /// Entry that sends the command.
    pub from: EntryId,
    /// Customer of the account.
    pub customer: CustomerId,
    /// Number of tokens needed.
    pub wanted: Tokens,
}

/// Reply to [`RecallCommand`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecallReply {
    /// Number of tokens that the peer returned to the shard.
    pub returned: Tokens,
}

/// An object of a mirrored kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MirrorObject {
    /// Name of the object within its kind.
    pub name: Arc<str>,
    /// Version of the object.
    pub version: Version,
    /// Encoded value.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// A change of an object of a mirrored kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MirrorChange {
    /// The object after the change, or before it if it was removed.
    pub object: MirrorObject,
    /// Whether the object was removed.
    pub removed: bool,
}

/// Asks a board, a relay's copy of one kind of store objects, for the changes of its kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesQuery {
    /// The kind.
    pub kind: Arc<str>,
    /// Store revision up to which the sender knows all changes; `None` requests a listing.
    pub after: Option<Version>,
    /// How long to wait for a change (long polling).
    pub wait: Duration,
}

/// A board's reply to a [`ChangesQuery`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangesReply {
    /// All objects; sent if the sender of the query knows none or is too far behind.
    Listing {
        /// The objects.
        objects: Vec<MirrorObject>,
        /// Store revision of the listing.
        revision: Version,
    },
    /// The changes since the revision in the query; empty if there were none.
    Changes {
        /// The changes in order.
        changes: Vec<MirrorChange>,
        /// Store revision after the changes.
        revision: Version,
    },
    /// The board is out of date, as it has not heard from the store recently.
    Stale,
}

/// The objects of a kind that are newer than a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MirrorDelta {
    /// Objects newer than those that the sender of the query has.
    pub objects: Vec<MirrorObject>,
    /// Version up to which the peer has seen all changes.
    pub seen: Version,
}

/// A command for a model engine, forwarded by the engine's agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCommand {
    /// Fencing number; the agent refuses numbers lower than the highest that it has seen.
    pub fence: u64,
    /// `load-model`, `load-adapter` or `set-role`.
    pub action: Arc<str>,
    /// The model or adapter to load, or the role to set.
    pub subject: Arc<str>,
}

/// Asks a peer for the changes of its mirrored objects; also serves as the heartbeat between
/// entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MirrorQuery {
    /// Address at which the sender accepts such queries; `None` if it is an agent.
    pub address: Option<SocketAddr>,
    /// Version up to which the sender knows the catalogue.
    pub catalogue: Version,
    /// Version up to which the sender knows the registrations.
    pub nodes: Version,
}

/// A peer's reply to a [`MirrorQuery`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerUpdate {
    /// The peer's incarnation.
    pub id: EntryId,
    /// Whether the peer is stopping.
    pub leaving: bool,
    /// New objects of the catalogue.
    pub catalogue: MirrorDelta,
    /// New registrations.
    pub nodes: MirrorDelta,
    /// The most recent VM list that the peer knows.
    pub vms: VmSnapshot,
}

/// The platform's VM list at one point in time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmSnapshot {
    /// The VMs, each with whether it is about to be removed.
    pub vms: BTreeMap<VmId, bool>,
    /// Number of readings of the platform's list, which is higher in a newer snapshot. A process
    /// that reads the list increments the number that it knows.
    pub readings: u64,
}

impl VmSnapshot {
    /// Replaces the snapshot by another one if that is newer.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::messages::VmSnapshot;
    /// let mut known = VmSnapshot { readings: 2, ..VmSnapshot::default() };
    /// known.merge_newer(VmSnapshot::default());
    /// assert_eq!(known.readings, 2);
    /// ```
    pub fn merge_newer(&mut self, other: Self) {
        if other.readings > self.readings {
            *self = other;
        }
    }
}
