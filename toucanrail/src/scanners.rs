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
pub struct HeadInfo {
    /// How the body's length is stated.
    pub length: BodyLength,
    /// Whether there is exactly one `Host` field.
    pub has_host: bool,
    /// Whether the sender wants the connection closed after this message.
    pub close: bool,
}

/// Returns the length of the head with its empty line, if `bytes` hold all of it.
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
pub fn scan_head(head: &[u8]) -> Result<HeadInfo, ResultCode> {
    let text = std::str::from_utf8(head).map_err(|_| codetable::BAD_REQUEST)?;
    if has_bare_line_end(head) {
        return Err(codetable::BAD_REQUEST);
    }
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
            let mut options = value.split(',').map(str::trim);
            close |= options.any(|option| option.eq_ignore_ascii_case("close"));
        } else if let Some(stated) = scan_length(name, value)? {
            // RFC 9112, 6.3: a second statement is how one request is smuggled inside another.
            if length != BodyLength::Absent {
                return Err(codetable::AMBIGUOUS_LENGTH);
            }
            length = stated;
        }
    }
    Ok(HeadInfo { length, has_host: hosts == 1, close })
}

/// Finds a carriage return or a line feed that stands alone: another reader may take it for the end
/// of a line and see fields that this one does not.
fn has_bare_line_end(head: &[u8]) -> bool {
    let mut before = None;
    for byte in head {
        if (before == Some(b'\r')) != (*byte == b'\n') {
            return true;
        }
        before = Some(*byte);
    }
    before == Some(b'\r')
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
    Broken,
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

    /// Tells whether the bytes are no chunked body.
    pub fn is_malformed(&self) -> bool {
        self.state == ChunkState::Broken
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
        self.follow_body(bytes, |_| ())
    }

    /// Takes the next bytes like [`ChunkScanner::feed`] and adds the data in them to `data`.
    ///
    /// # Examples
    /// ```
    /// let mut data = Vec::new();
    /// toucanrail::scanners::ChunkScanner::new().feed_into(b"3\r\nabc\r\n0\r\n\r\n", &mut data);
    /// assert_eq!(data, b"abc");
    /// ```
    pub fn feed_into(&mut self, bytes: &[u8], data: &mut Vec<u8>) -> usize {
        self.follow_body(bytes, |part| data.extend_from_slice(part))
    }

    fn follow_body<Sink>(&mut self, bytes: &[u8], mut sink: Sink) -> usize
    where
        Sink: FnMut(&[u8]),
    {
        let mut at = 0;
        while at < bytes.len() && !self.is_done() && !self.is_malformed() {
            if self.state == ChunkState::Data {
                let taken = self.pass_data(bytes.len() - at);
                sink(&bytes[at..at + taken]);
                at += taken;
            } else {
                self.state = self.follow(bytes[at]);
                at += 1;
            }
        }
        at
    }

    fn pass_data(&mut self, room: usize) -> usize {
        let taken = self.size.min(room as u64);
        self.size -= taken;
        if self.size == 0 {
            self.state = ChunkState::DataEnd;
        }
        taken as usize
    }

    fn follow(&mut self, byte: u8) -> ChunkState {
        match (self.state, byte) {
            (ChunkState::Size | ChunkState::Extension, b'\r') => ChunkState::SizeEnd,
            (ChunkState::Size, b';') => ChunkState::Extension,
            (ChunkState::Size, byte) => match (byte as char).to_digit(16) {
                Some(digit) => {
                    self.size = self.size.saturating_mul(16).saturating_add(u64::from(digit));
                    ChunkState::Size
                }
                None => ChunkState::Broken,
            },
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
