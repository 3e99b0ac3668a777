//! HTTP server: reads a complete request, calls the handler and writes its response.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

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
/// Size of a body with its framing, as a multiple of its data: a chunk of one byte has five bytes
/// around it.
const MAX_FRAMING_FACTOR: u64 = 6;
/// Pause after a failed accept, which usually means that no file descriptor is available.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Limits of one listening socket.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Maximum size of a request's head, in bytes.
    pub max_head: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body: usize,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Timeout of reading a request's head from its first byte on, and of reading its body.
    pub request_timeout: Duration,
    /// Maximum idle time between requests.
    pub idle_timeout: Duration,
    /// Maximum time for writing one block of a response.
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

/// A request whose head and body have arrived completely.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// The method, URL and fields.
    pub request: Request,
    /// The complete body.
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    /// Returns the last value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.request.header(name).map(|values| values.last().as_str())
    }

    /// Returns the path of the URL.
    pub fn path(&self) -> &str {
        self.request.url().path()
    }

    /// Returns the first value of a query parameter.
    pub fn query(&self, name: &str) -> Option<String> {
        let mut pairs = self.request.url().query_pairs();
        pairs.find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
    }
}

/// Opens a non-blocking listening socket.
pub fn bind(address: &str) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::try_from(listener)
}

/// Serves connections until the future is dropped.
pub async fn serve<Handler, Handling>(listener: TcpListener, limits: ServerLimits, handler: Handler)
where
    Handler: Fn(ReceivedRequest) -> Handling + Clone + Send + Sync + 'static,
    Handling: Future<Output = Response> + Send + 'static,
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
            let over_limit = guard.count() > limits.max_connections;
            // An I/O error means a broken connection, on which no error response can be sent.
            serve_connection(stream, &limits, handler, over_limit).await.ok();
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

async fn serve_connection<Handler, Handling>(
    stream: TcpStream,
    limits: &ServerLimits,
    handler: Handler,
    over_limit: bool,
) -> io::Result<()>
where
    Handler: Fn(ReceivedRequest) -> Handling,
    Handling: Future<Output = Response>,
{
    stream.set_nodelay(true)?;
    if over_limit {
        return reject(stream, limits, codetable::TOO_MANY_CONNECTIONS).await;
    }
    let mut buffered = Vec::new();
    let mut chunk = vec![0; READ_SIZE];
    while let Some(head) = read_head(&stream, &mut buffered, &mut chunk, limits).await? {
        let (end, info) = match head {
            Ok(parsed) => parsed,
            Err(code) => return reject(stream, limits, code).await,
        };
        let bytes = std::mem::take(&mut buffered);
        let max_body = limits.max_body as u64 * MAX_FRAMING_FACTOR;
        let message = MessageStream::new(bytes, end, info.length, max_body, stream.clone());
        let received =
            time_limits::timeout(limits.request_timeout, receive(&message, limits)).await;
        let received = match received.unwrap_or(Err(codetable::SLOW_SENDER)) {
            Ok(received) => received,
            Err(code) => return reject(stream, limits, code).await,
        };
        buffered = message.take_leftover();
        let method = received.request.method();
        // async-h1 does not report where a chunked request ends, so later bytes are not used.
        let close = info.close || info.length == BodyLength::Chunked;
        let responded =
            respond(&stream, handler(received), method, limits, close, &buffered).await?;
        if close || !responded {
            break;
        }
    }
    Ok(())
}

