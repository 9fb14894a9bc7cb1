//! Accepting clients.

use super::connection;
use crate::daemon::{Daemon, Stopping};
use crate::upstream::connection::configure_socket;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Pause after a failed accept, which means a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Listens for clients.
///
/// # Errors
/// The address cannot be bound.
pub async fn listen(daemon: Rc<Daemon>) -> io::Result<()> {
    let listener = TcpListener::bind(daemon.settings.clients).await?;
    ntex::rt::spawn(async move {
        let mut stopping = daemon.stopping.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                // Closing the listener sends clients elsewhere at once.
                _ = stopping.wait_for(|stopping| *stopping == Stopping::Refusing) => return,
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
