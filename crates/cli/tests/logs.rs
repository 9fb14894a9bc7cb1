//! Output of `fieldhook tenants`, `fieldhook losses` and `fieldhook zones` for given log lines.

use std::io::Write;
use std::process::{Command, Stdio};

const LINES: &str = r#"
a {"timestamp":"2026-01-01T00:00:01.000000Z","event":"at_limit","outcome":"refused","tenant":"red","program":"p1","begins":true,"rate_per_s":16.0,"burst":16.0,"version":4}
a {"timestamp":"2026-01-01T00:00:02.000000Z","event":"answered_here","request":"r1","program":"p1","status":429,"cause":"the tenant is at its limit"}
b {"timestamp":"2026-01-01T00:00:04.000000Z","event":"at_limit","outcome":"refused","tenant":"red","program":"p1","begins":false,"rate_per_s":8.0,"burst":8.0,"version":5}
b {"timestamp":"2026-01-01T00:00:04.100000Z","event":"answered_here","request":"r2","program":"p1","status":429,"cause":"the tenant is at its limit"}
b {"timestamp":"2026-01-01T00:00:06.000000Z","event":"at_limit","outcome":"granted","tenant":"blue","program":"p2","begins":false,"rate_per_s":8.0,"burst":8.0,"version":5}
b {"timestamp":"2026-01-01T00:00:07.000000Z","event":"stream_broken_off","request":"r3","program":"p2","cause":"no whole answer in time"}
b {"timestamp":"2026-01-01T00:00:07.500000Z","event":"client_gone","request":"r4","program":"p3"}
a {"timestamp":"2026-01-01T00:00:00.100000Z","event":"start","name":"a","zone":"north"}
b {"timestamp":"2026-01-01T00:00:00.100000Z","event":"start","name":"b","zone":"south"}
a {"timestamp":"2026-01-01T00:00:00.200000Z","event":"server_known","server":"s1","zone":"north"}
b {"timestamp":"2026-01-01T00:00:00.210000Z","event":"server_known","server":"s1","zone":"north"}
a {"timestamp":"2026-01-01T00:00:00.220000Z","event":"server_known","server":"s2","zone":"south"}
a {"timestamp":"2026-01-01T00:00:00.230000Z","event":"server_known","server":"s3","zone":"south"}
a {"timestamp":"2026-01-01T00:00:00.300000Z","event":"attempt_answered","server":"s1","request":"r5"}
a {"timestamp":"2026-01-01T00:00:00.310000Z","event":"attempt_answered","server":"s2","request":"r6"}
b {"timestamp":"2026-01-01T00:00:00.320000Z","event":"attempt_answered","server":"s2","request":"r7"}
b {"timestamp":"2026-01-01T00:00:00.330000Z","event":"attempt_answered","server":"s2","request":"r8"}
b {"timestamp":"2026-01-01T00:00:00.400000Z","event":"partition_owned","partition":3}
a {"timestamp":"2026-01-01T00:00:00.500000Z","event":"partition_owned","partition":3}
b {"timestamp":"2026-01-01T00:00:00.600000Z","event":"partition_owned","partition":4}
a {"timestamp":"2026-01-01T00:00:03.000000Z","event":"zone_evacuation","zone":"south","state":"Evacuated","revision":7,"source":"log"}
b {"timestamp":"2026-01-01T00:00:03.200000Z","event":"zone_evacuation","zone":"south","state":"Evacuated","revision":7,"source":"peer"}
a {"timestamp":"2026-01-01T00:00:05.000000Z","event":"server_gone","server":"s3"}
not a line of ours {
"#;

/// Runs the client with the log lines on standard input and returns its standard output.
fn output(arguments: &[&str]) -> String {
    let mut process = Command::new(env!("CARGO_BIN_EXE_fieldhook"))
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("start fieldhook");
    let mut input = process.stdin.take().expect("standard input");
    input
        .write_all(LINES.as_bytes())
        .expect("write the log lines");
    drop(input);
    let output = process.wait_with_output().expect("wait for fieldhook");
    assert!(output.status.success());
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn tenants_are_listed_with_their_newest_limit() {
    let expected = "tenant rate_per_s burst version refused at_begin programs late without_owner\n\
        red 8 8 5 2 1 1 0 0\n\
        blue 8 8 5 0 0 0 1 0\n\
        2 tenants were at their limit\n";
    assert_eq!(output(&["tenants", "--logs", "-"]), expected);
}

#[test]
fn losses_are_counted_by_time_and_cause() {
    let expected = "from requests programs cause\n\
        00:00:00 2 1 429 the tenant is at its limit\n\
        00:00:05 1 1 broken off: no whole answer in time\n\
        00:00:05 1 1 the client left\n";
    assert_eq!(output(&["losses", "--logs", "-"]), expected);
}

#[test]
fn zones_are_listed_with_evacuation_answers_and_partitions() {
    let expected = "zone state since revision daemons servers answered_percent partitions\n\
        north open - - 1 1 25.0 1\n\
        south evacuated 2026-01-01T00:00:03.000000Z 7 1 1 75.0 1\n";
    assert_eq!(output(&["zones", "--logs", "-"]), expected);
}
