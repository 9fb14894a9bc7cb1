//! Invalid input: requests get typed errors and change nothing, settings are rejected.

use crate::support::{run_exclusively, start};
use fieldhook_bench::caller::{CallOutcome, Caller};
use fieldhook_bench::cluster::{Cluster, ClusterConfig};
use fieldhook_model::error::{CallError, ErrorKind, Executed};
use ntex::http::Method;
use std::process::Command;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(10);

async fn post_invalid(cluster: &Cluster, path: &str, body: &str) -> (u16, CallError) {
    let url = format!("http://{}{path}", cluster.daemons[0].address);
    let body = body.as_bytes().to_vec();
    let response = cluster
        .client
        .fetch(Method::POST, &url, &[], body, TIMEOUT)
        .await
        .expect("the daemon responds");
    let error: CallError = serde_json::from_str(&response.body).expect("the body is a CallError");
    assert_eq!(error.executed, Executed::No);
    assert!(!error.remedy.is_empty());
    (response.status, error)
}

#[test]
fn invalid_requests_get_typed_errors_and_change_nothing() {
    run_exclusively(async {
        let cluster = start(
            "input",
            ClusterConfig {
                daemons: 1,
                ..ClusterConfig::default()
            },
        )
        .await;
        let opened = Caller::open(
            &cluster.client,
            &cluster.daemon_addresses(),
            "riga",
            "k",
            500,
        )
        .await;
        let mut caller = opened.expect("the program opens");
        assert!(matches!(
            caller.call_model("chat", "hello", 4).await,
            CallOutcome::Answered(_)
        ));
        let before = caller.view().await.expect("the program can be read");
        let calls = format!("/v1/programs/{}/calls", caller.program);
        let call = |number: i64, key: &str, rest: &str| {
            format!(
                r#"{{"call_number":{number},"request_key":"{key}","call":{{"model":{{"model":"chat","messages":[{{"role":"user","content":"x"}}],"max_tokens":{rest}}}}}}}"#
            )
        };
        let open = |budget: &str, more: &str| {
            format!(
                r#"{{"tenant":"t","budget":{budget},"deadline_ms":1000,"request_key":"n"{more}}}"#
            )
        };
        let unknown = "/v1/programs/p-00000000000000000000/calls";
        let long = "x".repeat(5 << 20);
        let cases = [
            (
                "/v1/programs",
                "{".to_owned(),
                400,
                ErrorKind::InvalidRequest,
            ),
            (
                "/v1/programs",
                open("-1", ""),
                400,
                ErrorKind::InvalidRequest,
            ),
            (
                "/v1/programs",
                open("1", r#","colour":"red""#),
                400,
                ErrorKind::InvalidRequest,
            ),
            (
                "/v1/programs",
                open("1", r#","parent":"p-1""#),
                404,
                ErrorKind::ProgramUnknown,
            ),
            (&calls, call(2, "k 2", "4"), 400, ErrorKind::InvalidRequest),
            (&calls, call(0, "k2", "4"), 400, ErrorKind::InvalidRequest),
            (&calls, call(-3, "k2", "4"), 400, ErrorKind::InvalidRequest),
            (&calls, call(2, "k2", "0"), 400, ErrorKind::InvalidRequest),
            (
                &calls,
                call(5, "k5", "4"),
                409,
                ErrorKind::CallNumberTooEarly,
            ),
            (
                &calls,
                call(1, "other", "4"),
                409,
                ErrorKind::CallNumberConflict,
            ),
            (
                &calls,
                call(2, "call-1", "4"),
                409,
                ErrorKind::RequestKeyConflict,
            ),
            (
                &calls,
                call(2, "k2", "100000"),
                402,
                ErrorKind::BudgetExhausted,
            ),
            (&calls, long, 413, ErrorKind::BodyTooLarge),
            (unknown, call(1, "k", "4"), 404, ErrorKind::ProgramUnknown),
            (
                "/v1/programs/nonsense/calls",
                call(1, "k", "4"),
                404,
                ErrorKind::ProgramUnknown,
            ),
        ];
        for (path, body, status, kind) in cases {
            let (got, error) = post_invalid(&cluster, path, &body).await;
            assert_eq!(
                (got, error.kind),
                (status, kind),
                "{path} {}",
                &body[..body.len().min(200)]
            );
        }
        assert_eq!(
            caller.view().await.expect("the program can be read"),
            before,
            "a refused request changed the program"
        );
        assert!(matches!(
            caller.call_model("chat", "go on", 4).await,
            CallOutcome::Answered(_)
        ));
        assert_eq!(caller.violations, []);
    });
}

#[test]
fn daemon_rejects_invalid_settings_with_exit_code_two_and_a_remedy() {
    let cases = [
        (vec!["--address", "here:7001"], "address"),
        (
            vec!["--address", "127.0.0.1:7001", "--shards", "0"],
            "shards",
        ),
        (
            vec!["--address", "127.0.0.1:7001", "--shards", "5000"],
            "shards",
        ),
        (vec!["--config", "/nonexistent.toml"], "/nonexistent.toml"),
    ];
    for (flags, key) in cases {
        let platform = [
            "--log",
            "127.0.0.1:7100",
            "--machines",
            "127.0.0.1:7101",
            "--zone",
            "a",
        ];
        let output = Command::new(executable_path("fieldhookd"))
            .args(platform)
            .args(&flags)
            .output()
            .expect("the executable starts");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{flags:?}: {text}");
        assert!(
            text.contains(key) && text.contains("remedy"),
            "{flags:?}: {text}"
        );
    }
}

/// Returns the path of one of the project's executables.
pub fn executable_path(name: &str) -> std::path::PathBuf {
    let executable = std::env::current_exe().expect("path of the test executable");
    executable
        .parent()
        .and_then(|deps| deps.parent())
        .expect("target folder")
        .join(name)
}
