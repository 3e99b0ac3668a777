//! A simulation of entries, agents and an object API. Every message is an explicit step, so that a
//! schedule can delay or lose it.

// Each test file uses only some of these items.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use toucanrail::archives::ArchiveMachine;
use toucanrail::budgets::{BillBatch, BillRow, BilledRun, BudgetAccount, BudgetShard, HolderState};
use toucanrail::grants::{GrantHold, GrantTable};
use toucanrail::ids::{AgentId, CustomerId, EntryId, RequestId, RunId, ShardName, Tokens, Version};
use toucanrail::ledgers::UsageLedger;
use toucanrail::messages::{RunCommand, UsageRule};
use toucanrail::paths;
use toucanrail::policies::GrantPolicy;
use toucanrail::reclaims::{ReclaimCall, ReclaimMachine, ReclaimOutcome, ReclaimReply};
use toucanrail::storecalls::{self, ObjectPath, StoreCall, StoreReply, WriteExpectation};
use toucanrail::syncs::SyncMachine;

/// The fault of one call to the object API.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// It applies the call and replies.
    NoFault,
    /// It neither applies the call nor replies.
    Unavailable,
    /// It applies the call but does not reply.
    ReplyLost,
    /// It does not reply; a write is applied later if its condition still holds.
    Delayed,
}

/// The object API as a map.
#[derive(Debug, Default)]
pub struct FakeStore {
    pub objects: BTreeMap<ObjectPath, (Version, Vec<u8>)>,
    pub revision: Version,
    pub writes: u64,
    delayed: Vec<StoreCall>,
}

impl FakeStore {
    pub fn call(&mut self, call: &StoreCall, fault: StoreFault) -> StoreReply {
        match fault {
            StoreFault::NoFault => self.apply(call),
            StoreFault::Unavailable => StoreReply::Unavailable,
            StoreFault::ReplyLost => {
                self.apply(call);
                StoreReply::Unavailable
            }
            StoreFault::Delayed => {
                self.delayed.push(call.clone());
                StoreReply::Unavailable
            }
        }
    }

    pub fn apply_delayed(&mut self) {
        for call in std::mem::take(&mut self.delayed) {
            self.apply(&call);
        }
    }

    fn apply(&mut self, call: &StoreCall) -> StoreReply {
        match call {
            StoreCall::Get { path } => match self.objects.get(path) {
                Some((version, value)) => {
                    StoreReply::Found { version: *version, value: value.clone() }
                }
                None => StoreReply::Missing,
            },
            StoreCall::Put { path, expect, value } => {
                self.writes += 1;
                let known = self.objects.get(path).map(|(version, _)| *version);
                let met = match expect {
                    WriteExpectation::Absent => known.is_none(),
                    WriteExpectation::At(version) => known == Some(*version),
                };
                if !met {
                    return StoreReply::Conflict;
                }
                self.revision += 1;
                self.objects.insert(Arc::clone(path), (self.revision, value.clone()));
                StoreReply::Written { version: self.revision }
            }
        }
    }
}

/// A request in flight, for which an entry holds tokens.
#[derive(Debug, Clone)]
pub struct Flight {
    pub order: RunCommand,
    pub hold: GrantHold,
    pub delivered: bool,
    pub ended: bool,
    /// Tokens used, if it ran.
    pub used: Option<Tokens>,
}

/// An entry process; `alive` is false after it was killed.
#[derive(Debug)]
pub struct EntrySim {
    pub id: EntryId,
    pub alive: bool,
    pub table: GrantTable,
    pub flights: Vec<Flight>,
    sync: Option<SyncMachine>,
    archive: Option<ArchiveMachine>,
    reclaim: Option<ReclaimMachine>,
}

/// An agent process; entries get no reply from it while it is not `reachable`.
#[derive(Debug)]
pub struct AgentSim {
    pub ledger: UsageLedger,
    pub running: Vec<RunCommand>,
    pub reachable: bool,
}

/// A run that an engine really executed, whether or not the fleet knows of it.
#[derive(Debug, Clone)]
pub struct ActualRun {
    pub request: RequestId,
    pub customer: CustomerId,
    pub used: Tokens,
    pub agent: AgentId,
}

