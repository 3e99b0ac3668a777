//! The declared load: who asks for what, and when.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use toucanrail::ids::Tokens;
use toucanrail::settings::{self, SettingRow, SettingValues};

use crate::texts;

/// Settings of the load tool.
pub const SETTINGS: [SettingRow; 22] = [
    SettingRow { name: "entries", default: None, help: "Entries, towards callers." },
    SettingRow { name: "customers", default: None, help: "Customers as name:key:share." },
    SettingRow { name: "model", default: Some("levy-llm"), help: "Model asked for." },
    SettingRow {
        name: "route",
        default: Some(""),
        help: "Plain service's call, like /filing/returns.",
    },
    SettingRow {
        name: "plain-share",
        default: Some("0"),
        help: "Share of calls to it, in percent.",
    },
    SettingRow { name: "plain-price", default: Some("5"), help: "Price of such a call." },
    SettingRow {
        name: "keyed-share",
        default: Some("0"),
        help: "Share of keyed calls, in percent.",
    },
    SettingRow { name: "rate", default: Some("50"), help: "Requests a second." },
    SettingRow { name: "spike", default: Some(""), help: "A spike as FROM:TO:RATE, in seconds." },
    SettingRow { name: "duration", default: Some("10s"), help: "How long requests are sent." },
    SettingRow { name: "prefixes", default: Some("40"), help: "Shared prompt prefixes." },
    SettingRow { name: "prefix-bytes", default: Some("1024"), help: "Length of a prefix." },
    SettingRow { name: "suffix-bytes", default: Some("120"), help: "Mean length of the rest." },
    SettingRow { name: "output", default: Some("32"), help: "Mean tokens of an answer." },
    SettingRow { name: "max-output", default: Some("256"), help: "Limit that callers ask for." },
    SettingRow { name: "retries", default: Some("0"), help: "Most retries of a caller." },
    SettingRow {
        name: "patience",
        default: Some("20s"),
        help: "Silence after which one gives up.",
    },
    SettingRow { name: "store", default: Some("127.0.0.1:7001"), help: "Platform's stand-in." },
    SettingRow { name: "engines", default: Some(""), help: "Engines' stand-ins, for the truth." },
    SettingRow { name: "plains", default: Some(""), help: "Plain stand-ins, for the truth." },
    SettingRow {
        name: "faults",
        default: Some(""),
        help: "File of faults: TIME ACTION TARGET ...",
    },
    SettingRow { name: "json", default: Some(""), help: "File to write the report to." },
];

/// One customer of the load.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadCustomer {
    /// Its name.
    pub name: String,
    /// Its bearer key.
    pub key: String,
    /// Its part of the requests, as a weight.
    pub share: f64,
}

/// The declared load.
#[derive(Debug, Clone, Default)]
pub struct LoadPlan {
    /// Entries, towards callers.
    pub entries: Vec<SocketAddr>,
    /// The customers.
    pub customers: Vec<LoadCustomer>,
    /// The model asked for.
    pub model: String,
    /// The plain service's call.
    pub route: String,
    /// Share of calls to it.
    pub plain_share: f64,
    /// Price of such a call.
    pub plain_price: Tokens,
    /// Share of calls with a key.
    pub keyed_share: f64,
    /// Requests a second.
    pub rate: f64,
    /// A time with another rate, in seconds.
    pub spike: Option<(f64, f64, f64)>,
    /// How long requests are sent.
    pub duration: Duration,
    /// Shared prefixes.
    pub prefixes: usize,
    /// Length of a prefix.
    pub prefix_bytes: usize,
    /// Mean length of the rest of a prompt.
    pub suffix_bytes: usize,
    /// Mean tokens of an answer.
    pub output: f64,
    /// Limit that callers ask for.
    pub max_output: Tokens,
    /// Most retries of a caller.
    pub retries: u32,
    /// Silence after which a caller gives up.
    pub patience: Duration,
}

/// One request to send.
#[derive(Debug, Clone)]
pub struct LoadRequest {
    /// Its place in the load.
    pub number: usize,
    /// When it is sent, since the start.
    pub at: Duration,
    /// Its customer's place.
    pub customer: usize,
    /// Its key.
    pub key: Option<String>,
    /// What it asks.
    pub ask: LoadAsk,
}

/// What a request asks.
#[derive(Debug, Clone)]
pub enum LoadAsk {
    /// A streamed completion.
    Completion {
        /// The prompt.
        prompt: String,
        /// Tokens of the whole answer.
        tokens: Tokens,
    },
    /// A call of the plain service that may not be repeated.
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

// Outer: whether it could be read; inner: whether there is one.
#[expect(clippy::option_option, reason = "the reader of settings wants the outer one")]
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

/// Reads a list of addresses.
pub fn read_addresses(values: &mut SettingValues, name: &'static str) -> Vec<SocketAddr> {
    values.parse_with(name, "addresses, with commas between", parse_list)
}

impl LoadPlan {
    /// Reads the load's settings, noting faults.
    pub fn read(values: &mut SettingValues) -> Self {
        let percent = |values: &mut SettingValues, name| {
            values.parse_with(name, "a number from 0 to 100", |text| {
                let share: f64 = text.parse().ok()?;
                (0.0..=100.0).contains(&share).then_some(share / 100.0)
            })
        };
        Self {
            entries: read_addresses(values, "entries"),
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
            patience: values.duration("patience"),
        }
    }

