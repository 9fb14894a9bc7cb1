//! The time that fieldhook adds to a call's first token: the same engine asked
//! directly and through fieldhook, in turn, at light load.

use crate::caller::{Caller, user};
use crate::cluster::{Cluster, Shape};
use crate::report::Percentiles;
use fieldhook_http::{HttpClient, SseDecoder};
use fieldhook_model::platform::GenerateRequest;
use futures_util::StreamExt;
use hdrhistogram::Histogram;
use ntex::http::Method;
use ntex::time::{Millis, sleep};
use serde::Serialize;
use std::error::Error;
use std::path::Path;
use std::time::{Duration, Instant};

const LIMIT: Duration = Duration::from_secs(10);
const WARM_UP: usize = 50;
const PAUSE: Millis = Millis(3);
const TOKENS: u32 = 3;
const HIGHEST_US: u64 = 60_000_000;

/// First-token times of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Overhead {
    /// The engine asked directly, in milliseconds.
    pub direct_ms: Percentiles,
    /// Asked through fieldhook, in milliseconds.
    pub through_ms: Percentiles,
    /// Difference of the medians, in milliseconds.
    pub added_p50_ms: f64,
    /// Difference of the 99th percentiles, in milliseconds.
    pub added_p99_ms: f64,
}

/// Measures with `calls` calls of each kind.
///
/// # Errors
/// The cluster cannot be started or a call fails.
pub async fn measure(calls: usize, folder: &Path) -> Result<Overhead, Box<dyn Error>> {
    let mut shape = Shape::default();
    shape.engines.truncate(1);
    // A step as short as the stand-in's clock allows, so that its length hides
    // as little as possible.
    shape.engines[0].flags = [
        "--step-base-us",
        "1000",
        "--decode-us",
        "0",
        "--prefill-us",
        "0",
    ]
    .map(str::to_owned)
    .into();
    let cluster = Cluster::start(shape, folder).await?;
    cluster.wait_whole().await?;
    let gateways = cluster.gateways();
    let engine = cluster.engines()[0].clone();
    let mut direct = Histogram::<u64>::new_with_bounds(1, HIGHEST_US, 3)?;
    let mut through = direct.clone();
    for index in 0..calls + WARM_UP {
        let key = format!("overhead-{index}");
        let mut caller = Caller::open(&cluster.client, &gateways, "tambak", &key, 100_000).await?;
        sleep(PAUSE).await;
        caller.ask_model("chat", "How much is it?", TOKENS).await;
        let first = caller
            .times
            .first
            .ok_or("no first token through fieldhook")?;
        sleep(PAUSE).await;
        let plain = ask_directly(&cluster.client, &engine, &key).await?;
        if index >= WARM_UP {
            through.saturating_record(first.as_micros() as u64);
            direct.saturating_record(plain.as_micros() as u64);
        }
    }
    let (direct_ms, through_ms) = (Percentiles::of(&direct), Percentiles::of(&through));
    Ok(Overhead {
        direct_ms,
        through_ms,
        added_p50_ms: through_ms.p50 - direct_ms.p50,
        added_p99_ms: through_ms.p99 - direct_ms.p99,
    })
}

async fn ask_directly(
    client: &HttpClient,
    engine: &str,
    key: &str,
) -> Result<Duration, Box<dyn Error>> {
    let request = GenerateRequest {
        stream: format!("direct-{key}"),
        program: format!("direct-{key}"),
        model: "chat".to_owned(),
        messages: vec![user("How much is it?")],
        max_tokens: TOKENS,
        priority: 50,
        continues: false,
    };
    let begun = Instant::now();
    let url = format!("http://{engine}/v1/generate");
    let body = serde_json::to_vec(&request)?;
    let headers = [("content-type", "application/json")];
    let mut response = client
        .send(Method::POST, &url, &headers, body, LIMIT)
        .await?;
    let mut decoder = SseDecoder::default();
    let mut first = None;
    while let Some(chunk) = response.next().await {
        if !decoder.push(&chunk?).is_empty() {
            first.get_or_insert_with(|| begun.elapsed());
        }
    }
    first.ok_or_else(|| "no first token from the engine".into())
}
