//! Simulated engine of a model server with the figures of garza-boletos.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use toucanrail::backends::{BackendTable, FlightId, PromptPart};
use toucanrail::paces::{BackendReport, RunProgress};

/// Sequences in a batch.
pub const SLOTS: usize = 96;
/// Tokens in one event of a stream.
pub const TOKENS_PER_EVENT: u64 = 7;
/// Prompt tokens that one step of a server prefills at most.
const CHUNK: u64 = 4_096;
/// Prompt tokens prefilled in a millisecond.
const PREFILL_RATE: f64 = 112.0;
/// Milliseconds for each pair of a token and a token before it.
const ATTENTION_COST: f64 = 0.218e-6;
/// Milliseconds of a step, and of each sequence in it.
const STEP: f64 = 3.41;
const SEQUENCE: f64 = 0.097;
/// Milliseconds before a first event besides queue, prefill and steps.
const OVERHEAD: f64 = 31.0;
/// Age of a report when a prompt is placed by it, in milliseconds.
const REPORT_AGE: f64 = 10.0;
/// Longest pause in milliseconds that callers tolerate.
const MAX_PAUSE: f64 = 500.0;

/// A request at an engine; times in milliseconds.
#[derive(Debug)]
pub struct PromptSim {
    entry: usize,
    flight: FlightId,
    sent_at: f64,
    target: f64,
    parts: [PromptPart; 3],
    /// Prompt tokens in memory; `None` until prefill begins.
    done: Option<u64>,
    output: u64,
    tokens: u64,
    last_event: f64,
    pause: f64,
}

impl PromptSim {
    pub fn new(
        entry: usize,
        flight: FlightId,
        sent_at: f64,
        target: f64,
        parts: [PromptPart; 3],
        output: u64,
    ) -> Self {
        let (done, tokens, last_event, pause) = (None, 0, 0.0, 0.0);
        Self { entry, flight, sent_at, target, parts, done, output, tokens, last_event, pause }
    }

    fn length(&self) -> u64 {
        self.parts.iter().map(|part| part.tokens).sum()
    }
}

/// Streams that ended, those that paused for too long, and first events after their targets.
#[derive(Debug, Default)]
pub struct PauseTally {
    pub streams: usize,
    pub paused: usize,
    pub late: usize,
    pub probes: usize,
}

/// A model server. All its sequences advance by one token in each step, which also prefills a chunk
/// of the prompts in order of arrival.
#[derive(Debug, Default)]
pub struct EngineSim {
    slowdown: f64,
    now: f64,
    queue: VecDeque<PromptSim>,
    runs: Vec<PromptSim>,
    cached: BTreeSet<u64>,
    /// Times, requests without a slot, prompts in prefill and streams.
    history: VecDeque<(f64, usize, usize, usize)>,
}

impl EngineSim {
    pub fn new(slowdown: f64) -> Self {
        Self { slowdown, ..Self::default() }
    }

    pub fn accept(&mut self, prompt: PromptSim) {
        self.queue.push_back(prompt);
    }

    /// Returns the shared parts of a prompt that the engine has in memory.
    pub fn cached_of(&self, parts: &[PromptPart]) -> Vec<u64> {
        let ids = parts.iter().map(|part| part.id);
        ids.take_while(|id| self.cached.contains(id)).collect()
    }

    pub fn fetch(&mut self, parts: &[u64]) {
        self.cached.extend(parts);
    }

    /// Runs steps until a time.
    pub fn advance(
        &mut self,
        id: &str,
        until: f64,
        tables: &mut [BackendTable],
        tally: &mut PauseTally,
    ) {
        while self.now < until && !(self.queue.is_empty() && self.runs.is_empty()) {
            let sequences = self.runs.len();
            let (prefill, prefilling) = self.prefill_chunk();
            let step = STEP + SEQUENCE * (sequences + prefilling) as f64 + prefill;
            self.now += step * self.slowdown;
            for run in &mut self.runs[..sequences] {
                run.tokens += 1;
                if !run.tokens.is_multiple_of(TOKENS_PER_EVENT) {
                    continue;
                }
                if run.tokens == TOKENS_PER_EVENT {
                    tally.late += usize::from(self.now + OVERHEAD - run.sent_at > run.target);
                    let now = Duration::from_secs_f64(self.now / 1_000.0);
                    tables[run.entry].record_first_event(id, run.flight, now);
                } else {
                    run.pause = run.pause.max(self.now - run.last_event);
                }
                run.last_event = self.now;
            }
            for run in self.runs.extract_if(.., |run| run.tokens >= run.output) {
                tables[run.entry].record_ended(id, run.flight);
                tally.streams += 1;
                tally.paused += usize::from(run.pause > MAX_PAUSE);
            }
        }
        self.now = self.now.max(until);
        let waiting = (self.runs.len() + self.queue.len()).saturating_sub(SLOTS);
        let streams = self.runs.iter().filter(|run| run.tokens >= TOKENS_PER_EVENT).count();
        let prefilling = self.runs.len() + self.queue.len() - streams - waiting;
        self.history.push_back((until, waiting, prefilling, streams));
        while self.history.get(1).is_some_and(|(at, ..)| *at <= until - REPORT_AGE) {
            self.history.pop_front();
        }
    }

    /// Prefills a chunk, moves prompts that are done to the runs, and returns the time in
    /// milliseconds and the number of prompts in prefill.
    fn prefill_chunk(&mut self) -> (f64, usize) {
        let (mut left, mut time, mut count) = (CHUNK, 0.0, 0);
        while left > 0 && self.runs.len() < SLOTS {
            let Some(prompt) = self.queue.front_mut() else {
                break;
            };
            let (parts, length) = (&prompt.parts, prompt.length());
            let cached = parts.iter().take_while(|part| self.cached.contains(&part.id));
            let done = prompt.done.unwrap_or_else(|| cached.map(|part| part.tokens).sum());
            let chunk = left.min(length - done);
            let pairs = chunk as f64 * (done as f64 + chunk as f64 / 2.0);
            time += chunk as f64 / PREFILL_RATE + pairs * ATTENTION_COST;
            prompt.done = Some(done + chunk);
            left -= chunk;
            count += 1;
            if done + chunk == length {
                self.cached.extend(prompt.parts.iter().map(|part| part.id));
                self.runs.extend(self.queue.pop_front());
            }
        }
        (time, count)
    }

    /// Returns the report that an entry has when it places a prompt.
    pub fn report(&self) -> Option<BackendReport> {
        let (_, waiting, prefilling, streams) = *self.history.front()?;
        let run = |events| RunProgress { request: Arc::from("r"), events };
        let runs = (0..prefilling).map(|_| run(0)).chain((0..streams).map(|_| run(1)));
        Some(BackendReport { started_at: 1, waiting: waiting as u64, runs: runs.collect() })
    }
}
