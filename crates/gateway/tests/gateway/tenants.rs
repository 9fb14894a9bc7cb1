//! API keys and tenants: authentication, the fields that servers receive, and the separation of
//! tenants' turns and budgets.

use crate::support::{Act, Gateway, Server, World, config_with_tenants, run, tenant};
use fieldhook_emulator::log::memory::LogFault;
use fieldhook_traffic::tenants::Tenant;
use std::time::Duration;
use tokio::time::sleep;

/// A world whose first configuration has these tenants.
async fn world_of(tenants: Vec<Tenant>) -> World {
    let world = World::new().await;
    world.configs.borrow_mut()[0] = config_with_tenants(1, tenants);
    world
}

/// Waits until a gateway uses a version of the configuration.
async fn wait_version(gateway: &Gateway, version: u64) {
    let is_in_use = || {
        let routes = gateway.daemon.routes.borrow();
        routes.as_ref().map(|table| table.config.version) == Some(version)
    };
    while !is_in_use() {
        sleep(Duration::from_millis(5)).await;
    }
}

fn answer(text: &str) -> Act {
    Act::Answer(200, text.to_owned())
}

#[test]
fn requests_without_a_valid_key_are_refused_except_on_public_routes() {
    run(async {
        let server = Server::start("s1", answer("yes")).await;
        let world = world_of(vec![tenant("red", "k1")]).await;
        world.configs.borrow_mut()[0].routes[1].is_public = true;
        let gateway = world.ready(&[&server]).await;
        let cases = [
            ("GET", "/safe/1", "Request: a\r\n", 401),
            ("GET", "/safe/1", "Request: b\r\nKey: k2\r\n", 401),
            ("GET", "/safe/1", "Request: c\r\nKey: k1\r\n", 200),
            ("POST", "/unsafe/1", "Request: d\r\n", 200),
            ("POST", "/unsafe/1", "Request: e\r\nKey: k2\r\n", 200),
        ];
        for (method, path, fields, status) in cases {
            let reply = gateway.ask(method, path, fields, "").await;
            assert_eq!(reply.head.status, status, "{fields}");
        }
        assert_eq!(server.count(), 3);
    });
}

#[test]
fn servers_receive_the_tenant_and_its_priority_but_not_the_key() {
    run(async {
        let server = Server::start("s1", answer("yes")).await;
        let mut red = tenant("red", "k1");
        red.priority = Some(7);
        let world = world_of(vec![red, tenant("blue", "k2")]).await;
        world.configs.borrow_mut()[0].routes[1].is_public = true;
        let gateway = world.ready(&[&server]).await;
        let forged = "Tenant: blue\r\nTENANT: blue\r\nRank: 0\r\n";
        for fields in ["Request: a\r\nKey: k1\r\n", "Request: b\r\nKey: k2\r\n"] {
            let fields = format!("{fields}{forged}");
            assert_eq!(
                gateway.ask("GET", "/safe/1", &fields, "").await.text(),
                "yes"
            );
        }
        let fields = format!("Request: c\r\n{forged}");
        assert_eq!(
            gateway.ask("POST", "/unsafe/1", &fields, "").await.text(),
            "yes"
        );
        let seen = server.seen.borrow();
        let expected = [(Some("red"), "7"), (Some("blue"), "1"), (None, "1")];
        assert_eq!(seen.len(), expected.len());
        for (seen, (tenant, rank)) in seen.iter().zip(expected) {
            let headers = &seen.head.headers;
            assert_eq!(headers.text("tenant"), tenant);
            assert!(headers.get_all("tenant").count() <= 1);
            assert_eq!(headers.text("rank"), Some(rank));
            assert!(!headers.has("key"));
        }
    });
}

