//! One try of a request at one agent, as the entry sees it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::future::FutureExt;
use toucanrail::codes::ResultCode;
use toucanrail::codetable;
use toucanrail::frames::FrameDecoder;
use toucanrail::ids::{AgentId, RunId, Tokens};
use toucanrail::messages::{
    AgentReply, HeaderField, QueryMode, RunQuery, RunReport, StoredResponse,
};
use toucanrail::messages::{RunCommand, RunFrame};
use toucanrail_wire::clients::{RequestError, StreamingResponse};
use toucanrail_wire::time_limits;

use crate::fleets::routes;
use crate::reclaiming;
use crate::states::Entry;

/// Silence of an agent's answer after which its connection counts as lost; the agent sends a sign
/// of life four times as often.
const FRAME_SILENCE: Duration = Duration::from_secs(2);
const ASK_BOUND: Duration = Duration::from_millis(500);
const ASK_PAUSE: Duration = Duration::from_millis(100);
/// How long a request waits for the fate of a lost try before it goes on without.
const FATE_WAIT: Duration = Duration::from_secs(2);

/// Takes what an attempt brings, as it comes.
pub trait AnswerSink: Send {
    /// Takes the status and fields.
    fn take_head(&mut self, status: u16, fields: Vec<HeaderField>);

    /// Takes bytes of the body; false once the caller is gone.
    fn take_body(&mut self, bytes: Vec<u8>, tokens: Tokens) -> impl Future<Output = bool> + Send;

    /// Waits until the caller is gone.
    fn wait_gone(&self) -> impl Future<Output = ()> + Send;
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The answer is whole.
    Whole {
        /// What it used.
        used: Tokens,
    },
    /// It provably did not run and never will.
    NotRun {
        /// Why.
        code: ResultCode,
        /// When to come back.
        retry_after: Duration,
    },
    /// It ran, but its answer is not whole here.
    Lost {
        /// Why.
        code: ResultCode,
        /// What it provably used.
        used: Tokens,
        /// What it may have used besides.
        unproved: Tokens,
        /// The whole answer, where the agent kept it.
        answer: Option<StoredResponse>,
    },
    /// The agent cannot say yet how it ended.
    Open {
        /// Why.
        code: ResultCode,
    },
}

/// Where an attempt goes.
#[derive(Debug, Clone)]
pub struct AttemptTarget {
    /// The agent's incarnation.
    pub agent: AgentId,
    /// Its address.
    pub address: SocketAddr,
}

/// What went wrong with the answer's connection.
#[derive(Debug)]
enum FrameFault {
    Gone,
    Silent,
    Cut,
    Foreign,
}

impl FrameFault {
    const fn code(&self) -> ResultCode {
        match self {
            Self::Gone => codetable::CANCELLED,
            Self::Silent => codetable::SILENT_CONNECTION,
            Self::Cut => codetable::ANSWER_CUT,
            Self::Foreign => codetable::FOREIGN_ANSWER,
        }
    }
}

/// Sends an order and passes its answer on.
pub async fn run_attempt<Sink>(
    entry: &Arc<Entry>,
    target: &AttemptTarget,
    order: &RunCommand,
    sink: &mut Sink,
) -> AttemptEnd
where
    Sink: AnswerSink,
{
    let started = Instant::now();
    let opened = async {
        let bound = FRAME_SILENCE;
        Some(entry.client.open(target.address, routes::RUN, order, bound).await)
    };
    let gone = async {
        sink.wait_gone().await;
        None
    };
    let fault = match opened.or(gone).await {
        Some(Ok(answer)) => match follow(entry, target, order, answer, sink, started).await {
            Ok(end) => return end,
            Err(fault) => fault,
        },
        Some(Err(RequestError::NotSent(error))) => {
            tracing::debug!(%error, agent = %target.agent, "agent not reached");
            let code = codetable::NO_BACKEND_SERVER;
            return AttemptEnd::NotRun { code, retry_after: Duration::from_secs(1) };
        }
        Some(Err(RequestError::MaybeSent(error))) if error.kind() == io::ErrorKind::TimedOut => {
            FrameFault::Silent
        }
        Some(Err(RequestError::MaybeSent(_))) => FrameFault::Cut,
        None => FrameFault::Gone,
    };
    // One lost connection speaks for those that idle beside it.
    entry.client.forget(target.address);
    let waited =
        time_limits::timeout(FATE_WAIT, find_fate(entry, target, &order.run, order.hold)).await;
    match waited {
        Some(AttemptEnd::Lost { used, unproved, answer, .. }) => {
            AttemptEnd::Lost { code: fault.code(), used, unproved, answer }
        }
        Some(end) => end,
        None => AttemptEnd::Open { code: fault.code() },
    }
}

