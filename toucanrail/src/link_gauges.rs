//! Load of an entry's own network link, and whether the entry takes on another request.
//!
//! The balancer spreads callers, not requests: one caller that sends half of a data centre's
//! requests stays with one entry. A full link delays everything that crosses it, so that requests
//! which other entries would serve in time end late or not at all.

use std::time::Duration;

/// Time over which the load is averaged. It is shorter than callers' latency targets and longer
/// than the transfer of one prompt.
const AVERAGING_TIME: Duration = Duration::from_millis(500);
/// Load, as a fraction of the capacity, from which requests are refused, and at which all are.
/// Packet heads and acknowledgements are not counted in the load.
const MIN_REFUSED_LOAD: f64 = 0.65;
const MAX_LOAD: f64 = 0.9;

/// Bytes that have crossed a link in each direction since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkCounts {
    /// Bytes received.
    pub received: u64,
    /// Bytes sent.
    pub sent: u64,
}

/// Average load of a link.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LinkGauge {
    /// Bytes a second in one direction; zero if not stated.
    capacity: f64,
    counts: LinkCounts,
    counted_at: Duration,
    /// Bytes a second, received and sent.
    rates: (f64, f64),
}

impl LinkGauge {
    /// Creates the gauge of a link of which nothing is used; `capacity` is in bytes a second, and
    /// `None` if the settings state none.
    pub fn new(capacity: Option<f64>) -> Self {
        Self { capacity: capacity.unwrap_or_default(), ..Self::default() }
    }

    /// Records the bytes counted so far.
    pub fn record_counts(&mut self, counts: LinkCounts, now: Duration) {
        let elapsed = now.saturating_sub(self.counted_at).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        let kept = (-elapsed / AVERAGING_TIME.as_secs_f64()).exp();
        let average = |rate: f64, added: u64| rate * kept + added as f64 / elapsed * (1.0 - kept);
        let (received, sent) = self.rates;
        self.rates = (
            average(received, counts.received.saturating_sub(self.counts.received)),
            average(sent, counts.sent.saturating_sub(self.counts.sent)),
        );
        (self.counts, self.counted_at) = (counts, now);
    }

    /// Returns the load of the busier direction as a fraction of the capacity; zero if that is not
    /// known.
    pub fn load(&self) -> f64 {
        let (received, sent) = self.rates;
        if self.capacity > 0.0 { received.max(sent) / self.capacity } else { 0.0 }
    }

    /// Returns whether the link takes on another request. As it fills up, a growing part of the
    /// requests is refused; `random` in `0..1` selects them.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::link_gauges::{LinkCounts, LinkGauge};
    /// let mut gauge = LinkGauge::new(Some(1_000.0));
    /// assert!(gauge.admits(0.0));
    /// let counts = LinkCounts { received: 5_000, sent: 0 };
    /// gauge.record_counts(counts, Duration::from_secs(5));
    /// assert!(!gauge.admits(0.9));
    /// ```
    pub fn admits(&self, random: f64) -> bool {
        let excess = (self.load() - MIN_REFUSED_LOAD) / (MAX_LOAD - MIN_REFUSED_LOAD);
        random >= excess
    }
}
