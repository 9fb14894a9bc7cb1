//! Keeps a stream at the software that sent its first event.

use super::request::RequestContext;
use fieldhook_ledger::streams::StreamOrigin;
use fieldhook_traffic::directory::{ServerEntry, Software};

/// Origin of a stream whose first event a server sent.
pub fn of(server: &ServerEntry) -> StreamOrigin {
    StreamOrigin {
        service: server.service.clone(),
        server: server.id.clone(),
        software_version: server.software_version.as_deref().map(str::to_owned),
    }
}

/// Returns the software that a stream has to stay at.
pub fn software(origin: &StreamOrigin) -> Software {
    Software::new(origin.software_version.as_deref(), &origin.server)
}

/// Whether a server still runs the software that its entry stated when the server was chosen.
pub fn is_current(context: &RequestContext, server: &ServerEntry) -> bool {
    let directory = context.daemon.directory.borrow();
    directory
        .entry(&server.id)
        .is_none_or(|current| current.software_version == server.software_version)
}