/// Passes frames on until the last one; each must be the next of this very request.
async fn follow<Sink>(
    entry: &Arc<Entry>,
    target: &AttemptTarget,
    order: &RunCommand,
    mut answer: StreamingResponse,
    sink: &mut Sink,
    started: Instant,
) -> Result<AttemptEnd, FrameFault>
where
    Sink: AnswerSink,
{
    let mut scanner = FrameDecoder::new();
    let mut received = 0;
    let mut first = true;
    loop {
        while let Some(frame) = scanner.next_frame().map_err(|_| FrameFault::Cut)? {
            if *frame.request() != order.request {
                return Err(FrameFault::Foreign);
            }
            match frame {
                RunFrame::Alive { .. } => {}
                RunFrame::Head { status, fields, .. } => sink.take_head(status, fields),
                RunFrame::Data { offset, bytes, tokens, .. } => {
                    if offset != received {
                        return Err(FrameFault::Cut);
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
                    if !sink.take_body(bytes, tokens).await {
                        return Err(FrameFault::Gone);
                    }
                }
                RunFrame::End { bytes, used, .. } if bytes == received => {
                    finish_reading(answer).await;
                    return Ok(AttemptEnd::Whole { used });
                }
                RunFrame::End { .. } => return Err(FrameFault::Cut),
                RunFrame::Refused { code, retry_after, .. } => {
                    finish_reading(answer).await;
                    let retry_after = Duration::from_millis(retry_after);
                    // It came before: what became of it must be asked.
                    return if code == codetable::ALREADY_SEEN {
                        Err(FrameFault::Cut)
                    } else {
                        Ok(AttemptEnd::NotRun { code, retry_after })
                    };
                }
                RunFrame::Failed { code, used, unproved, .. } => {
                    finish_reading(answer).await;
                    return Ok(AttemptEnd::Lost { code, used, unproved, answer: None });
                }
            }
        }
        let read = async {
            answer.read_chunk(FRAME_SILENCE).await.map_err(|error| match error.kind() {
                io::ErrorKind::TimedOut => FrameFault::Silent,
                _ => FrameFault::Cut,
            })
        };
        let gone = async {
            sink.wait_gone().await;
            Err(FrameFault::Gone)
        };
        let bytes = read.or(gone).await?;
        if bytes.is_empty() {
            return Err(FrameFault::Cut);
        }
        scanner.feed(&bytes);
    }
}

/// Reads the end of the last chunk, so that the connection can be used again.
async fn finish_reading(mut answer: StreamingResponse) {
    if answer.read_chunk(ASK_BOUND).await.is_ok_and(|bytes| bytes.is_empty()) {
        answer.release();
    }
}

/// Cancels a try and asks until its agent says how it ended, or is provably gone.
pub async fn find_fate(
    entry: &Arc<Entry>,
    target: &AttemptTarget,
    run: &RunId,
    hold: Tokens,
) -> AttemptEnd {
    let order = RunQuery { run: Arc::clone(run), mode: QueryMode::Cancel };
    loop {
        let reply: io::Result<AgentReply> =
            entry.client.send(target.address, routes::ASK, &order, ASK_BOUND).await;
        match reply {
            Ok(reply) if reply.agent != target.agent => return vanished(hold),
            Ok(AgentReply { fate: Some(RunReport::NeverCame), .. }) => {
                let code = codetable::VOIDED;
                return AttemptEnd::NotRun { code, retry_after: Duration::from_secs(1) };
            }
            Ok(AgentReply {
                fate: Some(RunReport::Ended { used, unproved, answer, .. }), ..
            }) => {
                let code = codetable::ANSWER_CUT;
                return AttemptEnd::Lost { code, used, unproved, answer };
            }
            Err(_) if reclaiming::is_gone(entry, &target.agent) => return vanished(hold),
            Ok(_) | Err(_) => {}
        }
        smol::Timer::after(ASK_PAUSE).await;
    }
}

fn vanished(hold: Tokens) -> AttemptEnd {
    let code = codetable::BACKEND_FAILED;
    AttemptEnd::Lost { code, used: 0, unproved: hold, answer: None }
}
