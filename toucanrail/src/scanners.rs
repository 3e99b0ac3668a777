//! Pure scanners over HTTP/1.1 bytes.
//!
//! `async-h1` decodes and encodes messages. These scanners only find where a message ends and
//! whether its length is stated once, which the library does not check (`docs/HTTP-EDGES.md`).

use crate::codes::ResultCode;
use crate::codetable;

const HEAD_END: &[u8] = b"\r\n\r\n";

/// How a message states the length of its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyLength {
    /// Neither `Content-Length` nor `Transfer-Encoding`.
    Absent,
    /// `Content-Length`, in bytes.
    Exact(u64),
    /// `Transfer-Encoding: chunked`.
    Chunked,
}

/// What the scanners found in a head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeadFacts {
    /// How the body's length is stated.
    pub length: BodyLength,
    /// Whether there is exactly one `Host` field.
    pub host: bool,
    /// Whether the sender wants the connection closed after this message.
    pub close: bool,
}

/// Returns the length of the head with its empty line, if `bytes` hold all of it.
///
/// # Examples
/// ```
/// assert_eq!(toucanrail::scanners::scan_head_end(b"GET / HTTP/1.1\r\n\r\nrest"), Some(18));
/// assert_eq!(toucanrail::scanners::scan_head_end(b"GET / HTTP/1.1\r\n"), None);
/// ```
pub fn scan_head_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END)
        .map(|at| at + HEAD_END.len())
}

/// Reads the facts of a whole head, request or answer.
///
/// # Errors
/// [`codetable::AMBIGUOUS_LENGTH`] where the length is stated twice or in two ways, and
/// [`codetable::BAD_REQUEST`] where a line is no field.
///
/// # Examples
/// ```
/// use toucanrail::scanners;
/// let facts = scanners::scan_head(b"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n")?;
/// assert_eq!(facts.length, scanners::BodyLength::Exact(4));
/// # Ok::<(), toucanrail::codes::ResultCode>(())
/// ```
pub fn scan_head(head: &[u8]) -> Result<HeadFacts, ResultCode> {
    let text = std::str::from_utf8(head).map_err(|_| codetable::BAD_REQUEST)?;
    let mut lines = text.split("\r\n");
    scan_first_line(lines.next().unwrap_or_default())?;
    let mut length = BodyLength::Absent;
    let mut hosts = 0;
    let mut close = false;
    for line in lines.take_while(|line| !line.is_empty()) {
        let (name, value) = scan_field(line)?;
        if name.eq_ignore_ascii_case("host") {
            hosts += 1;
        } else if name.eq_ignore_ascii_case("connection") {
            close |= value.eq_ignore_ascii_case("close");
        } else if let Some(stated) = scan_length(name, value)? {
            // RFC 9112, 6.3: a second statement is how one request is smuggled inside another.
            if length != BodyLength::Absent {
                return Err(codetable::AMBIGUOUS_LENGTH);
            }
            length = stated;
        }
    }
    Ok(HeadFacts { length, host: hosts == 1, close })
}

fn scan_first_line(line: &str) -> Result<(), ResultCode> {
    let versioned = line.split(' ').any(|word| word == "HTTP/1.1" || word == "HTTP/1.0");
    let spaced = line.split(' ').filter(|word| !word.is_empty()).count() >= 2;
    if versioned && spaced { Ok(()) } else { Err(codetable::BAD_REQUEST) }
}

fn scan_field(line: &str) -> Result<(&str, &str), ResultCode> {
    let (name, value) = line.split_once(':').ok_or(codetable::BAD_REQUEST)?;
    let plain = !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_graphic());
    if plain { Ok((name, value.trim())) } else { Err(codetable::BAD_REQUEST) }
}

fn scan_length(name: &str, value: &str) -> Result<Option<BodyLength>, ResultCode> {
    if name.eq_ignore_ascii_case("content-length") {
        let digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
        let count = value.parse().ok().filter(|_| digits);
        return count
            .map(|count| Some(BodyLength::Exact(count)))
            .ok_or(codetable::AMBIGUOUS_LENGTH);
    }
    if name.eq_ignore_ascii_case("transfer-encoding") {
        return if value.eq_ignore_ascii_case("chunked") {
            Ok(Some(BodyLength::Chunked))
        } else {
            Err(codetable::AMBIGUOUS_LENGTH)
        };
    }
    Ok(None)
}

/// Follows a chunked body as its bytes pass and finds where it ends.
///
/// The decoder of `async-h1` reads ahead and drops what follows the body, so only a scanner of
/// the raw bytes can tell that a connection holds bytes of another answer.
#[derive(Debug, Clone)]
pub struct ChunkScanner {
    state: ChunkState,
    size: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChunkState {
    Size,
    Extension,
    SizeEnd,
    Data,
    DataEnd,
    Trailer { line: u32 },
    TrailerEnd { line: u32 },
    Done,
}

impl ChunkScanner {
    /// Makes a scanner that stands before the first chunk.
    pub const fn new() -> Self {
        Self { state: ChunkState::Size, size: 0 }
    }

    /// Tells whether the last chunk has passed.
    pub fn is_done(&self) -> bool {
        self.state == ChunkState::Done
    }

    /// Takes the next bytes and returns how many of them belong to the body.
    ///
    /// # Examples
    /// ```
    /// let mut scanner = toucanrail::scanners::ChunkScanner::new();
    /// assert_eq!(scanner.feed(b"3\r\nabc\r\n0\r\n\r\nHTTP/1.1"), 13);
    /// assert!(scanner.is_done());
    /// ```
    pub fn feed(&mut self, bytes: &[u8]) -> usize {
        let mut at = 0;
        while at < bytes.len() && !self.is_done() {
            at += self.step(&bytes[at..]);
        }
        at
    }

    fn step(&mut self, bytes: &[u8]) -> usize {
        if self.state == ChunkState::Data {
            let taken = self.size.min(bytes.len() as u64);
            self.size -= taken;
            if self.size == 0 {
                self.state = ChunkState::DataEnd;
            }
            return taken as usize;
        }
        self.state = self.follow(bytes[0]);
        1
    }

    fn follow(&mut self, byte: u8) -> ChunkState {
        match (self.state, byte) {
            (ChunkState::Size | ChunkState::Extension, b'\r') => ChunkState::SizeEnd,
            (ChunkState::Size, b';') => ChunkState::Extension,
            (ChunkState::Size, byte) => {
                let digit = u64::from((byte as char).to_digit(16).unwrap_or(0));
                self.size = self.size.saturating_mul(16).saturating_add(digit);
                ChunkState::Size
            }
            (ChunkState::SizeEnd, _) if self.size == 0 => ChunkState::Trailer { line: 0 },
            (ChunkState::SizeEnd, _) => ChunkState::Data,
            (ChunkState::DataEnd, b'\n') => ChunkState::Size,
            (ChunkState::Trailer { line }, b'\r') => ChunkState::TrailerEnd { line },
            (ChunkState::Trailer { line }, _) => ChunkState::Trailer { line: line + 1 },
            (ChunkState::TrailerEnd { line: 0 }, _) => ChunkState::Done,
            (ChunkState::TrailerEnd { .. }, _) => ChunkState::Trailer { line: 0 },
            (state, _) => state,
        }
    }
}

impl Default for ChunkScanner {
    fn default() -> Self {
        Self::new()
    }
}
