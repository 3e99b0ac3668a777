//! Scanners for the framing of HTTP/1.1 messages.
//!
//! `async-h1` decodes and encodes messages. These scanners only find where a message ends and check
//! that its length is stated once, which the library does not do (`docs/HTTP-EDGES.md`).

use crate::codes::ResultCode;
use crate::codetable;

const HEAD_END: &[u8] = b"\r\n\r\n";
/// Maximum length in bytes of the extensions of one chunk, and of the trailers of a body.
const MAX_CHUNK_OVERHEAD: u32 = 8 * 1024;

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

impl BodyLength {
    /// Returns the name used in logs.
    ///
    /// # Examples
    /// ```
    /// assert_eq!(toucanrail::scanners::BodyLength::Exact(3).as_str(), "length");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Absent => "until-close",
            Self::Exact(_) => "length",
            Self::Chunked => "chunked",
        }
    }
}

/// Properties of a message head that determine its framing and validity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeadInfo {
    /// How the body length is stated.
    pub length: BodyLength,
    /// Whether there is exactly one `Host` field.
    pub has_host: bool,
    /// Whether the sender asks to close the connection after this message.
    pub close: bool,
}

/// Returns the length of the head in bytes, including the empty line, if `bytes` contains all of
/// it.
///
/// # Examples
/// ```
/// assert_eq!(toucanrail::scanners::find_head_end(b"GET / HTTP/1.1\r\n\r\nrest"), Some(18));
/// assert_eq!(toucanrail::scanners::find_head_end(b"GET / HTTP/1.1\r\n"), None);
/// ```
pub fn find_head_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END)
        .map(|at| at + HEAD_END.len())
}

/// Scans the complete head of a request or response.
///
/// # Errors
/// [`codetable::AMBIGUOUS_LENGTH`] if the length is invalid or stated more than once, and
/// [`codetable::BAD_REQUEST`] if the start line, a field or a line ending is malformed.
///
/// # Examples
/// ```
/// use toucanrail::scanners;
/// let info = scanners::scan_head(b"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n")?;
/// assert_eq!(info.length, scanners::BodyLength::Exact(4));
/// # Ok::<(), toucanrail::codes::ResultCode>(())
/// ```
pub fn scan_head(head: &[u8]) -> Result<HeadInfo, ResultCode> {
    let text = std::str::from_utf8(head).map_err(|_| codetable::BAD_REQUEST)?;
    if has_bare_cr_or_lf(head) {
        return Err(codetable::BAD_REQUEST);
    }
    let mut lines = text.split("\r\n");
    check_start_line(lines.next().unwrap_or_default())?;
    let mut length = BodyLength::Absent;
    let mut hosts = 0;
    let mut close = false;
    for line in lines.take_while(|line| !line.is_empty()) {
        let (name, value) = parse_field(line)?;
        if name.eq_ignore_ascii_case("host") {
            hosts += 1;
        } else if name.eq_ignore_ascii_case("connection") {
            let mut options = value.split(',').map(str::trim);
            close |= options.any(|option| option.eq_ignore_ascii_case("close"));
        } else if let Some(stated) = parse_length(name, value)? {
            // RFC 9112, section 6.3: stating the length twice permits request smuggling.
            if length != BodyLength::Absent {
                return Err(codetable::AMBIGUOUS_LENGTH);
            }
            length = stated;
        }
    }
    Ok(HeadInfo { length, has_host: hosts == 1, close })
}

/// Returns whether there is a carriage return or a line feed outside of a CRLF pair: another parser
/// may treat it as the end of a line and see fields that this one does not.
fn has_bare_cr_or_lf(head: &[u8]) -> bool {
    let mut previous = None;
    for byte in head {
        if (previous == Some(b'\r')) != (*byte == b'\n') {
            return true;
        }
        previous = Some(*byte);
    }
    previous == Some(b'\r')
}

fn check_start_line(line: &str) -> Result<(), ResultCode> {
    let has_version = line.split(' ').any(|part| part == "HTTP/1.1" || part == "HTTP/1.0");
    let has_parts = line.split(' ').filter(|part| !part.is_empty()).count() >= 2;
    if has_version && has_parts { Ok(()) } else { Err(codetable::BAD_REQUEST) }
}

fn parse_field(line: &str) -> Result<(&str, &str), ResultCode> {
    let (name, value) = line.split_once(':').ok_or(codetable::BAD_REQUEST)?;
    let valid = !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_graphic());
    if valid { Ok((name, value.trim())) } else { Err(codetable::BAD_REQUEST) }
}

