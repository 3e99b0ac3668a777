//! Heads of HTTP/1.1 messages, kept as the bytes that came.
//!
//! The direct way to a backend server passes method, target and fields on unchanged, which
//! `http-types` cannot: it rewrites targets and joins fields. `httparse`, which `async-h1` is
//! built on, finds the parts; [`toucanrail::scanners`] checks what it lets pass.

use std::ops::Range;

use quick_error::quick_error;
use toucanrail::codes::ResultCode;
use toucanrail::codetable;
use toucanrail::scanners::{self, BodyLength};

/// Most fields of a head.
const FIELD_LIMIT: usize = 96;

/// Fields that concern one connection only and are not passed on.
const HOP_FIELDS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

quick_error! {
    /// Why bytes are no head.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum HeadError {
        /// A request or answer that cannot be read.
        Malformed(code: ResultCode) {
            display("{}", code.row().text)
        }
    }
}

/// The fields of a head.
#[derive(Debug, Clone)]
pub struct FieldList {
    bytes: Vec<u8>,
    rows: Vec<FieldRange>,
}

#[derive(Debug, Clone)]
struct FieldRange {
    name: Range<usize>,
    value: Range<usize>,
}

impl FieldList {
    fn new(bytes: &[u8], fields: &[httparse::Header<'_>]) -> Self {
        let base = bytes.as_ptr().addr();
        let range = |part: &[u8]| {
            let start = part.as_ptr().addr() - base;
            start..start + part.len()
        };
        let rows = fields.iter().map(|field| FieldRange {
            name: range(field.name.as_bytes()),
            value: range(field.value),
        });
        Self { rows: rows.collect(), bytes: bytes.to_vec() }
    }

    fn text(&self, range: &Range<usize>) -> &str {
        std::str::from_utf8(&self.bytes[range.clone()]).unwrap_or_default()
    }

    /// Returns all fields in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.rows.iter().map(|row| (self.text(&row.name), self.text(&row.value)))
    }

    /// Returns the first value of a field.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// Returns the fields that are passed on to the next connection.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&str, &str)> {
        let named = self.get("connection").unwrap_or_default();
        self.iter().filter(move |(name, _)| {
            let hop = HOP_FIELDS.iter().any(|hop| hop.eq_ignore_ascii_case(name));
            let mut options = named.split(',').map(str::trim);
            !hop && !options.any(|option| option.eq_ignore_ascii_case(name))
        })
    }
}

/// The head of a request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// Its fields.
    pub fields: FieldList,
    method: Range<usize>,
    target: Range<usize>,
    /// How the body's length is stated.
    pub length: BodyLength,
    /// Whether the sender closes the connection after this message.
    pub close: bool,
}

impl RequestHead {
    /// Reads a whole head.
    ///
    /// # Examples
    /// ```
    /// use toucanrail_wire::heads::RequestHead;
    /// let head = RequestHead::parse(b"GET /a/../b?c HTTP/1.1\r\nHost: x\r\n\r\n")?;
    /// assert_eq!((head.target(), head.path()), ("/a/../b?c", "/a/../b"));
    /// # Ok::<(), toucanrail_wire::heads::HeadError>(())
    /// ```
    pub fn parse(bytes: &[u8]) -> Result<Self, HeadError> {
        let facts = scanners::scan_head(bytes).map_err(HeadError::Malformed)?;
        if !facts.has_host {
            return Err(HeadError::Malformed(codetable::MISSING_HOST));
        }
        let mut fields = [httparse::EMPTY_HEADER; FIELD_LIMIT];
        let mut request = httparse::Request::new(&mut fields);
        let malformed = HeadError::Malformed(codetable::BAD_REQUEST);
        request.parse(bytes).map_err(|_| malformed)?;
        let (Some(method), Some(target), Some(minor)) =
            (request.method, request.path, request.version)
        else {
            return Err(malformed);
        };
        let base = bytes.as_ptr().addr();
        let range = |part: &str| {
            let start = part.as_ptr().addr() - base;
            start..start + part.len()
        };
        Ok(Self {
            method: range(method),
            target: range(target),
            length: facts.length,
            close: facts.close || minor == 0,
            fields: FieldList::new(bytes, request.headers),
        })
    }

    /// Returns the method.
    pub fn method(&self) -> &str {
        self.fields.text(&self.method)
    }

    /// Returns path and query as they came.
    pub fn target(&self) -> &str {
        self.fields.text(&self.target)
    }

    /// Returns the path.
    pub fn path(&self) -> &str {
        let target = self.target();
        target.split_once('?').map_or(target, |(path, _)| path)
    }

    /// Returns the host.
    pub fn host(&self) -> &str {
        self.fields.get("host").unwrap_or_default()
    }
}

/// The head of an answer.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// Its fields.
    pub fields: FieldList,
    /// The status.
    pub status: u16,
    reason: Range<usize>,
    /// How the body's length is stated.
    pub length: BodyLength,
    /// Whether the sender closes the connection after this message.
    pub close: bool,
}

impl ResponseHead {
    /// Reads a whole head.
    ///
    /// # Examples
    /// ```
    /// let head = toucanrail_wire::heads::ResponseHead::parse(b"HTTP/1.1 204 None\r\n\r\n")?;
    /// assert_eq!((head.status, head.reason()), (204, "None"));
    /// # Ok::<(), toucanrail_wire::heads::HeadError>(())
    /// ```
    pub fn parse(bytes: &[u8]) -> Result<Self, HeadError> {
        let facts = scanners::scan_head(bytes).map_err(HeadError::Malformed)?;
        let mut fields = [httparse::EMPTY_HEADER; FIELD_LIMIT];
        let mut answer = httparse::Response::new(&mut fields);
        let malformed = HeadError::Malformed(codetable::BAD_REQUEST);
        answer.parse(bytes).map_err(|_| malformed)?;
        let (Some(status), Some(minor)) = (answer.code, answer.version) else {
            return Err(malformed);
        };
        let base = bytes.as_ptr().addr();
        let reason = answer.reason.filter(|reason| !reason.is_empty()).map_or(0..0, |reason| {
            let start = reason.as_ptr().addr() - base;
            start..start + reason.len()
        });
        let bodiless = status < 200 || status == 204 || status == 304;
        Ok(Self {
            status,
            reason,
            length: if bodiless { BodyLength::Exact(0) } else { facts.length },
            close: facts.close || minor == 0,
            fields: FieldList::new(bytes, answer.headers),
        })
    }

    /// Returns the reason phrase.
    pub fn reason(&self) -> &str {
        self.fields.text(&self.reason)
    }
}