/// The simulated fleet and its object API, with the runs that its engines really executed.
#[derive(Debug)]
pub struct FleetSim {
    pub store: FakeStore,
    pub entries: Vec<EntrySim>,
    pub agents: Vec<AgentSim>,
    pub customers: Vec<CustomerId>,
    pub actual_runs: BTreeMap<RunId, ActualRun>,
    pub lost_agents: BTreeSet<AgentId>,
    pub shard: ShardName,
    pub policy: GrantPolicy,
    id_count: u64,
}

/// Initial prepaid total of every customer.
pub const OPENING_BUDGET: Tokens = 2_000;
/// Small enough that keys move to the archive in almost every schedule.
const RECENT_KEYS: usize = 2;

impl FleetSim {
    pub fn new(entries: usize, agents: usize, policy: GrantPolicy) -> Self {
        let shard: ShardName = Arc::from("shard-0");
        let customers: Vec<CustomerId> = vec![Arc::from("bottler"), Arc::from("brewer")];
        let mut content = BudgetShard::default();
        for customer in &customers {
            let account = content.accounts.entry(Arc::clone(customer)).or_default();
            account.top_up(OPENING_BUDGET).unwrap();
        }
        let mut sim = Self {
            store: FakeStore::default(),
            entries: Vec::new(),
            agents: Vec::new(),
            customers,
            actual_runs: BTreeMap::new(),
            lost_agents: BTreeSet::new(),
            shard,
            policy,
            id_count: 0,
        };
        sim.put_shard(&content);
        for _ in 0..agents {
            sim.add_agent();
        }
        for _ in 0..entries {
            sim.add_entry();
        }
        sim
    }

    pub fn read_shard(&self) -> BudgetShard {
        let (_, value) = &self.store.objects[&paths::budget_path(&self.shard)];
        storecalls::decode_value(value).unwrap()
    }

    fn put_shard(&mut self, content: &BudgetShard) {
        self.store.revision += 1;
        let version = self.store.revision;
        let value = storecalls::encode_value(content);
        self.store.objects.insert(paths::budget_path(&self.shard), (version, value));
    }

    /// Edits an account as an operator does; atomic like the operator's conditional update.
    pub fn edit_account(&mut self, customer: usize, edit: impl FnOnce(&mut BudgetAccount)) {
        let mut content = self.read_shard();
        edit(content.accounts.get_mut(&self.customers[customer]).unwrap());
        self.put_shard(&content);
    }

    fn next_id(&mut self, prefix: &str) -> Arc<str> {
        self.id_count += 1;
        Arc::from(format!("{prefix}-{}", self.id_count))
    }

    pub fn add_entry(&mut self) {
        let id = self.next_id("entry");
        let mut table = GrantTable::new(Arc::clone(&id), self.policy);
        for customer in &self.customers {
            table.add_account(customer, &self.shard);
        }
        self.entries.push(EntrySim {
            id,
            alive: true,
            table,
            flights: Vec::new(),
            sync: None,
            archive: None,
            reclaim: None,
        });
        self.update_wanted_agents();
    }

    fn add_agent(&mut self) {
        let id = self.next_id("agent");
        self.agents.push(AgentSim {
            ledger: UsageLedger::new(id),
            running: Vec::new(),
            reachable: true,
        });
        self.update_wanted_agents();
    }

    fn update_wanted_agents(&mut self) {
        let agents: BTreeSet<AgentId> =
            self.agents.iter().map(|agent| Arc::clone(agent.ledger.agent())).collect();
        for entry in &mut self.entries {
            entry.table.set_wanted_agents(agents.clone());
        }
    }

    /// Admits a caller's request: takes a hold if the grant suffices, or else waits for more.
    pub fn admit(
        &mut self,
        index: usize,
        customer: usize,
        amount: Tokens,
        request: Option<RequestId>,
    ) {
        let keyed = request.is_some();
        let request = request.unwrap_or_else(|| self.next_id("request"));
        let run = self.next_id("run");
        let customer = Arc::clone(&self.customers[customer]);
        let shard = Arc::clone(&self.shard);
        let entry = &mut self.entries[index];
        if !entry.alive {
            return;
        }
        let usable = entry.table.usable_agents(&customer).cloned();
        let agents: Vec<AgentId> = usable.unwrap_or_default().into_iter().collect();
        let hold = entry.table.hold(&customer, amount);
        let (Ok(hold), false) = (hold, agents.is_empty()) else {
            entry.table.begin_wait(&customer, amount);
            return;
        };
        let agent = Arc::clone(&agents[self.id_count as usize % agents.len()]);
        entry.table.mark_agent(&shard, &agent, true);
        let order = RunCommand {
            request,
            entry: Arc::clone(&entry.id),
            customer,
            shard,
            epoch: hold.epoch,
            hold: amount,
            keyed,
            ..plain_order(run, agent)
        };
        entry.flights.push(Flight { order, hold, delivered: false, ended: false, used: None });
    }

