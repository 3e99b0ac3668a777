//! The entry's side of one attempt of a request at one agent.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::future::FutureExt;
use toucanrail::codes::ResultCode;
use toucanrail::codetable;
use toucanrail::frames::FrameDecoder;
use toucanrail::ids::{AgentId, SoftwareVersion, Tokens};
use toucanrail::messages::{
    AgentReply, HeaderField, QueryMode, RunQuery, RunReport, StoredResponse,
};
use toucanrail::messages::{RunCommand, RunFrame};
use toucanrail_wire::clients::{RequestError, StreamingResponse};
use toucanrail_wire::time_limits;

use crate::fleet_client::routes;
use crate::reclaiming;
use crate::state::Entry;

/// Time without a frame after which the connection to an agent counts as lost; the agent sends
/// keep-alive frames four times as often.
const FRAME_TIMEOUT: Duration = Duration::from_secs(2);
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
const QUERY_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait of a request for the result of an attempt whose connection was lost, before the
/// request proceeds without it.
const RESULT_TIMEOUT: Duration = Duration::from_secs(2);

/// Receives the response of an attempt while it arrives.
pub trait ResponseSink: Send {
    /// Handles the status code and header fields; `false` if the body cannot follow what the caller
    /// has received of an earlier attempt.
    fn handle_head(&mut self, status: u16, fields: Vec<HeaderField>) -> bool;

    /// Handles a part of the body, after which the response has `tokens` tokens; `false` if the
    /// caller has disconnected.
    fn handle_body(&mut self, bytes: Vec<u8>, tokens: Tokens) -> impl Future<Output = bool> + Send;

    /// Waits until the caller has disconnected.
    fn wait_caller_gone(&self) -> impl Future<Output = ()> + Send;
}

/// Result of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptResult {
    /// The complete response was received.
    Complete {
        /// Number of tokens used.
        used: Tokens,
    },
    /// It provably did not run and never will.
    NotRun {
        /// Reason.
        code: ResultCode,
        /// When the caller may retry.
        retry_after: Duration,
    },
    /// It ran, but the complete response was not received here.
    Incomplete {
        /// Reason.
        code: ResultCode,
        /// Number of tokens provably used.
        used: Tokens,
        /// Number of further tokens that may have been used.
        unproved: Tokens,
        /// The complete response, if the agent stored it.
        answer: Option<StoredResponse>,
    },
    /// The agent has not yet reported how the attempt ended.
    Unresolved {
        /// Reason.
        code: ResultCode,
    },
}

/// Agent that an attempt is sent to.
#[derive(Debug, Clone)]
pub struct AttemptTarget {
    /// The agent's incarnation.
    pub agent: AgentId,
    /// Its address.
    pub address: SocketAddr,
    /// Version of its server's software, if it is known.
    pub software_version: Option<SoftwareVersion>,
}

/// Why the exchange with an agent ended early.
#[derive(Debug)]
enum ExchangeError {
    CallerGone,
    Timeout,
    Truncated,
    ForeignResponse,
    /// The response does not continue the one that the caller has begun to receive.
    NoContinuation,
}

impl ExchangeError {
    const fn code(&self) -> ResultCode {
        match self {
            Self::CallerGone => codetable::CANCELLED,
            Self::Timeout => codetable::SILENT_CONNECTION,
            Self::Truncated => codetable::ANSWER_CUT,
            Self::ForeignResponse => codetable::FOREIGN_ANSWER,
            Self::NoContinuation => codetable::BACKEND_FAILED,
        }
    }
}

/// Sends a run command to an agent and forwards the response to `sink`.
pub async fn run_attempt<Sink>(
    entry: &Arc<Entry>,
    target: &AttemptTarget,
    command: &RunCommand,
    sink: &mut Sink,
) -> AttemptResult
where
    Sink: ResponseSink,
{
    let started = Instant::now();
    let opened = async {
        let timeout = FRAME_TIMEOUT;
        Some(entry.client.open(target.address, routes::RUN, command, timeout).await)
    };
    let gone = async {
        sink.wait_caller_gone().await;
        None
    };
    let error = match opened.or(gone).await {
        Some(Ok(response)) => {
            match forward_frames(entry, target, command, response, sink, started).await {
                Ok(result) => return result,
                Err(error) => error,
            }
        }
        Some(Err(RequestError::NotSent(error))) => {
            tracing::debug!(%error, agent = %target.agent, "could not reach the agent");
            let code = codetable::NO_BACKEND_SERVER;
            return AttemptResult::NotRun { code, retry_after: Duration::from_secs(1) };
        }
        Some(Err(RequestError::MaybeSent(error))) if error.kind() == io::ErrorKind::TimedOut => {
            ExchangeError::Timeout
        }
        Some(Err(RequestError::MaybeSent(_))) => ExchangeError::Truncated,
        None => ExchangeError::CallerGone,
    };
    // If one connection to the agent is lost, its idle connections are probably lost too.
    entry.client.evict(target.address);
    let waited = time_limits::timeout(
        RESULT_TIMEOUT,
        query_result(entry, target, &cancel_query(command), command.hold),
    )
    .await;
    match waited {
        Some(AttemptResult::Incomplete { used, unproved, answer, .. }) => {
            AttemptResult::Incomplete { code: error.code(), used, unproved, answer }
        }
        Some(result) => result,
        None => AttemptResult::Unresolved { code: error.code() },
    }
}

