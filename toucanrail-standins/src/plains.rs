//! A plain service's stand-in: it counts each run by key.

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

use crate::faults::FaultDesk;

/// A plain service; clones share its counts.
#[derive(Debug, Clone, Default)]
pub struct PlainStandin {
    runs: Arc<Mutex<BTreeMap<String, u64>>>,
    /// Its faults.
    pub faults: FaultDesk,
}

impl PlainStandin {
    /// Makes a service that has run nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Serves the service and its control port.
    pub async fn serve(self, listener: TcpListener) {
        let handler = move |call| {
            let this = self.clone();
            async move { this.answer(call).await }
        };
        listeners::serve(listener, ServerLimits::default(), handler).await;
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, u64>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how often each key ran.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.lock().clone()
    }

    async fn answer(&self, call: ReceivedRequest) -> Response {
        match call.path() {
            "/control/faults" => return self.faults.answer_control(&call),
            "/control/runs" => return responses::json(200, &self.runs()),
            "/health" => return responses::text(200, "ok"),
            _ => {}
        }
        let key = call.field("idempotency-key").unwrap_or("none").to_owned();
        let count = {
            let mut runs = self.lock();
            let count = runs.entry(key.clone()).or_default();
            *count += 1;
            *count
        };
        if let Some(wait) = call.field("plain-delay-ms").and_then(|text| text.parse().ok()) {
            smol::Timer::after(Duration::from_millis(wait)).await;
        }
        if !self.faults.pass().await {
            return responses::text(503, "down");
        }
        let body = json!({
            "path": call.path(),
            "method": call.request.method().to_string(),
            "key": key,
            "run": count,
            "received": call.body.len(),
        });
        let mut response = responses::json(200, &body);
        if let Some(asked) = call.field("plain-status").and_then(|text| text.parse::<u16>().ok()) {
            response.set_status(asked.try_into().unwrap_or(http_types::StatusCode::Ok));
        }
        if self.faults.take(|plan| &mut plan.cut_answers) {
            return cut_answer();
        }
        response
    }
}

/// Returns an answer that ends before it is whole.
fn cut_answer() -> Response {
    let (writer, body) = toucanrail_wire::pipes::make_pipe();
    smol::spawn(async move {
        writer.send(b"{\"par".to_vec()).await;
    })
    .detach();
    responses::stream(200, body)
}

/// Starts a plain service on a port of its own.
pub fn start(address: &str) -> io::Result<(PlainStandin, SocketAddr)> {
    let listener = listeners::bind(address)?;
    let bound = listener.local_addr()?;
    let standin = PlainStandin::new();
    smol::spawn(standin.clone().serve(listener)).detach();
    Ok((standin, bound))
}