    /// Delivers a request in flight to its agent, which may refuse it.
    pub fn deliver(&mut self, index: usize, number: usize) {
        let entry = &mut self.entries[index];
        let count = entry.flights.len();
        if count == 0 {
            return;
        }
        let flight = &mut entry.flights[number % count];
        if std::mem::replace(&mut flight.delivered, true) {
            return;
        }
        let order = flight.order.clone();
        let found = self.agents.iter_mut().find(|agent| *agent.ledger.agent() == order.agent);
        match found.and_then(|agent| agent.ledger.admit(&order).ok().map(|()| agent)) {
            Some(agent) => agent.running.push(order),
            None => flight.ended = true,
        }
    }

    /// Ends a run at its agent, so that the engine has used its tokens.
    pub fn finish_run(&mut self, index: usize, number: usize, share: u64) {
        let agent = &mut self.agents[index];
        if agent.running.is_empty() {
            return;
        }
        let order = agent.running.remove(number % agent.running.len());
        let used = (order.hold * (share % 101) / 100).max(1).min(order.hold);
        agent.ledger.finish(&order.run, true, used, 0, None);
        let run = ActualRun {
            request: Arc::clone(&order.request),
            customer: Arc::clone(&order.customer),
            used,
            agent: Arc::clone(&order.agent),
        };
        self.actual_runs.insert(Arc::clone(&order.run), run);
        let flights = self.entries.iter_mut().flat_map(|entry| &mut entry.flights);
        for flight in flights.filter(|flight| flight.order.run == order.run) {
            flight.ended = true;
            flight.used = Some(used);
        }
    }

    /// Lets an entry process the results that it has received.
    pub fn take_results(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        if !entry.alive {
            return;
        }
        let (done, open): (Vec<_>, Vec<_>) =
            std::mem::take(&mut entry.flights).into_iter().partition(|flight| flight.ended);
        entry.flights = open;
        for flight in done {
            let bill = flight.used.map(|used| bill_row(&flight.order, used));
            let (shard, agent) = (&flight.hold.shard, &flight.order.agent);
            entry.table.mark_agent(shard, agent, false);
            entry.table.end_hold(&flight.hold, bill);
        }
    }

    /// Performs one step of an entry's sync.
    pub fn step_sync(&mut self, index: usize, fault: StoreFault, leave: bool) {
        let shard = Arc::clone(&self.shard);
        let entry = &mut self.entries[index];
        if !entry.alive {
            return;
        }
        let Some(mut machine) = entry.sync.take() else {
            if let Some(plan) = entry.table.plan_sync(&shard, leave) {
                let cached = entry.table.take_cached(&shard);
                entry.sync = Some(SyncMachine::new(plan, self.policy, cached));
            }
            return;
        };
        if let Some(call) = machine.next_call() {
            machine.handle_reply(self.store.call(&call, fault));
            entry.sync = Some(machine);
            return;
        }
        entry.table.apply_sync(&shard, machine.into_outcome());
        let customers = self.customers.clone();
        for customer in customers {
            while entry.table.discard_wait(&customer) {}
        }
    }

    pub fn run_sync(&mut self, index: usize, leave: bool) {
        for _ in 0..40 {
            self.step_sync(index, StoreFault::NoFault, leave);
            if self.entries[index].sync.is_none() {
                return;
            }
        }
    }

    /// Opens a tenure with a grant at every entry.
    pub fn open_tenures(&mut self) {
        for index in 0..self.entries.len() {
            for customer in self.customers.clone() {
                self.entries[index].table.begin_wait(&customer, 100);
            }
            self.run_sync(index, false);
        }
    }

