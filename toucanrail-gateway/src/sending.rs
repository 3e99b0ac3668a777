//! One attempt at one backend server: connects, sends the request and reads the response head.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use smol::future::FutureExt;
use toucanrail::admissions::PendingRow;
use toucanrail::attempts::AttemptOutcome;
use toucanrail::backends::{BackendEntry, FlightRow};
use toucanrail::framing::BodyDecoder;
use toucanrail::link_shares;
use toucanrail::matching::RouteKind;
use toucanrail_platform::requests::{self, ForwardInfo};
use toucanrail_wire::connections::BufferedConnection;
use toucanrail_wire::heads::ResponseHead;
use toucanrail_wire::time_limits;

use crate::buffers::BodyHold;
use crate::forwarding;
use crate::liveness;
use crate::request_context::{
    AttemptContext, AttemptResult, OpenExchange, RequestPlan, StreamState,
};
use crate::responding::{self, ResponseWriter};
use crate::state::{FlightGuard, Gateway};

/// Maximum time to connect. A live server accepts within a few milliseconds; one with a full
/// backlog drops the first packet and would accept only seconds later.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum idle time of a pooled connection used for a request that must not be sent twice. The
/// shorter it is, the less likely the server closes the connection at that very moment.
const ONCE_MAX_IDLE: Duration = Duration::from_millis(800);
const REPEATABLE_MAX_IDLE: Duration = Duration::from_secs(10);
/// Status of a response by another server than the one that the request was sent to.
const OTHER_SERVER_STATUS: u16 = 421;
/// Maximum size of a response head, together with those of interim responses before it.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Number of responses to other requests that are skipped on one connection before it is given up.
const MAX_FOREIGN_RESPONSES: u32 = 2;
/// Maximum size of a skipped body: that of a body that is buffered.
const MAX_SKIPPED_BODY: usize = forwarding::MAX_BUFFERED_BODY;
/// The server of a repeatable request is checked after this multiple of the route's latency target.
const SILENCE_TIMEOUT_FACTOR: u32 = 2;
/// Lower bound of that time, so that a stalled network does not double the load.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(300);

/// Sends the request to one server and forwards its response.
pub async fn run_attempt(
    context: &AttemptContext<'_, '_>,
    writer: &mut ResponseWriter,
    stream: &mut StreamState,
) -> AttemptResult {
    let AttemptContext { gateway, plan, target, .. } = *context;
    stream.begin_attempt();
    let flight = register_flight(gateway, plan, target);
    let result = run_exchange(context, writer, stream, &flight).await;
    if matches!(result, AttemptResult::Incomplete(AttemptOutcome::Malformed)) {
        flight.record_malformed();
    }
    result
}

async fn run_exchange(
    context: &AttemptContext<'_, '_>,
    writer: &mut ResponseWriter,
    stream: &mut StreamState,
    flight: &FlightGuard,
) -> AttemptResult {
    let plan = context.plan;
    let opened = open_exchange(context, stream.last_event()).await;
    let exchange = match opened {
        Ok(exchange) => exchange,
        Err(outcome) => return AttemptResult::Incomplete(outcome),
    };
    stream.framing = Some(exchange.head.length);
    let info = requests::parse_response(&exchange.head, &plan.info.id);
    if exchange.head.status != OTHER_SERVER_STATUS {
        flight.record_statements(&info);
    }
    if info.declined {
        return finish_declined(context, exchange, info.rest).await;
    }
    let succeeded = (200..300).contains(&exchange.head.status);
    if succeeded && !info.signed {
        // The response is not signed, so it was not made by a backend server.
        return AttemptResult::Incomplete(AttemptOutcome::Lost);
    }
    let format = forwarding::body_format(&exchange.head);
    if !stream.accepts(&format) {
        // The connection is closed, because the rest of this response is not read.
        tracing::info!(
            event = "continuation_refused", request = %plan.info.id, server = %context.target.id,
            begun = ?stream.format, ?format, last_event = stream.last_event(),
        );
        context.gateway.metrics.count_event("continuations_refused");
        return AttemptResult::Incomplete(AttemptOutcome::Failed);
    }
    if succeeded && plan.route.kind.is_stream() {
        return forwarding::forward_stream(context, exchange, writer, stream, flight).await;
    }
    flight.record_response_start();
    forwarding::forward_buffered(context, exchange, writer, stream, flight).await
}

