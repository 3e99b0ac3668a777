//! Types shared by the steps that serve an admitted request: the request, its attempts and their
//! outcomes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use toucanrail::attempts::AttemptOutcome;
use toucanrail::backends::BackendEntry;
use toucanrail::body_formats::BodyFormat;
use toucanrail::contents::ContentKey;
use toucanrail::framing::BodyDecoder;
use toucanrail::ids::ServiceName;
use toucanrail::link_shares;
use toucanrail::matching::{CustomerProfile, RouteRule};
use toucanrail::origins::StreamOrigin;
use toucanrail::scanners::BodyLength;
use toucanrail::silences;
use toucanrail::sse::EventScanner;
use toucanrail::suspects::{self, RunStage, SuspectKey};
use toucanrail_platform::requests::RequestInfo;
use toucanrail_wire::connections::BufferedConnection;
use toucanrail_wire::heads::{RequestHead, ResponseHead};
use toucanrail_wire::keepalive;

use crate::loan_client::BudgetGuard;
use crate::permits::SendPermit;
use crate::state::Gateway;

/// Subtracted from the time that a caller waits, so that it has its response before it gives up on
/// its own. Work that a server does for a caller that has left is wasted, and a server that hangs
/// cannot be told to stop.
pub const DEADLINE_MARGIN: Duration = Duration::from_millis(40);

/// An admitted request.
#[derive(Debug)]
pub struct RequestPlan<'request> {
    /// Request head as received.
    pub head: &'request RequestHead,
    /// Complete request body.
    pub body: &'request [u8],
    /// Fields parsed from the head.
    pub info: RequestInfo,
    /// Key of its content, the same for all attempts of its caller.
    pub content: ContentKey,
    /// What is suspected if servers end under it: its content, and the parts of its prompt before the
    /// last one.
    pub suspects: Vec<SuspectKey>,
    /// Matched route.
    pub route: Arc<RouteRule>,
    /// Customer that pays; `None` on a public route.
    pub customer: Option<Arc<CustomerProfile>>,
    /// Service chosen among the route's targets.
    pub service: ServiceName,
    /// Where the stream began that the request takes up; `None` for a request that begins anew.
    pub origin: Option<StreamOrigin>,
    /// Time at which the request arrived.
    pub arrived: Instant,
    /// Time by which the response must be complete.
    pub deadline: Instant,
    /// Priority at the servers.
    pub urgency: u8,
    /// Budget reserved for the request, if it needs any.
    pub budget: Option<BudgetGuard>,
    /// Whether the request is a trial of suspects that are held back.
    pub is_trial: bool,
}

impl RequestPlan<'_> {
    /// Returns the time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the time left until the deadline for the first byte: a caller gives up earlier if
    /// the response does not start.
    pub fn time_left_to_first_byte(&self) -> Duration {
        let first_byte_deadline =
            self.arrived + self.route.caller_timeout().saturating_sub(DEADLINE_MARGIN);
        self.time_left().min(first_byte_deadline.saturating_duration_since(Instant::now()))
    }
}

/// An error response from a server.
#[derive(Debug)]
pub struct FailedResponse {
    /// Response head.
    pub head: ResponseHead,
    /// Complete response body.
    pub body: Vec<u8>,
}

/// Context of one attempt: the request and the server that it is sent to.
#[derive(Debug, Clone, Copy)]
pub struct AttemptContext<'run, 'request> {
    /// The gateway that serves the request.
    pub gateway: &'run Rc<Gateway>,
    /// The admitted request.
    pub plan: &'run RequestPlan<'request>,
    /// The server to send it to.
    pub target: &'run BackendEntry,
    /// Address of another server that holds the shared parts of the prompt in its cache.
    pub source: Option<SocketAddr>,
    /// Permit to send the request to a server that is still cold.
    pub permit: SendPermit,
    /// Whether the request may be sent to another server although this attempt has sent it.
    pub may_fail_over: bool,
}

