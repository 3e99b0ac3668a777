//! Records of requests that may not be repeated, under random schedules of faults.

// A test stops at the first thing that is not as it should be.
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
use world::{FakeStore, StoreMood};

const CASES: u32 = 1_500;
const CALLERS: usize = 4;

/// What one caller's try is doing at its entry.
#[derive(Debug)]
enum Try {
    Idle,
    Opening(Box<RecordMachine>),
    /// The order is on its way to the agent.
    Sent(RunRecord, Version),
    /// The run has ended; the record is to be closed.
    Ended(RunRecord, Version, RecordState),
}

#[derive(Debug)]
struct Desk {
    store: FakeStore,
    agents: Vec<UsageLedger>,
    running: Vec<RunCommand>,
    tries: Vec<Try>,
    /// How often the service truly ran.
    runs: u64,
    /// Answers that callers got.
    answers: Vec<Vec<u8>>,
    lost_agents: bool,
    nonce: u64,
}

fn request() -> RequestId {
    Arc::from("deposit")
}

impl Desk {
    fn new() -> Self {
        let agents = (0..2).map(|number| UsageLedger::new(Arc::from(format!("agent-{number}"))));
        Self {
            store: FakeStore::default(),
            agents: agents.collect(),
            running: Vec::new(),
            tries: (0..CALLERS).map(|_| Try::Idle).collect(),
            runs: 0,
            answers: Vec::new(),
            lost_agents: false,
            nonce: 0,
        }
    }

    fn open(&mut self, at: usize, agent: usize) {
        if !matches!(self.tries[at], Try::Idle) {
            return;
        }
        self.nonce += 1;
        let writer: EntryId = Arc::from(format!("entry-{at}"));
        self.tries[at] = Try::Opening(Box::new(RecordMachine::new(RunRecord {
            request: request(),
            customer: Arc::from("donor"),
            digest: Arc::from("same"),
            writer,
            nonce: self.nonce,
            attempt: 1,
            agent: Arc::clone(self.agents[agent].agent()),
            state: RecordState::Started,
        })));
    }

    fn step(&mut self, at: usize, mood: StoreMood) {
        self.tries[at] = match std::mem::replace(&mut self.tries[at], Try::Idle) {
            Try::Opening(machine) => self.step_opening(*machine, mood),
            Try::Ended(record, version, state) => self.close(record, version, state, mood),
            other => other,
        };
    }

    fn step_opening(&mut self, mut machine: RecordMachine, mood: StoreMood) -> Try {
        let Some(call) = machine.next_call() else {
            return self.take_outcome(machine.into_outcome());
        };
        let reply = match call {
            RecordCall::Store(call) => RecordReply::Store(self.store.call(&call, mood)),
            RecordCall::Ask { .. } if mood == StoreMood::Down => RecordReply::Unreachable,
            RecordCall::Ask { agent, run, mode } => match self.agent(&agent) {
                Some(at) => RecordReply::Fate(self.agents[at].ask(&run, mode)),
                None => RecordReply::Gone,
            },
        };
        machine.take_reply(reply);
        Try::Opening(Box::new(machine))
    }

    fn agent(&self, id: &AgentId) -> Option<usize> {
        self.agents.iter().position(|ledger| ledger.agent() == id)
    }

    fn take_outcome(&mut self, outcome: RecordOutcome) -> Try {
        match outcome {
            RecordOutcome::Run { record, version } => Try::Sent(record, version),
            RecordOutcome::Replay(answer) => {
                self.answers.push(answer.body);
                Try::Idle
            }
            RecordOutcome::Refuse(_) => Try::Idle,
        }
    }

    fn deliver(&mut self, at: usize) {
        let Try::Sent(record, version) = &self.tries[at] else {
            return;
        };
        let (record, version) = (record.clone(), *version);
        let order = order_of(&record);
        let admitted = self.agent(&record.agent).map(|at| self.agents[at].admit(&order));
        match admitted {
            Some(Ok(())) => {
                self.runs += 1;
                self.running.push(order);
            }
            // It did not run and never will; so the caller is told.
            Some(Err(code)) if code != codetable::ALREADY_SEEN => {
                self.tries[at] = Try::Ended(record, version, RecordState::NotRun);
            }
            _ => {}
        }
    }

    fn finish(&mut self) {
        let Some(order) = self.running.pop() else {
            return;
        };
        let body = format!("filed {}", self.runs).into_bytes();
        let answer = StoredResponse { status: 200, fields: Vec::new(), body };
        if let Some(at) = self.agent(&order.agent) {
            self.agents[at].finish(&order.run, true, 5, 0, Some(answer.clone()));
        }
        for task in &mut self.tries {
            if let Try::Sent(record, version) = task
                && record.run() == order.run
            {
                self.answers.push(answer.body.clone());
                let state = records::finished_state(answer.clone());
                *task = Try::Ended(record.clone(), *version, state);
            }
        }
    }

