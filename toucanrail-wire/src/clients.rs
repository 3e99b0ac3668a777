//! HTTP client: one exchange at a time per connection, and a pool that checks connections before
//! their reuse.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_h1::client;
pub use http_types::Method;
use http_types::{Request, Response, Url};
use quick_error::quick_error;
use smol::future::FutureExt;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use toucanrail::scanners::{self, BodyLength, HeadInfo};

use crate::message_streams::MessageStream;
use crate::time_limits;

const READ_SIZE: usize = 8 * 1024;
const HEAD_READ_SIZE: usize = 2 * 1024;
const STATUSES_WITHOUT_BODY: [u16; 2] = [204, 304];

/// Limits of the requests through one pool.
#[derive(Debug, Clone)]
pub struct ClientLimits {
    /// Maximum size of a response's head, in bytes.
    pub max_head: usize,
    /// Maximum size of a response's body that is read whole, with its framing, in bytes.
    pub max_body: u64,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Time after which an idle connection is not reused.
    pub idle_timeout: Duration,
    /// Maximum number of idle connections per address.
    pub max_idle: usize,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            max_head: 16 * 1024,
            max_body: 16 * 1024 * 1024,
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(30),
            max_idle: 64,
        }
    }
}

quick_error! {
    /// Error of a request without a response.
    #[derive(Debug)]
    pub enum RequestError {
        /// No connection was established: nothing was sent, so the server cannot have received it.
        NotSent(error: io::Error) {
            display("not sent: {error}")
        }
        /// The exchange failed after a connection was established: the server may have received the
        /// request or a part of it.
        MaybeSent(error: io::Error) {
            display("failed after connecting: {error}")
        }
    }
}

impl From<RequestError> for io::Error {
    fn from(failure: RequestError) -> Self {
        match failure {
            RequestError::NotSent(error) | RequestError::MaybeSent(error) => error,
        }
    }
}

/// A request to send.
#[derive(Debug, Clone)]
pub struct OutboundRequest {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// The names and values of the fields.
    pub fields: Vec<(String, String)>,
    /// The complete body.
    pub body: Vec<u8>,
    /// Whether to open a new connection instead of reusing an idle one.
    pub new_connection: bool,
    /// Maximum size of the response's body, with its framing, if it is below
    /// [`ClientLimits::max_body`].
    pub max_body: Option<u64>,
}

impl OutboundRequest {
    /// Makes a request without a body.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            fields: Vec::new(),
            body: Vec::new(),
            new_connection: false,
            max_body: None,
        }
    }

    /// Makes a `GET` request.
    pub fn get(path: impl Into<String>) -> Self {
        Self::new(Method::Get, path)
    }

    /// Makes a `POST` request with a body.
    pub fn post(path: impl Into<String>, body: Vec<u8>) -> Self {
        let mut request = Self::new(Method::Post, path);
        request.body = body;
        request
    }

    /// Adds a field.
    #[must_use]
    pub fn field(mut self, name: &str, value: impl Into<String>) -> Self {
        self.fields.push((name.to_owned(), value.into()));
        self
    }

    /// Limits the size of the response's body, with its framing.
    #[must_use]
    pub fn limit_body(mut self, max_body: u64) -> Self {
        self.max_body = Some(max_body);
        self
    }

    /// Sends the request on a new connection.
    #[must_use]
    pub fn on_new_connection(mut self) -> Self {
        self.new_connection = true;
        self
    }
}

/// A response whose body is read as it arrives.
///
/// Only [`StreamingResponse::release`] returns its connection to the pool. If the response is
/// dropped before, the connection is closed, so that no other exchange receives the rest of its
/// body.
#[derive(Debug)]
pub struct StreamingResponse {
    /// The status and the fields.
    pub response: Response,
    message: MessageStream,
    stream: TcpStream,
    buffer: Vec<u8>,
    reusable: bool,
    address: SocketAddr,
    pool: ConnectionPool,
}

/// A response whose body has been read completely.
#[derive(Debug)]
pub struct CompleteResponse {
    /// The status code.
    pub status: u16,
    /// The status and the fields; the body has been removed.
    pub response: Response,
    /// The complete body.
    pub body: Vec<u8>,
}

