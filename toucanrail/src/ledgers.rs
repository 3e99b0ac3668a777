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
use crate::ids::{
    AgentId, CustomerId, EntryId, Epoch, RequestId, RunId, RunNumber, ServiceName, ShardName,
    Tokens,
};
use crate::messages::{
    FenceReply, QueryMode, RunCommand, RunQuery, RunReport, StoredResponse, UsageRow,
};

/// Number of dropped or voided attempts whose ids are retained, with the responses of those that
/// may not be repeated.
const RETAINED_LIMIT: usize = 20_000;

/// One attempt, as the ledger records it.
#[derive(Debug, Clone, Serialize)]
pub struct LedgerRow {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The entry that sent the command.
    pub entry: EntryId,
    /// Number of the attempt among those of its entry; 0 if the entry does not number them.
    pub number: RunNumber,
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

/// An attempt whose id is retained until it is evicted.
#[derive(Debug)]
struct RetainedRun {
    run: RunId,
    entry: EntryId,
    number: RunNumber,
}

impl RetainedRun {
    fn new(run: &RunId, entry: &EntryId, number: RunNumber) -> Self {
        Self { run: Arc::clone(run), entry: Arc::clone(entry), number }
    }
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
    /// The dropped and voided attempts in order, for eviction.
    #[serde(skip)]
    retained_order: VecDeque<RetainedRun>,
    /// Highest number of an attempt of each entry whose id was evicted. Attempts with lower numbers
    /// may have run here.
    evicted: BTreeMap<EntryId, RunNumber>,
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
            retained_order: VecDeque::new(),
            evicted: BTreeMap::new(),
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
        if self.may_be_evicted(&command.entry, command.number) {
            return Err(codetable::ALREADY_SEEN);
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
            entry: Arc::clone(&command.entry),
            number: command.number,
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
        if let Some(row) = self.runs.remove(run) {
            self.voided.insert(Arc::clone(run));
            self.retain_id(RetainedRun::new(run, &row.entry, row.number));
        }
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
        FenceReply { agent: Arc::clone(&self.agent), rows, running, held: None }
    }

    /// Drops settled attempts; those that are still running are kept.
    pub fn acknowledge(&mut self, runs: &[RunId]) {
        for run in runs {
            let ended = self.runs.get(run).is_some_and(|row| row.state != RunPhase::Running);
            if ended && let Some(row) = self.runs.remove(run) {
                self.dropped.insert(Arc::clone(run));
                self.retain_id(RetainedRun::new(run, &row.entry, row.number));
            }
        }
    }

    /// Retains the id of a dropped or voided attempt, and evicts the oldest ones beyond the limit
    /// together with their responses.
    fn retain_id(&mut self, retained: RetainedRun) {
        self.retained_order.push_back(retained);
        while self.retained_order.len() > RETAINED_LIMIT {
            if let Some(oldest) = self.retained_order.pop_front() {
                self.dropped.remove(&oldest.run);
                self.voided.remove(&oldest.run);
                self.responses.remove(&oldest.run);
                let highest = self.evicted.entry(oldest.entry).or_default();
                *highest = oldest.number.max(*highest);
            }
        }
    }

    /// Returns whether an attempt whose id is not known may be one whose id was evicted.
    fn may_be_evicted(&self, entry: &EntryId, number: RunNumber) -> bool {
        self.evicted.get(entry).is_some_and(|highest| (1..=*highest).contains(&number))
    }

    /// Returns the state of an attempt. Unless the mode is [`QueryMode::Look`], an attempt that was
    /// not received is voided, so that it never runs here.
    ///
    /// An attempt that may have been evicted is reported as ended without proof of its usage.
    pub fn query(&mut self, query: &RunQuery) -> RunReport {
        let run = &query.run;
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
        if self.voided.contains(run) {
            return RunReport::NeverCame;
        }
        if self.may_be_evicted(&query.entry, query.number) {
            return RunReport::Ended { whole: false, used: 0, unproved: 0, answer: None };
        }
        if query.mode != QueryMode::Look {
            self.voided.insert(Arc::clone(run));
            self.retain_id(RetainedRun::new(run, &query.entry, query.number));
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
