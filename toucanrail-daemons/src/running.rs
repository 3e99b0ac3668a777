//! Runs one order at the agent's backend server and frames its answer.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http_types::Method;
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

/// Time between two signs of life to the entry.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Silence of the backend server after which it is asked, on a fresh connection, whether it still
/// works on the request.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Longest wait for the backend server's word on a request.
const WORD_BOUND: Duration = Duration::from_secs(1);
/// Tries to learn what a cancelled request used.
const WORD_TRIES: u32 = 8;
const WORD_PAUSE: Duration = Duration::from_millis(100);
/// Status with which a model engine says that it does not know a request.
const UNKNOWN_STATUS: u16 = 404;
/// Fields that belong to one connection, or are made anew on the next.
const HOP_FIELDS: [&str; 9] = [
    "connection",
    "content-length",
    "date",
    "engine-request-id",
    "host",
    "keep-alive",
    "transfer-encoding",
    "trailer",
    "upgrade",
];

/// What the backend server says of one request.
#[derive(Debug, Clone, Copy, Deserialize)]
struct ServerWord {
    active: bool,
    used: Tokens,
    generated: Tokens,
}

/// Whether the backend server knows a request.
#[derive(Debug, Clone, Copy)]
enum ServerReply {
    Known(ServerWord),
    Unknown,
    Silent,
}

/// What the reading side saw.
#[derive(Debug)]
enum ReadEvent {
    NotSent(io::Error),
    Broken(io::Error),
    Head { status: u16, fields: Vec<HeaderField>, foreign: bool },
    Bytes(Vec<u8>),
    End,
}

/// What happened next.
#[derive(Debug)]
enum RunEvent {
    Read(ReadEvent),
    Tick,
    EntryGone,
}

/// One try under way.
struct RunTask {
    agent: Arc<Agent>,
    order: RunCommand,
    writer: PipeWriter,
    meter: RunMeter,
    head: Option<(u16, Vec<HeaderField>)>,
    offset: u64,
    heard_at: Instant,
    deadline: Instant,
    orphaned: bool,
}

/// Tells whether a field is passed on.
pub fn is_passed(name: &str) -> bool {
    !HOP_FIELDS.contains(&name)
}

/// Runs an admitted order to its end and notes it in the ledger; the entry may go away meanwhile.
pub async fn run_order(agent: Arc<Agent>, order: RunCommand, writer: PipeWriter) {
    let (sender, events) = async_channel::bounded(16);
    let reading = smol::spawn(read_answer(Arc::clone(&agent), order.clone(), sender));
    let mut task = RunTask {
        meter: RunMeter::new(order.usage, order.streamed, order.resume_from),
        deadline: Instant::now() + Duration::from_millis(order.time_left),
        agent,
        order,
        writer,
        head: None,
        offset: 0,
        heard_at: Instant::now(),
        orphaned: false,
    };
    loop {
        let event = next_event(&events, &task.writer, task.orphaned).await;
        if !task.take_event(event).await {
            break;
        }
    }
    task.writer.finish().await;
    // Dropping the reading side closes its connection, so that nothing of it is used again.
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
        smol::Timer::after(HEARTBEAT).await;
        RunEvent::Tick
    };
    read.or(gone).or(tick).await
}

async fn read_answer(
    agent: Arc<Agent>,
    order: RunCommand,
    events: async_channel::Sender<ReadEvent>,
) {
    let bound = Duration::from_millis(order.time_left);
    let call = backend_call(&order);
    let mut answer = match agent.pool.open(agent.settings.backend, call, bound).await {
        Ok(answer) => answer,
        Err(RequestError::NotSent(error)) => {
            events.send(ReadEvent::NotSent(error)).await.ok();
            return;
        }
        Err(RequestError::MaybeSent(error)) => {
            events.send(ReadEvent::Broken(error)).await.ok();
            return;
        }
    };
    let named = answer.response.header("engine-request-id").map(|values| values.last().as_str());
    let foreign = named.is_some_and(|id| id != &*order.run);
    let head = ReadEvent::Head {
        status: answer.status(),
        fields: passed_fields(&answer.response),
        foreign,
    };
    if events.send(head).await.is_err() || foreign {
        return;
    }
    loop {
        let event = match answer.read_chunk(bound).await {
            Ok(bytes) if bytes.is_empty() => ReadEvent::End,
            Ok(bytes) => ReadEvent::Bytes(bytes),
            Err(error) => ReadEvent::Broken(error),
        };
        let last = !matches!(event, ReadEvent::Bytes(_));
        if matches!(event, ReadEvent::End) {
            answer.release();
            events.send(event).await.ok();
            return;
        }
        if events.send(event).await.is_err() || last {
            return;
        }
    }
}

