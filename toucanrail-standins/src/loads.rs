//! The load plan: which requests are sent, by which customers and when, and the faults to inject.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use toucanrail::ids::Tokens;
use toucanrail::settings::{self, SettingRow, SettingValues};

use crate::texts;

/// Settings of the load generator.
pub const SETTINGS: [SettingRow; 22] = [
    SettingRow { name: "entries", default: None, help: "Addresses of the entries for callers." },
    SettingRow { name: "customers", default: None, help: "Customers as name:key:share." },
    SettingRow { name: "model", default: Some("levy-llm"), help: "Requested model." },
    SettingRow {
        name: "route",
        default: Some(""),
        help: "Path of plain service requests, such as /filing/returns.",
    },
    SettingRow {
        name: "plain-share",
        default: Some("0"),
        help: "Share of plain service requests, in percent.",
    },
    SettingRow {
        name: "plain-price",
        default: Some("5"),
        help: "Price of a plain service request.",
    },
    SettingRow {
        name: "keyed-share",
        default: Some("0"),
        help: "Share of completions with an idempotency key, in percent.",
    },
    SettingRow { name: "rate", default: Some("50"), help: "Requests per second." },
    SettingRow { name: "spike", default: Some(""), help: "Spike as FROM:TO:RATE, in seconds." },
    SettingRow { name: "duration", default: Some("10s"), help: "Duration of the load." },
    SettingRow { name: "prefixes", default: Some("40"), help: "Number of shared prompt prefixes." },
    SettingRow {
        name: "prefix-bytes",
        default: Some("1024"),
        help: "Length of a prefix in bytes.",
    },
    SettingRow {
        name: "suffix-bytes",
        default: Some("120"),
        help: "Mean length of the rest of a prompt in bytes.",
    },
    SettingRow { name: "output", default: Some("32"), help: "Mean tokens of a completion." },
    SettingRow { name: "max-output", default: Some("256"), help: "Requested token limit." },
    SettingRow { name: "retries", default: Some("0"), help: "Maximum retries per request." },
    SettingRow {
        name: "patience",
        default: Some("20s"),
        help: "Time without data after which a caller gives up.",
    },
    SettingRow {
        name: "store",
        default: Some("127.0.0.1:7001"),
        help: "Address of the simulated platform.",
    },
    SettingRow {
        name: "engines",
        default: Some(""),
        help: "Addresses of the simulated engines, for the report.",
    },
    SettingRow {
        name: "plains",
        default: Some(""),
        help: "Addresses of the simulated plain services, for the report.",
    },
    SettingRow {
        name: "faults",
        default: Some(""),
        help: "Fault file with lines: TIME ACTION TARGET ...",
    },
    SettingRow { name: "json", default: Some(""), help: "File to write the report to as JSON." },
];

/// A customer that sends part of the load.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadCustomer {
    /// Name of the customer.
    pub name: String,
    /// API key, sent as a bearer token.
    pub key: String,
    /// Weight of its share of the requests.
    pub share: f64,
}

/// Parameters of a load.
#[derive(Debug, Clone, Default)]
pub struct LoadPlan {
    /// Addresses of the entries for callers.
    pub entries: Vec<SocketAddr>,
    /// Customers that send the requests.
    pub customers: Vec<LoadCustomer>,
    /// Requested model.
    pub model: String,
    /// Path of plain service requests; empty if none are sent.
    pub route: String,
    /// Fraction of the requests that go to the plain service.
    pub plain_share: f64,
    /// Price of a plain service request.
    pub plain_price: Tokens,
    /// Fraction of the completion requests that carry an idempotency key.
    pub keyed_share: f64,
    /// Requests per second.
    pub rate: f64,
    /// Period with a different rate: start and end in seconds, requests per second.
    pub spike: Option<(f64, f64, f64)>,
    /// Period in which requests are sent.
    pub duration: Duration,
    /// Number of shared prompt prefixes.
    pub prefixes: usize,
    /// Length of a prefix, in bytes.
    pub prefix_bytes: usize,
    /// Mean length of the rest of a prompt, in bytes.
    pub suffix_bytes: usize,
    /// Mean tokens of a completion.
    pub output: f64,
    /// Token limit that callers request.
    pub max_output: Tokens,
    /// Maximum retries per request.
    pub retries: u32,
    /// Time without data after which a caller gives up.
    pub idle_timeout: Duration,
}

/// One request to send.
#[derive(Debug, Clone)]
pub struct LoadRequest {
    /// Index of the request in the load.
    pub number: usize,
    /// Send time, relative to the start of the load.
    pub at: Duration,
    /// Index of its customer in the plan.
    pub customer: usize,
    /// Idempotency key.
    pub key: Option<String>,
    /// What the request asks for.
    pub kind: RequestKind,
}

