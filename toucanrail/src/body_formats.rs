//! What the head of a response says about its body, and whether another response continues it.

use std::sync::Arc;

/// Coding of a body that is not encoded.
const IDENTITY_CODING: &str = "identity";

/// How the body of a response is to be read, according to its head.
///
/// A caller reads the whole body by the first head it gets. Another server's response continues that
/// body only if its head says the same, so formats are compared for equality.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BodyFormat {
    status: u16,
    /// Media type in lower case, without parameters.
    media_type: Option<Arc<str>>,
    /// Content coding in lower case; none if the body is not encoded.
    coding: Option<Arc<str>>,
}

impl BodyFormat {
    /// Returns the format of a response with this status and these values of `Content-Type` and
    /// `Content-Encoding`.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::body_formats::BodyFormat;
    /// let begun = BodyFormat::new(200, Some("text/event-stream; charset=utf-8"), None);
    /// assert_eq!(begun, BodyFormat::new(200, Some("Text/Event-Stream"), Some("identity")));
    /// assert_ne!(begun, BodyFormat::new(409, Some("text/event-stream"), None));
    /// ```
    pub fn new(status: u16, content_type: Option<&str>, content_coding: Option<&str>) -> Self {
        let media_type = content_type.map(|text| text.split(';').next().unwrap_or_default());
        let coding =
            content_coding.filter(|text| !text.trim().eq_ignore_ascii_case(IDENTITY_CODING));
        Self { status, media_type: media_type.map(normalize), coding: coding.map(normalize) }
    }
}

fn normalize(text: &str) -> Arc<str> {
    Arc::from(text.trim().to_ascii_lowercase())
}