    /// Performs one step of moving old keys to the archive.
    pub fn step_archive(&mut self, index: usize, fault: StoreFault) {
        let shard = Arc::clone(&self.shard);
        let entry = &mut self.entries[index];
        if !entry.alive {
            return;
        }
        let machine = entry.archive.take();
        let mut machine = machine.unwrap_or_else(|| ArchiveMachine::new(shard, RECENT_KEYS));
        if let Some(call) = machine.next_call() {
            machine.handle_reply(self.store.call(&call, fault));
            entry.archive = Some(machine);
        }
    }

    /// Lets agents drop the runs that an entry has settled.
    pub fn send_acks(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        if !entry.alive {
            return;
        }
        for (agent, runs) in entry.table.pending_acks() {
            let found = self.agents.iter_mut().find(|agent_sim| *agent_sim.ledger.agent() == agent);
            match found {
                Some(agent_sim) if agent_sim.reachable => {
                    agent_sim.ledger.acknowledge(&runs);
                    let dropped = runs.into_iter().collect();
                    entry.table.record_acked(&agent, &dropped, false);
                }
                Some(_) => {}
                None => entry.table.record_acked(&agent, &BTreeSet::new(), true),
            }
        }
    }

    /// Kills an entry with all its state. Its runs end at the agents on their own.
    pub fn kill_entry(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        entry.alive = false;
        entry.sync = None;
        entry.archive = None;
        entry.reclaim = None;
        entry.flights.retain(|flight| !flight.delivered);
    }

    /// Kills an agent with its ledger. The tokens of its running requests are used, but nothing
    /// records them.
    pub fn kill_agent(&mut self, index: usize) {
        let dead = self.agents.remove(index);
        let id = Arc::clone(dead.ledger.agent());
        for order in dead.running {
            let run = ActualRun {
                request: order.request,
                customer: order.customer,
                used: order.hold / 2,
                agent: order.agent,
            };
            self.actual_runs.insert(order.run, run);
        }
        // The usage of requests in flight at this agent can no longer be determined.
        for entry in &mut self.entries {
            let (lost, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut entry.flights)
                .into_iter()
                .partition(|flight| flight.order.agent == id && !flight.ended);
            entry.flights = kept;
            for flight in lost.iter().filter(|_| entry.alive) {
                let mut row = bill_row(&flight.order, 0);
                row.unproved = if flight.delivered { flight.hold.amount } else { 0 };
                entry.table.mark_agent(&flight.hold.shard, &id, false);
                let bill = Some(row).filter(|_| flight.delivered);
                entry.table.end_hold(&flight.hold, bill);
            }
        }
        self.lost_agents.insert(id);
        self.add_agent();
    }

    /// Performs one step of the reclaim of `dead`'s tenure by the entry `by`. Returns the outcome
    /// once it has ended.
    pub fn step_reclaim(
        &mut self,
        by: usize,
        dead: usize,
        fault: StoreFault,
    ) -> Option<ReclaimOutcome> {
        let dead = Arc::clone(&self.entries[dead].id);
        let shard = Arc::clone(&self.shard);
        let entry = &mut self.entries[by];
        if !entry.alive {
            return Some(ReclaimOutcome::NotNeeded);
        }
        let id = Arc::clone(&entry.id);
        let mut machine = match entry.reclaim.take() {
            Some(machine) => machine,
            None => ReclaimMachine::new(shard, dead, id, true),
        };
        let Some(call) = machine.next_call() else {
            return Some(machine.into_outcome());
        };
        let reply = match call {
            ReclaimCall::Store(call) => ReclaimReply::Store(self.store.call(&call, fault)),
            ReclaimCall::Fence { agent, shard, epoch } => self.fence(&agent, &shard, epoch),
        };
        machine.handle_reply(reply);
        self.entries[by].reclaim = Some(machine);
        None
    }

    fn is_revoked(&self, index: usize) -> bool {
        let shard = self.read_shard();
        let row = shard.holders.get(&self.entries[index].id);
        row.is_some_and(|row| row.state != HolderState::Live)
    }

