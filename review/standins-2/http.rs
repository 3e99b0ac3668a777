//! Blocking HTTP/1.1 messages on one connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A connection and the bytes read from it that no message has taken yet.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// The start line and the fields of a message.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub start: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Returns the first value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Returns the path and the query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or_default()
    }

    fn is_chunked(&self) -> bool {
        self.field("transfer-encoding").is_some_and(|text| text.eq_ignore_ascii_case("chunked"))
    }
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the connection ends before one.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(at) = self.buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer.drain(..at + 4);
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or_default().to_owned();
                let fields = lines.filter_map(|line| line.split_once(':'));
                let fields = fields.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
                return Ok(Some(Head { start, fields: fields.collect() }));
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() { Ok(None) } else { Err(broken("cut head")) };
            }
        }
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|part| part == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer.drain(..at + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(broken("cut line"));
            }
        }
    }

    fn read_exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(broken("cut body"));
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads the body behind a head, piece by piece. Fails if it is cut off.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            let length = head.field("content-length").and_then(|text| text.parse().ok());
            return self.read_exact(length.unwrap_or(0));
        }
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or_default(), 16);
            let size = size.map_err(|_| broken("chunk size"))?;
            if size == 0 {
                while !self.read_line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.read_exact(size)?);
            self.read_line()?;
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends a response with a JSON body.
    pub fn respond(&mut self, status: &str, body: &str) -> io::Result<()> {
        let length = body.len();
        let text = format!(
            "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        self.send(text.as_bytes())
    }
}