fn register_flight(
    gateway: &Rc<Gateway>,
    plan: &RequestPlan<'_>,
    target: &BackendEntry,
) -> FlightGuard {
    let mut tables = gateway.tables.borrow_mut();
    let prompt = plan.info.prompt.as_ref();
    let parts = prompt.map_or(&[][..], |prompt| &prompt.parts);
    let uncached = prompt.map_or(0, |prompt| {
        let row = tables.backends.get(&target.id);
        row.map_or(prompt.prompt_tokens, |row| row.uncached_tokens(parts, prompt.prompt_tokens))
    });
    if tables.backends.get(&target.id).is_some_and(|row| row.statements.rate_limit.is_some()) {
        gateway.metrics.count_event("limited_sends");
    }
    let sent_at = gateway.now();
    let row = FlightRow { sent_at, uncached, begun: false };
    let number = tables.backends.record_sent(&target.id, row, parts);
    let row = PendingRow { sent_at, latency_target: plan.route.latency_target };
    tables.limits.entry(Arc::clone(&target.service)).or_default().record_sent(number, row);
    drop(tables);
    FlightGuard::new(gateway, target, number, sent_at)
}

/// Completes, with a `TimedOut` error, once an unresponsive server should be given up for another
/// one.
async fn wait_until_unresponsive<Value>(context: &AttemptContext<'_, '_>) -> io::Result<Value> {
    if !context.may_fail_over {
        std::future::pending::<()>().await;
    }
    let timeout =
        (context.plan.route.latency_target * SILENCE_TIMEOUT_FACTOR).max(MIN_SILENCE_TIMEOUT);
    liveness::wait_until_lost(context, timeout).await;
    Err(io::ErrorKind::TimedOut.into())
}

async fn open_exchange(
    context: &AttemptContext<'_, '_>,
    last_event: Option<u64>,
) -> Result<OpenExchange, AttemptOutcome> {
    let AttemptContext { plan, target, .. } = *context;
    let mut connection = open_connection(context).await?;
    let has_no_body = plan.body.is_empty() && plan.head.fields.get("content-length").is_none();
    let info = ForwardInfo {
        backend: &target.id,
        customer: plan.customer.as_ref().map(|customer| &customer.name),
        time_left: plan.time_left(),
        urgency: plan.urgency,
        fetch_source: context.source,
        last_event,
        body_length: (!has_no_body).then_some(plan.body.len()),
    };
    if !context.permit.is_valid() {
        return Err(AttemptOutcome::Withheld);
    }
    if let Some(budget) = &plan.budget {
        // From here on the server may process the prompt, even if the caller disconnects.
        budget.set_may_have_run(true);
    }
    let mut bytes = requests::write_request_head(plan.head, &info);
    bytes.extend_from_slice(plan.body);
    let part_timeout = context.part_timeout();
    let exchange = exchange_heads(&mut connection, &bytes, &plan.info.id, part_timeout);
    let watched = exchange.or(wait_until_unresponsive(context));
    let (head, request_sent) =
        match time_limits::io_timeout(plan.time_left_to_first_byte(), watched).await {
            Ok(found) => found,
            Err(error) if error.kind() == io::ErrorKind::TimedOut => {
                let deadline_passed = plan.time_left_to_first_byte().is_zero();
                return Err(if deadline_passed {
                    AttemptOutcome::TimedOut
                } else {
                    AttemptOutcome::Lost
                });
            }
            Err(error) => {
                tracing::debug!(event = "exchange_broken", server = %target.id, %error);
                return Err(forwarding::failure_outcome(&error));
            }
        };
    let decoder = if plan.head.method() == responding::HEAD_METHOD {
        BodyDecoder::Exact(0)
    } else {
        BodyDecoder::for_response(head.length)
    };
    Ok(OpenExchange { connection, head, decoder, request_sent })
}

async fn open_connection(
    context: &AttemptContext<'_, '_>,
) -> Result<BufferedConnection, AttemptOutcome> {
    let AttemptContext { gateway, plan, target, .. } = *context;
    let idle = match plan.route.kind {
        RouteKind::Once | RouteKind::Stream { resumable: false } => ONCE_MAX_IDLE,
        RouteKind::Repeatable | RouteKind::Stream { resumable: true } => REPEATABLE_MAX_IDLE,
    };
    if let Some(connection) = gateway.connections.take(&target.id, idle) {
        return Ok(connection);
    }
    gateway.metrics.count_event("connections_opened");
    let timeout = link_shares::call_timeout(CONNECT_TIMEOUT, gateway.delaying_load());
    let timeout = timeout.min(plan.time_left());
    let opened =
        time_limits::io_timeout(timeout, BufferedConnection::connect(target.address)).await;
    opened.map_err(|error| {
        tracing::info!(
            event = "connect_failed", request = %plan.info.id, server = %target.id,
            address = %target.address, %error,
        );
        AttemptOutcome::NotSent
    })
}

