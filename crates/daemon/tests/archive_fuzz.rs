//! The archive: records that are repeated, reordered among leaders and cut off
//! fold to a state that the shard really had.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use fieldhook_daemon::platform::archive::{ArchiveContent, ArchiveRecord};
use fieldhook_daemon::platform::recovery::fold_archive;
use fieldhook_model::ids::ProgramId;
use fieldhook_program::{Command, Open, ShardState, TimedCommand};
use nanoserde::SerBin;
use quickcheck::{Gen, QuickCheck};

fn command(index: u64) -> TimedCommand {
    let open = Open {
        program: ProgramId::root("tenant", &index.to_string(), 1),
        parent: None,
        tenant: "tenant".to_owned(),
        labels: Default::default(),
        budget: 1,
        deadline_ms: 1,
        max_turns: 1,
    };
    TimedCommand {
        at_ms: index,
        command: Command::Open(open),
    }
}

/// Each step is (kind, size): a new batch, a batch once more, a snapshot, or a
/// new epoch, whose leader begins with a snapshot.
fn holds(steps: Vec<(u8, u8)>) -> bool {
    let mut state = ShardState::default();
    let mut records = Vec::new();
    let (mut epoch, mut index, mut recoverable) = (1, 0, None);
    for (kind, size) in steps {
        match kind % 6 {
            0..=2 => {
                let from = index + 1;
                let mut commands = Vec::new();
                for _ in 0..=size % 4 {
                    index += 1;
                    let command = command(index + epoch * 1000);
                    commands.push(STANDARD.encode(command.serialize_bin()));
                    state.apply(command);
                }
                let content = ArchiveContent::Commands(commands);
                records.push(ArchiveRecord {
                    epoch,
                    from,
                    to: index,
                    content,
                });
                if recoverable.is_some() {
                    recoverable = Some((epoch, index, state.clone()));
                }
            }
            3 => {
                if let Some(last) = records.last().cloned() {
                    records.push(last);
                }
            }
            kind => {
                if kind == 5 {
                    epoch += 1;
                    index = 1;
                }
                let encoded = STANDARD.encode(state.serialize_bin());
                let content = ArchiveContent::Snapshot(encoded);
                records.push(ArchiveRecord {
                    epoch,
                    from: 1,
                    to: index,
                    content,
                });
                recoverable = Some((epoch, index, state.clone()));
            }
        }
    }
    let found = fold_archive(&records);
    assert_eq!(found.is_some(), recoverable.is_some());
    if let (Some(found), Some((epoch, index, state))) = (found, recoverable) {
        assert_eq!((found.epoch, found.index), (epoch, index));
        assert_eq!(found.state, state);
    }
    true
}

#[test]
fn fuzz_archive_folds_to_what_was_committed() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 23))
        .tests(400)
        .quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}
