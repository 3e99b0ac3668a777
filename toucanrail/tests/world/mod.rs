//! A small world of entries, agents and an object API in virtual time: every message is an
//! explicit step, so that a schedule can delay, lose or cut it.

// Each test file uses its own part of this.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use toucanrail::archives::ArchiveMachine;
use toucanrail::budgets::{BillBatch, BillRow, BudgetAccount, BudgetShard, HolderState, RunNote};
use toucanrail::grants::{GrantHold, GrantTable};
use toucanrail::ids::{AgentId, CustomerId, EntryId, RequestId, RunId, ShardName, Tokens, Version};
use toucanrail::ledgers::UsageLedger;
use toucanrail::messages::{RunCommand, UsageRule};
use toucanrail::paths;
use toucanrail::policies::GrantPolicy;
use toucanrail::reclaims::{ReclaimCall, ReclaimMachine, ReclaimOutcome, ReclaimReply};
use toucanrail::storecalls::{self, ObjectPath, StoreCall, StoreReply, WriteExpectation};
use toucanrail::syncs::SyncMachine;

/// How the object API treats one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMood {
    /// It answers.
    Well,
    /// It does nothing and does not answer.
    Down,
    /// It takes effect and does not answer.
    Lost,
    /// It does not answer, and a write lands later if its condition still holds.
    Late,
}

/// The object API as a map.
#[derive(Debug, Default)]
pub struct FakeStore {
    pub objects: BTreeMap<ObjectPath, (Version, Vec<u8>)>,
    pub revision: Version,
    pub writes: u64,
    late: Vec<StoreCall>,
}

impl FakeStore {
    pub fn call(&mut self, call: &StoreCall, mood: StoreMood) -> StoreReply {
        match mood {
            StoreMood::Well => self.apply(call),
            StoreMood::Down => StoreReply::Unavailable,
            StoreMood::Lost => {
                self.apply(call);
                StoreReply::Unavailable
            }
            StoreMood::Late => {
                self.late.push(call.clone());
                StoreReply::Unavailable
            }
        }
    }

