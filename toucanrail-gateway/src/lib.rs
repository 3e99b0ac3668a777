//! Entry and relay processes for fleets whose backend servers are reached directly, on the users'
//! platform.
//!
//! An *entry* (program `toucanrail-gateway`) accepts callers' requests and forwards them to backend
//! servers. A single thread runs everything. A request passes through [`accepting`] (callers'
//! connections), [`admitting`] (route, customer, load and budget), [`dispatching`] (choice of
//! servers and retries), [`sending`] (one attempt at one server) and [`forwarding`] (the response
//! body). Background tasks follow the store ([`following`]), through a relay ([`peering`]) or on
//! the path found by [`storing`], and manage budgets: [`borrowing`] takes loans from lenders,
//! [`budgeting`] uses the entry's own grants.
//!
//! A *relay* (program `toucanrail-relay`) runs beside a backend server: [`relay`] forwards
//! connections to the store, [`lending`] lends entries budget from the same [`budgeting`],
//! [`mirroring`] tells them about changes in the store, and [`registering`] reports how fast the
//! server is. A server that has just started only receives requests that got a permit
//! ([`permitting`]). If no VM runs a relay, entries host relays themselves ([`hosting`]).
//!
//! Decisions are made in the `toucanrail` library; this crate owns sockets and timers.
//!
//! # Examples
//! ```no_run
//! use toucanrail_gateway::{starting, tuning};
//! use toucanrail_platform::settings;
//!
//! let rows = &tuning::SETTINGS;
//! let read = toucanrail::settings::read("gateway", "", rows, std::env::args_os(), |_| None);
//! let toucanrail::settings::StartAction::Run(mut values) = read else { return Ok(()) };
//! let settings = settings::read_settings()?;
//! starting::run(settings, tuning::GatewayTuning::read(&mut values))?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod accepting;
pub mod admin;
pub mod admitting;
pub mod borrowing;
pub mod budgeting;
pub mod dispatching;
pub mod following;
pub mod forwarding;
pub mod gauging;
pub mod hosting;
pub mod launching;
pub mod lending;
pub mod listening;
pub mod liveness;
pub mod logging;
pub mod mirroring;
pub mod peering;
pub mod permitting;
pub mod registering;
pub mod relay;
pub mod request_context;
pub mod responding;
pub mod sending;
pub mod starting;
pub mod state;
pub mod stopping;
pub mod storing;
pub mod tuning;
