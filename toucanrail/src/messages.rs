//! Messages between the system's own processes, encoded with `rmp-serde`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::codes::{ResultCode, RunState};
use crate::ids::{AgentId, CustomerId, EntryId, Epoch, RequestId, RunId, ServiceName, ShardName};
use crate::ids::{Tokens, Version, VmId};

/// One HTTP field.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderField {
    /// Its name, in lower case.
    pub name: Arc<str>,
    /// Its value.
    pub value: Arc<str>,
}

/// How an answer's usage is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UsageRule {
    /// The model engine reports it in the answer.
    Reported {
        /// Whether the usage event was added for us and is kept from the caller.
        hidden: bool,
    },
    /// A fixed price a call.
    Fixed(Tokens),
}

/// Orders an agent to run a request once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCommand {
    /// The request.
    pub request: RequestId,
    /// This try; an agent runs it at most once.
    pub run: RunId,
    /// The agent's incarnation; another one refuses.
    pub agent: AgentId,
    /// Who orders.
    pub entry: EntryId,
    /// Who pays.
    pub customer: CustomerId,
    /// The service.
    pub service: ServiceName,
    /// The shard that holds the money.
    pub shard: ShardName,
    /// The tenure that holds the money; refused once fenced.
    pub epoch: Epoch,
    /// The most that this try may use.
    pub hold: Tokens,
    /// Whether the caller gave a key.
    pub keyed: bool,
    /// Whether it may run again after an unknown end.
    pub repeatable: bool,
    /// Priority at the engine; higher goes first.
    pub priority: u8,
    /// Time left, in milliseconds.
    pub time_left: u64,
    /// Tokens that the caller has already, where the engine resumes.
    pub resume_from: Tokens,
    /// How usage is counted.
    pub usage: UsageRule,
    /// Whether the answer streams as server-sent events.
    pub streamed: bool,
    /// The method.
    pub method: Arc<str>,
    /// Path and query.
    pub path: Arc<str>,
    /// Fields passed on.
    pub fields: Vec<HeaderField>,
    /// The body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// A frame of the answer to a [`RunCommand`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunFrame {
    /// The agent did not run it and never will.
    Refused {
        /// The request.
        request: RequestId,
        /// Why.
        code: ResultCode,
        /// When a server of this kind is expected to have room, in milliseconds.
        retry_after: u64,
    },
    /// The answer's status and fields.
    Head {
        /// The request.
        request: RequestId,
        /// The status number.
        status: u16,
        /// The fields passed on.
        fields: Vec<HeaderField>,
    },
    /// Bytes of the body.
    Data {
        /// The request.
        request: RequestId,
        /// How many bytes came before.
        offset: u64,
        /// Tokens generated so far, for resuming.
        tokens: Tokens,
        /// The bytes.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
    /// Nothing yet, but the agent lives.
    Alive {
        /// The request.
        request: RequestId,
    },
    /// The answer is whole.
    End {
        /// The request.
        request: RequestId,
        /// Bytes of the body in all.
        bytes: u64,
        /// What the try used.
        used: Tokens,
    },
    /// The try ended before its answer was whole.
    Failed {
        /// The request.
        request: RequestId,
        /// Why.
        code: ResultCode,
        /// Whether it ran.
        run: RunState,
        /// What it provably used.
        used: Tokens,
        /// What it may have used besides.
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

/// Orders an agent to take no more work of a tenure and to tell what it used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceCommand {
    /// The shard.
    pub shard: ShardName,
    /// The tenure.
    pub epoch: Epoch,
}

/// What an agent knows of a fenced tenure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceReply {
    /// The agent's incarnation.
    pub agent: AgentId,
    /// Ended tries that were not acknowledged as settled.
    pub rows: Vec<UsageRow>,
    /// Tries that still run.
    pub running: u64,
}

/// What one try used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRow {
    /// The try.
    pub run: RunId,
    /// Its request.
    pub request: RequestId,
    /// Who pays.
    pub customer: CustomerId,
    /// The service.
    pub service: ServiceName,
    /// Whether the caller gave a key.
    pub keyed: bool,
    /// Whether it went on behind what the caller had from an earlier try.
    pub resumed: bool,
    /// Whether its answer was whole.
    pub whole: bool,
    /// What it provably used.
    pub used: Tokens,
    /// What it may have used besides.
    pub unproved: Tokens,
}

/// Tells an agent that runs are settled and may be dropped.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AckCommand {
    /// The runs.
    pub runs: Vec<RunId>,
}

/// What to do with a try whose end is not known to the asker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QueryMode {
    /// Only tell.
    Look,
    /// If it has not come yet, never let it run.
    Void,
    /// As `Void`, and cancel it if it runs.
    Cancel,
}

