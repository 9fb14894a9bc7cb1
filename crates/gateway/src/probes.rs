//! HTTP endpoints for readiness and metrics.

use crate::daemon::Daemon;
use ntex::SharedCfg;
use ntex::web::{self, HttpResponse, HttpServer};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;
use tracing_appender::non_blocking::ErrorCounter;

const READINESS_PERIOD: Duration = Duration::from_millis(20);

/// Returns the metrics to the HTTP server, which runs on a thread of its own.
type MetricsSender = oneshot::Sender<String>;

/// Starts the HTTP server for readiness and metrics.
///
/// # Errors
/// An address cannot be bound.
pub fn serve(daemon: &Rc<Daemon>, dropped: ErrorCounter) -> std::io::Result<()> {
    let ready = Arc::new(AtomicBool::new(false));
    let (requests, receiver) = mpsc::unbounded_channel::<MetricsSender>();
    ntex::rt::spawn(track_readiness(daemon.clone(), ready.clone()));
    ntex::rt::spawn(serve_metrics(daemon.clone(), receiver, dropped));
    let path = daemon.settings.readiness_path.clone();
    let server = HttpServer::new(async move || {
        let ready = ready.clone();
        let requests = requests.clone();
        web::App::new()
            .service(web::resource(path.clone()).route(web::get().to(move || {
                let ready = ready.clone();
                async move { readiness(&ready) }
            })))
            .service(web::resource("/metrics").route(web::get().to(move || {
                let requests = requests.clone();
                async move { metrics(requests).await }
            })))
    })
    .workers(1)
    .disable_signals()
    .config(SharedCfg::new("PROBES"));
    let server = server
        .bind(daemon.settings.readiness)?
        .bind(daemon.settings.metrics)?
        .run();
    ntex::rt::spawn(async move {
        let _ = server.await;
    });
    Ok(())
}

fn readiness(ready: &AtomicBool) -> HttpResponse {
    if ready.load(Ordering::Relaxed) {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}

async fn metrics(requests: mpsc::UnboundedSender<MetricsSender>) -> HttpResponse {
    let (sender, text) = oneshot::channel();
    let _ = requests.send(sender);
    HttpResponse::Ok().body(text.await.unwrap_or_default())
}

async fn track_readiness(daemon: Rc<Daemon>, ready: Arc<AtomicBool>) {
    loop {
        ready.store(daemon.is_ready(), Ordering::Relaxed);
        sleep(READINESS_PERIOD).await;
    }
}

async fn serve_metrics(
    daemon: Rc<Daemon>,
    mut requests: mpsc::UnboundedReceiver<MetricsSender>,
    dropped: ErrorCounter,
) {
    while let Some(sender) = requests.recv().await {
        daemon
            .metrics
            .lines_dropped
            .set(dropped.dropped_lines() as i64);
        daemon.owner.record_tenant_usage();
        let _ = sender.send(daemon.metrics.text());
    }
}
