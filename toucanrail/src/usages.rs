//! Reads usage out of model engines' answers: whole ones and server-sent events.

use serde::Deserialize;
use serde_json::Value;

use crate::ids::Tokens;

const EVENT_END: &[u8] = b"\n\n";
const DATA_FIELD: &str = "data: ";
const LAST_EVENT: &str = "[DONE]";

/// What an engine reports as used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct UsageReport {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: Tokens,
    /// Tokens generated.
    #[serde(default)]
    pub completion_tokens: Tokens,
}

impl UsageReport {
    /// Returns what the report costs.
    pub fn total(&self) -> Tokens {
        self.prompt_tokens + self.completion_tokens
    }
}

/// Reads the usage of a whole answer.
///
/// # Examples
/// ```
/// let body = br#"{"usage":{"prompt_tokens":2,"completion_tokens":3}}"#;
/// assert_eq!(toucanrail::usages::scan_usage(body).map(|usage| usage.total()), Some(5));
/// ```
pub fn scan_usage(body: &[u8]) -> Option<UsageReport> {
    let value: Value = serde_json::from_slice(body).ok()?;
    serde_json::from_value(value.get("usage")?.clone()).ok()
}

/// One server-sent event of an engine's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its bytes, the empty line included.
    pub bytes: Vec<u8>,
    /// What it means.
    pub meaning: EventMeaning,
}

/// What an event of a stream means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventMeaning {
    /// It carries a generated token.
    Token,
    /// It carries only the usage.
    Usage(UsageReport),
    /// It ends the stream.
    Last,
    /// Anything else.
    Other,
}

/// Cuts a stream into whole events; part of an event is kept back.
#[derive(Debug, Default)]
pub struct EventScanner {
    pending: Vec<u8>,
}

impl EventScanner {
    /// Makes a scanner at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes bytes as they come.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Returns the next whole event, if there is one.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::usages::{EventMeaning, EventScanner};
    /// let mut scanner = EventScanner::new();
    /// scanner.feed(b"data: [DONE]\n");
    /// assert!(scanner.next_event().is_none());
    /// scanner.feed(b"\n");
    /// assert_eq!(scanner.next_event().map(|event| event.meaning), Some(EventMeaning::Last));
    /// ```
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let found = self.pending.windows(EVENT_END.len()).position(|window| window == EVENT_END)?;
        let rest = self.pending.split_off(found + EVENT_END.len());
        let bytes = std::mem::replace(&mut self.pending, rest);
        let meaning = scan_event(&bytes);
        Some(StreamEvent { bytes, meaning })
    }

    /// Tells whether part of an event is left.
    pub fn is_partial(&self) -> bool {
        !self.pending.is_empty()
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

fn scan_event(bytes: &[u8]) -> EventMeaning {
    let text = std::str::from_utf8(bytes).unwrap_or_default();
    let data = text.lines().find_map(|line| line.strip_prefix(DATA_FIELD)).unwrap_or_default();
    if data == LAST_EVENT {
        return EventMeaning::Last;
    }
    let Ok(body) = serde_json::from_str::<EventBody>(data) else {
        return EventMeaning::Other;
    };
    if let (true, Some(usage)) = (body.choices.is_empty(), body.usage) {
        return EventMeaning::Usage(usage);
    }
    let carries = body.choices.iter().any(|choice| {
        let delta = choice.delta.as_ref().and_then(|delta| delta.content.as_ref());
        choice.text.as_ref().or(delta).is_some_and(|text| !text.is_empty())
    });
    if carries { EventMeaning::Token } else { EventMeaning::Other }
}
