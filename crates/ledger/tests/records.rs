//! Records as the log holds them.

use fieldhook_ledger::name::QualifiedName;
use fieldhook_ledger::record::{ProgramRecord, Record, TurnRecord};

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

#[test]
fn names_of_tenants_survive_the_log_and_differ_from_each_other() {
    let tenants = [None, Some("a"), Some("ab"), Some(""), Some("b")];
    let mut keys = Vec::new();
    for tenant in tenants {
        for text in ["t", "bt", "at", ""] {
            let turn = Record::Turn(QualifiedName::new(tenant, text), Some(turn_record()));
            let program = Record::Program(
                QualifiedName::new(tenant, text),
                Some(ProgramRecord::default()),
            );
            for record in [turn, program] {
                assert_eq!(
                    Record::read(&record.key(), &record.value()),
                    Ok(record.clone())
                );
                assert!(!keys.contains(&record.key()), "{record:?}");
                keys.push(record.key());
            }
        }
    }
}

#[test]
fn records_from_before_there_were_tenants_are_nobodys() {
    let value = Record::Turn(QualifiedName::new(None, "t1"), Some(turn_record())).value();
    let read = Record::read(b"tt1", &value);
    assert_eq!(
        read,
        Ok(Record::Turn(
            QualifiedName::new(None, "t1"),
            Some(turn_record())
        ))
    );
}

#[test]
fn a_key_shorter_than_its_tenant_is_unreadable() {
    assert!(Record::read(&[b'T', 9, b'a'], b"").is_err());
    assert!(Record::read(b"P", b"").is_err());
}
