//! The data of a message's body, taken out of the bytes of a connection.

use crate::scanners::{BodyLength, ChunkScanner};

/// Follows one body as its bytes arrive.
#[derive(Debug, Clone)]
pub enum BodyDecoder {
    /// So many bytes are still to come.
    Exact(u64),
    /// Chunks.
    Chunked(ChunkScanner),
    /// An answer without a stated length: it ends with its connection.
    UntilClose,
}

impl BodyDecoder {
    /// Makes the framer of an answer's body.
    pub fn for_response(length: BodyLength) -> Self {
        match length {
            BodyLength::Exact(count) => Self::Exact(count),
            BodyLength::Chunked => Self::Chunked(ChunkScanner::new()),
            BodyLength::Absent => Self::UntilClose,
        }
    }

    /// Makes the framer of a request's body: without a stated length there is none.
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

    /// Takes bytes, adds the data in them to `data`, and returns how many belong to the body.
    pub fn feed(&mut self, bytes: &[u8], data: &mut Vec<u8>) -> usize {
        match self {
            Self::Exact(left) => {
                let taken = (*left).min(bytes.len() as u64) as usize;
                *left -= taken as u64;
                data.extend_from_slice(&bytes[..taken]);
                taken
            }
            Self::Chunked(scanner) => scanner.feed_into(bytes, data),
            Self::UntilClose => {
                data.extend_from_slice(bytes);
                bytes.len()
            }
        }
    }

    /// Tells whether the body is whole by its own framing.
    pub fn is_done(&self) -> bool {
        match self {
            Self::Exact(left) => *left == 0,
            Self::Chunked(scanner) => scanner.is_done(),
            Self::UntilClose => false,
        }
    }

    /// Tells whether the end of the connection ends the body.
    pub fn ends_with_connection(&self) -> bool {
        matches!(self, Self::UntilClose)
    }

    /// Tells whether the bytes cannot be a body.
    pub fn is_malformed(&self) -> bool {
        matches!(self, Self::Chunked(scanner) if scanner.is_malformed())
    }
}