/// Asks what became of a try.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunQuery {
    /// The try.
    pub run: RunId,
    /// What to do about it.
    pub mode: QueryMode,
}

/// What became of a try.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunReport {
    /// It never came; after `Void` or `Cancel` it never will.
    NeverCame,
    /// It runs.
    Running,
    /// It ended.
    Ended {
        /// Whether its answer was whole.
        whole: bool,
        /// What it provably used.
        used: Tokens,
        /// What it may have used besides.
        unproved: Tokens,
        /// The answer, kept for tries that may not be repeated.
        answer: Option<StoredResponse>,
    },
}

/// The reply to [`AckCommand`] and [`RunQuery`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReply {
    /// The agent's incarnation.
    pub agent: AgentId,
    /// The fate of the try asked about.
    pub fate: Option<RunReport>,
}

/// A whole answer, kept so that a retry gets the same one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// The status number.
    pub status: u16,
    /// The fields.
    pub fields: Vec<HeaderField>,
    /// The body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// An agent's report of its backend server; also its heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The agent's incarnation.
    pub agent: AgentId,
    /// The service it serves.
    pub service: ServiceName,
    /// Requests the server runs at once.
    pub slots: u64,
    /// Requests that run.
    pub running: u64,
    /// Requests that wait at the server.
    pub waiting: u64,
    /// Whether the backend server answers.
    pub healthy: bool,
    /// Whether the agent takes no new work.
    pub leaving: bool,
    /// The catalogue's version in force at the agent.
    pub in_force: Version,
}

/// Asks a peer for unused grant before a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecallCommand {
    /// Who asks.
    pub from: EntryId,
    /// The account.
    pub customer: CustomerId,
    /// How much is wanted.
    pub wanted: Tokens,
}

/// What the peer gave back to the shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecallReply {
    /// How much.
    pub returned: Tokens,
}

/// One object of a mirrored kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MirrorObject {
    /// Its name in the kind.
    pub name: Arc<str>,
    /// Its version.
    pub version: Version,
    /// Its value.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// One change of a mirrored kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MirrorChange {
    /// The object as it is, or as it was before it was removed.
    pub object: MirrorObject,
    /// Whether it is gone.
    pub removed: bool,
}

/// Asks a board what changed in a kind of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesQuery {
    /// The kind.
    pub kind: Arc<str>,
    /// The store's revision up to which the asker knows all; none for a listing.
    pub after: Option<Version>,
    /// How long to wait for news.
    pub wait: Duration,
}

/// A board's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangesReply {
    /// All objects, where the asker knows none or is too far behind.
    Listing {
        /// The objects.
        objects: Vec<MirrorObject>,
        /// The store's revision.
        revision: Version,
    },
    /// The changes, none if there were none.
    Changes {
        /// The changes in order.
        changes: Vec<MirrorChange>,
        /// The store's revision.
        revision: Version,
    },
    /// The board has not heard of the store lately.
    Stale,
}

/// What a peer knows beyond a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MirrorDelta {
    /// Objects newer than what the asker has.
    pub objects: Vec<MirrorObject>,
    /// The version up to which the peer has seen everything.
    pub seen: Version,
}

/// An order to a model engine, passed on by its agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCommand {
    /// The fencing number; the agent refuses one lower than it has seen.
    pub fence: u64,
    /// `load-model`, `load-adapter` or `set-role`.
    pub action: Arc<str>,
    /// What to load, or the role.
    pub subject: Arc<str>,
}

/// Asks a peer for its mirrors; also the heartbeat between entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MirrorQuery {
    /// Where the asker, an entry, can be asked in turn; none if it is an agent.
    pub address: Option<SocketAddr>,
    /// The version up to which the asker knows the catalogue.
    pub catalogue: Version,
    /// The version up to which the asker knows the registrations.
    pub nodes: Version,
}

/// A peer's mirrors.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerUpdate {
    /// The peer's incarnation.
    pub id: EntryId,
    /// Whether the peer is stopping.
    pub leaving: bool,
    /// News of the catalogue.
    pub catalogue: MirrorDelta,
    /// News of the registrations.
    pub nodes: MirrorDelta,
    /// The platform's VM list as the peer last saw it.
    pub vms: VmSnapshot,
}

/// The VM list at one reading.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmSnapshot {
    /// The VMs, with whether each is about to leave.
    pub vms: BTreeMap<VmId, bool>,
    /// Readings of the platform's list so far by the process that read it.
    pub readings: u64,
}

impl VmSnapshot {
    /// Takes another reading if it is newer.
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
