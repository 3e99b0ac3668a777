//! The calling side: one exchange at a time on a connection, and a pool that trusts none blindly.

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
const NO_BODY_STATUSES: [u16; 2] = [204, 304];

/// Bounds of calls through one pool.
#[derive(Debug, Clone)]
pub struct ClientLimits {
    /// Largest head of an answer, in bytes.
    pub max_head: usize,
    /// Longest wait for a connection.
    pub connect_timeout: Duration,
    /// Oldest idle connection that is used again.
    pub idle_timeout: Duration,
    /// Most idle connections kept an address.
    pub max_idle: usize,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            max_head: 16 * 1024,
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(30),
            max_idle: 64,
        }
    }
}

quick_error! {
    /// Why a call has no answer.
    #[derive(Debug)]
    pub enum RequestError {
        /// No connection: nothing was sent, so the call provably did not arrive.
        NotSent(error: io::Error) {
            display("not sent: {error}")
        }
        /// The connection failed after the call, or part of it, was sent.
        MaybeSent(error: io::Error) {
            display("sent, then: {error}")
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

/// One call to make.
#[derive(Debug, Clone)]
pub struct OutboundRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Fields, by name.
    pub fields: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
    /// Whether to open a connection for this call alone.
    pub new_connection: bool,
}

impl OutboundRequest {
    /// Makes a call without a body.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            fields: Vec::new(),
            body: Vec::new(),
            new_connection: false,
        }
    }

    /// Makes a `GET`.
    pub fn get(path: impl Into<String>) -> Self {
        Self::new(Method::Get, path)
    }

    /// Makes a `POST` with a body.
    pub fn post(path: impl Into<String>, body: Vec<u8>) -> Self {
        let mut call = Self::new(Method::Post, path);
        call.body = body;
        call
    }

    /// Adds a field.
    #[must_use]
    pub fn field(mut self, name: &str, value: impl Into<String>) -> Self {
        self.fields.push((name.to_owned(), value.into()));
        self
    }

    /// Asks for a connection of its own.
    #[must_use]
    pub fn on_new_connection(mut self) -> Self {
        self.new_connection = true;
        self
    }
}

/// An answer whose body is read as it comes.
///
/// Its connection goes back to the pool only after [`StreamingResponse::release`]; dropped before,
/// it is closed, so that late bytes of a cancelled exchange can reach nobody.
#[derive(Debug)]
pub struct StreamingResponse {
    /// Status and fields.
    pub response: Response,
    replay: Option<MessageStream>,
    stream: TcpStream,
    buffer: Vec<u8>,
    reusable: bool,
    address: SocketAddr,
    pool: ConnectionPool,
}

/// An answer read to its end.
#[derive(Debug)]
pub struct CompleteResponse {
    /// The status number.
    pub status: u16,
    /// Status and fields, the body taken out.
    pub response: Response,
    /// The whole body.
    pub body: Vec<u8>,
}

impl CompleteResponse {
    /// Returns a field's last value.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.response.header(name).map(|values| values.last().as_str())
    }
}

impl StreamingResponse {
    /// Returns the status number.
    pub fn status(&self) -> u16 {
        self.response.status().into()
    }

