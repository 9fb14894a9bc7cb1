//! Captures the log lines of a test. Each test runs on one thread of its own, and its lines are kept
//! per thread. All tests share one global subscriber, because subscribers that come and go in
//! parallel would affect which lines other tests see.

use std::cell::RefCell;
use std::io::{self, Write};
use std::sync::Once;
use tracing_subscriber::fmt::MakeWriter;

thread_local! {
    static WRITTEN: RefCell<Option<Vec<u8>>> = const { RefCell::new(None) };
}

static SUBSCRIBED: Once = Once::new();

/// The lines logged on this thread since [`LogCapture::start`].
pub struct LogCapture;

struct ThreadBuffer;

impl Write for ThreadBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        WRITTEN.with_borrow_mut(|written| {
            if let Some(written) = written {
                written.extend_from_slice(bytes);
            }
        });
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl MakeWriter<'_> for ThreadBuffer {
    type Writer = Self;

    fn make_writer(&self) -> Self {
        Self
    }
}

impl LogCapture {
    pub fn start() -> Self {
        SUBSCRIBED.call_once(|| {
            tracing_subscriber::fmt()
                .json()
                .flatten_event(true)
                .with_target(false)
                .with_writer(ThreadBuffer)
                .init();
        });
        WRITTEN.set(Some(Vec::new()));
        Self
    }

    /// Returns the lines of an event.
    pub fn with_event(&self, event: &str) -> Vec<String> {
        let wanted = format!("\"event\":\"{event}\"");
        WRITTEN.with_borrow(|written| {
            let text = String::from_utf8_lossy(written.as_deref().unwrap_or_default());
            let lines = text.lines().filter(|line| line.contains(&wanted));
            lines.map(str::to_owned).collect()
        })
    }
}
