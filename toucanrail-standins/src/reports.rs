//! Compares the responses that callers received with what was executed and what was billed.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use toucanrail::budgets::{self, BillRow, BudgetShard, HolderState};
use toucanrail::paths;
use toucanrail_wire::clients::{ClientLimits, ConnectionPool, OutboundRequest};
use toucanrail_wire::stores::{HttpStore, ObjectStore};

use crate::loads::LoadPlan;
use crate::platforms::CallCounts;
use crate::senders::{CallerAttempt, CallerOutcome};

const FETCH_TIMEOUT: Duration = Duration::from_secs(3);
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// Upper bound of the latency histograms, in microseconds.
const MAX_LATENCY_MICROS: u64 = 120_000_000;

/// Ground truth reported by a simulated engine.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct EngineTruth {
    spent: BTreeMap<String, u64>,
    starts: BTreeMap<String, u64>,
    cached_tokens: u64,
    prompt_tokens: u64,
}

/// Latency percentiles, in milliseconds.
#[derive(Debug, Default, Serialize)]
pub struct LatencyRow {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Report of one load.
#[derive(Debug, Default, Serialize)]
pub struct LoadReport {
    /// Requests sent, excluding retries.
    pub requests: usize,
    /// Attempts, including retries.
    pub tries: usize,
    /// Attempts with a complete and correct response.
    pub right: usize,
    /// Refusals by result code.
    pub refusals: BTreeMap<u16, usize>,
    /// Responses truncated with an error visible to the caller.
    pub cut: usize,
    /// Attempts without a response, or with a truncated error response.
    pub lost: usize,
    /// Requests without a correct response in any attempt.
    pub unanswered: usize,
    /// Tokens spent in excess of the prepaid budgets; must be 0.
    pub overspend: u64,
    /// Responses that ended normally but were incorrect; must be 0.
    pub foreign: usize,
    /// Idempotency keys whose request was executed more than once by plain services; must be 0.
    pub duplicate_runs: usize,
    /// Requests billed more than once; must be 0.
    pub duplicate_bills: usize,
    /// Requests whose reported execution status is contradicted by what ran; must be 0.
    pub false_not_run: usize,
    /// Idempotency keys whose attempts got different responses; must be 0.
    pub changed_answers: usize,
    /// Requests with a correct response but no bill after settlement; must be empty.
    pub unbilled: Vec<String>,
    /// Budget refusals although the remaining budget would have covered the request.
    pub false_refusals: usize,
    /// All budget refusals.
    pub budget_refusals: usize,
    /// Tokens spent by the engines.
    pub spent: u64,
    /// Billed tokens.
    pub billed: u64,
    /// Tokens written off.
    pub written_off: u64,
    /// Frozen tokens at the end.
    pub frozen: u64,
    /// Maximum of the tokens that were frozen or held by revoked tenures at the same time.
    pub stuck_peak: u64,
    /// Seconds during which any tokens were frozen or held by revoked tenures.
    pub stuck_seconds: f64,
    /// Fraction of the prompt tokens that were found in a prefix cache.
    pub prefix_hits: f64,
    /// Store requests by kind.
    pub store: CallCounts,
    /// Store writes per request.
    pub writes_per_request: f64,
    /// Time to the first byte of the body.
    pub first_token: LatencyRow,
    /// Time between consecutive chunks of the body.
    pub between_tokens: LatencyRow,
    /// Correct responses by the second in which they ended.
    pub goodput: Vec<usize>,
}

/// Addresses from which the ground truth is fetched.
#[derive(Debug, Clone)]
pub struct TruthSources {
    /// Simulated platform.
    pub store: SocketAddr,
    /// Simulated engines.
    pub engines: Vec<SocketAddr>,
    /// Simulated plain services.
    pub plains: Vec<SocketAddr>,
}

/// Ground truth at one point in time.
#[derive(Debug, Clone, Default)]
struct TruthSample {
    at: Duration,
    /// Remaining prepaid budget by customer, according to what the engines have spent.
    remaining: BTreeMap<String, u64>,
    /// Tokens that are frozen or held by revoked tenures.
    stuck: u64,
}

/// Samples the ground truth at regular intervals.
#[derive(Debug, Clone)]
pub struct TruthSampler {
    sources: TruthSources,
    start: Instant,
    samples: Arc<Mutex<Vec<TruthSample>>>,
}

impl TruthSampler {
    /// Creates a sampler; sample times are relative to this call.
    pub fn new(sources: TruthSources) -> Self {
        Self { sources, start: Instant::now(), samples: Arc::default() }
    }

