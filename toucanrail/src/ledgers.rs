//! The ledger of an agent: the attempts it received, what they used, and which tenures are fenced.
//!
//! All requests reach a backend server through its agent, so an attempt that the ledger rejects
//! did not run, and the ledger lists every attempt that did. The ledger is kept in memory only. A
//! restarted agent has lost its fences; it therefore rejects commands for an earlier
//! incarnation, which every command names.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use serde::Serialize;

use crate::codes::ResultCode;
use crate::codetable;
use crate::ids::{AgentId, CustomerId, Epoch, RequestId, RunId, ServiceName, ShardName, Tokens};
use crate::messages::{FenceReply, QueryMode, RunCommand, RunReport, StoredResponse, UsageRow};

/// Number of dropped attempts whose ids are retained, with the responses of those that may not be
/// repeated.
const DROPPED_LIMIT: usize = 20_000;

/// One attempt, as the ledger records it.
#[derive(Debug, Clone, Serialize)]
pub struct LedgerRow {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The customer that is charged.
    pub customer: CustomerId,
    /// The service.
    pub service: ServiceName,
    /// The shard that the hold is charged to.
    pub shard: ShardName,
    /// The tenure in that shard.
    pub epoch: Epoch,
    /// Whether the caller gave an idempotency key.
    pub keyed: bool,
    /// Whether it continues the partial response of an earlier attempt.
    pub resumed: bool,
    /// Maximum usage.
    pub hold: Tokens,
    /// Whether it is running or has ended.
    pub state: RunPhase,
}

/// Phase of an attempt at its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum RunPhase {
    /// It is running.
    Running,
    /// It has ended.
    Ended {
        /// Whether its response was complete.
        whole: bool,
        /// Usage that is proven.
        used: Tokens,
        /// Further usage that is possible but not proven.
        unproved: Tokens,
    },
}

/// The attempts known to one incarnation of an agent.
#[derive(Debug, Serialize)]
pub struct UsageLedger {
    agent: AgentId,
    fences: BTreeSet<(ShardName, Epoch)>,
    runs: BTreeMap<RunId, LedgerRow>,
    /// Attempts that must never run here.
    voided: BTreeSet<RunId>,
    /// Complete responses of attempts that may not be repeated.
    #[serde(skip)]
    responses: BTreeMap<RunId, StoredResponse>,
    /// Attempts that were settled and removed from `runs`.
    #[serde(skip)]
    dropped: BTreeSet<RunId>,
    /// The dropped attempts in order, for eviction.
    #[serde(skip)]
    dropped_order: VecDeque<RunId>,
    /// Whether the agent is stopping and rejects new attempts.
    pub leaving: bool,
}

impl UsageLedger {
    /// Creates the empty ledger of a new incarnation.
    pub fn new(agent: AgentId) -> Self {
        Self {
            agent,
            fences: BTreeSet::new(),
            runs: BTreeMap::new(),
            voided: BTreeSet::new(),
            responses: BTreeMap::new(),
            dropped: BTreeSet::new(),
            dropped_order: VecDeque::new(),
            leaving: false,
        }
    }

    /// Returns the agent's incarnation.
    pub fn agent(&self) -> &AgentId {
        &self.agent
    }

    /// Admits an attempt.
    ///
    /// # Errors
    /// [`codetable::WRONG_INCARNATION`], [`codetable::STOPPING`], [`codetable::FENCED`],
    /// [`codetable::VOIDED`] and [`codetable::DEADLINE_PASSED`] guarantee that the attempt did not
    /// run; [`codetable::ALREADY_SEEN`] means that it was received before.
    pub fn admit(&mut self, command: &RunCommand) -> Result<(), ResultCode> {
        if command.agent != self.agent {
            return Err(codetable::WRONG_INCARNATION);
        }
        if self.runs.contains_key(&command.run) || self.dropped.contains(&command.run) {
            return Err(codetable::ALREADY_SEEN);
        }
        if self.voided.contains(&command.run) {
            return Err(codetable::VOIDED);
        }
        if self.fences.contains(&(Arc::clone(&command.shard), command.epoch)) {
            return Err(codetable::FENCED);
        }
        if self.leaving {
            return Err(codetable::STOPPING);
        }
        if command.time_left == 0 {
            return Err(codetable::DEADLINE_PASSED);
        }
        let row = LedgerRow {
            request: Arc::clone(&command.request),
            customer: Arc::clone(&command.customer),
            service: Arc::clone(&command.service),
            shard: Arc::clone(&command.shard),
            epoch: command.epoch,
            keyed: command.keyed,
            resumed: command.resume_from > 0,
            hold: command.hold,
            state: RunPhase::Running,
        };
        self.runs.insert(Arc::clone(&command.run), row);
        Ok(())
    }

