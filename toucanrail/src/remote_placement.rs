//! Placement of requests at servers of other data centres.
//!
//! While the servers of a data centre are too few for its load, those of its neighbours may have
//! spare capacity. All its entries see that at the same time and without coordination: if each of
//! them sent away whatever is cheaper elsewhere, they would fill the neighbours within one round
//! trip and return as suddenly. Each entry therefore changes the fraction of requests that it may
//! send away in small steps.

use std::time::Duration;

use serde::Serialize;

use crate::settings;

/// Bytes of the megabyte in which prices are stated.
const MEGABYTE: f64 = 1_000_000.0;
/// Time between two changes of a share. It is longer than the latency targets of most routes, so
/// that the effect of one step on the servers is visible before the next one.
const STEP_TIME: Duration = Duration::from_millis(500);
/// Number of steps between a share of 0 and a share of 1.
const STEP_COUNT: f64 = 10.0;
/// Cost by which local servers must exceed remote ones for the share to rise, in milliseconds. It
/// is more than a request or two in flight cost, so that ordinary variation sends nothing away.
const RISE_MARGIN: f64 = 20.0;
/// Bound of a single difference, in milliseconds. A server whose slots are taken costs seconds; a
/// few such requests must not keep the share up long after the load has fallen.
const MAX_EXCESS: f64 = 5.0 * RISE_MARGIN;
/// Weight of a step's mean in the smoothed costs.
const STEP_WEIGHT: f64 = 0.7;
/// Change of the share that is worth a log line.
const LOGGED_CHANGE: f64 = 0.2;
/// Tolerance of that comparison, as shares are rounded.
const ROUNDING: f64 = 1e-6;

/// Cost of the way to another data centre and back.
///
/// The default applies where no settings state the costs: 5 ms for each request, whatever its size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RemoteCosts {
    /// One-way delay between two data centres.
    pub delay: Duration,
    /// Waiting time that one megabyte (1,000,000 bytes) between data centres is worth.
    pub price: Duration,
}

impl Default for RemoteCosts {
    fn default() -> Self {
        Self { delay: Duration::from_micros(2_500), price: Duration::ZERO }
    }
}

impl RemoteCosts {
    /// Returns the cost of a server in another data centre for a request of which `bytes` cross, in
    /// milliseconds.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::remote_placement::RemoteCosts;
    /// let (delay, price) = (Duration::from_millis(5), Duration::from_millis(20));
    /// assert_eq!(RemoteCosts { delay, price }.request_cost(500_000), 20.0);
    /// assert_eq!(RemoteCosts::default().request_cost(500_000), 5.0);
    /// ```
    pub fn request_cost(&self, bytes: u64) -> f64 {
        let price = as_milliseconds(self.price) * (bytes as f64 / MEGABYTE);
        as_milliseconds(self.delay) * 2.0 + price
    }
}

/// Parses a price: a duration for each megabyte.
///
/// # Examples
/// ```
/// use std::time::Duration;
/// use toucanrail::remote_placement;
/// assert_eq!(remote_placement::parse_price("20ms/MB"), Some(Duration::from_millis(20)));
/// assert_eq!(remote_placement::parse_price("20ms"), None);
/// ```
pub fn parse_price(text: &str) -> Option<Duration> {
    settings::parse_duration(text.strip_suffix("/MB")?)
}

fn as_milliseconds(time: Duration) -> f64 {
    time.as_nanos() as f64 / 1e6
}

/// How one request may use servers of other data centres.
///
/// The default applies where no settings state the costs: all servers are candidates, and each
/// remote one costs 5 ms.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RemoteTerms {
    /// Cost of a remote server, in milliseconds.
    pub cost: f64,
    /// Whether all remote servers are candidates, by the entry's share. A session's preferred
    /// server and servers that hold its shared parts always are.
    pub are_candidates: bool,
    /// Whether the costs of local and remote servers are compared, for the entry's share.
    pub are_compared: bool,
}

