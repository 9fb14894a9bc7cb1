//! HTTP service that emulates the platform's log.

use super::streams::{Streams, append_record, read_records};
use super::topics::{Topics, handle_call};
use crate::faults::Faults;
use crate::serve::serve;
use ntex::web::{self, ServiceConfig};
use std::io;

/// Serves the emulated log on an address.
///
/// # Errors
/// The address cannot be bound.
pub async fn run(address: &str) -> io::Result<()> {
    serve(address, |config: &mut ServiceConfig| {
        Faults::default().configure(config);
        config
            .state(Streams::default())
            .state(Topics::default())
            .state(web::types::PayloadConfig::new(BODY_LIMIT))
            .route("/v1/topics", web::post().to(handle_call))
            .service(
                web::resource("/v1/streams/{name}")
                    .route(web::post().to(append_record))
                    .route(web::get().to(read_records)),
            );
    })
    .await
}

/// Maximum size of a request body for the log, in bytes; replaces the limit of [`serve`].
const BODY_LIMIT: usize = 64 << 20;
