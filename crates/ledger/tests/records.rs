//! Encoding of records and their keys.

use fieldhook_ledger::name::QualifiedName;
use fieldhook_ledger::record::{ProgramRecord, Record, TurnRecord};
use fieldhook_ledger::streams::{StreamOrigin, StreamRecord};

fn turn_record() -> TurnRecord {
    TurnRecord {
        program: "p".to_owned(),
        previous: None,
        input: b"in".to_vec(),
        output: b"out".to_vec(),
        ended_ms: 5,
        retention_ms: 6,
    }
}

fn stream_record() -> StreamRecord {
    StreamRecord {
        origin: Some(StreamOrigin {
            service: "llm".to_owned(),
            server: "s1".to_owned(),
            software_version: None,
        }),
        began_ms: 5,
        retention_ms: 6,
    }
}

#[test]
fn records_round_trip_and_keys_are_unique_per_tenant() {
    let tenants = [None, Some("a"), Some("ab"), Some(""), Some("b")];
    let mut keys = Vec::new();
    for tenant in tenants {
        for text in ["t", "bt", "at", ""] {
            let turn = Record::Turn(QualifiedName::new(tenant, text), Some(turn_record()));
            let program = Record::Program(
                QualifiedName::new(tenant, text),
                Some(ProgramRecord::default()),
            );
            let stream = Record::Stream(QualifiedName::new(tenant, text), Some(stream_record()));
            for record in [turn, program, stream] {
                assert_eq!(
                    Record::decode(&record.key(), &record.value()),
                    Ok(record.clone())
                );
                assert!(!keys.contains(&record.key()), "{record:?}");
                keys.push(record.key());
            }
        }
    }
}

#[test]
fn keys_without_a_tenant_decode_without_one() {
    let value = Record::Turn(QualifiedName::new(None, "t1"), Some(turn_record())).value();
    let read = Record::decode(b"tt1", &value);
    assert_eq!(
        read,
        Ok(Record::Turn(
            QualifiedName::new(None, "t1"),
            Some(turn_record())
        ))
    );
}

#[test]
fn truncated_tenant_key_is_unreadable() {
    assert!(Record::decode(&[b'T', 9, b'a'], b"").is_err());
    assert!(Record::decode(b"P", b"").is_err());
}
