//! The entry that reaches backend servers directly, on the users' platform.
//!
//! One thread serves everything: callers' connections (`accepting`), a request's way in (`admitting`),
//! the choice of servers (`dispatching`), one attempt at one (`sending`) and the answer (`relaying`).
//! Beside it run the loops that follow the store (`store_watch`, by a relay that `relay_client` calls or on
//! the way that `store_access` finds) and those that keep budgets: `loan_client` from lenders, and `grant_manager`
//! with grants of its own.
//!
//! The second program of this crate stands beside backend servers: `tunnelling` passes connections to
//! the store on, `relay_api` serves entries from the same `grant_manager`, `change_feed` tells them what
//! changed in the store, and `relay_registration` how fast the server is; a server that has just started gets
//! only what `permits` had a permit for. Where no VM has such a relay, entries
//! host them (`hosting`). Decisions come from the library; this crate holds sockets and timers.
//!
//! # Examples
//! ```no_run
//! use toucanrail_gateway::{starting, tuning};
//! use toucanrail_platform::settings;
//!
//! let rows = &tuning::SETTINGS;
//! let read = toucanrail::settings::read("gateway", "", rows, std::env::args_os(), |_| None);
//! let toucanrail::settings::SettingsCall::Run(mut values) = read else { return Ok(()) };
//! let settings = settings::read_settings()?;
//! starting::run(settings, tuning::GatewayTuning::read(&mut values))?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod accepting;
pub mod admitting;
pub mod answering;
pub mod calls;
pub mod change_feed;
pub mod dispatching;
pub mod grant_manager;
pub mod hosting;
pub mod inspecting;
pub mod launching;
pub mod listening;
pub mod loan_client;
pub mod logging;
pub mod permits;
pub mod relay_api;
pub mod relay_client;
pub mod relay_registration;
pub mod relaying;
pub mod report_client;
pub mod sending;
pub mod sighting;
pub mod starting;
pub mod states;
pub mod stopping;
pub mod store_access;
pub mod store_watch;
pub mod tuning;
pub mod tunnelling;
