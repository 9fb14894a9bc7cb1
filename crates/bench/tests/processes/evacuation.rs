//! Evacuation of a zone with the command-line client.

use crate::configuration::{spawn_client, wait_for_exit};
use crate::support::{
    accepted_requests, finish_and_check, run_exclusively, sleep_ms, start, start_load,
};
use fieldhook_bench::cluster::{Cluster, ClusterConfig};
use fieldhook_bench::load::Workload;

/// Requests that were placed before the evacuation took effect have completed after this time.
const SETTLE_MS: u32 = 2_000;

/// Returns the index of the engine with the most requests. Programs stay on the engine where
/// they started, and among idle engines the first by address is selected, so any other engine
/// may have had no requests.
async fn busiest_engine(cluster: &Cluster) -> usize {
    let mut busiest = (0, 0);
    for (index, engine) in cluster.engines().iter().enumerate() {
        busiest = busiest.max((accepted_requests(cluster, engine).await, index));
    }
    busiest.1
}

#[test]
fn evacuated_zone_gets_no_new_requests() {
    run_exclusively(async {
        let cluster = start("evacuation", ClusterConfig::default()).await;
        let workload = Workload {
            calls: 40,
            pause_ms: 200,
            ..Workload::default()
        };
        let load = start_load(&cluster, &workload);
        sleep_ms(1_000).await;
        let index = busiest_engine(&cluster).await;
        // By default there is one engine per zone, in the same order.
        let zone = cluster.config.zones[index].clone();
        let engine = cluster.engines()[index].clone();
        let evacuated = wait_for_exit(spawn_client(&cluster, 1, &["evacuate", &zone]));
        assert!(evacuated.status.success(), "{evacuated:?}");
        sleep_ms(SETTLE_MS).await;
        let before = accepted_requests(&cluster, &engine).await;
        assert!(before > 0, "the zone got requests before the evacuation");
        sleep_ms(SETTLE_MS).await;
        assert!(!load.is_finished(), "the load ended before the check");
        assert_eq!(accepted_requests(&cluster, &engine).await, before);
        let reopened = wait_for_exit(spawn_client(&cluster, 2, &["evacuate", &zone, "--end"]));
        assert!(reopened.status.success(), "{reopened:?}");
        finish_and_check(&cluster, &load, &workload).await;
        let unknown = wait_for_exit(spawn_client(&cluster, 0, &["evacuate", "nowhere"]));
        assert_eq!(unknown.status.code(), Some(2), "{unknown:?}");
    });
}
