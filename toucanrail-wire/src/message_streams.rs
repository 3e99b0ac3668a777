//! The stream passed to `async-h1`: a head that has already been read, followed by exactly the
//! bytes of the body.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;
use toucanrail::scanners::{BodyLength, ChunkScanner};

/// Provides the bytes of one message and nothing after it.
///
/// `async-h1` reports a regular end when the peer closes the connection early. To make truncated
/// messages visible, this stream fails with `UnexpectedEof` unless the body is complete.
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
    /// head of `head_length` bytes and possibly the start of the body.
    pub fn new(prefix: Vec<u8>, head_length: usize, length: BodyLength, stream: TcpStream) -> Self {
        let body = match length {
            BodyLength::Absent => BodyState::Exact(0),
            BodyLength::Exact(count) => BodyState::Exact(count),
            BodyLength::Chunked => BodyState::Chunked(ChunkScanner::new()),
        };
        let state = MessageState { prefix, position: 0, head_length, body };
        Self { state: Arc::new(Mutex::new(state)), stream }
    }

    /// Returns whether the complete body has been read.
    pub fn is_complete(&self) -> bool {
        self.lock().body.is_done()
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
    fn copy_prefix(&mut self, buffer: &mut [u8]) -> usize {
        let available = buffer.len().min(self.prefix.len() - self.position);
        let start = self.position;
        let consumed = if start < self.head_length {
            available.min(self.head_length - start)
        } else {
            let Self { prefix, body, .. } = self;
            body.consume(&prefix[start..start + available])
        };
        buffer[..consumed].copy_from_slice(&self.prefix[start..start + consumed]);
        self.position += consumed;
        consumed
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
            return Poll::Ready(Ok(state.copy_prefix(buffer)));
        }
        if state.body.is_done() {
            return Poll::Ready(Ok(0));
        }
        let limit = state.body.max_read(buffer.len());
        match Pin::new(stream).poll_read(context, &mut buffer[..limit]) {
            Poll::Ready(Ok(0)) => Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
            Poll::Ready(Ok(count)) => {
                let consumed = state.body.consume(&buffer[..count]);
                let head_length = state.head_length;
                state.prefix.truncate(head_length);
                state.position = head_length;
                state.prefix.extend_from_slice(&buffer[consumed..count]);
                Poll::Ready(Ok(consumed))
            }
            other => other,
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
