//! Adaptive limit on the requests of one entry that wait for their first event at the servers of
//! one service.
//!
//! When prompts arrive faster than the servers can prefill them, forwarding every request fills the
//! servers' queues: each first event is late, and callers leave after their prompts were prefilled
//! for nothing. An entry knows neither the speed of the servers nor the traffic of the other
//! entries, so it derives its limit from the latency of its own first events. All entries converge
//! to their shares of the capacity in this way.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::backends::FlightId;
use crate::link_shares;

/// Fraction of late first events above which requests are limited.
const LATE_LIMIT: f64 = 0.4;
/// Minimum number of first events in a step on which a decision is based.
const MIN_SAMPLES: u32 = 8;
/// Fraction of the latency target within which requests under the limit are expected to begin.
const TARGET_FRACTION: f64 = 0.8;
/// Time over which the rate of first events is smoothed.
const RATE_SMOOTHING: Duration = Duration::from_secs(1);
/// Fraction of the limit that must have been in use for the limit to grow.
const USED_FRACTION: f64 = 0.8;
/// Consecutive steps without a refusal after which the limit is lifted.
const MAX_CALM_STEPS: u32 = 10;
/// Weight of a new request in the smoothed latency target.
const TARGET_WEIGHT: f64 = 0.05;
/// Bounds of a step, which ends once enough first events were observed.
const MIN_STEP: Duration = Duration::from_millis(100);
const MAX_STEP: Duration = Duration::from_secs(1);
/// Fraction of the limit that each rank after the first leaves to the ranks before it.
const RANK_FRACTION: f64 = 0.1;
const MAX_RANK: u8 = 3;
/// Extra fraction of the limit for callers that return after the delay they were given.
const RETURN_FRACTION: f64 = 0.25;

/// A request that was sent and has had no first event yet.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct PendingRow {
    /// When the request was sent.
    pub sent_at: Duration,
    /// Time within which the first event should arrive.
    #[serde(rename = "aim")]
    pub latency_target: Duration,
}

impl PendingRow {
    fn is_late(&self, now: Duration) -> bool {
        now.saturating_sub(self.sent_at) > self.latency_target
    }
}

/// Properties of a request that asks for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionQuery {
    /// Rank of the request; 0 has the highest priority.
    pub rank: u8,
    /// Whether the request was refused before and its caller has waited since.
    pub returned: bool,
}

/// The requests of one entry that wait for their first event at one service, and the current limit
/// on them.
#[derive(Debug, Default, Clone, Serialize)]
pub struct AdmissionLimit {
    limit: Option<f64>,
    rows: BTreeMap<FlightId, PendingRow>,
    /// Highest number of waiting requests in this step.
    peak: usize,
    /// First events in this step, and their smoothed rate per second.
    #[serde(rename = "begun")]
    first_events: u32,
    rate: f64,
    /// Smoothed latency target.
    #[serde(rename = "aim")]
    latency_target: Duration,
    #[serde(rename = "timely")]
    on_time: u32,
    late: u32,
    refused: u32,
    #[serde(rename = "calm")]
    calm_steps: u32,
    step_began: Duration,
    /// Whether the entry's own link is loaded now, and whether it was in this step.
    link_loaded: bool,
    link_loaded_in_step: bool,
}

impl AdmissionLimit {
    /// Returns whether one more request may be sent.
    ///
    /// The size of the request is not considered, so large requests are refused no more often than
    /// small ones.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::admissions::{AdmissionLimit, AdmissionQuery};
    /// let mut limit = AdmissionLimit::default();
    /// let query = AdmissionQuery { rank: 0, returned: false };
    /// assert!(limit.admits(query, Duration::ZERO));
    /// ```
    pub fn admits(&mut self, query: AdmissionQuery, now: Duration) -> bool {
        self.end_step(now);
        // The limit was derived from first events that the link delayed; its share limits requests.
        let Some(limit) = self.limit.filter(|_| !self.link_loaded) else {
            return true;
        };
        let bonus = if query.returned { RETURN_FRACTION } else { 0.0 };
        let fraction = 1.0 + bonus - RANK_FRACTION * f64::from(query.rank.min(MAX_RANK));
        let admits = self.rows.is_empty() || (self.rows.len() as f64) < limit * fraction;
        self.refused += u32::from(!admits);
        admits
    }

    /// Records the current load of the entry's own link, as a fraction of its capacity.
    ///
    /// A loaded link delays first events by itself. They are then no evidence about the servers and
    /// do not lower the limit, neither in this step nor, as long as the link stays loaded, in the
    /// following ones. A limit that is in effect already is suspended meanwhile.
    ///
    /// # Examples
    /// ```
    /// let mut limit = toucanrail::admissions::AdmissionLimit::default();
    /// limit.record_link_load(0.9);
    /// assert_eq!(limit.waiting(), (0, None));
    /// ```
    pub fn record_link_load(&mut self, load: f64) {
        self.link_loaded = link_shares::is_loaded(load);
        self.link_loaded_in_step |= self.link_loaded;
    }

