//! Compares what callers saw with what truly ran and what was billed.

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
use crate::senders::{TryEnd, TryReport};

const TRUTH_BOUND: Duration = Duration::from_secs(3);
const SETTLE_LIMIT: Duration = Duration::from_secs(30);
const SAMPLE_STEP: Duration = Duration::from_millis(200);
/// Largest latency told apart, in microseconds.
const LONGEST_MICROS: u64 = 120_000_000;

/// What an engine's stand-in truly did.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct EngineTruth {
    spent: BTreeMap<String, u64>,
    starts: BTreeMap<String, u64>,
    cached_tokens: u64,
    prompt_tokens: u64,
}

/// Latencies of one kind, in milliseconds.
#[derive(Debug, Default, Serialize)]
pub struct LatencyRow {
    /// Half of all.
    pub p50: f64,
    /// 95 in 100.
    pub p95: f64,
    /// 99 in 100.
    pub p99: f64,
}

/// The report of one load.
#[derive(Debug, Default, Serialize)]
pub struct LoadReport {
    /// Requests sent, retries not counted.
    pub requests: usize,
    /// Tries, retries counted.
    pub tries: usize,
    /// Tries that brought the whole right answer.
    pub right: usize,
    /// Refusals by result code.
    pub refusals: BTreeMap<u16, usize>,
    /// Answers cut visibly.
    pub cut: usize,
    /// Tries without an answer.
    pub lost: usize,
    /// Requests that no try of their caller brought to a right answer.
    pub unanswered: usize,
    /// Tokens spent over the prepaid budgets; must be 0.
    pub overspend: u64,
    /// Whole answers that were not the right one; must be 0.
    pub foreign: usize,
    /// Keys whose call ran more than once though it may not; must be 0.
    pub duplicate_runs: usize,
    /// Requests with more than one bill; must be 0.
    pub duplicate_bills: usize,
    /// Requests said not to have run that ran; must be 0.
    pub false_not_run: usize,
    /// Keyed calls whose retries got another answer; must be 0.
    pub changed_answers: usize,
    /// Requests answered without a bill once all is settled; must be none.
    pub unbilled: Vec<String>,
    /// Refusals for budget though the money was there at the end.
    pub false_refusals: usize,
    /// All refusals for budget.
    pub budget_refusals: usize,
    /// Tokens that engines spent.
    pub spent: u64,
    /// Tokens billed.
    pub billed: u64,
    /// Tokens written off.
    pub written_off: u64,
    /// Tokens frozen at the end.
    pub frozen: u64,
    /// Most tokens of revoked tenures and frozen at once, and for how many seconds any were.
    pub stuck_peak: u64,
    /// Seconds during which any were.
    pub stuck_seconds: f64,
    /// Prompt tokens found cached, as a share.
    pub prefix_hits: f64,
    /// Store calls by kind.
    pub store: CallCounts,
    /// Store writes a request.
    pub writes_per_request: f64,
    /// Times to the first byte.
    pub first_token: LatencyRow,
    /// Times between tokens.
    pub between_tokens: LatencyRow,
    /// Right answers by the second in which they ended.
    pub goodput: Vec<usize>,
}

/// Where the truth is read.
#[derive(Debug, Clone)]
pub struct TruthSources {
    /// The platform's stand-in.
    pub store: SocketAddr,
    /// The engines' stand-ins.
    pub engines: Vec<SocketAddr>,
    /// The plain services' stand-ins.
    pub plains: Vec<SocketAddr>,
}

/// The truth at one moment.
#[derive(Debug, Clone, Default)]
struct TruthSample {
    at: Duration,
    /// Left of each customer's prepaid budget by what engines have spent.
    left: BTreeMap<String, u64>,
    /// Held by revoked tenures, or frozen.
    stuck: u64,
}

/// Samples the truth over time.
#[derive(Debug, Clone)]
pub struct TruthWatch {
    sources: TruthSources,
    start: Instant,
    samples: Arc<Mutex<Vec<TruthSample>>>,
}

