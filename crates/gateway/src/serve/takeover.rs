//! Takes over the attempts of daemons that were lost: their servers may have ended under them.

use super::attempt_monitor;
use crate::daemon::Daemon;
use crate::ledger::backups::BackupEvent;
use fieldhook_ledger::backup::LostSender;
use fieldhook_ledger::message::{AttemptServer, BackedUpAttempt, ClosedAttempt, RequestKey};
use fieldhook_ledger::name::QualifiedName;
use fieldhook_traffic::directory::{self, ServerEntry};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// Attempts of other daemons that this one follows, by number.
type Followed = Rc<RefCell<HashMap<u64, oneshot::Sender<ClosedAttempt>>>>;

/// Takes over attempts until the daemon exits.
pub async fn run(daemon: Rc<Daemon>, mut events: mpsc::UnboundedReceiver<BackupEvent>) {
    let followed = Followed::default();
    while let Some(event) = events.recv().await {
        match event {
            BackupEvent::Lost(lost) => take_over(&daemon, &followed, lost),
            BackupEvent::Ended(closed) => {
                let cancel = followed.borrow_mut().remove(&closed.attempt);
                // An attempt that is followed to its end needs no cancellation.
                let _ = cancel.map(|cancel| cancel.send(closed));
            }
        }
    }
}

fn take_over(daemon: &Rc<Daemon>, followed: &Followed, lost: LostSender) {
    let count = lost.attempts.len();
    let taken_over = &daemon.metrics.attempts_taken_over;
    let cause = lost.cause.name();
    taken_over.with_label_values(&[cause]).inc_by(count as u64);
    tracing::info!(
        event = "daemon_lost",
        address = lost.address,
        incarnation = lost.incarnation,
        cause,
        attempts = count
    );
    suspect(daemon, &lost);
    for attempt in lost.attempts {
        follow(daemon, followed, attempt);
    }
}

/// Has all daemons ask before they send a request that was in progress at a daemon which owned its
/// partition too. An owner that lives tells of reports itself.
fn suspect(daemon: &Rc<Daemon>, lost: &LostSender) {
    let Ok(address) = lost.address.parse() else {
        return;
    };
    let claims = &daemon.owner.claims;
    let is_owned = |content: &&RequestKey| {
        let claim = claims.claim(daemon.ledger.partition_of_request(content));
        claim.is_some_and(|claim| claim.address == Some(address))
    };
    let contents = lost.attempts.iter().map(|attempt| &attempt.content);
    let names = contents
        .filter(is_owned)
        .map(|content| content.name.clone());
    let names: Vec<QualifiedName> = names.collect();
    if !names.is_empty() {
        daemon.owner.suspect_requests(names, address);
    }
}

fn follow(daemon: &Rc<Daemon>, followed: &Followed, attempt: BackedUpAttempt) {
    let Some(server) = entry(&attempt.server) else {
        tracing::warn!(
            event = "attempt_not_taken_over",
            request = attempt.request,
            server = attempt.server.name,
            address = attempt.server.address
        );
        return;
    };
    let number = attempt.attempt;
    if followed.borrow().contains_key(&number) {
        return;
    }
    let (cancel, cancelled) = oneshot::channel();
    followed.borrow_mut().insert(number, cancel);
    let (daemon, followed) = (daemon.clone(), followed.clone());
    ntex::rt::spawn(async move {
        attempt_monitor::take_over(daemon, attempt, server, cancelled).await;
        followed.borrow_mut().remove(&number);
    });
}

/// The entry of a server as far as its check needs it; `None` without a valid address.
fn entry(server: &AttemptServer) -> Option<ServerEntry> {
    Some(ServerEntry {
        id: directory::identity(&server.name, server.started_ms),
        name: server.name.clone(),
        service: server.service.clone(),
        address: server.address.parse().ok()?,
        zone: String::new(),
        slots: 0,
        draining: false,
        cold_ms: 0,
        software_version: None,
    })
}
