//! Routing and budgeting logic of a fleet of routers with prepaid token budgets, as plain data and
//! functions.
//!
//! The crate does no I/O: it opens no sockets, reads no clocks and generates no random numbers. The
//! daemons pass in events and the current time, and perform the calls that result. Procedures that
//! need the platform's object API are state machines, which the caller drives.
//!
//! # Examples
//! Opens a grant by running a sync against a stub of the object API:
//! ```
//! use std::sync::Arc;
//! use toucanrail::budgets::BudgetShard;
//! use toucanrail::grants::GrantTable;
//! use toucanrail::policies::GrantPolicy;
//! use toucanrail::storecalls::{self, StoreCall, StoreReply};
//! use toucanrail::syncs::SyncMachine;
//!
//! let customer = Arc::from("acme");
//! let mut shard = BudgetShard::default();
//! shard.accounts.entry(Arc::clone(&customer)).or_default().top_up(10_000)?;
//!
//! let policy = GrantPolicy::default();
//! let mut table = GrantTable::new(Arc::from("entry-1"), policy);
//! table.add_account(&customer, &customer);
//! table.begin_wait(&customer, 100);
//! let plan = table.plan_sync(&customer, false).expect("a request waits");
//! let mut machine = SyncMachine::new(plan, policy, None);
//! while let Some(call) = machine.next_call() {
//!     machine.handle_reply(match call {
//!         StoreCall::Get { .. } => {
//!             StoreReply::Found { version: 1, value: storecalls::encode_value(&shard) }
//!         }
//!         StoreCall::Put { .. } => StoreReply::Written { version: 2 },
//!     });
//! }
//! table.apply_sync(&customer, machine.into_outcome());
//! assert!(table.hold(&customer, 100).is_ok());
//! # Ok::<(), toucanrail::budgets::BudgetError>(())
//! ```

pub mod accounts;
pub mod admissions;
pub mod affinity;
pub mod archives;
pub mod attempts;
pub mod backends;
pub mod batches;
pub mod boards;
pub mod body_formats;
pub mod borrowings;
pub mod budgets;
pub mod call_patterns;
pub mod catalogue;
pub mod catalogue_files;
pub mod codes;
pub mod codetable;
pub mod coldstarts;
pub mod contents;
pub mod ejections;
pub mod endpoints;
pub mod evacuations;
pub mod explanations;
pub mod frames;
pub mod framing;
pub mod grants;
pub mod holds;
pub mod ids;
pub mod ledgers;
pub mod limits;
pub mod link_gauges;
pub mod link_shares;
pub mod loans;
pub mod matching;
pub mod members;
pub mod memory_budgets;
pub mod messages;
pub mod meters;
pub mod mirrors;
pub mod origin_keepers;
pub mod origins;
pub mod paces;
pub mod paths;
pub mod pauses;
pub mod permit_relays;
pub mod permits;
pub mod placement;
pub mod policies;
pub mod probes;
pub mod rate_limits;
pub mod reclaims;
pub mod records;
pub mod relay_backoffs;
pub mod relay_health;
pub mod relay_ranks;
pub mod remote_placement;
pub mod replays;
pub mod reported_loads;
pub mod response_sizes;
pub mod retries;
pub mod retry_delays;
pub mod rotations;
pub mod routing;
pub mod scanners;
pub mod servers;
pub mod settings;
pub mod shard_changes;
pub mod signatures;
pub mod silences;
pub mod sse;
pub mod statements;
pub mod storecalls;
pub mod stored_origins;
pub mod successes;
pub mod suspects;
pub mod sync_plans;
pub mod syncs;
pub mod tenure_watch;
pub mod tenures;
pub mod timeouts;
pub mod token_counts;
pub mod traces;
pub mod usages;
pub mod version_history;
pub mod version_records;
