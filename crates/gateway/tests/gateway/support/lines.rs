//! Log lines of a test, as the daemons write them.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use tracing::subscriber::DefaultGuard;
use tracing_subscriber::fmt::MakeWriter;

/// The lines written on this thread since then, until it is dropped.
pub struct Lines {
    written: Buffer,
    _guard: DefaultGuard,
}

#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut written = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        written.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Buffer {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

impl Lines {
    pub fn start() -> Self {
        let written = Buffer::default();
        let subscriber = tracing_subscriber::fmt()
            .json()
            .flatten_event(true)
            .with_target(false)
            .with_writer(written.clone())
            .finish();
        Self {
            written,
            _guard: tracing::subscriber::set_default(subscriber),
        }
    }

    /// Lines of an event.
    pub fn of(&self, event: &str) -> Vec<String> {
        let written = self.written.0.lock();
        let written = written.unwrap_or_else(PoisonError::into_inner);
        let text = String::from_utf8_lossy(&written);
        let wanted = format!("\"event\":\"{event}\"");
        let lines = text.lines().filter(|line| line.contains(&wanted));
        lines.map(str::to_owned).collect()
    }
}
