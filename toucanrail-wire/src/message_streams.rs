//! The stream handed to `async-h1`: a head already read, then exactly the body's bytes.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use smol::io::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;
use toucanrail::scanners::{BodyLength, ChunkScanner};

/// Gives `async-h1` the bytes of one message and nothing after it.
///
/// Guards against a cut message that passes as whole: `async-h1` reports a clean end when the
/// peer closes early, so this stream fails with `UnexpectedEof` unless the body has fully passed.
#[derive(Debug, Clone)]
pub struct MessageStream {
    state: Arc<Mutex<MessageState>>,
    stream: TcpStream,
}

#[derive(Debug)]
struct MessageState {
    prefix: Vec<u8>,
    at: usize,
    head: usize,
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
            Self::Exact(left) => *left == 0,
            Self::Chunked(scanner) => scanner.is_done(),
        }
    }

    fn pass(&mut self, bytes: &[u8]) -> usize {
        match self {
            Self::Exact(left) => {
                let taken = (*left).min(bytes.len() as u64);
                *left -= taken;
                taken as usize
            }
            Self::Chunked(scanner) => scanner.feed(bytes),
        }
    }

    fn next_read(&self, room: usize) -> usize {
        match self {
            Self::Exact(left) => (*left).min(room as u64) as usize,
            Self::Chunked(_) => room,
        }
    }
}

impl MessageStream {
    /// Makes a stream over a head of `head` bytes at the start of `prefix`, which may hold the
    /// first bytes of the body too.
    pub fn new(prefix: Vec<u8>, head: usize, length: BodyLength, stream: TcpStream) -> Self {
        let body = match length {
            BodyLength::Absent => BodyState::Exact(0),
            BodyLength::Exact(count) => BodyState::Exact(count),
            BodyLength::Chunked => BodyState::Chunked(ChunkScanner::new()),
        };
        let state = MessageState { prefix, at: 0, head, body };
        Self { state: Arc::new(Mutex::new(state)), stream }
    }

    /// Tells whether the whole body has passed.
    pub fn is_complete(&self) -> bool {
        self.lock().body.is_done()
    }

    /// Returns the bytes received behind the message.
    pub fn take_leftover(&self) -> Vec<u8> {
        let mut state = self.lock();
        let at = state.at;
        state.prefix.split_off(at)
    }

    fn lock(&self) -> MutexGuard<'_, MessageState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl MessageState {
    fn copy_prefix(&mut self, buffer: &mut [u8]) -> usize {
        let wanted = buffer.len().min(self.prefix.len() - self.at);
        let from = self.at;
        let taken = if from < self.head {
            wanted.min(self.head - from)
        } else {
            let Self { prefix, body, .. } = self;
            body.pass(&prefix[from..from + wanted])
        };
        buffer[..taken].copy_from_slice(&self.prefix[from..from + taken]);
        self.at += taken;
        taken
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
        if state.at < state.head || (state.at < state.prefix.len() && !state.body.is_done()) {
            return Poll::Ready(Ok(state.copy_prefix(buffer)));
        }
        if state.body.is_done() {
            return Poll::Ready(Ok(0));
        }
        let room = state.body.next_read(buffer.len());
        match Pin::new(stream).poll_read(context, &mut buffer[..room]) {
            Poll::Ready(Ok(0)) => Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
            Poll::Ready(Ok(count)) => {
                let taken = state.body.pass(&buffer[..count]);
                let head = state.head;
                state.prefix.truncate(head);
                state.at = head;
                state.prefix.extend_from_slice(&buffer[taken..count]);
                Poll::Ready(Ok(taken))
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
