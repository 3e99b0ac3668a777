//! Incremental scanner for server-sent events (`text/event-stream`).

use crate::framing::BodyEnd;

/// Finds the complete events of one stream.
///
/// A server may fail in the middle of an event. Only complete events may be forwarded to the
/// caller, so that another server can resume the stream after the last one.
#[derive(Debug, Default, Clone)]
pub struct EventScanner {
    /// Id of the last complete event that had a numeric id.
    pub last_id: Option<u64>,
    /// Number of complete events so far.
    pub count: u64,
    /// Id after which the newest response was asked to begin.
    resumed_after: Option<u64>,
    /// Whether the newest response has an event that the caller has got already.
    replays: bool,
}

impl EventScanner {
    /// Creates a scanner positioned before the first event.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a scanner of a stream of which the caller has the events up to `last_id`.
    pub fn after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Prepares for the response of another server, which is asked to begin after the last event.
    pub fn resume(&mut self) {
        // Callers state 0 if they have no event.
        self.resumed_after = self.last_id.filter(|id| *id > 0);
        self.replays = false;
    }

    /// Returns whether the newest response repeats an event from before it was resumed. Such events
    /// and those after them do not count as complete.
    ///
    /// # Examples
    /// ```
    /// let mut scanner = toucanrail::sse::EventScanner::new();
    /// scanner.scan(b"id: 4\ndata: a\n\n");
    /// scanner.resume();
    /// assert_eq!((scanner.scan(b"id: 4\ndata: a\n\n"), scanner.is_replay()), (0, true));
    /// ```
    pub fn is_replay(&self) -> bool {
        self.replays
    }

    /// Scans `pending` and returns the total length in bytes of the complete events at its start.
    /// Blocks of comments and empty lines are forwarded like events, but not counted.
    ///
    /// `pending` must hold all bytes received after the last complete event; the caller removes the
    /// complete events from it before the next call.
    ///
    /// # Examples
    /// ```
    /// let mut scanner = toucanrail::sse::EventScanner::new();
    /// assert_eq!(scanner.scan(b"id: 4\ndata: a\n\nid: 5\nda"), 15);
    /// assert_eq!((scanner.last_id, scanner.count), (Some(4), 1));
    /// ```
    pub fn scan(&mut self, pending: &[u8]) -> usize {
        let mut complete = 0;
        let mut start = 0;
        let mut id = None;
        let mut has_field = false;
        while let Some(length) = pending[start..].iter().position(|byte| *byte == b'\n') {
            let line = &pending[start..start + length];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            start += length + 1;
            if !line.is_empty() {
                has_field |= !line.starts_with(b":");
                id = parse_id(line).or(id);
                continue;
            }
            if id.is_some() && id <= self.resumed_after {
                self.replays = true;
                break;
            }
            complete = start;
            self.count += u64::from(has_field);
            self.last_id = id.take().or(self.last_id);
            has_field = false;
        }
        complete
    }
}

/// Returns whether an event may end in `pending` behind its first `scanned` bytes, in which none
/// ends.
///
/// An event that arrives in many parts is scanned once by it, instead of once for each part.
///
/// # Examples
/// ```
/// use toucanrail::sse;
/// assert!(sse::may_end_event(b"data: a\n\n", 8));
/// assert!(!sse::may_end_event(b"data: a\ndata", 8));
/// ```
pub fn may_end_event(pending: &[u8], scanned: usize) -> bool {
    // The empty line at the end of an event may follow a line break that was scanned.
    let new = &pending[scanned.saturating_sub(2)..];
    let begins_empty = scanned <= 1 && (pending.starts_with(b"\n") || pending.starts_with(b"\r\n"));
    begins_empty
        || new.windows(2).any(|window| window == b"\n\n")
        || new.windows(3).any(|window| window == b"\n\r\n")
}

/// Returns whether a stream is complete whose body ended like this, after `events` complete events
/// and `partial_bytes` of another one.
///
/// A body that ends with its connection looks the same if its server fails, so it must at least
/// contain an event.
///
/// # Examples
/// ```
/// use toucanrail::framing::BodyEnd;
/// use toucanrail::sse;
/// assert!(sse::is_stream_complete(BodyEnd::Closed, 2, 0));
/// assert!(!sse::is_stream_complete(BodyEnd::Closed, 2, 5));
/// assert!(!sse::is_stream_complete(BodyEnd::Closed, 0, 0));
/// ```
pub fn is_stream_complete(end: BodyEnd, events: u64, partial_bytes: usize) -> bool {
    match end {
        BodyEnd::Framed => partial_bytes == 0,
        BodyEnd::Closed => partial_bytes == 0 && events > 0,
        BodyEnd::Truncated => false,
    }
}

fn parse_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