    fn rate_at(&self, at: f64) -> f64 {
        match self.spike {
            Some((from, to, rate)) if at >= from && at < to => rate,
            _ => self.rate,
        }
    }

    /// Draws all requests; the same seed gives the same load.
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
    /// assert_eq!(plan.draw(1).len(), plan.draw(1).len());
    /// ```
    pub fn draw(&self, seed: u64) -> Vec<LoadRequest> {
        let mut dice = fastrand::Rng::with_seed(seed);
        let mut requests = Vec::new();
        let mut at = 0.0;
        loop {
            // Arrivals of independent callers: exponential gaps.
            at += -dice.f64().max(1e-12).ln() / self.rate_at(at).max(0.001);
            if at > self.duration.as_secs_f64() {
                return requests;
            }
            requests.push(self.draw_request(&mut dice, requests.len(), at));
        }
    }

    fn draw_request(&self, dice: &mut fastrand::Rng, number: usize, at: f64) -> LoadRequest {
        let customer = self.draw_customer(dice);
        let plain = !self.route.is_empty() && dice.f64() < self.plain_share;
        let keyed = plain || dice.f64() < self.keyed_share;
        let ask = if plain { LoadAsk::Plain } else { self.draw_completion(dice, number) };
        LoadRequest {
            number,
            at: Duration::from_secs_f64(at),
            customer,
            key: keyed.then(|| format!("load-{number}-{:08x}", dice.u32(..))),
            ask,
        }
    }

    fn draw_customer(&self, dice: &mut fastrand::Rng) -> usize {
        let total: f64 = self.customers.iter().map(|customer| customer.share).sum();
        let mut left = dice.f64() * total;
        for (index, customer) in self.customers.iter().enumerate() {
            left -= customer.share;
            if left <= 0.0 {
                return index;
            }
        }
        self.customers.len().saturating_sub(1)
    }

    fn draw_completion(&self, dice: &mut fastrand::Rng, number: usize) -> LoadAsk {
        // Skewed prefixes: the square of a uniform draw favours the first.
        let prefix = (dice.f64().powi(2) * self.prefixes as f64) as u64;
        let mut prompt =
            texts::answer_text(&format!("prefix {prefix}"), 0, self.prefix_bytes as u64 / 5);
        let rest = heavy_tailed(dice, self.suffix_bytes as f64);
        prompt += &format!("{number} ");
        prompt += &texts::answer_text(&format!("suffix {number}"), 0, rest as u64 / 5);
        let tokens = (heavy_tailed(dice, self.output) as Tokens).clamp(1, self.max_output);
        LoadAsk::Completion { prompt, tokens }
    }
}

/// Draws from a Pareto distribution of index 2 with the given mean.
fn heavy_tailed(dice: &mut fastrand::Rng, mean: f64) -> f64 {
    let least = mean / 2.0;
    least / (1.0 - dice.f64()).max(1e-6).sqrt()
}

impl LoadAsk {
    /// Returns the body to send.
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

    /// Returns the right text of the answer; none where it is not known beforehand.
    pub fn right_text(&self) -> Option<String> {
        match self {
            Self::Completion { prompt, tokens } => Some(texts::answer_text(prompt, 0, *tokens)),
            Self::Plain => None,
        }
    }
}

/// One declared fault.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadFault {
    /// When, since the start.
    pub at: Duration,
    /// What.
    pub action: FaultAction,
}

/// What a fault does.
#[derive(Debug, Clone, PartialEq)]
pub enum FaultAction {
    /// Changes a stand-in's faults by its control port.
    Control {
        /// The stand-in.
        address: SocketAddr,
        /// The control path.
        path: String,
        /// The body.
        body: String,
    },
    /// Sends a signal to a process of the test.
    Signal {
        /// `kill`, `term`, `stop` or `cont`.
        name: String,
        /// The process.
        pid: i32,
    },
}

/// Reads a file of faults, one a line: `TIME control ADDRESS PATH BODY` or
/// `TIME kill|term|stop|cont PID`; the number of the first wrong line otherwise.
///
/// # Examples
/// ```
/// use toucanrail_standins::loads;
/// assert_eq!(loads::read_faults("5s kill 12\n").unwrap().len(), 1);
/// assert_eq!(loads::read_faults("5s kill\n"), Err(1));
/// ```
pub fn read_faults(text: &str) -> Result<Vec<LoadFault>, usize> {
    let lines = text.lines().enumerate();
    let lines = lines.filter(|(_, line)| !line.trim().is_empty() && !line.starts_with('#'));
    lines.map(|(index, line)| read_fault(line).ok_or(index + 1)).collect()
}

fn read_fault(line: &str) -> Option<LoadFault> {
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
