//! Accepts callers' connections, reads requests in full and handles them one at a time.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::Async;
use smol::future::FutureExt;
use toucanrail::codes::{ResultCode, RunState};
use toucanrail::codetable;
use toucanrail::framing::BodyDecoder;
use toucanrail::matching::CallerLimits;
use toucanrail::retry_delays::{self, RefusalCause};
use toucanrail_platform::requests;
use toucanrail_wire::connections::BufferedConnection;
use toucanrail_wire::heads::{HeadError, RequestHead};
use toucanrail_wire::time_limits;

use crate::admitting;
use crate::buffers::{BodyHold, WriteBacklog};
use crate::link_admission;
use crate::listening;
use crate::responding::{self, ResponseWriter};
use crate::state::{ConnectionGuard, Gateway, RequestGuard};

/// Maximum time for a body to arrive after its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a new connection may take to send its first request while the process is stopping.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes of a pipelined request to buffer while the current request is handled.
/// Bytes beyond it wait at the caller, whose disconnection is then noticed by a failing write only.
const MAX_PIPELINED_BYTES: usize = 16 * 1024;
/// How long to keep reading from a caller after its response: closing a socket with unread bytes
/// resets the connection, and the caller could lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);

/// Reason why no request could be read.
#[derive(Debug)]
enum ReadError {
    /// The request was invalid or too slow; the caller receives this code.
    Refused(ResultCode),
    /// The link has no share left for the request; the caller should retry after this time.
    LinkFull(Duration),
    /// The connection is gone and nobody can be notified.
    Disconnected,
}

impl From<io::Error> for ReadError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::FileTooLarge => Self::Refused(codetable::HEAD_TOO_LARGE),
            io::ErrorKind::TimedOut => Self::Refused(codetable::SLOW_SENDER),
            _ => Self::Disconnected,
        }
    }
}

impl From<HeadError> for ReadError {
    fn from(HeadError::Malformed(code): HeadError) -> Self {
        Self::Refused(code)
    }
}

/// Accepts callers' connections until the process exits.
pub async fn serve_callers(gateway: Rc<Gateway>, listener: Async<TcpListener>) {
    let serve = |socket| {
        let gateway = Rc::clone(&gateway);
        async move { serve_connection(&gateway, socket).await }
    };
    // The connection is closed unread, so the caller can safely retry the request at another entry.
    let refuse = || gateway.metrics.count_event("connections_refused");
    let limit = gateway.settings.limits.max_connections();
    listening::serve_connections(&gateway.executor, listener, limit, serve, refuse).await;
}

async fn serve_connection(gateway: &Rc<Gateway>, socket: Async<TcpStream>) -> io::Result<()> {
    let mut connection = BufferedConnection::new(socket)?;
    let _guard = ConnectionGuard::new(gateway);
    let mut served = false;
    loop {
        let limits = gateway.tables.borrow().routes.limits();
        let is_idle = connection.buffer.is_empty();
        if is_idle && !wait_for_request(gateway, &mut connection, limits.idle, served).await? {
            return Ok(());
        }
        served = true;
        let arrived = Instant::now();
        let guard = RequestGuard::new(gateway);
        let (head, body, hold) = match read_request(gateway, &mut connection, limits).await {
            Ok(request) => request,
            Err(ReadError::Disconnected) => return Ok(()),
            Err(ReadError::Refused(code)) => {
                tracing::info!(event = "refused_unread", code = code.number());
                let wait = (code == codetable::MEMORY_FULL).then(|| {
                    let cause = RefusalCause::FullEntry;
                    retry_delays::pick_delay(cause, Duration::MAX, fastrand::f64())
                });
                return refuse(gateway, connection, code, wait).await;
            }
            Err(ReadError::LinkFull(wait)) => {
                return refuse(gateway, connection, codetable::LINK_FULL, Some(wait)).await;
            }
        };
        let close = head.close
            || gateway.stop_requested.get().is_some()
            || gateway.link.closes_connections(gateway.now())
            || !gateway.settings.limits.keeps_connections(gateway.caller_connections.get());
        let backlog = WriteBacklog::new(connection.writer(), &gateway.memory);
        let mut writer = ResponseWriter::new(backlog, close, head.method());
        let responding = async {
            admitting::handle_request(gateway, &head, &body, &mut writer, arrived).await;
            writer.finish().await.ok();
            link_admission::record_response(gateway, &head, writer.size);
            true
        };
        // Polled first: once the caller is known to have disconnected, no further step of its
        // request may run, because that step could forward the request to a server.
        let completed = wait_for_disconnect(&mut connection).or(responding).await;
        drop((guard, hold));
        if !completed {
            gateway.metrics.count_result(codetable::CANCELLED);
            tracing::info!(
                event = "caller_gone", request = %requests::parse_request(&head).id,
                begun = writer.has_started(), took_ms = arrived.elapsed().as_millis() as u64,
            );
            return Ok(());
        }
        let complete = writer.is_complete();
        if writer.close || !complete {
            return close_connection(connection, complete).await;
        }
    }
}

