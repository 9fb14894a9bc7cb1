//! Killed and paused processes, lost responses, log outages and planned stops under load.

use crate::support::{
    accepted_requests, commands_waiting, finish_and_check, run_exclusively, sleep_ms, start,
    start_load,
};
use fieldhook_bench::caller::{CallOutcome, Caller};
use fieldhook_bench::cluster::{ClusterConfig, EngineConfig, Signal};
use fieldhook_bench::load::Workload;
use fieldhook_emulator::faults::FaultPlan;
use fieldhook_model::error::{ErrorKind, Executed};
use std::time::Duration;

/// Time within which text without end has to be given up.
const ENDLESS_LIMIT: Duration = Duration::from_secs(20);

/// Kills each daemon in turn: no program and no recorded call may be lost.
#[test]
fn killed_daemons_lose_no_programs_or_calls() {
    run_exclusively(async {
        let mut cluster = start("kill", ClusterConfig::default()).await;
        let workload = Workload {
            calls: 30,
            pause_ms: 300,
            ..Workload::default()
        };
        let load = start_load(&cluster, &workload);
        for index in 0..cluster.daemons.len() {
            sleep_ms(700).await;
            cluster.kill_daemon(index);
            sleep_ms(1_500).await;
            cluster.start_daemon(index).expect("the daemon restarts");
            cluster
                .wait_shards_owned()
                .await
                .expect("every shard has an owner");
        }
        finish_and_check(&cluster, &load, &workload).await;
    });
}

/// A daemon that was paused must not act on its old state after it resumes.
#[test]
fn resumed_daemons_cause_no_violations() {
    run_exclusively(async {
        let cluster = start("freeze", ClusterConfig::default()).await;
        let workload = Workload {
            calls: 25,
            pause_ms: 300,
            ..Workload::default()
        };
        let load = start_load(&cluster, &workload);
        for index in 0..cluster.daemons.len() {
            sleep_ms(500).await;
            cluster.signal_daemon(index, Signal::Stop);
            sleep_ms(2_500).await;
            cluster.signal_daemon(index, Signal::Continue);
            sleep_ms(2_000).await;
        }
        finish_and_check(&cluster, &load, &workload).await;
    });
}

/// Kills and restarts each engine in turn: its streams must continue, all
/// programs must end, and no answer may be incorrect.
#[test]
fn streams_continue_after_an_engine_is_killed() {
    run_exclusively(async {
        let mut cluster = start("engine", ClusterConfig::default()).await;
        let workload = Workload {
            max_tokens: 80,
            calls: 12,
            ..Workload::default()
        };
        let load = start_load(&cluster, &workload);
        for address in cluster.engines() {
            sleep_ms(800).await;
            if let Some(process) = cluster.emulators.get_mut(&address) {
                process.kill();
            }
            sleep_ms(800).await;
            let engine = EngineConfig {
                model: "chat".to_owned(),
                zone: "imanta".to_owned(),
                flags: Vec::new(),
            };
            cluster
                .start_engine(&address, &engine)
                .expect("the engine restarts");
            sleep_ms(1_500).await;
        }
        finish_and_check(&cluster, &load, &workload).await;
    });
}

/// All durable state is on the log: calls wait during an outage, and calls that were answered
/// before it are still recorded afterwards, even if all daemons were killed in between.
#[test]
fn log_outage_with_daemon_restarts_loses_nothing() {
    run_exclusively(async {
        let mut cluster = start("outage", ClusterConfig::default()).await;
        let workload = Workload {
            calls: 40,
            pause_ms: 300,
            ..Workload::default()
        };
        let load = start_load(&cluster, &workload);
        sleep_ms(1_500).await;
        let down = FaultPlan {
            down: true,
            ..FaultPlan::default()
        };
        cluster.set_faults(&cluster.log, &down).await;
        sleep_ms(500).await;
        for index in 0..cluster.daemons.len() {
            cluster.kill_daemon(index);
            cluster.start_daemon(index).expect("the daemon restarts");
        }
        sleep_ms(1_500).await;
        cluster
            .set_faults(&cluster.log, &FaultPlan::default())
            .await;
        cluster
            .wait_shards_owned()
            .await
            .expect("every shard has an owner");
        let late = Workload {
            key_prefix: "late".to_owned(),
            calls: 3,
            ..workload.clone()
        };
        let new_programs = start_load(&cluster, &late);
        finish_and_check(&cluster, &new_programs, &late).await;
        finish_and_check(&cluster, &load, &workload).await;
        for _ in 0..100 {
            if commands_waiting(&cluster).await == 0.0 {
                return;
            }
            sleep_ms(100).await;
        }
        panic!("commands are still waiting for the log after the outage");
    });
}