/// Kind of a request.
#[derive(Debug, Clone)]
pub enum RequestKind {
    /// A streamed completion.
    Completion {
        /// The prompt.
        prompt: String,
        /// Tokens of the complete response.
        tokens: Tokens,
    },
    /// A request to the plain service that must not be executed twice.
    Plain,
}

fn parse_list<Item>(text: &str) -> Option<Vec<Item>>
where
    Item: std::str::FromStr,
{
    let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
    items.map(|item| item.parse().ok()).collect()
}

fn parse_customers(text: &str) -> Option<Vec<LoadCustomer>> {
    let rows = text.split(',').map(|row| {
        let mut parts = row.split(':');
        Some(LoadCustomer {
            name: parts.next()?.to_owned(),
            key: parts.next()?.to_owned(),
            share: parts.next().unwrap_or("1").parse().ok()?,
        })
    });
    rows.collect()
}

// The outer option is `None` if the text is invalid, the inner one if no spike is set.
#[expect(clippy::option_option, reason = "`SettingValues::parse_with` needs the outer option")]
fn parse_spike(text: &str) -> Option<Option<(f64, f64, f64)>> {
    if text.is_empty() {
        return Some(None);
    }
    let parts: Option<Vec<f64>> = text.split(':').map(|part| part.parse().ok()).collect();
    match parts?.as_slice() {
        [from, to, rate] => Some(Some((*from, *to, *rate))),
        _ => None,
    }
}

/// Parses a setting that is a comma-separated list of addresses.
pub fn parse_addresses(values: &mut SettingValues, name: &'static str) -> Vec<SocketAddr> {
    values.parse_with(name, "addresses separated by commas", parse_list)
}

impl LoadPlan {
    /// Builds a plan from the settings; errors are collected in `values.errors`.
    pub fn from_settings(values: &mut SettingValues) -> Self {
        let percent = |values: &mut SettingValues, name| {
            values.parse_with(name, "a number from 0 to 100", |text| {
                let share: f64 = text.parse().ok()?;
                (0.0..=100.0).contains(&share).then_some(share / 100.0)
            })
        };
        Self {
            entries: values.parse_with("entries", "at least one address", |text| {
                parse_list(text).filter(|entries: &Vec<SocketAddr>| !entries.is_empty())
            }),
            customers: values.parse_with("customers", "name:key:share, ...", parse_customers),
            model: values.text("model").to_owned(),
            route: values.text("route").to_owned(),
            plain_share: percent(values, "plain-share"),
            plain_price: values.parse("plain-price", "a number"),
            keyed_share: percent(values, "keyed-share"),
            rate: values.parse("rate", "a number"),
            spike: values.parse_with("spike", "FROM:TO:RATE", parse_spike),
            duration: values.duration("duration"),
            prefixes: values.parse("prefixes", "a number"),
            prefix_bytes: values.parse("prefix-bytes", "a number"),
            suffix_bytes: values.parse("suffix-bytes", "a number"),
            output: values.parse("output", "a number"),
            max_output: values.parse("max-output", "a number"),
            retries: values.parse("retries", "a number"),
            idle_timeout: values.duration("patience"),
        }
    }

    fn rate_at(&self, at: f64) -> f64 {
        match self.spike {
            Some((from, to, rate)) if at >= from && at < to => rate,
            _ => self.rate,
        }
    }

