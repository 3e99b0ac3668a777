//! The serving side: reads a request whole, calls the handler, writes its answer.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_h1::server;
use http_types::{Method, Request, Response};
use smol::future::FutureExt;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use toucanrail::codes::ResultCode;
use toucanrail::codetable;
use toucanrail::scanners::{self, BodyLength, HeadInfo};

use crate::message_streams::MessageStream;
use crate::responses::{self, ErrorDetails};
use crate::time_limits;

const READ_SIZE: usize = 8 * 1024;
/// Pause after a failed accept, usually for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bounds of one listening socket.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Largest head, in bytes.
    pub max_head: usize,
    /// Largest body, in bytes.
    pub max_body: usize,
    /// Most connections at once.
    pub max_connections: usize,
    /// Longest time from a request's first byte to its last.
    pub request_timeout: Duration,
    /// Longest idle time between requests.
    pub idle_timeout: Duration,
    /// Longest time in which a write makes no progress.
    pub write_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_head: 8 * 1024,
            max_body: 1024 * 1024,
            max_connections: 4096,
            request_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(75),
            write_timeout: Duration::from_secs(20),
        }
    }
}

/// A request whose head and body have arrived whole.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// Method, URL and fields.
    pub request: Request,
    /// The whole body.
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    /// Returns a field's first value.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.request.header(name).map(|values| values.last().as_str())
    }

    /// Returns the path of the URL.
    pub fn path(&self) -> &str {
        self.request.url().path()
    }

    /// Returns a value of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let mut pairs = self.request.url().query_pairs();
        pairs.find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
    }
}

/// Opens a listening socket.
pub fn bind(address: &str) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::try_from(listener)
}

/// Serves connections until the future is dropped.
pub async fn serve<Handler, Answering>(
    listener: TcpListener,
    limits: ServerLimits,
    handler: Handler,
) where
    Handler: Fn(ReceivedRequest) -> Answering + Clone + Send + Sync + 'static,
    Answering: Future<Output = Response> + Send + 'static,
{
    let open = Arc::new(AtomicUsize::new(0));
    let limits = Arc::new(limits);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            smol::Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        let guard = ConnectionGuard::new(Arc::clone(&open));
        let limits = Arc::clone(&limits);
        let handler = handler.clone();
        smol::spawn(async move {
            let crowded = guard.count() > limits.max_connections;
            // A broken connection has nobody left to tell.
            serve_connection(stream, &limits, handler, crowded).await.ok();
        })
        .detach();
    }
}

#[derive(Debug)]
struct ConnectionGuard {
    open: Arc<AtomicUsize>,
}

impl ConnectionGuard {
    fn new(open: Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self { open }
    }

