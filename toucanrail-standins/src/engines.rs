//! Simulated model engine: continuous batching, a prefix cache of limited size, priorities,
//! resumption, cancellation, delayed load reports and delayed cache events.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http_types::Response;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use smol::net::TcpListener;
use toucanrail::ids::{SoftwareVersion, Tokens};
use toucanrail::routing;
use toucanrail_wire::listeners::{self, ReceivedRequest, ServerLimits};
use toucanrail_wire::pipes::{self, PipeWriter};
use toucanrail_wire::responses;

use crate::faults::FaultInjector;
use crate::texts;

const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(1);
const CACHE_BLOCK_BYTES: usize = 64;
/// Software version that an engine reports at first.
const DEFAULT_VERSION: &str = "v1";
const DEFAULT_OUTPUT_TOKENS: Tokens = 32;

/// Speed and capacity of an engine.
#[derive(Debug, Clone)]
pub struct EngineSpeed {
    /// Maximum number of sequences in the batch.
    pub slots: usize,
    /// Base duration of a step.
    pub step: Duration,
    /// Time added to a step by each running sequence.
    pub per_sequence: Duration,
    /// Time added by each uncached prompt token to the step that prefills it.
    pub per_prompt_token: Duration,
    /// Capacity of the prefix cache, in prompt tokens.
    pub cache_tokens: usize,
    /// Age of the reported load.
    pub load_lag: Duration,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self {
            slots: 8,
            step: Duration::from_millis(4),
            per_sequence: Duration::from_micros(100),
            per_prompt_token: Duration::from_micros(50),
            cache_tokens: 4_000,
            load_lag: Duration::from_millis(300),
        }
    }
}

/// Load reported by the engine.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Maximum number of sequences in the batch.
    pub slots: u64,
    /// Sequences in the batch.
    pub running: u64,
    /// Queued sequences.
    pub waiting: u64,
}

/// State and usage of one request.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct EngineUsage {
    /// Whether the request is running or queued.
    pub active: bool,
    /// Whether the request was cancelled while active.
    pub cancelled: bool,
    /// Prompt and generated tokens used so far.
    pub used: Tokens,
    /// Tokens generated so far, excluding those before the resume position.
    pub generated: Tokens,
}

/// A request that is queued or in the batch.
#[derive(Debug)]
struct Sequence {
    id: String,
    account: String,
    priority: u8,
    prompt: String,
    position: Tokens,
    end: Tokens,
    tokens: async_channel::Sender<Tokens>,
}

#[derive(Debug, Default)]
struct EngineState {
    waiting: Vec<Sequence>,
    running: Vec<Sequence>,
    usage: BTreeMap<String, EngineUsage>,
    /// Tokens used by account; the ground truth for budget checks.
    spent: BTreeMap<String, Tokens>,
    /// Number of starts by engine request id.
    starts: BTreeMap<String, u64>,
    /// Ids of requests that were cancelled before they were known.
    early_cancels: BTreeSet<String>,
    /// Time of the last use of each cached block, by block hash, in ticks of `cache_clock`.
    cache: BTreeMap<u64, u64>,
    cache_clock: u64,
    cache_events: VecDeque<(Instant, u64)>,
    load_samples: VecDeque<(Instant, EngineLoad)>,
    cached_tokens: u64,
    prompt_tokens: u64,
    /// Fencing number of the last command carried out.
    fence: u64,
    commands: Vec<String>,
    /// Software version that the engine reports, if it reports one.
    version: Option<SoftwareVersion>,
}

/// A simulated model engine; clones share its state.
#[derive(Debug, Clone)]
pub struct EngineStandin {
    state: Arc<Mutex<EngineState>>,
    speed: Arc<EngineSpeed>,
    /// Faults injected into this engine.
    pub faults: FaultInjector,
    /// Whether commands with a lower fencing number than the last accepted one are rejected.
    honours_fencing: bool,
}

#[derive(Debug, Deserialize)]
struct CompletionBody {
    #[serde(default)]
    model: String,
    #[serde(default)]
    messages: Vec<Value>,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<Tokens>,
    /// Output length at which the simulated engine ends the completion by itself.
    #[serde(default)]
    standin_tokens: Option<Tokens>,
    #[serde(default)]
    stream_options: Option<Value>,
}

