//! Simulated plain service: an HTTP backend server that counts executions by idempotency key.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http_types::Response;
use serde_json::json;
use smol::net::TcpListener;
use toucanrail_wire::listeners::{self, ReceivedRequest, ServerLimits};
use toucanrail_wire::responses;

use crate::faults::FaultInjector;

/// A simulated plain service; clones share its counts.
#[derive(Debug, Clone, Default)]
pub struct PlainStandin {
    runs: Arc<Mutex<BTreeMap<String, u64>>>,
    /// Faults injected into this service.
    pub faults: FaultInjector,
}

impl PlainStandin {
    /// Creates a service with empty counts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Serves the service's interface and its control port.
    pub async fn serve(self, listener: TcpListener) {
        let handler = move |request| {
            let this = self.clone();
            async move { this.handle(request).await }
        };
        listeners::serve(listener, ServerLimits::default(), handler).await;
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, u64>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of executions by idempotency key.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.lock().clone()
    }

    async fn handle(&self, request: ReceivedRequest) -> Response {
        match request.path() {
            "/control/faults" => return self.faults.handle_control(&request),
            "/control/runs" => return responses::json(200, &self.runs()),
            "/health" => return responses::text(200, "ok"),
            _ => {}
        }
        let key = request.field("idempotency-key").unwrap_or("none").to_owned();
        let count = {
            let mut runs = self.lock();
            let count = runs.entry(key.clone()).or_default();
            *count += 1;
            *count
        };
        if let Some(delay_ms) = request.field("plain-delay-ms").and_then(|text| text.parse().ok()) {
            smol::Timer::after(Duration::from_millis(delay_ms)).await;
        }
        if !self.faults.apply_delays().await {
            return responses::text(503, "down");
        }
        let fields: Vec<&str> = request.request.iter().map(|(name, _)| name.as_str()).collect();
        let padding = request.field("plain-padding").and_then(|text| text.parse().ok());
        let body = json!({
            "padding": "x".repeat(padding.unwrap_or(0)),
            "path": request.path(),
            "method": request.request.method().to_string(),
            "key": key,
            "run": count,
            "received": request.body.len(),
            "fields": fields,
        });
        let mut response = responses::json(200, &body);
        if let Some(status) =
            request.field("plain-status").and_then(|text| text.parse::<u16>().ok())
        {
            response.set_status(status.try_into().unwrap_or(http_types::StatusCode::Ok));
        }
        for cookie in request.request.header("plain-cookie").into_iter().flatten() {
            response.append_header("set-cookie", cookie.as_str());
        }
        if self.faults.consume(|plan| &mut plan.cut_answers) {
            return truncated_response();
        }
        response
    }
}

/// Returns a response whose body ends before it is complete.
fn truncated_response() -> Response {
    let (writer, body) = toucanrail_wire::pipes::make_pipe();
    smol::spawn(async move {
        writer.send(b"{\"par".to_vec()).await;
    })
    .detach();
    responses::stream(200, body)
}

/// Starts a plain service on the given address and returns the address it listens on.
///
/// # Errors
/// Returns an error if the address cannot be bound.
pub fn start(address: &str) -> io::Result<(PlainStandin, SocketAddr)> {
    let listener = listeners::bind(address)?;
    let bound = listener.local_addr()?;
    let standin = PlainStandin::new();
    smol::spawn(standin.clone().serve(listener)).detach();
    Ok((standin, bound))
}
