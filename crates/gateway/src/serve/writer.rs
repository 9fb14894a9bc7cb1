//! Writing half of a client connection. Data that the client has not read yet is buffered up to a
//! limit. Until the limit is reached the server is read at its own speed, and from then on at the
//! speed of the client.

use crate::memory::{Memory, MemoryAccount};
use bytes::{Buf, BytesMut};
use fieldhook_traffic::buffer_memory::Purpose;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::{Instant, sleep_until};

/// Writing half of a client connection.
pub struct ClientWriter {
    half: OwnedWriteHalf,
    /// Data that the client has not accepted yet.
    backlog: BytesMut,
    /// Accounts for the memory of the backlog.
    memory_account: MemoryAccount,
    /// When the client last accepted data, or when data first became available for it.
    last_progress: Instant,
    /// Id of the request being answered, for log lines.
    request: String,
}

impl ClientWriter {
    /// Creates a writer for a connection.
    pub fn new(half: OwnedWriteHalf, memory: &Rc<Memory>) -> Self {
        Self {
            half,
            backlog: BytesMut::new(),
            memory_account: memory.open(Purpose::Delivery),
            last_progress: Instant::now(),
            request: String::new(),
        }
    }

    /// Starts the response to the request with this id.
    pub fn start_response(&mut self, request: &str) {
        request.clone_into(&mut self.request);
    }

    /// Appends bytes to the output. Returns once they are written or buffered.
    ///
    /// # Errors
    /// The client closed the connection or does not read.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        let written = match self.backlog.is_empty() {
            true => self.try_write(bytes)?,
            false => 0,
        };
        let unsent = &bytes[written..];
        if unsent.is_empty() {
            return Ok(());
        }
        let fits =
            self.backlog.len() + unsent.len() <= self.memory_account.limits().connection_bytes;
        if fits && self.memory_account.grow(unsent.len()).is_ok() {
            if self.backlog.is_empty() {
                self.last_progress = Instant::now();
            }
            self.backlog.extend_from_slice(unsent);
            return Ok(());
        }
        self.flush().await?;
        let (half, memory_account) = (&mut self.half, &self.memory_account);
        let written = write_all(half, unsent, memory_account, &mut self.last_progress).await;
        written.inspect_err(|error| self.log_if_stalled(error))
    }

    /// Sends bytes and waits until all output is written.
    ///
    /// # Errors
    /// The client closed the connection or does not read.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.send(bytes).await?;
        self.flush().await
    }

    /// Sends bytes whose memory is accounted for by `memory_account`, and waits until they are written.
    ///
    /// # Errors
    /// The client closed the connection or does not read.
    pub async fn write_accounted(
        &mut self,
        bytes: &[u8],
        memory_account: &MemoryAccount,
    ) -> io::Result<()> {
        self.flush().await?;
        memory_account.start_delivery();
        let written = write_all(
            &mut self.half,
            bytes,
            memory_account,
            &mut self.last_progress,
        )
        .await;
        written.inspect_err(|error| self.log_if_stalled(error))
    }

    /// Waits until the backlog is written.
    ///
    /// # Errors
    /// The client closed the connection or does not read.
    pub async fn flush(&mut self) -> io::Result<()> {
        while !self.backlog.is_empty() {
            self.drain().await?;
        }
        Ok(())
    }

    /// Waits for `next`, the next input from the server, while writing the backlog to the client.
    ///
    /// # Errors
    /// The client closed the connection or does not read.
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

    /// Shuts down the writing side of the connection.
    pub async fn finish(&mut self) {
        let _ = self.half.shutdown().await;
    }

    fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        match self.half.try_write(bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(0),
            written => written,
        }
    }

    /// Writes a part of the backlog.
    async fn drain(&mut self) -> io::Result<()> {
        let (half, memory_account) = (&mut self.half, &self.memory_account);
        let written = write_some(half, &self.backlog, memory_account, self.last_progress).await;
        let written = written.inspect_err(|error| self.log_if_stalled(error))?;
        self.backlog.advance(written);
        self.memory_account.shrink(written);
        self.last_progress = Instant::now();
        Ok(())
    }

    fn log_if_stalled(&self, error: &io::Error) {
        if error.kind() != io::ErrorKind::TimedOut {
            return;
        }
        tracing::info!(
            event = "client_stalled",
            request = self.request,
            waiting = self.backlog.len(),
            taken_age_ms = self.last_progress.elapsed().as_millis() as u64,
            cause = %error
        );
    }
}

/// Writes all bytes.
async fn write_all(
    half: &mut OwnedWriteHalf,
    mut bytes: &[u8],
    memory_account: &MemoryAccount,
    last_progress: &mut Instant,
) -> io::Result<()> {
    *last_progress = Instant::now();
    while !bytes.is_empty() {
        let size = write_some(half, bytes, memory_account, *last_progress).await?;
        bytes.advance(size);
        memory_account.shrink(size);
        *last_progress = Instant::now();
    }
    Ok(())
}

/// Writes some of the bytes and returns their number. Fails if the client reads nothing for too
/// long, or if its memory is needed for other peers.
async fn write_some(
    half: &mut OwnedWriteHalf,
    bytes: &[u8],
    memory_account: &MemoryAccount,
    last_progress: Instant,
) -> io::Result<usize> {
    let stall = Duration::from_millis(memory_account.limits().stall_ms);
    let cause = tokio::select! {
        biased;
        written = half.write(bytes) => match written {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            written => return written,
        },
        () = memory_account.evicted() => "the client reads nothing and its memory is needed for other peers",
        () = sleep_until(last_progress + stall) => {
            memory_account.record_stall();
            "the client has read nothing for too long"
        }
    };
    Err(io::Error::new(io::ErrorKind::TimedOut, cause))
}
