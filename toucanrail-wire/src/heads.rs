//! Heads of HTTP/1.1 messages, kept as the received bytes.
//!
//! Requests that are forwarded directly to a backend server keep their method, target and fields
//! unchanged. `http-types` cannot do that: it normalizes targets and joins fields. `httparse`, on
//! which `async-h1` is built, splits a head into its parts, and [`toucanrail::scanners`] rejects
//! malformed heads that `httparse` accepts.

use std::ops::Range;

use quick_error::quick_error;
use toucanrail::codes::ResultCode;
use toucanrail::codetable;
use toucanrail::scanners::{self, BodyLength};

/// Maximum number of fields in a head.
const FIELD_LIMIT: usize = 96;

/// Fields that apply to one connection and are not forwarded.
const HOP_BY_HOP_FIELDS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

quick_error! {
    /// Error from parsing a head.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum HeadError {
        /// The head is malformed or ambiguous; the code names the reason.
        Malformed(code: ResultCode) {
            display("{}", code.row().text)
        }
    }
}

/// The fields of a head in the order received.
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

    /// Returns the names and values of all fields in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.rows.iter().map(|row| (self.text(&row.name), self.text(&row.value)))
    }

    /// Returns the first value of a field; names are compared without case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// Returns whether a field occurs more than once.
    pub fn is_repeated(&self, name: &str) -> bool {
        self.iter().filter(|(known, _)| known.eq_ignore_ascii_case(name)).count() > 1
    }

    /// Returns the fields that are forwarded to the next connection: neither hop-by-hop fields nor
    /// those that `Connection` names.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&str, &str)> {
        let is_connection = |name: &str| name.eq_ignore_ascii_case("connection");
        let stated = self.iter().filter(|(name, _)| is_connection(name));
        let options: Vec<&str> = stated.flat_map(|(_, value)| value.split(',')).collect();
        self.iter().filter(move |(name, _)| {
            let hop_by_hop = HOP_BY_HOP_FIELDS.iter().any(|hop| hop.eq_ignore_ascii_case(name));
            !hop_by_hop && !options.iter().any(|option| option.trim().eq_ignore_ascii_case(name))
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
    /// Parses a complete head, including the empty line at its end.
    ///
    /// # Examples
    /// ```
    /// use toucanrail_wire::heads::RequestHead;
    /// let head = RequestHead::parse(b"GET /a/../b?c HTTP/1.1\r\nHost: x\r\n\r\n")?;
    /// assert_eq!((head.target(), head.path()), ("/a/../b?c", "/a/../b"));
    /// # Ok::<(), toucanrail_wire::heads::HeadError>(())
    /// ```
    pub fn parse(bytes: &[u8]) -> Result<Self, HeadError> {
        let info = scanners::scan_head(bytes).map_err(HeadError::Malformed)?;
        if !info.has_host {
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
            length: info.length,
            close: info.close || minor == 0,
            fields: FieldList::new(bytes, request.headers),
        })
    }

    /// Returns the method.
    pub fn method(&self) -> &str {
        self.fields.text(&self.method)
    }

    /// Returns the path and query as received.
    pub fn target(&self) -> &str {
        self.fields.text(&self.target)
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        let target = self.target();
        target.split_once('?').map_or(target, |(path, _)| path)
    }

    /// Returns the value of the `Host` field; empty if there is none.
    pub fn host(&self) -> &str {
        self.fields.get("host").unwrap_or_default()
    }
}

/// The head of a response.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// Its fields.
    pub fields: FieldList,
    /// The status code.
    pub status: u16,
    reason: Range<usize>,
    /// How the body's length is stated.
    pub length: BodyLength,
    /// Whether the sender closes the connection after this message.
    pub close: bool,
}

impl ResponseHead {
    /// Parses a complete head, including the empty line at its end.
    ///
    /// # Examples
    /// ```
    /// let head = toucanrail_wire::heads::ResponseHead::parse(b"HTTP/1.1 204 None\r\n\r\n")?;
    /// assert_eq!((head.status, head.reason()), (204, "None"));
    /// # Ok::<(), toucanrail_wire::heads::HeadError>(())
    /// ```
    pub fn parse(bytes: &[u8]) -> Result<Self, HeadError> {
        let info = scanners::scan_head(bytes).map_err(HeadError::Malformed)?;
        let mut fields = [httparse::EMPTY_HEADER; FIELD_LIMIT];
        let mut response = httparse::Response::new(&mut fields);
        let malformed = HeadError::Malformed(codetable::BAD_REQUEST);
        response.parse(bytes).map_err(|_| malformed)?;
        let (Some(status), Some(minor)) = (response.code, response.version) else {
            return Err(malformed);
        };
        if !(100..600).contains(&status) {
            return Err(malformed);
        }
        let base = bytes.as_ptr().addr();
        let reason = response.reason.filter(|reason| !reason.is_empty()).map_or(0..0, |reason| {
            let start = reason.as_ptr().addr() - base;
            start..start + reason.len()
        });
        let has_no_body = status < 200 || status == 204 || status == 304;
        Ok(Self {
            status,
            reason,
            length: if has_no_body { BodyLength::Exact(0) } else { info.length },
            close: info.close || minor == 0,
            fields: FieldList::new(bytes, response.headers),
        })
    }

    /// Returns the reason phrase.
    pub fn reason(&self) -> &str {
        self.fields.text(&self.reason)
    }
}