/// Reads until a head is complete; none if the peer closed the connection between requests.
async fn read_head(
    stream: &TcpStream,
    buffered: &mut Vec<u8>,
    chunk: &mut [u8],
    limits: &ServerLimits,
) -> io::Result<Option<Result<(usize, HeadInfo), ResultCode>>> {
    let mut reader = stream.clone();
    let mut began_at = (!buffered.is_empty()).then(Instant::now);
    loop {
        if let Some(end) = scanners::find_head_end(buffered) {
            return Ok(Some(check_head(&buffered[..end], limits).map(|info| (end, info))));
        }
        if buffered.len() > limits.max_head {
            return Ok(Some(Err(codetable::HEAD_TOO_LARGE)));
        }
        let timeout = began_at.map_or(limits.idle_timeout, |began_at| {
            limits.request_timeout.saturating_sub(began_at.elapsed())
        });
        match time_limits::io_timeout(timeout, reader.read(chunk)).await {
            Ok(0) if buffered.is_empty() => return Ok(None),
            Ok(0) => return Ok(Some(Err(codetable::CUT_REQUEST))),
            Ok(count) => {
                began_at.get_or_insert_with(Instant::now);
                buffered.extend_from_slice(&chunk[..count]);
            }
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
    // The decoder panics on fields that are not ASCII.
    if !head.is_ascii() {
        return Err(codetable::BAD_REQUEST);
    }
    let info = scanners::scan_head(head)?;
    if !info.has_host {
        return Err(codetable::MISSING_HOST);
    }
    match info.length {
        BodyLength::Exact(count) if count > limits.max_body as u64 => {
            Err(codetable::BODY_TOO_LARGE)
        }
        _ => Ok(info),
    }
}

async fn receive(
    message: &MessageStream,
    limits: &ServerLimits,
) -> Result<ReceivedRequest, ResultCode> {
    // Boxed because the decoder's state is large and each wrapping future would copy it.
    let decoded = Box::pin(server::decode(message.clone())).await;
    let Ok(Some((mut request, _))) = decoded else {
        return Err(codetable::BAD_REQUEST);
    };
    let mut body = Vec::new();
    let mut reader = request.take_body();
    let mut chunk = vec![0; READ_SIZE];
    loop {
        match message.read_decoded(&mut reader, &mut chunk).await {
            Ok(0) => break,
            Ok(count) => body.extend_from_slice(&chunk[..count]),
            Err(_) => return Err(codetable::CUT_REQUEST),
        }
        if body.len() > limits.max_body {
            return Err(codetable::BODY_TOO_LARGE);
        }
    }
    if message.is_complete() {
        Ok(ReceivedRequest { request, body })
    } else {
        Err(codetable::CUT_REQUEST)
    }
}

async fn reject(stream: TcpStream, limits: &ServerLimits, code: ResultCode) -> io::Result<()> {
    let response = responses::error(&ErrorDetails::new(code));
    write_response(&stream, response, Method::Get, limits, true).await?;
    discard_input(stream).await;
    Ok(())
}

/// Continues to read for a short time after an error response: closing a socket with unread bytes
/// resets the connection, and the peer could lose the response.
async fn discard_input(mut stream: TcpStream) {
    const LINGER: Duration = Duration::from_millis(200);
    stream.shutdown(std::net::Shutdown::Write).ok();
    let mut chunk = vec![0; READ_SIZE];
    let reading = async {
        while stream.read(&mut chunk).await? > 0 {
            // The timeout applies also while bytes keep coming.
            smol::future::yield_now().await;
        }
        Ok(())
    };
    time_limits::io_timeout(LINGER, reading).await.ok();
}

/// Runs the handler and writes its response; false if the caller disconnected before.
async fn respond<Handling>(
    stream: &TcpStream,
    handling: Handling,
    method: Method,
    limits: &ServerLimits,
    close: bool,
    buffered: &[u8],
) -> io::Result<bool>
where
    Handling: Future<Output = Response>,
{
    let responded = async {
        let response = handling.await;
        write_response(stream, response, method, limits, close).await?;
        Ok(true)
    };
    let pipelined = !buffered.is_empty();
    responded.or(wait_for_disconnect(stream, pipelined)).await
}

/// Completes when the peer closes its side, so that work for a caller that disconnected stops even
/// while there is nothing to write. A peer that pipelines its next request is not watched.
async fn wait_for_disconnect(stream: &TcpStream, pipelined: bool) -> io::Result<bool> {
    let mut probe = [0; 1];
    if !pipelined && matches!(stream.peek(&mut probe).await, Ok(0) | Err(_)) {
        return Ok(false);
    }
    std::future::pending().await
}

async fn write_response(
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
