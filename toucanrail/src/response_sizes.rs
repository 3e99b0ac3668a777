//! Smoothed sizes of the responses of routes, from which the bytes that a request will move are
//! estimated.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Weight of a new response in the smoothed size of a route's responses.
const RESPONSE_WEIGHT: f64 = 0.05;
/// Maximum number of routes whose responses are remembered; names of removed routes stay.
const MAX_ROUTES: usize = 4_096;

/// Smoothed sizes of the responses of each route, in bytes.
#[derive(Debug, Clone, Default)]
pub struct ResponseSizes {
    rows: BTreeMap<Arc<str>, f64>,
}

impl ResponseSizes {
    /// Records the size of a route's response in bytes.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::response_sizes::ResponseSizes;
    /// let mut sizes = ResponseSizes::default();
    /// sizes.record_response(&"chat".into(), 1_000);
    /// sizes.record_response(&"chat".into(), 3_000);
    /// assert!((sizes.expected("chat").unwrap() - 1_100.0).abs() < 1.0);
    /// ```
    pub fn record_response(&mut self, route: &Arc<str>, bytes: u64) {
        let bytes = bytes as f64;
        if let Some(size) = self.rows.get_mut(route) {
            *size += (bytes - *size) * RESPONSE_WEIGHT;
        } else if self.rows.len() < MAX_ROUTES {
            self.rows.insert(Arc::clone(route), bytes);
        }
    }

    /// Returns the expected size of a route's response in bytes; `None` before its first response.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::response_sizes::ResponseSizes;
    /// assert_eq!(ResponseSizes::default().expected("chat"), None);
    /// ```
    pub fn expected(&self, route: &str) -> Option<f64> {
        self.rows.get(route).copied()
    }
}
