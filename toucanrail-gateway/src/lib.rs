//! Entry and relay processes for fleets whose backend servers are reached directly, on the users'
//! platform.
//!
//! An *entry* (program `toucanrail-gateway`) accepts callers' requests and forwards them to backend
//! servers. A single thread runs everything. A request passes through [`accepting`] (callers'
//! connections), [`link_admission`] (share of the entry's link), [`admitting`] (route, customer,
//! load and budget), [`dispatching`] (choice of servers and retries), [`sending`] (one attempt at
//! one server) and [`forwarding`] (the response body). Background tasks watch the store
//! ([`store_watch`]), through a relay ([`relay_client`]) or through the endpoint chosen by
//! [`store_access`], and manage budgets: [`loan_client`] takes loans from lenders,
//! [`grant_manager`] uses the entry's own grants.
//!
//! A *relay* (program `toucanrail-relay`) runs beside a backend server: [`relay`] forwards
//! connections to the store, [`relay_api`] serves entries, [`lending`] lends them budget from the same
//! [`grant_manager`] and reclaims what lenders that died had not settled,
//! [`change_feed`] tells them about changes in the store, and [`relay_registration`] reports how
//! fast the server is. Relays also keep the origins of streams ([`origin_notes`]), so that a caller
//! can take a stream up at any entry ([`origin_search`]), record the versions of servers before
//! streams begin there ([`recorded_versions`]), and remember the ends of servers
//! ([`server_ends`]) with the requests that they ran ([`suspect_reports`]). A server that has just started or states a
//! rate limit only receives requests that got a permit ([`permits`]). If no VM runs a relay, entries
//! host relays themselves ([`hosting`]).
//!
//! [`explaining`] tells operators where a request would go now, by the same decisions.
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
pub mod buffers;
pub mod call_log;
pub mod change_feed;
pub mod dispatching;
pub mod explain_command;
pub mod explaining;
pub mod forwarding;
pub mod grant_manager;
pub mod hosting;
pub mod launching;
pub mod lending;
pub mod link_admission;
pub mod link_load;
pub mod listening;
pub mod liveness;
pub mod loan_client;
pub mod logging;
pub mod origin_notes;
pub mod origin_search;
pub mod origin_store;
pub mod permits;
pub mod placing;
pub mod recorded_versions;
pub mod relay;
pub mod relay_api;
pub mod relay_checks;
pub mod relay_client;
pub mod relay_listing;
pub mod relay_registration;
pub mod report_client;
pub mod request_context;
pub mod responding;
pub mod rotation;
pub mod sending;
pub mod server_cache;
pub mod server_ends;
pub mod starting;
pub mod state;
pub mod stopping;
pub mod store_access;
pub mod store_watch;
pub mod suspect_reports;
pub mod tuning;
