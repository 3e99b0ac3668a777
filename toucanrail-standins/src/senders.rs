//! Sends a load, checks each response against the expected one, and injects faults.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal};
use serde_json::Value;
use toucanrail_wire::clients::{ClientLimits, ConnectionPool, OutboundRequest};
use toucanrail_wire::responses;

use crate::loads::{FaultAction, LoadFault, LoadPlan, LoadRequest, RequestKind};

const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes that the entry adds to the body of a completion request. With [`TEMPLATE_TOKENS`], this
/// gives the maximum tokens held for a request.
const ENTRY_ADDED_BYTES: u64 = 40;
/// Tokens that the entry allows for the chat template.
const TEMPLATE_TOKENS: u64 = 8;
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Outcome of one attempt as seen by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerOutcome {
    /// The complete and correct response was received.
    Correct,
    /// A response ended normally but is not the expected one.
    Incorrect,
    /// A response with status 200 ended prematurely, which the caller could detect.
    Truncated,
    /// The request was refused.
    Refused {
        /// Result code.
        code: u16,
        /// What the response says about execution, such as `not-run`.
        run: String,
        /// Whether the response has a `Retry-After` header.
        has_retry_after: bool,
    },
    /// No response was received, or an error response was truncated.
    NoResponse,
}

/// One attempt of a request, as seen by the caller.
#[derive(Debug, Clone)]
pub struct CallerAttempt {
    /// Index of the request in the load.
    pub number: usize,
    /// Index of its customer in the plan.
    pub customer: usize,
    /// Idempotency key.
    pub key: Option<String>,
    /// Request id assigned by the entry.
    pub request: Option<String>,
    /// Outcome of the attempt.
    pub outcome: CallerOutcome,
    /// Send time, relative to the start of the load.
    pub sent: Duration,
    /// Time from sending to the first byte of the body.
    pub first_byte: Option<Duration>,
    /// Times between consecutive chunks of the body.
    pub chunk_gaps: Vec<Duration>,
    /// Time from sending to the end of the attempt.
    pub duration: Duration,
    /// Maximum tokens that the request could have used.
    pub max_tokens: u64,
    /// Response body of a plain service request.
    pub body: Option<String>,
}

/// Sends all requests at their scheduled times and returns the attempts as seen by the callers.
pub async fn send_load(plan: Arc<LoadPlan>, requests: Vec<LoadRequest>) -> Vec<CallerAttempt> {
    let pool = ConnectionPool::new(ClientLimits { max_idle: 512, ..ClientLimits::default() });
    let start = Instant::now();
    let mut tasks = Vec::new();
    for request in requests {
        let due = request.at.saturating_sub(start.elapsed());
        if !due.is_zero() {
            smol::Timer::after(due).await;
        }
        let (plan, pool) = (Arc::clone(&plan), pool.clone());
        tasks.push(smol::spawn(send_request(plan, pool, request, start)));
    }
    let mut attempts = Vec::new();
    for task in tasks {
        attempts.extend(task.await);
    }
    attempts
}

async fn send_request(
    plan: Arc<LoadPlan>,
    pool: ConnectionPool,
    request: LoadRequest,
    start: Instant,
) -> Vec<CallerAttempt> {
    let mut attempts = Vec::new();
    for retry in 0..=plan.retries {
        let entry = plan.entries[(request.number + retry as usize) % plan.entries.len()];
        let attempt = send_attempt(&plan, &pool, &request, entry, start).await;
        let should_retry = match &attempt.outcome {
            CallerOutcome::Correct | CallerOutcome::Incorrect => false,
            CallerOutcome::Truncated | CallerOutcome::NoResponse => true,
            CallerOutcome::Refused { code, .. } => !matches!(code, 2000..=2202 | 3001),
        };
        attempts.push(attempt);
        if !should_retry {
            break;
        }
        smol::Timer::after(RETRY_DELAY * (retry + 1)).await;
    }
    attempts
}

async fn send_attempt(
    plan: &LoadPlan,
    pool: &ConnectionPool,
    request: &LoadRequest,
    entry: std::net::SocketAddr,
    start: Instant,
) -> CallerAttempt {
    let customer = &plan.customers[request.customer];
    let body = request.kind.body(plan).to_string();
    let max_tokens =
        (body.len() as u64 + ENTRY_ADDED_BYTES) / 4 + TEMPLATE_TOKENS + plan.max_output;
    let path = match request.kind {
        RequestKind::Plain => plan.route.as_str(),
        RequestKind::Completion { .. } => "/v1/chat/completions",
    };
    let mut outbound = OutboundRequest::post(path, body.into_bytes())
        .field("content-type", "application/json")
        .field("authorization", format!("Bearer {}", customer.key));
    if let Some(key) = &request.key {
        outbound = outbound.field("idempotency-key", key.as_str());
    }
    let mut attempt = CallerAttempt {
        number: request.number,
        customer: request.customer,
        key: request.key.clone(),
        request: None,
        outcome: CallerOutcome::NoResponse,
        sent: start.elapsed(),
        first_byte: None,
        chunk_gaps: Vec::new(),
        duration: Duration::ZERO,
        max_tokens,
        body: None,
    };
    let sent_at = Instant::now();
    read_response(plan, pool, request, entry, outbound, &mut attempt, sent_at).await;
    attempt.duration = sent_at.elapsed();
    attempt
}

