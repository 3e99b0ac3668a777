//! Faults that a stand-in's control port injects.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http_types::Response;
use serde::{Deserialize, Serialize};
use toucanrail_wire::listeners::ReceivedRequest;
use toucanrail_wire::responses;

/// How often a held-back answer looks whether its fault is over.
const HOLD_STEP: Duration = Duration::from_millis(20);

/// The faults in force; the control port's `POST /faults` replaces those it names.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// Answers every call with 503, at once.
    pub down: bool,
    /// Holds every answer back.
    pub frozen: bool,
    /// Delays every answer, in milliseconds.
    pub slow_ms: u64,
    /// Delays completions alone, in milliseconds: a cancel on another connection overtakes them.
    pub late_ms: u64,
    /// Writes that take effect and are then answered by nothing.
    pub lose_answers: u64,
    /// Keeps watches from waking.
    pub watch_gap: bool,
    /// Answers that are cut after some tokens.
    pub cut_answers: u64,
    /// Tokens before a cut.
    pub cut_after: u64,
    /// Answers whose stream stays open and falls silent after some tokens.
    pub silent_answers: u64,
    /// Answers that carry another request's id.
    pub foreign_answers: u64,
    /// Multiplies the time of an engine's step, in percent; 0 means 100.
    pub pace_percent: u64,
}

/// The faults of one stand-in, shared by its handlers.
#[derive(Debug, Clone, Default)]
pub struct FaultDesk {
    plan: Arc<Mutex<FaultPlan>>,
}

impl FaultDesk {
    /// Makes a desk without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Changes the faults.
    pub fn change<Change>(&self, change: Change)
    where
        Change: FnOnce(&mut FaultPlan),
    {
        change(&mut self.lock());
    }

    /// Returns the faults in force.
    pub fn plan(&self) -> FaultPlan {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, FaultPlan> {
        self.plan.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes one of the faults that are counted.
    pub fn take<Pick>(&self, pick: Pick) -> bool
    where
        Pick: FnOnce(&mut FaultPlan) -> &mut u64,
    {
        let mut plan = self.lock();
        let count = pick(&mut plan);
        let due = *count > 0;
        *count = count.saturating_sub(1);
        due
    }

    /// Waits out a freeze and a delay; false if the stand-in is down.
    pub async fn pass(&self) -> bool {
        while self.plan().frozen {
            smol::Timer::after(HOLD_STEP).await;
        }
        let plan = self.plan();
        if plan.slow_ms > 0 {
            smol::Timer::after(Duration::from_millis(plan.slow_ms)).await;
        }
        !plan.down
    }

    /// Answers a call of the control port: `GET` shows the faults, `POST` changes those named.
    pub fn answer_control(&self, call: &ReceivedRequest) -> Response {
        if call.body.is_empty() {
            return responses::json(200, &self.plan());
        }
        let merged = serde_json::to_value(self.plan()).ok().and_then(|mut plan| {
            let named: serde_json::Value = serde_json::from_slice(&call.body).ok()?;
            for (name, value) in named.as_object()? {
                plan[name] = value.clone();
            }
            serde_json::from_value(plan).ok()
        });
        match merged {
            Some(plan) => {
                *self.lock() = plan;
                responses::json(200, &self.plan())
            }
            None => responses::text(400, "not a fault plan"),
        }
    }
}
