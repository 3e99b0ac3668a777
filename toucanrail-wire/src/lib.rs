//! HTTP/1.1 client and server on `async-h1` and `smol`, shared by all programs of the project.
//!
//! `async-h1` encodes and decodes messages. This crate adds checks that it lacks
//! (`docs/HTTP-EDGES.md`): a truncated message is never reported as complete, an ambiguous length
//! is rejected, and a connection with leftover bytes is not reused.
//!
//! [`clients`] and [`listeners`] are the two sides of such exchanges. [`connections`], [`heads`]
//! and [`keepalive`] are for messages that are forwarded unchanged, without `async-h1`.
//!
//! # Examples
//! ```
//! use std::time::Duration;
//! use toucanrail_wire::{clients, listeners, responses};
//!
//! smol::block_on(async {
//!     let listener = listeners::bind("127.0.0.1:0")?;
//!     let address = listener.local_addr()?;
//!     let limits = listeners::ServerLimits::default();
//!     smol::spawn(listeners::serve(listener, limits, |_request| async {
//!         responses::text(200, "hello")
//!     }))
//!     .detach();
//!     let pool = clients::ConnectionPool::new(clients::ClientLimits::default());
//!     let request = clients::OutboundRequest::get("/");
//!     let response = pool.fetch(address, request, Duration::from_secs(5)).await?;
//!     assert_eq!(response.body, b"hello");
//!     Ok::<(), Box<dyn std::error::Error>>(())
//! })
//! .unwrap();
//! ```

pub mod clients;
pub mod connections;
pub mod heads;
pub mod keepalive;
pub mod listeners;
pub mod message_streams;
pub mod pipes;
pub mod responses;
pub mod rpc;
pub mod stores;
pub mod time_limits;
