//! Records of requests that may not be repeated, under random schedules with faults.

// Tests may panic on an unexpected result.
#![allow(clippy::unwrap_used)]

mod world;

use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use toucanrail::codetable;
use toucanrail::ids::{AgentId, EntryId, RequestId, Version};
use toucanrail::ledgers::UsageLedger;
use toucanrail::messages::{RunCommand, StoredResponse};
use toucanrail::paths;
use toucanrail::records::RunRecord;
use toucanrail::records::{
    self, RecordCall, RecordMachine, RecordOutcome, RecordReply, RecordState,
};
use toucanrail::storecalls::{self, StoreCall, WriteExpectation};
use world::{FakeStore, StoreFault};

const CASES: u32 = 1_500;
const CALLERS: usize = 4;

/// State of one caller's request at its entry.
#[derive(Debug)]
enum CallerState {
    Idle,
    Opening(Box<RecordMachine>),
    /// The order is in transit to the agent.
    Sent(RunRecord, Version),
    /// The attempt has ended, but its record has not been updated yet.
    Ended(RunRecord, Version, RecordState),
}

#[derive(Debug)]
struct RecordSim {
    store: FakeStore,
    agents: Vec<UsageLedger>,
    running: Vec<RunCommand>,
    callers: Vec<CallerState>,
    /// Number of times that the service ran.
    runs: u64,
    /// Responses that callers received.
    responses: Vec<Vec<u8>>,
    lost_agents: bool,
    nonce: u64,
}

fn request() -> RequestId {
    Arc::from("deposit")
}

impl RecordSim {
    fn new() -> Self {
        let agents = (0..2).map(|number| UsageLedger::new(Arc::from(format!("agent-{number}"))));
        Self {
            store: FakeStore::default(),
            agents: agents.collect(),
            running: Vec::new(),
            callers: (0..CALLERS).map(|_| CallerState::Idle).collect(),
            runs: 0,
            responses: Vec::new(),
            lost_agents: false,
            nonce: 0,
        }
    }

    fn open(&mut self, caller: usize, agent: usize) {
        if !matches!(self.callers[caller], CallerState::Idle) {
            return;
        }
        self.nonce += 1;
        let writer: EntryId = Arc::from(format!("entry-{caller}"));
        self.callers[caller] = CallerState::Opening(Box::new(RecordMachine::new(RunRecord {
            request: request(),
            customer: Arc::from("donor"),
            digest: Arc::from("same"),
            writer,
            nonce: self.nonce,
            number: self.nonce,
            attempt: 1,
            agent: Arc::clone(self.agents[agent].agent()),
            state: RecordState::Started,
        })));
    }

    fn step(&mut self, caller: usize, mood: StoreFault) {
        self.callers[caller] = match std::mem::replace(&mut self.callers[caller], CallerState::Idle)
        {
            CallerState::Opening(machine) => self.step_opening(*machine, mood),
            CallerState::Ended(record, version, state) => self.close(record, version, state, mood),
            other => other,
        };
    }

    fn step_opening(&mut self, mut machine: RecordMachine, mood: StoreFault) -> CallerState {
        let Some(call) = machine.next_call() else {
            return self.handle_outcome(machine.into_outcome());
        };
        let reply = match call {
            RecordCall::Store(call) => RecordReply::Store(self.store.call(&call, mood)),
            RecordCall::Query { .. } if mood == StoreFault::Unavailable => RecordReply::Unreachable,
            RecordCall::Query { agent, query } => match self.agent(&agent) {
                Some(agent) => RecordReply::Report(self.agents[agent].query(&query)),
                None => RecordReply::Gone,
            },
        };
        machine.handle_reply(reply);
        CallerState::Opening(Box::new(machine))
    }

    /// Returns the index of an agent's incarnation, or `None` if it was killed.
    fn agent(&self, id: &AgentId) -> Option<usize> {
        self.agents.iter().position(|ledger| ledger.agent() == id)
    }

    fn handle_outcome(&mut self, outcome: RecordOutcome) -> CallerState {
        match outcome {
            RecordOutcome::Run { record, version } => CallerState::Sent(record, version),
            RecordOutcome::Replay(response) => {
                self.responses.push(response.body);
                CallerState::Idle
            }
            RecordOutcome::Refuse(_) => CallerState::Idle,
        }
    }

    fn deliver(&mut self, caller: usize) {
        let CallerState::Sent(record, version) = &self.callers[caller] else {
            return;
        };
        let (record, version) = (record.clone(), *version);
        let order = run_order(&record);
        let admitted = self.agent(&record.agent).map(|agent| self.agents[agent].admit(&order));
        match admitted {
            Some(Ok(())) => {
                self.runs += 1;
                self.running.push(order);
            }
            // The attempt did not run and never will, so its record is closed as not run.
            Some(Err(code)) if code != codetable::ALREADY_SEEN => {
                self.callers[caller] = CallerState::Ended(record, version, RecordState::NotRun);
            }
            _ => {}
        }
    }

