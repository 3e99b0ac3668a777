//! Structured logs on standard output: one JSON object a line.
//!
//! A thread of its own writes them; where it cannot keep up, lines are dropped and counted, and no
//! request waits for a log.

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines that may wait for the writer, about 1 MB; a burst of some seconds at the usual load.
const LINE_LIMIT: usize = 4_096;

/// Starts the logs; they end when the guard is dropped.
pub fn start_logs() -> WorkerGuard {
    let builder = NonBlockingBuilder::default().buffered_lines_limit(LINE_LIMIT).lossy(true);
    let (writer, guard) = builder.finish(std::io::stdout());
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let lines = tracing_subscriber::fmt().json().flatten_event(true).with_target(false);
    // A second start, as in tests, keeps the first logs.
    lines.with_env_filter(filter).with_writer(writer).try_init().ok();
    guard
}