impl AttemptContext<'_, '_> {
    /// Returns the time within which a part of the response must be complete after its first byte.
    pub fn part_timeout(&self) -> Duration {
        let target = self.plan.route.latency_target;
        let usual = silences::part_timeout(target, self.may_fail_over);
        link_shares::call_timeout(usual, self.gateway.delaying_load())
    }
}

/// Outcome of one attempt.
#[derive(Debug)]
pub enum AttemptResult {
    /// The caller has received the complete response.
    Complete,
    /// The server responded with an error, which has not been forwarded to the caller.
    Failed(FailedResponse),
    /// No complete response was received.
    Incomplete(AttemptOutcome),
    /// The caller has disconnected.
    CallerGone,
}

/// An exchange with a server whose response head has been received.
#[derive(Debug)]
pub struct OpenExchange {
    /// Connection to the server.
    pub connection: BufferedConnection,
    /// Response head.
    pub head: ResponseHead,
    /// Finds the end of the response body.
    pub decoder: BodyDecoder,
    /// Whether the whole request was written.
    pub request_sent: bool,
}

impl OpenExchange {
    /// Returns the connection to the pool if the exchange is complete in both directions and the
    /// server keeps the connection open.
    pub fn release_connection(self, gateway: &Gateway, backend: &Arc<str>) {
        if self.decoder.is_done() && self.request_sent && !self.head.close {
            let stated = self.head.fields.get("keep-alive").and_then(keepalive::parse_keep_alive);
            gateway.connections.put(backend, self.connection, stated);
        }
    }
}

/// State of a stream that may span several attempts.
#[derive(Debug)]
pub struct StreamState {
    /// Finds complete events.
    pub scanner: EventScanner,
    /// Where the stream began, from its first event on.
    pub origin: Option<StreamOrigin>,
    /// Format of the body that the caller has begun to receive.
    pub format: Option<BodyFormat>,
    /// How the newest response states the length of its body, for logging.
    pub framing: Option<BodyLength>,
    /// Bytes received after the last complete event of the newest response, which decide whether it
    /// is complete.
    pub partial_bytes: usize,
    /// Time of the first event of the newest response.
    pub attempt_begun_at: Option<Instant>,
    /// Time at which the first bytes of a response were forwarded.
    pub first_byte_at: Option<Instant>,
    /// Longest pause between events, for logging.
    pub longest_pause: Duration,
    /// Bytes of responses that were received, without heads.
    pub received_bytes: u64,
}

impl StreamState {
    /// Creates the state of a stream that resumes after `last_event`, the last event that the
    /// caller already has, and began at `origin`.
    pub fn new(last_event: Option<u64>, origin: Option<StreamOrigin>) -> Self {
        Self {
            scanner: EventScanner::after(last_event),
            origin,
            format: None,
            framing: None,
            partial_bytes: 0,
            attempt_begun_at: None,
            first_byte_at: None,
            longest_pause: Duration::ZERO,
            received_bytes: 0,
        }
    }

    /// Forgets the framing and the partial event of an earlier response.
    pub fn begin_attempt(&mut self) {
        self.scanner.resume();
        self.framing = None;
        self.partial_bytes = 0;
        self.attempt_begun_at = None;
    }

    /// Returns whether the newest response has gone on for some time after its first event.
    pub fn has_progressed(&self) -> bool {
        self.attempt_begun_at.is_some_and(|at| at.elapsed() >= suspects::PROGRESS_TIME)
    }

    /// Returns how far the newest attempt is.
    pub fn stage(&self) -> RunStage {
        if self.framing.is_some() { RunStage::Writing } else { RunStage::Waiting }
    }

    /// Returns whether a body of this format can follow what the caller has received.
    pub fn accepts(&self, format: &BodyFormat) -> bool {
        self.format.as_ref().is_none_or(|begun| begun == format)
    }

    /// Returns the name of the newest response's framing, for logging.
    pub fn framing_name(&self) -> Option<&'static str> {
        self.framing.map(BodyLength::as_str)
    }

    /// Returns the id of the last event that was forwarded.
    pub fn last_event(&self) -> Option<u64> {
        self.scanner.last_id
    }
}
