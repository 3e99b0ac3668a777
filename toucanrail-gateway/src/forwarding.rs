//! Forwards response bodies from a server to the caller.

use std::io;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::future::FutureExt;
use toucanrail::attempts::AttemptOutcome;
use toucanrail::body_formats::BodyFormat;
use toucanrail::codes;
use toucanrail::framing::{BodyEnd, ConnectionEnd};
use toucanrail::ids::Tokens;
use toucanrail::silences::{PartProgress, SilenceDetector};
use toucanrail::sse;
use toucanrail_wire::heads::ResponseHead;
use toucanrail_wire::time_limits;

use crate::buffers::BodyHold;
use crate::liveness;
use crate::origin_notes;
use crate::request_context::{
    AttemptContext, AttemptResult, FailedResponse, OpenExchange, StreamState,
};
use crate::responding::ResponseWriter;
use crate::state::FlightGuard;
use crate::suspect_reports;

/// Interval at which a stream's deadline and pauses are checked. Each stream has a single timer,
/// because a timer for each read would cost two system calls per event.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The server of a resumable stream is checked after a pause of this multiple of the longest
/// accepted one.
const STALL_FACTOR: u32 = 2;
const MIN_STALL: Duration = Duration::from_secs(1);
/// Interval at which a response waits for memory.
const FULL_PAUSE: Duration = Duration::from_millis(20);
/// A buffered body must make progress within this multiple of the time for one part of a response.
const BODY_PART_FACTOR: u32 = 2;
/// Maximum size of a body that is buffered before it is forwarded, and of one event of a stream.
pub const MAX_BUFFERED_BODY: usize = 8 * 1024 * 1024;

/// Returns the format of the body behind a response's head.
pub fn body_format(head: &ResponseHead) -> BodyFormat {
    let field = |name| head.fields.get(name);
    BodyFormat::new(head.status, field("content-type"), field("content-encoding"))
}

/// Returns the outcome of an attempt whose response could not be read.
pub fn failure_outcome(error: &io::Error) -> AttemptOutcome {
    match error.kind() {
        io::ErrorKind::InvalidData | io::ErrorKind::FileTooLarge => AttemptOutcome::Malformed,
        _ => AttemptOutcome::Lost,
    }
}

/// Waits for the rest of a part of a response, and fails with `InvalidData` if it takes longer.
pub async fn complete_part<Value, Fut>(timeout: Duration, reading: Fut) -> io::Result<Value>
where
    Fut: Future<Output = io::Result<Value>>,
{
    let read = time_limits::io_timeout(timeout, reading).await;
    read.map_err(|error| match error.kind() {
        io::ErrorKind::TimedOut => io::ErrorKind::InvalidData.into(),
        _ => error,
    })
}

