//! Faults injected into a simulated system through its control port.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http_types::Response;
use serde::{Deserialize, Serialize};
use toucanrail_wire::listeners::ReceivedRequest;
use toucanrail_wire::responses;

/// How often a blocked response checks whether the freeze is over.
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The active faults; a `POST` to the control port replaces only the fields present in its body.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// Responds to every request with 503 immediately.
    pub down: bool,
    /// Blocks every response.
    pub frozen: bool,
    /// Delay of every response, in milliseconds.
    pub slow_ms: u64,
    /// Number of completion requests that are held back until a cancellation on another connection
    /// has overtaken them.
    pub overtaken_requests: u64,
    /// Number of writes that take effect but never get a response.
    pub lose_answers: u64,
    /// Kind of the objects that `lose_answers` applies to; all if empty.
    pub lose_kind: String,
    /// Keeps watches from reporting changes before they time out.
    pub watch_gap: bool,
    /// Number of responses that are truncated after `cut_after` tokens.
    pub cut_answers: u64,
    /// Tokens sent before a response is truncated or stalls.
    pub cut_after: u64,
    /// Number of streamed responses that stall after `cut_after` tokens with the connection open.
    pub silent_answers: u64,
    /// Number of requests to resume a stream that are answered with status 409.
    pub refused_resumes: u64,
    /// Number of responses that carry the id of another request.
    pub foreign_answers: u64,
    /// Duration of an engine step as a percentage of the configured one; 0 means 100.
    pub pace_percent: u64,
}

/// The active faults of one simulated system, shared by its request handlers.
#[derive(Debug, Clone, Default)]
pub struct FaultInjector {
    plan: Arc<Mutex<FaultPlan>>,
}

impl FaultInjector {
    /// Creates an injector without active faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Modifies the active faults.
    pub fn change<Change>(&self, change: Change)
    where
        Change: FnOnce(&mut FaultPlan),
    {
        change(&mut self.lock());
    }

    /// Returns the active faults.
    pub fn plan(&self) -> FaultPlan {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, FaultPlan> {
        self.plan.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Decrements a counted fault; returns whether one was left to inject.
    pub fn consume<Select>(&self, select: Select) -> bool
    where
        Select: FnOnce(&mut FaultPlan) -> &mut u64,
    {
        let mut plan = self.lock();
        let count = select(&mut plan);
        let is_due = *count > 0;
        *count = count.saturating_sub(1);
        is_due
    }

    /// Waits while the system is frozen, then for the configured delay; returns false if the system
    /// is down.
    pub async fn apply_delays(&self) -> bool {
        while self.plan().frozen {
            smol::Timer::after(FREEZE_POLL_INTERVAL).await;
        }
        let plan = self.plan();
        if plan.slow_ms > 0 {
            smol::Timer::after(Duration::from_millis(plan.slow_ms)).await;
        }
        !plan.down
    }

    /// Handles a control request: an empty body returns the active faults, a JSON object replaces
    /// the fields it contains. Responds with 400 if the body is not a valid fault plan.
    pub fn handle_control(&self, request: &ReceivedRequest) -> Response {
        if request.body.is_empty() {
            return responses::json(200, &self.plan());
        }
        // Locked throughout, so that a fault consumed meanwhile is not restored.
        let mut plan = self.lock();
        match merge_plan(&plan, &request.body) {
            Some(merged) => {
                *plan = merged;
                responses::json(200, &*plan)
            }
            None => responses::text(400, "not a fault plan"),
        }
    }
}

/// Returns the plan with the fields of a JSON object replaced.
fn merge_plan(plan: &FaultPlan, overrides: &[u8]) -> Option<FaultPlan> {
    let mut merged = serde_json::to_value(plan).ok()?;
    let overrides: serde_json::Value = serde_json::from_slice(overrides).ok()?;
    for (name, value) in overrides.as_object()? {
        merged[name] = value.clone();
    }
    serde_json::from_value(merged).ok()
}
