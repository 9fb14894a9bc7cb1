//! Changes that have to take effect once an outage of the log is over.

use crate::support::{Act, Gateway, SERVERS, Server, World, config_with_tenants, run, tenant};
use fieldhook_emulator::log::memory::LogFault;
use fieldhook_traffic::tenants::{Limit, Tenant};
use std::time::Duration;
use tokio::time::sleep;

/// The default of the setting `contact_ms`, which is the shortest of all deployments so far: the
/// time after an outage until all time bounds apply again.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Duration of the outage, longer than [`CONTACT`].
const OUTAGE: Duration = Duration::from_millis(3_500);

fn limited(key: &str, burst: f64) -> Tenant {
    let limit = Limit {
        rate_per_s: 0.01,
        burst,
    };
    Tenant {
        limit: Some(limit),
        ..tenant("red", key)
    }
}

async fn ask(gateway: &Gateway, id: &str, key: &str) -> u16 {
    let fields = format!("Request: {id}\r\nKey: {key}\r\n");
    let reply = gateway.ask("GET", "/safe/1", &fields, "").await;
    reply.head.status
}

/// Covers the configuration, API keys, limits, draining servers and partition ownership at every
/// gateway.
#[test]
fn changes_take_effect_in_time_after_an_outage() {
    run(async {
        let draining = Server::start("s1", Act::Events(vec!["one".to_owned()], None)).await;
        let remaining = Server::start("s2", Act::Events(vec!["one".to_owned()], None)).await;
        let world = World::new().await;
        world.configs.borrow_mut()[0] =
            config_with_tenants(1, vec![limited("k1", 100.0), tenant("blue", "k3")]);
        world.configs.borrow_mut().push(config_with_tenants(
            2,
            vec![limited("k2", 3.0), tenant("blue", "k3")],
        ));
        let a = world.ready(&[&draining, &remaining]).await;
        let b = world.gateway("g2").await;
        b.wait_ready(2).await;
        // Wait until every partition has an owner.
        sleep(Duration::from_millis(900)).await;
        assert_eq!(ask(&a, "before", "k1").await, 200);

        for gateway in [&a, &b] {
            gateway.store.set_fault(LogFault::Silent);
        }
        world.publish(1).await;
        let value = format!("service {} draining", draining.address);
        world.put(SERVERS, "s1", &value).await;
        sleep(OUTAGE).await;
        for gateway in [&a, &b] {
            gateway.store.set_fault(LogFault::None);
        }
        sleep(CONTACT).await;

        let draining_count = draining.count();
        for (gateway, name) in [(&a, "a"), (&b, "b")] {
            assert_eq!(ask(gateway, &format!("old-{name}"), "k1").await, 401);
            let fields = format!("Request: t-{name}\r\nProgram: p-{name}\r\nKey: k3\r\n");
            let turn = gateway.ask("POST", "/chat/1", &fields, "A;").await;
            assert!(
                turn.complete && turn.head.status == 200,
                "no owner for {name}"
            );
        }
        let mut served = 0;
        for number in 0..8 {
            let gateway = [&a, &b][number % 2];
            served += u32::from(ask(gateway, &format!("new-{number}"), "k2").await == 200);
        }
        assert_eq!(served, 3);
        assert_eq!(draining.count(), draining_count);
    });
}
