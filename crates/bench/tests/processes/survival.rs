//! Kills, freezes, lost answers, outages and planned stops under load.

use crate::support::{commands_waiting, dispatched, finish, pause, run, start, start_load};
use fieldhook_bench::caller::{CallEnd, Caller};
use fieldhook_bench::cluster::{EngineShape, Shape, Signal};
use fieldhook_bench::load::Workload;
use fieldhook_emulator::faults::FaultPlan;
use fieldhook_model::error::{ErrorKind, Executed};
use std::time::Duration;

#[test]
fn killed_daemons_lose_nothing() {
    run(async {
        let mut cluster = start("kill", Shape::default()).await;
        let workload = Workload {
            turns: 30,
            pause_ms: 300,
            ..Workload::default()
        };
        let load = start_load(&cluster, &workload);
        for index in 0..cluster.daemons.len() {
            pause(700).await;
            cluster.kill_daemon(index);
            pause(1_500).await;
            cluster.start_daemon(index).expect("restarts");
            cluster
                .wait_whole()
                .await
                .expect("every shard has an owner");
        }
        finish(&cluster, &load, &workload).await;
    });
}

#[test]
fn frozen_leaders_do_no_harm_when_they_wake() {
    run(async {
        let cluster = start("freeze", Shape::default()).await;
        let workload = Workload {
            turns: 25,
            pause_ms: 300,
            ..Workload::default()
        };
        let load = start_load(&cluster, &workload);
        for index in 0..cluster.daemons.len() {
            pause(500).await;
            cluster.signal_daemon(index, Signal::Stop);
            pause(2_500).await;
            cluster.signal_daemon(index, Signal::Continue);
            pause(2_000).await;
        }
        finish(&cluster, &load, &workload).await;
    });
}

#[test]
fn lost_engine_is_replaced_in_mid_stream() {
    run(async {
        let mut cluster = start("engine", Shape::default()).await;
        let workload = Workload {
            max_tokens: 80,
            turns: 12,
            ..Workload::default()
        };
        let load = start_load(&cluster, &workload);
        for address in cluster.engines() {
            pause(800).await;
            if let Some(process) = cluster.stand_ins.get_mut(&address) {
                process.kill();
            }
            pause(800).await;
            let engine = EngineShape {
                model: "chat".to_owned(),
                zone: "imanta".to_owned(),
                flags: Vec::new(),
            };
            cluster.start_engine(&address, &engine).expect("restarts");
            pause(1_500).await;
        }
        finish(&cluster, &load, &workload).await;
    });
}

/// What must last lives on the log: while it is down calls wait, and what was
/// answered before is there when it returns, whichever daemons were lost meanwhile.
#[test]
fn an_outage_of_the_log_loses_nothing_though_daemons_are_lost_in_it() {
    run(async {
        let mut cluster = start("outage", Shape::default()).await;
        let workload = Workload {
            turns: 40,
            pause_ms: 300,
            ..Workload::default()
        };
        let load = start_load(&cluster, &workload);
        pause(1_500).await;
        let down = FaultPlan {
            down: true,
            ..FaultPlan::default()
        };
        cluster.set_faults(&cluster.log, &down).await;
        pause(500).await;
        for index in 0..cluster.daemons.len() {
            cluster.kill_daemon(index);
            cluster.start_daemon(index).expect("restarts");
        }
        pause(1_500).await;
        cluster
            .set_faults(&cluster.log, &FaultPlan::default())
            .await;
        cluster
            .wait_whole()
            .await
            .expect("every shard has an owner");
        let late = Workload {
            run: "late".to_owned(),
            turns: 3,
            ..workload.clone()
        };
        let new_programs = start_load(&cluster, &late);
        finish(&cluster, &new_programs, &late).await;
        finish(&cluster, &load, &workload).await;
        for _ in 0..100 {
            if commands_waiting(&cluster).await == 0.0 {
                return;
            }
            pause(100).await;
        }
        panic!("commands still wait for the log after the outage");
    });
}

#[test]
fn programs_outlive_the_loss_of_all_daemons_at_once() {
    run(async {
        let mut cluster = start("cold", Shape::default()).await;
        let gateways = cluster.gateways();
        let mut callers = Vec::new();
        for index in 0..6 {
            let key = format!("cold-{index}");
            let caller = Caller::open(&cluster.client, &gateways, "riga", &key, 100_000).await;
            let mut caller = caller.expect("opens");
            let end = caller.ask_model("chat", "Who leads at half time?", 8).await;
            assert!(matches!(end, CallEnd::Answered(_)), "{end:?}");
            callers.push(caller);
        }
        for index in 0..cluster.daemons.len() {
            cluster.kill_daemon(index);
        }
        for index in 0..cluster.daemons.len() {
            cluster.start_daemon(index).expect("restarts");
        }
        cluster.wait_ready().await.expect("daemons recover");
        for mut caller in callers {
            let end = caller.ask_model("chat", "And who scored last?", 8).await;
            assert!(matches!(end, CallEnd::Answered(_)), "{end:?}");
            assert_eq!(caller.violations, []);
            assert_eq!(caller.view().await.expect("shown").history, caller.history);
            assert!(caller.end().await);
        }
    });
}