/// Waits for the first bytes of a request. Returns false if the connection ends before any arrive.
///
/// A stopping entry closes idle connections that have already served a request. A connection that
/// has not may have a request on its way: if it were closed unread, its caller would reconnect at
/// once, repeatedly, although the request could have been served here.
async fn wait_for_request(
    gateway: &Gateway,
    connection: &mut BufferedConnection,
    idle: Duration,
    served: bool,
) -> io::Result<bool> {
    let close_idle = gateway.close_idle_event.listen();
    if !served && gateway.close_idle.get() {
        return Ok(time_limits::io_timeout(FIRST_REQUEST_TIMEOUT, connection.fill()).await? > 0);
    }
    if gateway.close_idle.get() {
        return Ok(false);
    }
    let closed = async {
        close_idle.await;
        Ok(0)
    };
    Ok(time_limits::io_timeout(idle, connection.fill().or(closed)).await? > 0)
}

async fn read_request(
    gateway: &Gateway,
    connection: &mut BufferedConnection,
    limits: CallerLimits,
) -> Result<(RequestHead, Vec<u8>, BodyHold), ReadError> {
    let bytes = time_limits::io_timeout(limits.arrival, connection.read_head(limits.head)).await?;
    let head = RequestHead::parse(&bytes.ok_or(ReadError::Disconnected)?)?;
    link_admission::await_share(gateway, &head, limits).await.map_err(ReadError::LinkFull)?;
    let mut decoder = BodyDecoder::for_request(head.length);
    let mut body = Vec::new();
    let mut hold = BodyHold::new(&gateway.memory);
    if !decoder.is_done() && head.fields.get("expect").is_some() {
        connection.writer().write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let reading = async {
        loop {
            let consumed = decoder.feed(&connection.buffer, &mut body);
            connection.buffer.drain(..consumed);
            if decoder.is_malformed() {
                return Err(ReadError::Refused(codetable::BAD_REQUEST));
            }
            if body.len() > limits.body {
                return Err(ReadError::Refused(codetable::BODY_TOO_LARGE));
            }
            if !hold.try_raise(body.len()) {
                return Err(ReadError::Refused(codetable::MEMORY_FULL));
            }
            if decoder.is_done() {
                return Ok(());
            }
            if connection.fill().await? == 0 {
                return Err(ReadError::Refused(codetable::CUT_REQUEST));
            }
        }
    };
    match time_limits::timeout(BODY_TIMEOUT, reading).await {
        Some(read) => read.map(|()| (head, body, hold)),
        None => Err(ReadError::Refused(codetable::SLOW_SENDER)),
    }
}

/// Refuses a request that was not read to its end, and closes its connection.
async fn refuse(
    gateway: &Gateway,
    connection: BufferedConnection,
    code: ResultCode,
    wait: Option<Duration>,
) -> io::Result<()> {
    gateway.metrics.count_result(code);
    let details = responding::make_refusal(code, RunState::NotRun, wait);
    let (bytes, body) = responding::encode_refusal(&details, true);
    connection.writer().write_all(&[bytes, body].concat()).await?;
    close_connection(connection, true).await
}

/// Closes a connection. After a complete response, closes it gracefully so that the caller receives
/// all of it.
pub(crate) async fn close_connection(
    mut connection: BufferedConnection,
    complete: bool,
) -> io::Result<()> {
    if !complete {
        return Ok(());
    }
    connection.writer().finish()?;
    let reading = async {
        while connection.fill().await? > 0 {
            connection.buffer.clear();
        }
        Ok(())
    };
    time_limits::io_timeout(LINGER_TIMEOUT, reading).await
}

/// Returns false when the caller closes its side, so that work for a disconnected caller stops even
/// while there is nothing to write. Stops watching once a pipelined request fills the buffer.
async fn wait_for_disconnect(connection: &mut BufferedConnection) -> bool {
    while connection.buffer.len() < MAX_PIPELINED_BYTES {
        if !matches!(connection.fill().await, Ok(count) if count > 0) {
            return false;
        }
    }
    std::future::pending().await
}
