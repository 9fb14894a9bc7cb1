//! Child processes, killed when their handle is dropped, and ports for them.

use std::collections::BTreeSet;
use std::fmt;
use std::fs::File;
use std::net::{TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Why a process could not be started or did not become ready.
#[derive(Debug)]
pub enum ProcessError {
    /// The executable does not exist.
    Missing(PathBuf),
    /// A system call failed.
    Io(std::io::Error),
    /// The named process or condition was not ready in time.
    NotReady(String),
    /// The process exited while the cluster was starting; holds the path of its log.
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
            Self::Io(error) => write!(
                formatter,
                "{error}; check resource limits and free disk space"
            ),
            Self::NotReady(what) => {
                write!(
                    formatter,
                    "{what} was not ready in time; read its log in the run's folder"
                )
            }
            Self::Exited(log) => {
                write!(
                    formatter,
                    "a process exited unexpectedly; read {}",
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

/// A signal that can be sent to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGKILL: ends the process immediately.
    Kill,
    /// SIGTERM: requests a planned stop.
    Terminate,
    /// SIGSTOP: pauses the process.
    Stop,
    /// SIGCONT: resumes a paused process.
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

/// A running child process; dropping the handle kills it.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
}

/// Returns the path of one of the project's executables: next to the running executable or,
/// from a test, in the parent of its `deps` folder.
fn executable_path(name: &str) -> Result<PathBuf, ProcessError> {
    let executable = std::env::current_exe()?;
    let folder = executable.parent().unwrap_or(Path::new("."));
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
    /// Starts one of the project's executables with its stderr appended to the file `log`.
    ///
    /// # Errors
    /// The executable is missing or cannot be started.
    pub fn start(executable: &str, arguments: &[String], log: &Path) -> Result<Self, ProcessError> {
        let file = File::options().create(true).append(true).open(log)?;
        let child = Command::new(executable_path(executable)?)
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

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the path of the log file.
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill")
            .args([signal.kill_argument(), &id])
            .status();
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits up to `limit` for the process to exit and returns its exit status.
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

    /// Consumes the handle and leaves the process running.
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

/// Ports that [`free_port`] has returned. The system may assign a port again as soon as the
/// probing socket is closed, before the intended process has bound it: 26 of 600 consecutive
/// ports were assigned twice, and the second process then exited at once.
static ALLOCATED_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Returns a port that is free for TCP and UDP; never returns the same port twice.
///
/// # Errors
/// No port can be bound.
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
        // The port is from the ephemeral range, so an outgoing connection may still take it
        // before the process binds it; this is least likely for high ports.
        if UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return Ok(port);
        }
    }
}
