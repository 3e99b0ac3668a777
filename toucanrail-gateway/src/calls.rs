//! One admitted request and its attempts, as the steps that serve it share them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use toucanrail::attempting::AttemptFate;
use toucanrail::backends::BackendEntry;
use toucanrail::framing::BodyDecoder;
use toucanrail::ids::ServiceName;
use toucanrail::matching::{CustomerProfile, RouteRule};
use toucanrail::sse::EventScanner;
use toucanrail_platform::requests::RequestFacts;
use toucanrail_wire::channels::BufferedChannel;
use toucanrail_wire::heads::{AnswerHead, RequestHead};
use toucanrail_wire::keeping;

use crate::borrowing::BudgetGuard;
use crate::permitting::SendPermit;
use crate::states::Gateway;

/// Taken off the time that a caller waits: its answer must be there before it gives up by itself. What goes on
/// at a server behind a caller that has left is in vain, and a server that stands still cannot be told.
pub const DEADLINE_MARGIN: Duration = Duration::from_millis(40);

/// One admitted request.
#[derive(Debug)]
pub struct CallPlan<'call> {
    /// Its head, as it came.
    pub head: &'call RequestHead,
    /// Its body.
    pub body: &'call [u8],
    /// What the head says.
    pub facts: RequestFacts,
    /// Its route.
    pub route: Arc<RouteRule>,
    /// Who pays; none on a public route.
    pub customer: Option<Arc<CustomerProfile>>,
    /// The service chosen for it.
    pub service: ServiceName,
    /// When it arrived.
    pub arrived: Instant,
    /// When it must have its answer.
    pub deadline: Instant,
    /// Rank at the servers.
    pub urgency: u8,
    /// The budget held for it.
    pub budget: Option<BudgetGuard>,
}

impl CallPlan<'_> {
    /// Returns the time left.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the time left until the caller gives up for want of a beginning.
    pub fn left_to_begin(&self) -> Duration {
        let begun_by = self.arrived + self.route.caller_timeout().saturating_sub(DEADLINE_MARGIN);
        self.left().min(begun_by.saturating_duration_since(Instant::now()))
    }
}

/// A failure that a server answered.
#[derive(Debug)]
pub struct FailedAnswer {
    /// Its head.
    pub head: AnswerHead,
    /// Its body.
    pub body: Vec<u8>,
}

/// One attempt: whose request, and where it goes.
#[derive(Debug, Clone, Copy)]
pub struct AttemptContext<'run, 'call> {
    /// The gateway.
    pub gateway: &'run Rc<Gateway>,
    /// The request.
    pub plan: &'run CallPlan<'call>,
    /// The server.
    pub target: &'run BackendEntry,
    /// A server that holds the prompt's shared parts.
    pub source: Option<SocketAddr>,
    /// Whether the server may get the request.
    pub permit: SendPermit,
    /// Whether another attempt may follow although this one was sent.
    pub may_move: bool,
}

/// How one attempt ended.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The caller has the whole answer.
    Whole,
    /// The server answered with a failure, which the caller does not have yet.
    Failed(FailedAnswer),
    /// There is no answer.
    Ended(AttemptFate),
    /// The caller takes no answer any more.
    CallerGone,
}

/// An answer whose head is here.
#[derive(Debug)]
pub struct OpenExchange {
    /// The connection.
    pub channel: BufferedChannel,
    /// The head.
    pub head: AnswerHead,
    /// Where the body ends.
    pub framer: BodyDecoder,
    /// Whether all of the request was sent.
    pub sent_whole: bool,
}

impl OpenExchange {
    /// Keeps the connection for the next request, if nothing is due on it.
    pub fn keep_channel(self, gateway: &Gateway, backend: &Arc<str>) {
        if self.framer.is_done() && self.sent_whole && !self.head.close {
            let stated = self.head.fields.get("keep-alive").and_then(keeping::read_keep_alive);
            gateway.channels.keep(backend, self.channel, stated);
        }
    }
}

/// A stream across the attempts that make it.
#[derive(Debug)]
pub struct StreamState {
    /// Finds whole events.
    pub scanner: EventScanner,
    /// When the first bytes of an answer were passed on.
    pub first_at: Option<Instant>,
    /// Longest pause between events, for logs.
    pub pause: Duration,
}

impl StreamState {
    /// Starts a stream, behind the event that the caller has already.
    pub fn new(last_event: Option<u64>) -> Self {
        let scanner = EventScanner { last_id: last_event, ..EventScanner::new() };
        Self { scanner, first_at: None, pause: Duration::ZERO }
    }

    /// Returns the last event that was passed on.
    pub fn last_event(&self) -> Option<u64> {
        self.scanner.last_id
    }
}
