//! The entry, the agent and the operator's commands as a library; the programs are thin wrappers.
//!
//! # Examples
//! ```no_run
//! // Runs the whole request path in one process on loopback, as `toucanrail demo` does.
//! smol::block_on(toucanrail_daemons::demos::run()).unwrap();
//! ```

pub mod agents;
pub mod attempts;
pub mod billing;
pub mod catalogue_commands;
pub mod demos;
pub mod entries;
pub mod execution;
pub mod fleet_client;
pub mod inspection_commands;
pub mod metrics;
pub mod mirroring;
pub mod monitoring;
pub mod operators;
pub mod planning;
pub mod reclaiming;
pub mod recording;
pub mod registration;
pub mod responding;
pub mod serving;
pub mod settlement;
pub mod starting;
pub mod state;
