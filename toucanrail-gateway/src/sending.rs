//! One attempt at one backend server: a connection, the request, and the head of its answer.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use smol::future::FutureExt;
use toucanrail::admissions::WaitRow;
use toucanrail::attempting::AttemptFate;
use toucanrail::backends::{BackendEntry, FlightRow};
use toucanrail::framing::BodyDecoder;
use toucanrail::matching::RouteKind;
use toucanrail_platform::requests::{self, OrderFacts};
use toucanrail_wire::channels::BufferedChannel;
use toucanrail_wire::clocks;
use toucanrail_wire::heads::AnswerHead;

use crate::answering::CallerSide;
use crate::calls::{AttemptContext, AttemptEnd, CallPlan, OpenExchange, StreamState};
use crate::relaying;
use crate::sighting;
use crate::states::{FlightGuard, Gateway};

/// Longest wait for a connection. A live server answers within some milliseconds, one that is full
/// drops the first packet and would be reached only seconds later.
const CONNECT_BOUND: Duration = Duration::from_millis(250);
/// Longest idle time of a connection used for what may not be sent again: the shorter, the less
/// likely that the server closes it just then.
const ONCE_IDLE: Duration = Duration::from_millis(800);
const REPEATABLE_IDLE: Duration = Duration::from_secs(10);
/// Largest head of an answer.
const HEAD_LIMIT: usize = 32 * 1024;
/// Answers to other requests that are passed over on one connection before it is given up.
const FOREIGN_LIMIT: u32 = 2;
/// Multiple of the hoped-for time after which the server of a repeatable request is looked at.
const SILENCE_FACTOR: u32 = 2;
/// Least such time; a stalled network must not double the load.
const SILENCE_LEAST: Duration = Duration::from_millis(300);

/// Sends the request to one server and passes its answer on.
pub async fn run_attempt(
    context: &AttemptContext<'_, '_>,
    caller: &mut CallerSide,
    stream: &mut StreamState,
) -> AttemptEnd {
    let AttemptContext { gateway, plan, target, .. } = *context;
    let flight = note_flight(gateway, plan, target);
    let opened = open_exchange(context, stream.last_event()).await;
    let exchange = match opened {
        Ok(exchange) => exchange,
        Err(fate) => return AttemptEnd::Ended(fate),
    };
    let facts = requests::read_answer(&exchange.head, &plan.facts.id);
    if facts.declined {
        return end_declined(context, exchange).await;
    }
    let done = (200..300).contains(&exchange.head.status);
    if done && !facts.signed {
        // No server made this answer.
        return AttemptEnd::Ended(AttemptFate::Lost);
    }
    if done && plan.route.kind.is_stream() {
        return relaying::relay_stream(context, exchange, caller, stream, &flight).await;
    }
    flight.note_begun();
    relaying::relay_whole(context, exchange, caller, stream).await
}

fn note_flight(gateway: &Rc<Gateway>, plan: &CallPlan<'_>, target: &BackendEntry) -> FlightGuard {
    let mut tables = gateway.tables.borrow_mut();
    let prompt = plan.facts.prompt.as_ref();
    let parts = prompt.map_or(&[][..], |prompt| &prompt.parts);
    let fresh = prompt.map_or(0, |prompt| {
        let row = tables.backends.get(&target.id);
        row.map_or(prompt.prompt, |row| row.fresh_tokens(parts, prompt.prompt))
    });
    let row = FlightRow { sent_at: gateway.now(), fresh, begun: false };
    let number = tables.backends.note_sent(&target.id, row, parts);
    let row = WaitRow { sent_at: row.sent_at, aim: plan.route.aim };
    tables.limits.entry(Arc::clone(&target.service)).or_default().note_sent(number, row);
    drop(tables);
    FlightGuard::new(gateway, target, number)
}

/// Ends with `TimedOut` once a silent server is to be given up for another one.
async fn watch_server<Value>(context: &AttemptContext<'_, '_>) -> io::Result<Value> {
    if !context.may_move {
        std::future::pending::<()>().await;
    }
    let patience = (context.plan.route.aim * SILENCE_FACTOR).max(SILENCE_LEAST);
    sighting::watch_silence(context, patience).await;
    Err(io::ErrorKind::TimedOut.into())
}

