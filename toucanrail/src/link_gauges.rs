//! Load of an entry's own network link, and whether its callers should move to other entries.
//!
//! The balancer spreads callers, not requests: one caller that sends half of a data centre's
//! requests stays with one entry. A full link delays everything that crosses it, configuration and
//! loans included. The caller's retries come back to the same entry, so that refusals do not help;
//! it moves only when the entry leaves the rotation.

use std::time::Duration;

/// Time over which the load is averaged. It is shorter than callers' latency targets and longer
/// than the transfer of one prompt.
const AVERAGING_TIME: Duration = Duration::from_millis(500);
/// Load, as a fraction of the capacity, from which a link counts as full. Packet heads and
/// acknowledgements are not counted in the load.
const FULL_LOAD: f64 = 0.85;
/// Load above which an entry that has left the rotation still closes callers' connections.
const CLOSING_LOAD: f64 = 0.4;
/// Time for which a link must be full before its entry leaves the rotation.
const FULL_TIME: Duration = Duration::from_secs(1);
/// Time for which the entry stays out of rotation. Its callers would otherwise return as soon as
/// they have moved.
const AWAY_TIME: Duration = Duration::from_secs(30);

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
}

/// Whether an entry is out of rotation because its link was full.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkPressure {
    full_since: Option<Duration>,
    away_until: Duration,
}

impl LinkPressure {
    /// Records the link's current load.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::link_gauges::LinkPressure;
    /// let mut pressure = LinkPressure::default();
    /// for second in 0..3 {
    ///     pressure.record_load(0.9, Duration::from_secs(second));
    /// }
    /// assert!(pressure.is_away(Duration::from_secs(2)));
    /// ```
    pub fn record_load(&mut self, load: f64, now: Duration) {
        if load < FULL_LOAD {
            self.full_since = None;
            return;
        }
        let since = *self.full_since.get_or_insert(now);
        if now.saturating_sub(since) >= FULL_TIME {
            self.away_until = now + AWAY_TIME;
        }
    }

    /// Returns whether the balancer should send new callers to other entries.
    pub fn is_away(&self, now: Duration) -> bool {
        now < self.away_until
    }

    /// Returns whether callers' connections should be closed after their responses, so that they
    /// connect to other entries.
    pub fn closes_connections(&self, load: f64, now: Duration) -> bool {
        self.is_away(now) && load > CLOSING_LOAD
    }
}