    /// Returns whether requests wait for too long: a limit is in effect, or at least one request
    /// has waited for more than half of its latency target.
    pub fn is_congested(&self, now: Duration) -> bool {
        let waits_long =
            |row: &PendingRow| now.saturating_sub(row.sent_at) > row.latency_target / 2;
        self.limit.is_some() || self.rows.values().any(waits_long)
    }

    /// Returns the number of requests that wait for their first event, and the limit if one is in
    /// effect; for logs.
    pub fn waiting(&self) -> (usize, Option<f64>) {
        (self.rows.len(), self.limit)
    }

    /// Records a request that was sent.
    pub fn record_sent(&mut self, number: FlightId, row: PendingRow) {
        self.end_step(row.sent_at);
        let weight = if self.latency_target.is_zero() { 1.0 } else { TARGET_WEIGHT };
        self.latency_target =
            self.latency_target.mul_f64(1.0 - weight) + row.latency_target.mul_f64(weight);
        self.rows.insert(number, row);
        self.peak = self.peak.max(self.rows.len());
    }

    /// Records a first event.
    pub fn record_first_event(&mut self, number: FlightId, now: Duration) {
        self.first_events += u32::from(self.remove_pending(number, now));
    }

    /// Records the end of a request; has no effect after its first event.
    pub fn record_ended(&mut self, number: FlightId, now: Duration) {
        self.remove_pending(number, now);
    }

    /// Records that a server responded to a request with bytes that are no response. That it waited
    /// tells nothing of the load.
    pub fn record_malformed(&mut self, number: FlightId, now: Duration) {
        self.end_step(now);
        self.rows.remove(&number);
    }

    /// Removes a waiting request; returns false if its first event was recorded before.
    fn remove_pending(&mut self, number: FlightId, now: Duration) -> bool {
        self.end_step(now);
        let Some(row) = self.rows.remove(&number) else {
            return false;
        };
        if row.is_late(now) {
            self.late += 1;
        } else {
            self.on_time += 1;
        }
        true
    }

    /// Ends the current step if it has lasted long enough, and adjusts the limit.
    fn end_step(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.step_began);
        if elapsed < (self.latency_target / 2).max(MIN_STEP) {
            return;
        }
        if elapsed < MAX_STEP && self.count_first_events(now).1 < MIN_SAMPLES {
            return;
        }
        self.smooth_rate(now);
        self.change_limit(now);
        self.step_began = now;
        (self.peak, self.first_events) = (self.rows.len(), 0);
        (self.on_time, self.late, self.refused) = (0, 0, 0);
        self.link_loaded_in_step = self.link_loaded;
    }

    fn smooth_rate(&mut self, now: Duration) {
        let length = now.saturating_sub(self.step_began).as_secs_f64();
        let weight = (length / RATE_SMOOTHING.as_secs_f64()).min(1.0);
        self.rate +=
            (f64::from(self.first_events) / length.max(f64::MIN_POSITIVE) - self.rate) * weight;
    }

    fn change_limit(&mut self, now: Duration) {
        self.calm_steps = if self.refused > 0 { 0 } else { self.calm_steps + 1 };
        let target_limit = self.target_limit();
        self.limit = match self.limit {
            _ if self.is_overloaded(now) && !self.link_loaded_in_step => Some(target_limit),
            Some(_) if self.calm_steps >= MAX_CALM_STEPS => None,
            Some(limit) if self.peak as f64 >= limit * USED_FRACTION => {
                Some(limit.max(target_limit))
            }
            limit => limit,
        };
    }

    /// Returns whether too many first events of this step are late.
    fn is_overloaded(&self, now: Duration) -> bool {
        let (late, count) = self.count_first_events(now);
        count >= MIN_SAMPLES && f64::from(late) > f64::from(count) * LATE_LIMIT
    }

    /// Returns the number of late first events in this step and the number of all, where a request
    /// that ended without one counts like a first event. Requests that are overdue count in both:
    /// they indicate overload before their first event arrives.
    fn count_first_events(&self, now: Duration) -> (u32, u32) {
        let waiting = self.rows.values().filter(|row| row.is_late(now)).count();
        let late = self.late + waiting as u32;
        (late, self.on_time + late)
    }

    /// Returns the number of requests that get their first event within the latency target at the
    /// current rate.
    ///
    /// The servers are busy when this is used, so the rate of first events is this entry's share of
    /// their capacity. Requests that wait for less than the target raise the rate, and with it the
    /// limit.
    fn target_limit(&self) -> f64 {
        self.rate * self.latency_target.as_secs_f64() * TARGET_FRACTION
    }
}