    /// Generates all requests; the same seed gives the same load.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail_standins::loads::{LoadCustomer, LoadPlan};
    /// let customer = LoadCustomer { name: "a".into(), key: "k".into(), share: 1.0 };
    /// let plan = LoadPlan {
    ///     customers: vec![customer], rate: 100.0, output: 8.0, max_output: 64, prefixes: 2,
    ///     duration: Duration::from_secs(1), ..LoadPlan::default()
    /// };
    /// assert_eq!(plan.generate(1).len(), plan.generate(1).len());
    /// ```
    pub fn generate(&self, seed: u64) -> Vec<LoadRequest> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut requests = Vec::new();
        let mut at = 0.0;
        loop {
            // Poisson arrivals: exponentially distributed gaps.
            at += -rng.f64().max(1e-12).ln() / self.rate_at(at).max(0.001);
            if at > self.duration.as_secs_f64() {
                return requests;
            }
            requests.push(self.generate_request(&mut rng, requests.len(), at));
        }
    }

    fn generate_request(&self, rng: &mut fastrand::Rng, number: usize, at: f64) -> LoadRequest {
        let customer = self.pick_customer(rng);
        let plain = !self.route.is_empty() && rng.f64() < self.plain_share;
        let keyed = plain || rng.f64() < self.keyed_share;
        let kind = if plain { RequestKind::Plain } else { self.generate_completion(rng, number) };
        LoadRequest {
            number,
            at: Duration::from_secs_f64(at),
            customer,
            key: keyed.then(|| format!("load-{number}-{:08x}", rng.u32(..))),
            kind,
        }
    }

    fn pick_customer(&self, rng: &mut fastrand::Rng) -> usize {
        let total: f64 = self.customers.iter().map(|customer| customer.share).sum();
        let mut remaining = rng.f64() * total;
        for (index, customer) in self.customers.iter().enumerate() {
            remaining -= customer.share;
            if remaining <= 0.0 {
                return index;
            }
        }
        self.customers.len().saturating_sub(1)
    }

    fn generate_completion(&self, rng: &mut fastrand::Rng, number: usize) -> RequestKind {
        // Skews the prefix popularity: the square of a uniform draw favours low indices.
        let prefix = (rng.f64().powi(2) * self.prefixes as f64) as u64;
        let mut prompt =
            texts::generated_text(&format!("prefix {prefix}"), 0, self.prefix_bytes as u64 / 5);
        let suffix_bytes = sample_pareto(rng, self.suffix_bytes as f64);
        prompt += &format!("{number} ");
        prompt += &texts::generated_text(&format!("suffix {number}"), 0, suffix_bytes as u64 / 5);
        let tokens = (sample_pareto(rng, self.output) as Tokens).clamp(1, self.max_output);
        RequestKind::Completion { prompt, tokens }
    }
}

/// Samples a Pareto distribution with shape 2 and the given mean.
fn sample_pareto(rng: &mut fastrand::Rng, mean: f64) -> f64 {
    let scale = mean / 2.0;
    scale / (1.0 - rng.f64()).max(1e-6).sqrt()
}

impl RequestKind {
    /// Returns the request body.
    pub fn body(&self, plan: &LoadPlan) -> Value {
        match self {
            Self::Completion { prompt, tokens } => json!({
                "model": plan.model, "stream": true, "max_tokens": plan.max_output,
                "standin_tokens": tokens,
                "messages": [{"role": "user", "content": prompt}],
            }),
            Self::Plain => json!({ "declare": "levy" }),
        }
    }

    /// Returns the expected text of the response, or `None` if it is not known in advance.
    pub fn expected_text(&self) -> Option<String> {
        match self {
            Self::Completion { prompt, tokens } => Some(texts::generated_text(prompt, 0, *tokens)),
            Self::Plain => None,
        }
    }
}

/// A fault to inject during the load.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadFault {
    /// Injection time, relative to the start of the load.
    pub at: Duration,
    /// What the fault does.
    pub action: FaultAction,
}

/// Action of a fault.
#[derive(Debug, Clone, PartialEq)]
pub enum FaultAction {
    /// Changes the faults of a simulated system through its control port.
    Control {
        /// Address of the simulated system.
        address: SocketAddr,
        /// Path of the control request.
        path: String,
        /// Body of the control request.
        body: String,
    },
    /// Sends a signal to a process.
    Signal {
        /// `kill`, `term`, `stop` or `cont`.
        name: String,
        /// Process id.
        pid: i32,
    },
}

/// Parses the text of a fault file with one fault per line: `TIME control ADDRESS PATH BODY` or
/// `TIME kill|term|stop|cont PID`. Empty lines and lines that start with `#` are ignored.
///
/// # Errors
/// Returns the number of the first invalid line.
///
/// # Examples
/// ```
/// use toucanrail_standins::loads;
/// assert_eq!(loads::parse_faults("5s kill 12\n").unwrap().len(), 1);
/// assert_eq!(loads::parse_faults("5s kill\n"), Err(1));
/// ```
pub fn parse_faults(text: &str) -> Result<Vec<LoadFault>, usize> {
    let lines = text.lines().enumerate();
    let lines = lines.filter(|(_, line)| !line.trim().is_empty() && !line.starts_with('#'));
    lines.map(|(index, line)| parse_fault(line).ok_or(index + 1)).collect()
}

fn parse_fault(line: &str) -> Option<LoadFault> {
    let mut words = line.splitn(5, ' ');
    let at = settings::parse_duration(words.next()?)?;
    let action = match words.next()? {
        "control" => FaultAction::Control {
            address: words.next()?.parse().ok()?,
            path: words.next()?.to_owned(),
            body: words.next().unwrap_or_default().to_owned(),
        },
        name @ ("kill" | "term" | "stop" | "cont") => {
            FaultAction::Signal { name: name.to_owned(), pid: words.next()?.parse().ok()? }
        }
        _ => return None,
    };
    Some(LoadFault { at, action })
}
