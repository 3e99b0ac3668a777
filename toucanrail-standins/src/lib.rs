//! Simulated external systems (platform, model engine, plain service) and the load generator.
//! Used by tests and demos only.
//!
//! # Examples
//! ```
//! let text = toucanrail_standins::texts::answer_text("hello", 0, 3);
//! assert_eq!(text.split_whitespace().count(), 3);
//! ```

pub mod engines;
pub mod faults;
pub mod loads;
pub mod plains;
pub mod platforms;
pub mod reports;
pub mod senders;
pub mod texts;
