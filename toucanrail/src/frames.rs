//! Framing of responses between an agent and an entry.
//!
//! Each frame is a four-byte big-endian length followed by a [`RunFrame`] encoded with `rmp-serde`.

use crate::messages::RunFrame;

/// Size of the length prefix, in bytes.
const LENGTH_BYTES: usize = 4;
/// Maximum length of an encoded frame, in bytes; a larger length is a protocol error.
const FRAME_LIMIT: usize = 8 * 1024 * 1024;

/// Encodes a frame with its length prefix.
///
/// # Examples
/// ```
/// use toucanrail::{frames, messages::RunFrame};
/// let frame = RunFrame::Alive { request: "r".into() };
/// let mut decoder = frames::FrameDecoder::new();
/// decoder.feed(&frames::encode_frame(&frame));
/// assert_eq!(decoder.next_frame(), Ok(Some(frame)));
/// ```
pub fn encode_frame(frame: &RunFrame) -> Vec<u8> {
    // Serializing a `RunFrame` into memory cannot fail.
    let body = rmp_serde::to_vec_named(frame).unwrap_or_default();
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(&body);
    bytes
}

/// The input is not a valid sequence of frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FrameError;

/// Incremental decoder that splits a byte stream into frames.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: Vec<u8>,
}

impl FrameDecoder {
    /// Creates a decoder for a new response.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends received bytes to the buffer.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next frame, or `None` if the buffer does not hold a complete one yet.
    ///
    /// # Errors
    /// [`FrameError`] if the length exceeds the limit of 8 MiB or the body cannot be decoded.
    pub fn next_frame(&mut self) -> Result<Option<RunFrame>, FrameError> {
        let Some(length) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if length > FRAME_LIMIT {
            return Err(FrameError);
        }
        let end = LENGTH_BYTES + length;
        if self.buffer.len() < end {
            return Ok(None);
        }
        let frame = rmp_serde::from_slice(&self.buffer[LENGTH_BYTES..end]);
        self.buffer.drain(..end);
        frame.map(Some).map_err(|_| FrameError)
    }
}
