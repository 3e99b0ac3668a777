//! A TCP connection with a read buffer, for messages that are forwarded as they arrive.

use std::cell::Cell;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;

use smol::Async;
use toucanrail::scanners;

/// Bytes requested per read: enough for a complete prompt of the usual size or a few hundred
/// events.
const READ_SIZE: usize = 16 * 1024;
/// Bytes after which a reader yields to the other tasks of its thread: a peer that sends faster than
/// its bytes are handled never makes it wait.
const YIELD_INTERVAL: usize = 8 * READ_SIZE;

thread_local! {
    /// Bytes that all connections of this thread have received and sent.
    static TRANSFERRED: Cell<(u64, u64)> = const { Cell::new((0, 0)) };
}

/// Returns the bytes that all connections of this thread have received and sent.
///
/// # Examples
/// ```
/// assert_eq!(toucanrail_wire::connections::transferred_bytes(), (0, 0));
/// ```
pub fn transferred_bytes() -> (u64, u64) {
    TRANSFERRED.get()
}

fn count_received(count: usize) {
    let (received, sent) = TRANSFERRED.get();
    TRANSFERRED.set((received + count as u64, sent));
}

fn count_sent(count: usize) {
    let (received, sent) = TRANSFERRED.get();
    TRANSFERRED.set((received, sent + count as u64));
}

/// A connection and the bytes read from it that have not been consumed yet.
#[derive(Debug)]
pub struct BufferedConnection {
    socket: Arc<Async<TcpStream>>,
    /// Bytes read but not consumed.
    pub buffer: Vec<u8>,
    /// Bytes read since the reader last yielded.
    read_unyielded: usize,
}

impl BufferedConnection {
    /// Wraps a connected socket and disables Nagle's algorithm on it.
    pub fn new(socket: Async<TcpStream>) -> io::Result<Self> {
        socket.get_ref().set_nodelay(true)?;
        Ok(Self { socket: Arc::new(socket), buffer: Vec::new(), read_unyielded: 0 })
    }

    /// Opens a connection.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        Self::new(Async::<TcpStream>::connect(address).await?)
    }

    /// Returns a handle for writing.
    pub fn writer(&self) -> ConnectionWriter {
        ConnectionWriter { socket: Arc::clone(&self.socket) }
    }

    /// Reads more bytes into the buffer and returns their number; 0 at the end of the connection.
    pub async fn fill(&mut self) -> io::Result<usize> {
        if self.read_unyielded >= YIELD_INTERVAL {
            self.read_unyielded = 0;
            smol::future::yield_now().await;
        }
        let buffer = &mut self.buffer;
        let count = self
            .socket
            .read_with(|mut socket| {
                // Not read into the buffer itself: an idle connection would keep `READ_SIZE` bytes.
                let mut chunk = [0; READ_SIZE];
                let count = socket.read(&mut chunk)?;
                buffer.extend_from_slice(&chunk[..count]);
                count_received(count);
                Ok(count)
            })
            .await?;
        self.read_unyielded += count;
        Ok(count)
    }

    /// Reads until the buffer holds a complete head, and removes it from the buffer. Returns none
    /// if the connection ends between messages, and `FileTooLarge` for a head of more than `limit`
    /// bytes.
    pub async fn read_head(&mut self, limit: usize) -> io::Result<Option<Vec<u8>>> {
        loop {
            if let Some(end) = scanners::find_head_end(&self.buffer) {
                if end > limit {
                    return Err(io::ErrorKind::FileTooLarge.into());
                }
                let rest = self.buffer.split_off(end);
                return Ok(Some(std::mem::replace(&mut self.buffer, rest)));
            }
            if self.buffer.len() > limit {
                return Err(io::ErrorKind::FileTooLarge.into());
            }
            if self.fill().await? == 0 {
                let between_messages = self.buffer.is_empty();
                return if between_messages {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    /// Returns whether the connection is open and has no unread bytes, so that it can be reused.
    pub fn is_reusable(&self) -> bool {
        let mut probe = [0; 1];
        let peeked = self.socket.get_ref().peek(&mut probe);
        self.buffer.is_empty()
            && matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

/// The write half of a connection.
#[derive(Debug, Clone)]
pub struct ConnectionWriter {
    socket: Arc<Async<TcpStream>>,
}

impl ConnectionWriter {
    /// Writes all bytes.
    pub async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let count = self.write_some(bytes).await?;
            bytes = &bytes[count..];
        }
        Ok(())
    }

    /// Writes as many bytes as the connection takes at once, and returns their number.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        let mut socket = self.socket.get_ref();
        match socket.write(bytes) {
            Ok(0) => Err(io::ErrorKind::WriteZero.into()),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(0),
            Err(error) => Err(error),
            Ok(count) => {
                count_sent(count);
                Ok(count)
            }
        }
    }

    /// Waits until the connection takes some of the bytes, and returns their number.
    pub async fn write_some(&self, bytes: &[u8]) -> io::Result<usize> {
        match self.socket.write_with(|mut socket| socket.write(bytes)).await? {
            0 => Err(io::ErrorKind::WriteZero.into()),
            count => {
                count_sent(count);
                Ok(count)
            }
        }
    }

    /// Shuts down the write half: the peer reads everything written so far, then the end.
    pub fn finish(&self) -> io::Result<()> {
        self.socket.get_ref().shutdown(Shutdown::Write)
    }
}
