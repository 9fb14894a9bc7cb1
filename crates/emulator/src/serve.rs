//! HTTP server shared by all emulators: one listener and one worker thread.

use ntex::SharedCfg;
use ntex::http::HttpServiceConfig;
use ntex::time::Seconds;
use ntex::web::{self, HttpServer, ServiceConfig};
use std::io;

/// Maximum size of a request body, in bytes.
const BODY_LIMIT: usize = 256 << 20;
/// How long an idle connection stays open: longer than any fieldhook client keeps it.
const KEEP_ALIVE: Seconds = Seconds(75);

/// Serves routes on one worker until the process ends. `configure` runs on the
/// worker's thread, where it may also spawn tasks.
///
/// # Errors
/// The address cannot be bound.
pub async fn serve<F>(address: &str, configure: F) -> io::Result<()>
where
    F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
{
    let http = HttpServiceConfig::new().set_keepalive(KEEP_ALIVE);
    HttpServer::new(async move || {
        let configure = configure.clone();
        web::App::new()
            .state(web::types::PayloadConfig::new(BODY_LIMIT))
            .configure(move |config| configure(config))
    })
    .workers(1)
    .config(SharedCfg::new("EMULATOR").add(http))
    .bind(address)?
    .run()
    .await
}
