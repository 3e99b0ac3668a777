//! Parses token usage from the responses of model engines: JSON bodies and server-sent events.

#![deny(clippy::arithmetic_side_effects)]

use serde::Deserialize;
use serde_json::Value;

use crate::ids::Tokens;
use crate::token_counts;

const DATA_FIELD: &str = "data:";
/// Maximum size of an event that is kept until it is complete, in bytes; no engine sends larger
/// ones.
const MAX_EVENT_BYTES: usize = 1 << 20;
const DONE_DATA: &str = "[DONE]";

/// Token usage as reported by an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct UsageReport {
    /// Number of prompt tokens.
    #[serde(default)]
    pub prompt_tokens: Tokens,
    /// Number of generated tokens.
    #[serde(default)]
    pub completion_tokens: Tokens,
}

impl UsageReport {
    /// Returns the number of tokens to charge.
    pub fn total(&self) -> Tokens {
        token_counts::sum([self.prompt_tokens, self.completion_tokens])
    }
}

/// Parses the usage of a complete JSON response body.
///
/// # Examples
/// ```
/// let body = br#"{"usage":{"prompt_tokens":2,"completion_tokens":3}}"#;
/// assert_eq!(toucanrail::usages::parse_usage(body).map(|usage| usage.total()), Some(5));
/// ```
pub fn parse_usage(body: &[u8]) -> Option<UsageReport> {
    let value: Value = serde_json::from_slice(body).ok()?;
    serde_json::from_value(value.get("usage")?.clone()).ok()
}

/// One server-sent event of an engine's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// The raw bytes, including the terminating empty line.
    pub bytes: Vec<u8>,
    /// What the event carries.
    pub kind: EventKind,
}

/// What an event of a stream carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    /// A generated token.
    Token,
    /// Only the usage.
    Usage(UsageReport),
    /// The end-of-stream marker, `[DONE]`.
    Done,
    /// Anything else.
    Other,
}

/// Incremental parser that splits a stream into complete events and buffers a partial one.
#[derive(Debug, Default)]
pub struct EventParser {
    buffer: Vec<u8>,
    /// Length of the complete lines at the start of the buffer.
    scanned: usize,
    /// Whether the start of the event in the buffer has been returned already, as it was too large.
    is_split: bool,
}

impl EventParser {
    /// Creates a parser for a new stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends received bytes to the buffer.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, if there is one. An event that is too large to be kept is
    /// returned in pieces of the kind [`EventKind::Other`].
    ///
    /// # Examples
    /// ```
    /// use toucanrail::usages::{EventKind, EventParser};
    /// let mut parser = EventParser::new();
    /// parser.feed(b"data: [DONE]\n");
    /// assert!(parser.next_event().is_none());
    /// parser.feed(b"\n");
    /// assert_eq!(parser.next_event().map(|event| event.kind), Some(EventKind::Done));
    /// ```
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        if let Some(end) = self.find_event_end() {
            let bytes = self.take_bytes(end);
            let is_split = std::mem::take(&mut self.is_split);
            let kind = if is_split { EventKind::Other } else { parse_event(&bytes) };
            return Some(StreamEvent { bytes, kind });
        }
        (self.buffer.len() > MAX_EVENT_BYTES).then(|| {
            self.is_split = true;
            StreamEvent { bytes: self.take_bytes(self.buffer.len()), kind: EventKind::Other }
        })
    }

    /// Returns the length of the first event with the empty line behind it, if that has arrived.
    fn find_event_end(&mut self) -> Option<usize> {
        loop {
            let rest = self.buffer.get(self.scanned..)?;
            let length = rest.iter().position(|byte| *byte == b'\n')?;
            let is_empty = matches!(rest.get(..length), Some(b"" | b"\r"));
            self.scanned = self.scanned.saturating_add(length).saturating_add(1);
            if is_empty {
                return Some(self.scanned);
            }
        }
    }

    fn take_bytes(&mut self, length: usize) -> Vec<u8> {
        self.scanned = 0;
        let rest = self.buffer.split_off(length);
        std::mem::replace(&mut self.buffer, rest)
    }

    /// Returns whether the buffer holds part of an event.
    pub fn has_partial_event(&self) -> bool {
        self.is_split || !self.buffer.is_empty()
    }
}

#[derive(Debug, Deserialize)]
struct EventBody {
    #[serde(default)]
    choices: Vec<EventChoice>,
    #[serde(default)]
    usage: Option<UsageReport>,
}

#[derive(Debug, Deserialize)]
struct EventChoice {
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    delta: Option<EventDelta>,
}

#[derive(Debug, Deserialize)]
struct EventDelta {
    #[serde(default)]
    content: Option<String>,
}

fn parse_event(bytes: &[u8]) -> EventKind {
    let text = std::str::from_utf8(bytes).unwrap_or_default();
    let data = text.lines().find_map(|line| line.strip_prefix(DATA_FIELD)).unwrap_or_default();
    let data = data.strip_prefix(' ').unwrap_or(data);
    if data == DONE_DATA {
        return EventKind::Done;
    }
    let Ok(body) = serde_json::from_str::<EventBody>(data) else {
        return EventKind::Other;
    };
    if let (true, Some(usage)) = (body.choices.is_empty(), body.usage) {
        return EventKind::Usage(usage);
    }
    let has_token = body.choices.iter().any(|choice| {
        let delta = choice.delta.as_ref().and_then(|delta| delta.content.as_ref());
        choice.text.as_ref().or(delta).is_some_and(|text| !text.is_empty())
    });
    if has_token { EventKind::Token } else { EventKind::Other }
}
