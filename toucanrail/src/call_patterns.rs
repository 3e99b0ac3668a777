//! Patterns of calls that a service declares not repeatable: a method and the beginning of a path.

use percent_encoding::percent_decode_str;

/// Maximum number of times that a path is decoded. Proxies and servers may each do it once.
const MAX_DECODINGS: usize = 4;

/// A pattern, such as `POST /deposits`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallPattern<'text> {
    /// The method, compared without case.
    pub method: &'text str,
    /// The beginning of the path below the service's route.
    pub prefix: &'text str,
}

impl<'text> CallPattern<'text> {
    /// Parses a pattern: a method, one blank, and a path without blanks that begins with `/`.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::call_patterns::CallPattern;
    /// let pattern = CallPattern::parse("POST /deposits").expect("it is valid");
    /// assert!(pattern.matches("POST", "/deposits/7"));
    /// assert!(pattern.matches("POST", "/orders/../%64eposits"));
    /// assert!(CallPattern::parse("POST  /deposits").is_none());
    /// ```
    pub fn parse(text: &'text str) -> Option<Self> {
        let (method, prefix) = text.split_once(' ')?;
        let has_method = !method.is_empty() && method.bytes().all(|b| b.is_ascii_alphabetic());
        let has_path = prefix.starts_with('/') && !prefix.contains(char::is_whitespace);
        (has_method && has_path).then_some(Self { method, prefix })
    }

    /// Returns whether a server may take a call for one of this pattern: as the path is written, or
    /// with its segments decoded and joined.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let path = path.split('?').next().unwrap_or_default();
        let is_path = || {
            path.starts_with(self.prefix)
                || join_segments(path).starts_with(&join_segments(self.prefix))
        };
        self.method.eq_ignore_ascii_case(method) && is_path()
    }
}

/// Decodes a path and removes its empty and dot segments.
fn join_segments(path: &str) -> String {
    let mut segments = Vec::new();
    let decoded = decode_path(path);
    for segment in decoded.split(['/', '\\']) {
        match segment {
            "" | "." => {}
            ".." => {
                segments.pop();
            }
            _ => segments.push(segment),
        }
    }
    format!("/{}", segments.join("/"))
}

fn decode_path(path: &str) -> String {
    let mut decoded = path.to_owned();
    for _ in 0..MAX_DECODINGS {
        let next = percent_decode_str(&decoded).decode_utf8_lossy().into_owned();
        if next == decoded {
            break;
        }
        decoded = next;
    }
    decoded
}
