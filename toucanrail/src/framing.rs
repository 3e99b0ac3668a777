//! Incremental decoding of HTTP/1.1 message bodies from the bytes of a connection.

use crate::scanners::{BodyLength, ChunkScanner};

/// Decoder of one message body, by its framing.
#[derive(Debug, Clone)]
pub enum BodyDecoder {
    /// Body with a stated length; holds the number of remaining bytes.
    Exact(u64),
    /// Body with chunked transfer coding.
    Chunked(ChunkScanner),
    /// Response body without a stated length, which ends when the connection closes.
    UntilClose,
}

/// How a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The peer closed it.
    Closed,
    /// It was reset, or reading from it failed.
    Reset,
}

/// How a body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// Where its framing states the end.
    Framed,
    /// With its connection, which was closed. The framing cannot tell whether the sender had sent
    /// all of it.
    Closed,
    /// Before the end that its framing states, or with a connection that was reset.
    Truncated,
}

impl BodyDecoder {
    /// Creates the decoder of a response body.
    pub fn for_response(length: BodyLength) -> Self {
        match length {
            BodyLength::Exact(count) => Self::Exact(count),
            BodyLength::Chunked => Self::Chunked(ChunkScanner::new()),
            BodyLength::Absent => Self::UntilClose,
        }
    }

    /// Creates the decoder of a request body; without a stated length the body is empty.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::{framing::BodyDecoder, scanners::BodyLength};
    /// assert!(BodyDecoder::for_request(BodyLength::Absent).is_done());
    /// ```
    pub fn for_request(length: BodyLength) -> Self {
        match length {
            BodyLength::Absent => Self::Exact(0),
            stated => Self::for_response(stated),
        }
    }

    /// Decodes bytes, appends the body data to `data` and returns how many bytes belong to the
    /// body.
    pub fn feed(&mut self, bytes: &[u8], data: &mut Vec<u8>) -> usize {
        match self {
            Self::Exact(remaining) => {
                let consumed = (*remaining).min(bytes.len() as u64) as usize;
                *remaining -= consumed as u64;
                data.extend_from_slice(&bytes[..consumed]);
                consumed
            }
            Self::Chunked(scanner) => scanner.feed_into(bytes, data),
            Self::UntilClose => {
                data.extend_from_slice(bytes);
                bytes.len()
            }
        }
    }

    /// Returns whether the body is complete according to its framing.
    pub fn is_done(&self) -> bool {
        match self {
            Self::Exact(remaining) => *remaining == 0,
            Self::Chunked(scanner) => scanner.is_done(),
            Self::UntilClose => false,
        }
    }

    /// Returns how the body ended if its connection ends here.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::framing::{BodyDecoder, BodyEnd, ConnectionEnd};
    /// let decoder = BodyDecoder::UntilClose;
    /// assert_eq!(decoder.end_with(ConnectionEnd::Closed), BodyEnd::Closed);
    /// assert_eq!(decoder.end_with(ConnectionEnd::Reset), BodyEnd::Truncated);
    /// ```
    pub fn end_with(&self, end: ConnectionEnd) -> BodyEnd {
        match (self, end) {
            (Self::UntilClose, ConnectionEnd::Closed) => BodyEnd::Closed,
            _ if self.is_done() => BodyEnd::Framed,
            _ => BodyEnd::Truncated,
        }
    }

    /// Returns whether the bytes so far violate the framing.
    pub fn is_malformed(&self) -> bool {
        matches!(self, Self::Chunked(scanner) if scanner.is_malformed())
    }
}
