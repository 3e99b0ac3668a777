//! Runs one command at the agent's backend server and sends the response to the entry in frames.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http_types::{Headers, Method};
use serde::Deserialize;
use smol::future::FutureExt;
use toucanrail::codes::{ResultCode, RunState};
use toucanrail::codetable;
use toucanrail::frames;
use toucanrail::ids::Tokens;
use toucanrail::messages::{HeaderField, RunCommand, RunFrame, StoredResponse, UsageRule};
use toucanrail::meters::RunMeter;
use toucanrail_wire::clients::{OutboundRequest, RequestError};
use toucanrail_wire::pipes::PipeWriter;

use crate::agents::Agent;

/// Interval between keep-alive frames to the entry.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time without data from the backend server after which it is asked, on a new connection, whether
/// it is still processing the request.
const SILENCE_THRESHOLD: Duration = Duration::from_millis(1_500);
/// Timeout of a query for the status of a request.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of cancel calls to learn the usage of a request.
const MAX_CANCEL_ATTEMPTS: u32 = 8;
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(100);
/// HTTP status with which a model engine reports that it does not know a request.
const UNKNOWN_REQUEST_STATUS: u16 = 404;
/// Header fields that apply to a single connection or are generated anew on the next one.
const HOP_BY_HOP_FIELDS: [&str; 13] = [
    "connection",
    "content-length",
    "date",
    "engine-request-id",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "trailer",
    "upgrade",
];

/// Status of a request at a model engine.
#[derive(Debug, Clone, Copy, Deserialize)]
struct EngineStatus {
    active: bool,
    used: Tokens,
    generated: Tokens,
}

/// Reply of a model engine to a status query or a cancel call.
#[derive(Debug, Clone, Copy)]
enum StatusReply {
    Known(EngineStatus),
    Unknown,
    NoReply,
}

/// Event from the task that reads the backend server's response.
#[derive(Debug)]
enum ReadEvent {
    NotSent(io::Error),
    Broken(io::Error),
    Head { status: u16, fields: Vec<HeaderField>, foreign: bool },
    Bytes(Vec<u8>),
    End,
}

/// Event in the processing of a run.
#[derive(Debug)]
enum RunEvent {
    Read(ReadEvent),
    Tick,
    EntryGone,
}

/// One attempt in progress.
struct RunTask {
    agent: Arc<Agent>,
    command: RunCommand,
    writer: PipeWriter,
    meter: RunMeter,
    head: Option<(u16, Vec<HeaderField>)>,
    offset: u64,
    heard_at: Instant,
    deadline: Instant,
    orphaned: bool,
}

/// Returns the header fields of a message that are forwarded, with all their values: neither
/// hop-by-hop fields nor those that `Connection` names.
pub fn end_to_end_fields(headers: &Headers) -> Vec<HeaderField> {
    let stated = headers.get("connection").into_iter().flatten();
    let options: Vec<&str> =
        stated.flat_map(|value| value.as_str().split(',')).map(str::trim).collect();
    let is_forwarded = |name: &str| {
        !HOP_BY_HOP_FIELDS.contains(&name)
            && !options.iter().any(|option| option.eq_ignore_ascii_case(name))
    };
    let fields = headers.iter().filter(|(name, _)| is_forwarded(name.as_str()));
    let fields = fields.flat_map(|(name, values)| {
        let name: Arc<str> = Arc::from(name.as_str());
        values.iter().map(move |value| HeaderField {
            name: Arc::clone(&name),
            value: Arc::from(value.as_str()),
        })
    });
    fields.collect()
}

/// Runs an admitted command and records its result in the ledger, even if the entry disconnects in
/// the meantime.
pub async fn run_command(agent: Arc<Agent>, command: RunCommand, writer: PipeWriter) {
    let (sender, events) = async_channel::bounded(16);
    let reading = smol::spawn(read_response(Arc::clone(&agent), command.clone(), sender));
    let mut task = RunTask {
        meter: RunMeter::new(command.usage, command.streamed, command.resume_from),
        deadline: Instant::now() + Duration::from_millis(command.time_left),
        agent,
        command,
        writer,
        head: None,
        offset: 0,
        heard_at: Instant::now(),
        orphaned: false,
    };
    loop {
        let event = next_event(&events, &task.writer, task.orphaned).await;
        if !task.handle_event(event).await {
            break;
        }
    }
    task.writer.finish().await;
    // Cancelling the reader closes its connection unless the response was complete, so that an
    // unfinished exchange is not reused.
    reading.cancel().await;
}

async fn next_event(
    events: &async_channel::Receiver<ReadEvent>,
    writer: &PipeWriter,
    orphaned: bool,
) -> RunEvent {
    let read = async {
        let broken = || ReadEvent::Broken(io::ErrorKind::BrokenPipe.into());
        RunEvent::Read(events.recv().await.unwrap_or_else(|_| broken()))
    };
    let gone = async {
        if orphaned {
            std::future::pending::<()>().await;
        }
        writer.wait_closed().await;
        RunEvent::EntryGone
    };
    let tick = async {
        smol::Timer::after(HEARTBEAT_INTERVAL).await;
        RunEvent::Tick
    };
    read.or(gone).or(tick).await
}

