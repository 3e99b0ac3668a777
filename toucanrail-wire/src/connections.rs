//! One TCP connection with its read buffer, for messages that are passed on as they come.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;

use smol::Async;
use toucanrail::scanners;

/// Bytes asked for in one read: a whole prompt of the usual size, or some hundred events.
const READ_SIZE: usize = 16 * 1024;

/// A connection and the bytes read from it that nobody has taken yet.
#[derive(Debug)]
pub struct BufferedConnection {
    socket: Arc<Async<TcpStream>>,
    /// Bytes read and not taken.
    pub buffer: Vec<u8>,
}

impl BufferedConnection {
    /// Wraps a connected socket.
    pub fn new(socket: Async<TcpStream>) -> io::Result<Self> {
        socket.get_ref().set_nodelay(true)?;
        Ok(Self { socket: Arc::new(socket), buffer: Vec::new() })
    }

    /// Opens a connection.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        Self::new(Async::<TcpStream>::connect(address).await?)
    }

    /// Returns the writing side.
    pub fn writer(&self) -> ConnectionWriter {
        ConnectionWriter { socket: Arc::clone(&self.socket) }
    }

    /// Reads more bytes into the buffer; 0 at the end of the connection.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let buffer = &mut self.buffer;
        let held = buffer.len();
        self.socket
            .read_with(|mut socket| {
                buffer.resize(held + READ_SIZE, 0);
                let read = socket.read(&mut buffer[held..]);
                buffer.truncate(held + read.as_ref().map_or(0, |count| *count));
                read
            })
            .await
    }

    /// Reads until the buffer holds a whole head, and takes it; none at a clean end between
    /// messages.
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
                let clean = self.buffer.is_empty();
                return if clean { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        }
    }

    /// Tells whether the connection is open and silent, as one must be that is used again.
    pub fn is_quiet(&self) -> bool {
        let mut probe = [0; 1];
        let peeked = self.socket.get_ref().peek(&mut probe);
        self.buffer.is_empty()
            && matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

/// The writing side of a connection.
#[derive(Debug, Clone)]
pub struct ConnectionWriter {
    socket: Arc<Async<TcpStream>>,
}

impl ConnectionWriter {
    /// Writes all bytes.
    pub async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let count = self.socket.write_with(|mut socket| socket.write(bytes)).await?;
            if count == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            bytes = &bytes[count..];
        }
        Ok(())
    }

    /// Ends the writing side: the peer reads all that was written, then the end.
    pub fn finish(&self) -> io::Result<()> {
        self.socket.get_ref().shutdown(Shutdown::Write)
    }
}
