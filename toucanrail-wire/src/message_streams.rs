//! The stream passed to `async-h1`: a head that has already been read, followed by exactly the
//! bytes of the body.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;
use toucanrail::scanners::{BodyLength, ChunkScanner};

/// Bytes after which a reader yields to the other tasks of its thread. A peer that sends as fast as
/// its bytes are read would hold them up, and with them the timeout of the read itself.
const YIELD_INTERVAL: u64 = 128 * 1024;

/// Provides the bytes of one message and nothing after it.
///
/// `async-h1` reports a regular end when the peer closes the connection early. To make truncated
/// messages visible, this stream fails with `UnexpectedEof` unless the body is complete. It fails with
/// `FileTooLarge` once the body, with its framing, exceeds a limit.
#[derive(Debug, Clone)]
pub struct MessageStream {
    state: Arc<Mutex<MessageState>>,
    stream: TcpStream,
}

#[derive(Debug)]
struct MessageState {
    prefix: Vec<u8>,
    position: usize,
    head_length: usize,
    body: BodyState,
    /// Bytes of the body, with its framing, that may still be read.
    allowed: u64,
    /// Bytes read since the reader last yielded.
    read_unyielded: u64,
    /// Whether the last read waits for bytes of the connection.
    is_waiting: bool,
}

#[derive(Debug)]
enum BodyState {
    Exact(u64),
    Chunked(ChunkScanner),
}

impl BodyState {
    fn is_done(&self) -> bool {
        match self {
            Self::Exact(remaining) => *remaining == 0,
            Self::Chunked(scanner) => scanner.is_done(),
        }
    }

    fn consume(&mut self, bytes: &[u8]) -> usize {
        match self {
            Self::Exact(remaining) => {
                let consumed = (*remaining).min(bytes.len() as u64);
                *remaining -= consumed;
                consumed as usize
            }
            Self::Chunked(scanner) => scanner.feed(bytes),
        }
    }

    fn max_read(&self, limit: usize) -> usize {
        match self {
            Self::Exact(remaining) => (*remaining).min(limit as u64) as usize,
            Self::Chunked(_) => limit,
        }
    }
}

impl MessageStream {
    /// Makes a stream of a message whose first bytes, `prefix`, have been read from `stream`: a
    /// head of `head_length` bytes and possibly the start of the body. The body, with its framing, may
    /// have `max_body` bytes.
    pub fn new(
        prefix: Vec<u8>,
        head_length: usize,
        length: BodyLength,
        max_body: u64,
        stream: TcpStream,
    ) -> Self {
        let body = match length {
            BodyLength::Absent => BodyState::Exact(0),
            BodyLength::Exact(count) => BodyState::Exact(count),
            BodyLength::Chunked => BodyState::Chunked(ChunkScanner::new()),
        };
        let state = MessageState {
            prefix,
            position: 0,
            head_length,
            body,
            allowed: max_body,
            read_unyielded: 0,
            is_waiting: false,
        };
        Self { state: Arc::new(Mutex::new(state)), stream }
    }

    /// Returns whether the complete body has been read.
    pub fn is_complete(&self) -> bool {
        self.lock().body.is_done()
    }

    /// Reads bytes that a decoder of this message's body has decoded.
    ///
    /// The decoder of chunked bodies returns `Pending` within the last line without having asked for more
    /// bytes. Nothing would wake it, so it is polled again.
    pub async fn read_decoded<Reader>(
        &self,
        reader: &mut Reader,
        buffer: &mut [u8],
    ) -> io::Result<usize>
    where
        Reader: AsyncRead + Unpin,
    {
        smol::future::poll_fn(|context| {
            self.lock().is_waiting = false;
            let polled = Pin::new(&mut *reader).poll_read(context, buffer);
            if polled.is_pending() && !self.lock().is_waiting {
                context.waker().wake_by_ref();
            }
            polled
        })
        .await
    }

    /// Returns the bytes received after the message.
    pub fn take_leftover(&self) -> Vec<u8> {
        let mut state = self.lock();
        let position = state.position;
        state.prefix.split_off(position)
    }

    fn lock(&self) -> MutexGuard<'_, MessageState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl MessageState {
    fn copy_prefix(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let available = buffer.len().min(self.prefix.len() - self.position);
        let start = self.position;
        let consumed = if start < self.head_length {
            available.min(self.head_length - start)
        } else {
            let Self { prefix, body, .. } = self;
            let consumed = body.consume(&prefix[start..start + available]);
            self.count_body(consumed)?;
            consumed
        };
        buffer[..consumed].copy_from_slice(&self.prefix[start..start + consumed]);
        self.position += consumed;
        Ok(consumed)
    }

    /// Counts bytes of the body against the limit.
    fn count_body(&mut self, count: usize) -> io::Result<()> {
        let left = self.allowed.checked_sub(count as u64);
        self.allowed = left.ok_or(io::ErrorKind::FileTooLarge)?;
        Ok(())
    }

    /// Returns whether the reader must let other tasks run before it reads on.
    fn must_yield(&mut self) -> bool {
        let must_yield = self.read_unyielded >= YIELD_INTERVAL;
        if must_yield {
            self.read_unyielded = 0;
        }
        must_yield
    }
}

impl AsyncRead for MessageStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let Self { state, stream } = self.get_mut();
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.position < state.head_length
            || (state.position < state.prefix.len() && !state.body.is_done())
        {
            return Poll::Ready(state.copy_prefix(buffer));
        }
        if state.body.is_done() {
            return Poll::Ready(Ok(0));
        }
        if state.must_yield() {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let limit = state.body.max_read(buffer.len());
        match Pin::new(stream).poll_read(context, &mut buffer[..limit]) {
            Poll::Ready(Ok(0)) => Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
            Poll::Ready(Ok(count)) => {
                let consumed = state.body.consume(&buffer[..count]);
                state.read_unyielded += count as u64;
                state.count_body(consumed)?;
                let head_length = state.head_length;
                state.prefix.truncate(head_length);
                state.position = head_length;
                state.prefix.extend_from_slice(&buffer[consumed..count]);
                Poll::Ready(Ok(consumed))
            }
            other => {
                state.is_waiting = other.is_pending();
                other
            }
        }
    }
}

impl AsyncWrite for MessageStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_close(context)
    }
}
