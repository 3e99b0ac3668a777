//! Commands to model engines, which only pass through their agents.

// Tests fail at the first unexpected value.
#![allow(clippy::unwrap_used)]

mod fleet;

use fleet::Fleet;

/// A command is delayed and arrives after one with a higher fencing number, at an engine that does not
/// check the number. The agent must refuse it, and also a command signed with another key.
#[test]
fn stale_command() {
    smol::block_on(async {
        let mut fleet = Fleet::start(10_000).await;
        let (engine, backend) = fleet.start_engine();
        let agent = fleet.start_agent("agent-1", "levy-llm", backend);
        let address = agent.address.to_string();
        let args = ["order", address.as_str(), "load-model", "levy-llm-2"];
        fleet.tools.fence = 5;
        assert_eq!(fleet.run_command(&args).await.unwrap(), "done\n");
        fleet.tools.fence = 4;
        assert!(fleet.run_command(&args).await.is_err(), "a stale command was accepted");
        fleet.tools.fence = 6;
        fleet.tools.fleet_key = "guessed".to_owned();
        assert!(fleet.run_command(&args).await.is_err(), "a command with a wrong key was accepted");
        assert_eq!(engine.orders().len(), 1);
    });
}
