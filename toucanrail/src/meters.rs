//! Meters one try at its agent: cuts the answer into what goes on, and counts what it used.

use crate::ids::Tokens;
use crate::messages::UsageRule;
use crate::usages::{self, EventMeaning, EventScanner, UsageReport};

/// Bytes of a whole answer that are kept to read its usage, or to answer a retry.
const KEPT_LIMIT: usize = 256 * 1024;

/// The meter of one try.
#[derive(Debug)]
pub struct RunMeter {
    rule: UsageRule,
    streamed: bool,
    status: u16,
    scanner: EventScanner,
    report: Option<UsageReport>,
    /// Tokens generated, those of a resumed stream's first part included.
    pub tokens: Tokens,
    resumed: Tokens,
    ended: bool,
    kept: Vec<u8>,
    overflowed: bool,
}

impl RunMeter {
    /// Makes the meter of a try.
    pub fn new(rule: UsageRule, streamed: bool, resumed: Tokens) -> Self {
        Self {
            rule,
            streamed,
            status: 0,
            scanner: EventScanner::new(),
            report: None,
            tokens: resumed,
            resumed,
            ended: false,
            kept: Vec::new(),
            overflowed: false,
        }
    }

    /// Takes the answer's status; only a good one streams events.
    pub fn set_status(&mut self, status: u16) {
        self.status = status;
        self.streamed &= status == 200;
    }

    /// Takes bytes and returns those that go on to the caller: of a stream, whole events only, so
    /// that a resumed stream goes on behind the last one.
    pub fn process_bytes(&mut self, bytes: &[u8]) -> Vec<u8> {
        if !self.streamed {
            self.keep(bytes);
            return bytes.to_vec();
        }
        self.scanner.feed(bytes);
        let mut passed = Vec::new();
        while let Some(event) = self.scanner.next_event() {
            match event.meaning {
                EventMeaning::Token => self.tokens += 1,
                EventMeaning::Usage(report) => self.report = Some(report),
                EventMeaning::Last => self.ended = true,
                EventMeaning::Other => {}
            }
            let hidden = matches!(self.rule, UsageRule::Reported { hidden: true });
            if !(hidden && matches!(event.meaning, EventMeaning::Usage(_))) {
                passed.extend_from_slice(&event.bytes);
            }
        }
        passed
    }

    fn keep(&mut self, bytes: &[u8]) {
        self.overflowed |= self.kept.len() + bytes.len() > KEPT_LIMIT;
        if !self.overflowed {
            self.kept.extend_from_slice(bytes);
        }
    }

    /// Tells whether the answer is whole, its body having ended: of a stream, the last event must
    /// have come.
    pub fn is_whole(&self) -> bool {
        !self.streamed || (self.ended && !self.scanner.is_partial())
    }

    /// Returns the body, if it was small enough to keep.
    pub fn into_body(self) -> Option<Vec<u8>> {
        Some(self.kept).filter(|_| !self.overflowed && !self.streamed)
    }

    /// Returns what a whole answer used, if the answer tells.
    pub fn used(&self) -> Option<Tokens> {
        match self.rule {
            UsageRule::Fixed(price) => Some(if self.status < 500 { price } else { 0 }),
            UsageRule::Reported { .. } if self.status != 200 => Some(0),
            UsageRule::Reported { .. } if self.streamed => self.report.map(|usage| usage.total()),
            UsageRule::Reported { .. } => usages::scan_usage(&self.kept).map(|usage| usage.total()),
        }
    }

    /// Returns the least that a cut answer used.
    pub fn min_used(&self) -> Tokens {
        match self.rule {
            UsageRule::Fixed(price) => price,
            UsageRule::Reported { .. } => {
                let reported = self.report.map_or(0, |usage| usage.total());
                reported.max(self.tokens - self.resumed)
            }
        }
    }

    /// Returns the tokens that this try generated.
    pub fn generated(&self) -> Tokens {
        self.tokens - self.resumed
    }
}
