//! Guarded HTTP/1.1 exchanges on `async-h1` and `smol`, shared by every program of the project.
//!
//! `async-h1` encodes and decodes; this crate guards what it lets pass (`docs/HTTP-EDGES.md`):
//! a cut message never looks whole, an ambiguous length is refused, and a connection with bytes
//! left over is not used again.
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
//!     smol::spawn(listeners::serve(listener, limits, |_received| async {
//!         responses::text(200, "hello")
//!     }))
//!     .detach();
//!     let pool = clients::ConnectionPool::new(clients::ClientLimits::default());
//!     let call = clients::OutboundRequest::get("/");
//!     let answer = pool.fetch(address, call, Duration::from_secs(5)).await?;
//!     assert_eq!(answer.body, b"hello");
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
