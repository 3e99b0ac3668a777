//! An agent's ledger: which tries came, what they used, and what is fenced.
//!
//! The agent is the only way to its backend server, so what its ledger refuses did not run, and
//! what it lists is all that ran. It lives in memory: an order names the agent's incarnation, and a
//! restarted agent, which has forgotten its fences, refuses every order meant for an earlier one.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use serde::Serialize;

use crate::codes::ResultCode;
use crate::codetable;
use crate::ids::{AgentId, CustomerId, Epoch, RequestId, RunId, ServiceName, ShardName, Tokens};
use crate::messages::{FenceReply, QueryMode, RunCommand, RunReport, StoredResponse, UsageRow};

/// Runs remembered after they were dropped, and answers kept for runs that may not be repeated.
const MEMORY_LIMIT: usize = 20_000;

/// One try.
#[derive(Debug, Clone, Serialize)]
pub struct RunRow {
    /// Its request.
    pub request: RequestId,
    /// Who pays.
    pub customer: CustomerId,
    /// The service.
    pub service: ServiceName,
    /// The shard that holds the money.
    pub shard: ShardName,
    /// The tenure that holds the money.
    pub epoch: Epoch,
    /// Whether the caller gave a key.
    pub keyed: bool,
    /// Whether it goes on behind what the caller has from an earlier try.
    pub resumed: bool,
    /// The most it may use.
    pub hold: Tokens,
    /// How far it is.
    pub state: RunProgress,
}

/// How far a try is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum RunProgress {
    /// It runs.
    Running,
    /// It ended.
    Ended {
        /// Whether its answer was whole.
        whole: bool,
        /// What it provably used.
        used: Tokens,
        /// What it may have used besides.
        unproved: Tokens,
    },
}

/// All tries that one run of an agent knows of.
#[derive(Debug, Serialize)]
pub struct UsageLedger {
    agent: AgentId,
    fences: BTreeSet<(ShardName, Epoch)>,
    runs: BTreeMap<RunId, RunRow>,
    voided: BTreeSet<RunId>,
    #[serde(skip)]
    answers: BTreeMap<RunId, StoredResponse>,
    #[serde(skip)]
    dropped: BTreeSet<RunId>,
    #[serde(skip)]
    dropped_order: VecDeque<RunId>,
    /// Whether no new work is taken.
    pub leaving: bool,
}

impl UsageLedger {
    /// Makes the empty ledger of one run of an agent.
    pub fn new(agent: AgentId) -> Self {
        Self {
            agent,
            fences: BTreeSet::new(),
            runs: BTreeMap::new(),
            voided: BTreeSet::new(),
            answers: BTreeMap::new(),
            dropped: BTreeSet::new(),
            dropped_order: VecDeque::new(),
            leaving: false,
        }
    }

    /// Returns the agent's incarnation.
    pub fn agent(&self) -> &AgentId {
        &self.agent
    }

    /// Takes a try in, or says why it will never run here.
    ///
    /// # Errors
    /// [`codetable::WRONG_INCARNATION`], [`codetable::STOPPING`], [`codetable::FENCED`],
    /// [`codetable::VOIDED`] and [`codetable::DEADLINE_PASSED`] prove that it did not run;
    /// [`codetable::ALREADY_SEEN`] says that this very try came before.
    pub fn admit(&mut self, order: &RunCommand) -> Result<(), ResultCode> {
        if order.agent != self.agent {
            return Err(codetable::WRONG_INCARNATION);
        }
        if self.runs.contains_key(&order.run) || self.dropped.contains(&order.run) {
            return Err(codetable::ALREADY_SEEN);
        }
        if self.voided.contains(&order.run) {
            return Err(codetable::VOIDED);
        }
        if self.fences.contains(&(Arc::clone(&order.shard), order.epoch)) {
            return Err(codetable::FENCED);
        }
        if self.leaving {
            return Err(codetable::STOPPING);
        }
        if order.time_left == 0 {
            return Err(codetable::DEADLINE_PASSED);
        }
        let row = RunRow {
            request: Arc::clone(&order.request),
            customer: Arc::clone(&order.customer),
            service: Arc::clone(&order.service),
            shard: Arc::clone(&order.shard),
            epoch: order.epoch,
            keyed: order.keyed,
            resumed: order.resume_from > 0,
            hold: order.hold,
            state: RunProgress::Running,
        };
        self.runs.insert(Arc::clone(&order.run), row);
        Ok(())
    }

    /// Notes how a try ended.
    pub fn finish(
        &mut self,
        run: &RunId,
        whole: bool,
        used: Tokens,
        unproved: Tokens,
        answer: Option<StoredResponse>,
    ) {
        if let Some(row) = self.runs.get_mut(run) {
            row.state = RunProgress::Ended { whole, used, unproved };
            if let Some(answer) = answer {
                self.answers.insert(Arc::clone(run), answer);
            }
        }
    }

    /// Takes a try back that was admitted but provably never reached the backend server.
    pub fn withdraw(&mut self, run: &RunId) {
        self.runs.remove(run);
        self.voided.insert(Arc::clone(run));
    }

    /// Takes no more work of a tenure, for good, and tells what it used.
    pub fn fence(&mut self, shard: &ShardName, epoch: Epoch) -> FenceReply {
        self.fences.insert((Arc::clone(shard), epoch));
        let mut rows = Vec::new();
        let mut running = 0;
        let owned = self.runs.iter().filter(|(_, row)| row.shard == *shard && row.epoch == epoch);
        for (run, row) in owned {
            match row.state {
                RunProgress::Running => running += 1,
                RunProgress::Ended { whole, used, unproved } => {
                    rows.push(usage_row(run, row, whole, used, unproved));
                }
            }
        }
        FenceReply { agent: Arc::clone(&self.agent), rows, running }
    }

    /// Drops runs that are settled.
    pub fn acknowledge(&mut self, runs: &[RunId]) {
        for run in runs {
            let ended = self.runs.get(run).is_some_and(|row| row.state != RunProgress::Running);
            if ended {
                self.runs.remove(run);
                self.remember(run);
            }
        }
    }

    fn remember(&mut self, run: &RunId) {
        self.dropped.insert(Arc::clone(run));
        self.dropped_order.push_back(Arc::clone(run));
        while self.dropped_order.len() > MEMORY_LIMIT {
            if let Some(old) = self.dropped_order.pop_front() {
                self.dropped.remove(&old);
                self.answers.remove(&old);
            }
        }
    }

    /// Tells what became of a try, and with a mode other than `Look` makes sure that one that
    /// has not come never runs.
    pub fn ask(&mut self, run: &RunId, mode: QueryMode) -> RunReport {
        let answer = self.answers.get(run).cloned();
        if let Some(row) = self.runs.get(run) {
            return match row.state {
                RunProgress::Running => RunReport::Running,
                RunProgress::Ended { whole, used, unproved } => {
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

    /// Returns how many tries run.
    pub fn running(&self) -> usize {
        self.runs.values().filter(|row| row.state == RunProgress::Running).count()
    }

    /// Returns how many tries ended and are not acknowledged.
    pub fn unsettled(&self) -> usize {
        self.runs.len() - self.running()
    }
}

fn usage_row(run: &RunId, row: &RunRow, whole: bool, used: Tokens, unproved: Tokens) -> UsageRow {
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