/// Forwards frames up to the last one, checking that each belongs to this request and that no data
/// is missing in between.
async fn forward_frames<Sink>(
    entry: &Arc<Entry>,
    target: &AttemptTarget,
    command: &RunCommand,
    mut response: StreamingResponse,
    sink: &mut Sink,
    started: Instant,
) -> Result<AttemptResult, ExchangeError>
where
    Sink: ResponseSink,
{
    let mut decoder = FrameDecoder::new();
    let mut received = 0;
    let mut first = true;
    loop {
        while let Some(frame) = decoder.next_frame().map_err(|_| ExchangeError::Truncated)? {
            if *frame.request() != command.request {
                return Err(ExchangeError::ForeignResponse);
            }
            match frame {
                RunFrame::Alive { .. } => {}
                RunFrame::Head { status, fields, .. } => {
                    if !sink.handle_head(status, fields) {
                        return Err(ExchangeError::NoContinuation);
                    }
                }
                RunFrame::Data { offset, bytes, tokens, .. } => {
                    if offset != received {
                        return Err(ExchangeError::Truncated);
                    }
                    received += bytes.len() as u64;
                    if std::mem::take(&mut first) {
                        let now = entry.now();
                        entry.lock().servers.record_first_token(
                            &target.agent,
                            started.elapsed(),
                            now,
                        );
                    }
                    if !sink.handle_body(bytes, tokens).await {
                        return Err(ExchangeError::CallerGone);
                    }
                }
                RunFrame::End { bytes, used, .. } if bytes == received => {
                    drain_response(response).await;
                    return Ok(AttemptResult::Complete { used });
                }
                RunFrame::End { .. } => return Err(ExchangeError::Truncated),
                RunFrame::Refused { code, retry_after, .. } => {
                    drain_response(response).await;
                    let retry_after = Duration::from_millis(retry_after);
                    // The attempt has reached the agent before, so its result has to be queried.
                    return if code == codetable::ALREADY_SEEN {
                        Err(ExchangeError::Truncated)
                    } else {
                        Ok(AttemptResult::NotRun { code, retry_after })
                    };
                }
                RunFrame::Failed { code, used, unproved, .. } => {
                    drain_response(response).await;
                    return Ok(AttemptResult::Incomplete { code, used, unproved, answer: None });
                }
            }
        }
        let read = async {
            response.read_chunk(FRAME_TIMEOUT).await.map_err(|error| match error.kind() {
                io::ErrorKind::TimedOut => ExchangeError::Timeout,
                _ => ExchangeError::Truncated,
            })
        };
        let gone = async {
            sink.wait_caller_gone().await;
            Err(ExchangeError::CallerGone)
        };
        let bytes = read.or(gone).await?;
        if bytes.is_empty() {
            return Err(ExchangeError::Truncated);
        }
        decoder.feed(&bytes);
    }
}

/// Reads the end of the chunked body, so that the connection can be reused.
async fn drain_response(mut response: StreamingResponse) {
    if response.read_chunk(QUERY_TIMEOUT).await.is_ok_and(|bytes| bytes.is_empty()) {
        response.release();
    }
}

/// Returns the query that cancels the attempt of a command.
pub fn cancel_query(command: &RunCommand) -> RunQuery {
    RunQuery {
        run: Arc::clone(&command.run),
        entry: Arc::clone(&command.entry),
        number: command.number,
        mode: QueryMode::Cancel,
    }
}

/// Cancels an attempt and queries its agent until it reports the result or is provably gone.
pub async fn query_result(
    entry: &Arc<Entry>,
    target: &AttemptTarget,
    query: &RunQuery,
    hold: Tokens,
) -> AttemptResult {
    loop {
        let reply: io::Result<AgentReply> =
            entry.client.send(target.address, routes::RUN_QUERY, query, QUERY_TIMEOUT).await;
        match reply {
            Ok(reply) if reply.agent != target.agent => return gone_result(hold),
            Ok(AgentReply { fate: Some(RunReport::NeverCame), .. }) => {
                let code = codetable::VOIDED;
                return AttemptResult::NotRun { code, retry_after: Duration::from_secs(1) };
            }
            Ok(AgentReply {
                fate: Some(RunReport::Ended { used, unproved, answer, .. }), ..
            }) => {
                let code = codetable::ANSWER_CUT;
                return AttemptResult::Incomplete { code, used, unproved, answer };
            }
            Err(_) if reclaiming::is_agent_gone(entry, &target.agent) => return gone_result(hold),
            Ok(_) | Err(_) => {}
        }
        smol::Timer::after(QUERY_INTERVAL).await;
    }
}

fn gone_result(hold: Tokens) -> AttemptResult {
    let code = codetable::BACKEND_FAILED;
    AttemptResult::Incomplete { code, used: 0, unproved: hold, answer: None }
}
