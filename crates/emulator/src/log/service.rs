//! The process that stands in for the platform's log.

use super::streams::{Streams, append_record, read_records};
use super::topics::{Topics, call};
use crate::faults::Faults;
use crate::serve::serve;
use ntex::web::{self, ServiceConfig};
use std::io;

/// Runs the stand-in.
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
            .route("/v1/topics", web::post().to(call))
            .service(
                web::resource("/v1/streams/{name}")
                    .route(web::post().to(append_record))
                    .route(web::get().to(read_records)),
            );
    })
    .await
}

/// Largest append, in bytes.
const BODY_LIMIT: usize = 64 << 20;