#[test]
fn a_revoked_key_is_refused_on_an_open_connection() {
    run(async {
        let server = Server::start("s1", answer("yes")).await;
        let world = world_of(vec![tenant("red", "k1"), tenant("blue", "k2")]).await;
        let reassigned = vec![tenant("red", "k3"), tenant("blue", "k1")];
        let revoked = vec![tenant("red", "k3"), tenant("blue", "k2")];
        world.configs.borrow_mut().extend([
            config_with_tenants(2, reassigned),
            config_with_tenants(3, revoked),
        ]);
        let gateway = world.ready(&[&server]).await;
        let mut client = gateway.client().await;
        client
            .send("GET", "/safe/1", "Request: a\r\nKey: k1\r\n", "")
            .await;
        assert_eq!(client.reply().await.head.status, 200);
        world.publish(1).await;
        wait_version(&gateway, 2).await;
        client
            .send("GET", "/safe/1", "Request: b\r\nKey: k1\r\n", "")
            .await;
        assert_eq!(client.reply().await.head.status, 200);
        world.publish(2).await;
        wait_version(&gateway, 3).await;
        client
            .send("GET", "/safe/1", "Request: c\r\nKey: k1\r\n", "")
            .await;
        assert_eq!(client.reply().await.head.status, 401);
        let seen = server.seen.borrow();
        let tenants: Vec<&str> = seen
            .iter()
            .filter_map(|seen| seen.head.headers.text("tenant"))
            .collect();
        assert_eq!(tenants, ["red", "blue"]);
    });
}

#[test]
fn a_request_that_waits_for_a_free_server_is_not_sent_after_its_key_is_revoked() {
    run(async {
        let server = Server::start("s1", Act::NotRun).await;
        let world = world_of(vec![tenant("red", "k1")]).await;
        world
            .configs
            .borrow_mut()
            .push(config_with_tenants(2, vec![tenant("red", "k2")]));
        let gateway = world.ready(&[&server]).await;
        let fields = "Request: a\r\nKey: k1\r\n";
        let request = gateway.ask("GET", "/safe/1", fields, "");
        let revocation = async {
            while server.count() == 0 {
                sleep(Duration::from_millis(1)).await;
            }
            world.publish(1).await;
            wait_version(&gateway, 2).await;
            let refused = server.count();
            server.set(answer("too late"));
            refused
        };
        let (reply, refused) = futures_util::future::join(request, revocation).await;
        assert_eq!(reply.head.status, 401);
        assert_eq!(server.count(), refused);
    });
}

#[test]
fn a_turn_of_another_tenant_cannot_be_continued() {
    run(async {
        let events = Act::Events(vec!["one".to_owned()], None);
        let server = Server::start("s1", events).await;
        let world = world_of(vec![tenant("red", "k1"), tenant("blue", "k2")]).await;
        let gateway = world.ready(&[&server]).await;
        let fields = "Request: t1\r\nProgram: p\r\nKey: k1\r\n";
        assert!(gateway.ask("POST", "/chat/1", fields, "A;").await.complete);
        // With the same program name, and with another one.
        for program in ["p", "q"] {
            let fields = format!("Request: x\r\nProgram: {program}\r\nPrevious: t1\r\nKey: k2\r\n");
            let reply = gateway.ask("POST", "/chat/1", &fields, "B;").await;
            assert_eq!(reply.head.status, 404);
        }
        let fields = "Request: t2\r\nProgram: p\r\nPrevious: t1\r\nKey: k1\r\n";
        assert!(gateway.ask("POST", "/chat/1", fields, "C;").await.complete);
        assert_eq!(server.seen.borrow()[1].body, b"A;one\nC;");
    });
}

#[test]
fn tenants_have_separate_budgets_for_a_program_of_the_same_name() {
    run(async {
        let events = Act::Events(vec!["one".to_owned(); 3], None);
        let server = Server::start("s1", events).await;
        let world = world_of(vec![tenant("red", "k1"), tenant("blue", "k2")]).await;
        let gateway = world.ready(&[&server]).await;
        let turn = |id: &str, key: &str| {
            format!("Request: {id}\r\nProgram: p\r\nBudget: 50\r\nMost: 30\r\nKey: {key}\r\n")
        };
        let mut statuses = Vec::new();
        for (id, key) in [("a", "k1"), ("b", "k1"), ("c", "k2")] {
            let reply = gateway.ask("POST", "/chat/1", &turn(id, key), "A;").await;
            statuses.push(reply.head.status);
        }
        assert_eq!(statuses, [200, 402, 200]);
    });
}