impl CompleteResponse {
    /// Returns the last value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.response.header(name).map(|values| values.last().as_str())
    }
}

impl StreamingResponse {
    /// Returns the status code.
    pub fn status(&self) -> u16 {
        self.response.status().into()
    }

    /// Reads the next bytes of the body, waiting at most `idle_timeout`. Returns no bytes at the
    /// end of a complete body, and `UnexpectedEof` if the body is truncated.
    pub async fn read_chunk(&mut self, idle_timeout: Duration) -> io::Result<Vec<u8>> {
        self.buffer.resize(READ_SIZE, 0);
        let reading = self.message.read_decoded(&mut self.response, &mut self.buffer);
        let count = time_limits::io_timeout(idle_timeout, reading).await?;
        if count == 0 && !self.message.is_complete() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(self.buffer[..count].to_vec())
    }

    /// Returns the connection to the pool if the body was read completely and no bytes follow it.
    pub fn release(self) {
        let is_clean = self.message.is_complete() && self.message.take_leftover().is_empty();
        if is_clean && self.reusable {
            self.pool.put(self.address, self.stream);
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    stream: TcpStream,
    idle_since: Instant,
}

/// Pool of idle connections by address.
#[derive(Debug, Clone)]
pub struct ConnectionPool {
    limits: Arc<ClientLimits>,
    idle_connections: Arc<Mutex<BTreeMap<SocketAddr, Vec<IdleConnection>>>>,
}

impl ConnectionPool {
    /// Makes an empty pool.
    pub fn new(limits: ClientLimits) -> Self {
        Self { limits: Arc::new(limits), idle_connections: Arc::default() }
    }

    /// Sends a request and reads the complete response, all within `timeout`.
    ///
    /// Fails with `FileTooLarge` if the body, with its framing, exceeds the limit of the request or
    /// [`ClientLimits::max_body`].
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: OutboundRequest,
        timeout: Duration,
    ) -> io::Result<CompleteResponse> {
        let exchange = async {
            let max_body = request.max_body.unwrap_or(u64::MAX).min(self.limits.max_body);
            let mut open_response = self.open_within(address, request, timeout, max_body).await?;
            let mut body = Vec::new();
            loop {
                let chunk = open_response.read_chunk(timeout).await?;
                if chunk.is_empty() {
                    break;
                }
                body.extend_from_slice(&chunk);
            }
            let status = open_response.status();
            let response = Response::new(open_response.response.status());
            let response = std::mem::replace(&mut open_response.response, response);
            open_response.release();
            Ok(CompleteResponse { status, response, body })
        };
        time_limits::io_timeout(timeout, exchange).await
    }

    /// Sends a request and waits at most `timeout` for the head of the response. Connecting has its
    /// own limit, [`ClientLimits::connect_timeout`]. The body has no limit, so the caller must not
    /// keep all of it.
    pub async fn open(
        &self,
        address: SocketAddr,
        request: OutboundRequest,
        timeout: Duration,
    ) -> Result<StreamingResponse, RequestError> {
        self.open_within(address, request, timeout, u64::MAX).await
    }

    async fn open_within(
        &self,
        address: SocketAddr,
        request: OutboundRequest,
        timeout: Duration,
        max_body: u64,
    ) -> Result<StreamingResponse, RequestError> {
        let connected = self.connect(address, request.new_connection).await;
        let stream = connected.map_err(RequestError::NotSent)?;
        // Boxed because the decoder's state is large and each wrapping future would copy it.
        let exchange = Box::pin(self.exchange(address, stream, request, max_body));
        time_limits::io_timeout(timeout, exchange).await.map_err(RequestError::MaybeSent)
    }

    /// Takes an idle connection or opens a new one.
    ///
    /// Idle connections that are too old, that the server has closed or that have unread bytes are
    /// dropped: a request on them could fail or get the wrong response. The age counts because a
    /// connection can be lost without notice while it is idle.
    pub async fn connect(
        &self,
        address: SocketAddr,
        new_connection: bool,
    ) -> io::Result<TcpStream> {
        while let Some(idle) = self.take(address).filter(|_| !new_connection) {
            if idle.idle_since.elapsed() < self.limits.idle_timeout
                && is_reusable(&idle.stream).await
            {
                return Ok(idle.stream);
            }
        }
        let stream =
            time_limits::io_timeout(self.limits.connect_timeout, TcpStream::connect(address))
                .await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    /// Drops all idle connections to an address.
    pub fn evict(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        stream: TcpStream,
        request: OutboundRequest,
        max_body: u64,
    ) -> io::Result<StreamingResponse> {
        let head_only = request.method == Method::Head;
        send_request(&stream, address, request).await?;
        let (mut bytes, end, info) = read_response_head(&stream, self.limits.max_head).await?;
        mask_non_ascii(&mut bytes[..end]);
        let has_no_body = head_only || is_status_without_body(&bytes);
        if info.length == BodyLength::Absent && !has_no_body {
            return Err(invalid("response has neither Content-Length nor chunked encoding"));
        }
        let length = if has_no_body { BodyLength::Absent } else { info.length };
        if matches!(length, BodyLength::Exact(count) if count > max_body) {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        let message = MessageStream::new(bytes, end, length, max_body, stream.clone());
        let response = Box::pin(client::decode(message.clone()))
            .await
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, format!("{error}")))?;
        Ok(StreamingResponse {
            response,
            message,
            stream,
            buffer: Vec::new(),
            reusable: !info.close,
            address,
            pool: self.clone(),
        })
    }

    fn take(&self, address: SocketAddr) -> Option<IdleConnection> {
        self.lock().get_mut(&address).and_then(Vec::pop)
    }

    /// Returns a connection that has no response outstanding.
    pub fn put(&self, address: SocketAddr, stream: TcpStream) {
        let mut idle_connections = self.lock();
        let connections = idle_connections.entry(address).or_default();
        if connections.len() < self.limits.max_idle {
            connections.push(IdleConnection { stream, idle_since: Instant::now() });
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle_connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether a connection is open and has no unread bytes.
async fn is_reusable(stream: &TcpStream) -> bool {
    let mut probe = [0; 1];
    let peeked = async { Some(stream.peek(&mut probe).await) };
    peeked.or(async { None }).await.is_none()
}

/// Replaces the bytes of a head that are not ASCII: the decoder panics on fields that have any.
fn mask_non_ascii(head: &mut [u8]) {
    for byte in head.iter_mut().filter(|byte| !byte.is_ascii()) {
        *byte = b'?';
    }
}

fn is_status_without_body(head: &[u8]) -> bool {
    let status = head.split(|byte| *byte == b' ').nth(1);
    let status = status.and_then(|word| std::str::from_utf8(word).ok());
    let status = status.and_then(|word| word.get(..3)).and_then(|word| word.parse().ok());
    status.is_some_and(|number: u16| STATUSES_WITHOUT_BODY.contains(&number))
}

fn invalid(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

async fn send_request(
    stream: &TcpStream,
    address: SocketAddr,
    request: OutboundRequest,
) -> io::Result<()> {
    let url = Url::parse(&format!("http://{address}{}", request.path))
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error))?;
    let mut http_request = Request::new(request.method, url);
    for (name, value) in &request.fields {
        http_request.append_header(name.as_str(), value.as_str());
    }
    http_request.set_body(request.body);
    if let Some((_, kind)) = request.fields.iter().find(|(name, _)| name == "content-type") {
        http_request.insert_header("content-type", kind.as_str());
    }
    let mut encoder = client::Encoder::new(http_request);
    let mut bytes = Vec::new();
    encoder.read_to_end(&mut bytes).await?;
    stream.clone().write_all(&bytes).await
}

async fn read_response_head(
    stream: &TcpStream,
    limit: usize,
) -> io::Result<(Vec<u8>, usize, HeadInfo)> {
    let mut reader = stream.clone();
    let mut bytes = Vec::new();
    let mut chunk = vec![0; HEAD_READ_SIZE];
    loop {
        if let Some(end) = scanners::find_head_end(&bytes) {
            let info =
                scanners::scan_head(&bytes[..end]).map_err(|code| invalid(code.row().text))?;
            return Ok((bytes, end, info));
        }
        if bytes.len() > limit {
            return Err(invalid("response head exceeds the size limit"));
        }
        match reader.read(&mut chunk).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => bytes.extend_from_slice(&chunk[..count]),
        }
    }
}