async fn read_response(
    plan: &LoadPlan,
    pool: &ConnectionPool,
    request: &LoadRequest,
    entry: std::net::SocketAddr,
    outbound: OutboundRequest,
    attempt: &mut CallerAttempt,
    sent_at: Instant,
) {
    let Ok(mut response) = pool.open(entry, outbound, plan.idle_timeout).await else {
        return;
    };
    let field = |name: &str| {
        let values = response.response.header(name)?;
        Some(values.last().as_str().to_owned())
    };
    attempt.request = field(responses::REQUEST_HEADER);
    let code = field(responses::RESULT_HEADER).and_then(|text| text.parse().ok()).unwrap_or(0);
    let run = field(responses::RUN_HEADER).unwrap_or_default();
    let has_retry_after = field("retry-after").is_some();
    let status = response.status();
    let mut body = Vec::new();
    let mut last_chunk = sent_at;
    loop {
        match response.read_chunk(plan.idle_timeout).await {
            Ok(chunk) if chunk.is_empty() => break,
            Ok(chunk) => {
                record_chunk_time(attempt, sent_at, &mut last_chunk);
                body.extend_from_slice(&chunk);
            }
            Err(_) => {
                attempt.outcome = if status == 200 {
                    CallerOutcome::Truncated
                } else {
                    CallerOutcome::NoResponse
                };
                return;
            }
        }
    }
    response.release();
    attempt.outcome = if status == 200 {
        check_response(request, &body, attempt)
    } else {
        CallerOutcome::Refused { code, run, has_retry_after }
    };
}

fn record_chunk_time(attempt: &mut CallerAttempt, sent_at: Instant, last_chunk: &mut Instant) {
    let now = Instant::now();
    if attempt.first_byte.is_none() {
        attempt.first_byte = Some(now - sent_at);
    } else {
        attempt.chunk_gaps.push(now - *last_chunk);
    }
    *last_chunk = now;
}

fn check_response(
    request: &LoadRequest,
    body: &[u8],
    attempt: &mut CallerAttempt,
) -> CallerOutcome {
    let text = String::from_utf8_lossy(body);
    let Some(expected) = request.kind.expected_text() else {
        let has_key = request.key.as_ref().is_some_and(|key| text.contains(key.as_str()));
        attempt.body = Some(text.into_owned());
        return if has_key { CallerOutcome::Correct } else { CallerOutcome::Incorrect };
    };
    let is_complete = text.ends_with("data: [DONE]\n\n");
    if is_complete && stream_text(&text) == expected {
        CallerOutcome::Correct
    } else {
        CallerOutcome::Incorrect
    }
}

/// Concatenates the contents of the events of a stream.
fn stream_text(text: &str) -> String {
    let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let bodies = events.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    let contents = bodies
        .filter_map(|body| body["choices"][0]["delta"]["content"].as_str().map(str::to_owned));
    contents.collect()
}

/// Injects the faults at their scheduled times.
pub async fn inject_faults(faults: Vec<LoadFault>) {
    let pool = ConnectionPool::new(ClientLimits::default());
    let start = Instant::now();
    for fault in faults {
        smol::Timer::after(fault.at.saturating_sub(start.elapsed())).await;
        match fault.action {
            FaultAction::Control { address, path, body } => {
                let outbound = OutboundRequest::post(path, body.into_bytes());
                if pool.fetch(address, outbound, CONTROL_TIMEOUT).await.is_err() {
                    eprintln!("failed to inject a fault at {address}");
                }
            }
            FaultAction::Signal { name, pid } => send_signal(&name, pid),
        }
    }
}

fn send_signal(name: &str, pid: i32) {
    let signal = match name {
        "kill" => Signal::KILL,
        "term" => Signal::TERM,
        "stop" => Signal::STOP,
        _ => Signal::CONT,
    };
    let sent = Pid::from_raw(pid).map(|pid| rustix::process::kill_process(pid, signal));
    if !matches!(sent, Some(Ok(()))) {
        eprintln!("failed to send signal {name} to process {pid}");
    }
}
