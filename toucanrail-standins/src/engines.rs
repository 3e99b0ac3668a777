//! A model engine's stand-in: continuous batching, a prefix cache of limited size, priorities,
//! resuming, cancelling, lagging load and late cache events.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http_types::Response;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use smol::net::TcpListener;
use toucanrail::ids::Tokens;
use toucanrail::routing;
use toucanrail_wire::listeners::{self, ReceivedRequest, ServerLimits};
use toucanrail_wire::pipes::{self, PipeWriter};
use toucanrail_wire::responses;

use crate::faults::FaultDesk;
use crate::texts;

const IDLE_STEP: Duration = Duration::from_millis(1);
const CACHE_BLOCK: usize = 64;
const DEFAULT_TOKENS: Tokens = 32;

/// The engine's speed and sizes.
#[derive(Debug, Clone)]
pub struct EngineSpeed {
    /// Sequences that run at once.
    pub slots: usize,
    /// Time of a step.
    pub step: Duration,
    /// Time that each running sequence adds to a step.
    pub per_sequence: Duration,
    /// Time that each uncached prompt token adds to the step that takes it in.
    pub per_prompt_token: Duration,
    /// Prompt tokens that the prefix cache holds.
    pub cache_tokens: usize,
    /// Age of the load that it reports.
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

/// Load as the engine reports it.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Sequences that it can run at once.
    pub slots: u64,
    /// Sequences that run.
    pub running: u64,
    /// Sequences that wait.
    pub waiting: u64,
}

/// What the engine knows of one request.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct EngineUsage {
    /// Whether it still runs or waits.
    pub active: bool,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Prompt and generated tokens so far.
    pub used: Tokens,
    /// Tokens generated so far, resumed ones not counted.
    pub generated: Tokens,
}

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
    /// Tokens used by account: the ground truth of what was spent.
    spent: BTreeMap<String, Tokens>,
    starts: BTreeMap<String, u64>,
    cache: BTreeMap<u64, u64>,
    cache_clock: u64,
    cache_events: VecDeque<(Instant, u64)>,
    loads: VecDeque<(Instant, EngineLoad)>,
    cached_tokens: u64,
    prompt_tokens: u64,
    fence: u64,
    orders: Vec<String>,
}

/// A model engine; clones share its state.
#[derive(Debug, Clone)]
pub struct EngineStandin {
    state: Arc<Mutex<EngineState>>,
    speed: Arc<EngineSpeed>,
    /// Its faults.
    pub faults: FaultDesk,
    /// Whether it refuses orders with an old fencing number.
    honours_fencing: bool,
}

#[derive(Debug, Deserialize)]
struct EngineCall {
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
    /// How many tokens this stand-in generates before it stops by itself.
    #[serde(default)]
    standin_tokens: Option<Tokens>,
    #[serde(default)]
    stream_options: Option<Value>,
}

impl EngineStandin {
    /// Makes an idle engine.
    pub fn new(speed: EngineSpeed, honours_fencing: bool) -> Self {
        let speed = Arc::new(speed);
        Self { state: Arc::default(), speed, faults: FaultDesk::new(), honours_fencing }
    }

