//! How much unread work an entry keeps at the servers of one service.
//!
//! The load it answers: more prompts than the servers read in time. Sent all the same they wait in the
//! servers' queues, each first event is late, and callers leave after their prompts were read in vain.
//! An entry knows neither the speed of the servers nor what others send there; it learns from its own
//! first events whether less should be under way, and all entries find their parts in this way.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::backends::FlightId;

/// Part of late first events from which the work is limited.
const LATE_LIMIT: f64 = 0.4;
/// Fewest first events that tell.
const SAMPLE_LEAST: u32 = 4;
/// Part of the hoped-for time in which the work under the limit is read.
const WAIT_PART: f64 = 0.9;
/// Time over which the rate of reading is smoothed.
const RATE_TIME: Duration = Duration::from_secs(1);
/// Part of the limit from which it counts as used.
const USED_PART: f64 = 0.8;
/// Steps in a row without a refusal after which there is no limit any more.
const CALM_STEPS: u32 = 10;
/// Weight of a new request in the smoothed hoped-for time.
const AIM_WEIGHT: f64 = 0.05;
/// Shortest step.
const STEP_LEAST: Duration = Duration::from_millis(100);
/// Part of the limit that each rank behind the first leaves to those before it.
const RANK_PART: f64 = 0.1;
const RANK_LIMIT: u8 = 3;
/// Part of the limit on top of it for callers that come back as they were told.
const RETURN_PART: f64 = 0.25;

/// A request that was sent and has no first event yet.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct WaitRow {
    /// When it was sent.
    pub sent_at: Duration,
    /// Time within which its first event is hoped for.
    pub aim: Duration,
    /// Prompt tokens to read, or one for a call of a plain service.
    pub work: f64,
}

impl WaitRow {
    fn is_late(&self, now: Duration) -> bool {
        now.saturating_sub(self.sent_at) > self.aim
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

/// The unread work of one entry at one service, and its limit.
#[derive(Debug, Default, Serialize)]
pub struct AdmissionLimit {
    limit: Option<f64>,
    rows: BTreeMap<FlightId, WaitRow>,
    work: f64,
    /// Most work in this step, and what was read in it.
    peak: f64,
    read: f64,
    /// Smoothed work that is read in a second, and the smoothed hoped-for time.
    rate: f64,
    aim: Duration,
    timely: u32,
    late: u32,
    refused: u32,
    calm: u32,
    step_began: Duration,
    step_ends: Duration,
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
        let admits = self.rows.is_empty() || self.work < limit * part;
        self.refused += u32::from(!admits);
        admits
    }

    /// Notes a request that was sent.
    pub fn note_sent(&mut self, number: FlightId, row: WaitRow) {
        self.end_step(row.sent_at);
        let weight = if self.aim.is_zero() { 1.0 } else { AIM_WEIGHT };
        self.aim = self.aim.mul_f64(1.0 - weight) + row.aim.mul_f64(weight);
        self.work += row.work;
        self.peak = self.peak.max(self.work);
        self.rows.insert(number, row);
    }

    /// Notes a first event.
    pub fn note_begun(&mut self, number: FlightId, now: Duration) {
        self.read += self.note_done(number, now);
    }

    /// Notes the end of a request; after its first event that changes nothing.
    pub fn note_ended(&mut self, number: FlightId, now: Duration) {
        self.note_done(number, now);
    }

    fn note_done(&mut self, number: FlightId, now: Duration) -> f64 {
        self.end_step(now);
        let Some(row) = self.rows.remove(&number) else {
            return 0.0;
        };
        self.work = (self.work - row.work).max(0.0);
        if row.is_late(now) {
            self.late += 1;
        } else {
            self.timely += 1;
        }
        row.work
    }

    /// Changes the limit by what the last step brought, once it is over.
    fn end_step(&mut self, now: Duration) {
        if now < self.step_ends {
            return;
        }
        self.smooth_rate(now);
        self.change_limit(now);
        self.step_began = now;
        self.step_ends = now + (self.aim / 2).max(STEP_LEAST);
        (self.peak, self.read) = (self.work, 0.0);
        (self.timely, self.late, self.refused) = (0, 0, 0);
    }

    fn smooth_rate(&mut self, now: Duration) {
        let length = now.saturating_sub(self.step_began).as_secs_f64();
        let weight = (length / RATE_TIME.as_secs_f64()).min(1.0);
        self.rate += (self.read / length.max(f64::MIN_POSITIVE) - self.rate) * weight;
    }

    fn change_limit(&mut self, now: Duration) {
        self.calm = if self.refused > 0 { 0 } else { self.calm + 1 };
        let target = self.target();
        self.limit = match self.limit {
            _ if self.is_late(now) => Some(target),
            Some(_) if self.calm >= CALM_STEPS => None,
            Some(limit) if self.peak >= limit * USED_PART => Some(limit.max(target)),
            limit => limit,
        };
    }

    /// Tells whether too many first events of this step are late.
    fn is_late(&self, now: Duration) -> bool {
        // What waits for too long tells of the load before its first event does.
        let waiting = self.rows.values().filter(|row| row.is_late(now)).count();
        let late = self.late + waiting as u32;
        let count = self.timely + late;
        count >= SAMPLE_LEAST && f64::from(late) > f64::from(count) * LATE_LIMIT
    }

    /// Returns the work that is read within the hoped-for time, if the servers go on as they do.
    ///
    /// They are busy then, and what they read of this entry's prompts is its part of them. Work that
    /// waits for a shorter time than this raises the rate, and so the limit.
    fn target(&self) -> f64 {
        self.rate * self.aim.as_secs_f64() * WAIT_PART
    }
}