fn backend_call(order: &RunCommand) -> OutboundRequest {
    let method = order.method.parse().unwrap_or(Method::Post);
    let mut call = OutboundRequest::new(method, &*order.path);
    for field in &order.fields {
        call = call.field(&field.name, &*field.value);
    }
    if matches!(order.usage, UsageRule::Reported { .. }) {
        call = call
            .field("engine-request-id", &*order.run)
            .field("engine-account", &*order.customer)
            .field("engine-priority", order.priority.to_string())
            .field("engine-resume-from", order.resume_from.to_string());
    }
    call.body.clone_from(&order.body);
    // A kept connection that dies under a call leaves its end unknown; not worth it here.
    if order.repeatable { call } else { call.on_new_connection() }
}

fn passed_fields(response: &http_types::Response) -> Vec<HeaderField> {
    let fields = response.iter().filter(|(name, _)| is_passed(name.as_str()));
    let fields = fields.map(|(name, values)| HeaderField {
        name: Arc::from(name.as_str()),
        value: Arc::from(values.last().as_str()),
    });
    fields.collect()
}

impl RunTask {
    /// Takes an event; false once the try has ended.
    async fn take_event(&mut self, event: RunEvent) -> bool {
        match event {
            RunEvent::Read(event) => {
                self.heard_at = Instant::now();
                self.take_read(event).await
            }
            RunEvent::Tick => self.take_tick().await,
            // What may not be repeated goes on to its end: a retry must get its answer.
            RunEvent::EntryGone if !self.order.repeatable => {
                self.orphaned = true;
                true
            }
            RunEvent::EntryGone => self.fail(codetable::CANCELLED, RunState::Ran).await,
        }
    }

    async fn take_read(&mut self, event: ReadEvent) -> bool {
        match event {
            ReadEvent::NotSent(error) => {
                tracing::debug!(%error, "backend server not reached");
                self.withdraw().await
            }
            ReadEvent::Broken(error) => {
                tracing::debug!(%error, "answer cut");
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
                let request = Arc::clone(&self.order.request);
                self.send(&RunFrame::Head { request, status, fields }).await;
                true
            }
            ReadEvent::Bytes(bytes) => self.pass_bytes(&bytes).await,
            ReadEvent::End if self.meter.is_complete() => self.end().await,
            ReadEvent::End => self.fail(codetable::ANSWER_CUT, RunState::Ran).await,
        }
    }

    async fn pass_bytes(&mut self, bytes: &[u8]) -> bool {
        let bytes = self.meter.process_bytes(bytes);
        // The agent keeps to the hold even if the engine would not.
        if self.meter.min_used() > self.order.hold {
            return self.fail(codetable::ANSWER_CUT, RunState::Ran).await;
        }
        if bytes.is_empty() {
            return true;
        }
        let offset = self.offset;
        self.offset += bytes.len() as u64;
        let request = Arc::clone(&self.order.request);
        let tokens = self.meter.tokens;
        self.send(&RunFrame::Data { request, offset, tokens, bytes }).await;
        true
    }

