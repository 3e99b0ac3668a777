//! Structured logs on standard output, one JSON object per line.
//!
//! Lines are written by a dedicated thread. If it cannot keep up, lines are dropped and counted, so
//! that no request waits for logging.

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Maximum number of buffered lines, about 1 MB: a burst of a few seconds under normal load.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Initializes logging. Buffered lines are flushed when the guard is dropped.
pub fn init_logging() -> WorkerGuard {
    let builder =
        NonBlockingBuilder::default().buffered_lines_limit(MAX_BUFFERED_LINES).lossy(true);
    let (writer, guard) = builder.finish(std::io::stdout());
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let subscriber = tracing_subscriber::fmt().json().flatten_event(true).with_target(false);
    // If logging is already initialized, as in tests, the first configuration stays.
    subscriber.with_env_filter(filter).with_writer(writer).try_init().ok();
    guard
}
