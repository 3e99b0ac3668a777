//! Prints the encoded sizes of the messages of a fleet's control traffic, for `docs/CAPACITY.md`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use toucanrail::budgets::{BillRow, BilledRun, BudgetShard};
use toucanrail::catalogue::{CustomerEntry, ServiceClass};
use toucanrail::holds::{HoldQuery, HoldReply};
use toucanrail::messages::{LoadReport, MirrorQuery};
use toucanrail::servers::{NodeEntry, NodeRole};
use toucanrail::statements::ServerProcess;
use toucanrail::storecalls;
use toucanrail::suspects::{EndNote, HeldSuspect, RunStage, SuspectKey, SuspectNote};

/// Size of the HTTP heads of a call between processes, request and response together, including the
/// signature, in bytes.
const HEADS: usize = 330;

fn encoded_size<Message>(message: &Message) -> usize
where
    Message: serde::Serialize,
{
    rmp_serde::to_vec_named(message).map_or(0, |bytes| bytes.len())
}

/// Returns a note of a server that ended under a request with three shared parts.
fn end_note() -> EndNote {
    let millis = Duration::from_millis;
    let keys = (1..=3).map(|part| SuspectKey::Part(u64::MAX - part));
    let keys = keys.chain([SuspectKey::Content(u64::MAX)]);
    EndNote {
        process: ServerProcess { id: Arc::from("i-56f208e07c"), started_at: 1 << 40 },
        content: u64::MAX,
        stage: RunStage::Writing,
        sent_ago: millis(1_234),
        ended_ago: millis(3),
        served_ago: Some(millis(12)),
        suspects: keys.map(|key| SuspectNote { key, succeeded_ago: Some(millis(345)) }).collect(),
    }
}

fn print_suspects() {
    println!("note of a server's end: {} bytes", encoded_size(&end_note()));
    let held = |key| HeldSuspect {
        key,
        with: Vec::new(),
        since: Duration::from_millis(1_234),
        starts_in: Duration::ZERO,
        left: Duration::from_millis(298_766),
        trial_in: Duration::from_millis(1_766),
    };
    let list = |count| HoldReply {
        process: u64::MAX,
        version: 12,
        held: (0..count).map(|part| held(SuspectKey::Part(u64::MAX - part))).collect(),
    };
    let query = HoldQuery { known: Some((u64::MAX, 12)), wait: Duration::from_secs(8) };
    println!("query of what is held back: {} bytes", encoded_size(&query) + HEADS);
    println!("reply, nothing held back: {} bytes", encoded_size(&list(0)));
    println!("each suspect held back: {} bytes", encoded_size(&list(1)) - encoded_size(&list(0)));
}

fn main() {
    print_suspects();
    let name = |text: &str| -> Arc<str> { Arc::from(text) };
    let address = SocketAddr::from(([10, 1, 2, 3], 7101));
    let query = MirrorQuery { address: Some(address), catalogue: 1 << 40, nodes: 1 << 40 };
    let report = LoadReport {
        agent: name("agent-south-a-123.0123abcd"),
        service: name("levy-llm"),
        slots: 8,
        running: 8,
        waiting: 3,
        healthy: true,
        leaving: false,
        in_force: 1 << 40,
        software_version: Some(name("v1.12.3")),
    };
    println!(
        "load report, query and reply: {} bytes",
        encoded_size(&query) + encoded_size(&report) + HEADS
    );
    println!("heartbeat without changes: {} bytes", encoded_size(&query) + 160 + HEADS);
    let node = NodeEntry {
        id: name("agent-south-a-123.0123abcd"),
        role: NodeRole::Agent,
        address,
        data_centre: name("fi-south-a"),
        vm: name("agent-south-a-123"),
        service: Some(name("levy-llm")),
    };
    println!("registration: {} bytes", storecalls::encode_value(&node).len());
    let customer = CustomerEntry {
        name: name("customer-12345"),
        owner: name("operator"),
        class: ServiceClass::Standard,
        key_digests: vec![Arc::from("0".repeat(64))],
        weight: 1,
        services: vec![name("levy-llm")],
        opening_budget: 1_000_000,
    };
    println!("customer: {} bytes", storecalls::encode_value(&customer).len());
    let mut shard = BudgetShard::default();
    for number in 0..100 {
        let account = shard.accounts.entry(Arc::from(format!("customer-{number:05}"))).or_default();
        account.prepaid = 1_000_000;
        account.billed = 123_456;
        for entry in 0..3 {
            let entry = Arc::from(format!("entry-south-a-{entry}.0123abcd"));
            account.grants.insert(entry, 12_345);
        }
    }
    println!("shard of 100 budgets, 3 holders: {} bytes", storecalls::encode_value(&shard).len());
    let row = BillRow {
        request: Arc::from("0".repeat(32)),
        customer: name("customer-12345"),
        service: name("levy-llm"),
        epoch: 123,
        keyed: false,
        billed: 345,
        written_off: 0,
        unproved: 0,
        runs: vec![BilledRun {
            run: Arc::from(format!("{}.1-01234567", "0".repeat(32))),
            agent: name("agent-south-a-123.0123abcd"),
            used: 345,
        }],
    };
    println!("bill: {} bytes", storecalls::encode_value(&row).len());
}
