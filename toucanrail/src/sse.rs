//! Events of a stream (`text/event-stream`), found in the bytes as they arrive.

/// Follows the events of one stream.
///
/// Guards against a stream that is joined in the middle of an event: a server may break off there,
/// and only whole events may reach the caller if another server is to go on behind them.
#[derive(Debug, Default, Clone)]
pub struct EventScanner {
    /// Id of the last whole event that had one.
    pub last_id: Option<u64>,
    /// Whole events so far.
    pub count: u64,
}

impl EventScanner {
    /// Makes a scanner that stands before the first event.
    pub fn new() -> Self {
        Self::default()
    }

    /// Scans `pending`, which holds all bytes behind the last whole event taken, and returns the
    /// length of the whole events at its start; the caller takes these out.
    ///
    /// # Examples
    /// ```
    /// let mut scanner = toucanrail::sse::EventScanner::new();
    /// assert_eq!(scanner.scan(b"id: 4\ndata: a\n\nid: 5\nda"), 15);
    /// assert_eq!((scanner.last_id, scanner.count), (Some(4), 1));
    /// ```
    pub fn scan(&mut self, pending: &[u8]) -> usize {
        let mut whole = 0;
        let mut start = 0;
        let mut id = None;
        while let Some(feed) = pending[start..].iter().position(|byte| *byte == b'\n') {
            let line = pending[start..start + feed].trim_ascii_end();
            start += feed + 1;
            if !line.is_empty() {
                id = read_id(line).or(id);
                continue;
            }
            whole = start;
            self.count += 1;
            self.last_id = id.take().or(self.last_id);
        }
        whole
    }
}

fn read_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