    fn fence(&mut self, agent: &AgentId, shard: &ShardName, epoch: u64) -> ReclaimReply {
        let found = self.agents.iter_mut().find(|agent_sim| agent_sim.ledger.agent() == agent);
        match found {
            Some(agent_sim) if agent_sim.reachable => {
                ReclaimReply::Fenced(agent_sim.ledger.fence(shard, epoch))
            }
            Some(_) => ReclaimReply::Unreachable,
            None => ReclaimReply::Gone,
        }
    }

    pub fn run_reclaim(&mut self, by: usize, dead: usize) -> ReclaimOutcome {
        self.entries[by].reclaim = None;
        loop {
            if let Some(outcome) = self.step_reclaim(by, dead, StoreFault::NoFault) {
                return outcome;
            }
        }
    }

    /// Returns the tokens that engines have really used for a customer.
    pub fn actual_spent(&self, customer: &CustomerId) -> Tokens {
        let runs = self.actual_runs.values();
        runs.filter(|run| run.customer == *customer).map(|run| run.used).sum()
    }

    /// Returns the tokens that engines have used for a customer, plus those that running requests
    /// may still use.
    pub fn max_spent(&self, customer: &CustomerId) -> Tokens {
        let running = self.agents.iter().flat_map(|agent| &agent.running);
        let running = running.filter(|order| order.customer == *customer);
        self.actual_spent(customer) + running.map(|order| order.hold).sum::<Tokens>()
    }

    /// Returns the bills that count according to the shard.
    pub fn counted_bills(&self) -> Vec<BillRow> {
        let shard = self.read_shard();
        let prefix = format!("{}/", paths::BILLS);
        let mut rows = Vec::new();
        for (path, (_, value)) in &self.store.objects {
            let Some(name) = path.strip_prefix(&*prefix) else {
                continue;
            };
            let batch: BillBatch = storecalls::decode_value(value).unwrap();
            if shard.counts_batch(&batch, name) {
                rows.extend(batch.rows);
            }
        }
        rows
    }

    /// Ends all activity: delivers messages, finishes runs, reclaims the tenures of dead entries
    /// and settles those of the others.
    pub fn settle_all(&mut self) {
        self.store.apply_delayed();
        for agent in &mut self.agents {
            agent.reachable = true;
        }
        for index in 0..self.entries.len() {
            for number in 0..self.entries[index].flights.len() {
                self.deliver(index, number);
            }
        }
        for index in 0..self.agents.len() {
            while !self.agents[index].running.is_empty() {
                self.finish_run(index, 0, 50);
            }
        }
        if self.entries.iter().all(|entry| !entry.alive) {
            self.add_entry();
        }
        let live = self.entries.iter().position(|entry| entry.alive).unwrap();
        for dead in 0..self.entries.len() {
            if !self.entries[dead].alive {
                self.run_reclaim(live, dead);
            }
        }
        for _ in 0..4 {
            for index in 0..self.entries.len() {
                self.take_results(index);
                self.run_sync(index, false);
                if self.is_revoked(index) {
                    self.run_reclaim(index, index);
                }
                self.send_acks(index);
            }
        }
    }
}

/// Returns a run with default values.
pub fn plain_order(run: RunId, agent: AgentId) -> RunCommand {
    RunCommand {
        request: Arc::from("request"),
        run,
        agent,
        entry: Arc::from("entry-1"),
        number: 0,
        customer: Arc::from("brewer"),
        service: Arc::from("levy-llm"),
        shard: Arc::from("shard-0"),
        epoch: 1,
        hold: 10,
        keyed: false,
        repeatable: true,
        priority: 1,
        time_left: 1_000,
        resume_from: 0,
        software_version: None,
        usage: UsageRule::Fixed(1),
        streamed: false,
        method: Arc::from("POST"),
        path: Arc::from("/"),
        fields: Vec::new(),
        body: Vec::new(),
    }
}

fn bill_row(order: &RunCommand, used: Tokens) -> BillRow {
    BillRow {
        request: Arc::clone(&order.request),
        customer: Arc::clone(&order.customer),
        service: Arc::clone(&order.service),
        epoch: order.epoch,
        keyed: order.keyed,
        billed: used,
        written_off: 0,
        unproved: 0,
        runs: vec![BilledRun {
            run: Arc::clone(&order.run),
            agent: Arc::clone(&order.agent),
            used,
        }],
    }
}
