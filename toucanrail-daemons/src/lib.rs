//! The entry, the agent and the operator's commands, as libraries under thin programs.
//!
//! # Examples
//! ```no_run
//! // The whole path in one process on loopback, as `toucanrail demo` runs it.
//! smol::block_on(toucanrail_daemons::demos::run()).unwrap();
//! ```

pub mod agents;
pub mod attempts;
pub mod billing;
pub mod demos;
pub mod editing;
pub mod entries;
pub mod execution;
pub mod fleets;
pub mod inspecting;
pub mod mirroring;
pub mod observing;
pub mod operators;
pub mod planning;
pub mod reclaiming;
pub mod recording;
pub mod registering;
pub mod responding;
pub mod serving;
pub mod settlement;
pub mod starting;
pub mod states;
pub mod watching;