#[test]
fn lost_answers_double_nothing() {
    run(async {
        let shape = Shape {
            services: vec![
                ("instalments".to_owned(), true),
                ("penalties".to_owned(), false),
            ],
            ..Shape::default()
        };
        let cluster = start("lost", shape).await;
        for service in ["instalments", "penalties"] {
            let workload = Workload {
                service: service.to_owned(),
                run: service.to_owned(),
                service_every: 2,
                ..Workload::default()
            };
            let load = start_load(&cluster, &workload);
            for _ in 0..5 {
                pause(150).await;
                let lose = FaultPlan {
                    lose_answers: 2,
                    ..FaultPlan::default()
                };
                for server in cluster.servers(service) {
                    cluster.set_faults(&server, &lose).await;
                }
                for engine in cluster.engines() {
                    cluster.set_faults(&engine, &lose).await;
                }
            }
            let tally = finish(&cluster, &load, &workload).await;
            let unknown = tally
                .refused
                .iter()
                .filter(|error| error.kind == ErrorKind::OutcomeUnknown);
            let expect_unknown = service == "penalties";
            assert_eq!(
                unknown.count() > 0,
                expect_unknown,
                "refused: {:?}",
                tally.refused
            );
            assert!(
                tally
                    .refused
                    .iter()
                    .all(|error| error.executed == Executed::Unknown)
            );
        }
    });
}

#[test]
fn planned_stops_cut_off_nothing() {
    run(async {
        let mut cluster = start("stop", Shape::default()).await;
        let workload = Workload {
            turns: 30,
            max_tokens: 60,
            pause_ms: 100,
            ..Workload::default()
        };
        let load = start_load(&cluster, &workload);
        for index in 0..cluster.daemons.len() {
            pause(700).await;
            cluster.signal_daemon(index, Signal::Terminate);
            let process = cluster.daemons[index].process.as_mut().expect("runs");
            let status = process.wait(Duration::from_secs(30)).await.expect("ends");
            assert_eq!(status.code(), Some(0));
            cluster.start_daemon(index).expect("restarts");
            cluster
                .wait_whole()
                .await
                .expect("every shard has an owner");
        }
        let tally = finish(&cluster, &load, &workload).await;
        assert_eq!(tally.broken, 0, "answers broke off");
        assert_eq!(tally.refused, []);
    });
}

#[test]
fn leaving_engine_gets_no_new_work_though_the_list_lags() {
    run(async {
        let shape = Shape {
            list_lag_ms: 20_000,
            ..Shape::default()
        };
        let cluster = start("leaving", shape).await;
        let workload = Workload {
            turns: 30,
            pause_ms: 200,
            ..Workload::default()
        };
        let load = start_load(&cluster, &workload);
        pause(1_000).await;
        let leaving = cluster.engines()[0].clone();
        let url = format!("http://{leaving}/control/leave");
        let limit = Duration::from_secs(2);
        let sent = cluster
            .client
            .fetch(ntex::http::Method::POST, &url, &[], Vec::new(), limit)
            .await;
        let status = sent.map(|reply| reply.status);
        assert_eq!(status, Ok(200), "the engine was not told to leave");
        pause(2_000).await;
        let before = dispatched(&cluster, &leaving).await;
        pause(2_000).await;
        assert!(!load.is_over(), "the load ended too early to show anything");
        assert_eq!(
            dispatched(&cluster, &leaving).await,
            before,
            "new work at a leaving engine"
        );
        finish(&cluster, &load, &workload).await;
    });
}

#[test]
fn frozen_engines_do_not_hold_answers_up() {
    run(async {
        let settings = "[limits]\nstall_ms = 500\nfirst_token_ms = 1000\n".to_owned();
        let cluster = start(
            "frozen-engine",
            Shape {
                settings,
                ..Shape::default()
            },
        )
        .await;
        let workload = Workload {
            max_tokens: 150,
            turns: 4,
            ..Workload::default()
        };
        let load = start_load(&cluster, &workload);
        pause(500).await;
        let freeze = FaultPlan {
            freeze_ms: 8_000,
            ..FaultPlan::default()
        };
        for engine in &cluster.engines()[..2] {
            cluster.set_faults(engine, &freeze).await;
        }
        let tally = finish(&cluster, &load, &workload).await;
        assert_eq!(tally.refused, []);
        let longest_ms = tally.pauses.max() / 1_000;
        assert!(
            longest_ms < 5_000,
            "a reader waited {longest_ms} ms for a frozen engine"
        );
    });
}
