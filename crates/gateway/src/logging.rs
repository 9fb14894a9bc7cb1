//! JSON lines on standard output, written by a thread of its own: a reader that
//! does not read costs lines, never a request.

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// Lines that wait for the reader at most; more are dropped and counted.
const LINES_WAITING: usize = 4_096;

/// Keeps the writer alive and counts what it dropped.
pub struct LogOutput {
    /// Lines that were dropped.
    pub dropped: ErrorCounter,
    _guard: WorkerGuard,
}

/// Starts logging. `FIELDHOOK_LOG` sets the level.
pub fn start() -> LogOutput {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LINES_WAITING)
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
