//! How many requests without a first event an entry keeps at the servers of one service.
//!
//! The load it answers: more prompts than the servers read in time. Sent all the same they wait in the
//! servers' queues, each first event is late, and callers leave after their prompts were read in vain.
//! An entry knows neither the speed of the servers nor what others send there; it learns from its own
//! first events whether less should be under way, and all entries find their parts in this way.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::backends::FlightId;

/// Part of late first events from which requests are limited.
const LATE_LIMIT: f64 = 0.4;
/// Fewest first events that tell.
const SAMPLE_LEAST: u32 = 8;
/// Part of the hoped-for time in which the requests under the limit begin.
const WAIT_PART: f64 = 0.8;
/// Time over which the rate of first events is smoothed.
const RATE_TIME: Duration = Duration::from_secs(1);
/// Part of the limit from which it counts as used.
const USED_PART: f64 = 0.8;
/// Steps in a row without a refusal after which there is no limit any more.
const CALM_STEPS: u32 = 10;
/// Weight of a new request in the smoothed hoped-for time.
const AIM_WEIGHT: f64 = 0.05;
/// Bounds of a step, which lasts until enough first events tell.
const STEP_LEAST: Duration = Duration::from_millis(100);
const STEP_LIMIT: Duration = Duration::from_secs(1);
/// Part of the limit that each rank behind the first leaves to those before it.
const RANK_PART: f64 = 0.1;
const RANK_LIMIT: u8 = 3;
/// Part of the limit on top of it for callers that come back as they were told.
const RETURN_PART: f64 = 0.25;

/// A request that was sent and has no first event yet.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct PendingRow {
    /// When it was sent.
    pub sent_at: Duration,
    /// Time within which its first event is hoped for.
    #[serde(rename = "aim")]
    pub latency_target: Duration,
}

impl PendingRow {
    fn is_late(&self, now: Duration) -> bool {
        now.saturating_sub(self.sent_at) > self.latency_target
    }
}

/// Who asks to be admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionQuery {
    /// Its rank; 0 goes first.
    pub rank: u8,
    /// Whether it was refused before and has waited since.
    pub returned: bool,
}

/// The requests of one entry that wait for their first event at one service, and their limit.
#[derive(Debug, Default, Serialize)]
pub struct AdmissionLimit {
    limit: Option<f64>,
    rows: BTreeMap<FlightId, PendingRow>,
    /// Most of them in this step.
    peak: usize,
    /// First events in this step, and, smoothed, in a second.
    begun: u32,
    rate: f64,
    /// The smoothed hoped-for time.
    #[serde(rename = "aim")]
    latency_target: Duration,
    timely: u32,
    late: u32,
    refused: u32,
    calm: u32,
    step_began: Duration,
}

impl AdmissionLimit {
    /// Tells whether one more request may be sent.
    ///
    /// Its size does not count, so that large ones are refused no more often than small ones.
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
        let Some(limit) = self.limit else {
            return true;
        };
        let back = if query.returned { RETURN_PART } else { 0.0 };
        let part = 1.0 + back - RANK_PART * f64::from(query.rank.min(RANK_LIMIT));
        let admits = self.rows.is_empty() || (self.rows.len() as f64) < limit * part;
        self.refused += u32::from(!admits);
        admits
    }

    /// Tells whether requests wait longer than they should: there is a limit, or one of them has waited for
    /// half of its hoped-for time.
    pub fn is_congested(&self, now: Duration) -> bool {
        let waits_long =
            |row: &PendingRow| now.saturating_sub(row.sent_at) > row.latency_target / 2;
        self.limit.is_some() || self.rows.values().any(waits_long)
    }

    /// Returns how many requests wait for their first event, and the limit while there is one; for logs.
    pub fn waiting(&self) -> (usize, Option<f64>) {
        (self.rows.len(), self.limit)
    }

    /// Notes a request that was sent.
    pub fn note_sent(&mut self, number: FlightId, row: PendingRow) {
        self.end_step(row.sent_at);
        let weight = if self.latency_target.is_zero() { 1.0 } else { AIM_WEIGHT };
        self.latency_target =
            self.latency_target.mul_f64(1.0 - weight) + row.latency_target.mul_f64(weight);
        self.rows.insert(number, row);
        self.peak = self.peak.max(self.rows.len());
    }

    /// Notes a first event.
    pub fn note_first_event(&mut self, number: FlightId, now: Duration) {
        self.begun += u32::from(self.note_done(number, now));
    }

    /// Notes the end of a request; after its first event that changes nothing.
    pub fn note_ended(&mut self, number: FlightId, now: Duration) {
        self.note_done(number, now);
    }

    /// Takes a request out; false if it had its first event before.
    fn note_done(&mut self, number: FlightId, now: Duration) -> bool {
        self.end_step(now);
        let Some(row) = self.rows.remove(&number) else {
            return false;
        };
        if row.is_late(now) {
            self.late += 1;
        } else {
            self.timely += 1;
        }
        true
    }

    /// Changes the limit by what the last step brought, once it is over.
    fn end_step(&mut self, now: Duration) {
        let lasted = now.saturating_sub(self.step_began);
        if lasted < (self.latency_target / 2).max(STEP_LEAST) {
            return;
        }
        if lasted < STEP_LIMIT && self.count_done(now).1 < SAMPLE_LEAST {
            return;
        }
        self.smooth_rate(now);
        self.change_limit(now);
        self.step_began = now;
        (self.peak, self.begun) = (self.rows.len(), 0);
        (self.timely, self.late, self.refused) = (0, 0, 0);
    }

    fn smooth_rate(&mut self, now: Duration) {
        let length = now.saturating_sub(self.step_began).as_secs_f64();
        let weight = (length / RATE_TIME.as_secs_f64()).min(1.0);
        self.rate += (f64::from(self.begun) / length.max(f64::MIN_POSITIVE) - self.rate) * weight;
    }

    fn change_limit(&mut self, now: Duration) {
        self.calm = if self.refused > 0 { 0 } else { self.calm + 1 };
        let target = self.target();
        self.limit = match self.limit {
            _ if self.is_late(now) => Some(target),
            Some(_) if self.calm >= CALM_STEPS => None,
            Some(limit) if self.peak as f64 >= limit * USED_PART => Some(limit.max(target)),
            limit => limit,
        };
    }

    /// Tells whether too many first events of this step are late.
    fn is_late(&self, now: Duration) -> bool {
        let (late, count) = self.count_done(now);
        count >= SAMPLE_LEAST && f64::from(late) > f64::from(count) * LATE_LIMIT
    }

    /// Counts the late first events of this step, and all. What waits for too long is among both: it tells
    /// of the load before its first event does.
    fn count_done(&self, now: Duration) -> (u32, u32) {
        let waiting = self.rows.values().filter(|row| row.is_late(now)).count();
        let late = self.late + waiting as u32;
        (late, self.timely + late)
    }

    /// Returns how many requests get their first event within the hoped-for time, if the servers go on as
    /// they do.
    ///
    /// They are busy then, and what they begin for this entry is its part of them. Requests that wait for
    /// a shorter time than this raise the rate, and so the limit.
    fn target(&self) -> f64 {
        self.rate * self.latency_target.as_secs_f64() * WAIT_PART
    }
}