async fn open_exchange(
    context: &AttemptContext<'_, '_>,
    last_event: Option<u64>,
) -> Result<OpenExchange, AttemptFate> {
    let AttemptContext { plan, target, .. } = *context;
    let mut channel = open_channel(context).await?;
    let bodiless = plan.body.is_empty() && plan.head.fields.get("content-length").is_none();
    let order = OrderFacts {
        backend: &target.id,
        customer: plan.customer.as_ref().map(|customer| &customer.name),
        left: plan.left(),
        urgency: plan.urgency,
        source: context.source,
        last_event,
        body: (!bodiless).then_some(plan.body.len()),
    };
    if !context.permit.is_valid() {
        return Err(AttemptFate::Withheld);
    }
    if let Some(budget) = &plan.budget {
        // From here on the server may read the prompt, whether the caller stays or not.
        budget.note_sent(true);
    }
    let mut bytes = requests::write_order(plan.head, &order);
    bytes.extend_from_slice(plan.body);
    let exchange = exchange_heads(&mut channel, &bytes, &plan.facts.id);
    let watched = exchange.or(watch_server(context));
    let (head, sent_whole) = match clocks::within(plan.left_to_begin(), watched).await {
        Ok(found) => found,
        Err(error) if error.kind() == io::ErrorKind::TimedOut => {
            let over = plan.left_to_begin().is_zero();
            return Err(if over { AttemptFate::TimedOut } else { AttemptFate::Lost });
        }
        Err(error) => {
            tracing::debug!(event = "exchange_broken", server = %target.id, %error);
            return Err(AttemptFate::Lost);
        }
    };
    let framer = BodyDecoder::for_response(head.length);
    Ok(OpenExchange { channel, head, framer, sent_whole })
}

async fn open_channel(context: &AttemptContext<'_, '_>) -> Result<BufferedChannel, AttemptFate> {
    let AttemptContext { gateway, plan, target, .. } = *context;
    let idle = match plan.route.kind {
        RouteKind::Once | RouteKind::Stream { resumable: false } => ONCE_IDLE,
        RouteKind::Repeatable | RouteKind::Stream { resumable: true } => REPEATABLE_IDLE,
    };
    if let Some(channel) = gateway.channels.take(&target.id, idle) {
        return Ok(channel);
    }
    gateway.board.count_event("connections_opened");
    let bound = CONNECT_BOUND.min(plan.left());
    let opened = clocks::within(bound, BufferedChannel::connect(target.address)).await;
    opened.map_err(|error| {
        tracing::info!(
            event = "connect_failed", request = %plan.facts.id, server = %target.id,
            address = %target.address, %error,
        );
        AttemptFate::NotSent
    })
}

/// Writes the request and reads the head of its answer, which may come before all is written.
async fn exchange_heads(
    channel: &mut BufferedChannel,
    bytes: &[u8],
    id: &str,
) -> io::Result<(AnswerHead, bool)> {
    let writer = channel.writer();
    let mut sent_whole = false;
    let writing = async {
        // A server that answers early may close its side before it has read all: its answer is
        // still there to be read.
        sent_whole = writer.write_all(bytes).await.is_ok();
        std::future::pending().await
    };
    let head = read_own_head(channel, id).or(writing).await?;
    Ok((head, sent_whole))
}

/// Reads heads until one answers this request.
///
/// Guards against an answer to an earlier request that comes late, at the place of this one's: it
/// names another attempt and is passed over whole.
async fn read_own_head(channel: &mut BufferedChannel, id: &str) -> io::Result<AnswerHead> {
    let mut foreign = 0;
    loop {
        let bytes = channel.read_head(HEAD_LIMIT).await?;
        let bytes = bytes.ok_or(io::ErrorKind::UnexpectedEof)?;
        let head = AnswerHead::parse(&bytes).map_err(|_| io::ErrorKind::InvalidData)?;
        if (100..200).contains(&head.status) {
            continue;
        }
        if requests::read_answer(&head, id).own != Some(false) {
            return Ok(head);
        }
        foreign += 1;
        if foreign > FOREIGN_LIMIT || head.close {
            return Err(io::ErrorKind::InvalidData.into());
        }
        skip_body(channel, &head).await?;
    }
}

async fn skip_body(channel: &mut BufferedChannel, head: &AnswerHead) -> io::Result<()> {
    let mut framer = BodyDecoder::for_response(head.length);
    let mut body = Vec::new();
    loop {
        let taken = framer.feed(&channel.buffer, &mut body);
        channel.buffer.drain(..taken);
        body.clear();
        if framer.is_done() {
            return Ok(());
        }
        if framer.is_malformed() || channel.fill().await? == 0 {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
}

/// The server did not run the request. Its connection may be used again once the body has passed.
async fn end_declined(context: &AttemptContext<'_, '_>, mut exchange: OpenExchange) -> AttemptEnd {
    let AttemptContext { gateway, plan, target, .. } = *context;
    let status = exchange.head.status;
    if status == 421 {
        gateway.tables.borrow_mut().backends.note_leaving(&target.id);
        gateway.channels.forget(&target.id);
    }
    tracing::info!(
        event = "declined", request = %plan.facts.id, server = %target.id, status,
    );
    let mut body = Vec::new();
    let bound = CONNECT_BOUND.min(plan.left());
    let read = clocks::within(bound, relaying::read_rest(&mut exchange, &mut body)).await;
    if read.is_ok() && status != 421 {
        exchange.keep_channel(gateway, &target.id);
    }
    AttemptEnd::Ended(AttemptFate::Declined)
}