/// Kills all daemons at once: they must restore the programs and their histories from the log.
#[test]
fn programs_survive_the_loss_of_all_daemons() {
    run_exclusively(async {
        let mut cluster = start("cold", ClusterConfig::default()).await;
        let daemons = cluster.daemon_addresses();
        let mut callers = Vec::new();
        for index in 0..6 {
            let key = format!("cold-{index}");
            let caller = Caller::open(&cluster.client, &daemons, "riga", &key, 100_000).await;
            let mut caller = caller.expect("the program opens");
            let outcome = caller
                .call_model("chat", "Who leads at half time?", 8)
                .await;
            assert!(matches!(outcome, CallOutcome::Answered(_)), "{outcome:?}");
            callers.push(caller);
        }
        for index in 0..cluster.daemons.len() {
            cluster.kill_daemon(index);
        }
        for index in 0..cluster.daemons.len() {
            cluster.start_daemon(index).expect("the daemon restarts");
        }
        cluster.wait_ready().await.expect("all daemons recover");
        for mut caller in callers {
            let outcome = caller.call_model("chat", "And who scored last?", 8).await;
            assert!(matches!(outcome, CallOutcome::Answered(_)), "{outcome:?}");
            assert_eq!(caller.violations, []);
            assert_eq!(
                caller
                    .view()
                    .await
                    .expect("the program can be read")
                    .history,
                caller.history
            );
            assert!(caller.end_program().await);
        }
    });
}

