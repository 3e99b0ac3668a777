//! Matching of requests to routes, services and customers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use toucanrail::matching::{
    CustomerRule, FleetConfig, RouteKind, RouteRule, RouteTable, RouteTarget,
};

fn route(host: &str, prefix: &str) -> RouteRule {
    RouteRule {
        name: Arc::from(prefix),
        host: Arc::from(host),
        prefix: Arc::from(prefix),
        targets: vec![
            RouteTarget { service: Arc::from("one"), weight: 90 },
            RouteTarget { service: Arc::from("two"), weight: 10 },
        ],
        kind: RouteKind::Once,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(150),
        gap_target: Duration::ZERO,
        priority: 0,
        attempts: 1,
        public: false,
        regions: BTreeSet::new(),
    }
}

fn make_table(routes: Vec<RouteRule>) -> RouteTable {
    let mut table = RouteTable::new();
    table.apply_config(FleetConfig { version: 1, routes, ..FleetConfig::default() });
    table
}

proptest! {
    /// The lookup finds the same route as a linear search for the longest prefix.
    #[test]
    fn longest_prefix(prefixes in prop::collection::btree_set("(/[ab]{1,2}){0,3}/", 0..8), path in "(/[ab]{0,2}){1,5}") {
        let routes = prefixes.iter().map(|prefix| route("h", prefix)).collect();
        let table = make_table(routes);
        let matching = prefixes.iter().filter(|prefix| path.starts_with(prefix.as_str()));
        let expected = matching.max_by_key(|prefix| prefix.len());
        let found = table.find_route("h", &path).map(|route| route.prefix.to_string());
        prop_assert_eq!(found, expected.cloned());
    }
}

/// Callers may write the host in any case and with a port.
#[test]
fn host_with_case_and_port() {
    let table = make_table(vec![route("shop.example", "/a/")]);
    assert!(table.find_route("Shop.Example:8080", "/a/b").is_some());
    assert!(table.find_route("other.example", "/a/b").is_none());
}

/// A route with several targets sends each service its share.
#[test]
fn weighted_targets() {
    let rule = route("h", "/");
    let picks = (0..100).filter_map(|step| rule.pick_service(f64::from(step) / 100.0));
    assert_eq!(picks.filter(|service| ***service == *"two").count(), 10);
}

/// A delayed old configuration arrives after a newer one that revoked a key: the key must stay
/// revoked.
#[test]
fn delayed_config() {
    let customer = |keys: &[&str]| CustomerRule {
        name: Arc::from("acme"),
        keys: keys.iter().map(|key| Arc::from(*key)).collect::<BTreeSet<_>>(),
        priority: None,
        prepaid: None,
        regions: BTreeSet::new(),
    };
    let config = |version, keys: &[&str]| FleetConfig {
        version,
        customers: vec![customer(keys)],
        ..FleetConfig::default()
    };
    let mut table = RouteTable::new();
    assert!(table.apply_config(config(5, &["new"])));
    assert!(!table.apply_config(config(4, &["new", "old"])));
    assert!(table.find_customer("old").is_none());
    assert!(table.requires_keys());
}
