//! Choice of servers, and admission under load.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use toucanrail::catalogue::ServiceClass;
use toucanrail::codetable;
use toucanrail::ids::{AgentId, ServiceName};
use toucanrail::limits::{LoadLimiter, ServiceLoad};
use toucanrail::messages::LoadReport;
use toucanrail::routing::{self, RouteQuery, RoutingPolicy};
use toucanrail::servers::{NodeEntry, NodeRole, ServerTable};

const NOW: Duration = Duration::from_secs(100);

fn node(name: &str) -> NodeEntry {
    NodeEntry {
        id: Arc::from(name),
        role: NodeRole::Agent,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: Arc::from("fi-south-a"),
        vm: Arc::from(format!("vm-{name}")),
        service: Some(Arc::from("levy-llm")),
    }
}

fn report(name: &str, running: u64) -> LoadReport {
    LoadReport {
        agent: Arc::from(name),
        service: Arc::from("levy-llm"),
        slots: 8,
        running,
        waiting: 0,
        healthy: true,
        leaving: false,
        in_force: 1,
        software_version: Some(Arc::from("v1")),
    }
}

fn table_of(loads: &[u64]) -> (ServerTable, BTreeSet<AgentId>) {
    let mut table = ServerTable::new();
    let nodes: Vec<NodeEntry> = (0..loads.len()).map(|at| node(&format!("agent-{at}"))).collect();
    table.apply_nodes(nodes.iter());
    for (at, load) in loads.iter().enumerate() {
        table.apply_report(&report(&format!("agent-{at}"), *load), 0, NOW, NOW);
    }
    let agents = table.choose_agents(&Arc::from("entry-1"));
    (table, agents)
}

fn service() -> ServiceName {
    Arc::from("levy-llm")
}

fn pick(table: &ServerTable, usable: &BTreeSet<AgentId>, prefix: Option<u64>, draw: u64) -> String {
    let random = [(draw % 97) as f64 / 97.0, (draw % 89) as f64 / 89.0];
    let query = RouteQuery { prefix, random, now: NOW };
    let eligible = table.eligible(&service(), usable, &BTreeSet::new(), NOW, 0.5);
    let row = routing::pick_server(RoutingPolicy::Balanced, table, &eligible, &query);
    row.expect("an eligible server").agent.to_string()
}

#[test]
fn prefix_affinity() {
    let (table, usable) = table_of(&[0; 6]);
    for prefix in 0..20 {
        let places: BTreeSet<String> =
            (0..50).map(|draw| pick(&table, &usable, Some(prefix), draw)).collect();
        assert!(places.len() <= 2, "prefix {prefix} goes to {places:?}");
    }
}

/// All servers have free slots. The one with the least reported load must be chosen, not the first.
#[test]
fn least_reported() {
    let (table, usable) = table_of(&[7, 5, 3, 6]);
    let eligible = table.eligible(&service(), &usable, &BTreeSet::new(), NOW, 0.5);
    let query = RouteQuery { prefix: None, random: [0.0; 2], now: NOW };
    let row = routing::pick_server(RoutingPolicy::LeastReported, &table, &eligible, &query);
    assert_eq!(row.map(|row| &*row.agent), Some("agent-2"));
}

/// All requests share one prefix. The server that has it cached must not be overloaded: its load is
/// bounded relative to the mean.
#[test]
fn hot_prefix() {
    let (mut table, usable) = table_of(&[0; 6]);
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for draw in 0..120 {
        let agent = pick(&table, &usable, Some(7), draw);
        table.record_sent(&Arc::from(agent.as_str()));
        *counts.entry(agent).or_default() += 1;
    }
    let most = counts.values().max().copied().unwrap_or(0);
    assert!(most <= 40, "{counts:?}");
}

/// Reports lag: a server that was idle in its last report must not get all requests until its next
/// one, so an entry includes what it has sent itself.
#[test]
fn lagging_report() {
    let (mut table, usable) = table_of(&[0, 4, 4, 4, 4, 4]);
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for draw in 0..60 {
        let agent = pick(&table, &usable, None, draw);
        table.record_sent(&Arc::from(agent.as_str()));
        *counts.entry(agent).or_default() += 1;
    }
    assert!(counts["agent-0"] <= 20, "{counts:?}");
}

#[test]
fn unfit_servers() {
    let (mut table, usable) = table_of(&[0; 5]);
    table.apply_report(&LoadReport { leaving: true, ..report("agent-0", 0) }, 0, NOW, NOW);
    table.apply_report(&LoadReport { healthy: false, ..report("agent-1", 0) }, 0, NOW, NOW);
    table.mark_leaving_vms(&BTreeSet::from([Arc::from("vm-agent-2")]));
    for _ in 0..3 {
        table.record_failure(&Arc::from("agent-3"), NOW);
    }
    let names = |table: &ServerTable, now| -> Vec<String> {
        let rows = table.eligible(&service(), &usable, &BTreeSet::new(), now, 0.99);
        rows.iter().map(|row| row.agent.to_string()).collect()
    };
    assert_eq!(names(&table, NOW), ["agent-4"]);
    let silent = NOW + Duration::from_millis(2_001);
    assert!(names(&table, silent).is_empty(), "an agent that stopped reporting gets no work");
    // The ejected server returns gradually: this random number still excludes it, a lower one does
    // not.
    let later = NOW + Duration::from_secs(3);
    for agent in ["agent-3", "agent-4"] {
        table.apply_report(&report(agent, 0), 0, later, later);
    }
    assert_eq!(names(&table, later), ["agent-4"]);
    let rows = table.eligible(&service(), &usable, &BTreeSet::new(), later, 0.1);
    assert_eq!(rows.len(), 2);
}

#[test]
fn class_bounds() {
    let mut table = LoadLimiter::new();
    let known = ServiceLoad { slots: 10, load: 12.0, entries: 1 };
    let mut admit = |class| table.admit(&service(), &Arc::from("c"), class, 1, known);
    assert!(admit(ServiceClass::Urgent).is_ok());
    assert!(admit(ServiceClass::Standard).is_ok());
    let refusal = admit(ServiceClass::Batch).expect_err("the load is over the bound");
    assert_eq!(refusal.code, codetable::OVERLOADED);
    assert!(refusal.retry_after > Duration::ZERO);
}

/// One customer floods a service; another with a few requests must not be refused because of it.
#[test]
fn flooding_customer() {
    let mut table = LoadLimiter::new();
    let class = ServiceClass::Standard;
    let known = ServiceLoad { slots: 10, load: 9.0, entries: 1 };
    let flood: Arc<str> = Arc::from("flood");
    let admitted = |table: &mut LoadLimiter, name: &Arc<str>| {
        table.admit(&service(), name, class, 1, known).is_ok()
    };
    assert!(admitted(&mut table, &Arc::from("quiet")));
    let count = (0..40).filter(|_| admitted(&mut table, &flood)).count();
    assert!(count < 10, "the flooding customer got {count}");
    assert!(admitted(&mut table, &Arc::from("quiet")));
    assert!(admitted(&mut table, &Arc::from("other")));
}