impl EngineStandin {
    /// Creates an idle engine.
    pub fn new(speed: EngineSpeed, honours_fencing: bool) -> Self {
        let speed = Arc::new(speed);
        let state = EngineState { version: Some(DEFAULT_VERSION.into()), ..EngineState::default() };
        let state = Arc::new(Mutex::new(state));
        Self { state, speed, faults: FaultInjector::new(), honours_fencing }
    }

    /// Serves the engine's interface and its control port, and runs its batches.
    pub async fn serve(self, listener: TcpListener) {
        smol::spawn(self.clone().run_batches()).detach();
        let handler = move |request| {
            let this = self.clone();
            async move { this.handle(request).await }
        };
        listeners::serve(listener, ServerLimits::default(), handler).await;
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the tokens spent on this engine by account.
    pub fn spent(&self) -> BTreeMap<String, Tokens> {
        self.lock().spent.clone()
    }

    /// Sets the software version that the engine reports; with none it reports no version.
    pub fn set_version(&self, version: Option<&str>) {
        self.lock().version = version.map(Arc::from);
    }

    /// Returns the commands carried out, oldest first.
    pub fn commands(&self) -> Vec<String> {
        self.lock().commands.clone()
    }

    /// Returns the number of running and queued sequences.
    pub fn running(&self) -> usize {
        let state = self.lock();
        state.running.len() + state.waiting.len()
    }

    /// Returns the number of sequences started since the engine was created.
    pub fn starts(&self) -> u64 {
        self.lock().starts.values().sum()
    }

    async fn handle(&self, request: ReceivedRequest) -> Response {
        match request.path() {
            "/control/faults" => return self.faults.handle_control(&request),
            "/control/truth" => return self.truth_response(),
            _ => {}
        }
        if !self.faults.apply_delays().await {
            return responses::text(503, "down");
        }
        let path = request.path().to_owned();
        if let Some(id) = path.strip_prefix("/engine/usage/") {
            return self.usage_response(id);
        }
        if let Some(id) = path.strip_prefix("/engine/cancel/") {
            self.cancel(id);
            return self.usage_response(id);
        }
        match path.as_str() {
            "/v1/chat/completions" | "/v1/completions" => self.complete(&request).await,
            "/v1/models" => responses::json(200, &json!({"object": "list", "data": []})),
            "/engine/load" => self.load_response(),
            "/engine/cache-events" => self.cache_events_response(),
            "/engine/order" => self.handle_command(&request),
            _ => responses::text(404, "no such path"),
        }
    }

    fn truth_response(&self) -> Response {
        let state = self.lock();
        let truth = json!({
            "spent": state.spent,
            "starts": state.starts,
            "cached_tokens": state.cached_tokens,
            "prompt_tokens": state.prompt_tokens,
            "orders": state.commands,
        });
        responses::json(200, &truth)
    }

    fn usage_response(&self, id: &str) -> Response {
        match self.lock().usage.get(id) {
            Some(usage) => responses::json(200, usage),
            None => responses::text(404, "not known"),
        }
    }

    fn request_usage(&self, id: &str) -> EngineUsage {
        self.lock().usage.get(id).cloned().unwrap_or_default()
    }

    fn cancel(&self, id: &str) {
        let mut state = self.lock();
        state.waiting.retain(|sequence| sequence.id != id);
        state.running.retain(|sequence| sequence.id != id);
        if let Some(usage) = state.usage.get_mut(id) {
            usage.cancelled = usage.active;
            usage.active = false;
        } else {
            state.early_cancels.insert(id.to_owned());
        }
    }

    fn load_response(&self) -> Response {
        let EngineLoad { slots, running, waiting } = self.delayed_load();
        let version = self.lock().version.clone();
        let report =
            json!({"slots": slots, "running": running, "waiting": waiting, "version": version});
        responses::json(200, &report)
    }

    /// Returns the load as it was `load_lag` ago, among the loads sampled at earlier calls.
    fn delayed_load(&self) -> EngineLoad {
        let mut state = self.lock();
        let slots = self.speed.slots as u64;
        let now = Instant::now();
        let load = EngineLoad {
            slots,
            running: state.running.len() as u64,
            waiting: state.waiting.len() as u64,
        };
        state.load_samples.push_back((now, load));
        while state.load_samples.len() > 1 && now - state.load_samples[1].0 >= self.speed.load_lag {
            state.load_samples.pop_front();
        }
        state.load_samples.front().map_or(load, |(_, load)| *load)
    }

    /// Returns new cache blocks with a delay of 500 ms. Drops about one event in seven, to
    /// simulate lost cache events.
    fn cache_events_response(&self) -> Response {
        let mut state = self.lock();
        let is_due = |at: &Instant| at.elapsed() >= Duration::from_millis(500);
        let mut visible = Vec::new();
        while let Some((at, block)) = state.cache_events.front().copied() {
            if !is_due(&at) {
                break;
            }
            state.cache_events.pop_front();
            if block % 7 != 0 {
                visible.push(block);
            }
        }
        responses::json(200, &visible)
    }

    fn handle_command(&self, request: &ReceivedRequest) -> Response {
        let fence = request.field("engine-fence").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut state = self.lock();
        if self.honours_fencing && fence < state.fence {
            return responses::text(409, "old fencing number");
        }
        state.fence = fence;
        let command = String::from_utf8_lossy(&request.body).into_owned();
        state.commands.push(command);
        responses::text(200, "done")
    }

    async fn complete(&self, request: &ReceivedRequest) -> Response {
        let Ok(body) = serde_json::from_slice::<CompletionBody>(&request.body) else {
            return responses::text(400, "not a completion request");
        };
        let chat = request.path() == "/v1/chat/completions";
        let prompt = if chat { chat_prompt(&body.messages) } else { body.prompt.clone() };
        let id = request.field("engine-request-id").unwrap_or("none").to_owned();
        // An overtaken request skips the queue, so that it uses tokens before the next cancellation.
        let overtaken = self.faults.consume(|plan| &mut plan.overtaken_requests);
        while overtaken && !self.lock().early_cancels.contains(&id) {
            smol::Timer::after(IDLE_POLL_INTERVAL).await;
        }
        let resume_from = header_number(request, "engine-resume-from");
        if resume_from > 0 && self.faults.consume(|plan| &mut plan.refused_resumes) {
            let mut response = responses::text(409, "cannot resume");
            response.insert_header("engine-request-id", id);
            return response;
        }
        let requested = body.standin_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS);
        let end =
            body.max_tokens.map_or(requested, |max_tokens| requested.min(max_tokens + resume_from));
        let tokens = self.start(request, &id, &prompt, resume_from, end, overtaken);
        let mut completion = CompletionFormatter {
            id: if self.faults.consume(|plan| &mut plan.foreign_answers) {
                "another".to_owned()
            } else {
                id
            },
            model: body.model,
            chat,
            seed: texts::prompt_seed(&prompt),
            prompt_tokens: if resume_from > 0 { 0 } else { texts::prompt_tokens(prompt.len()) },
            completion_tokens: 0,
        };
        let mut response = if body.stream {
            let include_usage = body.stream_options.is_some();
            let (writer, pipe) = pipes::make_pipe();
            let engine = self.clone();
            let id = completion.id.clone();
            smol::spawn(
                async move { engine.stream(completion, tokens, writer, include_usage).await },
            )
            .detach();
            let mut response = responses::stream(200, pipe);
            response.insert_header("content-type", "text/event-stream");
            response.insert_header("engine-request-id", id);
            return response;
        } else {
            let mut text = String::new();
            while let Ok(position) = tokens.recv().await {
                text += &texts::token_text(completion.seed, position);
                completion.completion_tokens += 1;
            }
            if self.request_usage(&completion.id).cancelled {
                return responses::text(503, "cancelled");
            }
            responses::json(200, &completion.complete_body(&text))
        };
        response.insert_header("engine-request-id", completion.id);
        response
    }

