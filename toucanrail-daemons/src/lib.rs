//! The entry, the agent and the operator's commands, as libraries under thin programs.
//!
//! # Examples
//! ```no_run
//! // The whole path in one process on loopback, as `toucanrail demo` runs it.
//! smol::block_on(toucanrail_daemons::demos::run()).unwrap();
//! ```

pub mod agents;
pub mod answering;
pub mod attempts;
pub mod billing;
pub mod callers;
pub mod demos;
pub mod editing;
pub mod entries;
pub mod fleets;
pub mod inspecting;
pub mod mirroring;
pub mod observing;
pub mod operators;
pub mod reclaiming;
pub mod recording;
pub mod registering;
pub mod running;
pub mod serving;
pub mod settling;
pub mod starting;
pub mod states;
pub mod watching;
