//! Lists of machines with entries that cannot be read.

use fieldhook_model::machine_list::MachineList;
use serde_json::value::RawValue;

fn machine(name: &str, address: &str) -> String {
    format!(r#"{{"name":"{name}","address":"{address}","kind":"engine","zone":"a"}}"#)
}

/// Guards against one odd entry that keeps a daemon from using the list.
#[test]
fn list_is_read_without_the_entries_that_cannot_be_read() {
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let odd_entries = [
        nested.clone(),
        format!(r#"{{"name":"b","address":"127.0.0.1:2","kind":"engine","zone":{nested}}}"#),
        r#"{"name":"b","address":"127.0.0.1:2","kind":"engine","zone":1e999}"#.to_owned(),
        machine("b", "127.0.0.1:65536"),
        machine("b", "127.0.0.1:0"),
        machine("b", "there"),
        "null".to_owned(),
        "{}".to_owned(),
    ];
    for odd in odd_entries {
        let sound = [machine("a", "127.0.0.1:1"), machine("c", "127.0.0.1:3")];
        let body = format!("[{},{odd},{}]", sound[0], sound[1]);
        let entries: Vec<Box<RawValue>> = serde_json::from_str(&body).expect("a list");
        let list = MachineList::parse(&entries);
        let names: Vec<&str> = list.machines.iter().map(|machine| &*machine.name).collect();
        assert_eq!(names, ["a", "c"]);
        assert_eq!(list.problems.len(), 1);
    }
}
