//! The weight store: hands out weights at a limited rate.

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
struct Store {
    bytes_per_second: u64,
    weight_bytes: u64,
    free_at: Rc<Cell<Instant>>,
}

/// Answer of the store: stands for the weights themselves.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Weights {
    /// Name of the model or adapter.
    pub name: String,
    /// Size in bytes.
    pub bytes: u64,
}

impl Store {
    /// Takes the next place in the line of downloads and says how long to wait.
    fn take_turn(&self) -> Duration {
        let now = Instant::now();
        let begin = self.free_at.get().max(now);
        let span = Duration::from_secs_f64(self.weight_bytes as f64 / self.bytes_per_second as f64);
        self.free_at.set(begin + span);
        begin + span - now
    }
}

/// Runs the stand-in.
///
/// # Errors
/// The address cannot be bound.
pub async fn run(address: &str, bytes_per_second: u64, weight_bytes: u64) -> io::Result<()> {
    serve(address, move |config: &mut ServiceConfig| {
        let free_at = Rc::new(Cell::new(Instant::now()));
        Faults::default().configure(config);
        config
            .state(Store {
                bytes_per_second: bytes_per_second.max(1),
                weight_bytes,
                free_at,
            })
            .route("/v1/weights/{name}", web::get().to(fetch_weights));
    })
    .await
}

async fn fetch_weights(
    store: types::State<Store>,
    faults: types::State<Faults>,
    name: types::Path<String>,
) -> HttpResponse {
    if let Err(answer) = faults.before().await {
        return answer;
    }
    let wait_ms = store.take_turn().as_millis().min(u128::from(u32::MAX)) as u32;
    sleep(Millis(wait_ms)).await;
    json(
        200,
        &Weights {
            name: name.into_inner(),
            bytes: store.weight_bytes,
        },
    )
}
