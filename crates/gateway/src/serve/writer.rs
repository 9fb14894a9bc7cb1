//! The writing half of a client's connection. What the client does not take yet waits, up to a
//! bound: the server is read at its own pace that far, and from there on at the client's.

use crate::memory::{Held, Memory};
use bytes::{Buf, BytesMut};
use fieldhook_traffic::buffer_memory::Purpose;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::{Instant, sleep_until};

/// The writing half.
pub struct ClientWriter {
    half: OwnedWriteHalf,
    /// What the client has not taken yet.
    backlog: BytesMut,
    /// The memory that this takes.
    held: Held,
    /// When the client took something last, or could first.
    taken: Instant,
    /// Identity of the request that is answered, for log lines.
    request: String,
}

impl ClientWriter {
    /// Writes to a connection.
    pub fn new(half: OwnedWriteHalf, memory: &Rc<Memory>) -> Self {
        Self {
            half,
            backlog: BytesMut::new(),
            held: memory.open(Purpose::Outgoing),
            taken: Instant::now(),
            request: String::new(),
        }
    }

    /// From now on this request is answered.
    pub fn answers(&mut self, request: &str) {
        request.clone_into(&mut self.request);
    }

    /// Sends bytes behind those that wait. Returns once the client has taken them or there is
    /// room for them here.
    ///
    /// # Errors
    /// The client is gone, or takes nothing.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        let taken = match self.backlog.is_empty() {
            true => self.try_write(bytes)?,
            false => 0,
        };
        let rest = &bytes[taken..];
        if rest.is_empty() {
            return Ok(());
        }
        let fits = self.backlog.len() + rest.len() <= self.held.bounds().connection_bytes;
        if fits && self.held.grow(rest.len()).is_ok() {
            if self.backlog.is_empty() {
                self.taken = Instant::now();
            }
            self.backlog.extend_from_slice(rest);
            return Ok(());
        }
        self.flush().await?;
        let (half, held) = (&mut self.half, &self.held);
        let written = write_all(half, rest, held, &mut self.taken).await;
        written.inspect_err(|error| self.note_given_up(error))
    }

    /// Sends bytes, and waits until the client has taken them.
    ///
    /// # Errors
    /// The client is gone, or takes nothing.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.send(bytes).await?;
        self.flush().await
    }

    /// Sends bytes that an account of their own holds, and waits until the client has taken them.
    ///
    /// # Errors
    /// The client is gone, or takes nothing.
    pub async fn write_held(&mut self, bytes: &[u8], held: &Held) -> io::Result<()> {
        self.flush().await?;
        held.hand_out();
        let written = write_all(&mut self.half, bytes, held, &mut self.taken).await;
        written.inspect_err(|error| self.note_given_up(error))
    }

    /// Waits until the client has taken all.
    ///
    /// # Errors
    /// The client is gone, or takes nothing.
    pub async fn flush(&mut self) -> io::Result<()> {
        while !self.backlog.is_empty() {
            self.drain().await?;
        }
        Ok(())
    }

    /// Waits for what the server sends next, while the client takes what waits for it.
    ///
    /// # Errors
    /// The client is gone, or takes nothing.
    pub async fn while_draining<T>(&mut self, next: impl Future<Output = T>) -> io::Result<T> {
        let mut next = pin!(next);
        loop {
            if self.backlog.is_empty() {
                return Ok(next.await);
            }
            tokio::select! {
                biased;
                next = &mut next => return Ok(next),
                drained = self.drain() => drained?,
            }
        }
    }

    /// Says that nothing more will come.
    pub async fn finish(&mut self) {
        let _ = self.half.shutdown().await;
    }

    fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        match self.half.try_write(bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(0),
            written => written,
        }
    }

    /// The client takes some of what waits.
    async fn drain(&mut self) -> io::Result<()> {
        let (half, held) = (&mut self.half, &self.held);
        let taken = take(half, &self.backlog, held, self.taken).await;
        let taken = taken.inspect_err(|error| self.note_given_up(error))?;
        self.backlog.advance(taken);
        self.held.shrink(taken);
        self.taken = Instant::now();
        Ok(())
    }

    fn note_given_up(&self, error: &io::Error) {
        if error.kind() != io::ErrorKind::TimedOut {
            return;
        }
        tracing::info!(
            event = "client_stalled",
            request = self.request,
            waiting = self.backlog.len(),
            taken_age_ms = self.taken.elapsed().as_millis() as u64,
            cause = %error
        );
    }
}

/// The client takes all of these bytes.
async fn write_all(
    half: &mut OwnedWriteHalf,
    mut bytes: &[u8],
    held: &Held,
    taken: &mut Instant,
) -> io::Result<()> {
    *taken = Instant::now();
    while !bytes.is_empty() {
        let size = take(half, bytes, held, *taken).await?;
        bytes.advance(size);
        held.shrink(size);
        *taken = Instant::now();
    }
    Ok(())
}

/// The client takes some of these bytes; how many.
async fn take(
    half: &mut OwnedWriteHalf,
    bytes: &[u8],
    held: &Held,
    taken: Instant,
) -> io::Result<usize> {
    let stall = Duration::from_millis(held.bounds().stall_ms);
    let cause = tokio::select! {
        biased;
        written = half.write(bytes) => match written {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            written => return written,
        },
        () = held.given_up() => "it takes nothing, and its memory is needed for others",
        () = sleep_until(taken + stall) => {
            held.note_stalled();
            "it has taken nothing for too long"
        }
    };
    Err(io::Error::new(io::ErrorKind::TimedOut, cause))
}