    /// Serves the engine's interface and its control port, and steps its batch.
    pub async fn serve(self, listener: TcpListener) {
        smol::spawn(self.clone().run_steps()).detach();
        let handler = move |call| {
            let this = self.clone();
            async move { this.answer(call).await }
        };
        listeners::serve(listener, ServerLimits::default(), handler).await;
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what each account has truly spent here.
    pub fn spent(&self) -> BTreeMap<String, Tokens> {
        self.lock().spent.clone()
    }

    /// Returns the orders carried out.
    pub fn orders(&self) -> Vec<String> {
        self.lock().orders.clone()
    }

    /// Returns how many sequences run or wait.
    pub fn running(&self) -> usize {
        let state = self.lock();
        state.running.len() + state.waiting.len()
    }

    /// Returns how many sequences were ever begun.
    pub fn starts(&self) -> u64 {
        self.lock().starts.values().sum()
    }

    async fn answer(&self, call: ReceivedRequest) -> Response {
        match call.path() {
            "/control/faults" => return self.faults.answer_control(&call),
            "/control/truth" => return self.show_truth(),
            _ => {}
        }
        if !self.faults.pass().await {
            return responses::text(503, "down");
        }
        let path = call.path().to_owned();
        if let Some(id) = path.strip_prefix("/engine/usage/") {
            return self.answer_usage(id);
        }
        if let Some(id) = path.strip_prefix("/engine/cancel/") {
            self.cancel(id);
            return self.answer_usage(id);
        }
        match path.as_str() {
            "/v1/chat/completions" | "/v1/completions" => self.complete(&call).await,
            "/v1/models" => responses::json(200, &json!({"object": "list", "data": []})),
            "/engine/load" => responses::json(200, &self.lagging_load()),
            "/engine/cache-events" => self.show_cache_events(),
            "/engine/order" => self.take_order(&call),
            _ => responses::text(404, "no such path"),
        }
    }

    fn show_truth(&self) -> Response {
        let state = self.lock();
        let truth = json!({
            "spent": state.spent,
            "starts": state.starts,
            "cached_tokens": state.cached_tokens,
            "prompt_tokens": state.prompt_tokens,
            "orders": state.orders,
        });
        responses::json(200, &truth)
    }

    fn answer_usage(&self, id: &str) -> Response {
        match self.lock().usage.get(id) {
            Some(usage) => responses::json(200, usage),
            None => responses::text(404, "not known"),
        }
    }

    fn usage_of(&self, id: &str) -> EngineUsage {
        self.lock().usage.get(id).cloned().unwrap_or_default()
    }

    fn cancel(&self, id: &str) {
        let mut state = self.lock();
        state.waiting.retain(|sequence| sequence.id != id);
        state.running.retain(|sequence| sequence.id != id);
        if let Some(usage) = state.usage.get_mut(id) {
            usage.cancelled = usage.active;
            usage.active = false;
        }
    }

    /// Returns the load as it was a while ago.
    fn lagging_load(&self) -> EngineLoad {
        let mut state = self.lock();
        let slots = self.speed.slots as u64;
        let now = Instant::now();
        let load = EngineLoad {
            slots,
            running: state.running.len() as u64,
            waiting: state.waiting.len() as u64,
        };
        state.loads.push_back((now, load));
        while state.loads.len() > 1 && now - state.loads[1].0 >= self.speed.load_lag {
            state.loads.pop_front();
        }
        state.loads.front().map_or(load, |(_, load)| *load)
    }

    /// Cache events come late, and every seventh is left out.
    fn show_cache_events(&self) -> Response {
        let mut state = self.lock();
        let due = |at: &Instant| at.elapsed() >= Duration::from_millis(500);
        let mut shown = Vec::new();
        while let Some((at, block)) = state.cache_events.front().copied() {
            if !due(&at) {
                break;
            }
            state.cache_events.pop_front();
            if block % 7 != 0 {
                shown.push(block);
            }
        }
        responses::json(200, &shown)
    }

    fn take_order(&self, call: &ReceivedRequest) -> Response {
        let fence = call.field("engine-fence").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut state = self.lock();
        if self.honours_fencing && fence < state.fence {
            return responses::text(409, "old fencing number");
        }
        state.fence = fence;
        let order = String::from_utf8_lossy(&call.body).into_owned();
        state.orders.push(order);
        responses::text(200, "done")
    }

    async fn complete(&self, call: &ReceivedRequest) -> Response {
        smol::Timer::after(Duration::from_millis(self.faults.plan().late_ms)).await;
        let Ok(body) = serde_json::from_slice::<EngineCall>(&call.body) else {
            return responses::text(400, "not a completion request");
        };
        let chat = call.path() == "/v1/chat/completions";
        let prompt = if chat { chat_prompt(&body.messages) } else { body.prompt.clone() };
        let id = call.field("engine-request-id").unwrap_or("none").to_owned();
        let resumed = number(call, "engine-resume-from");
        let wanted = body.standin_tokens.unwrap_or(DEFAULT_TOKENS);
        let end = body.max_tokens.map_or(wanted, |most| wanted.min(most + resumed));
        let tokens = self.start(call, &id, &prompt, resumed, end);
        let mut answer = AnswerText {
            id: if self.faults.take(|plan| &mut plan.foreign_answers) {
                "another".to_owned()
            } else {
                id
            },
            model: body.model,
            chat,
            seed: texts::prompt_seed(&prompt),
            prompt_tokens: if resumed > 0 { 0 } else { texts::prompt_tokens(prompt.len()) },
            completion_tokens: 0,
        };
        let mut response = if body.stream {
            let usage = body.stream_options.is_some();
            let (writer, pipe) = pipes::make_pipe();
            let engine = self.clone();
            let id = answer.id.clone();
            smol::spawn(async move { engine.stream(answer, tokens, writer, usage).await }).detach();
            let mut response = responses::stream(200, pipe);
            response.insert_header("content-type", "text/event-stream");
            response.insert_header("engine-request-id", id);
            return response;
        } else {
            let mut text = String::new();
            while let Ok(position) = tokens.recv().await {
                text += &texts::token_text(answer.seed, position);
                answer.completion_tokens += 1;
            }
            if self.usage_of(&answer.id).cancelled {
                return responses::text(503, "cancelled");
            }
            responses::json(200, &answer.whole(&text))
        };
        response.insert_header("engine-request-id", answer.id);
        response
    }

    fn start(
        &self,
        call: &ReceivedRequest,
        id: &str,
        prompt: &str,
        resumed: Tokens,
        end: Tokens,
    ) -> async_channel::Receiver<Tokens> {
        let (sender, receiver) = async_channel::unbounded();
        let sequence = Sequence {
            id: id.to_owned(),
            account: call.field("engine-account").unwrap_or("none").to_owned(),
            priority: number(call, "engine-priority") as u8,
            prompt: prompt.to_owned(),
            position: resumed,
            end,
            tokens: sender,
        };
        let mut state = self.lock();
        *state.starts.entry(id.to_owned()).or_default() += 1;
        let usage = EngineUsage { active: true, ..EngineUsage::default() };
        state.usage.insert(id.to_owned(), usage);
        state.waiting.push(sequence);
        receiver
    }

    async fn stream(
        &self,
        mut answer: AnswerText,
        tokens: async_channel::Receiver<Tokens>,
        writer: PipeWriter,
        usage: bool,
    ) {
        let cut = self.faults.take(|plan| &mut plan.cut_answers);
        let silent = !cut && self.faults.take(|plan| &mut plan.silent_answers);
        let limit = self.faults.plan().cut_after;
        loop {
            if (cut || silent) && answer.completion_tokens >= limit {
                if silent {
                    std::future::pending::<()>().await;
                }
                return self.cancel(&answer.id);
            }
            let Ok(position) = tokens.recv().await else {
                break;
            };
            answer.completion_tokens += 1;
            let event = answer.event(&texts::token_text(answer.seed, position));
            if !writer.send(event).await {
                return;
            }
        }
        if self.usage_of(&answer.id).cancelled {
            return;
        }
        if usage {
            writer.send(answer.usage_event()).await;
        }
        writer.send(b"data: [DONE]\n\n".to_vec()).await;
        writer.finish().await;
    }

    /// Steps the batch: takes waiting sequences in by priority and generates one token each.
    async fn run_steps(self) {
        loop {
            let time = self.fill_batch();
            let Some(time) = time else {
                smol::Timer::after(IDLE_STEP).await;
                continue;
            };
            let pace = self.faults.plan().pace_percent;
            let pace = if pace == 0 { 100 } else { pace };
            smol::Timer::after(time * pace as u32 / 100).await;
            while self.faults.plan().frozen {
                smol::Timer::after(IDLE_STEP).await;
            }
            self.step();
        }
    }

    fn fill_batch(&self) -> Option<Duration> {
        let mut state = self.lock();
        let mut uncached = 0;
        while state.running.len() < self.speed.slots && !state.waiting.is_empty() {
            let best = (0..state.waiting.len())
                .max_by_key(|at| (state.waiting[*at].priority, std::cmp::Reverse(*at)))?;
            let sequence = state.waiting.remove(best);
            uncached += state.take_prompt(&sequence, self.speed.cache_tokens);
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
                return state.end_sequence(&sequence.id);
            }
            let position = sequence.position;
            sequence.position += 1;
            *state.spent.entry(sequence.account.clone()).or_default() += 1;
            if let Some(usage) = state.usage.get_mut(&sequence.id) {
                usage.used += 1;
                usage.generated += 1;
            }
            if sequence.position >= sequence.end {
                state.end_sequence(&sequence.id);
            }
            // A receiver that went away without a cancel does not stop the engine.
            sequence.tokens.try_send(position).ok();
            sequence.position < sequence.end
        });
        state.running = running;
    }
}