/// Reads a body to its end. Waits while there is no memory for it. Once bytes of the body have
/// arrived, fails with `InvalidData` if there is no progress for `timeout`.
pub async fn read_body(
    exchange: &mut OpenExchange,
    body: &mut Vec<u8>,
    hold: &mut BodyHold,
    timeout: Duration,
) -> io::Result<()> {
    let (begun, mut progress, mut received) = (Instant::now(), PartProgress::default(), 0);
    loop {
        let buffer = &mut exchange.connection.buffer;
        let consumed = exchange.decoder.feed(buffer, body);
        buffer.drain(..consumed);
        received += consumed;
        while !hold.try_raise(body.len()) {
            Timer::after(FULL_PAUSE).await;
        }
        if exchange.decoder.is_done() {
            return Ok(());
        }
        if exchange.decoder.is_malformed() || body.len() > MAX_BUFFERED_BODY {
            return Err(io::ErrorKind::InvalidData.into());
        }
        progress.record(received, begun.elapsed());
        let filling = exchange.connection.fill();
        let count = match progress.time_left(timeout, begun.elapsed()) {
            Some(left) => complete_part(left, filling).await?,
            None => filling.await?,
        };
        if count == 0 {
            return match exchange.decoder.end_with(ConnectionEnd::Closed) {
                BodyEnd::Framed | BodyEnd::Closed => Ok(()),
                BodyEnd::Truncated => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
    }
}

/// Buffers a response before forwarding it, so that a truncated response can still be retried at
/// another server.
pub async fn forward_buffered(
    context: &AttemptContext<'_, '_>,
    mut exchange: OpenExchange,
    writer: &mut ResponseWriter,
    stream: &mut StreamState,
    flight: &FlightGuard,
) -> AttemptResult {
    let mut body = Vec::new();
    let mut hold = BodyHold::new(&context.gateway.memory);
    let body_timeout = context.part_timeout() * BODY_PART_FACTOR;
    let reading = read_body(&mut exchange, &mut body, &mut hold, body_timeout);
    match time_limits::io_timeout(context.plan.time_left(), reading).await {
        Ok(()) => {}
        Err(error) if error.kind() == io::ErrorKind::TimedOut => {
            return AttemptResult::Incomplete(AttemptOutcome::TimedOut);
        }
        Err(error) => return AttemptResult::Incomplete(failure_outcome(&error)),
    }
    flight.record_success();
    stream.received_bytes += body.len() as u64;
    let head = exchange.head.clone();
    exchange.release_connection(context.gateway, &context.target.id);
    // Responses that prove it were handled as declined.
    if codes::implies_not_run(head.status) {
        return AttemptResult::Incomplete(AttemptOutcome::Unproved);
    }
    let Some(head_writer) = writer.head_writer().filter(|_| head.status < 500) else {
        return AttemptResult::Failed(FailedResponse { head, body });
    };
    stream.first_byte_at = Some(Instant::now());
    match head_writer.send_response(&head, &body) {
        Ok(()) => AttemptResult::Complete,
        Err(_) => AttemptResult::CallerGone,
    }
}

/// Forwards a stream as it arrives, in complete events only.
pub async fn forward_stream(
    context: &AttemptContext<'_, '_>,
    mut exchange: OpenExchange,
    writer: &mut ResponseWriter,
    stream: &mut StreamState,
    flight: &FlightGuard,
) -> AttemptResult {
    let mut tick = Timer::interval(CHECK_INTERVAL);
    let mut pending = Vec::new();
    let mut progress = StreamProgress::new(context, stream);
    loop {
        let consumed = exchange.decoder.feed(&exchange.connection.buffer, &mut pending);
        exchange.connection.buffer.drain(..consumed);
        let complete_len = progress.record_events(context, stream, flight, &pending);
        let ended = exchange.decoder.is_done();
        if ended && progress.is_complete(stream, BodyEnd::Framed) {
            return finish_stream(context, exchange, writer, stream, &pending);
        }
        if complete_len > 0 && !forward_events(writer, &exchange, stream, &pending[..complete_len])
        {
            return AttemptResult::CallerGone;
        }
        pending.drain(..complete_len);
        let is_malformed = exchange.decoder.is_malformed() || stream.scanner.is_replay();
        if is_malformed || pending.len() > MAX_BUFFERED_BODY {
            return AttemptResult::Incomplete(malformed_outcome(writer));
        }
        if ended {
            return AttemptResult::Incomplete(truncation_outcome(writer));
        }
        match read_more(&mut exchange, writer, &mut tick).await {
            ReadOutcome::Bytes => {}
            ReadOutcome::CallerGone => return AttemptResult::CallerGone,
            ReadOutcome::Tick => {
                if let Some(result) = progress.check(context, writer).await {
                    return result;
                }
            }
            ReadOutcome::End(end) => {
                let end = exchange.decoder.end_with(end);
                if progress.is_complete(stream, end) {
                    return finish_stream(context, exchange, writer, stream, &[]);
                }
                return AttemptResult::Incomplete(truncation_outcome(writer));
            }
        }
    }
}

/// Progress of the stream of one attempt.
#[derive(Debug)]
struct StreamProgress {
    /// Complete events of this attempt.
    events: u64,
    last_event_at: Instant,
    begun_at: Instant,
    /// Progress of the event that is not complete.
    partial: PartProgress,
    detector: SilenceDetector,
    /// Events of earlier attempts.
    earlier_events: u64,
    tokens_per_event: Tokens,
    /// Whether it was recorded that this response has gone on.
    progress_recorded: bool,
}

impl StreamProgress {
    fn new(context: &AttemptContext<'_, '_>, stream: &StreamState) -> Self {
        let tables = context.gateway.tables.borrow();
        Self {
            events: 0,
            last_event_at: Instant::now(),
            begun_at: Instant::now(),
            partial: PartProgress::default(),
            detector: SilenceDetector::default(),
            earlier_events: stream.scanner.count,
            tokens_per_event: tables.routes.tokens_per_event(&context.plan.service),
            progress_recorded: false,
        }
    }

    /// Counts the complete events in the bytes that are not forwarded yet. Returns their length.
    fn record_events(
        &mut self,
        context: &AttemptContext<'_, '_>,
        stream: &mut StreamState,
        flight: &FlightGuard,
        pending: &[u8],
    ) -> usize {
        let known = stream.scanner.count;
        let ends = sse::may_end_event(pending, stream.partial_bytes);
        let complete_len = if ends { stream.scanner.scan(pending) } else { 0 };
        stream.partial_bytes = pending.len() - complete_len;
        stream.received_bytes += complete_len as u64;
        self.events = stream.scanner.count - self.earlier_events;
        if complete_len == 0 {
            self.partial.record(pending.len(), self.begun_at.elapsed());
            return 0;
        }
        self.partial.restart(stream.partial_bytes, self.begun_at.elapsed());
        if stream.first_byte_at.is_some() {
            stream.longest_pause = stream.longest_pause.max(self.last_event_at.elapsed());
        }
        self.last_event_at = Instant::now();
        flight.record_response_start();
        flight.record_success();
        stream.attempt_begun_at.get_or_insert(self.last_event_at);
        if !self.progress_recorded && stream.has_progressed() {
            self.progress_recorded = true;
            suspect_reports::record_progress(context.gateway, context.plan);
        }
        if stream.origin.is_none() {
            stream.origin = Some(context.target.origin());
            origin_notes::note_origin(context);
        }
        if let Some(budget) = &context.plan.budget {
            let events = stream.scanner.count - known;
            budget.add_output_tokens(events.saturating_mul(self.tokens_per_event));
        }
        complete_len
    }

    fn is_complete(&self, stream: &StreamState, end: BodyEnd) -> bool {
        sse::is_stream_complete(end, self.events, stream.partial_bytes)
    }

    /// Returns how the attempt ends if its caller, its deadline or its server ends it now.
    async fn check(
        &mut self,
        context: &AttemptContext<'_, '_>,
        writer: &mut ResponseWriter,
    ) -> Option<AttemptResult> {
        let plan = context.plan;
        if writer.give_up_if_stalled() {
            return Some(AttemptResult::CallerGone);
        }
        if plan.time_left().is_zero() {
            return Some(AttemptResult::Incomplete(AttemptOutcome::TimedOut));
        }
        let now = self.begun_at.elapsed();
        if !writer.may_grow() {
            self.partial.record_pause(now);
        }
        let part_left = self.partial.time_left(context.part_timeout(), now);
        if part_left.is_some_and(|left| left.is_zero()) {
            return Some(AttemptResult::Incomplete(malformed_outcome(writer)));
        }
        let stall = (plan.route.gap_target * STALL_FACTOR).max(MIN_STALL);
        let stalled = context.may_fail_over && self.last_event_at.elapsed() > stall;
        let lost = stalled && liveness::check_lost(context, &mut self.detector, self.events).await;
        lost.then(|| AttemptResult::Incomplete(truncation_outcome(writer)))
    }
}

enum ReadOutcome {
    /// Bytes were read or taken by the caller.
    Bytes,
    Tick,
    /// The server's connection ended.
    End(ConnectionEnd),
    CallerGone,
}

/// Reads more of a response, unless too much of it is kept for its caller, who takes some of that
/// meanwhile.
async fn read_more(
    exchange: &mut OpenExchange,
    writer: &mut ResponseWriter,
    tick: &mut Timer,
) -> ReadOutcome {
    let may_grow = writer.may_grow();
    let reading = async {
        if !may_grow {
            std::future::pending::<()>().await;
        }
        match exchange.connection.fill().await {
            Ok(count) if count > 0 => ReadOutcome::Bytes,
            Ok(_) => ReadOutcome::End(ConnectionEnd::Closed),
            Err(_) => ReadOutcome::End(ConnectionEnd::Reset),
        }
    };
    let ticking = async {
        smol::stream::StreamExt::next(tick).await;
        ReadOutcome::Tick
    };
    let flushing = async {
        if writer.flush_some().await.is_ok() { ReadOutcome::Bytes } else { ReadOutcome::CallerGone }
    };
    reading.or(flushing).or(ticking).await
}

fn malformed_outcome(writer: &ResponseWriter) -> AttemptOutcome {
    if writer.has_started() { AttemptOutcome::Broken } else { AttemptOutcome::Malformed }
}

fn truncation_outcome(writer: &ResponseWriter) -> AttemptOutcome {
    if writer.has_started() { AttemptOutcome::Broken } else { AttemptOutcome::Lost }
}

fn forward_events(
    writer: &mut ResponseWriter,
    exchange: &OpenExchange,
    stream: &mut StreamState,
    events: &[u8],
) -> bool {
    stream.first_byte_at.get_or_insert_with(Instant::now);
    let sent = match writer.head_writer() {
        Some(head_writer) => {
            stream.format = Some(body_format(&exchange.head));
            head_writer.start_stream(&exchange.head, events)
        }
        None => writer.send_events(events),
    };
    sent.is_ok()
}

fn finish_stream(
    context: &AttemptContext<'_, '_>,
    exchange: OpenExchange,
    writer: &mut ResponseWriter,
    stream: &mut StreamState,
    events: &[u8],
) -> AttemptResult {
    stream.first_byte_at.get_or_insert_with(Instant::now);
    let started = writer.head_writer().map(|writer| writer.start_stream(&exchange.head, &[]));
    if started.is_some_and(|sent| sent.is_err()) {
        return AttemptResult::CallerGone;
    }
    let sent = writer.finish_stream(events);
    exchange.release_connection(context.gateway, &context.target.id);
    if sent.is_ok() { AttemptResult::Complete } else { AttemptResult::CallerGone }
}