    /// Samples until the future is dropped.
    pub async fn run(self) {
        let store = HttpStore::new(self.sources.store);
        let pool = ConnectionPool::new(ClientLimits::default());
        loop {
            let shards = list_shards(&store).await;
            let engines = fetch_engines(&pool, &self.sources).await;
            let accounts = shards.values().flat_map(|shard| &shard.accounts);
            let remaining = accounts.map(|(name, account)| {
                let spent: u64 =
                    engines.iter().filter_map(|engine| engine.spent.get(&**name)).sum();
                (name.to_string(), account.prepaid.saturating_sub(spent))
            });
            let sample = TruthSample {
                at: self.start.elapsed(),
                remaining: remaining.collect(),
                stuck: shards.values().map(stuck_tokens).sum(),
            };
            // Without shards, the platform did not respond and the sample carries no information.
            if !shards.is_empty() {
                self.lock().push(sample);
            }
            smol::Timer::after(SAMPLE_INTERVAL).await;
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<TruthSample>> {
        self.samples.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a lower bound of a customer's remaining budget at a time. Uses the next sample, so
    /// that tokens spent in between count as spent.
    fn remaining_at(&self, customer: &str, at: Duration) -> Option<u64> {
        let samples = self.lock();
        let sample = samples.iter().find(|sample| sample.at >= at)?;
        sample.remaining.get(customer).copied()
    }

    /// Returns the maximum of the stuck tokens, and the seconds during which any were stuck.
    fn stuck(&self) -> (u64, f64) {
        let samples = self.lock();
        let peak = samples.iter().map(|sample| sample.stuck).max().unwrap_or(0);
        let pairs = samples.windows(2).filter(|pair| pair[0].stuck > 0);
        let time: Duration = pairs.map(|pair| pair[1].at.saturating_sub(pair[0].at)).sum();
        (peak, time.as_secs_f64())
    }
}

async fn fetch_engines(pool: &ConnectionPool, sources: &TruthSources) -> Vec<EngineTruth> {
    let mut engines = Vec::new();
    for address in &sources.engines {
        engines.extend(fetch(pool, *address, "/control/truth").await);
    }
    engines
}

fn stuck_tokens(shard: &BudgetShard) -> u64 {
    let revoked = |entry: &Arc<str>| {
        shard.holders.get(entry).is_some_and(|row| row.state != HolderState::Live)
    };
    let accounts = shard.accounts.values();
    accounts
        .map(|account| {
            let held = account.grants.iter().filter(|(entry, _)| revoked(entry));
            let held: u64 = held.map(|(_, tokens)| tokens).sum();
            held + account.frozen.values().sum::<u64>()
        })
        .sum()
}

async fn list_shards(store: &HttpStore) -> BTreeMap<Arc<str>, BudgetShard> {
    let listed = store.list(paths::BUDGETS, 0).await;
    budgets::read_shards(&listed.map(|listed| listed.objects).unwrap_or_default())
}

async fn list_bills(store: &HttpStore, shards: &BTreeMap<Arc<str>, BudgetShard>) -> Vec<BillRow> {
    let listed = store.list(paths::BILLS, 0).await;
    budgets::read_bills(&listed.map(|listed| listed.objects).unwrap_or_default(), shards)
}

async fn fetch<Body>(pool: &ConnectionPool, address: SocketAddr, path: &str) -> Option<Body>
where
    Body: for<'body> Deserialize<'body>,
{
    let response = pool.fetch(address, OutboundRequest::get(path), FETCH_TIMEOUT).await.ok()?;
    serde_json::from_slice(&response.body).ok()
}

/// Fetches the number of requests that the store has received; all zero if it does not respond.
pub async fn fetch_counts(store: SocketAddr) -> CallCounts {
    let pool = ConnectionPool::new(ClientLimits::default());
    fetch(&pool, store, "/control/counts").await.unwrap_or_default()
}

/// Waits until every correct response is billed, for at most `SETTLE_TIMEOUT`, then creates the
/// report.
pub async fn make_report(
    plan: &LoadPlan,
    attempts: &[CallerAttempt],
    sources: &TruthSources,
    before: CallCounts,
    sampler: &TruthSampler,
) -> LoadReport {
    let pool = ConnectionPool::new(ClientLimits::default());
    let after = fetch_counts(sources.store).await;
    let engines = fetch_engines(&pool, sources).await;
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for address in &sources.plains {
        let counts: Option<BTreeMap<String, u64>> = fetch(&pool, *address, "/control/runs").await;
        for (key, count) in counts.unwrap_or_default() {
            *runs.entry(key).or_default() += count;
        }
    }
    let store = HttpStore::new(sources.store);
    let start = Instant::now();
    let (mut shards, mut bills);
    loop {
        shards = list_shards(&store).await;
        bills = list_bills(&store, &shards).await;
        let unbilled = list_unbilled(attempts, &bills);
        if unbilled.is_empty() || start.elapsed() > SETTLE_TIMEOUT {
            break;
        }
        smol::Timer::after(SAMPLE_INTERVAL).await;
    }
    let mut report = summarize(attempts);
    report.unbilled = list_unbilled(attempts, &bills);
    check_budgets(&mut report, &engines, &shards);
    check_runs(&mut report, attempts, &engines, &runs, &bills);
    report.store = CallCounts {
        reads: after.reads.saturating_sub(before.reads),
        writes: after.writes.saturating_sub(before.writes),
        watches: after.watches.saturating_sub(before.watches),
    };
    report.writes_per_request = report.store.writes as f64 / report.requests.max(1) as f64;
    (report.stuck_peak, report.stuck_seconds) = sampler.stuck();
    count_budget_refusals(&mut report, plan, attempts, sampler);
    report
}

/// Returns the requests that got a correct response and have no bill.
fn list_unbilled(attempts: &[CallerAttempt], bills: &[BillRow]) -> Vec<String> {
    let billed: BTreeSet<&str> =
        bills.iter().filter(|row| row.billed > 0).map(|row| &*row.request).collect();
    let correct = attempts.iter().filter(|attempt| attempt.outcome == CallerOutcome::Correct);
    let ids: BTreeSet<&str> = correct.filter_map(|attempt| attempt.request.as_deref()).collect();
    ids.difference(&billed).map(ToString::to_string).collect()
}

fn latency_row(times: impl Iterator<Item = Duration>) -> LatencyRow {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_MICROS, 3) else {
        return LatencyRow::default();
    };
    times.for_each(|time| histogram.saturating_record((time.as_micros() as u64).max(1)));
    let millis = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    LatencyRow { p50: millis(0.5), p95: millis(0.95), p99: millis(0.99) }
}

fn summarize(attempts: &[CallerAttempt]) -> LoadReport {
    let mut report = LoadReport { tries: attempts.len(), ..LoadReport::default() };
    let numbers: BTreeSet<usize> = attempts.iter().map(|attempt| attempt.number).collect();
    report.requests = numbers.len();
    let correct = attempts.iter().filter(|attempt| attempt.outcome == CallerOutcome::Correct);
    let answered: BTreeSet<usize> = correct.map(|attempt| attempt.number).collect();
    report.unanswered = numbers.len() - answered.len();
    for attempt in attempts {
        match &attempt.outcome {
            CallerOutcome::Correct => {
                report.right += 1;
                let second = (attempt.sent + attempt.duration).as_secs() as usize;
                if report.goodput.len() <= second {
                    report.goodput.resize(second + 1, 0);
                }
                report.goodput[second] += 1;
            }
            CallerOutcome::Incorrect => report.foreign += 1,
            CallerOutcome::Truncated => report.cut += 1,
            CallerOutcome::NoResponse => report.lost += 1,
            CallerOutcome::Refused { code, .. } => *report.refusals.entry(*code).or_default() += 1,
        }
    }
    let correct = || attempts.iter().filter(|attempt| attempt.outcome == CallerOutcome::Correct);
    report.first_token = latency_row(correct().filter_map(|attempt| attempt.first_byte));
    report.between_tokens =
        latency_row(correct().flat_map(|attempt| attempt.chunk_gaps.iter().copied()));
    report
}

fn check_budgets(
    report: &mut LoadReport,
    engines: &[EngineTruth],
    shards: &BTreeMap<Arc<str>, BudgetShard>,
) {
    for (name, account) in shards.values().flat_map(|shard| &shard.accounts) {
        let spent: u64 = engines.iter().filter_map(|engine| engine.spent.get(&**name)).sum();
        report.spent += spent;
        report.billed += account.billed;
        report.written_off += account.written_off;
        report.frozen += account.frozen.values().sum::<u64>();
        report.overspend += spent.saturating_sub(account.prepaid);
    }
    let cached: u64 = engines.iter().map(|engine| engine.cached_tokens).sum();
    let prompts: u64 = engines.iter().map(|engine| engine.prompt_tokens).sum();
    report.prefix_hits = cached as f64 / prompts.max(1) as f64;
}

/// Counts the budget refusals and those among them that were wrongful. A refusal is wrongful if the
/// remaining budget would have covered the request in addition to the maximum usage of all other
/// requests that the customer had in flight.
fn count_budget_refusals(
    report: &mut LoadReport,
    plan: &LoadPlan,
    attempts: &[CallerAttempt],
    sampler: &TruthSampler,
) {
    for attempt in attempts {
        let CallerOutcome::Refused { code: 3001 | 3002, .. } = attempt.outcome else {
            continue;
        };
        report.budget_refusals += 1;
        let at = attempt.sent + attempt.duration;
        let others = attempts.iter().filter(|other| {
            let overlaps = other.sent <= at && other.sent + other.duration >= attempt.sent;
            let is_admitted = !matches!(other.outcome, CallerOutcome::Refused { .. });
            other.customer == attempt.customer && overlaps && is_admitted
        });
        let in_flight: u64 = others.map(|other| other.max_tokens).sum();
        let name = plan.customers[attempt.customer].name.as_str();
        // Engines do not count plain service requests; their price is known from the plan.
        let plains = attempts.iter().filter(|other| {
            other.customer == attempt.customer && other.body.is_some() && other.sent <= at
        });
        let plains = plains.count() as u64 * plan.plain_price;
        let remaining =
            sampler.remaining_at(name, at).map(|remaining| remaining.saturating_sub(plains));
        report.false_refusals += usize::from(
            remaining.is_some_and(|remaining| remaining >= in_flight + attempt.max_tokens),
        );
    }
}

fn check_runs(
    report: &mut LoadReport,
    attempts: &[CallerAttempt],
    engines: &[EngineTruth],
    runs: &BTreeMap<String, u64>,
    bills: &[BillRow],
) {
    let started: BTreeSet<&str> = engines
        .iter()
        .flat_map(|engine| engine.starts.keys())
        .filter_map(|run| run.split('.').next())
        .collect();
    let mut bodies_by_key: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for attempt in attempts {
        if let (Some(key), Some(body)) = (&attempt.key, &attempt.body) {
            bodies_by_key.entry(key).or_default().insert(body);
        }
        let CallerOutcome::Refused { run, .. } = &attempt.outcome else {
            continue;
        };
        // A request with an idempotency key may have run in another attempt; the counts of the
        // plain services cover those.
        let claims_not_run = attempt.key.is_none() && run == "not-run";
        let ran = attempt.request.as_deref().is_some_and(|id| started.contains(id));
        report.false_not_run += usize::from(claims_not_run && ran);
    }
    let plain_keys: BTreeSet<&str> = bodies_by_key.keys().copied().collect();
    let repeated = runs.iter().filter(|(key, count)| key.starts_with("load-") && **count > 1);
    report.duplicate_runs = repeated.count();
    report.changed_answers = bodies_by_key.values().filter(|bodies| bodies.len() > 1).count();
    for key in plain_keys {
        let has_no_run = !runs.contains_key(key);
        report.false_not_run += usize::from(has_no_run);
    }
    let mut billed: BTreeMap<&str, usize> = BTreeMap::new();
    for row in bills.iter().filter(|row| row.billed > 0) {
        *billed.entry(&row.request).or_default() += 1;
    }
    report.duplicate_bills = billed.values().filter(|count| **count > 1).count();
}

impl LoadReport {
    /// Returns whether every guarantee was kept.
    pub fn has_passed(&self) -> bool {
        let violations = self.foreign
            + self.duplicate_runs
            + self.duplicate_bills
            + self.false_not_run
            + self.changed_answers
            + self.unbilled.len();
        self.overspend == 0 && violations == 0
    }

    /// Returns the report as a human-readable table.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let mut row = |name: &str, value: String| text += &format!("{name:<28}{value}\n");
        row("requests / attempts", format!("{} / {}", self.requests, self.tries));
        row("correct responses", self.right.to_string());
        row("unanswered requests", self.unanswered.to_string());
        row("refusals by code", format!("{:?}", self.refusals));
        row("truncated / no response", format!("{} / {}", self.cut, self.lost));
        row("overspend", self.overspend.to_string());
        row("incorrect responses", self.foreign.to_string());
        row(
            "duplicate runs / bills",
            format!("{} / {}", self.duplicate_runs, self.duplicate_bills),
        );
        row("executed despite not-run", self.false_not_run.to_string());
        row("changed / unbilled", format!("{} / {}", self.changed_answers, self.unbilled.len()));
        if !self.unbilled.is_empty() {
            row("unbilled requests", self.unbilled.join(" "));
        }
        let (wrongful, all) = (self.false_refusals, self.budget_refusals);
        row("false / budget refusals", format!("{wrongful} / {all}"));
        row(
            "spent/billed/written off",
            format!("{} / {} / {}", self.spent, self.billed, self.written_off),
        );
        row("frozen at the end", self.frozen.to_string());
        row("stuck peak / seconds", format!("{} / {:.1}", self.stuck_peak, self.stuck_seconds));
        row("prefix hits", format!("{:.1} %", self.prefix_hits * 100.0));
        row("store reads / writes", format!("{} / {}", self.store.reads, self.store.writes));
        row("writes per request", format!("{:.4}", self.writes_per_request));
        for (name, times) in
            [("first token ms", &self.first_token), ("between tokens ms", &self.between_tokens)]
        {
            let shown = format!("p50 {:.2}  p95 {:.2}  p99 {:.2}", times.p50, times.p95, times.p99);
            row(name, shown);
        }
        row("goodput by second", format!("{:?}", self.goodput));
        row("promises", if self.has_passed() { "held".to_owned() } else { "BROKEN".to_owned() });
        text
    }
}
