//! Emulator of the weight store: serves model weights at a limited rate.

use crate::faults::Faults;
use crate::serve::serve;
use fieldhook_http::json;
use ntex::time::{Millis, sleep};
use ntex::web::{self, HttpResponse, ServiceConfig, types};
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

#[derive(Clone)]
struct WeightStore {
    bytes_per_second: u64,
    weight_bytes: u64,
    /// When the last queued download ends.
    idle_at: Rc<Cell<Instant>>,
}

/// Response of the store, in place of the weights themselves.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Weights {
    /// Name of the model or adapter.
    pub name: String,
    /// Size in bytes.
    pub bytes: u64,
}

impl WeightStore {
    /// Queues a download and returns how long it takes, including the wait for earlier ones.
    fn queue_download(&self) -> Duration {
        let now = Instant::now();
        let begin = self.idle_at.get().max(now);
        let duration =
            Duration::from_secs_f64(self.weight_bytes as f64 / self.bytes_per_second as f64);
        self.idle_at.set(begin + duration);
        begin + duration - now
    }
}

/// Serves the emulated weight store on an address.
///
/// # Errors
/// The address cannot be bound.
pub async fn run(address: &str, bytes_per_second: u64, weight_bytes: u64) -> io::Result<()> {
    serve(address, move |config: &mut ServiceConfig| {
        let idle_at = Rc::new(Cell::new(Instant::now()));
        Faults::default().configure(config);
        config
            .state(WeightStore {
                bytes_per_second: bytes_per_second.max(1),
                weight_bytes,
                idle_at,
            })
            .route("/v1/weights/{name}", web::get().to(fetch_weights));
    })
    .await
}

async fn fetch_weights(
    store: types::State<WeightStore>,
    faults: types::State<Faults>,
    name: types::Path<String>,
) -> HttpResponse {
    if let Err(response) = faults.before_request().await {
        return response;
    }
    let wait_ms = store.queue_download().as_millis().min(u128::from(u32::MAX)) as u32;
    sleep(Millis(wait_ms)).await;
    json(
        200,
        &Weights {
            name: name.into_inner(),
            bytes: store.weight_bytes,
        },
    )
}
