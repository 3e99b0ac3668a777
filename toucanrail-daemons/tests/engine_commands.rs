//! Orders to model engines, through their agents only.

// A test stops at the first thing that is not as it should be.
#![allow(clippy::unwrap_used)]

mod fleet;

use fleet::Fleet;

/// An operator's order was held up while a newer one was carried out, at an engine that takes
/// any order. The agent must refuse the old one; and one without the fleet's key.
#[test]
fn stale_order() {
    smol::block_on(async {
        let mut fleet = Fleet::start(10_000).await;
        let (engine, backend) = fleet.start_engine();
        let agent = fleet.start_agent("agent-1", "levy-llm", backend);
        let address = agent.address.to_string();
        let words = ["order", address.as_str(), "load-model", "levy-llm-2"];
        fleet.tools.fence = 5;
        assert_eq!(fleet.run_command(&words).await.unwrap(), "done\n");
        fleet.tools.fence = 4;
        assert!(fleet.run_command(&words).await.is_err(), "an old order was taken");
        fleet.tools.fence = 6;
        fleet.tools.fleet_key = "guessed".to_owned();
        assert!(fleet.run_command(&words).await.is_err(), "a stranger's order was taken");
        assert_eq!(engine.orders().len(), 1);
    });
}