    fn start(
        &self,
        request: &ReceivedRequest,
        id: &str,
        prompt: &str,
        resume_from: Tokens,
        end: Tokens,
        skips_queue: bool,
    ) -> async_channel::Receiver<Tokens> {
        let (sender, receiver) = async_channel::unbounded();
        let sequence = Sequence {
            id: id.to_owned(),
            account: request.field("engine-account").unwrap_or("none").to_owned(),
            priority: header_number(request, "engine-priority") as u8,
            prompt: prompt.to_owned(),
            position: resume_from,
            end,
            tokens: sender,
        };
        let mut state = self.lock();
        *state.starts.entry(id.to_owned()).or_default() += 1;
        let usage = EngineUsage { active: true, ..EngineUsage::default() };
        state.usage.insert(id.to_owned(), usage);
        if skips_queue {
            state.charge_prompt(&sequence, self.speed.cache_tokens);
            state.running.push(sequence);
        } else {
            state.waiting.push(sequence);
        }
        receiver
    }

    async fn stream(
        &self,
        mut completion: CompletionFormatter,
        tokens: async_channel::Receiver<Tokens>,
        writer: PipeWriter,
        include_usage: bool,
    ) {
        let truncate = self.faults.consume(|plan| &mut plan.cut_answers);
        let stall = !truncate && self.faults.consume(|plan| &mut plan.silent_answers);
        let limit = self.faults.plan().cut_after;
        loop {
            if (truncate || stall) && completion.completion_tokens >= limit {
                if stall {
                    std::future::pending::<()>().await;
                }
                return self.cancel(&completion.id);
            }
            let Ok(position) = tokens.recv().await else {
                break;
            };
            completion.completion_tokens += 1;
            let event = completion.event(&texts::token_text(completion.seed, position));
            if !writer.send(event).await {
                return;
            }
        }
        if self.request_usage(&completion.id).cancelled {
            return;
        }
        if include_usage {
            writer.send(completion.usage_event()).await;
        }
        writer.send(b"data: [DONE]\n\n".to_vec()).await;
        writer.finish().await;
    }

