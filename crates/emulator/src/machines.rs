//! Emulator of the platform's machine list, whose changes become visible after a delay.

use crate::faults::Faults;
use crate::serve::serve;
use fieldhook_http::{json, text};
use fieldhook_model::platform::Machine;
use ntex::util::Bytes;
use ntex::web::{self, HttpResponse, ServiceConfig, types};
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A version of the list and when it was set.
struct ListVersion {
    set_at: Instant,
    machines: Vec<Machine>,
}

#[derive(Clone)]
struct MachineList {
    lag: Duration,
    versions: Rc<RefCell<Vec<ListVersion>>>,
}

impl MachineList {
    fn visible(&self) -> Vec<Machine> {
        let versions = self.versions.borrow();
        let old_enough = versions
            .iter()
            .rev()
            .find(|version| version.set_at.elapsed() >= self.lag);
        // The first list is visible immediately; only changes are delayed.
        old_enough
            .or(versions.first())
            .map(|version| version.machines.clone())
            .unwrap_or_default()
    }
}

/// Serves the emulated machine list on an address.
///
/// # Errors
/// The address cannot be bound.
pub async fn run(address: &str, lag_ms: u64) -> io::Result<()> {
    serve(address, move |config: &mut ServiceConfig| {
        let list = MachineList {
            lag: Duration::from_millis(lag_ms),
            versions: Rc::new(RefCell::new(Vec::new())),
        };
        Faults::default().configure(config);
        config
            .state(list)
            .route("/v1/machines", web::get().to(show_machines))
            .route("/control/machines", web::post().to(set_machines));
    })
    .await
}

async fn show_machines(
    list: types::State<MachineList>,
    faults: types::State<Faults>,
) -> HttpResponse {
    match faults.before_request().await {
        Ok(()) => json(200, &list.visible()),
        Err(response) => response,
    }
}

async fn set_machines(list: types::State<MachineList>, body: Bytes) -> HttpResponse {
    match serde_json::from_slice::<Vec<Machine>>(&body) {
        Ok(machines) => {
            list.versions.borrow_mut().push(ListVersion {
                set_at: Instant::now(),
                machines,
            });
            text(200, "set")
        }
        Err(error) => text(400, error.to_string()),
    }
}
