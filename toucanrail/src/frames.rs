//! Frames of an answer between agent and entry: a length of four bytes, then `rmp-serde`.

use crate::messages::RunFrame;

/// Bytes of a frame's length.
const LENGTH_BYTES: usize = 4;
/// Largest frame; a longer one is no frame of ours.
const FRAME_LIMIT: usize = 8 * 1024 * 1024;

/// Encodes a frame.
///
/// # Examples
/// ```
/// use toucanrail::{frames, messages::RunFrame};
/// let frame = RunFrame::Alive { request: "r".into() };
/// let mut scanner = frames::FrameDecoder::new();
/// scanner.feed(&frames::encode_frame(&frame));
/// assert_eq!(scanner.next_frame(), Ok(Some(frame)));
/// ```
pub fn encode_frame(frame: &RunFrame) -> Vec<u8> {
    // Encoding into memory fails for no type of a frame.
    let body = rmp_serde::to_vec_named(frame).unwrap_or_default();
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(&body);
    bytes
}

/// The bytes are no frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FrameError;

/// Cuts bytes into frames.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    pending: Vec<u8>,
}

impl FrameDecoder {
    /// Makes a scanner at the start of an answer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes bytes as they come.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Returns the next whole frame, or none yet.
    pub fn next_frame(&mut self) -> Result<Option<RunFrame>, FrameError> {
        let Some(length) = self.pending.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if length > FRAME_LIMIT {
            return Err(FrameError);
        }
        let end = LENGTH_BYTES + length;
        if self.pending.len() < end {
            return Ok(None);
        }
        let frame = rmp_serde::from_slice(&self.pending[LENGTH_BYTES..end]);
        self.pending.drain(..end);
        frame.map(Some).map_err(|_| FrameError)
    }
}