    /// Reads the next bytes of the body; empty at its proved end.
    pub async fn read_chunk(&mut self, idle: Duration) -> io::Result<Vec<u8>> {
        self.buffer.resize(READ_SIZE, 0);
        let count = time_limits::io_timeout(idle, self.response.read(&mut self.buffer)).await?;
        if count == 0 && !self.replay.as_ref().is_none_or(MessageStream::is_complete) {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(self.buffer[..count].to_vec())
    }

    /// Gives the connection back to the pool if the answer was read to its end.
    pub fn release(self) {
        let whole = self
            .replay
            .as_ref()
            .is_none_or(|replay| replay.is_complete() && replay.take_leftover().is_empty());
        if whole && self.reusable {
            self.pool.put(self.address, self.stream);
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    stream: TcpStream,
    since: Instant,
}

/// Idle connections by address.
#[derive(Debug, Clone)]
pub struct ConnectionPool {
    limits: Arc<ClientLimits>,
    idle: Arc<Mutex<BTreeMap<SocketAddr, Vec<IdleConnection>>>>,
}

impl ConnectionPool {
    /// Makes an empty pool.
    pub fn new(limits: ClientLimits) -> Self {
        Self { limits: Arc::new(limits), idle: Arc::default() }
    }

    /// Makes a call and reads its answer whole, all within `bound`.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        call: OutboundRequest,
        bound: Duration,
    ) -> io::Result<CompleteResponse> {
        let fetching = async {
            let mut answer = self.open(address, call, bound).await?;
            let mut body = Vec::new();
            loop {
                let chunk = answer.read_chunk(bound).await?;
                if chunk.is_empty() {
                    break;
                }
                body.extend_from_slice(&chunk);
            }
            let status = answer.status();
            let response = Response::new(answer.response.status());
            let response = std::mem::replace(&mut answer.response, response);
            answer.release();
            Ok(CompleteResponse { status, response, body })
        };
        time_limits::io_timeout(bound, fetching).await
    }

    /// Makes a call and waits at most `bound` for the head of its answer.
    pub async fn open(
        &self,
        address: SocketAddr,
        call: OutboundRequest,
        bound: Duration,
    ) -> Result<StreamingResponse, RequestError> {
        let connected = self.connect(address, call.new_connection).await;
        let stream = connected.map_err(RequestError::NotSent)?;
        // Boxed, since the decoder's state is large and every wrapper would move it.
        let exchange = Box::pin(self.exchange(address, stream, call));
        time_limits::io_timeout(bound, exchange).await.map_err(RequestError::MaybeSent)
    }

    /// Takes a checked idle connection or opens one.
    ///
    /// Guards against a connection that died or turned silent while idle: one that is too old, has
    /// ended, or holds bytes nobody asked for is dropped.
    pub async fn connect(
        &self,
        address: SocketAddr,
        new_connection: bool,
    ) -> io::Result<TcpStream> {
        while let Some(kept) = self.take(address).filter(|_| !new_connection) {
            if kept.since.elapsed() < self.limits.idle_timeout && is_quiet(&kept.stream).await {
                return Ok(kept.stream);
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
        call: OutboundRequest,
    ) -> io::Result<StreamingResponse> {
        let head_only = call.method == Method::Head;
        send_call(&stream, address, call).await?;
        let (bytes, end, facts) = read_answer_head(&stream, self.limits.max_head).await?;
        let bodiless = head_only || is_bodiless(&bytes);
        if facts.length == BodyLength::Absent && !bodiless {
            return Err(invalid("an answer with neither length nor chunks"));
        }
        let length = if bodiless { BodyLength::Absent } else { facts.length };
        let replay = MessageStream::new(bytes, end, length, stream.clone());
        let response = Box::pin(client::decode(replay.clone()))
            .await
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, format!("{error}")))?;
        Ok(StreamingResponse {
            response,
            replay: Some(replay).filter(|_| !bodiless),
            stream,
            buffer: Vec::new(),
            reusable: !facts.close,
            address,
            pool: self.clone(),
        })
    }

    fn take(&self, address: SocketAddr) -> Option<IdleConnection> {
        self.lock().get_mut(&address).and_then(Vec::pop)
    }

    /// Puts a connection that nothing is due on back.
    pub fn put(&self, address: SocketAddr, stream: TcpStream) {
        let mut idle = self.lock();
        let kept = idle.entry(address).or_default();
        if kept.len() < self.limits.max_idle {
            kept.push(IdleConnection { stream, since: Instant::now() });
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tells whether a connection is open and holds no unread bytes.
async fn is_quiet(stream: &TcpStream) -> bool {
    let mut probe = [0; 1];
    let peeked = async { Some(stream.peek(&mut probe).await) };
    peeked.or(async { None }).await.is_none()
}

fn is_bodiless(head: &[u8]) -> bool {
    let status = head.split(|byte| *byte == b' ').nth(1);
    let status = status.and_then(|word| std::str::from_utf8(word).ok());
    let status = status.and_then(|word| word.get(..3)).and_then(|word| word.parse().ok());
    status.is_some_and(|number: u16| NO_BODY_STATUSES.contains(&number))
}

fn invalid(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

async fn send_call(
    stream: &TcpStream,
    address: SocketAddr,
    call: OutboundRequest,
) -> io::Result<()> {
    let url = Url::parse(&format!("http://{address}{}", call.path))
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error))?;
    let mut request = Request::new(call.method, url);
    for (name, value) in &call.fields {
        request.insert_header(name.as_str(), value.as_str());
    }
    request.set_body(call.body);
    if let Some((_, kind)) = call.fields.iter().find(|(name, _)| name == "content-type") {
        request.insert_header("content-type", kind.as_str());
    }
    let mut encoder = client::Encoder::new(request);
    let mut bytes = Vec::new();
    encoder.read_to_end(&mut bytes).await?;
    stream.clone().write_all(&bytes).await
}

async fn read_answer_head(
    stream: &TcpStream,
    limit: usize,
) -> io::Result<(Vec<u8>, usize, HeadInfo)> {
    let mut reader = stream.clone();
    let mut bytes = Vec::new();
    let mut chunk = vec![0; HEAD_READ_SIZE];
    loop {
        if let Some(end) = scanners::find_head_end(&bytes) {
            let facts =
                scanners::scan_head(&bytes[..end]).map_err(|code| invalid(code.row().text))?;
            return Ok((bytes, end, facts));
        }
        if bytes.len() > limit {
            return Err(invalid("an answer's head over the limit"));
        }
        match reader.read(&mut chunk).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => bytes.extend_from_slice(&chunk[..count]),
        }
    }
}
