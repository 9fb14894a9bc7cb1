//! Log lines of a test, as the daemons write them. All of a test runs on its own thread, and
//! one subscriber serves all threads: those that come and go beside each other would decide
//! about the lines of one another.

use std::cell::RefCell;
use std::io::{self, Write};
use std::sync::Once;
use tracing_subscriber::fmt::MakeWriter;

thread_local! {
    static WRITTEN: RefCell<Option<Vec<u8>>> = const { RefCell::new(None) };
}

static SUBSCRIBED: Once = Once::new();

/// The lines written on this thread since then.
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

    /// LogCapture of an event.
    pub fn with_event(&self, event: &str) -> Vec<String> {
        let wanted = format!("\"event\":\"{event}\"");
        WRITTEN.with_borrow(|written| {
            let text = String::from_utf8_lossy(written.as_deref().unwrap_or_default());
            let lines = text.lines().filter(|line| line.contains(&wanted));
            lines.map(str::to_owned).collect()
        })
    }
}
