//! Callers' connections: requests read whole, answered one after the other.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::Async;
use smol::future::FutureExt;
use toucanrail::codes::{ResultCode, RunState};
use toucanrail::codetable;
use toucanrail::framing::BodyDecoder;
use toucanrail::matching::CallerBounds;
use toucanrail_platform::requests;
use toucanrail_wire::channels::BufferedChannel;
use toucanrail_wire::clocks;
use toucanrail_wire::heads::{HeadFault, RequestHead};

use crate::admitting;
use crate::answering::{self, CallerSide};
use crate::listening;
use crate::states::{Gateway, RequestGuard};

/// Most callers' connections at once; leaves descriptors for servers, the store and files.
const CONNECTION_LIMIT: usize = 3_000;
/// Longest arrival of a body behind its head.
const BODY_BOUND: Duration = Duration::from_secs(10);
/// Longest wait for the first request of a connection while the process stops.
const FIRST_BOUND: Duration = Duration::from_secs(1);
/// Bytes of a next request that are read while one is answered.
const EARLY_LIMIT: usize = 64 * 1024;
/// Time for which a refused caller's bytes are still read: closing with unread bytes resets the
/// connection, and the caller would lose the answer.
const LINGER: Duration = Duration::from_millis(200);

/// Why a request was not read.
#[derive(Debug)]
enum ReadFault {
    /// The caller is to be told.
    Refused(ResultCode),
    /// There is nobody to tell.
    Gone,
}

impl From<io::Error> for ReadFault {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::FileTooLarge => Self::Refused(codetable::HEAD_TOO_LARGE),
            io::ErrorKind::TimedOut => Self::Refused(codetable::SLOW_SENDER),
            _ => Self::Gone,
        }
    }
}

impl From<HeadFault> for ReadFault {
    fn from(HeadFault::Malformed(code): HeadFault) -> Self {
        Self::Refused(code)
    }
}

/// Takes callers' connections until the process ends.
pub async fn serve_callers(gateway: Rc<Gateway>, listener: Async<TcpListener>) {
    let serve = |socket| {
        let gateway = Rc::clone(&gateway);
        async move { serve_connection(&gateway, socket).await }
    };
    // Closed unread: the caller may go to another entry with the same request.
    let refuse = || gateway.board.count_event("connections_refused");
    listening::serve_each(&gateway.executor, listener, CONNECTION_LIMIT, serve, refuse).await;
}

async fn serve_connection(gateway: &Rc<Gateway>, socket: Async<TcpStream>) -> io::Result<()> {
    let mut channel = BufferedChannel::new(socket)?;
    let mut served = false;
    loop {
        let bounds = gateway.tables.borrow().routes.bounds();
        let waits = channel.buffer.is_empty();
        if waits && !wait_request(gateway, &mut channel, bounds.idle, served).await? {
            return Ok(());
        }
        served = true;
        let arrived = Instant::now();
        let guard = RequestGuard::new(gateway);
        let (head, body) = match read_request(&mut channel, bounds).await {
            Ok(request) => request,
            Err(ReadFault::Gone) => return Ok(()),
            Err(ReadFault::Refused(code)) => return refuse(gateway, channel, code).await,
        };
        let close = head.close || gateway.stopping.get().is_some();
        let mut caller = CallerSide::new(channel.writer(), close);
        let answering = async {
            admitting::answer_request(gateway, &head, &body, &mut caller, arrived).await;
            true
        };
        // First: a step of the answer would send on a request whose caller is known to have left.
        let answered = watch_departure(&mut channel).or(answering).await;
        drop(guard);
        if !answered {
            gateway.board.count_result(codetable::CANCELLED);
            tracing::info!(
                event = "caller_gone", request = %requests::read_request(&head).id,
                begun = caller.begun, took_ms = arrived.elapsed().as_millis() as u64,
            );
            return Ok(());
        }
        if caller.close || !caller.whole {
            return close_channel(channel, caller.whole).await;
        }
    }
}

/// Waits for a request's first bytes; false where the connection ends before them.
///
/// A stopping entry closes connections that have had an answer. A new one may have a request under
/// way: closed unread, its caller would come back at once, and again, where it could be served.
async fn wait_request(
    gateway: &Gateway,
    channel: &mut BufferedChannel,
    idle: Duration,
    served: bool,
) -> io::Result<bool> {
    let leaving = gateway.leaving.listen();
    if !served && gateway.closes_idle.get() {
        return Ok(clocks::within(FIRST_BOUND, channel.fill()).await? > 0);
    }
    if gateway.closes_idle.get() {
        return Ok(false);
    }
    let ended = async {
        leaving.await;
        Ok(0)
    };
    Ok(clocks::within(idle, channel.fill().or(ended)).await? > 0)
}

async fn read_request(
    channel: &mut BufferedChannel,
    bounds: CallerBounds,
) -> Result<(RequestHead, Vec<u8>), ReadFault> {
    let bytes = clocks::within(bounds.arrival, channel.read_head(bounds.head)).await?;
    let head = RequestHead::parse(&bytes.ok_or(ReadFault::Gone)?)?;
    let mut framer = BodyDecoder::for_request(head.length);
    let mut body = Vec::new();
    if !framer.is_done() && head.fields.get("expect").is_some() {
        channel.writer().write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let reading = async {
        loop {
            let taken = framer.feed(&channel.buffer, &mut body);
            channel.buffer.drain(..taken);
            if framer.is_malformed() {
                return Err(ReadFault::Refused(codetable::BAD_REQUEST));
            }
            if body.len() > bounds.body {
                return Err(ReadFault::Refused(codetable::BODY_TOO_LARGE));
            }
            if framer.is_done() {
                return Ok(());
            }
            if channel.fill().await? == 0 {
                return Err(ReadFault::Refused(codetable::CUT_REQUEST));
            }
        }
    };
    match clocks::bounded(BODY_BOUND, reading).await {
        Some(read) => read.map(|()| (head, body)),
        None => Err(ReadFault::Refused(codetable::SLOW_SENDER)),
    }
}

async fn refuse(gateway: &Gateway, channel: BufferedChannel, code: ResultCode) -> io::Result<()> {
    gateway.board.count_result(code);
    tracing::info!(event = "refused_unread", code = code.number());
    let note = answering::make_note(code, RunState::NotRun, None);
    channel.writer().write_all(&answering::encode_refusal(&note, true)).await?;
    close_channel(channel, true).await
}

/// Ends a connection; where the answer was whole, so that the caller gets all of it.
async fn close_channel(mut channel: BufferedChannel, whole: bool) -> io::Result<()> {
    if !whole {
        return Ok(());
    }
    channel.writer().finish()?;
    let reading = async {
        while channel.fill().await? > 0 {
            channel.buffer.clear();
        }
        Ok(())
    };
    clocks::within(LINGER, reading).await
}

/// Ends, with false, when the caller closes its side, so that work for one who went away stops even
/// while there is nothing to write. A caller that sends its next request early is left alone.
async fn watch_departure(channel: &mut BufferedChannel) -> bool {
    while channel.buffer.len() < EARLY_LIMIT {
        if !matches!(channel.fill().await, Ok(count) if count > 0) {
            return false;
        }
    }
    std::future::pending().await
}