    fn finish(&mut self) {
        let Some(order) = self.running.pop() else {
            return;
        };
        let body = format!("filed {}", self.runs).into_bytes();
        let response = StoredResponse { status: 200, fields: Vec::new(), body };
        if let Some(agent) = self.agent(&order.agent) {
            self.agents[agent].finish(&order.run, true, 5, 0, Some(response.clone()));
        }
        for caller in &mut self.callers {
            if let CallerState::Sent(record, version) = caller
                && record.run() == order.run
            {
                self.responses.push(response.body.clone());
                let state = records::finished_state(response.clone());
                *caller = CallerState::Ended(record.clone(), *version, state);
            }
        }
    }

    fn close(
        &mut self,
        record: RunRecord,
        version: Version,
        state: RecordState,
        mood: StoreFault,
    ) -> CallerState {
        let closed = RunRecord { state: state.clone(), ..record.clone() };
        let put = StoreCall::Put {
            path: paths::record_path(&record.request),
            expect: WriteExpectation::At(version),
            value: storecalls::encode_value(&closed),
        };
        match self.store.call(&put, mood) {
            toucanrail::storecalls::StoreReply::Unavailable => {
                CallerState::Ended(record, version, state)
            }
            _ => CallerState::Idle,
        }
    }

    fn kill_agent(&mut self, agent: usize) {
        let id = Arc::clone(self.agents[agent].agent());
        self.nonce += 1;
        self.agents[agent] = UsageLedger::new(Arc::from(format!("agent-{agent}.{}", self.nonce)));
        self.running.retain(|order| order.agent != id);
        self.lost_agents = true;
        // The entry finds that the end of the attempt cannot be determined.
        for caller in &mut self.callers {
            if let CallerState::Sent(record, version) = caller
                && record.agent == id
            {
                *caller = CallerState::Ended(record.clone(), *version, RecordState::Unknown);
            }
        }
    }
}

fn run_order(record: &RunRecord) -> RunCommand {
    RunCommand {
        request: Arc::clone(&record.request),
        entry: Arc::clone(&record.writer),
        number: record.number,
        hold: 5,
        keyed: true,
        repeatable: false,
        ..world::plain_order(record.run(), Arc::clone(&record.agent))
    }
}

#[derive(Debug, Clone)]
enum Step {
    Open(usize, usize),
    StoreCalls(usize, usize, StoreFault),
    Deliver(usize),
    Finish,
    KillEntry(usize),
    KillAgent(usize),
    ApplyLateWrites,
}

fn step_strategy() -> impl Strategy<Value = Step> {
    let mood = prop_oneof![
        6 => Just(StoreFault::NoFault),
        1 => Just(StoreFault::Unavailable),
        2 => Just(StoreFault::ReplyLost),
        1 => Just(StoreFault::Delayed),
    ];
    prop_oneof![
        6 => (0..CALLERS, 0..2usize).prop_map(|(a, b)| Step::Open(a, b)),
        12 => (0..CALLERS, 1..7usize, mood).prop_map(|(a, b, c)| Step::StoreCalls(a, b, c)),
        5 => (0..CALLERS).prop_map(Step::Deliver),
        4 => Just(Step::Finish),
        2 => (0..CALLERS).prop_map(Step::KillEntry),
        1 => (0..2usize).prop_map(Step::KillAgent),
        2 => Just(Step::ApplyLateWrites),
    ]
}

fn apply_step(sim: &mut RecordSim, step: &Step) {
    match *step {
        Step::Open(caller, agent) => sim.open(caller, agent),
        Step::StoreCalls(caller, count, mood) => {
            (1..count).for_each(|_| sim.step(caller, StoreFault::NoFault));
            sim.step(caller, mood);
        }
        Step::Deliver(caller) => sim.deliver(caller),
        Step::Finish => sim.finish(),
        Step::KillEntry(caller) => {
            // An order in transit may still arrive after its entry has died.
            if !matches!(sim.callers[caller], CallerState::Sent(..)) {
                sim.callers[caller] = CallerState::Idle;
            }
        }
        Step::KillAgent(agent) => sim.kill_agent(agent),
        Step::ApplyLateWrites => sim.store.apply_delayed(),
    }
}

/// Four entries handle the same keyed request concurrently while the object API loses and delays
/// replies, entries die between any two steps, and agents die with their ledgers. The request must
/// run at most once, and all callers that receive a response must receive the same one.
#[test]
fn random_schedules() {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(step_strategy(), 1..80);
    let run = runner.run(&steps, |steps| {
        let mut sim = RecordSim::new();
        for step in &steps {
            apply_step(&mut sim, step);
            prop_assert!(sim.runs <= 1, "the request ran {} times", sim.runs);
            let mut responses = sim.responses.iter();
            let first = responses.next();
            prop_assert!(responses.all(|response| Some(response) == first), "responses differ");
        }
        Ok(())
    });
    if let Err(error) = run {
        panic!("{error}");
    }
}

/// Without faults, each retry after completion must get the first response, as from a plain map of
/// responses.
#[test]
fn retries_without_faults() {
    let mut sim = RecordSim::new();
    for caller in 0..CALLERS {
        sim.open(caller, caller % 2);
        (0..8).for_each(|_| sim.step(caller, StoreFault::NoFault));
        sim.deliver(caller);
        sim.finish();
        (0..8).for_each(|_| sim.step(caller, StoreFault::NoFault));
    }
    assert_eq!(sim.runs, 1);
    assert_eq!(sim.responses, vec![b"filed 1".to_vec(); CALLERS]);
}