async fn read_response(
    agent: Arc<Agent>,
    command: RunCommand,
    events: async_channel::Sender<ReadEvent>,
) {
    let timeout = Duration::from_millis(command.time_left);
    let call = backend_request(&command);
    let mut response = match agent.pool.open(agent.settings.backend, call, timeout).await {
        Ok(response) => response,
        Err(RequestError::NotSent(error)) => {
            events.send(ReadEvent::NotSent(error)).await.ok();
            return;
        }
        Err(RequestError::MaybeSent(error)) => {
            events.send(ReadEvent::Broken(error)).await.ok();
            return;
        }
    };
    let response_id =
        response.response.header("engine-request-id").map(|values| values.last().as_str());
    let foreign = response_id.is_some_and(|id| id != &*command.run);
    let head = ReadEvent::Head {
        status: response.status(),
        fields: end_to_end_fields(response.response.as_ref()),
        foreign,
    };
    if events.send(head).await.is_err() || foreign {
        return;
    }
    loop {
        let event = match response.read_chunk(timeout).await {
            Ok(bytes) if bytes.is_empty() => ReadEvent::End,
            Ok(bytes) => ReadEvent::Bytes(bytes),
            Err(error) => ReadEvent::Broken(error),
        };
        let last = !matches!(event, ReadEvent::Bytes(_));
        if matches!(event, ReadEvent::End) {
            response.release();
            events.send(event).await.ok();
            return;
        }
        if events.send(event).await.is_err() || last {
            return;
        }
    }
}

fn backend_request(command: &RunCommand) -> OutboundRequest {
    let method = command.method.parse().unwrap_or(Method::Post);
    let mut call = OutboundRequest::new(method, &*command.path);
    for field in &command.fields {
        call = call.field(&field.name, &*field.value);
    }
    if matches!(command.usage, UsageRule::Reported { .. }) {
        call = call
            .field("engine-request-id", &*command.run)
            .field("engine-account", &*command.customer)
            .field("engine-priority", command.priority.to_string())
            .field("engine-resume-from", command.resume_from.to_string());
    }
    call.body.clone_from(&command.body);
    // If a pooled connection breaks during a call, its outcome is unknown. That risk is not worth
    // the saved handshake for a non-repeatable request.
    if command.repeatable { call } else { call.on_new_connection() }
}

impl RunTask {
    /// Handles an event; `false` once the attempt has ended.
    async fn handle_event(&mut self, event: RunEvent) -> bool {
        match event {
            RunEvent::Read(event) => {
                self.heard_at = Instant::now();
                self.handle_read(event).await
            }
            RunEvent::Tick => self.handle_tick().await,
            // A non-repeatable request runs to its end, as a retry has to get its response.
            RunEvent::EntryGone if !self.command.repeatable => {
                self.orphaned = true;
                true
            }
            RunEvent::EntryGone => self.fail(codetable::CANCELLED, RunState::Ran).await,
        }
    }

    async fn handle_read(&mut self, event: ReadEvent) -> bool {
        match event {
            ReadEvent::NotSent(error) => {
                tracing::debug!(%error, "could not reach the backend server");
                self.withdraw().await
            }
            ReadEvent::Broken(error) => {
                tracing::debug!(%error, "response truncated");
                let code = match self.head {
                    Some(_) => codetable::ANSWER_CUT,
                    None => codetable::BACKEND_FAILED,
                };
                self.fail(code, RunState::Unknown).await
            }
            ReadEvent::Head { foreign: true, .. } => {
                self.fail(codetable::FOREIGN_ANSWER, RunState::Unknown).await
            }
            ReadEvent::Head { status, fields, .. } => {
                self.meter.set_status(status);
                self.head = Some((status, fields.clone()));
                let request = Arc::clone(&self.command.request);
                self.send(&RunFrame::Head { request, status, fields }).await;
                true
            }
            ReadEvent::Bytes(bytes) => self.forward_bytes(&bytes).await,
            ReadEvent::End if self.meter.is_complete() => self.complete().await,
            ReadEvent::End => self.fail(codetable::ANSWER_CUT, RunState::Ran).await,
        }
    }

    async fn forward_bytes(&mut self, bytes: &[u8]) -> bool {
        let bytes = self.meter.process_bytes(bytes);
        // The agent enforces the hold even if the engine does not.
        if self.meter.min_used() > self.command.hold {
            return self.fail(codetable::ANSWER_CUT, RunState::Ran).await;
        }
        if bytes.is_empty() {
            return true;
        }
        let offset = self.offset;
        self.offset += bytes.len() as u64;
        let request = Arc::clone(&self.command.request);
        let tokens = self.meter.tokens;
        self.send(&RunFrame::Data { request, offset, tokens, bytes }).await;
        true
    }

