//! A zone evacuated by the operators' client.

use crate::configuration::{client, finish as ended};
use crate::support::{dispatched, finish, pause, run, start, start_load};
use fieldhook_bench::cluster::{Cluster, Shape};
use fieldhook_bench::load::Workload;

/// Work that was placed before the rule was in force has ended after this time.
const PLACED_BEFORE_MS: u32 = 2_000;

/// The engine that has taken most so far, by its number: programs stay at the engine where they
/// began, and of idle ones the first by address is chosen, so that another one may have none.
async fn busiest(cluster: &Cluster) -> usize {
    let mut most = (0, 0);
    for (number, engine) in cluster.engines().iter().enumerate() {
        most = most.max((dispatched(cluster, engine).await, number));
    }
    most.1
}

#[test]
fn an_evacuated_zone_gets_no_new_work_until_it_is_ended() {
    run(async {
        let cluster = start("evacuation", Shape::default()).await;
        let workload = Workload {
            turns: 40,
            pause_ms: 200,
            ..Workload::default()
        };
        let load = start_load(&cluster, &workload);
        pause(1_000).await;
        let number = busiest(&cluster).await;
        let zone = cluster.shape.zones[number].clone();
        let engine = cluster.engines()[number].clone();
        let begun = ended(client(&cluster, 1, &["evacuate", &zone]));
        assert!(begun.status.success(), "{begun:?}");
        pause(PLACED_BEFORE_MS).await;
        let before = dispatched(&cluster, &engine).await;
        assert!(before > 0, "the zone was used before");
        pause(PLACED_BEFORE_MS).await;
        assert!(!load.is_over(), "the load ended too early to show anything");
        assert_eq!(dispatched(&cluster, &engine).await, before);
        let over = ended(client(&cluster, 2, &["evacuate", &zone, "--end"]));
        assert!(over.status.success(), "{over:?}");
        finish(&cluster, &load, &workload).await;
        let unknown = ended(client(&cluster, 0, &["evacuate", "nowhere"]));
        assert_eq!(unknown.status.code(), Some(2), "{unknown:?}");
    });
}
