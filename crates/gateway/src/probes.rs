//! Readiness and metrics over HTTP.

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

const READY_PERIOD: Duration = Duration::from_millis(20);

/// A question for the figures; the servers run on a thread of their own.
type MetricsQuestion = oneshot::Sender<String>;

/// Serves readiness and metrics.
///
/// # Errors
/// An address cannot be bound.
pub fn serve(daemon: &Rc<Daemon>, dropped: ErrorCounter) -> std::io::Result<()> {
    let ready = Arc::new(AtomicBool::new(false));
    let (questions, asked) = mpsc::unbounded_channel::<MetricsQuestion>();
    ntex::rt::spawn(track_readiness(daemon.clone(), ready.clone()));
    ntex::rt::spawn(answer_metrics(daemon.clone(), asked, dropped));
    let path = daemon.settings.readiness_path.clone();
    let server = HttpServer::new(async move || {
        let ready = ready.clone();
        let questions = questions.clone();
        web::App::new()
            .service(web::resource(path.clone()).route(web::get().to(move || {
                let ready = ready.clone();
                async move { readiness(&ready) }
            })))
            .service(web::resource("/metrics").route(web::get().to(move || {
                let questions = questions.clone();
                async move { metrics(questions).await }
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

async fn metrics(questions: mpsc::UnboundedSender<MetricsQuestion>) -> HttpResponse {
    let (sender, answer) = oneshot::channel();
    let _ = questions.send(sender);
    HttpResponse::Ok().body(answer.await.unwrap_or_default())
}

async fn track_readiness(daemon: Rc<Daemon>, ready: Arc<AtomicBool>) {
    loop {
        ready.store(daemon.is_ready(), Ordering::Relaxed);
        sleep(READY_PERIOD).await;
    }
}

async fn answer_metrics(
    daemon: Rc<Daemon>,
    mut asked: mpsc::UnboundedReceiver<MetricsQuestion>,
    dropped: ErrorCounter,
) {
    while let Some(answer) = asked.recv().await {
        daemon
            .metrics
            .lines_dropped
            .set(dropped.dropped_lines() as i64);
        daemon.owner.record_tenant_usage();
        let _ = answer.send(daemon.metrics.text());
    }
}
