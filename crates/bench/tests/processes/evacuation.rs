//! A zone evacuated by the operators' client.

use crate::configuration::{spawn_client, wait_for_exit};
use crate::support::{accepted_requests, finish_and_check, run, sleep_ms, start, start_load};
use fieldhook_bench::cluster::{Cluster, ClusterConfig};
use fieldhook_bench::load::Workload;

/// Work that was placed before the rule was in force has ended after this time.
const SETTLE_MS: u32 = 2_000;

/// The engine that has taken most so far, by its number: programs stay at the engine where they
/// began, and of idle ones the first by address is chosen, so that another one may have none.
async fn busiest_engine(cluster: &Cluster) -> usize {
    let mut busiest = (0, 0);
    for (number, engine) in cluster.engines().iter().enumerate() {
        busiest = busiest.max((accepted_requests(cluster, engine).await, number));
    }
    busiest.1
}

#[test]
fn evacuated_zone_gets_no_new_requests() {
    run(async {
        let cluster = start("evacuation", ClusterConfig::default()).await;
        let workload = Workload {
            turns: 40,
            pause_ms: 200,
            ..Workload::default()
        };
        let load = start_load(&cluster, &workload);
        sleep_ms(1_000).await;
        let number = busiest_engine(&cluster).await;
        let zone = cluster.config.zones[number].clone();
        let engine = cluster.engines()[number].clone();
        let evacuated = wait_for_exit(spawn_client(&cluster, 1, &["evacuate", &zone]));
        assert!(evacuated.status.success(), "{evacuated:?}");
        sleep_ms(SETTLE_MS).await;
        let before = accepted_requests(&cluster, &engine).await;
        assert!(before > 0, "the zone was used before");
        sleep_ms(SETTLE_MS).await;
        assert!(
            !load.is_finished(),
            "the load ended too early to show anything"
        );
        assert_eq!(accepted_requests(&cluster, &engine).await, before);
        let reopened = wait_for_exit(spawn_client(&cluster, 2, &["evacuate", &zone, "--end"]));
        assert!(reopened.status.success(), "{reopened:?}");
        finish_and_check(&cluster, &load, &workload).await;
        let unknown = wait_for_exit(spawn_client(&cluster, 0, &["evacuate", "nowhere"]));
        assert_eq!(unknown.status.code(), Some(2), "{unknown:?}");
    });
}