    /// Tells the entry that this side lives, and looks after a backend server that fell silent.
    async fn take_tick(&mut self) -> bool {
        let request = Arc::clone(&self.order.request);
        self.send(&RunFrame::Alive { request }).await;
        if Instant::now() >= self.deadline {
            return self.fail(codetable::DEADLINE_PASSED, RunState::Ran).await;
        }
        let engine = matches!(self.order.usage, UsageRule::Reported { .. });
        if !engine || self.heard_at.elapsed() < SILENCE {
            return true;
        }
        self.heard_at = Instant::now();
        // The connection may be lost in between without either end knowing: the engine then says
        // that it has generated more than came here, or that it has ended.
        let works = match self.ask_server("usage").await {
            ServerReply::Known(word) => word.active && !self.is_behind(word),
            ServerReply::Unknown => self.head.is_none(),
            ServerReply::Silent => self.agent.is_backend_healthy(),
        };
        if works {
            return true;
        }
        self.fail(codetable::SILENT_CONNECTION, RunState::Unknown).await
    }

    fn is_behind(&self, word: ServerWord) -> bool {
        self.order.streamed && word.generated > self.meter.generated()
    }

    async fn ask_server(&self, question: &str) -> ServerReply {
        let path = format!("/engine/{question}/{}", self.order.run);
        let call = OutboundRequest::get(path).on_new_connection();
        let answer = self.agent.pool.fetch(self.agent.settings.backend, call, WORD_BOUND).await;
        match answer {
            Ok(answer) if answer.status == UNKNOWN_STATUS => ServerReply::Unknown,
            Ok(answer) => {
                serde_json::from_slice(&answer.body).map_or(ServerReply::Silent, ServerReply::Known)
            }
            Err(_) => ServerReply::Silent,
        }
    }

    async fn withdraw(&self) -> bool {
        self.agent.lock_ledger().withdraw(&self.order.run);
        let request = Arc::clone(&self.order.request);
        let code = codetable::NO_BACKEND_SERVER;
        self.send(&RunFrame::Refused { request, code, retry_after: 1_000 }).await;
        false
    }

    async fn end(&mut self) -> bool {
        let (used, unproved) = match self.meter.used() {
            Some(used) => (used, 0),
            None => self.settle_usage().await,
        };
        self.note_end(true, used, unproved);
        let request = Arc::clone(&self.order.request);
        self.send(&RunFrame::End { request, bytes: self.offset, used: used + unproved }).await;
        false
    }

    async fn fail(&mut self, code: ResultCode, run: RunState) -> bool {
        let (used, unproved) = self.settle_usage().await;
        self.note_end(false, used, unproved);
        self.agent.board.count_event("runs_failed");
        let request = Arc::clone(&self.order.request);
        self.send(&RunFrame::Failed { request, code, run, used, unproved }).await;
        false
    }

    /// Cancels the request and learns what it used; what cannot be learned stays unproved.
    ///
    /// Guards against a cancel that overtakes its request on another connection: an engine that
    /// does not know the request yet may still run it, so it is asked until it knows it.
    async fn settle_usage(&self) -> (Tokens, Tokens) {
        let least = self.meter.min_used().min(self.order.hold);
        if matches!(self.order.usage, UsageRule::Fixed(_)) {
            return (least, 0);
        }
        for attempt in 0..WORD_TRIES {
            match self.ask_server("cancel").await {
                ServerReply::Known(word) => {
                    return (word.used.max(least).min(self.order.hold), 0);
                }
                ServerReply::Unknown => smol::Timer::after(WORD_PAUSE).await,
                ServerReply::Silent => smol::Timer::after(HEARTBEAT * attempt).await,
            };
        }
        (least, self.order.hold - least)
    }

    fn note_end(&mut self, whole: bool, used: Tokens, unproved: Tokens) {
        let empty = RunMeter::new(self.order.usage, false, 0);
        let meter = std::mem::replace(&mut self.meter, empty);
        let kept = meter.into_body().filter(|_| whole && !self.order.repeatable);
        let answer = kept.zip(self.head.clone()).map(|(body, (status, fields))| StoredResponse {
            status,
            fields,
            body,
        });
        let mut ledger = self.agent.lock_ledger();
        ledger.finish(&self.order.run, whole, used, unproved, answer);
    }

    fn send(&self, frame: &RunFrame) -> impl Future<Output = bool> + Send + '_ {
        let bytes = frames::encode_frame(frame);
        self.writer.send(bytes)
    }
}

impl Drop for RunTask {
    fn drop(&mut self) {
        self.agent.board.in_flight.dec();
    }
}