    /// Runs the batch: admits queued sequences by priority and generates one token each per step.
    async fn run_batches(self) {
        loop {
            let step_time = self.fill_batch();
            let Some(step_time) = step_time else {
                smol::Timer::after(IDLE_POLL_INTERVAL).await;
                continue;
            };
            let percent = self.faults.plan().pace_percent;
            let pace_percent = if percent == 0 { 100 } else { percent };
            smol::Timer::after(step_time * pace_percent as u32 / 100).await;
            while self.faults.plan().frozen {
                smol::Timer::after(IDLE_POLL_INTERVAL).await;
            }
            self.step();
        }
    }

    fn fill_batch(&self) -> Option<Duration> {
        let mut state = self.lock();
        let mut uncached = 0;
        while state.running.len() < self.speed.slots && !state.waiting.is_empty() {
            let next = (0..state.waiting.len())
                .max_by_key(|at| (state.waiting[*at].priority, std::cmp::Reverse(*at)))?;
            let sequence = state.waiting.remove(next);
            uncached += state.charge_prompt(&sequence, self.speed.cache_tokens);
            state.running.push(sequence);
        }
        if state.running.is_empty() {
            return None;
        }
        let running = state.running.len() as u32;
        Some(
            self.speed.step
                + self.speed.per_sequence * running
                + self.speed.per_prompt_token * uncached as u32,
        )
    }

    fn step(&self) {
        let mut state = self.lock();
        let mut running = std::mem::take(&mut state.running);
        running.retain_mut(|sequence| {
            if sequence.position >= sequence.end {
                return state.finish_sequence(&sequence.id);
            }
            let position = sequence.position;
            sequence.position += 1;
            *state.spent.entry(sequence.account.clone()).or_default() += 1;
            if let Some(usage) = state.usage.get_mut(&sequence.id) {
                usage.used += 1;
                usage.generated += 1;
            }
            if sequence.position >= sequence.end {
                state.finish_sequence(&sequence.id);
            }
            // A caller that disconnects without a cancellation does not stop the generation.
            sequence.tokens.try_send(position).ok();
            sequence.position < sequence.end
        });
        state.running = running;
    }
}

