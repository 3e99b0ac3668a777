//! Sends a load, checks each answer against the one known to be right, and injects faults.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal};
use serde_json::Value;
use toucanrail_wire::clients::{ClientLimits, ConnectionPool, OutboundRequest};
use toucanrail_wire::responses;

use crate::loads::{FaultAction, LoadAsk, LoadFault, LoadPlan, LoadRequest};

const CONTROL_BOUND: Duration = Duration::from_secs(2);
/// Bytes that the entry adds to a completion, and tokens it allows for the chat template: what
/// a request holds at most.
const ADDED_BYTES: u64 = 40;
const TEMPLATE_TOKENS: u64 = 8;
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// How one try of a caller ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TryEnd {
    /// The whole right answer came.
    Right,
    /// A whole answer came that is not the right one.
    Foreign,
    /// The answer was cut, visibly.
    Cut,
    /// It was refused.
    Refused {
        /// The result code.
        code: u16,
        /// What it says about the run.
        run: String,
        /// Whether it says when to come back.
        comes_back: bool,
    },
    /// No answer came.
    Lost,
}

/// One try of a caller, as it saw it.
#[derive(Debug, Clone)]
pub struct TryReport {
    /// The request's place in the load.
    pub number: usize,
    /// Its customer's place.
    pub customer: usize,
    /// Its key.
    pub key: Option<String>,
    /// The id that the entry gave it.
    pub request: Option<String>,
    /// How it ended.
    pub end: TryEnd,
    /// When it was sent.
    pub sent: Duration,
    /// Time to the first byte.
    pub first: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
    /// Time to the end.
    pub total: Duration,
    /// The most that it could have used.
    pub worst: u64,
    /// The answer's body, for a keyed call of the plain service.
    pub body: Option<String>,
}

/// Sends all requests at their times and returns what callers saw.
pub async fn send_load(plan: Arc<LoadPlan>, requests: Vec<LoadRequest>) -> Vec<TryReport> {
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
    let mut reports = Vec::new();
    for task in tasks {
        reports.extend(task.await);
    }
    reports
}

async fn send_request(
    plan: Arc<LoadPlan>,
    pool: ConnectionPool,
    request: LoadRequest,
    start: Instant,
) -> Vec<TryReport> {
    let mut reports = Vec::new();
    for attempt in 0..=plan.retries {
        let entry = plan.entries[(request.number + attempt as usize) % plan.entries.len()];
        let report = send_try(&plan, &pool, &request, entry, start).await;
        let again = match &report.end {
            TryEnd::Right | TryEnd::Foreign => false,
            TryEnd::Cut | TryEnd::Lost => true,
            TryEnd::Refused { code, .. } => !matches!(code, 2000..=2202 | 3001),
        };
        reports.push(report);
        if !again {
            break;
        }
        smol::Timer::after(RETRY_PAUSE * (attempt + 1)).await;
    }
    reports
}

async fn send_try(
    plan: &LoadPlan,
    pool: &ConnectionPool,
    request: &LoadRequest,
    entry: std::net::SocketAddr,
    start: Instant,
) -> TryReport {
    let customer = &plan.customers[request.customer];
    let body = request.ask.body(plan).to_string();
    let worst = (body.len() as u64 + ADDED_BYTES) / 4 + TEMPLATE_TOKENS + plan.max_output;
    let path = match request.ask {
        LoadAsk::Plain => plan.route.as_str(),
        LoadAsk::Completion { .. } => "/v1/chat/completions",
    };
    let mut call = OutboundRequest::post(path, body.into_bytes())
        .field("content-type", "application/json")
        .field("authorization", format!("Bearer {}", customer.key));
    if let Some(key) = &request.key {
        call = call.field("idempotency-key", key.as_str());
    }
    let mut report = TryReport {
        number: request.number,
        customer: request.customer,
        key: request.key.clone(),
        request: None,
        end: TryEnd::Lost,
        sent: start.elapsed(),
        first: None,
        gaps: Vec::new(),
        total: Duration::ZERO,
        worst,
        body: None,
    };
    let sent = Instant::now();
    read_answer(plan, pool, request, entry, call, &mut report, sent).await;
    report.total = sent.elapsed();
    report
}

async fn read_answer(
    plan: &LoadPlan,
    pool: &ConnectionPool,
    request: &LoadRequest,
    entry: std::net::SocketAddr,
    call: OutboundRequest,
    report: &mut TryReport,
    sent: Instant,
) {
    let Ok(mut answer) = pool.open(entry, call, plan.patience).await else {
        return;
    };
    let field = |name: &str| {
        let values = answer.response.header(name)?;
        Some(values.last().as_str().to_owned())
    };
    report.request = field(responses::REQUEST_HEADER);
    let code = field(responses::RESULT_HEADER).and_then(|text| text.parse().ok()).unwrap_or(0);
    let run = field(responses::RUN_HEADER).unwrap_or_default();
    let comes_back = field("retry-after").is_some();
    let status = answer.status();
    let mut body = Vec::new();
    let mut last = sent;
    loop {
        match answer.read_chunk(plan.patience).await {
            Ok(chunk) if chunk.is_empty() => break,
            Ok(chunk) => {
                note_time(report, sent, &mut last);
                body.extend_from_slice(&chunk);
            }
            Err(_) => {
                report.end = if status == 200 { TryEnd::Cut } else { TryEnd::Lost };
                return;
            }
        }
    }
    answer.release();
    report.end = if status == 200 {
        judge(request, &body, report)
    } else {
        TryEnd::Refused { code, run, comes_back }
    };
}

fn note_time(report: &mut TryReport, sent: Instant, last: &mut Instant) {
    let now = Instant::now();
    if report.first.is_none() {
        report.first = Some(now - sent);
    } else {
        report.gaps.push(now - *last);
    }
    *last = now;
}

fn judge(request: &LoadRequest, body: &[u8], report: &mut TryReport) -> TryEnd {
    let text = String::from_utf8_lossy(body);
    let Some(right) = request.ask.right_text() else {
        let own = request.key.as_ref().is_some_and(|key| text.contains(key.as_str()));
        report.body = Some(text.into_owned());
        return if own { TryEnd::Right } else { TryEnd::Foreign };
    };
    let ended = text.ends_with("data: [DONE]\n\n");
    if ended && stream_text(&text) == right { TryEnd::Right } else { TryEnd::Foreign }
}

/// Joins the contents of a stream's events.
fn stream_text(text: &str) -> String {
    let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let bodies = events.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    let contents = bodies
        .filter_map(|body| body["choices"][0]["delta"]["content"].as_str().map(str::to_owned));
    contents.collect()
}

/// Injects the faults at their times.
pub async fn inject_faults(faults: Vec<LoadFault>) {
    let pool = ConnectionPool::new(ClientLimits::default());
    let start = Instant::now();
    for fault in faults {
        smol::Timer::after(fault.at.saturating_sub(start.elapsed())).await;
        match fault.action {
            FaultAction::Control { address, path, body } => {
                let call = OutboundRequest::post(path, body.into_bytes());
                if pool.fetch(address, call, CONTROL_BOUND).await.is_err() {
                    eprintln!("a fault could not be injected at {address}");
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
        eprintln!("no signal {name} could be sent to process {pid}");
    }
}
