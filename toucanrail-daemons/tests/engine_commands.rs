//! Commands to model engines, which only pass through their agents.

// Tests fail at the first unexpected value.
#![allow(clippy::unwrap_used)]

mod fleet;

use fleet::Fleet;
use toucanrail_daemons::operators::OperatorError;

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
        assert_eq!(engine.commands().len(), 1);
    });
}

/// The operator must be able to tell a command that was refused from one that nobody answered, which
/// may have been executed.
#[test]
fn unanswered_command() {
    smol::block_on(async {
        let mut fleet = Fleet::start(10_000).await;
        let (engine, backend) = fleet.start_engine();
        let mut agent = fleet.start_agent("agent-1", "levy-llm", backend);
        let address = agent.address.to_string();
        let args = ["order", address.as_str(), "load-model", "levy-llm-2"];
        fleet.tools.fence = 5;
        fleet.run_command(&args).await.unwrap();
        fleet.tools.fence = 4;
        let refused = fleet.run_command(&args).await;
        assert!(matches!(refused, Err(OperatorError::Conflict(_))), "{refused:?}");
        fleet.tools.fence = 6;
        engine.faults.change(|plan| plan.frozen = true);
        let unanswered = fleet.run_command(&args).await;
        assert!(matches!(unanswered, Err(OperatorError::Unavailable(_))), "{unanswered:?}");
        agent.kill();
        let unanswered = fleet.run_command(&args).await;
        assert!(matches!(unanswered, Err(OperatorError::Unavailable(_))), "{unanswered:?}");
    });
}