    fn count(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve_connection<Handler, Answering>(
    stream: TcpStream,
    limits: &ServerLimits,
    handler: Handler,
    crowded: bool,
) -> io::Result<()>
where
    Handler: Fn(ReceivedRequest) -> Answering,
    Answering: Future<Output = Response>,
{
    stream.set_nodelay(true)?;
    if crowded {
        return refuse(stream, limits, codetable::TOO_MANY_CONNECTIONS).await;
    }
    let mut buffered = Vec::new();
    let mut chunk = vec![0; READ_SIZE];
    while let Some(head) = read_head(&stream, &mut buffered, &mut chunk, limits).await? {
        let (end, facts) = match head {
            Ok(found) => found,
            Err(code) => return refuse(stream, limits, code).await,
        };
        let bytes = std::mem::take(&mut buffered);
        let replay = MessageStream::new(bytes, end, facts.length, stream.clone());
        let received = time_limits::timeout(limits.request_timeout, receive(&replay, limits)).await;
        let received = match received.unwrap_or(Err(codetable::SLOW_SENDER)) {
            Ok(received) => received,
            Err(code) => return refuse(stream, limits, code).await,
        };
        buffered = replay.take_leftover();
        let method = received.request.method();
        // async-h1 gives no end of a chunked request, so what follows it is not trusted.
        let close = facts.close || facts.length == BodyLength::Chunked;
        let answered = answer(&stream, handler(received), method, limits, close, &buffered).await?;
        if close || !answered {
            break;
        }
    }
    Ok(())
}

/// Reads until a head is whole; `None` where the peer closed between requests.
async fn read_head(
    stream: &TcpStream,
    buffered: &mut Vec<u8>,
    chunk: &mut [u8],
    limits: &ServerLimits,
) -> io::Result<Option<Result<(usize, HeadInfo), ResultCode>>> {
    let mut reader = stream.clone();
    loop {
        if let Some(end) = scanners::find_head_end(buffered) {
            return Ok(Some(check_head(&buffered[..end], limits).map(|facts| (end, facts))));
        }
        if buffered.len() > limits.max_head {
            return Ok(Some(Err(codetable::HEAD_TOO_LARGE)));
        }
        let bound = if buffered.is_empty() { limits.idle_timeout } else { limits.request_timeout };
        match time_limits::io_timeout(bound, reader.read(chunk)).await {
            Ok(0) if buffered.is_empty() => return Ok(None),
            Ok(0) => return Ok(Some(Err(codetable::CUT_REQUEST))),
            Ok(count) => buffered.extend_from_slice(&chunk[..count]),
            Err(error) if error.kind() == io::ErrorKind::TimedOut && !buffered.is_empty() => {
                return Ok(Some(Err(codetable::SLOW_SENDER)));
            }
            Err(error) => return Err(error),
        }
    }
}

fn check_head(head: &[u8], limits: &ServerLimits) -> Result<HeadInfo, ResultCode> {
    if head.len() > limits.max_head {
        return Err(codetable::HEAD_TOO_LARGE);
    }
    let facts = scanners::scan_head(head)?;
    if !facts.has_host {
        return Err(codetable::MISSING_HOST);
    }
    match facts.length {
        BodyLength::Exact(count) if count > limits.max_body as u64 => {
            Err(codetable::BODY_TOO_LARGE)
        }
        _ => Ok(facts),
    }
}

async fn receive(
    replay: &MessageStream,
    limits: &ServerLimits,
) -> Result<ReceivedRequest, ResultCode> {
    // Boxed, since the decoder's state is large and every wrapper would move it.
    let decoded = Box::pin(server::decode(replay.clone())).await;
    let Ok(Some((mut request, _))) = decoded else {
        return Err(codetable::BAD_REQUEST);
    };
    let mut body = Vec::new();
    let mut reader = request.take_body().take(limits.max_body as u64 + 1);
    if reader.read_to_end(&mut body).await.is_err() {
        return Err(codetable::CUT_REQUEST);
    }
    if body.len() > limits.max_body {
        return Err(codetable::BODY_TOO_LARGE);
    }
    if replay.is_complete() {
        Ok(ReceivedRequest { request, body })
    } else {
        Err(codetable::CUT_REQUEST)
    }
}

async fn refuse(stream: TcpStream, limits: &ServerLimits, code: ResultCode) -> io::Result<()> {
    let response = responses::error(&ErrorDetails::new(code));
    write_answer(&stream, response, Method::Get, limits, true).await?;
    discard_input(stream).await;
    Ok(())
}

/// Reads on for a moment after a refusal: closing with unread bytes resets the connection, and
/// the peer would lose the answer.
async fn discard_input(mut stream: TcpStream) {
    const LINGER: Duration = Duration::from_millis(200);
    stream.shutdown(std::net::Shutdown::Write).ok();
    let mut chunk = vec![0; READ_SIZE];
    let reading = async {
        while stream.read(&mut chunk).await? > 0 {}
        Ok(())
    };
    time_limits::io_timeout(LINGER, reading).await.ok();
}

/// Runs the handler and writes its answer; false where the caller went away first.
async fn answer<Answering>(
    stream: &TcpStream,
    answering: Answering,
    method: Method,
    limits: &ServerLimits,
    close: bool,
    buffered: &[u8],
) -> io::Result<bool>
where
    Answering: Future<Output = Response>,
{
    let answered = async {
        let response = answering.await;
        write_answer(stream, response, method, limits, close).await?;
        Ok(true)
    };
    let pipelined = !buffered.is_empty();
    answered.or(watch_departure(stream, pipelined)).await
}

/// Ends when the peer closes its side, so that work for a caller who went away stops even while
/// there is nothing to write. A peer that sends its next request early is left alone.
async fn watch_departure(stream: &TcpStream, pipelined: bool) -> io::Result<bool> {
    let mut probe = [0; 1];
    if !pipelined && matches!(stream.peek(&mut probe).await, Ok(0) | Err(_)) {
        return Ok(false);
    }
    std::future::pending().await
}

async fn write_answer(
    stream: &TcpStream,
    mut response: Response,
    method: Method,
    limits: &ServerLimits,
    close: bool,
) -> io::Result<()> {
    if close {
        response.insert_header("connection", "close");
    }
    let mut encoder = server::Encoder::new(response, method);
    let mut writer = stream.clone();
    let mut chunk = vec![0; READ_SIZE];
    loop {
        let count = encoder.read(&mut chunk).await?;
        if count == 0 {
            return Ok(());
        }
        time_limits::io_timeout(limits.write_timeout, writer.write_all(&chunk[..count])).await?;
    }
}