    pub fn land_late(&mut self) {
        for call in std::mem::take(&mut self.late) {
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

/// A request that an entry holds money for.
#[derive(Debug, Clone)]
pub struct Flight {
    pub order: RunCommand,
    pub hold: GrantHold,
    pub delivered: bool,
    /// Whether it ended, and what it used if it ran.
    pub ended: bool,
    pub used: Option<Tokens>,
}

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

#[derive(Debug)]
pub struct AgentSim {
    pub ledger: UsageLedger,
    pub running: Vec<RunCommand>,
    pub reachable: bool,
}

/// What truly ran: by run, its request, customer and usage.
#[derive(Debug, Clone)]
pub struct TrueRun {
    pub request: RequestId,
    pub customer: CustomerId,
    pub used: Tokens,
    pub agent: AgentId,
}

#[derive(Debug)]
pub struct World {
    pub store: FakeStore,
    pub entries: Vec<EntrySim>,
    pub agents: Vec<AgentSim>,
    pub customers: Vec<CustomerId>,
    pub truth: BTreeMap<RunId, TrueRun>,
    pub lost_agents: BTreeSet<AgentId>,
    pub shard: ShardName,
    pub policy: GrantPolicy,
    next: u64,
}

pub const OPENING: Tokens = 2_000;
/// So few that keys move to the archive in almost every schedule.
const RECENT_KEYS: usize = 2;

impl World {
    pub fn new(entries: usize, agents: usize, policy: GrantPolicy) -> Self {
        let shard: ShardName = Arc::from("shard-0");
        let customers: Vec<CustomerId> = vec![Arc::from("bottler"), Arc::from("brewer")];
        let mut content = BudgetShard::default();
        for customer in &customers {
            let account = content.accounts.entry(Arc::clone(customer)).or_default();
            account.top_up(OPENING).unwrap();
        }
        let mut world = Self {
            store: FakeStore::default(),
            entries: Vec::new(),
            agents: Vec::new(),
            customers,
            truth: BTreeMap::new(),
            lost_agents: BTreeSet::new(),
            shard,
            policy,
            next: 0,
        };
        world.put_shard(&content);
        for _ in 0..agents {
            world.add_agent();
        }
        for _ in 0..entries {
            world.add_entry();
        }
        world
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

    /// An operator's edit, atomic as its conditional update is.
    pub fn edit_account(&mut self, customer: usize, edit: impl FnOnce(&mut BudgetAccount)) {
        let mut content = self.read_shard();
        edit(content.accounts.get_mut(&self.customers[customer]).unwrap());
        self.put_shard(&content);
    }

    fn fresh(&mut self, prefix: &str) -> Arc<str> {
        self.next += 1;
        Arc::from(format!("{prefix}-{}", self.next))
    }

    pub fn add_entry(&mut self) {
        let id = self.fresh("entry");
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
        self.name_agents();
    }

    fn add_agent(&mut self) {
        let id = self.fresh("agent");
        self.agents.push(AgentSim {
            ledger: UsageLedger::new(id),
            running: Vec::new(),
            reachable: true,
        });
        self.name_agents();
    }

    fn name_agents(&mut self) {
        let agents: BTreeSet<AgentId> =
            self.agents.iter().map(|agent| Arc::clone(agent.ledger.agent())).collect();
        for entry in &mut self.entries {
            entry.table.want_agents(agents.clone());
        }
    }

    /// A caller's request: held if the entry has the money, else it asks for more.
    pub fn admit(
        &mut self,
        at: usize,
        customer: usize,
        amount: Tokens,
        request: Option<RequestId>,
    ) {
        let keyed = request.is_some();
        let request = request.unwrap_or_else(|| self.fresh("request"));
        let run = self.fresh("run");
        let customer = Arc::clone(&self.customers[customer]);
        let shard = Arc::clone(&self.shard);
        let entry = &mut self.entries[at];
        if !entry.alive {
            return;
        }
        let usable = entry.table.usable_agents(&customer).cloned();
        let agents: Vec<AgentId> = usable.unwrap_or_default().into_iter().collect();
        let hold = entry.table.hold(&customer, amount);
        let (Ok(hold), false) = (hold, agents.is_empty()) else {
            entry.table.add_shortage(&customer, amount);
            return;
        };
        let agent = Arc::clone(&agents[self.next as usize % agents.len()]);
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

    /// The order of a flight reaches its agent, or is refused there.
    pub fn deliver(&mut self, at: usize, which: usize) {
        let entry = &mut self.entries[at];
        let count = entry.flights.len();
        if count == 0 {
            return;
        }
        let flight = &mut entry.flights[which % count];
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

    /// A run ends at its agent: now the engine has spent.
    pub fn finish_run(&mut self, at: usize, which: usize, share: u64) {
        let agent = &mut self.agents[at];
        if agent.running.is_empty() {
            return;
        }
        let order = agent.running.remove(which % agent.running.len());
        let used = (order.hold * (share % 101) / 100).max(1).min(order.hold);
        agent.ledger.finish(&order.run, true, used, 0, None);
        let run = TrueRun {
            request: Arc::clone(&order.request),
            customer: Arc::clone(&order.customer),
            used,
            agent: Arc::clone(&order.agent),
        };
        self.truth.insert(Arc::clone(&order.run), run);
        let flights = self.entries.iter_mut().flat_map(|entry| &mut entry.flights);
        for flight in flights.filter(|flight| flight.order.run == order.run) {
            flight.ended = true;
            flight.used = Some(used);
        }
    }

    /// An entry takes the results that have come to it.
    pub fn take_results(&mut self, at: usize) {
        let entry = &mut self.entries[at];
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
            entry.table.finish(&flight.hold, bill);
        }
    }

    /// One step of an entry's sync.
    pub fn step_sync(&mut self, at: usize, mood: StoreMood, leave: bool) {
        let shard = Arc::clone(&self.shard);
        let entry = &mut self.entries[at];
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
            machine.take_reply(self.store.call(&call, mood));
            entry.sync = Some(machine);
            return;
        }
        entry.table.apply_sync(&shard, machine.into_outcome());
        let customers = self.customers.clone();
        for customer in customers {
            while entry.table.drop_waiting(&customer) {}
        }
    }

    pub fn run_sync(&mut self, at: usize, leave: bool) {
        for _ in 0..40 {
            self.step_sync(at, StoreMood::Well, leave);
            if self.entries[at].sync.is_none() {
                return;
            }
        }
    }

    /// Opens a tenure with some grant at every entry.
    pub fn open_tenures(&mut self) {
        for at in 0..self.entries.len() {
            for customer in self.customers.clone() {
                self.entries[at].table.add_shortage(&customer, 100);
            }
            self.run_sync(at, false);
        }
    }

    /// One step of moving old keys to the archive.
    pub fn step_archive(&mut self, at: usize, mood: StoreMood) {
        let shard = Arc::clone(&self.shard);
        let entry = &mut self.entries[at];
        if !entry.alive {
            return;
        }
        let machine = entry.archive.take();
        let mut machine = machine.unwrap_or_else(|| ArchiveMachine::new(shard, RECENT_KEYS));
        if let Some(call) = machine.next_call() {
            machine.handle_reply(self.store.call(&call, mood));
            entry.archive = Some(machine);
        }
    }

    /// Agents drop what an entry has settled.
    pub fn send_acks(&mut self, at: usize) {
        let entry = &mut self.entries[at];
        if !entry.alive {
            return;
        }
        for (agent, runs) in entry.table.due_acks() {
            let found = self.agents.iter_mut().find(|sim| *sim.ledger.agent() == agent);
            match found {
                Some(sim) if sim.reachable => {
                    sim.ledger.acknowledge(&runs);
                    let dropped = runs.into_iter().collect();
                    entry.table.note_acked(&agent, &dropped, false);
                }
                Some(_) => {}
                None => entry.table.note_acked(&agent, &BTreeSet::new(), true),
            }
        }
    }

    /// The process dies with all that it knew; its streams end at the agents by themselves.
    pub fn kill_entry(&mut self, at: usize) {
        let entry = &mut self.entries[at];
        entry.alive = false;
        entry.sync = None;
        entry.archive = None;
        entry.reclaim = None;
        entry.flights.retain(|flight| !flight.delivered);
    }

    /// The agent dies with its ledger; what its engine had begun is spent and known to nobody.
    pub fn kill_agent(&mut self, at: usize) {
        let dead = self.agents.remove(at);
        let id = Arc::clone(dead.ledger.agent());
        for order in dead.running {
            let run = TrueRun {
                request: order.request,
                customer: order.customer,
                used: order.hold / 2,
                agent: order.agent,
            };
            self.truth.insert(order.run, run);
        }
        // What the entry had in flight there cannot be known any more.
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
                entry.table.finish(&flight.hold, bill);
            }
        }
        self.lost_agents.insert(id);
        self.add_agent();
    }

    /// One step of a reclaim of `dead`'s tenure by the entry at `by`.
    pub fn step_reclaim(
        &mut self,
        by: usize,
        dead: usize,
        mood: StoreMood,
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
            ReclaimCall::Store(call) => ReclaimReply::Store(self.store.call(&call, mood)),
            ReclaimCall::Fence { agent, shard, epoch } => self.fence(&agent, &shard, epoch),
        };
        machine.handle_reply(reply);
        self.entries[by].reclaim = Some(machine);
        None
    }

    fn is_revoked(&self, at: usize) -> bool {
        let shard = self.read_shard();
        let row = shard.holders.get(&self.entries[at].id);
        row.is_some_and(|row| row.state != HolderState::Live)
    }

    fn fence(&mut self, agent: &AgentId, shard: &ShardName, epoch: u64) -> ReclaimReply {
        let found = self.agents.iter_mut().find(|sim| sim.ledger.agent() == agent);
        match found {
            Some(sim) if sim.reachable => ReclaimReply::Fenced(sim.ledger.fence(shard, epoch)),
            Some(_) => ReclaimReply::Unreachable,
            None => ReclaimReply::Gone,
        }
    }

    pub fn run_reclaim(&mut self, by: usize, dead: usize) -> ReclaimOutcome {
        self.entries[by].reclaim = None;
        loop {
            if let Some(outcome) = self.step_reclaim(by, dead, StoreMood::Well) {
                return outcome;
            }
        }
    }

    /// Returns what engines truly spent for a customer.
    pub fn spent(&self, customer: &CustomerId) -> Tokens {
        let runs = self.truth.values();
        runs.filter(|run| run.customer == *customer).map(|run| run.used).sum()
    }

    /// Returns what engines have spent and may still spend on what runs.
    pub fn most_spent(&self, customer: &CustomerId) -> Tokens {
        let running = self.agents.iter().flat_map(|agent| &agent.running);
        let running = running.filter(|order| order.customer == *customer);
        self.spent(customer) + running.map(|order| order.hold).sum::<Tokens>()
    }

    /// Returns the bills that count, as the shard says.
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

    /// Lets everything come to rest: messages arrive, the dead are reclaimed, the rest settles.
    pub fn settle_all(&mut self) {
        self.store.land_late();
        for agent in &mut self.agents {
            agent.reachable = true;
        }
        for at in 0..self.entries.len() {
            for which in 0..self.entries[at].flights.len() {
                self.deliver(at, which);
            }
        }
        for at in 0..self.agents.len() {
            while !self.agents[at].running.is_empty() {
                self.finish_run(at, 0, 50);
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
            for at in 0..self.entries.len() {
                self.take_results(at);
                self.run_sync(at, false);
                if self.is_revoked(at) {
                    self.run_reclaim(at, at);
                }
                self.send_acks(at);
            }
        }
    }
}

/// Makes an order with nothing special about it.
pub fn plain_order(run: RunId, agent: AgentId) -> RunCommand {
    RunCommand {
        request: Arc::from("request"),
        run,
        agent,
        entry: Arc::from("entry-1"),
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
        runs: vec![RunNote { run: Arc::clone(&order.run), agent: Arc::clone(&order.agent), used }],
    }
}
