//! Configuration changes across processes: concurrent publishes, a lost response, a restart
//! during a log outage.

use crate::input::executable_path;
use crate::support::{run_exclusively, sleep_ms, start};
use fieldhook_bench::cluster::{Cluster, ClusterConfig};
use fieldhook_emulator::faults::FaultPlan;
use fieldhook_model::operator::ConfigStatus;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};

const EXIT_OUT_OF_DATE: i32 = 4;

fn document(cluster: &Cluster, name: &str) -> PathBuf {
    let path = cluster.folder.join(format!("{name}.toml"));
    let text = format!(
        "[[rules]]\nname = {name:?}\npriority = 70\n\
         programs = [{{ key = \"tenant\", operator = \"in\", values = [\"tambak\"] }}]\n"
    );
    std::fs::write(&path, text).expect("the document can be written");
    path
}

pub fn spawn_client(cluster: &Cluster, daemon: usize, arguments: &[&str]) -> Child {
    Command::new(executable_path("fieldhook"))
        .args([
            "--daemon",
            &cluster.daemons[daemon].address,
            "--log",
            &cluster.log,
        ])
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the executable starts")
}

pub fn wait_for_exit(child: Child) -> Output {
    child.wait_with_output().expect("the client exits")
}

async fn config_statuses(cluster: &Cluster) -> Vec<ConfigStatus> {
    let mut versions = Vec::new();
    for daemon in &cluster.daemons {
        let response = cluster
            .get(&daemon.address, "/v1/config")
            .await
            .expect("the daemon responds");
        versions.push(serde_json::from_str(&response.body).expect("the body is a ConfigStatus"));
    }
    versions
}

#[test]
fn concurrent_publishes_have_one_winner_and_restarts_keep_the_version() {
    run_exclusively(async {
        let mut cluster = start("config", ClusterConfig::default()).await;
        let publishers: Vec<Child> = (0..4)
            .map(|index| {
                let file = document(&cluster, &format!("racer-{index}"));
                let file = file.to_string_lossy().into_owned();
                spawn_client(
                    &cluster,
                    index % 3,
                    &["config", "publish", &file, "--based-on", "0", "--wait"],
                )
            })
            .collect();
        let outcomes: Vec<Output> = publishers.into_iter().map(wait_for_exit).collect();
        let winners = outcomes
            .iter()
            .filter(|output| output.status.success())
            .count();
        assert_eq!(winners, 1, "{outcomes:?}");
        for rejected in outcomes.iter().filter(|output| !output.status.success()) {
            assert_eq!(
                rejected.status.code(),
                Some(EXIT_OUT_OF_DATE),
                "{rejected:?}"
            );
            let text = String::from_utf8_lossy(&rejected.stderr);
            assert!(
                text.contains("+name = "),
                "the error shows what changed: {text}"
            );
        }
        assert!(
            config_statuses(&cluster)
                .await
                .iter()
                .all(|config| config.version == 1)
        );

        // A publish whose response from the log is lost still takes effect.
        let lose = FaultPlan {
            lose_answers: 1,
            ..FaultPlan::default()
        };
        cluster.set_faults(&cluster.log, &lose).await;
        let second = document(&cluster, "second").to_string_lossy().into_owned();
        let output = wait_for_exit(spawn_client(
            &cluster,
            0,
            &["config", "publish", &second, "--wait"],
        ));
        assert!(output.status.success(), "{output:?}");

        // A daemon that restarts during a log outage gets the newest version from its peers.
        let down = FaultPlan {
            down: true,
            ..FaultPlan::default()
        };
        cluster.set_faults(&cluster.log, &down).await;
        cluster.kill_daemon(1);
        cluster.start_daemon(1).expect("the daemon restarts");
        cluster.wait_ready().await.expect("ready during the outage");
        for _ in 0..100 {
            if config_statuses(&cluster).await[1].version == 2 {
                break;
            }
            sleep_ms(20).await;
        }
        let after = config_statuses(&cluster).await;
        assert!(after.iter().all(|config| config.version == 2), "{after:?}");
        assert!(
            after
                .iter()
                .all(|config| config.document == after[0].document)
        );
    });
}