#[test]
fn a_gateway_without_the_log_learns_of_revoked_keys_from_others() {
    run(async {
        let server = Server::start("s1", answer("yes")).await;
        let world = world_of(vec![tenant("red", "k1")]).await;
        world
            .configs
            .borrow_mut()
            .push(config_with_tenants(2, vec![tenant("red", "k2")]));
        // The first gateway owns all partitions, so the other one knows its address.
        let owner = world.ready(&[&server]).await;
        sleep(Duration::from_millis(900)).await;
        let without_log = world.gateway("g2").await;
        without_log.wait_ready(1).await;
        sleep(Duration::from_millis(100)).await;
        without_log.store.set_fault(LogFault::Silent);
        without_log.daemon.log_health.record_failure();
        world.publish(1).await;
        wait_version(&owner, 2).await;
        let waited = tokio::time::timeout(Duration::from_secs(6), wait_version(&without_log, 2));
        assert!(
            waited.await.is_ok(),
            "the gateway did not learn of the new keys"
        );
        for (key, status) in [("k1", 401), ("k2", 200)] {
            let fields = format!("Request: {key}\r\nKey: {key}\r\n");
            let reply = without_log.ask("GET", "/safe/1", &fields, "").await;
            assert_eq!(reply.head.status, status, "{key}");
        }
    });
}

#[test]
fn with_strict_revocation_keys_that_cannot_be_confirmed_are_refused() {
    run(async {
        let server = Server::start("s1", answer("yes")).await;
        let world = world_of(vec![tenant("red", "k1")]).await;
        world.configs.borrow_mut()[0].routes[1].is_public = true;
        world.revocation_ms.set(Some(1_800));
        let gateway = world.ready(&[&server]).await;
        let keyed = "Request: a\r\nKey: k1\r\n";
        assert_eq!(
            gateway.ask("GET", "/safe/1", keyed, "").await.head.status,
            200
        );
        gateway.store.set_fault(LogFault::Silent);
        // A long poll that began before the fault still returns and confirms the configuration, so
        // wait until it has ended.
        sleep(Duration::from_millis(3_500)).await;
        let refused = gateway.ask("GET", "/safe/1", keyed, "").await;
        assert_eq!(refused.head.status, 503);
        assert!(refused.head.headers.has("come-back-ms"));
        let public = gateway.ask("POST", "/unsafe/1", "Request: b\r\n", "").await;
        assert_eq!(public.head.status, 200);
        gateway.store.set_fault(LogFault::None);
        sleep(Duration::from_millis(1_500)).await;
        assert_eq!(
            gateway.ask("GET", "/safe/1", keyed, "").await.head.status,
            200
        );
    });
}

/// The length of a record's key is stored in one byte, which limits the names of tenant and
/// program together.
#[test]
fn names_too_long_for_the_key_of_a_record_are_refused() {
    run(async {
        let server = Server::start("s1", Act::Events(vec!["one".to_owned()], None)).await;
        let long = "t".repeat(200);
        let world = world_of(vec![tenant(&long, "k1")]).await;
        let gateway = world.ready(&[&server]).await;
        for (program, status) in [("p".repeat(53), 200), ("p".repeat(54), 413)] {
            let fields = format!("Request: {status}\r\nProgram: {program}\r\nKey: k1\r\n");
            let reply = gateway.ask("POST", "/chat/1", &fields, "A;").await;
            assert_eq!(reply.head.status, status);
        }
        assert_eq!(server.count(), 1);
    });
}
