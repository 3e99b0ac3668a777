//! The body of an answer on its way from a server to the caller.

use std::io;
use std::time::{Duration, Instant};

use smol::Timer;
use smol::future::FutureExt;
use toucanrail::attempting::AttemptFate;
use toucanrail::framing::BodyDecoder;
use toucanrail::silences::SilenceWatch;
use toucanrail_wire::clocks;

use crate::answering::CallerSide;
use crate::calls::{AttemptContext, AttemptEnd, FailedAnswer, OpenExchange, StreamState};
use crate::sighting;
use crate::states::FlightGuard;

/// How often a stream's deadline and its pauses are looked at; one timer a stream, since a timer a
/// read costs two system calls an event.
const TICK: Duration = Duration::from_millis(200);
/// Multiple of the accepted pause after which the server of a stream that may be resumed is looked at.
const STALL_FACTOR: u32 = 2;
const STALL_LEAST: Duration = Duration::from_secs(1);
/// Largest body that is read whole before it is passed on.
const BODY_LIMIT: usize = 8 * 1024 * 1024;

/// Reads a body to its end.
pub async fn read_rest(exchange: &mut OpenExchange, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let buffer = &mut exchange.channel.buffer;
        let taken = exchange.framer.feed(buffer, body);
        buffer.drain(..taken);
        if exchange.framer.is_done() {
            return Ok(());
        }
        if exchange.framer.is_malformed() || body.len() > BODY_LIMIT {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if exchange.channel.fill().await? == 0 {
            let ended = exchange.framer.ends_with_connection();
            return if ended { Ok(()) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
    }
}

/// Reads an answer whole, so that a cut one can still be tried elsewhere, and passes it on.
pub async fn relay_whole(
    context: &AttemptContext<'_, '_>,
    mut exchange: OpenExchange,
    caller: &mut CallerSide,
    stream: &mut StreamState,
) -> AttemptEnd {
    let mut body = Vec::new();
    match clocks::within(context.plan.left(), read_rest(&mut exchange, &mut body)).await {
        Ok(()) => {}
        Err(error) if error.kind() == io::ErrorKind::TimedOut => {
            return AttemptEnd::Ended(AttemptFate::TimedOut);
        }
        Err(_) => return AttemptEnd::Ended(AttemptFate::Lost),
    }
    let head = exchange.head.clone();
    exchange.keep_channel(context.gateway, &context.target.id);
    if head.status >= 500 {
        return AttemptEnd::Failed(FailedAnswer { head, body });
    }
    stream.first_at = Some(Instant::now());
    match caller.send_whole(&head, &body).await {
        Ok(()) => AttemptEnd::Whole,
        Err(_) => AttemptEnd::CallerGone,
    }
}

/// Passes events on as they arrive, only whole ones.
pub async fn relay_stream(
    context: &AttemptContext<'_, '_>,
    mut exchange: OpenExchange,
    caller: &mut CallerSide,
    stream: &mut StreamState,
    flight: &FlightGuard,
) -> AttemptEnd {
    let AttemptContext { gateway, plan, .. } = *context;
    let stride = gateway.tables.borrow().routes.tokens_per_event(&plan.service);
    let stall = (plan.route.gap * STALL_FACTOR).max(STALL_LEAST);
    let mut tick = Timer::interval(TICK);
    let mut pending = Vec::new();
    let mut heard = Instant::now();
    let mut watch = SilenceWatch::default();
    let before = stream.scanner.count;
    loop {
        let taken = exchange.framer.feed(&exchange.channel.buffer, &mut pending);
        exchange.channel.buffer.drain(..taken);
        let known = stream.scanner.count;
        let whole = stream.scanner.scan(&pending);
        if whole > 0 {
            if stream.first_at.is_some() {
                stream.pause = stream.pause.max(heard.elapsed());
            }
            heard = Instant::now();
            flight.note_begun();
            if let Some(budget) = &plan.budget {
                budget.add_output((stream.scanner.count - known) * stride);
            }
        }
        if exchange.framer.is_done() {
            return end_stream(context, exchange, caller, stream, &pending).await;
        }
        if whole > 0 && !pass_events(caller, &exchange, stream, &pending[..whole]).await {
            return AttemptEnd::CallerGone;
        }
        pending.drain(..whole);
        if exchange.framer.is_malformed() {
            return AttemptEnd::Ended(cut_fate(caller));
        }
        match read_more(&mut exchange, &mut tick).await {
            ReadEnd::Bytes => {}
            ReadEnd::Tick => {
                if plan.left().is_zero() {
                    return AttemptEnd::Ended(AttemptFate::TimedOut);
                }
                let received = stream.scanner.count - before;
                let stalled = context.may_move && heard.elapsed() > stall;
                if stalled && sighting::is_lost(context, &mut watch, received).await {
                    return AttemptEnd::Ended(cut_fate(caller));
                }
            }
            ReadEnd::End if exchange.framer.ends_with_connection() => {
                return end_stream(context, exchange, caller, stream, &pending).await;
            }
            ReadEnd::End => return AttemptEnd::Ended(cut_fate(caller)),
        }
    }
}

enum ReadEnd {
    Bytes,
    Tick,
    End,
}

async fn read_more(exchange: &mut OpenExchange, tick: &mut Timer) -> ReadEnd {
    let reading = async {
        match exchange.channel.fill().await {
            Ok(count) if count > 0 => ReadEnd::Bytes,
            Ok(_) => ReadEnd::End,
            Err(_) => {
                // A reset is no end, even of an answer that ends with its connection.
                exchange.framer = BodyDecoder::Exact(u64::MAX);
                ReadEnd::End
            }
        }
    };
    let ticking = async {
        smol::stream::StreamExt::next(tick).await;
        ReadEnd::Tick
    };
    reading.or(ticking).await
}

fn cut_fate(caller: &CallerSide) -> AttemptFate {
    if caller.begun { AttemptFate::Broken } else { AttemptFate::Lost }
}

async fn pass_events(
    caller: &mut CallerSide,
    exchange: &OpenExchange,
    stream: &mut StreamState,
    events: &[u8],
) -> bool {
    stream.first_at.get_or_insert_with(Instant::now);
    let sent = if caller.begun {
        caller.send_events(events).await
    } else {
        caller.begin_stream(&exchange.head, events).await
    };
    sent.is_ok()
}

async fn end_stream(
    context: &AttemptContext<'_, '_>,
    exchange: OpenExchange,
    caller: &mut CallerSide,
    stream: &mut StreamState,
    rest: &[u8],
) -> AttemptEnd {
    stream.first_at.get_or_insert_with(Instant::now);
    if !caller.begun && caller.begin_stream(&exchange.head, &[]).await.is_err() {
        return AttemptEnd::CallerGone;
    }
    let sent = caller.end_stream(rest).await;
    exchange.keep_channel(context.gateway, &context.target.id);
    if sent.is_ok() { AttemptEnd::Whole } else { AttemptEnd::CallerGone }
}
