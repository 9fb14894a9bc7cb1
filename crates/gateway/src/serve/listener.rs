//! Accepts client connections.

use super::connection;
use crate::daemon::{Daemon, ShutdownPhase};
use crate::upstream::connection::configure_socket;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Pause after a failed accept, which usually means that file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Starts accepting client connections.
///
/// # Errors
/// The address cannot be bound.
pub async fn listen(daemon: Rc<Daemon>) -> io::Result<()> {
    let listener = TcpListener::bind(daemon.settings.clients).await?;
    ntex::rt::spawn(async move {
        let mut stopping = daemon.shutdown.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                // Closing the listener makes clients connect to another daemon at once.
                _ = stopping.wait_for(|stopping| *stopping == ShutdownPhase::Refusing) => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    configure_socket(&stream);
                    ntex::rt::spawn(connection::serve(daemon.clone(), stream));
                }
                Err(_) => sleep(ACCEPT_PAUSE).await,
            }
        }
    });
    Ok(())
}
