//! One started process, ended again when its handle is dropped.

use std::collections::BTreeSet;
use std::fmt;
use std::fs::File;
use std::net::{TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Why a process could not be started or spoken to.
#[derive(Debug)]
pub enum ProcessError {
    /// The program is not there.
    Missing(PathBuf),
    /// The system refused.
    Io(std::io::Error),
    /// It did not become ready in time.
    NotReady(String),
    /// It ended by itself while the others were started.
    Exited(PathBuf),
}

impl fmt::Display for ProcessError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(path) => {
                write!(
                    formatter,
                    "{} is missing; run `cargo build --workspace`",
                    path.display()
                )
            }
            Self::Io(error) => write!(formatter, "{error}; check limits and free space"),
            Self::NotReady(what) => {
                write!(
                    formatter,
                    "{what} was not ready in time; read its log in the run's folder"
                )
            }
            Self::Exited(log) => {
                write!(
                    formatter,
                    "a process ended by itself; read {}",
                    log.display()
                )
            }
        }
    }
}

impl std::error::Error for ProcessError {}

impl From<std::io::Error> for ProcessError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

/// A signal to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Ends it at once.
    Kill,
    /// Asks it to end in order.
    Terminate,
    /// Freezes it.
    Stop,
    /// Thaws it.
    Continue,
}

impl Signal {
    fn kill_argument(self) -> &'static str {
        match self {
            Self::Kill => "-KILL",
            Self::Terminate => "-TERM",
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
        }
    }
}

/// One started process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
}

/// Where the project's programs are: beside the running one, or, from a test,
/// one folder up.
fn program_path(name: &str) -> Result<PathBuf, ProcessError> {
    let own = std::env::current_exe()?;
    let folder = own.parent().unwrap_or(Path::new("."));
    let folder = if folder.ends_with("deps") {
        folder.parent().unwrap_or(folder)
    } else {
        folder
    };
    let path = folder.join(name);
    if path.exists() {
        Ok(path)
    } else {
        Err(ProcessError::Missing(path))
    }
}

impl Process {
    /// Starts one of the project's programs; its log goes to a file.
    ///
    /// # Errors
    /// The program is missing or cannot be started.
    pub fn start(program: &str, arguments: &[String], log: &Path) -> Result<Self, ProcessError> {
        let file = File::options().create(true).append(true).open(log)?;
        let child = Command::new(program_path(program)?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(file)
            .spawn()?;
        Ok(Self {
            child,
            log: log.to_owned(),
        })
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// File with the log.
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill")
            .args([signal.kill_argument(), &id])
            .status();
    }

    /// Ends the process at once and waits until it is gone.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for its end.
    pub async fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let started = Instant::now();
        while started.elapsed() < limit {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            ntex::time::sleep(POLL_INTERVAL).await;
        }
        None
    }

    /// Leaves the process running after the handle is dropped.
    pub fn detach(self) {
        std::mem::forget(self);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.is_running() {
            self.signal(Signal::Continue);
            self.kill();
        }
    }
}

/// Ports that were handed out. The system gives one again as soon as it is let go, which is
/// before the process that it was meant for has bound it: of 600 in a row 26 were given
/// twice, and the second process ended at once.
static ALLOCATED_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// A port that is free for TCP and UDP, each once in the life of this process.
///
/// # Errors
/// None is.
pub fn free_port() -> Result<u16, ProcessError> {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let port = listener.local_addr()?.port();
        let mut allocated = ALLOCATED_PORTS
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if !allocated.insert(port) {
            continue;
        }
        // Ports that the system hands out for outgoing connections may be taken
        // by one before the process binds; high ones are least likely so.
        if UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return Ok(port);
        }
    }
}
