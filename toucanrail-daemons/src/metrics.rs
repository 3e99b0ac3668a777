//! Prometheus metrics of a daemon.

use http_types::Response;
use prometheus::TextEncoder;
use prometheus::{Encoder, Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry};
use toucanrail::codes::ResultCode;
use toucanrail::storecalls::ObjectPath;
use toucanrail_wire::responses;

/// Bucket bounds of the latency histograms in seconds.
const LATENCY_BUCKETS: [f64; 11] =
    [0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0];

/// Metrics of a daemon.
#[derive(Debug, Clone)]
pub struct ProcessMetrics {
    registry: Registry,
    results: IntCounterVec,
    events: IntCounterVec,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Time to the first byte of a response.
    pub first_byte: Histogram,
    /// Version of the catalogue in force.
    pub in_force: IntGauge,
}

impl ProcessMetrics {
    /// Creates and registers the metrics of a daemon; `prefix` is the daemon's role.
    ///
    /// # Errors
    /// Returns an error if `prefix` is not valid in a metric name.
    pub fn new(prefix: &str) -> prometheus::Result<Self> {
        let registry = Registry::new();
        let name = |end: &str| format!("toucanrail_{prefix}_{end}");
        let results = Opts::new(name("results_total"), "Requests by result code.");
        let results = IntCounterVec::new(results, &["code"])?;
        let events = Opts::new(name("events_total"), "Events by kind.");
        let events = IntCounterVec::new(events, &["kind"])?;
        let in_flight = IntGauge::new(name("in_flight"), "Requests in flight.")?;
        let options = HistogramOpts::new(name("first_byte_seconds"), "Time to the first byte.")
            .buckets(LATENCY_BUCKETS.to_vec());
        let first_byte = Histogram::with_opts(options)?;
        let in_force = IntGauge::new(name("catalogue_version"), "Catalogue version in force.")?;
        registry.register(Box::new(results.clone()))?;
        registry.register(Box::new(events.clone()))?;
        registry.register(Box::new(in_flight.clone()))?;
        registry.register(Box::new(first_byte.clone()))?;
        registry.register(Box::new(in_force.clone()))?;
        Ok(Self { registry, results, events, in_flight, first_byte, in_force })
    }

    /// Counts the result of a request.
    pub fn count_result(&self, code: ResultCode) {
        self.results.with_label_values(&[code.row().name]).inc();
    }

    /// Counts an event of a kind.
    pub fn count_event(&self, kind: &str) {
        self.events.with_label_values(&[kind]).inc();
    }

    /// Counts and logs an object of the store that cannot be decoded, if there is one. What depends
    /// on it stands still until an operator has restored it.
    pub fn report_unreadable(&self, path: Option<&ObjectPath>) {
        if let Some(path) = path {
            self.count_event("objects_unreadable");
            tracing::error!(event = "object_unreadable", %path);
        }
    }

    /// Adds to the count of a kind of event.
    pub fn add_events(&self, kind: &str, count: u64) {
        self.events.with_label_values(&[kind]).inc_by(count);
    }

    /// Returns the count of a kind of event.
    pub fn event_count(&self, kind: &str) -> u64 {
        self.events.with_label_values(&[kind]).get()
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn encode(&self) -> prometheus::Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }

    /// Builds the response to `/metrics`.
    pub fn response(&self) -> Response {
        match self.encode() {
            Ok(text) => {
                let mut response = responses::bytes(200, text);
                response.insert_header("content-type", "text/plain; version=0.0.4");
                response
            }
            Err(error) => responses::text(500, error.to_string()),
        }
    }
}
