//! Metering of one attempt at its agent: splits the response into the parts to forward, and counts
//! the tokens that it used.

use crate::ids::Tokens;
use crate::messages::UsageRule;
use crate::usages::{self, EventKind, EventParser, UsageReport};

/// Maximum size of a response body that is buffered to read its usage or to replay it, in bytes.
const BODY_LIMIT: usize = 256 * 1024;

/// Counts the usage of one attempt.
#[derive(Debug)]
pub struct RunMeter {
    rule: UsageRule,
    streamed: bool,
    status: u16,
    parser: EventParser,
    report: Option<UsageReport>,
    /// Tokens generated, including those that a resumed stream continues from.
    pub tokens: Tokens,
    resumed: Tokens,
    ended: bool,
    body: Vec<u8>,
    overflowed: bool,
}

impl RunMeter {
    /// Creates a meter; `resumed` counts the tokens that the caller has from earlier attempts.
    pub fn new(rule: UsageRule, streamed: bool, resumed: Tokens) -> Self {
        Self {
            rule,
            streamed,
            status: 0,
            parser: EventParser::new(),
            report: None,
            tokens: resumed,
            resumed,
            ended: false,
            body: Vec::new(),
            overflowed: false,
        }
    }

    /// Sets the response status; only a response with status 200 is parsed as an event stream.
    pub fn set_status(&mut self, status: u16) {
        self.status = status;
        self.streamed &= status == 200;
    }

    /// Processes received bytes and returns those to forward to the caller.
    ///
    /// Of a stream, only complete events are forwarded, so that a resumed stream can continue
    /// after the last of them.
    pub fn process_bytes(&mut self, bytes: &[u8]) -> Vec<u8> {
        if !self.streamed {
            self.buffer_body(bytes);
            return bytes.to_vec();
        }
        self.parser.feed(bytes);
        let mut forwarded = Vec::new();
        while let Some(event) = self.parser.next_event() {
            match event.kind {
                EventKind::Token => self.tokens += 1,
                EventKind::Usage(report) => self.report = Some(report),
                EventKind::Done => self.ended = true,
                EventKind::Other => {}
            }
            // A hidden usage event was requested by the fleet, not by the caller.
            let hidden = matches!(self.rule, UsageRule::Reported { hidden: true });
            if !(hidden && matches!(event.kind, EventKind::Usage(_))) {
                forwarded.extend_from_slice(&event.bytes);
            }
        }
        forwarded
    }

    fn buffer_body(&mut self, bytes: &[u8]) {
        self.overflowed |= self.body.len() + bytes.len() > BODY_LIMIT;
        if !self.overflowed {
            self.body.extend_from_slice(bytes);
        }
    }

    /// Returns whether the response is complete once its body has ended; a stream must have
    /// delivered its last event.
    pub fn is_complete(&self) -> bool {
        !self.streamed || (self.ended && !self.parser.has_partial_event())
    }

    /// Returns the buffered body, or `None` if the response was streamed or exceeded the limit.
    pub fn into_body(self) -> Option<Vec<u8>> {
        Some(self.body).filter(|_| !self.overflowed && !self.streamed)
    }

    /// Returns the usage of a complete response, or `None` if the response does not report it.
    pub fn used(&self) -> Option<Tokens> {
        match self.rule {
            UsageRule::Fixed(price) => Some(if self.status < 500 { price } else { 0 }),
            UsageRule::Reported { .. } if self.status != 200 => Some(0),
            UsageRule::Reported { .. } if self.streamed => self.report.map(|usage| usage.total()),
            UsageRule::Reported { .. } => {
                usages::parse_usage(&self.body).map(|usage| usage.total())
            }
        }
    }

    /// Returns a lower bound on the usage of an incomplete response.
    pub fn min_used(&self) -> Tokens {
        match self.rule {
            UsageRule::Fixed(price) => price,
            UsageRule::Reported { .. } => {
                let reported = self.report.map_or(0, |usage| usage.total());
                reported.max(self.tokens - self.resumed)
            }
        }
    }

    /// Returns the number of tokens that this attempt generated.
    pub fn generated(&self) -> Tokens {
        self.tokens - self.resumed
    }
}