    /// Records the end of an attempt.
    ///
    /// `response` is the complete response of an attempt that may not be repeated.
    pub fn finish(
        &mut self,
        run: &RunId,
        whole: bool,
        used: Tokens,
        unproved: Tokens,
        response: Option<StoredResponse>,
    ) {
        if let Some(row) = self.runs.get_mut(run) {
            row.state = RunPhase::Ended { whole, used, unproved };
            if let Some(response) = response {
                self.responses.insert(Arc::clone(run), response);
            }
        }
    }

    /// Withdraws an admitted attempt that provably never reached the backend server.
    pub fn withdraw(&mut self, run: &RunId) {
        self.runs.remove(run);
        self.voided.insert(Arc::clone(run));
    }

    /// Permanently rejects new attempts of a tenure, and returns the usage of its ended ones.
    pub fn fence(&mut self, shard: &ShardName, epoch: Epoch) -> FenceReply {
        self.fences.insert((Arc::clone(shard), epoch));
        let mut rows = Vec::new();
        let mut running = 0;
        let in_tenure =
            self.runs.iter().filter(|(_, row)| row.shard == *shard && row.epoch == epoch);
        for (run, row) in in_tenure {
            match row.state {
                RunPhase::Running => running += 1,
                RunPhase::Ended { whole, used, unproved } => {
                    rows.push(usage_row(run, row, whole, used, unproved));
                }
            }
        }
        FenceReply { agent: Arc::clone(&self.agent), rows, running }
    }

    /// Drops settled attempts; those that are still running are kept.
    pub fn acknowledge(&mut self, runs: &[RunId]) {
        for run in runs {
            let ended = self.runs.get(run).is_some_and(|row| row.state != RunPhase::Running);
            if ended {
                self.runs.remove(run);
                self.retain_dropped(run);
            }
        }
    }

    /// Retains the id of a dropped attempt, and evicts the oldest ones beyond the limit together
    /// with their responses.
    fn retain_dropped(&mut self, run: &RunId) {
        self.dropped.insert(Arc::clone(run));
        self.dropped_order.push_back(Arc::clone(run));
        while self.dropped_order.len() > DROPPED_LIMIT {
            if let Some(oldest) = self.dropped_order.pop_front() {
                self.dropped.remove(&oldest);
                self.responses.remove(&oldest);
            }
        }
    }

    /// Returns the state of an attempt. Unless `mode` is [`QueryMode::Look`], an attempt that was
    /// not received is voided, so that it never runs here.
    pub fn query(&mut self, run: &RunId, mode: QueryMode) -> RunReport {
        let answer = self.responses.get(run).cloned();
        if let Some(row) = self.runs.get(run) {
            return match row.state {
                RunPhase::Running => RunReport::Running,
                RunPhase::Ended { whole, used, unproved } => {
                    RunReport::Ended { whole, used, unproved, answer }
                }
            };
        }
        if self.dropped.contains(run) {
            return RunReport::Ended { whole: answer.is_some(), used: 0, unproved: 0, answer };
        }
        if mode != QueryMode::Look {
            self.voided.insert(Arc::clone(run));
        }
        RunReport::NeverCame
    }

    /// Returns the number of running attempts.
    pub fn running(&self) -> usize {
        self.runs.values().filter(|row| row.state == RunPhase::Running).count()
    }

    /// Returns the number of attempts that have ended but are not acknowledged.
    pub fn unsettled(&self) -> usize {
        self.runs.len() - self.running()
    }
}

fn usage_row(
    run: &RunId,
    row: &LedgerRow,
    whole: bool,
    used: Tokens,
    unproved: Tokens,
) -> UsageRow {
    UsageRow {
        run: Arc::clone(run),
        request: Arc::clone(&row.request),
        customer: Arc::clone(&row.customer),
        service: Arc::clone(&row.service),
        keyed: row.keyed,
        resumed: row.resumed,
        whole,
        used,
        unproved,
    }
}
