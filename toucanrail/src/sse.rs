//! Incremental scanner for server-sent events (`text/event-stream`).

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
}

impl EventScanner {
    /// Creates a scanner positioned before the first event.
    pub fn new() -> Self {
        Self::default()
    }

    /// Scans `pending` and returns the total length in bytes of the complete events at its start.
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
        while let Some(length) = pending[start..].iter().position(|byte| *byte == b'\n') {
            let line = pending[start..start + length].trim_ascii_end();
            start += length + 1;
            if !line.is_empty() {
                id = parse_id(line).or(id);
                continue;
            }
            complete = start;
            self.count += 1;
            self.last_id = id.take().or(self.last_id);
        }
        complete
    }
}

fn parse_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