/// Writes the request and reads the response head, which may arrive before the request is fully
/// written.
async fn exchange_heads(
    connection: &mut BufferedConnection,
    bytes: &[u8],
    id: &str,
    part_timeout: Duration,
) -> io::Result<(ResponseHead, bool)> {
    let writer = connection.writer();
    let mut request_sent = false;
    let writing = async {
        // A server that responds early may close its side before it has read the whole request; its
        // response can still be read.
        request_sent = writer.write_all(bytes).await.is_ok();
        std::future::pending().await
    };
    let head = read_matching_head(connection, id, part_timeout).or(writing).await?;
    Ok((head, request_sent))
}

/// Reads response heads until one belongs to this request.
///
/// A late response to an earlier request may arrive where this one's is expected. It carries the id
/// of another attempt and is skipped together with its body.
async fn read_matching_head(
    connection: &mut BufferedConnection,
    id: &str,
    part_timeout: Duration,
) -> io::Result<ResponseHead> {
    let (mut foreign, mut interim_bytes) = (0, 0);
    loop {
        if connection.buffer.is_empty() && connection.fill().await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let reading = connection.read_head(MAX_HEAD_BYTES - interim_bytes);
        let bytes = forwarding::complete_part(part_timeout, reading).await?;
        let bytes = bytes.ok_or(io::ErrorKind::UnexpectedEof)?;
        let head = ResponseHead::parse(&bytes).map_err(|_| io::ErrorKind::InvalidData)?;
        if (100..200).contains(&head.status) {
            interim_bytes += bytes.len();
            continue;
        }
        if requests::parse_response(&head, id).matches_attempt != Some(false) {
            return Ok(head);
        }
        foreign += 1;
        if foreign > MAX_FOREIGN_RESPONSES || head.close {
            return Err(io::ErrorKind::InvalidData.into());
        }
        forwarding::complete_part(part_timeout, skip_body(connection, &head)).await?;
    }
}

async fn skip_body(connection: &mut BufferedConnection, head: &ResponseHead) -> io::Result<()> {
    let mut skipped = 0;
    let mut decoder = BodyDecoder::for_response(head.length);
    let mut body = Vec::new();
    loop {
        let consumed = decoder.feed(&connection.buffer, &mut body);
        connection.buffer.drain(..consumed);
        body.clear();
        skipped += consumed;
        if decoder.is_done() {
            return Ok(());
        }
        if decoder.is_malformed() || skipped > MAX_SKIPPED_BODY || connection.fill().await? == 0 {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
}

/// Returns whether a body could not be read because it did not end in its bounds.
fn is_unending(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::InvalidData | io::ErrorKind::TimedOut)
}

/// Handles a server that declined to run the request. The connection can be reused once the body
/// has been read; one whose body does not end counts as a failure of the server.
async fn finish_declined(
    context: &AttemptContext<'_, '_>,
    mut exchange: OpenExchange,
    rest: Option<Duration>,
) -> AttemptResult {
    let AttemptContext { gateway, plan, target, .. } = *context;
    let status = exchange.head.status;
    if status == OTHER_SERVER_STATUS {
        gateway.tables.borrow_mut().backends.record_other_server(&target.id);
        gateway.connections.evict(&target.id);
    }
    tracing::info!(
        event = "declined", request = %plan.info.id, server = %target.id, status,
        rest_ms = rest.map(|rest| rest.as_millis() as u64),
    );
    let mut body = Vec::new();
    let mut hold = BodyHold::new(&gateway.memory);
    let timeout = CONNECT_TIMEOUT.min(plan.time_left());
    let reading = forwarding::read_body(&mut exchange, &mut body, &mut hold, timeout);
    let read = time_limits::io_timeout(timeout, reading).await;
    let is_delayed = link_shares::is_loaded(gateway.delaying_load());
    if read.as_ref().is_err_and(is_unending) && !is_delayed {
        gateway.tables.borrow_mut().backends.record_failure(&target.id, gateway.now());
    }
    if read.is_ok() && status != OTHER_SERVER_STATUS {
        exchange.release_connection(gateway, &target.id);
    }
    AttemptResult::Incomplete(AttemptOutcome::Declined)
}