/// A request whose response was lost may have run. It must not run twice, and its outcome may only
/// be reported as unknown if the service does not support the lookup of past requests.
#[test]
fn lost_responses_cause_no_second_execution() {
    run_exclusively(async {
        let config = ClusterConfig {
            services: vec![
                ("instalments".to_owned(), true),
                ("penalties".to_owned(), false),
            ],
            ..ClusterConfig::default()
        };
        let cluster = start("lost", config).await;
        for service in ["instalments", "penalties"] {
            let workload = Workload {
                service: service.to_owned(),
                key_prefix: service.to_owned(),
                service_every: 2,
                ..Workload::default()
            };
            let load = start_load(&cluster, &workload);
            for _ in 0..5 {
                sleep_ms(150).await;
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
            let stats = finish_and_check(&cluster, &load, &workload).await;
            let unknown = stats
                .refused
                .iter()
                .filter(|error| error.kind == ErrorKind::OutcomeUnknown);
            let expect_unknown = service == "penalties";
            assert_eq!(
                unknown.count() > 0,
                expect_unknown,
                "refused: {:?}",
                stats.refused
            );
            assert!(
                stats
                    .refused
                    .iter()
                    .all(|error| error.executed == Executed::Unknown)
            );
        }
    });
}

/// Stops and restarts each daemon in turn: no open stream may be interrupted and no
/// call refused.
#[test]
fn planned_stops_interrupt_no_stream() {
    run_exclusively(async {
        let mut cluster = start("stop", ClusterConfig::default()).await;
        let workload = Workload {
            calls: 30,
            max_tokens: 60,
            pause_ms: 100,
            ..Workload::default()
        };
        let load = start_load(&cluster, &workload);
        for index in 0..cluster.daemons.len() {
            sleep_ms(700).await;
            cluster.signal_daemon(index, Signal::Terminate);
            let process = cluster.daemons[index]
                .process
                .as_mut()
                .expect("the daemon is running");
            let status = process
                .wait(Duration::from_secs(30))
                .await
                .expect("the daemon exits");
            assert_eq!(status.code(), Some(0));
            cluster.start_daemon(index).expect("the daemon restarts");
            cluster
                .wait_shards_owned()
                .await
                .expect("every shard has an owner");
        }
        let stats = finish_and_check(&cluster, &load, &workload).await;
        assert_eq!(stats.interruptions, 0, "streams were interrupted");
        assert_eq!(stats.refused, []);
    });
}

/// An engine's own load report says that it is leaving long before the machine list does.
#[test]
fn leaving_engine_gets_no_new_requests_before_the_machine_list_updates() {
    run_exclusively(async {
        let config = ClusterConfig {
            list_lag_ms: 20_000,
            ..ClusterConfig::default()
        };
        let cluster = start("leaving", config).await;
        let workload = Workload {
            calls: 30,
            pause_ms: 200,
            ..Workload::default()
        };
        let load = start_load(&cluster, &workload);
        sleep_ms(1_000).await;
        let leaving = cluster.engines()[0].clone();
        let url = format!("http://{leaving}/control/leave");
        let limit = Duration::from_secs(2);
        let sent = cluster
            .client
            .fetch(ntex::http::Method::POST, &url, &[], Vec::new(), limit)
            .await;
        let status = sent.map(|response| response.status);
        assert_eq!(
            status,
            Ok(200),
            "the engine did not accept the leave request"
        );
        sleep_ms(2_000).await;
        let before = accepted_requests(&cluster, &leaving).await;
        sleep_ms(2_000).await;
        assert!(!load.is_finished(), "the load ended before the check");
        assert_eq!(
            accepted_requests(&cluster, &leaving).await,
            before,
            "a leaving engine accepted new requests"
        );
        finish_and_check(&cluster, &load, &workload).await;
    });
}

/// A paused engine keeps its connections open but sends nothing; its streams must continue on
/// other engines.
#[test]
fn paused_engines_do_not_stall_streams() {
    run_exclusively(async {
        let settings = "[limits]\nstall_ms = 500\nfirst_token_ms = 1000\n".to_owned();
        let cluster = start(
            "frozen-engine",
            ClusterConfig {
                settings,
                ..ClusterConfig::default()
            },
        )
        .await;
        let workload = Workload {
            max_tokens: 150,
            calls: 4,
            ..Workload::default()
        };
        let load = start_load(&cluster, &workload);
        sleep_ms(500).await;
        let pause = FaultPlan {
            freeze_ms: 8_000,
            ..FaultPlan::default()
        };
        for engine in &cluster.engines()[..2] {
            cluster.set_faults(engine, &pause).await;
        }
        let stats = finish_and_check(&cluster, &load, &workload).await;
        assert_eq!(stats.refused, []);
        let longest_ms = stats.pauses.max() / 1_000;
        assert!(
            longest_ms < 5_000,
            "a stream paused for {longest_ms} ms on a paused engine"
        );
    });
}

/// Guards against a daemon that keeps the text of an engine which never ends, until its memory is
/// used up and the calls of other programs end with it.
#[test]
fn text_without_end_fails_its_call_alone() {
    run_exclusively(async {
        let cluster = start("endless", ClusterConfig::default()).await;
        let endless = FaultPlan {
            endless: 1,
            ..FaultPlan::default()
        };
        for engine in cluster.engines() {
            cluster.set_faults(&engine, &endless).await;
        }
        let daemons = cluster.daemon_addresses();
        let caller = Caller::open(&cluster.client, &daemons, "riga", "endless", 100_000).await;
        let mut caller = caller.expect("the program opens");
        let call = caller.call_model("chat", "Who leads at half time?", 8);
        let outcome = ntex::time::timeout(ENDLESS_LIMIT, call).await;
        let outcome = outcome.expect("the call ends");
        assert!(matches!(outcome, CallOutcome::Refused(_)), "{outcome:?}");
        for engine in cluster.engines() {
            cluster.set_faults(&engine, &FaultPlan::default()).await;
        }
        let outcome = caller.call_model("chat", "And who scored last?", 8).await;
        assert!(matches!(outcome, CallOutcome::Answered(_)), "{outcome:?}");
        assert!(caller.end_program().await);
    });
}
