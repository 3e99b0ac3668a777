//! The entry that reaches backend servers directly, on the users' platform.
//!
//! One thread serves everything: callers' connections (`accepting`), a request's way in (`admitting`),
//! the choice of servers (`dispatching`), one attempt at one (`sending`) and the answer (`relaying`).
//! Beside it run the loops that follow the store (`following`, by a relay that `peering` calls or on
//! the way that `storing` finds) and those that keep budgets: `borrowing` from lenders, and `budgeting`
//! with grants of its own.
//!
//! The second program of this crate stands beside backend servers: `tunnelling` passes connections to
//! the store on, `lending` serves entries from the same `budgeting`, `mirroring` tells them what
//! changed in the store, and `registering` how fast the server is; a server that has just started gets
//! only what `permitting` had a permit for. Where no VM has such a relay, entries
//! host them (`hosting`). Decisions come from the library; this crate holds sockets and timers.
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
pub mod admitting;
pub mod answering;
pub mod borrowing;
pub mod budgeting;
pub mod calls;
pub mod dispatching;
pub mod following;
pub mod gauging;
pub mod hosting;
pub mod inspecting;
pub mod launching;
pub mod lending;
pub mod listening;
pub mod logging;
pub mod mirroring;
pub mod peering;
pub mod permitting;
pub mod registering;
pub mod relaying;
pub mod sending;
pub mod sighting;
pub mod starting;
pub mod states;
pub mod stopping;
pub mod storing;
pub mod tuning;
pub mod tunnelling;
