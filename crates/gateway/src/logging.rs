//! Logs JSON lines to standard output through a separate thread. If the consumer does not keep up,
//! lines are dropped and requests are not delayed.

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// Maximum number of buffered lines. Lines beyond it are dropped and counted.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Keeps the writer thread alive and counts the dropped lines.
pub struct LogOutput {
    /// Number of dropped lines.
    pub dropped: ErrorCounter,
    _guard: WorkerGuard,
}

/// Starts logging. The environment variable `FIELDHOOK_LOG` sets the filter.
pub fn start() -> LogOutput {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    let filter =
        tracing_subscriber::EnvFilter::try_from_env("FIELDHOOK_LOG").unwrap_or_else(|_| {
            tracing_subscriber::EnvFilter::new(
                "warn,fieldhook_gateway=info,fieldhook_log=info,fieldhook_platform=info,fieldhook_frontend=info",
            )
        });
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(filter)
        .with_writer(writer)
        .init();
    LogOutput {
        dropped,
        _guard: guard,
    }
}