impl EngineState {
    /// Charges a prompt and returns how many of its tokens were not cached.
    fn take_prompt(&mut self, sequence: &Sequence, cache_tokens: usize) -> usize {
        let prompt = sequence.prompt.as_bytes();
        let tokens = texts::prompt_tokens(prompt.len());
        if sequence.position == 0 {
            *self.spent.entry(sequence.account.clone()).or_default() += tokens;
            if let Some(usage) = self.usage.get_mut(&sequence.id) {
                usage.used += tokens;
            }
        }
        let mut cached = 0;
        for end in (CACHE_BLOCK..=prompt.len()).step_by(CACHE_BLOCK) {
            let block = routing::hash_prefix(prompt, end);
            self.cache_clock += 1;
            let known = self.cache.insert(block, self.cache_clock).is_some();
            if known && cached + CACHE_BLOCK == end {
                cached = end;
            } else if !known {
                self.cache_events.push_back((Instant::now(), block));
            }
        }
        self.evict(cache_tokens);
        self.cached_tokens += texts::prompt_tokens(cached);
        self.prompt_tokens += tokens;
        (tokens - texts::prompt_tokens(cached).min(tokens)) as usize
    }

    fn evict(&mut self, cache_tokens: usize) {
        let limit = cache_tokens * 4 / CACHE_BLOCK;
        while self.cache.len() > limit {
            let oldest = self.cache.iter().min_by_key(|(_, used)| **used).map(|(block, _)| *block);
            if let Some(block) = oldest {
                self.cache.remove(&block);
            }
        }
    }

    /// Marks a sequence as ended; always false, for `retain`.
    fn end_sequence(&mut self, id: &str) -> bool {
        if let Some(usage) = self.usage.get_mut(id) {
            usage.active = false;
        }
        false
    }
}

#[derive(Debug)]
struct AnswerText {
    id: String,
    model: String,
    chat: bool,
    seed: u64,
    prompt_tokens: Tokens,
    completion_tokens: Tokens,
}

impl AnswerText {
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

    fn whole(&self, text: &str) -> Value {
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

/// Returns the prompt of chat messages: their contents, a line each.
pub fn chat_prompt(messages: &[Value]) -> String {
    let contents = messages.iter().filter_map(|message| message.get("content")?.as_str());
    contents.collect::<Vec<_>>().join("\n")
}

fn number(call: &ReceivedRequest, name: &str) -> u64 {
    call.field(name).and_then(|text| text.parse().ok()).unwrap_or_default()
}

/// Starts an engine on a port of its own.
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