impl Default for RemoteTerms {
    fn default() -> Self {
        let cost = RemoteCosts::default().request_cost(0);
        Self { cost, are_candidates: true, are_compared: false }
    }
}

/// Lowest costs of the servers for one request, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CostComparison {
    /// Lowest cost of a local server; `None` if no local one is eligible.
    pub local: Option<f64>,
    /// Lowest cost, transfer included, of the remote servers that are candidates by the share only;
    /// `None` if there is none.
    pub remote: Option<f64>,
}

impl CostComparison {
    /// Returns by how much local servers cost more than remote ones.
    fn excess(&self) -> f64 {
        match (self.local, self.remote) {
            (Some(local), Some(remote)) => (local - remote).clamp(-MAX_EXCESS, MAX_EXCESS),
            (None, Some(_)) => MAX_EXCESS,
            (_, None) => -MAX_EXCESS,
        }
    }
}

/// Costs of one step.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
struct StepCosts {
    excess: f64,
    count: f64,
}

/// Fraction of an entry's requests to one service for which all servers of other data centres are
/// candidates.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize)]
pub struct OffloadShare {
    share: f64,
    /// Smoothed cost by which local servers exceed remote ones, in milliseconds.
    excess_ms: f64,
    /// Latest costs, for operators.
    local_ms: Option<f64>,
    remote_ms: Option<f64>,
    #[serde(skip)]
    step: StepCosts,
    #[serde(skip)]
    step_began: Duration,
    #[serde(skip)]
    logged: f64,
}

impl OffloadShare {
    /// Returns the fraction, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns whether all remote servers are candidates for a request with the random number
    /// `draw`, in `0..1`.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::remote_placement::OffloadShare;
    /// assert!(!OffloadShare::default().includes(0.0));
    /// ```
    pub fn includes(&self, draw: f64) -> bool {
        draw < self.share
    }

    /// Records the costs of the servers for one request, and changes the share if a step has
    /// passed. Returns whether the share has changed enough for a log line since the last one.
    ///
    /// Steps in which no request came lower the share.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::remote_placement::{CostComparison, OffloadShare};
    /// let mut share = OffloadShare::default();
    /// let costs = CostComparison { local: Some(90.0), remote: Some(30.0) };
    /// share.record_costs(costs, Duration::from_millis(100));
    /// assert_eq!(share.share(), 0.0);
    /// share.record_costs(costs, Duration::from_millis(600));
    /// assert_eq!(share.share(), 0.1);
    /// ```
    pub fn record_costs(&mut self, costs: CostComparison, now: Duration) -> bool {
        self.end_steps(now);
        self.step.excess += costs.excess();
        self.step.count += 1.0;
        (self.local_ms, self.remote_ms) = (costs.local, costs.remote);
        let is_logged = (self.share - self.logged).abs() > LOGGED_CHANGE - ROUNDING;
        if is_logged {
            self.logged = self.share;
        }
        is_logged
    }

    fn end_steps(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.step_began);
        let passed = (elapsed.as_nanos() / STEP_TIME.as_nanos()).min(u128::from(u32::MAX)) as u32;
        if passed == 0 {
            return;
        }
        self.step_began += STEP_TIME * passed;
        if self.step.count > 0.0 {
            let mean = self.step.excess / self.step.count;
            self.excess_ms += (mean - self.excess_ms) * STEP_WEIGHT;
            self.change_share(if self.excess_ms >= RISE_MARGIN { 1.0 } else { -1.0 });
            self.change_share(-f64::from(passed - 1));
        } else {
            self.change_share(-f64::from(passed));
        }
        if passed > 1 {
            self.excess_ms = 0.0;
        }
        self.step = StepCosts::default();
    }

    /// Changes the share by a number of steps, without an accumulation of rounding errors.
    fn change_share(&mut self, steps: f64) {
        let current = (self.share * STEP_COUNT).round();
        self.share = (current + steps).clamp(0.0, STEP_COUNT) / STEP_COUNT;
    }
}