/// Returns the body length that a field states, or `None` for any other field.
fn parse_length(name: &str, value: &str) -> Result<Option<BodyLength>, ResultCode> {
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

/// Incremental scanner for a body with chunked transfer coding, which finds the end of the body.
///
/// The decoder of `async-h1` reads ahead and discards what follows the body, so only a scanner of
/// the raw bytes can detect that a connection holds bytes of another response.
#[derive(Debug, Clone)]
pub struct ChunkScanner {
    state: ChunkState,
    size: u64,
    /// Bytes of the current chunk's size line, or of the trailers.
    overhead: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChunkState {
    /// Before the first digit of a size.
    SizeStart,
    Size,
    Extension,
    SizeEnd,
    Data,
    DataEnd,
    DataLineFeed,
    TrailerStart,
    Trailer,
    TrailerLineFeed,
    LastLineFeed,
    Done,
    Malformed,
}

impl ChunkScanner {
    /// Creates a scanner positioned before the first chunk.
    pub const fn new() -> Self {
        Self { state: ChunkState::SizeStart, size: 0, overhead: 0 }
    }

    /// Returns whether the last chunk and the trailers have been scanned.
    pub fn is_done(&self) -> bool {
        self.state == ChunkState::Done
    }

    /// Returns whether the bytes so far are not a valid chunked body.
    pub fn is_malformed(&self) -> bool {
        self.state == ChunkState::Malformed
    }

    /// Scans the next bytes and returns how many of them belong to the body.
    ///
    /// # Examples
    /// ```
    /// let mut scanner = toucanrail::scanners::ChunkScanner::new();
    /// assert_eq!(scanner.feed(b"3\r\nabc\r\n0\r\n\r\nHTTP/1.1"), 13);
    /// assert!(scanner.is_done());
    /// ```
    pub fn feed(&mut self, bytes: &[u8]) -> usize {
        self.scan_body(bytes, |_| ())
    }

    /// Scans the next bytes like [`ChunkScanner::feed`] and appends the chunk data to `data`.
    ///
    /// # Examples
    /// ```
    /// let mut data = Vec::new();
    /// toucanrail::scanners::ChunkScanner::new().feed_into(b"3\r\nabc\r\n0\r\n\r\n", &mut data);
    /// assert_eq!(data, b"abc");
    /// ```
    pub fn feed_into(&mut self, bytes: &[u8], data: &mut Vec<u8>) -> usize {
        self.scan_body(bytes, |part| data.extend_from_slice(part))
    }

    fn scan_body<Sink>(&mut self, bytes: &[u8], mut sink: Sink) -> usize
    where
        Sink: FnMut(&[u8]),
    {
        let mut position = 0;
        while position < bytes.len() && !self.is_done() && !self.is_malformed() {
            if self.state == ChunkState::Data {
                let consumed = self.consume_data(bytes.len() - position);
                sink(&bytes[position..position + consumed]);
                position += consumed;
            } else {
                self.state = self.next_state(bytes[position]);
                position += 1;
            }
        }
        position
    }

    /// Consumes up to `available` bytes of chunk data and returns how many.
    fn consume_data(&mut self, available: usize) -> usize {
        let consumed = self.size.min(available as u64);
        self.size -= consumed;
        if self.size == 0 {
            self.state = ChunkState::DataEnd;
            self.overhead = 0;
        }
        consumed as usize
    }

    /// Returns the state after a byte that is not chunk data.
    fn next_state(&mut self, byte: u8) -> ChunkState {
        self.overhead = self.overhead.saturating_add(1);
        if self.overhead > MAX_CHUNK_OVERHEAD {
            return ChunkState::Malformed;
        }
        match (self.state, byte) {
            (ChunkState::SizeStart | ChunkState::Size, byte) if byte.is_ascii_hexdigit() => {
                self.add_digit(byte)
            }
            (ChunkState::Size, b';') => ChunkState::Extension,
            (ChunkState::Size | ChunkState::Extension, b'\r') => ChunkState::SizeEnd,
            (ChunkState::SizeEnd, b'\n') if self.size == 0 => ChunkState::TrailerStart,
            (ChunkState::SizeEnd, b'\n') => ChunkState::Data,
            (ChunkState::DataEnd, b'\r') => ChunkState::DataLineFeed,
            (ChunkState::DataLineFeed, b'\n') => ChunkState::SizeStart,
            (ChunkState::TrailerStart, b'\r') => ChunkState::LastLineFeed,
            (ChunkState::Trailer, b'\r') => ChunkState::TrailerLineFeed,
            (ChunkState::TrailerLineFeed, b'\n') => ChunkState::TrailerStart,
            (ChunkState::LastLineFeed, b'\n') => ChunkState::Done,
            (ChunkState::Extension, byte) if byte != b'\n' => ChunkState::Extension,
            (ChunkState::TrailerStart | ChunkState::Trailer, byte) if byte != b'\n' => {
                ChunkState::Trailer
            }
            _ => ChunkState::Malformed,
        }
    }

    fn add_digit(&mut self, digit: u8) -> ChunkState {
        let value = (digit as char).to_digit(16).map(u64::from);
        let size = self.size.checked_mul(16).and_then(|size| size.checked_add(value?));
        self.size = size.unwrap_or_default();
        if size.is_some() { ChunkState::Size } else { ChunkState::Malformed }
    }
}

impl Default for ChunkScanner {
    fn default() -> Self {
        Self::new()
    }
}