    fn close(
        &mut self,
        record: RunRecord,
        version: Version,
        state: RecordState,
        mood: StoreMood,
    ) -> Try {
        let closed = RunRecord { state: state.clone(), ..record.clone() };
        let put = StoreCall::Put {
            path: paths::record_path(&record.request),
            expect: WriteExpectation::At(version),
            value: storecalls::encode_value(&closed),
        };
        match self.store.call(&put, mood) {
            toucanrail::storecalls::StoreReply::Unavailable => Try::Ended(record, version, state),
            _ => Try::Idle,
        }
    }

    fn kill_agent(&mut self, at: usize) {
        let id = Arc::clone(self.agents[at].agent());
        self.nonce += 1;
        self.agents[at] = UsageLedger::new(Arc::from(format!("agent-{at}.{}", self.nonce)));
        self.running.retain(|order| order.agent != id);
        self.lost_agents = true;
        // The entry finds out that it cannot know.
        for task in &mut self.tries {
            if let Try::Sent(record, version) = task
                && record.agent == id
            {
                *task = Try::Ended(record.clone(), *version, RecordState::Unknown);
            }
        }
    }
}

fn order_of(record: &RunRecord) -> RunCommand {
    RunCommand {
        request: Arc::clone(&record.request),
        entry: Arc::clone(&record.writer),
        hold: 5,
        keyed: true,
        repeatable: false,
        ..world::plain_order(record.run(), Arc::clone(&record.agent))
    }
}

#[derive(Debug, Clone)]
enum Step {
    Open(usize, usize),
    Calls(usize, usize, StoreMood),
    Deliver(usize),
    Finish,
    KillEntry(usize),
    KillAgent(usize),
    LandLate,
}

fn any_step() -> impl Strategy<Value = Step> {
    let mood = prop_oneof![
        6 => Just(StoreMood::Well),
        1 => Just(StoreMood::Down),
        2 => Just(StoreMood::Lost),
        1 => Just(StoreMood::Late),
    ];
    prop_oneof![
        6 => (0..CALLERS, 0..2usize).prop_map(|(a, b)| Step::Open(a, b)),
        12 => (0..CALLERS, 1..7usize, mood).prop_map(|(a, b, c)| Step::Calls(a, b, c)),
        5 => (0..CALLERS).prop_map(Step::Deliver),
        4 => Just(Step::Finish),
        2 => (0..CALLERS).prop_map(Step::KillEntry),
        1 => (0..2usize).prop_map(Step::KillAgent),
        2 => Just(Step::LandLate),
    ]
}

fn take_step(desk: &mut Desk, step: &Step) {
    match *step {
        Step::Open(at, agent) => desk.open(at, agent),
        Step::Calls(at, count, mood) => {
            (1..count).for_each(|_| desk.step(at, StoreMood::Well));
            desk.step(at, mood);
        }
        Step::Deliver(at) => desk.deliver(at),
        Step::Finish => desk.finish(),
        Step::KillEntry(at) => {
            // An order that was sent is still on its way; one of a dead entry may arrive late.
            if !matches!(desk.tries[at], Try::Sent(..)) {
                desk.tries[at] = Try::Idle;
            }
        }
        Step::KillAgent(at) => desk.kill_agent(at),
        Step::LandLate => desk.store.land_late(),
    }
}

/// A deposit is recorded by a donor whose tries go through four entries at once, while the object
/// API loses and delays answers, entries die between any two steps, and agents die with what they
/// know. It must run at most once, and everybody who gets an answer must get the same one.
#[test]
fn random_schedules() {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(any_step(), 1..80);
    let run = runner.run(&steps, |steps| {
        let mut desk = Desk::new();
        for step in &steps {
            take_step(&mut desk, step);
            prop_assert!(desk.runs <= 1, "it ran {} times", desk.runs);
            let mut answers = desk.answers.iter();
            let first = answers.next();
            prop_assert!(answers.all(|answer| Some(answer) == first), "answers differ");
        }
        Ok(())
    });
    if let Err(error) = run {
        panic!("{error}");
    }
}

/// Without faults a retry after the end gets the first answer, as from a naive table of answers.
#[test]
fn naive_difference() {
    let mut desk = Desk::new();
    for caller in 0..CALLERS {
        desk.open(caller, caller % 2);
        (0..8).for_each(|_| desk.step(caller, StoreMood::Well));
        desk.deliver(caller);
        desk.finish();
        (0..8).for_each(|_| desk.step(caller, StoreMood::Well));
    }
    assert_eq!(desk.runs, 1);
    assert_eq!(desk.answers, vec![b"filed 1".to_vec(); CALLERS]);
}
