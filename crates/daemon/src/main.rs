//! `fieldhookd`: reads the settings, starts the daemon's tasks, serves requests, and shuts down
//! gracefully on SIGTERM or SIGINT.

use fieldhook_daemon::drain::drain;
use fieldhook_daemon::node::{Node, Phase};
use fieldhook_daemon::platform::{config_sync, fleet};
use fieldhook_daemon::sequencer::run_maintenance;
use fieldhook_daemon::server;
use fieldhook_daemon::settings::{Flags, Settings, SettingsError};
use fieldhook_daemon::shard::{apply_claim, run_claiming};
use fieldhook_daemon::transport::run_datagrams;
use fieldhook_http::HttpClient;
use gumdrop::Options;
use ntex::SharedCfg;
use ntex::http::HttpServiceConfig;
use ntex::time::{Millis, Seconds, sleep};
use ntex::web::{self, HttpServer};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::oneshot;

const EXIT_BAD_SETTINGS: u8 = 2;
/// Log filter if the environment variable `FIELDHOOK_LOG` is not set or not valid.
const DEFAULT_LOG_FILTER: &str = "warn,fieldhookd=info,fieldhook_daemon=info";
const EXIT_CANNOT_SERVE: u8 = 1;
/// Longer than any client of the project keeps an idle connection open.
const KEEP_ALIVE: Seconds = Seconds(75);
const READY_POLL_INTERVAL: Millis = Millis(50);

#[ntex::main]
async fn main() -> ExitCode {
    let flags = Flags::parse_args_default_or_exit();
    tracing_subscriber::fmt()
        .json()
        .with_env_filter(
            tracing_subscriber::EnvFilter::try_from_env("FIELDHOOK_LOG")
                .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new(DEFAULT_LOG_FILTER)),
        )
        .with_writer(std::io::stderr)
        .init();
    let settings = match flags.settings() {
        Ok(settings) => settings,
        Err(error) => {
            tracing::error!(%error, "invalid settings");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    if flags.check {
        println!("{settings:#?}");
        return ExitCode::SUCCESS;
    }
    match serve(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            tracing::error!(
                cause,
                "cannot serve; check that the address belongs to this machine and is not in use"
            );
            ExitCode::from(EXIT_CANNOT_SERVE)
        }
    }
}

async fn serve(settings: Settings) -> Result<(), String> {
    let address = settings.address.clone();
    let (drained, drain_finished) = oneshot::channel::<()>();
    let drained = std::sync::Arc::new(std::sync::Mutex::new(Some(drained)));
    let http = HttpServiceConfig::new().set_keepalive(KEEP_ALIVE);
    let running = HttpServer::new(async move || {
        let node = start_node(&settings).await;
        if let (Ok(node), Some(drained)) =
            (&node, drained.lock().ok().and_then(|mut slot| slot.take()))
        {
            ntex::rt::spawn(stop_on_signal(node.clone(), drained));
        }
        web::App::new().configure(move |config| {
            if let Ok(node) = &node {
                server::configure(config, node.clone());
            }
        })
    })
    // The daemon's state is not thread-safe: all handlers and tasks run on one thread.
    .workers(1)
    .disable_signals()
    .shutdown_timeout(Seconds(5))
    .config(SharedCfg::new("FIELDHOOKD").add(http))
    .bind(&address)
    .map_err(|error| error.to_string())?
    .run();
    let stop = running.clone();
    ntex::rt::spawn(async move {
        let _ = drain_finished.await;
        stop.stop(true).await;
    });
    running.await.map_err(|error| error.to_string())
}

async fn start_node(settings: &Settings) -> Result<Rc<Node>, SettingsError> {
    let address = settings.listen_address()?;
    let seeds = settings.seed_addresses()?;
    let client = HttpClient::new().await;
    let node = Rc::new(Node::new(settings.clone(), address, seeds, client));
    tracing::info!(id = %node.id, zone = settings.zone, "starts");
    if let Err(error) = run_datagrams(node.clone()).await {
        tracing::error!(%error, "cannot bind the UDP socket; check that the port is not in use");
    }
    let callback_node = node.clone();
    node.claims.set_on_change(Rc::new(move |shard| {
        apply_claim(&callback_node, shard as u16)
    }));
    ntex::rt::spawn(node.claims.clone().run_follow());
    ntex::rt::spawn(node.claims.clone().run_claim_unowned(Duration::ZERO));
    ntex::rt::spawn(run_claiming(node.clone()));
    ntex::rt::spawn(run_maintenance(node.clone()));
    ntex::rt::spawn(config_sync::run_config_from_log(node.clone()));
    ntex::rt::spawn(config_sync::run_config_from_peers(node.clone()));
    ntex::rt::spawn(fleet::run_machine_list(node.clone()));
    ntex::rt::spawn(fleet::run_load_reports(node.clone()));
    ntex::rt::spawn(wait_until_ready(node.clone()));
    Ok(node)
}

/// Switches to [`Phase::Serving`] once the configuration is known and every shard has a known
/// owner. A daemon that starts while the log is down gets its configuration from peers but cannot
/// know the owners yet. It serves anyway, and calls wait until the owners are known.
async fn wait_until_ready(node: Rc<Node>) {
    while !(node.config_known.get() && are_owners_known(&node)) {
        sleep(READY_POLL_INTERVAL).await;
    }
    node.set_phase(Phase::Serving);
    tracing::info!("serves");
}

fn are_owners_known(node: &Node) -> bool {
    let is_owned = |shard| {
        let claim = node.claims.claim(u32::from(shard));
        claim.is_some_and(|claim| claim.address.is_some())
    };
    !node.claims.is_loaded() || (0..node.settings.shards).all(is_owned)
}

async fn stop_on_signal(node: Rc<Node>, drained: oneshot::Sender<()>) {
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    drain(node).await;
    let _ = drained.send(());
}