impl EngineState {
    /// Charges the prompt to the account, unless the sequence is resumed, and caches its blocks.
    /// Returns the number of prompt tokens that were not cached.
    fn charge_prompt(&mut self, sequence: &Sequence, cache_tokens: usize) -> usize {
        let prompt = sequence.prompt.as_bytes();
        let tokens = texts::prompt_tokens(prompt.len());
        if sequence.position == 0 {
            *self.spent.entry(sequence.account.clone()).or_default() += tokens;
            if let Some(usage) = self.usage.get_mut(&sequence.id) {
                usage.used += tokens;
            }
        }
        let mut cached = 0;
        for end in (CACHE_BLOCK_BYTES..=prompt.len()).step_by(CACHE_BLOCK_BYTES) {
            let block = routing::hash_prefix(prompt, end);
            self.cache_clock += 1;
            let was_cached = self.cache.insert(block, self.cache_clock).is_some();
            if was_cached && cached + CACHE_BLOCK_BYTES == end {
                cached = end;
            } else if !was_cached {
                self.cache_events.push_back((Instant::now(), block));
            }
        }
        self.evict(cache_tokens);
        self.cached_tokens += texts::prompt_tokens(cached);
        self.prompt_tokens += tokens;
        (tokens - texts::prompt_tokens(cached).min(tokens)) as usize
    }

    fn evict(&mut self, cache_tokens: usize) {
        let limit = cache_tokens * 4 / CACHE_BLOCK_BYTES;
        while self.cache.len() > limit {
            let oldest = self.cache.iter().min_by_key(|(_, used)| **used).map(|(block, _)| *block);
            if let Some(block) = oldest {
                self.cache.remove(&block);
            }
        }
    }

    /// Marks a request as inactive. Always returns false, for use in `retain_mut`.
    fn finish_sequence(&mut self, id: &str) -> bool {
        if let Some(usage) = self.usage.get_mut(id) {
            usage.active = false;
        }
        false
    }
}

/// Formats the generated tokens of one request as an OpenAI-style response.
#[derive(Debug)]
struct CompletionFormatter {
    id: String,
    model: String,
    chat: bool,
    seed: u64,
    prompt_tokens: Tokens,
    completion_tokens: Tokens,
}

impl CompletionFormatter {
    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.prompt_tokens + self.completion_tokens,
        })
    }

    fn event(&self, text: &str) -> Vec<u8> {
        let choice = if self.chat {
            json!({"index": 0, "delta": {"content": text}})
        } else {
            json!({"index": 0, "text": text})
        };
        let object = if self.chat { "chat.completion.chunk" } else { "text_completion" };
        let body = json!({
            "id": self.id, "object": object, "model": self.model, "choices": [choice],
        });
        format!("data: {body}\n\n").into_bytes()
    }

    fn usage_event(&self) -> Vec<u8> {
        let body = json!({
            "id": self.id, "object": "chat.completion.chunk", "model": self.model,
            "choices": [], "usage": self.usage(),
        });
        format!("data: {body}\n\n").into_bytes()
    }

    fn complete_body(&self, text: &str) -> Value {
        let choice = if self.chat {
            json!({
                "index": 0, "finish_reason": "stop",
                "message": {"role": "assistant", "content": text},
            })
        } else {
            json!({"index": 0, "finish_reason": "stop", "text": text})
        };
        let object = if self.chat { "chat.completion" } else { "text_completion" };
        json!({
            "id": self.id, "object": object, "model": self.model,
            "choices": [choice], "usage": self.usage(),
        })
    }
}

/// Returns the prompt of chat messages: their contents joined by newlines.
pub fn chat_prompt(messages: &[Value]) -> String {
    let contents = messages.iter().filter_map(|message| message.get("content")?.as_str());
    contents.collect::<Vec<_>>().join("\n")
}

fn header_number(request: &ReceivedRequest, name: &str) -> u64 {
    request.field(name).and_then(|text| text.parse().ok()).unwrap_or_default()
}

/// Starts an engine on the given address and returns the address it listens on.
///
/// # Errors
/// Returns an error if the address cannot be bound.
pub fn start(
    address: &str,
    speed: EngineSpeed,
    honours_fencing: bool,
) -> io::Result<(EngineStandin, SocketAddr)> {
    let listener = listeners::bind(address)?;
    let bound = listener.local_addr()?;
    let standin = EngineStandin::new(speed, honours_fencing);
    smol::spawn(standin.clone().serve(listener)).detach();
    Ok((standin, bound))
}