    /// Sends a keep-alive frame to the entry, and checks on a backend server that has stopped
    /// sending.
    async fn handle_tick(&mut self) -> bool {
        let request = Arc::clone(&self.command.request);
        self.send(&RunFrame::Alive { request }).await;
        if Instant::now() >= self.deadline {
            return self.fail(codetable::DEADLINE_PASSED, RunState::Ran).await;
        }
        let is_engine = matches!(self.command.usage, UsageRule::Reported { .. });
        if !is_engine || self.heard_at.elapsed() < SILENCE_THRESHOLD {
            return true;
        }
        self.heard_at = Instant::now();
        // The connection may be lost without either end noticing. The engine then reports that it
        // has generated more tokens than were received here, or that the request has ended.
        let active = match self.query_engine("usage").await {
            StatusReply::Known(status) => status.active && !self.is_behind(status),
            StatusReply::Unknown => self.head.is_none(),
            StatusReply::NoReply => self.agent.is_backend_healthy(),
        };
        if active {
            return true;
        }
        self.fail(codetable::SILENT_CONNECTION, RunState::Unknown).await
    }

    fn is_behind(&self, status: EngineStatus) -> bool {
        self.command.streamed && status.generated > self.meter.generated()
    }

    async fn query_engine(&self, question: &str) -> StatusReply {
        let path = format!("/engine/{question}/{}", self.command.run);
        let call = OutboundRequest::get(path).on_new_connection();
        let response =
            self.agent.pool.fetch(self.agent.settings.backend, call, STATUS_TIMEOUT).await;
        match response {
            Ok(response) if response.status == UNKNOWN_REQUEST_STATUS => StatusReply::Unknown,
            Ok(response) => serde_json::from_slice(&response.body)
                .map_or(StatusReply::NoReply, StatusReply::Known),
            Err(_) => StatusReply::NoReply,
        }
    }

    async fn withdraw(&self) -> bool {
        self.agent.lock_ledger().withdraw(&self.command.run);
        let request = Arc::clone(&self.command.request);
        let code = codetable::NO_BACKEND_SERVER;
        self.send(&RunFrame::Refused { request, code, retry_after: 1_000 }).await;
        false
    }

    async fn complete(&mut self) -> bool {
        let (used, unproved) = match self.meter.used() {
            Some(used) => (used, 0),
            None => self.settle_usage().await,
        };
        self.record_end(true, used, unproved);
        let request = Arc::clone(&self.command.request);
        self.send(&RunFrame::End { request, bytes: self.offset, used: used + unproved }).await;
        false
    }

    async fn fail(&mut self, code: ResultCode, run: RunState) -> bool {
        let (used, unproved) = self.settle_usage().await;
        self.record_end(false, used, unproved);
        self.agent.metrics.count_event("runs_failed");
        let request = Arc::clone(&self.command.request);
        self.send(&RunFrame::Failed { request, code, run, used, unproved }).await;
        false
    }

    /// Cancels the request and returns its usage as proved and unproved tokens; the entire rest of
    /// the hold is unproved if the engine does not report the usage.
    ///
    /// Guards against a cancel call that overtakes its request on another connection: an engine
    /// that does not know the request yet may still run it, so the call is repeated until the
    /// engine knows it.
    async fn settle_usage(&self) -> (Tokens, Tokens) {
        let min_used = self.meter.min_used().min(self.command.hold);
        if matches!(self.command.usage, UsageRule::Fixed(_)) {
            return (min_used, 0);
        }
        for attempt in 0..MAX_CANCEL_ATTEMPTS {
            match self.query_engine("cancel").await {
                StatusReply::Known(status) => {
                    return (status.used.max(min_used).min(self.command.hold), 0);
                }
                StatusReply::Unknown => smol::Timer::after(CANCEL_RETRY_DELAY).await,
                StatusReply::NoReply => smol::Timer::after(HEARTBEAT_INTERVAL * attempt).await,
            };
        }
        (min_used, self.command.hold - min_used)
    }

    fn record_end(&mut self, complete: bool, used: Tokens, unproved: Tokens) {
        let empty = RunMeter::new(self.command.usage, false, 0);
        let meter = std::mem::replace(&mut self.meter, empty);
        let body = meter.into_body().filter(|_| complete && !self.command.repeatable);
        let response = body.zip(self.head.clone()).map(|(body, (status, fields))| StoredResponse {
            status,
            fields,
            body,
        });
        let mut ledger = self.agent.lock_ledger();
        ledger.finish(&self.command.run, complete, used, unproved, response);
    }

    fn send(&self, frame: &RunFrame) -> impl Future<Output = bool> + Send + '_ {
        let bytes = frames::encode_frame(frame);
        self.writer.send(bytes)
    }
}

impl Drop for RunTask {
    fn drop(&mut self) {
        self.agent.metrics.in_flight.dec();
    }
}