impl TruthWatch {
    /// Makes a watch whose time begins now.
    pub fn new(sources: TruthSources) -> Self {
        Self { sources, start: Instant::now(), samples: Arc::default() }
    }

    /// Samples until dropped.
    pub async fn run(self) {
        let store = HttpStore::new(self.sources.store);
        let pool = ConnectionPool::new(ClientLimits::default());
        loop {
            let shards = list_shards(&store).await;
            let engines = read_engines(&pool, &self.sources).await;
            let accounts = shards.values().flat_map(|shard| &shard.accounts);
            let left = accounts.map(|(name, account)| {
                let spent: u64 =
                    engines.iter().filter_map(|engine| engine.spent.get(&**name)).sum();
                (name.to_string(), account.prepaid.saturating_sub(spent))
            });
            let sample = TruthSample {
                at: self.start.elapsed(),
                left: left.collect(),
                stuck: shards.values().map(stuck_tokens).sum(),
            };
            // A sample without shards says nothing: the platform did not answer.
            if !shards.is_empty() {
                self.lock().push(sample);
            }
            smol::Timer::after(SAMPLE_STEP).await;
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<TruthSample>> {
        self.samples.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what was surely left of a customer's budget at a time: by the next sample, so that
    /// what was spent meanwhile counts as gone.
    fn left_at(&self, customer: &str, at: Duration) -> Option<u64> {
        let samples = self.lock();
        let sample = samples.iter().find(|sample| sample.at >= at)?;
        sample.left.get(customer).copied()
    }

    /// Returns the most tokens stuck at once, and for how many seconds any were.
    fn stuck(&self) -> (u64, f64) {
        let samples = self.lock();
        let peak = samples.iter().map(|sample| sample.stuck).max().unwrap_or(0);
        let pairs = samples.windows(2).filter(|pair| pair[0].stuck > 0);
        let time: Duration = pairs.map(|pair| pair[1].at.saturating_sub(pair[0].at)).sum();
        (peak, time.as_secs_f64())
    }
}

async fn read_engines(pool: &ConnectionPool, sources: &TruthSources) -> Vec<EngineTruth> {
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
    let answer = pool.fetch(address, OutboundRequest::get(path), TRUTH_BOUND).await.ok()?;
    serde_json::from_slice(&answer.body).ok()
}

/// Reads the store's calls so far.
pub async fn read_counts(store: SocketAddr) -> CallCounts {
    let pool = ConnectionPool::new(ClientLimits::default());
    fetch(&pool, store, "/control/counts").await.unwrap_or_default()
}

/// Waits until all that ran is billed, or it takes too long, then makes the report.
pub async fn make_report(
    plan: &LoadPlan,
    tries: &[TryReport],
    sources: &TruthSources,
    before: CallCounts,
    watch: &TruthWatch,
) -> LoadReport {
    let pool = ConnectionPool::new(ClientLimits::default());
    let after = read_counts(sources.store).await;
    let engines = read_engines(&pool, sources).await;
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for address in &sources.plains {
        let found: Option<BTreeMap<String, u64>> = fetch(&pool, *address, "/control/runs").await;
        for (key, count) in found.unwrap_or_default() {
            *runs.entry(key).or_default() += count;
        }
    }
    let store = HttpStore::new(sources.store);
    let start = Instant::now();
    let (mut shards, mut bills);
    loop {
        shards = list_shards(&store).await;
        bills = list_bills(&store, &shards).await;
        let open = list_unbilled(tries, &bills);
        if open.is_empty() || start.elapsed() > SETTLE_LIMIT {
            break;
        }
        smol::Timer::after(SAMPLE_STEP).await;
    }
    let mut report = summarize(tries);
    report.unbilled = list_unbilled(tries, &bills);
    compare_money(&mut report, &engines, &shards);
    compare_runs(&mut report, tries, &engines, &runs, &bills);
    report.store = CallCounts {
        reads: after.reads - before.reads,
        writes: after.writes - before.writes,
        watches: after.watches - before.watches,
    };
    report.writes_per_request = report.store.writes as f64 / report.requests.max(1) as f64;
    (report.stuck_peak, report.stuck_seconds) = watch.stuck();
    count_refusals(&mut report, plan, tries, watch);
    report
}

/// Returns the requests that were answered and have no bill.
fn list_unbilled(tries: &[TryReport], bills: &[BillRow]) -> Vec<String> {
    let billed: BTreeSet<&str> =
        bills.iter().filter(|row| row.billed > 0).map(|row| &*row.request).collect();
    let right = tries.iter().filter(|report| report.end == TryEnd::Right);
    let ids: BTreeSet<&str> = right.filter_map(|report| report.request.as_deref()).collect();
    ids.difference(&billed).map(ToString::to_string).collect()
}

fn latency_row(times: impl Iterator<Item = Duration>) -> LatencyRow {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, LONGEST_MICROS, 3) else {
        return LatencyRow::default();
    };
    times.for_each(|time| histogram.saturating_record((time.as_micros() as u64).max(1)));
    let millis = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    LatencyRow { p50: millis(0.5), p95: millis(0.95), p99: millis(0.99) }
}

fn summarize(tries: &[TryReport]) -> LoadReport {
    let mut report = LoadReport { tries: tries.len(), ..LoadReport::default() };
    let numbers: BTreeSet<usize> = tries.iter().map(|report| report.number).collect();
    report.requests = numbers.len();
    let right = tries.iter().filter(|report| report.end == TryEnd::Right);
    let answered: BTreeSet<usize> = right.map(|report| report.number).collect();
    report.unanswered = numbers.len() - answered.len();
    for row in tries {
        match &row.end {
            TryEnd::Right => {
                report.right += 1;
                let second = (row.sent + row.total).as_secs() as usize;
                if report.goodput.len() <= second {
                    report.goodput.resize(second + 1, 0);
                }
                report.goodput[second] += 1;
            }
            TryEnd::Foreign => report.foreign += 1,
            TryEnd::Cut => report.cut += 1,
            TryEnd::Lost => report.lost += 1,
            TryEnd::Refused { code, .. } => *report.refusals.entry(*code).or_default() += 1,
        }
    }
    let right = || tries.iter().filter(|row| row.end == TryEnd::Right);
    report.first_token = latency_row(right().filter_map(|row| row.first));
    report.between_tokens = latency_row(right().flat_map(|row| row.gaps.iter().copied()));
    report
}

fn compare_money(
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

/// Counts the refusals for budget, and among them those that were false: what was left then would
/// have covered the request besides the worst case of all others that the customer had in flight.
fn count_refusals(
    report: &mut LoadReport,
    plan: &LoadPlan,
    tries: &[TryReport],
    watch: &TruthWatch,
) {
    for row in tries {
        let TryEnd::Refused { code: 3001 | 3002, .. } = row.end else {
            continue;
        };
        report.budget_refusals += 1;
        let at = row.sent + row.total;
        let others = tries.iter().filter(|other| {
            let running = other.sent <= at && other.sent + other.total >= row.sent;
            let holds = !matches!(other.end, TryEnd::Refused { .. });
            other.customer == row.customer && running && holds
        });
        let busy: u64 = others.map(|other| other.worst).sum();
        let name = plan.customers[row.customer].name.as_str();
        // Engines count what they spend; what plain calls cost is known from the calls.
        let plains = tries.iter().filter(|other| {
            other.customer == row.customer && other.body.is_some() && other.sent <= at
        });
        let plains = plains.count() as u64 * plan.plain_price;
        let left = watch.left_at(name, at).map(|left| left.saturating_sub(plains));
        report.false_refusals += usize::from(left.is_some_and(|left| left >= busy + row.worst));
    }
}

fn compare_runs(
    report: &mut LoadReport,
    tries: &[TryReport],
    engines: &[EngineTruth],
    runs: &BTreeMap<String, u64>,
    bills: &[BillRow],
) {
    let started: BTreeSet<&str> = engines
        .iter()
        .flat_map(|engine| engine.starts.keys())
        .filter_map(|run| run.split('.').next())
        .collect();
    let mut answers: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for row in tries {
        if let (Some(key), Some(body)) = (&row.key, &row.body) {
            answers.entry(key).or_default().insert(body);
        }
        let TryEnd::Refused { run, .. } = &row.end else {
            continue;
        };
        // A keyed request may have run in another try; the plain service counts those.
        let single = row.key.is_none() && run == "not-run";
        let ran = row.request.as_deref().is_some_and(|id| started.contains(id));
        report.false_not_run += usize::from(single && ran);
    }
    let plain_keys: BTreeSet<&str> = answers.keys().copied().collect();
    let doubled = runs.iter().filter(|(key, count)| key.starts_with("load-") && **count > 1);
    report.duplicate_runs = doubled.count();
    report.changed_answers = answers.values().filter(|bodies| bodies.len() > 1).count();
    for key in plain_keys {
        let only_refused = !runs.contains_key(key);
        report.false_not_run += usize::from(only_refused);
    }
    let mut billed: BTreeMap<&str, usize> = BTreeMap::new();
    for row in bills.iter().filter(|row| row.billed > 0) {
        *billed.entry(&row.request).or_default() += 1;
    }
    report.duplicate_bills = billed.values().filter(|count| **count > 1).count();
}

impl LoadReport {
    /// Tells whether every promise held.
    pub fn holds(&self) -> bool {
        let broken = self.foreign
            + self.duplicate_runs
            + self.duplicate_bills
            + self.false_not_run
            + self.changed_answers
            + self.unbilled.len();
        self.overspend == 0 && broken == 0
    }

    /// Returns the report as a table for people.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let mut row = |name: &str, value: String| text += &format!("{name:<28}{value}\n");
        row("requests / tries", format!("{} / {}", self.requests, self.tries));
        row("right answers", self.right.to_string());
        row("unanswered requests", self.unanswered.to_string());
        row("refusals by code", format!("{:?}", self.refusals));
        row("cut / lost", format!("{} / {}", self.cut, self.lost));
        row("overspend", self.overspend.to_string());
        row("foreign answers", self.foreign.to_string());
        row(
            "duplicate runs / bills",
            format!("{} / {}", self.duplicate_runs, self.duplicate_bills),
        );
        row("'not run' that ran", self.false_not_run.to_string());
        row(
            "changed / unbilled answers",
            format!("{} / {}", self.changed_answers, self.unbilled.len()),
        );
        if !self.unbilled.is_empty() {
            row("unbilled requests", self.unbilled.join(" "));
        }
        let (wrong, all) = (self.false_refusals, self.budget_refusals);
        row("false / budget refusals", format!("{wrong} / {all}"));
        row(
            "spent / billed / off",
            format!("{} / {} / {}", self.spent, self.billed, self.written_off),
        );
        row("frozen at the end", self.frozen.to_string());
        row("stuck peak / seconds", format!("{} / {:.1}", self.stuck_peak, self.stuck_seconds));
        row("prefix hits", format!("{:.1} %", self.prefix_hits * 100.0));
        row("store reads / writes", format!("{} / {}", self.store.reads, self.store.writes));
        row("writes a request", format!("{:.4}", self.writes_per_request));
        for (name, times) in
            [("first token ms", &self.first_token), ("between tokens ms", &self.between_tokens)]
        {
            let shown = format!("p50 {:.2}  p95 {:.2}  p99 {:.2}", times.p50, times.p95, times.p99);
            row(name, shown);
        }
        row("goodput by second", format!("{:?}", self.goodput));
        row("promises", if self.holds() { "held".to_owned() } else { "BROKEN".to_owned() });
        text
    }
}
